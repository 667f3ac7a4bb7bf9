//! The workers that an owner gives orders to, and their halls.

use std::collections::{BTreeMap, HashMap};

use sandshelf_model::{HallId, WorkerId};

/// The hall of each worker, and the number of workers in each hall.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkerHalls {
    halls: HashMap<WorkerId, HallId>,
    sizes: BTreeMap<HallId, usize>,
    /// Whether workers have come, gone or moved since this was last asked.
    changed: bool,
}

impl WorkerHalls {
    pub(super) fn len(&self) -> usize {
        self.halls.len()
    }

    pub(super) fn hall_of(&self, worker: &WorkerId) -> Option<&HallId> {
        self.halls.get(worker)
    }

    pub(super) fn hall_sizes(&self) -> &BTreeMap<HallId, usize> {
        &self.sizes
    }

    /// Whether anything has changed since the last call.
    pub(super) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Replaces all workers; returns whether they differ.
    pub(super) fn replace_all(
        &mut self,
        workers: impl IntoIterator<Item = (WorkerId, HallId)>,
    ) -> bool {
        let halls: HashMap<WorkerId, HallId> = workers.into_iter().collect();
        if halls == self.halls {
            return false;
        }
        self.sizes.clear();
        for hall in halls.values() {
            *self.sizes.entry(hall.clone()).or_default() += 1;
        }
        self.halls = halls;
        true
    }

    /// Adds a worker or changes its hall; returns whether that differs from what was known.
    pub(super) fn put(&mut self, worker: &WorkerId, hall: HallId) -> bool {
        if self.halls.get(worker) == Some(&hall) {
            return false;
        }
        self.remove(worker);
        *self.sizes.entry(hall.clone()).or_default() += 1;
        self.halls.insert(worker.clone(), hall);
        self.changed = true;
        true
    }

    /// Removes a worker if it is known.
    pub(super) fn remove(&mut self, worker: &WorkerId) {
        let Some(hall) = self.halls.remove(worker) else {
            return;
        };
        self.changed = true;
        if let Some(size) = self.sizes.get_mut(&hall) {
            *size -= 1;
            if *size == 0 {
                self.sizes.remove(&hall);
            }
        }
    }
}
