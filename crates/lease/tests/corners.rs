//! The worst corners of ownership, one by one; the world checks after each step that no task runs twice.

mod support;

use sandshelf_cases::cases;
use sandshelf_config::UrgencyLevel;
use sandshelf_lease::{LeaseTimes, ShardEvent, ShardNote, TaskStage};
use sandshelf_model::{HostId, JobId, Millis, ResourceSize, ShardId, TaskId, WorkerId};
use support::faults::FaultRates;
use support::jobs::{checkpointed, job, once};
use support::world::{Cut, World, TIMES};

/// Longer than any run here.
const FOREVER_MS: Millis = 1_000_000;

fn task(job: &str, index: u32) -> TaskId {
    TaskId {
        job: JobId::from(job),
        index,
    }
}

fn only_shard(world: &World) -> ShardId {
    world.shard_ids()[0].clone()
}

/// Runs until the shard has an owner on which the task runs; returns the owner and the worker.
fn run_until_running(world: &mut World, wanted: &TaskId) -> (HostId, WorkerId) {
    let shard = only_shard(world);
    world
        .run_until_done(30_000, |world| {
            world.owner_of(&shard).is_some() && world.place_of(wanted).is_some()
        })
        .expect("the task starts");
    let owner = world.owner_of(&shard).expect("it was just there");
    let worker = world.place_of(wanted).expect("it was just there");
    (owner, worker)
}

fn other_hosts(world: &World, not: &HostId) -> Vec<HostId> {
    let hosts = world.host_ids();
    hosts.into_iter().filter(|host| host != not).collect()
}

fn is_claim(note: &ShardNote) -> bool {
    matches!(note, ShardNote::Claimed(_))
}

fn finish(world: &mut World, wanted: &TaskId) {
    let done = |world: &World| {
        let stages = world.stages(wanted);
        matches!(stages.as_slice(), [TaskStage::Finished(_)])
    };
    world
        .run_until_done(120_000, done)
        .expect("the task finishes once");
}

/// Leaves the owner the worker but not the store, and the other hosts the store but not the worker.
fn part_owner_and_worker(world: &mut World, old: &HostId, worker: &WorkerId) {
    world.cut(Cut::HostStore(old.clone()), FOREVER_MS);
    for new in other_hosts(world, old) {
        world.cut(Cut::HostWorker(new, worker.clone()), FOREVER_MS);
    }
}

/// The old owner has lost the store but still reaches the worker; the new one reaches the store but not the worker.
fn old_owner_reaches_the_worker(seed: u64) {
    let wanted = task("long", 0);
    let mut world = World::new(seed, 2, 1, vec![job("long", 1, 60_000)]);
    let (old, worker) = run_until_running(&mut world, &wanted);
    part_owner_and_worker(&mut world, &old, &worker);
    let cut_at = world.now;
    let moved = |world: &World| world.place_of(&wanted).is_some_and(|place| place != worker);
    world
        .run_until_done(60_000, moved)
        .expect("the task starts elsewhere");
    let waited = world.now - cut_at;
    let least = TIMES.shard_lease_ms + TIMES.silence_ms();
    assert!(
        waited >= least,
        "seed {seed}: it waited {waited} of {least} ms"
    );
    finish(&mut world, &wanted);
}

/// As above, but the new owner hands the shard on at once: the third has to wait as long as the second would have.
fn handing_on_keeps_the_wait(seed: u64) {
    let wanted = task("long", 0);
    let mut world = World::new(seed, 3, 1, vec![job("long", 1, 60_000)]);
    let shard = only_shard(&world);
    let (old, worker) = run_until_running(&mut world, &wanted);
    part_owner_and_worker(&mut world, &old, &worker);
    let claims = world.count_notes(is_claim);
    world
        .run_until_done(20_000, |world| world.count_notes(is_claim) > claims)
        .expect("another host claims the shard");
    let second = other_hosts(&world, &old)
        .into_iter()
        .find(|host| {
            world.owner(host, &shard).epoch() > 1 && world.owner(host, &shard).is_owner(world.now)
        })
        .expect("one of them owns it");
    world.feed(&second, &shard, ShardEvent::RankUpdated(None));
    world.feed(&second, &shard, ShardEvent::Release);
    world.run_until(world.now + 30_000);
    finish(&mut world, &wanted);
}

