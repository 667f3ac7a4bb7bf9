//! How long a worker takes to stop and to resume a run, and how its runs progress.

use sandshelf_jobs::RunKey;
use sandshelf_model::Millis;

use crate::catalog::mix;
use crate::queue::{Micros, MS};

/// The durations of stops and resumptions on the workers of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunTiming {
    /// The shortest and the longest time from an order to stop a run until the run ends, in milliseconds.
    pub stop_ms: (Millis, Millis),
    /// The time that a run takes to resume from a checkpoint before it makes progress, in milliseconds.
    pub restore_ms: Millis,
}

/// How the runs on a worker progress, whatever processor time they get.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RunProgress {
    /// At the speed that their processor time allows.
    #[default]
    Usual,
    /// Slower by this factor. Standing tasks stay at work.
    Slower(u64),
    /// Not at all. Standing tasks are not at work.
    None,
}

impl RunProgress {
    /// The factor by which work takes longer; `None` if no work is done.
    pub(super) fn slowness(self) -> Option<u64> {
        match self {
            RunProgress::Usual => Some(1),
            RunProgress::Slower(factor) => Some(factor.max(1)),
            RunProgress::None => None,
        }
    }
}

impl Default for RunTiming {
    /// Stops take 300 ms, and runs resume at once.
    fn default() -> Self {
        Self {
            stop_ms: (300, 300),
            restore_ms: 0,
        }
    }
}

impl RunTiming {
    /// How long it takes to stop a run, in milliseconds; always the same for the same run.
    pub fn stop_ms(&self, key: &RunKey) -> Millis {
        let (shortest, longest) = self.stop_ms;
        let place = u64::from(key.task.step) << 32 | u64::from(key.task.index);
        let drawn = mix(mix(key.task.job.0, place), key.run);
        shortest + drawn % (longest - shortest + 1)
    }

    /// How long a run takes to resume after `saved` milliseconds of work, in microseconds.
    pub fn restore_us(&self, saved: Millis) -> Micros {
        match saved {
            0 => 0,
            _ => self.restore_ms * MS,
        }
    }
}
