//! Read access to a shard owner's state, and settings for measurements.

use sandshelf_model::{AttemptId, Epoch, Millis, ResourceSize, ShardId, TaskId, TeamId, WorkerId};
use sandshelf_place::{
    PendingKey, PlaceStrategy, PressureStrategy, QuotaLedger, SlowdownSample, WorkerPool,
};

use super::ShardOwner;
use crate::events::{OwnerCounts, PlacedReason, ShardRoom, WaitReason};
use crate::ownership::LeaseStage;
use crate::row::StoredRow;
use crate::session::WorkerSession;
use crate::state::ShardState;

impl ShardOwner {
    /// The shard.
    pub fn shard(&self) -> &ShardId {
        &self.shard
    }

    /// The host's ownership stage for the shard.
    pub fn stage(&self) -> &LeaseStage {
        self.lease.stage()
    }

    /// Whether this host owns the shard and its lease has not run out.
    pub fn is_owner(&self, now: Millis) -> bool {
        self.lease.is_valid(now)
    }

    /// The epoch of the row as last seen; 0 where no row was seen.
    pub fn epoch(&self) -> Epoch {
        self.lease.row().map_or(0, |seen| seen.row.epoch)
    }

    /// The shard's row as last seen.
    pub fn row(&self) -> Option<&StoredRow> {
        self.lease.row()
    }

    /// The durable state; empty where this host isn't the owner.
    pub fn state(&self) -> &ShardState {
        &self.state
    }

    /// The workers and their reservations.
    pub fn pool(&self) -> &WorkerPool {
        &self.pool
    }

    /// The session with a worker.
    pub fn session(&self, worker: &WorkerId) -> Option<&WorkerSession> {
        self.sessions.get(worker)
    }

    /// Counts of commits, messages and other operations.
    pub fn counts(&self) -> &OwnerCounts {
        &self.counts
    }

    /// Why a waiting task waits: [`WaitReason::Store`] for all tasks while the ownership lease is not valid.
    pub fn wait_reason(&self, now: Millis, task: &TaskId) -> WaitReason {
        if !self.lease.is_valid(now) {
            return WaitReason::Store;
        }
        self.wait_reasons
            .get(task)
            .copied()
            .unwrap_or(WaitReason::Turn)
    }

    /// Why an attempt was placed on its worker; none where an earlier owner placed it.
    pub fn placed_reason(&self, attempt: &AttemptId) -> Option<&PlacedReason> {
        self.placed_reasons.get(attempt)
    }

    /// The teams' quota slices and how much of them is held.
    pub fn quotas(&self) -> &QuotaLedger {
        &self.quotas
    }

    /// The quota that a team needs in this shard: what its placed attempts hold plus
    /// the size of its next waiting tasks.
    ///
    /// Counts at most 64 waiting tasks of each urgency.
    pub fn quota_demand(&self, team: &TeamId) -> ResourceSize {
        const MAX_WAITING_TASKS: usize = 64;
        let mut wish = self.quotas.held(team);
        for urgent in [true, false] {
            let key = PendingKey {
                urgent,
                team: team.clone(),
            };
            for task in self.queue.tasks_after(&key, None, MAX_WAITING_TASKS) {
                let size = self.state.spec(&task.job).map(|spec| spec.size);
                wish = wish.plus(&size.unwrap_or_default()).unwrap_or(wish);
            }
        }
        wish
    }

    /// The number of waiting tasks.
    pub fn waiting_count(&self) -> usize {
        self.queue.len()
    }

    /// Sets the strategies for placement and for relief of slowed services; for measurements.
    pub fn set_strategy(&mut self, place: PlaceStrategy, pressure: PressureStrategy) {
        self.pool.set_strategy(place);
        self.gauge.set_strategy(pressure);
    }

    /// Learns from a sample without acting on it, so that measurements can start with known estimates.
    pub fn learn(&mut self, now: Millis, sample: &SlowdownSample) {
        self.pool.estimate.learn(sample, now);
    }

    /// The shard's free capacity, to be published to the other shards; zero while this host does not hold the shard.
    ///
    /// Counts workers that are fenced, not draining and not gone.
    pub fn room(&self) -> ShardRoom {
        let mut room = ShardRoom {
            shard: self.shard.clone(),
            capacity: ResourceSize::default(),
            largest: ResourceSize::default(),
            cpu_millis: 0,
        };
        if *self.lease.stage() != LeaseStage::Holding {
            return room;
        }
        for (worker, session) in &self.sessions {
            if !session.fenced || session.leaving || session.gone {
                continue;
            }
            let free = self.pool.free(worker).unwrap_or_default();
            room.cpu_millis += free.cpu_millis;
            room.capacity = room.capacity.max_with(&self.pool.room_when_empty(worker));
            if free.cpu_millis > room.largest.cpu_millis {
                room.largest = free;
            }
        }
        room
    }
}
