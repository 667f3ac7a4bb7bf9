//! The events that a shard owner handles, the actions that it returns, and its log notes and counts.

use std::collections::BTreeSet;
use std::sync::Arc;

use sandshelf_config::ConfigSet;
use sandshelf_model::{
    AttemptId, Epoch, Millis, ResourceSize, Revision, Sequence, ShardId, TaskId, TeamId, WorkerId,
};
use sandshelf_place::{SlowdownSample, WorkerEntry};
use serde::{Deserialize, Serialize};

use crate::journal::{CommitAnswer, CommitRequest, JournalRecord, TaskHandoff};
use crate::orders::{WorkerOrders, WorkerReport};
use crate::row::StoredRow;

/// An event for [`ShardOwner::handle`](crate::ShardOwner::handle).
#[derive(Clone, Debug)]
pub enum ShardEvent {
    /// Time has passed; nothing else happened.
    Tick,
    /// The shard's row was read.
    RowRead(StoredRow),
    /// The row could not be read.
    RowReadFailed,
    /// A transaction was answered, or its outcome is unknown.
    CommitAnswered {
        /// The token of the transaction's row.
        token: String,
        /// The outcome as far as it is known.
        answer: CommitAnswer,
    },
    /// The snapshot and the journal after it were read.
    StateLoaded {
        /// The snapshot's bytes; none where the row names no snapshot.
        snapshot: Option<Vec<u8>>,
        /// The journal's record groups in the order of their sequences.
        groups: Vec<(Sequence, Vec<JournalRecord>)>,
    },
    /// The snapshot or the journal could not be read.
    StateLoadFailed,
    /// An attempt to store a snapshot has ended.
    SnapshotStored {
        /// The digest of the snapshot's bytes.
        digest: String,
        /// Whether the snapshot is certainly stored; false also where that is unknown.
        stored: bool,
    },
    /// The inbox was read.
    InboxRead {
        /// The number of the read, as given in [`ShardAction::ReadInbox`].
        read_number: u64,
        /// The inbox's entries.
        handoffs: Vec<TaskHandoff>,
    },
    /// A worker answered a message, or the call failed.
    WorkerAnswered {
        /// The worker.
        worker: WorkerId,
        /// The epoch of the message that was answered.
        epoch: Epoch,
        /// The number of the message that was answered.
        number: u64,
        /// The answer; none where the call failed, so that it is unknown whether the message arrived.
        report: Option<WorkerReport>,
    },
    /// The platform's list of this shard's workers.
    WorkersListed {
        /// Workers that are present.
        present: Vec<WorkerEntry>,
        /// Those of the present workers that are to be drained.
        leaving: BTreeSet<WorkerId>,
        /// Workers that the platform reports as gone for good.
        gone: BTreeSet<WorkerId>,
    },
    /// The configuration in force, and the shards that share its tasks.
    Configured {
        /// The configuration's revision.
        revision: Revision,
        /// The configuration.
        set: Arc<ConfigSet>,
        /// All shards; has to be the same list at every host.
        shards: Arc<Vec<ShardId>>,
    },
    /// The free capacity of other shards, for tasks for which this shard has none.
    RoomReceived(Vec<ShardRoom>),
    /// This shard's slice of a team's quota.
    QuotaSliceUpdated {
        /// The team.
        team: TeamId,
        /// The slice.
        slice: ResourceSize,
    },
    /// A measurement of a service's slowdown on a worker; it may be late.
    SlowdownMeasured {
        /// The worker.
        worker: WorkerId,
        /// The measurement.
        sample: SlowdownSample,
    },
    /// A policy of the caller requests the eviction of an attempt; one that can neither
    /// resume nor run again is left alone.
    EvictRequested(AttemptId),
    /// This host's position among the candidates for the shard, from 0; none where it must not claim the shard.
    RankUpdated(Option<u32>),
    /// Give up the shard: commit the buffered records, then release it.
    Release,
}

