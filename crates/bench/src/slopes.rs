//! Measures how costs scale towards the planned fleet size: CPU time, memory and bytes per worker, task, server and host.
//!
//! Each cost is measured at several fleet sizes in one run. Its growth with the size is what matters.

use std::collections::BTreeSet;
use std::fs;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sandshelf_config::{ConfigSet, TeamQuota};
use sandshelf_fakes::{FakeStore, FakeWorker};
use sandshelf_lease::{
    encode_snapshot, home_shard, LeaseTimes, ShardAction, ShardEvent, ShardOwner, ShardRoom,
};
use sandshelf_model::{
    AttemptId, HallId, HostId, JobId, Millis, ResourceSize, ServerId, ServiceId, ShardId, TaskId,
    TeamId, WorkerId,
};
use sandshelf_peer::HostNews;
use sandshelf_place::{LatencyWindow, PlaceOutcome, TaskNeed, TaskReservation, WorkerPool};
use sandshelf_platform::commit_transaction;
use sandshelf_route::{
    AttemptEnd, RequestInfo, RouteAction, RouteCore, RouteEvent, RouteLimits, ServerEntry,
};

use crate::batch::{job_spec, worker_entry};

/// Measured fleet sizes, in workers.
pub const FLEET_SIZES: [usize; 4] = [50, 500, 2_000, 17_000];
/// Tasks per worker, about the planned ratio of 190,000 tasks on 17,000 workers.
const TASKS_PER_WORKER: usize = 11;
/// Virtual time over which the steady state is measured.
const STEADY_MS: Millis = 20_000;
/// Number of decisions in one timing. Placement makes at most eight per worker.
const TIMED_DECISIONS: usize = 20_000;

/// Costs of a shard owner at one fleet size. Rates are per second of virtual time.
#[derive(Clone, Debug)]
pub struct OwnerCosts {
    /// Number of workers in the shard.
    pub workers: usize,
    /// CPU time per second of virtual time, in milliseconds.
    pub cpu_ms_per_s: f64,
    /// Messages to workers per second.
    pub messages_per_s: f64,
    /// Bytes of orders and reports per second, encoded as JSON.
    pub worker_bytes_per_s: f64,
    /// Store writes per second.
    pub writes_per_s: f64,
    /// Bytes written to the store per second, without snapshots.
    pub store_bytes_per_s: f64,
    /// Task starts per second.
    pub starts_per_s: f64,
    /// Growth of the process's resident memory from the owner's setup to the steady state, in bytes per worker.
    pub bytes_per_worker: f64,
    /// Size of an encoded snapshot, in bytes per task.
    pub snapshot_bytes_per_task: f64,
    /// CPU time of the new owner during a takeover of the shard, in milliseconds.
    pub takeover_ms: f64,
}

fn resident_bytes() -> f64 {
    const PAGE_BYTES: f64 = 4_096.0;
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<f64>().ok())
        .unwrap_or(0.0)
        * PAGE_BYTES
}

/// A shard's owner with a fake store and fake workers that answer within the same virtual millisecond.
struct OwnerHarness {
    owner: ShardOwner,
    store: FakeStore,
    workers: Vec<FakeWorker>,
    shard: ShardId,
    now: Millis,
    worker_bytes: u64,
    store_bytes: u64,
    owner_ns: u128,
}

impl OwnerHarness {
    fn new(count: usize) -> Self {
        let shard = ShardId::from("shard-0");
        let owner = ShardOwner::new(
            shard.clone(),
            HostId::from("entry-1.1"),
            LeaseTimes::default(),
            1,
        );
        let workers = (0..count).map(|number| {
            let entry = worker_entry(number, 1, 24_000, "pricing");
            FakeWorker::new(entry.worker, entry.capacity)
        });
        Self {
            owner,
            store: FakeStore::default(),
            workers: workers.collect(),
            shard,
            now: 1,
            worker_bytes: 0,
            store_bytes: 0,
            owner_ns: 0,
        }
    }

