//! Converts measured latencies into slowdowns, relative to a service that runs alone on its worker.

use std::collections::HashMap;

use sandshelf_model::{Millis, ServiceId, WorkerId};

use crate::estimate::LoadBand;

/// Weight of the newest window in the running mean of a service's latency alone.
const ALONE_MEAN_WEIGHT: f64 = 0.1;
/// Factor by which the lowest observed latency is raised with each window. That latency is the baseline for a service that was
/// never measured alone, and the drift lets an outdated minimum expire.
const FLOOR_DRIFT_PER_WINDOW: f64 = 1.002;
/// Windows with fewer answers than this are ignored.
const MIN_ANSWERS: u32 = 5;

/// Latencies of one service's answers on one worker within a time window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LatencyWindow {
    /// The service that answered.
    pub service: ServiceId,
    /// The worker that it ran on.
    pub worker: WorkerId,
    /// Number of answers.
    pub count: u32,
    /// Sum of the answers' latencies in milliseconds.
    pub total_ms: u64,
}

impl LatencyWindow {
    /// Returns the mean fraction of `slots` that was in use during a window of `window_ms` milliseconds.
    pub fn utilisation(&self, window_ms: Millis, slots: u32) -> f64 {
        let slot_ms = (window_ms * u64::from(slots)).max(1);
        self.total_ms as f64 / slot_ms as f64
    }

    /// Returns the mean latency in milliseconds; 0 if the window has no answers.
    pub fn mean_ms(&self) -> f64 {
        self.total_ms as f64 / f64::from(self.count.max(1))
    }
}

/// Baseline latencies of each service by load band, in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct SlowdownMeter {
    alone: HashMap<(ServiceId, LoadBand), f64>,
    lowest: HashMap<(ServiceId, LoadBand), f64>,
}

impl SlowdownMeter {
    /// Returns the slowdown minus one that a window shows, never below 0; `None` if the window has too few answers.
    ///
    /// `is_alone` tells whether the service ran alone on the worker; only such windows update its latency alone.
    pub fn slowdown(
        &mut self,
        window: &LatencyWindow,
        band: LoadBand,
        is_alone: bool,
    ) -> Option<f64> {
        if window.count < MIN_ANSWERS {
            return None;
        }
        let mean = window.mean_ms().max(0.1);
        let key = (window.service.clone(), band);
        let lowest = self.lowest.entry(key.clone()).or_insert(mean);
        *lowest = (*lowest * FLOOR_DRIFT_PER_WINDOW).min(mean);
        let floor = *lowest;
        if is_alone {
            let alone = self.alone.entry(key.clone()).or_insert(mean);
            *alone += ALONE_MEAN_WEIGHT * (mean - *alone);
        }
        let baseline = self.alone.get(&key).copied().unwrap_or(floor);
        Some((mean / baseline.max(0.1) - 1.0).max(0.0))
    }
}
