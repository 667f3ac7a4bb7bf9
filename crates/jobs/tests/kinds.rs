//! Kinds of work: gangs, repetitions, labels, limits per worker, standing tasks, and how long finished jobs are kept.

mod support;

use sandshelf_jobs::{JobSpec, RepeatRule, RunKey, RunOutcome, StepSpec, TakeoverInfo};
use sandshelf_model::ResourceSize;
use support::{end_report, job, lots, run_report, step, task, SchedulerRig, WALL_START_MS};

fn gang_of(count: u32) -> JobSpec {
    job(vec![StepSpec {
        gang: true,
        size: ResourceSize::new(10_000, 1_000, 0),
        ..step(count)
    }])
}

/// Each of two workers has capacity for one member. A gang of three waits as a whole; a gang of two starts under one run number.
fn a_gang_starts_together_or_not_at_all() {
    let mut rig = SchedulerRig::with_workers(&["w-1", "w-2"]);
    rig.hand_in(1, 0, gang_of(3));
    rig.advance(200);
    assert!(rig.peek_starts().is_empty());
    rig.hand_in(2, 0, gang_of(2));
    let starts = rig.take_starts();
    assert_eq!(starts.len(), 2);
    assert_eq!(starts[0].1.key.run, starts[1].1.key.run);
}

fn a_gang_that_loses_a_member_starts_again_whole() {
    let mut rig = SchedulerRig::with_workers(&["w-1", "w-2"]);
    rig.hand_in(2, 0, gang_of(2));
    let starts = rig.take_starts();
    let (lost, other) = (&starts[0], &starts[1]);
    rig.advance(50);
    rig.report(
        &lost.0,
        vec![],
        vec![end_report(1, lost.1.key, RunOutcome::Failed)],
    );
    assert!(rig.stops().contains(&(other.0.clone(), other.1.key)));
    rig.advance(100);
    assert!(
        rig.peek_starts().is_empty(),
        "the other member is still running"
    );
    rig.report(
        &other.0,
        vec![],
        vec![end_report(1, other.1.key, RunOutcome::Stopped)],
    );
    rig.advance(200);
    let again = rig.take_starts();
    assert_eq!(again.len(), 2);
    assert_eq!(again[0].1.key.run, again[1].1.key.run);
    assert!(again[0].1.key.run > other.1.key.run);
}

fn the_end_of_one_member_ends_the_gang() {
    let mut rig = SchedulerRig::with_workers(&["w-1", "w-2"]);
    rig.hand_in(2, 0, gang_of(2));
    let starts = rig.take_starts();
    rig.advance(50);
    rig.report(
        &starts[0].0,
        vec![],
        vec![end_report(1, starts[0].1.key, RunOutcome::Done)],
    );
    let done = rig
        .commit_all()
        .into_iter()
        .flat_map(|batch| batch.progress);
    assert!(done.into_iter().any(|(_, row)| row.stage.is_final()));
}

/// Each repetition starts when it is due by wall clock time, not before.
fn repetitions_start_when_they_are_due() {
    let mut rig = SchedulerRig::with_workers(&["w-1"]);
    rig.advance(25);
    let first_due_ms = WALL_START_MS + rig.now + 1_000;
    rig.hand_in(
        3,
        0,
        JobSpec {
            repeat: Some(RepeatRule {
                count: 2,
                first_due_ms,
                interval_ms: 500,
            }),
            ..job(vec![step(1)])
        },
    );
    rig.advance(950);
    assert!(rig.peek_starts().is_empty(), "nothing is due yet");
    rig.advance(100);
    let repetitions: Vec<u32> = rig
        .take_starts()
        .iter()
        .map(|(_, call)| call.key.task.time)
        .collect();
    assert_eq!(repetitions, vec![0]);
    rig.advance(500);
    let repetitions: Vec<u32> = rig
        .take_starts()
        .iter()
        .map(|(_, call)| call.key.task.time)
        .collect();
    assert_eq!(repetitions, vec![1], "repetitions may overlap");
}

fn a_label_is_required() {
    let mut rig = SchedulerRig::with_workers(&["w-1"]);
    let labelled = |label: &str| StepSpec {
        label: Some(label.to_owned()),
        ..step(1)
    };
    rig.hand_in(1, 0, job(vec![labelled("b")]));
    rig.advance(200);
    assert!(rig.peek_starts().is_empty());
    rig.hand_in(2, 0, job(vec![labelled("a")]));
    assert_eq!(rig.take_starts().len(), 1);
}

fn tasks_per_worker_are_limited() {
    let mut rig = SchedulerRig::with_workers(&["w-1"]);
    let limited = StepSpec {
        most_per_worker: 2,
        ..step(3)
    };
    rig.hand_in(1, 0, job(vec![limited]));
    rig.advance(200);
    assert_eq!(rig.take_starts().len(), 2);
}

