//! A new owner and the runs that an earlier owner left behind.

mod support;

use sandshelf_jobs::{
    JobNumber, JobStage, ProgressRow, RunKey, RunOutcome, TakeoverInfo, WorkerRoster,
};
use sandshelf_model::WorkerId;
use support::{end_report, job, listing, lots, run_report, step, task, SchedulerRig};

/// An owner of epoch 2 that finds two workers in the roster.
fn successor() -> SchedulerRig {
    let roster = ["w-1", "w-2"].map(|name| (WorkerId::from(name), listing(name).address));
    let mut rig = SchedulerRig::new(TakeoverInfo {
        epoch: 2,
        rules_since: 1,
        claimed_at: 1_000,
        claim_version: 100,
        roster: WorkerRoster {
            epoch: 1,
            workers: roster.to_vec(),
            ..WorkerRoster::default()
        },
        ..TakeoverInfo::default()
    });
    rig.hand_in(7, 50, job(vec![step(1)]));
    rig.list(&["w-1", "w-2"]);
    rig
}

fn key(run: u64) -> RunKey {
    RunKey {
        task: task(7, 0, 0),
        run,
    }
}

/// A failed run on one worker says nothing about the next run, which another worker may have.
fn an_old_failure_does_not_free_a_task() {
    let mut rig = successor();
    rig.report(
        "w-1",
        vec![],
        vec![end_report(1, key(11), RunOutcome::Failed)],
    );
    assert!(
        rig.peek_starts().is_empty(),
        "the other worker has not answered"
    );
    rig.report("w-2", vec![run_report(key(12))], vec![]);
    rig.advance(100);
    assert!(
        rig.peek_starts().is_empty(),
        "the task runs on the other worker"
    );
}

fn a_task_that_nobody_reports_starts_once_all_have_answered() {
    let mut rig = successor();
    rig.report("w-1", vec![], vec![]);
    rig.advance(100);
    assert!(rig.peek_starts().is_empty());
    rig.report("w-2", vec![], vec![]);
    rig.advance(50);
    assert_eq!(rig.take_starts().len(), 1);
}

/// A worker that never answers holds the task back only until its lease must have expired.
fn a_silent_worker_is_waited_for_until_its_lease_is_over() {
    let mut rig = successor();
    rig.report("w-1", vec![], vec![]);
    for _ in 0..60 {
        rig.advance(100);
        rig.report("w-1", vec![], vec![]);
        rig.fail_renewal("w-2");
    }
    assert!(
        rig.peek_starts().is_empty(),
        "6 s have passed, the longest lease"
    );
    for _ in 0..20 {
        rig.advance(100);
        rig.report("w-1", vec![], vec![]);
        rig.fail_renewal("w-2");
    }
    assert_eq!(rig.take_starts().len(), 1);
}

/// An earlier owner may have started the next step before the end of the first one was durable.
fn an_end_seen_first_does_not_free_the_next_step_too_early() {
    let mut rig = successor();
    rig.hand_in(
        8,
        60,
        job(vec![
            step(1),
            sandshelf_jobs::StepSpec {
                after: vec![0],
                ..step(1)
            },
        ]),
    );
    let first = RunKey {
        task: task(8, 0, 0),
        run: 11,
    };
    let second = RunKey {
        task: task(8, 1, 0),
        run: 12,
    };
    rig.report(
        "w-1",
        vec![],
        vec![end_report(1, second, RunOutcome::Failed)],
    );
    rig.report("w-2", vec![], vec![end_report(1, first, RunOutcome::Done)]);
    rig.advance(50);
    let starts: Vec<_> = rig
        .take_starts()
        .iter()
        .map(|(_, start)| start.key.task)
        .collect();
    assert!(
        starts.contains(&second.task),
        "the second step's turn has come: {starts:?}"
    );
    assert!(!starts.contains(&first.task));
}

