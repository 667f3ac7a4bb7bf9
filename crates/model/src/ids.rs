//! Identifier types for hosts, workers, jobs, tasks and attempts.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the identifier as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

text_id!(
    /// Identifies one incarnation of an entry host's daemon.
    HostId
);
text_id!(
    /// Identifies a hall: the machines of one site, which can fail together.
    HallId
);
text_id!(
    /// Identifies a rack within a hall.
    RackId
);
text_id!(
    /// The name of a worker, a machine that runs tasks. A worker may keep its name when it restarts; `WorkerIncarnation` in
    /// `crates/jobs` tells its incarnations apart.
    WorkerId
);
text_id!(
    /// Identifies one incarnation of a backend server.
    ServerId
);
text_id!(
    /// Identifies a service (a class of requests) or a standing watch (a job whose tasks are restarted whenever they end).
    ServiceId
);
text_id!(
    /// Identifies a team that has a quota.
    TeamId
);
text_id!(
    /// Identifies a batch job or a standing watch (a job whose tasks are restarted whenever they end).
    JobId
);
text_id!(
    /// Identifies a shard: a subset of the workers of one hall, with one owner at a time.
    ShardId
);

/// Identifies one task of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The task's index within the job, counted from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.job, self.index)
    }
}

/// Identifies one attempt at running a task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The task that the attempt runs.
    pub task: TaskId,
    /// The attempt's number, counted from 1. Later attempts at the same task have higher numbers.
    pub number: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}#{}", self.task, self.number)
    }
}
