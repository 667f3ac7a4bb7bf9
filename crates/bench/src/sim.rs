//! One run: entry hosts' routers, backend servers whose speed depends on what runs beside them, and the batch side.

mod happenings;
mod requests;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

use hdrhistogram::Histogram;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sandshelf_model::{HallId, HostId, JobId, Millis, ServerId, ServiceId, WorkerId};
use sandshelf_place::{LatencyWindow, LoadBand, SlowdownMeter, SlowdownSample};
use sandshelf_route::{RouteCore, RouteEvent, RouteLimits, ServerEntry};

use crate::control::{entry, BatchSide};
use crate::scenario::RunPlan;
use crate::truth::{effect, FAMILIES, SERVICES};

/// Entry hosts of a run.
const HOSTS: usize = 6;
/// Slots of one backend server.
const SLOTS: u32 = 8;
/// What a request takes alone, on average, in microseconds.
const SERVICE_US: f64 = 60_000.0;
/// How long a caller waits.
const DEADLINE_MS: Millis = 2_000;
/// One way between halls, in microseconds.
const HALL_US: u64 = 500;
/// How often speeds and the batch side are brought up to date.
const TICK_MS: Millis = 100;
/// How often latencies are judged.
const JUDGE_MS: Millis = 1_000;
/// How late a measurement arrives.
const LAG_MS: Millis = 1_500;
/// How long after a loss the platform lists it.
const LIST_LAG_MS: Millis = 3_000;
/// How often an urgent job is declared.
const URGENT_EVERY_MS: Millis = 5_000;
/// How long the tasks of the first family run undisturbed.
const TASK_MS: Millis = 9_000;
/// How much longer the tasks of each further family run.
const LONGER_MS: Millis = 2_000;
/// The part of the run that is not measured, as estimates are learned.
const WARM_UP: f64 = 0.4;

/// What a run came to.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// Latencies of answered requests, in microseconds.
    pub latency: Histogram<u64>,
    /// Requests that arrived after the warm-up.
    pub arrived: u64,
    /// Requests answered within their deadline.
    pub good: u64,
    /// Requests that were not run.
    pub refused: u64,
    /// Requests of unknown fate.
    pub unknown: u64,
    /// Batch work done and not lost, in task seconds at full speed.
    pub batch_s: u64,
    /// Evictions.
    pub evictions: u64,
    /// Run time wasted, in task seconds.
    pub wasted_s: u64,
    /// The longest time that an urgent job took to start.
    pub urgent_ms: Millis,
}

impl RunResult {
    /// A percentile of the latency, in milliseconds.
    pub fn latency_ms(&self, percentile: f64) -> f64 {
        self.latency.value_at_percentile(percentile) as f64 / 1_000.0
    }

    /// The part of requests that were not answered, in percent.
    pub fn lost_percent(&self) -> f64 {
        (self.refused + self.unknown) as f64 * 100.0 / self.arrived.max(1) as f64
    }
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Arrival,
    ServerStart {
        host: usize,
        request: u64,
        server: usize,
    },
    ServerDone {
        host: usize,
        request: u64,
        server: usize,
        life: u32,
    },
    Ended {
        host: usize,
        request: u64,
        end: SimEnd,
    },
    Tick,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEnd {
    Answered,
    NotRun,
    MayHaveRun,
}

struct SimServer {
    worker: WorkerId,
    service: usize,
    hall: usize,
    alive: bool,
    life: u32,
    busy: u32,
    busy_mean: f64,
    slowdown: f64,
    open: Vec<(usize, u64)>,
}

struct SimRequest {
    arrived_us: u64,
    sent_us: u64,
    measured: bool,
}

/// One run's state.
struct FleetSim {
    plan: RunPlan,
    now_us: u64,
    order: u64,
    queue: BinaryHeap<Reverse<(u64, u64, SimEvent)>>,
    source: ChaCha8Rng,
    hosts: Vec<RouteCore>,
    host_alive: Vec<bool>,
    servers: Vec<SimServer>,
    requests: HashMap<u64, SimRequest>,
    windows: BTreeMap<WorkerId, LatencyWindow>,
    late: Vec<(Millis, WorkerId, SlowdownSample)>,
    meter: SlowdownMeter,
    batch: BatchSide,
    result: RunResult,
    next_request: u64,
    urgent: Vec<(Millis, JobId)>,
    urgent_count: u32,
    happened: bool,
    listed_at: Option<Millis>,
    work_before: u64,
    evictions_before: u64,
    wasted_before: u64,
    warm: bool,
}

/// Runs one plan to its end.
pub fn run(plan: RunPlan) -> RunResult {
    let mut sim = FleetSim::new(plan);
    sim.push(1, SimEvent::Tick);
    sim.push(2, SimEvent::Arrival);
    let end_us = plan.length_ms * 1_000;
    while let Some(Reverse((at, _, event))) = sim.queue.pop() {
        if at > end_us {
            break;
        }
        sim.now_us = at;
        sim.happen(event);
    }
    sim.finish()
}

impl FleetSim {
    fn new(plan: RunPlan) -> Self {
        let (halls, workers) = plan.operator.size();
        let cpu = plan.operator.cpu_millis();
        let entries: Vec<_> = (0..workers)
            .map(|number| {
                entry(
                    number,
                    halls,
                    cpu,
                    SERVICES[number / halls % SERVICES.len()],
                )
            })
            .collect();
        let servers = entries.iter().enumerate().map(|(number, entry)| SimServer {
            worker: entry.worker.clone(),
            service: number / halls % SERVICES.len(),
            hall: number % halls,
            alive: true,
            life: 0,
            busy: 0,
            busy_mean: 0.0,
            slowdown: 0.0,
            open: Vec::new(),
        });
        let servers: Vec<SimServer> = servers.collect();
        let mut batch = BatchSide::new(entries, plan.operator.weights(), &plan.policy, plan.seed);
        if plan.policy.oracle {
            batch.teach(&oracle_samples());
        }
        let hosts = (0..HOSTS).map(|number| make_host(&plan, number, halls, &servers));
        let hosts: Vec<RouteCore> = hosts.collect();
        Self {
            plan,
            now_us: 0,
            order: 0,
            queue: BinaryHeap::new(),
            source: ChaCha8Rng::seed_from_u64(plan.seed),
            host_alive: vec![true; hosts.len()],
            hosts,
            servers,
            requests: HashMap::new(),
            windows: BTreeMap::new(),
            late: Vec::new(),
            meter: SlowdownMeter::default(),
            batch,
            result: RunResult {
                latency: Histogram::new(3).expect("three digits are allowed"),
                arrived: 0,
                good: 0,
                refused: 0,
                unknown: 0,
                batch_s: 0,
                evictions: 0,
                wasted_s: 0,
                urgent_ms: 0,
            },
            next_request: 0,
            urgent: Vec::new(),
            urgent_count: 0,
            happened: false,
            listed_at: None,
            work_before: 0,
            evictions_before: 0,
            wasted_before: 0,
            warm: false,
        }
    }