    fn configure(&mut self) {
        let count = self.workers.len();
        let present = (0..count).map(|number| worker_entry(number, 1, 24_000, "pricing"));
        let event = ShardEvent::WorkersListed {
            present: present.collect(),
            leaving: BTreeSet::new(),
            gone: BTreeSet::new(),
        };
        self.feed(event);
        let unlimited = ResourceSize::new(1 << 40, 1 << 40, 0);
        let team = TeamId::from("team");
        self.feed(ShardEvent::QuotaSliceUpdated {
            team: team.clone(),
            slice: unlimited,
        });
        // With 190,000 running tasks and 240,000 jobs a day, a task runs for about a quarter of an hour.
        // Here one running task in eight is short, which gives the planned 1,200 starts per second at 17,000 workers.
        let tasks = (count * TASKS_PER_WORKER) as u32;
        let set = ConfigSet {
            jobs: vec![
                job_spec("long", "long", tasks * 7 / 8, 1_500, 900_000),
                job_spec("short", "short", tasks * 4, 1_500, 18_000),
            ],
            teams: vec![TeamQuota {
                name: team,
                quota: unlimited,
            }],
            ..ConfigSet::default()
        };
        self.feed(ShardEvent::Configured {
            revision: 1,
            set: Arc::new(set),
            shards: Arc::new(vec![self.shard.clone()]),
        });
    }

    fn feed(&mut self, event: ShardEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let began = Instant::now();
            let actions = self.owner.handle(self.now, event);
            self.owner_ns += began.elapsed().as_nanos();
            for action in actions {
                events.extend(self.serve(action));
            }
        }
    }

    fn serve(&mut self, action: ShardAction) -> Option<ShardEvent> {
        let ShardAction::SendOrders { worker, orders } = action else {
            return self.serve_store(&action);
        };
        let number: usize = worker.as_str()[2..]
            .parse()
            .expect("worker names end in a number");
        let report = self.workers[number].handle(self.now, &orders);
        let order_bytes = serde_json::to_vec(&orders).map_or(0, |text| text.len());
        let report_bytes = serde_json::to_vec(&report).map_or(0, |text| text.len());
        self.worker_bytes += (order_bytes + report_bytes) as u64;
        Some(ShardEvent::WorkerAnswered {
            worker,
            epoch: orders.epoch,
            number: orders.number,
            report: Some(report),
        })
    }

    /// Counts the bytes of commits and returns the store's answer.
    ///
    /// Snapshot writes and inbox reads are neither counted nor answered, because they would hide the steady state.
    fn serve_store(&mut self, action: &ShardAction) -> Option<ShardEvent> {
        match action {
            ShardAction::StoreSnapshot { .. } | ShardAction::ReadInbox { .. } => return None,
            ShardAction::Commit(request) => {
                let txn = commit_transaction(&self.shard, request);
                self.store_bytes += serde_json::to_vec(&txn).map_or(0, |text| text.len() as u64);
            }
            _ => {}
        }
        self.store.serve(&self.shard, action)
    }

    fn run_until(&mut self, until: Millis) {
        const TICK_MS: Millis = 100;
        while self.now < until {
            self.now += TICK_MS;
            self.feed(ShardEvent::Tick);
        }
    }
}

/// Measures a shard owner in the steady state and in a takeover, with a fleet of `workers` workers.
pub fn measure_owner(workers: usize) -> OwnerCosts {
    let mut harness = OwnerHarness::new(workers);
    let memory_before = resident_bytes();
    harness.configure();
    harness.run_until(40_000);
    let memory_after = resident_bytes();
    let (messages_before, commits_before) =
        (harness.owner.counts().messages, harness.store.table.commits);
    let placed_before = harness.owner.state().stats.placed;
    (harness.worker_bytes, harness.store_bytes, harness.owner_ns) = (0, 0, 0);
    let from = harness.now;
    harness.run_until(from + STEADY_MS);
    let seconds = (harness.now - from) as f64 / 1_000.0;
    let tasks: usize = harness
        .owner
        .state()
        .jobs
        .values()
        .map(|job| job.tasks.len())
        .sum();
    let snapshot = encode_snapshot(harness.owner.state());
    let starts = harness.owner.state().stats.placed - placed_before;
    let steady_ns = harness.owner_ns;
    let counts = *harness.owner.counts();
    let (worker_bytes, store_bytes, commits) = (
        harness.worker_bytes,
        harness.store_bytes,
        harness.store.table.commits,
    );
    let takeover_ms = take_over(&mut harness);
    OwnerCosts {
        workers,
        cpu_ms_per_s: steady_ns as f64 / 1e6 / seconds,
        messages_per_s: (counts.messages - messages_before) as f64 / seconds,
        worker_bytes_per_s: worker_bytes as f64 / seconds,
        writes_per_s: (commits - commits_before) as f64 / seconds,
        store_bytes_per_s: store_bytes as f64 / seconds,
        starts_per_s: starts as f64 / seconds,
        bytes_per_worker: (memory_after - memory_before).max(0.0) / workers as f64,
        snapshot_bytes_per_task: snapshot.len() as f64 / tasks.max(1) as f64,
        takeover_ms,
    }
}

