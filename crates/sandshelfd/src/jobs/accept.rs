//! Accepts jobs, shows their state and cancels them. Any host does this, with the store alone.

use std::time::Duration;

use http::StatusCode;
use sandshelf_adapter::{
    decode_submission, join_value, pending_body, stage_body, value_range, CallTimeout, RowCheck,
    RowKey, RowWrite, StoreClient, StoreFault, StoredValue, WriteOutcome,
};
use sandshelf_jobs::{JobNumber, JobStage, ProgressRow, QueueEntry};
use sandshelf_model::Millis;

use crate::clock;
use crate::jobs::admission::AdmissionControl;
use crate::jobs::cancel::MarkBudget;
use crate::jobs::health::StoreHealth;
use crate::jobs::meters::StoreCall;
use crate::jobs::news::OwnerNews;
use crate::jobs::records::{
    cancel_row, encode, job_range, job_row, progress_row, row_range, shard_row, PendingRow,
    CANCEL_SUFFIX, OWNER_KEY, PENDING_KEY, SHARDS_TABLE,
};
use crate::logging::event;

/// The longest timeout of a store call that a caller waits for, in milliseconds; a slow store takes about half of that.
const MAX_STORE_TIMEOUT_MS: Millis = 1_200;
/// The shortest timeout with which a store call is worth trying, in milliseconds.
const MIN_STORE_TIMEOUT_MS: Millis = 120;
/// The timeout of a store call as a percentage of the caller's deadline, which leaves the caller time for a retry.
const STORE_TIMEOUT_PERCENT: Millis = 40;
/// After how many milliseconds a caller is asked to retry while the store is out.
pub const RETRY_AFTER_MS: Millis = 1_000;
/// A request may go to the store without a probe this long after the latest successful call, in milliseconds.
const PROBE_AFTER_MS: Millis = 500;
/// The timeout of a probe, which a store that works as usual answers in 5 ms. A host whose share of the processor is used up pauses for up
/// to 90 ms.
const PROBE_TIMEOUT: CallTimeout = CallTimeout::Idle(Duration::from_millis(250));
/// The reason in the answer while the store is out.
const STORE_OUT: &str = "the store is out";
/// The largest row of a job, in bytes; the store accepts at most 65,536.
const MAX_JOB_BYTES: usize = 60_000;

/// The answer to a caller.
#[derive(Clone, Debug)]
pub struct JobAnswer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The body: JSON if the call succeeded, otherwise the reason in plain text.
    pub body: String,
    /// After how many milliseconds the caller should retry; none if the answer doesn't ask for that.
    pub retry_after_ms: Option<Millis>,
}

impl JobAnswer {
    /// Creates an answer that doesn't ask for a retry.
    pub fn plain(status: StatusCode, body: impl Into<String>) -> Self {
        Self {
            status,
            body: body.into(),
            retry_after_ms: None,
        }
    }

    /// Creates the answer to a request that has certainly not taken effect; the caller should retry later.
    pub fn not_run(reason: &str) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            body: reason.to_owned(),
            retry_after_ms: Some(RETRY_AFTER_MS),
        }
    }

    /// The same answer with another wait before a retry.
    pub fn with_retry(self, retry_after_ms: Millis) -> Self {
        Self {
            retry_after_ms: Some(retry_after_ms),
            ..self
        }
    }

    /// Creates the answer to a request that may have taken effect; the caller should retry later.
    pub fn unknown(reason: &str) -> Self {
        Self {
            status: StatusCode::GATEWAY_TIMEOUT,
            body: reason.to_owned(),
            retry_after_ms: Some(RETRY_AFTER_MS),
        }
    }
}

/// Handles the calls of one request about jobs.
pub struct JobService<'a> {
    /// The client of the store.
    pub store: &'a StoreClient,
    /// The health of the store as seen by this host's calls.
    pub health: &'a StoreHealth,
    /// What the owner last told this host.
    pub news: OwnerNews,
    /// The decisions whether to admit jobs.
    pub admission: &'a AdmissionControl,
    /// How many cancellations of unknown jobs may be kept.
    pub cancel_marks: &'a MarkBudget,
    /// The time that the caller has left, in milliseconds; none if unknown.
    pub left_ms: Option<Millis>,
    /// The timeout of each store call.
    pub timeout: CallTimeout,
}

/// The timeout of each store call for a caller with this deadline, within the shortest and the longest timeout. Without a deadline it is the
/// longest.
pub fn store_timeout(deadline_ms: Option<Millis>) -> CallTimeout {
    let timeout_ms = deadline_ms.map_or(MAX_STORE_TIMEOUT_MS, |deadline| {
        deadline * STORE_TIMEOUT_PERCENT / 100
    });
    let timeout_ms = timeout_ms.clamp(MIN_STORE_TIMEOUT_MS, MAX_STORE_TIMEOUT_MS);
    CallTimeout::Total(Duration::from_millis(timeout_ms))
}

