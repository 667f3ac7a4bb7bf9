//! Snapshots of a shard's durable state, and reading it back.

use std::fmt;

use sandshelf_model::Sequence;

use crate::journal::JournalRecord;
use crate::state::ShardState;

/// Says why a snapshot can't be used.
#[derive(Debug)]
pub struct SnapshotError(serde_json::Error);

impl fmt::Display for SnapshotError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "the snapshot can't be read: {}", self.0)
    }
}

impl std::error::Error for SnapshotError {}

/// Writes a snapshot's bytes.
pub fn encode_snapshot(state: &ShardState) -> Vec<u8> {
    serde_json::to_vec(state).expect("a state of plain values always serializes")
}

/// Reads a snapshot and the journal groups after it back into a state.
///
/// # Errors
/// The snapshot's bytes are not a state.
pub fn decode_snapshot(
    snapshot: Option<&[u8]>,
    groups: &[(Sequence, Vec<JournalRecord>)],
) -> Result<ShardState, SnapshotError> {
    let mut state = match snapshot {
        Some(bytes) => serde_json::from_slice(bytes).map_err(SnapshotError)?,
        None => ShardState::default(),
    };
    state.reindex();
    for (_, records) in groups {
        for record in records {
            state.apply(record);
        }
    }
    Ok(state)
}
