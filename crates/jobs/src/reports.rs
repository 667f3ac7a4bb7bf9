//! What workers report about themselves and how they answer calls.

use std::net::SocketAddr;

use sandshelf_model::{HallId, Millis, ResourceSize, WorkerId};
use serde::{Deserialize, Serialize};

use crate::ids::{RunKey, WorkerIncarnation};

/// A reading of a worker's own monotonic clock, in milliseconds.
pub type WorkerClock = u64;

/// One entry of the platform's worker list.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerListing {
    /// The worker.
    pub worker: WorkerId,
    /// The incarnation of the worker that wrote the entry, if the entry names it.
    pub incarnation: Option<WorkerIncarnation>,
    /// The service whose tasks the worker runs.
    pub service: String,
    /// The address at which the worker takes calls.
    pub address: SocketAddr,
    /// The hall in which the worker stands; empty if unknown.
    pub hall: HallId,
    /// The rack of the worker, if the entry names one.
    pub rack: Option<String>,
    /// The labels of the worker, including its rack.
    pub labels: Vec<String>,
    /// The total capacity of the worker.
    pub capacity: ResourceSize,
    /// Whether the worker is draining: it is about to leave and must get no new tasks.
    pub draining: bool,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// The run finished its work.
    Done,
    /// The run failed, whether the task or the worker caused it.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The lease of the worker ran out.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The run waited too long for the other members of its gang.
    Alone,
}

/// One run that a worker reports as running.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunReport {
    /// The run.
    pub key: RunKey,
    /// The newest checkpoint of the run, if any.
    pub checkpoint: Option<String>,
    /// The progress of the run in percent; for a standing task, the share of it that is running, in percent.
    pub percent: u32,
    /// For a serving task, the tail latency in milliseconds; for other tasks, the processor use in thousandths.
    pub gauge: Option<u64>,
}

/// The end of a run. The worker lists it in every report until it is acknowledged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndReport {
    /// The number of this end; increases with each end on the same incarnation of the worker.
    pub number: u64,
    /// The run.
    pub key: RunKey,
    /// How the run ended.
    pub outcome: RunOutcome,
    /// The last checkpoint of the run, if any.
    pub checkpoint: Option<String>,
}

/// The state that a worker reports in answer to a lease renewal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RenewalReport {
    /// The incarnation of the worker that answers, if the worker reports it.
    pub incarnation: Option<WorkerIncarnation>,
    /// The worker's clock when it answered.
    pub clock: WorkerClock,
    /// The runs that are running.
    pub running: Vec<RunReport>,
    /// The ends that have not been acknowledged yet.
    pub ended: Vec<EndReport>,
    /// How much longer than the requested wait the call took at the relay that carried it, in milliseconds. It is 0 for calls that the
    /// owner makes itself: their lateness shows how far the owner is behind.
    pub carrier_late_ms: Millis,
}

/// Why a worker refused an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The worker has seen a newer epoch.
    Fenced,
    /// This run or a newer run of the task was stopped or ended on the worker.
    Superseded,
    /// The deadline of the order had passed.
    Late,
    /// The worker lacks free capacity.
    NoRoom,
    /// The admission ticket is missing or no longer valid.
    NoTicket,
    /// A reason that this version does not know.
    Other,
}

/// The result of an order to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderAnswer {
    /// The order was carried out; contains the worker's clock.
    Done(WorkerClock),
    /// The worker refused the order and did nothing; contains the worker's clock and the reason.
    Refused(WorkerClock, RefusalReason),
    /// The worker is unhealthy and did nothing.
    Unhealthy,
    /// The worker rejected the order as invalid and did nothing.
    Invalid,
    /// Another worker listens at the address: the addressed worker is gone for good.
    Replaced,
    /// The connection failed: nothing was done.
    Unreachable,
    /// The order was not sent because it had been queued for too long: nothing was done.
    NotSent,
    /// No answer arrived: the order may have been carried out, or may be carried out later.
    Unknown,
}

impl OrderAnswer {
    /// Whether the answer shows that no incarnation of the worker has carried the order out.
    pub(crate) fn shows_nothing_done(&self) -> bool {
        match self {
            Self::Done(_) | Self::Unknown => false,
            Self::Refused(..)
            | Self::Unhealthy
            | Self::Invalid
            | Self::Replaced
            | Self::Unreachable
            | Self::NotSent => true,
        }
    }
}

/// The result of a lease renewal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RenewalAnswer {
    /// The lease was renewed; contains the worker's state.
    Report(RenewalReport),
    /// The worker has seen a newer epoch and refused the renewal.
    Fenced,
    /// The renewal failed for another reason; contains the result as for an order.
    Failed(OrderAnswer),
}
