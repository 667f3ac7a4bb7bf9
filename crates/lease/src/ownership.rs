//! The ownership lease of a shard, as one entry host knows it from the shard's row.
//!
//! The owner's lease starts when it sends the write that renews it. Another host claims the
//! shard only after it has seen the row unchanged for a whole lease on its own clock, and its
//! claim is conditional on the row's version that it saw.

use sandshelf_model::{Epoch, HostId, Millis, Sequence};

use crate::row::{RowVersion, ShardRow, StoredRow};
use crate::times::LeaseTimes;

/// A lease is extended by this number of recent store call times, so that a slow store
/// alone doesn't change a shard's owner.
const SLOW_STORE_CALLS: u64 = 4;

/// An entry host's stage in owning a shard.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseStage {
    /// Another host or no host owns the shard; this host watches the row.
    Watching,
    /// This host has sent its claim; the answer is pending.
    Claiming,
    /// The claim took effect; the shard's state is being read.
    Recovering,
    /// This host owns the shard and has read its state.
    Holding,
}

/// One entry host's view of a shard's row, and its own ownership lease.
#[derive(Clone, Debug)]
pub struct ShardLease {
    host: HostId,
    times: LeaseTimes,
    stage: LeaseStage,
    seen: Option<StoredRow>,
    seen_since: Millis,
    newest_epoch: Epoch,
    valid_until: Millis,
    /// When the newest write that took effect was first sent.
    last_write_sent: Millis,
    /// The longest recent row read; decays by a quarter with each read.
    recent_read_ms: Millis,
    /// The longest recent write; decays by a quarter with each write.
    recent_write_ms: Millis,
}

impl ShardLease {
    /// Creates the lease in stage [`LeaseStage::Watching`], without a row.
    pub fn new(host: HostId, times: LeaseTimes) -> Self {
        Self {
            host,
            times,
            stage: LeaseStage::Watching,
            seen: None,
            seen_since: 0,
            newest_epoch: 0,
            valid_until: 0,
            last_write_sent: 0,
            recent_read_ms: 0,
            recent_write_ms: 0,
        }
    }

    /// This host's stage in owning the shard.
    pub fn stage(&self) -> &LeaseStage {
        &self.stage
    }

    /// The row as last read or written; none where it has to be read again.
    pub fn row(&self) -> Option<&StoredRow> {
        self.seen.as_ref()
    }

    /// Whether this host holds the shard and its lease has not expired, so that new
    /// placements can be expected to commit.
    ///
    /// Safety doesn't depend on it: a placement counts only once its write has taken effect, and a later owner's claim
    /// prevents that.
    pub fn is_valid(&self, now: Millis) -> bool {
        self.stage == LeaseStage::Holding && now < self.valid_until
    }

    /// Whether task leases may be renewed: until the renewal grace after the last successful write has passed.
    pub fn may_renew_tasks(&self, now: Millis) -> bool {
        self.stage == LeaseStage::Holding
            && now < self.last_write_sent + self.times.renewal_grace_ms
    }

    /// When the newest write that took effect was first sent; none while this host has no claim on the shard.
    pub fn last_renewal(&self) -> Option<Millis> {
        let held = matches!(self.stage, LeaseStage::Holding | LeaseStage::Recovering);
        held.then_some(self.last_write_sent)
    }

    /// Whether a third of the lease has passed since the last successful write, so that it should be renewed.
    pub fn wants_renewal(&self, now: Millis) -> bool {
        let held = matches!(self.stage, LeaseStage::Holding | LeaseStage::Recovering);
        held && now >= self.last_write_sent + self.times.shard_lease_ms / 3
    }

    /// The newest epoch that was seen; it is kept where the row has to be read again.
    pub fn newest_epoch(&self) -> Epoch {
        self.newest_epoch
    }

    /// For how many milliseconds from `now` this host will certainly not claim the shard; 0 where it
    /// may claim at any time or already has.
    pub fn claims_after(&self, now: Millis) -> Millis {
        let lease = self.times.shard_lease_ms;
        match (&self.stage, &self.seen) {
            (LeaseStage::Watching, None) => lease,
            (LeaseStage::Watching, Some(seen)) if seen.row.owner.is_some() => {
                (self.seen_since + lease).saturating_sub(now)
            }
            _ => 0,
        }
    }

    /// Records the duration of a read. Where the store is slow for this host, the
    /// owner's renewals are probably slow, too.
    pub fn note_read_time(&mut self, took: Millis) {
        self.recent_read_ms = took.max(self.recent_read_ms * 3 / 4);
    }

    /// Records the row as read at `now`, as [`ShardLease::note_aged_read`] without an age.
    pub fn note_read(&mut self, now: Millis, read: StoredRow) -> bool {
        self.note_aged_read(now, read, 0)
    }

