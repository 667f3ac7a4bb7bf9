//! Workers that restart under the same name.
//!
//! Guards against an owner that applies what it knows of one incarnation of a worker to the next
//! one. Workers were down for half a second and came back under their names. Tasks that they then
//! ran were done and ran once more elsewhere, and standing tasks from before stayed away for 29 s.
//! The owner's log showed no worker as gone; all its `run_lost cause=notthere` lines named
//! restarted workers, some with a `heard_ms` of hours. The workers' counters and clocks had started
//! again. The owner took new ends with numbers it knew for ends it knew, and acknowledged them in
//! the same call. An earlier run counted as missing only once the new clock was past the time at
//! which the run had begun on the old clock.

mod support;

use sandshelf_jobs::{
    JobAction, JobEvent, JobNumber, JobStage, OrderAnswer, RenewalAnswer, RunKey, RunOutcome,
    StepSpec, TakeoverInfo, WorkerCall, WorkerIncarnation, WorkerListing,
};
use sandshelf_model::{ResourceSize, WorkerId};
use support::{end_report, job, listing, renewal_report, run_report, step, task, SchedulerRig};

/// What the clock of a worker's first incarnation shows when the rig's shows 0.
const FIRST_CLOCK_MS: u64 = 4_000_000;

/// An owner whose worker has ended three tasks in its first incarnation, all of them acknowledged.
fn after_three_ends() -> SchedulerRig {
    let mut rig = SchedulerRig::new(TakeoverInfo::first(1, 1_000));
    rig.list(&["w-1"]);
    rig.answer_renewal(
        "w-1",
        renewal_report(1, FIRST_CLOCK_MS + rig.now, vec![], vec![]),
    );
    rig.hand_in(1, 1, job(vec![step(3)]));
    rig.advance(50);
    let clock = FIRST_CLOCK_MS + rig.now;
    let started = take_starts(&mut rig, clock);
    let ends = started.iter().zip(1..);
    let ends = ends.map(|(key, number)| end_report(number, *key, RunOutcome::Done));
    rig.answer_renewal("w-1", renewal_report(1, clock, vec![], ends.collect()));
    rig.commit_all();
    assert_eq!(acknowledged(&rig), 3, "all ends are durable");
    rig
}

/// An owner whose worker has started one task in its first incarnation; the owner's state is
/// durable.
fn with_first_run() -> (SchedulerRig, RunKey) {
    let mut rig = SchedulerRig::new(TakeoverInfo::first(1, 1_000));
    rig.list(&["w-1"]);
    rig.answer_renewal(
        "w-1",
        renewal_report(1, FIRST_CLOCK_MS + rig.now, vec![], vec![]),
    );
    rig.commit_all();
    rig.hand_in(1, 1, job(vec![step(1)]));
    rig.advance(50);
    let started_at = FIRST_CLOCK_MS + rig.now;
    let started = take_starts(&mut rig, started_at);
    rig.commit_all();
    (rig, started[0])
}

/// Answers all start orders with a reading of the worker's clock; returns their runs.
fn take_starts(rig: &mut SchedulerRig, clock: u64) -> Vec<RunKey> {
    let starts = rig.peek_starts();
    rig.actions.retain(|action| {
        !matches!(
            action,
            JobAction::Call {
                call: WorkerCall::Start(_),
                ..
            }
        )
    });
    for (worker, start) in &starts {
        let done = OrderAnswer::Done(clock);
        rig.start_answered(worker, start.key, done);
    }
    starts.into_iter().map(|(_, start)| start.key).collect()
}

/// The number of the newest end that the newest renewal acknowledges.
fn acknowledged(rig: &SchedulerRig) -> u64 {
    let mut renewals = rig.actions.iter().rev().filter_map(|action| match action {
        JobAction::Call {
            call: WorkerCall::Renew(renewal),
            ..
        } => Some(renewal.last_seen),
        _ => None,
    });
    renewals.next().expect("a renewal was sent")
}

/// The worker's connections break and it comes back in its second incarnation, whose clock shows
/// `clock`.
fn restart_worker(rig: &mut SchedulerRig, clock: u64) {
    rig.fail_renewal("w-1");
    rig.advance(500);
    rig.answer_renewal("w-1", renewal_report(2, clock, vec![], vec![]));
    rig.list(&["w-1"]);
}

