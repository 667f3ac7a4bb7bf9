//! Places waiting tasks on workers.

use sandshelf_config::JobSpec;
use sandshelf_model::{AttemptId, Millis, ResourceSize, TaskId, WorkerId};
use sandshelf_place::{PendingKey, PlaceChoice, PlaceOutcome, TaskNeed, TaskReservation};

use crate::events::{PlacedReason, WaitReason};
use crate::journal::JournalRecord;
use crate::owner::{AttemptHold, ShardOwner};
use crate::window::FamilyWindow;

/// The maximum number of placements decided per event.
const MAX_PLACED_PER_EVENT: usize = 256;
/// The maximum number of waiting tasks examined per event.
const MAX_EXAMINED_PER_EVENT: usize = 1_024;
/// The maximum number of waiting tasks of one list (one team and urgency) examined per event.
const MAX_EXAMINED_PER_LIST: usize = 128;
/// Above this number of buffered records, no further tasks are placed or handed off.
pub(crate) const MAX_BUFFERED_RECORDS: usize = 4_000;
/// Reduction of a task's placement cost per second of waiting, so that no family starves.
const WAIT_BONUS_PER_SECOND: f64 = 0.003;

/// The result of trying to place one waiting task.
enum PlacementResult {
    Placed,
    Waits(WaitReason),
    /// The task is unplaceable or its job is unknown.
    Ended,
}

impl ShardOwner {
    /// Places waiting tasks as far as worker capacity, quotas and the record buffer allow.
    pub(crate) fn place_waiting(&mut self, now: Millis) {
        if self.queue.is_empty() {
            return;
        }
        if self.releasing || !self.lease.is_valid(now) || self.buffer.len() > MAX_BUFFERED_RECORDS {
            return;
        }
        let mut examine_budget = MAX_EXAMINED_PER_EVENT;
        let mut place_budget = MAX_PLACED_PER_EVENT;
        for key in self.queue.serving_order(&self.quotas) {
            self.place_list(now, &key, &mut examine_budget, &mut place_budget);
        }
    }

    fn place_list(
        &mut self,
        now: Millis,
        key: &PendingKey,
        examine_budget: &mut usize,
        place_budget: &mut usize,
    ) {
        let cursor = self.cursors.remove(key);
        let limit = (*examine_budget).min(MAX_EXAMINED_PER_LIST);
        let tasks = self.queue.tasks_after(key, cursor.as_ref(), limit);
        let exhausted = tasks.len() < limit;
        let last = tasks.last().cloned();
        if let (Some(task), false) = (last, exhausted) {
            self.cursors.insert(key.clone(), task);
        }
        *examine_budget -= tasks.len();
        let mut window = FamilyWindow::default();
        for task in tasks {
            if let Some(spec) = self.state.spec(&task.job) {
                window.push(&spec.family, task);
            }
        }
        self.place_window(now, key, window, place_budget);
    }

    /// Places the tasks of a window, always taking the next task from the family with the lowest placement cost.
    fn place_window(
        &mut self,
        now: Millis,
        key: &PendingKey,
        mut window: FamilyWindow,
        place_budget: &mut usize,
    ) {
        let mut smallest_unplaced: Option<ResourceSize> = None;
        for family in window.families() {
            let cost = self.next_cost(now, &window, &family);
            window.set_cost(&family, cost);
        }
        while let Some((family, task)) = window.pop_cheapest() {
            if *place_budget == 0 {
                return;
            }
            if self.placing.contains(&task) {
                continue;
            }
            match self.try_place(now, &task, &mut smallest_unplaced) {
                PlacementResult::Placed => {
                    *place_budget -= 1;
                    self.queue.note_placed(key.urgent);
                    self.urgent_pending |= key.urgent;
                    self.wait_reasons.insert(task, WaitReason::Recording);
                    let cost = self.next_cost(now, &window, &family);
                    window.set_cost(&family, cost);
                }
                PlacementResult::Waits(reason) => {
                    self.wait_reasons.insert(task, reason);
                }
                PlacementResult::Ended => {}
            }
        }
    }

    /// The placement cost of a family's next task, minus its waiting bonus; infinite where it can't be placed now.
    fn next_cost(&mut self, now: Millis, window: &FamilyWindow, family: &str) -> f64 {
        let Some(task) = window.first(family) else {
            return f64::INFINITY;
        };
        let Some(spec) = self.state.spec(&task.job).cloned() else {
            return f64::INFINITY;
        };
        let need = TaskNeed::plain(spec.size, family);
        let since = self.waiting_since.get(task).copied().unwrap_or(now);
        let waited_s = now.saturating_sub(since) as f64 / 1_000.0;
        match self.pool.choose(&need, now) {
            PlaceOutcome::Placed(choice) => choice.cost - waited_s * WAIT_BONUS_PER_SECOND,
            PlaceOutcome::NoRoom | PlaceOutcome::NeverFits => f64::INFINITY,
        }
    }

