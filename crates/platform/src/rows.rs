//! Rows that are used by both the entry hosts and the operators' command.

use std::net::SocketAddr;

use sandshelf_model::{HallId, HostId, ShardId};
use serde::{Deserialize, Serialize};

/// An entry host and the addresses at which it listens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRow {
    /// The incarnation of the entry host's daemon.
    pub host: HostId,
    /// The name of the entry host in its settings.
    pub name: String,
    /// The hall in which the entry host stands.
    pub hall: HallId,
    /// The address for callers.
    pub caller: SocketAddr,
    /// The address for operators and health checks.
    pub operator: SocketAddr,
    /// The address for other entry hosts.
    pub peer: SocketAddr,
}

/// One shard and its hall.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardPlace {
    /// The shard.
    pub shard: ShardId,
    /// The hall whose workers belong to the shard.
    pub hall: HallId,
}

/// The list of all shards, written once, by the first entry host that sees workers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardMap {
    /// The shards.
    pub shards: Vec<ShardPlace>,
}
