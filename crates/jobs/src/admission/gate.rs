//! The decision of a host whether to admit a job.
//!
//! Load handled: more jobs than can end while they are of use. All hosts decide alike from the owner's newest view: a stable hash of
//! the job's number places the job inside or outside the admitted share, so that hosts need no common counter, and a retry at another
//! host gets the same answer while the share is the same.

use sandshelf_model::{Epoch, Millis};

use crate::admission::retry::retry_under_load;
use crate::admission::view::{LoadView, QueueLoad, FULL_SHARE_PERMILLE};
use crate::due::DueTimes;
use crate::ids::JobNumber;
use crate::job::{longest_chain_ms, objective_ms};
use crate::spec::{JobSpec, StepSpec};

/// The greatest age of a view that decides, in milliseconds: owners publish a view every 0.3 to 0.4 s.
pub const MAX_VIEW_AGE_MS: Millis = 1_500;
/// The time that a caller has for a submission with all its retries, in milliseconds.
const CALLER_TIME_MS: Millis = 3_000;
/// By how much of the refused share a first attempt is held back in favour of callers that have waited, in thousandths of the share.
const FIRST_ATTEMPT_CUT_PERMILLE: u64 = 300;
/// The resolution of the hash of a job's number.
const HASH_STEPS: u64 = 1_000_000;
/// Estimates may be too high by a factor of two, and urgent jobs overtake others; so only this part of the forecast counts against a
/// job on its own, in percent.
const COUNTED_FORECAST_PERCENT: u64 = 50;

/// A submission as the gate sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SubmissionView<'a> {
    /// The job's number.
    pub number: JobNumber,
    /// The name of its queue.
    pub queue: &'a str,
    /// Its work, in core-milliseconds by its own estimates.
    pub work: u64,
    /// The estimated time of its longest chain of steps, in milliseconds.
    pub chain_ms: Millis,
    /// Its objective, in milliseconds from its acceptance.
    pub objective_ms: Millis,
    /// Whether it ends by itself and runs once; other jobs are always admitted.
    pub ends: bool,
    /// The time that its caller has left, in milliseconds; none if unknown.
    pub left_ms: Option<Millis>,
}

/// A view of an owner as a host has it.
#[derive(Clone, Copy, Debug)]
pub struct HeardView<'a> {
    /// The view.
    pub view: &'a LoadView,
    /// How long ago it was heard, in milliseconds.
    pub age_ms: Millis,
    /// The newest epoch of an owner that the host knows.
    pub newest_epoch: Epoch,
}

/// Why a job is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// The job is outside the admitted share of its queue.
    Share,
    /// The job is one of the largest of its queue and outside their admitted share.
    LargeShare,
    /// The job would be of no use by the time it ends.
    TooLate,
}

/// The decision on a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The job is admitted.
    Admit,
    /// The job is refused.
    Refuse {
        /// The reason.
        cause: RefusalCause,
        /// After how long its caller should retry, in milliseconds.
        retry_after_ms: Millis,
    },
}

/// Decides on submissions.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdmissionGate;

impl<'a> SubmissionView<'a> {
    /// The view of a submitted job.
    pub fn new(number: JobNumber, spec: &'a JobSpec, left_ms: Option<Millis>) -> Self {
        let standing = spec.steps.iter().any(|step| step.standing);
        Self {
            number,
            queue: &spec.queue,
            work: job_work(spec),
            chain_ms: longest_chain_ms(spec),
            objective_ms: objective_ms(spec),
            ends: !standing && spec.repeat.is_none(),
            left_ms,
        }
    }

    /// The share that counts for the job, in thousandths: the less of its time its caller has left, the more of the published share.
    fn counted_share(&self, share_permille: u32) -> u64 {
        let share = u64::from(share_permille);
        let full = u64::from(FULL_SHARE_PERMILLE);
        let refused = full.saturating_sub(share);
        let left = self.left_ms.unwrap_or(CALLER_TIME_MS).min(CALLER_TIME_MS);
        let cut = share * refused * FIRST_ATTEMPT_CUT_PERMILLE / (full * full);
        share - cut * left / CALLER_TIME_MS
    }
}

impl AdmissionGate {
    /// Decides on a submission. Without a current view of the newest owner it is admitted.
    pub fn decide(
        &self,
        heard: Option<HeardView<'_>>,
        job: &SubmissionView<'_>,
    ) -> AdmissionDecision {
        let Some(load) = heard.and_then(|heard| heard.current_load(job.queue)) else {
            return AdmissionDecision::Admit;
        };
        if !job.ends || !load.short_of_capacity {
            return AdmissionDecision::Admit;
        }
        match refusal_cause(load, job) {
            None => AdmissionDecision::Admit,
            Some(cause) => AdmissionDecision::Refuse {
                cause,
                retry_after_ms: retry_under_load(load.relief_ms, job.left_ms),
            },
        }
    }
}

impl<'a> HeardView<'a> {
    /// The load of a queue, if the view is current.
    pub fn current_load(&self, queue: &str) -> Option<&'a QueueLoad> {
        let current = self.age_ms <= MAX_VIEW_AGE_MS && self.view.epoch == self.newest_epoch;
        current.then(|| self.view.queue(queue)).flatten()
    }
}

fn refusal_cause(load: &QueueLoad, job: &SubmissionView<'_>) -> Option<RefusalCause> {
    let forecast_ms = (load.drain_ms() + job.chain_ms) * COUNTED_FORECAST_PERCENT / 100;
    let due = DueTimes::new(0, 0, job.objective_ms);
    if forecast_ms > due.useless_at {
        return Some(RefusalCause::TooLate);
    }
    let counted = job.counted_share(load.share_of(job.work));
    let inside = number_hash(job.number) * u64::from(FULL_SHARE_PERMILLE) < counted * HASH_STEPS;
    match (inside, job.work > load.large_above) {
        (true, _) => None,
        (false, true) => Some(RefusalCause::LargeShare),
        (false, false) => Some(RefusalCause::Share),
    }
}

/// The work of a job by its own estimates, in core-milliseconds.
pub(crate) fn job_work(spec: &JobSpec) -> u64 {
    let steps = spec.steps.iter();
    steps
        .map(|step| u64::from(step.count) * task_work(step))
        .sum()
}

/// The estimated work of a task, in core-milliseconds.
pub(crate) fn task_work(step: &StepSpec) -> u64 {
    work_cpu_millis(step.size.cpu_millis) * step.estimate_ms / 1_000
}

/// The processors by which work is counted, in thousandths of a core; a task that declares none counts with the least.
pub(crate) fn work_cpu_millis(cpu_millis: u64) -> u64 {
    cpu_millis.max(1)
}

/// A stable hash of a job's number, below [`HASH_STEPS`] (the finalizer of splitmix64).
fn number_hash(number: JobNumber) -> u64 {
    let mut bits = number.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (bits ^ (bits >> 31)) % HASH_STEPS
}
