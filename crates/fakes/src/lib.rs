//! Small in-memory fakes of the platform's interfaces, without I/O; for tests, benchmarks and the stand-in processes.

mod store;
mod table;
mod worker;

pub use store::{unanswered, FakeStore};
pub use table::FakeTable;
pub use worker::{FakeWorker, ProgramKind, TaskAttempt};
