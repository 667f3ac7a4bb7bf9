//! Where an owner takes a run to be over although its worker's lease may still last.
//!
//! A run is over only by its end, by an answer that excludes it, or once its lease must have run out. A task whose run was given up before
//! that ran twice at once, or again after an end that was acknowledged.

mod support;

use sandshelf_jobs::{
    JobEvent, OrderAnswer, RenewalAnswer, RunKey, RunOutcome, StartCall, StepSpec, TakeoverInfo,
    WorkerListing,
};
use sandshelf_model::{Millis, ResourceSize, WorkerId};
use support::{end_report, job, listing, run_report, second_owner, step, task, SchedulerRig};

/// How long a worker is silent before its owner forgets it: 1.2 s, and the intervals at which workers are called and checked.
const FORGOTTEN_AFTER_MS: Millis = 1_400;
/// How much later than the end of a lease the task starts at most: a successor that trusts no published length waits until 8.1 s after
/// its claim.
const LONGEST_DELAY_MS: Millis = 3_500;
/// How long jobs are read while the store is slow.
const JOBS_READ_MS: Millis = 2_500;

fn draining(name: &str) -> WorkerListing {
    WorkerListing {
        draining: true,
        ..listing(name)
    }
}

/// The latest deadline that the pending orders to `w-1` carry. Its clock is the rig's.
fn newest_deadline(rig: &SchedulerRig) -> Millis {
    let deadlines = rig.deadlines_of("w-1");
    deadlines.into_iter().max().expect("an order to w-1")
}

/// Runs that the pending orders start on workers other than `w-1`.
fn starts_elsewhere(rig: &SchedulerRig) -> Vec<RunKey> {
    let starts = rig.peek_starts().into_iter();
    let elsewhere = starts.filter(|(worker, _)| worker != "w-1");
    elsewhere.map(|(_, start)| start.key).collect()
}

/// `w-2` answers and `w-1` doesn't: nothing starts elsewhere before the lease of `w-1` is over, and the task starts soon after.
fn starts_once_over(rig: &mut SchedulerRig, leased_until: Millis) {
    while starts_elsewhere(rig).is_empty() {
        rig.advance(25);
        rig.report("w-2", vec![], vec![]);
        rig.fail_renewal("w-1");
        assert!(
            rig.now < leased_until + LONGEST_DELAY_MS,
            "the task is never started"
        );
    }
    assert!(
        rig.now > leased_until,
        "started at {}, leased until {leased_until}",
        rig.now
    );
}

/// An owner with a run on `w-1`, whose lease it has just extended.
fn owner_with_run() -> (SchedulerRig, RunKey, Millis) {
    let mut rig = SchedulerRig::with_workers(&["w-1"]);
    rig.hand_in(7, 0, job(vec![step(1)]));
    let (_, StartCall { key, .. }) = rig.take_starts().pop().expect("a start");
    rig.commit_all();
    rig.list(&["w-1", "w-2"]);
    rig.report("w-2", vec![], vec![]);
    rig.actions.clear();
    rig.report("w-1", vec![run_report(key)], vec![]);
    rig.advance(25);
    let leased_until = newest_deadline(&rig);
    (rig, key, leased_until)
}

/// How a call shows that a worker takes no connection.
#[derive(Clone, Copy)]
enum UnreachableCall {
    Renewal,
    Stop,
}

/// Lists omit a draining worker, and a call finds that it takes no connection: it may be cut off.
fn an_unlisted_draining_worker_is_waited_for(call: UnreachableCall) {
    let (mut rig, key, leased_until) = owner_with_run();
    rig.list_entries(vec![draining("w-1"), listing("w-2")]);
    rig.list(&["w-2"]);
    let worker = WorkerId::from("w-1");
    let unreachable = OrderAnswer::Unreachable;
    rig.handle(match call {
        UnreachableCall::Renewal => {
            JobEvent::RenewalAnswered(worker, RenewalAnswer::Failed(unreachable))
        }
        UnreachableCall::Stop => JobEvent::StopAnswered(worker, key, unreachable),
    });
    starts_once_over(&mut rig, leased_until);
}

