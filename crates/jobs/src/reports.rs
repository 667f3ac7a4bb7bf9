//! What workers say of themselves and answer to orders.

use std::net::SocketAddr;

use sandshelf_model::{HallId, Millis, ResourceSize, WorkerId};
use serde::{Deserialize, Serialize};

use crate::ids::{RunKey, WorkerIncarnation};

/// A worker's own steady clock, in milliseconds.
pub type WorkerClock = u64;

/// One worker as the platform lists it; a restarted worker is another one.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerListing {
    /// The worker's incarnation.
    pub worker: WorkerId,
    /// Which of its lives under that name wrote the entry, where it says so.
    pub incarnation: Option<WorkerIncarnation>,
    /// The service whose tasks it runs.
    pub service: String,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// The hall that it stands in; empty where that is not known.
    pub hall: HallId,
    /// Its rack, where it names one.
    pub rack: Option<String>,
    /// Its labels, the rack among them.
    pub labels: Vec<String>,
    /// All that it has.
    pub capacity: ResourceSize,
    /// Whether it is about to leave.
    pub draining: bool,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// It finished its work.
    Done,
    /// It failed, by its own fault or the worker's.
    Failed,
    /// It was stopped on order.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited too long for the rest of its gang.
    Alone,
}

/// One run that a worker reports at work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunReport {
    /// The run.
    pub key: RunKey,
    /// Its newest checkpoint, where it has one.
    pub checkpoint: Option<String>,
    /// How far it is, or how much of it is at work for a standing task.
    pub percent: u32,
    /// Tail of answer times in milliseconds for a serving task, processor use in thousandths for others.
    pub gauge: Option<u64>,
}

/// One end that a worker lists until it is acknowledged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndReport {
    /// Rises with each end on the worker.
    pub number: u64,
    /// The run.
    pub key: RunKey,
    /// How it ended.
    pub outcome: RunOutcome,
    /// Its last checkpoint, where it has one.
    pub checkpoint: Option<String>,
}

/// What a worker answers to a hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RenewalReport {
    /// Which life of the worker answers, where it says so.
    pub incarnation: Option<WorkerIncarnation>,
    /// The worker's clock.
    pub clock: WorkerClock,
    /// What is at work.
    pub running: Vec<RunReport>,
    /// Ends that were not yet acknowledged.
    pub ended: Vec<EndReport>,
    /// By how much longer than the worker was asked to wait the call took at the host that carried it, in milliseconds; 0 for the
    /// owner's own calls, whose lateness tells how far it is behind.
    pub carrier_late_ms: Millis,
}

/// Why a worker refused an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// It has seen a newer epoch.
    Fenced,
    /// The run was stopped or ended there, or a newer one was.
    Superseded,
    /// The order's deadline had passed.
    Late,
    /// It has no room.
    NoRoom,
    /// The admission ticket is missing or no longer good.
    NoTicket,
    /// A reason that this version does not know.
    Other,
}

/// What became of an order to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderAnswer {
    /// It was carried out.
    Done(WorkerClock),
    /// It was refused and nothing was done.
    Refused(WorkerClock, RefusalReason),
    /// The worker is unhealthy and has done nothing.
    Unhealthy,
    /// The worker can't make sense of the order and has done nothing.
    Invalid,
    /// Another incarnation listens at the address: the worker that was meant is no more.
    Replaced,
    /// No connection could be made: nothing was done.
    Unreachable,
    /// It was not sent, since it had waited for too long: nothing was done.
    NotSent,
    /// No answer: it may have been done, or may be done later.
    Unknown,
}

/// What became of a hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RenewalAnswer {
    /// The worker's state.
    Report(RenewalReport),
    /// The worker has seen a newer epoch.
    Fenced,
    /// Anything else, as for orders.
    Failed(OrderAnswer),
}
