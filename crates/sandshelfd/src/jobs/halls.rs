//! Keeps track of the halls that operators have evacuated.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sandshelf_adapter::{evacuated_hall, RowRange, StoredValue, CONFIG_TABLE, EVACUATION_KEYS};
use sandshelf_model::HallId;

/// The state of a hall by its newest row, and that row's version.
#[derive(Clone, Copy, Debug)]
struct HallState {
    version: u64,
    evacuated: bool,
}

/// The range of the rows that mark halls as evacuated.
pub fn evacuation_range() -> RowRange {
    let (from, to) = EVACUATION_KEYS;
    RowRange {
        table: CONFIG_TABLE,
        part: String::new(),
        from: from.to_owned(),
        to: Some(to.to_owned()),
    }
}

/// The evacuated halls, shared by the readers of the rows and the control thread.
#[derive(Clone, Debug, Default)]
pub struct HallView {
    states: Arc<Mutex<BTreeMap<HallId, HallState>>>,
}

impl HallView {
    /// The halls that are evacuated now.
    pub fn evacuated(&self) -> BTreeSet<HallId> {
        let states = self.lock();
        let evacuated = states.iter().filter(|(_, state)| state.evacuated);
        evacuated.map(|(hall, _)| hall.clone()).collect()
    }

    /// Applies changed rows, known up to a version. Rows that are older than the known ones are ignored.
    pub fn apply_changes(&self, rows: &[StoredValue], up_to: u64) {
        apply_rows(&mut self.lock(), rows, up_to);
    }

    /// Applies all rows as of a version. Halls without a row are then not evacuated, unless a newer row of them is known. No reader sees the
    /// state in between, in which an evacuated hall would appear to be returned.
    pub fn replace_all(&self, rows: &[StoredValue], as_of: u64) {
        let mut states = self.lock();
        for state in states.values_mut() {
            if state.version <= as_of {
                state.evacuated = false;
            }
        }
        apply_rows(&mut states, rows, as_of);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<HallId, HallState>> {
        self.states.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Applies rows to the states of halls; rows that are older than the known ones are ignored.
fn apply_rows(states: &mut BTreeMap<HallId, HallState>, rows: &[StoredValue], up_to: u64) {
    for row in rows {
        let Some(hall) = evacuated_hall(&row.key) else {
            continue;
        };
        // The store may report a removal without its version.
        let version = match row.version {
            0 => up_to,
            version => version,
        };
        let evacuated = row.value.is_some();
        let known = states.get(&hall);
        if known.is_none_or(|known| known.version <= version) {
            states.insert(hall, HallState { version, evacuated });
        }
    }
}
