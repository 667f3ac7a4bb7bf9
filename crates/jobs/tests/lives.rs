//! Workers that start again under the name that they had.
//!
//! Workers went down and were back half a second later under their names. Tasks that they then ran were done and ran once more elsewhere, and
//! standing tasks of before stayed away for 29 s. In the owner's log no worker had gone. All its lines `run_lost cause=notthere` named workers that had
//! started again, some with a `heard_ms` of hours. Their counts and clocks had started anew, while the owner went on with what it knew of the life
//! before: it took ends whose numbers it knew for ends that it knew, and acknowledged them in the same call; and a run of before counted as missing only
//! once the clock was past the time at which it had begun in the life before.

mod support;

use sandshelf_jobs::{
    EndReport, JobAction, JobEvent, JobNumber, JobStage, OrderAnswer, RenewalAnswer, RenewalReport,
    RunKey, RunOutcome, RunReport, StepSpec, TakeoverInfo, WorkerCall, WorkerIncarnation,
    WorkerListing,
};
use sandshelf_model::{ResourceSize, WorkerId};
use support::{end_report, job, listing, run_report, step, task, SchedulerRig};

/// What the clock of a worker's first life shows when the rig's shows nothing.
const FIRST_CLOCK: u64 = 4_000_000;

/// A worker's report in one of its lives.
fn told(life: u64, clock: u64, running: Vec<RunReport>, ended: Vec<EndReport>) -> RenewalReport {
    RenewalReport {
        incarnation: Some(WorkerIncarnation(life)),
        carrier_late_ms: 0,
        clock,
        running,
        ended,
    }
}

/// An owner whose worker has ended three tasks in its first life, all acknowledged.
fn after_three_ends() -> SchedulerRig {
    let mut rig = SchedulerRig::new(TakeoverInfo::first(1, 1_000));
    rig.list(&["w-1"]);
    rig.answer_renewal("w-1", told(1, FIRST_CLOCK + rig.now, vec![], vec![]));
    rig.hand_in(1, 1, job(vec![step(3)]));
    rig.advance(50);
    let clock = FIRST_CLOCK + rig.now;
    let started = take_starts(&mut rig, clock);
    let ends = started.iter().zip(1..);
    let ends = ends.map(|(key, number)| end_report(number, *key, RunOutcome::Done));
    rig.answer_renewal("w-1", told(1, clock, vec![], ends.collect()));
    rig.commit_all();
    assert_eq!(acknowledged(&rig), 3, "all ends are durable");
    rig
}

/// An owner whose worker has begun one task in its first life; what is known of it is durable.
fn with_first_run() -> (SchedulerRig, RunKey) {
    let mut rig = SchedulerRig::new(TakeoverInfo::first(1, 1_000));
    rig.list(&["w-1"]);
    rig.answer_renewal("w-1", told(1, FIRST_CLOCK + rig.now, vec![], vec![]));
    rig.commit_all();
    rig.hand_in(1, 1, job(vec![step(1)]));
    rig.advance(50);
    let began = FIRST_CLOCK + rig.now;
    let started = take_starts(&mut rig, began);
    rig.commit_all();
    (rig, started[0])
}

/// Answers all orders to start with a clock; returns their runs.
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

/// The number of the newest end that the newest hold acknowledges.
fn acknowledged(rig: &SchedulerRig) -> u64 {
    let mut holds = rig.actions.iter().rev().filter_map(|action| match action {
        JobAction::Call {
            call: WorkerCall::Renew(hold),
            ..
        } => Some(hold.last_seen),
        _ => None,
    });
    holds.next().expect("a hold was sent")
}

/// The worker's connections break and it is back in another life, whose clock shows this.
fn start_again(rig: &mut SchedulerRig, clock: u64) {
    rig.fail_renewal("w-1");
    rig.advance(500);
    rig.answer_renewal("w-1", told(2, clock, vec![], vec![]));
    rig.list(&["w-1"]);
}

/// A task that ends as done on a worker that has started again is done, whatever its clock shows: its end bears a number that an end
/// of the life before bore.
fn an_end_of_the_new_life_counts(clock: u64) {
    let mut rig = after_three_ends();
    start_again(&mut rig, clock);
    rig.hand_in(2, 2, job(vec![step(1)]));
    rig.advance(50);
    let started = take_starts(&mut rig, clock + 50);
    assert_eq!(started.len(), 1, "the worker is open");
    rig.advance(100);
    assert_eq!(acknowledged(&rig), 0, "nothing of this life was taken in");
    let end = end_report(1, started[0], RunOutcome::Done);
    rig.answer_renewal("w-1", told(2, clock + 150, vec![], vec![end]));
    assert_eq!(final_stages(&mut rig), vec![JobStage::Completed]);
    assert!(rig.peek_starts().is_empty(), "the task ran once");
}

