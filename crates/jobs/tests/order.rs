//! In what order tasks are started, and which worker each goes to.

mod support;

use sandshelf_jobs::{JobSpec, RunKey, RunReport, StepSpec, TakeoverInfo};
use sandshelf_model::ResourceSize;
use support::{job, step, SchedulerRig, WALL_START_MS};

const SERVING_CPU: u64 = 3_000;

/// A standing step whose answer times are watched; five of its tasks fill a worker's processors.
fn serving(count: u32, image: &str) -> StepSpec {
    StepSpec {
        standing: true,
        target_ms: 50,
        image: image.to_owned(),
        size: ResourceSize::new(SERVING_CPU, 1_000, 0),
        ..step(count)
    }
}

/// The workers that the tasks of a job are started on, sorted.
fn places(rig: &mut SchedulerRig, number: u64, spec: JobSpec) -> Vec<String> {
    rig.hand_in(number, 0, spec);
    let mut places: Vec<String> = rig.take_starts().into_iter().map(|start| start.0).collect();
    places.sort();
    places
}

fn serving_tasks_of_one_job_stand_together() {
    let mut rig = SchedulerRig::with_workers(&["w-1", "w-2", "w-3"]);
    let first = places(&mut rig, 1, job(vec![serving(4, "web")]));
    assert_eq!(first.len(), 4);
    assert_eq!(first[0], first[3], "{first:?}");
    let second = places(&mut rig, 2, job(vec![serving(4, "web")]));
    assert_eq!(second[0], first[0], "one fits beside the first job");
    assert_eq!(second[1], second[3], "{second:?}");
}

fn images_are_not_mixed_while_there_is_room() {
    let mut rig = SchedulerRig::with_workers(&["w-1", "w-2"]);
    let first = places(&mut rig, 1, job(vec![serving(1, "web")]));
    let second = places(&mut rig, 2, job(vec![serving(1, "mail")]));
    assert_ne!(first, second);
}

fn serving_tasks_leave_workers_to_filling_ones() {
    let mut rig = SchedulerRig::with_workers(&["w-1", "w-2", "w-3"]);
    let first = places(&mut rig, 1, job(vec![serving(2, "web")]));
    let second = places(&mut rig, 2, job(vec![serving(2, "web")]));
    assert_eq!(first, second, "there is room beside the first job");
}

/// Ordinary tasks give their room back soon: where both wait, they go before standing ones.
fn ordinary_tasks_go_before_standing_ones() {
    let mut rig = SchedulerRig::with_workers(&["w-1"]);
    let whole = |standing: bool| StepSpec {
        standing,
        size: ResourceSize::new(16_000, 1_000, 0),
        ..step(1)
    };
    rig.hand_in(1, 0, job(vec![whole(false)]));
    let held = rig.take_starts().pop().expect("a start").1.key;
    rig.hand_in(2, 0, job(vec![whole(true)]));
    rig.hand_in(3, 0, job(vec![whole(false)]));
    assert!(rig.take_starts().is_empty(), "the worker is full");
    rig.pass(200);
    let end = support::ended(1, held, sandshelf_jobs::RunOutcome::Done);
    rig.report("w-1", vec![], vec![end]);
    // While tasks are left waiting, passes are a few milliseconds apart.
    rig.pass(25);
    let next = rig.take_starts().pop().expect("a start").1.key;
    assert_eq!(next.task.job.0, 3);
}

/// A new owner knows when each job was handed in: one whose end is of no use any more goes last.
fn a_new_owner_knows_how_late_a_job_is() {
    let info = TakeoverInfo {
        epoch: 2,
        claimed_at: 1_000,
        claim_version: 100,
        wall_ms: WALL_START_MS + 60_000,
        ..TakeoverInfo::default()
    };
    let mut rig = SchedulerRig::new(info);
    let whole = StepSpec {
        size: ResourceSize::new(16_000, 1_000, 0),
        ..step(1)
    };
    let handed_in = |seconds: u64| JobSpec {
        handed_in_ms: WALL_START_MS + seconds * 1_000,
        ..job(vec![whole.clone()])
    };
    rig.hand_in(1, 50, handed_in(0));
    rig.hand_in(2, 51, handed_in(60));
    rig.list(&["w-1"]);
    rig.report("w-1", vec![], vec![]);
    let first = rig.take_starts().pop().expect("a start").1.key;
    assert_eq!(first.task.job.0, 2);
}

fn filling(image: &str) -> StepSpec {
    StepSpec {
        fills: true,
        image: image.to_owned(),
        size: ResourceSize::new(4_000, 1_000, 0),
        ..step(1)
    }
}

fn measured(key: RunKey, percent: u32, gauge: u64) -> RunReport {
    RunReport {
        key,
        checkpoint: None,
        percent,
        gauge: Some(gauge),
    }
}

/// What disturbs little gets its share first, also beside a more urgent task that disturbs much.
fn what_disturbs_little_goes_first() {
    let mut rig = SchedulerRig::with_workers(&["w-1"]);
    rig.hand_in(1, 0, job(vec![serving(1, "web")]));
    let served = rig.take_starts().pop().expect("a start").1.key;
    rig.pass(500);
    rig.report("w-1", vec![measured(served, 100, 20)], vec![]);
    rig.hand_in(2, 0, job(vec![filling("loud")]));
    let loud = rig.take_starts().pop().expect("a start").1.key;
    let beside = |tail| vec![measured(served, 100, tail), measured(loud, 10, 4_000)];
    for _ in 0..3 {
        rig.pass(500);
        rig.report("w-1", beside(45), vec![]);
    }
    rig.hand_in(3, 0, job(vec![filling("soft")]));
    rig.pass(100);
    let soft = rig
        .take_starts()
        .pop()
        .expect("it starts beside the other")
        .1
        .key;
    assert_eq!(soft.task.job.0, 3);
    rig.pass(400);
    rig.report("w-1", beside(45), vec![]);
    let paces = rig.paces();
    assert!(
        paces.iter().any(|(key, pace)| *key == loud && *pace < 100),
        "{paces:?}"
    );
    assert!(paces.iter().all(|(key, _)| *key != soft), "{paces:?}");
}

/// An order that waits for the owner's processor comes to the worker too late: what is not answered bounds what is sent.
fn starts_without_an_answer_are_bounded() {
    let names: Vec<String> = (1..=100).map(|number| format!("w-{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut rig = SchedulerRig::with_workers(&names);
    rig.hand_in(1, 0, job(vec![step(600)]));
    let mut sent = Vec::new();
    for _ in 0..4 {
        rig.pass(200);
        sent.push(rig.take_starts().len());
    }
    assert!(sent.iter().all(|count| *count <= 300), "{sent:?} at once");
    assert_eq!(sent.iter().sum::<usize>(), 600, "the others follow answers");
}

sandshelf_cases::cases! {
    starts_bounded => starts_without_an_answer_are_bounded();
    packed_by_job => serving_tasks_of_one_job_stand_together();
    packed_by_image => images_are_not_mixed_while_there_is_room();
    workers_left_free => serving_tasks_leave_workers_to_filling_ones();
    ordinary_before_standing => ordinary_tasks_go_before_standing_ones();
    age_after_takeover => a_new_owner_knows_how_late_a_job_is();
    weak_first => what_disturbs_little_goes_first();
}
