//! Edge cases of shard ownership, one per test; the simulation checks throughout that no task runs on two workers.

mod support;

use sandshelf_cases::cases;
use sandshelf_config::UrgencyLevel;
use sandshelf_lease::{LeaseTimes, ShardEvent, ShardNote, TaskStage};
use sandshelf_model::{HostId, JobId, Millis, ResourceSize, ShardId, TaskId, WorkerId};
use support::cluster::{NetworkPartition, SimulatedCluster, TIMES};
use support::faults::FaultRates;
use support::jobs::{at_most_once_job, checkpointable_job, job};

/// The duration of a partition that lasts until the end of a run, in milliseconds.
const FOREVER_MS: Millis = 1_000_000;

fn task(job: &str, index: u32) -> TaskId {
    TaskId {
        job: JobId::from(job),
        index,
    }
}

fn only_shard(cluster: &SimulatedCluster) -> ShardId {
    cluster.shard_ids()[0].clone()
}

/// Runs until the shard has an owner and the task runs; returns the owner and the task's worker.
fn run_until_running(cluster: &mut SimulatedCluster, wanted: &TaskId) -> (HostId, WorkerId) {
    let shard = only_shard(cluster);
    cluster
        .run_until_done(30_000, |cluster| {
            cluster.owner_of(&shard).is_some() && cluster.worker_running(wanted).is_some()
        })
        .expect("the task starts");
    let owner = cluster.owner_of(&shard).expect("the shard has an owner");
    let worker = cluster.worker_running(wanted).expect("the task runs");
    (owner, worker)
}

fn other_hosts(cluster: &SimulatedCluster, excluded: &HostId) -> Vec<HostId> {
    let hosts = cluster.host_ids();
    hosts.into_iter().filter(|host| host != excluded).collect()
}

fn is_claim(note: &ShardNote) -> bool {
    matches!(note, ShardNote::Claimed(_))
}

/// Runs until the task has finished in exactly one shard.
fn run_until_finished(cluster: &mut SimulatedCluster, wanted: &TaskId) {
    let done = |cluster: &SimulatedCluster| {
        let stages = cluster.stages(wanted);
        matches!(stages.as_slice(), [TaskStage::Finished(_)])
    };
    cluster
        .run_until_done(120_000, done)
        .expect("the task finishes once");
}

/// Lets the old owner reach the worker but not the store, and the other hosts the store but not the worker.
fn split_store_from_worker(cluster: &mut SimulatedCluster, old: &HostId, worker: &WorkerId) {
    cluster.partition(NetworkPartition::HostStore(old.clone()), FOREVER_MS);
    for new in other_hosts(cluster, old) {
        cluster.partition(
            NetworkPartition::HostWorker(new, worker.clone()),
            FOREVER_MS,
        );
    }
}

/// The old owner can reach the worker but not the store, the new owner the store but not the worker.
///
/// The old owner keeps renewing the task's lease, so that a start elsewhere before the silence time has passed
/// would run the task on two workers.
fn old_owner_reaches_the_worker(seed: u64) {
    let wanted = task("long", 0);
    let mut cluster = SimulatedCluster::new(seed, 2, 1, vec![job("long", 1, 60_000)]);
    let (old, worker) = run_until_running(&mut cluster, &wanted);
    split_store_from_worker(&mut cluster, &old, &worker);
    let partitioned_at = cluster.now;
    let moved = |cluster: &SimulatedCluster| {
        cluster
            .worker_running(&wanted)
            .is_some_and(|place| place != worker)
    };
    cluster
        .run_until_done(60_000, moved)
        .expect("the task starts elsewhere");
    let waited = cluster.now - partitioned_at;
    let min_wait_ms = TIMES.shard_lease_ms + TIMES.silence_ms();
    assert!(
        waited >= min_wait_ms,
        "seed {seed}: the new owner waited {waited} ms of at least {min_wait_ms} ms"
    );
    run_until_finished(&mut cluster, &wanted);
}

