//! What a new owner makes of the two runs of a task that has a copy: of both, of one, and of their ends.

mod support;

use sandshelf_jobs::{JobAction, JobNote, JobStage, RunKey, RunOutcome, SchedulerLimits, StepSpec};
use support::copying::{limits, run_at, WORKERS};
use support::{end_report, job, second_owner, step, task, SchedulerRig};

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
