//! An owner that can't renew its ownership: what it goes on with, and how other hosts keep it sure.

mod support;

use sandshelf_jobs::relay::{
    RelayDispatcher, RelayHandshake, RelayMessage, RelayNumber, ShardObservation,
};
use sandshelf_jobs::{JobEvent, RunKey, StepSpec};
use sandshelf_model::{HallId, HostId, Millis, WorkerId};
use support::{job, run_report, step, SchedulerRig};

const EPOCH: u64 = 7;
/// How long nobody claims the shard after a renewal, or after saying that it sees no row.
const LEASE_MS: Millis = 1_200;
const HALLS: [&str; 2] = ["north", "south"];

/// An owner with a standing task at work, which it prolongs.
fn owner() -> (SchedulerRig, RunKey) {
    let mut rig = SchedulerRig::with_workers(&["w-1", "w-2"]);
    let stands = StepSpec {
        standing: true,
        ..step(1)
    };
    rig.hand_in(7, 0, job(vec![stands]));
    let (worker, start) = rig.take_starts().pop().expect("a start");
    assert_eq!(worker, "w-1");
    rig.commit_all();
    rig.report("w-1", vec![run_report(start.key)], vec![]);
    rig.actions.clear();
    (rig, start.key)
}

/// The owner hears both workers for a while.
fn pass_with_reports(rig: &mut SchedulerRig, millis: Millis, key: RunKey) {
    let until = rig.now + millis;
    while rig.now < until {
        rig.advance(100);
        rig.report("w-1", vec![run_report(key)], vec![]);
        rig.report("w-2", vec![], vec![]);
    }
}

/// An owner that may have been followed prolongs nothing and starts nothing, and both at once when it is sure again.
fn waits_while_unsure() {
    let (mut rig, key) = owner();
    rig.handle(JobEvent::SureUntil(rig.now));
    rig.hand_in(8, 0, job(vec![step(1)]));
    pass_with_reports(&mut rig, 1_000, key);
    assert_eq!(rig.deadlines(), Vec::<Millis>::new());
    assert_eq!(rig.peek_starts(), Vec::new());
    rig.handle(JobEvent::SureUntil(rig.now + 2_000));
    assert_eq!(rig.peek_starts().len(), 1);
    // The look that was under way has been answered.
    pass_with_reports(&mut rig, 200, key);
    assert!(!rig.deadlines_of("w-1").is_empty());
}

/// It takes no lease for over: its successor may have prolonged it, and have the task at work.
fn takes_no_lease_for_over() {
    let (mut rig, _) = owner();
    rig.handle(JobEvent::SureUntil(rig.now + 1_000));
    // Nothing is heard of the first worker.
    for _ in 0..200 {
        rig.advance(100);
        rig.fail_renewal("w-1");
        rig.report("w-2", vec![], vec![]);
    }
    assert_eq!(rig.peek_starts(), Vec::new());
    // The store has taken a renewal: nobody has followed, and the lease has run out indeed.
    rig.handle(JobEvent::SureUntil(rig.now + 2_000));
    rig.advance(1_000);
    assert_eq!(rig.peek_starts().len(), 1);
}

/// A task that it finds done, or that its caller has cancelled, is dealt with all the same.
fn stops_what_is_over() {
    let (mut rig, key) = owner();
    rig.handle(JobEvent::SureUntil(rig.now));
    rig.advance(100);
    rig.handle(JobEvent::CancelAsked(key.task.job));
    assert_eq!(rig.stops(), [("w-1".to_owned(), key)]);
}

/// An owner in the first hall with so many hosts linked in each, and a worker in each.
fn dispatcher(hosts_a_hall: usize) -> (RelayDispatcher, Vec<RelayNumber>) {
    let mut dispatcher = RelayDispatcher::new(EPOCH, 500);
    let workers = HALLS.map(|hall| (WorkerId::from(format!("w-{hall}")), HallId::from(hall)));
    dispatcher.note_workers(workers);
    let mut relays = Vec::new();
    for hall in HALLS {
        for number in 0..hosts_a_hall {
            let host = HostId::from(format!("{hall}-{number}"));
            let handshake = RelayHandshake::new(host, HallId::from(hall), 120);
            relays.push(dispatcher.join(0, handshake).expect("the same version"));
        }
    }
    (dispatcher, relays)
}

