//! Tests which starts and ends the oracle reports where a step allows copies and where it does not, and that a worker takes a second
//! run of a task that runs elsewhere.

use sandshelf_emulator::catalog::{EmulatedJob, JobCatalog};
use sandshelf_emulator::deployment::StragglerRule;
use sandshelf_emulator::interference::InterferenceModel;
use sandshelf_emulator::oracle::{BrokenRule, PlatformOracle, RuleBounds};
use sandshelf_emulator::queue::MS;
use sandshelf_emulator::worker::{EmulatedWorker, IncarnationClock, RunTiming, WorkerContext};
use sandshelf_jobs::{
    JobEvent, JobNumber, JobSpec, JobStage, OrderAnswer, QueueRules, RenewalCall, RunKey,
    RunOutcome, StartCall, StepSpec, TaskKey, WorkerCall, WorkerIncarnation,
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
        address: None,
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

    /// A run ends, which is not acknowledged yet.
    fn end_unacknowledged(mut self, at: u64, worker: &str, number: u64) -> Self {
        self.0.set_time(at);
        let worker = WorkerId::from(worker);
        self.0.ended(&worker, run(number), Some(RunOutcome::Done));
        self
    }

    fn acknowledge(mut self, at: u64, number: u64) -> Self {
        self.0.acknowledged_at(at, run(number), RunOutcome::Done);
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

/// The first run ends at 1 s, a second one starts at 1.5 s and fails, and the first end is acknowledged at 2 s if `acknowledged`.
fn start_before_acknowledgement(copies_allowed: bool, acknowledged: bool) -> TaskEvents {
    let events = TaskEvents::of(copies_allowed).start(0, "a", 1, true);
    let events = events.end_unacknowledged(1_000, "a", 1);
    let events = events.start(1_500, "b", 2, true);
    let events = events.end(1_800, "b", 2, RunOutcome::Failed);
    match acknowledged {
        true => events.acknowledge(2_000, 1),
        false => events,
    }
}

/// The first run ends at 1 s, which is acknowledged at 2 s and again at 4 s; a second one starts at 3 s.
fn start_between_acknowledgements() -> TaskEvents {
    let events = TaskEvents::of(false).start(0, "a", 1, true);
    let events = events.end_unacknowledged(1_000, "a", 1);
    let events = events.acknowledge(2_000, 1).start(3_000, "b", 2, true);
    events.acknowledge(4_000, 1)
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

/// A catalog with the job, which the oracle is told of.
fn catalog_of(
    oracle: &mut PlatformOracle,
    copies_allowed: bool,
    stragglers: StragglerRule,
) -> JobCatalog {
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
    catalog
}

fn start_order(number: u64) -> WorkerCall {
    WorkerCall::Start(StartCall {
        key: run(number),
        payload: String::new(),
        checkpoint: None,
        deadline: 10_000,
    })
}

/// A renewal that acknowledges the ends up to a number, and does not extend the lease.
fn renewal(last_seen: u64) -> WorkerCall {
    WorkerCall::Renew(RenewalCall {
        deadline: None,
        last_seen,
        wait_ms: 0,
    })
}

/// The run of a worker ends, another worker starts a second one, and the owner acknowledges the end `acknowledged_ms` after the
/// first start; the worker's lease ends after 10 s.
fn acknowledged_after(acknowledged_ms: u64) -> Vec<BrokenRule> {
    let mut oracle = PlatformOracle::with_bounds(RuleBounds::LARGE);
    let catalog = catalog_of(&mut oracle, false, NO_STRAGGLERS);
    let interference = InterferenceModel::draw(1, 1, 1, 14_000);
    let mut workers = [worker("a"), worker("b")];
    let orders = [
        (0, 0, start_order(1)),
        (0, 2 * WORK_MS, renewal(0)),
        (1, 3 * WORK_MS, start_order(2)),
        (0, acknowledged_ms, renewal(1)),
    ];
    for (index, at, call) in orders {
        let mut context = WorkerContext {
            now: at * MS,
            max_lease_ms: 10_000,
            run_timing: RunTiming::default(),
            drain_ms: 3_000,
            in_touch: true,
            catalog: &catalog,
            interference: &interference,
            oracle: &mut oracle,
        };
        context.oracle.set_time(at);
        workers[index].handle_order(1, &call, &mut context);
    }
    oracle.broken.iter().map(|(_, rule, _)| *rule).collect()
}

/// Starts a run of the task on each of two workers, and lets both end; returns the rules that are broken.
fn both_workers_run(copies_allowed: bool, stragglers: StragglerRule) -> (Vec<BrokenRule>, usize) {
    let mut oracle = PlatformOracle::with_bounds(RuleBounds::LARGE);
    let catalog = catalog_of(&mut oracle, copies_allowed, stragglers);
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
    a_start_before_the_end_is_acknowledged => assert_eq!(
        start_before_acknowledgement(false, true).broken(), [BrokenRule::Twice]);
    a_start_after_an_end_that_is_never_acknowledged => assert_eq!(
        start_before_acknowledgement(false, false).broken(), []);
    a_copy_before_the_end_is_acknowledged => assert_eq!(
        start_before_acknowledgement(true, true).broken(), []);
    a_start_between_two_acknowledgements_is_reported_once => assert_eq!(
        start_between_acknowledgements().broken(), [BrokenRule::Twice]);
    an_end_acknowledged_within_the_lease_counts => assert_eq!(
        acknowledged_after(9_000), [BrokenRule::Twice]);
    an_end_acknowledged_after_a_lapse_does_not_count => assert_eq!(
        acknowledged_after(11_000), []);
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
