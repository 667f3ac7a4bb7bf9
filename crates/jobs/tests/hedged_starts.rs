//! Workers that leave start orders unanswered: how soon a short task starts elsewhere.
//!
//! A short job has some half a second beyond its work. An order that got no answer was given up after that half second, so that every
//! job with such an order was late.

mod support;

use sandshelf_jobs::{
    OrderAnswer, RefusalReason, RunKey, RunOutcome, SchedulerLimits, StartCall, StepSpec,
    TakeoverInfo,
};
use sandshelf_model::{LoadPolicies, LoadPolicy, Millis};
use support::{end_report, job, step, SchedulerRig, WALL_START_MS};

/// How often the control loop ticks.
const TICK_MS: Millis = 25;
/// The time by which an unanswered order of a short task has to be given up: its patience and a tick.
const GIVEN_UP_BY_MS: Millis = 225;

/// An owner with two workers, with or without early settling.
fn owner(early: bool) -> SchedulerRig {
    let policies = match early {
        true => LoadPolicies::default().with(LoadPolicy::HedgedCalls),
        false => LoadPolicies::default(),
    };
    let limits = SchedulerLimits {
        policies,
        ..SchedulerLimits::default()
    };
    let mut rig = SchedulerRig::with_limits(limits, TakeoverInfo::first(1, 1_000));
    rig.list(&["w-1", "w-2"]);
    for worker in ["w-1", "w-2"] {
        rig.report(worker, vec![], vec![]);
    }
    rig
}

/// Submits a job of one task and returns its start order, which stays unanswered.
fn unanswered_start(rig: &mut SchedulerRig, step: StepSpec) -> (String, StartCall) {
    rig.hand_in(7, 0, job(vec![step]));
    let start = rig.peek_starts().pop().expect("a start");
    rig.actions.clear();
    start
}

/// Ticks until the run is ordered to stop; the time from the start, or none within a second.
fn stopped_after_ms(rig: &mut SchedulerRig, run: RunKey) -> Option<Millis> {
    let started_at = rig.now;
    while rig.now < started_at + 1_000 {
        rig.advance(TICK_MS);
        if rig.stops().iter().any(|(_, stopped)| *stopped == run) {
            return Some(rig.now - started_at);
        }
    }
    None
}

fn given_up_soon(early: bool, step: StepSpec, expected: bool) {
    let mut rig = owner(early);
    let (_, start) = unanswered_start(&mut rig, step);
    let stopped = stopped_after_ms(&mut rig, start.key);
    assert_eq!(
        stopped.is_some_and(|after| after <= GIVEN_UP_BY_MS),
        expected,
        "{stopped:?}"
    );
}

fn filling_step() -> StepSpec {
    StepSpec {
        fills: true,
        image: "index".to_owned(),
        ..step(1)
    }
}

fn standing_step() -> StepSpec {
    StepSpec {
        standing: true,
        ..step(1)
    }
}

/// The worker never got the order: once it has answered the stop and lists nothing, the task starts again.
fn an_order_that_never_arrived() {
    let mut rig = owner(true);
    let (worker, start) = unanswered_start(&mut rig, step(1));
    stopped_after_ms(&mut rig, start.key).expect("the run is stopped");
    assert!(rig.peek_starts().is_empty(), "nothing is settled yet");
    rig.handle(sandshelf_jobs::JobEvent::StopAnswered(
        worker.as_str().into(),
        start.key,
        OrderAnswer::Done(rig.now),
    ));
    assert!(rig.peek_starts().is_empty(), "the worker may list the run");
    rig.now += 1;
    rig.report(&worker, vec![], vec![]);
    let again = rig.peek_starts().pop().expect("the task starts again");
    assert_eq!(again.1.key.task, start.key.task);
    assert!(again.1.key.run > start.key.run);
}

