//! The owner's queries to its relays about who may claim the shard.

use std::collections::BTreeSet;

use sandshelf_model::{HallId, Millis};

use super::dispatcher::RelayDispatcher;
use super::messages::RelayMessage;
use super::plan::RelayNumber;

impl RelayDispatcher {
    /// Creates a query to all relays about the shard. The owner last renewed at `renewed_at`, so that nobody claims the shard before
    /// `renewed_until`.
    pub fn ask(
        &mut self,
        now: Millis,
        renewed_at: Millis,
        renewed_until: Millis,
    ) -> Vec<(RelayNumber, RelayMessage)> {
        let number = self.quorum.ask(now, renewed_at, renewed_until);
        let relays = self.relays.keys();
        let ask = |relay: &RelayNumber| (*relay, RelayMessage::ShardQuery(self.epoch, number));
        relays.map(ask).collect()
    }

    /// The time before which no host claims the shard; none unless at least half of the hosts have replied in each hall with workers.
    /// `own_hall` is the hall of the owner itself.
    pub fn unclaimed_until(&self, now: Millis, own_hall: &HallId) -> Option<Millis> {
        let halls: BTreeSet<&HallId> = self.workers.hall_sizes().keys().collect();
        self.quorum.unclaimed_until(now, own_hall, halls)
    }

    /// Records that a host was refused because it uses another message version, so that its replies are unknown.
    pub fn note_refused(&mut self, now: Millis) {
        self.quorum.note_refused(now);
    }
}
