//! The two runs of a task that has a copy: which end counts, what stops, and what a failure halfway leaves.

mod support;

use sandshelf_jobs::{
    JobAction, JobEvent, JobNote, JobNumber, JobStage, OrderAnswer, RunKey, RunOutcome,
    SchedulerLimits, StepSpec, StopCause,
};
use sandshelf_model::{ResourceSize, WorkerId};
use support::copying::{copied_job, copied_step, limits, run_at, CopyRig, WORKERS};
use support::{end_report, job, second_owner, step, task, SchedulerRig};

fn finished(rig: &CopyRig, wanted: JobStage) -> usize {
    rig.notes(|note| matches!(note, JobNote::JobFinished { state, .. } if *state == wanted))
}

fn stopped_as(rig: &CopyRig, key: RunKey, wanted: StopCause) -> bool {
    let stopped = |note: &JobNote| matches!(note, JobNote::Stopped { key: run, cause, .. } if *run == key && *cause == wanted);
    rig.notes(stopped) == 1
}

/// Guards against copies on the slow run's worker or on one that holds a sibling, where `most_per_worker` forbids it.
fn a_slow_run_gets_a_copy_elsewhere() {
    let mut rig = CopyRig::new(limits(), copied_job(3));
    rig.slow_first();
    let (worker, _) = rig.take_copy();
    assert!(rig.runs.iter().all(|(known, _)| *known != worker));
    assert_eq!(
        rig.notes(|note| matches!(note, JobNote::CopyStarted { .. })),
        1
    );
}

/// Guards against copies where they are not allowed: with the switch off, or for steps that don't allow them.
fn no_copy(limits: SchedulerLimits, copies_allowed: bool) {
    let spec = StepSpec {
        copies_allowed,
        ..copied_step()
    };
    let mut rig = CopyRig::new(limits, job(vec![spec]));
    rig.slow_first();
    rig.pass(4, &[]);
    assert!(rig.rig.take_starts().is_empty());
    assert!(rig.rig.stops().is_empty());
}

/// Guards against copies while all runs progress alike, however the estimate is wrong.
fn no_copy_of_an_even_step(percents: [[u32; 3]; 4]) {
    let mut rig = CopyRig::new(limits(), copied_job(3));
    for percents in percents {
        rig.rig.advance(250);
        rig.report(percents);
        rig.rig.advance(50);
    }
    assert!(rig.rig.take_starts().is_empty());
}

/// The first end `done` counts, and the other run is stopped until its end is listed.
fn the_first_end_counts(copy_wins: bool) {
    let (mut rig, worker, copy) = CopyRig::with_copy(3);
    let (slow_worker, slow) = rig.runs[0].clone();
    rig.pass(1, &[(&worker, run_at(copy, 30))]);
    let (winner, won_at, loser, lost_at) = match copy_wins {
        true => (copy, &worker, slow, &slow_worker),
        false => (slow, &slow_worker, copy, &worker),
    };
    rig.rig.actions.clear();
    let end = end_report(1, winner, RunOutcome::Done);
    rig.rig.report(won_at, vec![], vec![end]);
    assert_eq!(rig.rig.stops(), [(lost_at.clone(), loser)]);
    assert!(stopped_as(&rig, loser, StopCause::CopyLost));
    let decided = rig.notes(
        |note| matches!(note, JobNote::CopyDecided { copy_won, .. } if *copy_won == copy_wins),
    );
    assert_eq!(decided, 1);
    // The stop gets no answer: it is sent again.
    rig.rig.actions.clear();
    rig.rig.advance(700);
    assert_eq!(rig.rig.stops(), [(lost_at.clone(), loser)]);
    // The end of the loser changes nothing.
    rig.rig.actions.clear();
    let stopped = end_report(9, loser, RunOutcome::Stopped);
    rig.rig.report(lost_at, vec![], vec![stopped]);
    rig.rig.advance(100);
    assert!(rig.rig.take_starts().is_empty());
}