/// Like [`old_owner_reaches_the_worker`], but the new owner releases the shard at once: the third owner has to wait
/// until the same time as the second would have, or the task runs on two workers.
fn release_keeps_the_silence_wait(seed: u64) {
    let wanted = task("long", 0);
    let mut cluster = SimulatedCluster::new(seed, 3, 1, vec![job("long", 1, 60_000)]);
    let shard = only_shard(&cluster);
    let (old, worker) = run_until_running(&mut cluster, &wanted);
    split_store_from_worker(&mut cluster, &old, &worker);
    let claims = cluster.count_notes(is_claim);
    cluster
        .run_until_done(20_000, |cluster| cluster.count_notes(is_claim) > claims)
        .expect("another host claims the shard");
    let second = other_hosts(&cluster, &old)
        .into_iter()
        .find(|host| {
            cluster.owner(host, &shard).epoch() > 1
                && cluster.owner(host, &shard).is_owner(cluster.now)
        })
        .expect("one of the other hosts owns the shard");
    cluster.feed(&second, &shard, ShardEvent::RankUpdated(None));
    cluster.feed(&second, &shard, ShardEvent::Release);
    cluster.run_until(cluster.now + 30_000);
    run_until_finished(&mut cluster, &wanted);
}

/// No host can reach a worker: its task may start elsewhere only after its lease on that worker has expired.
fn unreachable_worker(seed: u64) {
    let wanted = task("long", 0);
    let mut cluster = SimulatedCluster::new(seed, 1, 1, vec![job("long", 1, 30_000)]);
    let (_, worker) = run_until_running(&mut cluster, &wanted);
    cluster.partition(NetworkPartition::Worker(worker.clone()), FOREVER_MS);
    let partitioned_at = cluster.now;
    let moved = |cluster: &SimulatedCluster| {
        cluster
            .worker_running(&wanted)
            .is_some_and(|place| place != worker)
    };
    cluster
        .run_until_done(60_000, moved)
        .expect("the task starts elsewhere");
    let waited = cluster.now - partitioned_at;
    assert!(
        waited >= TIMES.task_lease_ms - TIMES.order_interval_ms,
        "{waited}"
    );
    run_until_finished(&mut cluster, &wanted);
}

/// The owner freezes after it has decided to send messages, and sends them after its lease has expired and another host
/// has taken over: the workers have to refuse them.
fn frozen_between_check_and_send(seed: u64) {
    let wanted = task("long", 0);
    let mut cluster = SimulatedCluster::new(
        seed,
        2,
        1,
        vec![job("long", 3, 20_000), job("next", 4, 2_000)],
    );
    let (old, _) = run_until_running(&mut cluster, &wanted);
    for step in 0..40 {
        cluster.run_steps(step);
        cluster.freeze(&old, TIMES.silence_ms() + 4_000 + 37 * step as Millis);
        cluster.run_until(cluster.now + TIMES.silence_ms() + 8_000);
    }
    run_until_finished(&mut cluster, &wanted);
}

/// Answers are lost after the writes took effect: the owner reads the row to learn the outcome and continues, and no
/// other host claims the shard.
fn owner_survives_lost_answers() {
    let mut cluster = SimulatedCluster::new(7, 2, 1, vec![job("plain", 6, 1_000)]);
    run_until_running(&mut cluster, &task("plain", 0));
    let claims = cluster.count_notes(is_claim);
    cluster.fault_rates = FaultRates {
        answer_lost: 400,
        ..FaultRates::NO_FAULTS
    };
    cluster.run_until(cluster.now + 20_000);
    cluster.fault_rates = FaultRates::NO_FAULTS;
    for index in 0..6 {
        run_until_finished(&mut cluster, &task("plain", index));
    }
    assert_eq!(cluster.count_notes(is_claim), claims);
}

/// The answer to every committed write is lost: the tasks finish nevertheless, and no other host claims a shard.
fn every_answer_lost(seed: u64) {
    let times = LeaseTimes::derive(800, 8_000, 60_000);
    let mut cluster = SimulatedCluster::with_times(seed, 2, 2, vec![job("plain", 6, 300)], times);
    cluster.run_until(3_000);
    let claims = cluster.count_notes(is_claim);
    cluster.lose_commit_answers = true;
    cluster.configure(vec![job("plain", 6, 300), job("late", 6, 300)]);
    for index in 0..6 {
        run_until_finished(&mut cluster, &task("late", index));
    }
    assert_eq!(cluster.count_notes(is_claim), claims);
}

