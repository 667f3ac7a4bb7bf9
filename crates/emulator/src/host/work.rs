//! Work items that arrive at a host, and the actions that it takes towards others.

use std::sync::Arc;

use sandshelf_jobs::admission::LoadView;
use sandshelf_jobs::{
    JobEvent, JobNote, JobNumber, JobSpec, OrderAnswer, RenewalAnswer, WorkerCall,
};

use sandshelf_model::Millis;

use super::calls::{CallBody, CallPeer, WorkerOrder};
use crate::queue::Micros;
use crate::store::StoreReply;

/// An item in a host's inbox.
#[derive(Debug)]
pub enum WorkItem {
    /// The process has just started.
    Launch,
    /// The control thread's periodic tick is due.
    Tick,
    /// An order is ready to be sent.
    Begin(CallPeer, CallBody),
    /// The new connection for a call, given by its number, has been opened.
    Connected(u64),
    /// A pause is over.
    Resume(HostPause),
    /// A call was answered: its number, the answer and the answer's size in bytes.
    Answered(u64, CallAnswer, u64),
    /// A call, given by its number, has timed out.
    GivenUp(u64),
    /// A caller's request has arrived, with the time that the caller has left, in milliseconds.
    Request(RequestBody, Millis),
    /// The owner tells of a renewal of its ownership.
    Notice(RenewalNotice),
    /// The other hosts have replied to the query that was sent at the first time: none of them claims the shard before the second one,
    /// both in milliseconds.
    Unclaimed(Millis, Millis),
    /// Nobody listens any more at the address of the owner of this epoch.
    OwnerEnded(u64),
}

/// What an owner tells the other hosts of a renewal: its epoch, the version and sequence of its row, and the load.
#[derive(Clone, Debug)]
pub struct RenewalNotice {
    /// The owner's epoch.
    pub epoch: u64,
    /// The version of the owner's row.
    pub version: u64,
    /// The sequence in the owner's row.
    pub sequence: u64,
    /// The load of the queues; `None` if the owner publishes none.
    pub load: Option<Arc<LoadView>>,
}

/// The operation that a host continues with after a delay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostPause {
    /// Reads the configuration again.
    Config,
    /// Asks for new jobs again, if it is still the owner in this epoch.
    Jobs(u64),
    /// Reads the list of workers again, if it is still the owner in this epoch.
    Workers(u64),
    /// Reads the owner's row to learn whether a write took effect.
    Write,
}

/// The answer to a call.
#[derive(Debug)]
pub enum CallAnswer {
    /// A worker's answer, as a scheduler event.
    Worker(JobEvent),
    /// The store's answer.
    Store(StoreReply),
}

/// A caller's request; the first field is the request's number.
#[derive(Clone, Debug)]
pub enum RequestBody {
    /// Submit a job.
    Submit(usize, JobNumber, Arc<JobSpec>),
    /// Cancel a job.
    Cancel(usize, JobNumber),
    /// Read a job's state.
    Show(usize, JobNumber),
}

/// A host's answer to a caller's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestAnswer {
    /// The request was served.
    Served,
    /// The request certainly has no effect (429 or 503); the caller may retry after this time, in milliseconds.
    Refused(Millis),
    /// The store did not answer (504), so that the request may have taken effect.
    Unknown,
}

/// An action of a host towards others.
#[derive(Debug)]
pub enum HostAction {
    /// Opens a connection for a call, given by its number.
    Connect(u64),
    /// Sends a call: its number, receiver, content and size in bytes.
    Send(u64, CallPeer, CallBody, u64),
    /// Checks at a time whether a call, given by its number, has timed out.
    CheckTimeout(u64, Micros),
    /// Continues an operation at a time.
    Pause(HostPause, Micros),
    /// Tells all other hosts of a renewal.
    Tell(RenewalNotice),
    /// Asks all other hosts at a time, in milliseconds, for how long they don't claim the shard.
    QueryHosts(Millis),
    /// Ticks again at a time.
    Tick(Micros),
    /// Answers a request, given by its number.
    Respond(usize, RequestAnswer),
    /// Has become the owner in an epoch; the second field is the time since its claim, in milliseconds.
    Owned(u64, Millis),
    /// The scheduler emitted a note.
    Noted(JobNote),
}

/// The scheduler event for an order that ended with `answer`.
pub fn answer_event(order: &WorkerOrder, answer: OrderAnswer) -> JobEvent {
    let worker = order.worker.clone();
    match &order.call {
        WorkerCall::Start(start) => JobEvent::StartAnswered(worker, start.key, answer),
        WorkerCall::Stop(key) => JobEvent::StopAnswered(worker, *key, answer),
        WorkerCall::Pace(key, _) => JobEvent::PaceAnswered(worker, *key, answer),
        WorkerCall::Renew(_) => JobEvent::RenewalAnswered(worker, RenewalAnswer::Failed(answer)),
    }
}
