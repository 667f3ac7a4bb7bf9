//! Rooms of workers that start whatever they are told.
//!
//! What must hold: no start brings such a worker over what it has, also while its room shrinks, over a change of owner and without lists. Found by
//! the emulator; each case here is one way that broke it, in the order of events that its seed showed.

mod support;

use sandshelf_jobs::{
    JobEvent, JobNumber, JobSpec, OrderAnswer, QueueRules, RenewalAnswer, RenewalReport, RunKey,
    StepSpec, TakeoverInfo, WorkerListing, WorkerRoster,
};
use sandshelf_model::{Millis, ResourceSize, WorkerId};
use support::{job, listing, rules, runs, step, task, SchedulerRig};

/// What a worker has, in thousandths of a core.
const WHOLE: u64 = 16_000;
/// After how long without a list a room may have shrunk unseen.
const LONG_WITHOUT_LIST_MS: Millis = 3_000;

/// A job of tasks that take so many thousandths of a core each, on workers that refuse nothing.
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

/// A worker that has so many thousandths of a core.
fn with_cpu(cpu_millis: u64) -> WorkerListing {
    WorkerListing {
        capacity: ResourceSize::new(cpu_millis, 64_000, 0),
        ..listing("w-1")
    }
}

/// Lists the worker for some time, and has it answer.
fn settle(rig: &mut SchedulerRig, entry: &WorkerListing, running: &[RunKey]) {
    for _ in 0..6 {
        rig.list_entries(vec![entry.clone()]);
        rig.report(
            "w-1",
            running.iter().map(|key| runs(*key)).collect(),
            vec![],
        );
        rig.pass(500);
    }
}

/// A new owner of one worker, which it has yet to hear of.
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

/// A worker reports the run of a job that was cancelled before: what that takes counts until it has stopped.
fn a_cancelled_jobs_run_takes_room_until_it_has_stopped() {
    let mut rig = successor();
    rig.hand_in(7, 50, unguarded(1, 10_000));
    rig.tell(JobEvent::CancelAsked(JobNumber(7)));
    rig.hand_in(8, 60, unguarded(1, 10_000));
    settle(&mut rig, &with_cpu(WHOLE), &[key(7, 11)]);
    assert!(rig.take_starts().is_empty(), "10 and 10 of 16 cores");
    rig.report(
        "w-1",
        vec![],
        vec![support::ended(
            1,
            key(7, 11),
            sandshelf_jobs::RunOutcome::Stopped,
        )],
    );
    rig.pass(100);
    assert_eq!(rig.take_starts().len(), 1);
}

/// A worker reports a run of a job that nobody has read yet: what it takes can't be known, so that nothing is added.
fn nothing_joins_a_run_of_unknown_size() {
    let mut rig = successor();
    rig.hand_in(8, 60, unguarded(1, 1_000));
    settle(&mut rig, &with_cpu(WHOLE), &[key(7, 11)]);
    assert!(rig.take_starts().is_empty());
}

/// Lists stop coming: from then on half of the room counts.
fn half_of_a_room_counts_without_lists() {
    let mut rig = SchedulerRig::new(TakeoverInfo::first(1, 1_000));
    settle(&mut rig, &with_cpu(WHOLE), &[]);
    for _ in 0..LONG_WITHOUT_LIST_MS / 500 {
        rig.report("w-1", vec![], vec![]);
        rig.pass(500);
    }
    rig.hand_in(8, 200, unguarded(12, 1_000));
    rig.pass(100);
    assert_eq!(rig.take_starts().len(), 8, "a core each of half of 16");
}

/// Lists come again after a while: each worker has yet to report what has become of its room.
fn half_of_a_room_counts_right_after_the_store_is_back() {
    let mut rig = SchedulerRig::new(TakeoverInfo::first(1, 1_000));
    settle(&mut rig, &with_cpu(WHOLE), &[]);
    for _ in 0..LONG_WITHOUT_LIST_MS / 500 {
        rig.report("w-1", vec![], vec![]);
        rig.pass(500);
    }
    rig.list_entries(vec![with_cpu(WHOLE)]);
    rig.hand_in(8, 200, unguarded(12, 1_000));
    rig.pass(100);
    assert_eq!(rig.take_starts().len(), 8);
    settle(&mut rig, &with_cpu(WHOLE), &[]);
    assert!(
        rig.scheduler.counts(rig.now).waiting == 0,
        "all have started since"
    );
}

