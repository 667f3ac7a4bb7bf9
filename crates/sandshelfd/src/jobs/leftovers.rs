//! Rows that are left over from longer values. The owner removes them with its own writes.

use std::collections::HashSet;

use sandshelf_adapter::head_key;
use sandshelf_jobs::CommitBatch;

/// How many leftover rows are removed in one write. The store accepts 100 entries.
const LEFTOVERS_PER_WRITE: usize = 90;

/// The keys of progress rows that were left over at a takeover.
#[derive(Clone, Debug, Default)]
pub struct LeftoverRows {
    keys: Vec<String>,
}

impl LeftoverRows {
    /// Creates the list from what was read at the takeover, before this owner has written any progress.
    pub fn new(keys: Vec<String>) -> Self {
        Self { keys }
    }

    /// Removes and returns the keys of rows to be removed in the same write as a batch: some beside a batch that writes nothing else.
    /// The rows of a value that the batch writes are left to the next owner, since the value may need them again.
    pub fn take_beside(&mut self, batch: &CommitBatch) -> Vec<String> {
        if self.keys.is_empty() {
            return Vec::new();
        }
        if *batch == CommitBatch::default() {
            let count = self.keys.len().min(LEFTOVERS_PER_WRITE);
            return self.keys.drain(..count).collect();
        }
        let rows = batch.progress.iter().map(|(number, _)| number.to_string());
        let pages = batch.pages.iter().map(|(key, _)| key.to_string());
        let written: HashSet<String> = rows.chain(pages).collect();
        self.keys.retain(|key| !written.contains(head_key(key)));
        Vec::new()
    }
}
