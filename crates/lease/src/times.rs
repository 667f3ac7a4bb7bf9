//! The durations of shard ownership and task leases.

use sandshelf_model::Millis;

/// The number of committed records after which a snapshot is made.
const RECORDS_PER_SNAPSHOT: u64 = 4_000;
/// Timeout for an answer of the store or of a worker, in milliseconds.
const ANSWER_TIMEOUT_MS: Millis = 400;

/// The durations and intervals that govern shard ownership and task leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimes {
    /// How long ownership of a shard lasts without a durable renewal.
    pub shard_lease_ms: Millis,
    /// How long a worker keeps running its tasks without a renewal, on its own clock from its own stamp.
    pub task_lease_ms: Millis,
    /// How long an owner continues to renew task leases after its last successful durable write.
    pub renewal_grace_ms: Millis,
    /// The maximum drift between two monotonic clocks over these durations.
    pub drift_ms: Millis,
    /// How long an answer is awaited before the message counts as lost.
    pub answer_timeout_ms: Millis,
    /// Interval between messages to a worker for which no order is queued; each renews the worker's task leases.
    pub order_interval_ms: Millis,
    /// The minimum time between two durable writes of a shard, unless urgent tasks or a new configuration wait.
    pub commit_interval_ms: Millis,
    /// The number of committed records after which a snapshot is made.
    pub records_per_snapshot: u64,
    /// How much longer each further candidate (by rank) waits before it claims a free shard.
    pub stagger_ms: Millis,
}

impl LeaseTimes {
    /// Derives all durations from the three that operators configure.
    pub fn derive(shard_lease_ms: Millis, task_lease_ms: Millis, renewal_grace_ms: Millis) -> Self {
        Self {
            shard_lease_ms,
            task_lease_ms,
            renewal_grace_ms,
            drift_ms: (task_lease_ms + renewal_grace_ms) / 200 + 50,
            answer_timeout_ms: ANSWER_TIMEOUT_MS,
            order_interval_ms: task_lease_ms / 4,
            commit_interval_ms: 50,
            records_per_snapshot: RECORDS_PER_SNAPSHOT,
            stagger_ms: shard_lease_ms / 2,
        }
    }

    /// For how many milliseconds after a takeover an unreachable worker may still run
    /// tasks that the earlier owner renewed.
    pub fn silence_ms(&self) -> Millis {
        self.renewal_grace_ms + self.task_lease_ms + self.drift_ms
    }
}

impl Default for LeaseTimes {
    fn default() -> Self {
        Self::derive(1_000, 10_000, 2_700_000)
    }
}
