//! Free capacity of workers that start every task they are sent.
//!
//! No start may bring such a worker over its capacity, not even while its capacity shrinks, after a change of owner or without lists
//! of workers. Each case is one sequence of events that broke this in simulation.

mod support;

use sandshelf_jobs::{
    JobEvent, JobNumber, JobSpec, OrderAnswer, QueueRules, RenewalAnswer, RenewalReport, RunKey,
    StepSpec, TakeoverInfo, WorkerListing, WorkerRoster,
};
use sandshelf_model::{Millis, ResourceSize, WorkerId};
use support::{job, listing, rules, run_report, step, task, SchedulerRig};

/// The processors of a worker, in thousandths of a core.
const CAPACITY_MILLIS: u64 = 16_000;
/// After this time without a list of workers, the capacity of a worker may have shrunk unnoticed.
const LONG_WITHOUT_LIST_MS: Millis = 3_000;

/// A job of tasks that each take this many thousandths of a core, for workers that refuse nothing.
fn unguarded(count: u32, cpu_millis: u64) -> JobSpec {
    JobSpec {
        rules: QueueRules {
            guarded: false,
            ..rules()
        },
        ..job(vec![StepSpec {
            size: ResourceSize::new(cpu_millis, 1_000, 0),
            ..step(count)
        }])
    }
}

fn key(number: u64, run: u64) -> RunKey {
    RunKey {
        task: task(number, 0, 0),
        run,
    }
}

/// A worker with this many thousandths of a core.
fn with_cpu(cpu_millis: u64) -> WorkerListing {
    WorkerListing {
        capacity: ResourceSize::new(cpu_millis, 64_000, 0),
        ..listing("w-1")
    }
}

/// Lists the worker and has it report, for three seconds.
fn settle(rig: &mut SchedulerRig, entry: &WorkerListing, running: &[RunKey]) {
    for _ in 0..6 {
        rig.list_entries(vec![entry.clone()]);
        rig.report(
            "w-1",
            running.iter().map(|key| run_report(*key)).collect(),
            vec![],
        );
        rig.advance(500);
    }
}

/// A new owner of one worker from which it has not heard yet.
fn successor() -> SchedulerRig {
    let info = TakeoverInfo {
        epoch: 2,
        rules_since: 1,
        claimed_at: 1_000,
        claim_version: 100,
        roster: WorkerRoster {
            epoch: 1,
            workers: vec![(WorkerId::from("w-1"), listing("w-1").address)],
            lease_ms: Some(4_000),
            ..WorkerRoster::default()
        },
        ..TakeoverInfo::default()
    };
    SchedulerRig::new(info)
}

/// A worker reports the run of a job that was cancelled before. The run counts until it has stopped.
fn a_cancelled_jobs_run_takes_capacity_until_it_has_stopped() {
    let mut rig = successor();
    rig.hand_in(7, 50, unguarded(1, 10_000));
    rig.handle(JobEvent::CancelAsked(JobNumber(7)));
    rig.hand_in(8, 60, unguarded(1, 10_000));
    settle(&mut rig, &with_cpu(CAPACITY_MILLIS), &[key(7, 11)]);
    assert!(rig.take_starts().is_empty(), "10 and 10 of 16 cores");
    rig.report(
        "w-1",
        vec![],
        vec![support::end_report(
            1,
            key(7, 11),
            sandshelf_jobs::RunOutcome::Stopped,
        )],
    );
    rig.advance(100);
    assert_eq!(rig.take_starts().len(), 1);
}

/// A worker reports a run of a job that has not been read yet. Its size is unknown, so nothing is added.
fn nothing_is_added_to_a_run_of_unknown_size() {
    let mut rig = successor();
    rig.hand_in(8, 60, unguarded(1, 1_000));
    settle(&mut rig, &with_cpu(CAPACITY_MILLIS), &[key(7, 11)]);
    assert!(rig.take_starts().is_empty());
}

/// No more lists of workers arrive. From then on half of the capacity counts.
fn half_of_the_capacity_counts_without_lists() {
    let mut rig = SchedulerRig::new(TakeoverInfo::first(1, 1_000));
    settle(&mut rig, &with_cpu(CAPACITY_MILLIS), &[]);
    for _ in 0..LONG_WITHOUT_LIST_MS / 500 {
        rig.report("w-1", vec![], vec![]);
        rig.advance(500);
    }
    rig.hand_in(8, 200, unguarded(12, 1_000));
    rig.advance(100);
    assert_eq!(rig.take_starts().len(), 8, "a core each of half of 16");
}

