//! More filling jobs than the capacity beside serving tasks allows: how many of them end in time, compared with an upper bound.

mod support;
mod task_fleet;

use sandshelf_jobs::{JobNote, JobSpec, QueueRules, StepSpec};
use sandshelf_model::{LoadPolicies, LoadPolicy, Millis, ResourceSize};
use support::{job, rules, step};
use task_fleet::{allowed_increase, draw, TaskFleet, COEFFICIENTS, TICK_MS};

/// Half of the workers serve each image.
const WORKERS: usize = 48;
/// How long callers submit filling jobs.
const TRAFFIC_MS: Millis = 26_000;
/// How long the serving tasks run alone before, so that the owner knows their loads.
const WARM_UP_MS: Millis = 16_000;
/// The work of a filling task at full pace, and its processors.
const FILL_RUN_MS: Millis = 2_000;
const FILL_CPU_MILLIS: u64 = 1_800;
/// The tasks of a step of a narrow and of a wide job; one job in five is wide.
const NARROW_TASKS: u32 = 4;
const WIDE_TASKS: u32 = 24;
const WIDE_SHARE: f64 = 0.2;
const STEPS: u64 = 2;
/// The time within which a job has to end.
const OBJECTIVE_MS: Millis = 2 * STEPS * FILL_RUN_MS + LATENCY_MS;
const LATENCY_MS: Millis = 1_000;
/// For how long jobs may end after the last was submitted.
const AFTERWARDS_MS: Millis = 30_000;
/// How much more time the jobs of the patient queue have.
const PATIENT_MS: Millis = 10_000;
/// How long a new owner is watched.
const TAKEOVER_MS: Millis = 2_000;
/// The number of the first filling job.
const FIRST_JOB: u64 = 1_000;
/// The largest share of the time over target that may remain with the policy.
const MAX_OVER_TARGET_SHARE: f64 = 0.25;
/// Wide jobs have to be served at least this share as often as all.
const MIN_SIZE_SHARE: f64 = 0.5;

fn serving_step(image: usize) -> StepSpec {
    StepSpec {
        standing: true,
        target_ms: 50,
        image: format!("serve-{image}"),
        size: ResourceSize::new(12_000, 45_000, 0),
        most_per_worker: 1,
        ..step(WORKERS as u32 / 2)
    }
}

fn filling_step(image: usize, count: u32, after: Vec<usize>) -> StepSpec {
    StepSpec {
        fills: true,
        checkpoints: true,
        image: format!("fill-{image}"),
        size: ResourceSize::new(FILL_CPU_MILLIS, 1_500, 0),
        estimate_ms: FILL_RUN_MS,
        after,
        ..step(count)
    }
}

fn filling_job(number: u64) -> JobSpec {
    let image = (draw(number, 1) * 4.0) as usize;
    let wide = draw(number, 2) < WIDE_SHARE;
    let count = if wide { WIDE_TASKS } else { NARROW_TASKS };
    let steps = vec![
        filling_step(image, count, vec![]),
        filling_step(image, count, vec![0]),
    ];
    JobSpec {
        queue: "fill".to_owned(),
        address: None,
        rules: QueueRules {
            priority: 2,
            target_latency_ms: LATENCY_MS,
            ..rules()
        },
        ..job(steps)
    }
}

/// The load of a job's tasks on the serving image that they disturb least, in milliseconds of that image's whole load.
fn least_cost(spec: &JobSpec) -> f64 {
    let step = &spec.steps[0];
    let image = step.image.trim_start_matches("fill-").parse::<usize>();
    let image = image.expect("an image's number");
    let coefficient = COEFFICIENTS.iter().map(|row| row[image]);
    let work_ms = f64::from(step.count) * (STEPS * FILL_RUN_MS) as f64;
    coefficient.fold(f64::INFINITY, f64::min) * FILL_CPU_MILLIS as f64 / 16_000.0 * work_ms
}

/// The load that serving tasks tolerate in a time, in milliseconds of whole loads.
fn tolerated_ms(from: Millis, until: Millis) -> f64 {
    let times = (from..until).step_by(TICK_MS as usize);
    let each = times.map(|at| allowed_increase(0, at) + allowed_increase(1, at));
    each.sum::<f64>() * (TICK_MS as f64) * (WORKERS as f64) / 2.0
}