/// Like [`every_answer_lost`], and the owner is requested to release its shard meanwhile: it does, and the next owner
/// finishes the tasks.
fn release_while_answers_are_lost(seed: u64) {
    let times = LeaseTimes::derive(800, 8_000, 60_000);
    let mut cluster = SimulatedCluster::with_times(seed, 2, 1, vec![job("plain", 6, 300)], times);
    cluster.run_until(3_000);
    let shard = only_shard(&cluster);
    let owner = cluster.owner_of(&shard).expect("the shard has an owner");
    cluster.lose_commit_answers = true;
    cluster.run_until(5_000);
    cluster.feed(&owner, &shard, ShardEvent::RankUpdated(None));
    cluster.feed(&owner, &shard, ShardEvent::Release);
    cluster.configure(vec![job("plain", 6, 300), job("late", 6, 300)]);
    for index in 0..6 {
        run_until_finished(&mut cluster, &task("late", index));
    }
    assert_ne!(cluster.owner_of(&shard), Some(owner));
}

/// The new owner knows an older configuration than the one that the previous owner applied: it must not cancel the jobs
/// that only the newer one contains.
fn successor_with_an_older_configuration() {
    let wanted = task("late", 0);
    let first = vec![job("plain", 1, 500)];
    let mut cluster = SimulatedCluster::new(11, 2, 1, first.clone());
    let (old, _) = run_until_running(&mut cluster, &task("plain", 0));
    let mut second = first;
    second.push(job("late", 1, 30_000));
    let revision = cluster.add_config(second);
    cluster.configure_host(&old, revision);
    cluster
        .run_until_done(20_000, |cluster| cluster.worker_running(&wanted).is_some())
        .expect("the late job starts");
    cluster.kill(&old);
    cluster.run_until(cluster.now + 20_000);
    assert!(
        cluster.worker_running(&wanted).is_some(),
        "the late job was stopped"
    );
    run_until_finished(&mut cluster, &wanted);
}

/// The owner dies `step` events after an eviction began: the task resumes from its checkpoint and finishes once, and at
/// most one eviction is recorded.
fn owner_dies_while_evicting(step: usize) {
    let wanted = task("long", 0);
    let mut cluster = SimulatedCluster::new(13, 2, 1, vec![checkpointable_job("long", 1, 12_000)]);
    let shard = only_shard(&cluster);
    let (old, worker) = run_until_running(&mut cluster, &wanted);
    cluster.run_until(cluster.now + 4_000);
    cluster.drain_worker(&old, &shard, &worker);
    cluster.run_steps(step);
    cluster.kill(&old);
    let began = cluster.now;
    run_until_finished(&mut cluster, &wanted);
    let full_rerun_ms = 12_000 + TIMES.shard_lease_ms + TIMES.silence_ms() + 4_000;
    assert!(
        cluster.now - began < full_rerun_ms,
        "step {step}: the task did not resume from its checkpoint"
    );
    let shard_state = cluster.durable_state(&shard);
    let task_state = shard_state
        .task_state(&wanted)
        .expect("the shard knows the task");
    assert!(
        task_state.evictions <= 1,
        "step {step}: evicted {} times",
        task_state.evictions
    );
}

/// A job is cancelled `step` events after the eviction of its task began, shortly before the task would finish: in the
/// end none of its tasks runs, and the shard has forgotten the job.
fn cancel_races_evict_and_finish(step: usize) {
    let wanted = task("long", 0);
    let mut cluster = SimulatedCluster::new(
        17,
        1,
        1,
        vec![checkpointable_job("long", 1, 3_000), job("other", 1, 500)],
    );
    let shard = only_shard(&cluster);
    let (owner, worker) = run_until_running(&mut cluster, &wanted);
    cluster.run_until(cluster.now + 2_300);
    cluster.drain_worker(&owner, &shard, &worker);
    let revision = cluster.add_config(vec![job("other", 1, 500)]);
    cluster.run_steps(step);
    cluster.configure_host(&owner, revision);
    cluster.run_until(cluster.now + 15_000);
    assert_eq!(cluster.worker_running(&wanted), None, "step {step}");
    assert!(cluster.stages(&wanted).is_empty(), "step {step}");
    run_until_finished(&mut cluster, &task("other", 0));
}

