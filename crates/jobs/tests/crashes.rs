//! Tasks that crash the workers that start them.
//!
//! Guards against a crashing task that takes down one worker after another, and with each worker
//! all other runs on it. Such a task crashes its worker some milliseconds after its start. The
//! crashed worker reports no end of the run, and the worker that takes its place knows nothing of
//! it. When the owner saw the replacement it counted the run as lost and started the task at once
//! on the next worker, as if it were new. Only ends that a worker reports as failed counted as
//! attempts, so nothing limited the starts of a task whose worker could not report one. In the
//! owner's log the runs of such a task are numbered consecutively, one every 3.3 s, each as
//! `run_lost cause=replaced` on another worker and none as `task_ended`, all under one owner. It
//! went on for two minutes.

mod support;

use sandshelf_jobs::{JobStage, StepSpec, TaskKey};
use sandshelf_model::Millis;
use support::crashing::{CrashingFleet, REPLACED_AFTER_MS};
use support::{job, step, task};

/// How long after their start the crashing tasks crash their workers.
const CRASHES_AFTER_MS: Millis = 10;
/// How many more starts a task may get after it has crashed three workers.
const STARTS_AFTER_THREE: usize = 2;

/// Eight workers that are replaced when they crash.
fn replaced() -> CrashingFleet {
    CrashingFleet::new(8)
}

/// Eight workers that restart under their names when they crash.
fn restarting(after: Millis) -> CrashingFleet {
    CrashingFleet::restarting(8, after)
}

/// The size of a fleet with mass failures, and how many workers fail at once besides the one that
/// matters.
const FLEET_WORKERS: usize = 32;
const MASS_FAILURE_WORKERS: usize = 6;

/// Hands in a job of six tasks, the first of which crashes its workers; returns that task.
fn hand_in_crasher(fleet: &mut CrashingFleet, number: u64, after: Millis) -> TaskKey {
    let crasher = task(number, 0, 0);
    fleet.hand_in(number, job(vec![step(6)]), &[(crasher, after)]);
    crasher
}

/// Hands in ordinary jobs, four a second.
fn advance_with_traffic(fleet: &mut CrashingFleet, numbers: std::ops::Range<u64>) {
    for number in numbers {
        fleet.hand_in(number, job(vec![step(4)]), &[]);
        fleet.advance(250);
    }
}

fn assert_given_up(fleet: &CrashingFleet, crasher: &TaskKey) {
    let starts = fleet.starts_after_three(crasher);
    let seen = &fleet.starts[crasher];
    assert!(
        starts <= STARTS_AFTER_THREE,
        "started {starts} more times: {seen:?}"
    );
    assert_eq!(fleet.stage(crasher.job.0), Some(JobStage::Failed));
}

fn assert_done(fleet: &CrashingFleet, numbers: std::ops::Range<u64>) {
    for number in numbers {
        assert_eq!(
            fleet.stage(number),
            Some(JobStage::Completed),
            "job {number}"
        );
    }
}

/// One owner gives up a crashing task among ordinary ones.
fn one_owner_gives_up_a_crashing_task(mut fleet: CrashingFleet, after: Millis) {
    advance_with_traffic(&mut fleet, 100..110);
    let crasher = hand_in_crasher(&mut fleet, 7, after);
    advance_with_traffic(&mut fleet, 110..230);
    fleet.advance(6_000);
    assert_given_up(&fleet, &crasher);
    assert_done(&fleet, 100..230);
}

/// Each owner dies `dies_after` milliseconds after it has started the task. The next owner knows
/// which workers the task crashed before.
fn successive_owners_give_up_a_crashing_task(mut fleet: CrashingFleet, dies_after: Millis) {
    advance_with_traffic(&mut fleet, 100..110);
    let crasher = hand_in_crasher(&mut fleet, 7, CRASHES_AFTER_MS);
    for owner in 0..6 {
        let before = fleet.start_count(&crasher);
        let first = 110 + owner * 60;
        for number in first..first + 60 {
            advance_with_traffic(&mut fleet, number..number + 1);
            if fleet.start_count(&crasher) > before {
                break;
            }
        }
        fleet.advance(dies_after);
        fleet.replace_owner();
    }
    fleet.advance(30_000);
    assert_given_up(&fleet, &crasher);
}

/// A standing task that crashes its workers is given up; other standing tasks are not.
fn a_standing_crashing_task_is_given_up() {
    let mut fleet = CrashingFleet::new(8);
    let standing = StepSpec {
        standing: true,
        ..step(4)
    };
    fleet.hand_in(50, job(vec![standing.clone()]), &[]);
    let crasher = task(51, 0, 2);
    fleet.hand_in(51, job(vec![standing]), &[(crasher, CRASHES_AFTER_MS)]);
    advance_with_traffic(&mut fleet, 100..220);
    fleet.advance(6_000);
    assert_given_up(&fleet, &crasher);
    assert_eq!(fleet.stage(50), Some(JobStage::Running));
    assert_done(&fleet, 100..220);
}

/// Workers repeatedly crash on their own right after they started a sound task, but let it run for
/// a while in between. The task is never given up, since each run that is cleared clears the task.
fn a_task_that_is_cleared_in_between_is_never_given_up() {
    let mut fleet = CrashingFleet::new(8);
    let standing = StepSpec {
        standing: true,
        ..step(1)
    };
    fleet.hand_in(50, job(vec![standing]), &[]);
    let unlucky = task(50, 0, 0);
    for crash in 0..12 {
        let before = fleet.start_count(&unlucky);
        while fleet.start_count(&unlucky) == before || fleet.place_of(&unlucky).is_none() {
            fleet.advance(25);
        }
        // Two crashes right after the start, then one after the task has run for a while.
        let run_ms = if crash % 3 == 2 { 5_000 } else { 25 };
        fleet.advance(run_ms);
        let place = fleet.place_of(&unlucky).expect("the task runs");
        fleet.crash_worker(place);
        fleet.advance(25);
    }
    fleet.advance(10_000);
    assert_eq!(fleet.stage(50), Some(JobStage::Running));
    assert!(fleet.place_of(&unlucky).is_some());
}

