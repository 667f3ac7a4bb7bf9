//! Claims the slices of the teams' quotas that the shards owned by this host need.

use std::collections::BTreeMap;

use sandshelf_lease::{QuotaRow, ShardEvent};
use sandshelf_model::{Epoch, Millis, ResourceSize, ShardId, TeamId};
use sandshelf_platform::{ReadRange, RowCheck, TableKey, TableTxn, TxnOutcome};

use super::{ControlEvent, ControlState};
use crate::meters;

/// Each team's quota row with its row version.
pub(crate) type QuotaRows = BTreeMap<TeamId, (u64, QuotaRow)>;

/// Names one owner's slice of one team's quota.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SliceName {
    pub(crate) shard: ShardId,
    pub(crate) team: TeamId,
    pub(crate) epoch: Epoch,
}

/// A quota row whose write is known to be committed.
pub(crate) struct WrittenSlice {
    name: SliceName,
    version: u64,
    row: QuotaRow,
}

impl ControlState {
    /// Reads every team's quota row; does nothing where this host owns no shard.
    pub(super) fn read_quotas(&self, now: Millis) {
        if !self.owners.values().any(|owner| owner.is_owner(now)) {
            return;
        }
        let platform = self.platform.clone();
        self.spawn(async move {
            let prefix = TableKey::Quotas.text();
            let rows = platform.read_range(&ReadRange::prefix(&prefix)).await;
            meters::note_platform("read", rows.is_ok());
            let rows = rows.ok()?;
            let parsed = rows.iter().filter_map(|row| {
                let team = TeamId::from(row.key.strip_prefix(&prefix)?);
                let slices = serde_json::from_str(&row.value).ok()?;
                Some((team, (row.version, slices)))
            });
            Some(ControlEvent::QuotasRead(parsed.collect()))
        });
    }

    /// Plans and applies each owned shard's slice of each team's quota.
    pub(super) fn handle_quota_rows(&mut self, now: Millis, rows: &QuotaRows) {
        let Some(set) = self.config.set().cloned() else {
            return;
        };
        let owned = self.owners.values().filter(|owner| owner.is_owner(now));
        let owned: Vec<ShardId> = owned.map(|owner| owner.shard().clone()).collect();
        for team in &set.teams {
            let no_row = (0, QuotaRow::default());
            let (version, row) = rows.get(&team.name).unwrap_or(&no_row);
            for shard in &owned {
                let name = SliceName {
                    shard: shard.clone(),
                    team: team.name.clone(),
                    epoch: self.owners[shard].epoch(),
                };
                self.plan_slice(now, &name, &team.quota, *version, row);
            }
        }
    }

    fn plan_slice(
        &mut self,
        now: Millis,
        name: &SliceName,
        quota: &ResourceSize,
        version: u64,
        row: &QuotaRow,
    ) {
        let demand = self.owners[&name.shard].quota_demand(&name.team);
        let unused = demand == ResourceSize::default() && !row.slices.contains_key(&name.shard);
        if unused {
            return;
        }
        let tracker = self.slice_trackers.entry(name.clone()).or_default();
        let step = tracker.plan(version, row, &name.shard, name.epoch, quota, &demand);
        if let Some(size) = step.use_now {
            self.apply_slice(now, name, size);
        }
        if let Some(next) = step.write {
            self.write_slice(name, version, next);
        }
    }

    fn apply_slice(&mut self, now: Millis, name: &SliceName, slice: ResourceSize) {
        if self.owners[&name.shard].epoch() != name.epoch {
            return;
        }
        let event = ShardEvent::QuotaSliceUpdated {
            team: name.team.clone(),
            slice,
        };
        self.feed(now, &name.shard, event);
    }

    /// Applies the slice of a row whose write is known to be committed.
    pub(super) fn slice_written(&mut self, now: Millis, written: &WrittenSlice) {
        let name = &written.name;
        let Some(tracker) = self.slice_trackers.get_mut(name) else {
            return;
        };
        let size = tracker.note_written(written.version, &written.row, &name.shard, name.epoch);
        if let Some(size) = size {
            self.apply_slice(now, name, size);
        }
    }

    /// Writes a row, conditional on the version on which it was planned.
    ///
    /// No event follows a conflict or an unknown outcome; a later read of the row settles it.
    fn write_slice(&self, name: &SliceName, version: u64, row: QuotaRow) {
        let key = TableKey::Quota(&name.team).text();
        let text = serde_json::to_string(&row).unwrap_or_default();
        let token = format!("{}:{}:{}:{version}", self.entry.host, name.shard, name.team);
        let txn = TableTxn::new(&token)
            .check(RowCheck::new(&key, version))
            .put(&key, &text);
        let platform = self.platform.clone();
        let name = name.clone();
        self.spawn(async move {
            let outcome = platform.transact(&txn).await;
            meters::note_platform("commit", outcome.is_ok());
            let Ok(TxnOutcome::Committed(versions)) = outcome else {
                return None;
            };
            let version = *versions.first()?;
            Some(ControlEvent::SliceWritten(WrittenSlice {
                name,
                version,
                row,
            }))
        });
    }
}
