//! Workers that leave lease renewals unanswered: how soon the ends of short tasks there are noticed.
//!
//! A renewal without an answer timed out half a second after its wait and was repeated a quarter of a second later, so that the end of a
//! short task was noticed up to 1.25 s late.

mod support;

use sandshelf_jobs::{
    JobAction, JobEvent, OrderAnswer, RenewalAnswer, RenewalCall, RenewalReport, RunKey,
    RunOutcome, SchedulerLimits, StepSpec, TakeoverInfo, WorkerCall, WorkerIncarnation,
};
use sandshelf_model::{LoadPolicies, LoadPolicy, Millis};
use support::{end_report, job, run_report, step, SchedulerRig};

const WORKER: &str = "w-1";
const TICK_MS: Millis = 25;
/// A renewal waits 500 ms on a worker with a serving task and 1,200 ms otherwise, and is repeated within 250 ms after that.
const REPEATED_WITHIN_MS: Millis = 250;
const WAIT_MS: Millis = 1_200;
/// How far the store's clock is ahead of the rig's.
const STORE_CLOCK_AHEAD_MS: u64 = 500_000;
/// A renewal times out half a second after its wait.
const TIMEOUT_MS: Millis = 500;

/// An owner of one worker on which one task of this step is running.
fn owner(hedged: bool, step: StepSpec) -> (SchedulerRig, RunKey) {
    let policies = match hedged {
        true => LoadPolicies::default().with(LoadPolicy::HedgedCalls),
        false => LoadPolicies::default(),
    };
    let limits = SchedulerLimits {
        policies,
        ..SchedulerLimits::default()
    };
    let mut rig = SchedulerRig::with_limits(limits, TakeoverInfo::first(1, 1_000));
    rig.list(&[WORKER]);
    rig.report(WORKER, vec![], vec![]);
    rig.hand_in(7, 0, job(vec![step]));
    let (_, start) = rig.take_starts().pop().expect("a start");
    rig.commit_all();
    rig.now += 1;
    rig.report(WORKER, vec![run_report(start.key)], vec![]);
    (rig, start.key)
}

/// Removes the pending renewals from the actions and returns them.
fn take_renewals(rig: &mut SchedulerRig) -> Vec<RenewalCall> {
    let mut renewals = Vec::new();
    rig.actions.retain(|action| match action {
        JobAction::Call {
            call: WorkerCall::Renew(renewal),
            ..
        } => {
            renewals.push(*renewal);
            false
        }
        _ => true,
    });
    renewals
}

/// Answers nothing for this long; the renewals that are sent meanwhile.
fn renewals_within(rig: &mut SchedulerRig, millis: Millis) -> usize {
    let until = rig.now + millis;
    let mut count = 0;
    while rig.now < until {
        rig.advance(TICK_MS);
        count += take_renewals(rig).len();
    }
    count
}

fn fail_renewal(rig: &mut SchedulerRig) {
    let failed = RenewalAnswer::Failed(OrderAnswer::Unknown);
    rig.handle(JobEvent::RenewalAnswered(WORKER.into(), failed));
}

fn repeated_when_overdue(hedged: bool, step: StepSpec, expected: usize) {
    let (mut rig, _) = owner(hedged, step);
    assert!(!take_renewals(&mut rig).is_empty());
    let repeated = renewals_within(&mut rig, WAIT_MS + REPEATED_WITHIN_MS);
    assert_eq!(repeated, expected);
}

fn filling_step() -> StepSpec {
    StepSpec {
        fills: true,
        image: "index".to_owned(),
        ..step(1)
    }
}

/// An owner whose first renewal was not answered and has been repeated.
fn owner_with_repeated_renewal() -> (SchedulerRig, RunKey) {
    let (mut rig, run) = owner(true, step(1));
    take_renewals(&mut rig);
    let repeated = renewals_within(&mut rig, WAIT_MS + REPEATED_WITHIN_MS);
    assert_eq!(repeated, 1);
    (rig, run)
}

/// The repeated renewal tells of the end; then the first one fails. The job ends once, and one renewal stays in flight.
fn an_end_that_the_repeated_renewal_tells() {
    let (mut rig, run) = owner_with_repeated_renewal();
    let end = end_report(1, run, RunOutcome::Done);
    rig.report(WORKER, vec![], vec![end]);
    rig.commit_all();
    rig.advance(TICK_MS);
    assert_eq!(take_renewals(&mut rig).len(), 1);
    fail_renewal(&mut rig);
    assert_eq!(renewals_within(&mut rig, 300), 0, "one is in flight");
}

/// Guards against a worker that died unnoticed for longer than before: both renewals fail. The second failure comes 0.7 s after the
/// first one's wait, where the first failure and its repetition took 1.75 s.
fn a_dead_worker() {
    let (mut rig, _) = owner_with_repeated_renewal();
    let at = rig.now;
    let at_most_ms = STORE_CLOCK_AHEAD_MS + at;
    rig.handle(JobEvent::StoreClock { at, at_most_ms });
    rig.advance(TIMEOUT_MS - REPEATED_WITHIN_MS);
    fail_renewal(&mut rig);
    take_renewals(&mut rig);
    fail_renewal(&mut rig);
    rig.advance(200);
    let batches = rig.commit_all();
    let silent = batches.iter().any(|batch| !batch.silent.is_empty());
    assert!(silent, "two renewals in a row got no answer");
}

