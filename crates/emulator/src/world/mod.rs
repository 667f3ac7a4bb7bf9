//! The emulated world: hosts, workers, store, callers and the operator, in one queue of what happens next.

mod callers;
mod cuts;
mod fleet;
mod look;
mod passage;
mod strike;

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
use callers::CallerDesk;
use cuts::HallMap;
use fleet::{PlaceLife, WorkerFleet};
use look::PlayWatch;
use passage::{AtWorker, LinkTransfer};

/// How long the machines run before the traffic starts.
pub const LEAD_MS: Millis = 8_000;
/// When what stands from the start is handed in.
const FILLED_AT_MS: Millis = 2_000;
/// How long after the traffic jobs may come to their end.
const FINISH_MS: Millis = 14_000;
/// How often it is looked whether rules hold.
const LOOK_MS: Millis = 100;
/// Hosts start within so long of each other.
const START_SPREAD_MS: Millis = 300;

/// One life of a host's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct HostLife {
    host: usize,
    life: u32,
}

/// What happens next.
#[derive(Debug)]
enum Happening {
    /// A host does what has come in.
    Turn(HostLife),
    /// Something reaches a host.
    Reach(HostLife, WorkItem),
    /// A host sends what it has worked out.
    Act(HostLife, HostAction),
    /// The next part of a transfer takes its turn on a link.
    Chunk(Box<LinkTransfer>),
    /// An order reaches a worker.
    AtWorker(Box<AtWorker>),
    /// A question reaches the store.
    AtStore(HostLife, u64, StoreCall),
    /// A feed has waited long enough.
    FeedOver(HostLife, u64),
    /// Something is due at a worker.
    WorkerDue(PlaceLife),
    /// A worker's place is taken by a new incarnation.
    WorkerBack(usize),
    /// The worker of a place starts again under its name.
    WorkerRestarts(usize),
    /// A worker that had announced it is gone.
    WorkerLeaves(PlaceLife),
    /// A worker that hung answers again.
    WorkerWell(PlaceLife),
    /// A host's process starts.
    HostStarts(usize),
    /// The next job of a class is handed in.
    NextJob(usize),
    /// A job that stands from the start is handed in.
    FilledJob(usize),
    /// A caller asks a host.
    Ask(RequestBody, u32),
    /// A caller that had no answer tries again, if it still has none.
    AskAgain(usize),
    /// Something on the day's list.
    Strike(DayEvent),
    /// All runs of images fail no longer.
    ImagesWell,
    /// Rules are looked at.
    Look,
}

/// All that is emulated.
#[derive(Debug)]
pub struct EmulatedWorld {
    now: Micros,
    queue: EventQueue<Happening>,
    deployment: Deployment,
    ends_at: Micros,
    traffic_until: Micros,
    random: ChaCha8Rng,
    hosts: Vec<EmulatedHost>,
    fleet: WorkerFleet,
    store: EmulatedStore,
    parked: Vec<(HostLife, u64, StoreCall)>,
    book: JobCatalog,
    interference: InterferenceModel,
    callers: CallerDesk,
    watch: PlayWatch,
    halls: HallMap,
    late_orders: (Micros, u32),
    burst: (usize, u32, Micros),
    /// What workers and callers saw.
    pub oracle: PlatformOracle,
    /// What operators and callers saw of hosts.
    pub host_oracle: HostOracle,
}

impl EmulatedWorld {
    /// A world that is about to begin a day.
    pub fn new(seed: u64, day: DayPlan) -> Self {
        let DayPlan {
            deployment,
            length_ms,
            events,
        } = day;
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let hosts = deployment.hosts.iter().enumerate();
        let hosts = hosts
            .map(|(index, model)| EmulatedHost::new(index, seed, *model, deployment.max_lease_ms));
        let images = |index: usize| {
            deployment
                .classes
                .get(index)
                .map_or(1, |class| class.images)
        };
        let interference = InterferenceModel::draw(seed, images(2), images(1), deployment.swing_ms);
        let traffic_until = (LEAD_MS + length_ms) * MS;
        let mut world = Self {
            now: 0,
            queue: EventQueue::default(),
            ends_at: traffic_until + FINISH_MS * MS,
            traffic_until,
            hosts: hosts.collect(),
            fleet: WorkerFleet::new(&deployment, &mut random),
            store: EmulatedStore::default(),
            parked: Vec::new(),
            book: JobCatalog::new(seed),
            interference,
            callers: CallerDesk::default(),
            watch: PlayWatch::new(&deployment),
            halls: HallMap::new(deployment.workers),
            late_orders: (0, 0),
            burst: (0, 100, 0),
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
            self.queue.push(at, Happening::HostStarts(host));
        }
        for (index, class) in self.deployment.classes.iter().enumerate() {
            for number in 0..class.filled {
                let at = (FILLED_AT_MS + number as u64 * 5) * MS;
                self.queue.push(at, Happening::FilledJob(index));
            }
            self.queue.push(LEAD_MS * MS, Happening::NextJob(index));
        }
        for (at, event) in events {
            self.queue
                .push((LEAD_MS + at) * MS, Happening::Strike(event));
        }
        self.queue.push(LOOK_MS * MS, Happening::Look);
    }

