//! The users' platform in virtual time at its grown size.
//!
//! Hosts with bounded processors and links drive the product's own [`JobScheduler`](sandshelf_jobs::JobScheduler) and
//! [`ShardLease`](sandshelf_lease::ShardLease) against an emulated store and workers. What a host does takes its processor's
//! time, and what it sends or reads takes its link's: where it has too little of either, things queue up, and answers come
//! after nobody waits for them any more. A play is the same each time.
//!
//! Development only. It is a package of its own, beside the smaller emulator in the tests of `sandshelf-jobs`, because other
//! tests and tools are to play days with it as well, and because it also needs `sandshelf-lease`.

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
pub mod queue;
pub mod report;
pub mod sizes;
pub mod store;
pub mod traffic;
pub mod worker;
pub mod world;