/// A worker that its owner can't reach: its task starts elsewhere only when its lease there is over.
fn unreachable_worker(seed: u64) {
    let wanted = task("long", 0);
    let mut world = World::new(seed, 1, 1, vec![job("long", 1, 30_000)]);
    let (_, worker) = run_until_running(&mut world, &wanted);
    world.cut(Cut::Worker(worker.clone()), FOREVER_MS);
    let cut_at = world.now;
    let moved = |world: &World| world.place_of(&wanted).is_some_and(|place| place != worker);
    world
        .run_until_done(60_000, moved)
        .expect("the task starts elsewhere");
    let waited = world.now - cut_at;
    assert!(
        waited >= TIMES.task_lease_ms - TIMES.order_interval_ms,
        "{waited}"
    );
    finish(&mut world, &wanted);
}

/// The owner is frozen past its lease with messages that it had decided to send, and thawed after a takeover.
fn frozen_between_check_and_send(seed: u64) {
    let wanted = task("long", 0);
    let mut world = World::new(
        seed,
        2,
        1,
        vec![job("long", 3, 20_000), job("next", 4, 2_000)],
    );
    let (old, _) = run_until_running(&mut world, &wanted);
    for step in 0..40 {
        world.run_steps(step);
        world.freeze(&old, TIMES.silence_ms() + 4_000 + 37 * step as Millis);
        world.run_until(world.now + TIMES.silence_ms() + 8_000);
    }
    finish(&mut world, &wanted);
}

/// Answers are lost after the writes took effect: the owner reads back and goes on, and nobody takes over.
fn lost_answers_lose_no_shard() {
    let mut world = World::new(7, 2, 1, vec![job("plain", 6, 1_000)]);
    run_until_running(&mut world, &task("plain", 0));
    let claims = world.count_notes(is_claim);
    world.rates = FaultRates {
        answer_lost: 400,
        ..FaultRates::CALM
    };
    world.run_until(world.now + 20_000);
    world.rates = FaultRates::CALM;
    for index in 0..6 {
        finish(&mut world, &task("plain", index));
    }
    assert_eq!(world.count_notes(is_claim), claims);
}

/// The answer to every single write is lost, for as long as the work takes: it is done all the same.
fn every_answer_lost(seed: u64) {
    let times = LeaseTimes::derive(800, 8_000, 60_000);
    let mut world = World::with_times(seed, 2, 2, vec![job("plain", 6, 300)], times);
    world.run_until(3_000);
    let claims = world.count_notes(is_claim);
    world.lose_commit_answers = true;
    world.configure(vec![job("plain", 6, 300), job("late", 6, 300)]);
    for index in 0..6 {
        finish(&mut world, &task("late", index));
    }
    assert_eq!(world.count_notes(is_claim), claims);
}

/// As above, and the owner is asked to release its shard meanwhile: it does, and the next owner does the work.
fn release_while_answers_are_lost(seed: u64) {
    let times = LeaseTimes::derive(800, 8_000, 60_000);
    let mut world = World::with_times(seed, 2, 1, vec![job("plain", 6, 300)], times);
    world.run_until(3_000);
    let shard = only_shard(&world);
    let owner = world.owner_of(&shard).expect("the shard has an owner");
    world.lose_commit_answers = true;
    world.run_until(5_000);
    world.feed(&owner, &shard, ShardEvent::RankUpdated(None));
    world.feed(&owner, &shard, ShardEvent::Release);
    world.configure(vec![job("plain", 6, 300), job("late", 6, 300)]);
    for index in 0..6 {
        finish(&mut world, &task("late", index));
    }
    assert_ne!(world.owner_of(&shard), Some(owner));
}

/// A successor that has heard of an older configuration than its predecessor took in cancels nothing.
fn successor_with_an_older_configuration() {
    let wanted = task("late", 0);
    let first = vec![job("plain", 1, 500)];
    let mut world = World::new(11, 2, 1, first.clone());
    let (old, _) = run_until_running(&mut world, &task("plain", 0));
    let mut second = first;
    second.push(job("late", 1, 30_000));
    let revision = world.declare(second);
    world.tell(&old, revision);
    world
        .run_until_done(20_000, |world| world.place_of(&wanted).is_some())
        .expect("the late job starts");
    world.kill(&old);
    world.run_until(world.now + 20_000);
    assert!(
        world.place_of(&wanted).is_some(),
        "the late job was stopped"
    );
    finish(&mut world, &wanted);
}

