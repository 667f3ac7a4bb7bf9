//! Halls that operators have evacuated: nothing is started on the workers there until the halls are taken back.
//!
//! What is at work in an evacuated hall stays: operators ask that nothing further is sent there, and whatever is moved elsewhere loses work. It is
//! held, paced, stopped and acknowledged as before, and what ends there goes on in another hall. A hall that is taken back is open at once.

use std::collections::{BTreeMap, BTreeSet};

use sandshelf_model::{HallId, Millis};

use crate::note::JobNote;
use crate::scheduler::JobScheduler;
use crate::worker::WorkerState;

/// The halls that are evacuated, as operators last said.
#[derive(Clone, Debug, Default)]
pub(crate) struct EvacuatedHalls {
    /// Each with when this owner learnt of it.
    since: BTreeMap<HallId, Millis>,
}

impl EvacuatedHalls {
    pub(crate) fn contains(&self, hall: &HallId) -> bool {
        self.since.contains_key(hall)
    }

    /// How many there are.
    pub(crate) fn len(&self) -> usize {
        self.since.len()
    }

    /// Takes in which halls are evacuated; returns those that were not before, and those that no longer are, each with for how
    /// long this owner knew of it.
    fn change(
        &mut self,
        now: Millis,
        halls: BTreeSet<HallId>,
    ) -> (Vec<HallId>, Vec<(HallId, Millis)>) {
        let back = self.since.iter().filter(|(hall, _)| !halls.contains(*hall));
        let back = back.map(|(hall, since)| (hall.clone(), now.saturating_sub(*since)));
        let back: Vec<(HallId, Millis)> = back.collect();
        for (hall, _) in &back {
            self.since.remove(hall);
        }
        let fresh = halls.into_iter().filter(|hall| !self.contains(hall));
        let fresh: Vec<HallId> = fresh.collect();
        for hall in &fresh {
            self.since.insert(hall.clone(), now);
        }
        (fresh, back)
    }
}

impl JobScheduler {
    /// Takes in which halls are evacuated.
    pub(crate) fn apply_evacuated_halls(&mut self, now: Millis, halls: BTreeSet<HallId>) {
        let (fresh, back) = self.evacuated.change(now, halls);
        for worker in self.workers.values_mut() {
            worker.evacuated = self.evacuated.contains(&worker.entry.hall);
        }
        for hall in fresh {
            let there = |worker: &&WorkerState| worker.entry.hall == hall;
            let workers = self.workers.values().filter(there);
            let runs = workers.clone().flat_map(|worker| worker.runs.values());
            let standing = runs.clone().filter(|record| record.standing).count();
            self.note(JobNote::HallEvacuated {
                workers: workers.count(),
                runs: runs.count(),
                standing,
                hall,
            });
        }
        for (hall, lasted_ms) in back {
            self.note(JobNote::HallBack { hall, lasted_ms });
        }
        self.room_changed = true;
    }
}
