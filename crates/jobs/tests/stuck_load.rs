//! Workers on which all tasks stall for 5 s, and slow runs of steps that allow no copies: what jobs get with and without restarts.

mod support;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use sandshelf_jobs::{JobSpec, QueueRules, RunKey, SchedulerLimits, StepSpec};
use sandshelf_model::{LoadPolicies, LoadPolicy, Millis, ResourceSize};
use support::slow_fleet::{FleetCounts, SlowFleet};
use support::{job, rules, step};

const TASKS: u32 = 10;
const TRAFFIC_MS: Millis = 30_000;
const WORKERS: usize = 24;
/// How long all tasks on a worker stall, and how often this begins on one of the workers.
const STALL_MS: Millis = 5_000;
const STALL_EVERY_MS: Millis = 1_000;
/// A stop takes up to 900 ms on the first deployment.
const STOP_MS: Millis = 900;

fn limits(policies: &[LoadPolicy]) -> SchedulerLimits {
    let all = policies.iter().copied();
    SchedulerLimits {
        policies: all.fold(LoadPolicies::default(), LoadPolicies::with),
        stop_timeout_ms: STOP_MS,
        ..SchedulerLimits::default()
    }
}

fn short_job(copies_allowed: bool) -> JobSpec {
    let step = StepSpec {
        copies_allowed,
        estimate_ms: 850,
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

/// The load that a fleet has to bear.
#[derive(Clone, Copy)]
struct FleetLoad {
    slow_share: f64,
    slow_again: bool,
    /// Whether workers stall.
    stalled: bool,
    copies_allowed: bool,
}

fn play(policies: &[LoadPolicy], load: FleetLoad, seed: u64) -> FleetCounts {
    let mut fleet = SlowFleet::new(WORKERS, limits(policies), seed);
    fleet.slow_share = load.slow_share;
    fleet.slow_again = load.slow_again;
    let work_ms = f64::from(TASKS) * 850.0 * (1.0 + load.slow_share * 6.0);
    let interval_ms = work_ms / (WORKERS as f64 * 16.0 * 0.4);
    let mut next = fleet.rig.now + 2_000;
    let stall = |fleet: &mut SlowFleet| {
        if load.stalled && fleet.rig.now >= next {
            next += STALL_EVERY_MS;
            let from = fleet.rig.now;
            let index = fleet.random.random_range(0..WORKERS);
            let worker = &mut fleet.workers[index];
            worker.stalls = (from, from + STALL_MS);
            worker.stop_ms = STOP_MS;
        }
    };
    let spec = |_: &mut ChaCha8Rng| short_job(load.copies_allowed);
    let jobs = fleet.play(TRAFFIC_MS, interval_ms, spec, stall);
    let counts = fleet.counts;
    println!("{policies:?}, seed {seed}: {counts:?}");
    assert_eq!(counts.in_time + counts.late, jobs);
    assert_eq!(
        (counts.third_runs, counts.doubled, counts.failed),
        (0, 0, 0)
    );
    counts
}

/// Sums over three seeds.
fn play_all(policies: &[LoadPolicy], load: FleetLoad) -> FleetCounts {
    let mut sum = FleetCounts::default();
    for seed in 1..=3 {
        let counts = play(policies, load, seed);
        sum.in_time += counts.in_time;
        sum.late += counts.late;
        sum.took_ms += counts.took_ms;
        sum.starts += counts.starts;
        sum.stuck += counts.stuck;
    }
    sum
}

const STALLED: FleetLoad = FleetLoad {
    slow_share: 0.0,
    slow_again: false,
    stalled: true,
    copies_allowed: false,
};
const SLOW_ONCE: FleetLoad = FleetLoad {
    slow_share: 0.03,
    stalled: false,
    ..STALLED
};
const SLOW_AGAIN: FleetLoad = FleetLoad {
    slow_again: true,
    ..SLOW_ONCE
};

/// The part takes at most this share, in percent, of the time that jobs take without it.
fn jobs_take_less(policies: &[LoadPolicy], load: FleetLoad, most_percent: u64) {
    let without = play_all(&[], load);
    let with = play_all(policies, load);
    println!("without {without:?}\nwith    {with:?}");
    assert!(with.took_ms * 100 <= without.took_ms * most_percent);
    assert!(with.in_time + with.in_time / 100 >= without.in_time);
}

/// Where the work itself is slow, restarts don't help, and soon end.
fn restarts_end_where_they_do_not_help() {
    jobs_take_less(&[LoadPolicy::StuckRuns], SLOW_AGAIN, 103);
    let with = play_all(&[LoadPolicy::StuckRuns], SLOW_AGAIN);
    assert!(with.stuck * 200 <= with.starts, "{} restarts", with.stuck);
}

/// The longest time that a task of a standing step was not at work while workers stalled, in milliseconds.
fn longest_away_ms(policies: &[LoadPolicy], may_miss: u32, seed: u64) -> Millis {
    let mut fleet = SlowFleet::new(WORKERS, limits(policies), seed);
    fleet.slow_share = 0.0;
    let standing = StepSpec {
        standing: true,
        may_miss: Some(may_miss),
        most_per_worker: 1,
        size: ResourceSize::new(4_000, 4_000, 0),
        ..step(TASKS)
    };
    fleet.hand_in(1, job(vec![standing]));
    fleet.run_for(3_000);
    let mut away_ms = vec![0; TASKS as usize];
    let mut longest = 0;
    let until = fleet.rig.now + TRAFFIC_MS;
    while fleet.rig.now < until {
        let now = fleet.rig.now;
        if now.is_multiple_of(6_000) {
            // Another task each time: a task is restarted twice at most in 30 s.
            let turn = (now / 6_000) as u32 % TASKS;
            let holds = |key: &RunKey| key.task.index == turn;
            let mut workers = fleet.workers.iter_mut();
            let worker = workers.find(|worker| worker.runs.keys().any(holds));
            let worker = worker.expect("a worker with this task");
            worker.stalls = (now, now + STALL_MS);
            worker.stop_ms = STOP_MS;
        }
        fleet.run_for(5);
        let now = fleet.rig.now;
        for worker in &fleet.workers {
            let stalled = (worker.stalls.0..worker.stalls.1).contains(&now);
            for key in worker.runs.keys().filter(|_| !stalled) {
                away_ms[key.task.index as usize] = 0;
            }
        }
        for away in &mut away_ms {
            *away += 5;
            longest = longest.max(*away);
        }
    }
    let counts = fleet.counts;
    println!("{policies:?}, seed {seed}: away for {longest} ms, {counts:?}");
    assert_eq!((counts.third_runs, counts.doubled), (0, 0));
    longest
}

/// A standing task counts as unavailable after 4.5 s. On a worker that is stalled for 5 s it returns before only if it is restarted,
/// which is allowed only within `may_miss`.
fn standing_tasks_return(may_miss: u32, in_time: bool) {
    for seed in 1..=3 {
        assert!(longest_away_ms(&[], may_miss, seed) >= STALL_MS);
        let away = longest_away_ms(&[LoadPolicy::StuckRuns], may_miss, seed);
        assert_eq!(away < 4_500, in_time);
    }
}

sandshelf_cases::cases! {
    standing_tasks => standing_tasks_return(1, true);
    standing_tasks_that_must_not_miss => standing_tasks_return(0, false);
    stalled => jobs_take_less(&[LoadPolicy::StuckRuns], STALLED, 80);
    stalled_with_copies => jobs_take_less(
        &[LoadPolicy::Copies, LoadPolicy::StuckRuns],
        FleetLoad { copies_allowed: true, ..STALLED },
        70
    );
    slow_once => jobs_take_less(&[LoadPolicy::StuckRuns], SLOW_ONCE, 80);
    slow_again => restarts_end_where_they_do_not_help();
}
