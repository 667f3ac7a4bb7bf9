//! The batch side of a run: real shard owners over the fakes, with short fixed delays.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use sandshelf_config::{ConfigSet, JobKind, JobSpec, PolicyWeights, TeamQuota, UrgencyLevel};
use sandshelf_fakes::{unanswered, FakeStore, FakeWorker};
use sandshelf_lease::{
    LeaseStage, LeaseTimes, ShardAction, ShardEvent, ShardNote, ShardOwner, ShardRoom,
};
use sandshelf_model::{
    HallId, HostId, JobId, Millis, RackId, ResourceSize, ServiceId, ShardId, TeamId, WorkerId,
};
use sandshelf_place::{PlaceWeights, SlowdownSample, WorkerEntry};

use crate::scenario::PolicyChoice;

/// How long a call to the store takes.
const STORE_MS: Millis = 10;
/// How long a message to a worker takes, there and back.
const WORKER_MS: Millis = 2;
/// The only team.
const TEAM: &str = "team";

/// An answer on its way to a shard's owner.
struct Pending {
    at: Millis,
    shard: usize,
    event: ShardEvent,
}

/// The batch side of a run.
pub struct BatchSide {
    /// Workers that are there.
    pub workers: BTreeMap<WorkerId, FakeWorker>,
    /// Where each worker stands, and its service.
    pub entries: BTreeMap<WorkerId, WorkerEntry>,
    /// Whether the store is down.
    pub store_down: bool,
    /// Work done by workers that are no more, in milliseconds at full speed.
    pub past_progress_ms: u64,
    /// Evictions.
    pub evictions: u64,
    /// Run time wasted by workers that are no more.
    pub wasted_ms: u64,
    owners: Vec<ShardOwner>,
    halls: Vec<HallId>,
    shards: Arc<Vec<ShardId>>,
    store: FakeStore,
    pending: Vec<Pending>,
    jobs: Vec<JobSpec>,
    revision: u64,
    weights: PlaceWeights,
    gone: BTreeSet<WorkerId>,
}

impl BatchSide {
    /// Makes a shard for each hall, all owned by one host.
    pub fn new(
        entries: Vec<WorkerEntry>,
        weights: PlaceWeights,
        policy: &PolicyChoice,
        seed: u64,
    ) -> Self {
        let halls: BTreeSet<HallId> = entries.iter().map(|entry| entry.hall.clone()).collect();
        let halls: Vec<HallId> = halls.into_iter().collect();
        let shards = halls.iter().map(|hall| ShardId::from(format!("{hall}-0")));
        let shards: Arc<Vec<ShardId>> = Arc::new(shards.collect());
        let owners = shards.iter().enumerate().map(|(index, shard)| {
            let host = HostId::from("entry-1.1");
            let seed = seed << 8 | index as u64;
            let mut owner = ShardOwner::new(shard.clone(), host, LeaseTimes::default(), seed);
            owner.set_strategy(policy.place, policy.pressure);
            owner
        });
        let workers = entries.iter().map(|entry| {
            let worker = FakeWorker::new(entry.worker.clone(), entry.capacity);
            (entry.worker.clone(), worker)
        });
        let mut side = Self {
            workers: workers.collect(),
            owners: owners.collect(),
            entries: entries
                .into_iter()
                .map(|entry| (entry.worker.clone(), entry))
                .collect(),
            store_down: false,
            past_progress_ms: 0,
            evictions: 0,
            wasted_ms: 0,
            halls,
            shards,
            store: FakeStore::default(),
            pending: Vec::new(),
            jobs: Vec::new(),
            revision: 0,
            weights,
            gone: BTreeSet::new(),
        };
        side.list_workers(0);
        side
    }

    /// Teaches every owner the hidden effects; for the oracle.
    pub fn teach(&mut self, samples: &[SlowdownSample]) {
        for owner in &mut self.owners {
            for sample in samples {
                owner.learn(0, sample);
            }
        }
    }

