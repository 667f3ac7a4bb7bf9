//! The durable list of the workers that may hold tasks.

use std::net::SocketAddr;

use sandshelf_model::{Epoch, Millis, WorkerId};
use serde::{Deserialize, Serialize};

use crate::ids::WorkerIncarnation;

/// The workers that may hold tasks, and the longest lease that they hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRoster {
    /// The epoch of the owner that wrote it.
    #[serde(default)]
    pub epoch: Epoch,
    /// The name and address of each worker.
    pub workers: Vec<(WorkerId, SocketAddr)>,
    /// The incarnation of each worker that the owner has heard from, in the order of `workers`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub lives: Vec<Option<WorkerIncarnation>>,
    /// The longest lease in milliseconds; `None` means the longest that the platform allows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease_ms: Option<Millis>,
}
