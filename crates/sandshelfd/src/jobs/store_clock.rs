//! An upper bound of the store's clock that the tasks of this host share.

use std::sync::{Mutex, PoisonError};

use sandshelf_jobs::ClockBound;
use sandshelf_model::Millis;

use crate::clock;

/// The lowest bound by all answers of the store.
#[derive(Debug, Default)]
pub struct StoreClock {
    bound: Mutex<ClockBound>,
}

impl StoreClock {
    /// Records the store's clock in an answer that has just arrived. The store read it at some time after the call was sent at `sent_at`.
    pub fn note_answer(&self, sent_at: Millis, store_ms: u64) {
        let read_at = clock::now();
        let at_most_ms = store_ms + read_at.saturating_sub(sent_at);
        let mut bound = self.bound.lock().unwrap_or_else(PoisonError::into_inner);
        bound.note(read_at, at_most_ms);
    }

    /// The latest time that the store's clock can show at a time of this host's clock, in milliseconds; 0 before the first reading.
    pub fn at_most(&self, at: Millis) -> u64 {
        let bound = self.bound.lock().unwrap_or_else(PoisonError::into_inner);
        bound.at_most(at).unwrap_or(0)
    }
}
