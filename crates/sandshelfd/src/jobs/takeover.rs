//! What a new owner reads before it gives orders.

use std::collections::BTreeMap;
use std::time::Duration;

use futures::future::join;
use futures::{stream, StreamExt};
use sandshelf_adapter::{join_value, CallTimeout, StoredValue};
use sandshelf_jobs::{
    InterferenceRow, JobEvent, JobNumber, JobSpec, ProgressRow, SilentWorkers, WorkerRoster,
};

use crate::jobs::accept::decode_row;
use crate::jobs::halls::{evacuations, HallView};
use crate::jobs::meters::StoreCall;
use crate::jobs::pages::{PageReader, PartRows};
use crate::jobs::records::{
    job_ranges, shard_range, CANCEL_SUFFIX, INTERFERENCE_KEY, PROGRESS_TABLE, ROSTER_KEY,
    SHARDS_TABLE, SILENT_KEY,
};
use crate::jobs::writer::OwnerStore;
use crate::logging::event;

/// How long the store may send nothing of a page of rows.
const PAGE_PATIENCE: CallTimeout = CallTimeout::Idle(Duration::from_millis(1_500));
/// How many parts of the jobs are read at once.
const PARTS_AT_ONCE: usize = 8;

/// What an earlier owner published.
#[derive(Clone, Debug)]
pub struct PublishedState {
    /// The workers that may hold tasks.
    pub roster: WorkerRoster,
    /// Which of them had fallen silent.
    pub silent: SilentWorkers,
    /// What was learnt of images.
    pub interference: InterferenceRow,
    /// What the store's clock showed then, in milliseconds.
    pub store_ms: u64,
}

/// What is durable of jobs.
#[derive(Clone, Debug)]
pub struct RecordedState {
    /// Their progress.
    pub progress: BTreeMap<JobNumber, ProgressRow>,
    /// The jobs and cancellations.
    pub jobs: ListedJobs,
}

/// All jobs and cancellations; their parts are read one after the other.
#[derive(Clone, Debug)]
pub struct ListedJobs {
    /// The jobs and cancellations.
    pub events: Vec<JobEvent>,
    /// The version as of which the first page was read: later changes may not be among the events.
    pub follow_from: u64,
    /// The version as of which the last page was read: no event is newer.
    pub newest: u64,
}

/// Starts the reads of a takeover.
pub fn takeover_reader() -> PageReader {
    PageReader::new(StoreCall::TakeOver, PAGE_PATIENCE)
}

impl OwnerStore {
    /// Reads what an earlier owner published, and which halls are evacuated as of the claim, for as long as that takes.
    pub async fn read_published(&self, reads: &PageReader, halls: &HallView) -> PublishedState {
        let (shards, evacuations) = (shard_range(SHARDS_TABLE), evacuations());
        let published = reads.read_part(self, &shards);
        let evacuated = reads.read_part(self, &evacuations);
        let (published, evacuated) = join(published, evacuated).await;
        halls.take_all(&evacuated.rows, evacuated.until);
        let named = |key: &str| join_value(&published.rows, key);
        let roster = named(ROSTER_KEY).and_then(|row| decode_row(&row, "roster"));
        let silent = named(SILENT_KEY).and_then(|row| decode_row(&row, "silent"));
        let interference = named(INTERFERENCE_KEY).and_then(|row| decode_row(&row, "strengths"));
        PublishedState {
            roster: roster.unwrap_or_default(),
            silent: silent.unwrap_or_default(),
            interference: interference.unwrap_or_default(),
            store_ms: published.store_ms,
        }
    }

    /// Reads all that is durable of jobs, for as long as that takes.
    pub async fn read_recorded(&self, reads: &PageReader) -> RecordedState {
        let progress = reads.read_part(self, &shard_range(PROGRESS_TABLE)).await;
        RecordedState {
            progress: decode_all(&progress.rows),
            jobs: self.read_jobs(reads).await,
        }
    }

    /// Reads all jobs and cancellations, a few parts at a time, for as long as that takes.
    pub async fn read_jobs(&self, reads: &PageReader) -> ListedJobs {
        let parts = job_ranges().map(|range| async move { reads.read_part(self, &range).await });
        // A part that has to be asked for again holds up none of the others.
        let parts = stream::iter(parts).buffer_unordered(PARTS_AT_ONCE);
        let parts: Vec<PartRows> = parts.collect().await;
        ListedJobs {
            follow_from: parts.iter().map(|part| part.since).min().unwrap_or(0),
            newest: parts.iter().map(|part| part.until).max().unwrap_or(0),
            events: parts
                .iter()
                .flat_map(|part| decode_jobs(&part.rows))
                .collect(),
        }
    }
}

fn decode_all(rows: &[StoredValue]) -> BTreeMap<JobNumber, ProgressRow> {
    let mut progress = BTreeMap::new();
    for row in rows {
        let number = row.key.parse::<JobNumber>();
        if let (Ok(number), Some(decoded)) = (number, decode_row(row, "progress")) {
            progress.insert(number, decoded);
        }
    }
    progress
}

/// Decodes rows of jobs and marks of cancellation, in their order.
pub fn decode_jobs(rows: &[StoredValue]) -> Vec<JobEvent> {
    rows.iter().filter_map(decode_job).collect()
}

fn decode_job(row: &StoredValue) -> Option<JobEvent> {
    row.value.as_ref()?;
    let (digits, cancelled) = match row.key.strip_suffix(CANCEL_SUFFIX) {
        Some(digits) => (digits, true),
        None => (row.key.as_str(), false),
    };
    let Ok(number) = digits.parse::<JobNumber>() else {
        event("row_unreadable", &[("kind", &"job"), ("key", &row.key)]);
        return None;
    };
    if cancelled {
        return Some(JobEvent::CancelAsked(number));
    }
    let spec = decode_row::<JobSpec>(row, "job")?;
    Some(JobEvent::JobListed {
        number,
        version: row.version,
        spec: Box::new(spec),
    })
}
