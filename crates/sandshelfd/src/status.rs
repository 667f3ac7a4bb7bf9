//! The status that a daemon reports to operators, as served in JSON.

use sandshelf_lease::{OwnerCounts, RecordStats};
use sandshelf_model::{Epoch, ResourceSize, Revision};
use serde::Serialize;

/// The status of one entry host.
#[derive(Clone, Debug, Default, Serialize)]
pub struct HostStatus {
    /// The name of this incarnation of the daemon.
    pub host: String,
    /// The hall of the host.
    pub hall: String,
    /// Whether callers may be routed to this host.
    pub ready: bool,
    /// Whether a graceful shutdown is in progress.
    pub stopping: bool,
    /// The revision of the configuration in force on this host.
    pub revision: Revision,
    /// The digest of that configuration.
    pub digest: String,
    /// The version of the membership view in use, which divides the backend servers' slots.
    pub view_version: u64,
    /// The entry hosts in the membership view last read.
    pub members: Vec<String>,
    /// The shards that this host owns.
    pub shards: Vec<ShardStatus>,
    /// The counts of callers' requests.
    pub requests: RequestStatus,
    /// The backend servers known to this host.
    pub servers: Vec<ServerStatus>,
}

/// The requests of one entry host, counted since the daemon started.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RequestStatus {
    /// Requests that have arrived.
    pub arrived: u64,
    /// Requests answered by a backend server.
    pub delivered: u64,
    /// Requests that were not run.
    pub refused: u64,
    /// Requests of which it is unknown whether they ran.
    pub unknown: u64,
    /// Second and later attempts.
    pub retries: u64,
    /// Requests in flight to a backend server now.
    pub in_flight: usize,
    /// Requests that wait for a slot now.
    pub waiting: usize,
}

/// One backend server as an entry host sees it.
#[derive(Clone, Debug, Serialize)]
pub struct ServerStatus {
    /// The name of the server.
    pub server: String,
    /// The service that it serves.
    pub service: String,
    /// Whether it is leaving and gets no new requests.
    pub leaving: bool,
    /// The number of its slots that this host may use.
    pub share: u32,
    /// Requests in flight from this host.
    pub in_flight: u32,
    /// The recent latency, in milliseconds.
    pub latency_ms: f64,
}

/// One shard that a host owns.
#[derive(Clone, Debug, Serialize)]
pub struct ShardStatus {
    /// The name of the shard.
    pub shard: String,
    /// The epoch of this host's ownership; each new owner has a higher one.
    pub epoch: Epoch,
    /// Whether the ownership lease is valid now.
    pub valid: bool,
    /// Tasks that wait to be placed.
    pub waiting: usize,
    /// Tasks placed on a worker.
    pub placed: usize,
    /// Counts of applied and stale journal records.
    pub stats: RecordStats,
    /// Counts of the owner's operations.
    pub counts: OwnerCounts,
    /// This shard's slices of the teams' quotas.
    pub quotas: Vec<QuotaStatus>,
    /// The workers of the shard.
    pub workers: Vec<WorkerStatus>,
    /// The jobs with tasks in the shard.
    pub jobs: Vec<JobStatus>,
}

/// One shard's slice of one team's quota.
#[derive(Clone, Debug, Serialize)]
pub struct QuotaStatus {
    /// The name of the team.
    pub team: String,
    /// The slice that the shard may use.
    pub slice: ResourceSize,
    /// The part of it that placed tasks occupy.
    pub held: ResourceSize,
}

/// One worker as its shard's owner sees it.
#[derive(Clone, Debug, Serialize)]
pub struct WorkerStatus {
    /// The name of the worker.
    pub worker: String,
    /// Whether it has accepted this owner's epoch and sent its inventory since.
    pub fenced: bool,
    /// Whether it is being drained.
    pub leaving: bool,
    /// The free capacity.
    pub free: ResourceSize,
    /// The attempts placed on it.
    pub attempts: Vec<String>,
}

/// One job's tasks in one shard, counted by stage.
#[derive(Clone, Debug, Serialize)]
pub struct JobStatus {
    /// The name of the job.
    pub job: String,
    /// The team that the job belongs to.
    pub team: String,
    /// Whether the job is a standing watch.
    pub watch: bool,
    /// The number of tasks in each stage.
    pub stages: Vec<StageCount>,
}

/// The number of a job's tasks in one stage.
#[derive(Clone, Debug, Serialize)]
pub struct StageCount {
    /// The label of the stage.
    pub stage: String,
    /// The number of tasks.
    pub tasks: usize,
}

/// The answer to an explain request.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ExplainAnswer {
    /// One line for each task or class, with the recorded reason of its state.
    pub lines: Vec<String>,
}
