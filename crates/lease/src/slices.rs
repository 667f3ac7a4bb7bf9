//! Divides a team's quota into slices, one per shard, stored in one row per team.
//!
//! Each shard's owner changes only its own slice, conditional on the row's version, and never raises it beyond
//! what the other slices leave of the quota. A slice carries the epoch of the owner that wrote it last. An
//! owner uses its slice only once the slice carries its own epoch, so that an earlier owner's late write can't
//! change a slice that a later owner uses.

use std::collections::BTreeMap;

use sandshelf_model::{Epoch, ResourceSize, ShardId};
use serde::{Deserialize, Serialize};

/// One shard's slice of a team's quota.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaSlice {
    /// The epoch of the owner that wrote it last.
    pub epoch: Epoch,
    /// The slice.
    pub size: ResourceSize,
}

/// The row with all slices of one team's quota.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRow {
    /// Slices by shard.
    pub slices: BTreeMap<ShardId, QuotaSlice>,
}

/// What an owner should do about its slice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SlicePlan {
    /// The slice needs no change; this much may be used.
    Keep(ResourceSize),
    /// Write this row; the raised slice may be used once the write has taken effect.
    Raise(QuotaRow),
    /// Use no more than this from now on, then write this row.
    Lower(ResourceSize, QuotaRow),
    /// A later owner has written the slice; don't change it.
    Superseded,
}

impl QuotaRow {
    /// The quota minus the other shards' slices; at least zero in each dimension.
    fn remaining_for(&self, shard: &ShardId, quota: &ResourceSize) -> ResourceSize {
        let others = self.slices.iter().filter(|(other, _)| *other != shard);
        others.fold(*quota, |remaining, (_, slice)| {
            remaining.saturating_minus(&slice.size)
        })
    }

    /// Plans a change of a shard's slice, for the shard's owner with this epoch.
    ///
    /// The slice is raised to what is wanted as far as the quota allows, and lowered
    /// where it exceeds twice what is wanted.
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
        let remaining = self.remaining_for(shard, quota);
        let target = min_sizes(wanted, &remaining);
        if own.epoch < epoch {
            return SlicePlan::Raise(self.with(shard, epoch, own.size.max_with(&target)));
        }
        if exceeds(&target, &own.size) {
            return SlicePlan::Raise(self.with(shard, epoch, own.size.max_with(&target)));
        }
        let doubled = ResourceSize {
            cpu_millis: wanted.cpu_millis.saturating_mul(2),
            memory_mib: wanted.memory_mib.saturating_mul(2),
            accelerators: wanted.accelerators.saturating_mul(2),
        };
        if exceeds(&own.size, &doubled) {
            let size = min_sizes(&own.size, wanted);
            return SlicePlan::Lower(size, self.with(shard, epoch, size));
        }
        SlicePlan::Keep(own.size)
    }

    fn with(&self, shard: &ShardId, epoch: Epoch, size: ResourceSize) -> QuotaRow {
        let mut row = self.clone();
        row.slices.insert(shard.clone(), QuotaSlice { epoch, size });
        row
    }

    /// The slice that an owner may use; none where the slice doesn't carry the owner's epoch.
    pub fn usable(&self, shard: &ShardId, epoch: Epoch) -> Option<ResourceSize> {
        let slice = self.slices.get(shard)?;
        (slice.epoch == epoch).then_some(slice.size)
    }
}

/// The next step of an owner for one slice.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SliceStep {
    /// The slice to use from now on; none where the row is too old, superseded or not yet written by this owner.
    pub use_now: Option<ResourceSize>,
    /// The row to write, conditional on the version that the plan was based on; none where nothing has to be written.
    pub write: Option<QuotaRow>,
}

/// Tracks one owner's slice of one team's quota over reads and writes of the row.
#[derive(Clone, Debug, Default)]
pub struct SliceTracker {
    known_version: u64,
    /// The row version that the last lowering was based on, and the lowered size.
    lowered: Option<(u64, ResourceSize)>,
}

impl SliceTracker {
    /// Plans the next step from a row as read with its version; a row older than the known version is ignored.
    ///
    /// After a write of a smaller slice was sent, no more than that is used until the row has another version: the
    /// write may still take effect, and other shards may then use the quota that it returns.
    pub fn plan(
        &mut self,
        version: u64,
        row: &QuotaRow,
        shard: &ShardId,
        epoch: Epoch,
        quota: &ResourceSize,
        wanted: &ResourceSize,
    ) -> SliceStep {
        if version < self.known_version {
            return SliceStep::default();
        }
        self.known_version = version;
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

    /// Records that a write of the row certainly took effect; returns the slice to use, none where it may not be used.
    pub fn note_written(
        &mut self,
        version: u64,
        row: &QuotaRow,
        shard: &ShardId,
        epoch: Epoch,
    ) -> Option<ResourceSize> {
        if version < self.known_version {
            return None;
        }
        self.known_version = version;
        self.lowered = None;
        row.usable(shard, epoch)
    }

    fn capped(&self, size: ResourceSize) -> ResourceSize {
        self.lowered
            .map_or(size, |(_, lowered)| min_sizes(&size, &lowered))
    }
}

/// The smaller size in each dimension.
fn min_sizes(one: &ResourceSize, other: &ResourceSize) -> ResourceSize {
    ResourceSize {
        cpu_millis: one.cpu_millis.min(other.cpu_millis),
        memory_mib: one.memory_mib.min(other.memory_mib),
        accelerators: one.accelerators.min(other.accelerators),
    }
}

/// Whether `one` is larger than `other` in at least one dimension.
fn exceeds(one: &ResourceSize, other: &ResourceSize) -> bool {
    !one.fits_in(other)
}
