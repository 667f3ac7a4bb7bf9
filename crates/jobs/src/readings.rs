//! What is learnt from a worker's readings: loads of serving tasks, and how much what fills raises them.

use std::collections::BTreeMap;

use sandshelf_model::{Millis, WorkerId};

use crate::guard::UNKNOWN_PACE;
use crate::ids::TaskKey;
use crate::images::ImageId;
use crate::interference::{load_from_tail, InterferenceLoads};
use crate::run::RunRecord;
use crate::scheduler::JobScheduler;
use crate::worker::WorkerState;

/// A reading within this time of a change of what fills tells partly of what was before: readings cover the last half second.
const SETTLED_AFTER_MS: Millis = 400;
/// How far such a reading may be off, as a part of the pressure.
const UNSETTLED_ERROR: f64 = 0.35;
/// How far the pressure is off in a reading long after a change, as a standard deviation: 0.10 on measured days, beside what
/// the load's forecast is off.
const PRESSURE_DEVIATION: f64 = 0.1;
/// How far the pressure by learnt strengths is off, as a part of it: processors in use are read to within a sixth.
const PRESSURE_ERROR: f64 = 0.6;
/// How uncertain one task's reading is, as the standard deviation of its load: tails are whole milliseconds.
const READING_DEVIATION: f64 = 0.03;
/// A load this high says only that it is high: the tail is bounded.
const SATURATED_LOAD: f64 = 0.96;
/// The least pressure by which an error's size is judged.
const LEAST_PRESSURE: f64 = 0.3;
/// How much a new reading counts beside earlier ones for what a filling task uses.
const USE_WEIGHT: f64 = 0.4;
/// What a task uses is judged at no lower pace, in percent: readings are rough.
const LEAST_PACE_FOR_USE: u32 = 40;
/// Nor before so much of its work is done, in percent: it may just have started.
const LEAST_DONE_FOR_USE: u32 = 5;
/// No task counts as using a smaller or larger part of what it declared.
const USE_BOUNDS: (f64, f64) = (0.2, 1.5);
/// A task that uses so much more or less of its processors than its pace says, in percent, is off its pace.
const OFF_PACE_PERCENT: u64 = 30;
/// After so many readings off its pace a task is told its pace anew: an order without an answer may have been carried out
/// late, after newer ones.
const OFF_PACE_READINGS: u32 = 3;

/// What a worker's tasks of one serving step show.
#[derive(Clone, Copy, Debug)]
struct StepReading {
    step: TaskKey,
    image: ImageId,
    /// The mean of their loads.
    seen: f64,
    count: f64,
}

/// The readings of a worker's serving tasks that are at work, by step.
fn step_readings(state: &WorkerState) -> Vec<StepReading> {
    let mut sums: BTreeMap<TaskKey, StepReading> = BTreeMap::new();
    for (key, record) in &state.runs {
        let at_work = record.target_ms > 0 && record.percent >= 100;
        let Some(tail) = record.gauge.filter(|tail| at_work && *tail > 0) else {
            continue;
        };
        let step = key.task.first_of_step();
        let load = load_from_tail(tail as f64, record.target_ms as f64);
        let reading = sums.entry(step).or_insert(StepReading {
            step,
            image: record.image,
            seen: 0.0,
            count: 0.0,
        });
        reading.count += 1.0;
        reading.seen += (load - reading.seen) / reading.count;
    }
    sums.into_values().collect()
}

/// Looks whether a filling task works at the pace that it was told; processors may be short, but never at a low pace.
fn note_off_pace(record: &mut RunRecord) {
    let (Some(used), true) = (record.gauge, record.fills) else {
        return;
    };
    let wanted = record.cpu_millis * u64::from(record.pace.min(100)) / 100;
    let slack = record.cpu_millis * OFF_PACE_PERCENT / 100;
    let stands_still = record.pace > 0 && used == 0;
    let off = used > wanted + slack || stands_still;
    record.off_pace = if off { record.off_pace + 1 } else { 0 };
    if record.off_pace >= OFF_PACE_READINGS {
        record.off_pace = 0;
        record.pace = UNKNOWN_PACE;
    }
}

/// Notes what part of its declared processors a filling task uses.
fn note_use(record: &mut RunRecord) {
    let judged = record.fills
        && (LEAST_PACE_FOR_USE..=100).contains(&record.pace)
        && record.percent >= LEAST_DONE_FOR_USE;
    let Some(used) = record.gauge.filter(|used| judged && *used > 0) else {
        return;
    };
    let wanted = record.cpu_millis as f64 * f64::from(record.pace) / 100.0;
    let seen = used as f64 / wanted.max(1.0);
    let before = record.use_ratio.unwrap_or(seen);
    let (least, most) = USE_BOUNDS;
    record.use_ratio = Some((before + (seen - before) * USE_WEIGHT).clamp(least, most));
}

impl JobScheduler {
    /// Learns from a worker's newest readings.
    pub(crate) fn learn_readings(&mut self, now: Millis, worker: &WorkerId) {
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        state.discard_fill_allocator();
        let settled = now >= state.fills_changed_at + SETTLED_AFTER_MS;
        for record in state.runs.values_mut() {
            if settled {
                note_off_pace(record);
            }
            note_use(record);
            let over = record.target_ms > 0 && record.gauge.unwrap_or(0) >= record.target_ms;
            record.over_since = over.then(|| record.over_since.unwrap_or(now));
        }
        let fills = state.fill_loads();
        let error = if settled { 0.0 } else { UNSETTLED_ERROR };
        for reading in step_readings(state) {
            self.learn_strengths(now, &reading, &fills, error);
            self.learn_load(now, &reading, &fills, error);
        }
    }

    /// Learns strengths from how far a step's load lies over what it would be without filling tasks.
    fn learn_strengths(
        &mut self,
        now: Millis,
        reading: &StepReading,
        fills: &InterferenceLoads,
        error: f64,
    ) {
        if fills.is_empty() {
            return;
        }
        let expected = self.load_history.forecast(&reading.step, now);
        let pressure = self.interference.pressure(reading.image, fills);
        let raised_by = reading.seen / expected.load - 1.0;
        // A bounded tail says at least so much.
        if reading.seen >= SATURATED_LOAD && raised_by < pressure {
            return;
        }
        let raised = 1.0 + pressure;
        let of_load = raised * raised * expected.variance / (expected.load * expected.load);
        let of_change = (error * pressure.max(raised_by).max(LEAST_PRESSURE)).powi(2);
        let variance = PRESSURE_DEVIATION * PRESSURE_DEVIATION + of_change + of_load;
        self.interference
            .learn(reading.image, raised_by, variance, fills);
    }

    /// Learns a step's load without filling tasks.
    fn learn_load(
        &mut self,
        now: Millis,
        reading: &StepReading,
        fills: &InterferenceLoads,
        error: f64,
    ) {
        if reading.seen >= SATURATED_LOAD && !fills.is_empty() {
            return;
        }
        let pressure = self.interference.pressure(reading.image, fills);
        let raised = 1.0 + pressure;
        let uncertain = self.interference.pressure_variance(reading.image, fills)
            + (error * pressure).powi(2)
            + (PRESSURE_ERROR * pressure).powi(2);
        let of_pressure = (reading.seen / (raised * raised)).powi(2) * uncertain;
        let of_reading = READING_DEVIATION * READING_DEVIATION / reading.count;
        let load = reading.seen / raised;
        self.load_history
            .note(now, &reading.step, load, of_pressure + of_reading);
    }
}
