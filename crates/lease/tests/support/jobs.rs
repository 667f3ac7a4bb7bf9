//! Job declarations for simulated runs.

use sandshelf_config::{ConfigSet, JobKind, JobSpec, TeamQuota, UrgencyLevel};
use sandshelf_model::{JobId, Millis, ResourceSize, TeamId};

/// The resources reserved for one task.
pub const TASK_SIZE: ResourceSize = ResourceSize::new(1_000, 1_000, 0);

/// A job whose tasks may run more than once but can't be checkpointed.
pub fn job(name: &str, tasks: u32, run_ms: Millis) -> JobSpec {
    JobSpec {
        name: JobId::from(name),
        kind: JobKind::Batch,
        team: TeamId::from("team"),
        family: name.to_owned(),
        tasks,
        size: TASK_SIZE,
        urgency: UrgencyLevel::Normal,
        repeatable: true,
        checkpoint: false,
        run_ms,
        program: String::new(),
    }
}

/// A job whose tasks can be checkpointed.
pub fn checkpointable_job(name: &str, tasks: u32, run_ms: Millis) -> JobSpec {
    JobSpec {
        checkpoint: true,
        ..job(name, tasks, run_ms)
    }
}

/// A job whose tasks may run at most once.
pub fn at_most_once_job(name: &str, tasks: u32, run_ms: Millis) -> JobSpec {
    JobSpec {
        repeatable: false,
        ..job(name, tasks, run_ms)
    }
}

/// A configuration with these jobs and a quota that is never used up.
pub fn config_set(jobs: Vec<JobSpec>) -> ConfigSet {
    ConfigSet {
        jobs,
        teams: vec![TeamQuota {
            name: TeamId::from("team"),
            quota: ResourceSize::new(1 << 40, 1 << 40, 0),
        }],
        ..ConfigSet::default()
    }
}
