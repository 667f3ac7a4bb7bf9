//! Simulates one run: the routers of the entry hosts, backend servers that are slowed down by batch tasks on the same worker, and batch work.

mod requests;
mod scenario_events;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

use hdrhistogram::Histogram;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sandshelf_model::{HallId, HostId, JobId, Millis, ServerId, ServiceId, WorkerId};
use sandshelf_place::{LatencyWindow, LoadBand, SlowdownMeter, SlowdownSample};
use sandshelf_route::{RouteCore, RouteEvent, RouteLimits, ServerEntry};

use crate::batch::{worker_entry, BatchSimulation};
use crate::ground_truth::{true_slowdown, FAMILIES, SERVICES};
use crate::scenario::RunPlan;

/// Number of entry hosts in a run.
const ENTRY_HOSTS: usize = 6;
/// Number of request slots of one backend server.
const SLOTS_PER_SERVER: u32 = 8;
/// Mean service time of a request without interference.
const MEAN_SERVICE_US: f64 = 60_000.0;
/// Time from the arrival of a request to its deadline.
const REQUEST_DEADLINE_MS: Millis = 2_000;
/// One-way network latency between an entry host and a backend server in different halls.
const INTER_HALL_US: u64 = 500;
/// Interval at which server slowdowns and batch work are updated.
const TICK_MS: Millis = 100;
/// Length of the latency windows from which slowdown samples are computed.
const LATENCY_WINDOW_MS: Millis = 1_000;
/// Delay between the computation of a slowdown sample and its delivery to the shard owner.
const SAMPLE_DELAY_MS: Millis = 1_500;
/// Delay between the failure of workers and their listing as gone by the platform.
const LOSS_LISTING_DELAY_MS: Millis = 3_000;
/// Interval at which urgent jobs are declared.
const URGENT_INTERVAL_MS: Millis = 5_000;
/// Run time of a task of the first family at full speed.
const BASE_TASK_MS: Millis = 9_000;
/// Additional run time of a task for each further family.
const TASK_MS_STEP: Millis = 2_000;
/// Fraction of the run that is not measured, because the policies still learn their estimates.
const WARM_UP_FRACTION: f64 = 0.4;

/// Results of one run, without the warm-up.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// Latencies of answered requests, in microseconds.
    pub latency: Histogram<u64>,
    /// Number of requests that arrived after the warm-up.
    pub arrived: u64,
    /// Number of requests answered within their deadline.
    pub within_deadline: u64,
    /// Number of requests that were given up and certainly did not run.
    pub not_run: u64,
    /// Number of requests that were given up after they ran or may have run.
    pub may_have_run: u64,
    /// Batch work done and not lost, in task seconds at full speed.
    pub batch_s: u64,
    /// Number of evicted tasks.
    pub evictions: u64,
    /// Run time of attempts that ended without finish or checkpoint, in task seconds.
    pub wasted_s: u64,
    /// The longest time from the declaration of an urgent job to its start, in milliseconds.
    ///
    /// Jobs that have not started at the end of the run count with the time that they have waited.
    pub urgent_ms: Millis,
}

impl RunResult {
    /// The latency at `percentile` (0 to 100), in milliseconds.
    pub fn latency_ms(&self, percentile: f64) -> f64 {
        self.latency.value_at_percentile(percentile) as f64 / 1_000.0
    }

    /// Requests that were not answered, in percent of the arrived requests.
    pub fn lost_percent(&self) -> f64 {
        (self.not_run + self.may_have_run) as f64 * 100.0 / self.arrived.max(1) as f64
    }
}

/// A simulated event. Hosts and servers are given by their positions.
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
        incarnation: u32,
    },
    Ended {
        host: usize,
        request: u64,
        end: SimEnd,
    },
    Tick,
}

/// How an attempt of a request at a backend server ended.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEnd {
    Answered,
    NotRun,
    MayHaveRun,
}

/// A backend server on its worker.
struct SimServer {
    worker: WorkerId,
    service: usize,
    hall: usize,
    alive: bool,
    /// Incremented when the server fails, so that completions from before the failure are ignored.
    incarnation: u32,
    busy_slots: u32,
    /// Exponential moving average of `busy_slots`, updated every tick.
    mean_busy_slots: f64,
    /// Current slowdown minus one.
    slowdown: f64,
    /// Entry host and request of each running attempt.
    in_flight: Vec<(usize, u64)>,
}

struct SimRequest {
    arrived_us: u64,
    /// When the last attempt was sent.
    sent_us: u64,
    /// Whether the request arrived after the warm-up.
    measured: bool,
}

/// State of one run. Times with the suffix `_us` are virtual microseconds since the start.
///
/// Events with the same time are handled in the order in which they were pushed.
struct FleetSim {
    plan: RunPlan,
    now_us: u64,
    event_count: u64,
    queue: BinaryHeap<Reverse<(u64, u64, SimEvent)>>,
    rng: ChaCha8Rng,
    hosts: Vec<RouteCore>,
    host_alive: Vec<bool>,
    servers: Vec<SimServer>,
    requests: HashMap<u64, SimRequest>,
    /// Latencies per worker since the last slowdown samples were computed.
    windows: BTreeMap<WorkerId, LatencyWindow>,
    /// Slowdown samples that have not been delivered, with their due times.
    delayed_samples: Vec<(Millis, WorkerId, SlowdownSample)>,
    slowdown_meter: SlowdownMeter,
    batch: BatchSimulation,
    result: RunResult,
    next_request: u64,
    /// Urgent jobs that have not started, with the times of their declaration.
    waiting_urgent: Vec<(Millis, JobId)>,
    urgent_count: u32,
    scenario_applied: bool,
    /// When failed workers are listed as gone; none if no listing is due.
    loss_listed_at: Option<Millis>,
    /// Totals at the end of the warm-up, subtracted from the totals at the end of the run.
    warm_up_progress_ms: u64,
    warm_up_evictions: u64,
    warm_up_wasted_ms: u64,
    warmed_up: bool,
}