/// If the store is slow, an earlier owner learns late that it was superseded: it may start jobs
/// that are newer than the claim.
fn a_job_newer_than_the_claim_waits_for_the_workers() {
    let mut rig = successor();
    rig.hand_in(9, 200, job(vec![step(1)]));
    rig.advance(100);
    assert!(rig.peek_starts().is_empty(), "no worker has answered yet");
    let other_run = RunKey {
        task: task(9, 0, 0),
        run: 12,
    };
    rig.report("w-2", vec![], vec![]);
    rig.advance(100);
    rig.report("w-1", vec![run_report(other_run)], vec![]);
    rig.advance(100);
    let started = rig.peek_starts();
    assert!(started
        .iter()
        .all(|(_, start)| start.key.task != other_run.task));
}

/// A dead worker must not delay jobs that arrive after the takeover.
fn a_new_job_does_not_wait_for_a_dead_worker() {
    let mut rig = successor();
    rig.hand_in(9, 200, job(vec![step(1)]));
    for _ in 0..20 {
        rig.report("w-1", vec![], vec![]);
        rig.fail_renewal("w-2");
        rig.advance(100);
    }
    let started = rig.take_starts();
    let tasks: Vec<_> = started.iter().map(|(_, start)| start.key.task).collect();
    assert_eq!(tasks, vec![task(9, 0, 0)]);
}

/// Ends may arrive from the workers in any order: each failed run counts once.
fn failures_count_in_any_order() {
    let mut rig = successor();
    rig.report(
        "w-2",
        vec![],
        vec![end_report(1, key(12), RunOutcome::Failed)],
    );
    rig.report(
        "w-1",
        vec![run_report(key(13))],
        vec![end_report(1, key(11), RunOutcome::Failed)],
    );
    rig.report(
        "w-1",
        vec![],
        vec![end_report(2, key(13), RunOutcome::Failed)],
    );
    rig.advance(100);
    assert!(rig.peek_starts().is_empty(), "three runs have failed");
    let states: Vec<_> = rig
        .commit_all()
        .into_iter()
        .flat_map(|batch| batch.progress)
        .map(|(_, row)| row.stage)
        .collect();
    assert_eq!(states.last(), Some(&sandshelf_jobs::JobStage::Failed));
}

/// A failed run whose end was durable, but not acknowledged, is reported again and not counted
/// again.
fn a_failure_that_is_listed_again_counts_once() {
    let mut rig = SchedulerRig::with_workers(&["w-1"]);
    rig.hand_in(7, 0, job(vec![step(1)]));
    let (_, start) = rig.take_starts().pop().expect("a start");
    rig.report(
        "w-1",
        vec![],
        vec![end_report(1, start.key, RunOutcome::Failed)],
    );
    let rows: Vec<_> = rig
        .commit_all()
        .into_iter()
        .flat_map(|batch| batch.progress)
        .collect();
    let (number, row) = rows.last().expect("a row").clone();
    let mut next = SchedulerRig::new(TakeoverInfo {
        epoch: 2,
        rules_since: 1,
        claimed_at: 1_000,
        claim_version: 100,
        progress: [(number, row)].into(),
        ..TakeoverInfo::default()
    });
    next.hand_in(7, 50, job(vec![step(1)]));
    next.list(&["w-1"]);
    let reported_again = end_report(1, start.key, RunOutcome::Failed);
    next.report("w-1", vec![], vec![reported_again.clone()]);
    let rows: Vec<_> = next
        .commit_all()
        .into_iter()
        .flat_map(|batch| batch.progress)
        .collect();
    let failed = rows
        .iter()
        .flat_map(|(_, row)| &row.tasks)
        .map(|task| task.failed_runs.len());
    assert!(failed.max().unwrap_or(1) <= 1);
}

/// An end of a job whose row has not been read yet must not hide the ends behind it.
fn an_end_of_an_unknown_job_hides_no_other() {
    let mut rig = successor();
    let unknown = RunKey {
        task: task(99, 0, 0),
        run: 10,
    };
    let ends = vec![
        end_report(1, unknown, RunOutcome::Done),
        end_report(2, key(11), RunOutcome::Done),
    ];
    rig.report("w-1", vec![], ends);
    rig.report("w-2", vec![], vec![]);
    rig.advance(100);
    assert!(rig.peek_starts().is_empty(), "the known job's task is done");
    rig.hand_in(99, 150, job(vec![step(1)]));
    rig.advance(100);
    assert!(
        rig.peek_starts().is_empty(),
        "the other job's task was done before its row was read"
    );
}