/// The owner dies after each step of an eviction: the task resumes from its checkpoint, in one place, and finishes once.
fn owner_dies_while_evicting(step: usize) {
    let wanted = task("long", 0);
    let mut world = World::new(13, 2, 1, vec![checkpointed("long", 1, 12_000)]);
    let shard = only_shard(&world);
    let (old, worker) = run_until_running(&mut world, &wanted);
    world.run_until(world.now + 4_000);
    world.drain_worker(&old, &shard, &worker);
    world.run_steps(step);
    world.kill(&old);
    let began = world.now;
    finish(&mut world, &wanted);
    let whole = 12_000 + TIMES.shard_lease_ms + TIMES.silence_ms() + 4_000;
    assert!(world.now - began < whole, "step {step}: it began anew");
    let book = world.durable(&shard);
    let cell = book.task_state(&wanted).expect("it is known");
    assert!(
        cell.evictions <= 1,
        "step {step}: evicted {} times",
        cell.evictions
    );
}

/// A cancellation meets an eviction and a finish at each step: in the end nothing of the job runs, and nothing is left.
fn cancel_races_evict_and_finish(step: usize) {
    let wanted = task("long", 0);
    let mut world = World::new(
        17,
        1,
        1,
        vec![checkpointed("long", 1, 3_000), job("other", 1, 500)],
    );
    let shard = only_shard(&world);
    let (owner, worker) = run_until_running(&mut world, &wanted);
    world.run_until(world.now + 2_300);
    world.drain_worker(&owner, &shard, &worker);
    let revision = world.declare(vec![job("other", 1, 500)]);
    world.run_steps(step);
    world.tell(&owner, revision);
    world.run_until(world.now + 15_000);
    assert_eq!(world.place_of(&wanted), None, "step {step}");
    assert!(world.stages(&wanted).is_empty(), "step {step}");
    finish(&mut world, &task("other", 0));
}

/// The platform lists a worker larger than it has come back: nothing is started there that it can't hold.
fn worker_smaller_than_listed() {
    let mut world = World::new(19, 1, 1, vec![job("plain", 20, 2_000)]);
    for worker in world.workers.keys().cloned().collect::<Vec<_>>() {
        world.replace_worker(&worker);
    }
    for worker in world.workers.values_mut() {
        worker.capacity = ResourceSize::new(2_000, 2_000, 0);
    }
    finish(&mut world, &task("plain", 19));
    let refused = world
        .notes
        .iter()
        .filter(|(_, _, note)| matches!(note, ShardNote::Evicted(_)));
    assert_eq!(refused.count(), 0);
}

/// What may run at most once is not started again when its worker is lost; its fate is told.
fn lost_worker_of_what_may_run_once() {
    let wanted = task("once", 0);
    let mut world = World::new(23, 1, 1, vec![once("once", 1, 30_000)]);
    let (_, worker) = run_until_running(&mut world, &wanted);
    world.cut(Cut::Worker(worker.clone()), FOREVER_MS);
    world.run_until(world.now + 20_000);
    assert_eq!(world.place_of(&wanted), None);
    assert!(matches!(world.stages(&wanted)[0], TaskStage::Placed(_)));
    world.replace_worker(&worker);
    world.run_until(world.now + 5_000);
    assert!(matches!(world.stages(&wanted)[0], TaskStage::Failed(_)));
    assert_eq!(world.place_of(&wanted), None);
}

/// A finish that a worker reported to an owner that died before it was recorded is recorded by the next, once.
fn finish_told_to_a_dead_owner(step: usize) {
    let wanted = task("plain", 0);
    let mut world = World::new(29, 2, 1, vec![once("plain", 1, 1_500)]);
    let (old, worker) = run_until_running(&mut world, &wanted);
    let ended = |world: &World| world.workers[&worker].running().count() == 0;
    world.run_until_done(10_000, ended).expect("the task ends");
    world.run_steps(step);
    world.kill(&old);
    finish(&mut world, &wanted);
    world.truth.count_starts(world.workers.values());
    assert_eq!(world.truth.starts[&wanted], 1, "step {step}");
}

/// The store is out: what runs goes on running as its first attempt, nothing runs twice, and what waits starts after.
fn store_out_for_long(out_ms: Millis) {
    let times = LeaseTimes::default();
    let long = out_ms + 5 * 60_000;
    let jobs = vec![job("long", 4, long), job("short", 4, 1_000)];
    let mut world = World::with_times(31, 3, 2, jobs.clone(), times);
    let running =
        |world: &World| (0..4).all(|index| world.place_of(&task("long", index)).is_some());
    world
        .run_until_done(30_000, running)
        .expect("the tasks start");
    let commits = world.store.table.commits;
    world.cut(Cut::Store, out_ms);
    let mut more = jobs;
    more.push(job("meanwhile", 8, 1_000));
    world.configure(more);
    world.run_until(world.now + out_ms);
    assert_eq!(world.store.table.commits, commits);
    let healed = world.now;
    world.run_until(world.now + 10_000);
    let writes = world.store.table.commits - commits;
    assert!(writes < 200, "{writes} writes within 10 s of recovery");
    for index in 0..4 {
        finish(&mut world, &task("short", index));
        finish(&mut world, &task("meanwhile", index));
    }
    assert!(
        world.now - healed < 30_000,
        "what waited took long to start"
    );
    world.run_until(world.now + 10 * 60_000);
    for index in 0..4 {
        finish(&mut world, &task("long", index));
    }
    world.truth.count_starts(world.workers.values());
    for index in 0..4 {
        assert_eq!(world.truth.starts[&task("long", index)], 1);
    }
}

