//! Messages between a shard's owner and a worker.
//!
//! The worker's side of these rules is an assumption about the platform's lease interface; see docs/PLATFORM.md.

use sandshelf_model::{AttemptId, Epoch, Millis, ResourceSize, ShardId};
use serde::{Deserialize, Serialize};

/// An order to start one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The attempt; a worker that already knows it ignores the order.
    pub attempt: AttemptId,
    /// The resources that the worker has to reserve.
    pub size: ResourceSize,
    /// The program to run.
    pub program: String,
    /// The key of the checkpoint to resume from; none to start from the beginning.
    pub checkpoint: Option<String>,
    /// Whether the attempt can be checkpointed.
    pub checkpointable: bool,
    /// The declared run time, in milliseconds.
    pub run_ms: Millis,
}

/// An order that concerns one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskOrder {
    /// Start the attempt.
    Start(StartOrder),
    /// Checkpoint the attempt and stop it.
    Checkpoint(AttemptId),
    /// Stop the attempt without a checkpoint.
    Stop(AttemptId),
    /// Run the attempt at this percentage of its full speed.
    Throttle(AttemptId, u32),
}

/// One message to a worker; it renews the leases of all attempts that run there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerOrders {
    /// The shard that the worker belongs to.
    pub shard: ShardId,
    /// The owner's epoch; a worker refuses a message whose epoch is lower than the highest it has seen.
    pub epoch: Epoch,
    /// Increases with each message of an epoch; a worker refuses a message whose number is not higher than the last.
    pub number: u64,
    /// The newest stamp that the worker issued to this owner; 0 before the first.
    pub stamp: Millis,
    /// The duration of the task leases, in milliseconds from the stamp.
    pub lease_ms: Millis,
    /// Whether the answer also has to list running attempts.
    pub inventory: bool,
    /// Attempts whose end is durable, so that the worker may forget them.
    pub acknowledged: Vec<AttemptId>,
    /// The orders, to be executed in this sequence.
    pub orders: Vec<TaskOrder>,
}

/// Why a worker refused a message; none of its orders was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderRefusal {
    /// The worker has seen a newer owner, or a newer message of the same owner.
    Outdated,
    /// The stamp is unknown, or so old that the lease would already have expired. The worker recorded only the epoch.
    StampExpired,
}

/// The phase that an attempt has reached on its worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptPhase {
    /// It is running.
    Running,
    /// It finished; its outputs are stored under this key.
    Finished(String),
    /// It failed by itself.
    Failed,
    /// It was stopped; its checkpoint is stored under this key.
    Checkpointed(String),
    /// It was stopped without a checkpoint, or its lease expired.
    Stopped,
    /// It was never started, because the worker had no free capacity.
    Refused,
}

/// One attempt as its worker reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptReport {
    /// The attempt.
    pub attempt: AttemptId,
    /// The phase that it has reached.
    pub phase: AttemptPhase,
    /// The resources that are reserved for it.
    pub size: ResourceSize,
    /// The resources that it uses; the measurement may be delayed.
    pub usage: ResourceSize,
    /// How long it has run, in milliseconds.
    pub ran_ms: Millis,
}

/// A worker's answer to a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// The highest epoch that the worker has seen.
    pub epoch: Epoch,
    /// The worker's own clock, to be sent back with the next message.
    pub stamp: Millis,
    /// Why the message was refused; none where it was accepted.
    pub refusal: Option<OrderRefusal>,
    /// The worker's total capacity; it can be smaller when the worker comes back.
    pub capacity: ResourceSize,
    /// Whether running attempts are also listed.
    pub inventory: bool,
    /// The number of running attempts.
    pub running: u32,
    /// Attempts that have ended and were not acknowledged; with an inventory also the running attempts.
    pub attempts: Vec<AttemptReport>,
}