/// The jobs of one size, and those of them that ended in time.
#[derive(Clone, Copy, Debug, Default)]
struct SizeOutcome {
    submitted: usize,
    in_time: usize,
}

impl SizeOutcome {
    fn served_share(&self) -> f64 {
        self.in_time as f64 / self.submitted as f64
    }
}

#[derive(Debug, Default)]
struct OverloadOutcome {
    narrow: SizeOutcome,
    wide: SizeOutcome,
    /// Jobs that began while jobs were submitted and were not in time.
    begun_late: usize,
    /// The most jobs that can end in time if both sizes are served alike.
    bound: usize,
    over_target_s: f64,
    stops: usize,
    paces: usize,
}

impl OverloadOutcome {
    fn all(&self) -> SizeOutcome {
        SizeOutcome {
            submitted: self.narrow.submitted + self.wide.submitted,
            in_time: self.narrow.in_time + self.wide.in_time,
        }
    }
}

fn policies(on: bool) -> LoadPolicies {
    let none = LoadPolicies::default();
    match on {
        true => none.with(LoadPolicy::FairOrder),
        false => none,
    }
}

/// The costs of the jobs of one width, the cheapest first.
fn sorted_costs(specs: &[JobSpec], count: u32) -> Vec<f64> {
    let same = specs.iter().filter(|spec| spec.steps[0].count == count);
    let mut costs: Vec<f64> = same.map(least_cost).collect();
    costs.sort_by(f64::total_cmp);
    costs
}

/// The most jobs that fit into the tolerated load: the same share of the narrow and of the wide ones, those that cost least, each on
/// the workers that it disturbs least, and no time lost.
fn most_in_time(specs: &[JobSpec], tolerated: f64) -> usize {
    let sizes = [NARROW_TASKS, WIDE_TASKS].map(|count| sorted_costs(specs, count));
    let taken = |percent: usize| {
        let parts = sizes
            .iter()
            .map(|costs| &costs[..costs.len() * percent / 100]);
        parts.fold((0, 0.0), |(count, cost), part| {
            (count + part.len(), cost + part.iter().sum::<f64>())
        })
    };
    let fitting = (0..=100).map(taken).filter(|(_, cost)| *cost <= tolerated);
    fitting.map(|(count, _)| count).max().unwrap_or(0)
}

fn mean_cost() -> f64 {
    let costs = (FIRST_JOB..FIRST_JOB + 1_000).map(|number| least_cost(&filling_job(number)));
    costs.sum::<f64>() / 1_000.0
}

/// Submits jobs at a multiple of what fits beside the serving tasks; returns their specifications.
fn submit_jobs(fleet: &mut TaskFleet, load: f64, job_of: impl Fn(u64) -> JobSpec) -> Vec<JobSpec> {
    let from = fleet.rig.now;
    let fitting = tolerated_ms(from, from + TRAFFIC_MS) / mean_cost();
    let per_tick = load * fitting * TICK_MS as f64 / TRAFFIC_MS as f64;
    let (mut due_jobs, mut specs) = (0.0, Vec::new());
    for _ in 0..TRAFFIC_MS / TICK_MS {
        due_jobs += per_tick;
        while due_jobs >= 1.0 {
            due_jobs -= 1.0;
            let number = FIRST_JOB + specs.len() as u64;
            specs.push(job_of(number));
            fleet.submit(number, job_of(number));
        }
        fleet.tick();
    }
    specs
}

/// Workers with serving tasks whose loads the owner knows.
fn serving_fleet(on: bool) -> TaskFleet {
    let mut fleet = TaskFleet::new(WORKERS, policies(on), false);
    for image in 0..COEFFICIENTS.len() {
        fleet.submit(1 + image as u64, job(vec![serving_step(image)]));
    }
    fleet.run(WARM_UP_MS);
    fleet
}

