//! A quarter of the workers is permanently lost while a burst of short jobs comes, and standing tasks hold all that is left: what callers
//! get with and without preemption.
//!
//! The fleet checks at each stop that its step may miss one more task.

mod support;

use std::collections::BTreeMap;

use sandshelf_jobs::TaskKey;
use sandshelf_model::Millis;
use support::standing_fleet::{
    short_job, standing_job, FleetCounts, FleetSetup, StandingFleet, STANDING_COUNT, TICK_MS,
};

const WORKERS: usize = 48;
/// The number of standing steps on these workers, which hold four fifths of all processors.
const STANDING_STEPS: usize = 16;
/// For how long short jobs come after the loss.
const BURST_MS: Millis = 20_000;
/// A task is not preempted again within this time.
const REPEAT_PAUSE_MS: Millis = 10_000;

/// The load that comes during the burst.
#[derive(Clone, Copy, Debug)]
struct BurstLoad {
    jobs_per_s: f64,
    /// The number of steps of each job; each has one to five tasks.
    steps: usize,
    may_miss: u32,
    /// The size of the fleet, in multiples of [`WORKERS`].
    scale: usize,
}

/// Plays the loss and the burst. Returns the number of short jobs and what callers got.
fn play(seed: u64, preemption: bool, load: BurstLoad) -> (usize, FleetCounts) {
    let mut fleet = StandingFleet::new(FleetSetup {
        workers: WORKERS * load.scale,
        seed,
        preemption,
    });
    for _ in 0..STANDING_STEPS * load.scale {
        fleet.hand_in(standing_job(Some(load.may_miss)));
    }
    fleet.play(4_000);
    let all = STANDING_STEPS * load.scale * STANDING_COUNT as usize;
    assert_eq!(fleet.standing_at_work(), all);
    fleet.counts = FleetCounts::default();
    fleet.lose_a_quarter();
    let until = fleet.now() + BURST_MS;
    let (mut due, mut jobs) = (0.0, 0);
    while fleet.now() < until {
        due += load.jobs_per_s * load.scale as f64 * TICK_MS as f64 / 1_000.0;
        while due >= 1.0 {
            due -= 1.0;
            jobs += 1;
            let tasks = 1 + fleet.random_below(5) as u32;
            fleet.hand_in(short_job(tasks, load.steps));
        }
        fleet.tick();
    }
    fleet.play(8_000);
    let FleetCounts {
        short_in_time,
        short_late,
        standing_ms,
        preempted,
        holds,
        hold_uses,
        withheld,
        ..
    } = &fleet.counts;
    println!(
        "seed {seed}, preemption {preemption}, {load:?}: of {jobs} short jobs {short_in_time} in time, {short_late} late; standing {} \
         task-seconds at work; {} runs preempted; holds {holds:?} with {hold_uses} uses; withheld for {withheld} ticks",
        standing_ms / 1_000,
        preempted.len(),
    );
    (jobs, fleet.counts)
}

/// Fails if short jobs are not served, if standing tasks lose more than a few of their task-seconds, if capacity is withheld from standing
/// tasks, or if a task is preempted again soon.
fn short_jobs_are_served(seed: u64, load: BurstLoad, in_time_percent: usize) {
    let (_, without) = play(seed, false, load);
    let (jobs, with) = play(seed, true, load);
    assert!(with.short_in_time * 100 >= jobs * in_time_percent);
    assert!(with.short_in_time + with.short_late > without.short_in_time + without.short_late);
    assert!(with.standing_ms * 100 >= without.standing_ms * 85);
    assert_eq!((with.refused, with.withheld), (0, 0));
    assert_eq!(without.preempted.len(), 0);
    let mut stopped: BTreeMap<TaskKey, Millis> = BTreeMap::new();
    for (at, _, run) in &with.preempted {
        let before = stopped.insert(run.task, *at);
        assert!(before.is_none_or(|before| *at >= before + REPEAT_PAUSE_MS));
    }
}

/// Plays the seeds that SANDSHELF_PREEMPTION_SEEDS names (`FROM:TO`); none by default.
fn seeds_by_hand() {
    let Ok(named) = std::env::var("SANDSHELF_PREEMPTION_SEEDS") else {
        return;
    };
    let (from, to) = named.split_once(':').expect("FROM:TO");
    let (from, to): (u64, u64) = (from.parse().expect("FROM"), to.parse().expect("TO"));
    for seed in from..to {
        for may_miss in [1, 2, 4] {
            for (jobs_per_s, steps) in [(2.0, 1), (6.0, 1), (14.0, 1), (3.0, 3), (6.0, 3)] {
                let load = BurstLoad {
                    jobs_per_s,
                    steps,
                    may_miss,
                    scale: 1,
                };
                short_jobs_are_served(seed, load, 0);
            }
        }
    }
}

fn load(jobs_per_s: f64, steps: usize, may_miss: u32, scale: usize) -> BurstLoad {
    BurstLoad {
        jobs_per_s,
        steps,
        may_miss,
        scale,
    }
}

sandshelf_cases::cases! {
    few_short_jobs => short_jobs_are_served(1, load(2.0, 1, 3, 1), 90);
    many_short_jobs => short_jobs_are_served(2, load(6.0, 1, 4, 1), 90);
    jobs_of_three_steps => short_jobs_are_served(3, load(3.0, 3, 4, 1), 90);
    little_may_be_missed => short_jobs_are_served(4, load(1.0, 1, 1, 1), 80);
    far_more_than_may_be_missed => short_jobs_are_served(5, load(14.0, 3, 3, 1), 0);
    ten_times_the_workers => short_jobs_are_served(6, load(5.0, 1, 3, 10), 85);
    by_hand => seeds_by_hand();
}
