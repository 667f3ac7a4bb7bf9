//! The shard's row in the platform's table.

use std::net::SocketAddr;

use sandshelf_model::{Epoch, HostId, Millis, Sequence};
use serde::{Deserialize, Serialize};

/// The table's own version of a row; it changes with each write.
pub type RowVersion = u64;

/// Who owns a shard and how far its journal goes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRow {
    /// The owner; none after a release.
    pub owner: Option<HostId>,
    /// Counts owners.
    pub epoch: Epoch,
    /// Counts durable writes.
    pub sequence: Sequence,
    /// Unique to the write, so that a lost answer can be told from a lost write.
    pub token: String,
    /// The digest of the newest snapshot.
    pub snapshot: Option<String>,
    /// The sequence up to which the snapshot speaks.
    pub snapshot_sequence: Sequence,
    /// Journal rows up to this sequence have been deleted.
    pub trimmed_sequence: Sequence,
    /// After a release: for how long, from the write on, workers that can't be reached may run what was renewed.
    pub silence_ms: Millis,
    /// Since which epoch all owners keep to what they publish of leases; 0 where one of an earlier version came between, which
    /// doesn't know this field and drops it.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub rules_since: Epoch,
    /// Where the owner takes connections of other hosts; none where it takes none, or is of a version that doesn't know of it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub relay_address: Option<SocketAddr>,
}

fn is_zero(epoch: &Epoch) -> bool {
    *epoch == 0
}

/// A row as read, with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRow {
    /// The table's version; 0 stands for a row that isn't there.
    pub version: RowVersion,
    /// The row.
    pub row: ShardRow,
}
