//! Simulates entry hosts, the store, workers and the network between them.

mod fault_injection;
mod network;
mod queries;
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

pub use schedule::NetworkPartition;
use schedule::{ScheduledEvent, SimulationEvent};

use super::checker::InvariantChecker;
use super::faults::FaultRates;
use super::jobs::config_set;

/// Interval between ticks of a host's shard owners, in milliseconds.
const TICK_INTERVAL_MS: Millis = 50;
/// The minimum delay of a message, in milliseconds.
const MIN_DELAY_MS: Millis = 1;
/// The number of workers at the start of a run.
const WORKER_COUNT: usize = 4;
/// The capacity of each worker, as the platform lists it.
const WORKER_CAPACITY: ResourceSize = ResourceSize::new(4_000, 8_000, 0);
/// The maximum rate by which a clock runs fast or slow, in parts per million.
const MAX_DRIFT_PPM: i64 = 2_000;

/// Short durations, so that a run contains many takeovers.
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

struct SimulatedHost {
    owners: BTreeMap<ShardId, ShardOwner>,
    frozen: bool,
    drift_ppm: i64,
    held_events: Vec<SimulationEvent>,
}

/// The state of one simulated run.
pub struct SimulatedCluster {
    /// The virtual time in milliseconds since the start of the run.
    pub now: Millis,
    /// Probabilities of the faults that are injected.
    pub fault_rates: FaultRates,
    /// Checks invariants over all workers.
    pub checker: InvariantChecker,
    /// The store.
    pub store: FakeStore,
    /// Present workers.
    pub workers: BTreeMap<WorkerId, FakeWorker>,
    /// Workers that were replaced, kept for their counts of starts.
    pub replaced_workers: Vec<FakeWorker>,
    /// The notes of all owners, with time and host, in the order in which they were logged.
    pub notes: Vec<(Millis, HostId, ShardNote)>,
    /// The number of messages that arrived at workers or failed at a partition on the way.
    pub worker_messages: u64,
    /// Whether the answer to every committed transaction is lost.
    pub lose_commit_answers: bool,
    /// Additional delay of each message to and from the store, in milliseconds.
    pub extra_store_delay_ms: Millis,
    /// The number of reads of shard rows that reached the store.
    pub store_reads: u64,
    hosts: BTreeMap<HostId, SimulatedHost>,
    shards: Arc<Vec<ShardId>>,
    worker_drift_ppm: BTreeMap<WorkerId, i64>,
    partitions: BTreeSet<NetworkPartition>,
    gone: BTreeSet<WorkerId>,
    config_sets: Vec<Arc<ConfigSet>>,
    queue: BinaryHeap<ScheduledEvent>,
    rng: ChaCha8Rng,
    order: u64,
    last_number: u32,
    seed: u64,
    times: LeaseTimes,
}

impl SimulatedCluster {
    /// Creates a cluster of hosts, shards and workers with the first configuration and the durations [`TIMES`].
    pub fn new(seed: u64, hosts: usize, shards: usize, jobs: Vec<JobSpec>) -> Self {
        Self::with_times(seed, hosts, shards, jobs, TIMES)
    }

    /// Like [`SimulatedCluster::new`], but with the given durations.
    pub fn with_times(
        seed: u64,
        hosts: usize,
        shards: usize,
        jobs: Vec<JobSpec>,
        times: LeaseTimes,
    ) -> Self {
        let ids = (0..shards).map(|index| ShardId::from(format!("shard-{index}")));
        let mut cluster = Self {
            now: 0,
            fault_rates: FaultRates::NO_FAULTS,
            checker: InvariantChecker::default(),
            store: FakeStore::default(),
            workers: BTreeMap::new(),
            replaced_workers: Vec::new(),
            notes: Vec::new(),
            worker_messages: 0,
            lose_commit_answers: false,
            extra_store_delay_ms: 0,
            store_reads: 0,
            hosts: BTreeMap::new(),
            shards: Arc::new(ids.collect()),
            worker_drift_ppm: BTreeMap::new(),
            partitions: BTreeSet::new(),
            gone: BTreeSet::new(),
            config_sets: vec![Arc::new(ConfigSet::default()), Arc::new(config_set(jobs))],
            queue: BinaryHeap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            order: 0,
            last_number: 0,
            seed,
            times,
        };
        for _ in 0..WORKER_COUNT {
            cluster.add_worker(WORKER_CAPACITY);
        }
        for _ in 0..hosts {
            cluster.add_host();
        }
        cluster.schedule(1_000, SimulationEvent::InjectFaults);
        cluster
    }

    fn schedule(&mut self, at: Millis, event: SimulationEvent) {
        self.order += 1;
        let order = self.order;
        self.queue.push(ScheduledEvent { at, order, event });
    }

    /// True with a probability of `thousandths` / 1000.
    fn chance(&mut self, thousandths: u32) -> bool {
        self.rng.random_range(0..1_000) < thousandths
    }