    fn try_place(
        &mut self,
        now: Millis,
        task: &TaskId,
        smallest_unplaced: &mut Option<ResourceSize>,
    ) -> PlacementResult {
        let Some(spec) = self.state.spec(&task.job).cloned() else {
            return PlacementResult::Ended;
        };
        let size = self.families.reserve_size(&spec.family, &spec.size);
        let size = self.bounded_size(&spec, size);
        if !self.pool.could_ever_hold(&size) {
            return self.give_up_if_unplaceable(task, &size);
        }
        if !self.quotas.allows(&spec.team, &size) {
            return PlacementResult::Waits(WaitReason::Quota);
        }
        if smallest_unplaced.is_some_and(|smallest_unplaced| smallest_unplaced.fits_in(&size)) {
            return PlacementResult::Waits(WaitReason::Room);
        }
        let need = TaskNeed {
            size,
            family: spec.family.clone(),
            avoid: self.avoid.get(task).cloned(),
        };
        match self.pool.choose(&need, now) {
            PlaceOutcome::Placed(choice) => {
                if self.place(now, task, &spec, size, choice) {
                    PlacementResult::Placed
                } else {
                    PlacementResult::Waits(WaitReason::Room)
                }
            }
            PlaceOutcome::NoRoom => {
                *smallest_unplaced = Some(size);
                self.avoid.remove(task);
                PlacementResult::Waits(WaitReason::Room)
            }
            PlaceOutcome::NeverFits => self.give_up_if_unplaceable(task, &size),
        }
    }

    /// Falls back to the declared size where no worker could hold the size estimated from usage.
    ///
    /// Otherwise the estimate would make the task wait forever.
    fn bounded_size(&self, spec: &JobSpec, size: ResourceSize) -> ResourceSize {
        if size == spec.size || self.pool.could_ever_hold(&size) {
            size
        } else {
            spec.size
        }
    }

    fn place(
        &mut self,
        now: Millis,
        task: &TaskId,
        spec: &JobSpec,
        size: ResourceSize,
        choice: PlaceChoice,
    ) -> bool {
        let attempts = self
            .state
            .task_state(task)
            .map_or(0, |task_state| task_state.attempts);
        let attempt = AttemptId {
            task: task.clone(),
            number: attempts + 1,
        };
        let reservation = reservation_of(&attempt, spec, size);
        if self.pool.reserve(&choice.worker, reservation).is_err() {
            return false;
        }
        self.hold_capacity(&attempt, &choice.worker, spec, size);
        self.placed_reasons.insert(
            attempt.clone(),
            PlacedReason {
                predicted: choice.predicted,
                looked_at: choice.looked_at,
                at: now,
            },
        );
        self.placing.insert(task.clone());
        self.buffer.push(JournalRecord::Placed {
            attempt,
            worker: choice.worker,
        });
        true
    }

    /// Ends a task that no worker of any shard could ever hold; it waits where another shard could hold it, or where
    /// not all shards have published their capacity.
    fn give_up_if_unplaceable(&mut self, task: &TaskId, size: &ResourceSize) -> PlacementResult {
        let elsewhere = self.rooms.iter().any(|room| size.fits_in(&room.capacity));
        let shards = self
            .config
            .as_ref()
            .map_or(0, |(_, _, shards)| shards.len());
        let heard = self.rooms.iter().filter(|room| room.shard != self.shard);
        let all_heard = heard.count() + 1 >= shards;
        if elsewhere || !all_heard {
            return PlacementResult::Waits(WaitReason::Room);
        }
        let reason = format!("no known worker is large enough for {size}");
        self.placing.insert(task.clone());
        self.buffer.push(JournalRecord::Unplaceable {
            task: task.clone(),
            reason,
        });
        PlacementResult::Ended
    }

    /// Records the worker capacity and team quota that an attempt holds; replaces what it held before.
    pub(crate) fn hold_capacity(
        &mut self,
        attempt: &AttemptId,
        worker: &WorkerId,
        spec: &JobSpec,
        size: ResourceSize,
    ) {
        self.quotas.hold(&spec.team, &size);
        let held = AttemptHold {
            worker: worker.clone(),
            team: spec.team.clone(),
            size,
        };
        if let Some(before) = self.held.insert(attempt.clone(), held) {
            self.quotas.release(&before.team, &before.size);
        }
    }

    /// Releases the capacity and quota of an attempt that no longer runs; returns its
    /// worker, none where it held nothing.
    pub(crate) fn drop_hold(&mut self, attempt: &AttemptId) -> Option<WorkerId> {
        self.placed_reasons.remove(attempt);
        let held = self.held.remove(attempt)?;
        self.pool.release(&held.worker, attempt);
        self.quotas.release(&held.team, &held.size);
        Some(held.worker)
    }

    pub(crate) fn drop_all_holds(&mut self) {
        let attempts: Vec<AttemptId> = self.held.keys().cloned().collect();
        for attempt in attempts {
            self.drop_hold(&attempt);
        }
    }

    /// Holds capacity and quota for an attempt that an earlier owner placed.
    pub(crate) fn hold_recovered(&mut self, worker: &WorkerId, attempt: &AttemptId) {
        let Some(spec) = self.state.spec(&attempt.task.job).cloned() else {
            return;
        };
        self.pool
            .record(worker, reservation_of(attempt, &spec, spec.size));
        self.hold_capacity(attempt, worker, &spec, spec.size);
    }
}

/// The reservation of an attempt in the worker pool.
pub(crate) fn reservation_of(
    attempt: &AttemptId,
    spec: &JobSpec,
    size: ResourceSize,
) -> TaskReservation {
    TaskReservation {
        attempt: attempt.clone(),
        size,
        family: spec.family.clone(),
        checkpoint: spec.checkpoint,
        repeatable: spec.repeatable,
        progress_percent: 0,
    }
}
