//! Model check of ownership: explores all sequences, up to a depth, of store outages and of cuts of
//! the owner's hall in one or both directions, for an owner and two other hosts. The owner must
//! never be sure of its ownership for longer than a successor waits.

use sandshelf_jobs::relay::{
    RelayDispatcher, RelayHandshake, RelayMessage, RelayNumber, ShardObservation,
};
use sandshelf_jobs::OwnerTenure;
use sandshelf_lease::{LeaseTimes, OwnerWatch, ShardLease, ShardRow, StoredRow};
use sandshelf_model::{Epoch, HallId, HostId, Millis, WorkerId};

/// How many times the outage changes on each path, and how long each one lasts.
const DEPTH: usize = 7;
const OUTAGE_MS: Millis = 400;
const STEP_MS: Millis = 100;
const SHARD_LEASE_MS: Millis = 1_200;
/// How often the owner renews and the others read its row; how long after the last renewal, and how
/// often, the owner asks the others.
const RENEWAL_INTERVAL_MS: Millis = 400;
const ASK_AFTER_MS: Millis = 500;
const ASK_INTERVAL_MS: Millis = 200;
/// How much longer than the leases a successor waits: it accounts for orders that are sent within
/// that time after its claim.
const SUCCESSOR_EXTRA_WAIT_MS: Millis = 1_000;
const EPOCH: Epoch = 7;

/// An outage that lasts for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outage {
    None,
    /// The store is unavailable to all.
    StoreOut,
    /// No message passes out of the owner's hall, into it, or either; the store is outside.
    CutOut,
    CutIn,
    CutBoth,
}

const OUTAGES: [Outage; 5] = [
    Outage::None,
    Outage::StoreOut,
    Outage::CutOut,
    Outage::CutIn,
    Outage::CutBoth,
];

/// How the other hosts watch the owner row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Watching {
    /// They read it in intervals.
    Reads,
    /// They hear of renewals from the owner, and read it while they hear of none.
    Notices,
}

/// A fault that is planted in a part of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlantedFault {
    None,
    /// Hosts report that they won't claim soon even if they can read the row.
    FalseReports,
    /// The owner considers its ownership sure as long as any host answers.
    AnyReportSuffices,
}

/// A host that is not the owner.
#[derive(Clone)]
struct OtherHost {
    lease: ShardLease,
    watch: OwnerWatch,
    relay: RelayNumber,
    /// Whether it is in the owner's hall.
    in_owner_hall: bool,
    /// Queries and answers in flight, each with the earliest time of its arrival.
    queries: Vec<(Millis, u64)>,
    answers: Vec<(Millis, u64, ShardObservation)>,
    had_outage: bool,
}

#[derive(Clone)]
struct TenureModel {
    now: Millis,
    fault: PlantedFault,
    watching: Watching,
    stored: StoredRow,
    /// When another host claimed.
    claimed_at: Option<Millis>,
    tenure: OwnerTenure,
    renewed_at: Millis,
    owns: bool,
    dispatcher: RelayDispatcher,
    others: Vec<OtherHost>,
}

fn hall(in_owner_hall: bool) -> HallId {
    HallId::from(if in_owner_hall { "north" } else { "south" })
}

impl TenureModel {
    fn new(fault: PlantedFault, watching: Watching) -> Self {
        let row = ShardRow {
            owner: Some(HostId::from("owner")),
            epoch: EPOCH,
            ..ShardRow::default()
        };
        let mut dispatcher = RelayDispatcher::new(EPOCH, 500);
        let workers = [true, false].map(|in_owner_hall| {
            (
                WorkerId::from(format!("w-{in_owner_hall}")),
                hall(in_owner_hall),
            )
        });
        dispatcher.note_workers(workers);
        let others = [true, false].map(|in_owner_hall| {
            let host = HostId::from(format!("other-{in_owner_hall}"));
            let handshake = RelayHandshake::new(host.clone(), hall(in_owner_hall), 120);
            OtherHost {
                lease: ShardLease::new(host, LeaseTimes::derive(SHARD_LEASE_MS, 4_000, 60_000)),
                watch: OwnerWatch::default(),
                relay: dispatcher.join(0, handshake).expect("the same version"),
                in_owner_hall,
                queries: Vec::new(),
                answers: Vec::new(),
                had_outage: false,
            }
        });
        Self {
            now: 0,
            fault,
            watching,
            stored: StoredRow { version: 1, row },
            claimed_at: None,
            tenure: OwnerTenure::new(SHARD_LEASE_MS, 0),
            renewed_at: 0,
            owns: true,
            dispatcher,
            others: others.to_vec(),
        }
    }