/// The capacity of a shard, as its owner publishes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRoom {
    /// The shard.
    pub shard: ShardId,
    /// The largest capacity that its workers have without tasks, taken in each dimension separately.
    pub capacity: ResourceSize,
    /// The free capacity of the worker with the most free processors.
    pub largest: ResourceSize,
    /// Free processors summed over all of its workers, in thousandths of a core.
    pub cpu_millis: u64,
}

/// An action that the caller of a shard owner has to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum ShardAction {
    /// Read the shard's row.
    ReadRow,
    /// Run a transaction.
    Commit(CommitRequest),
    /// Read the snapshot and the journal.
    LoadState {
        /// The snapshot's digest; none where there is no snapshot.
        snapshot: Option<String>,
        /// The sequence after which journal groups are read (exclusive).
        after: Sequence,
        /// The sequence up to which journal groups are read (inclusive).
        to: Sequence,
    },
    /// Store a snapshot's bytes under its digest.
    StoreSnapshot {
        /// The digest.
        digest: String,
        /// The bytes.
        bytes: Arc<Vec<u8>>,
    },
    /// Read the inbox.
    ReadInbox {
        /// The number of the read; to be returned in [`ShardEvent::InboxRead`].
        read_number: u64,
    },
    /// Send a message to a worker.
    SendOrders {
        /// The worker.
        worker: WorkerId,
        /// The message.
        orders: WorkerOrders,
    },
    /// Log an event.
    Note(ShardNote),
}

/// An event to be logged.
#[derive(Clone, Debug, PartialEq)]
pub enum ShardNote {
    /// This host has claimed the shard under a new epoch.
    Claimed(Epoch),
    /// The shard's state has been recovered from snapshot and journal.
    Recovered {
        /// Attempts that an earlier owner placed.
        placed: usize,
    },
    /// Another host has claimed the shard.
    Lost,
    /// The shard was released.
    Released,
    /// An attempt was placed on this worker, after its task had waited for this many milliseconds.
    Placed(AttemptId, WorkerId, Millis),
    /// A task finished.
    Finished(AttemptId),
    /// An attempt was evicted.
    Evicted(AttemptId),
    /// A task was given up for this reason.
    GaveUp(TaskId, String),
    /// A worker was quarantined because tasks fail there.
    Quarantined(WorkerId),
    /// This invariant was violated; the owner ignores all further events.
    InvariantBroken(String),
}

/// Why a task waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaitReason {
    /// The task has not been examined yet; other waiting tasks come first.
    Turn,
    /// This shard's slice of its team's quota is used up.
    Quota,
    /// No open worker has enough free capacity.
    Room,
    /// The store does not answer, so no start can be recorded.
    Store,
    /// Its placement is being committed.
    Recording,
}

impl WaitReason {
    /// The reason as text for the operator.
    pub fn text(self) -> &'static str {
        match self {
            WaitReason::Turn => "its turn has not come",
            WaitReason::Quota => "its team's quota is used up",
            WaitReason::Room => "no open worker has room for it",
            WaitReason::Store => {
                "the platform's store does not answer, so no start can be recorded"
            }
            WaitReason::Recording => "its placement is being recorded",
        }
    }
}

/// Counts of an owner's operations, for metrics and for bounds in tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct OwnerCounts {
    /// Transactions sent, including renewals and retries.
    pub commits: u64,
    /// Transactions without records: renewals, claims and releases.
    pub renewals: u64,
    /// Records sent in transactions; retries are not counted.
    pub records: u64,
    /// Messages sent to workers.
    pub messages: u64,
    /// Reads of the shard's row.
    pub row_reads: u64,
    /// Orders to throttle an attempt.
    pub throttles: u64,
}

/// Why an attempt was placed on its worker.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PlacedReason {
    /// The predicted slowdown factor of the services on that worker, minus 1.
    pub predicted: f64,
    /// How many workers were compared.
    pub looked_at: usize,
    /// When the placement was decided.
    pub at: Millis,
}
