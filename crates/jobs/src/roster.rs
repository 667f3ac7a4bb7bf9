//! The durable form of the workers that may hold tasks.

use std::net::SocketAddr;

use sandshelf_model::{Epoch, Millis, WorkerId};
use serde::{Deserialize, Serialize};

use crate::ids::WorkerIncarnation;

/// The workers that may hold tasks, and how long what they hold is leased.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRoster {
    /// The owner that wrote it.
    #[serde(default)]
    pub epoch: Epoch,
    /// Each worker's incarnation and address.
    pub workers: Vec<(WorkerId, SocketAddr)>,
    /// Which life of each of them, in their order, the owner has heard.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub lives: Vec<Option<WorkerIncarnation>>,
    /// How long the leases are at most; where it is not said, as long as the platform allows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease_ms: Option<Millis>,
}
