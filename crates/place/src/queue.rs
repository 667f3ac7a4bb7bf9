//! Tasks that wait for a place: urgent ones first, fair between teams.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use sandshelf_model::{JobId, TaskId, TeamId};

use crate::quota::QuotaLedger;

/// After so many urgent choices in a row, one task that is not urgent goes first.
const URGENT_RUN: u32 = 8;

/// Names the list in which a task waits.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PendingKey {
    /// Whether the task is urgent.
    pub urgent: bool,
    /// The team that it belongs to.
    pub team: TeamId,
}

/// A waiting task's place in its list: the jobs of a team take turns.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PendingPlace {
    index: u32,
    job: JobId,
}

impl PendingPlace {
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

/// Waiting tasks by urgency and team.
#[derive(Clone, Debug, Default)]
pub struct PendingQueue {
    lists: BTreeMap<PendingKey, BTreeSet<PendingPlace>>,
    urgent_run: u32,
}

impl PendingQueue {
    /// Adds a task.
    pub fn insert(&mut self, key: &PendingKey, task: &TaskId) {
        let list = self.lists.entry(key.clone()).or_default();
        list.insert(PendingPlace::of(task));
    }

    /// Takes a task out; returns whether it waited.
    pub fn remove(&mut self, key: &PendingKey, task: &TaskId) -> bool {
        let Some(list) = self.lists.get_mut(key) else {
            return false;
        };
        let waited = list.remove(&PendingPlace::of(task));
        if list.is_empty() {
            self.lists.remove(key);
        }
        waited
    }

    /// How many tasks wait.
    pub fn len(&self) -> usize {
        self.lists.values().map(BTreeSet::len).sum()
    }

    /// Whether no task waits.
    pub fn is_empty(&self) -> bool {
        self.lists.is_empty()
    }

    /// Lists the keys in the order in which they are to be served now.
    ///
    /// Urgent lists come first, but for one turn after eight urgent ones; within an urgency
    /// the team that holds the least of its quota comes first.
    pub fn serving_order(&mut self, quotas: &QuotaLedger) -> Vec<PendingKey> {
        let mut keys: Vec<PendingKey> = self.lists.keys().cloned().collect();
        let normal_first = self.urgent_run >= URGENT_RUN;
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

    /// Notes which kind of task was placed, for the turn of those that are not urgent.
    pub fn note_placed(&mut self, urgent: bool) {
        self.urgent_run = if urgent { self.urgent_run + 1 } else { 0 };
    }

    /// Lists up to `most` tasks that wait under `key`: those after `cursor` first, then from the start again.
    pub fn tasks_after(
        &self,
        key: &PendingKey,
        cursor: Option<&TaskId>,
        most: usize,
    ) -> Vec<TaskId> {
        let Some(list) = self.lists.get(key) else {
            return Vec::new();
        };
        let Some(cursor) = cursor else {
            return list.iter().take(most).map(PendingPlace::task).collect();
        };
        let cursor = PendingPlace::of(cursor);
        let after = list.range((Bound::Excluded(&cursor), Bound::Unbounded));
        let before = list.range(..=&cursor);
        let turned = after.chain(before).take(most);
        turned.map(PendingPlace::task).collect()
    }
}
