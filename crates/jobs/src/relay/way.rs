//! How long messages are on their way between two hosts whose clocks are not compared.

use sandshelf_model::Millis;

/// For how long a quickest way counts at least: clocks of hosts drift apart, and a connection may become slower for good.
const WINDOW_MS: Millis = 10_000;

/// The quickest way that messages of one connection took lately, beside what the clocks of both sides are apart.
#[derive(Clone, Debug, Default)]
pub(super) struct QuickestWay {
    /// Of the time before this one.
    before: Option<i64>,
    now: Option<i64>,
    since: Millis,
}

impl QuickestWay {
    /// Takes in a message that was sent at a time of the sender's clock; returns how much longer it took than the quickest lately.
    pub(super) fn note(&mut self, now: Millis, sent_at: Millis) -> Millis {
        let took = now as i64 - sent_at as i64;
        if now >= self.since + WINDOW_MS {
            self.before = self.now.take();
            self.since = now;
        }
        self.now = Some(self.now.map_or(took, |known| known.min(took)));
        let quickest = [self.before, self.now].into_iter().flatten().min();
        let over = took - quickest.unwrap_or(took);
        over.max(0) as Millis
    }
}
