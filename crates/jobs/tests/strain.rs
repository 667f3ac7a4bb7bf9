//! An owner that is behind its work does less of what can wait.

mod support;

use sandshelf_jobs::{JobAction, JobEvent, RunKey, RunOutcome, StepSpec, WorkerCall};
use sandshelf_model::{Millis, ResourceSize};
use support::{ended, job, runs, step, task, SchedulerRig, WALL_START_MS};

/// A rig whose owner has one worker, with one serving task at work there.
fn serving_owner() -> (SchedulerRig, RunKey) {
    let mut rig = SchedulerRig::with_workers(&["w-1"]);
    let serves = StepSpec {
        standing: true,
        target_ms: 100,
        ..step(1)
    };
    rig.hand_in(7, 0, job(vec![serves]));
    let (_, start) = rig.take_starts().pop().expect("a start");
    rig.commit_all();
    (rig, start.key)
}

/// Lets the control thread tick so often, so far apart.
fn tick(rig: &mut SchedulerRig, times: u32, apart: Millis) {
    for _ in 0..times {
        rig.now += apart;
        let wall_ms = WALL_START_MS + rig.now;
        rig.tell(JobEvent::Tick { wall_ms });
    }
}

/// Answers what is under way and returns the next look at the worker: how long after the answer it goes out, and how long
/// the worker may wait.
fn next_look(rig: &mut SchedulerRig, key: RunKey, apart: Millis) -> (Millis, Millis) {
    rig.actions.clear();
    let answered = rig.now;
    rig.report("w-1", vec![runs(key)], vec![]);
    loop {
        let look = rig.actions.iter().find_map(|action| match action {
            JobAction::Call {
                call: WorkerCall::Renew(hold),
                ..
            } => Some(hold.wait_ms),
            _ => None,
        });
        if let Some(wait_ms) = look {
            return (rig.now - answered, wait_ms);
        }
        tick(rig, 1, apart);
    }
}

fn a_prompt_owner_looks_again_at_once() {
    let (mut rig, key) = serving_owner();
    tick(&mut rig, 40, 25);
    assert_eq!(next_look(&mut rig, key, 25), (0, 500));
}

/// Before, an owner with an eighth of a core looked at 490 workers as often as one with half a core, and took none of
/// their answers in.
fn a_late_owner_looks_more_seldom() {
    let (mut rig, key) = serving_owner();
    tick(&mut rig, 60, 120);
    let (gap, wait_ms) = next_look(&mut rig, key, 120);
    assert!(gap >= 900, "{gap} ms");
    assert_eq!(wait_ms, 2_000);
    assert!(
        gap + wait_ms <= 3_200,
        "the lease of 4 s has to be prolonged in time"
    );
}

fn an_owner_that_catches_up_looks_often_again() {
    let (mut rig, key) = serving_owner();
    tick(&mut rig, 60, 120);
    tick(&mut rig, 600, 25);
    assert_eq!(next_look(&mut rig, key, 25), (0, 500));
}

/// Starts are what a late owner is short of: a standing task that has waited goes before jobs that come all the time, also
/// where another task of its job is at work.
fn a_waiting_standing_task_goes_first() {
    let mut rig = SchedulerRig::with_workers(&["w-1", "w-2"]);
    let whole = StepSpec {
        size: ResourceSize::new(16_000, 1_000, 0),
        ..step(1)
    };
    rig.hand_in(1, 0, job(vec![whole.clone()]));
    let (busy, first) = rig.take_starts().pop().expect("a start");
    let stands = StepSpec {
        standing: true,
        count: 2,
        ..whole.clone()
    };
    rig.hand_in(7, 0, job(vec![stands]));
    let (other, standing) = rig.take_starts().pop().expect("a start");
    for _ in 0..30 {
        rig.pass(100);
        rig.report(&busy, vec![runs(first.key)], vec![]);
        rig.report(&other, vec![runs(standing.key)], vec![]);
    }
    rig.hand_in(2, 0, job(vec![whole]));
    rig.report(&busy, vec![], vec![ended(1, first.key, RunOutcome::Done)]);
    rig.pass(200);
    let starts = rig.peek_starts();
    let started: Vec<_> = starts.iter().map(|(_, start)| start.key.task).collect();
    assert_eq!(started, [task(7, 0, 1)]);
}

sandshelf_cases::cases! {
    prompt_owner => a_prompt_owner_looks_again_at_once();
    late_owner => a_late_owner_looks_more_seldom();
    caught_up => an_owner_that_catches_up_looks_often_again();
    overdue_standing => a_waiting_standing_task_goes_first();
}
