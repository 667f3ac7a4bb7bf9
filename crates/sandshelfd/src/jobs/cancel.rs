//! Cancels jobs, also those that are not known yet.
//!
//! A caller may cancel a job whose submission got no answer. The store may carry that submission out seconds later, or another host
//! may still be about to send it. So the cancellation of an unknown job is kept as well, and a submission only takes effect where
//! there is none. The owner removes it when a finished job's rows would be removed.

use std::sync::{Mutex, PoisonError};

use http::StatusCode;
use sandshelf_adapter::{RowCheck, StoredValue, WriteOutcome};
use sandshelf_jobs::JobNumber;
use sandshelf_model::Millis;

use crate::clock;
use crate::jobs::accept::{is_cancelled, JobAnswer, JobService};
use crate::jobs::meters;
use crate::jobs::records::{cancel_row, job_range, job_row, CANCEL_SUFFIX};
use crate::logging::event;

/// How many cancellations of unknown jobs a host keeps at once. Callers cancel what they have just submitted in vain.
const MARK_BURST: u64 = 256;
/// How many more of them a host keeps each second. Anybody can cancel any number, and each is a row until it is removed two
/// minutes later, which a new owner has to read.
const MARKS_PER_S: u64 = 8;
/// How often a cancellation is tried again if the job's row comes or goes meanwhile.
const MAX_ATTEMPTS: usize = 3;
/// After how many milliseconds a caller is asked to retry a cancellation that is not kept.
const MARK_RETRY_MS: Millis = 1_000;

/// Bounds how many cancellations of unknown jobs a host keeps.
#[derive(Debug)]
pub struct MarkBudget {
    state: Mutex<MarkTokens>,
}

/// The unused cancellations, in thousandths, and when they were last added to.
#[derive(Clone, Copy, Debug)]
struct MarkTokens {
    permille: u64,
    refilled_at: Millis,
}

impl Default for MarkBudget {
    fn default() -> Self {
        let tokens = MarkTokens {
            permille: MARK_BURST * 1_000,
            refilled_at: 0,
        };
        Self {
            state: Mutex::new(tokens),
        }
    }
}

impl MarkBudget {
    /// Takes the room of one cancellation; returns false if there is none at present.
    fn take(&self, now: Millis) -> bool {
        let mut tokens = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let added = now.saturating_sub(tokens.refilled_at) * MARKS_PER_S;
        tokens.permille = (tokens.permille + added).min(MARK_BURST * 1_000);
        tokens.refilled_at = now;
        let has_room = tokens.permille >= 1_000;
        tokens.permille -= if has_room { 1_000 } else { 0 };
        has_room
    }
}

/// What the store has under a job's number.
#[derive(Clone, Copy, Debug)]
struct KnownRows {
    /// The version of the job's row; 0 if there is none.
    version: u64,
    cancelled: bool,
}

impl KnownRows {
    fn new(rows: &[StoredValue]) -> Self {
        let job = rows
            .iter()
            .find(|row| row.value.is_some() && !row.key.ends_with(CANCEL_SUFFIX));
        Self {
            version: job.map_or(0, |row| row.version),
            cancelled: is_cancelled(rows),
        }
    }
}

impl JobService<'_> {
    /// Marks a job as cancelled; the owner of the shard then stops its running tasks. If no such job is known, a submission that comes
    /// later doesn't take effect.
    pub async fn cancel(&self, number: JobNumber) -> JobAnswer {
        if let Some(answer) = self.refuse_while_out() {
            return answer;
        }
        let rows = match self.read(&job_range(number)).await {
            Ok(rows) => rows,
            Err(_) => return self.store_out(),
        };
        let mut known = KnownRows::new(&rows);
        if known.cancelled {
            return cancelled_answer(number, known.version);
        }
        if known.version == 0 && !self.cancel_marks.take(clock::now()) {
            meters::record_refused_mark();
            event(
                "job_cancel_refused",
                &[("job", &number), ("cause", &"unknown_job")],
            );
            let answer =
                JobAnswer::not_run("no such job is known, and too many of these were cancelled");
            return answer.with_retry(MARK_RETRY_MS);
        }
        for _ in 0..MAX_ATTEMPTS {
            let check = RowCheck {
                row: job_row(number),
                version: known.version,
            };
            let written = self.put_if(vec![check], cancel_row(number), b"{}".to_vec());
            match written.await {
                Ok(WriteOutcome::Done(version)) => {
                    event(
                        "job_cancel_taken",
                        &[
                            ("job", &number),
                            ("version", &version),
                            ("known", &(known.version > 0)),
                        ],
                    );
                    return cancelled_answer(number, known.version);
                }
                // The job's row has come or gone since it was read.
                Ok(WriteOutcome::Conflict(rows)) => known = KnownRows::new(&rows),
                Err(fault) => {
                    event("job_cancel_failed", &[("job", &number), ("fault", &fault)]);
                    return self.answer_fault(fault);
                }
            }
        }
        event(
            "job_cancel_refused",
            &[("job", &number), ("cause", &"changing_job")],
        );
        JobAnswer::not_run("the job changes; it is not cancelled")
    }
}

/// The answer to a durable cancellation of a job whose row has this version, 0 if there is none.
fn cancelled_answer(number: JobNumber, version: u64) -> JobAnswer {
    match version {
        0 => {
            event("job_unknown", &[("job", &number), ("cancelled", &true)]);
            JobAnswer::plain(StatusCode::GONE, "no such job")
        }
        _ => JobAnswer::plain(StatusCode::OK, "{}"),
    }
}
