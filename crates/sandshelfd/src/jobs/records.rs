//! The tables, keys and ranges of the rows that the daemon keeps in the store.

use std::collections::BTreeMap;

use sandshelf_adapter::{RowKey, RowRange};
use sandshelf_jobs::admission::LoadView;
use sandshelf_jobs::{JobNumber, PageKey, QueueAddress, WorkerPage};
use sandshelf_model::Millis;
use serde::{Deserialize, Serialize};

/// The table of submitted jobs and cancellations.
pub const JOBS_TABLE: &str = "jobs";
/// The table of each job's durable progress.
pub const PROGRESS_TABLE: &str = "progress";
/// The table of the owner row and the rows that the owner publishes.
pub const SHARDS_TABLE: &str = "shards";
/// The part of the one shard that serves all queues. The rows that its owner writes share this part, as all rows of a transaction must.
pub const SHARD_PART: &str = "s0";
/// The number of parts of the jobs table. A part handles its writes one after another. A store that is sixty times slower than usual handles
/// three a second in each part, while large deployments submit 35 jobs a second.
const JOB_PARTS: u64 = 32;
/// The key of the owner row, which says who owns the shard.
pub const OWNER_KEY: &str = "owner";
/// The key of the counts of waiting jobs.
pub const PENDING_KEY: &str = "pending";
/// The key of the head of the roster: what holds for all workers that may have leased tasks.
pub const ROSTER_KEY: &str = "roster";
/// The key of the learned interference between images.
pub const INTERFERENCE_KEY: &str = "strengths";
/// The suffix to a job's number in the key of its cancellation row.
pub const CANCEL_SUFFIX: &str = ".cancel";
/// A job's number with this suffix sorts after all keys of that job.
const AFTER_SUFFIXES: &str = "/";

/// The published counts of waiting jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingRow {
    /// The count by the queue's address; a queue without an entry has no waiting jobs.
    pub counts: BTreeMap<QueueAddress, u64>,
    /// The load of the queues; none while no job is refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load: Option<LoadView>,
    /// The store's clock when the row was sent, at most, in milliseconds; 0 if unknown.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub sent_store_ms: Millis,
}

fn is_zero(value: &Millis) -> bool {
    *value == 0
}

/// The key of a row of the shard.
pub fn shard_row(table: &'static str, key: &str) -> RowKey {
    RowKey {
        table,
        part: SHARD_PART.to_owned(),
        key: key.to_owned(),
    }
}

/// The part of a job's row and its cancellation row.
fn job_part(number: JobNumber) -> String {
    format!("j{}", number.0 % JOB_PARTS)
}

/// The key of a page of the roster.
pub fn roster_page_key(page: WorkerPage) -> String {
    format!("roster-{:03}", page.0)
}

/// The key of a page of the silence records of workers.
pub fn silence_page_key(page: WorkerPage) -> String {
    format!("silent-{:03}", page.0)
}

/// The key of a job's row.
pub fn job_row(number: JobNumber) -> RowKey {
    RowKey {
        table: JOBS_TABLE,
        part: job_part(number),
        key: number.to_string(),
    }
}

/// The key of a job's cancellation row.
pub fn cancel_row(number: JobNumber) -> RowKey {
    RowKey {
        key: format!("{number}{CANCEL_SUFFIX}"),
        ..job_row(number)
    }
}

/// The ranges of all jobs and cancellations, one for each part.
pub fn job_ranges() -> impl Iterator<Item = RowRange> {
    (0..JOB_PARTS).map(|part| RowRange {
        table: JOBS_TABLE,
        part: format!("j{part}"),
        from: String::new(),
        to: None,
    })
}

/// The key of a job's progress row.
pub fn progress_row(number: JobNumber) -> RowKey {
    shard_row(PROGRESS_TABLE, &number.to_string())
}

/// The key of a page of the progress of a large job. It sorts after the row of that job and the pieces of its value, so that a read of the
/// job's state doesn't include it.
pub fn progress_page_row(page: &PageKey) -> RowKey {
    shard_row(PROGRESS_TABLE, &page.to_string())
}

/// The range of a single row.
pub fn row_range(row: &RowKey) -> RowRange {
    RowRange {
        table: row.table,
        part: row.part.clone(),
        from: row.key.clone(),
        to: Some(format!("{}\u{0}", row.key)),
    }
}

/// The range of a job's row and its cancellation row.
pub fn job_range(number: JobNumber) -> RowRange {
    let row = job_row(number);
    RowRange {
        table: row.table,
        part: row.part,
        to: Some(format!("{}{AFTER_SUFFIXES}", row.key)),
        from: row.key,
    }
}

/// The range of all rows of the shard in a table.
pub fn shard_range(table: &'static str) -> RowRange {
    RowRange {
        table,
        part: SHARD_PART.to_owned(),
        from: String::new(),
        to: None,
    }
}

/// Encodes the value of a row as JSON.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("plain structures always encode")
}
