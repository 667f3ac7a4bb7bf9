//! Who owns a shard, as far as one entry host knows.
//!
//! The holder counts its lease from before it sent the write that renewed it. A challenger claims only after it has
//! seen the row unchanged for a whole lease on its own clock, and its claim is conditional on that very version.

use sandshelf_model::{Epoch, HostId, Millis};

use crate::row::{RowVersion, ShardRow, StoredRow};
use crate::times::LeaseTimes;

/// By how many calls' time a lease counts as longer, so that a slow store makes no shard change hands.
const SLOW_CALLS: u64 = 4;

/// How an entry host stands to a shard.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseStage {
    /// Another host owns it, or none does; the row is watched.
    Watching,
    /// The claim was sent and its answer is awaited.
    Claiming,
    /// The claim took effect; the shard's state is being read.
    Recovering,
    /// This host owns it.
    Holding,
}

/// One entry host's view of a shard's row.
#[derive(Clone, Debug)]
pub struct ShardLease {
    host: HostId,
    times: LeaseTimes,
    stage: LeaseStage,
    seen: Option<StoredRow>,
    seen_since: Millis,
    newest_epoch: Epoch,
    valid_until: Millis,
    last_good: Millis,
    read_ms: Millis,
    write_ms: Millis,
}

impl ShardLease {
    /// Starts out watching.
    pub fn new(host: HostId, times: LeaseTimes) -> Self {
        Self {
            host,
            times,
            stage: LeaseStage::Watching,
            seen: None,
            seen_since: 0,
            newest_epoch: 0,
            valid_until: 0,
            last_good: 0,
            read_ms: 0,
            write_ms: 0,
        }
    }

    /// How this host stands to the shard.
    pub fn stage(&self) -> &LeaseStage {
        &self.stage
    }

    /// The row as last seen or written.
    pub fn row(&self) -> Option<&StoredRow> {
        self.seen.as_ref()
    }

    /// Whether the store has answered lately, so that it is of use to decide on new starts.
    ///
    /// Safety does not rest on it: a decision counts only once its write took effect, which a later owner's claim prevents.
    pub fn is_valid(&self, now: Millis) -> bool {
        self.stage == LeaseStage::Holding && now < self.valid_until
    }

    /// Whether task leases may be renewed: within the grace after the last good renewal.
    pub fn may_renew_tasks(&self, now: Millis) -> bool {
        self.stage == LeaseStage::Holding && now < self.last_good + self.times.renewal_grace_ms
    }

    /// When the newest write that took effect was sent; none while the shard isn't held.
    pub fn last_renewal(&self) -> Option<Millis> {
        let held = matches!(self.stage, LeaseStage::Holding | LeaseStage::Recovering);
        held.then_some(self.last_good)
    }

    /// Whether the lease should be renewed by now.
    pub fn wants_renewal(&self, now: Millis) -> bool {
        let held = matches!(self.stage, LeaseStage::Holding | LeaseStage::Recovering);
        held && now >= self.last_good + self.times.shard_lease_ms / 3
    }

    /// The newest epoch that was seen, also where the row has to be read anew.
    pub fn newest_epoch(&self) -> Epoch {
        self.newest_epoch
    }

    /// How long this host certainly doesn't claim the shard from now on.
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

    /// Notes how long a read took; where the store is slow, its holder's renewals are slow, too.
    pub fn note_read_time(&mut self, took: Millis) {
        self.read_ms = took.max(self.read_ms * 3 / 4);
    }

    /// Notes the row as read at `now`; a read that shows another owner ends a holding.
    ///
    /// A read that is older than what is known is ignored. Returns true where this host has just lost the shard.
    pub fn note_read(&mut self, now: Millis, read: StoredRow) -> bool {
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
        if changed || self.seen.is_none() {
            self.seen = Some(read);
            self.seen_since = now;
        }
        held && !own
    }

    /// Says whether the shard may be claimed; `rank` is this host's place among the candidates, from 0.
    pub fn may_claim(&self, now: Millis, rank: u32) -> bool {
        if self.stage != LeaseStage::Watching {
            return false;
        }
        let Some(seen) = &self.seen else {
            return false;
        };
        let stagger = self.times.stagger_ms * u64::from(rank);
        let wait = match &seen.row.owner {
            None => 0,
            Some(_) => {
                let drift = self.times.drift_ms.min(self.times.shard_lease_ms / 8);
                self.times.shard_lease_ms + drift + self.read_ms * SLOW_CALLS
            }
        };
        now >= self.seen_since + wait + stagger
    }

    /// Makes the row of a claim and moves on to await its answer.
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

    /// Makes the row of the next durable write.
    pub fn next_row(&self, token: String) -> (RowVersion, ShardRow) {
        let seen = self.seen.clone().expect("a holder has its row");
        let row = ShardRow {
            sequence: seen.row.sequence + 1,
            token,
            ..seen.row
        };
        (seen.version, row)
    }

    /// Notes that a write took effect which was first sent at `sent`.
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
        self.write_ms = now.saturating_sub(sent).max(self.write_ms * 3 / 4);
        self.valid_until = sent + self.times.shard_lease_ms + self.write_ms * SLOW_CALLS;
        self.last_good = sent;
    }

    /// Notes that the shard's state has been read.
    pub fn note_recovered(&mut self) {
        if self.stage == LeaseStage::Recovering {
            self.stage = LeaseStage::Holding;
        }
    }

    /// Gives up the shard, or the attempt to claim it; the row has to be read anew.
    pub fn return_to_watching(&mut self) {
        self.stage = LeaseStage::Watching;
        self.seen = None;
    }
}
