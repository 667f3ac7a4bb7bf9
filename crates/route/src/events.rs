//! What the router is told, what it asks for, and its limits.

use sandshelf_model::{HostId, Millis, RunVerdict, ServerId, ServiceId};

use crate::fleet::ServerEntry;
use crate::share::MembershipView;

/// Limits of the router.
#[derive(Clone, Copy, Debug)]
pub struct RouteLimits {
    /// The most requests that wait for a slot.
    pub queue: usize,
    /// Slots of one backend server, over all entry hosts.
    pub slots: u32,
}

impl Default for RouteLimits {
    fn default() -> Self {
        Self {
            queue: 512,
            slots: 8,
        }
    }
}

/// How servers are chosen; the other is a baseline that measurements compare with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RouteStrategy {
    /// The cheapest of a few.
    #[default]
    Weighed,
    /// Any at random that has a slot.
    Random,
    /// In turn.
    RoundRobin,
}

/// A request as the router needs to know it.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestInfo {
    /// Unique within this host's process.
    pub id: u64,
    /// The class, its service.
    pub class: ServiceId,
    /// Whether it may be run again when its fate is unknown.
    pub repeatable: bool,
    /// When its caller stops waiting.
    pub deadline: Millis,
}

impl RequestInfo {
    /// Describes a repeatable request.
    pub fn plain(id: u64, class: &str, deadline: Millis) -> Self {
        Self {
            id,
            class: ServiceId::from(class),
            repeatable: true,
            deadline,
        }
    }
}

/// How an attempt at a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A whole answer came.
    Answered {
        /// How long it took.
        latency_ms: Millis,
    },
    /// The server said that it refused the request, or it was never sent.
    NotRun,
    /// The server said that it is leaving; the request was not run.
    Leaving,
    /// Something was sent and no whole answer came.
    MayHaveRun,
}

/// What the router is told.
#[derive(Clone, Debug)]
pub enum RouteEvent {
    /// Time has passed.
    Tick,
    /// A request has arrived whole.
    Arrived(RequestInfo),
    /// An attempt has ended.
    Ended {
        /// The request.
        request: u64,
        /// How.
        end: AttemptEnd,
    },
    /// The platform's list, or what a peer says of it.
    ServersListed(Vec<ServerEntry>),
    /// A peer or the platform says that these servers are leaving.
    ServersLeaving(Vec<ServerId>),
    /// The platform says that these servers are gone.
    ServersGone(Vec<ServerId>),
    /// A view without earlier ones, as at the first start.
    FirstViewReceived {
        /// Its version.
        version: u64,
        /// Its members.
        members: Vec<HostId>,
    },
    /// A view as written in the table.
    ViewRead(MembershipView),
    /// A peer's word on the view that it uses.
    PeerViewReported {
        /// The peer.
        host: HostId,
        /// Its view's version.
        version: u64,
    },
    /// The platform says that these entry hosts are gone.
    HostsGone(Vec<HostId>),
    /// The configuration gives backend servers this many slots.
    SlotsSet(u32),
}

/// What the router asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteAction {
    /// Send the request to a server.
    Dispatch {
        /// The request.
        request: u64,
        /// The server.
        server: ServerId,
        /// Which attempt this is, from 1.
        attempt: u32,
    },
    /// Hand the answer to the caller.
    Deliver {
        /// The request.
        request: u64,
    },
    /// Tell the caller at once that the request is given up.
    GiveUp {
        /// The request.
        request: u64,
        /// Whether it may have run.
        verdict: RunVerdict,
        /// When to come back, where it may be sent again.
        retry_after: Option<Millis>,
    },
}

/// Counts for metrics and for bounds in tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouteCounts {
    /// Requests that arrived.
    pub arrived: u64,
    /// Answers handed to callers.
    pub delivered: u64,
    /// Requests that were not run.
    pub refused: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Second and later attempts.
    pub retries: u64,
    /// Requests that waited for a slot.
    pub queued: u64,
}