impl JobService<'_> {
    /// Accepts a job, and answers once its row is durable. A job that exists already gets the same answer.
    pub async fn submit(&self, queue: &QueueEntry, number: JobNumber, body: &[u8]) -> JobAnswer {
        let mut spec = match decode_submission(queue, body) {
            Ok(spec) => spec,
            Err(fault) => return self.refuse(number, StatusCode::BAD_REQUEST, &fault.to_string()),
        };
        spec.handed_in_ms = clock::wall_ms();
        let value = encode(&spec);
        if value.len() > MAX_JOB_BYTES {
            let reason = format!("a job of {} bytes; {MAX_JOB_BYTES} at most", value.len());
            return self.refuse(number, StatusCode::PAYLOAD_TOO_LARGE, &reason);
        }
        if let Some(answer) = self.refuse_without_store().await {
            event("job_refused", &[("job", &number), ("cause", &"store_out")]);
            return answer;
        }
        if let Some(answer) = self.refuse_under_load(number, &spec).await {
            return answer;
        }
        // A job that was cancelled before its row was written must never run, however late the store carries out the write.
        let checks = [job_row(number), cancel_row(number)].map(|row| RowCheck { row, version: 0 });
        match self.put_if(checks.into(), job_row(number), value).await {
            Ok(WriteOutcome::Done(version)) => {
                event(
                    "job_accepted",
                    &[
                        ("job", &number),
                        ("queue", &queue.name),
                        ("version", &version),
                    ],
                );
                JobAnswer::plain(StatusCode::OK, "{}")
            }
            Ok(WriteOutcome::Conflict(rows)) if !has_job(&rows) => {
                self.refuse(number, StatusCode::GONE, "the job was cancelled before")
            }
            Ok(WriteOutcome::Conflict(_)) => {
                event("job_known", &[("job", &number), ("queue", &queue.name)]);
                JobAnswer::plain(StatusCode::OK, "{}")
            }
            Err(fault) => {
                event(
                    "job_refused",
                    &[
                        ("job", &number),
                        ("cause", &fault),
                        ("may_have_run", &fault.may_have_run()),
                    ],
                );
                self.answer_fault(fault)
            }
        }
    }

    /// Writes one row of a job on condition of these checks.
    pub(super) async fn put_if(
        &self,
        checks: Vec<RowCheck>,
        row: RowKey,
        value: Vec<u8>,
    ) -> Result<WriteOutcome, StoreFault> {
        let write = RowWrite {
            checks,
            puts: vec![(row, value)],
            removes: Vec::new(),
        };
        let written = self.store.write(&write, self.timeout);
        self.health.observe(StoreCall::WriteJob, written).await
    }

    fn refuse(&self, number: JobNumber, status: StatusCode, reason: &str) -> JobAnswer {
        event(
            "job_refused",
            &[
                ("job", &number),
                ("cause", &reason),
                ("status", &status.as_u16()),
            ],
        );
        JobAnswer::plain(status, reason)
    }

    /// The answer while the store is out, none otherwise. It is given without a call, so that callers needn't wait for a timeout.
    pub(super) fn refuse_while_out(&self) -> Option<JobAnswer> {
        let out = self.health.is_out();
        out.then(|| self.without_store())
    }

    /// The answer while the store is out, or doesn't answer this host though it answers the owner as usual; none otherwise.
    ///
    /// A host that hears from the owner calls the store seldom, so it may not know yet that its calls fail. A write that gets no answer
    /// may have taken effect, so the caller could not be told to go elsewhere; after a read that gets none, it can.
    async fn refuse_without_store(&self) -> Option<JobAnswer> {
        if let Some(answer) = self.refuse_while_out() {
            return Some(answer);
        }
        let recent = self.health.has_succeeded_within(PROBE_AFTER_MS) && !self.health.is_failing();
        if recent || !self.news.store_is_usual(clock::now()) {
            return None;
        }
        let range = row_range(&shard_row(SHARDS_TABLE, OWNER_KEY));
        let read = self.store.read(&range, PROBE_TIMEOUT);
        let probe = self.health.observe(StoreCall::Probe, read).await;
        probe.is_err().then(|| self.without_store())
    }

    /// The answer to a request that can't be handled without the store. If the store answers the owner, other hosts can take the request
    /// at once.
    fn without_store(&self) -> JobAnswer {
        match self.news.store_is_usual(clock::now()) {
            true => JobAnswer::not_run(STORE_OUT).with_retry(0),
            false => self.store_out(),
        }
    }

    /// The answer to a request that a fault of the store ended.
    pub(super) fn answer_fault(&self, fault: StoreFault) -> JobAnswer {
        match fault.may_have_run() {
            true => JobAnswer::unknown("the store did not answer"),
            false => self.store_out(),
        }
    }

    /// The answer to a request that was not carried out since the store is out.
    pub(super) fn store_out(&self) -> JobAnswer {
        JobAnswer::not_run(STORE_OUT).with_retry(self.outage_retry_ms())
    }

    /// Answers with a job's state.
    pub async fn show(&self, queue: &QueueEntry, number: JobNumber) -> JobAnswer {
        if let Some(answer) = self.refuse_while_out() {
            return answer;
        }
        match self.read_stage(queue, number).await {
            Ok(Some(stage)) => JobAnswer::plain(StatusCode::OK, stage_body(stage)),
            Ok(None) => {
                event("job_unknown", &[("job", &number), ("queue", &queue.name)]);
                JobAnswer::plain(StatusCode::GONE, "no such job")
            }
            Err(fault) => {
                event("show_failed", &[("job", &number), ("fault", &fault)]);
                self.store_out()
            }
        }
    }

    async fn read_stage(
        &self,
        queue: &QueueEntry,
        number: JobNumber,
    ) -> Result<Option<JobStage>, StoreFault> {
        let row = progress_row(number);
        let rows = self.read(&value_range(&row)).await?;
        let progress = join_value(&rows, &row.key)
            .as_ref()
            .and_then(decode_progress);
        // A job is known by its number alone, as it is when it is submitted again or cancelled: its queue may have another name by now.
        if let Some(progress) = &progress {
            if progress.queue != queue.name {
                event(
                    "job_of_other_name",
                    &[
                        ("job", &number),
                        ("queue", &queue.name),
                        ("job_queue", &progress.queue),
                    ],
                );
            }
            if progress.stage.is_final() {
                return Ok(Some(progress.stage));
            }
        }
        let rows = self.read(&job_range(number)).await?;
        if !has_job(&rows) {
            return Ok(None);
        }
        if is_cancelled(&rows) {
            return Ok(Some(JobStage::Cancelled));
        }
        Ok(Some(progress.map_or(JobStage::Queued, |row| row.stage)))
    }

    pub(super) async fn read(
        &self,
        range: &sandshelf_adapter::RowRange,
    ) -> Result<Vec<StoredValue>, StoreFault> {
        let read = self.store.read(range, self.timeout);
        Ok(self.health.observe(StoreCall::ReadJob, read).await?.rows)
    }

    /// Answers with the number of waiting jobs of a queue.
    pub async fn pending(&self, queue: &QueueEntry) -> JobAnswer {
        if let Some(count) = self.news.pending(clock::now(), &queue.address) {
            return JobAnswer::plain(StatusCode::OK, pending_body(count));
        }
        if let Some(answer) = self.refuse_while_out() {
            return answer;
        }
        let row = shard_row(SHARDS_TABLE, PENDING_KEY);
        match self.read(&value_range(&row)).await {
            Ok(rows) => {
                let counts = join_value(&rows, &row.key);
                let counts = counts.as_ref().and_then(decode_pending).unwrap_or_default();
                let count = counts.counts.get(&queue.address).copied().unwrap_or(0);
                JobAnswer::plain(StatusCode::OK, pending_body(count))
            }
            Err(_) => self.store_out(),
        }
    }
}

/// Whether the rows of a job's number, as read or as they stand in a conflict, contain the job itself.
pub(super) fn has_job(rows: &[StoredValue]) -> bool {
    rows.iter()
        .any(|row| row.value.is_some() && !row.key.ends_with(CANCEL_SUFFIX))
}

/// Whether the rows of a job's number contain a cancellation.
pub(super) fn is_cancelled(rows: &[StoredValue]) -> bool {
    rows.iter()
        .any(|row| row.value.is_some() && row.key.ends_with(CANCEL_SUFFIX))
}

fn decode_pending(row: &StoredValue) -> Option<PendingRow> {
    decode_row(row, "pending")
}

fn decode_progress(row: &StoredValue) -> Option<ProgressRow> {
    decode_row(row, "progress")
}

/// Decodes a row that this daemon wrote. An unreadable row is logged and treated as missing.
pub fn decode_row<T: serde::de::DeserializeOwned>(row: &StoredValue, kind: &str) -> Option<T> {
    let value = row.value.as_ref()?;
    match serde_json::from_slice(value) {
        Ok(decoded) => Some(decoded),
        Err(error) => {
            event(
                "row_unreadable",
                &[("kind", &kind), ("key", &row.key), ("error", &error)],
            );
            None
        }
    }
}
