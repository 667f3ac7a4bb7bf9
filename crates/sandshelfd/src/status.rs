//! What a daemon tells operators about itself.

use sandshelf_lease::{OwnerCounts, RecordStats};
use sandshelf_model::{Epoch, ResourceSize, Revision};
use serde::Serialize;

/// One entry host.
#[derive(Clone, Debug, Default, Serialize)]
pub struct HostStatus {
    /// The daemon's incarnation.
    pub host: String,
    /// Its hall.
    pub hall: String,
    /// Whether callers may be sent here.
    pub ready: bool,
    /// Whether a planned stop is under way.
    pub stopping: bool,
    /// The configuration in force here.
    pub revision: Revision,
    /// Its digest.
    pub digest: String,
    /// The view of the backend servers' slots in use here.
    pub view_version: u64,
    /// The hosts of that view.
    pub members: Vec<String>,
    /// Shards that this host owns.
    pub shards: Vec<ShardStatus>,
    /// Requests.
    pub requests: RequestStatus,
    /// Backend servers with a share here.
    pub servers: Vec<ServerStatus>,
}

/// Requests of one entry host.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RequestStatus {
    /// Arrived so far.
    pub arrived: u64,
    /// Answered so far.
    pub delivered: u64,
    /// Not run so far.
    pub refused: u64,
    /// Of unknown fate so far.
    pub unknown: u64,
    /// Second and later attempts so far.
    pub retries: u64,
    /// Under way.
    pub in_flight: usize,
    /// Waiting for a slot.
    pub waiting: usize,
}

/// One backend server as an entry host sees it.
#[derive(Clone, Debug, Serialize)]
pub struct ServerStatus {
    /// The server.
    pub server: String,
    /// Its service.
    pub service: String,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Slots that this host may use.
    pub share: u32,
    /// Requests under way from this host.
    pub in_flight: u32,
    /// Recent latency in milliseconds.
    pub latency_ms: f64,
}

/// One shard that a host owns.
#[derive(Clone, Debug, Serialize)]
pub struct ShardStatus {
    /// The shard.
    pub shard: String,
    /// Counts its owners.
    pub epoch: Epoch,
    /// Whether its lease stands.
    pub valid: bool,
    /// Tasks that wait.
    pub waiting: usize,
    /// Attempts that are placed.
    pub placed: usize,
    /// Counts of records.
    pub stats: RecordStats,
    /// Counts of messages.
    pub counts: OwnerCounts,
    /// Slices of the teams' quotas.
    pub quotas: Vec<QuotaStatus>,
    /// Its workers.
    pub workers: Vec<WorkerStatus>,
    /// Its jobs.
    pub jobs: Vec<JobStatus>,
}

/// One team's slice in one shard.
#[derive(Clone, Debug, Serialize)]
pub struct QuotaStatus {
    /// The team.
    pub team: String,
    /// Its slice.
    pub slice: ResourceSize,
    /// What its running tasks hold.
    pub held: ResourceSize,
}

/// One worker.
#[derive(Clone, Debug, Serialize)]
pub struct WorkerStatus {
    /// The worker.
    pub worker: String,
    /// Whether it has taken in this owner's epoch.
    pub fenced: bool,
    /// Whether it is to be emptied.
    pub leaving: bool,
    /// What is free.
    pub free: ResourceSize,
    /// What runs there.
    pub attempts: Vec<String>,
}

/// One job's tasks in one shard, counted by stage.
#[derive(Clone, Debug, Serialize)]
pub struct JobStatus {
    /// The job.
    pub job: String,
    /// The team.
    pub team: String,
    /// Whether it is a standing watch.
    pub watch: bool,
    /// Stages with how many tasks are in each.
    pub stages: Vec<StageCount>,
}

/// How many tasks are in a stage.
#[derive(Clone, Debug, Serialize)]
pub struct StageCount {
    /// The stage.
    pub stage: String,
    /// How many.
    pub tasks: usize,
}

/// Recorded reasons, in the order in which they matter.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ExplainAnswer {
    /// One reason a line.
    pub lines: Vec<String>,
}