    /// Whether a host's calls to the store are answered.
    fn has_store(in_owner_hall: bool, outage: Outage) -> bool {
        match outage {
            Outage::None => true,
            Outage::StoreOut => false,
            Outage::CutOut | Outage::CutIn | Outage::CutBoth => !in_owner_hall,
        }
    }

    fn renew(&mut self, outage: Outage) {
        if !self.owns || !self.now.is_multiple_of(RENEWAL_INTERVAL_MS) {
            return;
        }
        // If only messages into the hall are blocked, a write takes effect but the owner does not
        // get the answer.
        let arrives = Self::has_store(true, outage) || outage == Outage::CutIn;
        if !arrives {
            return;
        }
        if self.stored.row.epoch != EPOCH {
            self.owns = !Self::has_store(true, outage);
            return;
        }
        let heard = Self::has_store(true, outage);
        if heard || self.now < self.renewed_at + 2 * RENEWAL_INTERVAL_MS {
            self.stored.version += 1;
        }
        if heard {
            self.renewed_at = self.now;
            self.tenure.note_renewed(self.now);
            self.tell_renewal(outage);
        }
    }

    /// Tells the hosts of a renewal, on paths that are not blocked.
    fn tell_renewal(&mut self, outage: Outage) {
        let out = !matches!(outage, Outage::CutOut | Outage::CutBoth);
        let (now, version) = (self.now, self.stored.version);
        for other in &mut self.others {
            let arrives = self.watching == Watching::Notices && (other.in_owner_hall || out);
            // A host whose reads fail goes on reading, whatever it hears.
            if arrives && other.lease.note_renewed(now, EPOCH, version, 0) && !other.had_outage {
                other.watch.note_renewed(now);
            }
        }
    }

    fn step_others(&mut self, outage: Outage) {
        for index in 0..self.others.len() {
            let now = self.now;
            let other = &mut self.others[index];
            let store_up = Self::has_store(other.in_owner_hall, outage);
            let reads = match self.watching {
                Watching::Reads => (now + 200).is_multiple_of(RENEWAL_INTERVAL_MS),
                Watching::Notices => other.watch.wants_read(now),
            };
            if reads {
                other.had_outage = !store_up;
                other.watch.begin_read(now);
                let row = store_up.then_some(&self.stored);
                other.watch.end_read(now, row);
                match store_up {
                    true => _ = other.lease.note_read(now, self.stored.clone()),
                    false => other.lease.return_to_watching(),
                }
            }
            let free = other.lease.may_claim(now, 0);
            let other_owner = self.stored.row.epoch == EPOCH;
            if store_up && free && other_owner {
                let (version, row) = other.lease.begin_claim(String::new());
                if version == self.stored.version {
                    self.stored = StoredRow {
                        version: version + 1,
                        row: row.clone(),
                    };
                    self.claimed_at = Some(now);
                    other.lease.note_committed(now, now, version + 1, row);
                } else {
                    other.lease.return_to_watching();
                }
            }
        }
    }

    fn ask(&mut self) {
        let due = self.now >= self.renewed_at + ASK_AFTER_MS;
        if !self.owns || !due || !self.now.is_multiple_of(ASK_INTERVAL_MS) {
            return;
        }
        let until = self.renewed_at + SHARD_LEASE_MS;
        for (relay, query) in self.dispatcher.ask(self.now, self.renewed_at, until) {
            let RelayMessage::ShardQuery(_, number) = query else {
                panic!("{query:?} is no query");
            };
            let other = self.others.iter_mut().find(|other| other.relay == relay);
            let other = other.expect("a connected host");
            other.queries.push((self.now, number));
        }
    }