/// A room shrinks below what is at work there: nothing is added before it is whole again.
fn a_room_that_has_shrunk_is_kept_to() {
    let mut rig = SchedulerRig::new(TakeoverInfo::first(1, 1_000));
    settle(&mut rig, &with_cpu(WHOLE), &[]);
    rig.hand_in(7, 200, unguarded(1, 9_000));
    rig.pass(100);
    let starts = rig.take_starts();
    let running = [starts[0].1.key];
    settle(&mut rig, &with_cpu(8_000), &running);
    rig.hand_in(8, 201, unguarded(1, 1_000));
    settle(&mut rig, &with_cpu(8_000), &running);
    assert!(rig.take_starts().is_empty(), "9 cores are in use of 8");
    rig.list_entries(vec![with_cpu(WHOLE)]);
    rig.pass(200);
    assert_eq!(rig.take_starts().len(), 1);
}

/// A look that the worker took in the millisecond of its answer to a stop, but before the start had reached it, says nothing of the run.
fn a_look_of_the_same_millisecond_settles_no_stop() {
    let mut rig = SchedulerRig::new(TakeoverInfo::first(1, 1_000));
    settle(&mut rig, &with_cpu(WHOLE), &[]);
    rig.hand_in(7, 200, unguarded(1, 10_000));
    rig.pass(100);
    let (_, start) = rig.take_starts().pop().expect("a start");
    rig.tell(JobEvent::CancelAsked(JobNumber(7)));
    rig.hand_in(8, 201, unguarded(1, 10_000));
    let clock = rig.now;
    let worker = WorkerId::from("w-1");
    rig.tell(JobEvent::StopAnswered(
        worker.clone(),
        start.key,
        OrderAnswer::Done(clock),
    ));
    let look = |clock, running| RenewalReport {
        incarnation: None,
        clock,
        running,
        ended: vec![],
        carrier_late_ms: 0,
    };
    let early = RenewalAnswer::Report(look(clock, vec![]));
    rig.tell(JobEvent::RenewalAnswered(worker.clone(), early));
    rig.pass(50);
    assert!(rig.take_starts().is_empty(), "the run may be at work still");
    let later = RenewalAnswer::Report(look(clock + 50, vec![]));
    rig.tell(JobEvent::RenewalAnswered(worker, later));
    rig.pass(50);
    assert_eq!(rig.take_starts().len(), 1);
}

/// Workers that refuse what doesn't fit are asked: a stale list holds nobody up there.
fn guarded_workers_are_asked_without_lists() {
    let mut rig = SchedulerRig::new(TakeoverInfo::first(1, 1_000));
    settle(&mut rig, &with_cpu(WHOLE), &[]);
    for _ in 0..LONG_WITHOUT_LIST_MS / 500 {
        rig.report("w-1", vec![], vec![]);
        rig.pass(500);
    }
    rig.hand_in(8, 200, job(vec![step(12)]));
    rig.pass(100);
    assert_eq!(rig.take_starts().len(), 12);
}

sandshelf_cases::cases! {
    cancelled_run => a_cancelled_jobs_run_takes_room_until_it_has_stopped();
    unknown_run => nothing_joins_a_run_of_unknown_size();
    no_lists => half_of_a_room_counts_without_lists();
    lists_are_back => half_of_a_room_counts_right_after_the_store_is_back();
    shrunk_room => a_room_that_has_shrunk_is_kept_to();
    look_of_the_same_millisecond => a_look_of_the_same_millisecond_settles_no_stop();
    guarded_without_lists => guarded_workers_are_asked_without_lists();
}
