//! Keeps at hand which halls operators have evacuated.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sandshelf_adapter::{evacuated_hall, RowRange, StoredValue, CONFIG_TABLE, EVACUATION_KEYS};
use sandshelf_model::HallId;

/// What the newest row of a hall says, and its version.
#[derive(Clone, Copy, Debug)]
struct HallMark {
    version: u64,
    evacuated: bool,
}

/// The rows that say that halls are evacuated.
pub fn evacuation_range() -> RowRange {
    let (from, to) = EVACUATION_KEYS;
    RowRange {
        table: CONFIG_TABLE,
        part: String::new(),
        from: from.to_owned(),
        to: Some(to.to_owned()),
    }
}

/// Which halls are evacuated; shared by whoever reads the rows and the owner's thread.
#[derive(Clone, Debug, Default)]
pub struct HallView {
    marks: Arc<Mutex<BTreeMap<HallId, HallMark>>>,
}

impl HallView {
    /// The halls that are evacuated.
    pub fn evacuated(&self) -> BTreeSet<HallId> {
        let marks = self.lock();
        let evacuated = marks.iter().filter(|(_, mark)| mark.evacuated);
        evacuated.map(|(hall, _)| hall.clone()).collect()
    }

    /// Takes in rows that have changed, up to a version; older ones than are known change nothing.
    pub fn apply_changes(&self, rows: &[StoredValue], up_to: u64) {
        mark_halls(&mut self.lock(), rows, up_to);
    }

    /// Takes in all rows as of a version: halls without one are not evacuated, unless something newer is known. Nobody sees a hall as taken back
    /// in between.
    pub fn replace_all(&self, rows: &[StoredValue], as_of: u64) {
        let mut marks = self.lock();
        for mark in marks.values_mut() {
            if mark.version <= as_of {
                mark.evacuated = false;
            }
        }
        mark_halls(&mut marks, rows, as_of);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<HallId, HallMark>> {
        self.marks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Notes what rows say of halls, unless something newer is known.
fn mark_halls(marks: &mut BTreeMap<HallId, HallMark>, rows: &[StoredValue], up_to: u64) {
    for row in rows {
        let Some(hall) = evacuated_hall(&row.key) else {
            continue;
        };
        // The version of a removal may not be told.
        let version = match row.version {
            0 => up_to,
            version => version,
        };
        let evacuated = row.value.is_some();
        let known = marks.get(&hall);
        if known.is_none_or(|known| known.version <= version) {
            marks.insert(hall, HallMark { version, evacuated });
        }
    }
}
