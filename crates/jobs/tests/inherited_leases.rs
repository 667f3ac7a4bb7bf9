//! Nobody takes a lease to end before its worker does.
//!
//! An owner was turned away by the store while other hosts were served. It went on for two seconds and granted longer leases meanwhile,
//! as it may. Its successor reached all workers, and some of them were cut off right after their first answer. Four seconds later it took
//! their leases to be over and started their tasks elsewhere, 0.3 to 0.6 s before the runs lapsed: callers saw tasks run twice at once.
//! The successor counted the published length of leases from a worker's first answer. The longer leases end later than that; only
//! the time that a successor counts from its claim covers them. The lines `lease_expired` of the successor and `ownership_overdue` of
//! its predecessor show both ends.

mod support;

use sandshelf_jobs::{
    JobEvent, NamedIncarnation, RenewalReport, RunKey, SchedulerLimits, SilentWorkers, StartCall,
    StepSpec, TakeoverInfo, WorkerIncarnation, WorkerRoster,
};
use sandshelf_model::{Millis, WorkerId};
use support::{job, listing, run_report, step, SchedulerRig};

/// The last renewal of the first owner that took effect.
const RENEWED_AT: Millis = 1_000;
/// How long after a renewal nobody claims the shard, and how long after that the owner is sure of itself.
const OWNERSHIP_MS: Millis = 1_200;
const SURE_MARGIN_MS: Millis = 800;
/// How long after a renewal the ownership counts as overdue.
const OVERDUE_AFTER_MS: Millis = 750;
/// The published length of leases.
const LEASE_MS: Millis = 4_000;
/// How long a successor waits for a worker that never answers: a lease on a clock that is 2 % slow, and its margin.
const UNANSWERED_WAIT_MS: Millis = 4_081 + 1_000;
/// Two per cent of the longest wait, and the intervals at which workers are checked and tasks are placed.
const WAIT_TOLERANCE_MS: Millis = 300;

fn limits(max_lease_ms: Millis) -> SchedulerLimits {
    SchedulerLimits {
        max_lease_ms,
        ..SchedulerLimits::default()
    }
}

fn standing_step() -> StepSpec {
    StepSpec {
        standing: true,
        ..step(1)
    }
}

/// A worker's lease on its own clock, which may be slow.
#[derive(Clone, Copy)]
struct LeasedWorker {
    clock_percent: u64,
    max_lease_ms: Millis,
    lease_until: u64,
}

impl LeasedWorker {
    fn clock(&self, now: Millis) -> u64 {
        now * self.clock_percent / 100
    }

    fn extend(&mut self, now: Millis, deadline: u64) {
        let longest = self.clock(now) + self.max_lease_ms;
        self.lease_until = self.lease_until.max(deadline.min(longest));
    }

    fn is_leased(&self, now: Millis) -> bool {
        self.clock(now) <= self.lease_until
    }
}

/// How a shard passes from its first owner to the next.
#[derive(Clone, Copy)]
struct Succession {
    /// Until when all hosts are without the store, so that the first owner stays sure of itself.
    store_down_until: Millis,
    /// When the first owner's orders end: it ends, or its successor has reached the worker.
    orders_until: Millis,
    /// When its successor claims the shard, and whether it does so before the ownership is over.
    claimed_at: Millis,
    early: bool,
    /// When the worker answers the successor, which is also when it falls silent.
    answers_at: Millis,
    /// How long that answer takes to arrive.
    answer_ms: Millis,
}

/// The store turns the owner away: another host claims the shard as soon as it may.
const TURNED_AWAY: Succession = Succession {
    store_down_until: 0,
    orders_until: 2_300,
    claimed_at: RENEWED_AT + OWNERSHIP_MS,
    early: false,
    answers_at: 2_300,
    answer_ms: 0,
};

/// The owner is killed while the whole store is down.
const STORE_DOWN: Succession = Succession {
    store_down_until: 5_500,
    orders_until: 5_500,
    claimed_at: 5_500 + OWNERSHIP_MS,
    answers_at: 6_800,
    ..TURNED_AWAY
};

