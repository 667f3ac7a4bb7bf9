//! Metrics of the daemon that serves jobs on the users' platform.
//!
//! Every label comes from a closed set, or is a queue of the configuration.

use std::time::Duration;

use metrics::{counter, gauge, histogram};
use rocket::http::{Method, Status};
use sandshelf_adapter::StoreFault;
use sandshelf_jobs::relay::{DispatcherStats, RelayFault};
use sandshelf_jobs::{JobEvent, JobNote, JobStage, OrderAnswer, RenewalAnswer, SchedulerCounts};

use crate::jobs::notes::label;

/// Answers to callers, by call and status.
const ANSWERS: &str = "sandshelf_job_answers_total";
/// Seconds from a caller's request to its answer, by call.
const ANSWER_SECONDS: &str = "sandshelf_job_answer_seconds";
/// Calls to the store, by kind and outcome.
const STORE_CALLS: &str = "sandshelf_store_calls_total";
/// Seconds that calls to the store took, by kind.
const STORE_SECONDS: &str = "sandshelf_store_call_seconds";
/// Bytes of the store's answers, also of those that did not come whole, by kind of call.
const STORE_BYTES: &str = "sandshelf_store_bytes_total";
/// Orders to workers, by kind and outcome.
const ORDERS: &str = "sandshelf_orders_total";
/// Seconds that orders to workers took, by kind; a hold's include the wait that it asked for.
const ORDER_SECONDS: &str = "sandshelf_order_seconds";
/// Seconds that tasks waited for a worker, by queue and by whether their step is the job's first.
const START_SECONDS: &str = "sandshelf_task_wait_seconds";
/// Runs that ended, by outcome.
const ENDS: &str = "sandshelf_task_ends_total";
/// Runs that were ordered to stop, by cause.
const STOPS: &str = "sandshelf_task_stops_total";
/// Runs that were given up without an end, by cause.
const LOSSES: &str = "sandshelf_runs_lost_total";
/// Workers that were believed silent, gone or failing, by belief.
const BELIEFS: &str = "sandshelf_worker_beliefs_total";
/// How often this owner was not sure any more that nobody had followed it.
const UNSURE: &str = "sandshelf_ownership_unsure_total";
/// Crashes of workers that were noted with a task that may have caused them: one for each such task.
const CRASHES: &str = "sandshelf_task_crashes_noted_total";
/// Tasks that were given up since they crash the workers that start them.
const GIVEN_UP: &str = "sandshelf_tasks_given_up_total";
/// Jobs that came to their end, by queue and state.
const JOBS: &str = "sandshelf_jobs_finished_total";
/// Seconds from a job's acceptance to its end, by queue.
const JOB_SECONDS: &str = "sandshelf_job_seconds";
/// Jobs that ended later than their objective, by queue.
const LATE_JOBS: &str = "sandshelf_jobs_late_total";

/// Messages between hosts, or answers in them, that changed nothing, by fault.
const RELAY_FAULTS: &str = "sandshelf_relay_faults_total";

/// What a call to the store is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// A job or a mark of cancellation is written for a caller.
    WriteJob,
    /// A caller asks for a job or a queue.
    ReadJob,
    /// The owner writes progress, or renews its ownership.
    Commit,
    /// The owner's row is read.
    ReadOwner,
    /// Rows of the shard are read by a new owner, or by one to which changes are no longer told.
    TakeOver,
    /// Changes are waited for.
    Follow,
    /// The list of workers is read.
    ListWorkers,
    /// The configuration is read.
    ReadConfig,
}

/// How a call to the store ended.
#[derive(Clone, Copy, Debug)]
pub struct CallEnd {
    /// What it was for.
    pub kind: StoreCall,
    /// Why there is no result; none where there is one.
    pub fault: Option<StoreFault>,
    /// How much of the answer's body came.
    pub bytes: u64,
    /// How long it took.
    pub took: Duration,
}

