//! Slopes towards the planned size: processor time, memory and bytes for each worker, task, server and host.
//!
//! Each figure is taken at several sizes in one run; what counts is how it grows.

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

use crate::control::{entry, job};

/// Sizes of fleets.
pub const SIZES: [usize; 4] = [50, 500, 2_000, 17_000];
/// Tasks on each worker, about as planned: 190,000 on 17,000.
const TASKS_PER_WORKER: usize = 11;
/// Virtual time of the steady state that is measured.
const STEADY_MS: Millis = 20_000;
/// Decisions timed at a time.
const DECISIONS: usize = 20_000;

/// One size's figures of a shard owner.
#[derive(Clone, Debug)]
pub struct OwnerSlope {
    /// Workers of the shard.
    pub workers: usize,
    /// Processor time for each second of virtual time, in milliseconds.
    pub cpu_ms_per_s: f64,
    /// Messages to workers for each second.
    pub messages_per_s: f64,
    /// Bytes of orders and reports for each second, as JSON.
    pub worker_bytes_per_s: f64,
    /// Store writes for each second.
    pub writes_per_s: f64,
    /// Bytes written to the store for each second.
    pub store_bytes_per_s: f64,
    /// Starts for each second.
    pub starts_per_s: f64,
    /// Resident memory that the owner took, in bytes for each worker.
    pub bytes_per_worker: f64,
    /// Bytes of a snapshot for each task.
    pub snapshot_per_task: f64,
    /// Processor time of a takeover, in milliseconds.
    pub takeover_ms: f64,
}

fn resident_bytes() -> f64 {
    const PAGE: f64 = 4_096.0;
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<f64>().ok())
        .unwrap_or(0.0)
        * PAGE
}

/// A shard's owner over fakes that answer within the same virtual millisecond.
struct OwnerRig {
    owner: ShardOwner,
    store: FakeStore,
    workers: Vec<FakeWorker>,
    shard: ShardId,
    now: Millis,
    worker_bytes: u64,
    store_bytes: u64,
    owner_ns: u128,
}

