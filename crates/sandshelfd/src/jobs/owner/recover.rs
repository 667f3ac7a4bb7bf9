//! Reads the shard's state after a claim, and releases the shard if the read stalls.

use std::collections::BTreeSet;
use std::rc::Rc;

use sandshelf_adapter::WorkerClient;
use sandshelf_jobs::relay::waits_for_relays;
use sandshelf_jobs::{JobEvent, JobScheduler, JobSummaries, SchedulerLimits, TakeoverInfo};
use sandshelf_lease::LeaseStage;
use sandshelf_model::Millis;
use tokio::task::{spawn_local, JoinHandle};

use super::{OwnedShard, OwnerLoop, OwnerMessage, SHARD_LEASE_MS, WORKER_TIMEOUT};
use crate::clock;
use crate::jobs::calls::WorkerCalls;
use crate::jobs::intake::{follow_jobs, follow_workers};
use crate::jobs::leftovers::LeftoverRows;
use crate::jobs::owner::relaying::RelayPool;
use crate::jobs::owner::tenure::ShardTenure;
use crate::jobs::pages::PageReader;
use crate::jobs::takeover::{takeover_reader, PublishedState, RecordedState};
use crate::logging::event;

/// How much longer than configured the state of a finished job is kept, because the clocks of callers and owners differ.
const FINISHED_RETENTION_MARGIN_MS: Millis = 10_000;
/// A host releases the shard if pages fail and none has arrived for this long: the time of two silent pages in a row.
const STALL_TIMEOUT_MS: Millis = 3_000;
/// How long a host doesn't claim the shard after such a release. The last of the other hosts claims 1.1 s after it has seen the row,
/// which it reads every 0.4 s.
const CLAIM_PAUSE_MS: Millis = 2_000;
/// How long after its claim a new owner that needs relays waits for them at most. Hosts read the owner row every 0.4 s.
const MAX_RELAY_WAIT_MS: Millis = 600;

/// The read of the shard's state in progress; dropping it aborts the read.
pub(super) struct RunningTakeover {
    reader: Rc<PageReader>,
    read_task: JoinHandle<()>,
}

impl Drop for RunningTakeover {
    fn drop(&mut self) {
        self.read_task.abort();
    }
}

impl OwnerLoop {
    /// Starts the read of the shard's state: first what is needed to renew the workers' leases, then the jobs, which may take seconds over a
    /// slow link.
    pub(super) fn read_takeover(&mut self) {
        let epoch = self.lease.row().map_or(0, |row| row.row.epoch);
        let store = self.store.clone();
        let messages = self.messages.clone();
        let reader = Rc::new(takeover_reader());
        let task_reader = reader.clone();
        let halls = self.halls.clone();
        let rules_since = self.rules_since;
        let read_task = spawn_local(async move {
            let published = store.read_published(&task_reader, &halls, rules_since);
            let published = Box::new(published.await);
            let _ = messages.send(OwnerMessage::PublishedRead(epoch, published));
            let recorded = Box::new(store.read_recorded(&task_reader).await);
            let _ = messages.send(OwnerMessage::RecordedRead(epoch, recorded));
        });
        self.takeover = Some(RunningTakeover { reader, read_task });
    }

    /// Releases the shard if pages fail and none arrives although the store accepts this host's writes: its renewals would keep all
    /// other hosts from the shard, one of which may have a better path to the store. While the store accepts no writes nobody can
    /// claim the shard, and the read goes on.
    pub(super) fn check_takeover(&mut self, now: Millis) {
        let stalled_ms = match &self.takeover {
            Some(running) => running.reader.stalled_ms(now),
            None => return,
        };
        let renewed = self.lease.last_renewal();
        let renews = renewed.is_some_and(|at| now < at + SHARD_LEASE_MS);
        if self.write_in_flight || !renews || stalled_ms < STALL_TIMEOUT_MS {
            return;
        }
        self.takeover = None;
        self.published = None;
        self.owned = None;
        self.claims_paused_until = now + CLAIM_PAUSE_MS;
        self.release("the takeover gets nowhere");
    }