/// Lists arrive again after a pause. Each worker has yet to report how its capacity has changed.
fn half_of_the_capacity_counts_right_after_the_store_is_back() {
    let mut rig = SchedulerRig::new(TakeoverInfo::first(1, 1_000));
    settle(&mut rig, &with_cpu(CAPACITY_MILLIS), &[]);
    for _ in 0..LONG_WITHOUT_LIST_MS / 500 {
        rig.report("w-1", vec![], vec![]);
        rig.advance(500);
    }
    rig.list_entries(vec![with_cpu(CAPACITY_MILLIS)]);
    rig.hand_in(8, 200, unguarded(12, 1_000));
    rig.advance(100);
    assert_eq!(rig.take_starts().len(), 8);
    settle(&mut rig, &with_cpu(CAPACITY_MILLIS), &[]);
    assert!(
        rig.scheduler.counts(rig.now).waiting == 0,
        "all have started since"
    );
}

/// The capacity shrinks below what the running tasks take. Nothing is added before it is back at its full size.
fn shrunk_capacity_is_not_exceeded() {
    let mut rig = SchedulerRig::new(TakeoverInfo::first(1, 1_000));
    settle(&mut rig, &with_cpu(CAPACITY_MILLIS), &[]);
    rig.hand_in(7, 200, unguarded(1, 9_000));
    rig.advance(100);
    let starts = rig.take_starts();
    let running = [starts[0].1.key];
    settle(&mut rig, &with_cpu(8_000), &running);
    rig.hand_in(8, 201, unguarded(1, 1_000));
    settle(&mut rig, &with_cpu(8_000), &running);
    assert!(rig.take_starts().is_empty(), "9 cores are in use of 8");
    rig.list_entries(vec![with_cpu(CAPACITY_MILLIS)]);
    rig.advance(200);
    assert_eq!(rig.take_starts().len(), 1);
}

/// A lease renewal that the worker received in the millisecond of its answer to a stop, but before the start had reached it, does
/// not settle the run.
fn a_renewal_of_the_same_millisecond_settles_no_stop() {
    let mut rig = SchedulerRig::new(TakeoverInfo::first(1, 1_000));
    settle(&mut rig, &with_cpu(CAPACITY_MILLIS), &[]);
    rig.hand_in(7, 200, unguarded(1, 10_000));
    rig.advance(100);
    let (_, start) = rig.take_starts().pop().expect("a start");
    rig.handle(JobEvent::CancelAsked(JobNumber(7)));
    rig.hand_in(8, 201, unguarded(1, 10_000));
    let clock = rig.now;
    let worker = WorkerId::from("w-1");
    rig.handle(JobEvent::StopAnswered(
        worker.clone(),
        start.key,
        OrderAnswer::Done(clock),
    ));
    let report = |clock, running| RenewalReport {
        incarnation: None,
        clock,
        running,
        ended: vec![],
        carrier_late_ms: 0,
    };
    let early = RenewalAnswer::Report(report(clock, vec![]));
    rig.handle(JobEvent::RenewalAnswered(worker.clone(), early));
    rig.advance(50);
    assert!(rig.take_starts().is_empty(), "the run may still be running");
    let later = RenewalAnswer::Report(report(clock + 50, vec![]));
    rig.handle(JobEvent::RenewalAnswered(worker, later));
    rig.advance(50);
    assert_eq!(rig.take_starts().len(), 1);
}

/// Workers that refuse what doesn't fit may be sent tasks, even if the list of workers is stale.
fn guarded_workers_are_used_without_lists() {
    let mut rig = SchedulerRig::new(TakeoverInfo::first(1, 1_000));
    settle(&mut rig, &with_cpu(CAPACITY_MILLIS), &[]);
    for _ in 0..LONG_WITHOUT_LIST_MS / 500 {
        rig.report("w-1", vec![], vec![]);
        rig.advance(500);
    }
    rig.hand_in(8, 200, job(vec![step(12)]));
    rig.advance(100);
    assert_eq!(rig.take_starts().len(), 12);
}

sandshelf_cases::cases! {
    cancelled_run => a_cancelled_jobs_run_takes_capacity_until_it_has_stopped();
    unknown_run => nothing_is_added_to_a_run_of_unknown_size();
    no_lists => half_of_the_capacity_counts_without_lists();
    lists_are_back => half_of_the_capacity_counts_right_after_the_store_is_back();
    shrunk_capacity => shrunk_capacity_is_not_exceeded();
    renewal_of_the_same_millisecond => a_renewal_of_the_same_millisecond_settles_no_stop();
    guarded_without_lists => guarded_workers_are_used_without_lists();
}
