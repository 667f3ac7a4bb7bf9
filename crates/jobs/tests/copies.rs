//! The two runs of a task that has a copy: which end counts, what stops, and what a failure halfway leaves.

mod support;

use sandshelf_jobs::{
    JobEvent, JobNote, JobNumber, JobStage, OrderAnswer, RunKey, RunOutcome, RunReport,
    SchedulerLimits, StepSpec, StopCause, TakeoverInfo,
};
use sandshelf_model::{ResourceSize, WorkerId};
use support::copying::{copied_job, copied_step, limits, run_at, CopyRig, WORKERS};
use support::{end_report, job, listing, step, SchedulerRig};

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

/// Done siblings that wrote checkpoints count as samples, and a copy resumes from the slow run's newest checkpoint. Guards against taking
/// a run that wrote a checkpoint for one that resumed from it.
fn a_copy_resumes_from_a_checkpoint() {
    let mut rig = CopyRig::new(limits(), copied_job(3));
    let at = |key: RunKey, percent: u32| RunReport {
        checkpoint: Some(format!("{key} at {percent}")),
        ..run_at(key, percent)
    };
    let runs = rig.runs.clone();
    rig.rig.advance(300);
    for (worker, key) in &runs {
        rig.rig.report(worker, vec![at(*key, 3)], vec![]);
    }
    rig.rig.advance(600);
    for (worker, key) in &runs[1..] {
        let done = end_report(1, *key, RunOutcome::Done);
        rig.rig.report(worker, vec![], vec![done]);
    }
    let (slow_worker, slow) = &runs[0];
    rig.rig.report(slow_worker, vec![at(*slow, 9)], vec![]);
    rig.rig.report("w-4", vec![], vec![]);
    rig.rig.advance(100);
    let starts = rig.rig.take_starts();
    assert_eq!(starts.len(), 1);
    let checkpoint = starts[0].1.checkpoint.clone();
    assert_eq!(checkpoint, Some(format!("{slow} at 9")));
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
    rig.pass(2, &[]);
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

/// A run whose worker has fallen silent gets a copy before its lease is over, unless the run may have crashed the worker. Guards against
/// a task that crashes its workers being sent to another one while that is not known.
fn a_silent_worker(readings: usize, copied: bool) {
    let mut rig = CopyRig::new(limits(), copied_job(3));
    for number in 0..readings {
        rig.rig.advance(250);
        rig.report([20 + number as u32 * 20; 3]);
    }
    let silent = rig.runs[0].0.clone();
    let others: Vec<&str> = WORKERS.into_iter().filter(|name| *name != silent).collect();
    for _ in 0..10 {
        rig.rig.advance(250);
        rig.percents = rig
            .percents
            .iter()
            .map(|done| (done + 10).min(99))
            .collect();
        rig.report_from(&others, &[], &[]);
    }
    let started = rig.notes(|note| matches!(note, JobNote::CopyStarted { .. }));
    assert_eq!(started, usize::from(copied));
}

/// Guards against a copy on the rack of the slow run where another rack has room.
fn another_rack_is_preferred(racks: [&str; 5], expected: &str) {
    let mut rig = SchedulerRig::with_limits(limits(), TakeoverInfo::first(1, 1_000));
    let names = ["w-1", "w-2", "w-3", "w-4", "w-5"];
    let list = names.iter().zip(racks).map(|(name, rack)| {
        let mut entry = listing(name);
        entry.rack = Some(rack.to_owned());
        entry
    });
    rig.list_entries(list.collect());
    for name in names {
        rig.report(name, vec![], vec![]);
    }
    rig.hand_in(7, 0, copied_job(3));
    let starts = rig.take_starts();
    assert_eq!(starts[0].0, "w-1");
    for percent in [20, 40] {
        rig.advance(200);
        for (place, (worker, start)) in starts.iter().enumerate() {
            let percent = if place == 0 { percent / 10 } else { percent };
            rig.report(worker, vec![run_at(start.key, percent)], vec![]);
        }
        rig.report("w-4", vec![], vec![]);
        rig.report("w-5", vec![], vec![]);
    }
    rig.advance(100);
    let copies = rig.take_starts();
    assert_eq!(copies.len(), 1);
    assert_eq!(copies[0].0, expected);
}

/// The worker of a copy crashes right after the copy's start. The crash is noted, so that the task gets no further copy, until the slow
/// run has shown that the task crashes no workers.
fn a_crash_under_a_copy_is_noted() {
    let (mut rig, worker, _) = CopyRig::with_copy(4);
    let replaced = sandshelf_jobs::RenewalAnswer::Failed(OrderAnswer::Replaced);
    let lost = WorkerId::from(worker.as_str());
    rig.rig.handle(JobEvent::RenewalAnswered(lost, replaced));
    let noted = rig.notes(|note| matches!(note, JobNote::CrashNoted { .. }));
    assert_eq!(noted, 1);
    let names = ["w-1", "w-2", "w-3", "w-5"];
    rig.rig.list(&names);
    for _ in 0..3 {
        rig.rig.publish_workers();
    }
    rig.rig.report("w-5", vec![], vec![]);
    rig.rig.advance(100);
    assert!(rig.rig.take_starts().is_empty());
    let mut starts = Vec::new();
    while starts.is_empty() && rig.rig.now < 6_000 {
        rig.rig.advance(250);
        rig.percents = vec![5, 99, 99];
        rig.report_from(&names, &[], &[]);
        rig.rig.advance(50);
        starts = rig.rig.take_starts();
    }
    assert_eq!(starts.len(), 1, "the slow run is cleared");
    assert_eq!(finished(&rig, JobStage::Failed), 0);
}

sandshelf_cases::cases! {
    elsewhere => a_slow_run_gets_a_copy_elsewhere();
    checkpoints => a_copy_resumes_from_a_checkpoint();
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
    silent => a_silent_worker(3, true);
    silent_after_its_start => a_silent_worker(1, false);
    other_rack => another_rack_is_preferred(["a", "b", "c", "a", "d"], "w-5");
    only_rack => another_rack_is_preferred(["a", "a", "a", "a", "a"], "w-4");
    crash_under_copy => a_crash_under_a_copy_is_noted();
}
