//! A quarter of the workers is lost for good, and standing tasks wait beside short tasks of the same priority: new ones, or those of the
//! lost workers.

mod support;
mod task_fleet;

use sandshelf_jobs::{JobSpec, StepSpec};
use sandshelf_model::{LoadPolicies, LoadPolicy, Millis, ResourceSize};
use support::{job, step};
use task_fleet::{draw, TaskFleet, TICK_MS};

const WORKERS: usize = 48;
/// How long callers submit short jobs after the loss.
const TRAFFIC_MS: Millis = 20_000;
/// Four standing tasks fill four fifths of a worker.
const STANDING_JOBS: u64 = 12;
const STANDING_TASKS: u32 = 16;
/// The standing tasks on the workers that are left, three quarters of all.
const STANDING_LEFT: u64 = STANDING_JOBS * STANDING_TASKS as u64 * 3 / 4;
/// A short job has this many tasks, which run for a second each.
const SHORT_TASKS: u32 = 4;
/// The short jobs that end each second if the workers that are left start no further standing task: one task at a time on each.
const CAPACITY_JOBS_PER_S: f64 = 9.0;
/// The share of the short jobs that fit which has to end in time.
const MIN_IN_TIME_SHARE: f64 = 0.8;
/// How much more short jobs have to end in time than without the policy.
const MIN_GAIN: usize = 2;
/// A standing task has to start within this time where capacity for it exists twice over.
const STANDING_START_MS: Millis = 3_000;
/// The platform's rule counts from this time after the last run on.
const STANDING_NOTICE_MS: Millis = 6_000;
/// A standing task that has run has to be running again within this time of its last run.
const STANDING_AWAY_MS: Millis = 9_000;
/// The standing tasks that fit on the workers that are left, five on each.
const STANDING_CAPACITY: usize = WORKERS * 3 / 4 * 5;
/// When further standing jobs are submitted beside the short ones: at the time at which tasks of lost workers begin to wait.
const NEW_STANDING_MS: Millis = 6_200;
/// A lost worker's lease is over by then.
const LOSS_KNOWN_MS: Millis = 15_000;

fn standing_job(count: u32) -> JobSpec {
    let serving = StepSpec {
        standing: true,
        image: "serve-0".to_owned(),
        size: ResourceSize::new(3_200, 6_400, 0),
        ..step(count)
    };
    job(vec![serving])
}

fn short_job(count: u32, cpu_millis: u64) -> JobSpec {
    let short = StepSpec {
        size: ResourceSize::new(cpu_millis, 5_600, 0),
        ..step(count)
    };
    JobSpec {
        queue: "short".to_owned(),
        ..job(vec![short])
    }
}

fn policies(on: bool) -> LoadPolicies {
    let none = LoadPolicies::default();
    match on {
        true => none.with(LoadPolicy::FairOrder),
        false => none,
    }
}

#[derive(Debug)]
struct ShortageOutcome {
    submitted: usize,
    in_time: usize,
    /// The time that standing tasks were at work during the traffic, in task-seconds.
    standing_s: u64,
    /// The standing tasks at work [`STANDING_AWAY_MS`] after the traffic began.
    standing_again: usize,
    /// The longest time for which a standing task waited while two workers had room for one, in milliseconds.
    withheld_ms: Millis,
}

fn running_standing(fleet: &TaskFleet) -> usize {
    let jobs = 1..=STANDING_JOBS;
    jobs.map(|number| fleet.running_of(number)).sum()
}

/// Submits short jobs at this rate, and the standing jobs of these numbers once the short ones are under way.
fn play_traffic(
    fleet: &mut TaskFleet,
    jobs_per_s: f64,
    new_jobs: impl Iterator<Item = u64> + Clone,
) -> ShortageOutcome {
    fleet.standing_ms = 0;
    let (mut submitted, mut standing_again) = (0, 0);
    let (mut withheld_since, mut withheld_ms) = (None, 0);
    for tick in 0..TRAFFIC_MS / TICK_MS {
        if draw(tick, 7) < jobs_per_s * TICK_MS as f64 / 1_000.0 {
            submitted += 1;
            fleet.submit(1_000 + submitted, short_job(SHORT_TASKS, 2_800));
        }
        if tick * TICK_MS == NEW_STANDING_MS {
            for number in new_jobs.clone() {
                fleet.submit(number, standing_job(STANDING_TASKS));
            }
        }
        fleet.tick();
        let running = running_standing(fleet);
        let waits = running < STANDING_JOBS as usize * STANDING_TASKS as usize;
        let room = standing_job(1).steps[0].room();
        let withheld = waits && fleet.workers_with_room(&room) >= 2;
        withheld_since = withheld.then(|| withheld_since.unwrap_or(fleet.rig.now));
        if tick * TICK_MS >= STANDING_NOTICE_MS {
            let since = withheld_since.unwrap_or(fleet.rig.now);
            withheld_ms = withheld_ms.max(fleet.rig.now - since);
        }
        if (tick + 1) * TICK_MS == STANDING_AWAY_MS {
            standing_again = running;
        }
    }
    let standing_s = fleet.standing_ms / 1_000;
    fleet.run(10_000);
    let in_time = fleet.ended.values().filter(|end| end.is_in_time());
    ShortageOutcome {
        submitted: submitted as usize,
        in_time: in_time.count(),
        standing_s,
        standing_again,
        withheld_ms,
    }
}

