//! Tasks that crash their workers: which they are, how they are told from what merely ran beside them, and when they are given up.
//!
//! A worker that crashes lists no end of the runs that it had, so that the task which brought it down is started again on the next one, and so
//! on. What is known of a crash is how long after each run began the worker was last heard. A run whose worker was heard long enough after it
//! is proven: it did not bring that worker down. All others are suspects, and a crash is noted with each of them.
//!
//! | crashes noted | the next start |
//! |---|---|
//! | none | as usual |
//! | one | apart from other suspects where that can be had, on a worker with few runs |
//! | two or more | alone: nothing else there is unproven, and nothing else is started there until this run is proven |
//!
//! A third crash convicts a task where two were certain, since it was the only suspect, and the workers went down with its start; else a
//! fourth. Then its job is given up. In 90 days with dead racks, flapping workers and killed hosts, but without such tasks, 266 tasks had a first
//! note and none a second. For a wrong verdict sound workers have to go down by themselves three times on end within a quarter of a
//! second after the task began, the last time with nothing else new on it: 8 of 4,000 emulated fleets of 16 workers of which one crashes every
//! two seconds.
//!
//! The platform allows five starts: two more after three workers have crashed. So one or two crashes may go unnoted, where owners die
//! before they have written down what happened. Notes are in the job's progress; a task is not started again before its note is
//! durable, its next start is written down as well, and the mark of a silent worker names what was unproven there.

mod book;
mod caution;
mod noted;
mod probes;
mod record;

pub(crate) use book::CrashBook;
pub(crate) use record::StartCaution;
pub use record::{CrashNote, CrashRecord, CrashSuspect};
