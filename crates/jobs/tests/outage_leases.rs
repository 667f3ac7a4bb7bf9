//! How long runs last whose owner dies while the store is out.
//!
//! The store was silent for 4.5 s on all hosts, and one second into that the owner was killed. Nobody could succeed it before the
//! store was back, while the leases of 4 s ended half a second before: 4,464 runs lapsed. While the owner can't renew its ownership, it
//! may grant each lease up to the end of one that it might still grant when it becomes unsure; a successor waits for such leases anyway.

mod support;

use sandshelf_jobs::{JobEvent, SchedulerLimits, TakeoverInfo, WorkerRoster};
use sandshelf_model::{Millis, WorkerId};
use support::{job, listing, step, SchedulerRig};

/// How long nobody claims the shard after a renewal, and how long an owner is sure after that.
const OWNERSHIP_MS: Millis = 1_200;
const SURE_MARGIN_MS: Millis = 800;
/// How long a successor waits for a worker that it doesn't reach: a lease on a clock that is 2 % slow, and its margin.
const SUCCESSOR_WAIT_MS: Millis = 4_081 + 1_000;
const CLOCK_RATE_PERCENT: Millis = 98;

fn long_leases() -> SchedulerLimits {
    SchedulerLimits {
        max_lease_ms: 10_000,
        ..SchedulerLimits::default()
    }
}

/// An owner whose renewal at time 1,000 was the last one before an outage, `millis` after it.
fn owner_in_an_outage(millis: Millis) -> SchedulerRig {
    let mut rig = SchedulerRig::with_limits(long_leases(), TakeoverInfo::first(1, 1_000));
    rig.handle(JobEvent::SureUntil(1_000 + OWNERSHIP_MS + SURE_MARGIN_MS));
    rig.list(&["w-1"]);
    rig.report("w-1", vec![], vec![]);
    rig.commit_all();
    while rig.now < 1_000 + millis {
        rig.advance(25);
        rig.report("w-1", vec![], vec![]);
    }
    rig
}

/// The lease that the next renewal grants, in milliseconds.
fn granted(rig: &mut SchedulerRig) -> Millis {
    rig.actions.clear();
    rig.report("w-1", vec![], vec![]);
    let deadlines = rig.deadlines_of("w-1");
    deadlines.last().expect("a renewal") - rig.now
}

/// Leases are as long as ever while the owner renews its ownership, and once it does again.
fn leases_are_short_otherwise() {
    let mut rig = owner_in_an_outage(500);
    assert_eq!(granted(&mut rig), 4_000);
    rig.handle(JobEvent::OwnershipOverdue(true));
    assert!(granted(&mut rig) > 5_000);
    rig.handle(JobEvent::OwnershipOverdue(false));
    assert_eq!(granted(&mut rig), 4_000);
}

/// No lease outlasts the wait of a successor that claims as early as it may.
fn a_successor_waits_for_each_lease(millis: Millis) {
    let mut rig = owner_in_an_outage(millis);
    rig.handle(JobEvent::OwnershipOverdue(true));
    let lease = granted(&mut rig);
    let lasts_until = rig.now + lease * 100 / CLOCK_RATE_PERCENT;
    let earliest_claim = 1_000 + OWNERSHIP_MS;
    assert!(
        lasts_until < earliest_claim + SUCCESSOR_WAIT_MS,
        "a lease of {lease} ms granted {millis} ms after the last renewal"
    );
    // It lasts as long as the last lease that this owner might grant.
    assert_eq!(rig.now + lease, earliest_claim + SURE_MARGIN_MS + 4_000);
}

/// An owner that takes over early waits for leases that its predecessor granted in its last moments.
fn an_early_successor_waits_from_the_end_of_the_ownership(early: bool) {
    let info = TakeoverInfo {
        epoch: 2,
        rules_since: 1,
        claimed_at: 1_000,
        earlier_orders_until: if early { 1_000 + OWNERSHIP_MS } else { 0 },
        claim_version: 100,
        roster: WorkerRoster {
            epoch: 1,
            workers: vec![(WorkerId::from("w-1"), listing("w-1").address)],
            lease_ms: Some(4_000),
            ..WorkerRoster::default()
        },
        ..TakeoverInfo::default()
    };
    let mut rig = SchedulerRig::with_limits(long_leases(), info);
    rig.hand_in(7, 50, job(vec![step(1)]));
    rig.list(&["w-2"]);
    rig.commit_all();
    while rig.peek_starts().is_empty() {
        rig.advance(25);
        rig.fail_renewal("w-1");
        rig.report("w-2", vec![], vec![]);
        assert!(rig.now < 20_000, "the task is never started");
    }
    let waited = rig.now - 1_000;
    let expected = SUCCESSOR_WAIT_MS + if early { OWNERSHIP_MS } else { 0 };
    assert!(
        (expected..expected + 200).contains(&waited),
        "waited {waited} ms"
    );
}

sandshelf_cases::cases! {
    short_otherwise => leases_are_short_otherwise();
    at_750_ms => a_successor_waits_for_each_lease(750);
    at_1000_ms => a_successor_waits_for_each_lease(1_000);
    at_1900_ms => a_successor_waits_for_each_lease(1_900);
    early_successor => an_early_successor_waits_from_the_end_of_the_ownership(true);
    usual_successor => an_early_successor_waits_from_the_end_of_the_ownership(false);
}
