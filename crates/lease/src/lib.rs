//! Shard ownership, journal, task leases and recovery as a sans-I/O library.
//!
//! A [`ShardOwner`] is one entry host's state machine for one shard. The caller passes it events with the current time
//! and executes the actions that it returns; it opens no socket and reads no clock. Three fences prevent a task from
//! running twice:
//!
//! 1. Every durable write is conditional on the version of the shard's row ([`ShardRow`]).
//! 2. Every message to a worker carries the owner's epoch and a message number. A worker refuses a message that is not
//!    newer than the newest one it has seen ([`WorkerOrders`]).
//! 3. A lease starts before the message that renews it is sent. A worker's task lease starts at the stamp that the
//!    worker itself issued, so a delayed message can't prolong it.
//!
//! ```
//! use sandshelf_lease::{LeaseTimes, ShardAction, ShardEvent, ShardOwner};
//! use sandshelf_model::{HostId, ShardId};
//! let mut owner = ShardOwner::new(
//!     ShardId::from("north-0"),
//!     HostId::from("entry-1.1"),
//!     LeaseTimes::default(),
//!     7,
//! );
//! let actions = owner.handle(0, ShardEvent::Tick);
//! assert!(matches!(actions[0], ShardAction::ReadRow));
//! ```

mod commit;
mod events;
mod handoff;
mod head;
mod intake;
mod journal;
mod members;
mod orders;
mod owner;
mod ownership;
mod placing;
mod pressure;
mod recovery;
mod reports;
mod row;
mod session;
mod slices;
mod state;
mod task_state;
mod times;
mod watch;
mod window;

pub use events::{
    OwnerCounts, PlacedReason, ShardAction, ShardEvent, ShardNote, ShardRoom, WaitReason,
};
pub use head::{ConfigView, HeadRow, HeadVerdict};
pub use intake::home_shard;
pub use journal::{CommitAnswer, CommitRequest, JournalRecord, TaskHandoff};
pub use members::MemberTable;
pub use orders::{
    AttemptPhase, AttemptReport, OrderRefusal, StartOrder, TaskOrder, WorkerOrders, WorkerReport,
};
pub use owner::ShardOwner;
pub use ownership::{LeaseStage, ShardLease};
pub use recovery::{decode_snapshot, encode_snapshot, SnapshotError};
pub use row::{RowVersion, ShardRow, StoredRow};
pub use session::WorkerSession;
pub use slices::{QuotaRow, QuotaSlice, SlicePlan, SliceStep, SliceTracker};
pub use state::{JobState, RecordEffect, RecordStats, ShardState};
pub use task_state::{RequeueCause, TaskStage, TaskState};
pub use times::LeaseTimes;
pub use watch::{OwnerWatch, NOTICE_SILENCE_MS, READ_INTERVAL_MS};
