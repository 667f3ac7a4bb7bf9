//! Decides when to throttle or evict tasks that slow down a service on the same worker.
//!
//! Throttling comes first. Only a slowdown that persists after throttling leads to an eviction, one at a time, of the task with
//! the largest estimated effect. Hysteresis (two thresholds) and a settling time prevent reactions to the delayed effects of
//! earlier actions, and a budget limits the rate of evictions.

use std::collections::HashMap;

use sandshelf_model::{AttemptId, Millis, ServiceId, WorkerId};

use crate::estimate::{LoadBand, SlowdownEstimate};
use crate::pool::TaskReservation;
use crate::weights::PlaceWeights;

/// Slowdown minus one above which an action is taken, at a tail weight of 1; a larger tail weight lowers it.
const BASE_HIGH_SLOWDOWN: f64 = 1.2;
/// A slowdown below this fraction of the high threshold lifts one throttle.
const LOW_FRACTION: f64 = 0.4;
/// Weight of the newest measurement in the running mean of the slowdown.
const MEAN_WEIGHT: f64 = 0.25;
/// Minimum time between two actions on a worker, so that delayed measurements show the effect of the first one.
const SETTLE_MS: Millis = 20_000;
/// Upper bound on the evictions that the budget accumulates.
const MAX_EVICTION_BUDGET: f64 = 4.0;
/// Time after which one eviction is returned to the budget, for 64 workers.
const EVICTION_REFILL_MS: f64 = 30_000.0;
/// An attempt without checkpoints is not evicted from this progress on, in percent of its expected run time.
const EVICTION_PROGRESS_LIMIT_PERCENT: u32 = 75;

/// An action that a worker is asked to take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PressureAction {
    /// Throttle an attempt.
    Throttle {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Let an attempt run at full speed again.
    Unthrottle {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Checkpoint an attempt, stop it and put it back in the queue.
    Evict {
        /// The attempt.
        attempt: AttemptId,
    },
}

/// The measurement of a service on a worker, and the tasks that run there.
#[derive(Clone, Debug)]
pub struct PressureInput<'a> {
    /// The worker that was measured.
    pub worker: &'a WorkerId,
    /// The service that was measured.
    pub service: &'a ServiceId,
    /// The measured slowdown minus one, relative to the service running alone.
    pub slowdown: f64,
    /// The service's load band at the time of the measurement.
    pub band: LoadBand,
    /// The reservations of the tasks that run on the worker now; the last one counts as the newest.
    pub reservations: &'a [TaskReservation],
}

#[derive(Clone, Debug, Default)]
struct WorkerPressure {
    throttled: Vec<AttemptId>,
    acted_at: Option<Millis>,
    mean: f64,
}

/// The policy for reacting to a slowdown. The policies other than `Weighed` are baselines for benchmarks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PressureStrategy {
    /// Throttle the task with the largest estimated effect; evict if that does not help and the budget allows it.
    #[default]
    Weighed,
    /// Evict the newest task as soon as the slowdown exceeds the high threshold, without an estimate.
    EvictNewest,
    /// Do nothing.
    Never,
}

/// Slowdowns and throttled tasks of the workers of one shard, and the shard's eviction budget.
#[derive(Clone, Debug)]
pub struct PressureGauge {
    weights: PlaceWeights,
    workers: HashMap<WorkerId, WorkerPressure>,
    budget: f64,
    refilled_at: Millis,
    strategy: PressureStrategy,
}

impl PressureGauge {
    /// Creates a gauge with a full eviction budget.
    pub fn new(weights: PlaceWeights) -> Self {
        Self {
            weights,
            workers: HashMap::new(),
            budget: MAX_EVICTION_BUDGET,
            refilled_at: 0,
            strategy: PressureStrategy::default(),
        }
    }

    /// Sets the strategy; used by benchmarks.
    pub fn set_strategy(&mut self, strategy: PressureStrategy) {
        self.strategy = strategy;
    }