/// Guards against two runs of one task: the answer comes after the stop was sent, so that the run has begun. The task starts again
/// only once the worker has listed its end.
fn an_answer_after_the_stop() {
    let mut rig = owner(true);
    let (worker, start) = unanswered_start(&mut rig, step(1));
    stopped_after_ms(&mut rig, start.key).expect("the run is stopped");
    rig.start_answered(&worker, start.key, OrderAnswer::Done(rig.now));
    rig.advance(200);
    assert!(rig.peek_starts().is_empty(), "the run may be running");
    let end = end_report(1, start.key, RunOutcome::Stopped);
    rig.report(&worker, vec![], vec![end]);
    assert_eq!(rig.peek_starts().len(), 1);
}

/// The worker refuses the order after the stop was sent: the task starts again at once, and only once.
fn a_refusal_after_the_stop() {
    let mut rig = owner(true);
    let (worker, start) = unanswered_start(&mut rig, step(1));
    stopped_after_ms(&mut rig, start.key).expect("the run is stopped");
    let refused = OrderAnswer::Refused(rig.now, RefusalReason::Superseded);
    rig.start_answered(&worker, start.key, refused);
    assert_eq!(rig.peek_starts().len(), 1);
    rig.start_answered(&worker, start.key, OrderAnswer::Unknown);
    assert_eq!(rig.peek_starts().len(), 1);
}

/// Guards against stops of runs that are about to begin, where all answers take their time.
fn answers_that_usually_take_long() {
    let mut rig = owner(true);
    for number in 100..140 {
        rig.hand_in(number, 0, job(vec![step(1)]));
        let (worker, start) = rig.peek_starts().pop().expect("a start");
        rig.actions.clear();
        rig.advance(150);
        rig.start_answered(&worker, start.key, OrderAnswer::Done(rig.now));
        let end = end_report(number, start.key, RunOutcome::Done);
        rig.report(&worker, vec![], vec![end]);
        rig.commit_all();
        rig.actions.clear();
    }
    let (_, start) = unanswered_start(&mut rig, step(1));
    rig.advance(200);
    let early = rig.stops().iter().any(|(_, run)| *run == start.key);
    assert!(!early, "the answer is not late yet");
}

/// Guards against orders that wait for seconds: the worker lists the end of a run before the answer to its start arrives, so that the
/// time of that answer is not known.
fn an_end_before_the_answer() {
    let mut rig = owner(true);
    let (worker, start) = unanswered_start(&mut rig, step(1));
    rig.now += 10;
    let end = end_report(1, start.key, RunOutcome::Done);
    rig.report(&worker, vec![], vec![end]);
    rig.start_answered(&worker, start.key, OrderAnswer::Done(rig.now));
    rig.commit_all();
    rig.hand_in(8, 0, job(vec![step(1)]));
    let (_, start) = rig.peek_starts().pop().expect("a start");
    rig.actions.clear();
    let stopped = stopped_after_ms(&mut rig, start.key);
    let soon = stopped.is_some_and(|after| after <= GIVEN_UP_BY_MS);
    assert!(soon, "{stopped:?}");
}

/// Guards against an owner on a slow host that takes answers for missing that have arrived and wait to be processed.
fn an_owner_that_is_behind() {
    let mut rig = owner(true);
    for _ in 0..60 {
        rig.now += 120;
        let wall_ms = WALL_START_MS + rig.now;
        rig.handle(sandshelf_jobs::JobEvent::Tick { wall_ms });
        for worker in ["w-1", "w-2"] {
            rig.report(worker, vec![], vec![]);
        }
    }
    let (_, start) = unanswered_start(&mut rig, step(1));
    assert_eq!(stopped_after_ms(&mut rig, start.key), None);
}

sandshelf_cases::cases! {
    short_task => given_up_soon(true, step(1), true);
    short_task_without_the_policy => given_up_soon(false, step(1), false);
    filling_task => given_up_soon(true, filling_step(), false);
    standing_task => given_up_soon(true, standing_step(), false);
    never_arrived => an_order_that_never_arrived();
    answered_after_the_stop => an_answer_after_the_stop();
    refused_after_the_stop => a_refusal_after_the_stop();
    usually_slow_answers => answers_that_usually_take_long();
    end_before_the_answer => an_end_before_the_answer();
    owner_behind => an_owner_that_is_behind();
}
