//! Identifiers, resource sizes, run verdicts and unit aliases shared by all sandshelf crates.
//!
//! This crate does no I/O and reads no clock: callers pass the time in as [`Millis`].
//!
//! ```
//! use sandshelf_model::{ResourceSize, WorkerId};
//! let worker = WorkerId::from("w-17");
//! let host = ResourceSize::new(16_000, 60_000, 0);
//! let task = ResourceSize::new(2_000, 4_000, 0);
//! assert!(task.fits_in(&host));
//! assert_eq!(worker.as_str(), "w-17");
//! ```

mod hash;
mod ids;
mod load_policies;
mod sizes;
mod units;
mod verdict;

pub use hash::{content_digest, rendezvous_score};
pub use ids::{
    AttemptId, HallId, HostId, JobId, RackId, ServerId, ServiceId, ShardId, TaskId, TeamId,
    WorkerId,
};
pub use load_policies::{LoadPolicies, LoadPolicy};
pub use sizes::{ResourceSize, SizeError};
pub use units::{Epoch, Millis, Revision, Sequence};
pub use verdict::RunVerdict;
