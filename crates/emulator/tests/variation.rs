//! Tests how the jobs of a class differ from one another, and how long workers take to stop, resume and hindered runs.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sandshelf_emulator::catalog::{EmulatedJob, JobCatalog};
use sandshelf_emulator::deployment::{Deployment, JobClass, JobVariation, StragglerRule};
use sandshelf_emulator::interference::InterferenceModel;
use sandshelf_emulator::oracle::PlatformOracle;
use sandshelf_emulator::queue::MS;
use sandshelf_emulator::worker::{
    EmulatedWorker, IncarnationClock, RunProgress, RunTiming, WorkerContext,
};
use sandshelf_jobs::{
    JobNumber, JobSpec, RunKey, StartCall, StepSpec, TaskKey, WorkerCall, WorkerIncarnation,
};
use sandshelf_model::{LoadPolicies, ResourceSize, WorkerId};

/// How many jobs are drawn where a share is tested.
const JOBS: usize = 2_000;
/// The seed of all draws.
const SEED: u64 = 1;

fn drawn(class: &JobClass) -> Vec<EmulatedJob> {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let jobs = (0..JOBS).map(|_| class.draw(0, &mut random));
    jobs.collect()
}

fn steps(class: &JobClass) -> Vec<StepSpec> {
    let jobs = drawn(class).into_iter();
    let steps = jobs.flat_map(|job| job.spec.steps.clone());
    steps.collect()
}

fn camp_class(queue: &str) -> JobClass {
    let classes = Deployment::camp().classes.into_iter();
    let mut named = classes.filter(|class| class.queue == queue);
    named.next().expect("the class is known")
}

fn within<T: PartialOrd + std::fmt::Debug>(value: T, range: std::ops::RangeInclusive<T>) {
    assert!(range.contains(&value), "{value:?} not in {range:?}");
}

/// All steps of a job allow copies, or none does, for 30 in 100 jobs.
fn share_of_copies() {
    let jobs = drawn(&camp_class("pricing"));
    let allow = |job: &EmulatedJob| {
        let allowed: Vec<bool> = job
            .spec
            .steps
            .iter()
            .map(|step| step.copies_allowed)
            .collect();
        assert!(
            allowed.iter().all(|step| *step == allowed[0]),
            "{allowed:?}"
        );
        allowed[0]
    };
    let count = jobs.iter().filter(|job| allow(job)).count();
    within(count * 100 / JOBS, 27..=33);
}

/// Estimates deviate from the mean run time of 800 ms by a factor of up to 1.9, in both directions.
fn spread_of_estimates() {
    let estimates = steps(&camp_class("pricing")).into_iter();
    let estimates: Vec<u64> = estimates.map(|step| step.estimate_ms).collect();
    within(*estimates.iter().min().expect("steps are drawn"), 421..=440);
    within(
        *estimates.iter().max().expect("steps are drawn"),
        1_480..=1_520,
    );
    let above = estimates.iter().filter(|estimate| **estimate > 800).count();
    within(above * 100 / estimates.len(), 45..=55);
}

/// Sizes deviate by up to a half, with the mean of the class, and processors and memory by the same factor.
fn spread_of_sizes() {
    let steps = steps(&camp_class("pricing"));
    let cpu: u64 = steps.iter().map(|step| step.size.cpu_millis).sum();
    within(cpu / steps.len() as u64, 2_550..=2_650);
    for step in &steps {
        within(step.size.cpu_millis, 1_300..=3_900);
        within(
            step.size.memory_mib.abs_diff(2 * step.size.cpu_millis),
            0..=2,
        );
    }
}

/// A fifth of the tasks of a standing step may be unavailable, rounded up.
fn share_that_may_miss() {
    for step in steps(&camp_class("watch")) {
        assert_eq!(step.may_miss, Some(step.count.div_ceil(5)), "{step:?}");
    }
}