/// A standing task is started again as soon as its worker has, whatever the worker's clock shows.
fn a_standing_task_is_back_at_once(clock: u64) {
    let mut rig = SchedulerRig::new(TakeoverInfo::first(1, 1_000));
    rig.list(&["w-1"]);
    rig.answer_renewal("w-1", told(1, FIRST_CLOCK + rig.now, vec![], vec![]));
    let standing = StepSpec {
        standing: true,
        ..step(1)
    };
    rig.hand_in(1, 1, job(vec![standing]));
    rig.advance(50);
    let first = FIRST_CLOCK + rig.now;
    let started = take_starts(&mut rig, first);
    rig.advance(500);
    let running = vec![run_report(started[0])];
    rig.answer_renewal("w-1", told(1, first + 500, running, vec![]));
    rig.advance(500);
    start_again(&mut rig, clock);
    rig.advance(300);
    let again = take_starts(&mut rig, clock + 300);
    assert_eq!(again.len(), 1, "the task has gone with the life before");
    assert!(again[0].run > started[0].run);
}

/// While an order to start has no answer nothing is acknowledged: a life that nobody has heard of may have carried it out, and have
/// ended the run under a number of the life before.
fn a_start_without_an_answer_holds_acknowledgements_back() {
    let (mut rig, first) = with_first_run();
    rig.hand_in(2, 2, job(vec![step(1)]));
    rig.advance(50);
    let open = rig.peek_starts();
    assert_eq!(open.len(), 1, "the worker is open");
    let end = end_report(1, first, RunOutcome::Done);
    rig.answer_renewal(
        "w-1",
        told(1, FIRST_CLOCK + rig.now, vec![], vec![end.clone()]),
    );
    rig.commit_all();
    rig.advance(600);
    assert_eq!(acknowledged(&rig), 0, "who has the start is not known");
    let running = vec![run_report(open[0].1.key)];
    rig.answer_renewal("w-1", told(1, FIRST_CLOCK + rig.now, running, vec![end]));
    rig.advance(50);
    assert_eq!(acknowledged(&rig), 1, "the life that is known has it");
}

/// Ends are acknowledged only to a life that was heard a moment ago: by a look that asks for nothing else first, where that was longer ago.
fn a_late_write_is_followed_by_a_look() {
    let (mut rig, first) = with_first_run();
    let end = end_report(1, first, RunOutcome::Done);
    rig.answer_renewal(
        "w-1",
        told(1, FIRST_CLOCK + rig.now, vec![], vec![end.clone()]),
    );
    rig.advance(50);
    let batch = rig.take_commit().expect("the end is written");
    rig.advance(150);
    rig.handle(JobEvent::Committed(batch.id));
    rig.advance(25);
    assert_eq!(acknowledged(&rig), 0, "it may have started again since");
    rig.answer_renewal("w-1", told(1, FIRST_CLOCK + rig.now, vec![], vec![end]));
    rig.advance(25);
    assert_eq!(acknowledged(&rig), 1);
}

/// An order that another life has answered says nothing of the one that is known: the run is not missing where a look that went out before
/// the answer doesn't list it, whichever life answers that look. It is not started a second time, and its end counts. That holds also
/// where the other life's clock happens to fit.
fn an_order_is_answered_by_another_life(answered: u64, looked_at: u64, clock: u64) {
    let mut rig = after_three_ends();
    rig.hand_in(2, 2, job(vec![step(1)]));
    rig.advance(50);
    let started = take_starts(&mut rig, answered);
    rig.answer_renewal("w-1", told(looked_at, clock, vec![], vec![]));
    rig.advance(25);
    assert!(rig.peek_starts().is_empty(), "the new life may have it");
    let end = end_report(1, started[0], RunOutcome::Done);
    rig.answer_renewal("w-1", told(2, answered + 300, vec![], vec![end]));
    assert_eq!(final_stages(&mut rig), vec![JobStage::Completed]);
    assert!(rig.peek_starts().is_empty(), "the task ran once");
}

/// A write that was under way when its worker went down acknowledges nothing of the next life.
fn a_write_of_the_life_before_says_nothing() {
    let (mut rig, first) = with_first_run();
    let end = end_report(1, first, RunOutcome::Done);
    let clock = FIRST_CLOCK + rig.now;
    rig.answer_renewal("w-1", told(1, clock, vec![], vec![end]));
    rig.advance(50);
    let batch = rig.take_commit().expect("the end is written");
    start_again(&mut rig, 1_000);
    rig.handle(JobEvent::Committed(batch.id));
    rig.answer_renewal("w-1", told(2, 1_050, vec![], vec![]));
    rig.advance(50);
    assert_eq!(acknowledged(&rig), 0, "nothing of this life was taken in");
}

