//! Events of a simulated run in the order of their time, and the kinds of network partitions.

use sandshelf_lease::{ShardAction, ShardEvent, WorkerOrders};
use sandshelf_model::{HostId, Millis, Revision, ShardId, WorkerId};

/// An event of a simulated run.
#[derive(Debug)]
pub(super) enum SimulationEvent {
    /// The shard owners of a host are ticked.
    Tick(HostId),
    /// A host sends an action; where it is frozen, once it continues.
    SendAction(HostId, ShardId, ShardAction),
    /// An action reaches the store.
    ReachStore(HostId, ShardId, ShardAction),
    /// A message reaches a worker.
    ReachWorker(HostId, ShardId, WorkerId, WorkerOrders),
    /// An event for a shard owner reaches its host; where the host is frozen, it is handled once the host continues.
    ReachHost(HostId, ShardId, Box<ShardEvent>),
    /// Faults are injected at random.
    InjectFaults,
    /// A frozen host continues.
    Unfreeze(HostId),
    EndPartition(NetworkPartition),
    /// The configuration with this revision reaches a host.
    Configure(HostId, Revision),
}

/// A connection, or a set of them, that is interrupted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum NetworkPartition {
    /// The store answers nobody.
    Store,
    /// The store can't be reached by this host.
    HostStore(HostId),
    /// This host and this worker can't reach each other.
    HostWorker(HostId, WorkerId),
    /// Nobody can reach this worker.
    Worker(WorkerId),
}

/// An event and its time; of events with the same time, the one scheduled first comes first.
pub(super) struct ScheduledEvent {
    pub(super) at: Millis,
    pub(super) order: u64,
    pub(super) event: SimulationEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}