    fn next_number(&mut self) -> u32 {
        self.last_number += 1;
        self.last_number
    }

    /// Adds an entry host with the newest configuration and a random clock drift.
    pub fn add_host(&mut self) -> HostId {
        let number = self.next_number();
        let host = HostId::from(format!("host-{number}"));
        let mut owners = BTreeMap::new();
        for (index, shard) in self.shards.iter().enumerate() {
            let seed = self.seed ^ u64::from(number) << 8 ^ index as u64;
            let mut owner = ShardOwner::new(shard.clone(), host.clone(), self.times, seed);
            let rank = (number as usize + index) % 3;
            owner.handle(0, ShardEvent::RankUpdated(Some(rank as u32)));
            owners.insert(shard.clone(), owner);
        }
        let drift_ppm = self.rng.random_range(-MAX_DRIFT_PPM..=MAX_DRIFT_PPM);
        self.hosts.insert(
            host.clone(),
            SimulatedHost {
                owners,
                frozen: false,
                drift_ppm,
                held_events: Vec::new(),
            },
        );
        let newest = self.config_sets.len() as Revision - 1;
        self.schedule(
            self.now + 1,
            SimulationEvent::Configure(host.clone(), newest),
        );
        self.schedule(self.now + 2, SimulationEvent::Tick(host.clone()));
        self.list_workers();
        host
    }

    /// Adds a worker with a random clock drift; the platform lists it with [`WORKER_CAPACITY`].
    pub fn add_worker(&mut self, capacity: ResourceSize) -> WorkerId {
        let number = self.next_number();
        let name = WorkerId::from(format!("worker-{number}"));
        let worker = FakeWorker::new(name.clone(), capacity);
        self.workers.insert(name.clone(), worker);
        let drift_ppm = self.rng.random_range(-MAX_DRIFT_PPM..=MAX_DRIFT_PPM);
        self.worker_drift_ppm.insert(name.clone(), drift_ppm);
        self.list_workers();
        name
    }

    /// The present hosts.
    pub fn host_ids(&self) -> Vec<HostId> {
        self.hosts.keys().cloned().collect()
    }

    /// The shards.
    pub fn shard_ids(&self) -> Vec<ShardId> {
        self.shards.to_vec()
    }

    /// Adds a configuration, which reaches each host after a random delay of up to 2 s.
    pub fn configure(&mut self, jobs: Vec<JobSpec>) {
        self.config_sets.push(Arc::new(config_set(jobs)));
        let newest = self.config_sets.len() as Revision - 1;
        for host in self.host_ids() {
            let delay = self.rng.random_range(1..2_000);
            self.schedule(
                self.now + delay,
                SimulationEvent::Configure(host.clone(), newest),
            );
            // The previous revision arrives as well, within 5 s and possibly after the newest one.
            let late = self.rng.random_range(1..5_000);
            self.schedule(
                self.now + late,
                SimulationEvent::Configure(host, newest - 1),
            );
        }
    }

    /// Adds a configuration without sending it to any host.
    pub fn add_config(&mut self, jobs: Vec<JobSpec>) -> Revision {
        self.config_sets.push(Arc::new(config_set(jobs)));
        self.config_sets.len() as Revision - 1
    }

