//! Learns from the readings of workers: the loads of serving tasks, and how much filling tasks raise them.

use std::collections::BTreeMap;

use sandshelf_model::{Millis, WorkerId};

use crate::ids::TaskKey;
use crate::images::ImageId;
use crate::interference::{load_from_tail, InterferenceLoads};
use crate::pacing::UNKNOWN_PACE;
use crate::run::RunRecord;
use crate::scheduler::JobScheduler;
use crate::worker::WorkerState;

/// A reading within this time of a change of the filling tasks partly reflects the state before: it covers the last half second.
const READING_SETTLE_MS: Millis = 400;
/// The error of such a reading, as a share of the load increase.
const UNSETTLED_ERROR_SHARE: f64 = 0.35;
/// The standard deviation of the load increase in a reading long after a change (0.10 under load), in addition to the error of
/// the load forecast.
const INCREASE_DEVIATION: f64 = 0.1;
/// The error of the load increase computed from learned coefficients, as a share of it; processor use is read to within a sixth.
const INCREASE_ERROR_SHARE: f64 = 0.6;
/// The standard deviation of the load that one task's reading gives: tail latencies are reported in whole milliseconds.
const LOAD_READING_DEVIATION: f64 = 0.03;
/// A load at or above this is only a lower bound: the reported tail latency is capped.
const SATURATED_LOAD: f64 = 0.96;
/// The smallest load increase from which an error is computed.
const MIN_INCREASE: f64 = 0.3;
/// The weight of a new reading of a filling task's processor use against earlier ones (exponential moving average).
const USE_READING_WEIGHT: f64 = 0.4;
/// Processor use is only learned at this pace or a higher one, because readings are coarse.
const MIN_PACE_FOR_USE_PERCENT: u32 = 40;
/// Processor use is only learned once this share of the task's work is done; before, the task may just have started.
const MIN_DONE_FOR_USE_PERCENT: u32 = 5;
/// The bounds of the ratio of used to declared processors.
const USE_RATIO_BOUNDS: (f64, f64) = (0.2, 1.5);
/// A task is off its pace if its processor use differs from its pace by more than this share of its declared processors.
const OFF_PACE_TOLERANCE_PERCENT: u64 = 30;
/// After this many consecutive readings off its pace a task is sent its pace again: an order without an answer may have been
/// carried out late, after newer ones.
const MAX_OFF_PACE_READINGS: u32 = 3;

/// The combined reading of a worker's tasks of one serving step.
#[derive(Clone, Copy, Debug)]
struct StepReading {
    step: TaskKey,
    image: ImageId,
    /// The mean load of the tasks.
    load: f64,
    count: f64,
}

/// The readings of a worker's running serving tasks, by step.
fn step_readings(state: &WorkerState) -> Vec<StepReading> {
    let mut sums: BTreeMap<TaskKey, StepReading> = BTreeMap::new();
    for (key, record) in &state.runs {
        let running = record.target_ms > 0 && record.percent >= 100;
        let Some(tail) = record.gauge.filter(|tail| running && *tail > 0) else {
            continue;
        };
        let step = key.task.first_of_step();
        let load = load_from_tail(tail as f64, record.target_ms as f64);
        let reading = sums.entry(step).or_insert(StepReading {
            step,
            image: record.image,
            load: 0.0,
            count: 0.0,
        });
        reading.count += 1.0;
        reading.load += (load - reading.load) / reading.count;
    }
    sums.into_values().collect()
}

/// Detects filling tasks that do not run at their ordered pace. A high pace may not be reached for lack of processors; a low one
/// always is, so that a task with a pace above 0 that uses none has stalled.
fn detect_off_pace(record: &mut RunRecord) {
    let (Some(used), true) = (record.gauge, record.fills) else {
        return;
    };
    let expected = record.cpu_millis * u64::from(record.pace.min(100)) / 100;
    let tolerance = record.cpu_millis * OFF_PACE_TOLERANCE_PERCENT / 100;
    let stalled = record.pace > 0 && used == 0;
    let off = used > expected + tolerance || stalled;
    record.off_pace = if off { record.off_pace + 1 } else { 0 };
    if record.off_pace >= MAX_OFF_PACE_READINGS {
        record.off_pace = 0;
        record.pace = UNKNOWN_PACE;
    }
}

/// Updates the ratio of used to declared processors of a filling task.
fn update_use_ratio(record: &mut RunRecord) {
    let reliable = record.fills
        && (MIN_PACE_FOR_USE_PERCENT..=100).contains(&record.pace)
        && record.percent >= MIN_DONE_FOR_USE_PERCENT;
    let Some(used) = record.gauge.filter(|used| reliable && *used > 0) else {
        return;
    };
    let expected = record.cpu_millis as f64 * f64::from(record.pace) / 100.0;
    let observed = used as f64 / expected.max(1.0);
    let before = record.use_ratio.unwrap_or(observed);
    let (least, most) = USE_RATIO_BOUNDS;
    record.use_ratio = Some((before + (observed - before) * USE_READING_WEIGHT).clamp(least, most));
}

impl JobScheduler {
    /// Learns from the newest readings of a worker.
    pub(crate) fn learn_readings(&mut self, now: Millis, worker: &WorkerId) {
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        state.discard_fill_allocator();
        let settled = now >= state.fills_changed_at + READING_SETTLE_MS;
        for record in state.runs.values_mut() {
            if settled {
                detect_off_pace(record);
            }
            update_use_ratio(record);
        }
        self.note_tails(now, worker);
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        let fills = state.fill_loads();
        let error = if settled { 0.0 } else { UNSETTLED_ERROR_SHARE };
        for reading in step_readings(state) {
            self.learn_interference(now, &reading, &fills, error);
            self.learn_load(now, &reading, &fills, error);
        }
    }

    /// Learns interference coefficients from the amount by which a step's load exceeds its forecast without filling tasks.
    fn learn_interference(
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
        let increase = self.interference.load_increase(reading.image, fills);
        let observed_increase = reading.load / expected.load - 1.0;
        // A capped tail latency only gives a lower bound of the load.
        if reading.load >= SATURATED_LOAD && observed_increase < increase {
            return;
        }
        let load_factor = 1.0 + increase;
        let variance_from_load =
            load_factor * load_factor * expected.variance / (expected.load * expected.load);
        let variance_from_change =
            (error * increase.max(observed_increase).max(MIN_INCREASE)).powi(2);
        let variance =
            INCREASE_DEVIATION * INCREASE_DEVIATION + variance_from_change + variance_from_load;
        self.interference
            .learn(reading.image, observed_increase, variance, fills);
    }

    /// Learns the load of a step without filling tasks.
    fn learn_load(
        &mut self,
        now: Millis,
        reading: &StepReading,
        fills: &InterferenceLoads,
        error: f64,
    ) {
        if reading.load >= SATURATED_LOAD && !fills.is_empty() {
            return;
        }
        let increase = self.interference.load_increase(reading.image, fills);
        let load_factor = 1.0 + increase;
        let increase_variance = self
            .interference
            .load_increase_variance(reading.image, fills)
            + (error * increase).powi(2)
            + (INCREASE_ERROR_SHARE * increase).powi(2);
        let variance_from_increase =
            (reading.load / (load_factor * load_factor)).powi(2) * increase_variance;
        let variance_from_reading = LOAD_READING_DEVIATION * LOAD_READING_DEVIATION / reading.count;
        let load = reading.load / load_factor;
        self.load_history.record(
            now,
            &reading.step,
            load,
            variance_from_increase + variance_from_reading,
        );
    }
}
