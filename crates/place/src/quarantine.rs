//! Quarantines workers on which tasks of several jobs fail, to tell faulty workers apart from faulty tasks.
//!
//! A worker on which several different jobs fail in a row gets no tasks for a while, and then one task at a time as a probe.
//! A failure on a worker that is quarantined later is not counted against the task.

use std::collections::{BTreeSet, HashMap};

use sandshelf_model::{JobId, Millis, WorkerId};

/// The thresholds and durations of quarantine.
#[derive(Clone, Copy, Debug)]
pub struct QuarantineRule {
    /// Number of consecutive failures that quarantine a worker.
    pub failures: u32,
    /// Minimum number of different jobs that these failures must belong to.
    pub jobs: usize,
    /// Length of the first quarantine in milliseconds; it doubles with each further one.
    pub first_ms: Millis,
    /// Upper bound on the length of a quarantine, in milliseconds.
    pub longest_ms: Millis,
}

impl Default for QuarantineRule {
    fn default() -> Self {
        Self {
            failures: 3,
            jobs: 2,
            first_ms: 30_000,
            longest_ms: 1_800_000,
        }
    }
}

/// Whether tasks may be placed on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerHealth {
    /// Tasks may be placed on it.
    Healthy,
    /// One task at a time may be placed on it, as a probe.
    Probation,
    /// No task may be placed on it yet.
    Quarantined {
        /// The time from which a probe may be placed.
        until: Millis,
    },
}

#[derive(Clone, Debug, Default)]
struct FailureStreak {
    jobs: BTreeSet<JobId>,
    failures: u32,
    quarantine_count: u32,
    until: Option<Millis>,
}

/// Tracks consecutive failures per worker and decides which workers are quarantined.
#[derive(Clone, Debug, Default)]
pub struct QuarantineTracker {
    rule: QuarantineRule,
    streaks: HashMap<WorkerId, FailureStreak>,
}

impl QuarantineTracker {
    /// Creates a tracker with other limits than the default ones.
    pub fn with_rule(rule: QuarantineRule) -> Self {
        Self {
            rule,
            streaks: HashMap::new(),
        }
    }

    /// Records that an attempt of `job` failed on `worker`; returns whether this failure quarantines the worker.
    pub fn note_failure(&mut self, worker: &WorkerId, job: &JobId, now: Millis) -> bool {
        let rule = self.rule;
        let streak = self.streaks.entry(worker.clone()).or_default();
        streak.failures += 1;
        if streak.jobs.len() < rule.jobs {
            streak.jobs.insert(job.clone());
        }
        let on_probation = streak.until.is_some();
        let quarantined =
            on_probation || (streak.failures >= rule.failures && streak.jobs.len() >= rule.jobs);
        if quarantined {
            let doublings = streak.quarantine_count.min(16);
            let length_ms = (rule.first_ms << doublings).min(rule.longest_ms);
            streak.until = Some(now + length_ms);
            streak.quarantine_count += 1;
        }
        quarantined
    }

    /// Records that an attempt succeeded on `worker`; this ends its streak of failures and its quarantine.
    pub fn note_success(&mut self, worker: &WorkerId) {
        self.streaks.remove(worker);
    }

    /// Returns whether tasks may be placed on `worker` at `now`.
    pub fn health(&self, worker: &WorkerId, now: Millis) -> WorkerHealth {
        match self.streaks.get(worker).and_then(|streak| streak.until) {
            None => WorkerHealth::Healthy,
            Some(until) if now < until => WorkerHealth::Quarantined { until },
            Some(_) => WorkerHealth::Probation,
        }
    }

    /// Drops the state of a worker that was removed.
    pub fn forget(&mut self, worker: &WorkerId) {
        self.streaks.remove(worker);
    }
}
