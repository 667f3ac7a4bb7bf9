//! The record of a case: what was sent, answered and run, with times in milliseconds from its start.

use std::fs;
use std::path::Path;
use std::sync::{LazyLock, Mutex};
use std::time::Instant;

static ORIGIN: LazyLock<Instant> = LazyLock::new(Instant::now);
static LINES: Mutex<Vec<(u64, String)>> = Mutex::new(Vec::new());

/// Milliseconds since the start of the case.
pub fn now_ms() -> u64 {
    ORIGIN.elapsed().as_millis() as u64
}

/// Adds a line to the record.
pub fn note(text: impl Into<String>) {
    note_at(now_ms(), text);
}

/// Adds a line with a time of its own to the record.
pub fn note_at(at: u64, text: impl Into<String>) {
    LINES.lock().unwrap().push((at, text.into()));
}

/// Writes the record, ordered by time.
pub fn write(path: &Path) {
    let mut lines = LINES.lock().unwrap().clone();
    lines.sort_by_key(|(at, _)| *at);
    let lines: Vec<String> = lines
        .iter()
        .map(|(at, text)| format!("{at:>7} {text}\n"))
        .collect();
    let _ = fs::write(path, lines.concat());
}
