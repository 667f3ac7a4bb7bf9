//! A fake of the platform as a shard's owner meets it: what becomes of each thing that it asks for.

use std::collections::HashMap;
use std::sync::Arc;

use sandshelf_lease::{CommitAnswer, ShardAction, ShardEvent};
use sandshelf_model::ShardId;
use sandshelf_platform::{
    commit_transaction, journal_range, read_group, read_shard_row, ReadRange, TableKey, TxnOutcome,
};

use crate::table::FakeTable;

/// The table and the objects.
#[derive(Clone, Debug, Default)]
pub struct FakeStore {
    /// The table.
    pub table: FakeTable,
    /// Objects by digest.
    pub objects: HashMap<String, Arc<Vec<u8>>>,
}

impl FakeStore {
    /// Does what an owner asks of the store and returns the answer; none for what isn't the store's.
    ///
    /// # Panics
    /// A row was not written by an owner.
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
                let handoffs = rows
                    .iter()
                    .map(|row| serde_json::from_str(&row.value).expect("entries are by owners"));
                Some(ShardEvent::InboxRead {
                    read_number: *read_number,
                    handoffs: handoffs.collect(),
                })
            }
            ShardAction::SendOrders { .. } | ShardAction::Note(_) => None,
        }
    }
}

/// What an owner learns when nothing is known of what it asked for.
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