/// A task that a restarted worker reports as done is done, whatever the worker's clock shows. Its
/// end has a number that an end of the first incarnation had.
fn an_end_of_the_new_incarnation_counts(clock: u64) {
    let mut rig = after_three_ends();
    restart_worker(&mut rig, clock);
    rig.hand_in(2, 2, job(vec![step(1)]));
    rig.advance(50);
    let started = take_starts(&mut rig, clock + 50);
    assert_eq!(started.len(), 1, "the worker accepts tasks");
    rig.advance(100);
    assert_eq!(
        acknowledged(&rig),
        0,
        "nothing of this incarnation was recorded"
    );
    let end = end_report(1, started[0], RunOutcome::Done);
    rig.answer_renewal("w-1", renewal_report(2, clock + 150, vec![], vec![end]));
    assert_eq!(final_stages(&mut rig), vec![JobStage::Completed]);
    assert!(rig.peek_starts().is_empty(), "the task ran once");
}

/// A standing task is started again as soon as its worker has restarted, whatever the worker's
/// clock shows.
fn a_standing_task_is_back_at_once(clock: u64) {
    let mut rig = SchedulerRig::new(TakeoverInfo::first(1, 1_000));
    rig.list(&["w-1"]);
    rig.answer_renewal(
        "w-1",
        renewal_report(1, FIRST_CLOCK_MS + rig.now, vec![], vec![]),
    );
    let standing = StepSpec {
        standing: true,
        ..step(1)
    };
    rig.hand_in(1, 1, job(vec![standing]));
    rig.advance(50);
    let first = FIRST_CLOCK_MS + rig.now;
    let started = take_starts(&mut rig, first);
    rig.advance(500);
    let running = vec![run_report(started[0])];
    rig.answer_renewal("w-1", renewal_report(1, first + 500, running, vec![]));
    rig.advance(500);
    restart_worker(&mut rig, clock);
    rig.advance(300);
    let again = take_starts(&mut rig, clock + 300);
    assert_eq!(again.len(), 1, "the task ended with the old incarnation");
    assert!(again[0].run > started[0].run);
}

/// While a start order is unanswered nothing is acknowledged: an incarnation that the owner does
/// not know yet may have carried it out and ended the run under a number that the first incarnation
/// used.
fn an_unanswered_start_delays_acknowledgements() {
    let (mut rig, first) = with_first_run();
    rig.hand_in(2, 2, job(vec![step(1)]));
    rig.advance(50);
    let pending = rig.peek_starts();
    assert_eq!(pending.len(), 1, "the worker accepts tasks");
    let end = end_report(1, first, RunOutcome::Done);
    rig.answer_renewal(
        "w-1",
        renewal_report(1, FIRST_CLOCK_MS + rig.now, vec![], vec![end.clone()]),
    );
    rig.commit_all();
    rig.advance(600);
    assert_eq!(
        acknowledged(&rig),
        0,
        "it is unknown which incarnation has the start"
    );
    let running = vec![run_report(pending[0].1.key)];
    rig.answer_renewal(
        "w-1",
        renewal_report(1, FIRST_CLOCK_MS + rig.now, running, vec![end]),
    );
    rig.advance(50);
    assert_eq!(acknowledged(&rig), 1, "the known incarnation has it");
}

/// Ends are acknowledged only to an incarnation that answered a moment ago. If its last answer is
/// older, a renewal without acknowledgements goes out first.
fn a_late_write_is_followed_by_a_renewal() {
    let (mut rig, first) = with_first_run();
    let end = end_report(1, first, RunOutcome::Done);
    rig.answer_renewal(
        "w-1",
        renewal_report(1, FIRST_CLOCK_MS + rig.now, vec![], vec![end.clone()]),
    );
    rig.advance(50);
    let batch = rig.take_commit().expect("the end is written");
    rig.advance(150);
    rig.handle(JobEvent::Committed(batch.id));
    rig.advance(25);
    assert_eq!(acknowledged(&rig), 0, "it may have restarted since");
    rig.answer_renewal(
        "w-1",
        renewal_report(1, FIRST_CLOCK_MS + rig.now, vec![], vec![end]),
    );
    rig.advance(25);
    assert_eq!(acknowledged(&rig), 1);
}

