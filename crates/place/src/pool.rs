//! The workers of a shard with their capacities and reservations, and the choice of a worker for a task.
//!
//! The cost of a choice does not grow with the number of workers. It considers a random sample of them. If none of these can
//! take the task, it considers workers from an index by free processor capacity, those with the most first.

mod choose;
mod entry;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sandshelf_model::{AttemptId, ResourceSize, WorkerId};

use self::entry::RoomShape;
pub use self::entry::WorkerEntry;
use crate::estimate::{LoadBand, SlowdownEstimate};
use crate::quarantine::QuarantineTracker;
use crate::weights::PlaceWeights;

/// Number of workers that one choice samples at random.
const SAMPLED_WORKERS: usize = 12;
/// Maximum number of workers that one choice takes from the index by free processor capacity.
const INDEXED_WORKERS: usize = 12;
/// Number of index entries that may be scanned for each worker that is to be taken from the index.
const INDEX_SCANS_PER_WORKER: usize = 4;
/// Weight of a worker's leftover capacity relative to the predicted slowdown.
const LEFTOVER_WEIGHT: f64 = 0.15;

/// The placement requirements of a task.
#[derive(Clone, Debug)]
pub struct TaskNeed {
    /// The resources to reserve.
    pub size: ResourceSize,
    /// The family of the task's job, which determines the predicted slowdown.
    pub family: String,
    /// A worker that must not be chosen, such as the one on which the task failed last.
    pub avoid: Option<WorkerId>,
}

impl TaskNeed {
    /// Creates requirements of a size and a family that allow any worker.
    pub fn plain(size: ResourceSize, family: &str) -> Self {
        Self {
            size,
            family: family.to_owned(),
            avoid: None,
        }
    }
}

/// The resources reserved on a worker for one attempt at a task.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskReservation {
    /// The attempt that the resources are reserved for.
    pub attempt: AttemptId,
    /// The reserved resources.
    pub size: ResourceSize,
    /// The family of the attempt's job.
    pub family: String,
    /// Whether the attempt can be checkpointed.
    pub checkpoint: bool,
    /// Whether the task may be run again from the start.
    pub repeatable: bool,
    /// Progress of the attempt, in percent of its expected run time.
    pub progress_percent: u32,
}

/// The policy for choosing a worker. The policies other than `Weighed` are baselines for benchmarks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlaceStrategy {
    /// Minimise a weighted sum of predicted slowdown and leftover capacity.
    #[default]
    Weighed,
    /// Choose the first worker by name that has enough free capacity.
    FirstFit,
    /// Choose the worker with the least free capacity that suffices.
    BestFit,
}

/// A chosen worker and the reasons for the choice.
#[derive(Clone, Debug, PartialEq)]
pub struct PlaceChoice {
    /// The chosen worker.
    pub worker: WorkerId,
    /// The cost of the choice by the operator's weights; lower is better, 0 for the baseline strategies.
    pub cost: f64,
    /// The sum of the slowdowns minus one that are predicted for the services on the worker; 0 for the baseline strategies.
    pub predicted: f64,
    /// Number of workers that were considered.
    pub looked_at: usize,
}

/// The result of a choice.
#[derive(Clone, Debug, PartialEq)]
pub enum PlaceOutcome {
    /// A worker was chosen.
    Placed(PlaceChoice),
    /// No worker can take the task now. Some known worker is large enough when empty, or the pool has no workers.
    NoRoom,
    /// No known worker is large enough for the task, even when empty.
    NeverFits,
}

/// The reason why a reservation was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveError {
    /// The worker is not in the pool.
    UnknownWorker,
    /// The worker's free capacity is too small.
    NoRoom,
    /// The attempt already has a reservation on the worker.
    AlreadyHeld,
}

impl fmt::Display for ReserveError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            ReserveError::UnknownWorker => "the worker is not in the pool",
            ReserveError::NoRoom => "the worker does not have enough free capacity",
            ReserveError::AlreadyHeld => "the attempt already has a reservation on the worker",
        })
    }
}

impl std::error::Error for ReserveError {}

#[derive(Clone, Debug)]
struct PoolWorker {
    entry: WorkerEntry,
    free: ResourceSize,
    reservations: Vec<TaskReservation>,
    open: bool,
    band: LoadBand,
}

impl PoolWorker {
    fn has_room(&self, need: &TaskNeed) -> bool {
        self.open
            && need.size.fits_in(&self.free)
            && need.avoid.as_ref() != Some(&self.entry.worker)
    }

