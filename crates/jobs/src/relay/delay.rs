//! Estimates how long messages are delayed between two hosts whose clocks are not synchronized.

use sandshelf_model::Millis;

/// How long the smallest observed delay counts at least; it expires, since clocks drift apart and a connection may become slower for good.
const WINDOW_MS: Millis = 10_000;

/// The smallest delay of recent messages on one connection. It contains the offset between the clocks of both sides.
#[derive(Clone, Debug, Default)]
pub(super) struct DelayBaseline {
    /// The smallest delay in the previous window.
    previous: Option<i64>,
    /// The smallest delay in the current window.
    current: Option<i64>,
    /// When the current window began.
    since: Millis,
}

impl DelayBaseline {
    /// Records a message that was sent at this time of the sender's clock. Returns how much longer it was delayed than the fastest recent
    /// message, in milliseconds.
    pub(super) fn record(&mut self, now: Millis, sent_at: Millis) -> Millis {
        let delay = now as i64 - sent_at as i64;
        if now >= self.since + WINDOW_MS {
            self.previous = self.current.take();
            self.since = now;
        }
        self.current = Some(self.current.map_or(delay, |known| known.min(delay)));
        let smallest = [self.previous, self.current].into_iter().flatten().min();
        let excess = delay - smallest.unwrap_or(delay);
        excess.max(0) as Millis
    }
}
