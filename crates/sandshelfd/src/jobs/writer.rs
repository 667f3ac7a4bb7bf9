//! Durable writes of a shard's owner: each is conditional on the owner's row and rewrites it.

use std::time::Duration;

use futures::future::join_all;
use sandshelf_adapter::{
    split_value, CallTimeout, RowCheck, RowKey, RowWrite, StoreClient, StoreFault, StoredValue,
    WriteOutcome,
};
use sandshelf_jobs::{CommitBatch, JobNumber};
use sandshelf_lease::{RowVersion, ShardRow, StoredRow};
use sandshelf_model::Millis;
use serde::Serialize;
use std::sync::Arc;
use tokio::time::sleep;

use crate::clock;
use crate::jobs::accept::decode_row;
use crate::jobs::health::StoreHealth;
use crate::jobs::meters::StoreCall;
use crate::jobs::records::{
    cancel_row, encode, job_row, progress_row, shard_row, single, PendingRow, INTERFERENCE_KEY,
    OWNER_KEY, PENDING_KEY, ROSTER_KEY, SHARDS_TABLE, SILENT_KEY,
};
use crate::logging::event;

/// How long the store may send nothing once an attempt has had the time to get there; a store that answers at all answers
/// sooner.
const WRITE_PATIENCE: CallTimeout = CallTimeout::Idle(Duration::from_millis(900));
/// How long the store may send nothing of the owner's row.
const READ_PATIENCE: CallTimeout = CallTimeout::Idle(Duration::from_millis(600));
/// The pause before a write is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// One write of an owner.
#[derive(Clone, Debug)]
pub struct OwnerWrite {
    /// The version that the owner's row must have.
    pub version: RowVersion,
    /// The owner's row as it is to be.
    pub row: ShardRow,
    /// What else is written.
    pub batch: CommitBatch,
}

/// How a write ended.
#[derive(Clone, Debug)]
pub enum WriteResult {
    /// It took effect.
    Committed {
        /// When the attempt that took effect was sent, or an earlier one.
        sent: Millis,
        /// The owner's row.
        stored: StoredRow,
        /// Which batch it was.
        batch: u64,
    },
    /// Another host's write came first: this host doesn't own the shard.
    Lost,
}

/// The store as the owner's thread uses it.
#[derive(Clone, Debug)]
pub struct OwnerStore {
    /// The client.
    pub client: StoreClient,
    /// What the latest calls say of the store.
    pub health: Arc<StoreHealth>,
}

impl OwnerStore {
    /// Reads the owner's row; version 0 stands for none.
    ///
    /// # Errors
    /// The store did not answer.
    pub async fn read_owner(&self) -> Result<StoredRow, StoreFault> {
        let range = single(&shard_row(SHARDS_TABLE, OWNER_KEY));
        let read = self.client.read(&range, READ_PATIENCE);
        let page = self.health.watch(StoreCall::ReadOwner, read).await?;
        Ok(decode_owner(&page.rows))
    }

    /// Removes the rows of jobs that are to be forgotten; those that could not be removed are left to a later owner, which
    /// finds their progress.
    async fn remove_jobs(&self, forget: &mut Vec<JobNumber>) {
        let removals = forget.drain(..).map(|number| async move {
            let removal = job_removal(&number);
            let write = self.client.write(&removal, WRITE_PATIENCE);
            let removed = self.health.watch(StoreCall::Commit, write).await;
            if let Err(fault) = &removed {
                event("forget_failed", &[("job", &number), ("fault", fault)]);
            }
            removed.is_ok().then_some(number)
        });
        let removed = join_all(removals).await;
        *forget = removed.into_iter().flatten().collect();
    }

    /// Writes until it is certain that the write took effect or never will.
    pub async fn write(&self, mut write: OwnerWrite) -> WriteResult {
        self.remove_jobs(&mut write.batch.forget).await;
        let request = row_write(&write);
        let sent = clock::now();
        loop {
            let attempt = self.client.write(&request, WRITE_PATIENCE);
            let outcome = self.health.watch(StoreCall::Commit, attempt).await;
            let current = match outcome {
                Ok(WriteOutcome::Done(version)) => return committed(write, sent, version),
                Ok(WriteOutcome::Conflict(rows)) => decode_owner(&rows),
                Err(fault) => {
                    event(
                        "write_retried",
                        &[("fault", &fault), ("batch", &write.batch.id)],
                    );
                    sleep(RETRY_PAUSE).await;
                    match self.read_owner().await {
                        Ok(current) => current,
                        Err(_) => continue,
                    }
                }
            };
            // The token tells a write whose answer was lost from one that another host made.
            if current.row.token == write.row.token {
                return committed(write, sent, current.version);
            }
            if current.version != write.version {
                return WriteResult::Lost;
            }
        }
    }
}

fn committed(write: OwnerWrite, sent: Millis, version: RowVersion) -> WriteResult {
    WriteResult::Committed {
        sent,
        stored: StoredRow {
            version,
            row: write.row,
        },
        batch: write.batch.id,
    }
}

fn decode_owner(rows: &[StoredValue]) -> StoredRow {
    let found = rows.iter().find(|row| row.key == OWNER_KEY);
    let decoded = found.and_then(|row| decode_row::<ShardRow>(row, "owner"));
    StoredRow {
        version: found.map_or(0, |row| row.version),
        row: decoded.unwrap_or_default(),
    }
}

/// Removes the row and the mark of a job whose state is no longer kept; its progress says until the end that it is over.
fn job_removal(number: &JobNumber) -> RowWrite {
    RowWrite {
        removes: vec![job_row(*number), cancel_row(*number)],
        ..RowWrite::default()
    }
}

/// The rows of what an owner publishes, which grows with the workers, the queues and the images.
fn long_row<T: Serialize>(key: &str, value: &T) -> Vec<(RowKey, Vec<u8>)> {
    split_value(shard_row(SHARDS_TABLE, key), encode(value))
}

fn row_write(write: &OwnerWrite) -> RowWrite {
    let owner = shard_row(SHARDS_TABLE, OWNER_KEY);
    let mut puts = vec![(owner.clone(), encode(&write.row))];
    for (number, progress) in &write.batch.progress {
        puts.push((progress_row(*number), encode(progress)));
    }
    if let Some(counts) = &write.batch.pending {
        let row = PendingRow {
            counts: counts.clone(),
        };
        puts.extend(long_row(PENDING_KEY, &row));
    }
    if let Some(interference) = &write.batch.interference {
        puts.extend(long_row(INTERFERENCE_KEY, interference));
    }
    if let Some(roster) = &write.batch.roster {
        puts.extend(long_row(ROSTER_KEY, roster));
    }
    if let Some(marks) = &write.batch.silent {
        puts.extend(long_row(SILENT_KEY, marks));
    }
    RowWrite {
        checks: vec![RowCheck {
            row: owner,
            version: write.version,
        }],
        puts,
        removes: write
            .batch
            .forget
            .iter()
            .copied()
            .map(progress_row)
            .collect(),
    }
}