    fn recompute_free(&mut self) {
        let services = self.entry.services.iter().map(|(_, size)| size);
        let held = services.chain(
            self.reservations
                .iter()
                .map(|reservation| &reservation.size),
        );
        self.free = held.fold(self.entry.capacity, |free, size| {
            free.saturating_minus(size)
        });
    }

    fn is_overcommitted(&self) -> bool {
        let services = self.entry.services.iter().map(|(_, size)| size);
        let mut sizes = services.chain(
            self.reservations
                .iter()
                .map(|reservation| &reservation.size),
        );
        let held = sizes.try_fold(ResourceSize::default(), |sum, size| sum.plus(size));
        held.map_or(true, |held| !held.fits_in(&self.entry.capacity))
    }
}

/// The workers of one shard.
#[derive(Clone, Debug)]
pub struct WorkerPool {
    workers: Vec<PoolWorker>,
    positions: HashMap<WorkerId, usize>,
    by_free_cpu: BTreeSet<(u64, WorkerId)>,
    shapes: BTreeMap<RoomShape, usize>,
    rng: ChaCha8Rng,
    strategy: PlaceStrategy,
    weights: PlaceWeights,
    /// Learned slowdowns of services by task families.
    pub estimate: SlowdownEstimate,
    /// Failure streaks and quarantines of the workers.
    pub quarantine: QuarantineTracker,
}

impl WorkerPool {
    /// Creates an empty pool. `seed` seeds the random samples: pools with equal seeds and equal calls make equal choices.
    pub fn new(seed: u64, weights: PlaceWeights) -> Self {
        Self {
            workers: Vec::new(),
            positions: HashMap::new(),
            by_free_cpu: BTreeSet::new(),
            shapes: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            strategy: PlaceStrategy::default(),
            weights,
            estimate: SlowdownEstimate::default(),
            quarantine: QuarantineTracker::default(),
        }
    }

    /// Sets the strategy.
    pub fn set_strategy(&mut self, strategy: PlaceStrategy) {
        self.strategy = strategy;
    }

    /// Sets the operator's weights.
    pub fn set_weights(&mut self, weights: PlaceWeights) {
        self.weights = weights;
    }