    /// Starts the scheduler and renews the workers' leases from now on, since they would expire while the jobs are read.
    ///
    /// With the renewals after the read, a host with an eighth of a core and 10 Mbit/s reached 490 workers only 4 s after their
    /// owner had died, when their leases had expired.
    ///
    /// If more relays are needed, it first keeps the state: [`OwnerLoop::tick_relays`] calls it again until enough relays have connected or
    /// the wait for them is over.
    pub(super) fn apply_published(&mut self, epoch: u64, published: PublishedState) {
        if *self.lease.stage() != LeaseStage::Recovering || !self.is_epoch(epoch) {
            return;
        }
        let now = clock::now();
        let worker_count = published.roster.workers.len();
        let offers = self.offers.values().map(|(handshake, _)| handshake);
        let waits_for_more =
            waits_for_relays(self.settings.processor_millicores, worker_count, offers);
        if waits_for_more && now < self.claimed_at + MAX_RELAY_WAIT_MS {
            self.published = Some((epoch, published));
            return;
        }
        let offers = std::mem::take(&mut self.offers);
        let relays = RelayPool::new(now, epoch, &self.settings, &published.roster, offers);
        let workers = match WorkerClient::new(epoch, WORKER_TIMEOUT) {
            Ok(workers) => workers,
            Err(error) => {
                event("client_failed", &[("error", &error)]);
                return self.lose("no client of the workers");
            }
        };
        self.lease.note_recovered();
        let limits = SchedulerLimits {
            max_lease_ms: self.settings.max_lease_ms,
            keep_finished_ms: self.settings.keep_finished_ms + FINISHED_RETENTION_MARGIN_MS,
            stop_timeout_ms: self.settings.stop_timeout_ms,
            restore_ms: self.settings.restore_ms,
            away_after_ms: self.settings.away_after_ms,
            policies: self.settings.load_policies,
        };
        event(
            "shard_owned",
            &[
                ("epoch", &epoch),
                ("took_ms", &clock::now().saturating_sub(self.claimed_at)),
                ("workers", &published.roster.workers.len()),
            ],
        );
        let info = TakeoverInfo {
            epoch,
            claimed_at: clock::now(),
            earlier_orders_until: self.earlier_orders_until,
            wall_ms: clock::wall_ms(),
            state_pending: true,
            rules_since: self.rules_since,
            roster: published.roster,
            silent: published.silent,
            store_ms: published.store_ms,
            interference: published.interference,
            ..TakeoverInfo::default()
        };
        let listing = follow_workers(self.store.clone(), self.feed.clone());
        self.owned = Some(OwnedShard {
            scheduler: JobScheduler::new(limits, info),
            calls: WorkerCalls::new(workers),
            relays,
            summaries: JobSummaries::default(),
            tenure: ShardTenure::new(self.lease.last_renewal().unwrap_or(self.claimed_at)),
            queues_version: 0,
            evacuated: BTreeSet::new(),
            feed_tasks: vec![spawn_local(listing)],
        });
        self.check_tenure(now);
        self.refresh_queues();
        self.refresh_halls();
        // A tick sends the first lease renewals.
        self.handle(JobEvent::Tick {
            wall_ms: clock::wall_ms(),
        });
        if let Some((epoch, recorded)) = self.recorded.take() {
            self.apply_recorded(epoch, recorded);
        }
    }

    /// Passes the durable jobs to the scheduler, which gives orders from now on.
    pub(super) fn apply_recorded(&mut self, epoch: u64, recorded: RecordedState) {
        self.takeover = None;
        if self.published.is_some() {
            self.recorded = Some((epoch, recorded));
            return;
        }
        let Some(owned) = self.owned.as_mut() else {
            return;
        };
        if owned.scheduler.epoch() != epoch {
            return;
        }
        let RecordedState {
            progress,
            leftovers,
            jobs,
        } = recorded;
        self.leftovers = LeftoverRows::new(leftovers);
        event(
            "shard_read",
            &[
                ("epoch", &epoch),
                ("took_ms", &clock::now().saturating_sub(self.claimed_at)),
                ("jobs", &jobs.events.len()),
            ],
        );
        let follow = follow_jobs(self.store.clone(), jobs.follow_from, self.feed.clone());
        owned.feed_tasks.push(spawn_local(follow));
        let mut events = vec![JobEvent::StateRead {
            progress,
            claim_version: jobs.newest,
        }];
        events.extend(jobs.events);
        self.apply_events(events);
    }

    fn is_epoch(&self, epoch: u64) -> bool {
        self.lease.row().is_some_and(|row| row.row.epoch == epoch)
    }
}
