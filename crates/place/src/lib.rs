//! Task placement, interference estimates, quotas and worker quarantine, without I/O.
//!
//! Callers pass in the time and the random seed; this crate opens no socket and reads no clock.
//!
//! ```
//! use sandshelf_model::{ResourceSize, WorkerId};
//! use sandshelf_place::{PlaceOutcome, TaskNeed, WorkerEntry, WorkerPool};
//! let mut pool = WorkerPool::new(7, Default::default());
//! let entry = WorkerEntry::plain("w-1", ResourceSize::new(16_000, 60_000, 0));
//! pool.upsert(&entry);
//! pool.set_open(&entry.worker, true);
//! let need = TaskNeed::plain(ResourceSize::new(2_000, 4_000, 0), "reconcile");
//! assert!(matches!(pool.choose(&need, 0), PlaceOutcome::Placed(_)));
//! ```

mod estimate;
mod family;
mod meter;
mod pool;
mod pressure;
mod quarantine;
mod queue;
mod quota;
mod weights;

pub use estimate::{LoadBand, SlowdownEstimate, SlowdownSample};
pub use family::{FamilyHistory, FamilyUsage};
pub use meter::{LatencyWindow, SlowdownMeter};
pub use pool::{
    PlaceChoice, PlaceOutcome, PlaceStrategy, ReserveError, TaskNeed, TaskReservation, WorkerEntry,
    WorkerPool,
};
pub use pressure::{PressureAction, PressureGauge, PressureInput, PressureStrategy};
pub use quarantine::{QuarantineRule, QuarantineTracker, WorkerHealth};
pub use queue::{PendingKey, PendingQueue};
pub use quota::QuotaLedger;
pub use weights::PlaceWeights;