    /// Returns the number of workers.
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Returns whether the pool has no workers.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Adds a worker, closed for placement, or updates the entry of a known one.
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
            reservations: Vec::new(),
            open: false,
            band: LoadBand::Quiet,
        };
        worker.recompute_free();
        self.positions
            .insert(entry.worker.clone(), self.workers.len());
        self.by_free_cpu
            .insert((worker.free.cpu_millis, entry.worker.clone()));
        self.add_entry_shape(entry);
        self.workers.push(worker);
    }

    /// Changes one worker and updates its free capacity and the indexes.
    fn update(&mut self, position: usize, change: impl FnOnce(&mut PoolWorker)) {
        let worker = &mut self.workers[position];
        let name = worker.entry.worker.clone();
        let shape_before = RoomShape::of(&worker.entry);
        self.by_free_cpu
            .remove(&(worker.free.cpu_millis, name.clone()));
        change(worker);
        worker.recompute_free();
        self.by_free_cpu.insert((worker.free.cpu_millis, name));
        let shape_after = RoomShape::of(&worker.entry);
        if shape_before != shape_after {
            self.remove_shape(&shape_before);
            *self.shapes.entry(shape_after).or_default() += 1;
        }
    }

    fn add_entry_shape(&mut self, entry: &WorkerEntry) {
        *self.shapes.entry(RoomShape::of(entry)).or_default() += 1;
    }

    fn remove_entry_shape(&mut self, entry: &WorkerEntry) {
        self.remove_shape(&RoomShape::of(entry));
    }

    fn remove_shape(&mut self, shape: &RoomShape) {
        if let Some(count) = self.shapes.get_mut(shape) {
            *count -= 1;
            if *count == 0 {
                self.shapes.remove(shape);
            }
        }
    }

    /// Removes a worker; returns the attempts that had reservations on it.
    pub fn remove(&mut self, worker: &WorkerId) -> Vec<AttemptId> {
        let Some(position) = self.positions.remove(worker) else {
            return Vec::new();
        };
        let removed = self.workers.swap_remove(position);
        self.by_free_cpu
            .remove(&(removed.free.cpu_millis, worker.clone()));
        self.remove_entry_shape(&removed.entry);
        if let Some(moved) = self.workers.get(position) {
            self.positions.insert(moved.entry.worker.clone(), position);
        }
        self.quarantine.forget(worker);
        removed
            .reservations
            .into_iter()
            .map(|reservation| reservation.attempt)
            .collect()
    }

    /// Opens a worker for placement or closes it; no effect if the worker is unknown.
    pub fn set_open(&mut self, worker: &WorkerId, open: bool) {
        if let Some(&position) = self.positions.get(worker) {
            self.workers[position].open = open;
        }
    }

    /// Records the load band of a worker's services; no effect if the worker is unknown.
    pub fn set_band(&mut self, worker: &WorkerId, band: LoadBand) {
        if let Some(&position) = self.positions.get(worker) {
            self.workers[position].band = band;
        }
    }

    /// Reserves resources on a worker; refused where the reservations would exceed the worker's capacity.
    ///
    /// # Errors
    /// Fails if the worker is unknown or has too little free capacity, or if the attempt already has a reservation on it.
    pub fn reserve(
        &mut self,
        worker: &WorkerId,
        reservation: TaskReservation,
    ) -> Result<(), ReserveError> {
        let position = *self
            .positions
            .get(worker)
            .ok_or(ReserveError::UnknownWorker)?;
        let slot = &self.workers[position];
        if slot
            .reservations
            .iter()
            .any(|held| held.attempt == reservation.attempt)
        {
            return Err(ReserveError::AlreadyHeld);
        }
        if !reservation.size.fits_in(&slot.free) {
            return Err(ReserveError::NoRoom);
        }
        self.update(position, |worker| worker.reservations.push(reservation));
        debug_assert!(
            !self.workers[position].is_overcommitted(),
            "reservations exceed the capacity"
        );
        Ok(())
    }

    /// Records an attempt that a worker's own inventory reports, replacing an earlier reservation of the same attempt.
    ///
    /// It is recorded even if the reservations then exceed the worker's capacity. No effect if the worker is unknown.
    pub fn record(&mut self, worker: &WorkerId, reservation: TaskReservation) {
        let Some(&position) = self.positions.get(worker) else {
            return;
        };
        self.update(position, |worker| {
            worker
                .reservations
                .retain(|held| held.attempt != reservation.attempt);
            worker.reservations.push(reservation);
        });
    }

    /// Releases an attempt's reservation on a worker; returns whether there was one.
    pub fn release(&mut self, worker: &WorkerId, attempt: &AttemptId) -> bool {
        let Some(&position) = self.positions.get(worker) else {
            return false;
        };
        let before = self.workers[position].reservations.len();
        self.update(position, |worker| {
            worker.reservations.retain(|held| &held.attempt != attempt);
        });
        self.workers[position].reservations.len() < before
    }

    /// Returns the reservations on a worker; empty if the worker is unknown.
    pub fn reservations(&self, worker: &WorkerId) -> &[TaskReservation] {
        let position = self.positions.get(worker);
        position.map_or(&[], |&position| &self.workers[position].reservations)
    }

    /// Returns a worker's entry as listed by the platform; `None` if the worker is unknown.
    pub fn entry(&self, worker: &WorkerId) -> Option<&WorkerEntry> {
        let position = self.positions.get(worker)?;
        Some(&self.workers[*position].entry)
    }

    /// Returns the free capacity of a worker; `None` if the worker is unknown.
    pub fn free(&self, worker: &WorkerId) -> Option<ResourceSize> {
        let position = self.positions.get(worker)?;
        Some(self.workers[*position].free)
    }

    /// Returns a worker's capacity minus what its services hold; zero if the worker is unknown.
    pub fn room_when_empty(&self, worker: &WorkerId) -> ResourceSize {
        let Some(entry) = self.entry(worker) else {
            return ResourceSize::default();
        };
        let services = entry.services.iter().map(|(_, size)| size);
        services.fold(entry.capacity, |room, size| room.saturating_minus(size))
    }

    /// Returns whether a worker's services and reservations exceed its capacity, as when it was listed again with a smaller one.
    pub fn is_overcommitted(&self, worker: &WorkerId) -> bool {
        let position = self.positions.get(worker);
        position.is_some_and(|&position| self.workers[position].is_overcommitted())
    }

    /// Returns the identifiers of all workers, in no particular order.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerId> {
        self.workers.iter().map(|worker| &worker.entry.worker)
    }

    /// Returns whether some known worker is large enough for `size` when it runs no tasks; true if the pool is empty.
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
