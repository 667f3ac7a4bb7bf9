//! What a host has: a share of a processor core and a link, both used up in turn.

use crate::queue::{Micros, MS};

/// A share of a core that does one thing after the other.
#[derive(Clone, Debug)]
pub struct ProcessorModel {
    /// What the host has of a core, in thousandths.
    pub millis: u64,
    /// How many times slower than usual it works, and until when.
    slow: (u64, Micros),
    free_at: Micros,
    /// The core's time used so far.
    pub used: Micros,
}

impl ProcessorModel {
    /// A processor that is free.
    pub fn new(millis: u64) -> Self {
        Self {
            millis,
            slow: (1, 0),
            free_at: 0,
            used: 0,
        }
    }

    /// Works for so much of a core's time as soon as it is free; returns when that is over.
    pub fn work(&mut self, now: Micros, core_time: Micros) -> Micros {
        self.used += core_time;
        let begins = self.free_at.max(now);
        let (times, until) = self.slow;
        let slowness = if begins < until { times } else { 1 };
        self.free_at = begins + core_time * 1_000 * slowness / self.millis;
        self.free_at
    }

    /// Works so many times slower until a time.
    pub fn slow_down(&mut self, times: u64, until: Micros) {
        self.slow = (times, until);
    }

    /// Does nothing until a time.
    pub fn block_until(&mut self, until: Micros) {
        self.free_at = self.free_at.max(until);
    }

    /// Forgets all work: the process is over.
    pub fn reset(&mut self, now: Micros) {
        self.free_at = now;
    }

    /// When it is free.
    pub fn free_at(&self) -> Micros {
        self.free_at
    }
}

/// The most bytes that one transfer sends before others get their turn: about what the platform's small windows hold.
pub const CHUNK_BYTES: u64 = 16_384;

/// One direction of a host's link; what is larger than a chunk shares it in turn with the rest.
#[derive(Clone, Debug)]
pub struct LinkModel {
    /// What it carries, in bytes a millisecond.
    bytes_per_ms: u64,
    free_at: Micros,
    /// The bytes carried so far.
    pub carried: u64,
}

impl LinkModel {
    /// A link that is free; `kbit_per_s` is its bandwidth in thousandths of a megabit a second.
    pub fn new(kbit_per_s: u64) -> Self {
        Self {
            bytes_per_ms: kbit_per_s / 8,
            free_at: 0,
            carried: 0,
        }
    }

    /// Carries bytes as soon as it is free; returns when the last has left.
    pub fn carry(&mut self, now: Micros, bytes: u64) -> Micros {
        self.carried += bytes;
        let took = bytes * MS / self.bytes_per_ms.max(1);
        self.free_at = self.free_at.max(now) + took;
        self.free_at
    }

    /// How long a packet that is handed over now waits.
    pub fn queue_ms(&self, now: Micros) -> u64 {
        self.free_at.saturating_sub(now) / MS
    }

    /// Drops what waits: the process at its end is over.
    pub fn reset(&mut self, now: Micros) {
        self.free_at = now;
    }
}
