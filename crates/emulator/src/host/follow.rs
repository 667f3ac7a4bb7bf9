//! Follows the configuration and, as the shard owner, new jobs and the list of workers; serves callers' requests.

use sandshelf_jobs::{JobEvent, QueueDirectory};
use sandshelf_model::Millis;

use super::admission::answer_to_check;
use super::takeover::job_events;
use super::{
    CallBody, EmulatedHost, HostAction, HostPause, RequestAnswer, RequestBody, TransferLimit,
    REFUSE_AFTER_FAILURES,
};
use crate::queue::{Micros, MS};
use crate::store::{ConfigRow, StoreCall, StoreReply};
use crate::traffic::queue_directory;

// Same values as in the daemon: `jobs/queues.rs`, `jobs/intake.rs` and `jobs/accept.rs`.
pub(super) const CONFIG_WAIT_MS: Millis = 900;
const CONFIG_RETRY_DELAY: Micros = 150 * MS;
const JOBS_WAIT_MS: Millis = 1_000;
const FOLLOW_TIMEOUT_MS: Millis = 700;
const FOLLOW_RETRY_DELAY: Micros = 100 * MS;
const LIST_INTERVAL: Micros = 700 * MS;
const REQUEST_TIMEOUT_MS: Millis = 1_200;
/// When a caller retries that was refused for another reason than load, in milliseconds.
const RETRY_AFTER_MS: Millis = 250;

/// The host's copy of the configuration.
#[derive(Debug, Default)]
pub(super) struct ConfigFollower {
    current: Option<ConfigRow>,
    /// The store version after which changes are asked for.
    after: u64,
}

impl ConfigFollower {
    /// The configuration in force; `None` before the first one was read.
    pub(super) fn in_force(&self) -> Option<&ConfigRow> {
        self.current.as_ref()
    }

    /// All queues in the configuration.
    pub(super) fn queues(&self) -> QueueDirectory {
        queue_directory(self.current.map_or(0, |config| config.routes))
    }
}

/// Whether a call reads the configuration.
pub(super) fn is_config(body: &CallBody) -> bool {
    matches!(
        body,
        CallBody::Store(StoreCall::ReadConfig | StoreCall::FollowConfig(_))
    )
}

impl EmulatedHost {
    /// Handles the end of a call to the store; `reply` is `None` if it failed or timed out.
    pub(super) fn handle_reply(
        &mut self,
        at: Micros,
        store_call: StoreCall,
        reply: Option<StoreReply>,
        rejected: bool,
    ) {
        match store_call {
            StoreCall::ReadOwner => self.handle_owner_row(at, reply),
            StoreCall::CheckWrite => self.handle_check(at, reply),
            StoreCall::Write(_) => self.handle_write_reply(at, reply),
            StoreCall::ReadProgress(_) | StoreCall::ReadShard | StoreCall::ReadJobs(_) => {
                self.handle_page(at, reply);
            }
            StoreCall::FollowJobs(after) => self.handle_jobs(at, after, reply),
            StoreCall::ListWorkers | StoreCall::FollowWorkers(_) => self.handle_workers(at, reply),
            StoreCall::ReadConfig | StoreCall::FollowConfig(_) => self.handle_config(at, reply),
            StoreCall::CheckJob(request, _, wait_ms) => {
                self.actions
                    .push((at, answer_to_check(request, wait_ms, reply)));
            }
            StoreCall::PutJob(request, ..)
            | StoreCall::PutCancel(request, _)
            | StoreCall::ReadJob(request, _) => {
                let answer = match reply {
                    Some(_) => RequestAnswer::Served,
                    None if rejected => RequestAnswer::Refused(RETRY_AFTER_MS),
                    None => RequestAnswer::Unknown,
                };
                self.actions
                    .push((at, HostAction::Respond(request, answer)));
            }
        }
    }

    pub(super) fn resume(&mut self, at: Micros, pause: HostPause) {
        let epoch = self.control.epoch();
        match pause {
            HostPause::Config => self.read_config(at),
            HostPause::Jobs(owner) if epoch == Some(owner) => self.follow_jobs(at, self.jobs_after),
            HostPause::Workers(owner) if epoch == Some(owner) => self.list_workers(at),
            HostPause::Jobs(_) | HostPause::Workers(_) => {}
            HostPause::Write => self.read_write_outcome(at),
        }
    }

    fn pause(&mut self, at: Micros, pause: HostPause, time: Micros) {
        self.actions.push((at, HostAction::Pause(pause, at + time)));
    }

    fn config_timeout_ms(&self) -> Millis {
        match self.model.config_limit {
            TransferLimit::Whole(limit) | TransferLimit::Stalled(limit) => limit,
        }
    }

