//! Tracks a host's calls to workers and to the store: the open ones, their connections, and the orders that wait for a slot.

use std::collections::{HashMap, VecDeque};

use sandshelf_jobs::WorkerCall;
use sandshelf_model::{Epoch, WorkerId};

use crate::queue::Micros;
use crate::store::StoreCall;

/// Concurrent orders to one worker, not counting a lease renewal; as in the daemon's calls.
const ORDERS_AT_ONCE: u8 = 3;

/// The receiver of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallPeer {
    /// A worker, by its index.
    Worker(usize),
    /// The store.
    Store,
}

/// The content of a call.
#[derive(Clone, Debug)]
pub enum CallBody {
    /// An order to a worker.
    Order(WorkerOrder),
    /// A call to the store.
    Store(StoreCall),
}

/// An order of a shard owner to a worker.
#[derive(Clone, Debug)]
pub struct WorkerOrder {
    /// The owner's epoch.
    pub epoch: Epoch,
    /// The worker's name.
    pub worker: WorkerId,
    /// The order.
    pub call: WorkerCall,
}

impl CallBody {
    /// Whether the receiver holds the call until something changes (long poll). Such calls are given up together with the
    /// connections to the receiver.
    pub fn is_parked(&self) -> bool {
        match self {
            CallBody::Order(order) => matches!(order.call, WorkerCall::Renew(_)),
            CallBody::Store(store_call) => store_call.is_parked(),
        }
    }
}

/// A call that has neither been answered nor timed out.
#[derive(Clone, Debug)]
pub struct OpenCall {
    /// The receiver.
    pub peer: CallPeer,
    /// The content.
    pub body: CallBody,
    /// The time at which the call times out.
    pub deadline: Micros,
    /// The time at which bytes of the answer last arrived.
    pub progress_at: Micros,
    /// The generation of connections that it was sent over.
    generation: u32,
}

/// The connections to one peer. They are given up together, which starts a new generation.
#[derive(Clone, Copy, Debug, Default)]
struct PeerConnections {
    generation: u32,
    /// Number of open connections.
    open: u32,
    /// Number of connections with a call on them; connections are reused when their call ends.
    in_use: u32,
    /// Whether the open connections have stopped delivering without being closed.
    silent: bool,
}

/// The connection that a call is sent over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallPath {
    /// An open connection.
    Open,
    /// An open connection that no longer delivers.
    Silent,
    /// A new connection, which has to be opened first.
    Connects,
}

/// All calls of one process of a host.
#[derive(Debug, Default)]
pub struct CallTable {
    count: u64,
    open: HashMap<u64, OpenCall>,
    connections: HashMap<CallPeer, PeerConnections>,
    /// By worker: the number of orders under way, and the orders that wait for a slot.
    slots: HashMap<usize, (u8, VecDeque<CallBody>)>,
}

impl CallTable {
    /// Adds a call; returns its number and the connection that it is sent over.
    pub fn begin(
        &mut self,
        now: Micros,
        peer: CallPeer,
        body: CallBody,
        timeout: Micros,
    ) -> (u64, CallPath) {
        let connections = self.connections.entry(peer).or_default();
        connections.in_use += 1;
        let path = match (connections.in_use > connections.open, connections.silent) {
            (true, _) => CallPath::Connects,
            (false, true) => CallPath::Silent,
            (false, false) => CallPath::Open,
        };
        connections.open = connections.open.max(connections.in_use);
        let call = OpenCall {
            peer,
            body,
            deadline: now + timeout,
            progress_at: now,
            generation: connections.generation,
        };
        self.count += 1;
        self.open.insert(self.count, call);
        (self.count, path)
    }

    /// Returns an open call.
    pub fn get_mut(&mut self, call: u64) -> Option<&mut OpenCall> {
        self.open.get_mut(&call)
    }

    /// Removes a call and frees its connection; `None` if it is not open.
    pub fn close(&mut self, call: u64) -> Option<OpenCall> {
        let ended = self.open.remove(&call)?;
        if let Some(connections) = self.connections.get_mut(&ended.peer) {
            if connections.generation == ended.generation {
                connections.in_use = connections.in_use.saturating_sub(1);
            }
        }
        Some(ended)
    }

    /// Gives up all connections to the peer of a call that timed out; returns the parked calls that were open on them, which the
    /// caller has to end. Returns nothing if those connections have already been given up.
    pub fn replace_connections(&mut self, ended: &OpenCall) -> Vec<u64> {
        let Some(connections) = self.connections.get_mut(&ended.peer) else {
            return Vec::new();
        };
        if connections.generation != ended.generation {
            return Vec::new();
        }
        *connections = PeerConnections {
            generation: ended.generation + 1,
            ..PeerConnections::default()
        };
        let parked = self.open.iter().filter(|(_, call)| {
            call.peer == ended.peer && call.generation == ended.generation && call.body.is_parked()
        });
        let mut parked: Vec<u64> = parked.map(|(number, _)| *number).collect();
        parked.sort_unstable();
        parked
    }

    /// Drops the open calls that read pages of a takeover: reading starts again, so that their answers are obsolete.
    pub fn drop_pages(&mut self) {
        let pages = self.open.iter().filter(|(_, call)| {
            matches!(
                call.body,
                CallBody::Store(
                    StoreCall::ReadProgress(_) | StoreCall::ReadShard | StoreCall::ReadJobs(_)
                )
            )
        });
        let mut pages: Vec<u64> = pages.map(|(number, _)| *number).collect();
        pages.sort_unstable();
        for page in pages {
            self.close(page);
        }
    }

    /// Makes all open connections stop delivering; returns the numbers of all open calls.
    pub fn silence_connections(&mut self) -> Vec<u64> {
        for connections in self.connections.values_mut() {
            connections.silent = connections.open > 0;
        }
        let mut open: Vec<u64> = self.open.keys().copied().collect();
        open.sort_unstable();
        open
    }

    /// Replaces the connections to all workers and drops the waiting orders: a new shard owner opens its own connections.
    pub fn reset_worker_connections(&mut self) {
        for (peer, connections) in &mut self.connections {
            if matches!(peer, CallPeer::Worker(_)) {
                *connections = PeerConnections {
                    generation: connections.generation + 1,
                    ..PeerConnections::default()
                };
            }
        }
        self.slots.clear();
    }

    /// Takes a slot for an order to a worker. Returns the order if it may be sent now; otherwise it waits.
    pub fn acquire_slot(&mut self, place: usize, body: CallBody) -> Option<CallBody> {
        let (under_way, waiting) = self.slots.entry(place).or_default();
        if *under_way >= ORDERS_AT_ONCE {
            waiting.push_back(body);
            return None;
        }
        *under_way += 1;
        Some(body)
    }

    /// Releases the slot of an ended order; returns the next waiting order, if any, which takes over the slot.
    pub fn release_slot(&mut self, place: usize) -> Option<CallBody> {
        let (under_way, waiting) = self.slots.get_mut(&place)?;
        let next = waiting.pop_front();
        if next.is_none() {
            *under_way = under_way.saturating_sub(1);
        }
        next
    }
}
