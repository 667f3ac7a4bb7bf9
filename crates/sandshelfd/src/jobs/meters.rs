//! Metrics of the daemon that serves jobs on the users' platform.
//!
//! Each label value comes from a closed set or is the name of a configured queue.

use std::time::Duration;

use http::{Method, StatusCode};
use metrics::{counter, gauge, histogram};
use sandshelf_adapter::StoreFault;
use sandshelf_http::LimitHit;
use sandshelf_jobs::admission::{LoadView, RefusalCause, FULL_SHARE_PERMILLE};
use sandshelf_jobs::relay::{DispatcherStats, RelayFault};
use sandshelf_jobs::{
    JobEvent, JobNote, JobStage, OrderAnswer, PreemptionReport, RenewalAnswer, SchedulerCounts,
};

use crate::jobs::labels::label;

/// The connections that were closed and the requests that were refused by a limit of the server, by port and limit.
const LIMITS: &str = "sandshelf_limits_hit_total";
/// The answers to callers, by HTTP method and status.
const ANSWERS: &str = "sandshelf_job_answers_total";
/// The seconds from a caller's request to its answer, by HTTP method.
const ANSWER_SECONDS: &str = "sandshelf_job_answer_seconds";
/// The store calls, by kind and outcome.
const STORE_CALLS: &str = "sandshelf_store_calls_total";
/// The seconds that store calls took, by kind.
const STORE_SECONDS: &str = "sandshelf_store_call_seconds";
/// The bytes of the store's answers, partial ones included, by kind of call.
const STORE_BYTES: &str = "sandshelf_store_bytes_total";
/// The calls to workers, by kind and outcome.
const ORDERS: &str = "sandshelf_orders_total";
/// The seconds that calls to workers took, by kind. Those of a lease renewal (kind `hold`) include the wait that it requested.
const ORDER_SECONDS: &str = "sandshelf_order_seconds";
/// The seconds that tasks waited for a worker, by queue and by step: `first` or `later`.
const START_SECONDS: &str = "sandshelf_task_wait_seconds";
/// The ended runs, by outcome.
const ENDS: &str = "sandshelf_task_ends_total";
/// The runs that were ordered to stop, by cause.
const STOPS: &str = "sandshelf_task_stops_total";
/// The runs that were given up without a reported end, by cause.
const LOSSES: &str = "sandshelf_runs_lost_total";
/// The ends that workers listed of runs that had been given up, by outcome.
const ENDS_AFTER_LOSS: &str = "sandshelf_ends_after_loss_total";
/// How often a worker was considered silent, gone or failing, by that belief.
const BELIEFS: &str = "sandshelf_worker_beliefs_total";
/// How often this owner ceased to be sure that no successor had taken over.
const UNSURE: &str = "sandshelf_ownership_unsure_total";
/// The worker crashes recorded for tasks that may have caused them; a crash counts once for each such task.
const CRASHES: &str = "sandshelf_task_crashes_noted_total";
/// How long serving tasks were over their targets, by whether anything filled beside them at the end; only from 1.5 s on.
const OVER_TARGET_SECONDS: &str = "sandshelf_over_target_seconds";
/// The cancellations of unknown jobs that were refused, since too many came.
const REFUSED_MARKS: &str = "sandshelf_cancellations_refused_total";
/// The checkpoints that were not written since the progress of their job is too large with them.
const CHECKPOINTS_LEFT_OUT: &str = "sandshelf_checkpoints_left_out_total";
/// The tasks that were given up because they crash their workers.
const GIVEN_UP: &str = "sandshelf_tasks_given_up_total";
/// The speculative copies, by event: `started`, `won` if the copy ended first, `lost` if the slow run did.
const COPIES: &str = "sandshelf_copies_total";
/// The runs that were stopped because they made too little progress.
const STUCK_RUNS: &str = "sandshelf_stuck_runs_total";
/// The restarted tasks that are done, by whether they ended before the stopped run was expected to.
const RESTARTS: &str = "sandshelf_restarts_judged_total";
/// The finished jobs, by queue and state.
const JOBS: &str = "sandshelf_jobs_finished_total";
/// The seconds from a job's acceptance to its completion, by queue.
const JOB_SECONDS: &str = "sandshelf_job_seconds";
/// The jobs that completed later than their objective, by queue.
const LATE_JOBS: &str = "sandshelf_jobs_late_total";
/// The lease renewals that were repeated because their answers were overdue.
const REPEATED_RENEWALS: &str = "sandshelf_repeated_renewals_total";
/// The decisions to stop runs for waiting tasks, by kind: `standing` if a standing task is stopped, else `lower_priority`.
const PREEMPTIONS: &str = "sandshelf_preemptions_total";
/// The ended holds of freed capacity, by outcome.
const HOLDS: &str = "sandshelf_holds_ended_total";
/// The runs that used held capacity, counted at the end of the hold.
const HOLD_USES: &str = "sandshelf_hold_uses_total";

