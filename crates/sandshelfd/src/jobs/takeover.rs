//! Reads the state that a new owner needs before it gives orders.

use std::collections::BTreeMap;
use std::time::Duration;

use futures::future::join;
use futures::{stream, StreamExt};
use sandshelf_adapter::{join_values, leftover_pieces, CallTimeout, StoredValue};
use sandshelf_jobs::{
    InterferenceRow, JobEvent, JobNumber, JobSpec, PageKey, SilentWorkers, StoredProgress,
    WorkerPage, WorkerRoster,
};
use sandshelf_model::Epoch;

use crate::jobs::accept::decode_row;
use crate::jobs::halls::{evacuation_range, HallView};
use crate::jobs::meters::StoreCall;
use crate::jobs::pages::{PageReader, PartRows};
use crate::jobs::records::{
    job_ranges, roster_page_key, shard_range, silence_page_key, CANCEL_SUFFIX, INTERFERENCE_KEY,
    PROGRESS_TABLE, ROSTER_KEY, SHARDS_TABLE,
};
use crate::jobs::writer::OwnerStore;
use crate::logging::event;

/// The idle timeout of a page read: how long the store may send nothing.
const PAGE_TIMEOUT: CallTimeout = CallTimeout::Idle(Duration::from_millis(1_500));
/// How many parts of the jobs table are read concurrently.
const PARTS_AT_ONCE: usize = 8;

/// What earlier owners published.
#[derive(Clone, Debug)]
pub struct PublishedState {
    /// The workers that may have leased tasks.
    pub roster: WorkerRoster,
    /// The workers of these that had become silent.
    pub silent: SilentWorkers,
    /// The learned interference between images.
    pub interference: InterferenceRow,
    /// The store's clock at the last page of this state, in milliseconds.
    pub store_ms: u64,
}

/// The durable state of jobs.
#[derive(Clone, Debug)]
pub struct RecordedState {
    /// The progress of the jobs.
    pub progress: StoredProgress,
    /// The keys of progress rows that are left over from longer values.
    pub leftovers: Vec<String>,
    /// All jobs and cancellations.
    pub jobs: ListedJobs,
}

/// All jobs and cancellations. Their parts are read at different versions of the store.
#[derive(Clone, Debug)]
pub struct ListedJobs {
    /// One event for each job and each cancellation.
    pub events: Vec<JobEvent>,
    /// The oldest version at which the first page of a part was read. Later changes may be missing from the events, so the feed of
    /// changes is followed from here.
    pub follow_from: u64,
    /// The newest version at which the last page of a part was read. No event is newer.
    pub newest: u64,
}

/// Creates the reader of a takeover.
pub fn takeover_reader() -> PageReader {
    PageReader::new(StoreCall::TakeOver, PAGE_TIMEOUT)
}

impl OwnerStore {
    /// Reads what earlier owners published, and updates the evacuated halls. Silence records of owners before epoch `rules_since` are left
    /// out, and all where that is 0. Failed reads are retried until they succeed.
    pub async fn read_published(
        &self,
        reader: &PageReader,
        halls: &HallView,
        rules_since: Epoch,
    ) -> PublishedState {
        let (shards, evacuations) = (shard_range(SHARDS_TABLE), evacuation_range());
        let published = reader.read_part(self, &shards);
        let evacuated = reader.read_part(self, &evacuations);
        let (published, evacuated) = join(published, evacuated).await;
        halls.replace_all(&evacuated.rows, evacuated.last_version);
        let rows: BTreeMap<String, StoredValue> = join_values(&published.rows)
            .into_iter()
            .map(|row| (row.key.clone(), row))
            .collect();
        let interference = rows.get(INTERFERENCE_KEY);
        let interference = interference.and_then(|row| decode_row(row, "strengths"));
        PublishedState {
            roster: decode_roster(&rows),
            silent: decode_silence_records(&rows, rules_since),
            interference: interference.unwrap_or_default(),
            store_ms: published.store_ms,
        }
    }

    /// Reads the durable state of jobs. Failed reads are retried until they succeed.
    pub async fn read_recorded(&self, reader: &PageReader) -> RecordedState {
        let progress = reader.read_part(self, &shard_range(PROGRESS_TABLE)).await;
        RecordedState {
            leftovers: leftover_pieces(&progress.rows),
            progress: decode_progress(&join_values(&progress.rows)),
            jobs: self.read_jobs(reader).await,
        }
    }

    /// Reads all jobs and cancellations, a few parts at a time. Failed reads are retried until they succeed.
    pub async fn read_jobs(&self, reader: &PageReader) -> ListedJobs {
        let parts = job_ranges().map(|range| async move { reader.read_part(self, &range).await });
        // A part whose read is retried delays none of the others.
        let parts = stream::iter(parts).buffer_unordered(PARTS_AT_ONCE);
        let parts: Vec<PartRows> = parts.collect().await;
        ListedJobs {
            follow_from: parts
                .iter()
                .map(|part| part.first_version)
                .min()
                .unwrap_or(0),
            newest: parts
                .iter()
                .map(|part| part.last_version)
                .max()
                .unwrap_or(0),
            events: parts
                .iter()
                .flat_map(|part| decode_jobs(&part.rows))
                .collect(),
        }
    }
}

fn decode_roster(rows: &BTreeMap<String, StoredValue>) -> WorkerRoster {
    let head = rows.get(ROSTER_KEY);
    let head = head.and_then(|row| decode_row::<WorkerRoster>(row, "roster"));
    let mut roster = head.unwrap_or_default();
    let pages = WorkerPage::all().filter_map(|page| rows.get(&roster_page_key(page)));
    for page in pages.filter_map(|row| decode_row(row, "roster")) {
        roster.add_page(page);
    }
    roster
}

fn decode_silence_records(
    rows: &BTreeMap<String, StoredValue>,
    rules_since: Epoch,
) -> SilentWorkers {
    let mut records = SilentWorkers::default();
    let pages = WorkerPage::all().filter_map(|page| rows.get(&silence_page_key(page)));
    for page in pages.filter_map(|row| decode_row::<SilentWorkers>(row, "silent")) {
        if rules_since > 0 && page.epoch >= rules_since {
            records.add_page(page);
        }
    }
    records
}

fn decode_progress(rows: &[StoredValue]) -> StoredProgress {
    let mut progress = StoredProgress::default();
    for row in rows {
        if let Ok(number) = row.key.parse::<JobNumber>() {
            let decoded = decode_row(row, "progress");
            progress.rows.extend(decoded.map(|row| (number, row)));
        } else if let Ok(key) = row.key.parse::<PageKey>() {
            let decoded = decode_row(row, "progress_page");
            progress.pages.extend(decoded.map(|page| (key, page)));
        }
    }
    progress
}

/// Decodes the rows of jobs and cancellations, in their order; removed and unreadable rows are left out.
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
    // Hosts check jobs before they write them; another writer may not.
    if let Err(fault) = spec.check() {
        event(
            "row_unreadable",
            &[("kind", &"job"), ("key", &row.key), ("error", &fault)],
        );
        return None;
    }
    Some(JobEvent::JobListed {
        number,
        version: row.version,
        spec: Box::new(spec),
    })
}
