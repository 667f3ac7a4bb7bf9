//! Large tasks beside many small ones: a worker is reserved for a large task that has waited for long.

mod support;
mod task_fleet;

use std::collections::BTreeMap;

use sandshelf_jobs::{JobNote, JobSpec, StepSpec};
use sandshelf_model::{LoadPolicies, LoadPolicy, Millis, ResourceSize, WorkerId};
use support::{job, step};
use task_fleet::{TaskFleet, TICK_MS};

const WORKERS: usize = 24;
const TRAFFIC_MS: Millis = 20_000;
/// A small job every this many milliseconds, of eight tasks of 2 cores for a second: slightly more than fits.
const SMALL_INTERVAL_MS: Millis = 40;
/// A large job every second, of one task of 12 cores for a second.
const LARGE_INTERVAL_MS: Millis = 1_000;
/// The first number of the large jobs.
const LARGE: u64 = 50_000;
/// At most this many workers may be reserved at a time: two, and one of 16 in a larger fleet.
const MAX_RESERVED: usize = 2;
/// For how long a reserved worker with room for its task may stay unused: two placement passes and the reports between.
const MAX_UNUSED_MS: Millis = 300;

fn job_of(queue: &str, count: u32, cpu_millis: u64) -> JobSpec {
    let tasks = StepSpec {
        size: ResourceSize::new(cpu_millis, 2_000, 0),
        ..step(count)
    };
    JobSpec {
        queue: queue.to_owned(),
        ..job(vec![tasks])
    }
}

fn policies(on: bool) -> LoadPolicies {
    let none = LoadPolicies::default();
    match on {
        true => none.with(LoadPolicy::Reservations),
        false => none,
    }
}

/// The numbers of large and of small jobs that have ended.
fn play(on: bool) -> (usize, usize) {
    let mut fleet = TaskFleet::new(WORKERS, policies(on), false);
    let (mut small, mut large) = (0, 0);
    for tick in 0..TRAFFIC_MS / TICK_MS {
        let at = tick * TICK_MS;
        while small * SMALL_INTERVAL_MS <= at {
            fleet.submit(1_000 + small, job_of("small", 8, 2_000));
            small += 1;
        }
        while large * LARGE_INTERVAL_MS <= at {
            fleet.submit(LARGE + large, job_of("large", 1, 12_000));
            large += 1;
        }
        fleet.tick();
        assert!(fleet.rig.scheduler.counts(fleet.rig.now).reserved_workers <= MAX_RESERVED);
    }
    let ended_large = fleet.ended.range(LARGE..).count();
    (ended_large, fleet.ended.len() - ended_large)
}

/// Guards against small tasks taking each processor that becomes free, so that a large task never finds enough on one worker.
fn large_tasks_find_capacity() {
    let (before, after) = (play(false), play(true));
    println!("large and small jobs ended, off: {before:?}, on: {after:?}");
    assert!(after.0 > before.0);
    assert!(after.1 * 100 >= before.1 * 85, "small jobs lose too much");
}

/// Guards against a reservation that outlives its worker: the task gets another one.
fn a_reservation_moves_when_its_worker_dies() {
    let mut fleet = TaskFleet::new(4, policies(true), false);
    for number in 0..400 {
        fleet.submit(1_000 + number, job_of("small", 8, 2_000));
    }
    fleet.run(1_000);
    fleet.submit(LARGE, job_of("large", 1, 16_000));
    let mut reserved = Vec::new();
    for _ in 0..400 {
        fleet.tick();
        let notes = std::mem::take(&mut fleet.notes);
        for note in notes {
            if let JobNote::WorkerReserved { worker, .. } = note {
                if reserved.is_empty() {
                    let number = worker.as_str().trim_start_matches("w-");
                    fleet.lose(number.parse::<usize>().expect("a worker's number") - 1);
                }
                reserved.push(worker);
            }
        }
    }
    assert!(reserved.iter().any(|worker| *worker != reserved[0]));
}

/// Guards against small tasks spreading over large workers while small ones are free and large tasks come now and then.
fn small_tasks_leave_large_workers() {
    let mut fleet = TaskFleet::new(6, policies(true), true);
    fleet.submit(LARGE - 1, job_of("large", 1, 20_000));
    fleet.run(2_000);
    fleet.submit(1_000, job_of("small", 20, 2_000));
    fleet.run(200);
    fleet.submit(LARGE, job_of("large", 2, 20_000));
    fleet.run(200);
    assert_eq!(fleet.running_of(LARGE), 2);
}

/// Guards against other tasks that fail to start in a pass, or other tasks of the same step, ruling out the task that a worker is
/// reserved for: the worker would stay unused until the reservation ends.
fn reserved_tasks_start_once_there_is_room(tasks: u32) {
    let mut fleet = TaskFleet::new(WORKERS, policies(true), false);
    let room = ResourceSize::new(12_000, 2_000, 0);
    let mut reserved: BTreeMap<WorkerId, Millis> = BTreeMap::new();
    let (mut longest, mut made) = (0, 0);
    for tick in 0..TRAFFIC_MS / TICK_MS {
        let at = tick * TICK_MS;
        if at.is_multiple_of(SMALL_INTERVAL_MS / 2 * 5) {
            for number in 0..3 {
                fleet.submit(1_000 + tick * 3 + number, job_of("small", 8, 2_000));
            }
        }
        if at.is_multiple_of(LARGE_INTERVAL_MS) {
            fleet.submit(LARGE + tick, job_of("large", tasks, 12_000));
        }
        fleet.tick();
        for note in std::mem::take(&mut fleet.notes) {
            match note {
                JobNote::WorkerReserved { worker, .. } => {
                    made += 1;
                    reserved.insert(worker, fleet.rig.now);
                }
                JobNote::ReservationEnded { worker, .. } => {
                    reserved.remove(&worker);
                }
                _ => {}
            }
        }
        for (worker, since) in &mut reserved {
            if !fleet.has_room_on(worker, &room) {
                *since = fleet.rig.now;
            }
            longest = longest.max(fleet.rig.now - *since);
        }
    }
    println!("{tasks} tasks: {made} reservations, unused for {longest} ms at most");
    assert!(made > 0);
    assert!(longest <= MAX_UNUSED_MS);
}

sandshelf_cases::cases! {
    reserved_single_tasks => reserved_tasks_start_once_there_is_room(1);
    reserved_tasks_of_one_step => reserved_tasks_start_once_there_is_room(3);
    large_beside_small => large_tasks_find_capacity();
    worker_lost => a_reservation_moves_when_its_worker_dies();
    large_workers_stay_free => small_tasks_leave_large_workers();
}
