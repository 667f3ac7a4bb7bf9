//! A quarter of the workers is permanently lost while a burst of short jobs comes, and standing tasks hold all that is left: what callers
//! get with and without preemption.

mod support;

use sandshelf_model::Millis;
use support::standing_fleet::{
    short_job, standing_job, FleetCounts, FleetSetup, StandingFleet, STANDING_COUNT, TICK_MS,
};

const WORKERS: usize = 48;
/// The number of standing steps, which hold four fifths of all processors.
const STANDING_STEPS: usize = 16;
/// For how long short jobs come after the loss.
const BURST_MS: Millis = 20_000;

/// Plays the loss and the burst. Returns the number of short jobs and what callers got.
fn play(setup: FleetSetup, may_miss: u32, jobs_per_s: f64) -> (usize, FleetCounts) {
    let mut fleet = StandingFleet::new(setup);
    for _ in 0..STANDING_STEPS {
        fleet.hand_in(standing_job(Some(may_miss)));
    }
    fleet.play(4_000);
    let all = STANDING_STEPS * STANDING_COUNT as usize;
    assert_eq!(fleet.standing_at_work(), all);
    fleet.counts = FleetCounts::default();
    fleet.lose_a_quarter();
    let until = fleet.now() + BURST_MS;
    let (mut due, mut jobs) = (0.0, 0);
    while fleet.now() < until {
        due += jobs_per_s * TICK_MS as f64 / 1_000.0;
        while due >= 1.0 {
            due -= 1.0;
            jobs += 1;
            let tasks = 1 + fleet.random_below(5) as u32;
            fleet.hand_in(short_job(tasks, 1));
        }
        fleet.tick();
    }
    fleet.play(8_000);
    println!(
        "{setup:?}: {jobs} short jobs, {} in time, {} late; standing {} s at work; {} runs preempted; holds {:?} with {} uses; {} refused, {} withheld",
        fleet.counts.short_in_time,
        fleet.counts.short_late,
        fleet.counts.standing_ms / 1_000,
        fleet.counts.preempted.len(),
        fleet.counts.holds,
        fleet.counts.hold_uses,
        fleet.counts.refused,
        fleet.counts.withheld,
    );
    (jobs, fleet.counts)
}

fn short_jobs_are_served(seed: u64, may_miss: u32, jobs_per_s: f64) {
    let setup = |preemption| FleetSetup {
        workers: WORKERS,
        seed,
        preemption,
    };
    let (_, without) = play(setup(false), may_miss, jobs_per_s);
    let (jobs, with) = play(setup(true), may_miss, jobs_per_s);
    assert!(with.short_in_time * 100 >= jobs * 90);
    assert!(with.short_in_time > without.short_in_time);
    assert!(with.standing_ms * 100 >= without.standing_ms * 90);
    assert_eq!((with.refused, with.withheld), (0, 0));
}

sandshelf_cases::cases! {
    few_short_jobs => short_jobs_are_served(1, 3, 2.0);
    many_short_jobs => short_jobs_are_served(2, 4, 6.0);
}
