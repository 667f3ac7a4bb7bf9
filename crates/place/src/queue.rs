//! The queue of tasks that wait for placement: urgent tasks first, fair between teams.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use sandshelf_model::{JobId, TaskId, TeamId};

use crate::quota::QuotaLedger;

/// After this many urgent placements in a row, lists of normal tasks are served first until one task of them is placed.
const MAX_URGENT_STREAK: u32 = 8;

/// The key of the list in which a task waits.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PendingKey {
    /// Whether the task is urgent.
    pub urgent: bool,
    /// The team that the task belongs to.
    pub team: TeamId,
}

/// A waiting task in its list. The order by task index, then job, makes the jobs of a team take turns.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PendingEntry {
    index: u32,
    job: JobId,
}

impl PendingEntry {
    fn of(task: &TaskId) -> Self {
        Self {
            index: task.index,
            job: task.job.clone(),
        }
    }

    fn task(&self) -> TaskId {
        TaskId {
            job: self.job.clone(),
            index: self.index,
        }
    }
}

/// Waiting tasks, in one list per urgency and team.
#[derive(Clone, Debug, Default)]
pub struct PendingQueue {
    lists: BTreeMap<PendingKey, BTreeSet<PendingEntry>>,
    urgent_streak: u32,
}

impl PendingQueue {
    /// Adds a task; no effect if it is already in the list.
    pub fn insert(&mut self, key: &PendingKey, task: &TaskId) {
        let list = self.lists.entry(key.clone()).or_default();
        list.insert(PendingEntry::of(task));
    }

    /// Removes a task; returns whether it was in the list.
    pub fn remove(&mut self, key: &PendingKey, task: &TaskId) -> bool {
        let Some(list) = self.lists.get_mut(key) else {
            return false;
        };
        let waited = list.remove(&PendingEntry::of(task));
        if list.is_empty() {
            self.lists.remove(key);
        }
        waited
    }

    /// Returns the number of waiting tasks.
    pub fn len(&self) -> usize {
        self.lists.values().map(BTreeSet::len).sum()
    }

    /// Returns whether no task waits.
    pub fn is_empty(&self) -> bool {
        self.lists.is_empty()
    }

    /// Returns the keys of all lists in the order in which they are to be served now.
    ///
    /// Urgent lists come first, except that after eight urgent placements in a row normal lists come first for one placement.
    /// Within an urgency, teams are sorted by the fraction of their quota that they hold, smallest first, then by name.
    pub fn serving_order(&mut self, quotas: &QuotaLedger) -> Vec<PendingKey> {
        let mut keys: Vec<PendingKey> = self.lists.keys().cloned().collect();
        let normal_first = self.urgent_streak >= MAX_URGENT_STREAK;
        keys.sort_by(|a, b| {
            let by_urgency = b.urgent.cmp(&a.urgent);
            let by_urgency = if normal_first {
                by_urgency.reverse()
            } else {
                by_urgency
            };
            let by_share = quotas.share(&a.team).total_cmp(&quotas.share(&b.team));
            by_urgency.then(by_share).then_with(|| a.team.cmp(&b.team))
        });
        keys
    }

    /// Records that a task was placed, and whether it was urgent; this counts the urgent placements in a row.
    pub fn note_placed(&mut self, urgent: bool) {
        self.urgent_streak = if urgent { self.urgent_streak + 1 } else { 0 };
    }

    /// Returns up to `limit` tasks that wait under `key`: those after `cursor` first, then those from the start up to `cursor`.
    pub fn tasks_after(
        &self,
        key: &PendingKey,
        cursor: Option<&TaskId>,
        limit: usize,
    ) -> Vec<TaskId> {
        let Some(list) = self.lists.get(key) else {
            return Vec::new();
        };
        let Some(cursor) = cursor else {
            return list.iter().take(limit).map(PendingEntry::task).collect();
        };
        let cursor = PendingEntry::of(cursor);
        let after = list.range((Bound::Excluded(&cursor), Bound::Unbounded));
        let before = list.range(..=&cursor);
        let rotated = after.chain(before).take(limit);
        rotated.map(PendingEntry::task).collect()
    }
}
