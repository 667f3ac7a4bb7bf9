//! The kinds of work: gangs, times, labels, racks, limits a worker, and how long finished jobs are kept.

mod support;

use sandshelf_jobs::{JobSpec, RepeatRule, RunKey, RunOutcome, StepSpec, TakeoverInfo};
use sandshelf_model::ResourceSize;
use support::{ended, job, runs, step, task, SchedulerRig, WALL_START_MS};

fn gang_of(count: u32) -> JobSpec {
    job(vec![StepSpec {
        gang: true,
        size: ResourceSize::new(10_000, 1_000, 0),
        ..step(count)
    }])
}

/// Two workers hold one member each: a gang of three waits as a whole, one of two starts under one number.
fn a_gang_starts_together_or_not_at_all() {
    let mut rig = SchedulerRig::with_workers(&["w-1", "w-2"]);
    rig.hand_in(1, 0, gang_of(3));
    rig.pass(200);
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
    let (lost, left) = (&starts[0], &starts[1]);
    rig.pass(50);
    rig.report(
        &lost.0,
        vec![],
        vec![ended(1, lost.1.key, RunOutcome::Failed)],
    );
    assert!(rig.stops().contains(&(left.0.clone(), left.1.key)));
    rig.pass(100);
    assert!(
        rig.peek_starts().is_empty(),
        "the other member is still at work"
    );
    rig.report(
        &left.0,
        vec![],
        vec![ended(1, left.1.key, RunOutcome::Stopped)],
    );
    rig.pass(200);
    let again = rig.take_starts();
    assert_eq!(again.len(), 2);
    assert_eq!(again[0].1.key.run, again[1].1.key.run);
    assert!(again[0].1.key.run > left.1.key.run);
}

fn one_end_of_a_gang_stands_for_all() {
    let mut rig = SchedulerRig::with_workers(&["w-1", "w-2"]);
    rig.hand_in(2, 0, gang_of(2));
    let starts = rig.take_starts();
    rig.pass(50);
    rig.report(
        &starts[0].0,
        vec![],
        vec![ended(1, starts[0].1.key, RunOutcome::Done)],
    );
    let done = rig
        .commit_all()
        .into_iter()
        .flat_map(|batch| batch.progress);
    assert!(done.into_iter().any(|(_, row)| row.stage.is_final()));
}

/// Each time starts when it is due by the time of day, not before.
fn times_start_when_they_are_due() {
    let mut rig = SchedulerRig::with_workers(&["w-1"]);
    rig.pass(25);
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
    rig.pass(950);
    assert!(rig.peek_starts().is_empty(), "nothing is due yet");
    rig.pass(100);
    let times: Vec<u32> = rig
        .take_starts()
        .iter()
        .map(|(_, call)| call.key.task.time)
        .collect();
    assert_eq!(times, vec![0]);
    rig.pass(500);
    let times: Vec<u32> = rig
        .take_starts()
        .iter()
        .map(|(_, call)| call.key.task.time)
        .collect();
    assert_eq!(times, vec![1], "times may overlap");
}

fn a_label_is_required() {
    let mut rig = SchedulerRig::with_workers(&["w-1"]);
    let labelled = |label: &str| StepSpec {
        label: Some(label.to_owned()),
        ..step(1)
    };
    rig.hand_in(1, 0, job(vec![labelled("b")]));
    rig.pass(200);
    assert!(rig.peek_starts().is_empty());
    rig.hand_in(2, 0, job(vec![labelled("a")]));
    assert_eq!(rig.take_starts().len(), 1);
}

fn no_more_than_allowed_on_one_worker() {
    let mut rig = SchedulerRig::with_workers(&["w-1"]);
    let apart = StepSpec {
        most_per_worker: 2,
        ..step(3)
    };
    rig.hand_in(1, 0, job(vec![apart]));
    rig.pass(200);
    assert_eq!(rig.take_starts().len(), 2);
}

/// An order without an answer is settled by a stop before the task starts again.
fn an_unanswered_start_is_settled_first() {
    let mut rig = SchedulerRig::with_workers(&["w-1", "w-2"]);
    rig.hand_in(1, 0, job(vec![step(1)]));
    let (worker, start) = rig.peek_starts().pop().expect("a start");
    rig.actions.clear();
    rig.start_answered(&worker, start.key, sandshelf_jobs::OrderAnswer::Unknown);
    assert_eq!(rig.stops(), vec![(worker.clone(), start.key)]);
    rig.pass(100);
    assert!(rig.peek_starts().is_empty(), "it may still be carried out");
    let clock = rig.now;
    rig.tell(sandshelf_jobs::JobEvent::StopAnswered(
        sandshelf_model::WorkerId::from(worker.as_str()),
        start.key,
        sandshelf_jobs::OrderAnswer::Done(clock),
    ));
    rig.pass(25);
    rig.report(&worker, vec![], vec![]);
    rig.pass(50);
    assert_eq!(rig.take_starts().len(), 1);
}

