//! The rows that the daemon keeps in the store.

use std::collections::BTreeMap;

use sandshelf_adapter::{RowKey, RowRange};
use sandshelf_jobs::JobNumber;
use serde::{Deserialize, Serialize};

/// Jobs as handed in, and the marks of cancelled ones.
pub const JOBS_TABLE: &str = "jobs";
/// What is durable of each job's progress.
pub const PROGRESS_TABLE: &str = "progress";
/// Who owns a shard, and what its owner publishes.
pub const SHARDS_TABLE: &str = "shards";
/// The one shard that serves all queues; the rows that its owner writes share a part, as all rows of a transaction have to.
pub const SHARD_PART: &str = "s0";
/// Into how many parts the jobs are spread: a part takes its writes in turn, and a store that is sixty times slower than
/// usual takes three a second in each, where the grown deployments hand in 35 jobs a second.
const JOB_PARTS: u64 = 32;
/// The key of the row that says who owns the shard.
pub const OWNER_KEY: &str = "owner";
/// The key of the numbers of waiting jobs.
pub const PENDING_KEY: &str = "pending";
/// The key of the workers that may hold tasks.
pub const ROSTER_KEY: &str = "roster";
/// The key of the marks of silent workers.
pub const SILENT_KEY: &str = "silent";
/// The key of what is learnt of images.
pub const INTERFERENCE_KEY: &str = "strengths";
/// What follows a job's number in the key of its cancellation mark.
pub const CANCEL_SUFFIX: &str = ".cancel";
/// Sorts behind every key that begins with a job's number.
const AFTER_SUFFIXES: &str = "/";

/// The numbers of waiting jobs by queue, as published.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingRow {
    /// By queue; a queue that is not named has none.
    pub counts: BTreeMap<String, u64>,
}

/// A row of the shard.
pub fn shard_row(table: &'static str, key: &str) -> RowKey {
    RowKey {
        table,
        part: SHARD_PART.to_owned(),
        key: key.to_owned(),
    }
}

/// The part that a job's row and its cancellation mark are in.
fn job_part(number: JobNumber) -> String {
    format!("j{}", number.0 % JOB_PARTS)
}

/// The row of a job.
pub fn job_row(number: JobNumber) -> RowKey {
    RowKey {
        table: JOBS_TABLE,
        part: job_part(number),
        key: number.to_string(),
    }
}

/// The row that marks a job as cancelled.
pub fn cancel_row(number: JobNumber) -> RowKey {
    RowKey {
        key: format!("{number}{CANCEL_SUFFIX}"),
        ..job_row(number)
    }
}

/// All jobs and cancellation marks, part by part.
pub fn job_ranges() -> impl Iterator<Item = RowRange> {
    (0..JOB_PARTS).map(|part| RowRange {
        table: JOBS_TABLE,
        part: format!("j{part}"),
        from: String::new(),
        to: None,
    })
}

/// The row of a job's progress.
pub fn progress_row(number: JobNumber) -> RowKey {
    shard_row(PROGRESS_TABLE, &number.to_string())
}

/// One row as a range.
pub fn row_range(row: &RowKey) -> RowRange {
    RowRange {
        table: row.table,
        part: row.part.clone(),
        from: row.key.clone(),
        to: Some(format!("{}\u{0}", row.key)),
    }
}

/// A job's row and its cancellation mark.
pub fn job_range(number: JobNumber) -> RowRange {
    let row = job_row(number);
    RowRange {
        table: row.table,
        part: row.part,
        to: Some(format!("{}{AFTER_SUFFIXES}", row.key)),
        from: row.key,
    }
}

/// All rows of the shard in a table.
pub fn shard_range(table: &'static str) -> RowRange {
    RowRange {
        table,
        part: SHARD_PART.to_owned(),
        from: String::new(),
        to: None,
    }
}

/// Encodes a row's value.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("plain structures always encode")
}
