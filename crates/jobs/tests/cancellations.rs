//! Cancellations of jobs that the owner doesn't know.

mod support;

use sandshelf_jobs::{JobEvent, JobNumber, TakeoverInfo};
use support::{job, second_owner, step, SchedulerRig};

const JOB: u64 = 7;
/// How long finished jobs, and cancellations of unknown ones, are kept.
const KEPT_MS: u64 = 120_000;

fn cancel(rig: &mut SchedulerRig) {
    rig.handle(JobEvent::CancelAsked(JobNumber(JOB)));
}

/// The jobs whose rows all pending and later writes remove.
fn forgotten(rig: &mut SchedulerRig) -> Vec<JobNumber> {
    let batches = rig.commit_all().into_iter();
    batches.flat_map(|batch| batch.forget).collect()
}

/// Guards against cancellations of unknown jobs that stay in the store for ever, or go while a late submission may still come.
fn a_cancellation_is_removed_late(takeover: bool) {
    let mut rig = match takeover {
        true => SchedulerRig::new(second_owner(&["w-1"])),
        false => SchedulerRig::new(TakeoverInfo::first(1, 1_000)),
    };
    cancel(&mut rig);
    rig.advance(KEPT_MS - 2_000);
    // The rows of jobs are listed again where the store has lost its history.
    cancel(&mut rig);
    assert_eq!(forgotten(&mut rig), vec![]);
    rig.advance(3_000);
    assert_eq!(forgotten(&mut rig), vec![JobNumber(JOB)]);
    cancel(&mut rig);
    rig.advance(KEPT_MS + 1_000);
    assert_eq!(forgotten(&mut rig), vec![], "it is removed once");
}

/// Guards against a job that runs although its cancellation is older, as a host of an earlier version may write it.
fn a_job_after_its_cancellation_never_runs() {
    let mut rig = SchedulerRig::with_workers(&["w-1"]);
    cancel(&mut rig);
    rig.hand_in(JOB, 50, job(vec![step(2)]));
    rig.advance(1_000);
    assert!(rig.take_starts().is_empty());
}

sandshelf_cases::cases! {
    removed_by_the_first_owner => a_cancellation_is_removed_late(false);
    removed_by_a_successor => a_cancellation_is_removed_late(true);
    job_after_its_cancellation => a_job_after_its_cancellation_never_runs();
}
