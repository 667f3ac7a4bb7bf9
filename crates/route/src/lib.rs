//! Request routing, concurrency limits, retries and request verdicts, without I/O.
//!
//! A [`RouteCore`] is the router of one entry host. It handles events, each with the current time, and returns actions.
//! Each request that arrives ends with exactly one final action: its answer is delivered, or it is given up.
//!
//! ```
//! use sandshelf_model::{HallId, HostId, ServiceId, ServerId};
//! use sandshelf_route::{RequestInfo, RouteAction, RouteCore, RouteEvent, RouteLimits, ServerEntry};
//! let mut core = RouteCore::new(HostId::from("entry-1.1"), HallId::from("north"), RouteLimits::default(), 7);
//! core.handle(0, RouteEvent::FirstViewReceived { version: 1, members: vec![HostId::from("entry-1.1")] });
//! core.handle(0, RouteEvent::ServersListed(vec![ServerEntry::plain("b-1", "pricing", "north")]));
//! let request = RequestInfo::plain(1, "pricing", 1_000);
//! let actions = core.handle(0, RouteEvent::Arrived(request));
//! assert!(matches!(actions[0], RouteAction::Dispatch { .. }));
//! ```

mod core;
mod eject;
mod events;
mod fleet;
mod queue;
mod retry;
mod share;

pub use crate::core::RouteCore;
pub use eject::{EjectRule, ServerHealth};
pub use events::{
    AttemptEnd, RequestInfo, RouteAction, RouteCounts, RouteEvent, RouteLimits, RouteStrategy,
};
pub use fleet::{ServerEntry, ServerFleet, ServerLoad, ServerState};
pub use queue::{ClassQueue, QueuedRequest};
pub use retry::RetryBudget;
pub use share::{MembershipView, SlotShare};
