//! Halls that are cut off. Hosts and workers in one hall still reach each other; the store is
//! outside all halls.

use rand::RngExt;
use sandshelf_emulator::day::CutDirection;
use sandshelf_model::{HallId, Millis};

use super::PlatformEmulator;

/// How many halls there are; the worker at place P is in hall P modulo this.
const HALLS: usize = 4;

/// A hall that is cut off.
#[derive(Clone, Copy, Debug)]
pub struct HallCut {
    pub hall: usize,
    pub way: CutDirection,
    pub since: Millis,
    pub until: Millis,
}

pub fn hall_name(hall: usize) -> HallId {
    HallId::from(format!("hall-{hall}"))
}

/// The hall of the worker at a place.
pub fn hall_of(place: usize) -> usize {
    place % HALLS
}

impl PlatformEmulator {
    /// Cuts a hall off for some seconds; in half of the cases the owner's hall.
    pub(super) fn cut_off_hall(&mut self) {
        if self.hall_cut().is_some() {
            return;
        }
        let any = self.random.random_range(0..HALLS);
        let owners = self.owners.last().map_or(any, |owner| owner.hall);
        let hall = match self.random.random_bool(0.5) {
            true => owners,
            false => any,
        };
        let way = [
            CutDirection::Outward,
            CutDirection::Inward,
            CutDirection::Both,
        ][self.random.random_range(0..3)];
        let until = self.now + self.random.random_range(1_000..14_000);
        self.cut = Some(HallCut {
            hall,
            way,
            since: self.now,
            until,
        });
    }

    /// Operators evacuate a hall, or return one to service; at most two are evacuated at once. They
    /// can't do so while the store is out.
    pub(super) fn evacuate_hall(&mut self) {
        if self.now < self.store_out_until {
            return;
        }
        let hall = self.random.random_range(0..HALLS);
        if self.evacuated.remove(&hall).is_none() && self.evacuated.len() < 2 {
            self.evacuated.insert(hall, self.now);
        }
    }

    /// Picks the hall of a new owner, which has to reach the store.
    pub(super) fn pick_hall(&mut self) -> usize {
        if self.plan.hall_cuts == 0 {
            return 0;
        }
        let cut = self.hall_cut().map(|cut| cut.hall);
        let halls: Vec<usize> = (0..HALLS).filter(|hall| Some(*hall) != cut).collect();
        halls[self.random.random_range(0..halls.len())]
    }

    /// The hall that is cut off now.
    pub(super) fn hall_cut(&self) -> Option<HallCut> {
        self.cut.filter(|cut| self.now < cut.until)
    }

    /// Until when no message passes from one hall to another; `None` stands for the store, which is
    /// in no hall.
    pub(super) fn blocked_until(&self, from: Option<usize>, to: Option<usize>) -> Option<Millis> {
        let cut = self.hall_cut();
        let cut = cut.filter(|cut| cut.way.stops(cut.hall, from, to));
        cut.map(|cut| cut.until)
    }

    /// Until when calls from a hall to the store get no answer.
    pub(super) fn without_store_until(&self, hall: usize) -> Option<Millis> {
        let cut = self.hall_cut().filter(|cut| cut.hall == hall)?;
        Some(cut.until)
    }

    /// The hall of the worker with a name.
    pub(super) fn worker_hall(&self, worker: &sandshelf_model::WorkerId) -> Option<usize> {
        let known = self.workers.iter().find(|known| known.id == *worker);
        known.map(|known| hall_of(known.place))
    }
}
