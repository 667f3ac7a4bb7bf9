//! Tracks whether the owner may have been succeeded unnoticed, and answers other owners that ask about that.

use sandshelf_jobs::relay::ShardObservation;
use sandshelf_jobs::{JobEvent, OwnerTenure};
use sandshelf_lease::LeaseStage;
use sandshelf_model::Millis;
use tokio::sync::oneshot;

use super::{OwnerLoop, SHARD_LEASE_MS};
use crate::clock;

/// How long after the last durable renewal the owner starts to query the other hosts. Renewals are sent every 0.4 s and take some 10 ms.
const QUERY_AFTER_MS: Millis = 550;
/// The interval between queries. An answer is valid for 1.2 s, and the next query has to come within that time.
const QUERY_INTERVAL_MS: Millis = 200;
/// How long after the last durable renewal the ownership counts as overdue. Beside a store that is sixty times slower than usual,
/// renewals are up to 0.7 s apart.
const OVERDUE_AFTER_MS: Millis = 750;
/// If a read of the owner row takes longer than this, the store is considered slow or out.
const SLOW_READ_MS: Millis = 200;

/// The state that an owner keeps about its own ownership.
pub(super) struct ShardTenure {
    tenure: OwnerTenure,
    reported_until: Option<Millis>,
    /// Whether the scheduler was told that the ownership is overdue.
    overdue: bool,
    next_query_at: Millis,
}

impl ShardTenure {
    /// Starts the tenure with a claim that was sent at `claimed_at`.
    pub(super) fn new(claimed_at: Millis) -> Self {
        Self {
            tenure: OwnerTenure::new(SHARD_LEASE_MS, claimed_at),
            reported_until: None,
            overdue: false,
            next_query_at: 0,
        }
    }
}

impl OwnerLoop {
    /// Passes the time until which no successor can have taken over to the scheduler, and queries the other hosts while renewals fail.
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
        if now >= renewed_at + QUERY_AFTER_MS {
            if let Some(until) = owned.relays.unclaimed_until(now, &self.settings.hall) {
                owned.tenure.tenure.note_unclaimed(until);
            }
            if now >= owned.tenure.next_query_at {
                owned.tenure.next_query_at = now + QUERY_INTERVAL_MS;
                owned.relays.query_relays(now, renewed_at, renewed_until);
            }
        }
        let mut events = Vec::new();
        let until = owned.tenure.tenure.sure_until();
        if owned.tenure.reported_until != Some(until) {
            owned.tenure.reported_until = Some(until);
            events.push(JobEvent::SureUntil(until));
        }
        let overdue = now >= renewed_at + OVERDUE_AFTER_MS;
        if owned.tenure.overdue != overdue {
            owned.tenure.overdue = overdue;
            events.push(JobEvent::OwnershipOverdue(overdue));
        }
        self.apply_events(events);
    }

    /// Answers the query of an owner that can't renew its ownership.
    ///
    /// If the store fails for this host as well, it first discards the owner row that it has seen. Before it claims, it then has to read
    /// the row again and see it unchanged for a whole lease, and the owner can rely on that.
    pub(super) fn answer_shard_query(&mut self, reply: oneshot::Sender<ShardObservation>) {
        let now = clock::now();
        let is_slow = |since: Millis| now >= since + SLOW_READ_MS;
        let read_started_at = self.watch.read_started_at();
        let store_fails = self.store.health.is_failing() || read_started_at.is_some_and(is_slow);
        if store_fails && *self.lease.stage() == LeaseStage::Watching {
            self.lease.return_to_watching();
        }
        // The owner asks because it can't renew its ownership: whether this host reaches the store is known at the next query.
        self.watch.read_soon(now);
        let _ = reply.send(ShardObservation {
            epoch: self.lease.newest_epoch(),
            claims_after_ms: self.lease.claims_after(now),
        });
    }
}
