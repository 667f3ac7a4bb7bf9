//! For how long a serving task is over its target.

use sandshelf_model::Millis;

/// A stretch ends with this many readings under the target in a row: a single reading is rough.
const MAX_DIP_READINGS: u32 = 2;

/// The readings in a row in which a serving task was over its target, single ones under it included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OverTargetStretch {
    /// When the first of these readings arrived.
    pub(crate) since: Millis,
    /// When the newest reading over the target arrived.
    last_over: Millis,
    /// The number of readings over the target.
    pub(crate) readings: u32,
    /// The number of single readings under the target in between.
    pub(crate) dips: u32,
    /// The number of readings under the target since the newest one over it.
    under: u32,
    /// The highest tail latency, in milliseconds.
    pub(crate) worst_ms: u64,
    /// Whether the stretch was logged while it lasted.
    pub(crate) logged: bool,
}

impl OverTargetStretch {
    /// Adds a reading to the stretch that lasts, if any, or begins one.
    pub(crate) fn add_reading(stretch: &mut Option<Self>, now: Millis, tail_ms: u64, over: bool) {
        match stretch {
            Some(stretch) if over => stretch.add_over(now, tail_ms),
            Some(stretch) => stretch.under += 1,
            None if over => *stretch = Some(Self::begin(now, tail_ms)),
            None => {}
        }
    }

    fn begin(now: Millis, tail_ms: u64) -> Self {
        Self {
            since: now,
            last_over: now,
            readings: 1,
            dips: 0,
            under: 0,
            worst_ms: tail_ms,
            logged: false,
        }
    }

    fn add_over(&mut self, now: Millis, tail_ms: u64) {
        self.dips += self.under;
        self.under = 0;
        self.last_over = now;
        self.readings += 1;
        self.worst_ms = self.worst_ms.max(tail_ms);
    }

    /// Whether enough readings in a row were under the target.
    pub(crate) fn has_ended(&self) -> bool {
        self.under >= MAX_DIP_READINGS
    }

    /// The time from the first reading over the target to the newest.
    pub(crate) fn lasted_ms(&self) -> Millis {
        self.last_over - self.since
    }
}
