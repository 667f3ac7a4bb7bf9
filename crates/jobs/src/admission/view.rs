//! The load of the queues as an owner publishes it to the hosts that accept jobs.

use sandshelf_model::{Epoch, Millis};
use serde::{Deserialize, Serialize};

/// The whole of a share, in thousandths.
pub const FULL_SHARE_PERMILLE: u32 = 1_000;

/// The load of all queues with jobs that end, as one owner measured it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadView {
    /// The epoch of the owner.
    pub epoch: Epoch,
    /// The loads by queue, in the order of the queues' names. Jobs of other queues are admitted.
    pub queues: Vec<QueueLoad>,
}

/// The load of one queue. Work is measured in core-milliseconds by the jobs' own estimates.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueLoad {
    /// The name of the queue.
    pub queue: String,
    /// Whether tasks of the queue, or of one with higher priority on the same workers, lack capacity. If not, all jobs are admitted.
    pub short_of_capacity: bool,
    /// The number of jobs of which nothing has run.
    pub waiting_jobs: u32,
    /// The number of begun jobs that have not ended.
    pub begun_jobs: u32,
    /// The work that is left in these jobs, without those of no use any more, in core-milliseconds.
    pub work_left: u64,
    /// How much of that work is done in a second, in core-milliseconds.
    pub work_per_s: u64,
    /// How long recently completed jobs took, in percent of their objective; 0 if none completed.
    pub took_percent: u32,
    /// The share of new jobs that is admitted, in thousandths.
    pub share_permille: u32,
    /// The share of new large jobs that is admitted, in thousandths.
    pub large_share_permille: u32,
    /// Jobs with more work than this are large, in core-milliseconds.
    pub large_above: u64,
    /// The forecast time until the queue admits all jobs again if no more arrive, in milliseconds.
    pub relief_ms: Millis,
}

impl LoadView {
    /// Whether jobs of any queue may be refused.
    pub fn has_shortage(&self) -> bool {
        self.queues.iter().any(|load| load.short_of_capacity)
    }

    /// The load of a queue, if the view contains it.
    pub fn queue(&self, name: &str) -> Option<&QueueLoad> {
        self.queues.iter().find(|load| load.queue == name)
    }
}

impl QueueLoad {
    /// The time in which the work left would be done at the measured rate, in milliseconds.
    pub fn drain_ms(&self) -> Millis {
        self.work_left.saturating_mul(1_000) / self.work_per_s.max(1)
    }

    /// The admitted share of jobs with this much work, in thousandths.
    pub fn share_of(&self, work: u64) -> u32 {
        if work > self.large_above {
            self.large_share_permille
        } else {
            self.share_permille
        }
    }
}
