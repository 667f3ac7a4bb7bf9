//! Models the processor share and the link of a host; both serve their work one piece at a time.

use crate::queue::{Micros, MS};

/// A share of a processor core that works on one thing at a time, in order of arrival.
#[derive(Clone, Debug)]
pub struct ProcessorModel {
    /// The host's share, in thousandths of a core.
    pub millis: u64,
    /// Slowdown factor, and the time at which it ends.
    slow: (u64, Micros),
    free_at: Micros,
    /// Processor time used so far, in microseconds of a full core.
    pub used: Micros,
}

impl ProcessorModel {
    /// Creates an idle processor with a share of `millis` thousandths of a core.
    pub fn new(millis: u64) -> Self {
        Self {
            millis,
            slow: (1, 0),
            free_at: 0,
            used: 0,
        }
    }

    /// Queues work of `core_time` on a full core; returns the time at which it is done.
    pub fn work(&mut self, now: Micros, core_time: Micros) -> Micros {
        self.used += core_time;
        let begins = self.free_at.max(now);
        let (times, until) = self.slow;
        let slowness = if begins < until { times } else { 1 };
        self.free_at = begins + core_time * 1_000 * slowness / self.millis;
        self.free_at
    }

    /// Divides the speed of work that begins before `until` by `times`.
    pub fn slow_down(&mut self, times: u64, until: Micros) {
        self.slow = (times, until);
    }

    /// Begins no further work before `until`.
    pub fn block_until(&mut self, until: Micros) {
        self.free_at = self.free_at.max(until);
    }

    /// Drops all queued work, because the process has ended.
    pub fn reset(&mut self, now: Micros) {
        self.free_at = now;
    }

    /// The time at which all queued work is done.
    pub fn free_at(&self) -> Micros {
        self.free_at
    }
}

/// Bytes that one transfer sends before other transfers get their turn: about one of the platform's small windows.
pub const CHUNK_BYTES: u64 = 16_384;

/// One direction of a host's link. Transfers larger than a chunk take turns on it.
#[derive(Clone, Debug)]
pub struct LinkModel {
    /// Bandwidth, in bytes per millisecond.
    bytes_per_ms: u64,
    free_at: Micros,
    /// Bytes sent so far.
    pub carried: u64,
}

impl LinkModel {
    /// Creates an idle link with a bandwidth of `kbit_per_s` kilobits per second.
    pub fn new(kbit_per_s: u64) -> Self {
        Self {
            bytes_per_ms: kbit_per_s / 8,
            free_at: 0,
            carried: 0,
        }
    }

    /// Queues bytes; returns the time at which the last one has been sent.
    pub fn carry(&mut self, now: Micros, bytes: u64) -> Micros {
        self.carried += bytes;
        let took = bytes * MS / self.bytes_per_ms.max(1);
        self.free_at = self.free_at.max(now) + took;
        self.free_at
    }

    /// Queueing delay of a packet that is handed over at `now`, in milliseconds.
    pub fn queue_ms(&self, now: Micros) -> u64 {
        self.free_at.saturating_sub(now) / MS
    }

    /// Drops all queued bytes, because the process has ended.
    pub fn reset(&mut self, now: Micros) {
        self.free_at = now;
    }
}
