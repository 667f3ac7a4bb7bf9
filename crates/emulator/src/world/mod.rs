//! The emulated platform: hosts, workers, store, callers and the operator, driven by one queue of timed events.

mod callers;
mod cuts;
mod day_events;
mod fleet;
mod monitor;
mod outcomes;
mod queries;
mod transport;
mod worker_cuts;

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sandshelf_model::Millis;

use crate::catalog::JobCatalog;
use crate::day::{DayEvent, DayPlan};
use crate::deployment::Deployment;
use crate::host::{EmulatedHost, HostAction, HostPause, RequestBody, WorkItem};
use crate::interference::InterferenceModel;
use crate::oracle::{HostOracle, PlatformOracle};
use crate::queue::{EventQueue, Micros, MS};
use crate::store::{EmulatedStore, StoreCall};
use crate::worker::RunProgress;
use callers::{CallerState, TrafficBurst};
use cuts::{CutManner, HallMap};
use fleet::{PlaceIncarnation, WorkerFleet};
use monitor::SimulationMonitor;
use transport::{LinkTransfer, OrderDelivery};

/// How long the machines run before the callers' traffic starts.
pub const WARM_UP_MS: Millis = 8_000;
/// When the first of the jobs that exist before the traffic is submitted.
const INITIAL_JOBS_AT_MS: Millis = 2_000;
/// How often the rules are checked.
const CHECK_INTERVAL_MS: Millis = 100;
/// Each host starts at a random time within this span.
const START_SPREAD_MS: Millis = 300;

/// One incarnation of a host's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct HostIncarnation {
    host: usize,
    number: u32,
}

/// A timed event of the simulation.
#[derive(Debug)]
enum WorldEvent {
    /// A host processes its queued work items.
    HostTurn(HostIncarnation),
    /// A work item arrives at a host.
    HostReceives(HostIncarnation, WorkItem),
    /// A host carries out an action that its turn led to.
    HostActs(HostIncarnation, HostAction),
    /// The next chunk of a transfer is sent over a link.
    LinkChunk(Box<LinkTransfer>),
    /// An order arrives at a worker.
    WorkerReceives(Box<OrderDelivery>),
    /// A call arrives at the store, with the caller's call number.
    StoreReceives(HostIncarnation, u64, StoreCall),
    /// A feed call (a long poll for changes) has reached its longest wait.
    FeedTimeout(HostIncarnation, u64),
    /// The next state change of a worker, or the end of a waiting renewal, is due.
    WorkerDue(PlaceIncarnation),
    /// A new worker starts, under a new name, at the place of one that crashed.
    WorkerReplaced(usize),
    /// The worker of a place restarts under the same name.
    WorkerRestarts(usize),
    /// A draining worker leaves the platform.
    WorkerLeaves(PlaceIncarnation),
    /// A worker that hung answers again.
    WorkerRecovers(PlaceIncarnation),
    /// The worker at a place is cut off for this time.
    WorkerCut(usize, Millis),
    /// The runs on a worker progress differently from now on.
    RunsProgress(PlaceIncarnation, RunProgress),
    /// A host's process starts.
    HostStarts(usize),
    /// The next job of a class is submitted.
    NextJob(usize),
    /// A job that exists before the traffic is submitted.
    InitialJob(usize),
    /// A caller sends a request to a host; the number is that of the try, counted from 1.
    SendRequest(RequestBody, u32),
    /// A caller retries a request, unless it has been answered.
    RetryRequest(usize),
    /// A planned event of the day.
    Planned(DayEvent),
    /// Images whose runs all failed work again.
    ImagesRecover,
    /// The rules are checked.
    CheckRules,
}

/// The emulated platform with its event queue and its oracles.
#[derive(Debug)]
pub struct EmulatedWorld {
    now: Micros,
    queue: EventQueue<WorldEvent>,
    deployment: Deployment,
    ends_at: Micros,
    /// When callers stop submitting jobs.
    traffic_until: Micros,
    random: ChaCha8Rng,
    hosts: Vec<EmulatedHost>,
    fleet: WorkerFleet,
    store: EmulatedStore,
    /// Feed calls that wait at the store for a change.
    parked: Vec<(HostIncarnation, u64, StoreCall)>,
    catalog: JobCatalog,
    interference: InterferenceModel,
    callers: CallerState,
    monitor: SimulationMonitor,
    halls: HallMap,
    /// Until when orders may be delayed, and how many of a thousand are.
    late_orders: (Micros, u32),
    /// Until when, and how many of a thousand, calls to a worker that is down are carried out by its next incarnation.
    outliving_calls: (Micros, u32),
    /// The bursts of traffic so far.
    bursts: Vec<TrafficBurst>,
    /// The workers on which runs are hindered; empty before the first such event.
    hindered: Vec<usize>,
    /// The places whose workers are cut off once they have answered the next owner, each with the cut's duration.
    armed_cuts: BTreeMap<usize, Millis>,
    /// Checks what workers and callers observe.
    pub oracle: PlatformOracle,
    /// Checks what operators and callers observe of hosts.
    pub host_oracle: HostOracle,
}