impl OwnerRig {
    fn new(count: usize) -> Self {
        let shard = ShardId::from("shard-0");
        let owner = ShardOwner::new(
            shard.clone(),
            HostId::from("entry-1.1"),
            LeaseTimes::default(),
            1,
        );
        let workers = (0..count).map(|number| {
            let entry = entry(number, 1, 24_000, "pricing");
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

    fn begin(&mut self) {
        let count = self.workers.len();
        let present = (0..count).map(|number| entry(number, 1, 24_000, "pricing"));
        let event = ShardEvent::WorkersListed {
            present: present.collect(),
            leaving: BTreeSet::new(),
            gone: BTreeSet::new(),
        };
        self.feed(event);
        let huge = ResourceSize::new(1 << 40, 1 << 40, 0);
        let team = TeamId::from("team");
        self.feed(ShardEvent::QuotaSliceUpdated {
            team: team.clone(),
            slice: huge,
        });
        // 190,000 running tasks and 240,000 jobs a day make a task run for about a quarter of an hour;
        // here one in eight is short, which gives the planned 1,200 starts a second at 17,000 workers.
        let tasks = (count * TASKS_PER_WORKER) as u32;
        let set = ConfigSet {
            jobs: vec![
                job("long", "long", tasks * 7 / 8, 1_500, 900_000),
                job("short", "short", tasks * 4, 1_500, 18_000),
            ],
            teams: vec![TeamQuota {
                name: team,
                quota: huge,
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
        let number: usize = worker.as_str()[2..].parse().expect("workers are numbered");
        let report = self.workers[number].handle(self.now, &orders);
        let sent = serde_json::to_vec(&orders).map_or(0, |text| text.len());
        let answered = serde_json::to_vec(&report).map_or(0, |text| text.len());
        self.worker_bytes += (sent + answered) as u64;
        Some(ShardEvent::WorkerAnswered {
            worker,
            epoch: orders.epoch,
            number: orders.number,
            report: Some(report),
        })
    }

    /// Counts what is written; snapshots and the inbox are left out, as they would hide the steady state.
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

/// Measures a shard owner at one size.
pub fn owner_slope(workers: usize) -> OwnerSlope {
    let mut rig = OwnerRig::new(workers);
    let fakes = resident_bytes();
    rig.begin();
    rig.run_until(40_000);
    let after = resident_bytes();
    let (messages, writes) = (rig.owner.counts().messages, rig.store.table.commits);
    let placed = rig.owner.state().stats.placed;
    (rig.worker_bytes, rig.store_bytes, rig.owner_ns) = (0, 0, 0);
    let from = rig.now;
    rig.run_until(from + STEADY_MS);
    let seconds = (rig.now - from) as f64 / 1_000.0;
    let tasks: usize = rig
        .owner
        .state()
        .jobs
        .values()
        .map(|job| job.tasks.len())
        .sum();
    let snapshot = encode_snapshot(rig.owner.state());
    let starts = rig.owner.state().stats.placed - placed;
    let steady_ns = rig.owner_ns;
    let counts = *rig.owner.counts();
    let (worker_bytes, store_bytes, commits) =
        (rig.worker_bytes, rig.store_bytes, rig.store.table.commits);
    let takeover_ms = takeover(&mut rig);
    OwnerSlope {
        workers,
        cpu_ms_per_s: steady_ns as f64 / 1e6 / seconds,
        messages_per_s: (counts.messages - messages) as f64 / seconds,
        worker_bytes_per_s: worker_bytes as f64 / seconds,
        writes_per_s: (commits - writes) as f64 / seconds,
        store_bytes_per_s: store_bytes as f64 / seconds,
        starts_per_s: starts as f64 / seconds,
        bytes_per_worker: (after - fakes).max(0.0) / workers as f64,
        snapshot_per_task: snapshot.len() as f64 / tasks.max(1) as f64,
        takeover_ms,
    }
}

/// Has a second owner take the shard over; returns its processor time until it holds it.
fn takeover(rig: &mut OwnerRig) -> f64 {
    let host = HostId::from("entry-2.1");
    rig.owner = ShardOwner::new(rig.shard.clone(), host, LeaseTimes::default(), 2);
    rig.owner_ns = 0;
    let from = rig.now;
    while !rig.owner.is_owner(rig.now) && rig.now < from + 10_000 {
        rig.run_until(rig.now + 100);
    }
    rig.owner_ns as f64 / 1e6
}

/// Time of one placement decision and its reservation, in nanoseconds.
pub fn placement_ns(workers: usize) -> f64 {
    let mut pool = WorkerPool::new(1, Default::default());
    for number in 0..workers {
        let entry = entry(number, 15, 24_000, "pricing");
        pool.upsert(&entry);
        pool.set_open(&entry.worker, true);
    }
    let need = TaskNeed::plain(ResourceSize::new(1_500, 1_000, 0), "long");
    let rounds = DECISIONS.min(workers * 8);
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
            let tenant = TaskReservation {
                attempt: attempt.clone(),
                size: need.size,
                family: need.family.clone(),
                checkpoint: true,
                repeatable: true,
                progress_percent: 0,
            };
            if pool.reserve(&choice.worker, tenant).is_ok() {
                placed.push((choice.worker, attempt));
            }
        }
    }
    let taken = began.elapsed().as_nanos() as f64;
    black_box(placed.len());
    taken / rounds as f64
}

/// Time of one routing decision with its end, in nanoseconds.
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
    let mut source = ChaCha8Rng::seed_from_u64(1);
    let began = Instant::now();
    let mut open: Vec<u64> = Vec::new();
    for number in 0..DECISIONS as u64 {
        let info = RequestInfo::plain(number, "pricing", 10_000);
        let actions = core.handle(2, RouteEvent::Arrived(info));
        if matches!(actions.first(), Some(RouteAction::Dispatch { .. })) {
            open.push(number);
        }
        if open.len() > servers {
            let position = source.random_range(0..open.len());
            let request = open.swap_remove(position);
            let end = AttemptEnd::Answered { latency_ms: 5 };
            core.handle(2, RouteEvent::Ended { request, end });
        }
    }
    began.elapsed().as_nanos() as f64 / DECISIONS as f64
}

/// Processor time to take in one configuration change, in milliseconds, and the set's bytes, with so many jobs.
pub fn configuration_cost(jobs: usize, shards: usize) -> (f64, usize) {
    let specs = (0..jobs).map(|number| job(&format!("job-{number}"), "family", 4, 1_000, 60_000));
    let set = ConfigSet {
        jobs: specs.collect(),
        ..ConfigSet::default()
    };
    let bytes = set.to_bytes();
    let ids: Vec<ShardId> = (0..shards)
        .map(|number| ShardId::from(format!("shard-{number}")))
        .collect();
    let began = Instant::now();
    let read = ConfigSet::from_bytes(&bytes).expect("it was just written");
    let mut own = 0;
    for spec in &read.jobs {
        for index in 0..spec.tasks {
            own += usize::from(home_shard(&spec.name, index, &ids) == Some(&ids[0]));
        }
    }
    black_box(own);
    (began.elapsed().as_secs_f64() * 1_000.0, bytes.len())
}

/// Bytes of one host's news with so many rooms, leaving servers and latency windows.
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

/// Prints every slope as Markdown tables.
pub fn print_slopes() {
    println!("| workers in one shard | cpu ms per s | messages/s | worker KB/s | store writes/s | store KB/s | starts/s | KB per worker | snapshot B per task | takeover cpu ms |");
    println!("|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|");
    for workers in SIZES {
        let slope = owner_slope(workers);
        println!(
            "| {} | {:.2} | {:.0} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} | {:.0} | {:.1} |",
            slope.workers,
            slope.cpu_ms_per_s,
            slope.messages_per_s,
            slope.worker_bytes_per_s / 1_024.0,
            slope.writes_per_s,
            slope.store_bytes_per_s / 1_024.0,
            slope.starts_per_s,
            slope.bytes_per_worker / 1_024.0,
            slope.snapshot_per_task,
            slope.takeover_ms
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
        let (taken, bytes) = configuration_cost(jobs, 40);
        println!("| {jobs} | {taken:.0} | {} |", bytes / 1_024);
    }
}

/// Prints what decisions cost.
pub fn print_costs() {
    println!("| workers or servers | placement us | routing us |");
    println!("|--:|--:|--:|");
    for size in [65, 2_000, 17_000] {
        let placement = placement_ns(size) / 1_000.0;
        let routing = routing_ns(size) / 1_000.0;
        println!("| {size} | {placement:.2} | {routing:.2} |");
    }
}
