//! Paces of filling tasks on the same worker as serving tasks.

mod support;

use sandshelf_jobs::{
    JobAction, JobNote, OverTargetReport, RunKey, RunReport, StepSpec, TakeoverInfo, WorkerCall,
};
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

/// One worker on which a serving and a filling task are running.
fn pair() -> (SchedulerRig, RunKey, RunKey) {
    let mut rig = SchedulerRig::with_workers(&["w-1"]);
    rig.hand_in(1, 0, job(vec![serving()]));
    let serving = rig.take_starts().pop().expect("a start").1.key;
    rig.hand_in(2, 0, job(vec![filling()]));
    let filling = rig.take_starts().pop().expect("a start").1.key;
    (rig, serving, filling)
}

fn last_pace(rig: &SchedulerRig, run: RunKey) -> Option<u32> {
    let paces = rig.actions.iter().rev();
    paces
        .filter_map(|action| match action {
            JobAction::Call {
                call: WorkerCall::Pace(key, percent),
                ..
            } if *key == run => Some(*percent),
            _ => None,
        })
        .next()
}

/// A serving task that stays over its target stops the filling tasks on its worker within a second and a half, whatever the
/// interference estimate says.
fn filling_stops_beside_a_task_over_its_target() {
    let (mut rig, serving, filling) = pair();
    // An oscillating load keeps the estimate from ever predicting a high enough load.
    for tail in [12, 60, 11, 55, 51, 52, 51, 53] {
        rig.advance(500);
        rig.report(
            "w-1",
            vec![report(serving, 100, tail), report(filling, 40, 500)],
            vec![],
        );
    }
    assert_eq!(last_pace(&rig, filling), Some(0));
}

/// Readings are rough: single ones under the target don't let filling go on beside a task that is over its target for seconds.
///
/// Guards against serving tasks that stay over their targets beside filling tasks at full pace. Only readings that were over the
/// target without exception stopped the filling tasks, and the first one under it let all of them go on.
fn filling_stops_despite_single_readings_under_the_target(tails: [u64; 3]) {
    let (mut rig, serving, filling) = pair();
    for tail in tails.into_iter().cycle().take(8) {
        rig.advance(500);
        rig.report(
            "w-1",
            vec![report(serving, 100, tail), report(filling, 40, 1_500)],
            vec![],
        );
    }
    assert_eq!(last_pace(&rig, filling), Some(0));
}

/// A serving task over its target that gives no readings any more doesn't keep filling tasks stopped.
fn filling_goes_on_beside_a_task_without_readings() {
    let (mut rig, serving, filling) = pair();
    for tail in [Some(60), Some(60), Some(60), None, None, None] {
        rig.advance(500);
        let serving = RunReport {
            gauge: tail,
            ..report(serving, 100, 0)
        };
        rig.report("w-1", vec![serving, report(filling, 40, 500)], vec![]);
    }
    assert_ne!(last_pace(&rig, filling), Some(0));
}

/// A stretch in which a serving task is over its target is reported once while it lasts and once at its end, with the paces of
/// what fills beside it. A single reading under the target doesn't end it.
fn a_long_stretch_over_the_target_is_reported() {
    let (mut rig, serving, filling) = pair();
    for tail in [55, 60, 49, 70, 52, 12, 12] {
        rig.advance(500);
        rig.report(
            "w-1",
            vec![report(serving, 100, tail), report(filling, 40, 500)],
            vec![],
        );
    }
    let reports = rig.actions.iter().filter_map(|action| match action {
        JobAction::Note(JobNote::OverTarget(report)) => Some(report),
        _ => None,
    });
    let reports: Vec<&OverTargetReport> = reports.collect();
    let [first, last] = reports[..] else {
        panic!("two reports: {reports:?}");
    };
    assert!(first.lasts && !last.lasts);
    assert_eq!((first.lasted_ms, last.lasted_ms), (1_500, 2_000));
    assert_eq!((last.readings, last.dips, last.worst_ms), (4, 1, 70));
    let fills: Vec<RunKey> = last.fills.iter().map(|fill| fill.run).collect();
    assert_eq!(fills, vec![filling]);
}

fn filling_runs_at_full_pace_beside_a_task_under_its_target() {
    let (mut rig, serving, filling) = pair();
    for _ in 0..6 {
        rig.advance(500);
        rig.report(
            "w-1",
            vec![report(serving, 100, 12), report(filling, 40, 500)],
            vec![],
        );
    }
    assert!(matches!(last_pace(&rig, filling), None | Some(100)));
}

/// A new owner starts with the interference that the earlier one learned.
fn a_new_owner_keeps_learned_interference() {
    let (mut rig, serving, filling) = pair();
    for _ in 0..12 {
        rig.advance(500);
        rig.report(
            "w-1",
            vec![report(serving, 100, 30), report(filling, 40, 2_000)],
            vec![],
        );
        rig.advance(500);
        rig.report(
            "w-1",
            vec![report(serving, 100, 30), report(filling, 40, 2_000)],
            vec![],
        );
    }
    // Interference is written along with other changes.
    rig.hand_in(8, 1, job(vec![step(1)]));
    let learned = rig
        .commit_all()
        .into_iter()
        .filter_map(|batch| batch.interference)
        .last();
    let learned = learned.expect("interference is written");
    assert_eq!(learned.pairs.len(), 1);
    let pair = &learned.pairs[0];
    assert_eq!(
        (pair.serving.as_str(), pair.filling.as_str()),
        ("web", "index")
    );
    let info = TakeoverInfo {
        epoch: 2,
        claimed_at: 1_000,
        interference: learned.clone(),
        ..TakeoverInfo::default()
    };
    let mut next = SchedulerRig::new(info);
    next.hand_in(1, 0, job(vec![step(1)]));
    next.now = 5_000;
    next.list(&["w-1"]);
    next.advance(25);
    let kept_by_new_owner = next
        .commit_all()
        .into_iter()
        .filter_map(|batch| batch.interference)
        .last();
    assert_eq!(kept_by_new_owner, Some(learned));
}

sandshelf_cases::cases! {
    kept_by_new_owner => a_new_owner_keeps_learned_interference();
    over_target_with_slight_dips => filling_stops_despite_single_readings_under_the_target([52, 52, 49]);
    over_target_with_deep_dips => filling_stops_despite_single_readings_under_the_target([55, 70, 30]);
    over_target_every_other_time => filling_stops_despite_single_readings_under_the_target([49, 90, 52]);
    no_readings_any_more => filling_goes_on_beside_a_task_without_readings();
    reported_over_target => a_long_stretch_over_the_target_is_reported();
    over_target => filling_stops_beside_a_task_over_its_target();
    under_target => filling_runs_at_full_pace_beside_a_task_under_its_target();
}
