//! The jobs that callers hand in to the emulated platform, and the run of one seed.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sandshelf_jobs::{JobSpec, StepSpec, TaskKey};
use sandshelf_model::{Millis, ResourceSize};

use super::PlatformEmulator;
use crate::support::faults::FaultPlan;
use crate::support::oracle::BrokenRule;
use crate::support::{job, step, task};

/// How long callers hand jobs in, in seconds.
const TRAFFIC_S: u64 = 20;
/// How many standing jobs there are, in plans that have some.
const STANDING_JOBS: u64 = 6;
/// How long all jobs that can end may take after the last fault, in milliseconds.
const SETTLE_MS: u64 = 60_000;

fn random_job(random: &mut ChaCha8Rng, longest_task_ms: Millis) -> JobSpec {
    let mut steps = Vec::new();
    for index in 0..random.random_range(1..4usize) {
        let mut spec = StepSpec {
            size: ResourceSize::new(random.random_range(500..4_000), 2_000, 0),
            estimate_ms: random.random_range(100..longest_task_ms),
            ..step(random.random_range(1..6))
        };
        if index > 0 {
            spec.after = vec![index - 1];
        }
        steps.push(spec);
    }
    let mut spec = job(steps);
    spec.rules.max_attempts = random.random_range(2..5);
    spec
}

fn standing_job(random: &mut ChaCha8Rng) -> JobSpec {
    job(vec![StepSpec {
        standing: true,
        size: ResourceSize::new(random.random_range(500..2_000), 1_000, 0),
        ..step(random.random_range(1..4))
    }])
}

/// Draws whether a job has a task that crashes its workers, and which task that is.
fn draw_crasher(
    random: &mut ChaCha8Rng,
    number: u64,
    spec: &JobSpec,
    plan: &FaultPlan,
) -> Option<TaskKey> {
    if plan.crashers == 0 || random.random_range(0..1_000) >= plan.crashers {
        return None;
    }
    let step = random.random_range(0..spec.steps.len());
    let index = random.random_range(0..spec.steps[step].count);
    Some(task(number, step as u32, index))
}

/// Runs one seed and returns its emulator after everything has settled.
pub fn run_seed(seed: u64, plan: FaultPlan) -> PlatformEmulator {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
    let mut platform = PlatformEmulator::new(seed, plan.worker_count(), plan);
    let mut handed_in = 0;
    let mut standing = Vec::new();
    if plan.standing {
        for _ in 0..STANDING_JOBS {
            let number = 1_000 + handed_in;
            let mut spec = standing_job(&mut random);
            spec.rules.guarded = plan.guards;
            platform.hand_in(number, spec);
            standing.push(number);
            handed_in += 1;
        }
    }
    for second in 0..TRAFFIC_S {
        for _ in 0..random.random_range(1..5u32) {
            let number = 1_000 + handed_in;
            let mut spec = random_job(&mut random, plan.longest_task_ms());
            spec.rules.guarded = plan.guards;
            for step in spec.steps.iter_mut().filter(|_| plan.copies) {
                step.copies_allowed = !handed_in.is_multiple_of(3);
            }
            let crasher = draw_crasher(&mut random, number, &spec, &plan);
            if platform.hand_in(number, spec) {
                handed_in += 1;
                if let Some(crasher) = crasher {
                    platform.make_crasher(crasher);
                }
            }
        }
        if second % 4 == 3 && handed_in > 2 {
            platform.cancel(1_000 + random.random_range(0..handed_in));
        }
        platform.advance(1_000, true);
    }
    platform.advance(SETTLE_MS, false);
    for number in standing {
        platform.cancel(number);
    }
    platform.advance(1_000 + 2 * plan.slow_writes_ms, false);
    let finished = platform.finished() as u64;
    if finished != handed_in {
        let now = platform.now;
        let what = format!("{} of {handed_in} jobs did not end", handed_in - finished);
        platform.oracle.report(now, BrokenRule::Lost, what);
    }
    platform
}