/// The run of an unanswered start is stopped, and the stop settled, before the task starts again.
fn an_unanswered_start_is_stopped_before_the_next() {
    let mut rig = SchedulerRig::with_workers(&["w-1", "w-2"]);
    rig.hand_in(1, 0, job(vec![step(1)]));
    let (worker, start) = rig.peek_starts().pop().expect("a start");
    rig.actions.clear();
    rig.start_answered(&worker, start.key, sandshelf_jobs::OrderAnswer::Unknown);
    assert_eq!(rig.stops(), vec![(worker.clone(), start.key)]);
    rig.advance(100);
    assert!(rig.peek_starts().is_empty(), "it may still be carried out");
    let clock = rig.now;
    rig.handle(sandshelf_jobs::JobEvent::StopAnswered(
        sandshelf_model::WorkerId::from(worker.as_str()),
        start.key,
        sandshelf_jobs::OrderAnswer::Done(clock),
    ));
    rig.advance(25);
    rig.report(&worker, vec![], vec![]);
    rig.advance(50);
    assert_eq!(rig.take_starts().len(), 1);
}

/// The end of a run is acknowledged only once it is durable.
fn an_end_is_acknowledged_after_its_write() {
    let mut rig = SchedulerRig::with_workers(&["w-1"]);
    rig.hand_in(1, 0, job(vec![step(1)]));
    let (_, start) = rig.take_starts().pop().expect("a start");
    rig.commit_all();
    rig.actions.clear();
    rig.report(
        "w-1",
        vec![],
        vec![end_report(1, start.key, RunOutcome::Done)],
    );
    rig.advance(400);
    assert!(
        last_seen(&rig).iter().all(|seen| *seen == 0),
        "the write is under way"
    );
    rig.actions
        .retain(|action| matches!(action, sandshelf_jobs::JobAction::Commit(_)));
    rig.commit_all();
    rig.report(
        "w-1",
        vec![],
        vec![end_report(1, start.key, RunOutcome::Done)],
    );
    rig.advance(400);
    assert_eq!(last_seen(&rig).last(), Some(&1));
}

fn last_seen(rig: &SchedulerRig) -> Vec<u64> {
    let renewals = rig.actions.iter().filter_map(|action| match action {
        sandshelf_jobs::JobAction::Call {
            call: sandshelf_jobs::WorkerCall::Renew(hold),
            ..
        } => Some(hold.last_seen),
        _ => None,
    });
    renewals.collect()
}

fn a_cancelled_jobs_tasks_are_stopped() {
    let mut rig = SchedulerRig::with_workers(&["w-1"]);
    rig.hand_in(1, 0, job(vec![step(1)]));
    let (worker, start) = rig.take_starts().pop().expect("a start");
    rig.handle(sandshelf_jobs::JobEvent::CancelAsked(start.key.task.job));
    assert_eq!(rig.stops(), vec![(worker, start.key)]);
}

fn a_standing_task_restarts_after_each_failure() {
    let mut rig = SchedulerRig::with_workers(&["w-1"]);
    let standing = StepSpec {
        standing: true,
        ..step(1)
    };
    rig.hand_in(1, 0, job(vec![standing]));
    for number in 1..6 {
        let (worker, start) = rig.take_starts().pop().expect("a start");
        rig.advance(25);
        rig.report(
            &worker,
            vec![],
            vec![end_report(number, start.key, RunOutcome::Failed)],
        );
        rig.advance(25);
    }
}

fn a_finished_job_is_forgotten_in_time() {
    let mut rig = SchedulerRig::with_workers(&["w-1"]);
    rig.hand_in(1, 0, job(vec![step(1)]));
    let (_, start) = rig.take_starts().pop().expect("a start");
    rig.advance(25);
    rig.report(
        "w-1",
        vec![],
        vec![end_report(1, start.key, RunOutcome::Done)],
    );
    let forgotten = |rig: &mut SchedulerRig| -> Vec<_> {
        let batches = rig.commit_all().into_iter();
        batches.flat_map(|batch| batch.forget).collect()
    };
    assert!(forgotten(&mut rig).is_empty());
    rig.advance(119_000);
    assert!(
        forgotten(&mut rig).is_empty(),
        "its state is asked for this long"
    );
    rig.advance(2_000);
    assert_eq!(forgotten(&mut rig), vec![task(1, 0, 0).job]);
}

/// When the numbers of waiting jobs change right after a write and no other write is due, a later write publishes them.
fn waiting_counts_are_published_late_rather_than_never() {
    let mut rig = SchedulerRig::new(TakeoverInfo::first(1, 1_000));
    let mut published = None;
    let mut write = |rig: &mut SchedulerRig| {
        while let Some(batch) = rig.take_commit() {
            published = batch.pending.or(published.take());
            rig.handle(sandshelf_jobs::JobEvent::Committed(batch.id));
        }
    };
    rig.advance(600);
    rig.hand_in(1, 0, job(vec![step(1)]));
    rig.advance(600);
    write(&mut rig);
    // A new worker is written at once; the next job arrives before another write is due.
    rig.list(&["w-1"]);
    write(&mut rig);
    rig.hand_in(2, 0, job(vec![step(1)]));
    for _ in 0..20 {
        rig.advance(100);
        write(&mut rig);
    }
    assert_eq!(
        published.and_then(|counts| counts.get(&lots()).copied()),
        Some(2)
    );
}

