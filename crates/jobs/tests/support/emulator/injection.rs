//! Injects the faults of a plan, once a second.

use rand::RngExt;
use sandshelf_model::Millis;

use super::{PlatformEmulator, CLAIM_AFTER_MS, RELEASE_TO_CLAIM_MS, STALE_ENTRY_MS};

impl PlatformEmulator {
    /// Draws the faults of the next second.
    pub(super) fn inject_faults(&mut self) {
        if self.chance(self.plan.outages) {
            self.store_out_until = self.now + self.random.random_range(500..5_000);
        }
        if self.plan.outage_series > 0 && self.chance(self.plan.outage_series) {
            self.plan_outage_series();
        }
        if self.plan.restart_series > 0 && self.chance(self.plan.restart_series) {
            self.plan_restart_series();
        }
        if self.plan.hall_cuts > 0 && self.chance(self.plan.hall_cuts) {
            self.cut_off_hall();
        }
        if self.plan.evacuations > 0 && self.chance(self.plan.evacuations) {
            self.evacuate_hall();
        }
        if self.plan.mass_restarts > 0 && self.chance(self.plan.mass_restarts) {
            self.restart_all_workers();
        }
        if self.chance(self.plan.deaths) {
            self.owners.pop();
        }
        if self.chance(self.plan.freezes) {
            let lasts = self.random.random_range(1_000..5_000);
            self.freeze_owner(lasts);
        }
        if self.plan.turn_aways > 0 && self.chance(self.plan.turn_aways) {
            self.turn_owner_away();
        }
        if self.plan.hand_overs > 0 && self.chance(self.plan.hand_overs) {
            self.release_shard();
        }
        for index in 0..self.workers.len() {
            self.inject_permanent_loss(index);
            let flaps = index < self.plan.flapping && self.chance(300);
            if self.chance(self.plan.crashes) || flaps {
                self.crash_worker(index);
            }
            if self.plan.shrinks > 0 && self.chance(self.plan.shrinks) {
                let whole = self.workers[index].room.is_full();
                let percent = match whole {
                    true => self.random.random_range(self.plan.min_capacity_percent..90),
                    false => 100,
                };
                self.workers[index].room.change(self.now, percent);
            }
            if self.chance(self.plan.cuts) {
                let until = self.now + self.random.random_range(500..9_000);
                self.workers[index].cut_since = self.now;
                self.workers[index].cut_until = until;
                self.workers[index].cut_refuses = false;
            }
            if self.chance(self.plan.drains) && self.workers[index].leaves_at.is_none() {
                self.workers[index].draining_since = Some(self.now);
                self.workers[index].leaves_at = Some(self.now + 4_000);
            }
        }
    }

    /// The owner freezes, and resumes some time later.
    pub(super) fn freeze_owner(&mut self, millis: Millis) {
        if let Some(owner) = self.owners.last_mut() {
            owner.frozen_until = self.now + millis;
        }
    }

    /// The owner releases the shard as planned.
    pub(super) fn release_shard(&mut self) {
        self.owners.pop();
        self.released = true;
        self.owner_alive_at = (self.now + RELEASE_TO_CLAIM_MS).saturating_sub(CLAIM_AFTER_MS);
    }

    fn inject_permanent_loss(&mut self, index: usize) {
        if self.workers[index].leaves_at.is_some() {
            return;
        }
        if self.plan.departures > 0 && self.chance(self.plan.departures) {
            let serves_on = self.random.random_range(3_000..10_000);
            self.workers[index].draining_since = Some(self.now);
            self.workers[index].leaves_at = Some(self.now + serves_on);
            self.workers[index].leaves_for_good = true;
        } else if self.plan.losses > 0 && self.chance(self.plan.losses) {
            self.keep_stale_entry(index, self.now + STALE_ENTRY_MS);
            self.workers[index].leaves_for_good = true;
            self.replace_worker(index);
        }
    }
}