/// The owner is stopped as planned, right after a time in which it could not renew.
const PLANNED_STOP: Succession = Succession {
    orders_until: 2_000,
    claimed_at: 2_010,
    early: true,
    answers_at: 2_110,
    ..TURNED_AWAY
};

/// The same at the end of an outage of the whole store.
const PLANNED_STOP_AFTER_OUTAGE: Succession = Succession {
    store_down_until: 5_500,
    orders_until: 5_500,
    claimed_at: 5_510,
    early: true,
    answers_at: 5_610,
    ..TURNED_AWAY
};

/// A worker's run, and its lease when the first owner has given its last order.
struct LeftRun {
    key: RunKey,
    worker: LeasedWorker,
}

/// Plays the first owner to its last order to the worker `w-1`.
fn play_first_owner(succession: &Succession, mut worker: LeasedWorker) -> LeftRun {
    let limits = limits(worker.max_lease_ms);
    let mut rig = SchedulerRig::with_limits(limits, TakeoverInfo::first(1, RENEWED_AT));
    let sure_until = |unclaimed_until: Millis| {
        JobEvent::SureUntil(unclaimed_until + OWNERSHIP_MS + SURE_MARGIN_MS)
    };
    rig.list(&["w-1"]);
    rig.handle(sure_until(RENEWED_AT));
    let answer = |rig: &mut SchedulerRig, worker: &LeasedWorker, running| {
        let report = RenewalReport {
            incarnation: None,
            carrier_late_ms: 0,
            clock: worker.clock(rig.now),
            running,
            ended: vec![],
        };
        rig.answer_renewal("w-1", report);
    };
    answer(&mut rig, &worker, vec![]);
    rig.hand_in(7, 50, job(vec![standing_step()]));
    let (_, StartCall { key, .. }) = rig.take_starts().pop().expect("a start");
    while rig.now < succession.orders_until {
        rig.advance(25);
        rig.handle(JobEvent::OwnershipOverdue(
            rig.now >= RENEWED_AT + OVERDUE_AFTER_MS,
        ));
        if rig.now < succession.store_down_until {
            rig.handle(sure_until(rig.now));
        }
        rig.actions.clear();
        answer(&mut rig, &worker, vec![run_report(key)]);
        for deadline in rig.deadlines_of("w-1") {
            worker.extend(rig.now, deadline);
        }
    }
    assert!(
        worker.lease_until > worker.clock(rig.now) + LEASE_MS,
        "no lease is longer than the published one"
    );
    LeftRun { key, worker }
}

/// What the next owner reads at its claim.
fn takeover(epoch: u64, claimed_at: Millis, early: bool) -> TakeoverInfo {
    TakeoverInfo {
        epoch,
        rules_since: 1,
        claimed_at,
        earlier_orders_until: if early { claimed_at + OWNERSHIP_MS } else { 0 },
        claim_version: 100,
        store_ms: claimed_at,
        roster: WorkerRoster {
            epoch: 1,
            workers: vec![(WorkerId::from("w-1"), listing("w-1").address)],
            lease_ms: Some(LEASE_MS),
            ..WorkerRoster::default()
        },
        ..TakeoverInfo::default()
    }
}

/// The next owner, which is free to start the task on another worker.
fn successor(info: TakeoverInfo, max_lease_ms: Millis) -> SchedulerRig {
    let claimed_at = info.claimed_at;
    let mut rig = SchedulerRig::with_limits(limits(max_lease_ms), info);
    rig.now = claimed_at;
    rig.list(&["w-2"]);
    rig.handle(JobEvent::StoreClock {
        at: claimed_at,
        at_most_ms: claimed_at,
    });
    rig.hand_in(7, 50, job(vec![standing_step()]));
    rig
}

/// The successor hears of the run in the worker's first answer.
fn first_answer(rig: &mut SchedulerRig, left: &LeftRun, answer_ms: Millis) {
    let clock = left.worker.clock(rig.now);
    rig.now += answer_ms;
    let report = RenewalReport {
        incarnation: None,
        carrier_late_ms: answer_ms,
        clock,
        running: vec![run_report(left.key)],
        ended: vec![],
    };
    rig.answer_renewal("w-1", report);
}

