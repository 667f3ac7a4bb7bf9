//! The keys of the table's rows.

use sandshelf_model::{HostId, Sequence, ServiceId, ShardId, TaskId, TeamId};

/// The key of a row, or the common prefix of a group of rows (`AllShards`, `InboxOf`, `Quotas`, `Entries`, `Drains`).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableKey<'a> {
    /// The configuration in force.
    Head,
    /// The list of all shards, written once.
    Shards,
    /// The membership view: the entry hosts that share the backend servers' slots.
    View,
    /// The row of a shard, which names its owner.
    Shard(&'a ShardId),
    /// The rows of all shards.
    AllShards,
    /// A group of journal records of a shard, by its sequence number.
    Journal(&'a ShardId, Sequence),
    /// A task that is being handed off to a shard.
    Inbox(&'a ShardId, &'a TaskId),
    /// All tasks that are being handed off to a shard.
    InboxOf(&'a ShardId),
    /// The slices into which a team's quota is divided among the shards.
    Quota(&'a TeamId),
    /// The quota slices of all teams.
    Quotas,
    /// An entry host and the addresses at which it listens.
    Entry(&'a HostId),
    /// All entry hosts.
    Entries,
    /// A worker or an entry host that is to be drained.
    Drain(&'a str),
    /// All workers and entry hosts that are to be drained.
    Drains,
    /// The key that a caller gave to a request of a service so that the request is not executed twice.
    Claim(&'a ServiceId, &'a str),
}

impl TableKey<'_> {
    /// Returns the key's text in the table service.
    pub fn text(&self) -> String {
        match self {
            TableKey::Head => "head".to_owned(),
            TableKey::Shards => "shards".to_owned(),
            TableKey::View => "view".to_owned(),
            TableKey::Shard(shard) => format!("shard/{shard}"),
            TableKey::AllShards => "shard/".to_owned(),
            TableKey::Journal(shard, sequence) => format!("journal/{shard}/{sequence:020}"),
            TableKey::Inbox(shard, task) => format!("inbox/{shard}/{}/{}", task.job, task.index),
            TableKey::InboxOf(shard) => format!("inbox/{shard}/"),
            TableKey::Quota(team) => format!("quota/{team}"),
            TableKey::Quotas => "quota/".to_owned(),
            TableKey::Entry(host) => format!("entry/{host}"),
            TableKey::Entries => "entry/".to_owned(),
            TableKey::Drain(name) => format!("drain/{name}"),
            TableKey::Drains => "drain/".to_owned(),
            TableKey::Claim(service, key) => format!("claim/{service}/{key}"),
        }
    }
}
