//! Stand-ins for the platform, workers and backend servers, run as processes by the demo and by failure tests.
//!
//! For development only; not part of a release.

pub mod backend;
pub mod crowd;
pub mod harness;
pub mod platform;
pub mod serve;
pub mod worker;
