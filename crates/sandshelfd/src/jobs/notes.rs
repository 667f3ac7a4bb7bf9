//! Logs the decisions and observations of the scheduler.

use std::fmt::Display;

use sandshelf_jobs::JobNote;
use sandshelf_model::HostId;

use crate::jobs::labels::label;
use crate::jobs::meters;
use crate::jobs::note_reports::{log_over_target, log_preemption, log_slow_run};
use crate::logging::{event, event_always};

/// The most workers or tasks that one log line lists.
const MAX_LISTED_NAMES: usize = 8;

/// The first names of a list, separated by commas, so that log lines stay short.
pub(super) fn join_first<T: Display>(names: impl IntoIterator<Item = T>) -> String {
    let listed_names = names.into_iter().take(MAX_LISTED_NAMES);
    let listed_names: Vec<String> = listed_names.map(|name| name.to_string()).collect();
    listed_names.join(",")
}

/// The text of an optional value; `none` if it is missing.
pub(super) fn or_none<T: Display>(value: Option<&T>) -> String {
    value.map_or_else(|| "none".to_owned(), T::to_string)
}

/// Logs and counts a decision or observation of the scheduler. `carrier` is the relay of an order, `summary` the summary of a finished job.
pub fn log_note(note: &JobNote, carrier: Option<&HostId>, summary: Option<&str>) {
    meters::record_decision(note);
    match note {
        JobNote::Placed {
            key,
            worker,
            waited_ms,
            free_cpu,
            resumed,
            ..
        } => event(
            "task_placed",
            &[
                ("task", &key.task),
                ("run", &key.run),
                ("worker", worker),
                ("waited_ms", waited_ms),
                ("free_cpu", free_cpu),
                ("resumed", resumed),
                ("carrier", &carrier.map_or("none", HostId::as_str)),
            ],
        ),
        JobNote::Ended {
            key,
            worker,
            outcome,
        } => event(
            "task_ended",
            &[
                ("task", &key.task),
                ("run", &key.run),
                ("worker", worker),
                ("outcome", &label(outcome)),
            ],
        ),
        JobNote::RunLost {
            key,
            worker,
            cause,
            heard_ms,
        } => event(
            "run_lost",
            &[
                ("task", &key.task),
                ("run", &key.run),
                ("worker", worker),
                ("cause", &label(cause)),
                ("heard_ms", &or_none(heard_ms.as_ref())),
            ],
        ),
        JobNote::Stopped { key, worker, cause } => event(
            "task_stopped",
            &[
                ("task", &key.task),
                ("run", &key.run),
                ("worker", worker),
                ("cause", &label(cause)),
            ],
        ),
        JobNote::StartRefused {
            key,
            worker,
            answer,
        } => event(
            "start_refused",
            &[
                ("task", &key.task),
                ("run", &key.run),
                ("worker", worker),
                ("answer", &label(answer)),
            ],
        ),
        JobNote::CheckpointsLeftOut {
            job,
            checkpoints,
            bytes,
        } => event(
            "checkpoints_left_out",
            &[("job", job), ("checkpoints", checkpoints), ("bytes", bytes)],
        ),
        JobNote::JobFinished {
            job,
            state,
            queue,
            took_ms,
            objective_ms,
        } => event_always(
            "job_finished",
            &[
                ("job", job),
                ("state", &label(state)),
                ("queue", queue),
                ("took_ms", took_ms),
                ("objective_ms", objective_ms),
                ("steps", &summary.unwrap_or_default()),
            ],
        ),
        JobNote::TakeoverOver {
            waited_ms,
            unanswered,
            unfound,
        } => event(
            "takeover_over",
            &[
                ("waited_ms", waited_ms),
                ("unanswered", &unanswered.len()),
                ("silent_workers", &join_first(unanswered)),
                ("unfound", unfound),
            ],
        ),
        JobNote::Unfound(task) => event("task_unfound", &[("task", task)]),
        JobNote::Fenced {
            worker,
            incarnation,
            named,
            clock,
            lease_left_ms,
        } => event(
            "worker_fenced",
            &[
                ("worker", worker),
                ("life", &or_none(incarnation.as_ref())),
                ("named", named),
                ("clock", clock),
                ("lease_left_ms", lease_left_ms),
            ],
        ),
        JobNote::LeaseExpired {
            worker,
            clock,
            deadline,
            unheard_ms,
            incarnation,
        } => event(
            "lease_expired",
            &[
                ("worker", worker),
                ("life", &or_none(incarnation.as_ref())),
                ("clock", clock),
                ("deadline", deadline),
                ("unheard_ms", unheard_ms),
            ],
        ),
        JobNote::WorkerRestarted {
            worker,
            before,
            incarnation,
            clock_before,
            clock,
            noted,
            listed,
            late_orders_ms,
            lease_left_ms,
        } => event(
            "worker_restarted",
            &[
                ("worker", worker),
                ("before", &or_none(before.as_ref())),
                ("life", &or_none(incarnation.as_ref())),
                ("clock_before", &or_none(clock_before.as_ref())),
                ("clock", clock),
                ("noted", noted),
                ("listed", listed),
                ("late_orders_ms", late_orders_ms),
                ("lease_left_ms", lease_left_ms),
            ],
        ),
        JobNote::EndAfterLoss {
            key,
            worker,
            outcome,
            number,
        } => event(
            "end_after_loss",
            &[
                ("task", &key.task),
                ("run", &key.run),
                ("worker", worker),
                ("outcome", &label(outcome)),
                ("number", number),
            ],
        ),
        JobNote::UnexpectedRuns {
            worker,
            running,
            ended,
        } => event(
            "unexpected_runs",
            &[("worker", worker), ("running", running), ("ended", ended)],
        ),
        JobNote::EndPassedOver {
            key,
            worker,
            number,
            noted,
        } => event(
            "end_passed_over",
            &[
                ("task", &key.task),
                ("run", &key.run),
                ("worker", worker),
                ("number", number),
                ("noted", noted),
            ],
        ),
        JobNote::WorkerDraining { worker, standing } => event(
            "worker_draining",
            &[("worker", worker), ("standing", standing)],
        ),
        JobNote::HallEvacuated {
            hall,
            workers,
            runs,
            standing,
        } => event_always(
            "hall_evacuated",
            &[
                ("hall", hall),
                ("workers", workers),
                ("runs", runs),
                ("standing", standing),
            ],
        ),
        JobNote::HallBack { hall, lasted_ms } => {
            event_always("hall_back", &[("hall", hall), ("lasted_ms", lasted_ms)]);
        }
        JobNote::OwnershipOverdue {
            overdue,
            lease_ms,
            sure_for_ms,
        } => event_always(
            "ownership_overdue",
            &[
                ("overdue", overdue),
                ("lease_ms", lease_ms),
                ("sure_for_ms", sure_for_ms),
            ],
        ),
        JobNote::Unsure => event_always("ownership_unsure", &[]),
        JobNote::SureAgain { lasted_ms } => {
            event_always("ownership_sure", &[("lasted_ms", lasted_ms)]);
        }
        JobNote::WorkerSilent(worker) => event("worker_silent", &[("worker", worker)]),
        JobNote::WorkerGone {
            worker,
            cause,
            listed,
            draining,
            lease_left_ms,
            runs,
            newest,
        } => event(
            "worker_gone",
            &[
                ("worker", worker),
                ("cause", &label(cause)),
                ("listed", listed),
                ("draining", draining),
                ("lease_left_ms", lease_left_ms),
                ("runs", runs),
                ("newest", &join_first(newest.iter().map(|run| run.task))),
            ],
        ),
        JobNote::WorkerQuarantined(worker) => event("worker_quarantined", &[("worker", worker)]),
        JobNote::CrashNoted {
            key,
            worker,
            heard_ms,
            alone,
            crashes,
        } => event(
            "crash_noted",
            &[
                ("task", &key.task),
                ("run", &key.run),
                ("worker", worker),
                ("heard_ms", heard_ms),
                ("alone", alone),
                ("crashes", crashes),
            ],
        ),
        JobNote::CrashWithdrawn { key, crashes } => event(
            "crash_withdrawn",
            &[("task", &key.task), ("run", &key.run), ("crashes", crashes)],
        ),
        JobNote::TaskGivenUp { task, crashes } => {
            event_always("task_given_up", &[("task", task), ("crashes", crashes)]);
        }
        JobNote::FillingHeld {
            job,
            work,
            begun_work,
            capacity,
            due_in_ms,
            view_age_ms,
        } => event(
            "filling_held",
            &[
                ("job", job),
                ("work", work),
                ("begun_work", begun_work),
                ("capacity", capacity),
                ("due_in_ms", due_in_ms),
                ("view_age_ms", view_age_ms),
            ],
        ),
        JobNote::WorkerReserved {
            task,
            worker,
            waited_ms,
            ready_in_ms,
        } => event(
            "worker_reserved",
            &[
                ("task", task),
                ("worker", worker),
                ("waited_ms", waited_ms),
                ("ready_in_ms", ready_in_ms),
            ],
        ),
        JobNote::ReservationEnded {
            task,
            worker,
            in_vain,
        } => event(
            "reservation_ended",
            &[("task", task), ("worker", worker), ("in_vain", in_vain)],
        ),
        JobNote::OverTarget(report) => log_over_target(report),
        JobNote::Paced(key, worker, percent) => event(
            "task_paced",
            &[
                ("task", &key.task),
                ("run", &key.run),
                ("worker", worker),
                ("percent", percent),
            ],
        ),
        JobNote::RenewalRepeated { worker, overdue_ms } => event(
            "renewal_repeated",
            &[("worker", worker), ("overdue_ms", overdue_ms)],
        ),
        JobNote::Preempted(report) => log_preemption(report),
        JobNote::HoldEnded {
            waiter,
            worker,
            outcome,
            uses,
            lasted_ms,
        } => event(
            "hold_ended",
            &[
                ("task", waiter),
                ("worker", worker),
                ("outcome", &label(outcome)),
                ("uses", uses),
                ("lasted_ms", lasted_ms),
            ],
        ),
        JobNote::CopyStarted { .. }
        | JobNote::CopyDecided { .. }
        | JobNote::RunStuck { .. }
        | JobNote::RestartJudged { .. }
        | JobNote::WorkerStalled { .. } => log_slow_run(note),
    }
}
