//! Whether this host, which owns the shard, may have been followed by another; and what it tells an owner that wonders.

use sandshelf_jobs::relay::ShardObservation;
use sandshelf_jobs::{JobEvent, OwnerTenure};
use sandshelf_lease::LeaseStage;
use sandshelf_model::Millis;
use tokio::sync::oneshot;

use super::{OwnerLoop, SHARD_LEASE_MS};
use crate::clock;

/// After how long without a durable renewal the other hosts are asked: renewals go out every 0.4 s, and take some 10 ms.
const ASK_AFTER_MS: Millis = 550;
/// From one question to the next: an answer says something for 1.2 s, and the next question has to come within that.
const ASK_EVERY_MS: Millis = 200;
/// A read of the owner's row that takes longer says that the store is slow or out.
const READ_SOON_MS: Millis = 200;

/// What an owner keeps in mind of its own ownership.
pub(super) struct ShardTenure {
    tenure: OwnerTenure,
    told: Option<Millis>,
    next_ask: Millis,
}

impl ShardTenure {
    /// Begins with a claim that was sent at a time.
    pub(super) fn new(claimed_at: Millis) -> Self {
        Self {
            tenure: OwnerTenure::new(SHARD_LEASE_MS, claimed_at),
            told: None,
            next_ask: 0,
        }
    }
}

impl OwnerLoop {
    /// Tells the scheduler until when nobody can have followed this owner, and asks the other hosts where renewals fail.
    pub(super) fn check_tenure(&mut self, now: Millis) {
        let Some(renewed_at) = self.lease.last_renewal() else {
            return;
        };
        let Some(owned) = &mut self.owned else {
            return;
        };
        if let Some(epoch) = owned.relays.newer_epoch {
            return self.lose(&format!("a host has seen the owner of epoch {epoch}"));
        }
        let renewed_until = owned.tenure.tenure.note_renewed(renewed_at);
        if now >= renewed_at + ASK_AFTER_MS {
            if let Some(until) = owned.relays.unclaimed_until(now, &self.settings.hall) {
                owned.tenure.tenure.note_unclaimed(until);
            }
            if now >= owned.tenure.next_ask {
                owned.tenure.next_ask = now + ASK_EVERY_MS;
                owned.relays.ask(now, renewed_at, renewed_until);
            }
        }
        let until = owned.tenure.tenure.sure_until();
        if owned.tenure.told != Some(until) {
            owned.tenure.told = Some(until);
            self.handle(JobEvent::SureUntil(until));
        }
    }

    /// Answers an owner that can't renew its ownership.
    ///
    /// Where this host has trouble with the store as well, it gives up the row that it has in view: it has to see a row anew and unchanged for a
    /// whole lease before it claims, and the owner can count on that.
    pub(super) fn tell_sight(&mut self, reply: oneshot::Sender<ShardObservation>) {
        let now = clock::now();
        let waits = |since: Millis| now >= since + READ_SOON_MS;
        let troubled = self.store.health.is_failing() || self.reading.is_some_and(waits);
        if troubled && *self.lease.stage() == LeaseStage::Watching {
            self.lease.return_to_watching();
        }
        let _ = reply.send(ShardObservation {
            epoch: self.lease.newest_epoch(),
            claims_after_ms: self.lease.claims_after(now),
        });
    }
}