/// A worker crashes on its own and still gets start orders until the owner notices. Those tasks
/// never ran there: they start elsewhere as usual, and none of several such crashes counts against
/// them.
fn orders_to_a_dead_worker_count_as_no_crashes() {
    let mut fleet = CrashingFleet::new(2);
    let mut number = 100;
    for _ in 0..8 {
        fleet.advance(4_000);
        // A task has just started on each worker, which could explain why a worker no longer
        // answers.
        for _ in 0..2 {
            fleet.hand_in(number, job(vec![step(2)]), &[]);
            number += 1;
        }
        fleet.advance(25);
        fleet.crash_worker(1);
        fleet.hand_in(number, job(vec![step(4)]), &[]);
        number += 1;
        fleet.advance(500);
    }
    fleet.advance(20_000);
    assert_done(&fleet, 100..number);
}

/// A sound task has just started each time that many workers fail at once. Whatever took down the
/// workers without new tasks took down its worker as well, so the task is never given up.
fn a_task_started_before_mass_failures_is_never_given_up(mut fleet: CrashingFleet) {
    let standing = StepSpec {
        standing: true,
        ..step(1)
    };
    fleet.hand_in(50, job(vec![standing]), &[]);
    let unlucky = task(50, 0, 0);
    for _ in 0..8 {
        let before = fleet.start_count(&unlucky);
        while fleet.start_count(&unlucky) == before || fleet.place_of(&unlucky).is_none() {
            fleet.advance(25);
            assert_ne!(fleet.stage(50), Some(JobStage::Failed), "given up");
        }
        fleet.advance(50);
        let place = fleet.place_of(&unlucky).expect("the task runs");
        fleet.crash_others(Some(place), MASS_FAILURE_WORKERS);
        fleet.crash_worker(place);
        fleet.advance(25);
    }
    fleet.advance(10_000);
    assert_eq!(fleet.stage(50), Some(JobStage::Running));
}

/// A task that crashes its workers is given up even if other workers fail on their own, sometimes
/// several at once.
fn a_crashing_task_amid_mass_failures_is_given_up(mut fleet: CrashingFleet) {
    let crasher = hand_in_crasher(&mut fleet, 7, CRASHES_AFTER_MS);
    for number in 100..180 {
        advance_with_traffic(&mut fleet, number..number + 1);
        if number % 20 == 13 {
            let busy = fleet.place_of(&crasher);
            fleet.crash_others(busy, MASS_FAILURE_WORKERS);
        }
    }
    fleet.advance(10_000);
    assert_given_up(&fleet, &crasher);
}

sandshelf_cases::cases! {
    cleared_in_between => a_task_that_is_cleared_in_between_is_never_given_up();
    orders_to_a_dead_worker => orders_to_a_dead_worker_count_as_no_crashes();
    started_before_mass_failures => a_task_started_before_mass_failures_is_never_given_up(CrashingFleet::new(FLEET_WORKERS));
    started_before_mass_failures_with_restarts => a_task_started_before_mass_failures_is_never_given_up(CrashingFleet::restarting(FLEET_WORKERS, 600));
    crashing_task_given_up_amid_mass_failures => a_crashing_task_amid_mass_failures_is_given_up(CrashingFleet::new(FLEET_WORKERS));
    crashing_task_given_up_amid_mass_failures_with_restarts => a_crashing_task_amid_mass_failures_is_given_up(CrashingFleet::restarting(FLEET_WORKERS, 600));
    crashing_task_given_up => one_owner_gives_up_a_crashing_task(replaced(), CRASHES_AFTER_MS);
    standing_crashing_task_given_up => a_standing_crashing_task_is_given_up();
    crashing_task_given_up_by_successors => successive_owners_give_up_a_crashing_task(replaced(), REPLACED_AFTER_MS + 1_000);
    crashing_task_given_up_by_owners_that_die_unaware => successive_owners_give_up_a_crashing_task(replaced(), 500);
    crashing_task_given_up_by_owners_that_notice_silence => successive_owners_give_up_a_crashing_task(replaced(), 2_000);
    crashing_task_given_up_late_after_its_start => one_owner_gives_up_a_crashing_task(replaced(), 400);
    crashing_task_given_up_seconds_after_its_start => one_owner_gives_up_a_crashing_task(replaced(), 900);
    crashing_task_given_up_on_workers_that_restart => one_owner_gives_up_a_crashing_task(restarting(600), CRASHES_AFTER_MS);
    crashing_task_given_up_on_workers_that_restart_late => one_owner_gives_up_a_crashing_task(restarting(6_000), CRASHES_AFTER_MS);
    crashing_task_given_up_late_on_workers_that_restart => one_owner_gives_up_a_crashing_task(restarting(600), 400);
    crashing_task_given_up_by_successors_on_workers_that_restart => successive_owners_give_up_a_crashing_task(restarting(600), 1_500);
    crashing_task_given_up_on_workers_that_restart_by_owners_that_die_unaware => successive_owners_give_up_a_crashing_task(restarting(600), 300);
    crashing_task_given_up_on_workers_that_restart_by_owners_that_notice_silence => successive_owners_give_up_a_crashing_task(restarting(3_300), 2_000);
}
