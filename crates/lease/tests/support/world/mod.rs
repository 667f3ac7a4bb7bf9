//! Entry hosts, the store, workers and the network between them.

mod chances;
mod looks;
mod passage;
mod schedule;

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sandshelf_config::{ConfigSet, JobSpec};
use sandshelf_fakes::{FakeStore, FakeWorker};
use sandshelf_lease::{LeaseTimes, ShardAction, ShardEvent, ShardNote, ShardOwner};
use sandshelf_model::{HostId, Millis, ResourceSize, Revision, ShardId, WorkerId};
use sandshelf_place::WorkerEntry;

pub use schedule::Cut;
use schedule::{Happening, Scheduled};

use super::faults::FaultRates;
use super::jobs::set_of;
use super::truth::RunTruth;

/// How often a host's owners are ticked.
const TICK_MS: Millis = 50;
/// The quickest that a message arrives.
const LEAST_DELAY_MS: Millis = 1;
/// How many workers there are at a time.
const WORKERS: usize = 4;
/// What each worker has.
const CAPACITY: ResourceSize = ResourceSize::new(4_000, 8_000, 0);
/// The most by which a clock runs fast or slow, in millionths.
const MOST_DRIFT: i64 = 2_000;

/// Short durations, so that many takeovers fit into a run.
pub const TIMES: LeaseTimes = LeaseTimes {
    shard_lease_ms: 2_000,
    task_lease_ms: 3_000,
    renewal_grace_ms: 8_000,
    drift_ms: 120,
    answer_timeout_ms: 400,
    order_interval_ms: 700,
    commit_interval_ms: 40,
    records_per_snapshot: 12,
    stagger_ms: 300,
};

struct WorldHost {
    owners: BTreeMap<ShardId, ShardOwner>,
    frozen: bool,
    drift: i64,
    held: Vec<Happening>,
}

/// The whole world of one run.
pub struct World {
    /// The time.
    pub now: Millis,
    /// What goes wrong.
    pub rates: FaultRates,
    /// What really happened.
    pub truth: RunTruth,
    /// The store.
    pub store: FakeStore,
    /// Workers that are there.
    pub workers: BTreeMap<WorkerId, FakeWorker>,
    /// Workers that are no more.
    pub past_workers: Vec<FakeWorker>,
    /// Notes by kind, for tests to look at.
    pub notes: Vec<(Millis, HostId, ShardNote)>,
    /// Messages delivered to workers.
    pub worker_messages: u64,
    /// Whether the answer to every write that took effect is lost.
    pub lose_commit_answers: bool,
    /// How much longer each message to and from the store takes.
    pub store_delay: Millis,
    /// Reads that reached the store.
    pub store_reads: u64,
    hosts: BTreeMap<HostId, WorldHost>,
    shards: Arc<Vec<ShardId>>,
    worker_drift: BTreeMap<WorkerId, i64>,
    cuts: BTreeSet<Cut>,
    gone: BTreeSet<WorkerId>,
    sets: Vec<Arc<ConfigSet>>,
    queue: BinaryHeap<Scheduled>,
    source: ChaCha8Rng,
    order: u64,
    names: u32,
    seed: u64,
    times: LeaseTimes,
}

impl World {
    /// Makes a world with hosts, shards and workers, the first configuration, and short durations.
    pub fn new(seed: u64, hosts: usize, shards: usize, jobs: Vec<JobSpec>) -> Self {
        Self::with_times(seed, hosts, shards, jobs, TIMES)
    }

    /// As [`World::new`], with durations of one's own.
    pub fn with_times(
        seed: u64,
        hosts: usize,
        shards: usize,
        jobs: Vec<JobSpec>,
        times: LeaseTimes,
    ) -> Self {
        let ids = (0..shards).map(|index| ShardId::from(format!("shard-{index}")));
        let mut world = Self {
            now: 0,
            rates: FaultRates::CALM,
            truth: RunTruth::default(),
            store: FakeStore::default(),
            workers: BTreeMap::new(),
            past_workers: Vec::new(),
            notes: Vec::new(),
            worker_messages: 0,
            lose_commit_answers: false,
            store_delay: 0,
            store_reads: 0,
            hosts: BTreeMap::new(),
            shards: Arc::new(ids.collect()),
            worker_drift: BTreeMap::new(),
            cuts: BTreeSet::new(),
            gone: BTreeSet::new(),
            sets: vec![Arc::new(ConfigSet::default()), Arc::new(set_of(jobs))],
            queue: BinaryHeap::new(),
            source: ChaCha8Rng::seed_from_u64(seed),
            order: 0,
            names: 0,
            seed,
            times,
        };
        for _ in 0..WORKERS {
            world.add_worker(CAPACITY);
        }
        for _ in 0..hosts {
            world.add_host();
        }
        world.schedule(1_000, Happening::Chance);
        world
    }

