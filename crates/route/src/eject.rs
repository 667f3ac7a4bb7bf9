//! Temporary ejection of backend servers that fail repeatedly (outlier ejection), and their slow start afterwards.

use sandshelf_model::Millis;

/// The thresholds and durations of ejection and slow start.
#[derive(Clone, Copy, Debug)]
pub struct EjectRule {
    /// Number of consecutive failures that eject a server.
    pub failures: u32,
    /// Length of the first ejection in milliseconds; it doubles with each further one.
    pub first_ms: Millis,
    /// Upper bound on the length of an ejection, in milliseconds.
    pub longest_ms: Millis,
    /// Maximum percentage of a service's servers that may be ejected at the same time.
    pub max_ejected_percent: u32,
    /// How long a new server, or one whose ejection ended, gets a reduced part of the requests, in milliseconds.
    pub slow_start_ms: Millis,
}

impl Default for EjectRule {
    fn default() -> Self {
        Self {
            failures: 3,
            first_ms: 2_000,
            longest_ms: 60_000,
            max_ejected_percent: 30,
            slow_start_ms: 5_000,
        }
    }
}

/// The consecutive failures and ejections of one server.
#[derive(Clone, Debug, Default)]
pub struct ServerHealth {
    failures: u32,
    ejections: u32,
    ejected_until: Millis,
    slow_start_from: Millis,
}

impl ServerHealth {
    /// Creates the state of a new server, whose slow start begins at `now`.
    pub fn new(now: Millis) -> Self {
        Self {
            slow_start_from: now,
            ..Self::default()
        }
    }

    /// Returns whether the server is ejected at `now` and must not be chosen.
    pub fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    /// Records a complete answer: resets the consecutive failures, and the count of ejections to at most 1.
    pub fn note_success(&mut self) {
        self.failures = 0;
        self.ejections = self.ejections.min(1);
    }

    /// Records a failure; ejects the server after enough consecutive failures, unless `may_eject` is false.
    pub fn note_failure(&mut self, now: Millis, rule: &EjectRule, may_eject: bool) {
        self.failures += 1;
        if self.failures < rule.failures || !may_eject {
            return;
        }
        let length_ms = (rule.first_ms << self.ejections.min(16)).min(rule.longest_ms);
        self.ejected_until = now + length_ms;
        self.slow_start_from = self.ejected_until;
        self.ejections += 1;
        self.failures = 0;
    }

    /// Returns the factor by which a server's cost is raised during its slow start: from 4 at its beginning down to 1 at its end.
    pub fn slow_start(&self, now: Millis, rule: &EjectRule) -> f64 {
        let elapsed_ms = now.saturating_sub(self.slow_start_from);
        if elapsed_ms >= rule.slow_start_ms {
            return 1.0;
        }
        let fraction = elapsed_ms as f64 / rule.slow_start_ms as f64;
        4.0 - 3.0 * fraction
    }
}
