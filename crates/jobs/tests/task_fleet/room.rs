//! Counts the capacity that the workers of a fleet have left.

use sandshelf_model::{ResourceSize, WorkerId};

use super::{FleetWorker, TaskFleet};

impl TaskFleet {
    /// The processors in use by tasks other than filling ones, and those of all workers, in thousandths of a core.
    pub fn processors(&self) -> (u64, u64) {
        let alive = self.workers.iter().filter(|worker| !worker.lost);
        alive.fold((0, 0), |(used, whole), worker| {
            let held = worker
                .runs
                .keys()
                .map(|key| self.step(key).room().cpu_millis);
            (
                used + held.sum::<u64>(),
                whole + worker.listing.capacity.cpu_millis,
            )
        })
    }

    /// The number of workers with room for a task of this size.
    pub fn workers_with_room(&self, room: &ResourceSize) -> usize {
        let alive = self.workers.iter().filter(|worker| !worker.lost);
        alive.filter(|worker| self.has_room(worker, room)).count()
    }

    /// Whether a worker has room for a task of this size.
    pub fn has_room_on(&self, worker: &WorkerId, room: &ResourceSize) -> bool {
        let worker = &self.workers[Self::index_of(worker)];
        !worker.lost && self.has_room(worker, room)
    }

    fn has_room(&self, worker: &FleetWorker, room: &ResourceSize) -> bool {
        let runs = worker.runs.keys();
        let used = runs.fold(*room, |sum, held| {
            sum.plus(&self.step(held).room()).expect("small sizes")
        });
        used.fits_in(&worker.listing.capacity)
    }
}
