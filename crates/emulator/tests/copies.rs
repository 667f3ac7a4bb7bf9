//! Tests which starts and ends the oracle reports where a step allows copies and where it does not, and that a worker takes a second
//! run of a task that runs elsewhere.

use sandshelf_emulator::catalog::{EmulatedJob, JobCatalog};
use sandshelf_emulator::deployment::StragglerRule;
use sandshelf_emulator::interference::InterferenceModel;
use sandshelf_emulator::oracle::{BrokenRule, PlatformOracle, RuleBounds};
use sandshelf_emulator::queue::MS;
use sandshelf_emulator::worker::{EmulatedWorker, IncarnationClock, RunTiming, WorkerContext};
use sandshelf_jobs::{
    JobEvent, JobNumber, JobSpec, JobStage, OrderAnswer, QueueRules, RunKey, RunOutcome, StartCall,
    StepSpec, TaskKey, WorkerCall, WorkerIncarnation,
};
use sandshelf_model::{ResourceSize, WorkerId};

const JOB: JobNumber = JobNumber(1);
/// The run time of the task at full pace, in milliseconds.
const WORK_MS: u64 = 1_000;

fn job(copies_allowed: bool) -> JobSpec {
    let rules = QueueRules {
        service: "desk".to_owned(),
        max_attempts: 2,
        ..QueueRules::default()
    };
    let step = StepSpec {
        count: 1,
        size: ResourceSize::new(1_000, 100, 0),
        copies_allowed,
        ..StepSpec::default()
    };
    JobSpec {
        queue: "pricing".to_owned(),
        rules,
        payload: String::new(),
        steps: vec![step],
        handed_in_ms: 0,
        repeat: None,
    }
}

fn run(number: u64) -> RunKey {
    let task = TaskKey {
        job: JOB,
        time: 0,
        step: 0,
        index: 0,
    };
    RunKey { task, run: number }
}

/// An oracle that knows the job, with the events of the one task of it.
struct TaskEvents(PlatformOracle);

impl TaskEvents {
    fn of(copies_allowed: bool) -> Self {
        let mut oracle = PlatformOracle::with_bounds(RuleBounds::LARGE);
        oracle.accepted(JOB, &job(copies_allowed));
        Self(oracle)
    }

    /// A run starts at `at` milliseconds; `in_touch` is that of its owner.
    fn start(mut self, at: u64, worker: &str, number: u64, in_touch: bool) -> Self {
        let worker = WorkerId::from(worker);
        self.0.started(at, &worker, run(number), in_touch);
        self
    }

    /// A run ends, which is acknowledged at once.
    fn end(mut self, at: u64, worker: &str, number: u64, outcome: RunOutcome) -> Self {
        self.0.set_time(at);
        let worker = WorkerId::from(worker);
        self.0.ended(&worker, run(number), Some(outcome));
        self.0.acknowledged(run(number), outcome);
        self
    }

    fn complete(mut self, at: u64) -> Self {
        self.0.shown(at, JOB, JobStage::Completed);
        self
    }

    fn copies(self) -> usize {
        self.0.copies
    }

    fn broken(self) -> Vec<BrokenRule> {
        self.0.broken.iter().map(|(_, rule, _)| *rule).collect()
    }
}

fn two_at_once(copies_allowed: bool) -> TaskEvents {
    let events = TaskEvents::of(copies_allowed);
    events.start(0, "a", 1, true).start(500, "b", 2, true)
}

fn both_done(copies_allowed: bool) -> TaskEvents {
    let events = two_at_once(copies_allowed).end(900, "a", 1, RunOutcome::Done);
    events.end(950, "b", 2, RunOutcome::Done)
}

/// The first run ends at 1 s, and a second one starts at `at` milliseconds.
fn start_after_done(copies_allowed: bool, at: u64, in_touch: bool) -> TaskEvents {
    let events = TaskEvents::of(copies_allowed).start(0, "a", 1, true);
    let events = events.end(1_000, "a", 1, RunOutcome::Done);
    events.start(at, "b", 2, in_touch)
}

/// Both attempts fail, the last one at 2 s, and a third run starts at `at` milliseconds.
fn start_after_attempts(copies_allowed: bool, at: u64, in_touch: bool) -> TaskEvents {
    let events = TaskEvents::of(copies_allowed).start(0, "a", 1, true);
    let events = events.end(1_000, "a", 1, RunOutcome::Failed);
    let events = events.start(1_500, "a", 2, true);
    let events = events.end(2_000, "a", 2, RunOutcome::Failed);
    events.start(at, "b", 3, in_touch)
}

/// The job is shown as completed at 1.2 s, and a second run starts at `at` milliseconds.
fn start_after_completion(at: u64) -> TaskEvents {
    let events = TaskEvents::of(true).start(0, "a", 1, true);
    let mut events = events;
    events
        .0
        .ended(&WorkerId::from("a"), run(1), Some(RunOutcome::Done));
    events.complete(1_200).start(at, "b", 2, true)
}

fn same_worker_twice() -> TaskEvents {
    let events = TaskEvents::of(true);
    events.start(0, "a", 1, true).start(500, "a", 2, true)
}

