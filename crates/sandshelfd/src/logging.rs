//! One line of key=value pairs for each event, bounded in a flood.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::io::Write;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{LazyLock, Mutex};

use flexi_logger::{DeferredNow, Logger, LoggerHandle};
use log::Record;

use crate::clock;

/// The most lines of one event in each second, unless the settings say otherwise; what is left out is counted in the
/// next line.
const DEFAULT_LINES_PER_SECOND: u32 = 20;
/// How long a window of counting lasts, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// A pair in a log line.
pub type LogPair<'a> = (&'a str, &'a dyn std::fmt::Display);

#[derive(Default)]
struct EventWindow {
    window_start: u64,
    lines: u32,
    left_out: u64,
}

static LINE_LIMIT: AtomicU32 = AtomicU32::new(DEFAULT_LINES_PER_SECOND);
static WINDOWS: LazyLock<Mutex<HashMap<&'static str, EventWindow>>> = LazyLock::new(Mutex::default);

/// Starts logging to standard output; the level comes from `RUST_LOG`, else info.
pub fn start() -> Result<LoggerHandle, flexi_logger::FlexiLoggerError> {
    Logger::try_with_env_or_str("info, rocket=off, hyper=off, reqwest=off")?
        .log_to_stdout()
        .format(write_line)
        .start()
}

fn write_line(
    writer: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> std::io::Result<()> {
    let time = now.format("%Y-%m-%dT%H:%M:%S%.3fZ");
    let level = record.level().as_str().to_ascii_lowercase();
    write!(writer, "time={time} level={level} {}", record.args())
}

/// Sets how many lines of one event are written in each second.
pub fn limit_lines(most: u32) {
    LINE_LIMIT.store(most, Ordering::Relaxed);
}

/// Logs one event.
pub fn event(name: &'static str, pairs: &[LogPair<'_>]) {
    if let Some(left_out) = admit(name) {
        write_event(name, pairs, left_out);
    }
}

/// Logs one event of a kind of which none may be left out; whatever it tells of bounds how many there are.
pub fn event_always(name: &'static str, pairs: &[LogPair<'_>]) {
    write_event(name, pairs, 0);
}

fn write_event(name: &'static str, pairs: &[LogPair<'_>], left_out: u64) {
    let mut line = format!("event={name}");
    for (key, value) in pairs {
        let _ = write!(line, " {key}={}", quoted(&value.to_string()));
    }
    if left_out > 0 {
        let _ = write!(line, " left_out={left_out}");
    }
    log::info!("{line}");
}

/// Counts a line; returns how many were left out before it, or none where this one is left out.
fn admit(name: &'static str) -> Option<u64> {
    let now = clock::now();
    let mut windows = WINDOWS.lock().ok()?;
    let window = windows.entry(name).or_default();
    if now >= window.window_start + WINDOW_MS {
        window.window_start = now;
        window.lines = 0;
    }
    if window.lines >= LINE_LIMIT.load(Ordering::Relaxed) {
        window.left_out += 1;
        return None;
    }
    window.lines += 1;
    Some(std::mem::take(&mut window.left_out))
}

/// Quotes a value that would break the line into other pairs.
fn quoted(text: &str) -> String {
    let plain = !text.is_empty()
        && text
            .chars()
            .all(|letter| !letter.is_whitespace() && letter != '"' && letter != '=');
    if plain {
        text.to_owned()
    } else {
        format!("{text:?}")
    }
}
