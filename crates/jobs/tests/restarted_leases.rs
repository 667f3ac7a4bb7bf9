//! Leases of workers that restart under their names.
//!
//! An order that was meant for an earlier incarnation of a worker is carried out by a later one. Its deadline is on another clock, so
//! that only the worker's own limit bounds the lease. Nobody may take such a lease to end before the worker does: not the owner that
//! sent the order, and no later one.

mod support;

use sandshelf_jobs::{
    JobAction, JobEvent, OrderAnswer, RunKey, SchedulerLimits, SilentWorkers, TakeoverInfo,
    WorkerCall, WorkerIncarnation, WorkerListing, WorkerRoster,
};
use sandshelf_model::{Millis, WorkerId};
use support::{job, listing, renewal_report, run_report, step, SchedulerRig};

/// By how much the clock of the first incarnation is ahead of the rig's; the clocks of later ones show the rig's time, so that
/// deadlines that were meant for the first lie far ahead on them.
const FIRST_CLOCK_LEAD_MS: u64 = 4_000_000;
/// How long after an order was sent it may be carried out.
const MAX_ORDER_AGE_MS: Millis = 3_000;
/// The longest wait for a start elsewhere, in multiples of the worker's limit of leases.
const LONGEST_WAIT_IN_LEASES: Millis = 4;

/// The rows that owners leave to the next one.
#[derive(Clone, Default)]
struct StoredRows {
    roster: WorkerRoster,
    silent: SilentWorkers,
}

/// An owner, the rows in the store, and the limit of leases of the worker `w-1`.
struct OwnerPlay {
    rig: SchedulerRig,
    rows: StoredRows,
    epoch: u64,
    max_lease_ms: Millis,
}

fn entry(name: &str, incarnation: u64) -> WorkerListing {
    WorkerListing {
        incarnation: Some(WorkerIncarnation(incarnation)),
        ..listing(name)
    }
}

fn limits(max_lease_ms: Millis) -> SchedulerLimits {
    SchedulerLimits {
        max_lease_ms,
        ..SchedulerLimits::default()
    }
}

impl OwnerPlay {
    /// The first owner, which has heard the first incarnation of `w-1`.
    fn first(max_lease_ms: Millis) -> Self {
        let info = TakeoverInfo::first(1, 1_000);
        let mut play = Self::with_info(max_lease_ms, StoredRows::default(), info);
        play.rig.list_entries(vec![entry("w-1", 1)]);
        play.answer_first(vec![]);
        play.commit();
        play
    }

    fn with_info(max_lease_ms: Millis, rows: StoredRows, info: TakeoverInfo) -> Self {
        let (epoch, now) = (info.epoch, info.claimed_at);
        let mut rig = SchedulerRig::with_limits(limits(max_lease_ms), info);
        rig.now = now;
        rig.handle(JobEvent::StoreClock {
            at: now,
            at_most_ms: now,
        });
        Self {
            rig,
            rows,
            epoch,
            max_lease_ms,
        }
    }

    /// The next owner, which claims now and finds what this one has written. It reads of the job of
    /// `w-1`'s run.
    fn next(&self, entries: Vec<WorkerListing>) -> Self {
        let info = TakeoverInfo {
            epoch: self.epoch + 1,
            claimed_at: self.rig.now,
            claim_version: 100,
            rules_since: 1,
            roster: self.rows.roster.clone(),
            silent: self.rows.silent.clone(),
            store_ms: self.rig.now,
            ..TakeoverInfo::default()
        };
        let mut play = Self::with_info(self.max_lease_ms, self.rows.clone(), info);
        play.rig.list_entries(entries);
        play.rig.hand_in(7, 50, job(vec![step(1)]));
        play
    }

    /// The first incarnation answers a renewal.
    fn answer_first(&mut self, running: Vec<RunKey>) {
        let running = running.into_iter().map(run_report).collect();
        let clock = FIRST_CLOCK_LEAD_MS + self.rig.now;
        let report = renewal_report(1, clock, running, vec![]);
        self.rig.answer_renewal("w-1", report);
    }

    /// A later incarnation answers a renewal.
    fn answer_as(&mut self, incarnation: u64, running: Vec<RunKey>) {
        let running = running.into_iter().map(run_report).collect();
        let report = renewal_report(incarnation, self.rig.now, running, vec![]);
        self.rig.answer_renewal("w-1", report);
    }

    /// All that the owner wants to write becomes durable.
    fn commit(&mut self) {
        for batch in self.rig.commit_all() {
            batch.roster.apply_to(&mut self.rows.roster);
            batch.silent.apply_to(&mut self.rows.silent);
        }
    }

    /// A job is handed in, and the order to start its task on `w-1` gets no answer.
    fn order_without_answer(&mut self) -> RunKey {
        self.rig.hand_in(7, 50, job(vec![step(1)]));
        self.rig.advance(25);
        let (_, start) = self.rig.peek_starts().pop().expect("a start");
        let is_start = |action: &JobAction| {
            matches!(
                action,
                JobAction::Call {
                    call: WorkerCall::Start(_),
                    ..
                }
            )
        };
        self.rig.actions.retain(|action| !is_start(action));
        let unknown = OrderAnswer::Unknown;
        self.rig.start_answered("w-1", start.key, unknown);
        start.key
    }

