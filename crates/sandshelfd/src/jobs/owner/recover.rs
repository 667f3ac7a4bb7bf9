//! Reads the shard's state after a claim, and gives way where that gets nowhere.

use std::collections::BTreeSet;
use std::rc::Rc;

use sandshelf_adapter::WorkerClient;
use sandshelf_jobs::relay::waits_for_relays;
use sandshelf_jobs::{JobEvent, JobScheduler, JobSummaries, SchedulerLimits, TakeoverInfo};
use sandshelf_lease::LeaseStage;
use sandshelf_model::Millis;
use tokio::task::{spawn_local, JoinHandle};

use super::{OwnedShard, OwnerLoop, OwnerMessage, SHARD_LEASE_MS, WORKER_PATIENCE};
use crate::clock;
use crate::jobs::calls::WorkerCalls;
use crate::jobs::intake::{follow_jobs, follow_workers};
use crate::jobs::owner::carry::RelayPool;
use crate::jobs::owner::tenure::ShardTenure;
use crate::jobs::pages::PageReads;
use crate::jobs::takeover::{takeover_reads, PublishedState, RecordedState};
use crate::logging::event;

/// By how much longer than asked the state of a finished job is kept: callers' and owners' clocks differ.
const KEEP_MARGIN_MS: Millis = 10_000;
/// After so long without a page that came, while pages fail, a host gives the shard up: two pages on end that stayed silent.
const STALLED_AFTER_MS: Millis = 3_000;
/// For how long it doesn't claim the shard then: the last of the other hosts claims 1.1 s after it has seen the row, which it
/// reads every 0.4 s.
const GIVE_WAY_MS: Millis = 2_000;
/// For how long after its claim a new owner waits for relays where it needs them: hosts look at the owner's row every 0.4 s.
const RELAYS_WITHIN_MS: Millis = 600;

/// The reading of the shard's state, ended with its value.
pub(super) struct RunningTakeover {
    reads: Rc<PageReads>,
    reading: JoinHandle<()>,
}

impl Drop for RunningTakeover {
    fn drop(&mut self) {
        self.reading.abort();
    }
}

impl OwnerLoop {
    /// Reads first what is needed to hold the workers, then the jobs, which may take seconds over a thin link.
    pub(super) fn read_takeover(&mut self) {
        let epoch = self.lease.row().map_or(0, |row| row.row.epoch);
        let store = self.store.clone();
        let messages = self.messages.clone();
        let reads = Rc::new(takeover_reads());
        let noted = reads.clone();
        let halls = self.halls.clone();
        let reading = spawn_local(async move {
            let published = Box::new(store.read_published(&noted, &halls).await);
            let _ = messages.send(OwnerMessage::PublishedRead(epoch, published));
            let recorded = Box::new(store.read_recorded(&noted).await);
            let _ = messages.send(OwnerMessage::RecordedRead(epoch, recorded));
        });
        self.takeover = Some(RunningTakeover { reads, reading });
    }

    /// Gives the shard up where pages fail and none comes although the store takes this host's writes: its renewals would keep
    /// all others from the shard, where one with a better path to the store may read it. While the store takes no writes nobody
    /// can claim, and the reading goes on.
    pub(super) fn check_takeover(&mut self, now: Millis) {
        let stalled_ms = match &self.takeover {
            Some(running) => running.reads.stalled_ms(now),
            None => return,
        };
        let renewed = self.lease.last_renewal();
        let renews = renewed.is_some_and(|at| now < at + SHARD_LEASE_MS);
        if self.writing || !renews || stalled_ms < STALLED_AFTER_MS {
            return;
        }
        self.takeover = None;
        self.published = None;
        self.owned = None;
        self.gives_way_until = now + GIVE_WAY_MS;
        self.release("the takeover gets nowhere");
    }

    /// Holds the workers from now on: their leases run out while the jobs are read.
    ///
    /// With the holds behind the reading, a host with an eighth of a core and 10 Mbit/s came to 490 workers 4 s after their
    /// owner's death, when their leases were over.
    pub(super) fn take_published(&mut self, epoch: u64, published: PublishedState) {
        if *self.lease.stage() != LeaseStage::Recovering || !self.is_epoch(epoch) {
            return;
        }
        let now = clock::now();
        let known = published.roster.workers.len();
        let offers = self.offers.values().map(|(greeting, _)| greeting);
        let waits = waits_for_relays(self.settings.processor_millicores, known, offers);
        if waits && now < self.claimed_at + RELAYS_WITHIN_MS {
            self.published = Some((epoch, published));
            return;
        }
        let offers = std::mem::take(&mut self.offers);
        let relays = RelayPool::new(now, epoch, &self.settings, &published.roster, offers);
        let workers = match WorkerClient::new(epoch, WORKER_PATIENCE) {
            Ok(workers) => workers,
            Err(error) => {
                event("client_failed", &[("error", &error)]);
                return self.lose("no client of the workers");
            }
        };
        self.lease.note_recovered();
        let limits = SchedulerLimits {
            max_lease_ms: self.settings.max_lease_ms,
            keep_finished_ms: self.settings.keep_finished_ms + KEEP_MARGIN_MS,
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
            wall_ms: clock::wall_ms(),
            state_pending: true,
            rules_since: self.rules_since,
            roster: published.roster,
            silent: published.silent,
            store_ms: published.store_ms,
            interference: published.strengths,
            ..TakeoverInfo::default()
        };
        let listing = follow_workers(self.store.clone(), self.intake.clone());
        self.owned = Some(OwnedShard {
            scheduler: JobScheduler::new(limits, info),
            calls: WorkerCalls::new(workers),
            relays,
            stories: JobSummaries::default(),
            tenure: ShardTenure::new(self.lease.last_renewal().unwrap_or(self.claimed_at)),
            queues_version: 0,
            evacuated: BTreeSet::new(),
            followers: vec![spawn_local(listing)],
        });
        self.check_tenure(now);
        self.refresh_queues();
        self.refresh_halls();
        // A tick sends the first holds.
        self.handle(JobEvent::Tick {
            wall_ms: clock::wall_ms(),
        });
        if let Some((epoch, recorded)) = self.recorded.take() {
            self.take_recorded(epoch, recorded);
        }
    }

    /// Takes in the jobs, and gives orders from now on.
    pub(super) fn take_recorded(&mut self, epoch: u64, recorded: RecordedState) {
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
        let RecordedState { progress, jobs } = recorded;
        event(
            "shard_read",
            &[
                ("epoch", &epoch),
                ("took_ms", &clock::now().saturating_sub(self.claimed_at)),
                ("jobs", &jobs.events.len()),
            ],
        );
        let follow = follow_jobs(self.store.clone(), jobs.follow_from, self.intake.clone());
        owned.followers.push(spawn_local(follow));
        let mut events = vec![JobEvent::StateRead {
            progress,
            claim_version: jobs.newest,
        }];
        events.extend(jobs.events);
        self.take_events(events);
    }

    fn is_epoch(&self, epoch: u64) -> bool {
        self.lease.row().is_some_and(|row| row.row.epoch == epoch)
    }
}