    /// Declares another job.
    pub fn declare(&mut self, now: Millis, job: JobSpec) {
        self.jobs.push(job);
        self.configure(now);
    }

    /// Takes jobs out of the declarations.
    pub fn cancel(&mut self, now: Millis, keep: impl Fn(&JobSpec) -> bool) {
        self.jobs.retain(keep);
        self.configure(now);
    }

    fn configure(&mut self, now: Millis) {
        self.revision += 1;
        let huge = ResourceSize::new(1 << 40, 1 << 40, 1 << 20);
        let set = Arc::new(ConfigSet {
            jobs: self.jobs.clone(),
            teams: vec![TeamQuota {
                name: TeamId::from(TEAM),
                quota: huge,
            }],
            weights: PolicyWeights {
                tail: self.weights.tail as u32,
                throughput: self.weights.throughput as u32,
                evictions: self.weights.evictions as u32,
            },
            ..ConfigSet::default()
        });
        for shard in 0..self.owners.len() {
            let quota = ShardEvent::QuotaSliceUpdated {
                team: TeamId::from(TEAM),
                slice: huge,
            };
            self.feed(now, shard, quota);
            let event = ShardEvent::Configured {
                revision: self.revision,
                set: set.clone(),
                shards: self.shards.clone(),
            };
            self.feed(now, shard, event);
        }
    }

    /// Tells each owner of its hall's workers.
    pub fn list_workers(&mut self, now: Millis) {
        for shard in 0..self.owners.len() {
            let hall = &self.halls[shard];
            let entries = self.entries.values();
            let present = entries
                .filter(|entry| &entry.hall == hall && !self.gone.contains(&entry.worker))
                .cloned()
                .collect();
            let event = ShardEvent::WorkersListed {
                present,
                leaving: BTreeSet::new(),
                gone: self.gone.clone(),
            };
            self.feed(now, shard, event);
        }
    }

    /// Loses a worker; the platform lists it as gone when [`BatchSide::list_workers`] is called next.
    pub fn lose(&mut self, now: Millis, worker: &WorkerId) {
        if let Some(mut lost) = self.workers.remove(worker) {
            lost.advance(now);
            let running: u64 = lost.running().map(|task| task.ran_ms()).sum();
            self.wasted_ms += lost.wasted_ms + running;
            self.past_progress_ms += lost.progress_ms;
            self.gone.insert(worker.clone());
        }
    }

    /// Hands a late measurement to the owner of a worker's shard.
    pub fn measure(&mut self, now: Millis, worker: &WorkerId, sample: SlowdownSample) {
        let Some(entry) = self.entries.get(worker) else {
            return;
        };
        let shard = self.halls.iter().position(|hall| *hall == entry.hall);
        let event = ShardEvent::SlowdownMeasured {
            worker: worker.clone(),
            sample,
        };
        self.feed(now, shard.unwrap_or(0), event);
    }

    /// Run time of attempts that ended without finish or checkpoint, over all workers that ever were.
    pub fn total_wasted_ms(&self) -> u64 {
        let workers = self.workers.values();
        self.wasted_ms + workers.map(|worker| worker.wasted_ms).sum::<u64>()
    }

    /// Work done by attempts that was not wasted, over all workers that ever were.
    pub fn total_progress_ms(&self) -> u64 {
        let workers = self.workers.values();
        let progress = workers.map(|worker| worker.progress_ms).sum::<u64>();
        (self.past_progress_ms + progress).saturating_sub(self.total_wasted_ms())
    }

    /// The families that run on a worker, as its owner knows them.
    pub fn families_on(&self, worker: &WorkerId) -> Vec<(String, u32)> {
        let mut families: BTreeMap<String, u32> = BTreeMap::new();
        for owner in &self.owners {
            for tenant in owner.pool().reservations(worker) {
                *families.entry(tenant.family.clone()).or_default() += 1;
            }
        }
        families.into_iter().collect()
    }

