//! An upper bound of the store's clock, from its answers.

use sandshelf_model::Millis;

/// How much faster the store's clock may run than this host's, as one part in this many.
const CLOCK_RATE_TOLERANCE: Millis = 1_000;

/// A reading of the store's clock: by how much it was ahead of this host's at most, and when that
/// was read.
#[derive(Clone, Copy, Debug)]
struct ClockLead {
    lead_ms: i64,
    read_at: Millis,
}

impl ClockLead {
    /// The latest time that the store's clock can show at a time of this host's clock.
    fn at_most(&self, at: Millis) -> u64 {
        let age_ms = at.saturating_sub(self.read_at);
        let drift_ms = age_ms.div_ceil(CLOCK_RATE_TOLERANCE);
        at.saturating_add_signed(self.lead_ms) + drift_ms
    }
}

/// The lowest bound of the store's clock by all readings. The bound of a reading grows with its age,
/// since the store's clock may run faster than this host's.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClockBound {
    /// The reading with the lowest bound; none before the first one.
    lead: Option<ClockLead>,
}

impl ClockBound {
    /// Records that the store's clock showed `at_most_ms` at most at this host's time `at`.
    pub fn note(&mut self, at: Millis, at_most_ms: u64) {
        if self.at_most(at).is_none_or(|known| at_most_ms <= known) {
            self.lead = Some(ClockLead {
                lead_ms: at_most_ms as i64 - at as i64,
                read_at: at,
            });
        }
    }

    /// The latest time that the store's clock can show at a time of this host's clock, in
    /// milliseconds; none before the first reading.
    pub fn at_most(&self, at: Millis) -> Option<u64> {
        self.lead.map(|lead| lead.at_most(at))
    }
}
