//! What an owner shows of itself.

use sandshelf_model::{AttemptId, Epoch, Millis, ResourceSize, ShardId, TaskId, TeamId, WorkerId};
use sandshelf_place::{
    PairSample, PendingKey, PlaceStrategy, PressureStrategy, QuotaLedger, WorkerPool,
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

    /// How this host stands to the shard.
    pub fn stage(&self) -> &LeaseStage {
        self.lease.stage()
    }

    /// Whether this host owns the shard and its lease has not run out.
    pub fn is_owner(&self, now: Millis) -> bool {
        self.lease.is_valid(now)
    }

    /// The epoch of the row as last seen.
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

    /// The workers and what is reserved on them.
    pub fn pool(&self) -> &WorkerPool {
        &self.pool
    }

    /// Dealings with a worker.
    pub fn session(&self, worker: &WorkerId) -> Option<&WorkerSession> {
        self.sessions.get(worker)
    }

    /// Counts.
    pub fn counts(&self) -> &OwnerCounts {
        &self.counts
    }

    /// Why a waiting task waits.
    pub fn wait_reason(&self, now: Millis, task: &TaskId) -> WaitReason {
        if !self.lease.is_valid(now) {
            return WaitReason::Store;
        }
        self.waiting.get(task).copied().unwrap_or(WaitReason::Turn)
    }

    /// Why an attempt is where it is, where this host placed it.
    pub fn placed_reason(&self, attempt: &AttemptId) -> Option<&PlacedReason> {
        self.reasons.get(attempt)
    }

    /// The teams' slices and what is held under them.
    pub fn quotas(&self) -> &QuotaLedger {
        &self.quotas
    }

    /// What a team's tasks hold here and what those that wait next would hold, too.
    pub fn quota_demand(&self, team: &TeamId) -> ResourceSize {
        const LOOKED_AT: usize = 64;
        let mut wish = self.quotas.held(team);
        for urgent in [true, false] {
            let key = PendingKey {
                urgent,
                team: team.clone(),
            };
            for task in self.queue.tasks_after(&key, None, LOOKED_AT) {
                let size = self.state.spec(&task.job).map(|spec| spec.size);
                wish = wish.plus(&size.unwrap_or_default()).unwrap_or(wish);
            }
        }
        wish
    }

    /// How many tasks wait.
    pub fn waiting_count(&self) -> usize {
        self.queue.len()
    }

    /// Chooses workers by another strategy; for measurements.
    pub fn set_strategy(&mut self, place: PlaceStrategy, pressure: PressureStrategy) {
        self.pool.set_strategy(place);
        self.gauge.set_strategy(pressure);
    }

    /// Learns a measurement without acting on it; for measurements with what is known beforehand.
    pub fn learn(&mut self, now: Millis, sample: &PairSample) {
        self.pool.estimate.learn(sample, now);
    }

    /// How much room the shard has, to tell the other shards.
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
