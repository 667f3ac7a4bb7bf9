//! The workers of a shard: what each holds, what is reserved on it, and the choice of one for a task.
//!
//! A choice looks at a few workers whatever their number: some drawn at random, and some found
//! through an index by free processors where none of those has room.

mod choose;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sandshelf_model::{AttemptId, HallId, RackId, ResourceSize, ServiceId, WorkerId};

use crate::estimate::{LoadBand, SlowdownEstimate};
use crate::quarantine::QuarantineTracker;
use crate::weights::PlaceWeights;

/// How many workers one choice draws at random.
const DRAWN_WORKERS: usize = 12;
/// How many workers one choice takes from the index by free processors.
const INDEXED_WORKERS: usize = 12;
/// How many index entries may be looked at for each worker taken.
const INDEX_LOOKS: usize = 4;
/// How much a worker's leftover room counts against the predicted slowdown.
const LEFTOVER_SCALE: f64 = 0.15;

/// One worker as the platform describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerEntry {
    /// The worker's incarnation.
    pub worker: WorkerId,
    /// Its hall.
    pub hall: HallId,
    /// Its rack.
    pub rack: RackId,
    /// All that it has.
    pub capacity: ResourceSize,
    /// The services that stand on it, with what each holds.
    pub services: Vec<(ServiceId, ResourceSize)>,
}

impl WorkerEntry {
    /// Describes a worker without services, in a hall and a rack named `any`.
    pub fn plain(name: &str, capacity: ResourceSize) -> Self {
        Self {
            worker: WorkerId::from(name),
            hall: HallId::from("any"),
            rack: RackId::from("any"),
            capacity,
            services: Vec::new(),
        }
    }
}

/// What is asked for a task.
#[derive(Clone, Debug)]
pub struct TaskNeed {
    /// What to reserve.
    pub size: ResourceSize,
    /// The job's family.
    pub family: String,
    /// A worker to keep away from, such as the one that the task last failed on.
    pub avoid: Option<WorkerId>,
}

impl TaskNeed {
    /// Asks for a size, for a family, anywhere.
    pub fn plain(size: ResourceSize, family: &str) -> Self {
        Self {
            size,
            family: family.to_owned(),
            avoid: None,
        }
    }
}

/// A reservation on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskReservation {
    /// The attempt that it is for.
    pub attempt: AttemptId,
    /// What is reserved.
    pub size: ResourceSize,
    /// The job's family.
    pub family: String,
    /// Whether it can be checkpointed.
    pub checkpoint: bool,
    /// Whether it may be run again from the start.
    pub repeatable: bool,
    /// How far it is, in percent of its expected run time.
    pub progress_percent: u32,
}

/// How a worker is chosen; the others are baselines that measurements compare with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlaceStrategy {
    /// Weigh predicted slowdown against leftover room.
    #[default]
    Weighed,
    /// The first worker with room, by name.
    FirstFit,
    /// The worker with the least leftover room.
    BestFit,
}

/// A chosen worker and why.
#[derive(Clone, Debug, PartialEq)]
pub struct PlaceChoice {
    /// The worker.
    pub worker: WorkerId,
    /// The cost of the choice by the operator's weights; lower is better.
    pub cost: f64,
    /// The slowdown predicted for the services there, minus one.
    pub predicted: f64,
    /// How many workers were looked at.
    pub looked_at: usize,
}

/// What came of a choice.
#[derive(Clone, Debug, PartialEq)]
pub enum PlaceOutcome {
    /// A worker was chosen.
    Placed(PlaceChoice),
    /// No open worker has room now.
    NoRoom,
    /// No known worker could ever hold the task.
    NeverFits,
}

/// Says why a reservation was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveError {
    /// The worker isn't in the pool.
    UnknownWorker,
    /// The worker has no room for it.
    NoRoom,
    /// The attempt already has a reservation there.
    AlreadyHeld,
}

impl fmt::Display for ReserveError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            ReserveError::UnknownWorker => "the worker is not in the pool",
            ReserveError::NoRoom => "the worker has no room",
            ReserveError::AlreadyHeld => "the attempt already holds room there",
        })
    }
}

impl std::error::Error for ReserveError {}

#[derive(Clone, Debug)]
struct PoolWorker {
    entry: WorkerEntry,
    free: ResourceSize,
    tenants: Vec<TaskReservation>,
    open: bool,
    band: LoadBand,
}

impl PoolWorker {
    fn has_room(&self, need: &TaskNeed) -> bool {
        self.open
            && need.size.fits_in(&self.free)
            && need.avoid.as_ref() != Some(&self.entry.worker)
    }

