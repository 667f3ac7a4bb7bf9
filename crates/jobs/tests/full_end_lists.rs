//! A worker that has more ends to list than a list holds.
//!
//! Guards against tasks that run again although they have ended as done. While the store is out nothing can be acknowledged, and a worker
//! soon has more ends than the 500 that a list holds. The runs whose ends are not among them are neither running nor listed as ended; the
//! owner took them for lost and started their tasks again.

mod support;

use std::collections::BTreeSet;

use sandshelf_jobs::{EndReport, RunKey, RunOutcome, StepSpec, TaskKey};
use sandshelf_model::ResourceSize;
use support::{end_report, job, run_report, second_owner, step, task, SchedulerRig};

/// The most ends in one list of a worker.
const MAX_LISTED_ENDS: usize = 500;
const WORKER: &str = "w-1";

/// A step of this number of tasks, all of which one worker has room for.
fn short_tasks(count: usize) -> StepSpec {
    StepSpec {
        size: ResourceSize::new(10, 10, 0),
        ..step(count as u32)
    }
}

/// An owner whose only worker runs this number of short tasks.
fn owner_of_tasks(count: usize) -> (SchedulerRig, Vec<RunKey>) {
    let mut rig = SchedulerRig::with_workers(&[WORKER]);
    rig.hand_in(7, 0, job(vec![short_tasks(count)]));
    let mut running = Vec::new();
    while running.len() < count {
        let starts = rig.take_starts();
        running.extend(starts.iter().map(|(_, start)| start.key));
        rig.report(
            WORKER,
            running.iter().copied().map(run_report).collect(),
            vec![],
        );
        rig.advance(25);
        assert!(rig.now < 20_000, "{} of {count} started", running.len());
    }
    (rig, running)
}

/// Ends beyond a full list are neither lost nor run again, and complete the job once they are listed.
fn tasks_with_unlisted_ends_run_once(count: usize) {
    let (mut rig, running) = owner_of_tasks(count);
    let ends = running.iter().zip(1..);
    let ends: Vec<EndReport> = ends
        .map(|(run, number)| end_report(number, *run, RunOutcome::Done))
        .collect();
    for _ in 0..10 {
        let listed = ends.iter().take(MAX_LISTED_ENDS).cloned();
        rig.report(WORKER, vec![], listed.collect());
        rig.advance(100);
    }
    let again: BTreeSet<TaskKey> = rig
        .peek_starts()
        .iter()
        .map(|(_, start)| start.key.task)
        .collect();
    assert_eq!(again.len(), 0, "tasks that run again");
    let mut batches = rig.commit_all();
    let rest = ends.iter().skip(MAX_LISTED_ENDS).cloned();
    rig.report(WORKER, vec![], rest.collect());
    batches.extend(rig.commit_all());
    let rows = batches.into_iter().flat_map(|batch| batch.progress);
    let stage = rows.last().map(|(_, row)| row.stage);
    assert_eq!(stage, Some(sandshelf_jobs::JobStage::Completed));
}

/// A new owner of `count` short tasks, all of which have ended on its only worker, and the ends that the worker has to list.
fn successor_of_ended_tasks(count: usize) -> (SchedulerRig, Vec<EndReport>) {
    let mut rig = SchedulerRig::new(second_owner(&[WORKER]));
    rig.hand_in(7, 50, job(vec![short_tasks(count)]));
    rig.list(&[WORKER]);
    let tasks = (0..count).map(|index| task(7, 0, index as u32));
    let ends = tasks.zip(1..).map(|(task, number)| {
        let key = RunKey { task, run: 11 };
        end_report(number, key, RunOutcome::Done)
    });
    (rig, ends.collect())
}

/// A new owner starts no task whose end is beyond the first full list of its worker.
fn tasks_with_unlisted_ends_run_once_after_a_takeover() {
    let (mut rig, ends) = successor_of_ended_tasks(MAX_LISTED_ENDS + 100);
    rig.report(WORKER, vec![], ends[..MAX_LISTED_ENDS].to_vec());
    let mut batches = rig.commit_all();
    rig.report(WORKER, vec![], ends[MAX_LISTED_ENDS..].to_vec());
    batches.extend(rig.commit_all());
    assert_eq!(rig.peek_starts().len(), 0, "tasks that run again");
    let rows = batches.into_iter().flat_map(|batch| batch.progress);
    let stage = rows.last().map(|(_, row)| row.stage);
    assert_eq!(stage, Some(sandshelf_jobs::JobStage::Completed));
}

/// Guards against a takeover that ends while a full list hides ends: the store is out again right after the claim, so that nothing can be
/// acknowledged and the rest of the list is not read.
fn tasks_with_unlisted_ends_run_once_after_the_takeover_wait() {
    let (mut rig, ends) = successor_of_ended_tasks(MAX_LISTED_ENDS + 100);
    let claimed_at = rig.now;
    while rig.now < claimed_at + 10_000 {
        rig.report(WORKER, vec![], ends[..MAX_LISTED_ENDS].to_vec());
        rig.advance(100);
        let starts = rig.peek_starts().len();
        let waited_ms = rig.now - claimed_at;
        assert_eq!(
            starts, 0,
            "tasks that run again {waited_ms} ms after the claim"
        );
    }
}

sandshelf_cases::cases! {
    ends_beyond_a_full_list_after_the_takeover_wait => tasks_with_unlisted_ends_run_once_after_the_takeover_wait();
    ends_beyond_a_full_list_at_a_takeover => tasks_with_unlisted_ends_run_once_after_a_takeover();
    ends_that_fill_a_list => tasks_with_unlisted_ends_run_once(MAX_LISTED_ENDS - 1);
    ends_beyond_a_full_list => tasks_with_unlisted_ends_run_once(MAX_LISTED_ENDS + 100);
}
