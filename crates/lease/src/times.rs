//! The durations on which the fences in time rest.

use sandshelf_model::Millis;

/// After how many records a snapshot is made.
const RECORDS_PER_SNAPSHOT: u64 = 4_000;
/// How long an answer of the store or of a worker is waited for.
const ANSWER_MS: Millis = 400;

/// Durations of ownership and task leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimes {
    /// How long ownership of a shard lasts without a durable renewal.
    pub shard_lease_ms: Millis,
    /// How long a worker keeps its tasks without a renewal, on its own clock from its own stamp.
    pub task_lease_ms: Millis,
    /// How long an owner goes on renewing task leases after its last good durable renewal.
    pub renewal_grace_ms: Millis,
    /// The most by which two monotonic clocks drift apart over these durations.
    pub drift_ms: Millis,
    /// How long an answer is waited for before the message counts as lost.
    pub answer_timeout_ms: Millis,
    /// How often a worker is sent orders when there is nothing new.
    pub order_interval_ms: Millis,
    /// The least time between two durable writes of a shard, unless urgent work waits.
    pub commit_interval_ms: Millis,
    /// A snapshot is made after so many records.
    pub records_per_snapshot: u64,
    /// How much later each further candidate claims a shard that is free.
    pub stagger_ms: Millis,
}

impl LeaseTimes {
    /// Derives every duration from the three that operators set.
    pub fn derive(shard_lease_ms: Millis, task_lease_ms: Millis, renewal_grace_ms: Millis) -> Self {
        Self {
            shard_lease_ms,
            task_lease_ms,
            renewal_grace_ms,
            drift_ms: (task_lease_ms + renewal_grace_ms) / 200 + 50,
            answer_timeout_ms: ANSWER_MS,
            order_interval_ms: task_lease_ms / 4,
            commit_interval_ms: 50,
            records_per_snapshot: RECORDS_PER_SNAPSHOT,
            stagger_ms: shard_lease_ms / 2,
        }
    }

    /// How long after a takeover a worker that can't be reached may still run what the earlier owner renewed.
    pub fn silence_ms(&self) -> Millis {
        self.renewal_grace_ms + self.task_lease_ms + self.drift_ms
    }
}

impl Default for LeaseTimes {
    fn default() -> Self {
        Self::derive(1_000, 10_000, 2_700_000)
    }
}