    fn schedule(&mut self, at: Millis, what: Happening) {
        self.order += 1;
        let order = self.order;
        self.queue.push(Scheduled { at, order, what });
    }

    fn chance(&mut self, thousandths: u32) -> bool {
        self.source.random_range(0..1_000) < thousandths
    }

    fn next_name(&mut self) -> u32 {
        self.names += 1;
        self.names
    }

    /// Adds an entry host.
    pub fn add_host(&mut self) -> HostId {
        let number = self.next_name();
        let host = HostId::from(format!("host-{number}"));
        let mut owners = BTreeMap::new();
        for (index, shard) in self.shards.iter().enumerate() {
            let seed = self.seed ^ u64::from(number) << 8 ^ index as u64;
            let mut owner = ShardOwner::new(shard.clone(), host.clone(), self.times, seed);
            let rank = (number as usize + index) % 3;
            owner.handle(0, ShardEvent::RankUpdated(Some(rank as u32)));
            owners.insert(shard.clone(), owner);
        }
        let drift = self.source.random_range(-MOST_DRIFT..=MOST_DRIFT);
        self.hosts.insert(
            host.clone(),
            WorldHost {
                owners,
                frozen: false,
                drift,
                held: Vec::new(),
            },
        );
        let newest = self.sets.len() as Revision - 1;
        self.schedule(self.now + 1, Happening::Configure(host.clone(), newest));
        self.schedule(self.now + 2, Happening::Tick(host.clone()));
        self.list_workers();
        host
    }

    /// Adds a worker.
    pub fn add_worker(&mut self, capacity: ResourceSize) -> WorkerId {
        let number = self.next_name();
        let name = WorkerId::from(format!("worker-{number}"));
        let worker = FakeWorker::new(name.clone(), capacity);
        self.workers.insert(name.clone(), worker);
        let drift = self.source.random_range(-MOST_DRIFT..=MOST_DRIFT);
        self.worker_drift.insert(name.clone(), drift);
        self.list_workers();
        name
    }

    /// The hosts that are there.
    pub fn host_ids(&self) -> Vec<HostId> {
        self.hosts.keys().cloned().collect()
    }

    /// The shards.
    pub fn shard_ids(&self) -> Vec<ShardId> {
        self.shards.to_vec()
    }

    /// Takes in the next configuration: every host hears of it at a time of its own.
    pub fn configure(&mut self, jobs: Vec<JobSpec>) {
        self.sets.push(Arc::new(set_of(jobs)));
        let newest = self.sets.len() as Revision - 1;
        for host in self.host_ids() {
            let delay = self.source.random_range(1..2_000);
            self.schedule(self.now + delay, Happening::Configure(host.clone(), newest));
            // An older revision arrives late.
            let late = self.source.random_range(1..5_000);
            self.schedule(self.now + late, Happening::Configure(host, newest - 1));
        }
    }

    /// Makes a configuration known without telling any host.
    pub fn declare(&mut self, jobs: Vec<JobSpec>) -> Revision {
        self.sets.push(Arc::new(set_of(jobs)));
        self.sets.len() as Revision - 1
    }

    /// Tells one host of a configuration now.
    pub fn tell(&mut self, host: &HostId, revision: Revision) {
        self.tell_config(host, revision);
    }

    /// The shard that a worker belongs to.
    fn shard_of(&self, worker: &WorkerId) -> ShardId {
        let number: usize = worker
            .as_str()
            .trim_start_matches("worker-")
            .parse()
            .expect("workers are numbered");
        self.shards[number % self.shards.len()].clone()
    }

    /// Tells every host of the workers.
    pub fn list_workers(&mut self) {
        let hosts = self.host_ids();
        for shard in self.shard_ids() {
            let present: Vec<WorkerEntry> = self
                .workers
                .keys()
                .filter(|worker| self.shard_of(worker) == shard)
                .map(|worker| WorkerEntry::plain(worker.as_str(), CAPACITY))
                .collect();
            for host in &hosts {
                let event = ShardEvent::WorkersListed {
                    present: present.clone(),
                    leaving: BTreeSet::new(),
                    gone: self.gone.clone(),
                };
                let delay = 1 + self.source.random_range(0..200);
                let back = Happening::Back(host.clone(), shard.clone(), Box::new(event));
                self.schedule(self.now + delay, back);
            }
        }
    }

    /// Kills a host; what it sent is still on its way.
    pub fn kill(&mut self, host: &HostId) {
        self.hosts.remove(host);
    }

    /// Ranks the hosts anew, as the members' table does when a shard's owner no longer counts.
    pub fn rank_by_order(&mut self) {
        for (rank, host) in self.host_ids().iter().enumerate() {
            for shard in self.shard_ids() {
                self.feed(host, &shard, ShardEvent::RankUpdated(Some(rank as u32)));
            }
        }
    }

