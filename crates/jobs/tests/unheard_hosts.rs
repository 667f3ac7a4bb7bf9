//! Hosts that the store serves and that an owner without the store can't hear: they claim the shard although every host that the owner
//! hears reports that it can't.

use sandshelf_jobs::relay::{
    RelayDispatcher, RelayHandshake, RelayMessage, RelayNumber, ShardObservation,
};
use sandshelf_jobs::OwnerTenure;
use sandshelf_model::{HallId, HostId, Millis, WorkerId};

const EPOCH: u64 = 7;
const SHARD_LEASE_MS: Millis = 1_200;
/// When the owner, which renewed at time 0, asks first, and how often it asks.
const ASK_AFTER_MS: Millis = 600;
const ASK_INTERVAL_MS: Millis = 200;
/// When the served host claims: it sees the row of time 0 unchanged for a lease and an eighth of it.
const CLAIMED_AT_MS: Millis = 1_350;
/// How much longer than the leases a successor waits from its claim.
const SUCCESSOR_EXTRA_WAIT_MS: Millis = 1_000;

/// Why the owner doesn't hear the served host.
#[derive(Clone, Copy, PartialEq, Eq)]
enum UnheardHost {
    /// It has not connected to the owner.
    NeverConnected,
    /// Its connection ended before it could answer a query.
    Disconnected,
}

/// Guards against an owner that takes the hosts that it hears for all hosts, as it did where it heard none.
fn an_unheard_host_ends_certainty(unheard: UnheardHost) {
    let hall = HallId::from("north");
    let mut dispatcher = RelayDispatcher::new(EPOCH, 500);
    dispatcher.note_workers([(WorkerId::from("w-1"), hall.clone())]);
    let mut join = |host: &str| -> RelayNumber {
        let handshake = RelayHandshake::new(HostId::from(host), hall.clone(), 120);
        dispatcher.join(0, handshake).expect("the same version")
    };
    let heard = join("without-store");
    if unheard == UnheardHost::Disconnected {
        let served = join("served");
        dispatcher.leave(ASK_AFTER_MS - 1, served);
    }
    let mut tenure = OwnerTenure::new(SHARD_LEASE_MS, 0);
    for now in (ASK_AFTER_MS..=10_000).step_by(ASK_INTERVAL_MS as usize) {
        for (relay, query) in dispatcher.ask(now, 0, SHARD_LEASE_MS) {
            let RelayMessage::ShardQuery(EPOCH, number) = query else {
                panic!("{query:?} is no query");
            };
            assert_eq!(relay, heard);
            let observation = ShardObservation {
                epoch: EPOCH,
                claims_after_ms: SHARD_LEASE_MS,
            };
            let reply = RelayMessage::ShardReply(EPOCH, number, observation);
            dispatcher.handle_message(now, relay, reply);
        }
        if let Some(until) = dispatcher.unclaimed_until(now, &hall) {
            tenure.note_unclaimed(until);
        }
    }
    let sure_until = tenure.sure_until();
    assert!(
        sure_until <= CLAIMED_AT_MS + SUCCESSOR_EXTRA_WAIT_MS,
        "sure until {sure_until} ms, claimed at {CLAIMED_AT_MS} ms"
    );
}

sandshelf_cases::cases! {
    served_host_not_connected => an_unheard_host_ends_certainty(UnheardHost::NeverConnected);
    served_host_disconnected => an_unheard_host_ends_certainty(UnheardHost::Disconnected);
}
