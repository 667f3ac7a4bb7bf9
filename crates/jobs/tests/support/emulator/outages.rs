//! Outages of the store in a series with other faults: workers that join, drain, are cut off and are not listed, and new owners.

use rand::RngExt;
use sandshelf_model::{Millis, WorkerId};

use super::{Message, PlatformEmulator, TAKEOVER_MS};

/// The most workers that there are once workers join.
const MAX_WORKERS: usize = 12;
/// How long after the return of the store an entry that lapsed may be missing.
const ENTRY_BACK_MS: Millis = 2_000;
/// How long after the owner has read of a worker that has joined the store goes out at most. A write of the roster takes about as long.
const LISTED_TO_OUTAGE_MS: Millis = 60;
/// How long a host takes at most to start again and to read the owner row.
const RESTART_MS: Millis = 800;

/// A fault that is due at a drawn time.
pub(super) enum PlannedFault {
    /// A worker joins; the store goes out once the owner has read of it.
    Join,
    /// The store goes out for all hosts.
    Outage,
    /// A worker restarts under its name after this long.
    Restart(WorkerId, Millis),
    /// A worker is cut off for this long.
    Cut(WorkerId, Millis),
    /// The owner dies; another host claims the shard later.
    OwnerDies,
    /// The owner dies, and its host claims the shard again as soon as it can.
    OwnerReclaims,
    /// The store turns the owner's host away.
    OwnerTurnedAway,
    /// The owner freezes for this long.
    OwnerFreezes(Millis),
    /// The owner releases the shard as planned.
    OwnerReleases,
}

impl PlatformEmulator {
    /// Draws the drains of a series, and when its outage begins.
    pub(super) fn plan_outage_series(&mut self) {
        for index in 0..self.workers.len() {
            let leaves = self.workers[index].leaves_at.is_some();
            if !leaves && self.chance(self.plan.draining_in_outages) {
                let serves_on = self.random.random_range(4_000..14_000);
                self.workers[index].draining_since = Some(self.now);
                self.workers[index].leaves_at = Some(self.now + serves_on);
                self.workers[index].leaves_for_good = self.random.random_bool(0.5);
            }
        }
        let begins_at = self.now + self.random.random_range(0..2_000);
        let fault = match self.chance(self.plan.joins) {
            true => PlannedFault::Join,
            false => PlannedFault::Outage,
        };
        self.send(begins_at, Message::Fault(fault));
    }

    pub(super) fn inject_planned(&mut self, fault: PlannedFault) {
        match fault {
            PlannedFault::Join => self.join_worker(),
            PlannedFault::Outage => self.begin_outage(),
            PlannedFault::Restart(worker, down) => self.restart_named(&worker, down),
            PlannedFault::Cut(worker, millis) => self.cut_worker(&worker, millis),
            PlannedFault::OwnerDies => {
                self.owners.pop();
            }
            PlannedFault::OwnerReclaims => {
                self.owners.pop();
                self.reclaims_from = Some(self.now + self.random.random_range(50..RESTART_MS));
            }
            PlannedFault::OwnerTurnedAway => self.turn_owner_away(),
            PlannedFault::OwnerFreezes(millis) => self.freeze_owner(millis),
            PlannedFault::OwnerReleases => self.release_shard(),
        }
    }

    fn join_worker(&mut self) {
        if self.workers.len() >= MAX_WORKERS {
            return self.begin_outage();
        }
        let place = self.places;
        self.places += 1;
        let worker = self.new_worker(place);
        self.joined = Some(worker.id.clone());
        self.workers.push(worker);
    }

    /// The owner has read the list of workers: the store goes out soon if a worker has joined in a series.
    pub(super) fn note_list_read(&mut self) {
        if self.joined.take().is_some() {
            let begins_at = self.now + self.random.random_range(1..LISTED_TO_OUTAGE_MS);
            self.send(begins_at, Message::Fault(PlannedFault::Outage));
        }
    }

    /// Draws whether the store goes out again right after a claim.
    pub(super) fn draw_outage_after_claim(&mut self) {
        let wanted = self.injects && self.plan.outages_after_claims > 0;
        if wanted && self.chance(self.plan.outages_after_claims) {
            let begins_at = self.now + self.random.random_range(TAKEOVER_MS..500);
            self.send(begins_at, Message::Fault(PlannedFault::Outage));
        }
    }

    /// The store goes out; entries lapse meanwhile, workers are cut off, and the owner changes.
    fn begin_outage(&mut self) {
        let lasts = self.random.random_range(500..6_000);
        let returns_at = self.now + lasts;
        self.store_out_until = self.store_out_until.max(returns_at);
        for index in 0..self.workers.len() {
            if self.chance(self.plan.lapsing_entries) {
                let back = returns_at + self.random.random_range(0..ENTRY_BACK_MS);
                self.workers[index].unlisted_until = back;
            }
            if self.chance(self.plan.cut_in_outages) {
                let at = self.now + self.random.random_range(0..lasts + 3_000);
                let fault = PlannedFault::Cut(
                    self.workers[index].id.clone(),
                    self.random.random_range(1_000..9_000),
                );
                self.send(at, Message::Fault(fault));
            }
        }
        if self.chance(self.plan.owner_changes) {
            let at = self.now + self.random.random_range(0..lasts + 1_500);
            let fault = match self.chance(self.plan.reclaims) {
                true => PlannedFault::OwnerReclaims,
                false if self.random.random_bool(0.3) => PlannedFault::OwnerTurnedAway,
                false => PlannedFault::OwnerDies,
            };
            self.send(at, Message::Fault(fault));
        }
    }

    fn cut_worker(&mut self, id: &WorkerId, millis: Millis) {
        let refuses = self.chance(self.plan.refusing_cuts);
        let now = self.now;
        let worker = self.workers.iter_mut().find(|worker| worker.id == *id);
        if let Some(worker) = worker {
            worker.cut_since = now;
            worker.cut_until = now + millis;
            worker.cut_refuses = refuses;
        }
    }
}