    /// Reads the configuration, and follows its changes afterwards.
    pub(super) fn read_config(&mut self, at: Micros) {
        let timeout = self.config_timeout_ms();
        self.call_store(at, StoreCall::ReadConfig, timeout);
    }

    fn handle_config(&mut self, at: Micros, reply: Option<StoreReply>) {
        let Some(StoreReply::Config(config, version)) = reply else {
            return self.pause(at, HostPause::Config, CONFIG_RETRY_DELAY);
        };
        self.config.after = self.config.after.max(version);
        let known = self.config.current.map_or(0, |known| known.version);
        if config.version > known {
            self.config.current = Some(config);
        }
        let timeout = CONFIG_WAIT_MS + self.config_timeout_ms();
        self.call_store(at, StoreCall::FollowConfig(self.config.after), timeout);
    }

    /// Asks the store for jobs and cancellations newer than the version `after`.
    pub(super) fn follow_jobs(&mut self, at: Micros, after: u64) {
        self.jobs_after = after;
        let timeout = JOBS_WAIT_MS + FOLLOW_TIMEOUT_MS;
        self.call_store(at, StoreCall::FollowJobs(after), timeout);
    }

    fn handle_jobs(&mut self, at: Micros, after: u64, reply: Option<StoreReply>) {
        let Some(epoch) = self.control.epoch() else {
            return;
        };
        // If the shard was lost and owned again since the call, the answer belongs to the earlier ownership.
        if after != self.jobs_after {
            return;
        }
        let Some(StoreReply::Jobs(rows, version)) = reply else {
            return self.pause(at, HostPause::Jobs(epoch), FOLLOW_RETRY_DELAY);
        };
        self.follow_jobs(at, after.max(version));
        let events: Vec<JobEvent> = job_events(rows).collect();
        if !events.is_empty() {
            self.handle_events(at, events);
        }
    }

    /// Reads the list of workers, or what has changed in it since this owner knows it.
    pub(super) fn list_workers(&mut self, at: Micros) {
        self.listed_at = at;
        let known = self.control.owned_list();
        let store_call = match known {
            Some(known) => StoreCall::FollowWorkers(known),
            None => StoreCall::ListWorkers,
        };
        self.call_store(at, store_call, FOLLOW_TIMEOUT_MS);
    }

    fn handle_workers(&mut self, at: Micros, reply: Option<StoreReply>) {
        let Some(epoch) = self.control.epoch() else {
            return;
        };
        let (changes, store_ms) = match reply {
            Some(StoreReply::Workers(list, store_ms)) => {
                let listed = list
                    .iter()
                    .map(|entry| (entry.worker.clone(), entry.clone()));
                self.control.set_list(listed.collect());
                (JobEvent::WorkersListed(list), store_ms)
            }
            Some(StoreReply::WorkerChanges(changes, store_ms)) => {
                self.control.change_list(&changes);
                (JobEvent::WorkersChanged(changes), store_ms)
            }
            _ => return self.pause(at, HostPause::Workers(epoch), FOLLOW_RETRY_DELAY),
        };
        let at_most_ms = store_ms + (at - self.listed_at) / MS;
        self.handle_events(
            at,
            vec![
                JobEvent::StoreClock {
                    at: at / MS,
                    at_most_ms,
                },
                changes,
            ],
        );
        self.pause(at, HostPause::Workers(epoch), LIST_INTERVAL);
    }

    /// Forwards a caller's request to the store, or refuses it if the configuration is unknown or the store is failing.
    pub(super) fn handle_request(&mut self, at: Micros, body: RequestBody, left_ms: Millis) {
        let (request, store_call) = match body {
            RequestBody::Submit(request, number, spec) => {
                let refusal = self.refusal_of(at, number, &spec, left_ms);
                let put = StoreCall::PutJob(request, number, spec);
                let check = |wait_ms| StoreCall::CheckJob(request, number, wait_ms);
                (request, refusal.map_or(put, check))
            }
            RequestBody::Cancel(request, number) => {
                (request, StoreCall::PutCancel(request, number))
            }
            RequestBody::Show(request, number) => (request, StoreCall::ReadJob(request, number)),
        };
        let known = self.config.in_force().is_some();
        if !known || self.store_failures >= REFUSE_AFTER_FAILURES {
            let refused = HostAction::Respond(request, RequestAnswer::Refused(RETRY_AFTER_MS));
            self.actions.push((at, refused));
            return;
        }
        self.call_store(at, store_call, REQUEST_TIMEOUT_MS);
    }
}
