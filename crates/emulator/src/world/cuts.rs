//! Network partitions: halls that are cut off from all other halls and from the store, in one direction or both, and single workers that
//! are cut off from all hosts.
//!
//! Each host and each worker is in a hall; the store and the callers are in none. A message that a cut stops is lost,
//! and its sender waits until its timeout, unless the cut refuses connections. Callers reach every host.

use crate::day::CutDirection;
use crate::host::CallPeer;
use crate::queue::Micros;

/// The number of halls.
pub const HALLS: usize = 4;

/// A cut of one hall from everything outside.
#[derive(Clone, Copy, Debug)]
struct HallCut {
    hall: usize,
    direction: CutDirection,
    until: Micros,
}

/// What happens to calls to a worker that is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CutManner {
    /// They are lost.
    Silent,
    /// Their connections are refused.
    Refusing,
}

/// A cut of the worker at one place.
#[derive(Clone, Copy, Debug)]
struct WorkerCut {
    place: usize,
    manner: CutManner,
    until: Micros,
}

/// The halls of hosts and workers, and all cuts.
#[derive(Debug)]
pub(super) struct HallMap {
    workers: usize,
    cuts: Vec<HallCut>,
    worker_cuts: Vec<WorkerCut>,
}

impl HallMap {
    pub(super) fn new(workers: usize) -> Self {
        Self {
            workers,
            cuts: Vec::new(),
            worker_cuts: Vec::new(),
        }
    }

    /// The hall of a host. Strong hosts come first in the deployment, so that each hall gets some of them.
    pub(super) fn hall_of_host(&self, host: usize) -> usize {
        host % HALLS
    }

    /// The places of the workers of a hall.
    pub(super) fn workers_of(&self, hall: usize) -> Vec<usize> {
        let places = 0..self.workers;
        let within = |place: &usize| self.hall_of_peer(CallPeer::Worker(*place)) == Some(hall);
        places.filter(within).collect()
    }

    /// The hall of a peer; `None` for the store.
    fn hall_of_peer(&self, peer: CallPeer) -> Option<usize> {
        match peer {
            CallPeer::Store => None,
            CallPeer::Worker(place) => Some(place * HALLS / self.workers.max(1)),
        }
    }

    pub(super) fn cut(&mut self, hall: usize, direction: CutDirection, until: Micros) {
        self.cuts.push(HallCut {
            hall,
            direction,
            until,
        });
    }

    pub(super) fn cut_worker(&mut self, place: usize, manner: CutManner, until: Micros) {
        self.worker_cuts.push(WorkerCut {
            place,
            manner,
            until,
        });
    }

    fn is_worker_cut(&self, now: Micros, place: usize, manner: CutManner) -> bool {
        let mut cuts = self.worker_cuts.iter().filter(|cut| now < cut.until);
        cuts.any(|cut| cut.place == place && cut.manner == manner)
    }

    /// Whether a cut refuses connections to the worker at a place.
    pub(super) fn refuses_worker(&self, now: Micros, place: usize) -> bool {
        self.is_worker_cut(now, place, CutManner::Refusing)
    }

    fn is_cut_worker(&self, now: Micros, peer: CallPeer) -> bool {
        match peer {
            CallPeer::Worker(place) => self.is_worker_cut(now, place, CutManner::Silent),
            CallPeer::Store => false,
        }
    }

    fn passes(&self, now: Micros, from: Option<usize>, to: Option<usize>) -> bool {
        let mut cuts = self.cuts.iter().filter(|cut| now < cut.until);
        !cuts.any(|cut| cut.direction.stops(cut.hall, from, to))
    }

    /// The latest end of all cuts that have begun; `None` before the first.
    pub(super) fn cut_until(&self) -> Option<Micros> {
        self.cuts.iter().map(|cut| cut.until).max()
    }

    /// Whether messages of a host to another host arrive.
    pub(super) fn reaches_host(&self, now: Micros, from: usize, to: usize) -> bool {
        let (from, to) = (self.hall_of_host(from), self.hall_of_host(to));
        from == to || self.passes(now, Some(from), Some(to))
    }

    /// Whether messages of a host to a peer arrive.
    pub(super) fn reaches(&self, now: Micros, host: usize, peer: CallPeer) -> bool {
        let from = Some(self.hall_of_host(host));
        !self.is_cut_worker(now, peer) && self.passes(now, from, self.hall_of_peer(peer))
    }

    /// Whether messages of a peer to a host arrive.
    pub(super) fn reaches_back(&self, now: Micros, host: usize, peer: CallPeer) -> bool {
        let to = Some(self.hall_of_host(host));
        !self.is_cut_worker(now, peer) && self.passes(now, self.hall_of_peer(peer), to)
    }
}
