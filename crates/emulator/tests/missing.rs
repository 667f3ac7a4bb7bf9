//! Tests which stops of standing tasks the oracle reports because too many others of the step are unavailable.

use std::collections::HashSet;

use sandshelf_emulator::oracle::{BrokenRule, PlatformOracle, RuleBounds};
use sandshelf_jobs::{JobNumber, JobSpec, QueueRules, RunKey, RunOutcome, StepSpec, TaskKey};
use sandshelf_model::{ResourceSize, WorkerId};

const JOB: JobNumber = JobNumber(1);
/// The number of the standing tasks.
const TASKS: u32 = 4;

fn task(index: u32) -> TaskKey {
    TaskKey {
        job: JOB,
        time: 0,
        step: 0,
        index,
    }
}

fn run(index: u32) -> RunKey {
    RunKey {
        task: task(index),
        run: 1,
    }
}

/// A job of four standing tasks that are all at work.
fn at_work(may_miss: Option<u32>) -> PlatformOracle {
    let mut oracle = PlatformOracle::with_bounds(RuleBounds::LARGE);
    let step = StepSpec {
        count: TASKS,
        size: ResourceSize::new(1_000, 100, 0),
        standing: true,
        may_miss,
        ..StepSpec::default()
    };
    let spec = JobSpec {
        queue: "watch".to_owned(),
        address: None,
        rules: QueueRules::default(),
        payload: String::new(),
        steps: vec![step],
        handed_in_ms: 0,
        repeat: None,
    };
    oracle.accepted(JOB, &spec);
    for index in 0..TASKS {
        oracle.started(0, &WorkerId::from("a"), run(index), true);
    }
    note(&mut oracle, 0, 0..TASKS);
    oracle
}

fn note(oracle: &mut PlatformOracle, elapsed: u64, running: impl Iterator<Item = u32>) {
    let running: HashSet<TaskKey> = running.map(task).collect();
    oracle.note_at_work(elapsed, &running);
}

fn stop(oracle: &mut PlatformOracle, index: u32, counts: bool) {
    oracle.standing_stopped(run(index), counts);
    oracle.ended(&WorkerId::from("a"), run(index), Some(RunOutcome::Stopped));
}

fn broken(oracle: &PlatformOracle) -> Vec<BrokenRule> {
    oracle.broken.iter().map(|(_, rule, _)| *rule).collect()
}

/// Stops this many tasks, one after the other.
fn stopped(may_miss: Option<u32>, count: u32) -> Vec<BrokenRule> {
    let mut oracle = at_work(may_miss);
    (0..count).for_each(|index| stop(&mut oracle, index, true));
    broken(&oracle)
}

/// Stops a task while another has not been at work for `missing_ms`.
fn stopped_beside_missing(missing_ms: u64) -> Vec<BrokenRule> {
    let mut oracle = at_work(Some(1));
    note(&mut oracle, missing_ms, 1..TASKS);
    stop(&mut oracle, 1, true);
    broken(&oracle)
}

/// Stops a task after another that was stopped is at work again.
fn stopped_after_a_return() -> Vec<BrokenRule> {
    let mut oracle = at_work(Some(1));
    stop(&mut oracle, 0, true);
    note(&mut oracle, 100, 0..TASKS);
    stop(&mut oracle, 1, true);
    broken(&oracle)
}

/// Stops a second task that is not at work, or whose worker drains or is not healthy.
fn stopped_where_it_does_not_count() -> Vec<BrokenRule> {
    let mut oracle = at_work(Some(1));
    stop(&mut oracle, 0, true);
    stop(&mut oracle, 1, false);
    broken(&oracle)
}

/// Stops a second task, of which another run goes on.
fn stopped_beside_another_run() -> Vec<BrokenRule> {
    let mut oracle = at_work(Some(1));
    stop(&mut oracle, 0, true);
    let known = oracle.broken.len();
    let second = RunKey { run: 2, ..run(1) };
    oracle.started(1_000, &WorkerId::from("b"), second, true);
    let concurrent = oracle.broken.len();
    assert_eq!(concurrent, known + 1, "two runs at once are reported");
    stop(&mut oracle, 1, true);
    broken(&oracle).split_off(concurrent)
}

fn stopped_after_the_cancellation() -> Vec<BrokenRule> {
    let mut oracle = at_work(Some(0));
    oracle.cancelled(1_000, JOB);
    stop(&mut oracle, 0, true);
    broken(&oracle)
}

sandshelf_cases::cases! {
    as_many_as_the_step_may_miss => assert_eq!(stopped(Some(2), 2), []);
    one_more_than_the_step_may_miss => assert_eq!(stopped(Some(2), 3), [BrokenRule::Missing]);
    a_step_that_may_miss_none => assert_eq!(stopped(Some(0), 1), [BrokenRule::Missing]);
    a_step_without_a_limit => assert_eq!(stopped(None, 4), []);
    another_has_long_been_missing => assert_eq!(stopped_beside_missing(5_500), [BrokenRule::Missing]);
    another_has_briefly_been_missing => assert_eq!(stopped_beside_missing(5_400), []);
    another_is_back_at_work => assert_eq!(stopped_after_a_return(), []);
    a_task_that_was_not_at_work => assert_eq!(stopped_where_it_does_not_count(), []);
    a_task_with_another_run => assert_eq!(stopped_beside_another_run(), []);
    a_cancelled_job => assert_eq!(stopped_after_the_cancellation(), []);
}
