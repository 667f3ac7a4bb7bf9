//! Decides whether a host admits a job, as the daemon's `jobs/admission.rs` does.

use std::sync::Arc;

use sandshelf_jobs::admission::{
    AdmissionDecision, AdmissionGate, HeardView, LoadView, SubmissionView,
};
use sandshelf_jobs::{JobNumber, JobSpec};
use sandshelf_model::Millis;

use super::{EmulatedHost, HostAction, RequestAnswer};
use crate::queue::{Micros, MS};
use crate::store::StoreReply;

impl EmulatedHost {
    /// Takes in the load that an owner has told, or that it publishes none.
    pub(super) fn hear_load(&mut self, at: Micros, load: Option<Arc<LoadView>>) {
        self.load = load.map(|view| (at / MS, view));
    }

    /// After how many milliseconds the caller of a job should retry if the job is refused; `None` if it is admitted.
    pub(super) fn refusal_of(
        &self,
        at: Micros,
        number: JobNumber,
        spec: &JobSpec,
        left_ms: Millis,
    ) -> Option<Millis> {
        if !self.control.limits.policies.admission {
            return None;
        }
        let (heard_at, view) = self.load.as_ref()?;
        let heard = HeardView {
            view,
            age_ms: (at / MS).saturating_sub(*heard_at),
            newest_epoch: view.epoch,
        };
        let submission = SubmissionView::new(number, spec, Some(left_ms));
        match AdmissionGate.decide(Some(heard), &submission) {
            AdmissionDecision::Admit => None,
            AdmissionDecision::Refuse { retry_after_ms, .. } => Some(retry_after_ms),
        }
    }
}

/// The answer to a job that is to be refused, by whether it has a row; an unanswered read leaves the outcome unknown.
pub(super) fn answer_to_check(
    request: usize,
    wait_ms: Millis,
    reply: Option<StoreReply>,
) -> HostAction {
    let answer = match reply {
        Some(StoreReply::Known(false)) => RequestAnswer::Refused(wait_ms),
        Some(_) => RequestAnswer::Served,
        None => RequestAnswer::Unknown,
    };
    HostAction::Respond(request, answer)
}