/// A failed run counts as an attempt and leaves the other run; the task starts again only after both have failed.
fn a_failure_leaves_the_other_run(copy_fails_first: bool) {
    let (mut rig, worker, copy) = CopyRig::with_copy(3);
    let (slow_worker, slow) = rig.runs[0].clone();
    rig.forget_slow();
    let (first, first_at, second, second_at) = match copy_fails_first {
        true => (copy, worker, slow, slow_worker),
        false => (slow, slow_worker, copy, worker),
    };
    rig.rig.actions.clear();
    let failed = end_report(1, first, RunOutcome::Failed);
    rig.rig.report(&first_at, vec![], vec![failed]);
    rig.rig.report(&second_at, vec![run_at(second, 50)], vec![]);
    rig.rig.advance(25);
    let starts = rig.rig.take_starts();
    assert!(starts.is_empty(), "the other run goes on: {starts:?}");
    assert!(rig.rig.stops().is_empty());
    let failed = end_report(2, second, RunOutcome::Failed);
    rig.rig.report(&second_at, vec![], vec![failed]);
    rig.rig.advance(100);
    let starts = rig.rig.take_starts();
    assert_eq!(starts.len(), 1, "the task starts again: {starts:?}");
    assert_eq!(starts[0].1.key.task, first.task);
}

/// With two attempts, the failures of both runs end the job. No copy uses up the last attempt.
fn attempts_are_counted() {
    let (mut rig, worker, copy) = CopyRig::with_copy(2);
    let (slow_worker, slow) = rig.runs[0].clone();
    let failed = end_report(1, copy, RunOutcome::Failed);
    rig.rig.report(&worker, vec![], vec![failed]);
    assert_eq!(finished(&rig, JobStage::Failed), 0);
    rig.pass(4, &[]);
    assert!(
        rig.rig.take_starts().is_empty(),
        "a copy could use up the attempts"
    );
    let failed = end_report(1, slow, RunOutcome::Failed);
    rig.rig.report(&slow_worker, vec![], vec![failed]);
    assert_eq!(finished(&rig, JobStage::Failed), 1);
}

/// Guards against a copy that could use up the only attempt of a task.
fn no_copy_with_one_attempt() {
    let mut rig = CopyRig::new(limits(), copied_job(1));
    rig.slow_first();
    assert!(rig.rig.take_starts().is_empty());
}

/// Guards against a third run, however slow the copy is as well.
fn never_a_third_run() {
    let (mut rig, worker, copy) = CopyRig::with_copy(3);
    for percent in 0..20 {
        rig.pass(1, &[(&worker, run_at(copy, percent / 4))]);
    }
    assert!(rig.rig.take_starts().is_empty());
}

/// A start order of a copy without an answer is settled like any start: it is stopped, and meanwhile no other copy starts. The slow
/// run goes on.
fn an_unanswered_copy_is_settled() {
    let mut rig = CopyRig::new(limits(), copied_job(3));
    rig.slow_first();
    let starts = rig.rig.peek_starts();
    let (worker, copy) = (starts[0].0.clone(), starts[0].1.key);
    rig.rig.actions.clear();
    rig.start_unanswered(&worker, copy);
    assert_eq!(rig.rig.stops(), [(worker.clone(), copy)]);
    rig.rig.actions.clear();
    rig.pass(4, &[]);
    assert!(rig.rig.peek_starts().is_empty(), "it may be running");
    rig.rig.actions.clear();
    rig.pass(4, &[]);
    let starts = rig.rig.take_starts();
    assert_eq!(starts.len(), 1, "the order has expired: {starts:?}");
    assert_eq!(starts[0].1.key.task, copy.task);
    assert!(starts[0].1.key.run > copy.run);
}