/// The submissions that were refused under load, by queue and cause.
const REFUSED_JOBS: &str = "sandshelf_jobs_refused_total";
/// The share of new jobs that the owner admits, by queue and size: `usual` or `large`.
const ADMITTED_SHARE: &str = "sandshelf_admitted_share";
/// The seconds in which the work left in a queue would be done at the measured rate, by queue.
const BACKLOG_SECONDS: &str = "sandshelf_backlog_seconds";

/// The filling jobs that were held back because the capacity did not suffice.
const FILLING_HELD: &str = "sandshelf_filling_jobs_held_total";
/// The workers that were reserved for large tasks.
const RESERVATIONS: &str = "sandshelf_reservations_total";
/// The reservations that ended without a start although the worker could have started the task.
const RESERVATIONS_IN_VAIN: &str = "sandshelf_reservations_in_vain_total";
/// The relay messages, or answers in them, that were ignored, by fault.
const RELAY_FAULTS: &str = "sandshelf_relay_faults_total";

/// The purpose of a store call; it is the label value `kind` in lower case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Writes a job or a cancellation for a caller.
    WriteJob,
    /// Reads a job or the pending counts of queues for a caller.
    ReadJob,
    /// Writes the owner's progress, claims, renews or releases its ownership, or removes the rows of jobs.
    Commit,
    /// Reads the owner row.
    ReadOwner,
    /// Reads rows of the shard for a new owner, or for one whose feed of changes has a gap.
    TakeOver,
    /// Finds out for a caller whether the store answers this host.
    Probe,
    /// Waits for changes.
    Follow,
    /// Reads the list of workers.
    ListWorkers,
    /// Reads the configuration and the evacuated halls.
    ReadConfig,
}

/// The result of a store call.
#[derive(Clone, Copy, Debug)]
pub struct StoreCallResult {
    /// The purpose of the call.
    pub kind: StoreCall,
    /// Why the call failed; none if it succeeded.
    pub fault: Option<StoreFault>,
    /// The received bytes of the answer's body.
    pub bytes: u64,
    /// The duration of the call.
    pub took: Duration,
}

/// Records a store call.
pub fn record_store_call(ended: &StoreCallResult) {
    let kind = label(&ended.kind);
    let outcome = ended.fault.map(|fault| fault.to_string());
    let outcome = outcome.unwrap_or_else(|| "answered".to_owned());
    counter!(STORE_CALLS, "kind" => kind.clone(), "outcome" => outcome).increment(1);
    counter!(STORE_BYTES, "kind" => kind.clone()).increment(ended.bytes);
    histogram!(STORE_SECONDS, "kind" => kind).record(ended.took.as_secs_f64());
}

/// Records an answer to a caller.
pub fn record_answer(method: &Method, status: StatusCode, took: Duration) {
    let call = method.as_str().to_owned();
    counter!(ANSWERS, "call" => call.clone(), "status" => status.as_u16().to_string()).increment(1);
    histogram!(ANSWER_SECONDS, "call" => call).record(took.as_secs_f64());
}

/// Counts a limit of the server that took effect on a port.
pub fn record_limit(port: &'static str, hit: LimitHit) {
    counter!(LIMITS, "port" => port, "limit" => hit.name()).increment(1);
}