/// Advances until the task is started elsewhere; `w-1` answers no call any more.
fn wait_for_start(rig: &mut SchedulerRig) -> Millis {
    let began_at = rig.now;
    while rig.peek_starts().is_empty() {
        rig.publish_workers();
        rig.fail_renewal("w-1");
        rig.report("w-2", vec![], vec![]);
        assert!(rig.now < began_at + 30_000, "the task is never started");
    }
    rig.now
}

/// A worker that falls silent right after its first answer to the successor holds its runs until its lease is over.
fn the_lease_of_a_worker_that_answered_is_waited_out(
    succession: Succession,
    clock_percent: u64,
    max_lease_ms: Millis,
) {
    let worker = LeasedWorker {
        clock_percent,
        max_lease_ms,
        lease_until: 0,
    };
    let left = play_first_owner(&succession, worker);
    let info = takeover(2, succession.claimed_at, succession.early);
    let mut rig = successor(info, max_lease_ms);
    rig.advance(succession.answers_at - succession.claimed_at);
    first_answer(&mut rig, &left, succession.answer_ms);
    let started_at = wait_for_start(&mut rig);
    assert!(
        !left.worker.is_leased(started_at),
        "started at {started_at} ms, when the worker's clock showed {} of a lease until {}",
        left.worker.clock(started_at),
        left.worker.lease_until
    );
    // A worker that has answered is not waited for much longer than one that never does.
    let early_ms = if succession.early { OWNERSHIP_MS } else { 0 };
    let latest = succession.claimed_at + early_ms + UNANSWERED_WAIT_MS + WAIT_TOLERANCE_MS;
    assert!(started_at <= latest, "{started_at} ms, after {latest} ms");
}

/// A successor that never reached the worker dies, and the owner after it takes over: the first owner's lease still counts.
fn the_lease_is_waited_out_by_the_owner_after_next() {
    let worker = LeasedWorker {
        clock_percent: 98,
        max_lease_ms: 6_000,
        lease_until: 0,
    };
    let left = play_first_owner(&TURNED_AWAY, worker);
    let mut rig = successor(takeover(3, 2_500, false), 6_000);
    rig.advance(100);
    first_answer(&mut rig, &left, 0);
    let started_at = wait_for_start(&mut rig);
    assert!(!left.worker.is_leased(started_at), "{started_at} ms");
}

/// The silence record of a worker that fell silent right after its first answer does not end before its lease, so that the next owner
/// waits as well.
fn a_silence_record_outlasts_the_lease(succession: Succession) {
    let worker = LeasedWorker {
        clock_percent: 98,
        max_lease_ms: 6_000,
        lease_until: 0,
    };
    let left = play_first_owner(&succession, worker);
    let info = takeover(2, succession.claimed_at, succession.early);
    let mut rig = successor(info, 6_000);
    rig.advance(succession.answers_at - succession.claimed_at);
    first_answer(&mut rig, &left, 0);
    for _ in 0..15 {
        rig.advance(100);
        rig.fail_renewal("w-1");
        rig.report("w-2", vec![], vec![]);
    }
    let mut silent = SilentWorkers::default();
    for batch in rig.commit_all() {
        batch.silent.apply_to(&mut silent);
    }
    let over_at = silent.over_at[&WorkerId::from("w-1")];
    assert!(
        !left.worker.is_leased(over_at),
        "recorded until {over_at} ms"
    );
    let info = TakeoverInfo {
        silent,
        ..takeover(3, rig.now + OWNERSHIP_MS, false)
    };
    let started_at = wait_for_start(&mut successor(info, 6_000));
    assert!(!left.worker.is_leased(started_at), "{started_at} ms");
}

/// How a worker that restarted under its name shows up at a successor.
fn restarted_report(rig: &SchedulerRig, key: RunKey) -> RenewalReport {
    RenewalReport {
        incarnation: Some(WorkerIncarnation(2)),
        carrier_late_ms: 0,
        clock: rig.now,
        running: vec![run_report(key)],
        ended: vec![],
    }
}

