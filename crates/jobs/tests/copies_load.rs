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
const TRAFFIC_MS: Millis = 15_000;
/// Estimates are wrong by up to this factor either way.
const ESTIMATE_ERROR: f64 = 1.9;
const WORKERS: usize = 24;
/// The share of runs that take seven times as long.
const SLOW_SHARE: f64 = 0.03;
/// The most copies, in percent of the ordinary starts; the credit of a new owner makes up for one of the nine.
const MAX_COPIES_PERCENT: usize = 9;

fn limits(policies: &[LoadPolicy]) -> SchedulerLimits {
    let all = policies.iter().copied();
    SchedulerLimits {
        policies: all.fold(LoadPolicies::default(), LoadPolicies::with),
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
fn play(policies: &[LoadPolicy], load: f64, slow_share: f64, seed: u64) -> FleetCounts {
    let mut fleet = SlowFleet::new(WORKERS, limits(policies), seed);
    fleet.slow_share = slow_share;
    // A job takes ten core-tasks of 0.85 s, of which 3 in 100 take seven times as long.
    let job_core_ms = f64::from(TASKS) * 850.0 * (0.97 + 0.03 * 7.0);
    let interval_ms = job_core_ms / (WORKERS as f64 * 16.0 * load);
    let spec = |random: &mut ChaCha8Rng| {
        let error = ESTIMATE_ERROR.powf(random.random_range(-1.0..1.0));
        short_job((850.0 * error) as Millis)
    };
    let jobs = fleet.play(TRAFFIC_MS, interval_ms, spec, |_| {});
    let counts = fleet.counts;
    println!("{policies:?}, load {load}, slow {slow_share}, seed {seed}: {counts:?}");
    assert!(load > 1.0 || counts.in_time + counts.late == jobs);
    assert_eq!((counts.third_runs, counts.doubled), (0, 0));
    counts
}

/// The jobs in time over three seeds: without copies, with copies, and for an oracle that lets no straggler run.
fn in_time(policies: &[LoadPolicy], load: f64) -> [usize; 3] {
    let mut sums = [0; 3];
    for seed in 1..=3 {
        let without = play(&[], load, SLOW_SHARE, seed);
        let with = play(policies, load, SLOW_SHARE, seed);
        let oracle = play(&[], load, 0.0, seed);
        let share = with.copies * 100 / with.starts;
        assert!(share <= MAX_COPIES_PERCENT, "{share} % copies");
        for (sum, counts) in sums.iter_mut().zip([without, with, oracle]) {
            *sum += counts.in_time;
        }
    }
    println!("{policies:?}, load {load}: in time without copies, with copies, oracle: {sums:?}");
    sums
}

/// Copies save most of the steps that a straggler would make late.
fn copies_save_steps(load: f64) {
    let [without, with, oracle] = in_time(&[LoadPolicy::Copies], load);
    assert!(with * 10 >= oracle * 9);
    assert!(with - without >= (oracle - without) / 2);
}

/// While more is submitted than fits, copies take nothing from the tasks that wait.
fn copies_cost_nothing_in_an_overload(load: f64) {
    let [without, with, _] = in_time(&[LoadPolicy::Copies], load);
    assert!(with * 100 >= without * 98);
}

/// While more is submitted than fits, restarts of slow runs give back capacity.
fn restarts_help_in_an_overload(load: f64) {
    let both = [LoadPolicy::Copies, LoadPolicy::StuckRuns];
    let [without, with, _] = in_time(&both, load);
    assert!(with * 100 >= without * 110);
}

sandshelf_cases::cases! {
    mostly_idle => copies_save_steps(0.1);
    free_room => copies_save_steps(0.5);
    little_room => copies_save_steps(0.85);
    full => restarts_help_in_an_overload(1.0);
    overload => copies_cost_nothing_in_an_overload(1.5);
    overload_with_restarts => restarts_help_in_an_overload(1.5);
}