/// Workers have less capacity than the platform lists for them: they start nothing that exceeds it, and no task is
/// evicted for it.
fn worker_smaller_than_listed() {
    let mut cluster = SimulatedCluster::new(19, 1, 1, vec![job("plain", 20, 2_000)]);
    for worker in cluster.workers.keys().cloned().collect::<Vec<_>>() {
        cluster.replace_worker(&worker);
    }
    for worker in cluster.workers.values_mut() {
        worker.capacity = ResourceSize::new(2_000, 2_000, 0);
    }
    run_until_finished(&mut cluster, &task("plain", 19));
    let evictions = cluster
        .notes
        .iter()
        .filter(|(_, _, note)| matches!(note, ShardNote::Evicted(_)));
    assert_eq!(evictions.count(), 0);
}

/// A task that may run at most once loses its worker: it isn't started again, and fails once the worker is reported gone.
fn lost_worker_of_at_most_once_task() {
    let wanted = task("once", 0);
    let mut cluster = SimulatedCluster::new(23, 1, 1, vec![at_most_once_job("once", 1, 30_000)]);
    let (_, worker) = run_until_running(&mut cluster, &wanted);
    cluster.partition(NetworkPartition::Worker(worker.clone()), FOREVER_MS);
    cluster.run_until(cluster.now + 20_000);
    assert_eq!(cluster.worker_running(&wanted), None);
    assert!(matches!(cluster.stages(&wanted)[0], TaskStage::Placed(_)));
    cluster.replace_worker(&worker);
    cluster.run_until(cluster.now + 5_000);
    assert!(matches!(cluster.stages(&wanted)[0], TaskStage::Failed(_)));
    assert_eq!(cluster.worker_running(&wanted), None);
}

/// A worker reports a finish to an owner that dies `step` events after the task's end, possibly before it has recorded
/// the finish: the next owner records it, once, and the task isn't started again.
fn owner_dies_after_a_finish(step: usize) {
    let wanted = task("plain", 0);
    let mut cluster = SimulatedCluster::new(29, 2, 1, vec![at_most_once_job("plain", 1, 1_500)]);
    let (old, worker) = run_until_running(&mut cluster, &wanted);
    let ended = |cluster: &SimulatedCluster| cluster.workers[&worker].running().count() == 0;
    cluster
        .run_until_done(10_000, ended)
        .expect("the task ends");
    cluster.run_steps(step);
    cluster.kill(&old);
    run_until_finished(&mut cluster, &wanted);
    cluster.checker.count_starts(cluster.workers.values());
    assert_eq!(cluster.checker.starts[&wanted], 1, "step {step}");
}

/// The store answers nobody for `out_ms`: running tasks continue as their first attempts, and waiting tasks start once
/// the store answers again.
fn store_out_for_long(out_ms: Millis) {
    let times = LeaseTimes::default();
    let long = out_ms + 5 * 60_000;
    let jobs = vec![job("long", 4, long), job("short", 4, 1_000)];
    let mut cluster = SimulatedCluster::with_times(31, 3, 2, jobs.clone(), times);
    let running = |cluster: &SimulatedCluster| {
        (0..4).all(|index| cluster.worker_running(&task("long", index)).is_some())
    };
    cluster
        .run_until_done(30_000, running)
        .expect("the tasks start");
    let commits = cluster.store.table.commits;
    cluster.partition(NetworkPartition::Store, out_ms);
    let mut more = jobs;
    more.push(job("meanwhile", 8, 1_000));
    cluster.configure(more);
    cluster.run_until(cluster.now + out_ms);
    assert_eq!(cluster.store.table.commits, commits);
    let recovered_at = cluster.now;
    cluster.run_until(cluster.now + 10_000);
    let writes = cluster.store.table.commits - commits;
    assert!(writes < 200, "{writes} writes within 10 s of recovery");
    for index in 0..4 {
        run_until_finished(&mut cluster, &task("short", index));
        run_until_finished(&mut cluster, &task("meanwhile", index));
    }
    assert!(
        cluster.now - recovered_at < 30_000,
        "waiting tasks took too long to finish after the store's recovery"
    );
    cluster.run_until(cluster.now + 10 * 60_000);
    for index in 0..4 {
        run_until_finished(&mut cluster, &task("long", index));
    }
    cluster.checker.count_starts(cluster.workers.values());
    for index in 0..4 {
        assert_eq!(cluster.checker.starts[&task("long", index)], 1);
    }
}

