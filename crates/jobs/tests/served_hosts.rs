//! The store turns some hosts away and serves others, one of which claims the shard.
//!
//! An owner that can't renew goes on while half of the hosts of each hall report that they can't claim. Guards against an owner that
//! remains sure of itself although a host that is served has said that it may claim: its leases outlast the wait of that host, and it
//! takes leases to be over that the host has extended.

use sandshelf_jobs::relay::{
    RelayDispatcher, RelayHandshake, RelayMessage, RelayNumber, ShardObservation,
};
use sandshelf_jobs::OwnerTenure;
use sandshelf_lease::{LeaseTimes, ShardLease, ShardRow, StoredRow};
use sandshelf_model::{HallId, HostId, Millis, WorkerId};

const EPOCH: u64 = 7;
const SHARD_LEASE_MS: Millis = 1_200;
/// How long after its last renewal the owner asks the hosts, and how often.
const ASK_AFTER_MS: Millis = 600;
const ASK_INTERVAL_MS: Millis = 200;
/// How much longer than the leases a successor waits from its claim.
const SUCCESSOR_EXTRA_WAIT_MS: Millis = 1_000;
const HALLS: [&str; 2] = ["north", "south"];

/// What the served host does with its connection to the owner.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ServedHost {
    /// It answers the owner's queries until it has claimed.
    Answers,
    /// It answers once, then its connection ends.
    Disconnects,
}

/// An owner that renewed at time 0 and is turned away since, with two other hosts in each hall.
struct TurnedAwayOwner {
    dispatcher: RelayDispatcher,
    relays: Vec<RelayNumber>,
    tenure: OwnerTenure,
}

impl TurnedAwayOwner {
    fn new() -> Self {
        let mut dispatcher = RelayDispatcher::new(EPOCH, 500);
        let workers = HALLS.map(|hall| (WorkerId::from(format!("w-{hall}")), HallId::from(hall)));
        dispatcher.note_workers(workers);
        let mut relays = Vec::new();
        for (hall, number) in HALLS.iter().flat_map(|hall| [(hall, 0), (hall, 1)]) {
            let host = HostId::from(format!("{hall}-{number}"));
            let handshake = RelayHandshake::new(host, HallId::from(*hall), 120);
            relays.push(dispatcher.join(0, handshake).expect("the same version"));
        }
        Self {
            dispatcher,
            relays,
            tenure: OwnerTenure::new(SHARD_LEASE_MS, 0),
        }
    }

    /// Asks all hosts. The served one, if it is given, tells what it knows of the shard; the others report that they can't read the row.
    fn ask(&mut self, now: Millis, served: Option<(RelayNumber, &ShardLease)>) {
        for (relay, query) in self.dispatcher.ask(now, 0, SHARD_LEASE_MS) {
            let RelayMessage::ShardQuery(EPOCH, number) = query else {
                panic!("{query:?} is no query");
            };
            let claims_after_ms = match served {
                Some((host, lease)) if host == relay => lease.claims_after(now),
                _ => SHARD_LEASE_MS,
            };
            let observation = ShardObservation {
                epoch: EPOCH,
                claims_after_ms,
            };
            let reply = RelayMessage::ShardReply(EPOCH, number, observation);
            let outcome = self.dispatcher.handle_message(now, relay, reply);
            assert_eq!(outcome.faults, []);
        }
        let until = self
            .dispatcher
            .unclaimed_until(now, &HallId::from(HALLS[0]));
        if let Some(until) = until {
            self.tenure.note_unclaimed(until);
        }
    }
}

/// A host that has read the owner's row at its last renewal and sees it unchanged.
fn served_lease() -> ShardLease {
    let times = LeaseTimes::derive(SHARD_LEASE_MS, 4_000, 60_000);
    let mut lease = ShardLease::new(HostId::from("south-0"), times);
    let row = ShardRow {
        owner: Some(HostId::from("owner")),
        epoch: EPOCH,
        ..ShardRow::default()
    };
    lease.note_read(0, StoredRow { version: 1, row });
    lease
}

/// The owner is not sure of itself for longer than the served host waits for its orders.
fn a_served_host_ends_certainty(hall: usize, served: ServedHost) {
    let mut owner = TurnedAwayOwner::new();
    let lease = served_lease();
    let relay = owner.relays[2 * hall];
    let mut asks_at = ASK_AFTER_MS;
    let mut connected = true;
    let mut now = 0;
    while !lease.may_claim(now, 0) {
        now += 10;
        if now < asks_at {
            continue;
        }
        asks_at += ASK_INTERVAL_MS;
        owner.ask(now, connected.then_some((relay, &lease)));
        if served == ServedHost::Disconnects && connected {
            connected = false;
            owner.dispatcher.leave(now, relay);
        }
    }
    let sure_until = owner.tenure.sure_until();
    assert!(
        sure_until <= now + SUCCESSOR_EXTRA_WAIT_MS,
        "sure until {sure_until} ms, claimed at {now} ms"
    );
}

/// Without a served host the owner goes on.
fn an_outage_of_all_hosts_is_confirmed() {
    let mut owner = TurnedAwayOwner::new();
    for now in (ASK_AFTER_MS..10_000).step_by(ASK_INTERVAL_MS as usize) {
        owner.ask(now, None);
    }
    assert!(owner.tenure.sure_until() > 10_000 + SHARD_LEASE_MS);
}

sandshelf_cases::cases! {
    served_host_in_own_hall => a_served_host_ends_certainty(0, ServedHost::Answers);
    served_host_in_other_hall => a_served_host_ends_certainty(1, ServedHost::Answers);
    served_host_disconnects => a_served_host_ends_certainty(1, ServedHost::Disconnects);
    no_served_host => an_outage_of_all_hosts_is_confirmed();
}
