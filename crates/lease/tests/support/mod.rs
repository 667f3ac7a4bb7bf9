//! Support for simulated runs: entry hosts, the store, workers, and a network that delays, loses and repeats messages.
//!
//! Time is virtual and every random choice comes from one seed, so that each run can be repeated exactly.

#![allow(dead_code)]

pub mod checker;
pub mod cluster;
pub mod faults;
pub mod jobs;
