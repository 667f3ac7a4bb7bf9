//! Sets the paces of filling tasks, so that serving tasks on the same worker stay under their targets, and moves filling tasks that
//! stay slowed down to other workers.

use std::cmp::Ordering;

use sandshelf_model::{Millis, WorkerId};

use crate::events::WorkerCall;
use crate::fill::{FillAllocator, FillRequest, FillRules, FillUrgency};
use crate::ids::RunKey;
use crate::images::ImageId;
use crate::incarnation::ClockSample;
use crate::limits::MAX_ORDER_AGE_MS;
use crate::note::{JobNote, LossCause, StopCause};
use crate::reports::{OrderAnswer, RefusalReason};
use crate::run::{RunPhase, RunRecord};
use crate::scheduler::JobScheduler;
use crate::worker::WorkerState;

/// Paces are multiples of this; smaller changes are not worth a call.
const PACE_STEP_PERCENT: u32 = 5;
/// A pace above any possible one. The next comparison finds a difference and sends the order again.
pub(crate) const UNKNOWN_PACE: u32 = 101;

/// While a serving task has been over its target for this long, the filling tasks on its worker are set to a pace of 0, whatever
/// the interference estimate says. A reading is half a second old, and a pace takes effect after a tenth of a second. A single
/// reading under the target changes nothing: readings are rough, and filling that goes on after each of them keeps the task over its
/// target for seconds.
const STOP_FILLING_AFTER_MS: Millis = 1_000;

/// The smallest raise of a pace that is worth a call.
const MIN_RAISE_PERCENT: u32 = 20;
/// The smallest reduction of a pace that is worth a call.
const MIN_LOWER_PERCENT: u32 = 10;
/// A filling task at this pace or a lower one counts as slowed down.
const SLOWED_PACE_PERCENT: u32 = 30;
/// A task that has been slowed down for this long is moved. A stop takes up to 0.9 s, and a start from a checkpoint takes 0.25 to
/// 0.6 s.
const MOVE_AFTER_MS: Millis = 1_000;
/// The smallest share that a task must be predicted to get on the worker to which it is moved.
const MIN_SHARE_ELSEWHERE: f64 = 0.8;
/// The largest number of tasks moved in one check.
const MAX_MOVES_PER_CHECK: usize = 8;
/// The interval between checks for slowed tasks.
const MOVE_CHECK_INTERVAL_MS: Millis = 250;
/// A task without checkpoints is moved only if it has done at most this much of its work.
const MAX_LOST_WORK_PERCENT: u32 = 15;

/// Whether a change of pace is worth a call. Reductions are sent in smaller steps than raises.
fn is_significant_change(now: u32, wanted: u32) -> bool {
    match now.cmp(&wanted) {
        Ordering::Equal => false,
        Ordering::Less => wanted >= now + MIN_RAISE_PERCENT || wanted == 100,
        Ordering::Greater => {
            now >= wanted + MIN_LOWER_PERCENT || wanted == 0 || now == UNKNOWN_PACE
        }
    }
}