impl EmulatedWorld {
    /// A world at the start of a day.
    pub fn new(seed: u64, day: DayPlan) -> Self {
        let DayPlan {
            deployment,
            length_ms,
            cool_down_ms,
            events,
        } = day;
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let limits = deployment.scheduler_limits();
        let hosts = deployment.hosts.iter().enumerate();
        let hosts = hosts.map(|(index, model)| EmulatedHost::new(index, seed, *model, limits));
        let images = |index: usize| {
            deployment
                .classes
                .get(index)
                .map_or(1, |class| class.images)
        };
        let interference = InterferenceModel::draw(seed, images(2), images(1), deployment.swing_ms);
        let traffic_until = (WARM_UP_MS + length_ms) * MS;
        let mut world = Self {
            now: 0,
            queue: EventQueue::default(),
            ends_at: traffic_until + cool_down_ms * MS,
            traffic_until,
            hosts: hosts.collect(),
            fleet: WorkerFleet::new(&deployment, &mut random),
            store: EmulatedStore::default(),
            parked: Vec::new(),
            catalog: JobCatalog::new(seed),
            interference,
            callers: CallerState::default(),
            monitor: SimulationMonitor::new(&deployment),
            halls: HallMap::new(deployment.workers),
            late_orders: (0, 0),
            outliving_calls: (0, 0),
            bursts: Vec::new(),
            hindered: Vec::new(),
            armed_cuts: BTreeMap::new(),
            oracle: PlatformOracle::with_bounds(deployment.bounds),
            host_oracle: HostOracle::new(deployment.bounds),
            random,
            deployment,
        };
        world.prepare(events);
        world
    }

    fn prepare(&mut self, events: Vec<(Millis, DayEvent)>) {
        let version = self.store.configure(self.deployment.routes);
        self.host_oracle.configured(0, version);
        for host in 0..self.hosts.len() {
            let at = self.random.random_range(0..START_SPREAD_MS) * MS;
            self.queue.push(at, WorldEvent::HostStarts(host));
        }
        for (index, class) in self.deployment.classes.iter().enumerate() {
            for number in 0..class.initial_jobs {
                let at = (INITIAL_JOBS_AT_MS + number as u64 * 5) * MS;
                self.queue.push(at, WorldEvent::InitialJob(index));
            }
            self.queue.push(WARM_UP_MS * MS, WorldEvent::NextJob(index));
        }
        for (at, event) in events {
            self.queue
                .push((WARM_UP_MS + at) * MS, WorldEvent::Planned(event));
        }
        self.queue
            .push(CHECK_INTERVAL_MS * MS, WorldEvent::CheckRules);
    }

    /// Turns on the measurement of the scheduler's own processor time.
    pub fn measure_scheduler(&mut self) {
        for host in &mut self.hosts {
            host.meter.on = true;
        }
    }

    /// Runs the simulation to the end of the day.
    pub fn run(&mut self) {
        while let Some((at, event)) = self.queue.pop_until(self.ends_at) {
            self.now = at;
            self.oracle.set_time(at / MS);
            self.handle_event(event);
        }
        self.now = self.ends_at;
        self.finish();
    }

    fn is_current(&self, incarnation: HostIncarnation) -> bool {
        self.hosts[incarnation.host].incarnation == incarnation.number
    }