fn worker(name: &str) -> EmulatedWorker {
    let clock = IncarnationClock {
        incarnation: WorkerIncarnation(1),
        at: 0,
        clock: 0,
        clock_percent: 100,
    };
    let capacity = ResourceSize::new(16_000, 64_000, 0);
    EmulatedWorker::new(WorkerId::from(name), clock, capacity)
}

fn start_order(number: u64) -> WorkerCall {
    WorkerCall::Start(StartCall {
        key: run(number),
        payload: String::new(),
        checkpoint: None,
        deadline: 10_000,
    })
}

/// Starts a run of the task on each of two workers, and lets both end; returns the rules that are broken.
fn both_workers_run(copies_allowed: bool, stragglers: StragglerRule) -> (Vec<BrokenRule>, usize) {
    let mut oracle = PlatformOracle::with_bounds(RuleBounds::LARGE);
    let spec = job(copies_allowed);
    oracle.accepted(JOB, &spec);
    let mut catalog = JobCatalog::new(1);
    let emulated = EmulatedJob {
        spec: spec.into(),
        work_ms: WORK_MS,
        failing: 0,
        stragglers,
    };
    catalog.add(JOB, emulated);
    let interference = InterferenceModel::draw(1, 1, 1, 14_000);
    let mut workers = [worker("a"), worker("b")];
    for (number, worker) in (1..).zip(&mut workers) {
        let mut context = WorkerContext {
            now: 0,
            max_lease_ms: 10_000,
            run_timing: RunTiming::default(),
            drain_ms: 3_000,
            in_touch: true,
            catalog: &catalog,
            interference: &interference,
            oracle: &mut oracle,
        };
        let answer = worker.handle_order(1, &start_order(number), &mut context);
        let taken = matches!(answer, JobEvent::StartAnswered(_, _, OrderAnswer::Done(_)));
        assert!(taken, "{answer:?}");
    }
    for worker in &mut workers {
        worker.advance(2 * WORK_MS * MS, &mut oracle);
    }
    let broken = oracle.broken.iter().map(|(_, rule, _)| *rule).collect();
    (broken, oracle.ends)
}

const NO_STRAGGLERS: StragglerRule = StragglerRule {
    percent: 0,
    factor: 1,
};
const ONLY_STRAGGLERS: StragglerRule = StragglerRule {
    percent: 100,
    factor: 7,
};

sandshelf_cases::cases! {
    a_second_run_without_copies => assert_eq!(two_at_once(false).broken(), [BrokenRule::Twice]);
    a_second_run_with_copies => assert_eq!(two_at_once(true).broken(), []);
    a_copy_is_counted => assert_eq!(two_at_once(true).copies(), 1);
    a_second_run_without_copies_is_no_copy => assert_eq!(two_at_once(false).copies(), 0);
    a_third_run_with_copies => assert_eq!(
        two_at_once(true).start(600, "c", 3, true).broken(), [BrokenRule::Twice]);
    a_copy_on_the_same_worker => assert_eq!(same_worker_twice().broken(), [BrokenRule::Twice]);
    a_second_end_without_copies => assert_eq!(
        both_done(false).broken(), [BrokenRule::Twice, BrokenRule::Twice]);
    a_second_end_with_copies => assert_eq!(both_done(true).broken(), []);
    a_start_after_the_end_without_copies => assert_eq!(
        start_after_done(false, 1_001, false).broken(), [BrokenRule::Twice]);
    a_copy_soon_after_the_end => assert_eq!(start_after_done(true, 2_000, true).broken(), []);
    a_copy_long_after_the_end => assert_eq!(
        start_after_done(true, 2_001, true).broken(), [BrokenRule::Twice]);
    a_copy_long_after_the_end_by_an_owner_out_of_touch => assert_eq!(
        start_after_done(true, 9_000, false).broken(), []);
    a_copy_soon_after_the_completion => assert_eq!(start_after_completion(2_200).broken(), []);
    a_copy_long_after_the_completion => assert_eq!(
        start_after_completion(2_201).broken(), [BrokenRule::Twice]);
    a_start_after_the_attempts_without_copies => assert_eq!(
        start_after_attempts(false, 2_001, false).broken(), [BrokenRule::Budget]);
    a_copy_soon_after_the_attempts => assert_eq!(start_after_attempts(true, 3_000, true).broken(), []);
    a_copy_long_after_the_attempts => assert_eq!(
        start_after_attempts(true, 3_001, true).broken(), [BrokenRule::Budget]);
    a_copy_long_after_the_attempts_by_an_owner_out_of_touch => assert_eq!(
        start_after_attempts(true, 9_000, false).broken(), []);
    two_workers_run_a_task_with_copies => assert_eq!(
        both_workers_run(true, NO_STRAGGLERS), (Vec::new(), 2));
    two_workers_run_a_task_without_copies => assert_eq!(
        both_workers_run(false, NO_STRAGGLERS), (vec![BrokenRule::Twice], 2));
    stragglers_are_not_done_in_twice_the_time => assert_eq!(
        both_workers_run(true, ONLY_STRAGGLERS), (Vec::new(), 0));
}
