//! The emulated owners: which host owns the shard, and how its actions are carried out.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use rand::RngExt;
use sandshelf_jobs::{
    CommitBatch, JobAction, JobEvent, JobNumber, JobScheduler, JobSpec, OwnerTenure,
    SchedulerLimits, StoredProgress, TakeoverInfo, WorkerListing,
};

use sandshelf_model::{Millis, WorkerId};

use super::halls::{hall_name, hall_of, HallCut};
use super::{
    EmulatedOwner, Message, PlatformEmulator, CLAIM_AFTER_MS, LIST_INTERVAL_MS, SHARD_LEASE_MS,
    SHARD_RENEWAL_INTERVAL_MS, TAKEOVER_MS, TICK_INTERVAL_MS,
};
use crate::support::emulated_worker::{EmulatedWorker, UNLISTED_AFTER_MS};
use crate::support::{listing, WALL_START_MS};

/// What the store's clock shows when the emulator's shows 0.
const STORE_START_MS: Millis = 5_000_000;
/// How long a read of the store takes; the store's clock may be ahead of the reading by this much.
const READ_MS: Millis = 8;

/// The address of the worker at a place.
fn place_address(place: usize) -> SocketAddr {
    ([10, 0, 0, 1], place as u16 + 1).into()
}

impl EmulatedOwner {
    /// The jobs and cancellations that it has not read yet.
    fn take_unseen(&mut self, jobs: &[(JobNumber, Option<JobSpec>)]) -> Vec<JobEvent> {
        let first = std::mem::replace(&mut self.seen_jobs, jobs.len());
        let unseen = jobs[first..].iter().enumerate();
        let events = unseen.map(|(index, (number, spec))| match spec {
            Some(spec) => JobEvent::JobListed {
                number: *number,
                version: (first + index + 1) as u64,
                spec: Box::new(spec.clone()),
            },
            None => JobEvent::CancelAsked(*number),
        });
        events.collect()
    }
}

impl PlatformEmulator {
    /// Lets a new owner claim the shard if the current one has not been alive for `CLAIM_AFTER_MS`.
    pub(super) fn elect(&mut self) {
        if self.now < self.store_out_until {
            self.owner_alive_at = self.now;
            self.disturbed_at = self.now;
            return;
        }
        let current = self.owners.iter().find(|owner| owner.epoch == self.epoch);
        let writes = |owner: &EmulatedOwner| self.store_healed_at(owner).is_none();
        let alive = current.is_some_and(|owner| self.now >= owner.frozen_until && writes(owner));
        match alive {
            true => self.owner_alive_at = self.now,
            false => self.disturbed_at = self.now,
        }
        let reclaims = self.reclaims_from.is_some_and(|from| self.now >= from) && !alive;
        if self.now < self.owner_alive_at + CLAIM_AFTER_MS && self.epoch > 0 && !reclaims {
            return;
        }
        self.reclaims_from = None;
        self.owner_alive_at = self.now;
        self.epoch += 1;
        let released = std::mem::take(&mut self.released) || reclaims;
        let state_pending = self.plan.state_read_ms > 0;
        let info = TakeoverInfo {
            epoch: self.epoch,
            claimed_at: self.now + TAKEOVER_MS,
            earlier_orders_until: match released {
                true => self.now + SHARD_LEASE_MS,
                false => 0,
            },
            claim_version: self.jobs.len() as u64,
            state_pending,
            progress: match state_pending {
                true => StoredProgress::default(),
                false => self.progress.clone(),
            },
            rules_since: 1,
            roster: self.roster.clone(),
            silent: self.silent.clone(),
            store_ms: STORE_START_MS + self.now,
            ..TakeoverInfo::default()
        };
        let limits = SchedulerLimits {
            max_lease_ms: self.max_lease_ms(),
            policies: self.plan.all_policies(),
            ..SchedulerLimits::default()
        };
        let hall = self.pick_hall();
        self.owners.push(EmulatedOwner {
            epoch: self.epoch,
            hall,
            tenure: OwnerTenure::new(SHARD_LEASE_MS, self.now),
            evacuated: BTreeSet::new(),
            scheduler: JobScheduler::new(limits, info),
            frozen_until: self.now + TAKEOVER_MS,
            turned_away_until: 0,
            listed_at: 0,
            seen_jobs: 0,
            state_pending,
        });
        self.draw_outage_after_claim();
        if state_pending {
            let takes = TAKEOVER_MS + self.random_below(self.plan.state_read_ms);
            self.send(self.now + takes, Message::StateRead(self.epoch));
        }
    }

