//! Runs that are still leased around an outage of the store don't start again elsewhere.

mod support;

use sandshelf_jobs::{
    JobEvent, JobSpec, OrderAnswer, RenewalAnswer, RunKey, StepSpec, StoredProgress, TakeoverInfo,
    WorkerListing,
};
use sandshelf_model::{Millis, ResourceSize, WorkerId};
use support::{job, listing, run_report, second_owner, step, task, SchedulerRig};

/// How long a lease that is not renewed lasts at least after its worker was last heard.
const LEASE_LEFT_MS: Millis = 3_900;

/// How long a worker is silent before its owner takes note.
const SILENCE_MS: Millis = 2_500;

fn draining_entry(name: &str) -> WorkerListing {
    WorkerListing {
        draining: true,
        ..listing(name)
    }
}

/// How an owner finds out that a worker takes no connection.
#[derive(Clone, Copy)]
enum RefusedCall {
    Renewal,
    Stop,
}

impl RefusedCall {
    fn event(self, worker: &str, run: RunKey) -> JobEvent {
        let worker = WorkerId::from(worker);
        match self {
            Self::Renewal => {
                let answer = RenewalAnswer::Failed(OrderAnswer::Unreachable);
                JobEvent::RenewalAnswered(worker, answer)
            }
            Self::Stop => JobEvent::StopAnswered(worker, run, OrderAnswer::Unreachable),
        }
    }
}

/// The first list after an outage omits a draining worker that takes no connection: its run does not start elsewhere while it is leased.
fn a_draining_worker_keeps_its_leased_run(call: RefusedCall) {
    let mut rig = SchedulerRig::with_workers(&["w-1"]);
    rig.commit_all();
    rig.report("w-1", vec![], vec![]);
    rig.hand_in(7, 0, job(vec![step(1)]));
    let (_, start) = rig.take_starts().pop().expect("a start");
    rig.report("w-1", vec![run_report(start.key)], vec![]);
    rig.list_entries(vec![draining_entry("w-1"), listing("w-2")]);
    rig.report("w-1", vec![run_report(start.key)], vec![]);
    rig.report("w-2", vec![], vec![]);
    rig.commit_all();
    rig.report("w-1", vec![run_report(start.key)], vec![]);
    let heard_at = rig.now;
    rig.list(&["w-2"]);
    while rig.now < heard_at + LEASE_LEFT_MS {
        rig.handle(call.event("w-1", start.key));
        rig.report("w-2", vec![], vec![]);
        let again = rig.peek_starts();
        assert!(again.is_empty(), "{} ms: {again:?}", rig.now - heard_at);
        rig.advance(100);
    }
}

/// The first list of a new owner omits a draining worker, which takes no connection: what it runs does not start elsewhere while the lease of
/// the earlier owner may last, although this owner knows of no run there.
fn a_draining_worker_is_waited_for_by_a_new_owner() {
    let mut rig = SchedulerRig::new(second_owner(&["w-1", "w-2"]));
    let claimed_at = rig.now;
    rig.hand_in(7, 50, job(vec![step(1)]));
    rig.list_entries(vec![draining_entry("w-1"), listing("w-2")]);
    rig.list(&["w-2"]);
    while rig.now < claimed_at + LEASE_LEFT_MS {
        let refused = RenewalAnswer::Failed(OrderAnswer::Unreachable);
        rig.handle(JobEvent::RenewalAnswered(WorkerId::from("w-1"), refused));
        rig.report("w-2", vec![], vec![]);
        let starts = rig.peek_starts();
        assert!(starts.is_empty(), "{} ms: {starts:?}", rig.now - claimed_at);
        rig.advance(100);
    }
}

/// A worker reports a run of a job that a new owner has not read yet, and falls silent while lists omit it: the task does not start
/// elsewhere once the job is read, as long as the run is leased.
fn a_run_of_an_unread_job_is_kept() {
    let mut rig = SchedulerRig::new(TakeoverInfo {
        state_pending: true,
        ..second_owner(&["w-1", "w-2"])
    });
    let claimed_at = rig.now;
    let run = RunKey {
        task: task(7, 0, 0),
        run: (1 << 20) + 1,
    };
    rig.list(&["w-2"]);
    rig.report("w-1", vec![run_report(run)], vec![]);
    while rig.now < claimed_at + SILENCE_MS {
        rig.advance(100);
        rig.fail_renewal("w-1");
        rig.report("w-2", vec![], vec![]);
    }
    rig.handle(JobEvent::StateRead {
        progress: StoredProgress::default(),
        claim_version: 100,
    });
    rig.hand_in(7, 50, job(vec![step(1)]));
    while rig.now < claimed_at + LEASE_LEFT_MS {
        let starts = rig.peek_starts();
        assert!(starts.is_empty(), "{} ms: {starts:?}", rig.now - claimed_at);
        rig.advance(100);
        rig.fail_renewal("w-1");
        rig.report("w-2", vec![], vec![]);
    }
}

/// A job with more tasks than one worker has room for.
fn wide_job() -> JobSpec {
    job(vec![StepSpec {
        size: ResourceSize::new(4_000, 4_000, 0),
        ..step(6)
    }])
}

/// The runs that an owner orders after it has read of the worker w-2, which is right before the store goes out: nothing is durable any more.
fn start_in_an_outage(rig: &mut SchedulerRig) -> Vec<(String, RunKey)> {
    rig.commit_all();
    rig.defers_roster = true;
    rig.list(&["w-1", "w-2"]);
    rig.report("w-2", vec![], vec![]);
    rig.hand_in(7, 50, wide_job());
    rig.advance(200);
    let starts = rig.take_starts().into_iter();
    starts.map(|(worker, start)| (worker, start.key)).collect()
}

/// An owner uses a worker whose roster entry the store could not take any more, and dies. Its successor, whose lists omit that worker for
/// a while, does not start the worker's tasks elsewhere while they are leased.
fn a_worker_outside_the_roster_keeps_its_leased_runs() {
    let mut first = SchedulerRig::with_workers(&["w-1"]);
    let runs = start_in_an_outage(&mut first);
    assert!(!runs.is_empty(), "w-1 has room");
    let leased_at = first.now;
    let mut rig = SchedulerRig::new(TakeoverInfo {
        claimed_at: leased_at,
        ..second_owner(&["w-1"])
    });
    rig.now = leased_at;
    rig.hand_in(7, 50, wide_job());
    let held = |name: &str| {
        let runs = runs.iter().filter(|(worker, _)| worker == name);
        runs.map(|(_, run)| *run).collect::<Vec<_>>()
    };
    while rig.now < leased_at + LEASE_LEFT_MS {
        rig.list(&["w-1"]);
        let reported = held("w-1").into_iter().map(run_report);
        rig.report("w-1", reported.collect(), vec![]);
        for (_, start) in rig.peek_starts() {
            let task = start.key.task;
            let leased = held("w-2").iter().any(|run| run.task == task);
            assert!(!leased, "{task} after {} ms", rig.now - leased_at);
        }
        rig.advance(100);
    }
}

sandshelf_cases::cases! {
    draining_worker_refuses_a_renewal => a_draining_worker_keeps_its_leased_run(RefusedCall::Renewal);
    draining_worker_refuses_a_stop => a_draining_worker_keeps_its_leased_run(RefusedCall::Stop);
    unanswered_draining_worker_refuses_a_renewal => a_draining_worker_is_waited_for_by_a_new_owner();
    silent_worker_with_a_run_of_an_unread_job => a_run_of_an_unread_job_is_kept();
    worker_outside_the_durable_roster => a_worker_outside_the_roster_keeps_its_leased_runs();
}
