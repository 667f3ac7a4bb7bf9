//! The reserved workers, and which other tasks may use them.

use std::collections::BTreeMap;

use sandshelf_model::{Millis, ResourceSize, WorkerId};

use crate::ids::TaskKey;
use crate::spec::StepSpec;

/// Estimates may be wrong by a factor of two, so a task counts as ending in time if twice its estimate does.
const ESTIMATE_FACTOR: u64 = 2;

/// A worker that is reserved for a waiting task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Reservation {
    pub(super) task: TaskKey,
    pub(super) room: ResourceSize,
    /// When the capacity is expected to suffice.
    pub(super) ready_at: Millis,
    /// When the reservation ends, whether the task has started or not.
    pub(super) until: Millis,
}

/// The reserved workers.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReservationBook {
    pub(super) by_worker: BTreeMap<WorkerId, Reservation>,
    /// The tasks whose reservation has ended without a start, and until when they get no other.
    pub(super) paused: BTreeMap<TaskKey, Millis>,
    /// The workers whose reservation has ended without a start, and until when they are not reserved again.
    pub(super) resting: BTreeMap<WorkerId, Millis>,
    pub(super) refreshed_at: Millis,
    /// The processors of the smallest worker of each service, in thousandths of a core.
    pub(super) smallest: BTreeMap<String, u64>,
    /// Until when each service keeps its large workers for tasks that fit on no small one.
    pub(super) large_until: BTreeMap<String, Millis>,
}

impl ReservationBook {
    /// The number of reserved workers.
    pub(crate) fn len(&self) -> usize {
        self.by_worker.len()
    }

    /// Whether a task may start on a worker with this free capacity: the worker is not reserved for another one, the task leaves enough
    /// for that one, or it ends before the reserved capacity is ready (backfilling).
    pub(crate) fn allows_start(
        &self,
        now: Millis,
        worker: &WorkerId,
        task: &TaskKey,
        step: &StepSpec,
        free: &ResourceSize,
    ) -> bool {
        let Some(reservation) = self.by_worker.get(worker) else {
            return true;
        };
        let leaves_enough = reservation
            .room
            .fits_in(&free.saturating_minus(&step.room()));
        let ends_at = now + step.estimate_ms * ESTIMATE_FACTOR;
        let ends_before = !step.standing && step.estimate_ms > 0 && ends_at <= reservation.ready_at;
        reservation.task == *task || leaves_enough || ends_before
    }

    /// The worker that is reserved for a task. The task may start there although tasks like it can't.
    pub(crate) fn worker_for(&self, task: &TaskKey) -> Option<&WorkerId> {
        let mut reservations = self.by_worker.iter();
        let found = reservations.find(|(_, reservation)| reservation.task == *task);
        found.map(|(worker, _)| worker)
    }
}
