//! A run at work on a worker, and how far it is.

use sandshelf_jobs::RunOutcome;
use sandshelf_model::Millis;

use crate::catalog::TaskFacts;
use crate::queue::{Micros, MS};

/// How much work lies between two checkpoints.
const CHECKPOINT_MS: Millis = 1_000;

/// A run at work.
#[derive(Clone, Debug)]
pub(super) struct LiveRun {
    pub(super) run: u64,
    pub(super) facts: TaskFacts,
    pub(super) began: Micros,
    /// The work that is left, in microseconds at full pace.
    pub(super) left: u64,
    /// After how much work from the start this run fails.
    pub(super) fails_at: Option<u64>,
    pub(super) done: u64,
    pub(super) pace: u32,
    /// How fast it works, in thousandths.
    pub(super) speed: u64,
    pub(super) stops_at: Option<Micros>,
}

impl LiveRun {
    pub(super) fn work(&mut self, passed: Micros) {
        let worked = passed * self.speed / 1_000;
        self.done += worked;
        self.left = self.left.saturating_sub(worked);
    }

    /// How much work is left until it is done or fails.
    pub(super) fn until_end(&self) -> Option<u64> {
        let fails = self.fails_at.map(|at| at.saturating_sub(self.done));
        let done = (!self.facts.standing).then_some(self.left);
        fails.into_iter().chain(done).min()
    }

    pub(super) fn outcome(&self, now: Micros) -> Option<RunOutcome> {
        if self.stops_at.is_some_and(|at| now >= at) {
            return Some(RunOutcome::Stopped);
        }
        if self.fails_at.is_some_and(|at| self.done >= at) {
            return Some(RunOutcome::Failed);
        }
        (self.until_end() == Some(0)).then_some(RunOutcome::Done)
    }

    /// When it ends if nothing changes.
    pub(super) fn ends_at(&self, now: Micros) -> Option<Micros> {
        let work = self.until_end().filter(|_| self.speed > 0);
        // One more microsecond makes up for the remainder of the division.
        let over = work.map(|left| now + left * 1_000 / self.speed.max(1) + 1);
        over.into_iter().chain(self.stops_at).min()
    }

    /// How much of the work is saved, as a text.
    pub(super) fn checkpoint(&self) -> Option<String> {
        let total = self.facts.work_ms * MS;
        let saved = total.saturating_sub(self.left) / (CHECKPOINT_MS * MS) * CHECKPOINT_MS;
        (self.facts.checkpoints && saved > 0).then(|| format!("{saved:016x}"))
    }
}