/// Asks all hosts; those named answer that they see no row.
fn ask(dispatcher: &mut RelayDispatcher, now: Millis, answering: &[RelayNumber]) -> Option<u64> {
    let sight = ShardObservation {
        epoch: EPOCH,
        claims_after_ms: LEASE_MS,
    };
    ask_for(dispatcher, now, answering, sight)
}

fn ask_for(
    dispatcher: &mut RelayDispatcher,
    now: Millis,
    answering: &[RelayNumber],
    sight: ShardObservation,
) -> Option<u64> {
    let mut newer_epoch = None;
    for (relay, question) in dispatcher.ask(now, 0, LEASE_MS) {
        let RelayMessage::ShardQuery(EPOCH, number) = question else {
            panic!("{question:?} is no question");
        };
        if answering.contains(&relay) {
            let answer = RelayMessage::ShardReply(EPOCH, number, sight);
            let intake = dispatcher.handle_message(now + 5, relay, answer);
            assert_eq!(intake.faults, []);
            newer_epoch = newer_epoch.max(intake.newer_epoch);
        }
    }
    newer_epoch
}

fn vouched(dispatcher: &RelayDispatcher, now: Millis) -> Option<Millis> {
    dispatcher.unclaimed_until(now, &HallId::from(HALLS[0]))
}

/// Where all hosts are without the store nobody claims, as long as they go on saying so.
fn an_outage_of_all_is_vouched_for() {
    let (mut dispatcher, relays) = dispatcher(3);
    for now in (600..60_000).step_by(1_000) {
        ask(&mut dispatcher, now, &relays);
        assert_eq!(vouched(&dispatcher, now + 10), Some(now + LEASE_MS));
    }
}

/// Half of the hosts of a hall are enough, fewer are not; in its own hall the owner is not one of them.
fn hosts_of_a_hall_may_be_dead(dead_south: usize, dead_north: usize, enough: bool) {
    let (mut dispatcher, relays) = dispatcher(4);
    let (north, south) = relays.split_at(4);
    let answering = [&north[dead_north..], &south[dead_south..]].concat();
    ask(&mut dispatcher, 600, &answering);
    let vouched = vouched(&dispatcher, 610);
    assert_eq!(vouched.is_some_and(|until| until > 1_000), enough);
}

/// The hosts of the other hall, and no other in the owner's, say that they have no store.
fn an_owner_alone_in_its_hall_is_vouched_for() {
    let (mut dispatcher, relays) = dispatcher(1);
    dispatcher.leave(0, relays[0]);
    for (relay, question) in dispatcher.ask(600, 100, 100 + LEASE_MS) {
        let RelayMessage::ShardQuery(epoch, number) = question else {
            panic!("{question:?} is no question");
        };
        let sight = ShardObservation {
            epoch,
            claims_after_ms: LEASE_MS,
        };
        dispatcher.handle_message(605, relay, RelayMessage::ShardReply(epoch, number, sight));
    }
    assert_eq!(vouched(&dispatcher, 610), Some(600 + LEASE_MS));
}

/// An owner that knows of no other host, in the hall of all workers, has its own word only, which is no longer than another's.
fn an_owner_that_is_alone_goes_on() {
    let mut dispatcher = RelayDispatcher::new(EPOCH, 500);
    dispatcher.note_workers([(WorkerId::from("w-1"), HallId::from(HALLS[0]))]);
    assert_eq!(vouched(&dispatcher, 5_000), Some(5_000 + LEASE_MS));
}

/// One other host in the owner's hall, which doesn't answer, may have claimed.
fn an_owner_has_no_voice_beside_another() {
    let mut dispatcher = RelayDispatcher::new(EPOCH, 500);
    dispatcher.note_workers([(WorkerId::from("w-1"), HallId::from(HALLS[0]))]);
    let handshake = RelayHandshake::new(HostId::from("north-0"), HallId::from(HALLS[0]), 120);
    dispatcher.join(0, handshake).expect("the same version");
    ask(&mut dispatcher, 600, &[]);
    assert_eq!(vouched(&dispatcher, 610), Some(0));
}

