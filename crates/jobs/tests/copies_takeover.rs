//! Owners that die while copies run and stuck runs are being stopped: every job is completed, and no task has a run too many.

mod support;

use rand_chacha::ChaCha8Rng;
use sandshelf_jobs::{JobSpec, SchedulerLimits, StepSpec};
use sandshelf_model::{LoadPolicies, LoadPolicy, Millis, ResourceSize};
use support::slow_fleet::SlowFleet;
use support::{job, step};

const WORKERS: usize = 12;
const TRAFFIC_MS: Millis = 12_000;
/// The interval between two submissions: half of the fleet is used.
const SUBMIT_EVERY_MS: f64 = 120.0;

fn limits() -> SchedulerLimits {
    let policies = LoadPolicies::default().with(LoadPolicy::Copies);
    SchedulerLimits {
        policies: policies.with(LoadPolicy::StuckRuns),
        stop_timeout_ms: 400,
        ..SchedulerLimits::default()
    }
}

fn short_job(copies_allowed: bool) -> JobSpec {
    job(vec![StepSpec {
        copies_allowed,
        size: ResourceSize::new(1_000, 1_000, 0),
        ..step(10)
    }])
}

/// Owners die at this interval while one run in ten is slow and workers stall.
fn jobs_are_completed(owner_lives_ms: Millis, copies_allowed: bool, seed: u64) {
    let mut fleet = SlowFleet::new(WORKERS, limits(), seed);
    fleet.slow_share = 0.1;
    let mut dies_at = fleet.rig.now + owner_lives_ms;
    let mut stalls_at = fleet.rig.now + 1_500;
    let disturb = |fleet: &mut SlowFleet| {
        let now = fleet.rig.now;
        if now >= dies_at {
            dies_at += owner_lives_ms;
            fleet.replace_owner();
        }
        if now >= stalls_at {
            stalls_at += 2_000;
            let index = (now / 100) as usize % WORKERS;
            fleet.workers[index].stalls = (now, now + 5_000);
        }
    };
    let spec = |_: &mut ChaCha8Rng| short_job(copies_allowed);
    let jobs = fleet.play(TRAFFIC_MS, SUBMIT_EVERY_MS, spec, disturb);
    let (counts, completed) = (fleet.counts, fleet.completed.len());
    println!(
        "seed {seed}: {} copies, {} won, {} stuck, {} of {jobs} completed",
        counts.copies, counts.copies_won, counts.stuck, completed
    );
    assert_eq!(completed, jobs);
    assert_eq!(
        (
            counts.third_runs,
            counts.doubled,
            counts.late_starts,
            counts.failed
        ),
        (0, 0, 0, 0)
    );
    assert!(counts.copies + counts.stuck > 0);
}

sandshelf_cases::cases! {
    copies_one => jobs_are_completed(900, true, 1);
    copies_two => jobs_are_completed(1_300, true, 2);
    copies_three => jobs_are_completed(2_150, true, 3);
    copies_four => jobs_are_completed(610, true, 4);
    stuck_one => jobs_are_completed(900, false, 5);
    stuck_two => jobs_are_completed(1_300, false, 6);
    stuck_three => jobs_are_completed(2_150, false, 7);
}
