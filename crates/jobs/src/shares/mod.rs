//! Shares capacity among jobs under load (docs/design/decisions-under-load.md, part C). The switch is `fair_order`.
//!
//! - `ledger.rs` compares what each queue and each size of job has received with what was due to it.
//! - `capacity.rs` forecasts the work that filling tasks can do, and `commitments.rs` decides which filling jobs may begin.
//! - `view.rs` builds the views for these decisions, and `filling.rs` applies them in a placement pass.
//! - `shortage.rs` decides when waiting standing tasks go ahead of short ones.

mod capacity;
mod commitments;
mod filling;
mod ledger;
mod shortage;
mod sizes;
mod view;

pub(crate) use filling::FillingLimits;
pub(crate) use shortage::StandingShortage;
pub(crate) use sizes::FairShares;
