//! An owner that is behind its work defers what can wait.

mod support;

use sandshelf_jobs::{JobAction, JobEvent, RunKey, RunOutcome, StepSpec, WorkerCall};
use sandshelf_model::{Millis, ResourceSize};
use support::{end_report, job, run_report, step, task, SchedulerRig, WALL_START_MS};

/// An owner of one worker on which one serving task is running.
fn serving_owner() -> (SchedulerRig, RunKey) {
    let mut rig = SchedulerRig::with_workers(&["w-1"]);
    let serving_step = StepSpec {
        standing: true,
        target_ms: 100,
        ..step(1)
    };
    rig.hand_in(7, 0, job(vec![serving_step]));
    let (_, start) = rig.take_starts().pop().expect("a start");
    rig.commit_all();
    (rig, start.key)
}

/// Sends the scheduler this number of ticks, at this interval.
fn tick(rig: &mut SchedulerRig, times: u32, interval_ms: Millis) {
    for _ in 0..times {
        rig.now += interval_ms;
        let wall_ms = WALL_START_MS + rig.now;
        rig.handle(JobEvent::Tick { wall_ms });
    }
}

/// Answers pending calls, and returns the worker's next lease renewal: the time from the answer until it is sent, and how long the
/// worker may wait with its answer.
fn next_renewal(rig: &mut SchedulerRig, key: RunKey, interval_ms: Millis) -> (Millis, Millis) {
    rig.actions.clear();
    let answered = rig.now;
    rig.report("w-1", vec![run_report(key)], vec![]);
    loop {
        let renewal = rig.actions.iter().find_map(|action| match action {
            JobAction::Call {
                call: WorkerCall::Renew(hold),
                ..
            } => Some(hold.wait_ms),
            _ => None,
        });
        if let Some(wait_ms) = renewal {
            return (rig.now - answered, wait_ms);
        }
        tick(rig, 1, interval_ms);
    }
}

fn a_prompt_owner_renews_leases_at_once() {
    let (mut rig, key) = serving_owner();
    tick(&mut rig, 40, 25);
    assert_eq!(next_renewal(&mut rig, key, 25), (0, 500));
}

/// Guards against an owner with an eighth of a core polling 490 workers as often as one with half a core does, and then processing
/// none of their answers.
fn a_late_owner_renews_leases_less_often() {
    let (mut rig, key) = serving_owner();
    tick(&mut rig, 60, 120);
    let (gap, wait_ms) = next_renewal(&mut rig, key, 120);
    assert!(gap >= 900, "{gap} ms");
    assert_eq!(wait_ms, 2_000);
    assert!(
        gap + wait_ms <= 3_200,
        "the lease of 4 s has to be renewed in time"
    );
}

fn an_owner_that_catches_up_renews_leases_at_once() {
    let (mut rig, key) = serving_owner();
    tick(&mut rig, 60, 120);
    tick(&mut rig, 600, 25);
    assert_eq!(next_renewal(&mut rig, key, 25), (0, 500));
}

/// An owner that is behind can't start everything. A standing task that has waited goes before jobs that keep arriving, even while
/// another task of its job is running.
fn an_overdue_standing_task_goes_first() {
    let mut rig = SchedulerRig::with_workers(&["w-1", "w-2"]);
    let whole_worker = StepSpec {
        size: ResourceSize::new(16_000, 1_000, 0),
        ..step(1)
    };
    rig.hand_in(1, 0, job(vec![whole_worker.clone()]));
    let (busy, first) = rig.take_starts().pop().expect("a start");
    let standing_step = StepSpec {
        standing: true,
        count: 2,
        ..whole_worker.clone()
    };
    rig.hand_in(7, 0, job(vec![standing_step]));
    let (other, standing) = rig.take_starts().pop().expect("a start");
    for _ in 0..30 {
        rig.advance(100);
        rig.report(&busy, vec![run_report(first.key)], vec![]);
        rig.report(&other, vec![run_report(standing.key)], vec![]);
    }
    rig.hand_in(2, 0, job(vec![whole_worker]));
    rig.report(
        &busy,
        vec![],
        vec![end_report(1, first.key, RunOutcome::Done)],
    );
    rig.advance(200);
    let starts = rig.peek_starts();
    let started: Vec<_> = starts.iter().map(|(_, start)| start.key.task).collect();
    assert_eq!(started, [task(7, 0, 1)]);
}

sandshelf_cases::cases! {
    prompt_owner => a_prompt_owner_renews_leases_at_once();
    late_owner => a_late_owner_renews_leases_less_often();
    caught_up => an_owner_that_catches_up_renews_leases_at_once();
    overdue_standing => an_overdue_standing_task_goes_first();
}