/// Nothing gets out of the owner's hall, or into it: the hosts of the others don't answer, whatever those beside it say.
fn a_cut_hall_is_not_vouched_for() {
    let (mut dispatcher, relays) = dispatcher(3);
    for now in (600..6_000).step_by(200) {
        ask(&mut dispatcher, now, &relays[..3]);
    }
    assert_eq!(vouched(&dispatcher, 6_000), Some(0));
}

/// A host may have claimed between an answer that has run out and the next: such a one says nothing.
fn answers_have_to_follow_one_another() {
    let (mut dispatcher, relays) = dispatcher(3);
    ask(&mut dispatcher, 600, &relays);
    ask(&mut dispatcher, 600 + LEASE_MS + 1, &relays);
    assert_eq!(vouched(&dispatcher, 2_000), Some(600 + LEASE_MS));
}

/// A host that sees the owner's row may claim soon; one that has seen a newer epoch says that the owner has been followed.
fn hosts_with_the_store_say_so() {
    let (mut dispatcher, relays) = dispatcher(3);
    let sight = ShardObservation {
        epoch: EPOCH,
        claims_after_ms: 0,
    };
    assert_eq!(ask_for(&mut dispatcher, 600, &relays, sight), None);
    assert_eq!(vouched(&dispatcher, 610), Some(LEASE_MS));
    let sight = ShardObservation {
        epoch: EPOCH + 1,
        claims_after_ms: 0,
    };
    assert_eq!(
        ask_for(&mut dispatcher, 800, &relays[..1], sight),
        Some(EPOCH + 1)
    );
}

/// A host of another version can't be asked.
fn hosts_that_are_refused_may_claim() {
    let (mut dispatcher, relays) = dispatcher(3);
    dispatcher.note_refused(500);
    ask(&mut dispatcher, 600, &relays);
    assert_eq!(vouched(&dispatcher, 610), None);
}

/// A host whose connection ended while the owner could still renew is gone, and not waited for; one that was lost since is.
fn hosts_that_left_before_are_forgotten(left_at: Millis, enough: bool) {
    let (mut dispatcher, relays) = dispatcher(3);
    for relay in &relays[4..] {
        dispatcher.leave(left_at, *relay);
    }
    for (relay, question) in dispatcher.ask(1_600, 1_000, 1_000 + LEASE_MS) {
        let RelayMessage::ShardQuery(epoch, number) = question else {
            panic!("{question:?} is no question");
        };
        let sight = ShardObservation {
            epoch: EPOCH,
            claims_after_ms: LEASE_MS,
        };
        dispatcher.handle_message(1_605, relay, RelayMessage::ShardReply(epoch, number, sight));
    }
    let until = vouched(&dispatcher, 1_610);
    assert_eq!(until == Some(1_600 + LEASE_MS), enough);
}

sandshelf_cases::cases! {
    unsure_owner_waits => waits_while_unsure();
    unsure_owner_takes_no_lease_for_over => takes_no_lease_for_over();
    unsure_owner_stops_what_is_over => stops_what_is_over();
    outage_of_all => an_outage_of_all_is_vouched_for();
    half_of_the_other_hall_dead => hosts_of_a_hall_may_be_dead(2, 0, true);
    most_of_the_other_hall_dead => hosts_of_a_hall_may_be_dead(3, 0, false);
    half_of_the_own_hall_dead => hosts_of_a_hall_may_be_dead(0, 2, true);
    most_of_the_own_hall_dead => hosts_of_a_hall_may_be_dead(0, 3, false);
    alone_in_its_hall => an_owner_alone_in_its_hall_is_vouched_for();
    alone => an_owner_that_is_alone_goes_on();
    beside_another => an_owner_has_no_voice_beside_another();
    cut_hall => a_cut_hall_is_not_vouched_for();
    gap_between_answers => answers_have_to_follow_one_another();
    hosts_with_the_store => hosts_with_the_store_say_so();
    other_version => hosts_that_are_refused_may_claim();
    left_before => hosts_that_left_before_are_forgotten(900, true);
    lost_since => hosts_that_left_before_are_forgotten(1_100, false);
}
