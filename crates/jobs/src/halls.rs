//! Halls that operators have evacuated: no task is started on the workers there until the hall is returned to service.
//!
//! Runs in an evacuated hall continue: operators ask that nothing further is sent there, and moving a run elsewhere loses work. The
//! leases of the workers are renewed, and runs are paced, stopped and acknowledged as before. A task whose run ends there continues
//! in another hall. A hall that is returned to service may be used at once.

use std::collections::{BTreeMap, BTreeSet};

use sandshelf_model::{HallId, Millis};

use crate::note::JobNote;
use crate::scheduler::JobScheduler;
use crate::worker::WorkerState;

/// The evacuated halls, as last reported by operators.
#[derive(Clone, Debug, Default)]
pub(crate) struct EvacuatedHalls {
    /// When this owner learned of the evacuation, by hall.
    since: BTreeMap<HallId, Millis>,
}

impl EvacuatedHalls {
    pub(crate) fn contains(&self, hall: &HallId) -> bool {
        self.since.contains_key(hall)
    }

    /// The number of evacuated halls.
    pub(crate) fn len(&self) -> usize {
        self.since.len()
    }

    /// Replaces the set of evacuated halls. Returns the halls that were added, and those that were removed, each with the time for which
    /// this owner knew it as evacuated.
    fn change(
        &mut self,
        now: Millis,
        halls: BTreeSet<HallId>,
    ) -> (Vec<HallId>, Vec<(HallId, Millis)>) {
        let returned = self.since.iter().filter(|(hall, _)| !halls.contains(*hall));
        let returned = returned.map(|(hall, since)| (hall.clone(), now.saturating_sub(*since)));
        let returned: Vec<(HallId, Millis)> = returned.collect();
        for (hall, _) in &returned {
            self.since.remove(hall);
        }
        let added = halls.into_iter().filter(|hall| !self.contains(hall));
        let added: Vec<HallId> = added.collect();
        for hall in &added {
            self.since.insert(hall.clone(), now);
        }
        (added, returned)
    }
}

impl JobScheduler {
    /// Applies a new set of evacuated halls.
    pub(crate) fn apply_evacuated_halls(&mut self, now: Millis, halls: BTreeSet<HallId>) {
        let (added, returned) = self.evacuated.change(now, halls);
        for worker in self.workers.values_mut() {
            worker.evacuated = self.evacuated.contains(&worker.entry.hall);
        }
        for hall in added {
            let in_hall = |worker: &&WorkerState| worker.entry.hall == hall;
            let workers = self.workers.values().filter(in_hall);
            let runs = workers.clone().flat_map(|worker| worker.runs.values());
            let standing = runs.clone().filter(|record| record.standing).count();
            self.note(JobNote::HallEvacuated {
                workers: workers.count(),
                runs: runs.count(),
                standing,
                hall,
            });
        }
        for (hall, lasted_ms) in returned {
            self.note(JobNote::HallBack { hall, lasted_ms });
        }
        self.room_changed = true;
    }
}
