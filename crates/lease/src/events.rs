//! What a shard's owner is told, what it asks for, and what it has to say.

use std::collections::BTreeSet;
use std::sync::Arc;

use sandshelf_config::ConfigSet;
use sandshelf_model::{
    AttemptId, Epoch, Millis, ResourceSize, Revision, Sequence, ShardId, TaskId, TeamId, WorkerId,
};
use sandshelf_place::{PairSample, WorkerEntry};
use serde::{Deserialize, Serialize};

use crate::journal::{CommitAnswer, CommitRequest, JournalRecord, TaskHandoff};
use crate::orders::{WorkerOrders, WorkerReport};
use crate::row::StoredRow;

/// What an owner is told.
#[derive(Clone, Debug)]
pub enum ShardEvent {
    /// Time has passed.
    Tick,
    /// The shard's row was read.
    RowRead(StoredRow),
    /// The row could not be read.
    RowReadFailed,
    /// A transaction was answered.
    CommitAnswered {
        /// The token of the transaction.
        token: String,
        /// The answer.
        answer: CommitAnswer,
    },
    /// The snapshot and the journal after it were read.
    StateLoaded {
        /// The snapshot's bytes, where the row names one.
        snapshot: Option<Vec<u8>>,
        /// The journal's groups in order.
        groups: Vec<(Sequence, Vec<JournalRecord>)>,
    },
    /// The snapshot or the journal could not be read.
    StateLoadFailed,
    /// A snapshot was stored, or not.
    SnapshotStored {
        /// Its digest.
        digest: String,
        /// Whether it is stored for certain.
        stored: bool,
    },
    /// The inbox was read.
    InboxRead {
        /// The number of the ask that this answers.
        read_number: u64,
        /// What is in it.
        handoffs: Vec<TaskHandoff>,
    },
    /// A worker answered, or did not.
    WorkerAnswered {
        /// The worker.
        worker: WorkerId,
        /// The epoch of the message that was answered.
        epoch: Epoch,
        /// The number of the message that was answered.
        number: u64,
        /// The answer; none where nothing is known of the message.
        report: Option<WorkerReport>,
    },
    /// The platform's list of this shard's workers.
    WorkersListed {
        /// Workers that are there.
        present: Vec<WorkerEntry>,
        /// Of those, the ones to be emptied.
        leaving: BTreeSet<WorkerId>,
        /// Incarnations that the platform says are gone for good.
        gone: BTreeSet<WorkerId>,
    },
    /// The configuration in force, and the shards that share its tasks.
    Configured {
        /// Its revision.
        revision: Revision,
        /// The set.
        set: Arc<ConfigSet>,
        /// Every shard, the same at every host.
        shards: Arc<Vec<ShardId>>,
    },
    /// How much room other shards have, for tasks that find none here.
    RoomReceived(Vec<ShardRoom>),
    /// This shard's slice of a team's quota.
    QuotaSliceUpdated {
        /// The team.
        team: TeamId,
        /// The slice.
        slice: ResourceSize,
    },
    /// A late measurement of a service on a worker.
    SlowdownMeasured {
        /// The worker.
        worker: WorkerId,
        /// The measurement.
        sample: PairSample,
    },
    /// Evict an attempt, as a policy of the driver's own asks; one that could not resume or run again is left alone.
    EvictRequested(AttemptId),
    /// This host's place among the candidates for the shard; none where it must not claim it.
    RankUpdated(Option<u32>),
    /// Hand the shard over: commit what is open, then release.
    Release,
}

/// Room in a shard, as its owner tells it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRoom {
    /// The shard.
    pub shard: ShardId,
    /// The most that one of its workers could hold if it were empty.
    pub capacity: ResourceSize,
    /// The most that is free on one of its workers.
    pub largest: ResourceSize,
    /// Free processors over all of its workers, in thousandths of a core.
    pub cpu_millis: u64,
}

/// What an owner asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum ShardAction {
    /// Read the shard's row.
    ReadRow,
    /// Run a transaction.
    Commit(CommitRequest),
    /// Read the snapshot and the journal.
    LoadState {
        /// The snapshot's digest.
        snapshot: Option<String>,
        /// Groups after this sequence,
        after: Sequence,
        /// up to and with this one.
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
        /// To be given back with the answer.
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

/// An event worth a line in the log.
#[derive(Clone, Debug, PartialEq)]
pub enum ShardNote {
    /// This host has claimed the shard under a new epoch.
    Claimed(Epoch),
    /// The shard's state has been read; counts tasks that were placed.
    Recovered {
        /// Attempts that an earlier owner placed.
        placed: usize,
    },
    /// Another host has the shard.
    Lost,
    /// The shard was released.
    Released,
    /// An attempt was placed, after its task had waited so long.
    Placed(AttemptId, WorkerId, Millis),
    /// A task finished.
    Finished(AttemptId),
    /// An attempt was evicted.
    Evicted(AttemptId),
    /// A task was given up.
    GaveUp(TaskId, String),
    /// A worker was closed because tasks fail there.
    Quarantined(WorkerId),
    /// An invariant is broken; the owner has stopped.
    InvariantBroken(String),
}

/// Why a task waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaitReason {
    /// Its turn has not come.
    Turn,
    /// Its team's slice of the quota is used up.
    Quota,
    /// No open worker has room.
    Room,
    /// The store does not answer, so that no start can be recorded.
    Store,
    /// Its placement is being recorded.
    Recording,
}

impl WaitReason {
    /// The reason in words for the operator.
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

/// Counts for metrics and for bounds in tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct OwnerCounts {
    /// Transactions sent, renewals among them.
    pub commits: u64,
    /// Transactions that carried no record.
    pub renewals: u64,
    /// Records written.
    pub records: u64,
    /// Messages sent to workers.
    pub messages: u64,
    /// Reads of the row.
    pub row_reads: u64,
    /// Throttle orders.
    pub throttles: u64,
}

/// Why a running attempt is where it is.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PlacedReason {
    /// The slowdown predicted for the services there, minus one.
    pub predicted: f64,
    /// How many workers were looked at.
    pub looked_at: usize,
    /// When it was decided.
    pub at: Millis,
}
