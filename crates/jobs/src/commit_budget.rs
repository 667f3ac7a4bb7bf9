//! What one durable write may hold, in the form in which the store counts it.

use std::io;

use serde::Serialize;

use crate::limits::{MAX_COMMIT_BYTES, MAX_COMMIT_ROWS, MAX_ROW_VALUE_BYTES, ROW_FRAME_BYTES};

/// How much room a value takes in a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StoredSize {
    pub(crate) rows: usize,
    pub(crate) bytes: usize,
}

impl StoredSize {
    /// The size of a value that is stored as JSON: in base64, and in several rows if it is longer than one.
    pub(crate) fn of(value: &impl Serialize) -> Self {
        let mut counter = ByteCounter::default();
        serde_json::to_writer(&mut counter, value).expect("plain structures always encode");
        let pieces = counter.bytes.div_ceil(MAX_ROW_VALUE_BYTES);
        // A value in several rows has one more that tells their number.
        let rows = if pieces > 1 { pieces + 1 } else { 1 };
        Self {
            rows,
            bytes: counter.bytes.div_ceil(3) * 4 + rows * ROW_FRAME_BYTES,
        }
    }
}

/// Counts bytes instead of keeping them.
#[derive(Default)]
struct ByteCounter {
    bytes: usize,
}

impl io::Write for ByteCounter {
    fn write(&mut self, part: &[u8]) -> io::Result<usize> {
        self.bytes += part.len();
        Ok(part.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The room that is left in a write.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CommitBudget {
    rows: usize,
    bytes: usize,
}

impl CommitBudget {
    /// The room of a write that holds nothing but the owner row.
    pub(crate) fn new() -> Self {
        Self {
            rows: MAX_COMMIT_ROWS,
            bytes: MAX_COMMIT_BYTES,
        }
    }

    /// The same room with no more than this many rows and bytes.
    pub(crate) fn with_most(self, rows: usize, bytes: usize) -> Self {
        Self {
            rows: self.rows.min(rows),
            bytes: self.bytes.min(bytes),
        }
    }

    /// Takes the room of a value; returns false, and takes nothing, if there is too little.
    pub(crate) fn take(&mut self, value: &impl Serialize) -> bool {
        self.take_size(StoredSize::of(value))
    }

    /// Takes the room of a removed row; returns false, and takes nothing, if there is too little.
    pub(crate) fn take_removal(&mut self) -> bool {
        self.take_size(StoredSize {
            rows: 1,
            bytes: ROW_FRAME_BYTES,
        })
    }

    /// Takes what a part of this budget has used.
    pub(crate) fn take_used(&mut self, before: Self, after: Self) {
        self.rows -= before.rows - after.rows;
        self.bytes -= before.bytes - after.bytes;
    }

    /// Takes room of this size; returns false, and takes nothing, if there is too little.
    pub(crate) fn take_size(&mut self, size: StoredSize) -> bool {
        let fits = size.rows <= self.rows && size.bytes <= self.bytes;
        if fits {
            self.rows -= size.rows;
            self.bytes -= size.bytes;
        }
        fits
    }
}
