//! Simulates the users' platform in virtual time at production size.
//!
//! Hosts with limited processors and links run the product's own [`JobScheduler`](sandshelf_jobs::JobScheduler) and
//! [`ShardLease`](sandshelf_lease::ShardLease) against an emulated store and emulated workers. Each action of a host takes
//! processor time, and each byte that it sends or reads takes link time. Where a host has too little of either, work queues
//! up, and answers arrive after their callers have timed out. A simulation with the same seed gives the same result each time.
//!
//! For development only. The crate is separate from the smaller emulator in the tests of `sandshelf-jobs` because other tests
//! and tools run simulated days with it as well, and because it also needs `sandshelf-lease`.

pub mod capacity;
pub mod catalog;
pub mod costs;
pub mod day;
pub mod days;
pub mod deployment;
pub mod host;
pub mod interference;
pub mod meter;
pub mod oracle;
pub mod outcomes;
pub mod queue;
pub mod report;
pub mod sizes;
pub mod store;
pub mod traffic;
pub mod worker;
pub mod world;
