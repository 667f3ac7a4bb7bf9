//! Filling tasks beside serving ones.

mod support;

use sandshelf_jobs::{JobAction, RunKey, RunReport, StepSpec, TakeoverInfo, WorkerCall};
use sandshelf_model::ResourceSize;
use support::{job, step, SchedulerRig};

fn serving() -> StepSpec {
    StepSpec {
        standing: true,
        target_ms: 50,
        image: "web".to_owned(),
        ..step(1)
    }
}

fn filling() -> StepSpec {
    StepSpec {
        fills: true,
        image: "index".to_owned(),
        size: ResourceSize::new(2_000, 1_000, 0),
        ..step(1)
    }
}

fn report(key: RunKey, percent: u32, gauge: u64) -> RunReport {
    RunReport {
        key,
        checkpoint: None,
        percent,
        gauge: Some(gauge),
    }
}

/// One worker with a serving and a filling task, both at work.
fn pair() -> (SchedulerRig, RunKey, RunKey) {
    let mut rig = SchedulerRig::with_workers(&["w-1"]);
    rig.hand_in(1, 0, job(vec![serving()]));
    let serving = rig.take_starts().pop().expect("a start").1.key;
    rig.hand_in(2, 0, job(vec![filling()]));
    let filling = rig.take_starts().pop().expect("a start").1.key;
    (rig, serving, filling)
}

fn last_pace(rig: &SchedulerRig, of: RunKey) -> Option<u32> {
    let paces = rig.actions.iter().rev();
    paces
        .filter_map(|action| match action {
            JobAction::Call {
                call: WorkerCall::Pace(key, percent),
                ..
            } if *key == of => Some(*percent),
            _ => None,
        })
        .next()
}

/// Whatever was learnt: a task that stays over its target has nothing filling beside it after a second and a half.
fn a_task_over_its_target_is_left_alone() {
    let (mut rig, serving, filling) = pair();
    // A load that jumps around keeps the estimate from ever predicting enough.
    for tail in [12, 60, 11, 55, 51, 52, 51, 53] {
        rig.pass(500);
        rig.report(
            "w-1",
            vec![report(serving, 100, tail), report(filling, 40, 500)],
            vec![],
        );
    }
    assert_eq!(last_pace(&rig, filling), Some(0));
}

fn a_task_well_under_its_target_leaves_the_rest_at_full_pace() {
    let (mut rig, serving, filling) = pair();
    for _ in 0..6 {
        rig.pass(500);
        rig.report(
            "w-1",
            vec![report(serving, 100, 12), report(filling, 40, 500)],
            vec![],
        );
    }
    assert!(matches!(last_pace(&rig, filling), None | Some(100)));
}

/// What one owner learnt of a pair, the next one knows from the start.
fn a_new_owner_knows_what_was_learnt() {
    let (mut rig, serving, filling) = pair();
    for _ in 0..12 {
        rig.pass(500);
        rig.report(
            "w-1",
            vec![report(serving, 100, 30), report(filling, 40, 2_000)],
            vec![],
        );
        rig.pass(500);
        rig.report(
            "w-1",
            vec![report(serving, 100, 30), report(filling, 40, 2_000)],
            vec![],
        );
    }
    let learnt = rig
        .commit_all()
        .into_iter()
        .filter_map(|batch| batch.interference)
        .last();
    let learnt = learnt.expect("strengths are written");
    assert_eq!(learnt.pairs.len(), 1);
    let pair = &learnt.pairs[0];
    assert_eq!(
        (pair.serving.as_str(), pair.filling.as_str()),
        ("web", "index")
    );
    let info = TakeoverInfo {
        epoch: 2,
        claimed_at: 1_000,
        interference: learnt.clone(),
        ..TakeoverInfo::default()
    };
    let mut next = SchedulerRig::new(info);
    next.hand_in(1, 0, job(vec![step(1)]));
    next.now = 5_000;
    next.list(&["w-1"]);
    next.pass(25);
    let handed_on = next
        .commit_all()
        .into_iter()
        .filter_map(|batch| batch.interference)
        .last();
    assert_eq!(handed_on, Some(learnt));
}

sandshelf_cases::cases! {
    handed_on => a_new_owner_knows_what_was_learnt();
    over_target => a_task_over_its_target_is_left_alone();
    under_target => a_task_well_under_its_target_leaves_the_rest_at_full_pace();
}
