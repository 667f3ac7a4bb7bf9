//! How a team's quota is cut into slices, one for each shard, in one row of the table.
//!
//! Each shard's owner changes only its own slice, conditional on the row's version, and never over what the quota leaves.
//! A slice carries the epoch of the owner that wrote it last: an owner uses a slice only once its own epoch stands there,
//! so that an earlier owner's late write can't change what a later one counts on.

use std::collections::BTreeMap;

use sandshelf_model::{Epoch, ResourceSize, ShardId};
use serde::{Deserialize, Serialize};

/// One shard's slice.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaSlice {
    /// The epoch of the owner that wrote it last.
    pub epoch: Epoch,
    /// The slice.
    pub size: ResourceSize,
}

/// A team's row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRow {
    /// Slices by shard.
    pub slices: BTreeMap<ShardId, QuotaSlice>,
}

/// What an owner does about its slice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SlicePlan {
    /// The slice suits; it may be used as it stands.
    Keep(ResourceSize),
    /// Write this row; once it stands, the slice may be used.
    Raise(QuotaRow),
    /// Use no more than this from now on, then write this row.
    Lower(ResourceSize, QuotaRow),
    /// A later owner has written the slice: leave it alone.
    Superseded,
}

impl QuotaRow {
    /// What the quota leaves beside the other shards' slices; a dimension stops at zero.
    fn left_for(&self, shard: &ShardId, quota: &ResourceSize) -> ResourceSize {
        let others = self.slices.iter().filter(|(other, _)| *other != shard);
        others.fold(*quota, |left, (_, slice)| {
            left.saturating_minus(&slice.size)
        })
    }

    /// Plans an owner's slice: enough for what it wants, as far as the quota leaves that; given back where it is much too large.
    pub fn plan(
        &self,
        shard: &ShardId,
        epoch: Epoch,
        quota: &ResourceSize,
        wanted: &ResourceSize,
    ) -> SlicePlan {
        let own = self.slices.get(shard).cloned().unwrap_or_default();
        if own.epoch > epoch {
            return SlicePlan::Superseded;
        }
        let left = self.left_for(shard, quota);
        let target = least(wanted, &left);
        if own.epoch < epoch {
            return SlicePlan::Raise(self.with(shard, epoch, own.size.max_with(&target)));
        }
        if is_more(&target, &own.size) {
            return SlicePlan::Raise(self.with(shard, epoch, own.size.max_with(&target)));
        }
        let doubled = ResourceSize {
            cpu_millis: wanted.cpu_millis.saturating_mul(2),
            memory_mib: wanted.memory_mib.saturating_mul(2),
            accelerators: wanted.accelerators.saturating_mul(2),
        };
        if is_more(&own.size, &doubled) {
            let size = least(&own.size, wanted);
            return SlicePlan::Lower(size, self.with(shard, epoch, size));
        }
        SlicePlan::Keep(own.size)
    }

    fn with(&self, shard: &ShardId, epoch: Epoch, size: ResourceSize) -> QuotaRow {
        let mut row = self.clone();
        row.slices.insert(shard.clone(), QuotaSlice { epoch, size });
        row
    }

    /// The slice that an owner may use: its own epoch has to stand there.
    pub fn usable(&self, shard: &ShardId, epoch: Epoch) -> Option<ResourceSize> {
        let slice = self.slices.get(shard)?;
        (slice.epoch == epoch).then_some(slice.size)
    }
}

/// What an owner does now about one slice.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SliceStep {
    /// The slice to use from now on; none where nothing is known.
    pub use_now: Option<ResourceSize>,
    /// The row to write, conditional on the version that was planned on.
    pub write: Option<QuotaRow>,
}

/// One owner's dealings with its slice of one team's quota.
#[derive(Clone, Debug, Default)]
pub struct SliceTracker {
    known: u64,
    lowered: Option<(u64, ResourceSize)>,
}

impl SliceTracker {
    /// Plans on a row as read with its version; a row older than what is known says nothing.
    ///
    /// After a smaller slice was sent to be written, no more than that is used until the row has moved on: the write may
    /// still arrive, and the others then count on what it gives back.
    pub fn plan(
        &mut self,
        version: u64,
        row: &QuotaRow,
        shard: &ShardId,
        epoch: Epoch,
        quota: &ResourceSize,
        wanted: &ResourceSize,
    ) -> SliceStep {
        if version < self.known {
            return SliceStep::default();
        }
        self.known = version;
        self.lowered = self.lowered.filter(|(base, _)| *base == version);
        match row.plan(shard, epoch, quota, wanted) {
            SlicePlan::Keep(size) => SliceStep {
                use_now: Some(self.capped(size)),
                write: None,
            },
            SlicePlan::Raise(next) => SliceStep {
                use_now: row.usable(shard, epoch).map(|size| self.capped(size)),
                write: Some(next),
            },
            SlicePlan::Lower(size, next) => {
                let size = self.capped(size);
                self.lowered = Some((version, size));
                SliceStep {
                    use_now: Some(size),
                    write: Some(next),
                }
            }
            SlicePlan::Superseded => SliceStep::default(),
        }
    }

    /// Takes in that a row was written for certain; returns the slice to use.
    pub fn note_written(
        &mut self,
        version: u64,
        row: &QuotaRow,
        shard: &ShardId,
        epoch: Epoch,
    ) -> Option<ResourceSize> {
        if version < self.known {
            return None;
        }
        self.known = version;
        self.lowered = None;
        row.usable(shard, epoch)
    }

    fn capped(&self, size: ResourceSize) -> ResourceSize {
        self.lowered
            .map_or(size, |(_, lowered)| least(&size, &lowered))
    }
}

/// The smaller value in each dimension.
fn least(one: &ResourceSize, other: &ResourceSize) -> ResourceSize {
    ResourceSize {
        cpu_millis: one.cpu_millis.min(other.cpu_millis),
        memory_mib: one.memory_mib.min(other.memory_mib),
        accelerators: one.accelerators.min(other.accelerators),
    }
}

/// Whether `one` is larger in some dimension.
fn is_more(one: &ResourceSize, other: &ResourceSize) -> bool {
    !one.fits_in(other)
}
