//! Simulates batch work: real shard owners with a fake store and fake workers that answer after short fixed delays.

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

/// Duration of a call to the store.
const STORE_CALL_MS: Millis = 10;
/// Round-trip time of a message to a worker.
const WORKER_ROUND_TRIP_MS: Millis = 2;
/// Name of the only team.
const TEAM_NAME: &str = "team";

/// An event that a shard's owner receives at the virtual time `due_at`.
struct PendingEvent {
    due_at: Millis,
    shard: usize,
    event: ShardEvent,
}

/// Batch work of a simulated run: shard owners, workers, store and declared jobs.
pub struct BatchSimulation {
    /// Workers that have not failed.
    pub workers: BTreeMap<WorkerId, FakeWorker>,
    /// Location, capacity and service of each worker, including failed workers.
    pub entries: BTreeMap<WorkerId, WorkerEntry>,
    /// Whether the store is unavailable, so that every call to it goes unanswered.
    pub store_down: bool,
    /// Work done by failed workers, in milliseconds at full speed.
    pub failed_workers_progress_ms: u64,
    /// Number of evicted tasks.
    pub evictions: u64,
    /// Run time wasted by failed workers, in milliseconds.
    pub failed_workers_wasted_ms: u64,
    owners: Vec<ShardOwner>,
    halls: Vec<HallId>,
    shards: Arc<Vec<ShardId>>,
    store: FakeStore,
    pending: Vec<PendingEvent>,
    jobs: Vec<JobSpec>,
    revision: u64,
    weights: PlaceWeights,
    gone: BTreeSet<WorkerId>,
}

