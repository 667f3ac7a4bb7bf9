//! What happens when, and which connections are down.

use sandshelf_lease::{ShardAction, ShardEvent, WorkerOrders};
use sandshelf_model::{HostId, Millis, Revision, ShardId, WorkerId};

/// Something that happens at a time.
#[derive(Debug)]
pub(super) enum Happening {
    Tick(HostId),
    /// An action leaves its host, once the host isn't frozen.
    Leaves(HostId, ShardId, ShardAction),
    /// An action reaches the store.
    AtStore(HostId, ShardId, ShardAction),
    /// A message reaches a worker.
    AtWorker(HostId, ShardId, WorkerId, WorkerOrders),
    /// An answer reaches its host, once the host isn't frozen.
    Back(HostId, ShardId, Box<ShardEvent>),
    /// Something may go wrong.
    Chance,
    Thaw(HostId),
    Mend(Cut),
    Configure(HostId, Revision),
}

/// A connection that is down.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cut {
    /// The store answers nobody.
    Store,
    /// The store can't be reached by this host.
    HostStore(HostId),
    /// This host and this worker can't reach each other.
    HostWorker(HostId, WorkerId),
    /// Nobody can reach this worker.
    Worker(WorkerId),
}

pub(super) struct Scheduled {
    pub(super) at: Millis,
    pub(super) order: u64,
    pub(super) what: Happening,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}