/// A refused start of a copy leaves the slow run.
fn a_refused_copy_is_dropped() {
    let mut rig = CopyRig::new(limits(), copied_job(3));
    rig.slow_first();
    let starts = rig.rig.peek_starts();
    let (worker, copy) = (starts[0].0.clone(), starts[0].1.key);
    rig.rig.actions.clear();
    rig.rig
        .start_answered(&worker, copy, OrderAnswer::Unhealthy);
    assert!(rig.rig.stops().is_empty());
    let done = end_report(1, rig.runs[0].1, RunOutcome::Done);
    let slow_worker = rig.runs[0].0.clone();
    rig.rig.report(&slow_worker, vec![], vec![done]);
    assert!(rig.rig.stops().is_empty());
}

/// A cancelled job's runs are all stopped, copies among them.
fn a_cancelled_job_stops_both_runs() {
    let (mut rig, worker, copy) = CopyRig::with_copy(3);
    rig.rig.handle(JobEvent::CancelAsked(JobNumber(7)));
    let stops = rig.rig.stops();
    assert_eq!(stops.len(), 4);
    assert!(stops.contains(&(worker, copy)));
    assert!(stops.contains(&rig.runs[0]));
}

/// A job that fails by another task stops both runs.
fn a_failed_job_stops_both_runs() {
    let (mut rig, worker, copy) = CopyRig::with_copy(2);
    let (sibling_worker, sibling) = rig.runs[1].clone();
    let failed = end_report(1, sibling, RunOutcome::Failed);
    rig.rig.report(&sibling_worker, vec![], vec![failed]);
    let again = rig.rig.take_starts().pop().expect("a start");
    rig.rig.actions.clear();
    rig.rig.advance(50);
    let failed = end_report(2, again.1.key, RunOutcome::Failed);
    rig.rig.report(&again.0, vec![], vec![failed]);
    let stops = rig.rig.stops();
    assert!(stops.contains(&(worker, copy)));
    assert!(stops.contains(&rig.runs[0]));
}

/// The worker of one run is lost: the other run goes on, and nothing is started.
fn a_lost_worker_leaves_the_other_run(copy_lost: bool) {
    let (mut rig, worker, copy) = CopyRig::with_copy(3);
    let (slow_worker, slow) = rig.runs[0].clone();
    let (lost, left_at, left) = match copy_lost {
        true => (worker, slow_worker, slow),
        false => (slow_worker, worker, copy),
    };
    rig.rig.actions.clear();
    let replaced = sandshelf_jobs::RenewalAnswer::Failed(OrderAnswer::Replaced);
    let lost = WorkerId::from(lost.as_str());
    rig.rig.handle(JobEvent::RenewalAnswered(lost, replaced));
    rig.rig.report(&left_at, vec![run_at(left, 60)], vec![]);
    rig.rig.advance(25);
    assert!(rig.rig.take_starts().is_empty());
    assert!(rig.rig.stops().is_empty());
    let failed = end_report(1, left, RunOutcome::Failed);
    rig.rig.report(&left_at, vec![], vec![failed]);
    // The task may have crashed the lost worker, which is written before it starts again.
    rig.rig.advance(300);
    let starts = rig.rig.take_starts();
    let again = starts.iter().filter(|start| start.1.key.task == left.task);
    assert_eq!(again.count(), 1);
}

/// Guards against copies that take capacity from tasks that wait. A large task waits that fits no worker at present; a copy may take
/// the capacity only if the task has a lower priority, or could not use the worker.
fn waiting_tasks_come_first(priority: u32, label: Option<&str>, copied: bool) {
    let mut rig = CopyRig::new(limits(), copied_job(3));
    let large = StepSpec {
        size: ResourceSize::new(12_000, 12_000, 0),
        label: label.map(str::to_owned),
        ..step(1)
    };
    let mut waiting = job(vec![large]);
    waiting.queue = "bulk".to_owned();
    waiting.rules.priority = priority;
    // The fourth worker holds a small task as well, so that the large one fits nowhere but a copy does.
    let small = StepSpec {
        size: ResourceSize::new(6_000, 6_000, 0),
        ..step(1)
    };
    rig.rig.hand_in(8, 0, job(vec![small]));
    let (worker, small) = rig.rig.take_starts().pop().expect("a start");
    assert_eq!(worker, "w-4");
    rig.rig.hand_in(9, 0, waiting);
    assert!(rig.rig.take_starts().is_empty());
    for percents in [[1, 20, 21], [2, 40, 41], [3, 60, 61]] {
        rig.rig.advance(200);
        rig.percents = percents.to_vec();
        rig.report_with(&[("w-4", run_at(small.key, 1))], &[]);
    }
    rig.rig.advance(50);
    assert_eq!(rig.rig.take_starts().len(), usize::from(copied));
}

