//! The jobs of a fleet with standing, short and filling tasks, and the limits of its owner.

use sandshelf_jobs::{JobSpec, SchedulerLimits, StepSpec};
use sandshelf_model::{LoadPolicies, Millis, ResourceSize};

use super::{job, step};

/// The size of a short task and how long it takes.
pub const SHORT_CPU: u64 = 2_600;
pub const SHORT_MS: Millis = 800;
/// The size of a standing task.
pub const STANDING_CPU: u64 = 3_200;
/// The number of tasks of a standing step.
pub const STANDING_COUNT: u32 = 14;

pub fn short_job(tasks: u32, steps: usize) -> JobSpec {
    let steps = (0..steps).map(|place| StepSpec {
        size: ResourceSize::new(SHORT_CPU, 2_000, 0),
        estimate_ms: SHORT_MS,
        after: place.checked_sub(1).into_iter().collect(),
        ..step(tasks)
    });
    job(steps.collect())
}

pub fn standing_job(may_miss: Option<u32>) -> JobSpec {
    job(vec![StepSpec {
        size: ResourceSize::new(STANDING_CPU, 8_000, 0),
        standing: true,
        may_miss,
        ..step(STANDING_COUNT)
    }])
}

pub fn filling_job(tasks: u32, memory_mib: u64, run_ms: Millis) -> JobSpec {
    let mut spec = job(vec![StepSpec {
        size: ResourceSize::new(500, memory_mib, 0),
        fills: true,
        checkpoints: true,
        estimate_ms: run_ms,
        image: "index".to_owned(),
        ..step(tasks)
    }]);
    spec.rules.priority = 2;
    spec.rules.stretch = 10.0;
    spec
}

pub fn limits(preemption: bool) -> SchedulerLimits {
    SchedulerLimits {
        policies: LoadPolicies {
            preemption,
            ..LoadPolicies::default()
        },
        ..SchedulerLimits::default()
    }
}
