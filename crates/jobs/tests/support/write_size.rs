//! The size of an owner's writes, in the form in which the store counts it.

use sandshelf_jobs::CommitBatch;
use serde::Serialize;

/// The most entries of a write: checked, written and removed rows.
const MAX_ENTRIES: usize = 100;
/// The most bytes of a write.
const MAX_BYTES: usize = 1_000_000;
/// The most bytes of a row's value; longer values take several rows.
const MAX_VALUE_BYTES: usize = 60_000;
/// Bytes of an entry besides its value: table, part and key with their names.
pub const ENTRY_BYTES: usize = 100;
/// The owner row, which each write checks and writes.
const OWNER_ENTRIES: usize = 2;
pub const OWNER_BYTES: usize = 1_000;

/// The size of a write in the form in which the store counts it.
#[derive(Clone, Copy, Debug, Default)]
pub struct WriteSize {
    pub entries: usize,
    pub bytes: usize,
}

impl WriteSize {
    fn add(&mut self, value: &impl Serialize) {
        let bytes = serde_json::to_vec(value).expect("plain structures").len();
        let pieces = bytes.div_ceil(MAX_VALUE_BYTES);
        let rows = if pieces > 1 { pieces + 1 } else { 1 };
        self.entries += rows;
        self.bytes += rows * ENTRY_BYTES + bytes.div_ceil(3) * 4;
    }

    /// The size of the write of a batch.
    pub fn of(batch: &CommitBatch) -> Self {
        let removed = batch.forget.len() + batch.obsolete_pages.len();
        let mut size = WriteSize {
            entries: OWNER_ENTRIES + removed,
            bytes: OWNER_BYTES + removed * ENTRY_BYTES,
        };
        for (_, row) in &batch.progress {
            size.add(row);
        }
        for (_, page) in &batch.pages {
            size.add(page);
        }
        batch.pending.iter().for_each(|counts| size.add(counts));
        batch
            .interference
            .iter()
            .for_each(|learnt| size.add(learnt));
        batch.roster.head.iter().for_each(|head| size.add(head));
        batch.roster.pages.values().for_each(|page| size.add(page));
        batch.silent.pages.values().for_each(|page| size.add(page));
        size
    }

    /// Checks that the store takes such a write.
    pub fn assert_taken(&self) {
        assert!(
            self.entries <= MAX_ENTRIES && self.bytes <= MAX_BYTES,
            "{self:?}"
        );
    }
}