/// Simulates one run for the length given in `plan` and returns its results.
pub fn run(plan: RunPlan) -> RunResult {
    let mut sim = FleetSim::new(plan);
    sim.push(1, SimEvent::Tick);
    sim.push(2, SimEvent::Arrival);
    let end_us = plan.length_ms * 1_000;
    while let Some(Reverse((due_us, _, event))) = sim.queue.pop() {
        if due_us > end_us {
            break;
        }
        sim.now_us = due_us;
        sim.handle_event(event);
    }
    sim.finish()
}

impl FleetSim {
    fn new(plan: RunPlan) -> Self {
        let (halls, workers) = plan.operator.halls_and_workers();
        let cpu = plan.operator.cpu_millis();
        let entries: Vec<_> = (0..workers)
            .map(|number| {
                worker_entry(
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
            incarnation: 0,
            busy_slots: 0,
            mean_busy_slots: 0.0,
            slowdown: 0.0,
            in_flight: Vec::new(),
        });
        let servers: Vec<SimServer> = servers.collect();
        let mut batch =
            BatchSimulation::new(entries, plan.operator.weights(), &plan.policy, plan.seed);
        if plan.policy.oracle {
            batch.learn_samples(&oracle_samples());
        }
        let hosts = (0..ENTRY_HOSTS).map(|number| make_host(&plan, number, halls, &servers));
        let hosts: Vec<RouteCore> = hosts.collect();
        Self {
            plan,
            now_us: 0,
            event_count: 0,
            queue: BinaryHeap::new(),
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            host_alive: vec![true; hosts.len()],
            hosts,
            servers,
            requests: HashMap::new(),
            windows: BTreeMap::new(),
            delayed_samples: Vec::new(),
            slowdown_meter: SlowdownMeter::default(),
            batch,
            result: RunResult {
                latency: Histogram::new(3).expect("three significant digits are supported"),
                arrived: 0,
                within_deadline: 0,
                not_run: 0,
                may_have_run: 0,
                batch_s: 0,
                evictions: 0,
                wasted_s: 0,
                urgent_ms: 0,
            },
            next_request: 0,
            waiting_urgent: Vec::new(),
            urgent_count: 0,
            scenario_applied: false,
            loss_listed_at: None,
            warm_up_progress_ms: 0,
            warm_up_evictions: 0,
            warm_up_wasted_ms: 0,
            warmed_up: false,
        }
    }

    fn now_ms(&self) -> Millis {
        self.now_us / 1_000 + 1
    }

    fn elapsed_fraction(&self) -> f64 {
        self.now_us as f64 / (self.plan.length_ms * 1_000) as f64
    }

    fn push(&mut self, due_us: u64, event: SimEvent) {
        self.event_count += 1;
        self.queue.push(Reverse((due_us, self.event_count, event)));
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrival => self.handle_arrival(),
            SimEvent::ServerStart {
                host,
                request,
                server,
            } => self.handle_server_start(host, request, server),
            SimEvent::ServerDone {
                host,
                request,
                server,
                incarnation,
            } => self.handle_server_done(host, request, server, incarnation),
            SimEvent::Ended { host, request, end } => self.handle_attempt_end(host, request, end),
            SimEvent::Tick => self.tick(),
        }
    }

    fn tick(&mut self) {
        let now = self.now_ms();
        self.push(self.now_us + TICK_MS * 1_000, SimEvent::Tick);
        self.update_phase(now);
        self.apply_scenario(now);
        self.batch.tick(now);
        self.update_speeds();
        for host in 0..ENTRY_HOSTS {
            let actions = self.hosts[host].handle(now, RouteEvent::Tick);
            self.apply_actions(host, actions);
        }
        if now % LATENCY_WINDOW_MS < TICK_MS {
            self.sample_slowdowns(now);
        }
        if now % URGENT_INTERVAL_MS < TICK_MS {
            self.declare_urgent_job(now);
        }
        self.check_urgent_starts(now);
        self.deliver_due_samples(now);
    }

    fn finish(mut self) -> RunResult {
        let now = self.now_ms();
        let waits = self.waiting_urgent.iter().map(|(since, _)| now - since);
        self.result.urgent_ms = waits.fold(self.result.urgent_ms, Millis::max);
        self.result.batch_s = self
            .batch
            .total_progress_ms()
            .saturating_sub(self.warm_up_progress_ms)
            / 1_000;
        self.result.evictions = self.batch.evictions - self.warm_up_evictions;
        self.result.wasted_s = (self.batch.total_wasted_ms() - self.warm_up_wasted_ms) / 1_000;
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
    digits.parse().expect("server names end in a number")
}

fn server_number(worker: &WorkerId) -> usize {
    let digits = worker.as_str().trim_start_matches("w-");
    digits.parse().expect("worker names end in a number")
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
        slots: SLOTS_PER_SERVER,
    };
    let mut core = RouteCore::new(host_id(number), hall, limits, plan.seed ^ number as u64);
    core.set_strategy(plan.policy.route);
    core.handle(
        1,
        RouteEvent::FirstViewReceived {
            version: 1,
            members: (0..ENTRY_HOSTS).map(host_id).collect(),
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

/// Slowdown samples that state the true slowdowns directly, for the oracle policy.
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
                    slowdown: true_slowdown(position, family, band),
                    stamped_at: 0,
                };
                samples.extend(std::iter::repeat_n(sample, 40));
            }
        }
    }
    samples
}
