//! Decides how many relays an owner uses, and which relay serves which worker.

use std::collections::hash_map::DefaultHasher;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use sandshelf_model::{HallId, HostId, Millis, WorkerId};

use super::messages::RelayHandshake;

/// How many workers an owner calls without relays, in hundredths of a worker for each thousandth of a core that it has. The lease renewals
/// and orders of one worker cost 0.45 thousandths of a core (2,750 calls a second for 890 workers, 130 us each, under production
/// load), and a quarter of the core may be spent on them.
const DIRECT_WORKERS_PERCENT: u64 = 60;
/// The most workers that a relay serves, in the unit of [`DIRECT_WORKERS_PERCENT`]. A relay also serves its own callers, and calls that
/// begin together wait for one another. In simulation with weak hosts only, a limit of 12 gives about the same results, but needs more
/// messages.
const RELAY_WORKERS_PERCENT: u64 = 20;

/// The processor time of the first call to a worker, in microseconds: 60 us for the new connection and 130 us for the call, on
/// the production platform.
const FIRST_CALL_MICROS: u64 = 190;
/// A new owner that would need longer than this for the first calls to all workers waits for relays. A worker that has not answered after
/// 300 ms counts as silent.
const MAX_FIRST_CALLS_MS: Millis = 500;

/// Whether a new owner should wait for more relays before its first calls to its workers: calling them all directly would take too long,
/// and the hosts that have offered to relay so far have capacity for less than half of them. `processor_millicores` is the processor capacity
/// of the owner, in thousandths of a core.
pub fn waits_for_relays<'a>(
    processor_millicores: u64,
    workers: usize,
    offers: impl Iterator<Item = &'a RelayHandshake>,
) -> bool {
    let direct_ms = workers as u64 * FIRST_CALL_MICROS / processor_millicores.max(1);
    let room: usize = offers
        .map(|offer| relay_capacity(offer.processor_millicores))
        .sum();
    direct_ms > MAX_FIRST_CALLS_MS && room * 2 < workers
}

/// The most workers that a relay with this many thousandths of a core serves.
fn relay_capacity(processor_millicores: u64) -> usize {
    (processor_millicores * RELAY_WORKERS_PERCENT / 100) as usize
}

/// Identifies the connection of a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RelayNumber(pub u64);

/// A relay that may be assigned workers.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct RelayCandidate {
    pub(super) relay: RelayNumber,
    pub(super) host: HostId,
    pub(super) hall: HallId,
    pub(super) processor_millicores: u64,
}

impl RelayCandidate {
    /// The most workers that the relay serves.
    fn room(&self) -> usize {
        relay_capacity(self.processor_millicores)
    }

    /// The weight of this relay for a worker: rendezvous hashing weighted by capacity. When relays come or go, only workers of those relays
    /// are reassigned.
    fn weight_for(&self, worker: &WorkerId) -> f64 {
        let mut hasher = DefaultHasher::new();
        (self.host.as_str(), worker.as_str()).hash(&mut hasher);
        // Above 0 and below 1.
        let drawn = ((hasher.finish() >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
        -(self.room().max(1) as f64) / drawn.ln()
    }
}

/// Whether an owner calls this many workers without relays.
pub(super) fn calls_alone(processor_millicores: u64, workers: usize) -> bool {
    workers as u64 <= processor_millicores * DIRECT_WORKERS_PERCENT / 100
}

/// The relays in use, by hall of the workers that they serve.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct RelayPlan {
    by_hall: BTreeMap<HallId, Vec<RelayCandidate>>,
    all: Vec<RelayCandidate>,
}

impl RelayPlan {
    /// Chooses in each hall the fewest relays, those with the most processor capacity first, that can serve the workers there: with fewer
    /// relays, more orders share a message. If the relays of a hall can serve less than half of its workers, all relays in use serve it.
    pub(super) fn new(mut relays: Vec<RelayCandidate>, workers: &BTreeMap<HallId, usize>) -> Self {
        relays.sort_by(|one, other| {
            let strength = other.processor_millicores.cmp(&one.processor_millicores);
            strength.then_with(|| one.host.cmp(&other.host))
        });
        let mut plan = Self::default();
        for (hall, count) in workers {
            let mut room = 0;
            let near = relays.iter().filter(|relay| relay.hall == *hall);
            let near = near.take_while(|relay| {
                let needed = room < *count;
                room += relay.room();
                needed
            });
            let near: Vec<RelayCandidate> = near.cloned().collect();
            plan.all.extend(near.iter().cloned());
            if room * 2 >= *count {
                plan.by_hall.insert(hall.clone(), near);
            }
        }
        if plan.all.is_empty() {
            plan.all = relays;
        }
        plan
    }

    /// The relay that serves a worker.
    pub(super) fn relay_of(&self, worker: &WorkerId, hall: Option<&HallId>) -> Option<RelayNumber> {
        let near = hall.and_then(|hall| self.by_hall.get(hall));
        let relays = near.filter(|near| !near.is_empty()).unwrap_or(&self.all);
        let weights = relays
            .iter()
            .map(|relay| (relay.weight_for(worker), relay.relay));
        let strongest = weights.max_by(|one, other| one.0.total_cmp(&other.0));
        strongest.map(|(_, relay)| relay)
    }

    /// Whether a relay is in use.
    pub(super) fn uses(&self, relay: RelayNumber) -> bool {
        self.all.iter().any(|candidate| candidate.relay == relay)
    }

    /// How many relays are in use.
    pub(super) fn len(&self) -> usize {
        self.all.len()
    }
}
