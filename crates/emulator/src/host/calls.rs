//! A host's calls to workers and to the store: which are open, on which connections, and which wait for their turn.

use std::collections::{HashMap, VecDeque};

use sandshelf_jobs::WorkerCall;
use sandshelf_model::{Epoch, WorkerId};

use crate::queue::Micros;
use crate::store::StoreCall;

/// How many orders, beside a hold, are under way to one worker, as in the daemon's calls.
const ORDERS_AT_ONCE: u8 = 3;

/// Whom a call goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallPeer {
    /// The worker at a place.
    Worker(usize),
    /// The store.
    Store,
}

/// What is called for.
#[derive(Clone, Debug)]
pub enum CallBody {
    /// An order to a worker.
    Order(WorkerOrder),
    /// A question to the store.
    Store(StoreCall),
}

/// An order of an owner for one incarnation of a worker.
#[derive(Clone, Debug)]
pub struct WorkerOrder {
    /// The owner's epoch.
    pub epoch: Epoch,
    /// The incarnation.
    pub worker: WorkerId,
    /// The order.
    pub call: WorkerCall,
}

impl CallBody {
    /// Whether it waits there for something to happen, and is given up with the connections.
    pub fn is_parked(&self) -> bool {
        match self {
            CallBody::Order(order) => matches!(order.call, WorkerCall::Renew(_)),
            CallBody::Store(ask) => ask.is_parked(),
        }
    }
}

/// A call without an end.
#[derive(Clone, Debug)]
pub struct OpenCall {
    /// Whom it went to.
    pub peer: CallPeer,
    /// What it is for.
    pub body: CallBody,
    /// From when on its answer isn't waited for.
    pub deadline: Micros,
    /// When the last bytes of its answer came.
    pub progress_at: Micros,
    /// The connections that it was sent over, by their number.
    generation: u32,
}

/// The connections to one peer; they are given up together.
#[derive(Clone, Copy, Debug, Default)]
struct PeerConnections {
    generation: u32,
    open: u32,
    in_use: u32,
    /// Whether those that are open have fallen silent.
    silent: bool,
}

/// How a call leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallWay {
    /// Over a connection that is open.
    Open,
    /// Over one that has fallen silent.
    Silent,
    /// Over a new one.
    Connects,
}

/// All calls of one life of a host.
#[derive(Debug, Default)]
pub struct CallTable {
    count: u64,
    open: HashMap<u64, OpenCall>,
    connections: HashMap<CallPeer, PeerConnections>,
    turns: HashMap<usize, (u8, VecDeque<CallBody>)>,
}

impl CallTable {
    /// Opens a call; returns its number and how it leaves.
    pub fn begin(
        &mut self,
        now: Micros,
        peer: CallPeer,
        body: CallBody,
        patience: Micros,
    ) -> (u64, CallWay) {
        let connections = self.connections.entry(peer).or_default();
        connections.in_use += 1;
        let way = match (connections.in_use > connections.open, connections.silent) {
            (true, _) => CallWay::Connects,
            (false, true) => CallWay::Silent,
            (false, false) => CallWay::Open,
        };
        connections.open = connections.open.max(connections.in_use);
        let call = OpenCall {
            peer,
            body,
            deadline: now + patience,
            progress_at: now,
            generation: connections.generation,
        };
        self.count += 1;
        self.open.insert(self.count, call);
        (self.count, way)
    }

    /// Looks at an open call.
    pub fn get_mut(&mut self, call: u64) -> Option<&mut OpenCall> {
        self.open.get_mut(&call)
    }

    /// Closes a call.
    pub fn end(&mut self, call: u64) -> Option<OpenCall> {
        let ended = self.open.remove(&call)?;
        if let Some(connections) = self.connections.get_mut(&ended.peer) {
            if connections.generation == ended.generation {
                connections.in_use = connections.in_use.saturating_sub(1);
            }
        }
        Some(ended)
    }

    /// Gives up all connections to the peer of a call without an answer; returns the parked calls that went with them.
    pub fn renew(&mut self, ended: &OpenCall) -> Vec<u64> {
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

    /// Drops the calls that read the pages of a takeover: their answers are of no use any more.
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
            self.end(page);
        }
    }

    /// All open connections fall silent.
    pub fn silence_connections(&mut self) -> Vec<u64> {
        for connections in self.connections.values_mut() {
            connections.silent = connections.open > 0;
        }
        let mut open: Vec<u64> = self.open.keys().copied().collect();
        open.sort_unstable();
        open
    }

    /// A new owner talks to workers over connections of its own.
    pub fn forget_workers(&mut self) {
        for (peer, connections) in &mut self.connections {
            if matches!(peer, CallPeer::Worker(_)) {
                *connections = PeerConnections {
                    generation: connections.generation + 1,
                    ..PeerConnections::default()
                };
            }
        }
        self.turns.clear();
    }

    /// Takes a turn for an order; it comes back where it may leave now.
    pub fn take_turn(&mut self, place: usize, body: CallBody) -> Option<CallBody> {
        let (under_way, waiting) = self.turns.entry(place).or_default();
        if *under_way >= ORDERS_AT_ONCE {
            waiting.push_back(body);
            return None;
        }
        *under_way += 1;
        Some(body)
    }

    /// An order has its end: the next one that waits, if any.
    pub fn give_turn(&mut self, place: usize) -> Option<CallBody> {
        let (under_way, waiting) = self.turns.get_mut(&place)?;
        let next = waiting.pop_front();
        if next.is_none() {
            *under_way = under_way.saturating_sub(1);
        }
        next
    }
}