/// Records a call to a worker by its answer; other events are ignored.
pub fn record_order(event: &JobEvent, took: Duration) {
    let (kind, outcome) = match event {
        JobEvent::StartAnswered(_, _, answer) => ("start", outcome_of(answer)),
        JobEvent::StopAnswered(_, _, answer) => ("stop", outcome_of(answer)),
        JobEvent::PaceAnswered(_, _, answer) => ("pace", outcome_of(answer)),
        JobEvent::RenewalAnswered(_, answer) => ("hold", renewal_outcome(answer)),
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

fn renewal_outcome(answer: &RenewalAnswer) -> &'static str {
    match answer {
        RenewalAnswer::Report(_) => "done",
        RenewalAnswer::Fenced => "refused",
        RenewalAnswer::Failed(answer) => outcome_of(answer),
    }
}

/// Records a decision or observation of the scheduler.
pub fn record_decision(note: &JobNote) {
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
        JobNote::EndAfterLoss { outcome, .. } => {
            counter!(ENDS_AFTER_LOSS, "outcome" => label(outcome)).increment(1);
        }
        JobNote::Stopped { cause, .. } => counter!(STOPS, "cause" => label(cause)).increment(1),
        JobNote::RunLost { cause, .. } => counter!(LOSSES, "cause" => label(cause)).increment(1),
        JobNote::Unsure => counter!(UNSURE).increment(1),
        JobNote::WorkerSilent(_) => counter!(BELIEFS, "belief" => "silent").increment(1),
        JobNote::WorkerGone { .. } => counter!(BELIEFS, "belief" => "gone").increment(1),
        JobNote::CrashNoted { .. } => counter!(CRASHES).increment(1),
        JobNote::OverTarget(report) if !report.lasts => {
            let lasted = Duration::from_millis(report.lasted_ms).as_secs_f64();
            let filled = if report.fills.is_empty() { "no" } else { "yes" };
            histogram!(OVER_TARGET_SECONDS, "filled" => filled).record(lasted);
        }
        JobNote::TaskGivenUp { .. } => counter!(GIVEN_UP).increment(1),
        JobNote::WorkerQuarantined(_) => counter!(BELIEFS, "belief" => "failing").increment(1),
        JobNote::CopyStarted { .. } => counter!(COPIES, "event" => "started").increment(1),
        JobNote::CopyDecided { copy_won, .. } => {
            let event = if *copy_won { "won" } else { "lost" };
            counter!(COPIES, "event" => event).increment(1);
        }
        JobNote::RunStuck { .. } => counter!(STUCK_RUNS).increment(1),
        JobNote::RestartJudged { helped, .. } => {
            let outcome = if *helped { "helped" } else { "in_vain" };
            counter!(RESTARTS, "outcome" => outcome).increment(1);
        }
        JobNote::WorkerStalled { .. } => counter!(BELIEFS, "belief" => "stalled").increment(1),
        JobNote::JobFinished {
            state,
            queue,
            took_ms,
            objective_ms,
            ..
        } => record_finished_job(*state, queue, *took_ms, *objective_ms),
        JobNote::StartRefused { .. }
        | JobNote::TakeoverOver { .. }
        | JobNote::Unfound(_)
        | JobNote::Fenced { .. }
        | JobNote::LeaseExpired { .. }
        | JobNote::OwnershipOverdue { .. }
        | JobNote::WorkerRestarted { .. }
        | JobNote::UnexpectedRuns { .. }
        | JobNote::EndPassedOver { .. }
        | JobNote::WorkerDraining { .. }
        | JobNote::SureAgain { .. }
        | JobNote::HallEvacuated { .. }
        | JobNote::HallBack { .. }
        | JobNote::CrashWithdrawn { .. }
        | JobNote::OverTarget(_)
        | JobNote::Paced(..) => {}
        JobNote::CheckpointsLeftOut { checkpoints, .. } => {
            counter!(CHECKPOINTS_LEFT_OUT).increment(*checkpoints as u64);
        }
        JobNote::WorkerReserved { .. } => counter!(RESERVATIONS).increment(1),
        JobNote::ReservationEnded { in_vain: true, .. } => {
            counter!(RESERVATIONS_IN_VAIN).increment(1);
        }
        JobNote::ReservationEnded { .. } => {}
        JobNote::FillingHeld { .. } => counter!(FILLING_HELD).increment(1),
        JobNote::RenewalRepeated { .. } => counter!(REPEATED_RENEWALS).increment(1),
        JobNote::Preempted(report) => record_preemption(report),
        JobNote::HoldEnded { outcome, uses, .. } => {
            counter!(HOLDS, "outcome" => label(outcome)).increment(1);
            counter!(HOLD_USES).increment(u64::from(*uses));
        }
    }
}

fn record_preemption(report: &PreemptionReport) {
    let kind = match report.standing {
        0 => "lower_priority",
        _ => "standing",
    };
    counter!(PREEMPTIONS, "kind" => kind).increment(1);
}

