//! Keeps filling tasks from harming the serving tasks beside them: each works at the share that every serving task's
//! target leaves room for.

use sandshelf_model::{Millis, WorkerId};

use crate::events::{JobNote, LossCause, OrderAnswer, RefusalReason, WorkerCall};
use crate::ids::RunKey;
use crate::press::{load_of_tail, target_load, PressEstimate};
use crate::scheduler::JobScheduler;
use crate::worker::{RunPhase, RunRecord, WorkerState};

/// The share of its target load up to which a serving task may be loaded: readings are half a second old.
const LOAD_MARGIN: f64 = 0.93;
/// A pair weaker than this doesn't matter to the pace.
const WEAK_STRENGTH: f64 = 0.3;
/// Paces are whole multiples of this, in percent: smaller changes are not worth a call.
const PACE_STEP: u32 = 5;
/// A reading that covers less than this, in milliseconds, says too little of what fills.
const LEAST_READING_MS: Millis = 300;

/// A serving task that has been over its target for so long has nothing filling beside it until it is under again,
/// whatever the estimate says; a reading is half a second old and a pace takes effect after a tenth.
const LEAVE_ALONE_MS: Millis = 1_000;

/// What a serving task leaves for filling tasks.
struct ServingRoom<'a> {
    image: &'a str,
    /// By how much, as a share, its load may rise over what it is without filling tasks.
    allowed: f64,
}

/// The room that each serving task on a worker leaves.
fn serving_rooms<'a>(worker: &'a WorkerState) -> Vec<ServingRoom<'a>> {
    let watched = worker.runs.values().filter(|record| record.target_ms > 0);
    let room = |record: &'a RunRecord| {
        let without = record.serving?.alone();
        let most = target_load() * LOAD_MARGIN;
        Some(ServingRoom {
            image: &record.image,
            allowed: (most / without - 1.0).max(0.0),
        })
    };
    watched.filter_map(room).collect()
}

/// How one more filling task would fare on a worker.
pub(crate) struct FillOutlook {
    /// How much room the tightest serving task would have left; less than nothing where filling tasks are slowed down.
    pub(crate) room: f64,
    /// The share at which the tightest serving task would let filling tasks work.
    pub(crate) share: f64,
}

/// Foresees how one more filling task would fare on a worker.
pub(crate) fn fill_outlook(
    worker: &WorkerState,
    press: &PressEstimate,
    image: &str,
    cpu_millis: u64,
) -> FillOutlook {
    let capacity = worker.entry.capacity.cpu_millis.max(1) as f64;
    let load = cpu_millis as f64 / capacity;
    let full = worker.full_fills();
    let mut outlook = FillOutlook {
        room: 1.0,
        share: 1.0,
    };
    for room in serving_rooms(worker) {
        let own = press.strength(room.image, image) * load;
        let pressure = press.pressure(room.image, &full) + own;
        outlook.room = outlook.room.min(room.allowed - pressure);
        if press.strength(room.image, image) >= WEAK_STRENGTH {
            outlook.share = outlook.share.min(room.allowed / pressure);
        }
    }
    outlook
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
            let over = record.target_ms > 0 && record.gauge.unwrap_or(0) >= record.target_ms;
            record.over_since = over.then(|| record.over_since.unwrap_or(now));
            let at_work = record.percent >= 100;
            let tail = record.gauge.filter(|tail| *tail > 0 && at_work);
            if let (true, Some(tail)) = (record.target_ms > 0, tail) {
                let load = load_of_tail(tail as f64, record.target_ms as f64);
                let known = record.serving;
                record.serving = Some(self.press.learn(&record.image, load, &fills, known));
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
        let rooms = serving_rooms(state);
        let long_over = |record: &RunRecord| {
            let since = record.over_since;
            since.is_some_and(|since| now >= since + LEAVE_ALONE_MS)
        };
        let alone = state.runs.values().any(long_over);
        let mut changed = Vec::new();
        for (key, record) in &state.runs {
            let works = matches!(record.phase, RunPhase::Running(_));
            if !record.fills || !works {
                continue;
            }
            let mut share: f64 = if alone { 0.0 } else { 1.0 };
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