/// Lets a second owner take over the shard and returns its CPU time until it owns the shard, in milliseconds.
///
/// Gives up after 10 s of virtual time and then returns the CPU time used so far.
fn take_over(harness: &mut OwnerHarness) -> f64 {
    let host = HostId::from("entry-2.1");
    harness.owner = ShardOwner::new(harness.shard.clone(), host, LeaseTimes::default(), 2);
    harness.owner_ns = 0;
    let from = harness.now;
    while !harness.owner.is_owner(harness.now) && harness.now < from + 10_000 {
        harness.run_until(harness.now + 100);
    }
    harness.owner_ns as f64 / 1e6
}

/// Mean time of one placement decision with its reservation, in nanoseconds.
pub fn placement_ns(workers: usize) -> f64 {
    let mut pool = WorkerPool::new(1, Default::default());
    for number in 0..workers {
        let entry = worker_entry(number, 15, 24_000, "pricing");
        pool.upsert(&entry);
        pool.set_open(&entry.worker, true);
    }
    let need = TaskNeed::plain(ResourceSize::new(1_500, 1_000, 0), "long");
    let rounds = TIMED_DECISIONS.min(workers * 8);
    let began = Instant::now();
    let mut placed: Vec<(WorkerId, AttemptId)> = Vec::new();
    for number in 0..rounds {
        if let PlaceOutcome::Placed(choice) = pool.choose(&need, 1) {
            let attempt = AttemptId {
                task: TaskId {
                    job: JobId::from("long"),
                    index: number as u32,
                },
                number: 1,
            };
            let reservation = TaskReservation {
                attempt: attempt.clone(),
                size: need.size,
                family: need.family.clone(),
                checkpoint: true,
                repeatable: true,
                progress_percent: 0,
            };
            if pool.reserve(&choice.worker, reservation).is_ok() {
                placed.push((choice.worker, attempt));
            }
        }
    }
    let elapsed_ns = began.elapsed().as_nanos() as f64;
    black_box(placed.len());
    elapsed_ns / rounds as f64
}

/// Mean time of one routing decision, including the handling of the attempt's end, in nanoseconds.
pub fn routing_ns(servers: usize) -> f64 {
    let host = HostId::from("entry-1.1");
    let mut core = RouteCore::new(
        host.clone(),
        HallId::from("hall-0"),
        RouteLimits::default(),
        1,
    );
    core.handle(
        1,
        RouteEvent::FirstViewReceived {
            version: 1,
            members: vec![host],
        },
    );
    let entries = (0..servers).map(|number| {
        let hall = format!("hall-{}", number % 15);
        ServerEntry::plain(&format!("server-{number}"), "pricing", &hall)
    });
    core.handle(1, RouteEvent::ServersListed(entries.collect()));
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let began = Instant::now();
    let mut in_flight: Vec<u64> = Vec::new();
    for number in 0..TIMED_DECISIONS as u64 {
        let info = RequestInfo::plain(number, "pricing", 10_000);
        let actions = core.handle(2, RouteEvent::Arrived(info));
        if matches!(actions.first(), Some(RouteAction::Dispatch { .. })) {
            in_flight.push(number);
        }
        if in_flight.len() > servers {
            let position = rng.random_range(0..in_flight.len());
            let request = in_flight.swap_remove(position);
            let end = AttemptEnd::Answered { latency_ms: 5 };
            core.handle(2, RouteEvent::Ended { request, end });
        }
    }
    began.elapsed().as_nanos() as f64 / TIMED_DECISIONS as f64
}

