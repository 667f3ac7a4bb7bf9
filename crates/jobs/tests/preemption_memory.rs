//! Filling tasks hold the memory that short tasks of priority 0 need: what callers get with and without preemption, and what a plan costs.

mod support;

use std::collections::BTreeMap;
use std::time::Instant;

use sandshelf_jobs::{JobEvent, RunReport, StepSpec, TakeoverInfo};
use sandshelf_model::{Millis, ResourceSize};
use support::standing_fleet::{
    filling_job, limits, short_job, standing_job, FleetCounts, FleetSetup, StandingFleet, TICK_MS,
};
use support::{job, listing, run_report, step, SchedulerRig};

const WORKERS: usize = 12;
/// The memory of a filling task and of a short task, in MiB. Five or eight filling tasks fill a worker.
const FILLING_MIB: u64 = 12_000;
const SHORT_MIB: u64 = 10_000;
/// How long filling tasks take at full pace.
const FILLING_MS: Millis = 30_000;
const TRAFFIC_MS: Millis = 15_000;
const JOBS_PER_S: f64 = 2.0;
/// The number of plans that are timed.
const TIMED_PLANS: u32 = 40;
/// The longest time that a plan may take on average on a shared test machine, in microseconds.
const MAX_PLAN_US: u128 = 5_000;

/// Plays short jobs on workers whose memory filling tasks hold. Returns the number of short jobs and what callers got.
fn play(seed: u64, preemption: bool) -> (usize, FleetCounts) {
    let mut fleet = StandingFleet::new(FleetSetup {
        workers: WORKERS,
        seed,
        preemption,
    });
    fleet.hand_in(standing_job(Some(0)));
    fleet.play(1_000);
    for _ in 0..40 {
        fleet.hand_in(filling_job(4, FILLING_MIB, FILLING_MS));
    }
    fleet.play(2_000);
    fleet.counts = FleetCounts::default();
    let until = fleet.now() + TRAFFIC_MS;
    let (mut due, mut jobs) = (0.0, 0);
    while fleet.now() < until {
        due += JOBS_PER_S * TICK_MS as f64 / 1_000.0;
        while due >= 1.0 {
            due -= 1.0;
            jobs += 1;
            let mut spec = short_job(3, 1);
            spec.steps[0].size.memory_mib = SHORT_MIB;
            fleet.hand_in(spec);
        }
        fleet.tick();
    }
    fleet.play(5_000);
    let FleetCounts {
        short_in_time,
        short_late,
        preempted,
        holds,
        ..
    } = &fleet.counts;
    println!(
        "seed {seed}, preemption {preemption}: of {jobs} short jobs {short_in_time} in time, {short_late} late; {} runs preempted; {holds:?}",
        preempted.len()
    );
    (jobs, fleet.counts)
}

/// Fails if short jobs wait for memory that filling tasks hold, or if a standing task is stopped for them.
fn short_jobs_get_memory(seed: u64) {
    let (_, without) = play(seed, false);
    let (jobs, with) = play(seed, true);
    assert!(with.short_in_time * 100 >= jobs * 90);
    assert!(with.short_in_time > without.short_in_time);
    let standing = |run: &sandshelf_jobs::RunKey| run.task.job.0 == 1;
    assert!(!with.preempted.iter().any(|(_, _, run)| standing(run)));
    assert_eq!(with.refused, 0);
}

/// A fleet of 490 workers with ten runs each that are all standing, and waiting short tasks of `sizes` sizes.
fn crowded(preemption: bool, sizes: u64) -> SchedulerRig {
    let mut rig = SchedulerRig::with_limits(limits(preemption), TakeoverInfo::first(1, 1_000));
    let names: Vec<String> = (1..=490).map(|number| format!("w-{number}")).collect();
    let entries = names.iter().map(|name| {
        let mut entry = listing(name);
        entry.capacity = ResourceSize::new(32_000, 125_000, 0);
        entry
    });
    rig.list_entries(entries.collect());
    rig.commit_all();
    for name in &names {
        rig.report(name, vec![], vec![]);
    }
    for number in 1..=350 {
        let standing = StepSpec {
            size: ResourceSize::new(3_200, 8_000, 0),
            standing: true,
            may_miss: Some(3),
            ..step(14)
        };
        rig.hand_in(number, 1, job(vec![standing]));
    }
    let mut runs: BTreeMap<String, Vec<RunReport>> = BTreeMap::new();
    while runs.values().map(Vec::len).sum::<usize>() < 4_900 {
        rig.advance(25);
        for (worker, start) in rig.take_starts() {
            let at_work = RunReport {
                percent: 100,
                ..run_report(start.key)
            };
            runs.entry(worker).or_default().push(at_work);
        }
        assert!(rig.now < 60_000, "not all standing tasks have started");
    }
    rig.advance(25);
    for (worker, running) in runs {
        rig.report(&worker, running, vec![]);
    }
    for number in 0..200 {
        let mut spec = short_job(10, 1);
        spec.steps[0].size.cpu_millis += number % sizes * 50;
        rig.hand_in(1_000 + number, 1, spec);
    }
    rig
}

/// The mean time of a tick with a pass, in microseconds. Each is played on a copy, so that all workers have been heard lately.
fn time_ticks(rig: &SchedulerRig) -> u128 {
    let mut total = 0;
    let now = rig.now + 200;
    for _ in 0..TIMED_PLANS {
        let mut scheduler = rig.scheduler.clone();
        let tick = JobEvent::Tick {
            wall_ms: 1_000_000 + now,
        };
        let began = Instant::now();
        let actions = scheduler.handle(now, tick);
        total += began.elapsed().as_micros();
        drop(actions);
    }
    total / u128::from(TIMED_PLANS)
}

/// Prints what a tick costs with and without a plan, on 490 workers with ten runs each and 2,000 waiting tasks.
fn a_plan_is_cheap(sizes: u64) {
    let without = time_ticks(&crowded(false, sizes));
    let with = time_ticks(&crowded(true, sizes));
    println!("{sizes} sizes: {without} us for a tick without plans, {with} us with a plan in each");
    assert!(with.saturating_sub(without) < MAX_PLAN_US);
}

sandshelf_cases::cases! {
    memory => short_jobs_get_memory(1);
    other_times => short_jobs_get_memory(2);
    cost_of_one_size => a_plan_is_cheap(1);
    cost_of_many_sizes => a_plan_is_cheap(40);
}
