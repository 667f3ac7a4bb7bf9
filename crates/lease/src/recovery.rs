//! Encodes snapshots of a shard's durable state and rebuilds the state from a snapshot and the journal.

use std::fmt;

use sandshelf_model::Sequence;

use crate::journal::JournalRecord;
use crate::state::ShardState;

/// The reason why a snapshot can't be decoded.
#[derive(Debug)]
pub struct SnapshotError(serde_json::Error);

impl fmt::Display for SnapshotError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "the snapshot can't be decoded: {}", self.0)
    }
}

impl std::error::Error for SnapshotError {}

/// Encodes a shard's state as the bytes of a snapshot, in JSON.
pub fn encode_snapshot(state: &ShardState) -> Vec<u8> {
    serde_json::to_vec(state).expect("a shard's state always serializes")
}

/// Rebuilds a shard's state from its snapshot and the journal groups written after it.
///
/// Without a snapshot the journal has to be complete.
///
/// # Errors
/// The snapshot's bytes are not a valid encoding of a [`ShardState`].
pub fn decode_snapshot(
    snapshot: Option<&[u8]>,
    groups: &[(Sequence, Vec<JournalRecord>)],
) -> Result<ShardState, SnapshotError> {
    let mut state = match snapshot {
        Some(bytes) => serde_json::from_slice(bytes).map_err(SnapshotError)?,
        None => ShardState::default(),
    };
    state.rebuild_index();
    for (_, records) in groups {
        for record in records {
            state.apply(record);
        }
    }
    Ok(state)
}
