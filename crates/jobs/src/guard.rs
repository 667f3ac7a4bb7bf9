//! Keeps filling tasks from harming the serving tasks beside them: each works at the share that every serving task's
//! target leaves room for.

use sandshelf_model::{Millis, WorkerId};

use crate::events::{JobNote, LossCause, OrderAnswer, RefusalReason, WorkerCall};
use crate::ids::RunKey;
use crate::press::PressEstimate;
use crate::scheduler::JobScheduler;
use crate::worker::{RunPhase, RunRecord, WorkerState};

/// The share of its target load up to which a serving task may be loaded: readings are half a second old.
const LOAD_MARGIN: f64 = 0.93;
/// A pair weaker than this doesn't matter to the pace.
const WEAK_STRENGTH: f64 = 0.3;
/// Paces are whole multiples of this, in percent: smaller changes are not worth a call.
const PACE_STEP: u32 = 10;
/// A reading that covers less than this, in milliseconds, says too little of what fills.
const LEAST_READING_MS: Millis = 300;

/// What a serving task leaves for filling tasks.
struct ServingRoom<'a> {
    image: &'a str,
    /// By how much, as a share, its load may rise over what it is without filling tasks.
    allowed: f64,
}

/// The room that each serving task on a worker leaves.
fn serving_rooms<'a>(worker: &'a WorkerState, press: &PressEstimate) -> Vec<ServingRoom<'a>> {
    let watched = worker.runs.values().filter(|record| record.target_ms > 0);
    let room = |record: &'a RunRecord| {
        let without = record.sample.as_ref()?.load_alone;
        let target = record.target_ms as f64;
        let most = press.target_load(&record.image, target) * LOAD_MARGIN;
        Some(ServingRoom {
            image: &record.image,
            allowed: (most / without - 1.0).max(0.0),
        })
    };
    watched.filter_map(room).collect()
}

/// How much room the tightest serving task on a worker would have left with one more filling task; less than nothing
/// where the task would be slowed down.
pub(crate) fn room_beside(
    worker: &WorkerState,
    press: &PressEstimate,
    image: &str,
    cpu_millis: u64,
) -> f64 {
    let capacity = worker.entry.capacity.cpu_millis.max(1) as f64;
    let load = cpu_millis as f64 / capacity;
    let full = worker.full_fills();
    let rooms = serving_rooms(worker, press);
    let left = rooms.iter().map(|room| {
        let pressure = press.pressure(room.image, &full);
        room.allowed - pressure - press.strength(room.image, image) * load
    });
    left.fold(1.0, f64::min)
}

impl JobScheduler {
    /// Learns from a worker's newest readings.
    pub(crate) fn learn_press(&mut self, now: Millis, worker: &WorkerId) {
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        if state.fills.running_ms(now) < LEAST_READING_MS {
            return;
        }
        let fills = state.fills.take(now);
        for record in state.runs.values_mut() {
            let at_work = record.percent >= 100;
            let tail = record.gauge.filter(|tail| *tail > 0 && at_work);
            if let (true, Some(tail)) = (record.target_ms > 0, tail) {
                let target = record.target_ms as f64;
                let sample = &mut record.sample;
                self.press
                    .learn(&record.image, tail as f64, target, &fills, sample);
            }
        }
    }

    /// Sets the pace of each filling task on a worker.
    pub(crate) fn guard_worker(&mut self, now: Millis, worker: &WorkerId) {
        let Some(state) = self.workers.get(worker) else {
            return;
        };
        if !state.runs.values().any(|record| record.fills) {
            return;
        }
        let full = state.full_fills();
        let rooms = serving_rooms(state, &self.press);
        let mut changed = Vec::new();
        for (key, record) in &state.runs {
            let works = matches!(record.phase, RunPhase::Running(_));
            if !record.fills || !works {
                continue;
            }
            let mut share: f64 = 1.0;
            for room in &rooms {
                if self.press.strength(room.image, &record.image) >= WEAK_STRENGTH {
                    let pressure = self.press.pressure(room.image, &full);
                    share = share.min(room.allowed / pressure.max(f64::MIN_POSITIVE));
                }
            }
            let pace = (share * 100.0) as u32 / PACE_STEP * PACE_STEP;
            if pace != record.pace {
                changed.push((*key, pace));
            }
        }
        for (key, pace) in changed {
            self.set_pace(worker, key, pace);
        }
        if let Some(state) = self.workers.get_mut(worker) {
            state.refresh_fills(now);
        }
    }

    fn set_pace(&mut self, worker: &WorkerId, key: RunKey, pace: u32) {
        if let Some(record) = self.record_mut(worker, &key) {
            record.pace = pace;
        }
        self.call(worker, WorkerCall::Pace(key, pace));
        self.note(JobNote::Paced(key, worker.clone(), pace));
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
        const UNKNOWN_PACE: u32 = 101;
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