    /// Records the row as read at `now`; a row with another owner returns this host to watching. `age_ms` is a lower bound of the
    /// time since the row's write was first sent.
    ///
    /// A host that has watched the row all along counts the lease from that sending, as the owner does. One that has just begun to
    /// watch, or has begun anew, counts it from the read: it may have said that it won't claim for that long.
    ///
    /// A row that is older than the known one is ignored. Returns true if this host has
    /// just lost the shard or its claim.
    pub fn note_aged_read(&mut self, now: Millis, read: StoredRow, age_ms: Millis) -> bool {
        let known = self.seen.as_ref().map(|seen| seen.version);
        if known.is_some_and(|known| read.version < known) {
            return false;
        }
        let changed = known != Some(read.version);
        let held = self.stage != LeaseStage::Watching;
        let own = read.row.owner.as_ref() == Some(&self.host);
        if held && !own {
            self.stage = LeaseStage::Watching;
        }
        self.newest_epoch = self.newest_epoch.max(read.row.epoch);
        if changed {
            let sent_at = now.saturating_sub(age_ms);
            self.seen_since = match &self.seen {
                Some(_) if read.row.owner.is_some() => sent_at.max(self.seen_since),
                _ => now,
            };
            self.seen = Some(read);
        }
        held && !own
    }

    /// Records that the owner of an epoch has told this host of a renewal, which gave the row this version and sequence. It
    /// counts like a read of the row at `now`. Returns false where this host doesn't know the row of that owner: then only a
    /// read helps.
    pub fn note_renewed(
        &mut self,
        now: Millis,
        epoch: Epoch,
        version: RowVersion,
        sequence: Sequence,
    ) -> bool {
        let Some(seen) = &mut self.seen else {
            return false;
        };
        let same_owner = seen.row.epoch == epoch && seen.row.owner.is_some();
        if self.stage != LeaseStage::Watching || !same_owner {
            return false;
        }
        if version > seen.version {
            seen.version = version;
            seen.row.sequence = sequence;
            self.seen_since = now;
        }
        true
    }

    /// Whether this host may claim the shard now; `rank` is its position among the candidates, from 0.
    ///
    /// Each further rank waits one stagger time longer, so that candidates don't claim at the same time.
    pub fn may_claim(&self, now: Millis, rank: u32) -> bool {
        if self.stage != LeaseStage::Watching {
            return false;
        }
        let Some(seen) = &self.seen else {
            return false;
        };
        let stagger = self.stagger_ms(rank);
        let wait = match &seen.row.owner {
            None => 0,
            Some(_) => {
                let drift = self.times.drift_ms.min(self.times.shard_lease_ms / 8);
                self.times.shard_lease_ms + drift + self.recent_read_ms * SLOW_STORE_CALLS
            }
        };
        now >= self.seen_since + wait + stagger
    }

    /// How much longer than the first candidate one of this rank waits, in milliseconds.
    pub(crate) fn stagger_ms(&self, rank: u32) -> Millis {
        self.times.stagger_ms * u64::from(rank)
    }

    /// The time from which no earlier owner can give orders, where this host claims the shard at `now`; 0 where nobody does
    /// after the claim. A claim that doesn't wait out the lease, since the owner has released the shard or has certainly ended,
    /// counts what that owner leased from the end of the lease.
    pub fn earlier_orders_until(&self, now: Millis, rank: u32) -> Millis {
        let released = self
            .seen
            .as_ref()
            .is_some_and(|seen| seen.row.owner.is_none());
        // Before the first owner nobody gave any orders.
        let had_owner = self.newest_epoch > 0;
        match had_owner && (released || !self.may_claim(now, rank)) {
            true => now + self.times.shard_lease_ms,
            false => 0,
        }
    }

    /// Builds the row of a claim and enters [`LeaseStage::Claiming`]; returns the row and the version that it expects.
    pub fn begin_claim(&mut self, token: String) -> (RowVersion, ShardRow) {
        let seen = self.seen.clone().expect("a claim follows a read");
        self.stage = LeaseStage::Claiming;
        let row = ShardRow {
            owner: Some(self.host.clone()),
            epoch: seen.row.epoch + 1,
            sequence: seen.row.sequence + 1,
            token,
            silence_ms: 0,
            ..seen.row
        };
        (seen.version, row)
    }

    /// Builds the row of the owner's next durable write; returns the row and the version that it expects.
    pub fn next_row(&self, token: String) -> (RowVersion, ShardRow) {
        let seen = self.seen.clone().expect("a holder has its row");
        let row = ShardRow {
            sequence: seen.row.sequence + 1,
            token,
            ..seen.row
        };
        (seen.version, row)
    }

    /// Records that a write took effect that was first sent at `sent`.
    pub fn note_committed(
        &mut self,
        now: Millis,
        sent: Millis,
        version: RowVersion,
        row: ShardRow,
    ) {
        if self.stage == LeaseStage::Claiming {
            self.stage = LeaseStage::Recovering;
        }
        if row.owner.is_none() {
            self.stage = LeaseStage::Watching;
            self.seen_since = sent;
        }
        self.newest_epoch = self.newest_epoch.max(row.epoch);
        self.seen = Some(StoredRow { version, row });
        self.recent_write_ms = now.saturating_sub(sent).max(self.recent_write_ms * 3 / 4);
        self.valid_until =
            sent + self.times.shard_lease_ms + self.recent_write_ms * SLOW_STORE_CALLS;
        self.last_write_sent = sent;
    }

    /// Records that the shard's state has been read.
    pub fn note_recovered(&mut self) {
        if self.stage == LeaseStage::Recovering {
            self.stage = LeaseStage::Holding;
        }
    }

    /// Gives up the shard or the claim without a write; the row has to be read again.
    pub fn return_to_watching(&mut self) {
        self.stage = LeaseStage::Watching;
        self.seen = None;
    }
}
