//! The order in which tasks are started, and the choice of their workers.

mod support;

use sandshelf_jobs::{JobSpec, RunKey, RunReport, StepSpec, TakeoverInfo};
use sandshelf_model::ResourceSize;
use support::{job, step, SchedulerRig, WALL_START_MS};

const SERVING_CPU: u64 = 3_000;

/// A standing step with a latency target; five of its tasks fill a worker's processors.
fn serving(count: u32, image: &str) -> StepSpec {
    StepSpec {
        standing: true,
        target_ms: 50,
        image: image.to_owned(),
        size: ResourceSize::new(SERVING_CPU, 1_000, 0),
        ..step(count)
    }
}

/// The workers on which the tasks of a job are started, sorted.
fn start_workers(rig: &mut SchedulerRig, number: u64, spec: JobSpec) -> Vec<String> {
    rig.hand_in(number, 0, spec);
    let mut start_workers: Vec<String> =
        rig.take_starts().into_iter().map(|start| start.0).collect();
    start_workers.sort();
    start_workers
}

fn serving_tasks_of_one_job_share_a_worker() {
    let mut rig = SchedulerRig::with_workers(&["w-1", "w-2", "w-3"]);
    let first = start_workers(&mut rig, 1, job(vec![serving(4, "web")]));
    assert_eq!(first.len(), 4);
    assert_eq!(first[0], first[3], "{first:?}");
    let second = start_workers(&mut rig, 2, job(vec![serving(4, "web")]));
    assert_eq!(
        second[0], first[0],
        "one fits on the worker of the first job"
    );
    assert_eq!(second[1], second[3], "{second:?}");
}

fn images_are_not_mixed_while_capacity_lasts() {
    let mut rig = SchedulerRig::with_workers(&["w-1", "w-2"]);
    let first = start_workers(&mut rig, 1, job(vec![serving(1, "web")]));
    let second = start_workers(&mut rig, 2, job(vec![serving(1, "mail")]));
    assert_ne!(first, second);
}

fn serving_tasks_leave_workers_to_filling_tasks() {
    let mut rig = SchedulerRig::with_workers(&["w-1", "w-2", "w-3"]);
    let first = start_workers(&mut rig, 1, job(vec![serving(2, "web")]));
    let second = start_workers(&mut rig, 2, job(vec![serving(2, "web")]));
    assert_eq!(
        first, second,
        "the worker of the first job has free capacity"
    );
}

/// Ordinary tasks give their capacity back soon. Where both wait, ordinary tasks start before standing ones.
fn ordinary_tasks_go_before_standing_tasks() {
    let mut rig = SchedulerRig::with_workers(&["w-1"]);
    let whole_worker = |standing: bool| StepSpec {
        standing,
        size: ResourceSize::new(16_000, 1_000, 0),
        ..step(1)
    };
    rig.hand_in(1, 0, job(vec![whole_worker(false)]));
    let running = rig.take_starts().pop().expect("a start").1.key;
    rig.hand_in(2, 0, job(vec![whole_worker(true)]));
    rig.hand_in(3, 0, job(vec![whole_worker(false)]));
    assert!(rig.take_starts().is_empty(), "the worker is full");
    rig.advance(200);
    let end = support::end_report(1, running, sandshelf_jobs::RunOutcome::Done);
    rig.report("w-1", vec![], vec![end]);
    // While tasks are left waiting, placement passes are a few milliseconds apart.
    rig.advance(25);
    let next = rig.take_starts().pop().expect("a start").1.key;
    assert_eq!(next.task.job.0, 3);
}

/// A new owner knows when each job was submitted: a job whose end has no value any more goes last.
fn a_new_owner_knows_how_late_a_job_is() {
    let info = TakeoverInfo {
        epoch: 2,
        claimed_at: 1_000,
        claim_version: 100,
        wall_ms: WALL_START_MS + 60_000,
        ..TakeoverInfo::default()
    };
    let mut rig = SchedulerRig::new(info);
    let whole_worker = StepSpec {
        size: ResourceSize::new(16_000, 1_000, 0),
        ..step(1)
    };
    let submitted = |seconds: u64| JobSpec {
        handed_in_ms: WALL_START_MS + seconds * 1_000,
        ..job(vec![whole_worker.clone()])
    };
    rig.hand_in(1, 50, submitted(0));
    rig.hand_in(2, 51, submitted(60));
    rig.list(&["w-1"]);
    rig.commit_all();
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

/// A weakly interfering task gets its share first, even alongside a more urgent task that interferes strongly.
fn weak_interference_goes_first() {
    let mut rig = SchedulerRig::with_workers(&["w-1"]);
    rig.hand_in(1, 0, job(vec![serving(1, "web")]));
    let serving_key = rig.take_starts().pop().expect("a start").1.key;
    rig.advance(500);
    rig.report("w-1", vec![measured(serving_key, 100, 20)], vec![]);
    rig.hand_in(2, 0, job(vec![filling("strong")]));
    let strong = rig.take_starts().pop().expect("a start").1.key;
    let reports = |tail| {
        vec![
            measured(serving_key, 100, tail),
            measured(strong, 10, 4_000),
        ]
    };
    for _ in 0..3 {
        rig.advance(500);
        rig.report("w-1", reports(45), vec![]);
    }
    rig.hand_in(3, 0, job(vec![filling("weak")]));
    rig.advance(100);
    let weak = rig
        .take_starts()
        .pop()
        .expect("it starts on the same worker")
        .1
        .key;
    assert_eq!(weak.task.job.0, 3);
    rig.advance(400);
    rig.report("w-1", reports(45), vec![]);
    let paces = rig.paces();
    assert!(
        paces
            .iter()
            .any(|(key, pace)| *key == strong && *pace < 100),
        "{paces:?}"
    );
    assert!(paces.iter().all(|(key, _)| *key != weak), "{paces:?}");
}

/// A start order that waits for the owner's processor reaches the worker too late, so the number of unanswered starts is bounded.
fn unanswered_starts_are_bounded() {
    let names: Vec<String> = (1..=100).map(|number| format!("w-{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut rig = SchedulerRig::with_workers(&names);
    rig.hand_in(1, 0, job(vec![step(600)]));
    let mut sent = Vec::new();
    for _ in 0..4 {
        rig.advance(200);
        sent.push(rig.take_starts().len());
    }
    assert!(sent.iter().all(|count| *count <= 300), "{sent:?} at once");
    assert_eq!(sent.iter().sum::<usize>(), 600, "the others follow answers");
}

sandshelf_cases::cases! {
    starts_bounded => unanswered_starts_are_bounded();
    packed_by_job => serving_tasks_of_one_job_share_a_worker();
    packed_by_image => images_are_not_mixed_while_capacity_lasts();
    workers_left_free => serving_tasks_leave_workers_to_filling_tasks();
    ordinary_before_standing => ordinary_tasks_go_before_standing_tasks();
    age_after_takeover => a_new_owner_knows_how_late_a_job_is();
    weak_first => weak_interference_goes_first();
}
