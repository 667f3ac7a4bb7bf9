//! Filling jobs that are held back although processors are free.

mod support;
mod task_fleet;

use sandshelf_jobs::{JobSpec, StepSpec};
use sandshelf_model::{LoadPolicies, LoadPolicy, Millis, ResourceSize};
use support::{job, step};
use task_fleet::TaskFleet;

const WORKERS: usize = 24;
/// The number of the job that can't end in time even alone.
const WIDE: u64 = 50;
/// The number of the job that is late already.
const LATE: u64 = 60;
/// Readings and commitments are computed anew several times within this time.
const LATE_START_MS: Millis = 5_000;

/// A few placement passes and commitments computed anew.
const WIDE_START_MS: Millis = 1_000;

/// A filling job of which the objective is this multiple of its estimate.
fn filling_job(count: u32, estimate_ms: Millis, stretch: f64) -> JobSpec {
    let tasks = StepSpec {
        size: ResourceSize::new(500, 200, 0),
        fills: true,
        checkpoints: true,
        image: "fill-0".to_owned(),
        estimate_ms,
        ..step(count)
    };
    let mut spec = job(vec![tasks]);
    spec.queue = "fill".to_owned();
    spec.rules.priority = 2;
    spec.rules.stretch = stretch;
    spec.rules.target_latency_ms = 0;
    spec
}

/// A fleet with two fifths of its processors and memory free, and a job with one long task at work.
fn mostly_used_fleet() -> TaskFleet {
    let policies = LoadPolicies::default().with(LoadPolicy::FairOrder);
    let mut fleet = TaskFleet::new(WORKERS, policies, false);
    let standing = StepSpec {
        standing: true,
        image: "serve-0".to_owned(),
        size: ResourceSize::new(10_000, 40_000, 0),
        ..step(WORKERS as u32)
    };
    fleet.submit(1, job(vec![standing]));
    fleet.run(2_000);
    fleet.submit(2, filling_job(1, 60_000, 10.0));
    fleet.run(500);
    fleet
}

/// Guards against a job that can't end in time even alone holding back jobs whose objective has passed, for as long as it could in theory
/// meet its own.
fn late_jobs_begin_beside_a_job_that_never_fits() {
    let mut fleet = mostly_used_fleet();
    fleet.submit(WIDE, filling_job(8_000, 4_000, 5.0));
    fleet.run(500);
    fleet.submit(LATE, filling_job(2, 4_000, 0.9));
    fleet.run(LATE_START_MS);
    assert!(fleet.first_starts.contains_key(&LATE));
}

/// Guards against a job that is too wide to end within its span at full pace waiting for all others to end, although it could end in
/// time on the capacity that is free.
fn wide_jobs_begin_beside_others() {
    let mut fleet = mostly_used_fleet();
    fleet.submit(WIDE, filling_job(2_000, 4_000, 30.0));
    fleet.run(WIDE_START_MS);
    assert!(fleet.first_starts.contains_key(&WIDE));
}

sandshelf_cases::cases! {
    wide_beside_narrow => wide_jobs_begin_beside_others();
    late_beside_wide => late_jobs_begin_beside_a_job_that_never_fits();
}
