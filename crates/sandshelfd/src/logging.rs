//! Logs one line of key=value pairs for each event, with a rate limit per event name.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::io::Write;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{LazyLock, Mutex};

use flexi_logger::{DeferredNow, Logger, LoggerHandle};
use log::Record;

use crate::clock;

/// The maximum number of lines per second for one event, unless the settings give another.
///
/// The event's next line carries the number of lines left out before it, as `left_out`.
const DEFAULT_LINES_PER_SECOND: u32 = 20;
/// The length of the window over which an event's lines are counted, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// A key and its value in a log line.
pub type LogPair<'a> = (&'a str, &'a dyn std::fmt::Display);

#[derive(Default)]
struct EventWindow {
    window_start: u64,
    lines: u32,
    left_out: u64,
}

static LINE_LIMIT: AtomicU32 = AtomicU32::new(DEFAULT_LINES_PER_SECOND);
static WINDOWS: LazyLock<Mutex<HashMap<&'static str, EventWindow>>> = LazyLock::new(Mutex::default);

/// Starts logging to standard output, at the level in `RUST_LOG` or at info without it.
pub fn start() -> Result<LoggerHandle, flexi_logger::FlexiLoggerError> {
    Logger::try_with_env_or_str("info, hyper=off, reqwest=off")?
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

/// Sets the maximum number of lines per second for one event.
pub fn limit_lines(lines_per_second: u32) {
    LINE_LIMIT.store(lines_per_second, Ordering::Relaxed);
}

/// Logs one event, unless the event's rate limit is reached; the line is then only counted.
pub fn event(name: &'static str, pairs: &[LogPair<'_>]) {
    if let Some(left_out) = admit(name) {
        write_event(name, pairs, left_out);
    }
}

/// Logs one event without a rate limit.
///
/// For events of which no line may be left out and whose cause itself bounds their number.
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

/// Counts a line of an event; returns the number of lines left out before it, or none where this line is to be left out.
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

/// The text of a value in a log line, quoted where it is empty or has a space, a quote or `=`, which would break up the
/// line's pairs.
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
