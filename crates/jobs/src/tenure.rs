//! How long an owner can be sure that nobody has followed it, and what it leaves undone where it can't.
//!
//! An owner that can't renew its ownership may be followed without hearing of it: where its hall is cut off one way or both, its successor
//! reaches other workers than it does. The successor waits for leases that it can't ask about until they must be over, and starts what was
//! at work there. So from the time at which it may have been followed, an owner prolongs no lease, starts nothing, stops nothing that it would have to
//! start elsewhere, and takes no lease for over: others may have prolonged it. Ends are taken in and runs that are over for good are stopped all the
//! same, which is right under either owner.
//!
//! In an outage of the store that all hosts share nobody can follow. Hosts that say so keep an owner sure ([`OwnerTenure::note_vouched`]), so
//! that work goes on for as long as it lasts.

use sandshelf_model::Millis;

use crate::limits::TAKEOVER_MARGIN_MS;
use crate::note::JobNote;
use crate::scheduler::JobScheduler;

/// What an owner leaves of the margin by which its successor waits longer than leases last: its orders take a moment to go out.
const SENDING_MS: Millis = 200;

/// What tells an owner that nobody has followed it.
#[derive(Clone, Copy, Debug)]
pub struct OwnerTenure {
    /// How long nobody claims the shard after a durable renewal.
    lease_ms: Millis,
    /// Before this time nobody claims it.
    free_until: Millis,
}

impl OwnerTenure {
    /// Begins with a claim that was sent at a time.
    pub fn new(lease_ms: Millis, claimed_at: Millis) -> Self {
        Self {
            lease_ms,
            free_until: claimed_at + lease_ms,
        }
    }

    /// Notes that a renewal took effect which was sent at a time; returns until when nobody claims the shard by that alone.
    pub fn note_renewed(&mut self, sent: Millis) -> Millis {
        let until = sent + self.lease_ms;
        self.note_vouched(until);
        until
    }

    /// Notes that no host claims the shard before a time.
    pub fn note_vouched(&mut self, until: Millis) {
        self.free_until = self.free_until.max(until);
    }

    /// Until when a successor that has come unheard still waits for all that this owner orders.
    pub fn sure_until(&self) -> Millis {
        self.free_until + TAKEOVER_MARGIN_MS - SENDING_MS
    }
}

impl JobScheduler {
    /// Takes in until when nobody can have followed this owner to any effect.
    pub(crate) fn take_tenure(&mut self, now: Millis, sure_until: Millis) {
        self.sure_until = sure_until;
        self.look_at_tenure(now);
    }

    /// Whether another owner may have followed this one, as far as it knows.
    pub(crate) fn may_be_followed(&self, now: Millis) -> bool {
        now >= self.sure_until
    }

    /// Tells when this owner begins to be unsure, and when that is over.
    pub(crate) fn look_at_tenure(&mut self, now: Millis) {
        match (self.may_be_followed(now), self.unsure_since) {
            (true, None) => {
                self.unsure_since = Some(now);
                self.note(JobNote::Unsure);
            }
            (false, Some(since)) => {
                self.unsure_since = None;
                // What waits has its turn, and leases are prolonged, at once.
                self.room_changed = true;
                let workers: Vec<_> = self.workers.keys().cloned().collect();
                for worker in workers {
                    self.hold_soon(now, &worker);
                }
                self.note(JobNote::SureAgain {
                    lasted_ms: now.saturating_sub(since),
                });
            }
            (true, Some(_)) | (false, None) => {}
        }
    }
}