/// Without differences, a class draws the same jobs as before it had any.
fn no_differences_by_default() {
    let class = JobClass {
        variation: JobVariation::default(),
        ..camp_class("pricing")
    };
    for step in steps(&class) {
        let plain = class.step(0, step.count, 0);
        let expected = StepSpec {
            after: step.after.clone(),
            ..plain
        };
        assert_eq!(step, expected);
    }
}

fn catalog(stragglers: StragglerRule) -> JobCatalog {
    let step = StepSpec {
        count: 1_000,
        size: ResourceSize::new(1_000, 100, 0),
        checkpoints: true,
        ..StepSpec::default()
    };
    let spec = JobSpec {
        queue: "pricing".to_owned(),
        address: None,
        rules: camp_class("pricing").rules,
        payload: String::new(),
        steps: vec![step],
        handed_in_ms: 0,
        repeat: None,
    };
    let job = EmulatedJob {
        spec: spec.into(),
        work_ms: 2_000,
        failing: 0,
        stragglers,
    };
    let mut catalog = JobCatalog::new(SEED);
    catalog.add(JobNumber(1), job);
    catalog
}

fn key(index: u32, run: u64) -> RunKey {
    let task = TaskKey {
        job: JobNumber(1),
        time: 0,
        step: 0,
        index,
    };
    RunKey { task, run }
}

/// Three in 100 runs are stragglers, and the next run of such a task seldom is one.
fn share_of_stragglers() {
    let rule = StragglerRule {
        percent: 3,
        factor: 7,
    };
    let catalog = catalog(rule);
    let is_slow = |index: u32, run: u64| {
        let facts = catalog.facts(&key(index, run)).expect("the job is known");
        assert!(facts.slowness == 1 || facts.slowness == 7, "{facts:?}");
        facts.slowness == 7
    };
    let first: Vec<u32> = (0..1_000).filter(|index| is_slow(*index, 1)).collect();
    within(first.len(), 20..=40);
    let again = first.iter().filter(|index| is_slow(**index, 2)).count();
    within(again, 0..=5);
}

const TIMING: RunTiming = RunTiming {
    stop_ms: (300, 900),
    restore_ms: 600,
};

/// A worker with one run, and what it refers to.
struct OneRun {
    worker: EmulatedWorker,
    catalog: JobCatalog,
    oracle: PlatformOracle,
}

impl OneRun {
    /// Starts the run at time 0 from this checkpoint, in milliseconds of work.
    fn start(saved_ms: Option<u64>) -> Self {
        let clock = IncarnationClock {
            incarnation: WorkerIncarnation(1),
            at: 0,
            clock: 0,
            clock_percent: 100,
        };
        let capacity = ResourceSize::new(16_000, 64_000, 0);
        let mut one = Self {
            worker: EmulatedWorker::new(WorkerId::from("a"), clock, capacity),
            catalog: catalog(StragglerRule::default()),
            oracle: PlatformOracle::default(),
        };
        let spec = one.catalog.get(JobNumber(1)).expect("the job is known");
        one.oracle.accepted(JobNumber(1), &spec.spec);
        one.order(WorkerCall::Start(StartCall {
            key: key(0, 1),
            payload: String::new(),
            checkpoint: saved_ms.map(|saved| format!("{saved:016x}")),
            deadline: 60_000,
        }));
        one
    }

    fn order(&mut self, call: WorkerCall) {
        let mut context = WorkerContext {
            now: 0,
            max_lease_ms: 60_000,
            run_timing: TIMING,
            drain_ms: 3_000,
            in_touch: true,
            catalog: &self.catalog,
            interference: &InterferenceModel::draw(SEED, 1, 1, 14_000),
            oracle: &mut self.oracle,
        };
        self.worker.handle_order(1, &call, &mut context);
    }

    fn hindered(mut self, progress: RunProgress) -> Self {
        self.worker.progress = progress;
        self
    }