    /// Delivers queries and answers on paths that are not blocked; blocked ones arrive later.
    fn deliver(&mut self, outage: Outage) {
        let out = !matches!(outage, Outage::CutOut | Outage::CutBoth);
        let back = !matches!(outage, Outage::CutIn | Outage::CutBoth);
        for other in &mut self.others {
            if other.in_owner_hall || out {
                for (_, number) in std::mem::take(&mut other.queries) {
                    if other.had_outage && other.lease.last_renewal().is_none() {
                        other.lease.return_to_watching();
                    }
                    other.watch.read_soon(self.now);
                    let claims_after_ms = match self.fault {
                        PlantedFault::FalseReports => SHARD_LEASE_MS,
                        _ => other.lease.claims_after(self.now),
                    };
                    let observation = ShardObservation {
                        epoch: other.lease.newest_epoch(),
                        claims_after_ms,
                    };
                    other.answers.push((self.now, number, observation));
                }
            }
            if other.in_owner_hall || back {
                for (_, number, observation) in std::mem::take(&mut other.answers) {
                    let answer = RelayMessage::ShardReply(EPOCH, number, observation);
                    let outcome = self
                        .dispatcher
                        .handle_message(self.now, other.relay, answer);
                    self.owns &= outcome.newer_epoch.is_none();
                }
            }
        }
        let unclaimed = match self.fault {
            PlantedFault::AnyReportSuffices => Some(self.now + SHARD_LEASE_MS),
            _ => self.dispatcher.unclaimed_until(self.now, &hall(true)),
        };
        if let Some(until) = unclaimed.filter(|_| self.now >= self.renewed_at + ASK_AFTER_MS) {
            self.tenure.note_unclaimed(until);
        }
    }

    /// Advances the clock under an outage; returns whether the owner was sure for too long.
    fn advance(&mut self, outage: Outage) -> bool {
        let until = self.now + OUTAGE_MS;
        while self.now < until {
            self.now += STEP_MS;
            self.renew(outage);
            self.step_others(outage);
            self.ask();
            self.deliver(outage);
            let claimed = self.claimed_at;
            let too_long =
                claimed.is_some_and(|at| self.tenure.sure_until() > at + SUCCESSOR_EXTRA_WAIT_MS);
            if self.owns && too_long {
                return true;
            }
        }
        false
    }

    /// The first path up to a depth on which the owner is sure for too long.
    fn explore(&self, depth: usize, counts: &mut PathCounts) -> Option<Vec<Outage>> {
        if depth == 0 {
            counts.paths += 1;
            counts.claims += usize::from(self.claimed_at.is_some());
            // The owner is sure for longer than its last renewal allows: other hosts have confirmed
            // that nobody claimed.
            let alone = OwnerTenure::new(SHARD_LEASE_MS, self.renewed_at).sure_until();
            counts.confirmed += usize::from(self.tenure.sure_until() > alone);
            return None;
        }
        for outage in OUTAGES {
            let mut next = self.clone();
            let found = match next.advance(outage) {
                true => Some(Vec::new()),
                false => next.explore(depth - 1, counts),
            };
            if let Some(mut path) = found {
                path.insert(0, outage);
                return Some(path);
            }
        }
        None
    }
}

/// Counts over all paths.
#[derive(Debug, Default)]
struct PathCounts {
    paths: usize,
    claims: usize,
    confirmed: usize,
}

fn depth() -> usize {
    let named = std::env::var("SANDSHELF_TENURE_DEPTH").ok();
    named.map_or(DEPTH, |depth| depth.parse().expect("a depth is a number"))
}

/// On no path is the owner sure for longer than a successor waits, and on many paths other hosts
/// keep it sure.
fn holds_on_all_paths(watching: Watching) {
    let mut counts = PathCounts::default();
    let model = TenureModel::new(PlantedFault::None, watching);
    let broken = model.explore(depth(), &mut counts);
    println!("{counts:?}");
    assert_eq!(broken, None);
    assert!(counts.claims > 0 && counts.confirmed > 0, "{counts:?}");
}

fn finds_planted_fault(fault: PlantedFault, watching: Watching) {
    let found = TenureModel::new(fault, watching).explore(depth(), &mut PathCounts::default());
    assert!(found.is_some());
}

sandshelf_cases::cases! {
    all_paths => holds_on_all_paths(Watching::Reads);
    finds_false_reports => finds_planted_fault(PlantedFault::FalseReports, Watching::Reads);
    finds_reliance_on_a_single_host => finds_planted_fault(PlantedFault::AnyReportSuffices, Watching::Reads);
    all_paths_with_notices => holds_on_all_paths(Watching::Notices);
    finds_false_reports_with_notices => finds_planted_fault(PlantedFault::FalseReports, Watching::Notices);
    finds_reliance_on_a_single_host_with_notices => finds_planted_fault(PlantedFault::AnyReportSuffices, Watching::Notices);
}
