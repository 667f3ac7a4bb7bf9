//! Durable writes of a shard's owner: each is conditional on the version of the owner row and rewrites that row.

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
    cancel_row, encode, job_row, progress_page_row, progress_row, roster_page_key, row_range,
    shard_row, silence_page_key, PendingRow, INTERFERENCE_KEY, OWNER_KEY, PENDING_KEY,
    PROGRESS_TABLE, ROSTER_KEY, SHARDS_TABLE,
};
use crate::jobs::store_clock::StoreClock;
use crate::logging::event;

/// The idle timeout of a write: how long the store may send nothing once an attempt has had the time to reach it. A store that answers at
/// all answers sooner.
const WRITE_TIMEOUT: CallTimeout = CallTimeout::Idle(Duration::from_millis(900));
/// The idle timeout of a read of the owner row.
const READ_TIMEOUT: CallTimeout = CallTimeout::Idle(Duration::from_millis(600));
/// The pause before a write is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// One durable write of an owner.
#[derive(Clone, Debug)]
pub struct OwnerWrite {
    /// The version that the owner row must have for the write to take effect.
    pub version: RowVersion,
    /// The new owner row.
    pub row: ShardRow,
    /// The other changes, written in the same transaction.
    pub batch: CommitBatch,
    /// The keys of progress rows to be removed in the same transaction, since they are left over from longer values.
    pub leftovers: Vec<String>,
}

/// The result of a write.
#[derive(Clone, Debug)]
pub enum WriteResult {
    /// The write took effect.
    Committed {
        /// When the first attempt was sent, which is not later than the one that took effect.
        sent: Millis,
        /// The owner row as written.
        stored: StoredRow,
        /// The id of the written batch.
        batch: u64,
    },
    /// Another host's write came first: this host doesn't own the shard.
    Lost,
}

/// The store client of the control thread, with the health that its calls update.
#[derive(Clone, Debug)]
pub struct OwnerStore {
    /// The client of the store.
    pub client: StoreClient,
    /// The health of the store as seen by this host's calls.
    pub health: Arc<StoreHealth>,
    /// The store's clock as seen by these calls.
    pub clock: Arc<StoreClock>,
}

/// The owner row as read.
#[derive(Clone, Debug)]
pub struct OwnerReading {
    /// The row; version 0 means that there is none.
    pub row: StoredRow,
    /// A lower bound of the time since the row's write was first sent, in milliseconds; 0 where it is not known.
    pub age_ms: Millis,
}

impl OwnerStore {
    /// Reads the owner row.
    ///
    /// # Errors
    /// The store did not answer.
    pub async fn read_owner(&self) -> Result<OwnerReading, StoreFault> {
        let range = row_range(&shard_row(SHARDS_TABLE, OWNER_KEY));
        let sent = clock::now();
        let read = self.client.read(&range, READ_TIMEOUT);
        let page = self.health.observe(StoreCall::ReadOwner, read).await?;
        self.clock.note_answer(sent, page.store_ms);
        let row = decode_owner(&page.rows);
        let age_ms = match row.row.sent_store_ms {
            0 => 0,
            sent_store_ms => page.store_ms.saturating_sub(sent_store_ms),
        };
        Ok(OwnerReading { row, age_ms })
    }

    /// Removes the rows of the jobs to be forgotten. Jobs whose rows could not be removed are taken out of `forget`, so that their progress
    /// rows stay and a later owner finds them.
    async fn remove_jobs(&self, forget: &mut Vec<JobNumber>) {
        let removals = forget.drain(..).map(|number| async move {
            let removal = job_removal(&number);
            let write = self.client.write(&removal, WRITE_TIMEOUT);
            let removed = self.health.observe(StoreCall::Commit, write).await;
            if let Err(fault) = &removed {
                event("forget_failed", &[("job", &number), ("fault", fault)]);
            }
            removed.is_ok().then_some(number)
        });
        let removed = join_all(removals).await;
        *forget = removed.into_iter().flatten().collect();
    }

    /// Retries a write until it is certain that it took effect or never will.
    pub async fn write(&self, mut write: OwnerWrite) -> WriteResult {
        self.remove_jobs(&mut write.batch.forget).await;
        let sent = clock::now();
        write.row.sent_store_ms = self.clock.at_most(sent);
        let request = row_write(&write);
        loop {
            let attempt = self.client.write(&request, WRITE_TIMEOUT);
            let outcome = self.health.observe(StoreCall::Commit, attempt).await;
            let current = match outcome {
                Ok(WriteOutcome::Done(version)) => return committed(write, sent, version),
                Ok(WriteOutcome::Conflict(rows)) => decode_owner(&rows),
                Err(fault) => {
                    event(
                        "write_retried",
                        &[
                            ("fault", &fault),
                            ("batch", &write.batch.id),
                            ("rows", &request.puts.len()),
                        ],
                    );
                    sleep(RETRY_PAUSE).await;
                    match self.read_owner().await {
                        Ok(current) => current.row,
                        Err(_) => continue,
                    }
                }
            };
            // The token distinguishes this write, whose answer was lost, from the write of another host.
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

/// The write that removes the row and the cancellation row of a job that is no longer retained. Its progress row is removed after them, so
/// that the job counts as finished until then.
fn job_removal(number: &JobNumber) -> RowWrite {
    RowWrite {
        removes: vec![job_row(*number), cancel_row(*number)],
        ..RowWrite::default()
    }
}

/// The rows of a published value, which is split if it is longer than a row.
fn split_rows<T: Serialize>(key: &str, value: &T) -> Vec<(RowKey, Vec<u8>)> {
    split_value(shard_row(SHARDS_TABLE, key), encode(value))
}

fn row_write(write: &OwnerWrite) -> RowWrite {
    let owner = shard_row(SHARDS_TABLE, OWNER_KEY);
    let CommitBatch {
        progress,
        pages,
        obsolete_pages,
        pending,
        load,
        interference,
        forget,
        roster,
        silent,
        ..
    } = &write.batch;
    let mut puts = vec![(owner.clone(), encode(&write.row))];
    for (number, progress) in progress {
        puts.extend(split_value(progress_row(*number), encode(progress)));
    }
    for (key, page) in pages {
        puts.extend(split_value(progress_page_row(key), encode(page)));
    }
    if let Some(counts) = pending {
        let row = PendingRow {
            counts: counts.clone(),
            load: load.clone(),
            sent_store_ms: match load {
                Some(_) => write.row.sent_store_ms,
                None => 0,
            },
        };
        puts.extend(split_rows(PENDING_KEY, &row));
    }
    if let Some(interference) = interference {
        puts.extend(split_rows(INTERFERENCE_KEY, interference));
    }
    if let Some(head) = &roster.head {
        puts.extend(split_rows(ROSTER_KEY, head));
    }
    for (number, page) in &roster.pages {
        puts.extend(split_rows(&roster_page_key(*number), page));
    }
    for (number, page) in &silent.pages {
        puts.extend(split_rows(&silence_page_key(*number), page));
    }
    let removed_rows = forget.iter().copied().map(progress_row);
    let leftovers = write.leftovers.iter();
    let leftovers = leftovers.map(|key| shard_row(PROGRESS_TABLE, key));
    let removed_pages = obsolete_pages.iter().map(progress_page_row);
    RowWrite {
        checks: vec![RowCheck {
            row: owner,
            version: write.version,
        }],
        puts,
        removes: removed_rows.chain(removed_pages).chain(leftovers).collect(),
    }
}
