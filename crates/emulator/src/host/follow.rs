//! What a host follows: the configuration; as an owner, new jobs and the list of workers; and what callers ask of it.

use std::collections::BTreeMap;

use sandshelf_jobs::{JobEvent, QueueRules};
use sandshelf_model::Millis;

use super::takeover::job_events;
use super::{
    CallBody, EmulatedHost, HostAction, HostPause, RequestBody, TransferLimit, OUT_AFTER_FAILURES,
};
use crate::queue::{Micros, MS};
use crate::store::{ConfigRow, StoreCall, StoreReply};
use crate::traffic::queue_rules;

// The durations of the daemon: `jobs/queues.rs`, `jobs/intake.rs` and `jobs/accept.rs`.
pub(super) const CONFIG_WAIT_MS: Millis = 900;
const CONFIG_RETRY: Micros = 150 * MS;
const JOBS_WAIT_MS: Millis = 1_000;
const FOLLOW_PATIENCE_MS: Millis = 700;
const FOLLOW_RETRY: Micros = 100 * MS;
const LIST_PAUSE: Micros = 700 * MS;
const REQUEST_PATIENCE_MS: Millis = 1_200;

/// The configuration in force.
#[derive(Debug, Default)]
pub(super) struct ConfigFollower {
    current: Option<ConfigRow>,
    after: u64,
}

impl ConfigFollower {
    pub(super) fn in_force(&self) -> Option<&ConfigRow> {
        self.current.as_ref()
    }

    /// The rules of all its queues.
    pub(super) fn rules(&self) -> BTreeMap<String, QueueRules> {
        queue_rules(self.current.map_or(0, |config| config.routes))
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
    /// An answer of the store has come, or none.
    pub(super) fn take_reply(&mut self, at: Micros, ask: StoreCall, reply: Option<StoreReply>) {
        match ask {
            StoreCall::ReadOwner => self.take_row(at, reply),
            StoreCall::CheckWrite => self.take_check(at, reply),
            StoreCall::Write(_) => self.take_write(at, reply),
            StoreCall::ReadProgress(_) | StoreCall::ReadShard | StoreCall::ReadJobs(_) => {
                self.take_page(at, reply);
            }
            StoreCall::FollowJobs(after) => self.take_jobs(at, after, reply),
            StoreCall::ListWorkers => self.take_workers(at, reply),
            StoreCall::ReadConfig | StoreCall::FollowConfig(_) => self.take_config(at, reply),
            StoreCall::PutJob(request, ..)
            | StoreCall::PutCancel(request, _)
            | StoreCall::ReadJob(request, _) => {
                let action = HostAction::Respond(request, reply.is_some());
                self.actions.push((at, action));
            }
        }
    }

    pub(super) fn resume(&mut self, at: Micros, pause: HostPause) {
        let epoch = self.control.epoch();
        match pause {
            HostPause::Config => self.read_config(at),
            HostPause::Jobs(owner) if epoch == Some(owner) => {
                self.ask_for_jobs(at, self.jobs_after)
            }
            HostPause::Workers(owner) if epoch == Some(owner) => self.list_workers(at),
            HostPause::Jobs(_) | HostPause::Workers(_) => {}
            HostPause::Write => self.ask_for_write(at),
        }
    }

    fn pause(&mut self, at: Micros, pause: HostPause, time: Micros) {
        self.actions.push((at, HostAction::Pause(pause, at + time)));
    }

    fn config_patience_ms(&self) -> Millis {
        match self.model.config_limit {
            TransferLimit::Whole(limit) | TransferLimit::Stalled(limit) => limit,
        }
    }

    /// Reads the configuration, and follows it from then on.
    pub(super) fn read_config(&mut self, at: Micros) {
        let patience = self.config_patience_ms();
        self.ask(at, StoreCall::ReadConfig, patience);
    }

    fn take_config(&mut self, at: Micros, reply: Option<StoreReply>) {
        let Some(StoreReply::Config(config, version)) = reply else {
            return self.pause(at, HostPause::Config, CONFIG_RETRY);
        };
        self.config.after = self.config.after.max(version);
        let known = self.config.current.map_or(0, |known| known.version);
        if config.version > known {
            self.config.current = Some(config);
        }
        let patience = CONFIG_WAIT_MS + self.config_patience_ms();
        self.ask(at, StoreCall::FollowConfig(self.config.after), patience);
    }

    /// Asks for new jobs and cancellations.
    pub(super) fn ask_for_jobs(&mut self, at: Micros, after: u64) {
        self.jobs_after = after;
        let patience = JOBS_WAIT_MS + FOLLOW_PATIENCE_MS;
        self.ask(at, StoreCall::FollowJobs(after), patience);
    }

    fn take_jobs(&mut self, at: Micros, after: u64, reply: Option<StoreReply>) {
        let Some(epoch) = self.control.epoch() else {
            return;
        };
        // Where the shard was lost and owned again meanwhile, this is an answer to the earlier owner.
        if after != self.jobs_after {
            return;
        }
        let Some(StoreReply::Jobs(rows, version)) = reply else {
            return self.pause(at, HostPause::Jobs(epoch), FOLLOW_RETRY);
        };
        self.ask_for_jobs(at, after.max(version));
        let events: Vec<JobEvent> = job_events(rows).collect();
        if !events.is_empty() {
            self.take_events(at, events);
        }
    }

    /// Reads the list of workers.
    pub(super) fn list_workers(&mut self, at: Micros) {
        self.listed_at = at;
        self.ask(at, StoreCall::ListWorkers, FOLLOW_PATIENCE_MS);
    }

    fn take_workers(&mut self, at: Micros, reply: Option<StoreReply>) {
        let Some(epoch) = self.control.epoch() else {
            return;
        };
        let Some(StoreReply::Workers(list, store_ms)) = reply else {
            return self.pause(at, HostPause::Workers(epoch), FOLLOW_RETRY);
        };
        let at_most_ms = store_ms + (at - self.listed_at) / MS;
        self.take_events(
            at,
            vec![
                JobEvent::StoreClock {
                    at: at / MS,
                    at_most_ms,
                },
                JobEvent::WorkersListed(list),
            ],
        );
        self.pause(at, HostPause::Workers(epoch), LIST_PAUSE);
    }

    /// Does what a caller asks for, or refuses it.
    pub(super) fn take_request(&mut self, at: Micros, body: RequestBody) {
        let (request, ask) = match body {
            RequestBody::Submit(request, number, spec) => {
                (request, StoreCall::PutJob(request, number, spec))
            }
            RequestBody::Cancel(request, number) => {
                (request, StoreCall::PutCancel(request, number))
            }
            RequestBody::Show(request, number) => (request, StoreCall::ReadJob(request, number)),
        };
        let known = self.config.in_force().is_some();
        if !known || self.store_failures >= OUT_AFTER_FAILURES {
            self.actions.push((at, HostAction::Respond(request, false)));
            return;
        }
        self.ask(at, ask, REQUEST_PATIENCE_MS);
    }
}
