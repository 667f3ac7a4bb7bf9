//! Simulations and measurements: policies under load and faults, scaling towards the planned fleet size, costs of decisions.
//!
//! Development only. Each policy run uses virtual time and one random seed, so its results are exactly reproducible.

pub mod batch;
pub mod ground_truth;
pub mod report;
pub mod scenario;
pub mod sim;
pub mod slopes;
pub mod wire;