/// A worker that failed its tasks is tried again within seconds, even while standing tasks are running there.
fn a_worker_that_failed_is_tried_again_soon() {
    let mut rig = SchedulerRig::with_workers(&["w-1"]);
    let standing = StepSpec {
        standing: true,
        ..step(1)
    };
    rig.hand_in(50, 0, job(vec![standing]));
    let (_, running) = rig.take_starts().pop().expect("a start");
    for number in 1..4 {
        rig.hand_in(number, 0, job(vec![step(1)]));
        let (_, start) = rig.take_starts().pop().expect("a start");
        rig.advance(25);
        let failed = end_report(number, start.key, RunOutcome::Failed);
        rig.report("w-1", vec![run_report(running.key)], vec![failed]);
        rig.handle(sandshelf_jobs::JobEvent::CancelAsked(start.key.task.job));
    }
    rig.hand_in(9, 0, job(vec![step(1)]));
    rig.advance(1_000);
    assert!(
        rig.peek_starts().is_empty(),
        "the worker is quarantined for a while"
    );
    for _ in 0..4 {
        rig.report("w-1", vec![run_report(running.key)], vec![]);
        rig.advance(500);
    }
    assert_eq!(rig.take_starts().len(), 1);
}

/// A reported run of an unknown job is stopped.
fn an_unknown_run_is_stopped() {
    let mut rig = SchedulerRig::with_workers(&["w-1"]);
    rig.advance(16_000);
    let unknown = RunKey {
        task: task(50, 0, 0),
        run: 3,
    };
    rig.report("w-1", vec![run_report(unknown)], vec![]);
    assert_eq!(rig.stops(), vec![("w-1".to_owned(), unknown)]);
}

/// Tasks that fit no worker don't block others, whatever their number and however long they have waited.
fn tasks_that_fit_nowhere_block_no_others() {
    let mut rig = SchedulerRig::with_workers(&["w-1"]);
    let nowhere = StepSpec {
        label: Some("nowhere".to_owned()),
        ..step(50)
    };
    for number in 0..20 {
        rig.hand_in(100 + number, 0, job(vec![nowhere.clone()]));
    }
    for _ in 0..20 {
        rig.advance(100);
        rig.report("w-1", vec![], vec![]);
    }
    assert!(rig.take_starts().is_empty());
    rig.hand_in(7, 0, job(vec![step(1)]));
    let starts = rig.take_starts();
    assert_eq!(starts.len(), 1, "the job that fits starts at once");
}

/// A worker that leaves without notice keeps answering for a while. Tasks started there after it is missing from a list would be
/// lost with it.
fn workers_missing_from_lists_get_no_tasks() {
    let mut rig = SchedulerRig::with_workers(&["w-1", "w-2"]);
    let list = |rig: &mut SchedulerRig, names: &[&str], times: u32| {
        for _ in 0..times {
            rig.advance(700);
            rig.list(names);
            rig.report("w-1", vec![], vec![]);
            rig.report("w-2", vec![], vec![]);
        }
    };
    list(&mut rig, &["w-1", "w-2"], 5);
    list(&mut rig, &["w-1"], 1);
    rig.hand_in(1, 0, job(vec![step(4)]));
    let places: Vec<String> = rig.take_starts().into_iter().map(|start| start.0).collect();
    assert_eq!(places, ["w-1"; 4], "w-2 is about to leave");
}

/// Entries that expired during a store outage return within two seconds.
fn workers_missing_after_a_store_outage_get_tasks() {
    let mut rig = SchedulerRig::with_workers(&["w-1", "w-2"]);
    rig.advance(4_000);
    rig.list(&["w-1"]);
    rig.report("w-1", vec![], vec![]);
    rig.report("w-2", vec![], vec![]);
    rig.hand_in(1, 0, job(vec![step(4)]));
    let starts = rig.take_starts();
    assert!(starts.iter().any(|start| start.0 == "w-2"), "{starts:?}");
}

sandshelf_cases::cases! {
    omitted_by_lists => workers_missing_from_lists_get_no_tasks();
    omitted_after_outage => workers_missing_after_a_store_outage_get_tasks();
    fits_nowhere => tasks_that_fit_nowhere_block_no_others();
    gang_whole => a_gang_starts_together_or_not_at_all();
    gang_again => a_gang_that_loses_a_member_starts_again_whole();
    gang_done => the_end_of_one_member_ends_the_gang();
    repetitions => repetitions_start_when_they_are_due();
    label => a_label_is_required();
    tasks_per_worker => tasks_per_worker_are_limited();
    unanswered_start => an_unanswered_start_is_stopped_before_the_next();
    acknowledged_end => an_end_is_acknowledged_after_its_write();
    cancelled => a_cancelled_jobs_tasks_are_stopped();
    standing => a_standing_task_restarts_after_each_failure();
    forgotten => a_finished_job_is_forgotten_in_time();
    waiting_published => waiting_counts_are_published_late_rather_than_never();
    quarantine => a_worker_that_failed_is_tried_again_soon();
    unknown_run => an_unknown_run_is_stopped();
}