/// The same worker comes back before its lease is over, and lists the end of the run.
fn the_end_on_an_unlisted_draining_worker_counts() {
    let (mut rig, key, _) = owner_with_run();
    rig.list_entries(vec![draining("w-1"), listing("w-2")]);
    rig.list(&["w-2"]);
    let unreachable = RenewalAnswer::Failed(OrderAnswer::Unreachable);
    rig.handle(JobEvent::RenewalAnswered(
        WorkerId::from("w-1"),
        unreachable,
    ));
    rig.advance(1_000);
    rig.list_entries(vec![draining("w-1"), listing("w-2")]);
    rig.report("w-1", vec![], vec![end_report(1, key, RunOutcome::Done)]);
    rig.advance(500);
    assert_eq!(starts_elsewhere(&rig), []);
}

/// A worker without runs that falls silent while lists omit it is forgotten. A lease that it was granted before lasts on when it
/// comes back, and holds for what is started there then.
fn the_lease_of_a_forgotten_worker_is_waited_out() {
    let mut rig = SchedulerRig::with_workers(&["w-1", "w-2"]);
    rig.commit_all();
    rig.handle(JobEvent::SureUntil(rig.now + 2_000));
    rig.handle(JobEvent::OwnershipOverdue(true));
    rig.actions.clear();
    rig.report("w-1", vec![], vec![]);
    rig.advance(25);
    let leased_until = newest_deadline(&rig);
    rig.handle(JobEvent::OwnershipOverdue(false));
    rig.handle(JobEvent::SureUntil(Millis::MAX));
    rig.list(&["w-2"]);
    let forgotten_at = rig.now + FORGOTTEN_AFTER_MS;
    while rig.now < forgotten_at {
        rig.advance(25);
        rig.report("w-2", vec![], vec![]);
        rig.fail_renewal("w-1");
    }
    rig.list(&["w-1", "w-2"]);
    rig.report("w-1", vec![], vec![]);
    rig.commit_all();
    rig.report("w-1", vec![], vec![]);
    rig.actions.clear();
    // Fills the other worker, so that the task goes to the one that came back.
    let large = StepSpec {
        size: ResourceSize::new(16_000, 1_000, 0),
        ..step(2)
    };
    rig.hand_in(7, 0, job(vec![large]));
    let starts = rig.take_starts();
    let kept: Vec<_> = starts.iter().filter(|(name, _)| name == "w-2").collect();
    assert_eq!((starts.len(), kept.len()), (2, 1));
    let done = end_report(1, kept[0].1.key, RunOutcome::Done);
    rig.report("w-2", vec![], vec![done]);
    starts_once_over(&mut rig, leased_until);
}

/// What a successor knows of its workers while it reads the jobs.
#[derive(Clone, Copy)]
enum ListState {
    NotRead,
    OmitsWorker,
}

/// A worker reports a run to a successor that has not read the jobs yet, and falls silent. The run is still leased when they are read.
fn a_run_reported_before_its_job_is_waited_for(list: ListState) {
    let mut rig = SchedulerRig::new(TakeoverInfo {
        state_pending: true,
        rules_since: 1,
        ..second_owner(&["w-1", "w-2"])
    });
    if matches!(list, ListState::OmitsWorker) {
        rig.list(&["w-2"]);
    }
    rig.advance(25);
    let key = RunKey {
        task: task(7, 0, 0),
        run: 11,
    };
    rig.report("w-1", vec![run_report(key)], vec![]);
    rig.report("w-2", vec![], vec![]);
    rig.advance(25);
    let leased_until = newest_deadline(&rig);
    let read_at = rig.now + JOBS_READ_MS;
    while rig.now < read_at {
        rig.advance(25);
        rig.report("w-2", vec![], vec![]);
        rig.fail_renewal("w-1");
    }
    rig.list(&["w-2"]);
    rig.handle(JobEvent::StateRead {
        progress: [].into(),
        claim_version: 100,
    });
    rig.hand_in(7, 50, job(vec![step(1)]));
    starts_once_over(&mut rig, leased_until);
}

sandshelf_cases::cases! {
    unlisted_draining_worker_refuses_renewal => an_unlisted_draining_worker_is_waited_for(UnreachableCall::Renewal);
    unlisted_draining_worker_refuses_stop => an_unlisted_draining_worker_is_waited_for(UnreachableCall::Stop);
    end_on_unlisted_draining_worker => the_end_on_an_unlisted_draining_worker_counts();
    forgotten_worker_still_leased => the_lease_of_a_forgotten_worker_is_waited_out();
    unread_job_on_silent_worker => a_run_reported_before_its_job_is_waited_for(ListState::NotRead);
    unread_job_on_unlisted_silent_worker => a_run_reported_before_its_job_is_waited_for(ListState::OmitsWorker);
}