    /// The worker carries out an order that was meant for an earlier incarnation. Returns the end of its lease.
    fn carry_out_late(&mut self, after_ms: Millis) -> Millis {
        self.rig.advance(after_ms);
        self.rig.now + self.max_lease_ms
    }

    /// Lets time pass in which `w-1` answers nothing and `w-2` answers all.
    fn pass_silently(&mut self, millis: Millis) {
        let until = self.rig.now + millis;
        while self.rig.now < until {
            self.rig.advance(25);
            self.rig.fail_renewal("w-1");
            let report = renewal_report(9, self.rig.now, vec![], vec![]);
            self.rig.answer_renewal("w-2", report);
            self.commit();
        }
    }

    /// Asserts that the task starts on `w-2`, and not before the lease on `w-1` is over.
    fn assert_waits_until(&mut self, leased_until: Millis) {
        let latest = self.rig.now + LONGEST_WAIT_IN_LEASES * self.max_lease_ms;
        while self.rig.peek_starts().is_empty() {
            self.pass_silently(25);
            assert!(self.rig.now < latest, "the task is never started");
        }
        let started_at = self.rig.now;
        assert!(
            started_at > leased_until,
            "started at {started_at}, leased until {leased_until}"
        );
    }
}

/// The first owner hears of the restart and publishes it; a late order is carried out; another owner follows.
fn after_a_heard_restart(max_lease_ms: Millis) -> (OwnerPlay, RunKey, Millis) {
    let mut owner = OwnerPlay::first(max_lease_ms);
    let run = owner.order_without_answer();
    owner.rig.advance(300);
    owner.answer_as(2, vec![]);
    owner.commit();
    let leased_until = owner.carry_out_late(100);
    owner.commit();
    (owner, run, leased_until)
}

fn both() -> Vec<WorkerListing> {
    vec![entry("w-1", 2), entry("w-2", 9)]
}

/// Guards against a successor that counts ordinary leases for an incarnation because the roster names it.
fn a_successor_waits_for_a_restart_that_was_heard(max_lease_ms: Millis) {
    let (owner, run, leased_until) = after_a_heard_restart(max_lease_ms);
    let mut next = owner.next(both());
    next.rig.advance(50);
    next.answer_as(2, vec![run]);
    next.assert_waits_until(leased_until);
}

/// The same where the worker never answers the successor.
fn a_successor_waits_for_a_silent_worker_that_was_heard(max_lease_ms: Millis) {
    let (owner, _, leased_until) = after_a_heard_restart(max_lease_ms);
    let mut next = owner.next(both());
    next.assert_waits_until(leased_until);
}

/// The same for the owner after next, whether the worker has answered the owner between or not.
fn the_owner_after_next_waits(max_lease_ms: Millis, answers_between: bool) {
    let (owner, run, leased_until) = after_a_heard_restart(max_lease_ms);
    let mut between = owner.next(both());
    between.rig.advance(50);
    if answers_between {
        between.answer_as(2, vec![run]);
    }
    between.pass_silently(900);
    let mut next = between.next(both());
    next.assert_waits_until(leased_until);
}

/// Guards against an unnamed incarnation that counts as unleased because it answers after the ordinary wait.
fn a_successor_waits_for_an_unnamed_incarnation(max_lease_ms: Millis, answers_after_ms: Millis) {
    let mut owner = OwnerPlay::first(max_lease_ms);
    let run = owner.order_without_answer();
    owner.rig.advance(300);
    let mut next = owner.next(vec![entry("w-1", 1), entry("w-2", 9)]);
    let leased_until = next.rig.now + MAX_ORDER_AGE_MS - 400 + max_lease_ms;
    next.rig.list_entries(both());
    next.pass_silently(answers_after_ms);
    next.answer_as(2, vec![run]);
    next.assert_waits_until(leased_until.min(next.rig.now + max_lease_ms));
}

/// Guards against a lease that counts on the clock of before where only the worker list shows the restart.
fn the_owner_waits_for_a_restart_that_only_the_list_shows(max_lease_ms: Millis) {
    let mut owner = OwnerPlay::first(max_lease_ms);
    owner.order_without_answer();
    owner.rig.list_entries(both());
    let leased_until = owner.carry_out_late(600);
    owner.assert_waits_until(leased_until);
}

/// The same for a successor to which the worker is silent.
fn a_successor_waits_for_a_restart_that_only_the_list_shows(max_lease_ms: Millis) {
    let mut owner = OwnerPlay::first(max_lease_ms);
    owner.order_without_answer();
    let mut next = owner.next(vec![entry("w-2", 9)]);
    let leased_until = next.carry_out_late(500);
    next.rig.list_entries(both());
    next.assert_waits_until(leased_until);
}