/// An earlier owner's order for the previous incarnation of a worker carries a deadline on another clock. Only the worker's own limit
/// binds such a lease.
fn the_lease_of_a_restarted_worker_is_waited_out() {
    const MAX_LEASE_MS: Millis = 10_000;
    let left = play_first_owner(
        &TURNED_AWAY,
        LeasedWorker {
            clock_percent: 100,
            max_lease_ms: MAX_LEASE_MS,
            lease_until: 0,
        },
    );
    let mut info = takeover(2, TURNED_AWAY.claimed_at, false);
    info.roster.incarnations = vec![Some(NamedIncarnation {
        id: WorkerIncarnation(1),
        leased_until: 0,
    })];
    let mut rig = successor(info, MAX_LEASE_MS);
    rig.advance(100);
    let lease_until = rig.now + MAX_LEASE_MS;
    let report = restarted_report(&rig, left.key);
    rig.answer_renewal("w-1", report);
    let started_at = wait_for_start(&mut rig);
    assert!(started_at > lease_until, "{started_at} ms");
}

/// Long after a takeover no earlier owner's lease is left, so that a worker that restarts then and falls silent is not waited for longer
/// than this owner's own leases last.
fn a_late_restart_is_not_waited_for_longer() {
    let mut rig = successor(takeover(2, 1_000, false), 10_000);
    rig.list(&["w-1"]);
    let idle_report = |rig: &SchedulerRig| RenewalReport {
        incarnation: Some(WorkerIncarnation(1)),
        carrier_late_ms: 0,
        clock: rig.now,
        running: vec![],
        ended: vec![],
    };
    for _ in 0..80 {
        let report = idle_report(&rig);
        rig.answer_renewal("w-1", report);
        rig.advance(100);
    }
    let (name, start) = rig.take_starts().pop().expect("a start");
    assert_eq!(name, "w-1");
    let report = restarted_report(&rig, start.key);
    rig.answer_renewal("w-1", report);
    let restarted_at = rig.now;
    rig.list(&["w-1", "w-2"]);
    let started_at = wait_for_start(&mut rig);
    let own_lease = LEASE_MS * 100 / 98 + WAIT_TOLERANCE_MS;
    assert!(
        started_at <= restarted_at + own_lease,
        "{started_at} ms, restarted at {restarted_at} ms"
    );
}

sandshelf_cases::cases! {
    turned_away => the_lease_of_a_worker_that_answered_is_waited_out(TURNED_AWAY, 100, 6_000);
    turned_away_slow_clock => the_lease_of_a_worker_that_answered_is_waited_out(TURNED_AWAY, 98, 6_000);
    turned_away_longer_leases => the_lease_of_a_worker_that_answered_is_waited_out(TURNED_AWAY, 98, 10_000);
    turned_away_slow_answer => the_lease_of_a_worker_that_answered_is_waited_out(Succession { answer_ms: 400, ..TURNED_AWAY }, 98, 6_000);
    turned_away_late_answer => the_lease_of_a_worker_that_answered_is_waited_out(Succession { answers_at: 2_900, orders_until: 2_900, ..TURNED_AWAY }, 98, 6_000);
    store_down => the_lease_of_a_worker_that_answered_is_waited_out(STORE_DOWN, 98, 6_000);
    store_down_longer_leases => the_lease_of_a_worker_that_answered_is_waited_out(STORE_DOWN, 98, 10_000);
    planned_stop => the_lease_of_a_worker_that_answered_is_waited_out(PLANNED_STOP, 98, 6_000);
    planned_stop_after_outage => the_lease_of_a_worker_that_answered_is_waited_out(PLANNED_STOP_AFTER_OUTAGE, 98, 6_000);
    planned_stop_after_outage_longer_leases => the_lease_of_a_worker_that_answered_is_waited_out(PLANNED_STOP_AFTER_OUTAGE, 98, 10_000);
    owner_after_next => the_lease_is_waited_out_by_the_owner_after_next();
    record_after_turned_away => a_silence_record_outlasts_the_lease(TURNED_AWAY);
    record_after_planned_stop => a_silence_record_outlasts_the_lease(PLANNED_STOP);
    restarted_worker => the_lease_of_a_restarted_worker_is_waited_out();
    late_restart => a_late_restart_is_not_waited_for_longer();
}