/// Counts a call to the store.
pub fn note_store(ended: &CallEnd) {
    let kind = label(&ended.kind);
    let outcome = ended.fault.map(|fault| fault.to_string());
    let outcome = outcome.unwrap_or_else(|| "answered".to_owned());
    counter!(STORE_CALLS, "kind" => kind.clone(), "outcome" => outcome).increment(1);
    counter!(STORE_BYTES, "kind" => kind.clone()).increment(ended.bytes);
    histogram!(STORE_SECONDS, "kind" => kind).record(ended.took.as_secs_f64());
}

/// Counts an answer to a caller.
pub fn note_answer(method: Method, status: Status, took: Duration) {
    let call = method.as_str();
    counter!(ANSWERS, "call" => call, "status" => status.code.to_string()).increment(1);
    histogram!(ANSWER_SECONDS, "call" => call).record(took.as_secs_f64());
}

/// Counts an order to a worker by its answer.
pub fn note_order(answered: &JobEvent, took: Duration) {
    let (kind, outcome) = match answered {
        JobEvent::StartAnswered(_, _, answer) => ("start", outcome_of(answer)),
        JobEvent::StopAnswered(_, _, answer) => ("stop", outcome_of(answer)),
        JobEvent::PaceAnswered(_, _, answer) => ("pace", outcome_of(answer)),
        JobEvent::RenewalAnswered(_, answer) => ("hold", hold_outcome(answer)),
        _ => return,
    };
    counter!(ORDERS, "kind" => kind, "outcome" => outcome).increment(1);
    histogram!(ORDER_SECONDS, "kind" => kind).record(took.as_secs_f64());
}

fn outcome_of(answer: &OrderAnswer) -> &'static str {
    match answer {
        OrderAnswer::Done(_) => "done",
        OrderAnswer::Refused(..) => "refused",
        OrderAnswer::Unhealthy => "unhealthy",
        OrderAnswer::Invalid => "invalid",
        OrderAnswer::Replaced => "replaced",
        OrderAnswer::Unreachable => "unreachable",
        OrderAnswer::NotSent => "not_sent",
        OrderAnswer::Unknown => "unknown",
    }
}

fn hold_outcome(answer: &RenewalAnswer) -> &'static str {
    match answer {
        RenewalAnswer::Report(_) => "done",
        RenewalAnswer::Fenced => "refused",
        RenewalAnswer::Failed(answer) => outcome_of(answer),
    }
}

/// Counts what a scheduler decided or learnt.
pub fn note_decision(note: &JobNote) {
    match note {
        JobNote::Placed {
            key,
            queue,
            waited_ms,
            ..
        } => {
            let step = if key.task.step == 0 { "first" } else { "later" };
            let waited = Duration::from_millis(*waited_ms).as_secs_f64();
            histogram!(START_SECONDS, "queue" => queue.clone(), "step" => step).record(waited);
        }
        JobNote::Ended { outcome, .. } => {
            counter!(ENDS, "outcome" => label(outcome)).increment(1);
        }
        JobNote::Stopped { cause, .. } => counter!(STOPS, "cause" => label(cause)).increment(1),
        JobNote::RunLost { cause, .. } => counter!(LOSSES, "cause" => label(cause)).increment(1),
        JobNote::Unsure => counter!(UNSURE).increment(1),
        JobNote::WorkerSilent(_) => counter!(BELIEFS, "belief" => "silent").increment(1),
        JobNote::WorkerGone { .. } => counter!(BELIEFS, "belief" => "gone").increment(1),
        JobNote::CrashNoted { .. } => counter!(CRASHES).increment(1),
        JobNote::TaskGivenUp { .. } => counter!(GIVEN_UP).increment(1),
        JobNote::WorkerQuarantined(_) => counter!(BELIEFS, "belief" => "failing").increment(1),
        JobNote::JobFinished {
            state,
            queue,
            took_ms,
            objective_ms,
            ..
        } => note_finished(*state, queue, *took_ms, *objective_ms),
        JobNote::StartRefused { .. }
        | JobNote::TakeoverOver { .. }
        | JobNote::Unfound(_)
        | JobNote::Fenced { .. }
        | JobNote::WorkerRestarted { .. }
        | JobNote::EndPassedOver { .. }
        | JobNote::WorkerDraining { .. }
        | JobNote::SureAgain { .. }
        | JobNote::HallEvacuated { .. }
        | JobNote::HallBack { .. }
        | JobNote::Paced(..) => {}
    }
}

