//! An owner that can't renew its ownership: what it continues to do, and how other hosts confirm
//! that nobody has claimed the shard.

mod support;

use sandshelf_jobs::relay::{
    RelayDispatcher, RelayHandshake, RelayMessage, RelayNumber, ShardObservation,
};
use sandshelf_jobs::{JobEvent, RunKey, StepSpec};
use sandshelf_model::{HallId, HostId, Millis, WorkerId};
use support::{job, run_report, step, SchedulerRig};

const EPOCH: u64 = 7;
/// How long nobody claims the shard after a renewal, or after a host has reported that it can't
/// read the row.
const LEASE_MS: Millis = 1_200;
const HALLS: [&str; 2] = ["north", "south"];

/// An owner with a running standing task, whose worker's lease it renews.
fn owner() -> (SchedulerRig, RunKey) {
    let mut rig = SchedulerRig::with_workers(&["w-1", "w-2"]);
    let standing = StepSpec {
        standing: true,
        ..step(1)
    };
    rig.hand_in(7, 0, job(vec![standing]));
    let (worker, start) = rig.take_starts().pop().expect("a start");
    assert_eq!(worker, "w-1");
    rig.commit_all();
    rig.report("w-1", vec![run_report(start.key)], vec![]);
    rig.actions.clear();
    (rig, start.key)
}

/// Advances the clock while both workers answer renewals.
fn advance_with_reports(rig: &mut SchedulerRig, millis: Millis, key: RunKey) {
    let until = rig.now + millis;
    while rig.now < until {
        rig.advance(100);
        rig.report("w-1", vec![run_report(key)], vec![]);
        rig.report("w-2", vec![], vec![]);
    }
}

/// An owner that may have been superseded renews no lease and starts nothing; it does both at once
/// when it is sure again.
fn waits_while_unsure() {
    let (mut rig, key) = owner();
    rig.handle(JobEvent::SureUntil(rig.now));
    rig.hand_in(8, 0, job(vec![step(1)]));
    advance_with_reports(&mut rig, 1_000, key);
    assert_eq!(rig.deadlines(), Vec::<Millis>::new());
    assert_eq!(rig.peek_starts(), Vec::new());
    rig.handle(JobEvent::SureUntil(rig.now + 2_000));
    assert_eq!(rig.peek_starts().len(), 1);
    // The renewal that was in flight has been answered.
    advance_with_reports(&mut rig, 200, key);
    assert!(!rig.deadlines_of("w-1").is_empty());
}

/// It treats no lease as expired: its successor may have renewed it and may have the task running.
fn treats_no_lease_as_expired() {
    let (mut rig, _) = owner();
    rig.handle(JobEvent::SureUntil(rig.now + 1_000));
    // The first worker never answers.
    for _ in 0..200 {
        rig.advance(100);
        rig.fail_renewal("w-1");
        rig.report("w-2", vec![], vec![]);
    }
    assert_eq!(rig.peek_starts(), Vec::new());
    // The store has accepted a renewal of the ownership: there is no successor, and the lease has
    // indeed expired.
    rig.handle(JobEvent::SureUntil(rig.now + 2_000));
    rig.advance(1_000);
    assert_eq!(rig.peek_starts().len(), 1);
}

/// A task that it finds done, or that its caller has cancelled, is handled all the same.
fn stops_cancelled_tasks() {
    let (mut rig, key) = owner();
    rig.handle(JobEvent::SureUntil(rig.now));
    rig.advance(100);
    rig.handle(JobEvent::CancelAsked(key.task.job));
    assert_eq!(rig.stops(), [("w-1".to_owned(), key)]);
}

/// The dispatcher of an owner in the first hall, with `hosts_per_hall` hosts connected in each hall
/// and a worker in each.
fn dispatcher(hosts_per_hall: usize) -> (RelayDispatcher, Vec<RelayNumber>) {
    let mut dispatcher = RelayDispatcher::new(EPOCH, 500);
    let workers = HALLS.map(|hall| (WorkerId::from(format!("w-{hall}")), HallId::from(hall)));
    dispatcher.note_workers(workers);
    let mut relays = Vec::new();
    for hall in HALLS {
        for number in 0..hosts_per_hall {
            let host = HostId::from(format!("{hall}-{number}"));
            let handshake = RelayHandshake::new(host, HallId::from(hall), 120);
            relays.push(dispatcher.join(0, handshake).expect("the same version"));
        }
    }
    (dispatcher, relays)
}

