//! What comes in at a host, and what it does towards others.

use std::sync::Arc;

use sandshelf_jobs::{
    JobEvent, JobNote, JobNumber, JobSpec, OrderAnswer, RenewalAnswer, WorkerCall,
};

use sandshelf_model::Millis;

use super::calls::{CallBody, CallPeer, WorkerOrder};
use crate::queue::Micros;
use crate::store::StoreReply;

/// A thing for a host to do.
#[derive(Debug)]
pub enum WorkItem {
    /// The process has just started.
    Launch,
    /// Time passes.
    Tick,
    /// An order leaves.
    Begin(CallPeer, CallBody),
    /// The new connection that a call needs is there.
    Connected(u64),
    /// A pause is over.
    Resume(HostPause),
    /// A call was answered, with so many bytes.
    Answered(u64, CallAnswer, u64),
    /// The answer to a call isn't waited for any longer.
    GivenUp(u64),
    /// A caller asks for something.
    Request(RequestBody),
}

/// What a host waits for before it goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostPause {
    /// To ask for the configuration again.
    Config,
    /// To ask for new jobs again, as the owner of an epoch.
    Jobs(u64),
    /// To read the list of workers again, as the owner of an epoch.
    Workers(u64),
    /// To look what became of a write.
    Write,
}

/// What a called peer answered.
#[derive(Debug)]
pub enum CallAnswer {
    /// A worker, as its caller is told.
    Worker(JobEvent),
    /// The store.
    Store(StoreReply),
}

/// What a caller asks for, by the number of its request.
#[derive(Clone, Debug)]
pub enum RequestBody {
    /// Take a job in.
    Submit(usize, JobNumber, Arc<JobSpec>),
    /// Cancel a job.
    Cancel(usize, JobNumber),
    /// Show a job's state.
    Show(usize, JobNumber),
}

/// What a host does towards others.
#[derive(Debug)]
pub enum HostAction {
    /// Opens a connection for a call.
    Connect(u64),
    /// Sends a call of so many bytes.
    Send(u64, CallPeer, CallBody, u64),
    /// Looks again at a call when its patience is over.
    CheckTimeout(u64, Micros),
    /// Goes on after a pause.
    Pause(HostPause, Micros),
    /// Ticks again.
    Tick(Micros),
    /// Answers a request; whether it has what it asked for.
    Respond(usize, bool),
    /// Owns the shard as an epoch, so long after its claim.
    Owned(u64, Millis),
    /// The scheduler decided or learnt something.
    Noted(JobNote),
}

/// The event of an order that ended so.
pub fn answer_event(order: &WorkerOrder, answer: OrderAnswer) -> JobEvent {
    let worker = order.worker.clone();
    match &order.call {
        WorkerCall::Start(start) => JobEvent::StartAnswered(worker, start.key, answer),
        WorkerCall::Stop(key) => JobEvent::StopAnswered(worker, *key, answer),
        WorkerCall::Pace(key, _) => JobEvent::PaceAnswered(worker, *key, answer),
        WorkerCall::Renew(_) => JobEvent::RenewalAnswered(worker, RenewalAnswer::Failed(answer)),
    }
}