    /// An owner has read the progress of the jobs, unless the store has gone out meanwhile.
    pub(super) fn read_state(&mut self, epoch: u64) {
        let Some(owner) = self.owners.iter().find(|owner| owner.epoch == epoch) else {
            return;
        };
        let healed = self.store_healed_at(owner).unwrap_or(0);
        let healed = healed.max(self.store_out_until).max(owner.frozen_until);
        if self.now < healed {
            let takes = self.random_below(self.plan.state_read_ms);
            return self.send(healed + takes, Message::StateRead(epoch));
        }
        let mut events = vec![JobEvent::StateRead {
            progress: self.progress.clone(),
            claim_version: self.jobs.len() as u64,
        }];
        let Some(owner) = self.owners.iter_mut().find(|owner| owner.epoch == epoch) else {
            return;
        };
        owner.state_pending = false;
        events.extend(owner.take_unseen(&self.jobs));
        let actions = owner.scheduler.handle_all(self.now, events);
        for action in actions {
            self.apply_action(epoch, action);
        }
    }

    pub(super) fn step_owners(&mut self) {
        let now = self.now;
        let store_up = now >= self.store_out_until;
        self.remove_superseded_owners();
        let epochs: Vec<u64> = self.owners.iter().map(|owner| owner.epoch).collect();
        for epoch in epochs {
            let owner = self.owners.iter().find(|owner| owner.epoch == epoch);
            let served = owner.is_none_or(|owner| self.store_healed_at(owner).is_none());
            let reachable = store_up && served;
            let cut = self.hall_cut();
            let Some(owner) = self.owners.iter_mut().find(|owner| owner.epoch == epoch) else {
                continue;
            };
            if now < owner.frozen_until {
                continue;
            }
            let mut events = Vec::new();
            if now.is_multiple_of(SHARD_RENEWAL_INTERVAL_MS) {
                // In an outage all hosts report that they have no store, unless a cut keeps some
                // from answering.
                let unclaimed = !store_up && cut.is_none();
                if reachable && epoch == self.epoch {
                    owner.tenure.note_renewed(now);
                } else if unclaimed {
                    owner.tenure.note_unclaimed(now + SHARD_LEASE_MS);
                }
                events.push(JobEvent::SureUntil(owner.tenure.sure_until()));
                let renews = reachable && epoch == self.epoch;
                events.push(JobEvent::OwnershipOverdue(!renews));
            }
            let mut clock_shown = None;
            // Only the current owner reads the store; a superseded one learns of it from the
            // workers.
            if reachable && epoch == self.epoch {
                if !owner.state_pending {
                    events.extend(owner.take_unseen(&self.jobs));
                }
                let evacuated: BTreeSet<usize> = self.evacuated.keys().copied().collect();
                if owner.evacuated != evacuated {
                    let halls = evacuated.iter().map(|hall| hall_name(*hall));
                    // Evacuations are read before anything is started.
                    events.insert(0, JobEvent::HallsEvacuated(halls.collect()));
                    owner.evacuated = evacuated;
                }
                if now >= owner.listed_at + LIST_INTERVAL_MS {
                    owner.listed_at = now;
                    let omits_cut_workers = self.plan.omits_cut_workers;
                    let listed = |worker: &&EmulatedWorker| {
                        let up = now >= worker.down_until.max(worker.listed_from);
                        let up = up && !is_unlisted(cut, now, worker.place);
                        let up = up && now >= worker.unlisted_until;
                        (!omits_cut_workers || worker.is_listed(now)) && up
                    };
                    let entries = self.workers.iter().filter(listed).map(|worker| {
                        let mut entry = listing(worker.id.as_str());
                        entry.address = place_address(worker.place);
                        entry.incarnation = Some(worker.incarnation);
                        entry.draining = worker.draining_since.is_some();
                        entry.hall = hall_name(hall_of(worker.place));
                        entry.capacity = worker.room.reported();
                        entry
                    });
                    let shown = |id: &WorkerId| {
                        self.workers
                            .iter()
                            .any(|known| known.id == *id && listed(&known))
                    };
                    let stale_entries = self.stale_entries.iter();
                    let stale_entries =
                        stale_entries.filter(|entry| now < entry.until && !shown(&entry.worker));
                    let stale_entries = stale_entries.map(|entry| WorkerListing {
                        address: place_address(entry.place),
                        hall: hall_name(hall_of(entry.place)),
                        incarnation: Some(entry.incarnation),
                        ..listing(entry.worker.as_str())
                    });
                    let at_most_ms = STORE_START_MS + now + READ_MS;
                    clock_shown = Some(JobEvent::StoreClock {
                        at: now,
                        at_most_ms,
                    });
                    events.push(JobEvent::WorkersListed(
                        entries.chain(stale_entries).collect(),
                    ));
                }
            }
            if now.is_multiple_of(TICK_INTERVAL_MS) {
                let wall_ms = WALL_START_MS + now;
                events.push(JobEvent::Tick { wall_ms });
            }
            if let Some(event) = clock_shown {
                let late = self.random_below(self.plan.late_clock_ms);
                self.send(now + late, Message::Answered(epoch, event));
            }
            let lists = |event: &JobEvent| matches!(event, JobEvent::WorkersListed(_));
            let listed = events.iter().any(lists);
            for event in events {
                self.deliver_event(epoch, event);
            }
            if listed {
                self.note_list_read();
            }
        }
    }