/// Asks all hosts; those in `answering` reply that they can't read the row.
fn ask(dispatcher: &mut RelayDispatcher, now: Millis, answering: &[RelayNumber]) -> Option<u64> {
    let observation = ShardObservation {
        epoch: EPOCH,
        claims_after_ms: LEASE_MS,
    };
    ask_for(dispatcher, now, answering, observation)
}

fn ask_for(
    dispatcher: &mut RelayDispatcher,
    now: Millis,
    answering: &[RelayNumber],
    observation: ShardObservation,
) -> Option<u64> {
    let mut newer_epoch = None;
    for (relay, query) in dispatcher.ask(now, 0, LEASE_MS) {
        let RelayMessage::ShardQuery(EPOCH, number) = query else {
            panic!("{query:?} is no query");
        };
        if answering.contains(&relay) {
            let answer = RelayMessage::ShardReply(EPOCH, number, observation);
            let outcome = dispatcher.handle_message(now + 5, relay, answer);
            assert_eq!(outcome.faults, []);
            newer_epoch = newer_epoch.max(outcome.newer_epoch);
        }
    }
    newer_epoch
}

fn unclaimed_until(dispatcher: &RelayDispatcher, now: Millis) -> Option<Millis> {
    dispatcher.unclaimed_until(now, &HallId::from(HALLS[0]))
}

/// While all hosts lack the store and keep reporting so, nobody claims.
fn an_outage_of_all_hosts_is_confirmed() {
    let (mut dispatcher, relays) = dispatcher(3);
    for now in (600..60_000).step_by(1_000) {
        ask(&mut dispatcher, now, &relays);
        assert_eq!(unclaimed_until(&dispatcher, now + 10), Some(now + LEASE_MS));
    }
}

/// Answers from half of the hosts of a hall are enough, fewer are not. The owner does not count as
/// a host of its own hall.
fn hosts_of_a_hall_may_be_dead(dead_south: usize, dead_north: usize, enough: bool) {
    let (mut dispatcher, relays) = dispatcher(4);
    let (north, south) = relays.split_at(4);
    let answering = [&north[dead_north..], &south[dead_south..]].concat();
    ask(&mut dispatcher, 600, &answering);
    let until = unclaimed_until(&dispatcher, 610);
    assert_eq!(until.is_some_and(|until| until > 1_000), enough);
}

/// The hosts of the other hall report that they have no store; there is no other host in the
/// owner's hall.
fn an_owner_alone_in_its_hall_is_confirmed() {
    let (mut dispatcher, relays) = dispatcher(1);
    dispatcher.leave(0, relays[0]);
    for (relay, query) in dispatcher.ask(600, 100, 100 + LEASE_MS) {
        let RelayMessage::ShardQuery(epoch, number) = query else {
            panic!("{query:?} is no query");
        };
        let observation = ShardObservation {
            epoch,
            claims_after_ms: LEASE_MS,
        };
        dispatcher.handle_message(
            605,
            relay,
            RelayMessage::ShardReply(epoch, number, observation),
        );
    }
    assert_eq!(unclaimed_until(&dispatcher, 610), Some(600 + LEASE_MS));
}

/// Guards against an owner that relies on its own observation because no other host has connected:
/// one that has not connected may claim.
fn an_owner_that_knows_no_other_host_is_unsure() {
    let mut dispatcher = RelayDispatcher::new(EPOCH, 500);
    dispatcher.note_workers([(WorkerId::from("w-1"), HallId::from(HALLS[0]))]);
    for now in (600..10_000).step_by(200) {
        dispatcher.ask(now, 0, LEASE_MS);
        assert_eq!(unclaimed_until(&dispatcher, now), None);
    }
}

/// Another host in the owner's hall that doesn't answer may have claimed.
fn another_hosts_silence_ends_certainty() {
    let mut dispatcher = RelayDispatcher::new(EPOCH, 500);
    dispatcher.note_workers([(WorkerId::from("w-1"), HallId::from(HALLS[0]))]);
    let handshake = RelayHandshake::new(HostId::from("north-0"), HallId::from(HALLS[0]), 120);
    dispatcher.join(0, handshake).expect("the same version");
    ask(&mut dispatcher, 600, &[]);
    assert_eq!(unclaimed_until(&dispatcher, 610), Some(0));
}