    fn recount(&mut self) {
        let services = self.entry.services.iter().map(|(_, size)| size);
        let held = services.chain(self.tenants.iter().map(|tenant| &tenant.size));
        self.free = held.fold(self.entry.capacity, |free, size| {
            free.saturating_minus(size)
        });
    }

    fn is_overcommitted(&self) -> bool {
        let services = self.entry.services.iter().map(|(_, size)| size);
        let mut sizes = services.chain(self.tenants.iter().map(|tenant| &tenant.size));
        let held = sizes.try_fold(ResourceSize::default(), |sum, size| sum.plus(size));
        held.map_or(true, |held| !held.fits_in(&self.entry.capacity))
    }
}

/// The workers of one shard.
#[derive(Clone, Debug)]
pub struct WorkerPool {
    workers: Vec<PoolWorker>,
    positions: HashMap<WorkerId, usize>,
    by_free: BTreeSet<(u64, WorkerId)>,
    shapes: BTreeMap<RoomShape, usize>,
    source: ChaCha8Rng,
    strategy: PlaceStrategy,
    weights: PlaceWeights,
    /// What is learned of interference.
    pub estimate: SlowdownEstimate,
    /// Failure runs of the workers.
    pub quarantine: QuarantineTracker,
}

impl WorkerPool {
    /// Makes an empty pool; equal seeds give equal choices.
    pub fn new(seed: u64, weights: PlaceWeights) -> Self {
        Self {
            workers: Vec::new(),
            positions: HashMap::new(),
            by_free: BTreeSet::new(),
            shapes: BTreeMap::new(),
            source: ChaCha8Rng::seed_from_u64(seed),
            strategy: PlaceStrategy::default(),
            weights,
            estimate: SlowdownEstimate::default(),
            quarantine: QuarantineTracker::default(),
        }
    }

    /// Changes the strategy.
    pub fn set_strategy(&mut self, strategy: PlaceStrategy) {
        self.strategy = strategy;
    }

    /// Changes the weights.
    pub fn set_weights(&mut self, weights: PlaceWeights) {
        self.weights = weights;
    }

    /// How many workers there are.
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Adds a worker, closed, or takes over what the platform now says of it.
    pub fn upsert(&mut self, entry: &WorkerEntry) {
        match self.positions.get(&entry.worker) {
            Some(&position) => self.update(position, |worker| worker.entry = entry.clone()),
            None => self.insert(entry),
        }
    }

    fn insert(&mut self, entry: &WorkerEntry) {
        let mut worker = PoolWorker {
            entry: entry.clone(),
            free: entry.capacity,
            tenants: Vec::new(),
            open: false,
            band: LoadBand::Quiet,
        };
        worker.recount();
        self.positions
            .insert(entry.worker.clone(), self.workers.len());
        self.by_free
            .insert((worker.free.cpu_millis, entry.worker.clone()));
        self.count_shape(entry);
        self.workers.push(worker);
    }

    /// Changes one worker and keeps the indexes in step.
    fn update(&mut self, position: usize, change: impl FnOnce(&mut PoolWorker)) {
        let worker = &mut self.workers[position];
        let name = worker.entry.worker.clone();
        let shape_before = RoomShape::of(&worker.entry);
        self.by_free.remove(&(worker.free.cpu_millis, name.clone()));
        change(worker);
        worker.recount();
        self.by_free.insert((worker.free.cpu_millis, name));
        let shape_after = RoomShape::of(&worker.entry);
        if shape_before != shape_after {
            self.drop_shape(&shape_before);
            *self.shapes.entry(shape_after).or_default() += 1;
        }
    }

    fn count_shape(&mut self, entry: &WorkerEntry) {
        *self.shapes.entry(RoomShape::of(entry)).or_default() += 1;
    }

    fn discount_shape(&mut self, entry: &WorkerEntry) {
        self.drop_shape(&RoomShape::of(entry));
    }

    fn drop_shape(&mut self, shape: &RoomShape) {
        if let Some(count) = self.shapes.get_mut(shape) {
            *count -= 1;
            if *count == 0 {
                self.shapes.remove(shape);
            }
        }
    }

    /// Takes a worker out; returns the attempts that held room there.
    pub fn remove(&mut self, worker: &WorkerId) -> Vec<AttemptId> {
        let Some(position) = self.positions.remove(worker) else {
            return Vec::new();
        };
        let gone = self.workers.swap_remove(position);
        self.by_free.remove(&(gone.free.cpu_millis, worker.clone()));
        self.discount_shape(&gone.entry);
        if let Some(moved) = self.workers.get(position) {
            self.positions.insert(moved.entry.worker.clone(), position);
        }
        self.quarantine.forget(worker);
        gone.tenants
            .into_iter()
            .map(|tenant| tenant.attempt)
            .collect()
    }