/// What a list shows of the life before says nothing of the new one, which may be of another kind, have another room or be about to leave:
/// it gets nothing until a list shows it.
fn an_entry_of_the_life_before_says_nothing() {
    let shown = |life, cpu| WorkerListing {
        incarnation: Some(WorkerIncarnation(life)),
        capacity: ResourceSize::new(cpu, 64_000, 0),
        ..listing("w-1")
    };
    let mut rig = after_three_ends();
    rig.list_entries(vec![shown(1, 16_000)]);
    rig.fail_renewal("w-1");
    rig.advance(500);
    rig.answer_renewal("w-1", told(2, 1_000, vec![], vec![]));
    rig.hand_in(2, 2, job(vec![step(4)]));
    rig.advance(100);
    assert!(rig.peek_starts().is_empty(), "its room is not known");
    rig.list_entries(vec![shown(1, 16_000)]);
    rig.advance(100);
    assert!(rig.peek_starts().is_empty(), "the list is an old one");
    rig.list_entries(vec![shown(2, 2_000)]);
    rig.advance(100);
    assert_eq!(rig.peek_starts().len(), 2, "two fit");
}

/// An order of the life before may reach the new one, whose clock is hours behind: it leases what runs there for as long as the worker allows.
/// Where the worker then falls silent, its run is given up only once that is over.
fn a_lease_by_the_clock_of_the_life_before_is_waited_for() {
    let mut rig = after_three_ends();
    rig.hand_in(2, 2, job(vec![step(1)]));
    rig.advance(50);
    let started = take_starts(&mut rig, 1_000);
    rig.answer_renewal("w-1", told(2, 1_010, vec![run_report(started[0])], vec![]));
    rig.list(&["w-1", "w-2"]);
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
    assert_eq!(rig.peek_starts().len(), 1, "it is over");
}

/// A run that a worker reported of a job that has yet to be read is gone with that worker or its life: its task starts elsewhere as soon as
/// the job is known.
fn a_run_of_an_unread_job_goes_with_its_worker(lose: impl Fn(&mut SchedulerRig)) {
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
    rig.answer_renewal("w-1", told(1, FIRST_CLOCK, vec![run_report(run)], vec![]));
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

/// The final states that are written of the second job.
fn final_stages(rig: &mut SchedulerRig) -> Vec<JobStage> {
    let written = rig.commit_all();
    let rows = written.into_iter().flat_map(|batch| batch.progress);
    let rows = rows.filter(|(number, _)| *number == JobNumber(2));
    let stages = rows.map(|(_, row)| row.stage);
    stages.filter(|stage| stage.is_final()).collect()
}

sandshelf_cases::cases! {
    end_of_a_new_life_with_a_clock_behind => an_end_of_the_new_life_counts(1_000);
    end_of_a_new_life_with_a_clock_ahead => an_end_of_the_new_life_counts(90 * FIRST_CLOCK);
    order_answered_by_another_life => an_order_is_answered_by_another_life(1_000, 1, FIRST_CLOCK + 1_500);
    order_answered_by_a_life_looked_at => an_order_is_answered_by_another_life(1_000, 2, 1_010);
    order_answered_by_a_clock_that_fits => an_order_is_answered_by_another_life(FIRST_CLOCK + 1_200, 2, FIRST_CLOCK + 1_210);
    late_write => a_late_write_is_followed_by_a_look();
    entry_of_the_life_before => an_entry_of_the_life_before_says_nothing();
    lease_by_the_clock_of_the_life_before => a_lease_by_the_clock_of_the_life_before_is_waited_for();
    run_of_an_unread_job_on_a_worker_that_restarts => {
        a_run_of_an_unread_job_goes_with_its_worker(|rig| {
            rig.answer_renewal("w-1", told(2, 1_000, vec![], vec![]));
        });
    };
    run_of_an_unread_job_on_a_worker_that_is_replaced => a_run_of_an_unread_job_goes_with_its_worker(replace);
    write_of_the_life_before => a_write_of_the_life_before_says_nothing();
    start_without_an_answer => a_start_without_an_answer_holds_acknowledgements_back();
    standing_task_back_with_a_clock_behind => a_standing_task_is_back_at_once(1_000);
    standing_task_back_with_a_clock_ahead => a_standing_task_is_back_at_once(90 * FIRST_CLOCK);
}
