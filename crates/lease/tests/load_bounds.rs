//! Upper bounds on writes, messages and start delays, in virtual time: under floods of jobs and cancellations, with
//! failing workers and tasks, and on an idle shard.

mod support;

use sandshelf_cases::cases;
use sandshelf_config::{JobSpec, UrgencyLevel};
use sandshelf_lease::{LeaseTimes, ShardNote, TaskStage};
use sandshelf_model::{JobId, Millis, ResourceSize, TaskId};
use support::cluster::SimulatedCluster;
use support::jobs::job;

/// The maximum start delay of urgent tasks, in milliseconds.
const MAX_URGENT_DELAY_MS: Millis = 1_600;

/// A cluster with the default durations.
fn default_cluster(seed: u64, hosts: usize, shards: usize, jobs: Vec<JobSpec>) -> SimulatedCluster {
    SimulatedCluster::with_times(seed, hosts, shards, jobs, LeaseTimes::default())
}

fn urgent(name: &str) -> JobSpec {
    JobSpec {
        urgency: UrgencyLevel::Urgent,
        ..job(name, 1, 500)
    }
}

/// Whether an attempt of the job was placed.
fn was_placed(cluster: &SimulatedCluster, name: &str) -> bool {
    let wanted = JobId::from(name);
    cluster.count_notes(
        |note| matches!(note, ShardNote::Placed(attempt, ..) if attempt.task.job == wanted),
    ) > 0
}

/// Declares an urgent job to every host at once; returns the time until its task ran on a worker, in milliseconds.
fn urgent_delay(cluster: &mut SimulatedCluster, mut jobs: Vec<JobSpec>, name: &str) -> Millis {
    jobs.push(urgent(name));
    let revision = cluster.add_config(jobs);
    let began = cluster.now;
    for host in cluster.host_ids() {
        cluster.configure_host(&host, revision);
    }
    let task = TaskId {
        job: JobId::from(name),
        index: 0,
    };
    while cluster.worker_running(&task).is_none() {
        assert!(
            cluster.now < began + 60_000,
            "the task of job {name} does not start within 60 s"
        );
        cluster.run_until(cluster.now + 10);
    }
    cluster.now - began
}

/// Fifty thousand tasks are cancelled at once: this takes few writes, and an urgent task starts in time meanwhile.
fn cancellation_flood() {
    let jobs = vec![job("flood", 50_000, 600_000), job("other", 4, 1_000)];
    let mut cluster = default_cluster(1, 2, 1, jobs);
    cluster.run_until(20_000);
    let commits = cluster.store.table.commits;
    let remaining_jobs = vec![job("other", 4, 1_000)];
    let revision = cluster.add_config(remaining_jobs.clone());
    for host in cluster.host_ids() {
        cluster.configure_host(&host, revision);
    }
    let delay = urgent_delay(&mut cluster, remaining_jobs, "urgent");
    assert!(
        delay <= MAX_URGENT_DELAY_MS,
        "the urgent task started after {delay} ms"
    );
    cluster.run_until(cluster.now + 5_000);
    let writes = cluster.store.table.commits - commits;
    assert!(writes < 60, "{writes} writes");
    let shard = cluster.shard_ids()[0].clone();
    assert_eq!(cluster.durable_state(&shard).jobs.len(), 2);
}

/// Two thousand jobs fit on no worker: they are recorded as unplaceable in few writes, and don't delay other tasks.
fn unplaceable_flood() {
    let mut jobs: Vec<JobSpec> = (0..2_000)
        .map(|number| JobSpec {
            size: ResourceSize::new(900_000, 1, 0),
            ..job(&format!("giant-{number}"), 1, 1_000)
        })
        .collect();
    jobs.push(job("small", 4, 1_000));
    let mut cluster = default_cluster(2, 2, 1, jobs.clone());
    cluster.run_until(8_000);
    let delay = urgent_delay(&mut cluster, jobs, "urgent");
    assert!(
        delay <= MAX_URGENT_DELAY_MS,
        "the urgent task started after {delay} ms"
    );
    assert!(was_placed(&cluster, "small"));
    let shard = cluster.shard_ids()[0].clone();
    cluster.run_until(30_000);
    let shard_state = cluster.durable_state(&shard);
    let unplaceable = shard_state
        .jobs
        .values()
        .flat_map(|job_state| job_state.tasks.values());
    let unplaceable =
        unplaceable.filter(|task_state| matches!(task_state.stage, TaskStage::Unplaceable(_)));
    assert_eq!(unplaceable.count(), 2_000);
    assert!(
        cluster.store.table.commits < 200,
        "{} writes",
        cluster.store.table.commits
    );
}

