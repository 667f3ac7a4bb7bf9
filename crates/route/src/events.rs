//! The events and actions of the router, its limits and its counts.

use sandshelf_model::{HostId, Millis, RunVerdict, ServerId, ServiceId};

use crate::fleet::ServerEntry;
use crate::share::MembershipView;

/// Limits of the router on waiting and concurrent requests.
#[derive(Clone, Copy, Debug)]
pub struct RouteLimits {
    /// Maximum number of requests that wait for a slot.
    pub queue: usize,
    /// Number of slots (concurrent requests) of one backend server, summed over all entry hosts.
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

/// The policy for choosing a server. The policies other than `Weighed` are baselines for benchmarks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RouteStrategy {
    /// Choose the server with the lowest cost from a small random sample.
    #[default]
    Weighed,
    /// Choose the first server with a free slot, starting at a random position of the list.
    Random,
    /// Choose the servers with a free slot in turn.
    RoundRobin,
}

/// The properties of a request that matter for routing.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestInfo {
    /// Identifier of the request, unique within this host's process.
    pub id: u64,
    /// The request's class: the service that it is for.
    pub class: ServiceId,
    /// Whether it may be run again when an earlier attempt may have run.
    pub repeatable: bool,
    /// The time at which its caller stops waiting.
    pub deadline: Millis,
}

impl RequestInfo {
    /// Creates the properties of a repeatable request.
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
    /// A complete answer was received.
    Answered {
        /// The time from sending the request to the complete answer, in milliseconds.
        latency_ms: Millis,
    },
    /// The server refused the request, or the request was never sent.
    NotRun,
    /// The server reported that it is leaving; the request was not run.
    Leaving,
    /// At least part of the request was sent and no complete answer was received.
    MayHaveRun,
}

/// An event that the router handles.
#[derive(Clone, Debug)]
pub enum RouteEvent {
    /// Time has passed: waiting requests may have expired.
    Tick,
    /// A complete request was received from a caller.
    Arrived(RequestInfo),
    /// An attempt at a request has ended.
    Ended {
        /// The request's identifier.
        request: u64,
        /// How the attempt ended.
        end: AttemptEnd,
    },
    /// Servers listed by the platform, directly or as reported by a peer.
    ServersListed(Vec<ServerEntry>),
    /// A peer or the platform reported that these servers are leaving.
    ServersLeaving(Vec<ServerId>),
    /// The platform reported that these servers are gone.
    ServersGone(Vec<ServerId>),
    /// A membership view without earlier views was received, as at the first start.
    FirstViewReceived {
        /// The view's version.
        version: u64,
        /// The member hosts.
        members: Vec<HostId>,
    },
    /// A membership view was read from the table.
    ViewRead(MembershipView),
    /// A peer reported the version of the membership view that it uses.
    PeerViewReported {
        /// The peer that reported it.
        host: HostId,
        /// The version of the peer's view.
        version: u64,
    },
    /// The platform reported that these entry hosts are gone.
    HostsGone(Vec<HostId>),
    /// The configuration sets the number of slots of each backend server.
    SlotsSet(u32),
}

/// An action that the router requests.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteAction {
    /// Send the request to a server.
    Dispatch {
        /// The request's identifier.
        request: u64,
        /// The server to send it to.
        server: ServerId,
        /// The number of this attempt, counted from 1.
        attempt: u32,
    },
    /// Deliver the answer to the caller.
    Deliver {
        /// The request's identifier.
        request: u64,
    },
    /// Report to the caller at once that the request is given up.
    GiveUp {
        /// The request's identifier.
        request: u64,
        /// Whether the request may have run, over all its attempts.
        verdict: RunVerdict,
        /// How many milliseconds the caller should wait before it sends the request again; `None` if it must not.
        retry_after: Option<Millis>,
    },
}

/// Totals since the start, for metrics and for assertions in tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouteCounts {
    /// Number of requests that arrived.
    pub arrived: u64,
    /// Number of answers delivered to callers.
    pub delivered: u64,
    /// Number of requests given up that did not run.
    pub refused: u64,
    /// Number of requests given up that may have run.
    pub unknown: u64,
    /// Number of retries allowed: second and later attempts, including queued ones.
    pub retries: u64,
    /// Number of requests that were queued on arrival to wait for a slot.
    pub queued: u64,
}