/// Each message to and from the store takes `one_way_ms` longer: no shard changes its owner, and tasks finish, only later.
fn store_slow_for_long(one_way_ms: Millis) {
    let times = LeaseTimes::default();
    let mut cluster = SimulatedCluster::with_times(37, 3, 2, vec![job("long", 4, 60_000)], times);
    let running = |cluster: &SimulatedCluster| {
        (0..4).all(|index| cluster.worker_running(&task("long", index)).is_some())
    };
    cluster
        .run_until_done(30_000, running)
        .expect("the tasks start");
    let claims = cluster.count_notes(is_claim);
    cluster.extra_store_delay_ms = one_way_ms;
    cluster.run_until(cluster.now + 10_000);
    cluster.configure(vec![job("long", 4, 60_000), job("short", 8, 1_000)]);
    cluster.run_until(cluster.now + 30 * 60_000);
    for index in 0..4 {
        run_until_finished(&mut cluster, &task("long", index));
        run_until_finished(&mut cluster, &task("short", index));
    }
    assert_eq!(
        cluster.count_notes(is_claim),
        claims,
        "a shard changed its owner"
    );
}

/// A job is declared again, now urgent and with fewer tasks: the surplus tasks are stopped, the others finish, and after
/// that no further records are written.
fn job_declared_again() {
    let mut cluster = SimulatedCluster::new(41, 1, 1, vec![job("plain", 30, 4_000)]);
    let (owner, _) = run_until_running(&mut cluster, &task("plain", 0));
    let shard = only_shard(&cluster);
    let mut changed = job("plain", 20, 4_000);
    changed.urgency = UrgencyLevel::Urgent;
    let revision = cluster.add_config(vec![changed]);
    cluster.configure_host(&owner, revision);
    cluster.run_until(cluster.now + 30_000);
    for index in 0..20 {
        run_until_finished(&mut cluster, &task("plain", index));
    }
    for index in 20..30 {
        assert_eq!(cluster.worker_running(&task("plain", index)), None);
        assert!(
            cluster.stages(&task("plain", index))[0].is_over(),
            "task {index}"
        );
    }
    assert_eq!(cluster.owner(&owner, &shard).waiting_count(), 0);
    let records = cluster.owner(&owner, &shard).counts().records;
    cluster.run_until(cluster.now + 10_000);
    assert_eq!(cluster.owner(&owner, &shard).counts().records, records);
}

fn for_seeds(seeds: u64, run: impl Fn(u64)) {
    (1..=seeds).for_each(run);
}

fn for_steps(steps: usize, run: impl Fn(usize)) {
    (0..steps).for_each(run);
}

cases! {
    old_owner_reaches_a_worker_that_the_new_one_does_not => for_seeds(6, old_owner_reaches_the_worker);
    released_shard_keeps_the_silence_wait => for_seeds(6, release_keeps_the_silence_wait);
    unreachable_worker_keeps_its_lease => for_seeds(6, unreachable_worker);
    frozen_owner_continues_after_a_takeover => for_seeds(3, frozen_between_check_and_send);
    lost_store_answers_are_read_back => owner_survives_lost_answers();
    every_store_answer_is_lost => for_seeds(20, every_answer_lost);
    release_while_every_store_answer_is_lost => for_seeds(20, release_while_answers_are_lost);
    new_owner_with_an_older_configuration_cancels_nothing => successor_with_an_older_configuration();
    owner_dies_after_each_step_of_an_eviction => for_steps(40, owner_dies_while_evicting);
    cancellation_wins_over_eviction_and_finish => for_steps(40, cancel_races_evict_and_finish);
    workers_smaller_than_listed_are_not_overcommitted => worker_smaller_than_listed();
    at_most_once_task_is_not_restarted_after_worker_loss => lost_worker_of_at_most_once_task();
    finish_is_recorded_though_the_owner_dies_at_each_step => for_steps(30, owner_dies_after_a_finish);
    job_may_be_declared_again => job_declared_again();
    store_slow_by_half_a_second => store_slow_for_long(250);
    store_slow_by_two_seconds => store_slow_for_long(1_000);
    store_out_for_thirty_minutes => store_out_for_long(30 * 60_000);
}