/// A worker on which every task fails is quarantined after a few failures, and the tasks finish on other workers.
fn worker_that_fails_every_task() {
    let jobs: Vec<JobSpec> = (0..8)
        .map(|number| job(&format!("job-{number}"), 4, 800))
        .collect();
    let mut cluster = default_cluster(3, 1, 1, jobs);
    let bad = cluster
        .workers
        .keys()
        .next()
        .expect("there are workers")
        .clone();
    cluster
        .workers
        .get_mut(&bad)
        .expect("the worker is present")
        .broken = true;
    cluster.run_until(60_000);
    let shard = cluster.shard_ids()[0].clone();
    let shard_state = cluster.durable_state(&shard);
    let unfinished = shard_state
        .jobs
        .values()
        .flat_map(|job_state| job_state.tasks.values());
    let unfinished =
        unfinished.filter(|task_state| !matches!(task_state.stage, TaskStage::Finished(_)));
    assert_eq!(unfinished.count(), 0);
    let starts: u32 = cluster.workers[&bad].starts.values().sum();
    assert!(
        starts <= 12,
        "{starts} attempts were started on the broken worker"
    );
    assert!(cluster.count_notes(|note| matches!(note, ShardNote::Quarantined(_))) >= 1);
}

/// A task that fails wherever it runs is given up after it has failed on three workers, and no worker is quarantined.
fn task_that_fails_everywhere() {
    let mut bad = job("bad", 1, 800);
    bad.program = "fail".to_owned();
    let mut cluster = default_cluster(4, 1, 1, vec![bad, job("good", 8, 800)]);
    cluster.run_until(60_000);
    let stages = cluster.stages(&TaskId {
        job: JobId::from("bad"),
        index: 0,
    });
    assert!(
        matches!(stages.as_slice(), [TaskStage::Failed(_)]),
        "{stages:?}"
    );
    assert_eq!(
        cluster.count_notes(|note| matches!(note, ShardNote::Quarantined(_))),
        0
    );
}

/// Many starts are recorded in one write, so that there are at most `max_writes` writes, lease renewals not counted.
fn writes_for_starts(tasks: u32, max_writes: u64) {
    let mut cluster = default_cluster(5, 2, 1, vec![job("burst", tasks, 400)]);
    for _ in 0..12 {
        cluster.add_worker(ResourceSize::new(4_000, 8_000, 0));
    }
    cluster
        .run_until_done(300_000, |cluster| {
            let finished = |note: &ShardNote| matches!(note, ShardNote::Finished(_));
            cluster.count_notes(finished) == tasks as usize
        })
        .expect("the burst is done");
    let seconds = cluster.now / 1_000;
    let renewals = seconds * 4;
    let writes = cluster.store.table.commits.saturating_sub(renewals);
    assert!(
        writes <= max_writes,
        "{writes} writes for {tasks} starts in {seconds} s"
    );
}

/// Urgent tasks start within `max_ms`, both on a shard with little load and where the shard's owner has just died.
fn urgent_start(owner_dies: bool, max_ms: Millis) {
    let mut worst = 0;
    for seed in 0..10 {
        let jobs = vec![job("other", 4, 60_000)];
        let mut cluster = default_cluster(100 + seed, 3, 1, jobs.clone());
        cluster.run_until(6_000 + seed * 37);
        let shard = cluster.shard_ids()[0].clone();
        if owner_dies {
            let owner = cluster.owner_of(&shard).expect("the shard has an owner");
            cluster.kill(&owner);
            cluster.rank_by_order();
        }
        worst = worst.max(urgent_delay(&mut cluster, jobs, "urgent"));
    }
    assert!(worst <= max_ms, "an urgent task started after {worst} ms");
}

/// Cost of a shard without new work, per minute: writes (lease renewals), messages per worker, and row reads per host
/// that doesn't own the shard.
fn cost_of_an_idle_shard() {
    let mut cluster = default_cluster(6, 3, 1, vec![job("other", 4, 600_000)]);
    cluster.run_until(10_000);
    let (commits, messages, reads) = (
        cluster.store.table.commits,
        cluster.worker_messages,
        cluster.store_reads,
    );
    cluster.run_until(70_000);
    let commits = cluster.store.table.commits - commits;
    assert!(commits <= 200, "{commits} writes a minute");
    let messages = (cluster.worker_messages - messages) / cluster.workers.len() as u64;
    assert!(
        messages <= 30,
        "{messages} messages for each worker a minute"
    );
    let reads = (cluster.store_reads - reads) / 2;
    assert!(reads <= 380, "{reads} reads of each watching host a minute");
}

cases! {
    fifty_thousand_cancellations => cancellation_flood();
    two_thousand_unplaceable_jobs => unplaceable_flood();
    failing_worker_is_quarantined => worker_that_fails_every_task();
    task_that_fails_everywhere_is_given_up => task_that_fails_everywhere();
    a_thousand_starts_share_writes => writes_for_starts(1_000, 500);
    urgent_tasks_start_in_time => urgent_start(false, MAX_URGENT_DELAY_MS);
    urgent_tasks_start_in_time_after_the_owners_death => urgent_start(true, MAX_URGENT_DELAY_MS);
    idle_shard_costs_little => cost_of_an_idle_shard();
}
