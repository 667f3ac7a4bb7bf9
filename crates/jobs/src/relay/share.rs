//! How many relays an owner uses, and which of them serves which worker.

use std::collections::hash_map::DefaultHasher;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use sandshelf_model::{HallId, HostId, Millis, WorkerId};

use super::dispatcher::RelayNumber;
use super::messages::RelayHandshake;

/// How many workers an owner calls by itself, for each thousandth of a core that it has, in hundredths: looks at a worker and its
/// orders cost it 0.45 thousandths of a core (2,750 calls a second for 890 workers, 130 us each, on the users' platform), and a
/// quarter of its core may go there.
const OWN_WORKERS_PERCENT: u64 = 60;
/// How many workers a relay serves at most in the same measure: it has callers of its own beside them, and calls that begin together
/// wait for one another there. A calm day with weak hosts only is worth 0.405 with this, and 0.402 at 12, where there are more
/// messages.
const RELAY_WORKERS_PERCENT: u64 = 20;

/// What calling a worker for the first time costs, in millionths of a core for a second: a new connection, 60 us, and a call, 130 us
/// on the users' platform.
const FIRST_CALL_MICROS: u64 = 190;
/// A new owner that would need longer for the first calls to all workers waits for relays; a worker that has not answered after
/// 300 ms counts as silent.
const LONGEST_FIRST_CALLS_MS: Millis = 500;

/// Whether the first calls of a new owner with so many thousandths of a core to so many workers had better wait for relays: it would
/// take long for them, and the hosts that offer help have no room for half of the workers yet.
pub fn waits_for_relays<'a>(
    processor_millis: u64,
    workers: usize,
    offers: impl Iterator<Item = &'a RelayHandshake>,
) -> bool {
    let alone_ms = workers as u64 * FIRST_CALL_MICROS / processor_millis.max(1);
    let room: usize = offers.map(|offer| room_of(offer.processor_millis)).sum();
    alone_ms > LONGEST_FIRST_CALLS_MS && room * 2 < workers
}

/// How many workers a relay with so many thousandths of a core serves at most.
fn room_of(processor_millis: u64) -> usize {
    (processor_millis * RELAY_WORKERS_PERCENT / 100) as usize
}

/// A relay as the dealing sees it.
#[derive(Clone, Debug)]
pub(super) struct RelayShare {
    pub(super) relay: RelayNumber,
    pub(super) host: HostId,
    pub(super) hall: HallId,
    pub(super) processor_millis: u64,
}

impl RelayShare {
    /// How many workers it serves at most.
    fn room(&self) -> usize {
        room_of(self.processor_millis)
    }

    /// How strongly it claims a worker: rendezvous hashing, weighed by room. When relays come or go, only workers of theirs
    /// change hands.
    fn claim_on(&self, worker: &WorkerId) -> f64 {
        let mut hasher = DefaultHasher::new();
        (self.host.as_str(), worker.as_str()).hash(&mut hasher);
        // Above 0 and below 1.
        let drawn = ((hasher.finish() >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
        -(self.room().max(1) as f64) / drawn.ln()
    }
}

/// Whether an owner calls so many workers without relays.
pub(super) fn calls_alone(processor_millis: u64, workers: usize) -> bool {
    workers as u64 <= processor_millis * OWN_WORKERS_PERCENT / 100
}

/// The relays in use, by hall.
#[derive(Clone, Debug, Default)]
pub(super) struct RelayPlan {
    by_hall: BTreeMap<HallId, Vec<RelayShare>>,
    all: Vec<RelayShare>,
}

impl RelayPlan {
    /// Uses in each hall the strongest relays, as few as have room for the workers there: the fewer, the more orders share a
    /// message. A hall whose relays have room for less than half of its workers is served from everywhere.
    pub(super) fn new(mut relays: Vec<RelayShare>, workers: &BTreeMap<HallId, usize>) -> Self {
        relays.sort_by(|one, other| {
            let strength = other.processor_millis.cmp(&one.processor_millis);
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
            let near: Vec<RelayShare> = near.cloned().collect();
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
        let claims = relays
            .iter()
            .map(|relay| (relay.claim_on(worker), relay.relay));
        let strongest = claims.max_by(|one, other| one.0.total_cmp(&other.0));
        strongest.map(|(_, relay)| relay)
    }

    /// Whether a relay serves workers.
    pub(super) fn uses(&self, relay: RelayNumber) -> bool {
        self.all.iter().any(|share| share.relay == relay)
    }

    /// How many relays are in use.
    pub(super) fn len(&self) -> usize {
        self.all.len()
    }
}
