//! Speculative copies and restarts of runs that are slow or make no progress.
//!
//! The load: steps that wait for one straggler, and workers on which tasks stall. Readings of progress mark the steps that they
//! belong to; each check judges the marked steps:
//!
//! - Where a step allows copies ([`LoadPolicies::copies`](sandshelf_model::LoadPolicies)), a slow run gets a copy on another worker
//!   (`slow`). The first end `done` counts. `task_runs` keeps the two runs of a task.
//! - Other runs ([`LoadPolicies::stuck_runs`](sandshelf_model::LoadPolicies)) are stopped if a restart is expected to end well before
//!   them (`stuck`), as long as restarts help (`gain`).
//!
//! Nothing is stored: a new owner finds both runs of a task in the workers' lists, or one.

mod budget;
mod check;
mod gain;
mod place_copy;
mod slow;
mod standing;
mod stuck;
mod task_runs;
mod track;
mod watch;

pub use gain::{RestartGain, RestartTrial};
pub use slow::{slow_runs, SlowRun, StepProgress};
pub use stuck::{is_standing_stuck, judge_run, stalled_ms, RestartCost, StuckRun};
pub(crate) use task_runs::{CopyRun, DoneTimes, RestartHistory};
pub(crate) use track::ProgressTrack;
pub use track::{ProgressSpan, RunProgress};
pub(crate) use watch::SlowRunWatch;
