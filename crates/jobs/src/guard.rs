//! Keeps filling tasks from harming the serving tasks beside them: each works at the share that every serving task's
//! target leaves room for.

use std::cmp::Ordering;

use sandshelf_model::{Millis, WorkerId};

use crate::events::WorkerCall;
use crate::fill::{FillAsk, FillUrgency};
use crate::ids::RunKey;
use crate::images::ImageId;
use crate::life::ClockSight;
use crate::limits::MAX_ORDER_AGE_MS;
use crate::note::{JobNote, LossCause, StopCause};
use crate::reports::{OrderAnswer, RefusalReason};
use crate::run::{RunPhase, RunRecord};
use crate::scheduler::JobScheduler;
use crate::worker::WorkerState;

/// Paces are whole multiples of this, in percent: smaller changes are not worth a call.
const PACE_STEP: u32 = 5;
/// No pace that is ever wanted, so that the next comparison sends the order again.
pub(crate) const UNKNOWN_PACE: u32 = 101;

/// A serving task that has been over its target for so long has nothing filling beside it until it is under again,
/// whatever the estimate says; a reading is half a second old and a pace takes effect after a tenth.
const LEAVE_ALONE_MS: Millis = 1_000;

/// The least rise of a pace that is worth a call, in percent.
const RAISE_STEP: u32 = 20;
/// The least fall of a pace that is worth a call, in percent.
const LOWER_STEP: u32 = 10;
/// A filling task at this pace or less, in percent, counts as slowed down.
const SLOWED_PACE: u32 = 30;
/// A task that has been slowed down for so long is moved; a stop takes up to 0.9 s and a start from a checkpoint 0.25 to
/// 0.6 s.
const MOVE_AFTER_MS: Millis = 1_000;
/// The share at which it has to be able to work elsewhere.
const MOVE_TO_SHARE: f64 = 0.8;
/// How many tasks are moved at one look.
const MOVES_AT_ONCE: usize = 8;
/// How often slowed tasks are looked at.
const MOVE_EVERY_MS: Millis = 250;
/// A task without checkpoints may lose so much of its work, in percent.
const LITTLE_PERCENT: u32 = 15;

/// Whether a change of pace is large enough; a task is slowed by smaller steps than it is let go.
fn is_worth_a_call(now: u32, wanted: u32) -> bool {
    match now.cmp(&wanted) {
        Ordering::Equal => false,
        Ordering::Less => wanted >= now + RAISE_STEP || wanted == 100,
        Ordering::Greater => now >= wanted + LOWER_STEP || wanted == 0 || now == UNKNOWN_PACE,
    }
}

impl JobScheduler {
    /// Sets the pace of each filling task on a worker.
    pub(crate) fn guard_worker(&mut self, now: Millis, worker: &WorkerId) {
        let Some(state) = self.workers.get(worker) else {
            return;
        };
        if !state.runs.values().any(|record| record.fills) {
            return;
        }
        let long_over = |record: &RunRecord| {
            let since = record.over_since;
            since.is_some_and(|since| now >= since + LEAVE_ALONE_MS)
        };
        let alone = state.runs.values().any(long_over);
        let shares = state.board(&self.press, &self.loads, now).deal(&self.press);
        let mut changed = Vec::new();
        for (key, share) in shares {
            let share = if alone { 0.0 } else { share };
            let pace = (share * 100.0) as u32 / PACE_STEP * PACE_STEP;
            let Some(record) = state.runs.get(&key) else {
                continue;
            };
            if matches!(record.phase, RunPhase::Running(_)) && is_worth_a_call(record.pace, pace) {
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
        }
        if let Some(state) = self.workers.get_mut(worker) {
            state.fills_changed_at = now;
        }
        self.note_slowed(now, worker, &key);
        self.call(worker, WorkerCall::Pace(key, pace));
        self.note(JobNote::Paced(key, worker.clone(), pace));
    }

    fn note_slowed(&mut self, now: Millis, worker: &WorkerId, key: &RunKey) {
        if let Some(record) = self.record_mut(worker, key) {
            let slow = record.pace <= SLOWED_PACE;
            record.slowed_since = slow.then(|| record.slowed_since.unwrap_or(now));
        }
    }

    /// Moves filling tasks that have been slowed down for long to workers where they would work at nearly full pace.
    pub(crate) fn move_slowed(&mut self, now: Millis) {
        if now < self.last_move + self.strain.pause_ms(MOVE_EVERY_MS) {
            return;
        }
        self.last_move = now;
        let mut moves = Vec::new();
        let mut targets: Vec<&WorkerId> = Vec::new();
        let mut hopeless: Vec<ImageId> = Vec::new();
        for (id, state) in &self.workers {
            for (key, record) in &state.runs {
                if moves.len() >= MOVES_AT_ONCE || hopeless.contains(&record.image) {
                    continue;
                }
                if !self.may_move(now, key, record) {
                    continue;
                }
                let service = state.entry.service.as_str();
                match self.better_place(now, record, service, &targets) {
                    Some(target) => {
                        targets.push(target);
                        moves.push((id.clone(), *key));
                    }
                    None => hopeless.push(record.image),
                }
            }
        }
        for (worker, key) in moves {
            self.stop_run(now, &worker, key, StopCause::Slowed);
        }
    }

    /// Finds a worker, not one of `taken`, where a slowed filling task would work at nearly full pace.
    fn better_place(
        &self,
        now: Millis,
        record: &RunRecord,
        service: &str,
        taken: &[&WorkerId],
    ) -> Option<&WorkerId> {
        let asked = FillAsk {
            urgency: FillUrgency::new(now, record.due, record.needs_ms()),
            image: record.image,
            cpu_millis: record.cpu_millis,
        };
        let share_at = |target: &WorkerState| {
            let board = target.board(&self.press, &self.loads, now);
            board.foreseen_share(&self.press, &asked)
        };
        let better = self.workers.iter().find(|(id, target)| {
            target.entry.service == service
                && target.is_open(now)
                && record.room.fits_in(&target.free())
                && !taken.contains(id)
                && share_at(target) >= MOVE_TO_SHARE
        });
        better.map(|(id, _)| id)
    }

    /// Whether a run has been slowed down for long, and little of its work would be lost by a move.
    fn may_move(&self, now: Millis, key: &RunKey, record: &RunRecord) -> bool {
        let slowed = record.slowed_since;
        let long = slowed.is_some_and(|since| now >= since + MOVE_AFTER_MS);
        if !record.fills || !long || record.phase.is_stopping() {
            return false;
        }
        let job = self.jobs.get(&key.task.job);
        let step = job.and_then(|job| job.step_spec(&key.task));
        let keeps = step.is_some_and(|step| step.checkpoints && !step.gang);
        keeps || record.percent <= LITTLE_PERCENT
    }

    /// Takes in the answer to a change of pace; one that is not certain is sent anew after the next reading.
    pub(crate) fn take_pace_answer(
        &mut self,
        now: Millis,
        worker: &WorkerId,
        key: RunKey,
        answer: OrderAnswer,
    ) {
        match answer {
            OrderAnswer::Done(clock) => {
                let asked = now.saturating_sub(MAX_ORDER_AGE_MS);
                self.take_sight(now, worker, ClockSight { clock, asked });
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
