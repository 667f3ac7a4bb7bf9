//! Halls that are cut off from all others and from the store, one way or both.
//!
//! Hosts and workers stand in halls; the store, as callers, in none of them. What a cut stops is lost: whoever sent it waits until its patience is
//! over. Callers reach every host.

use crate::day::CutWay;
use crate::host::CallPeer;
use crate::queue::Micros;

/// How many halls there are.
pub const HALLS: usize = 4;

/// Where something stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Standing {
    /// In a hall.
    Hall(usize),
    /// Outside of all halls.
    Outside,
}

/// A hall that is cut off.
#[derive(Clone, Copy, Debug)]
struct HallCut {
    hall: usize,
    way: CutWay,
    until: Micros,
}

impl HallCut {
    fn stops(&self, from: Standing, to: Standing) -> bool {
        let hall = Standing::Hall(self.hall);
        let outward = from == hall && to != hall;
        let inward = from != hall && to == hall;
        match self.way {
            CutWay::Outward => outward,
            CutWay::Inward => inward,
            CutWay::Both => outward || inward,
        }
    }
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

    fn peer(&self, peer: CallPeer) -> Standing {
        match peer {
            CallPeer::Store => Standing::Outside,
            CallPeer::Worker(place) => Standing::Hall(place * HALLS / self.workers.max(1)),
        }
    }

    pub(super) fn cut(&mut self, hall: usize, way: CutWay, until: Micros) {
        self.cuts.push(HallCut { hall, way, until });
    }

    fn passes(&self, now: Micros, from: Standing, to: Standing) -> bool {
        let mut cuts = self.cuts.iter().filter(|cut| now < cut.until);
        !cuts.any(|cut| cut.stops(from, to))
    }

    /// Until when a hall is cut off, as far as cuts have begun.
    pub(super) fn cut_until(&self) -> Option<Micros> {
        self.cuts.iter().map(|cut| cut.until).max()
    }

    /// Whether what a host sends to a peer arrives.
    pub(super) fn reaches(&self, now: Micros, host: usize, peer: CallPeer) -> bool {
        let from = Standing::Hall(self.hall_of_host(host));
        self.passes(now, from, self.peer(peer))
    }

    /// Whether what a peer sends to a host arrives.
    pub(super) fn comes_back(&self, now: Micros, host: usize, peer: CallPeer) -> bool {
        let to = Standing::Hall(self.hall_of_host(host));
        self.passes(now, self.peer(peer), to)
    }
}