/// Guards against a silence record that was written before the list showed the restart: the next owner doesn't see that list.
fn a_silence_record_is_raised_by_a_restart(max_lease_ms: Millis) {
    let mut owner = OwnerPlay::first(max_lease_ms);
    owner
        .rig
        .list_entries(vec![entry("w-1", 1), entry("w-2", 9)]);
    owner.order_without_answer();
    owner.pass_silently(1_500);
    assert!(!owner.rows.silent.over_at.is_empty(), "a silence record");
    let leased_until = owner.carry_out_late(100);
    owner.rig.list_entries(both());
    owner.pass_silently(200);
    let mut next = owner.next(vec![entry("w-2", 9)]);
    next.assert_waits_until(leased_until);
}

/// Guards against late orders of an earlier owner, which a restarted worker carries out since it has forgotten the newer fence.
fn late_orders_of_the_earlier_owner_are_waited_out(max_lease_ms: Millis) {
    let mut owner = OwnerPlay::first(max_lease_ms);
    let run = owner.order_without_answer();
    owner.rig.advance(300);
    let mut next = owner.next(vec![entry("w-1", 1), entry("w-2", 9)]);
    next.rig.advance(50);
    next.answer_first(vec![]);
    next.rig.advance(1_200);
    let leased_until = next.carry_out_late(25);
    next.answer_as(2, vec![run]);
    next.assert_waits_until(leased_until);
}

/// Guards against a start that counts as over for the next incarnation because a stop of the earlier one has settled it.
fn a_settled_start_is_waited_out(max_lease_ms: Millis) {
    let mut owner = OwnerPlay::first(max_lease_ms);
    let settled = owner.order_without_answer();
    let worker = WorkerId::from("w-1");
    let stopped = OrderAnswer::Done(FIRST_CLOCK_LEAD_MS + owner.rig.now);
    owner
        .rig
        .handle(JobEvent::StopAnswered(worker, settled, stopped));
    owner.rig.advance(50);
    owner.answer_first(vec![]);
    owner.rig.advance(300);
    owner.answer_as(2, vec![]);
    owner.rig.advance(50);
    let leased_until = owner.carry_out_late(1_200);
    let starts = owner.rig.peek_starts();
    let (_, start) = starts.last().expect("a start").clone();
    owner.commit();
    let mut next = owner.next(both());
    next.rig.advance(50);
    next.answer_as(2, vec![start.key]);
    next.assert_waits_until(leased_until);
}

/// Guards against a report of the earlier incarnation, sent before the list showed the restart, that hides the restart.
fn a_report_from_before_the_restart_does_not_hide_it(max_lease_ms: Millis) {
    let mut owner = OwnerPlay::first(max_lease_ms);
    owner.order_without_answer();
    owner.rig.list_entries(both());
    owner.answer_first(vec![]);
    let leased_until = owner.carry_out_late(600);
    owner.assert_waits_until(leased_until);
}

/// A worker that did not restart is waited for no longer than its ordinary lease.
fn a_worker_that_did_not_restart_is_not_waited_for_longer(max_lease_ms: Millis) {
    let mut owner = OwnerPlay::first(max_lease_ms);
    let run = owner.order_without_answer();
    owner.answer_first(vec![run]);
    owner.commit();
    let mut next = owner.next(vec![entry("w-1", 1), entry("w-2", 9)]);
    let claimed_at = next.rig.now;
    next.rig.advance(50);
    next.answer_first(vec![run]);
    next.assert_waits_until(claimed_at + 4_000);
    let waited_ms = next.rig.now - claimed_at;
    assert!(waited_ms < 5_500, "{waited_ms} ms");
}

sandshelf_cases::cases! {
    heard_restart_6_s => a_successor_waits_for_a_restart_that_was_heard(6_000);
    heard_restart_10_s => a_successor_waits_for_a_restart_that_was_heard(10_000);
    heard_restart_then_silent_6_s => a_successor_waits_for_a_silent_worker_that_was_heard(6_000);
    heard_restart_then_silent_10_s => a_successor_waits_for_a_silent_worker_that_was_heard(10_000);
    owner_after_next_after_an_answer => the_owner_after_next_waits(10_000, true);
    owner_after_next_without_an_answer => the_owner_after_next_waits(10_000, false);
    unnamed_incarnation_at_once => a_successor_waits_for_an_unnamed_incarnation(10_000, 100);
    unnamed_incarnation_after_the_ordinary_wait => a_successor_waits_for_an_unnamed_incarnation(10_000, 6_000);
    listed_restart_6_s => the_owner_waits_for_a_restart_that_only_the_list_shows(6_000);
    listed_restart_10_s => the_owner_waits_for_a_restart_that_only_the_list_shows(10_000);
    listed_restart_in_a_takeover => a_successor_waits_for_a_restart_that_only_the_list_shows(10_000);
    silence_record_before_a_listed_restart => a_silence_record_is_raised_by_a_restart(10_000);
    late_orders_of_the_earlier_owner => late_orders_of_the_earlier_owner_are_waited_out(10_000);
    settled_start => a_settled_start_is_waited_out(10_000);
    report_from_before_a_listed_restart => a_report_from_before_the_restart_does_not_hide_it(10_000);
    no_restart_6_s => a_worker_that_did_not_restart_is_not_waited_for_longer(6_000);
    no_restart_10_s => a_worker_that_did_not_restart_is_not_waited_for_longer(10_000);
}