    /// Freezes a host until it is thawed.
    pub fn freeze(&mut self, host: &HostId, length: Millis) {
        if let Some(state) = self.hosts.get_mut(host) {
            state.frozen = true;
            self.schedule(self.now + length, Happening::Thaw(host.clone()));
        }
    }

    /// Cuts a connection for a while.
    pub fn cut(&mut self, cut: Cut, length: Millis) {
        self.cuts.insert(cut.clone());
        self.schedule(self.now + length, Happening::Mend(cut));
    }

    /// Whether a connection is cut.
    pub fn is_cut(&self, cut: &Cut) -> bool {
        self.cuts.contains(cut)
    }

    /// Replaces a worker; the platform lists the old one as gone a little later.
    pub fn replace_worker(&mut self, worker: &WorkerId) {
        let Some(mut old) = self.workers.remove(worker) else {
            return;
        };
        old.advance(self.now);
        self.past_workers.push(old);
        self.gone.insert(worker.clone());
        self.add_worker(CAPACITY);
    }

    /// The host that owns a shard and is sure of it.
    pub fn owner_of(&self, shard: &ShardId) -> Option<HostId> {
        let mut hosts = self.hosts.iter();
        let found = hosts.find(|(_, host)| {
            let local = local_time(self.now, host.drift);
            host.owners[shard].is_owner(local)
        });
        found.map(|(host, _)| host.clone())
    }

    /// An owner, to look at.
    pub fn owner(&self, host: &HostId, shard: &ShardId) -> &ShardOwner {
        &self.hosts[host].owners[shard]
    }

    /// Hands an event to an owner now.
    pub fn feed(&mut self, host: &HostId, shard: &ShardId, event: ShardEvent) {
        let Some(state) = self.hosts.get_mut(host) else {
            return;
        };
        let local = local_time(self.now, state.drift);
        let owner = state
            .owners
            .get_mut(shard)
            .expect("every host has every shard");
        let actions = owner.handle(local, event);
        if let Err(problem) = owner.verify_all() {
            panic!(
                "seed {} at {}: {host} {shard}: {problem}",
                self.seed, self.now
            );
        }
        for action in actions {
            if let ShardAction::Note(note) = action {
                assert!(
                    !matches!(note, ShardNote::InvariantBroken(_)),
                    "seed {} at {}: {host} {shard}: {note:?}",
                    self.seed,
                    self.now
                );
                self.notes.push((self.now, host.clone(), note));
            } else {
                let leaves = Happening::Leaves(host.clone(), shard.clone(), action);
                self.schedule(self.now, leaves);
            }
        }
    }

    /// Runs until `until`.
    pub fn run_until(&mut self, until: Millis) {
        while self.queue.peek().is_some_and(|next| next.at <= until) {
            let next = self.queue.pop().expect("it was just looked at");
            self.now = next.at;
            self.happen(next.what);
        }
        self.now = until;
        self.check();
    }

    /// Lets so many things happen.
    pub fn run_steps(&mut self, steps: usize) {
        for _ in 0..steps {
            let Some(next) = self.queue.pop() else { return };
            self.now = next.at;
            self.happen(next.what);
        }
        self.check();
    }

    fn check(&mut self) {
        for (name, worker) in &mut self.workers {
            worker.advance(local_time(self.now, self.worker_drift[name]));
        }
        if let Err(problem) = self.truth.check(&self.workers) {
            panic!("seed {} at {}: {problem}", self.seed, self.now);
        }
    }

    fn happen(&mut self, what: Happening) {
        match what {
            Happening::Tick(host) => self.tick(host),
            Happening::Leaves(host, shard, action) => self.leave(host, shard, action),
            Happening::AtStore(host, shard, action) => self.reach_store(host, shard, action),
            Happening::AtWorker(host, shard, worker, orders) => {
                self.reach_worker(host, shard, worker, &orders)
            }
            Happening::Back(host, shard, event) => self.come_back(host, shard, event),
            Happening::Chance => self.take_chances(),
            Happening::Thaw(host) => self.thaw(&host),
            Happening::Mend(cut) => {
                self.cuts.remove(&cut);
            }
            Happening::Configure(host, revision) => self.tell_config(&host, revision),
        }
    }

    /// Runs until `done`, looking twice a second; says how long it took.
    pub fn run_until_done(
        &mut self,
        patience: Millis,
        mut done: impl FnMut(&World) -> bool,
    ) -> Result<Millis, String> {
        let began = self.now;
        while self.now < began + patience {
            self.run_until(self.now + 500);
            if done(self) {
                return Ok(self.now - began);
            }
        }
        Err(format!("seed {}: not done after {patience} ms", self.seed))
    }
}

fn local_time(now: Millis, drift: i64) -> Millis {
    let shift = now as i64 * drift / 1_000_000;
    (now as i64 + shift) as Millis + 1
}
