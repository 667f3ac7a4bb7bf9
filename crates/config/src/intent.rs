//! Types of the declared configuration: services, jobs, teams, weights and limits.

use sandshelf_model::{content_digest, JobId, Millis, ResourceSize, ServiceId, TeamId};
use serde::{Deserialize, Serialize};

/// A service: a class of requests that backend servers answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// The service's name, which is the first path segment of its requests.
    pub name: ServiceId,
    /// Whether a request may be run again when it is unknown whether it ran.
    pub repeatable: bool,
    /// The time limit of a request, in milliseconds; a caller can ask for less.
    pub deadline_ms: Millis,
    /// The target for the 99th percentile of the latency, in milliseconds.
    pub tail_target_ms: Millis,
    /// The number of backend servers that run the service.
    pub replicas: u32,
    /// The resources that one replica uses on its worker.
    pub size: ResourceSize,
}

/// Whether a job's tasks end or run permanently.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobKind {
    /// A batch job: each task finishes once.
    Batch,
    /// A watch: a permanent job whose tasks are restarted whenever they end.
    Watch,
}

/// The priority with which a job's tasks are started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UrgencyLevel {
    /// Starts before all waiting tasks of normal urgency.
    Urgent,
    /// Starts in the usual order.
    Normal,
}

/// A batch job or a watch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The job's name. A job that has ended is not run again under the same name.
    pub name: JobId,
    /// Whether it is a batch job or a watch.
    pub kind: JobKind,
    /// The team whose quota the job uses.
    pub team: TeamId,
    /// Jobs of one family are expected to behave alike; defaults to the job's name.
    pub family: String,
    /// The number of tasks.
    pub tasks: u32,
    /// The resources that each task declares.
    pub size: ResourceSize,
    /// The priority with which its tasks are started.
    pub urgency: UrgencyLevel,
    /// Whether a task may be run again when it is unknown whether it ran; always true for a watch.
    pub repeatable: bool,
    /// Whether a task can be checkpointed and resumed.
    pub checkpoint: bool,
    /// The declared run time of a task, in milliseconds; 30 days for a watch.
    pub run_ms: Millis,
    /// The program that the worker runs; not interpreted by sandshelf.
    pub program: String,
}

/// The limit on the resources that all running tasks of a team use together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamQuota {
    /// The team's name.
    pub name: TeamId,
    /// The largest total size of the team's running tasks.
    pub quota: ResourceSize,
}

/// The operator's weights for competing goals. A goal with a larger weight matters more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolicyWeights {
    /// Weight of the services' tail latency.
    pub tail: u32,
    /// Weight of the amount of completed batch work.
    pub throughput: u32,
    /// Weight of the work that evictions waste.
    pub evictions: u32,
}

impl Default for PolicyWeights {
    fn default() -> Self {
        Self {
            tail: 3,
            throughput: 2,
            evictions: 2,
        }
    }
}

/// Limits of one backend server, over all entry hosts together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendLimits {
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// The number of connections that it keeps open.
    pub connections: u32,
}

impl Default for BackendLimits {
    fn default() -> Self {
        Self {
            slots: 8,
            connections: 60,
        }
    }
}

/// A complete set of declarations. It takes effect as a whole or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigSet {
    /// Services. [`ConfigSet::to_bytes`] sorts them by name.
    pub services: Vec<ServiceSpec>,
    /// Batch jobs and watches. [`ConfigSet::to_bytes`] sorts them by name.
    pub jobs: Vec<JobSpec>,
    /// Teams. [`ConfigSet::to_bytes`] sorts them by name.
    pub teams: Vec<TeamQuota>,
    /// The operator's weights.
    pub weights: PolicyWeights,
    /// The limits of each backend server.
    pub backends: BackendLimits,
}

impl ConfigSet {
    /// Returns the canonical bytes: the same declarations give the same bytes, whatever their order in the files.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut sorted = self.clone();
        sorted.services.sort_by(|a, b| a.name.cmp(&b.name));
        sorted.jobs.sort_by(|a, b| a.name.cmp(&b.name));
        sorted.teams.sort_by(|a, b| a.name.cmp(&b.name));
        serde_json::to_vec(&sorted).expect("a set of plain values always serializes")
    }

    /// Decodes a set from its canonical bytes.
    ///
    /// # Errors
    /// The bytes are not the JSON of a set, as [`ConfigSet::to_bytes`] writes it.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }

    /// Returns the digest of the canonical bytes, which identifies the set.
    pub fn digest(&self) -> String {
        content_digest(&self.to_bytes())
    }

    /// Finds a service by name; none if the set has no such service.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services
            .iter()
            .find(|service| service.name.as_str() == name)
    }
}