    /// Ends superseded owners whose hall is no longer cut off: their renewals are rejected.
    fn remove_superseded_owners(&mut self) {
        if self.plan.hall_cuts == 0 || !self.now.is_multiple_of(SHARD_RENEWAL_INTERVAL_MS) {
            return;
        }
        let cut = self.hall_cut().map(|cut| cut.hall);
        let current = self.epoch;
        let outlasts = |owner: &EmulatedOwner| owner.epoch == current || cut == Some(owner.hall);
        let now = self.now;
        self.owners
            .retain(|owner| outlasts(owner) || now < owner.frozen_until);
    }

    /// A random time below `limit`, or 0 where `limit` is 0.
    fn random_below(&mut self, limit: Millis) -> Millis {
        match limit {
            0 => 0,
            limit => self.random.random_range(0..limit),
        }
    }

    pub(super) fn deliver_event(&mut self, epoch: u64, event: JobEvent) {
        let now = self.now;
        let Some(owner) = self.owners.iter_mut().find(|owner| owner.epoch == epoch) else {
            return;
        };
        if now < owner.frozen_until {
            // Events for a frozen host are handled when it resumes.
            let at = owner.frozen_until;
            self.send(at, Message::Answered(epoch, event));
            return;
        }
        let actions = owner.scheduler.handle(now, event);
        for action in actions {
            self.apply_action(epoch, action);
        }
    }

    fn apply_action(&mut self, epoch: u64, action: JobAction) {
        match action {
            JobAction::Note(note) => self.second_runs.note_conclusion(self.now, epoch, &note),
            JobAction::Deposed => self.owners.retain(|owner| owner.epoch != epoch),
            JobAction::Commit(batch) => self.commit(epoch, batch),
            JobAction::Call { worker, call, .. } => self.call(epoch, worker, call),
        }
    }

    /// The hall of the owner of an epoch.
    pub(super) fn owner_hall(&self, epoch: u64) -> Option<usize> {
        let owner = self.owners.iter().find(|owner| owner.epoch == epoch);
        owner.map(|owner| owner.hall)
    }

    /// The store turns the current owner's host away for some seconds.
    pub(super) fn turn_owner_away(&mut self) {
        let until = self.now + self.random.random_range(1_000..9_000);
        if let Some(owner) = self.owners.last_mut() {
            owner.turned_away_until = until;
        }
    }

    /// From when on the store serves an owner that it doesn't serve now.
    fn store_healed_at(&self, owner: &EmulatedOwner) -> Option<Millis> {
        let turned_away = Some(owner.turned_away_until).filter(|until| self.now < *until);
        self.without_store_until(owner.hall).max(turned_away)
    }

    /// Sends a write to the store. A write that the store does not take is sent again once it does, unless its owner has died by then.
    pub(super) fn commit(&mut self, epoch: u64, batch: CommitBatch) {
        let owner = self.owners.iter().find(|owner| owner.epoch == epoch);
        let Some(owner) = owner else {
            return;
        };
        let healed = self.store_healed_at(owner).unwrap_or(0);
        let healed = healed.max(self.store_out_until);
        if self.now < healed {
            return self.send(healed, Message::Rewritten(epoch, batch));
        }
        let takes = 5 + self.random_below(self.plan.slow_writes_ms);
        self.send(self.now + takes, Message::Written(epoch, batch));
    }

    /// Stores a write, unless another owner has claimed since.
    pub(super) fn write(&mut self, epoch: u64, batch: CommitBatch) {
        if self.now < self.store_out_until {
            return self.commit(epoch, batch);
        }
        if epoch != self.epoch {
            self.owners.retain(|owner| owner.epoch != epoch);
            return;
        }
        for (number, row) in &batch.progress {
            self.oracle.shown(self.now, *number, row.stage);
        }
        self.progress.apply(&batch);
        batch.roster.apply_to(&mut self.roster);
        batch.silent.apply_to(&mut self.silent);
        self.deliver_event(epoch, JobEvent::Committed(batch.id));
    }
}

/// Whether lists omit a worker because its hall has been cut off for so long that its entry has
/// expired.
fn is_unlisted(cut: Option<HallCut>, now: Millis, place: usize) -> bool {
    cut.is_some_and(|cut| cut.hall == hall_of(place) && now > cut.since + UNLISTED_AFTER_MS)
}
