//! Draining workers, restarts and late rows: what an owner may take from them about runs that are still leased.

mod support;

use sandshelf_jobs::{JobEvent, OrderAnswer, RunKey, TakeoverInfo, WorkerListing, WorkerRoster};
use sandshelf_model::Millis;
use support::{job, listing, renewal_report, run_report, second_owner, step, task, SchedulerRig};

/// The longest lease that a worker grants.
const MAX_LEASE_MS: Millis = 6_000;
/// How long runs of unknown jobs are remembered after a takeover.
const FOREIGN_RETENTION_MS: Millis = 15_000;

fn draining(name: &str) -> WorkerListing {
    WorkerListing {
        draining: true,
        ..listing(name)
    }
}

/// A run of job 7 that an earlier owner started.
fn earlier_run() -> RunKey {
    RunKey {
        task: task(7, 0, 0),
        run: 11,
    }
}

/// Whether `w-1` is in the roster after all that its owner wants to write is durable.
fn is_published(rig: &mut SchedulerRig, roster: &mut WorkerRoster) -> bool {
    for batch in rig.commit_all() {
        batch.roster.apply_to(roster);
    }
    let mut workers = roster.workers.iter();
    workers.any(|(worker, _)| worker.as_str() == "w-1")
}

/// A draining worker with a start order that got no answer stays published: the order may be carried out.
fn a_draining_worker_with_an_unanswered_start_stays_published() {
    let mut rig = SchedulerRig::with_workers(&["w-1"]);
    let mut roster = WorkerRoster::default();
    assert!(is_published(&mut rig, &mut roster));
    rig.hand_in(7, 0, job(vec![step(1)]));
    rig.advance(25);
    let (_, start) = rig.peek_starts().pop().expect("a start");
    rig.list_entries(vec![draining("w-1")]);
    rig.start_answered("w-1", start.key, OrderAnswer::Unknown);
    rig.report("w-1", vec![], vec![]);
    rig.advance(200);
    assert!(is_published(&mut rig, &mut roster));
}

/// A draining worker that reported a run of a job that is not known yet stays published.
fn a_draining_worker_with_a_run_of_an_unread_job_stays_published() {
    let info = TakeoverInfo {
        state_pending: true,
        ..second_owner(&["w-1"])
    };
    let mut roster = info.roster.clone();
    let mut rig = SchedulerRig::new(info);
    rig.list_entries(vec![draining("w-1")]);
    rig.report("w-1", vec![run_report(earlier_run())], vec![]);
    rig.advance(200);
    assert!(is_published(&mut rig, &mut roster));
}

/// A renewal that got no answer is carried out by the next incarnation of its worker. Its deadline is on another clock, so that only the
/// worker's own limit binds the lease.
fn a_late_renewal_in_a_new_incarnation_is_waited_out() {
    let mut rig = SchedulerRig::new(TakeoverInfo::first(1, 1_000));
    rig.list(&["w-1"]);
    let report = renewal_report(1, 4_000_000, vec![], vec![]);
    rig.answer_renewal("w-1", report);
    rig.commit_all();
    rig.actions.clear();
    let report = renewal_report(1, 4_000_000 + rig.now, vec![], vec![]);
    rig.answer_renewal("w-1", report);
    rig.advance(25);
    assert!(!rig.deadlines_of("w-1").is_empty());
    rig.fail_renewal("w-1");
    rig.advance(500);
    let report = renewal_report(2, rig.now, vec![], vec![]);
    rig.answer_renewal("w-1", report);
    rig.hand_in(7, 0, job(vec![step(1)]));
    rig.advance(25);
    let (_, start) = rig.take_starts().pop().expect("a start");
    // The renewal that got no answer reaches the worker now.
    let leased_until = rig.now + MAX_LEASE_MS;
    let report = renewal_report(2, rig.now, vec![run_report(start.key)], vec![]);
    rig.answer_renewal("w-1", report);
    rig.list(&["w-1", "w-2"]);
    rig.commit_all();
    rig.actions.clear();
    while rig.peek_starts().is_empty() {
        rig.advance(25);
        rig.fail_renewal("w-1");
        rig.report("w-2", vec![], vec![]);
        assert!(rig.now < leased_until + MAX_LEASE_MS, "never started");
    }
    assert!(
        rig.now > leased_until,
        "started at {}, leased until {leased_until}",
        rig.now
    );
}

/// A job's row is read long after a worker has reported a run of it, right when that run is being stopped as one of an unknown job.
fn a_run_of_a_job_that_is_read_late_runs_once() {
    let mut rig = SchedulerRig::new(second_owner(&["w-1"]));
    rig.list(&["w-1", "w-2"]);
    rig.commit_all();
    let running = || vec![run_report(earlier_run())];
    while rig.now < 1_000 + FOREIGN_RETENTION_MS + 200 {
        rig.report("w-1", running(), vec![]);
        rig.report("w-2", vec![], vec![]);
        rig.advance(100);
    }
    rig.report("w-1", running(), vec![]);
    rig.handle(JobEvent::JobListed {
        number: earlier_run().task.job,
        version: 200,
        spec: Box::new(job(vec![step(1)])),
    });
    rig.advance(100);
    let starts = rig.peek_starts();
    assert!(starts.is_empty(), "still at work on w-1: {starts:?}");
}

sandshelf_cases::cases! {
    draining_worker_with_unanswered_start => a_draining_worker_with_an_unanswered_start_stays_published();
    draining_worker_with_unread_job => a_draining_worker_with_a_run_of_an_unread_job_stays_published();
    late_renewal_in_new_incarnation => a_late_renewal_in_a_new_incarnation_is_waited_out();
    job_read_after_retention => a_run_of_a_job_that_is_read_late_runs_once();
}
