//! All workers restart at one moment, again and again, each time right after standing tasks have
//! begun on every one of them.
//!
//! Guards against sound tasks that are given up for a failure that took the whole fleet down. A
//! worker with a task that had just begun counted as explained by that task, and only unexplained
//! failures made a mass failure. Right after one mass failure every lost task has just begun, so
//! that the next one looked like a crash by each of them. The first workers of it that were heard of
//! again looked as if they had gone down alone, and a new owner counted each start that its
//! predecessor had written down as a crash by that task.

mod support;

use sandshelf_jobs::{JobStage, StepSpec, TaskKey};
use sandshelf_model::Millis;
use support::crashing::CrashingFleet;
use support::{job, step, task};

const WORKERS: u32 = 8;
/// The number of the standing job, which has one task for each worker.
const JOB: u64 = 50;
/// More crashes than any task is forgiven.
const MASS_RESTARTS: usize = 6;
/// How long after the tasks have begun all workers go down, in milliseconds.
const BEGUN_MS: Millis = 100;
/// The longest time that all tasks may take to run again, in milliseconds.
const RESTARTED_MS: Millis = 20_000;

fn standing_tasks() -> Vec<TaskKey> {
    (0..WORKERS).map(|index| task(JOB, 0, index)).collect()
}

/// Waits until all tasks run; the job must not be given up meanwhile.
fn wait_until_all_run(fleet: &mut CrashingFleet) {
    let until = fleet.now() + RESTARTED_MS;
    while fleet.now() < until {
        assert_ne!(fleet.stage(JOB), Some(JobStage::Failed), "given up");
        let tasks = standing_tasks();
        if tasks.iter().all(|task| fleet.place_of(task).is_some()) {
            return;
        }
        fleet.advance(25);
    }
    panic!("a sound task is away for too long");
}

/// All workers go down right after the tasks have begun, and restart `down_ms` later. With
/// `owners_die` the owner dies at the same moment, each time.
fn all_workers_restart(down_ms: Millis, owners_die: bool) {
    let mut fleet = CrashingFleet::restarting(WORKERS as usize, down_ms);
    let standing = StepSpec {
        standing: true,
        most_per_worker: 1,
        ..step(WORKERS)
    };
    fleet.hand_in(JOB, job(vec![standing]), &[]);
    for _ in 0..MASS_RESTARTS {
        wait_until_all_run(&mut fleet);
        fleet.advance(BEGUN_MS);
        fleet.crash_others(None, WORKERS as usize);
        if owners_die {
            fleet.replace_owner();
        }
    }
    wait_until_all_run(&mut fleet);
    fleet.advance(1_000);
    assert_eq!(fleet.stage(JOB), Some(JobStage::Running));
}

sandshelf_cases::cases! {
    back_at_once => all_workers_restart(50, false);
    back_soon => all_workers_restart(600, false);
    back_late => all_workers_restart(3_000, false);
    back_at_once_for_a_new_owner => all_workers_restart(50, true);
    back_soon_for_a_new_owner => all_workers_restart(600, true);
    back_late_for_a_new_owner => all_workers_restart(3_000, true);
}
