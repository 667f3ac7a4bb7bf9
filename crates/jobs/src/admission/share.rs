//! The shares of new jobs that an owner admits, and their course over time.

use std::collections::VecDeque;

use sandshelf_model::Millis;

/// The time in which a difference between the work left and its target is made up, in milliseconds. Shares take effect up to 1.2 s after
/// the work left was measured; a shorter time makes the work left oscillate.
const CORRECTION_MS: f64 = 2_500.0;
/// The least share of new jobs, so that no queue starves.
const MIN_SHARE: f64 = 0.05;
/// The least share of large jobs relative to that of the others. Large jobs must be served at least half as often as the whole queue,
/// of which they are a tenth: 0.51 / 0.951 = 0.54 of the whole, with a margin for misjudged sizes.
const LARGE_RATIO: f64 = 0.51;
/// By how much a share rises at most in a second.
const RISE_PER_S: f64 = 0.25;
/// How long a published share may be in force at some host, in milliseconds.
const IN_FORCE_MS: Millis = 1_200;

/// The shares of a queue, between 0 and 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct AdmittedShares {
    /// The share of jobs that are not large.
    pub(super) usual: f64,
    /// The share of large jobs.
    pub(super) large: f64,
}

/// The rates from which shares are computed, in core-milliseconds per millisecond, and the work left with its target, in
/// core-milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ShareInputs {
    /// The rate at which work is done.
    pub(super) done: f64,
    /// The rate at which work of usual jobs is submitted.
    pub(super) offered: f64,
    /// The rate at which work of large jobs is submitted.
    pub(super) offered_large: f64,
    /// The work left.
    pub(super) left: f64,
    /// The work left that keeps the capacity in use and lets jobs end in time.
    pub(super) left_target: f64,
}

impl AdmittedShares {
    /// Every job is admitted.
    pub(super) const FULL: Self = Self {
        usual: 1.0,
        large: 1.0,
    };

    /// The shares with which the work left moves to its target. Large jobs are refused first.
    pub(super) fn forecast(inputs: &ShareInputs) -> Self {
        let ShareInputs {
            done,
            offered,
            offered_large,
            left,
            left_target,
        } = *inputs;
        let admitted = (done + (left_target - left) / CORRECTION_MS).max(0.0);
        let least_offered = offered + LARGE_RATIO * offered_large;
        if least_offered <= 0.0 {
            return Self::FULL;
        }
        let usual = (admitted / least_offered).clamp(MIN_SHARE, 1.0);
        let for_large = (admitted - usual * offered).max(0.0);
        let large = match offered_large > 0.0 {
            true => for_large / offered_large,
            false => 1.0,
        };
        Self {
            usual,
            large: large.clamp(LARGE_RATIO * usual, 1.0),
        }
    }

    /// The next shares on the way from these to the forecast: a share falls at once and rises slowly.
    pub(super) fn towards(self, forecast: Self, passed_ms: Millis) -> Self {
        let rise = RISE_PER_S * passed_ms as f64 / 1_000.0;
        Self {
            usual: forecast.usual.min(self.usual + rise),
            large: forecast.large.min(self.large + rise),
        }
    }

    /// These shares, with neither above `most`.
    pub(super) fn at_most(self, most: f64) -> Self {
        Self {
            usual: self.usual.min(most),
            large: self.large.min(most),
        }
    }
}

/// The published shares that may be in force at some host.
#[derive(Clone, Debug, Default)]
pub(super) struct PublishedShares {
    shares: VecDeque<(Millis, AdmittedShares)>,
}

impl PublishedShares {
    /// Records the shares published at `now`.
    pub(super) fn publish(&mut self, now: Millis, shares: AdmittedShares) {
        self.shares.push_back((now, shares));
        while self.shares.len() > 1 && self.shares[0].0 + IN_FORCE_MS < now {
            self.shares.pop_front();
        }
    }

    /// The mean share in force for large or for usual jobs.
    pub(super) fn in_force(&self, large: bool) -> f64 {
        let share = |shares: &AdmittedShares| if large { shares.large } else { shares.usual };
        let sum: f64 = self.shares.iter().map(|(_, shares)| share(shares)).sum();
        match self.shares.len() {
            0 => 1.0,
            count => (sum / count as f64).max(MIN_SHARE),
        }
    }
}
