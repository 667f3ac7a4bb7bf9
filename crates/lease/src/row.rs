//! The shard's row in the platform's table.

use std::net::SocketAddr;

use sandshelf_model::{Epoch, HostId, Millis, Sequence};
use serde::{Deserialize, Serialize};

/// The version that the platform's table assigns to a row; it changes with each write.
pub type RowVersion = u64;

/// The owner of a shard and the extent of its journal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRow {
    /// The owner; none after a release.
    pub owner: Option<HostId>,
    /// The owner's epoch; each claim increases it by 1.
    pub epoch: Epoch,
    /// The number of durable writes of the shard; each write increases it by 1.
    pub sequence: Sequence,
    /// Unique to each write, to tell a lost answer from a lost write.
    pub token: String,
    /// The digest of the newest snapshot; none before the first.
    pub snapshot: Option<String>,
    /// The sequence of the last journal row that the snapshot covers.
    pub snapshot_sequence: Sequence,
    /// Journal rows up to this sequence (inclusive) have been deleted.
    pub trimmed_sequence: Sequence,
    /// After a release: for how many milliseconds from this write unreachable workers may still run tasks whose leases
    /// were renewed before.
    pub silence_ms: Millis,
    /// The epoch since which all owners have kept to the lease rules that they publish. 0 where an owner of an earlier
    /// version, which doesn't know this field and drops it, has written the row since. Its stored name changes with the
    /// form in which owners publish what they know of workers.
    #[serde(rename = "paged_since", default, skip_serializing_if = "is_zero")]
    pub rules_since: Epoch,
    /// The latest time that the store's clock can have shown when this write was first sent, in milliseconds. The owner counts its
    /// ownership from then on. 0 where it is not known.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub sent_store_ms: u64,
    /// The address at which the owner accepts connections of other hosts; none where it accepts none, or runs a
    /// version that doesn't know this field.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub relay_address: Option<SocketAddr>,
}

fn is_zero(value: &u64) -> bool {
    *value == 0
}

/// A shard's row with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRow {
    /// The row's version; 0 where the row doesn't exist.
    pub version: RowVersion,
    /// The row.
    pub row: ShardRow,
}