fn play_overload(load: f64, on: bool) -> OverloadOutcome {
    let mut fleet = serving_fleet(on);
    let from = fleet.rig.now;
    fleet.over_target_ms = 0;
    let specs = submit_jobs(&mut fleet, load, filling_job);
    fleet.run(AFTERWARDS_MS);
    let mut outcome = OverloadOutcome {
        bound: most_in_time(&specs, tolerated_ms(from, from + TRAFFIC_MS + OBJECTIVE_MS)),
        over_target_s: fleet.over_target_ms as f64 / 1_000.0,
        ..OverloadOutcome::default()
    };
    for (number, spec) in (FIRST_JOB..).zip(&specs) {
        let in_time = fleet.ended.get(&number).is_some_and(|end| end.is_in_time());
        let began = fleet.first_starts.get(&number);
        let began = began.is_some_and(|at| *at < from + TRAFFIC_MS);
        let size = match spec.steps[0].count {
            NARROW_TASKS => &mut outcome.narrow,
            _ => &mut outcome.wide,
        };
        size.submitted += 1;
        size.in_time += usize::from(in_time);
        outcome.begun_late += usize::from(began && !in_time);
    }
    for note in &fleet.notes {
        outcome.stops += usize::from(matches!(note, JobNote::Stopped { .. }));
        outcome.paces += usize::from(matches!(note, JobNote::Paced(..)));
    }
    outcome
}

/// Guards against all filling jobs starting at once and slowing each other down, against serving tasks over their targets meanwhile,
/// and against narrow jobs shutting out wide ones.
fn fewer_jobs_run_each_to_its_end(load: f64) {
    let before = play_overload(load, false);
    let after = play_overload(load, true);
    for outcome in [&before, &after] {
        let share = outcome.all().in_time as f64 / outcome.bound as f64;
        println!("{load}: {share:.2} of the bound, {outcome:?}");
    }
    assert!(after.all().in_time >= before.all().in_time);
    assert!(after.begun_late <= before.begun_late / 2);
    assert!(after.over_target_s <= before.over_target_s * MAX_OVER_TARGET_SHARE);
    assert!(after.wide.served_share() >= after.all().served_share() * MIN_SIZE_SHARE);
}

/// Guards against a new owner that starts all waiting jobs because it counts nothing as begun.
fn a_new_owner_counts_what_runs() {
    let mut fleet = serving_fleet(true);
    submit_jobs(&mut fleet, 2.0, filling_job);
    let before = fleet.running_jobs(FIRST_JOB);
    fleet.take_over();
    fleet.run(TAKEOVER_MS);
    let after = fleet.running_jobs(FIRST_JOB);
    println!("jobs at work before the takeover and after it: {before}, {after}");
    assert!(after * 2 >= before, "the new owner starts nothing");
    assert!(after * 2 <= before * 3);
}

/// A filling job of one of two queues. Jobs of the patient queue have more time, so that they always seem newer.
fn job_of_two_queues(number: u64) -> JobSpec {
    let mut spec = filling_job(number);
    if number.is_multiple_of(2) {
        spec.queue = "patient".to_owned();
        spec.rules.target_latency_ms += PATIENT_MS;
    }
    spec
}

/// Guards against a queue whose jobs always come first in the order of new jobs, so that another one of its priority gets nothing.
fn queues_of_a_priority_get_like_shares() {
    let mut fleet = serving_fleet(true);
    let specs = submit_jobs(&mut fleet, 2.0, job_of_two_queues);
    fleet.run(AFTERWARDS_MS);
    let (mut patient, mut other) = (SizeOutcome::default(), SizeOutcome::default());
    for (number, spec) in (FIRST_JOB..).zip(&specs) {
        let queue = if spec.queue == "patient" {
            &mut patient
        } else {
            &mut other
        };
        queue.submitted += 1;
        let end = fleet.ended.get(&number);
        queue.in_time += usize::from(end.is_some_and(|end| end.is_in_time()));
    }
    println!("patient queue {patient:?}, other queue {other:?}");
    assert!(other.served_share() >= patient.served_share() * MIN_SIZE_SHARE);
}

sandshelf_cases::cases! {
    half_over_capacity => fewer_jobs_run_each_to_its_end(1.5);
    twice_the_capacity => fewer_jobs_run_each_to_its_end(2.0);
    new_owner => a_new_owner_counts_what_runs();
    two_queues => queues_of_a_priority_get_like_shares();
    three_times_the_capacity => fewer_jobs_run_each_to_its_end(3.0);
}
