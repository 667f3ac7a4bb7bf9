//! Tells bad workers apart from bad tasks.
//!
//! A worker on which several different jobs fail in a row is closed and let back by one probe at a time.
//! A failure on a worker that is later closed is not held against the task.

use std::collections::{BTreeSet, HashMap};

use sandshelf_model::{JobId, Millis, WorkerId};

/// The limits of quarantine.
#[derive(Clone, Copy, Debug)]
pub struct QuarantineRule {
    /// Failures in a row that close a worker.
    pub failures: u32,
    /// How many different jobs they have to be of.
    pub jobs: usize,
    /// How long a worker stays closed the first time; doubles each time after.
    pub first_ms: Millis,
    /// The longest time that it stays closed.
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

/// Whether a worker may be given tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerHealth {
    /// It may.
    Healthy,
    /// It may be given one task as a probe.
    Probation,
    /// It may not until the time given.
    Quarantined {
        /// When it may be probed.
        until: Millis,
    },
}

#[derive(Clone, Debug, Default)]
struct FailureRun {
    jobs: BTreeSet<JobId>,
    failures: u32,
    closed_times: u32,
    until: Option<Millis>,
}

/// Failure runs of workers.
#[derive(Clone, Debug, Default)]
pub struct QuarantineTracker {
    rule: QuarantineRule,
    runs: HashMap<WorkerId, FailureRun>,
}

impl QuarantineTracker {
    /// Starts with limits other than the usual ones.
    pub fn with_rule(rule: QuarantineRule) -> Self {
        Self {
            rule,
            runs: HashMap::new(),
        }
    }

    /// Notes that an attempt of `job` failed on `worker`; returns true where that closes the worker.
    pub fn note_failure(&mut self, worker: &WorkerId, job: &JobId, now: Millis) -> bool {
        let rule = self.rule;
        let run = self.runs.entry(worker.clone()).or_default();
        run.failures += 1;
        if run.jobs.len() < rule.jobs {
            run.jobs.insert(job.clone());
        }
        let on_probation = run.until.is_some();
        let closes = on_probation || (run.failures >= rule.failures && run.jobs.len() >= rule.jobs);
        if closes {
            let doublings = run.closed_times.min(16);
            let length = (rule.first_ms << doublings).min(rule.longest_ms);
            run.until = Some(now + length);
            run.closed_times += 1;
        }
        closes
    }

    /// Notes that an attempt finished on `worker`.
    pub fn note_success(&mut self, worker: &WorkerId) {
        self.runs.remove(worker);
    }

    /// Says whether `worker` may be given tasks.
    pub fn health(&self, worker: &WorkerId, now: Millis) -> WorkerHealth {
        match self.runs.get(worker).and_then(|run| run.until) {
            None => WorkerHealth::Healthy,
            Some(until) if now < until => WorkerHealth::Quarantined { until },
            Some(_) => WorkerHealth::Probation,
        }
    }

    /// Forgets a worker that has gone.
    pub fn forget(&mut self, worker: &WorkerId) {
        self.runs.remove(worker);
    }
}
