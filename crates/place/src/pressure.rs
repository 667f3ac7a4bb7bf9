//! Decides when a service's slowdown calls for throttling or eviction.
//!
//! Throttling comes first; only a slowdown that stands after a throttle leads to one eviction, of the worst offender.
//! Two thresholds and a settling time keep it from acting on its own echoes, and a budget bounds evictions.

use std::collections::HashMap;

use sandshelf_model::{AttemptId, Millis, ServiceId, WorkerId};

use crate::estimate::{LoadBand, SlowdownEstimate};
use crate::pool::TaskReservation;
use crate::weights::PlaceWeights;

/// Slowdown that is acted on at a tail weight of 1; heavier weights lower it.
const BASE_HIGH: f64 = 1.2;
/// A slowdown under this part of the high mark lifts the throttle.
const LOW_PART: f64 = 0.4;
/// The weight of the newest measurement in the running mean that is acted on.
const MEAN_STEP: f64 = 0.25;
/// How long an action is left to show in the late measurements.
const SETTLE_MS: Millis = 20_000;
/// Evictions that may be saved up.
const BUDGET_MOST: f64 = 4.0;
/// How long one eviction takes to come back into the budget, for 64 workers.
const BUDGET_REFILL_MS: f64 = 30_000.0;
/// Progress that an attempt may lose before it is spared, in percent of its run time.
const SPARED_PERCENT: u32 = 75;

/// What is asked of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PressureAction {
    /// Slow an attempt down.
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

/// What is known of a worker when its pressure is judged.
#[derive(Clone, Debug)]
pub struct PressureInput<'a> {
    /// The worker.
    pub worker: &'a WorkerId,
    /// The service that was measured.
    pub service: &'a ServiceId,
    /// The measured slowdown over running alone, minus one.
    pub slowdown: f64,
    /// The load band that the measurement speaks of.
    pub band: LoadBand,
    /// What runs there now.
    pub reservations: &'a [TaskReservation],
}

#[derive(Clone, Debug, Default)]
struct WorkerPressure {
    throttled: Vec<AttemptId>,
    acted_at: Option<Millis>,
    mean: f64,
}

/// How pressure is answered; the others are baselines that measurements compare with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PressureStrategy {
    /// Throttle the worst offender by the estimate, then evict it within the budget.
    #[default]
    Weighed,
    /// Evict the newest task as soon as the high mark is passed, without an estimate.
    EvictNewest,
    /// Do nothing.
    Never,
}

/// Pressure of the workers of one shard.
#[derive(Clone, Debug)]
pub struct PressureGauge {
    weights: PlaceWeights,
    workers: HashMap<WorkerId, WorkerPressure>,
    budget: f64,
    refilled_at: Millis,
    strategy: PressureStrategy,
}

impl PressureGauge {
    /// Makes a gauge with a full eviction budget.
    pub fn new(weights: PlaceWeights) -> Self {
        Self {
            weights,
            workers: HashMap::new(),
            budget: BUDGET_MOST,
            refilled_at: 0,
            strategy: PressureStrategy::default(),
        }
    }

    /// Answers pressure by another strategy; for measurements.
    pub fn set_strategy(&mut self, strategy: PressureStrategy) {
        self.strategy = strategy;
    }

    /// Changes the weights.
    pub fn set_weights(&mut self, weights: PlaceWeights) {
        self.weights = weights;
    }

    fn high_mark(&self) -> f64 {
        let caution = (self.weights.throughput + self.weights.evictions).max(0.1);
        BASE_HIGH * (caution / (2.0 * self.weights.tail.max(0.1))).clamp(0.25, 4.0)
    }

    /// Judges one measurement; at most one action comes of it.
    pub fn judge(
        &mut self,
        input: &PressureInput<'_>,
        estimate: &SlowdownEstimate,
        now: Millis,
    ) -> Option<PressureAction> {
        self.refill(now);
        let high = self.high_mark();
        let pressure = self.workers.entry(input.worker.clone()).or_default();
        pressure.throttled.retain(|attempt| {
            input
                .reservations
                .iter()
                .any(|tenant| &tenant.attempt == attempt)
        });
        pressure.mean += MEAN_STEP * (input.slowdown - pressure.mean);
        let mean = pressure.mean;
        let settled = pressure.acted_at.is_none_or(|at| now >= at + SETTLE_MS);
        if !settled {
            return None;
        }
        let action = if self.strategy == PressureStrategy::Never {
            None
        } else if self.strategy == PressureStrategy::EvictNewest {
            newest(input).filter(|_| input.slowdown > high)
        } else if mean > high {
            raise(pressure, input, estimate, &mut self.budget)
        } else if mean < high * LOW_PART {
            lower(pressure)
        } else {
            None
        };
        if action.is_some() {
            pressure.acted_at = Some(now);
        }
        action
    }

    fn refill(&mut self, now: Millis) {
        let passed = now.saturating_sub(self.refilled_at) as f64;
        self.budget = (self.budget + passed / BUDGET_REFILL_MS).min(BUDGET_MOST);
        self.refilled_at = now;
    }

    /// Forgets a worker that has gone.
    pub fn forget(&mut self, worker: &WorkerId) {
        self.workers.remove(worker);
    }
}

fn raise(
    pressure: &mut WorkerPressure,
    input: &PressureInput<'_>,
    estimate: &SlowdownEstimate,
    budget: &mut f64,
) -> Option<PressureAction> {
    let effect =
        |tenant: &&TaskReservation| estimate.effect(input.service, &tenant.family, input.band);
    let worst = |evictable: bool| {
        input
            .reservations
            .iter()
            .filter(|tenant| !evictable || may_evict(tenant))
            .filter(|tenant| evictable || !pressure.throttled.contains(&tenant.attempt))
            .max_by(|a, b| effect(a).total_cmp(&effect(b)))
            .filter(|tenant| effect(tenant) > 0.0)
    };
    if let Some(tenant) = worst(false) {
        let attempt = tenant.attempt.clone();
        pressure.throttled.push(attempt.clone());
        return Some(PressureAction::Throttle { attempt });
    }
    if *budget < 1.0 {
        return None;
    }
    let attempt = worst(true)?.attempt.clone();
    *budget -= 1.0;
    Some(PressureAction::Evict { attempt })
}

fn newest(input: &PressureInput<'_>) -> Option<PressureAction> {
    let tenant = input.reservations.last()?;
    let attempt = tenant.attempt.clone();
    Some(PressureAction::Evict { attempt })
}

fn lower(pressure: &mut WorkerPressure) -> Option<PressureAction> {
    let attempt = pressure.throttled.pop()?;
    Some(PressureAction::Unthrottle { attempt })
}

fn may_evict(tenant: &TaskReservation) -> bool {
    tenant.checkpoint || (tenant.repeatable && tenant.progress_percent < SPARED_PERCENT)
}
