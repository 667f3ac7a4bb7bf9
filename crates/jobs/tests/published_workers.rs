//! Workers of which a commit in flight writes another state than the owner knows by the time it takes effect.

mod support;

use sandshelf_jobs::{CommitBatch, JobAction, JobEvent, TakeoverInfo, WorkerListing};
use support::{job, listing, step, SchedulerRig};

fn take_commits(rig: &mut SchedulerRig) -> Vec<CommitBatch> {
    let mut commits = Vec::new();
    rig.actions.retain(|action| match action {
        JobAction::Commit(batch) => {
            commits.push(batch.clone());
            false
        }
        _ => true,
    });
    commits
}

fn names(batch: &CommitBatch) -> Vec<String> {
    let pages = batch.roster.pages.values();
    let workers = pages.flat_map(|page| page.workers.iter());
    workers.map(|(worker, _)| worker.to_string()).collect()
}

fn draining(name: &str) -> WorkerListing {
    WorkerListing {
        draining: true,
        ..listing(name)
    }
}

/// Guards against a worker that leaves the roster and returns while the commit that names it is in flight, and the next one doesn't.
fn a_worker_that_returned_meanwhile_waits_for_the_next_commit() {
    let mut rig = SchedulerRig::new(TakeoverInfo::first(1, 1_000));
    rig.defers_roster = true;
    rig.list(&["w-1"]);
    rig.report("w-1", vec![], vec![]);
    rig.advance(50);
    let first = take_commits(&mut rig).pop().expect("a commit");
    assert_eq!(names(&first), ["w-1"]);
    rig.list_entries(vec![draining("w-1")]);
    rig.report("w-1", vec![], vec![]);
    rig.advance(200);
    rig.list(&["w-1"]);
    rig.report("w-1", vec![], vec![]);
    rig.advance(200);
    rig.hand_in(7, 0, job(vec![step(1)]));
    rig.handle(JobEvent::Committed(first.id));
    rig.report("w-1", vec![], vec![]);
    rig.advance(100);
    assert_eq!(rig.peek_starts().len(), 0);
    let second = take_commits(&mut rig).pop().expect("a commit");
    assert_eq!(names(&second), ["w-1"]);
    rig.handle(JobEvent::Committed(second.id));
    rig.report("w-1", vec![], vec![]);
    rig.advance(100);
    assert_eq!(rig.peek_starts().len(), 1);
}

/// The same, but the worker returns only once the commit that removes it is in flight.
fn a_worker_that_returned_during_its_removal_waits_for_the_next_commit() {
    let mut rig = SchedulerRig::new(TakeoverInfo::first(1, 1_000));
    rig.list(&["w-1"]);
    rig.report("w-1", vec![], vec![]);
    rig.commit_all();
    rig.defers_roster = true;
    rig.list_entries(vec![draining("w-1")]);
    rig.report("w-1", vec![], vec![]);
    rig.advance(200);
    let removal = take_commits(&mut rig).pop().expect("a commit");
    assert_eq!((removal.roster.pages.len(), names(&removal).len()), (1, 0));
    rig.list(&["w-1"]);
    rig.report("w-1", vec![], vec![]);
    rig.hand_in(7, 0, job(vec![step(1)]));
    rig.advance(200);
    assert_eq!(rig.peek_starts().len(), 0);
    rig.handle(JobEvent::Committed(removal.id));
    rig.report("w-1", vec![], vec![]);
    rig.advance(100);
    assert_eq!(
        rig.peek_starts().len(),
        0,
        "before the worker is named again"
    );
    let second = take_commits(&mut rig).pop().expect("a commit");
    assert_eq!(names(&second), ["w-1"]);
    rig.handle(JobEvent::Committed(second.id));
    rig.report("w-1", vec![], vec![]);
    rig.advance(100);
    assert_eq!(rig.peek_starts().len(), 1);
}

sandshelf_cases::cases! {
    returned_before_the_commit => a_worker_that_returned_meanwhile_waits_for_the_next_commit();
    returned_during_its_removal => a_worker_that_returned_during_its_removal_waits_for_the_next_commit();
}