/// Guards against a run that is given up because an old report doesn't list it: the answer to the first renewal comes after the
/// worker has reported a newer state.
fn an_old_report_after_a_newer_one() {
    let (mut rig, run) = owner_with_repeated_renewal();
    let old_clock = rig.now;
    rig.now += 50;
    rig.report(WORKER, vec![run_report(run)], vec![]);
    rig.now += 10;
    let old = RenewalReport {
        incarnation: None,
        carrier_late_ms: 0,
        clock: old_clock,
        running: vec![],
        ended: vec![],
    };
    rig.answer_renewal(WORKER, old);
    rig.advance(TICK_MS);
    assert!(rig.peek_starts().is_empty(), "the run is running");
}

/// Guards against acknowledging an end that the worker may still list only to a renewal that it never got.
fn an_acknowledgement_in_an_unanswered_renewal() {
    let (mut rig, run) = owner_with_repeated_renewal();
    let end = end_report(1, run, RunOutcome::Done);
    rig.report(WORKER, vec![], vec![end.clone()]);
    rig.commit_all();
    rig.advance(TICK_MS);
    let acknowledging = take_renewals(&mut rig);
    assert_eq!(
        acknowledging.last().map(|renewal| renewal.last_seen),
        Some(1)
    );
    // This may be the late answer to the first renewal, which acknowledged nothing.
    rig.report(WORKER, vec![], vec![end]);
    rig.advance(TICK_MS);
    let again = take_renewals(&mut rig);
    assert_eq!(again.last().map(|renewal| renewal.last_seen), Some(1));
}

/// Guards against a run that is never settled: the answer to the first renewal never comes. What a later report says must count as
/// said then, not when the first renewal was sent.
fn a_first_renewal_that_never_ends() {
    let (mut rig, run) = owner_with_repeated_renewal();
    rig.report(WORKER, vec![run_report(run)], vec![]);
    rig.advance(4_000);
    take_renewals(&mut rig);
    rig.report(WORKER, vec![run_report(run)], vec![]);
    rig.advance(TICK_MS);
    assert!(!take_renewals(&mut rig).is_empty());
    fail_renewal(&mut rig);
    let retried = renewals_within(&mut rig, 300);
    assert_eq!(retried, 1, "the failure is that of the newest renewal");
}

/// Guards against a worker that is never asked again: both renewals tell of the end of its only run, and the next renewal fails.
fn a_failure_after_both_were_answered() {
    let (mut rig, run) = owner_with_repeated_renewal();
    let end = end_report(1, run, RunOutcome::Done);
    rig.report(WORKER, vec![], vec![end.clone()]);
    assert!(take_renewals(&mut rig).is_empty(), "the end is not durable");
    rig.report(WORKER, vec![], vec![end]);
    rig.commit_all();
    rig.advance(TICK_MS);
    assert_eq!(take_renewals(&mut rig).len(), 1);
    fail_renewal(&mut rig);
    assert_eq!(renewals_within(&mut rig, 300), 1, "the renewal is retried");
}

/// A report of this incarnation without runs.
fn report_of(incarnation: u64, clock: Millis) -> RenewalReport {
    RenewalReport {
        incarnation: Some(WorkerIncarnation(incarnation)),
        carrier_late_ms: 0,
        clock,
        running: vec![],
        ended: vec![],
    }
}

/// Guards against taking the first report of a restarted worker for an old one, since its clock begins anew: the runs of the
/// incarnation before have ended.
fn a_restart_told_by_the_repeated_renewal() {
    let (mut rig, run) = owner_with_repeated_renewal();
    let known = RenewalReport {
        running: vec![run_report(run)],
        ..report_of(1, rig.now)
    };
    rig.answer_renewal(WORKER, known);
    take_renewals(&mut rig);
    rig.now += 50;
    rig.answer_renewal(WORKER, report_of(2, 20));
    rig.advance(TICK_MS);
    let starts = rig.peek_starts();
    assert_eq!(starts.len(), 1, "the task starts again");
    assert_eq!(starts[0].1.key.task, run.task);
}

sandshelf_cases::cases! {
    short_task => repeated_when_overdue(true, step(1), 1);
    short_task_without_the_policy => repeated_when_overdue(false, step(1), 0);
    filling_task => repeated_when_overdue(true, filling_step(), 0);
    end_told_by_the_repetition => an_end_that_the_repeated_renewal_tells();
    dead_worker => a_dead_worker();
    old_report => an_old_report_after_a_newer_one();
    first_renewal_never_ends => a_first_renewal_that_never_ends();
    failure_after_both_answers => a_failure_after_both_were_answered();
    restart_told_by_the_repetition => a_restart_told_by_the_repeated_renewal();
    unanswered_acknowledgement => an_acknowledgement_in_an_unanswered_renewal();
}
