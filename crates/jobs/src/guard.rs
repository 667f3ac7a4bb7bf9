//! Keeps filling tasks from harming the serving tasks beside them.

use sandshelf_model::{Millis, WorkerId};

use crate::events::{JobNote, LossCause, OrderAnswer, RefusalReason, WorkerCall};
use crate::ids::RunKey;
use crate::scheduler::JobScheduler;
use crate::worker::RunPhase;

/// At this share of its target, in percent, a serving task's tail makes the filling tasks beside it slow down.
const SLOW_AT_PERCENT: u64 = 80;
/// Below this share of every target, in percent, filling tasks are let go faster again.
const RAISE_AT_PERCENT: u64 = 55;
/// How long a pace is left alone, so that its effect shows: a reading covers half a second.
const PACE_PAUSE_MS: Millis = 600;
/// The paces that filling tasks are given, in percent.
const PACES: [u32; 5] = [0, 25, 50, 75, 100];

impl JobScheduler {
    /// Looks at the newest readings of a worker and slows or lets go what fills there.
    pub(crate) fn guard_worker(&mut self, now: Millis, worker: &WorkerId) {
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        let mut worst = 0;
        let mut fills = false;
        for record in state.runs.values() {
            if record.target_ms > 0 {
                let gauge = record.gauge.unwrap_or(0);
                worst = worst.max(gauge * 100 / record.target_ms);
            }
            fills |= record.fills;
        }
        if !fills {
            state.pace = 100;
            return;
        }
        let step = PACES
            .iter()
            .position(|pace| *pace >= state.pace)
            .unwrap_or(0);
        let rested = now >= state.pace_changed + PACE_PAUSE_MS;
        let pace = if worst >= 100 && rested {
            PACES[step.saturating_sub(2)]
        } else if worst >= SLOW_AT_PERCENT && rested {
            PACES[step.saturating_sub(1)]
        } else if worst < RAISE_AT_PERCENT && rested {
            PACES[(step + 1).min(PACES.len() - 1)]
        } else {
            state.pace
        };
        if pace != state.pace {
            state.pace = pace;
            state.pace_changed = now;
        }
        self.set_paces(worker);
    }

    /// Tells each filling run at work on a worker the worker's pace, where it has another.
    fn set_paces(&mut self, worker: &WorkerId) {
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        let pace = state.pace;
        let mut changed = Vec::new();
        for (key, record) in &mut state.runs {
            let works = matches!(record.phase, RunPhase::Running(_));
            if record.fills && works && record.pace != pace {
                record.pace = pace;
                changed.push(*key);
            }
        }
        for key in changed {
            self.call(worker, WorkerCall::Pace(key, pace));
            self.note(JobNote::Paced(key, worker.clone(), pace));
        }
    }

    /// Takes in the answer to a change of pace; one that is not certain is sent anew after the next reading.
    pub(crate) fn take_pace_answer(
        &mut self,
        now: Millis,
        worker: &WorkerId,
        key: RunKey,
        answer: OrderAnswer,
    ) {
        /// No pace that is ever wanted, so that the next comparison sends the order again.
        const UNKNOWN_PACE: u32 = u32::MAX;
        match answer {
            OrderAnswer::Done(clock) => self.note_clock(now, worker, clock),
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