    /// Sets the operator's weights.
    pub fn set_weights(&mut self, weights: PlaceWeights) {
        self.weights = weights;
    }

    fn high_threshold(&self) -> f64 {
        let batch_weight = (self.weights.throughput + self.weights.evictions).max(0.1);
        BASE_HIGH_SLOWDOWN * (batch_weight / (2.0 * self.weights.tail.max(0.1))).clamp(0.25, 4.0)
    }

    /// Records one measurement and returns the action to take, if any.
    ///
    /// Returns `None` during the settling time after the last action on the worker.
    pub fn judge(
        &mut self,
        input: &PressureInput<'_>,
        estimate: &SlowdownEstimate,
        now: Millis,
    ) -> Option<PressureAction> {
        self.refill(now);
        let high = self.high_threshold();
        let pressure = self.workers.entry(input.worker.clone()).or_default();
        pressure.throttled.retain(|attempt| {
            input
                .reservations
                .iter()
                .any(|reservation| &reservation.attempt == attempt)
        });
        pressure.mean += MEAN_WEIGHT * (input.slowdown - pressure.mean);
        let mean = pressure.mean;
        let settled = pressure.acted_at.is_none_or(|at| now >= at + SETTLE_MS);
        if !settled {
            return None;
        }
        let action = if self.strategy == PressureStrategy::Never {
            None
        } else if self.strategy == PressureStrategy::EvictNewest {
            evict_newest(input).filter(|_| input.slowdown > high)
        } else if mean > high {
            throttle_or_evict(pressure, input, estimate, &mut self.budget)
        } else if mean < high * LOW_FRACTION {
            lift_throttle(pressure)
        } else {
            None
        };
        if action.is_some() {
            pressure.acted_at = Some(now);
        }
        action
    }

    fn refill(&mut self, now: Millis) {
        let elapsed_ms = now.saturating_sub(self.refilled_at) as f64;
        self.budget = (self.budget + elapsed_ms / EVICTION_REFILL_MS).min(MAX_EVICTION_BUDGET);
        self.refilled_at = now;
    }

    /// Drops the state of a worker that was removed.
    pub fn forget(&mut self, worker: &WorkerId) {
        self.workers.remove(worker);
    }
}

fn throttle_or_evict(
    pressure: &mut WorkerPressure,
    input: &PressureInput<'_>,
    estimate: &SlowdownEstimate,
    budget: &mut f64,
) -> Option<PressureAction> {
    let effect = |reservation: &&TaskReservation| {
        estimate.effect(input.service, &reservation.family, input.band)
    };
    let strongest = |evictable: bool| {
        input
            .reservations
            .iter()
            .filter(|reservation| !evictable || may_evict(reservation))
            .filter(|reservation| evictable || !pressure.throttled.contains(&reservation.attempt))
            .max_by(|a, b| effect(a).total_cmp(&effect(b)))
            .filter(|reservation| effect(reservation) > 0.0)
    };
    if let Some(reservation) = strongest(false) {
        let attempt = reservation.attempt.clone();
        pressure.throttled.push(attempt.clone());
        return Some(PressureAction::Throttle { attempt });
    }
    if *budget < 1.0 {
        return None;
    }
    let attempt = strongest(true)?.attempt.clone();
    *budget -= 1.0;
    Some(PressureAction::Evict { attempt })
}

fn evict_newest(input: &PressureInput<'_>) -> Option<PressureAction> {
    let reservation = input.reservations.last()?;
    let attempt = reservation.attempt.clone();
    Some(PressureAction::Evict { attempt })
}

fn lift_throttle(pressure: &mut WorkerPressure) -> Option<PressureAction> {
    let attempt = pressure.throttled.pop()?;
    Some(PressureAction::Unthrottle { attempt })
}

fn may_evict(reservation: &TaskReservation) -> bool {
    reservation.checkpoint
        || (reservation.repeatable
            && reservation.progress_percent < EVICTION_PROGRESS_LIMIT_PERCENT)
}