impl JobScheduler {
    /// The tasks of a worker in the form that the pacing of filling tasks uses.
    pub(crate) fn fill_allocator<'a>(
        &self,
        now: Millis,
        worker: &'a WorkerState,
    ) -> &'a FillAllocator {
        let rules = FillRules::new(self.limits.policies.fair_order);
        worker.fill_allocator(&self.interference, &self.load_history, rules, now)
    }

    /// Sets the pace of each filling task on a worker from the shares allocated to them.
    pub(crate) fn update_paces(&mut self, now: Millis, worker: &WorkerId) {
        let Some(state) = self.workers.get(worker) else {
            return;
        };
        if !state.runs.values().any(|record| record.fills) {
            return;
        }
        let long_over_target = |record: &RunRecord| {
            let stretch = record.over_stretch.as_ref();
            stretch.is_some_and(|stretch| now >= stretch.since + STOP_FILLING_AFTER_MS)
        };
        let stop_filling = state.runs.values().any(long_over_target);
        let shares = self.fill_allocator(now, state).allocate(&self.interference);
        let mut changed = Vec::new();
        for (key, share) in shares {
            let share = if stop_filling { 0.0 } else { share };
            let pace = (share * 100.0) as u32 / PACE_STEP_PERCENT * PACE_STEP_PERCENT;
            let Some(record) = state.runs.get(&key) else {
                continue;
            };
            if matches!(record.phase, RunPhase::Running(_))
                && is_significant_change(record.pace, pace)
            {
                changed.push((key, pace));
            }
        }
        for (key, pace) in changed {
            self.set_pace(now, worker, key, pace);
        }
    }

    fn set_pace(&mut self, now: Millis, worker: &WorkerId, key: RunKey, pace: u32) {
        if let Some(record) = self.record_mut(worker, &key) {
            record.pace = pace;
            record.pace_sent_at = Some(now);
            record.pace_taken_at = None;
        }
        if let Some(state) = self.workers.get_mut(worker) {
            state.fills_changed_at = now;
        }
        self.update_slowed_since(now, worker, &key);
        self.call(worker, WorkerCall::Pace(key, pace));
        self.note(JobNote::Paced(key, worker.clone(), pace));
    }

    fn update_slowed_since(&mut self, now: Millis, worker: &WorkerId, key: &RunKey) {
        if let Some(record) = self.record_mut(worker, key) {
            let slow = record.pace <= SLOWED_PACE_PERCENT;
            record.slowed_since = slow.then(|| record.slowed_since.unwrap_or(now));
        }
    }

    /// Stops filling tasks that have been slowed down for long, if another worker would run them at nearly full pace; they are then
    /// placed again.
    pub(crate) fn move_slowed_tasks(&mut self, now: Millis) {
        if now < self.last_move + self.backlog.stretched_pause_ms(MOVE_CHECK_INTERVAL_MS) {
            return;
        }
        self.last_move = now;
        let mut moves = Vec::new();
        let mut targets: Vec<&WorkerId> = Vec::new();
        let mut unplaceable: Vec<ImageId> = Vec::new();
        for (id, state) in &self.workers {
            for (key, record) in &state.runs {
                if moves.len() >= MAX_MOVES_PER_CHECK || unplaceable.contains(&record.image) {
                    continue;
                }
                if !self.may_move(now, key, record) {
                    continue;
                }
                let service = state.entry.service.as_str();
                match self.find_better_worker(now, record, service, &targets) {
                    Some(target) => {
                        targets.push(target);
                        moves.push((id.clone(), *key));
                    }
                    None => unplaceable.push(record.image),
                }
            }
        }
        for (worker, key) in moves {
            self.stop_run(now, &worker, key, StopCause::Slowed);
        }
    }

    /// Finds a worker, not in `taken`, that would run a slowed filling task at nearly full pace.
    fn find_better_worker(
        &self,
        now: Millis,
        record: &RunRecord,
        service: &str,
        taken: &[&WorkerId],
    ) -> Option<&WorkerId> {
        let request = FillRequest {
            urgency: FillUrgency::new(now, record.due, record.remaining_ms()),
            image: record.image,
            cpu_millis: record.cpu_millis,
        };
        let share_at = |target: &WorkerState| {
            let allocator = self.fill_allocator(now, target);
            allocator.predicted_share(&self.interference, &request)
        };
        let better = self.workers.iter().find(|(id, target)| {
            target.entry.service == service
                && target.is_open(now)
                && record.room.fits_in(&target.free())
                && !taken.contains(id)
                && share_at(target) >= MIN_SHARE_ELSEWHERE
        });
        better.map(|(id, _)| id)
    }

    /// Whether a run has been slowed down for long, and a move would lose little of its work.
    fn may_move(&self, now: Millis, key: &RunKey, record: &RunRecord) -> bool {
        let slowed = record.slowed_since;
        let long_slowed = slowed.is_some_and(|since| now >= since + MOVE_AFTER_MS);
        if !record.fills || !long_slowed || record.phase.is_stopping() {
            return false;
        }
        let job = self.jobs.get(&key.task.job);
        let step = job.and_then(|job| job.step_spec(&key.task));
        let keeps_work = step.is_some_and(|step| step.checkpoints && !step.gang);
        keeps_work || record.percent <= MAX_LOST_WORK_PERCENT
    }

    /// Handles the answer to a pace order. After an uncertain answer the order is sent again with the next reading.
    pub(crate) fn handle_pace_answer(
        &mut self,
        now: Millis,
        worker: &WorkerId,
        key: RunKey,
        answer: OrderAnswer,
    ) {
        match answer {
            OrderAnswer::Done(clock) => {
                let sent_at = now.saturating_sub(MAX_ORDER_AGE_MS);
                self.record_order_clock(now, worker, ClockSample { clock, sent_at });
                if let Some(record) = self.record_mut(worker, &key) {
                    record.pace_taken_at = Some(now);
                }
            }
            OrderAnswer::Refused(_, RefusalReason::Fenced) => self.deposed = true,
            OrderAnswer::Replaced => self.lose_worker(now, worker, LossCause::Replaced),
            _ => {
                if let Some(record) = self.record_mut(worker, &key) {
                    record.pace = UNKNOWN_PACE;
                }
            }
        }
    }
}
