//! Logs decisions that are reported with all their inputs: slow runs, preemption, and serving tasks over their targets.

use sandshelf_jobs::{FillState, JobNote, OverTargetReport, PreemptionReport};

use crate::jobs::notes::join_first;
use crate::logging::event;

/// Logs a decision on a slow or stuck run, with what it was decided by.
pub(super) fn log_slow_run(note: &JobNote) {
    match note {
        JobNote::CopyStarted {
            key,
            worker,
            slow_worker,
            remaining_ms,
            typical_ms,
            reading_age_ms,
        } => event(
            "copy_started",
            &[
                ("task", &key.task),
                ("run", &key.run),
                ("worker", worker),
                ("slow_worker", slow_worker),
                ("remaining_ms", remaining_ms),
                ("typical_ms", typical_ms),
                ("reading_age_ms", reading_age_ms),
            ],
        ),
        JobNote::CopyDecided {
            key,
            worker,
            copy_won,
        } => event(
            "copy_decided",
            &[
                ("task", &key.task),
                ("run", &key.run),
                ("worker", worker),
                ("copy_won", copy_won),
            ],
        ),
        JobNote::RunStuck {
            key,
            worker,
            percent,
            stalled_ms,
            remaining_ms,
            restart_ms,
            reading_age_ms,
        } => event(
            "run_stuck",
            &[
                ("task", &key.task),
                ("run", &key.run),
                ("worker", worker),
                ("percent", percent),
                ("stalled_ms", stalled_ms),
                ("remaining_ms", remaining_ms),
                ("restart_ms", restart_ms),
                ("reading_age_ms", reading_age_ms),
            ],
        ),
        JobNote::RestartJudged {
            key,
            helped,
            took_ms,
            expected_ms,
        } => event(
            "restart_judged",
            &[
                ("task", &key.task),
                ("run", &key.run),
                ("helped", helped),
                ("took_ms", took_ms),
                ("expected_ms", expected_ms),
            ],
        ),
        JobNote::WorkerStalled { worker, runs } => {
            event("worker_stalled", &[("worker", worker), ("runs", runs)]);
        }
        _ => {}
    }
}

/// Logs a decision to stop runs for waiting tasks.
pub(super) fn log_preemption(report: &PreemptionReport) {
    event(
        "preempted",
        &[
            ("task", &report.waiter),
            ("worker", &report.worker),
            ("priority", &report.priority),
            ("waiting", &report.waiting),
            ("waited_ms", &report.waited_ms),
            ("served", &report.served),
            ("stopped", &report.stopped),
            ("standing", &report.standing),
            ("lost_work", &report.lost_work),
            ("away", &report.away),
            ("may_miss", &report.may_miss),
            ("heard_ms", &report.heard_ms),
        ],
    );
}

/// Logs a stretch in which a serving task was over its target, with the filling tasks beside it, each as
/// `run:pace:used:sent:taken`: the ordered pace in percent, the processors used in thousandths of a core, and how many milliseconds
/// ago the pace was sent, and a pace order answered since (`-` for never). An exclamation mark stands before a run that gets no paces.
pub(super) fn log_over_target(report: &OverTargetReport) {
    let ago = |ms: Option<u64>| ms.map_or("-".to_owned(), |ms| ms.to_string());
    let shown = report.fills.iter().map(|fill| {
        let mark = if fill.paced { "" } else { "!" };
        let (sent, taken) = (ago(fill.sent_ago_ms), ago(fill.taken_ago_ms));
        let FillState {
            run, pace, used, ..
        } = fill;
        format!(
            "{mark}{}#{}:{pace}:{used}:{sent}:{taken}",
            run.task, run.run
        )
    });
    event(
        "over_target",
        &[
            ("task", &report.key.task),
            ("run", &report.key.run),
            ("worker", &report.worker),
            ("target_ms", &report.target_ms),
            ("lasted_ms", &report.lasted_ms),
            ("lasts", &report.lasts),
            ("readings", &report.readings),
            ("dips", &report.dips),
            ("worst_ms", &report.worst_ms),
            ("fills", &report.fills.len()),
            ("fill_states", &join_first(shown)),
        ],
    );
}
