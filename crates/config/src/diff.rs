//! Differences between two configuration sets.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::intent::ConfigSet;

/// How a declaration differs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeKind {
    /// Only the new set has the declaration.
    Added,
    /// Only the old set has the declaration.
    Removed,
    /// Both sets have the declaration, with different values.
    Changed,
}

/// One declaration that differs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct SetChange {
    /// The kind and name of the declaration, such as `job reconcile`; `weights` and `backends` have no name.
    pub subject: String,
    /// How the declaration differs.
    pub change: ChangeKind,
}

/// Lists the declarations that differ between `old` and `new`, sorted by subject; empty for equal sets.
pub fn difference(old: &ConfigSet, new: &ConfigSet) -> Vec<SetChange> {
    let before = describe(old);
    let after = describe(new);
    let mut changes = Vec::new();
    for (subject, value) in &after {
        match before.get(subject) {
            None => changes.push(change(subject, ChangeKind::Added)),
            Some(earlier) if earlier != value => changes.push(change(subject, ChangeKind::Changed)),
            Some(_) => {}
        }
    }
    for subject in before.keys() {
        if !after.contains_key(subject) {
            changes.push(change(subject, ChangeKind::Removed));
        }
    }
    changes.sort_by(|a, b| a.subject.cmp(&b.subject));
    changes
}

fn change(subject: &str, change: ChangeKind) -> SetChange {
    SetChange {
        subject: subject.to_owned(),
        change,
    }
}

/// Maps each subject of a set to the debug text of its value, which is compared.
fn describe(set: &ConfigSet) -> BTreeMap<String, String> {
    let mut subjects = BTreeMap::new();
    for service in &set.services {
        subjects.insert(format!("service {}", service.name), format!("{service:?}"));
    }
    for job in &set.jobs {
        subjects.insert(format!("job {}", job.name), format!("{job:?}"));
    }
    for team in &set.teams {
        subjects.insert(format!("team {}", team.name), format!("{team:?}"));
    }
    subjects.insert("weights".to_owned(), format!("{:?}", set.weights));
    subjects.insert("backends".to_owned(), format!("{:?}", set.backends));
    subjects
}
