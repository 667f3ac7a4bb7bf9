//! A current run on a worker and its progress.

use sandshelf_jobs::RunOutcome;
use sandshelf_model::Millis;

use super::RunProgress;
use crate::catalog::{TaskFacts, STANDING_START_MS};
use crate::queue::{Micros, MS};

/// Work between two checkpoints, in milliseconds at full pace.
const CHECKPOINT_MS: Millis = 1_000;

/// A current run.
#[derive(Clone, Debug)]
pub(super) struct LiveRun {
    pub(super) run: u64,
    pub(super) facts: TaskFacts,
    pub(super) began: Micros,
    /// Remaining work, in microseconds at full pace.
    pub(super) left: u64,
    /// Time that it still needs to resume from its checkpoint, in microseconds.
    pub(super) restoring: Micros,
    /// Work after which this run fails, in microseconds at full pace, counted from its start; `None` if it does not fail.
    pub(super) fails_at: Option<u64>,
    /// Work done since its start, in microseconds at full pace.
    pub(super) done: u64,
    /// The pace that the owner ordered, in percent.
    pub(super) pace: u32,
    /// Actual speed, in thousandths of the full pace.
    pub(super) speed: u64,
    /// The time at which it ends because of an order to stop it.
    pub(super) stops_at: Option<Micros>,
}

impl LiveRun {
    /// Does the work of a time span.
    pub(super) fn work(&mut self, passed: Micros, progress: RunProgress) {
        let Some(slowness) = progress.slowness() else {
            return;
        };
        let restored = passed.min(self.restoring);
        self.restoring -= restored;
        let worked = (passed - restored) * self.speed / (1_000 * slowness * self.facts.slowness);
        self.done += worked;
        self.left = self.left.saturating_sub(worked);
    }

    /// Whether it has started up and progresses, where it is a standing task.
    pub(super) fn is_at_work(&self, now: Micros, progress: RunProgress) -> bool {
        progress != RunProgress::None && now >= self.began + STANDING_START_MS * MS
    }

    /// Remaining work until it is done or fails; `None` for a standing task that does not fail.
    pub(super) fn until_end(&self) -> Option<u64> {
        let fails = self.fails_at.map(|at| at.saturating_sub(self.done));
        let done = (!self.facts.standing).then_some(self.left);
        fails.into_iter().chain(done).min()
    }

    /// How it has ended by `now`; `None` while it runs.
    pub(super) fn outcome(&self, now: Micros) -> Option<RunOutcome> {
        if self.stops_at.is_some_and(|at| now >= at) {
            return Some(RunOutcome::Stopped);
        }
        if self.fails_at.is_some_and(|at| self.done >= at) {
            return Some(RunOutcome::Failed);
        }
        (self.until_end() == Some(0)).then_some(RunOutcome::Done)
    }

    /// The time at which it ends if its speed stays the same; `None` if it does not end.
    pub(super) fn ends_at(&self, now: Micros, progress: RunProgress) -> Option<Micros> {
        let slowness = progress.slowness().filter(|_| self.speed > 0);
        let work = self.until_end().zip(slowness);
        // The additional microsecond rounds the division up.
        let over = work.map(|(left, slowness)| {
            let slowness = 1_000 * slowness * self.facts.slowness;
            now + self.restoring + left * slowness / self.speed.max(1) + 1
        });
        over.into_iter().chain(self.stops_at).min()
    }

    /// The work covered by its last checkpoint, in milliseconds as a hexadecimal number; `None` if there is no checkpoint.
    pub(super) fn checkpoint(&self) -> Option<String> {
        let total = self.facts.work_ms * MS;
        let saved = total.saturating_sub(self.left) / (CHECKPOINT_MS * MS) * CHECKPOINT_MS;
        (self.facts.checkpoints && saved > 0).then(|| format!("{saved:016x}"))
    }
}