/// The state that a second owner takes over: one task of a step that allows copies, with these limits.
fn successor(limits: SchedulerLimits, copies_allowed: bool) -> SchedulerRig {
    let mut rig = SchedulerRig::with_limits(limits, second_owner(&WORKERS));
    let spec = StepSpec {
        copies_allowed,
        ..step(1)
    };
    rig.hand_in(7, 50, job(vec![spec]));
    rig.list(&WORKERS);
    rig
}

fn old_run(run: u64) -> RunKey {
    RunKey {
        task: task(7, 0, 0),
        run,
    }
}

/// A takeover that finds two runs keeps both, in whatever order the workers answer, and stops a third.
fn a_new_owner_keeps_both_runs(order: [usize; 3]) {
    let mut rig = successor(limits(), true);
    for place in order {
        let run = old_run(11 + place as u64);
        rig.report(WORKERS[place], vec![run_at(run, 10)], vec![]);
    }
    let third = order[2];
    let third_run = old_run(11 + third as u64);
    assert_eq!(rig.stops(), [(WORKERS[third].to_owned(), third_run)]);
    rig.report("w-4", vec![], vec![]);
    rig.actions.clear();
    rig.advance(100);
    assert!(rig.take_starts().is_empty());
    // The end of one of the two stops the other one.
    let (winner, loser) = (order[1], order[0]);
    let done = end_report(1, old_run(11 + winner as u64), RunOutcome::Done);
    rig.actions.clear();
    rig.report(WORKERS[winner], vec![], vec![done]);
    let loser_run = old_run(11 + loser as u64);
    assert!(rig
        .stops()
        .contains(&(WORKERS[loser].to_owned(), loser_run)));
}

/// A takeover that finds two runs keeps one where copies are not allowed.
fn a_new_owner_keeps_one_run(limits: SchedulerLimits, copies_allowed: bool) {
    let mut rig = successor(limits, copies_allowed);
    rig.report("w-1", vec![run_at(old_run(11), 10)], vec![]);
    rig.report("w-2", vec![run_at(old_run(12), 10)], vec![]);
    assert_eq!(rig.stops(), [("w-2".to_owned(), old_run(12))]);
}

/// A takeover finds the end of one run and the other one running, in either order: the other one stays, and its later end settles
/// the task. Guards against taking a run for superseded because the later run has failed.
fn a_new_owner_finds_one_run(ended: u64, running: u64, end_first: bool, outcome: RunOutcome) {
    let mut rig = successor(limits(), true);
    let end = |rig: &mut SchedulerRig| {
        let end = end_report(1, old_run(ended), outcome);
        rig.report("w-1", vec![], vec![end]);
    };
    if end_first {
        end(&mut rig);
    }
    rig.report("w-2", vec![run_at(old_run(running), 10)], vec![]);
    if !end_first {
        end(&mut rig);
    }
    rig.report("w-3", vec![], vec![]);
    rig.report("w-4", vec![], vec![]);
    rig.advance(100);
    assert!(rig.stops().is_empty(), "{:?}", rig.stops());
    assert!(rig.take_starts().is_empty());
    let failed = end_report(1, old_run(running), RunOutcome::Failed);
    rig.report("w-2", vec![], vec![failed]);
    rig.advance(100);
    let starts = rig.take_starts();
    assert_eq!(starts.len(), 1, "the task starts again");
    assert!(starts[0].1.key.run > running);
}

