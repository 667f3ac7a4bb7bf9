//! Several runs of one task on different workers, whoever started them: all but one are stopped,
//! and none is forgotten.

mod support;

use sandshelf_jobs::{JobEvent, JobNumber, OrderAnswer, RunKey, RunOutcome, StartCall};
use sandshelf_model::WorkerId;
use support::{end_report, job, listing, run_report, second_owner, step, task, SchedulerRig};

const WORKERS: [&str; 3] = ["w-1", "w-2", "w-3"];

fn key(run: u64) -> RunKey {
    RunKey {
        task: task(7, 0, 0),
        run,
    }
}

/// An owner of epoch 2 that takes over a job of one task, and three workers that have not answered.
fn successor() -> SchedulerRig {
    let mut rig = SchedulerRig::new(second_owner(&WORKERS));
    rig.hand_in(7, 50, job(vec![step(1)]));
    rig.list(&WORKERS);
    rig
}

/// Of the runs that workers report only the first one stays; a stop is sent again until it is
/// answered.
fn all_but_one_are_stopped(listed: &[u64]) {
    let mut rig = successor();
    for (worker, run) in WORKERS.iter().zip(listed) {
        rig.report(worker, vec![run_report(key(*run))], vec![]);
    }
    for worker in &WORKERS[listed.len()..] {
        rig.report(worker, vec![], vec![]);
    }
    let expected: Vec<(String, RunKey)> = WORKERS
        .iter()
        .zip(listed)
        .skip(1)
        .map(|(worker, run)| ((*worker).to_owned(), key(*run)))
        .collect();
    assert_eq!(rig.stops(), expected);
    rig.actions.clear();
    rig.advance(2_000);
    for stop in &expected {
        assert!(rig.stops().contains(stop), "{stop:?} is not sent again");
    }
    assert!(rig.take_starts().is_empty());
}

/// The end of a run that was stopped as a duplicate does not free the task, whatever its outcome;
/// once one of the runs is done the other one is stopped.
fn the_end_of_another_run_starts_nothing(outcome: RunOutcome) {
    let mut rig = successor();
    rig.report("w-1", vec![run_report(key(11))], vec![]);
    rig.report("w-2", vec![run_report(key(12))], vec![]);
    rig.report("w-3", vec![], vec![]);
    rig.actions.clear();
    rig.report("w-2", vec![], vec![end_report(1, key(12), outcome)]);
    for _ in 0..10 {
        rig.advance(200);
        rig.report("w-1", vec![run_report(key(11))], vec![]);
        rig.report("w-3", vec![], vec![]);
    }
    assert_eq!(rig.take_starts(), Vec::new());
    let stopped = rig.stops().contains(&("w-1".to_owned(), key(11)));
    assert_eq!(stopped, outcome == RunOutcome::Done);
}

/// A run whose stop was answered, but which answers to later renewals still list, is stopped again.
fn a_stop_without_effect_is_sent_again() {
    let mut rig = successor();
    rig.report("w-1", vec![run_report(key(11))], vec![]);
    rig.report("w-2", vec![run_report(key(12))], vec![]);
    rig.report("w-3", vec![], vec![]);
    let second = key(12);
    let done = OrderAnswer::Done(rig.now);
    rig.handle(JobEvent::StopAnswered(WorkerId::from("w-2"), second, done));
    rig.actions.clear();
    for _ in 0..20 {
        rig.advance(250);
        rig.report("w-1", vec![run_report(key(11))], vec![]);
        rig.report("w-2", vec![run_report(second)], vec![]);
    }
    assert!(rig.stops().contains(&("w-2".to_owned(), second)));
}

/// A reported run of an ended job is stopped, even if the owner no longer knows the job.
fn a_run_of_an_ended_job_is_stopped() {
    let mut rig = successor();
    rig.report("w-1", vec![run_report(key(11))], vec![]);
    rig.report("w-2", vec![], vec![]);
    rig.report("w-3", vec![], vec![]);
    rig.handle(JobEvent::CancelAsked(JobNumber(7)));
    rig.commit_all();
    rig.actions.clear();
    rig.report("w-2", vec![run_report(key(12))], vec![]);
    assert_eq!(rig.stops(), [("w-2".to_owned(), key(12))]);
}

/// A worker was silent until its lease was over and then reports its run again. The run is accepted
/// if no other was started, and stopped if one was.
fn a_run_that_was_given_up_is_reported_again(restarted: bool) {
    let mut rig = SchedulerRig::with_workers(&["w-1", "w-2"]);
    rig.hand_in(7, 0, job(vec![step(1)]));
    let (worker, start) = rig.take_starts().pop().expect("a start");
    assert_eq!(worker, "w-1");
    rig.report("w-1", vec![run_report(start.key)], vec![]);
    if !restarted {
        rig.list_entries(vec![listing("w-1")]);
    }
    let mut others = Vec::new();
    for _ in 0..80 {
        rig.advance(100);
        rig.fail_renewal("w-1");
        let running = others
            .iter()
            .map(|(_, other): &(_, StartCall)| run_report(other.key));
        let running = running.collect();
        if restarted {
            rig.report("w-2", running, vec![]);
        }
        // The record of the loss has to be durable before the task starts again.
        rig.commit_all();
        others.extend(rig.take_starts());
    }
    assert_eq!(others.len(), usize::from(restarted), "{others:?}");
    rig.actions.clear();
    rig.report("w-1", vec![run_report(start.key)], vec![]);
    rig.advance(100);
    let stopped = rig.stops().contains(&("w-1".to_owned(), start.key));
    assert_eq!(stopped, restarted);
    assert!(rig.take_starts().is_empty());
    let outcome = match stopped {
        true => RunOutcome::Stopped,
        false => RunOutcome::Done,
    };
    rig.report("w-1", vec![], vec![end_report(1, start.key, outcome)]);
    rig.advance(100);
    assert!(rig.take_starts().is_empty());
    // A run that was accepted again completes the task.
    let finished = rig.scheduler.counts(rig.now).jobs == 0;
    assert_eq!(finished, !restarted);
}

sandshelf_cases::cases! {
    two_listed => all_but_one_are_stopped(&[11, 12]);
    two_listed_newest_first => all_but_one_are_stopped(&[12, 11]);
    three_listed => all_but_one_are_stopped(&[11, 12, 13]);
    end_of_a_stopped_run => the_end_of_another_run_starts_nothing(RunOutcome::Stopped);
    end_of_a_failed_run => the_end_of_another_run_starts_nothing(RunOutcome::Failed);
    end_of_a_lapsed_run => the_end_of_another_run_starts_nothing(RunOutcome::Lapsed);
    end_of_a_done_run => the_end_of_another_run_starts_nothing(RunOutcome::Done);
    stop_without_effect => a_stop_without_effect_is_sent_again();
    run_of_an_ended_job => a_run_of_an_ended_job_is_stopped();
    given_up_and_restarted => a_run_that_was_given_up_is_reported_again(true);
    given_up_and_waiting => a_run_that_was_given_up_is_reported_again(false);
}