/// Time to parse a configuration set with `jobs` jobs and find the home shard of each task, in milliseconds, and the size of the set in bytes.
pub fn configuration_cost(jobs: usize, shards: usize) -> (f64, usize) {
    let specs =
        (0..jobs).map(|number| job_spec(&format!("job-{number}"), "family", 4, 1_000, 60_000));
    let set = ConfigSet {
        jobs: specs.collect(),
        ..ConfigSet::default()
    };
    let bytes = set.to_bytes();
    let ids: Vec<ShardId> = (0..shards)
        .map(|number| ShardId::from(format!("shard-{number}")))
        .collect();
    let began = Instant::now();
    let parsed = ConfigSet::from_bytes(&bytes).expect("the set was just serialized");
    let mut own_tasks = 0;
    for spec in &parsed.jobs {
        for index in 0..spec.tasks {
            own_tasks += usize::from(home_shard(&spec.name, index, &ids) == Some(&ids[0]));
        }
    }
    black_box(own_tasks);
    (began.elapsed().as_secs_f64() * 1_000.0, bytes.len())
}

/// Encoded size of the news that one host sends to its peers, in bytes.
///
/// `rooms` is the number of shards whose free capacity is reported, `leaving` the number of leaving servers,
/// `windows` the number of latency windows.
pub fn news_bytes(rooms: usize, leaving: usize, windows: usize) -> usize {
    let mut news = HostNews::empty(HostId::from("entry-1.0123456789abcdef"));
    news.digest = "0".repeat(64);
    news.rooms = (0..rooms)
        .map(|number| ShardRoom {
            shard: ShardId::from(format!("orange-valley-{number}")),
            capacity: ResourceSize::default(),
            largest: ResourceSize::default(),
            cpu_millis: 1,
        })
        .collect();
    let servers = (0..leaving).map(|number| format!("pricing-orange-valley-w{number}"));
    news.leaving = servers.map(ServerId::from).collect();
    news.latencies = (0..windows)
        .map(|number| LatencyWindow {
            service: ServiceId::from("pricing"),
            worker: WorkerId::from(format!("orange-valley-w{number}")),
            count: 1,
            total_ms: 1,
        })
        .collect();
    news.encoded_len()
}

/// Prints the scaling measurements as Markdown tables.
pub fn print_slopes() {
    println!("| workers in one shard | cpu ms per s | messages/s | worker KB/s | store writes/s | store KB/s | starts/s | KB per worker | snapshot B per task | takeover cpu ms |");
    println!("|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|");
    for workers in FLEET_SIZES {
        let costs = measure_owner(workers);
        println!(
            "| {} | {:.2} | {:.0} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} | {:.0} | {:.1} |",
            costs.workers,
            costs.cpu_ms_per_s,
            costs.messages_per_s,
            costs.worker_bytes_per_s / 1_024.0,
            costs.writes_per_s,
            costs.store_bytes_per_s / 1_024.0,
            costs.starts_per_s,
            costs.bytes_per_worker / 1_024.0,
            costs.snapshot_bytes_per_task,
            costs.takeover_ms
        );
    }
    println!("\n| rooms | leaving servers | latency windows | bytes of one host's news |");
    println!("|--:|--:|--:|--:|");
    for (rooms, leaving, windows) in [
        (0, 0, 0),
        (1, 0, 0),
        (40, 0, 0),
        (1, 100, 0),
        (1, 0, 65),
        (1, 0, 1_000),
    ] {
        let bytes = news_bytes(rooms, leaving, windows);
        println!("| {rooms} | {leaving} | {windows} | {bytes} |");
    }
    println!("\n| jobs in the set | cpu ms to take in one change (40 shards) | set KB |");
    println!("|--:|--:|--:|");
    for jobs in [1_000, 10_000, 50_000] {
        let (elapsed_ms, bytes) = configuration_cost(jobs, 40);
        println!("| {jobs} | {elapsed_ms:.0} | {} |", bytes / 1_024);
    }
}

/// Prints the time of placement and routing decisions as a Markdown table.
pub fn print_costs() {
    println!("| workers or servers | placement us | routing us |");
    println!("|--:|--:|--:|");
    for size in [65, 2_000, 17_000] {
        let placement = placement_ns(size) / 1_000.0;
        let routing = routing_ns(size) / 1_000.0;
        println!("| {size} | {placement:.2} | {routing:.2} |");
    }
}