/// A takeover finds the end `done` of one run: the other one is stopped, whichever is listed first.
fn a_new_owner_finds_the_winner(end_first: bool) {
    let mut rig = successor(limits(), true);
    let done = end_report(1, old_run(12), RunOutcome::Done);
    if end_first {
        rig.report("w-1", vec![], vec![done.clone()]);
    }
    rig.report("w-2", vec![run_at(old_run(11), 10)], vec![]);
    if !end_first {
        rig.report("w-1", vec![], vec![done]);
    }
    assert_eq!(rig.stops(), [("w-2".to_owned(), old_run(11))]);
    rig.report("w-3", vec![], vec![]);
    rig.report("w-4", vec![], vec![]);
    rig.advance(100);
    assert!(rig.take_starts().is_empty());
    let finished = rig.actions.iter();
    let finished = finished.filter(|action| {
        matches!(action, JobAction::Note(JobNote::JobFinished { state, .. }) if *state == JobStage::Completed)
    });
    assert_eq!(finished.count(), 1);
}

sandshelf_cases::cases! {
    elsewhere => a_slow_run_gets_a_copy_elsewhere();
    switch_off => no_copy(SchedulerLimits::default(), true);
    step_without_copies => no_copy(limits(), false);
    even_and_quick => no_copy_of_an_even_step([[25, 30, 28], [50, 60, 55], [75, 88, 84], [96, 98, 97]]);
    even_and_long => no_copy_of_an_even_step([[0, 0, 0], [0, 0, 1], [1, 0, 1], [1, 1, 2]]);
    somewhat_slower => no_copy_of_an_even_step([[20, 30, 28], [40, 60, 55], [60, 88, 84], [80, 98, 97]]);
    copy_ends_first => the_first_end_counts(true);
    slow_run_ends_first => the_first_end_counts(false);
    copy_fails => a_failure_leaves_the_other_run(true);
    slow_run_fails => a_failure_leaves_the_other_run(false);
    attempts => attempts_are_counted();
    one_attempt => no_copy_with_one_attempt();
    third_run => never_a_third_run();
    unanswered_start => an_unanswered_copy_is_settled();
    refused_start => a_refused_copy_is_dropped();
    cancelled => a_cancelled_job_stops_both_runs();
    failed_job => a_failed_job_stops_both_runs();
    copys_worker_lost => a_lost_worker_leaves_the_other_run(true);
    slow_worker_lost => a_lost_worker_leaves_the_other_run(false);
    same_priority_waits => waiting_tasks_come_first(0, None, false);
    lower_priority_waits => waiting_tasks_come_first(2, None, true);
    waits_for_other_workers => waiting_tasks_come_first(0, Some("nowhere"), true);
    taken_over => a_new_owner_keeps_both_runs([0, 1, 2]);
    taken_over_copy_first => a_new_owner_keeps_both_runs([1, 0, 2]);
    taken_over_later_first => a_new_owner_keeps_both_runs([2, 0, 1]);
    taken_over_without_switch => a_new_owner_keeps_one_run(SchedulerLimits::default(), true);
    taken_over_without_copies => a_new_owner_keeps_one_run(limits(), false);
    copy_had_failed => a_new_owner_finds_one_run(12, 11, true, RunOutcome::Failed);
    copy_had_failed_listed_late => a_new_owner_finds_one_run(12, 11, false, RunOutcome::Failed);
    slow_run_had_failed => a_new_owner_finds_one_run(11, 12, true, RunOutcome::Failed);
    slow_run_had_failed_listed_late => a_new_owner_finds_one_run(11, 12, false, RunOutcome::Failed);
    copy_had_lapsed => a_new_owner_finds_one_run(12, 11, true, RunOutcome::Lapsed);
    won_before_takeover => a_new_owner_finds_the_winner(true);
    won_and_listed_late => a_new_owner_finds_the_winner(false);
}