fn note_finished(state: JobStage, queue: &str, took_ms: u64, objective_ms: u64) {
    let queue = queue.to_owned();
    counter!(JOBS, "queue" => queue.clone(), "state" => label(&state)).increment(1);
    if state != JobStage::Completed {
        return;
    }
    let took = Duration::from_millis(took_ms).as_secs_f64();
    histogram!(JOB_SECONDS, "queue" => queue.clone()).record(took);
    if took_ms > objective_ms {
        counter!(LATE_JOBS, "queue" => queue).increment(1);
    }
}

/// Shows an owner's figures.
pub fn set_load_gauges(counts: &SchedulerCounts) {
    gauge!("sandshelf_jobs_open").set(counts.jobs as f64);
    gauge!("sandshelf_tasks_waiting").set(counts.waiting as f64);
    gauge!("sandshelf_tasks_running").set(counts.runs as f64);
    gauge!("sandshelf_workers_known").set(counts.workers as f64);
    gauge!("sandshelf_workers_open").set(counts.open_workers as f64);
    gauge!("sandshelf_evacuated_halls").set(counts.evacuated_halls as f64);
    gauge!("sandshelf_evacuated_tasks_running").set(counts.evacuated_runs as f64);
    gauge!("sandshelf_jobs_unwritten").set(counts.dirty as f64);
    gauge!("sandshelf_owner_stretch_percent").set(counts.stretch as f64);
    gauge!("sandshelf_serving_tasks").set(counts.serving as f64);
    gauge!("sandshelf_serving_tasks_over_target").set(counts.over_target as f64);
    gauge!("sandshelf_filling_tasks").set(counts.filling as f64);
    gauge!("sandshelf_filling_tasks_slowed").set(counts.slowed as f64);
}

/// Shows how many hosts offer to carry an owner's orders, how many carry some, and how many orders are under way there.
pub fn set_relay_gauges(figures: &DispatcherStats) {
    gauge!("sandshelf_relays_offered").set(figures.offered as f64);
    gauge!("sandshelf_relays_in_use").set(figures.in_use as f64);
    gauge!("sandshelf_relayed_orders_open").set(figures.open as f64);
}

/// Counts what of a relay's message was passed over.
pub fn note_relay_fault(fault: RelayFault) {
    let kind = match fault {
        RelayFault::Unreadable => "unreadable",
        RelayFault::OtherVersion(_) => "version",
        RelayFault::OtherEpoch(_) => "epoch",
        RelayFault::Misdirected => "misdirected",
        RelayFault::UnknownOrder(_) => "unknown_order",
        RelayFault::WrongAnswer(_) => "wrong_answer",
        RelayFault::UnknownRelay => "unknown_relay",
    };
    counter!(RELAY_FAULTS, "fault" => kind).increment(1);
}

/// Shows whether this host owns the shard, how old the newest durable write is, and the configuration in force.
pub fn set_host_gauges(owns: bool, write_age: Option<Duration>, config: Option<u64>) {
    gauge!("sandshelf_shards_held").set(f64::from(u8::from(owns)));
    gauge!("sandshelf_write_age_seconds").set(write_age.map_or(0.0, |age| age.as_secs_f64()));
    gauge!("sandshelf_config_revision").set(config.unwrap_or(0) as f64);
}