/// An answer from an unknown incarnation says nothing about the known one. The run is not missing
/// if it is not listed by the answer to a renewal that was sent before the order was answered,
/// whichever incarnation answers that renewal. The run is not started a second time, and its end
/// counts. This also holds if the new incarnation's clock happens to fit the old one.
fn an_order_is_answered_by_another_incarnation(answered: u64, polled: u64, clock: u64) {
    let mut rig = after_three_ends();
    rig.hand_in(2, 2, job(vec![step(1)]));
    rig.advance(50);
    let started = take_starts(&mut rig, answered);
    rig.answer_renewal("w-1", renewal_report(polled, clock, vec![], vec![]));
    rig.advance(25);
    assert!(
        rig.peek_starts().is_empty(),
        "the new incarnation may have it"
    );
    let end = end_report(1, started[0], RunOutcome::Done);
    rig.answer_renewal("w-1", renewal_report(2, answered + 300, vec![], vec![end]));
    assert_eq!(final_stages(&mut rig), vec![JobStage::Completed]);
    assert!(rig.peek_starts().is_empty(), "the task ran once");
}

/// A write that was in flight when its worker went down acknowledges nothing to the next
/// incarnation.
fn a_write_for_the_old_incarnation_acknowledges_nothing() {
    let (mut rig, first) = with_first_run();
    let end = end_report(1, first, RunOutcome::Done);
    let clock = FIRST_CLOCK_MS + rig.now;
    rig.answer_renewal("w-1", renewal_report(1, clock, vec![], vec![end]));
    rig.advance(50);
    let batch = rig.take_commit().expect("the end is written");
    restart_worker(&mut rig, 1_000);
    rig.handle(JobEvent::Committed(batch.id));
    rig.answer_renewal("w-1", renewal_report(2, 1_050, vec![], vec![]));
    rig.advance(50);
    assert_eq!(
        acknowledged(&rig),
        0,
        "nothing of this incarnation was recorded"
    );
}

/// An entry of the old incarnation says nothing about the new one, which may have another service
/// or capacity or be about to drain. The new incarnation gets no tasks until a list shows it.
fn an_entry_of_the_old_incarnation_says_nothing() {
    let listed = |incarnation, cpu| WorkerListing {
        incarnation: Some(WorkerIncarnation(incarnation)),
        capacity: ResourceSize::new(cpu, 64_000, 0),
        ..listing("w-1")
    };
    let mut rig = after_three_ends();
    rig.list_entries(vec![listed(1, 16_000)]);
    rig.fail_renewal("w-1");
    rig.advance(500);
    rig.answer_renewal("w-1", renewal_report(2, 1_000, vec![], vec![]));
    rig.hand_in(2, 2, job(vec![step(4)]));
    rig.advance(100);
    assert!(rig.peek_starts().is_empty(), "its capacity is not known");
    rig.list_entries(vec![listed(1, 16_000)]);
    rig.advance(100);
    assert!(rig.peek_starts().is_empty(), "the list is outdated");
    rig.list_entries(vec![listed(2, 2_000)]);
    rig.advance(100);
    assert_eq!(rig.peek_starts().len(), 2, "two tasks fit");
}

/// An order for the old incarnation may reach the new one, whose clock is hours behind: it then
/// grants the longest lease that the worker allows. If the worker falls silent after that, its run
/// is given up only once that lease is over.
fn a_lease_by_the_old_incarnations_clock_is_waited_for() {
    let mut rig = after_three_ends();
    rig.hand_in(2, 2, job(vec![step(1)]));
    rig.advance(50);
    let started = take_starts(&mut rig, 1_000);
    rig.answer_renewal(
        "w-1",
        renewal_report(2, 1_010, vec![run_report(started[0])], vec![]),
    );
    rig.list(&["w-1", "w-2"]);
    rig.commit_all();
    rig.report("w-2", vec![], vec![]);
    for _ in 0..56 {
        rig.advance(100);
        rig.fail_renewal("w-1");
        rig.report("w-2", vec![], vec![]);
        assert!(rig.peek_starts().is_empty(), "its lease lasts 6 s");
    }
    for _ in 0..10 {
        rig.advance(100);
        rig.fail_renewal("w-1");
        rig.report("w-2", vec![], vec![]);
    }
    assert_eq!(rig.peek_starts().len(), 1, "its lease is over");
}

