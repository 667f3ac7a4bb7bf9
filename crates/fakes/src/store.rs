//! A fake of the platform's storage: executes the storage actions of a shard's owner and returns the resulting events.

use std::collections::HashMap;
use std::sync::Arc;

use sandshelf_lease::{CommitAnswer, ShardAction, ShardEvent};
use sandshelf_model::ShardId;
use sandshelf_platform::{
    commit_transaction, journal_range, read_group, read_shard_row, ReadRange, TableKey, TxnOutcome,
};

use crate::table::FakeTable;

/// The platform's table service and object store, in memory.
#[derive(Clone, Debug, Default)]
pub struct FakeStore {
    /// The rows of the table service.
    pub table: FakeTable,
    /// The stored objects (snapshots), by digest.
    pub objects: HashMap<String, Arc<Vec<u8>>>,
}

impl FakeStore {
    /// Executes a storage action of an owner and returns the resulting event; none for actions that don't concern the
    /// storage.
    ///
    /// # Panics
    /// A stored row, journal group or inbox entry was not written by an owner, or the snapshot to load is not stored.
    pub fn serve(&mut self, shard: &ShardId, action: &ShardAction) -> Option<ShardEvent> {
        match action {
            ShardAction::ReadRow => {
                let row = self.table.row(&TableKey::Shard(shard).text());
                let stored = read_shard_row(row).expect("rows are written by owners");
                Some(ShardEvent::RowRead(stored))
            }
            ShardAction::Commit(request) => {
                let outcome = self.table.transact(&commit_transaction(shard, request));
                let answer = match outcome {
                    TxnOutcome::Committed(versions) => CommitAnswer::Committed {
                        version: versions[0],
                    },
                    TxnOutcome::Conflict(_) => CommitAnswer::Conflict,
                };
                let token = request.row.token.clone();
                Some(ShardEvent::CommitAnswered { token, answer })
            }
            ShardAction::LoadState {
                snapshot,
                after,
                to,
            } => {
                let rows = self.table.range(&journal_range(shard, *after, *to));
                let groups = rows
                    .iter()
                    .map(|row| read_group(row).expect("groups are written by owners"));
                let snapshot = snapshot.as_ref();
                Some(ShardEvent::StateLoaded {
                    snapshot: snapshot.map(|digest| self.objects[digest].to_vec()),
                    groups: groups.collect(),
                })
            }
            ShardAction::StoreSnapshot { digest, bytes } => {
                self.objects.insert(digest.clone(), bytes.clone());
                let digest = digest.clone();
                Some(ShardEvent::SnapshotStored {
                    digest,
                    stored: true,
                })
            }
            ShardAction::ReadInbox { read_number } => {
                let range = ReadRange::prefix(&TableKey::InboxOf(shard).text());
                let rows = self.table.range(&range);
                let handoffs = rows.iter().map(|row| {
                    serde_json::from_str(&row.value).expect("entries are written by owners")
                });
                Some(ShardEvent::InboxRead {
                    read_number: *read_number,
                    handoffs: handoffs.collect(),
                })
            }
            ShardAction::SendOrders { .. } | ShardAction::Note(_) => None,
        }
    }
}

/// Returns the event that an owner receives when the call for an action fails and its effect is unknown; none for actions
/// without such an event.
pub fn unanswered(action: &ShardAction) -> Option<ShardEvent> {
    match action {
        ShardAction::ReadRow => Some(ShardEvent::RowReadFailed),
        ShardAction::Commit(request) => Some(ShardEvent::CommitAnswered {
            token: request.row.token.clone(),
            answer: CommitAnswer::Unknown,
        }),
        ShardAction::LoadState { .. } => Some(ShardEvent::StateLoadFailed),
        ShardAction::StoreSnapshot { digest, .. } => Some(ShardEvent::SnapshotStored {
            digest: digest.clone(),
            stored: false,
        }),
        ShardAction::SendOrders { worker, orders } => Some(ShardEvent::WorkerAnswered {
            worker: worker.clone(),
            epoch: orders.epoch,
            number: orders.number,
            report: None,
        }),
        ShardAction::ReadInbox { .. } | ShardAction::Note(_) => None,
    }
}
