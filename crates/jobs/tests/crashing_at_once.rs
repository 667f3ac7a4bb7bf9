//! Many tasks that crash their workers begin at one moment, also on more than half of the fleet.
//!
//! Guards against tasks that are never given up because their crashes, which come together, look
//! like a failure of the fleet.

mod support;

use sandshelf_jobs::{JobStage, TaskKey};
use sandshelf_model::Millis;
use support::crashing::CrashingFleet;
use support::{job, step, task};

/// How long after their start the tasks usually crash their workers.
const CRASHES_AFTER_MS: Millis = 10;
/// How many more starts a task may get after it has crashed three workers.
const STARTS_AFTER_THREE: usize = 2;
/// Long enough for all tasks to be given up.
const DECIDED_MS: Millis = 60_000;

/// Jobs of one such task each are handed in at the same moment; all are given up.
fn all_are_given_up(mut fleet: CrashingFleet, crashers: u64, after: Millis) {
    let tasks: Vec<TaskKey> = (1..=crashers).map(|number| task(number, 0, 0)).collect();
    for task in &tasks {
        let crasher = (*task, after);
        fleet.hand_in(task.job.0, job(vec![step(1)]), &[crasher]);
    }
    fleet.advance(DECIDED_MS);
    for task in &tasks {
        let starts = fleet.starts_after_three(task);
        let seen = &fleet.starts[task];
        assert!(starts <= STARTS_AFTER_THREE, "{starts} more: {seen:?}");
        assert_eq!(fleet.stage(task.job.0), Some(JobStage::Failed));
    }
}

sandshelf_cases::cases! {
    two_on_eight => all_are_given_up(CrashingFleet::new(8), 2, CRASHES_AFTER_MS);
    six_on_eight => all_are_given_up(CrashingFleet::new(8), 6, CRASHES_AFTER_MS);
    eight_on_eight => all_are_given_up(CrashingFleet::new(8), 8, CRASHES_AFTER_MS);
    eight_on_sixteen => all_are_given_up(CrashingFleet::new(16), 8, CRASHES_AFTER_MS);
    ten_on_sixteen => all_are_given_up(CrashingFleet::new(16), 10, CRASHES_AFTER_MS);
    thirty_on_forty_eight => all_are_given_up(CrashingFleet::new(48), 30, CRASHES_AFTER_MS);
    ten_on_sixteen_late => all_are_given_up(CrashingFleet::new(16), 10, 400);
    ten_on_sixteen_later => all_are_given_up(CrashingFleet::new(16), 10, 900);
    thirty_on_forty_eight_late => all_are_given_up(CrashingFleet::new(48), 30, 400);
    six_on_eight_that_restart => all_are_given_up(CrashingFleet::restarting(8, 600), 6, CRASHES_AFTER_MS);
    ten_on_sixteen_that_restart => all_are_given_up(CrashingFleet::restarting(16, 600), 10, CRASHES_AFTER_MS);
    thirty_on_forty_eight_that_restart => all_are_given_up(CrashingFleet::restarting(48, 600), 30, CRASHES_AFTER_MS);
}
