//! Performs the actions of shard owners: calls to the platform and to workers.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use sandshelf_lease::{CommitAnswer, CommitRequest, ShardAction, ShardEvent, TaskHandoff};
use sandshelf_model::{Sequence, ShardId, WorkerId};
use sandshelf_platform::{
    commit_transaction, journal_range, read_group, read_shard_row, PlatformClient, ReadRange,
    StoreFault, TableKey, TxnOutcome,
};

use crate::meters;

/// Performs one action and returns the event with its result.
///
/// None for a note and for an inbox that can't be read. [`ShardAction::ReadRow`] is not performed here: [`read_rows`]
/// reads the rows of several shards together.
pub async fn perform_action(
    platform: &PlatformClient,
    shard: &ShardId,
    action: ShardAction,
    workers: &HashMap<WorkerId, SocketAddr>,
) -> Option<ShardEvent> {
    match action {
        ShardAction::ReadRow => None,
        ShardAction::Commit(request) => Some(commit(platform, shard, &request).await),
        ShardAction::LoadState {
            snapshot,
            after,
            to,
        } => Some(load_state(platform, shard, snapshot, after, to).await),
        ShardAction::StoreSnapshot { digest, bytes } => {
            let stored = platform.put_object(&digest, bytes.to_vec()).await.is_ok();
            meters::note_platform("snapshot", stored);
            Some(ShardEvent::SnapshotStored { digest, stored })
        }
        ShardAction::ReadInbox { read_number } => read_inbox(platform, shard, read_number).await,
        ShardAction::SendOrders { worker, orders } => {
            let report = match workers.get(&worker) {
                Some(address) => platform.send_orders(*address, &orders).await.ok(),
                None => None,
            };
            meters::note_platform("worker", report.is_some());
            Some(ShardEvent::WorkerAnswered {
                worker,
                epoch: orders.epoch,
                number: orders.number,
                report,
            })
        }
        ShardAction::Note(_) => None,
    }
}

/// Reads the rows of any number of shards in one call.
///
/// A failed call gives [`ShardEvent::RowReadFailed`] for each of them.
pub async fn read_rows(
    platform: &PlatformClient,
    shards: &BTreeSet<ShardId>,
) -> Vec<(ShardId, ShardEvent)> {
    let range = ReadRange::prefix(&TableKey::AllShards.text());
    let rows = platform.read_range(&range).await;
    meters::note_platform("read", rows.is_ok());
    let event_of = |shard: &ShardId| {
        let Ok(rows) = &rows else {
            return ShardEvent::RowReadFailed;
        };
        let key = TableKey::Shard(shard).text();
        let row = rows.iter().find(|row| row.key == key);
        match read_shard_row(row) {
            Ok(stored) => ShardEvent::RowRead(stored),
            Err(_) => ShardEvent::RowReadFailed,
        }
    };
    let shards = shards.iter();
    shards
        .map(|shard| (shard.clone(), event_of(shard)))
        .collect()
}

async fn commit(platform: &PlatformClient, shard: &ShardId, request: &CommitRequest) -> ShardEvent {
    let txn = commit_transaction(shard, request);
    let outcome = platform.transact(&txn).await;
    meters::note_platform("commit", outcome.is_ok());
    let answer = match outcome {
        Ok(TxnOutcome::Committed(versions)) => CommitAnswer::Committed {
            version: versions.first().copied().unwrap_or_default(),
        },
        Ok(TxnOutcome::Conflict(_)) => CommitAnswer::Conflict,
        Err(_) => CommitAnswer::Unknown,
    };
    ShardEvent::CommitAnswered {
        token: request.row.token.clone(),
        answer,
    }
}

async fn load_state(
    platform: &PlatformClient,
    shard: &ShardId,
    snapshot: Option<String>,
    after: Sequence,
    to: Sequence,
) -> ShardEvent {
    match try_load_state(platform, shard, snapshot, after, to).await {
        Ok(event) => event,
        Err(_) => ShardEvent::StateLoadFailed,
    }
}

async fn try_load_state(
    platform: &PlatformClient,
    shard: &ShardId,
    snapshot: Option<String>,
    after: Sequence,
    to: Sequence,
) -> Result<ShardEvent, StoreFault> {
    let snapshot = match snapshot {
        Some(digest) => Some(platform.get_object(&digest).await?),
        None => None,
    };
    let rows = platform
        .read_range(&journal_range(shard, after, to))
        .await?;
    let groups: Result<Vec<_>, _> = rows.iter().map(read_group).collect();
    let groups = groups.map_err(|_| StoreFault::Refused)?;
    Ok(ShardEvent::StateLoaded { snapshot, groups })
}

async fn read_inbox(
    platform: &PlatformClient,
    shard: &ShardId,
    read_number: u64,
) -> Option<ShardEvent> {
    let range = ReadRange::prefix(&TableKey::InboxOf(shard).text());
    let rows = platform.read_range(&range).await.ok()?;
    let handoffs: Vec<TaskHandoff> = rows
        .iter()
        .filter_map(|row| serde_json::from_str(&row.value).ok())
        .collect();
    Some(ShardEvent::InboxRead {
        read_number,
        handoffs,
    })
}