    fn handle_event(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::HostTurn(incarnation) if self.is_current(incarnation) => {
                self.run_turn(incarnation)
            }
            WorldEvent::HostReceives(incarnation, item) if self.is_current(incarnation) => {
                self.enqueue_item(incarnation, item)
            }
            WorldEvent::HostActs(incarnation, action) if self.is_current(incarnation) => {
                self.act(incarnation, action)
            }
            WorldEvent::StoreReceives(incarnation, call, ask) => {
                self.deliver_to_store(incarnation, call, ask)
            }
            WorldEvent::FeedTimeout(incarnation, call) => self.time_out_feed(incarnation, call),
            WorldEvent::HostTurn(_) | WorldEvent::HostReceives(..) | WorldEvent::HostActs(..) => {}
            WorldEvent::LinkChunk(transfer) => self.send_chunk(*transfer),
            WorldEvent::WorkerReceives(delivery) => self.deliver_order(*delivery),
            WorldEvent::WorkerDue(incarnation) => self.update_worker(incarnation),
            WorldEvent::WorkerReplaced(place) => self.replace_worker(place),
            WorldEvent::WorkerRestarts(place) => self.restart_worker(place),
            WorldEvent::WorkerLeaves(incarnation) => self.worker_leaves(incarnation),
            WorldEvent::WorkerRecovers(incarnation) => self.fleet.set_hangs(incarnation, false),
            WorldEvent::WorkerCut(place, for_ms) => {
                self.cut_worker(place, CutManner::Silent, for_ms)
            }
            WorldEvent::RunsProgress(incarnation, progress) => {
                self.set_run_progress(incarnation, progress)
            }
            WorldEvent::HostStarts(host) => self.start_host(host),
            WorldEvent::NextJob(class) => self.next_job(class),
            WorldEvent::InitialJob(class) => self.submit_job(class),
            WorldEvent::SendRequest(body, tries) => self.send_to_host(body, tries),
            WorldEvent::RetryRequest(request) => self.retry_request(request),
            WorldEvent::Planned(event) => self.apply_day_event(event),
            WorldEvent::ImagesRecover => self.catalog.failing_images.clear(),
            WorldEvent::CheckRules => {
                self.check_rules();
                self.queue
                    .push(self.now + CHECK_INTERVAL_MS * MS, WorldEvent::CheckRules);
            }
        }
    }

    /// Queues a work item at a host, which processes it at its next turn.
    fn enqueue_item(&mut self, incarnation: HostIncarnation, item: WorkItem) {
        let host = &mut self.hosts[incarnation.host];
        if let WorkItem::GivenUp(call) = item {
            // The call's timeout is extended when bytes of its answer arrive.
            match host.timeout_at(call) {
                Some(until) if until > self.now => {
                    self.queue
                        .push(until, WorldEvent::HostReceives(incarnation, item));
                    return;
                }
                Some(_) => {}
                None => return,
            }
        }
        if host.push(item) {
            let at = host.processor.free_at().max(self.now);
            self.queue.push(at, WorldEvent::HostTurn(incarnation));
        }
    }

    fn run_turn(&mut self, incarnation: HostIncarnation) {
        let host = &mut self.hosts[incarnation.host];
        for (at, action) in host.turn(self.now) {
            self.queue
                .push(at, WorldEvent::HostActs(incarnation, action));
        }
        let host = &mut self.hosts[incarnation.host];
        host.awake = host.has_work();
        if host.awake {
            let at = host.processor.free_at().max(self.now);
            self.queue.push(at, WorldEvent::HostTurn(incarnation));
        }
    }

    fn act(&mut self, incarnation: HostIncarnation, action: HostAction) {
        match action {
            HostAction::Connect(call) => self.connect(incarnation, call),
            HostAction::Send(call, peer, body, bytes) => {
                self.send(incarnation, call, peer, body, bytes);
            }
            HostAction::CheckTimeout(call, at) => {
                let item = WorkItem::GivenUp(call);
                self.queue
                    .push(at, WorldEvent::HostReceives(incarnation, item));
            }
            HostAction::Pause(pause, at) => self.pause(incarnation, pause, at),
            HostAction::Tick(at) => {
                let tick = WorldEvent::HostReceives(incarnation, WorkItem::Tick);
                self.queue.push(at, tick);
            }
            HostAction::Tell(notice) => {
                self.tell_hosts(incarnation, || WorkItem::Notice(notice.clone()))
            }
            HostAction::QueryHosts(asked) => self.query_hosts(incarnation, asked),
            HostAction::Respond(request, answer) => self.handle_response(request, answer),
            HostAction::Owned(epoch, took_ms) => {
                self.monitor
                    .record_takeover(self.now, incarnation.host, epoch, took_ms);
            }
            HostAction::Noted(note) => self.monitor.note(&note),
        }
    }

    fn pause(&mut self, incarnation: HostIncarnation, pause: HostPause, at: Micros) {
        let item = WorkItem::Resume(pause);
        self.queue
            .push(at, WorldEvent::HostReceives(incarnation, item));
    }

    fn start_host(&mut self, host: usize) {
        self.monitor.host_back(self.now, host);
        let limits = self.deployment.scheduler_limits();
        self.hosts[host].launch(self.now, limits);
        let incarnation = self.incarnation_of(host);
        let host = &mut self.hosts[host];
        host.awake = true;
        self.queue.push(self.now, WorldEvent::HostTurn(incarnation));
    }

    fn incarnation_of(&self, host: usize) -> HostIncarnation {
        HostIncarnation {
            host,
            number: self.hosts[host].incarnation,
        }
    }
}
