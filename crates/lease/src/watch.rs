//! When a host that doesn't own the shard reads the owner row, and when it may claim the shard before the lease is over.
//!
//! The owner tells the hosts that are connected to it of each renewal. A host that hears of renewals reads nothing; once it
//! hears of none for a while, the connection may be silent or the owner gone, and it reads the row in short intervals until it
//! hears of a renewal again.
//!
//! A host that was connected to the owner, and finds that nobody listens at the owner's address any more, knows that the
//! owner's process has ended: a process that is only slow, suspended or cut off still listens, or doesn't answer at all. The
//! shard can then be claimed without waiting for the lease. Nobody orders anything in the name of the ended process, but
//! workers may hold leases that it granted in its last moments, so the claimant counts them from the end of the ownership lease.

use sandshelf_model::{Epoch, Millis};

use crate::ownership::{LeaseStage, ShardLease};
use crate::row::StoredRow;

/// The interval between reads of the owner row while nothing is heard of renewals.
pub const READ_INTERVAL_MS: Millis = 400;
/// How long after the newest notice of a renewal the owner row is read. Renewals are sent every 0.4 s and take some 10 ms.
pub const NOTICE_SILENCE_MS: Millis = 600;
/// The interval between reads of the owner row once the owner's process has ended, for at most [`GONE_READS_MS`]: the new
/// owner needs the other hosts soon.
const GONE_READ_INTERVAL_MS: Millis = 150;
/// How long the row is read in that interval.
const GONE_READS_MS: Millis = 1_500;

/// The end of an owner's process, as this host has found it.
#[derive(Clone, Copy, Debug)]
struct EndedOwner {
    epoch: Epoch,
    found_at: Millis,
    /// When this host first read the row of that owner after that.
    read_at: Option<Millis>,
}

impl EndedOwner {
    /// Whether a row names this owner.
    fn is_owner(&self, seen: &StoredRow) -> bool {
        seen.row.epoch == self.epoch && seen.row.owner.is_some()
    }
}

/// The decisions of one host that watches the owner row.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnerWatch {
    next_read_at: Millis,
    read_started_at: Option<Millis>,
    ended: Option<EndedOwner>,
}

impl OwnerWatch {
    /// Records a notice of a renewal that the row as known to this host now shows.
    pub fn note_renewed(&mut self, now: Millis) {
        self.next_read_at = now + NOTICE_SILENCE_MS;
    }

    /// Has the row read at once: the owner can't renew its ownership, or a notice doesn't fit to the known row.
    pub fn read_soon(&mut self, now: Millis) {
        self.next_read_at = self.next_read_at.min(now);
    }

    /// Records that nobody listens any more at the address of the owner of an epoch, to which this host was connected.
    pub fn note_ended(&mut self, now: Millis, epoch: Epoch) {
        if self.ended.is_some_and(|ended| ended.epoch >= epoch) {
            return;
        }
        self.ended = Some(EndedOwner {
            epoch,
            found_at: now,
            read_at: None,
        });
        self.read_soon(now);
    }

    /// Whether a read is due.
    pub fn wants_read(&self, now: Millis) -> bool {
        self.read_started_at.is_none() && now >= self.next_read_at
    }

    /// Records that a read was started.
    pub fn begin_read(&mut self, now: Millis) {
        self.read_started_at = Some(now);
    }

    /// When the read in progress was started; none if there is none.
    pub fn read_started_at(&self) -> Option<Millis> {
        self.read_started_at
    }

    /// Records the end of a read with the row, or with none if it failed.
    pub fn end_read(&mut self, now: Millis, row: Option<&StoredRow>) {
        self.read_started_at = None;
        let mut interval_ms = READ_INTERVAL_MS;
        if let (Some(ended), None) = (&mut self.ended, row) {
            // Once the store is back, the hosts take their turns from their first reads on.
            ended.read_at = None;
        }
        if let (Some(ended), Some(seen)) = (&mut self.ended, row) {
            if ended.is_owner(seen) {
                ended.read_at.get_or_insert(now);
                if now < ended.found_at + GONE_READS_MS {
                    interval_ms = GONE_READ_INTERVAL_MS;
                }
            }
        }
        self.next_read_at = now + interval_ms;
    }

    /// Whether the process of the owner in the known row has ended, and this host's turn to claim has come: the stagger of its
    /// rank after its first read of the row since.
    pub fn may_claim_early(&self, now: Millis, lease: &ShardLease, rank: u32) -> bool {
        let (Some(ended), Some(seen)) = (self.ended, lease.row()) else {
            return false;
        };
        let watching = *lease.stage() == LeaseStage::Watching;
        let turn_at = ended
            .read_at
            .map(|read_at| read_at + lease.stagger_ms(rank));
        watching && ended.is_owner(seen) && turn_at.is_some_and(|turn_at| now >= turn_at)
    }
}
