//! A stream of steps that wait for stragglers: how many end in time, with and without copies.

mod support;

use sandshelf_jobs::{JobSpec, QueueRules, SchedulerLimits, StepSpec};
use sandshelf_model::{LoadPolicies, LoadPolicy, Millis, ResourceSize};
use support::slow_fleet::{FleetCounts, SlowFleet};
use support::{job, rules, step};

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// The tasks of each step.
const TASKS: u32 = 10;
/// For how long jobs are submitted.
const TRAFFIC_MS: Millis = 30_000;
/// Estimates are wrong by up to this factor either way.
const ESTIMATE_ERROR: f64 = 1.9;
const WORKERS: usize = 24;

fn limits(copies: bool) -> SchedulerLimits {
    let policies = LoadPolicies::default();
    SchedulerLimits {
        policies: match copies {
            true => policies.with(LoadPolicy::Copies),
            false => policies,
        },
        stop_timeout_ms: 400,
        ..SchedulerLimits::default()
    }
}

fn short_job(estimate_ms: Millis) -> JobSpec {
    let step = StepSpec {
        copies_allowed: true,
        estimate_ms,
        size: ResourceSize::new(1_000, 1_000, 0),
        ..step(TASKS)
    };
    JobSpec {
        rules: QueueRules {
            stretch: 1.5,
            target_latency_ms: 300,
            ..rules()
        },
        ..job(vec![step])
    }
}

/// Plays jobs of one step each that use this share of the fleet.
fn play(copies: bool, load: f64, seed: u64) -> FleetCounts {
    let mut fleet = SlowFleet::new(WORKERS, limits(copies), seed);
    // A job takes ten core-tasks of 0.85 s, of which 3 in 100 take seven times as long.
    let job_core_ms = f64::from(TASKS) * 850.0 * (0.97 + 0.03 * 7.0);
    let interval_ms = job_core_ms / (WORKERS as f64 * 16.0 * load);
    let spec = |random: &mut ChaCha8Rng| {
        let error = ESTIMATE_ERROR.powf(random.random_range(-1.0..1.0));
        short_job((850.0 * error) as Millis)
    };
    let jobs = fleet.play(TRAFFIC_MS, interval_ms, spec, |_| {});
    let counts = fleet.counts;
    println!("copies {copies}, load {load}, seed {seed}: {counts:?}");
    assert_eq!(counts.in_time + counts.late, jobs);
    assert_eq!((counts.third_runs, counts.doubled), (0, 0));
    counts
}

fn copies_save_steps(load: f64, least_saved_share: f64) {
    let (mut without, mut with) = (0, 0);
    let mut late = 0;
    for seed in 1..=3 {
        let before = play(false, load, seed);
        let after = play(true, load, seed);
        without += before.in_time;
        late += before.late;
        with += after.in_time;
        assert!(after.copies * 10 <= after.starts, "too many copies");
    }
    let saved = with as f64 - without as f64;
    println!("load {load}: {without} in time without copies, {with} with, {late} late without");
    assert!(saved >= least_saved_share * late as f64);
}

sandshelf_cases::cases! {
    free_room => copies_save_steps(0.5, 0.65);
    little_room => copies_save_steps(0.85, 0.65);
    mostly_idle => copies_save_steps(0.1, 0.65);
}
