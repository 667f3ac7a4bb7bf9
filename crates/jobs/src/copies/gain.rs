//! Learns how often and by how much restarts help, from their outcomes.
//!
//! Whether a restarted run is quick again is not known beforehand: a run may be slow because of its worker, or because of its work.

use sandshelf_model::Millis;

/// The assumed outcomes before the first one is known: two restarts of three helped.
const PRIOR_HELPED: f64 = 2.0;
const PRIOR_TRIED: f64 = 3.0;
/// The weight of the earlier outcomes when a new one is added.
const KEPT_WEIGHT: f64 = 0.9;
/// The weight of a new outcome in the mean duration of restarted runs.
const RERUN_WEIGHT: f64 = 0.25;
/// The bounds of one outcome in that mean, as a multiple of the siblings' duration.
const RERUN_BOUNDS: (f64, f64) = (0.5, 10.0);
/// Restarts go on as long as this share of them helps.
const MIN_HELPED_SHARE: f64 = 0.5;
/// Where restarts don't help, one is tried again after this time, since the cause may have changed.
const RETRY_AFTER_MS: Millis = 30_000;
/// The most restarts whose outcome is open; a worker on which all tasks stall has some tens of runs.
const MAX_OPEN_RESTARTS: usize = 32;

/// A restart whose outcome is not known yet.
#[derive(Clone, Copy, Debug)]
pub struct RestartTrial {
    /// When the stop was ordered, on the scheduler's clock.
    pub stopped_at: Millis,
    /// How long the stopped run was expected to need still, in milliseconds.
    pub remaining_ms: Millis,
    /// The typical duration of its siblings, in milliseconds.
    pub typical_ms: Millis,
}

/// The outcomes of earlier restarts of one queue.
#[derive(Clone, Debug)]
pub struct RestartGain {
    helped: f64,
    tried: f64,
    /// The duration of restarted runs as a multiple of their siblings' duration.
    rerun: f64,
    /// When the restarts whose outcome is open were ordered, oldest first.
    open: Vec<Millis>,
    last_trial: Millis,
}

impl Default for RestartGain {
    fn default() -> Self {
        Self {
            helped: 0.0,
            tried: 0.0,
            rerun: 1.0,
            open: Vec::new(),
            last_trial: 0,
        }
    }
}

impl RestartGain {
    /// Whether another run may be restarted.
    pub fn allows_restart(&self, now: Millis) -> bool {
        let share = (self.helped + PRIOR_HELPED) / (self.tried + PRIOR_TRIED);
        let open = self.open.iter().filter(|at| now < **at + RETRY_AFTER_MS);
        let open = open.count();
        let retry = open == 0 && now >= self.last_trial + RETRY_AFTER_MS;
        open < MAX_OPEN_RESTARTS && (share >= MIN_HELPED_SHARE || retry)
    }

    /// How long a restarted run is expected to take compared with its siblings, in percent.
    pub fn rerun_percent(&self) -> u64 {
        (self.rerun * 100.0) as u64
    }

    /// Records a restart.
    pub fn note_restart(&mut self, now: Millis) {
        // The outcome of a restart whose job was cancelled or failed never becomes known.
        self.open.retain(|at| now < *at + RETRY_AFTER_MS);
        self.open.push(now);
        self.last_trial = now;
    }

    /// Records the outcome of a restart: the restarted run ended at `now` after `took_ms`, or is expected to take that long. Returns
    /// whether the restart helped.
    pub fn note_outcome(&mut self, now: Millis, trial: &RestartTrial, took_ms: Millis) -> bool {
        let known = self.open.iter().position(|at| *at == trial.stopped_at);
        if let Some(known) = known {
            self.open.remove(known);
        }
        let helped = now < trial.stopped_at + trial.remaining_ms;
        self.tried = self.tried * KEPT_WEIGHT + 1.0;
        self.helped = self.helped * KEPT_WEIGHT + if helped { 1.0 } else { 0.0 };
        let (least, most) = RERUN_BOUNDS;
        let rerun = took_ms as f64 / trial.typical_ms.max(1) as f64;
        self.rerun += (rerun.clamp(least, most) - self.rerun) * RERUN_WEIGHT;
        helped
    }
}