/// A worker reports a run of a job that the owner has not read yet. The run is gone with the worker
/// or its incarnation, and the task starts elsewhere as soon as the job is known.
fn a_run_of_an_unread_job_is_lost_with_its_worker(lose: impl Fn(&mut SchedulerRig)) {
    let mut rig = SchedulerRig::new(TakeoverInfo {
        epoch: 2,
        claim_version: 10,
        ..TakeoverInfo::first(2, 1_000)
    });
    rig.list(&["w-1"]);
    let run = RunKey {
        task: task(7, 0, 0),
        run: 1_048_577,
    };
    rig.answer_renewal(
        "w-1",
        renewal_report(1, FIRST_CLOCK_MS, vec![run_report(run)], vec![]),
    );
    rig.advance(50);
    lose(&mut rig);
    rig.list(&["w-2"]);
    rig.report("w-2", vec![], vec![]);
    rig.advance(6_000);
    rig.report("w-2", vec![], vec![]);
    rig.hand_in(7, 11, job(vec![step(1)]));
    rig.report("w-2", vec![], vec![]);
    rig.advance(500);
    let starts = rig.peek_starts();
    assert_eq!(starts.len(), 1, "nobody has the task");
    assert_eq!(starts[0].0, "w-2");
}

fn replace(rig: &mut SchedulerRig) {
    let replaced = RenewalAnswer::Failed(OrderAnswer::Replaced);
    rig.handle(JobEvent::RenewalAnswered(WorkerId::from("w-1"), replaced));
}

/// The final states that are written for job 2.
fn final_stages(rig: &mut SchedulerRig) -> Vec<JobStage> {
    let written = rig.commit_all();
    let rows = written.into_iter().flat_map(|batch| batch.progress);
    let rows = rows.filter(|(number, _)| *number == JobNumber(2));
    let stages = rows.map(|(_, row)| row.stage);
    stages.filter(|stage| stage.is_final()).collect()
}

sandshelf_cases::cases! {
    end_of_a_new_incarnation_with_a_clock_behind => an_end_of_the_new_incarnation_counts(1_000);
    end_of_a_new_incarnation_with_a_clock_ahead => an_end_of_the_new_incarnation_counts(90 * FIRST_CLOCK_MS);
    order_answered_by_another_incarnation => an_order_is_answered_by_another_incarnation(1_000, 1, FIRST_CLOCK_MS + 1_500);
    order_answered_by_a_polled_incarnation => an_order_is_answered_by_another_incarnation(1_000, 2, 1_010);
    order_answered_with_a_fitting_clock => an_order_is_answered_by_another_incarnation(FIRST_CLOCK_MS + 1_200, 2, FIRST_CLOCK_MS + 1_210);
    late_write => a_late_write_is_followed_by_a_renewal();
    entry_of_the_old_incarnation => an_entry_of_the_old_incarnation_says_nothing();
    lease_by_the_old_incarnations_clock => a_lease_by_the_old_incarnations_clock_is_waited_for();
    run_of_an_unread_job_on_a_worker_that_restarts => {
        a_run_of_an_unread_job_is_lost_with_its_worker(|rig| {
            rig.answer_renewal("w-1", renewal_report(2, 1_000, vec![], vec![]));
        });
    };
    run_of_an_unread_job_on_a_worker_that_is_replaced => a_run_of_an_unread_job_is_lost_with_its_worker(replace);
    write_for_the_old_incarnation => a_write_for_the_old_incarnation_acknowledges_nothing();
    unanswered_start => an_unanswered_start_delays_acknowledgements();
    standing_task_back_with_a_clock_behind => a_standing_task_is_back_at_once(1_000);
    standing_task_back_with_a_clock_ahead => a_standing_task_is_back_at_once(90 * FIRST_CLOCK_MS);
}
