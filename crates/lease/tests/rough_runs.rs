//! Simulated runs with random faults of all kinds: no task runs on two workers, each task finishes once, no task is lost.

mod support;

use sandshelf_cases::cases;
use sandshelf_config::JobSpec;
use sandshelf_lease::{ShardNote, TaskStage};
use sandshelf_model::{Millis, TaskId};
use support::checker::InvariantChecker;
use support::cluster::SimulatedCluster;
use support::faults::FaultRates;
use support::jobs::{at_most_once_job, checkpointable_job, job};

/// How long faults are injected in one run, in milliseconds.
const FAULT_PERIOD_MS: Millis = 120_000;
/// How long all tasks may take to finish after the faults have ended, in milliseconds.
const COMPLETION_TIMEOUT_MS: Millis = 200_000;

fn jobs() -> Vec<JobSpec> {
    vec![
        job("plain", 12, 2_500),
        checkpointable_job("long", 6, 9_000),
        at_most_once_job("once", 6, 1_500),
    ]
}

fn tasks(jobs: &[JobSpec]) -> Vec<TaskId> {
    let all = jobs.iter().flat_map(|spec| {
        (0..spec.tasks).map(|index| TaskId {
            job: spec.name.clone(),
            index,
        })
    });
    all.collect()
}

/// Counts that show how much a run, or several, exercised.
#[derive(Debug, Default)]
struct RunCounts {
    /// Claims of shards.
    claims: usize,
    /// Evicted attempts.
    evictions: usize,
    /// Shards that an owner lost to another host.
    losses: usize,
}

/// Runs one seed: faults and changes of the configuration, then a time without faults in which all tasks have to finish.
///
/// The simulation checks throughout that no task runs on two workers.
fn run_seed(seed: u64, hosts: usize, shards: usize) -> RunCounts {
    let first = jobs();
    let mut cluster = SimulatedCluster::new(seed, hosts, shards, first.clone());
    cluster.fault_rates = FaultRates::ALL_FAULTS;
    cluster.run_until(FAULT_PERIOD_MS / 3);
    let mut second = first.clone();
    second.push(job("late", 8, 2_000));
    cluster.configure(second.clone());
    cluster.run_until(FAULT_PERIOD_MS * 2 / 3);
    let third: Vec<JobSpec> = second
        .iter()
        .filter(|spec| spec.name.as_str() != "late")
        .cloned()
        .collect();
    cluster.configure(third.clone());
    cluster.run_until(FAULT_PERIOD_MS);
    cluster.stop_faults();
    let all = tasks(&third);
    let over = |cluster: &SimulatedCluster| {
        all.iter()
            .all(|task| cluster.stages(task).iter().all(|stage| stage.is_over()))
    };
    if let Err(problem) = cluster.run_until_done(COMPLETION_TIMEOUT_MS, over) {
        panic!("{problem}: {}", describe(&cluster, &all));
    }
    check_end(&mut cluster, seed, &third);
    RunCounts {
        claims: cluster.count_notes(|note| matches!(note, ShardNote::Claimed(_))),
        evictions: cluster.count_notes(|note| matches!(note, ShardNote::Evicted(_))),
        losses: cluster.count_notes(|note| matches!(note, ShardNote::Lost)),
    }
}

fn describe(cluster: &SimulatedCluster, tasks: &[TaskId]) -> String {
    let open = tasks.iter().filter_map(|task| {
        let stages = cluster.stages(task);
        let over = stages.iter().all(|stage| stage.is_over());
        (!over).then(|| format!("{task}: {stages:?}"))
    });
    open.collect::<Vec<_>>().join(", ")
}

fn check_end(cluster: &mut SimulatedCluster, seed: u64, jobs: &[JobSpec]) {
    cluster.checker.count_starts(cluster.workers.values());
    cluster
        .checker
        .count_starts(cluster.replaced_workers.iter());
    for spec in jobs {
        for index in 0..spec.tasks {
            let task = TaskId {
                job: spec.name.clone(),
                index,
            };
            let stages = cluster.stages(&task);
            assert_eq!(
                stages.len(),
                1,
                "seed {seed}: {task} is not in exactly one shard: {stages:?}"
            );
            let finished = matches!(stages[0], TaskStage::Finished(_));
            let starts = cluster.checker.starts.get(&task).copied().unwrap_or(0);
            if spec.repeatable {
                assert!(finished, "seed {seed}: {task} ended as {:?}", stages[0]);
            } else {
                assert!(
                    starts <= 1,
                    "seed {seed}: {task} was started {starts} times"
                );
            }
            assert!(
                starts >= 1 || !finished,
                "seed {seed}: {task} finished without a start"
            );
        }
    }
    let workers = cluster.workers.values().chain(&cluster.replaced_workers);
    InvariantChecker::check_attempts(workers)
        .unwrap_or_else(|problem| panic!("seed {seed}: {problem}"));
}

fn run_seeds(first: u64, count: u64, hosts: usize, shards: usize) {
    let mut sum = RunCounts::default();
    for seed in first..first + count {
        let counts = run_seed(seed, hosts, shards);
        sum.claims += counts.claims;
        sum.evictions += counts.evictions;
        sum.losses += counts.losses;
    }
    println!("{count} seeds: {sum:?}");
    // Guards against runs with too few takeovers and evictions to test anything.
    let seeds = count as usize;
    assert!(sum.claims >= seeds * 4, "{sum:?}");
    assert!(sum.evictions >= seeds, "{sum:?}");
    assert!(sum.losses >= seeds / 2, "{sum:?}");
}

/// Runs the given seeds: `SANDSHELF_SEEDS=first:count cargo test --release -p sandshelf-lease long_run -- --nocapture`.
fn long_run() {
    let Ok(text) = std::env::var("SANDSHELF_SEEDS") else {
        return;
    };
    let (first, count) = text
        .split_once(':')
        .expect("SANDSHELF_SEEDS is FIRST:COUNT");
    let first: u64 = first.parse().expect("FIRST is a number");
    let count: u64 = count.parse().expect("COUNT is a number");
    run_seeds(first, count, 3, 2);
    println!("{count} seeds from {first} on passed");
}

cases! {
    one_shard_two_hosts => run_seeds(1, 40, 2, 1);
    two_shards_three_hosts => run_seeds(1_000, 40, 3, 2);
    three_shards_two_hosts => run_seeds(2_000, 40, 2, 3);
    long_run_of_chosen_seeds => long_run();
}