/// An end is acknowledged only once it is durable.
fn an_end_is_acknowledged_after_its_write() {
    let mut rig = SchedulerRig::with_workers(&["w-1"]);
    rig.hand_in(1, 0, job(vec![step(1)]));
    let (_, start) = rig.take_starts().pop().expect("a start");
    rig.commit_all();
    rig.actions.clear();
    rig.report("w-1", vec![], vec![ended(1, start.key, RunOutcome::Done)]);
    rig.pass(400);
    assert!(
        last_seen(&rig).iter().all(|seen| *seen == 0),
        "the write is under way"
    );
    rig.actions
        .retain(|action| matches!(action, sandshelf_jobs::JobAction::Commit(_)));
    rig.commit_all();
    rig.report("w-1", vec![], vec![ended(1, start.key, RunOutcome::Done)]);
    rig.pass(400);
    assert_eq!(last_seen(&rig).last(), Some(&1));
}

fn last_seen(rig: &SchedulerRig) -> Vec<u64> {
    let holds = rig.actions.iter().filter_map(|action| match action {
        sandshelf_jobs::JobAction::Call {
            call: sandshelf_jobs::WorkerCall::Renew(hold),
            ..
        } => Some(hold.last_seen),
        _ => None,
    });
    holds.collect()
}

fn a_cancelled_jobs_tasks_are_stopped() {
    let mut rig = SchedulerRig::with_workers(&["w-1"]);
    rig.hand_in(1, 0, job(vec![step(1)]));
    let (worker, start) = rig.take_starts().pop().expect("a start");
    rig.tell(sandshelf_jobs::JobEvent::CancelAsked(start.key.task.job));
    assert_eq!(rig.stops(), vec![(worker, start.key)]);
}

fn a_standing_task_starts_again_however_it_ends() {
    let mut rig = SchedulerRig::with_workers(&["w-1"]);
    let standing = StepSpec {
        standing: true,
        ..step(1)
    };
    rig.hand_in(1, 0, job(vec![standing]));
    for number in 1..6 {
        let (worker, start) = rig.take_starts().pop().expect("a start");
        rig.pass(25);
        rig.report(
            &worker,
            vec![],
            vec![ended(number, start.key, RunOutcome::Failed)],
        );
        rig.pass(25);
    }
}

fn a_finished_job_is_forgotten_in_time() {
    let mut rig = SchedulerRig::with_workers(&["w-1"]);
    rig.hand_in(1, 0, job(vec![step(1)]));
    let (_, start) = rig.take_starts().pop().expect("a start");
    rig.pass(25);
    rig.report("w-1", vec![], vec![ended(1, start.key, RunOutcome::Done)]);
    let forgotten = |rig: &mut SchedulerRig| -> Vec<_> {
        let batches = rig.commit_all().into_iter();
        batches.flat_map(|batch| batch.forget).collect()
    };
    assert!(forgotten(&mut rig).is_empty());
    rig.pass(119_000);
    assert!(
        forgotten(&mut rig).is_empty(),
        "its state is asked for this long"
    );
    rig.pass(2_000);
    assert_eq!(forgotten(&mut rig), vec![task(1, 0, 0).job]);
}

/// Numbers of waiting jobs that change right after a write, when no other is due, are published by a later one.
fn waiting_jobs_are_published_late_rather_than_never() {
    let mut rig = SchedulerRig::new(TakeoverInfo::first(1, 1_000));
    let mut published = None;
    let mut write = |rig: &mut SchedulerRig| {
        while let Some(batch) = rig.take_commit() {
            published = batch.pending.or(published.take());
            rig.tell(sandshelf_jobs::JobEvent::Committed(batch.id));
        }
    };
    rig.pass(600);
    rig.hand_in(1, 0, job(vec![step(1)]));
    rig.pass(600);
    write(&mut rig);
    // A new worker is written down at once; the next job comes before another write is due.
    rig.list(&["w-1"]);
    write(&mut rig);
    rig.hand_in(2, 0, job(vec![step(1)]));
    for _ in 0..20 {
        rig.pass(100);
        write(&mut rig);
    }
    assert_eq!(
        published.and_then(|counts| counts.get("lots").copied()),
        Some(2)
    );
}