    /// Whether a job's first task runs.
    pub fn runs(&self, job: &JobId) -> bool {
        let workers = self.workers.values();
        workers
            .flat_map(FakeWorker::running)
            .any(|task| task.attempt.task.job == *job)
    }

    /// Lets time pass to `now`.
    pub fn tick(&mut self, now: Millis) {
        for worker in self.workers.values_mut() {
            worker.advance(now);
        }
        self.deliver(now);
        let rooms: Vec<ShardRoom> = self
            .owners
            .iter()
            .filter(|owner| *owner.stage() == LeaseStage::Holding)
            .map(ShardOwner::room)
            .collect();
        for shard in 0..self.owners.len() {
            self.feed(now, shard, ShardEvent::RoomReceived(rooms.clone()));
            self.feed(now, shard, ShardEvent::Tick);
        }
        self.deliver(now);
    }

    /// Delivers what has arrived by now, in the order of arrival.
    fn deliver(&mut self, now: Millis) {
        loop {
            let next = self
                .pending
                .iter()
                .enumerate()
                .filter(|(_, pending)| pending.at <= now)
                .min_by_key(|(position, pending)| (pending.at, *position));
            let Some((position, _)) = next else { return };
            let pending = self.pending.remove(position);
            self.feed(pending.at.max(1), pending.shard, pending.event);
        }
    }

    fn feed(&mut self, now: Millis, shard: usize, event: ShardEvent) {
        let actions = self.owners[shard].handle(now, event);
        for action in actions {
            self.serve(now, shard, action);
        }
    }

    fn serve(&mut self, now: Millis, shard: usize, action: ShardAction) {
        if let ShardAction::Note(note) = &action {
            self.count(note);
            return;
        }
        if let ShardAction::SendOrders { worker, orders } = action {
            let report = self
                .workers
                .get_mut(&worker)
                .map(|there| there.handle(now, &orders));
            let event = ShardEvent::WorkerAnswered {
                worker,
                epoch: orders.epoch,
                number: orders.number,
                report,
            };
            self.push(now + WORKER_MS, shard, event);
            return;
        }
        let event = if self.store_down {
            unanswered(&action)
        } else {
            let name = self.shards[shard].clone();
            self.store.serve(&name, &action)
        };
        if let Some(event) = event {
            self.push(now + STORE_MS, shard, event);
        }
    }

    fn push(&mut self, at: Millis, shard: usize, event: ShardEvent) {
        self.pending.push(Pending { at, shard, event });
    }

    fn count(&mut self, note: &ShardNote) {
        if let ShardNote::Evicted(_) = note {
            self.evictions += 1;
        }
    }
}

/// Describes a job of the runs.
pub fn job(name: &str, family: &str, tasks: u32, cpu_millis: u64, run_ms: Millis) -> JobSpec {
    JobSpec {
        name: JobId::from(name),
        kind: JobKind::Batch,
        team: TeamId::from(TEAM),
        family: family.to_owned(),
        tasks,
        size: ResourceSize::new(cpu_millis, 1_000, 0),
        urgency: UrgencyLevel::Normal,
        repeatable: true,
        checkpoint: true,
        run_ms,
        program: String::new(),
    }
}

/// Describes a worker with one service on it.
pub fn entry(number: usize, halls: usize, cpu_millis: u64, service: &str) -> WorkerEntry {
    const RACK: usize = 8;
    WorkerEntry {
        worker: WorkerId::from(format!("w-{number:05}")),
        hall: HallId::from(format!("hall-{}", number % halls)),
        rack: RackId::from(format!("rack-{}-{}", number % halls, number / halls / RACK)),
        capacity: ResourceSize::new(cpu_millis, 60_000, 0),
        services: vec![(
            ServiceId::from(service),
            ResourceSize::new(cpu_millis / 4, 10_000, 0),
        )],
    }
}