    /// Delivers a configuration to one host now.
    pub fn configure_host(&mut self, host: &HostId, revision: Revision) {
        self.deliver_config(host, revision);
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

    /// Sends the platform's list of workers to every host.
    pub fn list_workers(&mut self) {
        let hosts = self.host_ids();
        for shard in self.shard_ids() {
            let present: Vec<WorkerEntry> = self
                .workers
                .keys()
                .filter(|worker| self.shard_of(worker) == shard)
                .map(|worker| WorkerEntry::plain(worker.as_str(), WORKER_CAPACITY))
                .collect();
            for host in &hosts {
                let event = ShardEvent::WorkersListed {
                    present: present.clone(),
                    leaving: BTreeSet::new(),
                    gone: self.gone.clone(),
                };
                let delay = 1 + self.rng.random_range(0..200);
                let delivery =
                    SimulationEvent::ReachHost(host.clone(), shard.clone(), Box::new(event));
                self.schedule(self.now + delay, delivery);
            }
        }
    }

    /// Kills a host; messages that it has sent are still delivered.
    pub fn kill(&mut self, host: &HostId) {
        self.hosts.remove(host);
    }

    /// Ranks the present hosts in the order of their names, as the membership does when a shard's owner has gone.
    pub fn rank_by_order(&mut self) {
        for (rank, host) in self.host_ids().iter().enumerate() {
            for shard in self.shard_ids() {
                self.feed(host, &shard, ShardEvent::RankUpdated(Some(rank as u32)));
            }
        }
    }

    /// Freezes a host for a time: it isn't ticked, and its actions and the answers to them wait until it continues.
    pub fn freeze(&mut self, host: &HostId, duration_ms: Millis) {
        if let Some(state) = self.hosts.get_mut(host) {
            state.frozen = true;
            self.schedule(
                self.now + duration_ms,
                SimulationEvent::Unfreeze(host.clone()),
            );
        }
    }

    /// Interrupts connections for a time.
    pub fn partition(&mut self, partition: NetworkPartition, duration_ms: Millis) {
        self.partitions.insert(partition.clone());
        self.schedule(
            self.now + duration_ms,
            SimulationEvent::EndPartition(partition),
        );
    }

    /// Whether these connections are interrupted now.
    pub fn is_partitioned(&self, partition: &NetworkPartition) -> bool {
        self.partitions.contains(partition)
    }

    /// Replaces a worker; the platform's next list reports the old one as gone.
    pub fn replace_worker(&mut self, worker: &WorkerId) {
        let Some(mut old) = self.workers.remove(worker) else {
            return;
        };
        old.advance(self.now);
        self.replaced_workers.push(old);
        self.gone.insert(worker.clone());
        self.add_worker(WORKER_CAPACITY);
    }

    /// The host whose lease on a shard is valid by its own clock; none where no host has one.
    pub fn owner_of(&self, shard: &ShardId) -> Option<HostId> {
        let mut hosts = self.hosts.iter();
        let found = hosts.find(|(_, host)| {
            let local = local_time(self.now, host.drift_ppm);
            host.owners[shard].is_owner(local)
        });
        found.map(|(host, _)| host.clone())
    }

    /// A host's owner object for a shard, whether or not it owns the shard.
    pub fn owner(&self, host: &HostId, shard: &ShardId) -> &ShardOwner {
        &self.hosts[host].owners[shard]
    }

    /// Lets an owner handle an event now, and schedules the resulting actions.
    ///
    /// # Panics
    /// An invariant of the owner is violated.
    pub fn feed(&mut self, host: &HostId, shard: &ShardId, event: ShardEvent) {
        let Some(state) = self.hosts.get_mut(host) else {
            return;
        };
        let local = local_time(self.now, state.drift_ppm);
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
                let sending = SimulationEvent::SendAction(host.clone(), shard.clone(), action);
                self.schedule(self.now, sending);
            }
        }
    }

    /// Runs until the virtual time `until`, and checks the invariants of task execution at the end.
    pub fn run_until(&mut self, until: Millis) {
        while self.queue.peek().is_some_and(|next| next.at <= until) {
            let next = self.queue.pop().expect("it was just peeked");
            self.now = next.at;
            self.process(next.event);
        }
        self.now = until;
        self.check();
    }

    /// Processes this many events, and checks the invariants of task execution at the end.
    pub fn run_steps(&mut self, steps: usize) {
        for _ in 0..steps {
            let Some(next) = self.queue.pop() else { return };
            self.now = next.at;
            self.process(next.event);
        }
        self.check();
    }

    fn check(&mut self) {
        for (name, worker) in &mut self.workers {
            worker.advance(local_time(self.now, self.worker_drift_ppm[name]));
        }
        if let Err(problem) = self.checker.check(&self.workers) {
            panic!("seed {} at {}: {problem}", self.seed, self.now);
        }
    }

    fn process(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Tick(host) => self.tick(host),
            SimulationEvent::SendAction(host, shard, action) => {
                self.send_action(host, shard, action)
            }
            SimulationEvent::ReachStore(host, shard, action) => {
                self.deliver_to_store(host, shard, action)
            }
            SimulationEvent::ReachWorker(host, shard, worker, orders) => {
                self.deliver_to_worker(host, shard, worker, &orders)
            }
            SimulationEvent::ReachHost(host, shard, event) => {
                self.deliver_to_host(host, shard, event)
            }
            SimulationEvent::InjectFaults => self.inject_faults(),
            SimulationEvent::Unfreeze(host) => self.unfreeze(&host),
            SimulationEvent::EndPartition(partition) => {
                self.partitions.remove(&partition);
            }
            SimulationEvent::Configure(host, revision) => self.deliver_config(&host, revision),
        }
    }

    /// Runs until `done` holds, checking it every 500 ms; returns how long that took, in milliseconds.
    ///
    /// # Errors
    /// `done` does not hold within `timeout_ms`.
    pub fn run_until_done(
        &mut self,
        timeout_ms: Millis,
        mut done: impl FnMut(&SimulatedCluster) -> bool,
    ) -> Result<Millis, String> {
        let began = self.now;
        while self.now < began + timeout_ms {
            self.run_until(self.now + 500);
            if done(self) {
                return Ok(self.now - began);
            }
        }
        Err(format!(
            "seed {}: not done after {timeout_ms} ms",
            self.seed
        ))
    }
}

/// Reads a clock that drifts by `drift_ppm` parts per million.
fn local_time(now: Millis, drift_ppm: i64) -> Millis {
    let shift = now as i64 * drift_ppm / 1_000_000;
    (now as i64 + shift) as Millis + 1
}