fn record_finished_job(state: JobStage, queue: &str, took_ms: u64, objective_ms: u64) {
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

/// Sets the gauges of an owner's load.
pub fn set_load_gauges(counts: &SchedulerCounts) {
    gauge!("sandshelf_jobs_open").set(counts.jobs as f64);
    gauge!("sandshelf_tasks_waiting").set(counts.waiting as f64);
    gauge!("sandshelf_tasks_running").set(counts.runs as f64);
    gauge!("sandshelf_workers_known").set(counts.workers as f64);
    gauge!("sandshelf_workers_open").set(counts.open_workers as f64);
    gauge!("sandshelf_evacuated_halls").set(counts.evacuated_halls as f64);
    gauge!("sandshelf_evacuated_tasks_running").set(counts.evacuated_runs as f64);
    gauge!("sandshelf_jobs_unwritten").set(counts.dirty as f64);
    let oldest_unwritten = Duration::from_millis(counts.oldest_unwritten_ms);
    gauge!("sandshelf_oldest_unwritten_seconds").set(oldest_unwritten.as_secs_f64());
    gauge!("sandshelf_ends_unacknowledged").set(counts.unacknowledged_ends as f64);
    gauge!("sandshelf_owner_stretch_percent").set(counts.stretch as f64);
    gauge!("sandshelf_serving_tasks").set(counts.serving as f64);
    gauge!("sandshelf_serving_tasks_over_target").set(counts.over_target as f64);
    let longest_over = Duration::from_millis(counts.longest_over_ms);
    gauge!("sandshelf_longest_over_target_seconds").set(longest_over.as_secs_f64());
    gauge!("sandshelf_filling_tasks").set(counts.filling as f64);
    gauge!("sandshelf_filling_tasks_slowed").set(counts.slowed as f64);
    gauge!("sandshelf_reserved_workers").set(counts.reserved_workers as f64);
    gauge!("sandshelf_filling_jobs_held").set(counts.filling_held as f64);
    gauge!("sandshelf_copies_running").set(counts.copies as f64);
    gauge!("sandshelf_holds").set(counts.holds as f64);
    gauge!("sandshelf_held_cores").set(counts.held_cpu as f64 / 1_000.0);
}

/// Counts a cancellation of an unknown job that was not kept.
pub fn record_refused_mark() {
    counter!(REFUSED_MARKS).increment(1);
}

/// Counts a submission that was refused under load.
pub fn record_refused_job(queue: &str, cause: RefusalCause) {
    counter!(REFUSED_JOBS, "queue" => queue.to_owned(), "cause" => label(&cause)).increment(1);
}

/// Sets the gauges of the queues' loads.
pub fn set_queue_gauges(view: &LoadView) {
    for load in &view.queues {
        let queue = &load.queue;
        let (usual, large) = match load.short_of_capacity {
            true => (load.share_permille, load.large_share_permille),
            false => (FULL_SHARE_PERMILLE, FULL_SHARE_PERMILLE),
        };
        for (size, share) in [("usual", usual), ("large", large)] {
            let share = f64::from(share) / f64::from(FULL_SHARE_PERMILLE);
            gauge!(ADMITTED_SHARE, "queue" => queue.clone(), "size" => size).set(share);
        }
        let backlog = Duration::from_millis(load.drain_ms()).as_secs_f64();
        gauge!(BACKLOG_SECONDS, "queue" => queue.clone()).set(backlog);
    }
}

/// Sets the gauges of an owner's relays: the hosts that offer to relay, those in use, and the relayed orders without an answer.
pub fn set_relay_gauges(stats: &DispatcherStats) {
    gauge!("sandshelf_relays_offered").set(stats.offered as f64);
    gauge!("sandshelf_relays_in_use").set(stats.in_use as f64);
    gauge!("sandshelf_relayed_orders_open").set(stats.open as f64);
}

/// Counts a relay message, or an answer in one, that was ignored.
pub fn record_relay_fault(fault: RelayFault) {
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

/// Sets the gauges of this host: whether it owns the shard, the age of its newest durable write (0 if there is none) and the version of the
/// configuration in force (0 if there is none).
pub fn set_host_gauges(owns: bool, write_age: Option<Duration>, config: Option<u64>) {
    gauge!("sandshelf_shards_held").set(f64::from(u8::from(owns)));
    gauge!("sandshelf_write_age_seconds").set(write_age.map_or(0.0, |age| age.as_secs_f64()));
    gauge!("sandshelf_config_revision").set(config.unwrap_or(0) as f64);
}
