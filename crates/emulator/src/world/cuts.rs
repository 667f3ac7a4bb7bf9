//! Halls that are cut off from all others and from the store, one way or both.
//!
//! Hosts and workers stand in halls; the store, as callers, in none of them. What a cut stops is lost: whoever sent it waits until its patience is
//! over. Callers reach every host.

use crate::day::CutWay;
use crate::host::CallPeer;
use crate::queue::Micros;

/// How many halls there are.
pub const HALLS: usize = 4;

/// A hall that is cut off.
#[derive(Clone, Copy, Debug)]
struct HallCut {
    hall: usize,
    way: CutWay,
    until: Micros,
}

/// All cuts, and who stands where.
#[derive(Debug)]
pub(super) struct HallMap {
    workers: usize,
    cuts: Vec<HallCut>,
}

impl HallMap {
    pub(super) fn new(workers: usize) -> Self {
        Self {
            workers,
            cuts: Vec::new(),
        }
    }

    /// Each hall has some strong hosts, which come first in the deployment.
    pub(super) fn hall_of_host(&self, host: usize) -> usize {
        host % HALLS
    }

    /// The hall of a peer; the store is in none.
    fn hall_of_peer(&self, peer: CallPeer) -> Option<usize> {
        match peer {
            CallPeer::Store => None,
            CallPeer::Worker(place) => Some(place * HALLS / self.workers.max(1)),
        }
    }

    pub(super) fn cut(&mut self, hall: usize, way: CutWay, until: Micros) {
        self.cuts.push(HallCut { hall, way, until });
    }

    fn passes(&self, now: Micros, from: Option<usize>, to: Option<usize>) -> bool {
        let mut cuts = self.cuts.iter().filter(|cut| now < cut.until);
        !cuts.any(|cut| cut.way.stops(cut.hall, from, to))
    }

    /// Until when a hall is cut off, as far as cuts have begun.
    pub(super) fn cut_until(&self) -> Option<Micros> {
        self.cuts.iter().map(|cut| cut.until).max()
    }

    /// Whether what a host sends to a peer arrives.
    pub(super) fn reaches(&self, now: Micros, host: usize, peer: CallPeer) -> bool {
        let from = Some(self.hall_of_host(host));
        self.passes(now, from, self.hall_of_peer(peer))
    }

    /// Whether what a peer sends to a host arrives.
    pub(super) fn comes_back(&self, now: Micros, host: usize, peer: CallPeer) -> bool {
        let to = Some(self.hall_of_host(host));
        self.passes(now, self.hall_of_peer(peer), to)
    }
}