    /// Lets a worker be chosen, or not.
    pub fn set_open(&mut self, worker: &WorkerId, open: bool) {
        if let Some(&position) = self.positions.get(worker) {
            self.workers[position].open = open;
        }
    }

    /// Notes how loaded a worker's services are.
    pub fn set_band(&mut self, worker: &WorkerId, band: LoadBand) {
        if let Some(&position) = self.positions.get(worker) {
            self.workers[position].band = band;
        }
    }

    /// Reserves room; the sum never passes the worker's capacity.
    ///
    /// # Errors
    /// The worker is unknown, has no room, or the attempt already holds room there.
    pub fn reserve(
        &mut self,
        worker: &WorkerId,
        tenant: TaskReservation,
    ) -> Result<(), ReserveError> {
        let position = *self
            .positions
            .get(worker)
            .ok_or(ReserveError::UnknownWorker)?;
        let slot = &self.workers[position];
        if slot
            .tenants
            .iter()
            .any(|held| held.attempt == tenant.attempt)
        {
            return Err(ReserveError::AlreadyHeld);
        }
        if !tenant.size.fits_in(&slot.free) {
            return Err(ReserveError::NoRoom);
        }
        self.update(position, |worker| worker.tenants.push(tenant));
        debug_assert!(
            !self.workers[position].is_overcommitted(),
            "reserved past capacity"
        );
        Ok(())
    }

    /// Records what a worker's own inventory says is there, also where it is more than was planned.
    pub fn record(&mut self, worker: &WorkerId, tenant: TaskReservation) {
        let Some(&position) = self.positions.get(worker) else {
            return;
        };
        self.update(position, |worker| {
            worker.tenants.retain(|held| held.attempt != tenant.attempt);
            worker.tenants.push(tenant);
        });
    }

    /// Gives an attempt's room back; returns whether it held any.
    pub fn release(&mut self, worker: &WorkerId, attempt: &AttemptId) -> bool {
        let Some(&position) = self.positions.get(worker) else {
            return false;
        };
        let before = self.workers[position].tenants.len();
        self.update(position, |worker| {
            worker.tenants.retain(|held| &held.attempt != attempt);
        });
        self.workers[position].tenants.len() < before
    }

    /// Lists what is reserved on a worker.
    pub fn reservations(&self, worker: &WorkerId) -> &[TaskReservation] {
        let position = self.positions.get(worker);
        position.map_or(&[], |&position| &self.workers[position].tenants)
    }

    /// Returns what the platform says of a worker.
    pub fn entry(&self, worker: &WorkerId) -> Option<&WorkerEntry> {
        let position = self.positions.get(worker)?;
        Some(&self.workers[*position].entry)
    }

    /// Returns what is free on a worker.
    pub fn free(&self, worker: &WorkerId) -> Option<ResourceSize> {
        let position = self.positions.get(worker)?;
        Some(self.workers[*position].free)
    }

    /// Returns what a worker has for tasks when none runs there.
    pub fn room_when_empty(&self, worker: &WorkerId) -> ResourceSize {
        let Some(entry) = self.entry(worker) else {
            return ResourceSize::default();
        };
        let services = entry.services.iter().map(|(_, size)| size);
        services.fold(entry.capacity, |room, size| room.saturating_minus(size))
    }

    /// Says whether a worker's reservations pass its capacity, as when it came back smaller.
    pub fn is_overcommitted(&self, worker: &WorkerId) -> bool {
        let position = self.positions.get(worker);
        position.is_some_and(|&position| self.workers[position].is_overcommitted())
    }

    /// Lists every worker.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerId> {
        self.workers.iter().map(|worker| &worker.entry.worker)
    }

    /// Says whether some known worker is large enough when empty; an empty pool never says no.
    pub fn could_ever_hold(&self, size: &ResourceSize) -> bool {
        if self.workers.is_empty() {
            return true;
        }
        self.shapes.keys().any(|shape| {
            shape.cpu_millis >= size.cpu_millis
                && shape.memory_mib >= size.memory_mib
                && shape.accelerators >= size.accelerators
        })
    }
}

/// What a worker has left for tasks when no task runs there; a fleet has only a few shapes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RoomShape {
    cpu_millis: u64,
    memory_mib: u64,
    accelerators: u64,
}

impl RoomShape {
    fn of(entry: &WorkerEntry) -> Self {
        let services = entry.services.iter().map(|(_, size)| size);
        let room = services.fold(entry.capacity, |room, size| room.saturating_minus(size));
        Self {
            cpu_millis: room.cpu_millis,
            memory_mib: room.memory_mib,
            accelerators: room.accelerators,
        }
    }
}