impl BatchSimulation {
    /// Creates one shard per hall, with all shards owned by one entry host, and lists the workers to the owners.
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
        let mut simulation = Self {
            workers: workers.collect(),
            owners: owners.collect(),
            entries: entries
                .into_iter()
                .map(|entry| (entry.worker.clone(), entry))
                .collect(),
            store_down: false,
            failed_workers_progress_ms: 0,
            evictions: 0,
            failed_workers_wasted_ms: 0,
            halls,
            shards,
            store: FakeStore::default(),
            pending: Vec::new(),
            jobs: Vec::new(),
            revision: 0,
            weights,
            gone: BTreeSet::new(),
        };
        simulation.list_workers(0);
        simulation
    }

    /// Feeds `samples` to the estimates of every owner, as the oracle policy needs.
    pub fn learn_samples(&mut self, samples: &[SlowdownSample]) {
        for owner in &mut self.owners {
            for sample in samples {
                owner.learn(0, sample);
            }
        }
    }

    /// Adds a job to the configuration and sends the new revision to all owners.
    pub fn declare_job(&mut self, now: Millis, job: JobSpec) {
        self.jobs.push(job);
        self.configure(now);
    }

    /// Removes the jobs for which `keep` returns false from the configuration, which cancels them.
    pub fn cancel_jobs_except(&mut self, now: Millis, keep: impl Fn(&JobSpec) -> bool) {
        self.jobs.retain(keep);
        self.configure(now);
    }

    fn configure(&mut self, now: Millis) {
        self.revision += 1;
        let unlimited = ResourceSize::new(1 << 40, 1 << 40, 1 << 20);
        let set = Arc::new(ConfigSet {
            jobs: self.jobs.clone(),
            teams: vec![TeamQuota {
                name: TeamId::from(TEAM_NAME),
                quota: unlimited,
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
                team: TeamId::from(TEAM_NAME),
                slice: unlimited,
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

    /// Sends each owner the list of its hall's workers and of all failed workers.
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

    /// Makes a worker fail. Owners see it as gone after the next call of [`BatchSimulation::list_workers`].
    ///
    /// Does nothing if the worker is unknown or has failed before.
    pub fn fail_worker(&mut self, now: Millis, worker: &WorkerId) {
        if let Some(mut failed) = self.workers.remove(worker) {
            failed.advance(now);
            let running: u64 = failed.running().map(|task| task.ran_ms()).sum();
            self.failed_workers_wasted_ms += failed.wasted_ms + running;
            self.failed_workers_progress_ms += failed.progress_ms;
            self.gone.insert(worker.clone());
        }
    }

    /// Sends a slowdown sample to the owner of the worker's shard. Samples of unknown workers are dropped.
    pub fn report_slowdown(&mut self, now: Millis, worker: &WorkerId, sample: SlowdownSample) {
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

    /// Run time of attempts that ended without finish or checkpoint, in milliseconds, including failed workers.
    pub fn total_wasted_ms(&self) -> u64 {
        let workers = self.workers.values();
        self.failed_workers_wasted_ms + workers.map(|worker| worker.wasted_ms).sum::<u64>()
    }

    /// Work done by attempts and not wasted, in milliseconds at full speed, including failed workers.
    pub fn total_progress_ms(&self) -> u64 {
        let workers = self.workers.values();
        let progress = workers.map(|worker| worker.progress_ms).sum::<u64>();
        (self.failed_workers_progress_ms + progress).saturating_sub(self.total_wasted_ms())
    }

    /// The families of the tasks on a worker with their number of tasks, according to the owners' reservations.
    pub fn families_on(&self, worker: &WorkerId) -> Vec<(String, u32)> {
        let mut families: BTreeMap<String, u32> = BTreeMap::new();
        for owner in &self.owners {
            for reservation in owner.pool().reservations(worker) {
                *families.entry(reservation.family.clone()).or_default() += 1;
            }
        }
        families.into_iter().collect()
    }

    /// Whether any task of the job is running on a worker.
    pub fn is_running(&self, job: &JobId) -> bool {
        let workers = self.workers.values();
        workers
            .flat_map(FakeWorker::running)
            .any(|task| task.attempt.task.job == *job)
    }

    /// Advances workers, store answers and shard owners to `now`.
    pub fn tick(&mut self, now: Millis) {
        for worker in self.workers.values_mut() {
            worker.advance(now);
        }
        self.deliver_due_events(now);
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
        self.deliver_due_events(now);
    }

    /// Delivers all events that are due by `now`, ordered by due time and then by insertion.
    fn deliver_due_events(&mut self, now: Millis) {
        loop {
            let next = self
                .pending
                .iter()
                .enumerate()
                .filter(|(_, pending)| pending.due_at <= now)
                .min_by_key(|(position, pending)| (pending.due_at, *position));
            let Some((position, _)) = next else { return };
            let pending = self.pending.remove(position);
            self.feed(pending.due_at.max(1), pending.shard, pending.event);
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
            self.count_evictions(note);
            return;
        }
        if let ShardAction::SendOrders { worker, orders } = action {
            let report = self
                .workers
                .get_mut(&worker)
                .map(|target| target.handle(now, &orders));
            let event = ShardEvent::WorkerAnswered {
                worker,
                epoch: orders.epoch,
                number: orders.number,
                report,
            };
            self.push(now + WORKER_ROUND_TRIP_MS, shard, event);
            return;
        }
        let answer = if self.store_down {
            unanswered(&action)
        } else {
            let name = self.shards[shard].clone();
            self.store.serve(&name, &action)
        };
        if let Some(event) = answer {
            self.push(now + STORE_CALL_MS, shard, event);
        }
    }

    fn push(&mut self, due_at: Millis, shard: usize, event: ShardEvent) {
        self.pending.push(PendingEvent {
            due_at,
            shard,
            event,
        });
    }

    fn count_evictions(&mut self, note: &ShardNote) {
        if let ShardNote::Evicted(_) = note {
            self.evictions += 1;
        }
    }
}

/// Specification of a batch job with `tasks` tasks, each of which needs `cpu_millis` and runs for `run_ms` at full speed.
pub fn job_spec(name: &str, family: &str, tasks: u32, cpu_millis: u64, run_ms: Millis) -> JobSpec {
    JobSpec {
        name: JobId::from(name),
        kind: JobKind::Batch,
        team: TeamId::from(TEAM_NAME),
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

/// Listing of worker `number` with one service, which reserves a quarter of the CPU capacity.
///
/// Workers are spread over `halls` halls in turn, in racks of eight workers.
pub fn worker_entry(number: usize, halls: usize, cpu_millis: u64, service: &str) -> WorkerEntry {
    const WORKERS_PER_RACK: usize = 8;
    WorkerEntry {
        worker: WorkerId::from(format!("w-{number:05}")),
        hall: HallId::from(format!("hall-{}", number % halls)),
        rack: RackId::from(format!(
            "rack-{}-{}",
            number % halls,
            number / halls / WORKERS_PER_RACK
        )),
        capacity: ResourceSize::new(cpu_millis, 60_000, 0),
        services: vec![(
            ServiceId::from(service),
            ResourceSize::new(cpu_millis / 4, 10_000, 0),
        )],
    }
}