    fn stopped(mut self) -> Self {
        self.order(WorkerCall::Stop(key(0, 1)));
        self
    }

    /// Whether the run goes on at this time, in milliseconds.
    fn runs_at(mut self, at: u64) -> bool {
        self.worker.advance(at * MS, &mut self.oracle);
        !self.worker.running().is_empty()
    }

    fn work_ms(&self) -> u64 {
        self.catalog
            .facts(&key(0, 1))
            .expect("the job is known")
            .work_ms
    }
}

/// The run goes on until `ends_at` milliseconds, and has ended a little later.
fn ends_at(run: impl Fn() -> OneRun, ends_at: u64) {
    assert!(run().runs_at(ends_at - 2), "ended before {ends_at} ms");
    assert!(!run().runs_at(ends_at + 2), "not ended at {ends_at} ms");
}

fn plain_run() {
    ends_at(|| OneRun::start(None), OneRun::start(None).work_ms());
}

/// A run that resumes from 1 s of work does the rest after the time that resuming takes.
fn resumed_run() {
    let work_ms = OneRun::start(None).work_ms();
    ends_at(|| OneRun::start(Some(1_000)), work_ms - 1_000 + 600);
}

fn slower_run() {
    let slower = || OneRun::start(None).hindered(RunProgress::Slower(5));
    ends_at(slower, 5 * OneRun::start(None).work_ms());
}

fn run_without_progress() {
    assert!(OneRun::start(None)
        .hindered(RunProgress::None)
        .runs_at(50_000));
}

fn stop_without_progress() {
    let stopped = OneRun::start(None).hindered(RunProgress::None).stopped();
    assert!(!stopped.runs_at(900));
}

/// Stops take between the shortest and the longest time, and not all of them the same.
fn spread_of_stops() {
    let times = (0..1_000).map(|index| TIMING.stop_ms(&key(index, 1)));
    let times: Vec<u64> = times.collect();
    within(*times.iter().min().expect("stops are drawn"), 300..=310);
    within(*times.iter().max().expect("stops are drawn"), 890..=900);
    assert_eq!(RunTiming::default().stop_ms(&key(0, 1)), 300);
}

/// The switches and the durations of a deployment reach the scheduler's limits.
fn limits_of(site: Deployment, lease_ms: u64, stop_ms: u64) {
    let limits = site.with_policies(LoadPolicies::all()).scheduler_limits();
    assert_eq!(limits.policies, LoadPolicies::all());
    assert_eq!(limits.max_lease_ms, lease_ms);
    assert_eq!(limits.stop_timeout_ms, stop_ms);
    assert_eq!(limits.restore_ms, 600);
}

fn policies_are_off(site: Deployment) {
    assert_eq!(site.scheduler_limits().policies, LoadPolicies::default());
}

sandshelf_cases::cases! {
    three_in_ten_jobs_allow_copies => share_of_copies();
    estimates_are_spread => spread_of_estimates();
    sizes_are_spread => spread_of_sizes();
    a_fifth_of_a_standing_step_may_miss => share_that_may_miss();
    a_class_without_differences_draws_none => no_differences_by_default();
    three_in_a_hundred_runs_are_stragglers => share_of_stragglers();
    a_run_takes_its_time => plain_run();
    a_resumed_run_waits_before_it_works => resumed_run();
    a_slowed_run_takes_longer => slower_run();
    a_run_without_progress_does_not_end => run_without_progress();
    a_run_without_progress_can_be_stopped => stop_without_progress();
    stops_take_different_times => spread_of_stops();
    the_limits_of_the_first_deployment => limits_of(Deployment::camp(), 10_000, 900);
    the_limits_of_the_second_deployment => limits_of(Deployment::match_site(), 6_000, 400);
    policies_are_off_on_camp => policies_are_off(Deployment::camp());
    policies_are_off_on_auction => policies_are_off(Deployment::auction());
}