/// A worker that failed what it was given is tried again within seconds, also while standing tasks are at work there.
fn a_worker_that_failed_is_tried_again_soon() {
    let mut rig = SchedulerRig::with_workers(&["w-1"]);
    let standing = StepSpec {
        standing: true,
        ..step(1)
    };
    rig.hand_in(50, 0, job(vec![standing]));
    let (_, at_work) = rig.take_starts().pop().expect("a start");
    for number in 1..4 {
        rig.hand_in(number, 0, job(vec![step(1)]));
        let (_, start) = rig.take_starts().pop().expect("a start");
        rig.pass(25);
        let failed = ended(number, start.key, RunOutcome::Failed);
        rig.report("w-1", vec![runs(at_work.key)], vec![failed]);
        rig.tell(sandshelf_jobs::JobEvent::CancelAsked(start.key.task.job));
    }
    rig.hand_in(9, 0, job(vec![step(1)]));
    rig.pass(1_000);
    assert!(
        rig.peek_starts().is_empty(),
        "the worker is left alone for a while"
    );
    for _ in 0..4 {
        rig.report("w-1", vec![runs(at_work.key)], vec![]);
        rig.pass(500);
    }
    assert_eq!(rig.take_starts().len(), 1);
}

/// What a worker reports of a run twice, or of one that it was never asked for, starts nothing.
fn an_unknown_run_is_stopped() {
    let mut rig = SchedulerRig::with_workers(&["w-1"]);
    rig.pass(16_000);
    let unknown = RunKey {
        task: task(50, 0, 0),
        run: 3,
    };
    rig.report("w-1", vec![runs(unknown)], vec![]);
    assert_eq!(rig.stops(), vec![("w-1".to_owned(), unknown)]);
}

/// Tasks that fit no worker, however many and however long they have waited, hold up nobody.
fn what_fits_nowhere_holds_up_nobody() {
    let mut rig = SchedulerRig::with_workers(&["w-1"]);
    let nowhere = StepSpec {
        label: Some("nowhere".to_owned()),
        ..step(50)
    };
    for number in 0..20 {
        rig.hand_in(100 + number, 0, job(vec![nowhere.clone()]));
    }
    for _ in 0..20 {
        rig.pass(100);
        rig.report("w-1", vec![], vec![]);
    }
    assert!(rig.take_starts().is_empty());
    rig.hand_in(7, 0, job(vec![step(1)]));
    let starts = rig.take_starts();
    assert_eq!(starts.len(), 1, "the job that fits starts at once");
}

/// A worker that leaves without a word serves on for a while: what is started there then would die with it.
fn workers_that_lists_omit_get_nothing_new() {
    let mut rig = SchedulerRig::with_workers(&["w-1", "w-2"]);
    let list = |rig: &mut SchedulerRig, names: &[&str], times: u32| {
        for _ in 0..times {
            rig.pass(700);
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

/// Entries that lapsed while the store was away come back within two seconds.
fn lists_may_omit_workers_after_the_store_was_away() {
    let mut rig = SchedulerRig::with_workers(&["w-1", "w-2"]);
    rig.pass(4_000);
    rig.list(&["w-1"]);
    rig.report("w-1", vec![], vec![]);
    rig.report("w-2", vec![], vec![]);
    rig.hand_in(1, 0, job(vec![step(4)]));
    let starts = rig.take_starts();
    assert!(starts.iter().any(|start| start.0 == "w-2"), "{starts:?}");
}

sandshelf_cases::cases! {
    omitted_by_lists => workers_that_lists_omit_get_nothing_new();
    omitted_after_outage => lists_may_omit_workers_after_the_store_was_away();
    fits_nowhere => what_fits_nowhere_holds_up_nobody();
    gang_whole => a_gang_starts_together_or_not_at_all();
    gang_again => a_gang_that_loses_a_member_starts_again_whole();
    gang_done => one_end_of_a_gang_stands_for_all();
    times => times_start_when_they_are_due();
    label => a_label_is_required();
    limit_a_worker => no_more_than_allowed_on_one_worker();
    unanswered_start => an_unanswered_start_is_settled_first();
    acknowledged_end => an_end_is_acknowledged_after_its_write();
    cancelled => a_cancelled_jobs_tasks_are_stopped();
    standing => a_standing_task_starts_again_however_it_ends();
    forgotten => a_finished_job_is_forgotten_in_time();
    waiting_published => waiting_jobs_are_published_late_rather_than_never();
    quarantine => a_worker_that_failed_is_tried_again_soon();
    unknown_run => an_unknown_run_is_stopped();
}
