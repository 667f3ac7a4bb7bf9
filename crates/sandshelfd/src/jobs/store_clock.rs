//! An upper bound of the store's clock, from its answers.

use std::sync::{Mutex, PoisonError};

use sandshelf_model::Millis;

use crate::clock;

/// How much faster the store's clock may run than this host's, as one part in this many.
const CLOCK_RATE_TOLERANCE: Millis = 1_000;

/// A reading of the store's clock: by how much it was ahead of this host's at most, and when that was read.
#[derive(Clone, Copy, Debug)]
struct ClockLead {
    lead_ms: i64,
    read_at: Millis,
}

impl ClockLead {
    /// The latest time that the store's clock can show at a time of this host's clock.
    fn at_most(&self, at: Millis) -> u64 {
        let drift_ms = at.saturating_sub(self.read_at) / CLOCK_RATE_TOLERANCE;
        at.saturating_add_signed(self.lead_ms) + drift_ms
    }
}

/// The lowest bound by all readings.
#[derive(Debug, Default)]
pub struct StoreClock {
    lead: Mutex<Option<ClockLead>>,
}

impl StoreClock {
    /// Records the store's clock in an answer that has just arrived. The store read it at some time after the call was sent at `sent_at`.
    pub fn note_answer(&self, sent_at: Millis, store_ms: u64) {
        let read_at = clock::now();
        let at_most_ms = store_ms + read_at.saturating_sub(sent_at);
        let mut lead = self.lead.lock().unwrap_or_else(PoisonError::into_inner);
        if lead.is_none_or(|known| at_most_ms <= known.at_most(read_at)) {
            *lead = Some(ClockLead {
                lead_ms: at_most_ms as i64 - read_at as i64,
                read_at,
            });
        }
    }

    /// The latest time that the store's clock can show at a time of this host's clock, in milliseconds; 0 before the first reading.
    pub fn at_most(&self, at: Millis) -> u64 {
        let lead = self.lead.lock().unwrap_or_else(PoisonError::into_inner);
        lead.map_or(0, |known| known.at_most(at))
    }
}
