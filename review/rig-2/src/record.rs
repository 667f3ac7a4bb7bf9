//! The record of what was sent, answered and run, with times in milliseconds since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{LazyLock, Mutex};
use std::time::Instant;

static START: LazyLock<Instant> = LazyLock::new(Instant::now);
/// Whether runs are left out of the record.
static RUNS_LEFT_OUT: AtomicBool = AtomicBool::new(false);
static FILE: LazyLock<Mutex<Option<File>>> = LazyLock::new(Mutex::default);

/// Milliseconds since the start.
pub fn now_ms() -> u64 {
    START.elapsed().as_millis() as u64
}

/// Opens the file of the record.
pub fn open(path: &Path) {
    let file = File::create(path).expect("the record can be written");
    *FILE.lock().expect("no writer panicked") = Some(file);
    now_ms();
}

/// Adds a line.
pub fn note(line: impl AsRef<str>) {
    let line = format!("{:>7} {}\n", now_ms(), line.as_ref());
    if let Some(file) = FILE.lock().expect("no writer panicked").as_mut() {
        let _ = file.write_all(line.as_bytes());
    }
}

/// Leaves runs out of the record, or takes them in again: tens of thousands make it too long to read.
pub fn leave_runs_out(left_out: bool) {
    RUNS_LEFT_OUT.store(left_out, Ordering::SeqCst);
}

/// Adds a line on a run.
pub fn note_run(line: impl AsRef<str>) {
    if !RUNS_LEFT_OUT.load(Ordering::SeqCst) {
        note(line);
    }
}
