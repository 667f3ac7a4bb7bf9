//! Chooses the worker on which a large task fits soonest. Pure.

use sandshelf_model::{Millis, ResourceSize};

/// A run that will end and give its capacity back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct EndingRun {
    pub(super) ends_at: Millis,
    pub(super) room: ResourceSize,
}

/// A worker that could be reserved.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ReservableWorker<'a, K> {
    pub(super) id: &'a K,
    pub(super) free: ResourceSize,
    pub(super) ending: Vec<EndingRun>,
}

impl<K> ReservableWorker<'_, K> {
    /// When a task of this size fits, if ending runs free enough capacity for it.
    fn ready_at(&self, now: Millis, room: &ResourceSize) -> Option<Millis> {
        let mut ending = self.ending.clone();
        ending.sort_by_key(|run| run.ends_at);
        let (mut free, mut ready_at) = (self.free, now);
        for run in ending {
            if room.fits_in(&free) {
                break;
            }
            free = free.plus(&run.room).ok()?;
            ready_at = ready_at.max(run.ends_at);
        }
        room.fits_in(&free).then_some(ready_at)
    }
}

/// The worker on which a task of this size fits soonest, and when.
pub(super) fn soonest_worker<'a, K>(
    now: Millis,
    room: &ResourceSize,
    workers: impl Iterator<Item = ReservableWorker<'a, K>>,
) -> Option<(&'a K, Millis)> {
    let ready = workers.filter_map(|worker| Some((worker.id, worker.ready_at(now, room)?)));
    ready.min_by_key(|(_, ready_at)| *ready_at)
}