/// An owner that resumes after a pause may have been superseded: it sends no order before it has
/// claimed the shard again.
fn a_paused_owner_gives_up() {
    let mut rig = SchedulerRig::with_workers(&["w-1"]);
    rig.advance(100);
    rig.now += 4_000;
    rig.hand_in(7, 0, job(vec![step(1)]));
    assert!(rig.peek_starts().is_empty());
    assert!(rig.actions.contains(&sandshelf_jobs::JobAction::Deposed));
}

/// While jobs are still being read their count is not published: the earlier owner's count stays
/// until all are known.
fn waiting_jobs_are_counted_once_all_are_known() {
    let mut rig = successor();
    let early = rig.commit_all();
    assert!(early.iter().all(|batch| batch.pending.is_none()));
    rig.hand_in(8, 60, job(vec![step(1)]));
    rig.advance(600);
    let later = rig.commit_all().into_iter().find_map(|batch| batch.pending);
    assert_eq!(
        later.and_then(|counts| counts.get(&lots()).copied()),
        Some(2)
    );
}

/// A worker that is gone for good must not keep its tasks for ever.
fn a_dead_workers_tasks_start_elsewhere_after_the_lease() {
    let mut rig = SchedulerRig::with_workers(&["w-1", "w-2"]);
    rig.hand_in(7, 0, job(vec![step(1)]));
    let (dead, _) = rig.take_starts().pop().expect("a start");
    let alive = if dead == "w-1" { "w-2" } else { "w-1" };
    let wait = |rig: &mut SchedulerRig, times: u32| {
        for _ in 0..times {
            rig.advance(100);
            rig.report(alive, vec![], vec![]);
            rig.fail_renewal(&dead);
        }
    };
    wait(&mut rig, 39);
    assert!(rig.peek_starts().is_empty(), "the lease of 4 s is not over");
    wait(&mut rig, 4);
    let starts = rig.take_starts();
    assert_eq!(starts.len(), 1, "the lease is over, also on a slow clock");
    assert_eq!(starts[0].0, alive);
}

/// An owner that ends after it has removed a job's row and before it has removed its progress
/// leaves the progress behind.
fn progress_without_a_job_is_removed() {
    let over = ProgressRow {
        stage: JobStage::Completed,
        ..ProgressRow::default()
    };
    let mut rig = SchedulerRig::new(TakeoverInfo {
        progress: [(JobNumber(9), over)].into(),
        ..TakeoverInfo::first(2, 1_000)
    });
    rig.list(&["w-1"]);
    rig.report("w-1", vec![], vec![]);
    rig.commit_all();
    rig.advance(121_000);
    let batches = rig.commit_all().into_iter();
    let forgotten: Vec<JobNumber> = batches.flat_map(|batch| batch.forget).collect();
    assert_eq!(forgotten, [JobNumber(9)]);
}

sandshelf_cases::cases! {
    progress_without_job => progress_without_a_job_is_removed();
    old_failure => an_old_failure_does_not_free_a_task();
    reported_by_nobody => a_task_that_nobody_reports_starts_once_all_have_answered();
    silent_worker => a_silent_worker_is_waited_for_until_its_lease_is_over();
    end_before_next_step => an_end_seen_first_does_not_free_the_next_step_too_early();
    newer_job => a_job_newer_than_the_claim_waits_for_the_workers();
    newer_job_dead_worker => a_new_job_does_not_wait_for_a_dead_worker();
    failures_in_any_order => failures_count_in_any_order();
    failure_reported_again => a_failure_that_is_listed_again_counts_once();
    end_of_unknown_job => an_end_of_an_unknown_job_hides_no_other();
    paused_owner => a_paused_owner_gives_up();
    waiting_jobs => waiting_jobs_are_counted_once_all_are_known();
    dead_worker => a_dead_workers_tasks_start_elsewhere_after_the_lease();
}