fn lose_a_quarter(fleet: &mut TaskFleet) {
    for worker in (0..WORKERS).step_by(4) {
        fleet.lose(worker);
    }
}

/// The workers that are left hold as many standing tasks as after a loss, and the others are submitted beside the short jobs.
fn play_new_standing(jobs_per_s: f64, on: bool) -> ShortageOutcome {
    let mut fleet = TaskFleet::new(WORKERS, policies(on), false);
    lose_a_quarter(&mut fleet);
    fleet.run(LOSS_KNOWN_MS);
    let running = STANDING_JOBS * 3 / 4;
    for number in 1..=running {
        fleet.submit(number, standing_job(STANDING_TASKS));
    }
    fleet.run(8_000);
    assert_eq!(running_standing(&fleet) as u64, STANDING_LEFT);
    play_traffic(&mut fleet, jobs_per_s, running + 1..=STANDING_JOBS)
}

/// A quarter of the workers is lost with their standing tasks.
fn play_loss(jobs_per_s: f64, on: bool) -> ShortageOutcome {
    let mut fleet = TaskFleet::new(WORKERS, policies(on), false);
    for number in 1..=STANDING_JOBS {
        fleet.submit(number, standing_job(STANDING_TASKS));
    }
    fleet.run(8_000);
    lose_a_quarter(&mut fleet);
    play_traffic(&mut fleet, jobs_per_s, 0..0)
}

/// Guards against new standing tasks taking each processor that a short task frees, and against the oldest short jobs going first
/// until all are late.
fn short_jobs_end_in_time(jobs_per_s: f64) {
    let before = play_new_standing(jobs_per_s, false);
    let after = play_new_standing(jobs_per_s, true);
    println!("{jobs_per_s} a second, new, off: {before:?}, on: {after:?}");
    let capacity = CAPACITY_JOBS_PER_S * TRAFFIC_MS as f64 / 1_000.0;
    let possible = capacity.min(after.submitted as f64);
    assert!(after.in_time as f64 >= possible * MIN_IN_TIME_SHARE);
    assert!(after.in_time >= before.in_time * MIN_GAIN);
    assert!(after.standing_s >= STANDING_LEFT * TRAFFIC_MS / 1_000);
}

/// Guards against capacity that is withheld from standing tasks that have run: the platform counts them as lost.
fn standing_tasks_that_have_run_return(jobs_per_s: f64) {
    let before = play_loss(jobs_per_s, false);
    let after = play_loss(jobs_per_s, true);
    println!("{jobs_per_s} a second, have run, off: {before:?}, on: {after:?}");
    assert_eq!(after.standing_again, STANDING_CAPACITY);
    assert!(after.withheld_ms < STANDING_START_MS);
    assert!(after.in_time >= before.in_time);
}

/// Guards against withholding capacity from standing tasks that short tasks can't use: the waiting short tasks are too large for it.
fn standing_tasks_start_where_short_ones_do_not_fit() {
    let mut fleet = TaskFleet::new(8, policies(true), false);
    for number in 0..20 {
        fleet.submit(1_000 + number, short_job(8, 9_000));
    }
    fleet.run(2_000);
    fleet.submit(1, standing_job(4));
    fleet.run(STANDING_START_MS);
    assert_eq!(fleet.running_of(1), 4);
    assert!(fleet.ended.len() < 20, "short tasks no longer wait");
}

/// Guards against a delay of standing tasks where no short task waits.
fn standing_tasks_start_at_once_without_short_ones() {
    let mut fleet = TaskFleet::new(8, policies(true), false);
    fleet.run(2_000);
    fleet.submit(1, standing_job(40));
    fleet.run(200);
    assert_eq!(fleet.running_of(1), 40);
}

sandshelf_cases::cases! {
    new_beside_two_thirds_of_the_short_jobs_that_fit => short_jobs_end_in_time(6.0);
    new_beside_a_little_more_short_jobs_than_fit => short_jobs_end_in_time(10.0);
    new_beside_twice_the_short_jobs_that_fit => short_jobs_end_in_time(20.0);
    lost_beside_two_thirds_of_the_short_jobs_that_fit => standing_tasks_that_have_run_return(6.0);
    lost_beside_a_little_more_short_jobs_than_fit => standing_tasks_that_have_run_return(10.0);
    lost_beside_twice_the_short_jobs_that_fit => standing_tasks_that_have_run_return(20.0);
    capacity_twice_over => standing_tasks_start_where_short_ones_do_not_fit();
    no_short_tasks => standing_tasks_start_at_once_without_short_ones();
}