/// No message passes out of the owner's hall, or none into it: the hosts of the other hall don't
/// answer, whatever the hosts in its own hall report.
fn a_cut_off_hall_is_not_confirmed() {
    let (mut dispatcher, relays) = dispatcher(3);
    for now in (600..6_000).step_by(200) {
        ask(&mut dispatcher, now, &relays[..3]);
    }
    assert_eq!(unclaimed_until(&dispatcher, 6_000), Some(0));
}

/// A host may have claimed between an answer that has expired and the next one; such an answer does
/// not count.
fn answers_must_not_leave_gaps() {
    let (mut dispatcher, relays) = dispatcher(3);
    ask(&mut dispatcher, 600, &relays);
    ask(&mut dispatcher, 600 + LEASE_MS + 1, &relays);
    assert_eq!(unclaimed_until(&dispatcher, 2_000), Some(600 + LEASE_MS));
}

/// A host that can read the owner's row may claim soon; one that has seen a newer epoch reports
/// that the owner has been superseded.
fn hosts_with_the_store_report_it() {
    let (mut dispatcher, relays) = dispatcher(3);
    let observation = ShardObservation {
        epoch: EPOCH,
        claims_after_ms: 0,
    };
    assert_eq!(ask_for(&mut dispatcher, 600, &relays, observation), None);
    assert_eq!(unclaimed_until(&dispatcher, 610), Some(LEASE_MS));
    let observation = ShardObservation {
        epoch: EPOCH + 1,
        claims_after_ms: 0,
    };
    assert_eq!(
        ask_for(&mut dispatcher, 800, &relays[..1], observation),
        Some(EPOCH + 1)
    );
}

/// A host of another version can't be asked.
fn hosts_that_are_refused_may_claim() {
    let (mut dispatcher, relays) = dispatcher(3);
    dispatcher.note_refused(500);
    ask(&mut dispatcher, 600, &relays);
    assert_eq!(unclaimed_until(&dispatcher, 610), None);
}

/// A host whose connection ended while the owner could still renew is gone and not waited for; one
/// that was lost later is.
fn hosts_that_left_before_are_forgotten(left_at: Millis, enough: bool) {
    let (mut dispatcher, relays) = dispatcher(3);
    for relay in &relays[4..] {
        dispatcher.leave(left_at, *relay);
    }
    for (relay, query) in dispatcher.ask(1_600, 1_000, 1_000 + LEASE_MS) {
        let RelayMessage::ShardQuery(epoch, number) = query else {
            panic!("{query:?} is no query");
        };
        let observation = ShardObservation {
            epoch: EPOCH,
            claims_after_ms: LEASE_MS,
        };
        dispatcher.handle_message(
            1_605,
            relay,
            RelayMessage::ShardReply(epoch, number, observation),
        );
    }
    let until = unclaimed_until(&dispatcher, 1_610);
    assert_eq!(until == Some(1_600 + LEASE_MS), enough);
}

sandshelf_cases::cases! {
    unsure_owner_waits => waits_while_unsure();
    unsure_owner_treats_no_lease_as_expired => treats_no_lease_as_expired();
    unsure_owner_stops_cancelled_tasks => stops_cancelled_tasks();
    outage_of_all => an_outage_of_all_hosts_is_confirmed();
    half_of_the_other_hall_dead => hosts_of_a_hall_may_be_dead(2, 0, true);
    most_of_the_other_hall_dead => hosts_of_a_hall_may_be_dead(3, 0, false);
    half_of_the_own_hall_dead => hosts_of_a_hall_may_be_dead(0, 2, true);
    most_of_the_own_hall_dead => hosts_of_a_hall_may_be_dead(0, 3, false);
    alone_in_its_hall => an_owner_alone_in_its_hall_is_confirmed();
    no_known_host => an_owner_that_knows_no_other_host_is_unsure();
    silent_host_in_its_hall => another_hosts_silence_ends_certainty();
    cut_hall => a_cut_off_hall_is_not_confirmed();
    gap_between_answers => answers_must_not_leave_gaps();
    hosts_with_the_store => hosts_with_the_store_report_it();
    other_version => hosts_that_are_refused_may_claim();
    left_before => hosts_that_left_before_are_forgotten(900, true);
    lost_since => hosts_that_left_before_are_forgotten(1_100, false);
}
