//! How long an owner can be sure that no successor has taken over, and what it refrains from when
//! it is not.
//!
//! An owner that can't renew its ownership may be succeeded without noticing. If its hall is cut
//! off in one direction or both, its successor reaches other workers than it does. The successor
//! waits until the leases of the workers that it can't reach must have expired, and then starts the
//! tasks of these workers elsewhere. So from the time at which a successor may have taken over, an
//! owner extends no lease, starts nothing, stops no run whose task it would have to start
//! elsewhere, and treats no lease as expired, since the successor may have extended it. It still
//! processes ends and stops runs that are over for good: both are right under either owner.
//!
//! A successor doesn't wait before it starts jobs that are newer than its claim. So an owner places no
//! task from the time at which a successor may have claimed, which is somewhat earlier.
//!
//! When the store is out for all hosts, nobody can take over. Hosts that report so keep an owner
//! sure ([`OwnerTenure::note_unclaimed`]), so that work continues during the outage.

use sandshelf_model::Millis;

use crate::limits::TAKEOVER_MARGIN_MS;
use crate::note::JobNote;
use crate::scheduler::JobScheduler;

/// The part of the takeover margin that the owner leaves for sending its orders, in milliseconds.
/// The margin is the time by which a successor waits longer than the leases last.
const ORDER_SENDING_MS: Millis = 200;
/// How long an owner remains sure of itself after a successor may have claimed, in milliseconds.
const SURE_AFTER_CLAIM_MS: Millis = TAKEOVER_MARGIN_MS - ORDER_SENDING_MS;

/// Tracks until when an owner can be sure that no successor has taken over.
#[derive(Clone, Copy, Debug)]
pub struct OwnerTenure {
    /// How long after a durable renewal of the ownership nobody claims the shard, in milliseconds.
    lease_ms: Millis,
    /// Nobody claims the shard before this time.
    unclaimed_until: Millis,
}

impl OwnerTenure {
    /// Starts the tenure with a claim that was sent at `claimed_at`.
    pub fn new(lease_ms: Millis, claimed_at: Millis) -> Self {
        Self {
            lease_ms,
            unclaimed_until: claimed_at + lease_ms,
        }
    }

    /// Records a successful renewal that was sent at `sent`. Returns the time until which this
    /// renewal alone keeps others from claiming the shard.
    pub fn note_renewed(&mut self, sent: Millis) -> Millis {
        let until = sent + self.lease_ms;
        self.note_unclaimed(until);
        until
    }

    /// Records that no host claims the shard before `until`.
    pub fn note_unclaimed(&mut self, until: Millis) {
        self.unclaimed_until = self.unclaimed_until.max(until);
    }

    /// The time until which an unnoticed successor would still wait for everything that this owner
    /// orders.
    pub fn sure_until(&self) -> Millis {
        self.unclaimed_until + SURE_AFTER_CLAIM_MS
    }
}

impl JobScheduler {
    /// Handles a new time until which no successor can have become active.
    pub(crate) fn handle_tenure(&mut self, now: Millis, sure_until: Millis) {
        self.sure_until = sure_until;
        self.check_tenure(now);
    }

    /// Whether a successor may have taken over, as far as this owner knows.
    pub(crate) fn may_be_succeeded(&self, now: Millis) -> bool {
        now >= self.sure_until
    }

    /// Whether a successor may have claimed, as far as this owner knows. The successor starts jobs that
    /// are newer than its claim without waiting for workers that it can't reach, so that this owner
    /// may not start them any more.
    pub(crate) fn may_be_claimed(&self, now: Millis) -> bool {
        now + SURE_AFTER_CLAIM_MS >= self.sure_until
    }

    /// Logs when this owner becomes unsure of its ownership, and when it is sure again.
    pub(crate) fn check_tenure(&mut self, now: Millis) {
        match (self.may_be_succeeded(now), self.unsure_since) {
            (true, None) => {
                self.unsure_since = Some(now);
                self.note(JobNote::Unsure);
            }
            (false, Some(since)) => {
                self.unsure_since = None;
                // Waiting tasks are placed and leases are renewed at once.
                self.room_changed = true;
                let workers: Vec<_> = self.workers.keys().cloned().collect();
                for worker in workers {
                    self.renew_soon(now, &worker);
                }
                self.note(JobNote::SureAgain {
                    lasted_ms: now.saturating_sub(since),
                });
            }
            (true, Some(_)) | (false, None) => {}
        }
    }
}
