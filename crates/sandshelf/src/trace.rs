//! Prints the log lines about one job, task or worker, merged by time from the logs of several hosts.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use crate::failure::{CommandFailure, FailureKind};

/// Context events, which may explain what happened to any job: which host owned the shard and gave orders, whether the store answered,
/// which configuration was read, and when hosts started and stopped.
const CONTEXT_EVENTS: [&str; 11] = [
    "shard_claimed",
    "shard_owned",
    "shard_read",
    "shard_lost",
    "shard_releasing",
    "shard_released",
    "store_lost",
    "store_regained",
    "config_taken",
    "started",
    "stopping",
];

/// One log line of the trace.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TraceLine {
    /// The time as written in the log; times of the same format sort chronologically.
    time: String,
    /// The name of the log file, without its extension.
    source: String,
    /// The line from `event=` on.
    text: String,
    /// Whether the line is a context event that does not name the subject.
    context: bool,
}

/// Prints every line that names `subject`, and the context events between the first and the last of them, in order of time. Lines that name
/// the subject are marked with `*`.
pub fn trace(subject: &str, files: &[PathBuf]) -> Result<(), CommandFailure> {
    let mut lines = Vec::new();
    for path in files {
        read_log(path, subject, &mut lines)?;
    }
    lines.sort();
    let matches = |line: &TraceLine| !line.context;
    let Some(first) = lines.iter().position(matches) else {
        let message = format!(
            "no line names '{subject}'; give the logs of all hosts for that time and the complete ID"
        );
        return Err(CommandFailure::new(FailureKind::Missing, message));
    };
    let last = lines.iter().rposition(matches).unwrap_or(first);
    for line in &lines[first..=last] {
        let mark = if line.context { "  " } else { "* " };
        println!("{mark}{} {} {}", line.time, line.source, line.text);
    }
    Ok(())
}

fn read_log(path: &Path, subject: &str, lines: &mut Vec<TraceLine>) -> Result<(), CommandFailure> {
    let unreadable = |error: std::io::Error| {
        let message = format!("{}: can't be read: {error}", path.display());
        CommandFailure::new(FailureKind::Unreachable, message)
    };
    let source = path.file_stem().unwrap_or_default().to_string_lossy();
    let log = BufReader::new(File::open(path).map_err(unreadable)?);
    for bytes in log.split(b'\n') {
        let bytes = bytes.map_err(unreadable)?;
        let line = String::from_utf8_lossy(&bytes);
        lines.extend(parse_line(&line, &source, subject));
    }
    Ok(())
}

/// Parses a log line; none if it neither names the subject nor is a context event, or has no time or event.
fn parse_line(line: &str, source: &str, subject: &str) -> Option<TraceLine> {
    let time = value_of(line, "time")?;
    let event = value_of(line, "event")?;
    let matches = line
        .split_whitespace()
        .any(|word| names_subject(word, subject));
    let context = CONTEXT_EVENTS.contains(&event);
    if !matches && !context {
        return None;
    }
    let start = line.find("event=").unwrap_or(0);
    Some(TraceLine {
        time: time.to_owned(),
        source: source.to_owned(),
        text: line[start..].to_owned(),
        context: !matches,
    })
}

/// Whether `word` is a `key=value` pair whose value is the subject or a part of it, such as a task of a job.
fn names_subject(word: &str, subject: &str) -> bool {
    let Some((_, value)) = word.split_once('=') else {
        return false;
    };
    let rest = value.strip_prefix(subject);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
}

/// Returns the value of the first `key=value` pair with this key.
fn value_of<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    line.split_whitespace()
        .find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
}
