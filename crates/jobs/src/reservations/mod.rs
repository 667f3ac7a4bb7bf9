//! Reserves workers for large tasks that have waited for long (docs/design/decisions-under-load.md, part C). The switch is
//! `reservations`.
//!
//! - `choice.rs` chooses the worker on which a large task fits soonest.
//! - `book.rs` holds the reservations and decides which other tasks may use a reserved worker.
//! - `upkeep.rs` builds the views, makes reservations and ends them.

mod book;
mod choice;
mod upkeep;

pub(crate) use book::ReservationBook;
