//! A window of waiting tasks from one list, grouped by family, with the placement cost of each family's next task.

use std::collections::{BTreeMap, VecDeque};

use sandshelf_model::TaskId;

#[derive(Clone, Debug, Default)]
struct FamilyTasks {
    tasks: VecDeque<TaskId>,
    cost: f64,
}

/// Waiting tasks grouped by family.
#[derive(Clone, Debug, Default)]
pub(crate) struct FamilyWindow {
    families: BTreeMap<String, FamilyTasks>,
}

impl FamilyWindow {
    /// Adds a task after the other tasks of its family.
    pub(crate) fn push(&mut self, family: &str, task: TaskId) {
        let tasks = self.families.entry(family.to_owned()).or_default();
        tasks.tasks.push_back(task);
    }

    /// The families that still have tasks.
    pub(crate) fn families(&self) -> Vec<String> {
        self.families.keys().cloned().collect()
    }

    /// The next task of a family; none where it has no tasks.
    pub(crate) fn first(&self, family: &str) -> Option<&TaskId> {
        self.families.get(family)?.tasks.front()
    }

    /// Sets the placement cost of a family's next task.
    pub(crate) fn set_cost(&mut self, family: &str, cost: f64) {
        if let Some(tasks) = self.families.get_mut(family) {
            tasks.cost = cost;
        }
    }

    /// Removes and returns the next task of the family with the lowest cost; none where no tasks remain.
    pub(crate) fn pop_cheapest(&mut self) -> Option<(String, TaskId)> {
        let cheapest = self
            .families
            .iter()
            .min_by(|a, b| a.1.cost.total_cmp(&b.1.cost))
            .map(|(family, _)| family.clone())?;
        let tasks = self.families.get_mut(&cheapest)?;
        let task = tasks.tasks.pop_front()?;
        if tasks.tasks.is_empty() {
            self.families.remove(&cheapest);
        }
        Some((cheapest, task))
    }
}
