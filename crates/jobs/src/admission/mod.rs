//! Admission control: which new jobs hosts admit when more arrive than can end while they are of use.
//!
//! The owner measures the load of each queue ([`LoadMeter`]) and publishes a [`LoadView`] with its notices. Each host decides on a
//! submission from the newest view ([`AdmissionGate`]). Nothing of this is durable: a new owner measures anew, and a host without a
//! current view admits every job.

mod gate;
mod meter;
mod observe;
mod retry;
mod share;
mod sizes;
mod view;

pub use gate::{
    AdmissionDecision, AdmissionGate, HeardView, RefusalCause, SubmissionView, MAX_VIEW_AGE_MS,
};
pub use meter::{JobSample, LoadMeter, QueueSample, SAMPLE_INTERVAL_MS};
pub use retry::{retry_in_outage, retry_under_load, OutageView};
pub use view::{LoadView, QueueLoad, FULL_SHARE_PERMILLE};