    fn now_ms(&self) -> Millis {
        self.now_us / 1_000 + 1
    }

    fn part(&self) -> f64 {
        self.now_us as f64 / (self.plan.length_ms * 1_000) as f64
    }

    fn push(&mut self, at: u64, event: SimEvent) {
        self.order += 1;
        self.queue.push(Reverse((at, self.order, event)));
    }

    fn happen(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrival => self.arrive(),
            SimEvent::ServerStart {
                host,
                request,
                server,
            } => self.start(host, request, server),
            SimEvent::ServerDone {
                host,
                request,
                server,
                life,
            } => self.done(host, request, server, life),
            SimEvent::Ended { host, request, end } => self.end(host, request, end),
            SimEvent::Tick => self.tick(),
        }
    }

    fn tick(&mut self) {
        let now = self.now_ms();
        self.push(self.now_us + TICK_MS * 1_000, SimEvent::Tick);
        self.begin(now);
        self.let_things_happen(now);
        self.batch.tick(now);
        self.update_speeds();
        for host in 0..HOSTS {
            let actions = self.hosts[host].handle(now, RouteEvent::Tick);
            self.act(host, actions);
        }
        if now % JUDGE_MS < TICK_MS {
            self.judge(now);
        }
        if now % URGENT_EVERY_MS < TICK_MS {
            self.declare_urgent(now);
        }
        self.watch_urgent(now);
        self.deliver_late(now);
    }

    fn finish(mut self) -> RunResult {
        let now = self.now_ms();
        let waiting = self.urgent.iter().map(|(since, _)| now - since);
        self.result.urgent_ms = waiting.fold(self.result.urgent_ms, Millis::max);
        self.result.batch_s = self
            .batch
            .total_progress_ms()
            .saturating_sub(self.work_before)
            / 1_000;
        self.result.evictions = self.batch.evictions - self.evictions_before;
        self.result.wasted_s = (self.batch.total_wasted_ms() - self.wasted_before) / 1_000;
        self.result
    }
}

fn host_id(number: usize) -> HostId {
    HostId::from(format!("entry-{number}.1"))
}

fn server_id(number: usize) -> ServerId {
    ServerId::from(format!("server-{number}"))
}

fn server_position(server: &ServerId) -> usize {
    let digits = server.as_str().trim_start_matches("server-");
    digits.parse().expect("servers are numbered")
}

fn server_number(worker: &WorkerId) -> usize {
    let digits = worker.as_str().trim_start_matches("w-");
    digits.parse().expect("workers are numbered")
}

fn family_of(job: &JobId) -> &str {
    let name = job.as_str();
    match name.split_once('-') {
        Some((family, "backlog")) => family,
        _ if name == "wave" => "noisy",
        _ => "urgent",
    }
}

fn make_host(plan: &RunPlan, number: usize, halls: usize, servers: &[SimServer]) -> RouteCore {
    let hall = HallId::from(format!("hall-{}", number % halls));
    let limits = RouteLimits {
        queue: 400,
        slots: SLOTS,
    };
    let mut core = RouteCore::new(host_id(number), hall, limits, plan.seed ^ number as u64);
    core.set_strategy(plan.policy.route);
    core.handle(
        1,
        RouteEvent::FirstViewReceived {
            version: 1,
            members: (0..HOSTS).map(host_id).collect(),
        },
    );
    let entries = servers.iter().enumerate().map(|(position, server)| {
        let hall = format!("hall-{}", server.hall);
        ServerEntry::plain(
            server_id(position).as_str(),
            SERVICES[server.service],
            &hall,
        )
    });
    core.handle(1, RouteEvent::ServersListed(entries.collect()));
    core
}

/// Measurements that say the hidden effects outright; for the oracle.
fn oracle_samples() -> Vec<SlowdownSample> {
    let mut samples = Vec::new();
    let families = FAMILIES.iter().chain(&["noisy"]);
    for (position, service) in SERVICES.iter().enumerate() {
        for family in families.clone() {
            for band in LoadBand::ALL {
                let sample = SlowdownSample {
                    service: ServiceId::from(*service),
                    families: vec![((*family).to_owned(), 1)],
                    band,
                    slowdown: effect(position, family, band),
                    stamped_at: 0,
                };
                samples.extend(std::iter::repeat_n(sample, 40));
            }
        }
    }
    samples
}
