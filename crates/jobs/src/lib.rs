//! Schedules jobs of steps and tasks on workers under leases, as a sans-I/O library.
//!
//! A [`JobScheduler`] is the owner's view of all jobs and workers of a shard. It handles events, each with the current time, and
//! returns actions; it opens no socket and reads no clock. Starts are not recorded durably: the owner learns which runs exist from the
//! workers, which list their runs, and list each end until it is acknowledged. Therefore:
//!
//! 1. An end is acknowledged only once it is durable.
//! 2. A task is not started again while a run of it may still be running somewhere. A run is over only by its end, by a refusal of its
//!    start, by a lease that has run out on the worker's own clock, or by the replacement of the worker.
//! 3. A new owner first raises the epoch at every worker and records what each worker reports.
//!
//! ```
//! use sandshelf_jobs::{JobEvent, JobScheduler, SchedulerLimits, TakeoverInfo};
//! let mut scheduler = JobScheduler::new(SchedulerLimits::default(), TakeoverInfo::first(1, 0));
//! assert!(scheduler.handle(0, JobEvent::Tick { wall_ms: 0 }).is_empty());
//! ```

pub mod admission;
mod answer_patience;
mod answers;
mod backlog;
mod capacity;
mod commit;
mod commit_budget;
pub mod copies;
mod cost;
mod crash;
mod dirty;
mod due;
mod events;
mod fill;
mod foreign;
mod gang;
mod gauges;
mod halls;
mod hedge;
mod ids;
mod images;
mod incarnation;
mod intake;
mod interference;
mod job;
mod job_progress;
mod limits;
mod load_forecast;
mod note;
mod note_reports;
mod obsolete_pages;
mod over_target;
mod pacing;
mod place;
mod preemption;
mod progress;
mod progress_page;
mod progress_writes;
mod queues;
mod rank;
mod readings;
mod recovery;
pub mod relay;
mod renewals;
mod reports;
mod reservations;
mod restart;
mod roster;
mod run;
mod scheduler;
mod settle;
mod shares;
mod silent;
mod spec;
mod stage;
mod start;
mod store_clock;
mod summary;
mod tail_log;
mod takeover;
mod tenure;
mod wait_key;
mod waiting;
mod worker;
mod worker_list;
mod worker_page;

pub use crash::{CrashNote, CrashRecord, CrashSuspect};
pub use events::{
    CommitBatch, JobAction, JobEvent, RenewalCall, StartCall, WorkerCall, WorkerChanges,
};
pub use gauges::SchedulerCounts;
pub use ids::{BadIdentifier, JobNumber, RunKey, TaskKey, WorkerIncarnation};
pub use interference::{InterferencePair, InterferenceRow};
pub use limits::{SchedulerLimits, MAX_ROW_VALUE_BYTES};
pub use note::{
    FillState, HoldOutcome, JobNote, LossCause, OverTargetReport, PreemptionReport, StopCause,
};
pub use progress::{ProgressRow, TaskProgress};
pub use progress_page::{PageKey, ProgressPage, StoredProgress, TaskRange};
pub use queues::{QueueAddress, QueueDirectory, QueueEntry, QueueTable};
pub use reports::{
    EndReport, OrderAnswer, RefusalReason, RenewalAnswer, RenewalReport, RunOutcome, RunReport,
    WorkerClock, WorkerListing,
};
pub use roster::{NamedIncarnation, RosterChange, RosterHead, RosterPage, WorkerRoster};
pub use scheduler::JobScheduler;
pub use silent::{SilenceChange, SilentWorkers};
pub use spec::{
    JobSpec, QueueRules, RepeatRule, SpecFault, StepSpec, MAX_DURATION_MS, MAX_PAYLOAD_BYTES,
    MAX_STRETCH,
};
pub use stage::JobStage;
pub use store_clock::ClockBound;
pub use summary::JobSummaries;
pub use takeover::TakeoverInfo;
pub use tenure::OwnerTenure;
pub use worker_page::{WorkerPage, WORKER_PAGES};
