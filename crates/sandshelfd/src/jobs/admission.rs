//! The decision whether a host admits a job, from the owner's newest view.
//!
//! A refusal says that the job never runs. A caller may repeat a submission whose answer was lost, so a host makes sure that the job has
//! no row before it refuses it; if it can't, the outcome is unknown.

use std::time::Duration;

use http::StatusCode;
use sandshelf_adapter::{join_value, value_range, CallTimeout};
use sandshelf_jobs::admission::{
    retry_in_outage, AdmissionDecision, AdmissionGate, HeardView, LoadView, OutageView, QueueLoad,
    RefusalCause, SubmissionView,
};
use sandshelf_jobs::{JobNumber, JobSpec};
use sandshelf_model::{LoadPolicies, Millis};
use tokio::sync::Mutex;

use crate::clock;
use crate::jobs::accept::{decode_row, has_job, JobAnswer, JobService, RETRY_AFTER_MS};
use crate::jobs::labels::label;
use crate::jobs::meters::{self, StoreCall};
use crate::jobs::records::{job_range, shard_row, PendingRow, PENDING_KEY, SHARDS_TABLE};
use crate::logging::event;

/// The shortest time between two reads of the load from the store, in milliseconds: owners write it every 0.5 s.
const ROW_READ_INTERVAL_MS: Millis = 500;
/// The timeout of such a read. A submission waits for it, so it is far below the time of a caller.
const ROW_READ_TIMEOUT: CallTimeout = CallTimeout::Total(Duration::from_millis(100));

/// The load as read from the store.
#[derive(Debug, Default)]
struct RowLoad {
    next_read_at: Millis,
    /// The view, and when on this host's clock it was sent at the latest.
    view: Option<(LoadView, Millis)>,
}

/// Decides for this host whether jobs are admitted.
#[derive(Debug)]
pub struct AdmissionControl {
    on: bool,
    row: Mutex<RowLoad>,
}

/// A refusal with the figures that decided.
struct LoadRefusal {
    cause: RefusalCause,
    retry_after_ms: Millis,
    age_ms: Millis,
    load: QueueLoad,
}

impl AdmissionControl {
    /// Creates the control with the policies of the settings.
    pub fn new(policies: LoadPolicies) -> Self {
        Self {
            on: policies.admission,
            row: Mutex::new(RowLoad::default()),
        }
    }
}

impl JobService<'_> {
    /// The answer to a job that is not admitted under the present load; none for one that is admitted.
    pub(super) async fn refuse_under_load(
        &self,
        number: JobNumber,
        spec: &JobSpec,
    ) -> Option<JobAnswer> {
        let submission = SubmissionView::new(number, spec, self.left_ms);
        let refusal = self.find_refusal(&submission).await?;
        let rows = match self.read(&job_range(number)).await {
            Ok(rows) => rows,
            Err(fault) => {
                let cause = label(&refusal.cause);
                event(
                    "refusal_unsure",
                    &[("job", &number), ("cause", &cause), ("fault", &fault)],
                );
                return Some(JobAnswer::unknown("the store did not answer"));
            }
        };
        if has_job(&rows) {
            event("job_known", &[("job", &number), ("queue", &spec.queue)]);
            return Some(JobAnswer::plain(StatusCode::OK, "{}"));
        }
        self.log_refusal(&submission, &refusal);
        meters::record_refused_job(&spec.queue, refusal.cause);
        let answer = JobAnswer::not_run("too much work is waiting; the job has not run");
        Some(answer.with_retry(refusal.retry_after_ms))
    }

    async fn find_refusal(&self, job: &SubmissionView<'_>) -> Option<LoadRefusal> {
        if !self.admission.on || !job.ends {
            return None;
        }
        let now = clock::now();
        if self.news.load_is_known(now) {
            return decide(self.news.load(now)?, job);
        }
        self.refusal_by_row(job).await
    }

    /// Decides by the row of waiting jobs, for a host that doesn't hear the owner. Other requests don't wait for a read in progress.
    async fn refusal_by_row(&self, job: &SubmissionView<'_>) -> Option<LoadRefusal> {
        let mut row = self.admission.row.try_lock().ok()?;
        if clock::now() >= row.next_read_at {
            row.view = self.read_load().await;
            row.next_read_at = clock::now() + ROW_READ_INTERVAL_MS;
        }
        let (view, sent_at) = row.view.as_ref()?;
        let heard = HeardView {
            view,
            age_ms: clock::now().saturating_sub(*sent_at),
            newest_epoch: view.epoch,
        };
        decide(heard, job)
    }

    /// Reads the load from the row of waiting jobs, with the time at which it was sent.
    async fn read_load(&self) -> Option<(LoadView, Millis)> {
        let key = shard_row(SHARDS_TABLE, PENDING_KEY);
        let range = value_range(&key);
        let read = self.store.read(&range, ROW_READ_TIMEOUT);
        let page = self.health.observe(StoreCall::ReadJob, read).await.ok()?;
        let value = join_value(&page.rows, &key.key)?;
        let row: PendingRow = decode_row(&value, "pending")?;
        let age_ms = page.store_ms.saturating_sub(row.sent_store_ms);
        Some((row.load?, clock::now().saturating_sub(age_ms)))
    }

    fn log_refusal(&self, job: &SubmissionView<'_>, refusal: &LoadRefusal) {
        let LoadRefusal {
            cause,
            retry_after_ms,
            age_ms,
            load,
        } = refusal;
        let left_ms = job
            .left_ms
            .map_or("none".to_owned(), |left| left.to_string());
        event(
            "job_refused",
            &[
                ("job", &job.number),
                ("cause", &label(cause)),
                ("queue", &load.queue),
                ("view_age_ms", age_ms),
                ("share_permille", &load.share_of(job.work)),
                ("work", &job.work),
                ("large_above", &load.large_above),
                ("waiting_jobs", &load.waiting_jobs),
                ("drain_ms", &load.drain_ms()),
                ("objective_ms", &job.objective_ms),
                ("left_ms", &left_ms),
                ("retry_after_ms", retry_after_ms),
            ],
        );
    }

    /// After how many milliseconds a caller should retry in an outage of the store.
    pub(super) fn outage_retry_ms(&self) -> Millis {
        if !self.admission.on {
            return RETRY_AFTER_MS;
        }
        let outage = OutageView {
            lasted_ms: self.health.failing_ms(),
            owner_is_served: self.news.store_is_usual(clock::now()),
        };
        retry_in_outage(&outage, self.left_ms)
    }
}

/// Decides by a view.
fn decide(heard: HeardView<'_>, job: &SubmissionView<'_>) -> Option<LoadRefusal> {
    match AdmissionGate.decide(Some(heard), job) {
        AdmissionDecision::Admit => None,
        AdmissionDecision::Refuse {
            cause,
            retry_after_ms,
        } => Some(LoadRefusal {
            cause,
            retry_after_ms,
            age_ms: heard.age_ms,
            load: heard.view.queue(job.queue)?.clone(),
        }),
    }
}