    /// Measures the scheduler's own time from now on.
    pub fn measure_scheduler(&mut self) {
        for host in &mut self.hosts {
            host.meter.on = true;
        }
    }

    /// Plays the day to its end.
    pub fn play(&mut self) {
        while let Some((at, happening)) = self.queue.pop_until(self.ends_at) {
            self.now = at;
            self.happen(happening);
        }
        self.now = self.ends_at;
        self.finish();
    }

    fn lives(&self, life: HostLife) -> bool {
        self.hosts[life.host].incarnation == life.life
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Turn(life) if self.lives(life) => self.turn(life),
            Happening::Reach(life, item) if self.lives(life) => self.reach(life, item),
            Happening::Act(life, action) if self.lives(life) => self.act(life, action),
            Happening::AtStore(life, call, ask) => self.at_store(life, call, ask),
            Happening::FeedOver(life, call) => self.end_feed(life, call),
            Happening::Turn(_) | Happening::Reach(..) | Happening::Act(..) => {}
            Happening::Chunk(transfer) => self.move_chunk(*transfer),
            Happening::AtWorker(order) => self.at_worker(*order),
            Happening::WorkerDue(place) => self.settle_worker(place),
            Happening::WorkerBack(place) => self.bring_worker_back(place),
            Happening::WorkerRestarts(place) => self.restart_worker(place),
            Happening::WorkerLeaves(place) => self.worker_leaves(place),
            Happening::WorkerWell(place) => self.fleet.set_hangs(place, false),
            Happening::HostStarts(host) => self.start_host(host),
            Happening::NextJob(class) => self.next_job(class),
            Happening::FilledJob(class) => self.hand_in(class),
            Happening::Ask(body, tries) => self.ask_host(body, tries),
            Happening::AskAgain(request) => self.ask_again(request),
            Happening::Strike(event) => self.strike(event),
            Happening::ImagesWell => self.book.failing_images.clear(),
            Happening::Look => {
                self.look();
                self.queue.push(self.now + LOOK_MS * MS, Happening::Look);
            }
        }
    }

    /// Something reaches a host, which does it at its next turn.
    fn reach(&mut self, life: HostLife, item: WorkItem) {
        let host = &mut self.hosts[life.host];
        if let WorkItem::GivenUp(call) = item {
            // Where bytes have come meanwhile, patience may last longer.
            match host.timeout_at(call) {
                Some(until) if until > self.now => {
                    self.queue.push(until, Happening::Reach(life, item));
                    return;
                }
                Some(_) => {}
                None => return,
            }
        }
        if host.push(item) {
            let at = host.processor.free_at().max(self.now);
            self.queue.push(at, Happening::Turn(life));
        }
    }

    fn turn(&mut self, life: HostLife) {
        let host = &mut self.hosts[life.host];
        for (at, action) in host.turn(self.now) {
            self.queue.push(at, Happening::Act(life, action));
        }
        let host = &mut self.hosts[life.host];
        host.awake = host.has_work();
        if host.awake {
            let at = host.processor.free_at().max(self.now);
            self.queue.push(at, Happening::Turn(life));
        }
    }

    fn act(&mut self, life: HostLife, action: HostAction) {
        match action {
            HostAction::Connect(call) => self.connect(life, call),
            HostAction::Send(call, peer, body, bytes) => {
                self.send(life, call, peer, body, bytes);
            }
            HostAction::CheckTimeout(call, at) => {
                let item = WorkItem::GivenUp(call);
                self.queue.push(at, Happening::Reach(life, item));
            }
            HostAction::Pause(pause, at) => self.pause(life, pause, at),
            HostAction::Tick(at) => {
                let reach = Happening::Reach(life, WorkItem::Tick);
                self.queue.push(at, reach);
            }
            HostAction::Respond(request, served) => self.responded(request, served),
            HostAction::Owned(epoch, took_ms) => {
                self.watch.owned(self.now, life.host, epoch, took_ms);
            }
            HostAction::Noted(note) => self.watch.note(&note),
        }
    }

    fn pause(&mut self, life: HostLife, pause: HostPause, at: Micros) {
        let item = WorkItem::Resume(pause);
        self.queue.push(at, Happening::Reach(life, item));
    }

    fn start_host(&mut self, host: usize) {
        self.watch.host_back(self.now, host);
        let max_lease_ms = self.deployment.max_lease_ms;
        self.hosts[host].launch(self.now, max_lease_ms);
        let life = self.life_of(host);
        let host = &mut self.hosts[host];
        host.awake = true;
        self.queue.push(self.now, Happening::Turn(life));
    }

    fn life_of(&self, host: usize) -> HostLife {
        HostLife {
            host,
            life: self.hosts[host].incarnation,
        }
    }
}