/// The store is slow: no shard changes hands for it, and work goes on, more slowly.
fn store_slow_for_long(one_way_ms: Millis) {
    let times = LeaseTimes::default();
    let mut world = World::with_times(37, 3, 2, vec![job("long", 4, 60_000)], times);
    let running =
        |world: &World| (0..4).all(|index| world.place_of(&task("long", index)).is_some());
    world
        .run_until_done(30_000, running)
        .expect("the tasks start");
    let claims = world.count_notes(is_claim);
    world.store_delay = one_way_ms;
    world.run_until(world.now + 10_000);
    world.configure(vec![job("long", 4, 60_000), job("short", 8, 1_000)]);
    world.run_until(world.now + 30 * 60_000);
    for index in 0..4 {
        finish(&mut world, &task("long", index));
        finish(&mut world, &task("short", index));
    }
    assert_eq!(world.count_notes(is_claim), claims, "a shard changed hands");
}

/// A job is declared anew, urgent and with fewer tasks: those beyond are stopped, the others finish, and then nothing is written.
fn job_declared_anew() {
    let mut world = World::new(41, 1, 1, vec![job("plain", 30, 4_000)]);
    let (owner, _) = run_until_running(&mut world, &task("plain", 0));
    let shard = only_shard(&world);
    let mut changed = job("plain", 20, 4_000);
    changed.urgency = UrgencyLevel::Urgent;
    let revision = world.declare(vec![changed]);
    world.tell(&owner, revision);
    world.run_until(world.now + 30_000);
    for index in 0..20 {
        finish(&mut world, &task("plain", index));
    }
    for index in 20..30 {
        assert_eq!(world.place_of(&task("plain", index)), None);
        assert!(
            world.stages(&task("plain", index))[0].is_over(),
            "task {index}"
        );
    }
    assert_eq!(world.owner(&owner, &shard).waiting_count(), 0);
    let records = world.owner(&owner, &shard).counts().records;
    world.run_until(world.now + 10_000);
    assert_eq!(world.owner(&owner, &shard).counts().records, records);
}

fn for_seeds(seeds: u64, run: impl Fn(u64)) {
    (1..=seeds).for_each(run);
}

fn for_steps(steps: usize, run: impl Fn(usize)) {
    (0..steps).for_each(run);
}

cases! {
    old_owner_reaches_a_worker_that_the_new_one_does_not => for_seeds(6, old_owner_reaches_the_worker);
    release_carries_what_an_earlier_owner_left => for_seeds(6, handing_on_keeps_the_wait);
    worker_out_of_reach_keeps_its_lease => for_seeds(6, unreachable_worker);
    frozen_owner_thawed_after_a_takeover => for_seeds(3, frozen_between_check_and_send);
    lost_answers_are_read_back => lost_answers_lose_no_shard();
    every_answer_of_the_store_is_lost => for_seeds(20, every_answer_lost);
    release_while_every_answer_is_lost => for_seeds(20, release_while_answers_are_lost);
    older_configuration_at_a_successor => successor_with_an_older_configuration();
    eviction_survives_the_owner_at_each_step => for_steps(40, owner_dies_while_evicting);
    cancellation_beats_eviction_and_finish => for_steps(40, cancel_races_evict_and_finish);
    capacity_is_what_the_worker_says => worker_smaller_than_listed();
    at_most_once_survives_a_lost_worker => lost_worker_of_what_may_run_once();
    finish_survives_the_owner_at_each_step => for_steps(30, finish_told_to_a_dead_owner);
    job_may_be_declared_anew => job_declared_anew();
    store_slow_by_half_a_second => store_slow_for_long(250);
    store_slow_by_two_seconds => store_slow_for_long(1_000);
    store_out_for_thirty_minutes => store_out_for_long(30 * 60_000);
}
