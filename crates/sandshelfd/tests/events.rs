//! Checks that docs/OPERATIONS.md lists exactly the log events and metrics of the daemon that serves jobs.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// The heading of the page's part on this daemon.
const JOBS_HEADING: &str = "## Serving jobs on the users' platform";
/// The beginnings of calls that log an event; the event's name follows on the same line or the next.
const EVENT_CALLS: [&str; 2] = ["event(", "event_always("];
/// The prefix of every metric's name.
const METRIC_PREFIX: &str = "sandshelf_";

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn jobs_page() -> String {
    let text =
        fs::read_to_string(repository_root().join("docs/OPERATIONS.md")).expect("a readable page");
    let (_, jobs) = text
        .split_once(JOBS_HEADING)
        .expect("the page describes the daemon");
    jobs.to_owned()
}

fn job_sources() -> Vec<String> {
    let mut texts = Vec::new();
    read_sources(
        &repository_root().join("crates/sandshelfd/src/jobs"),
        &mut texts,
    );
    texts
}

fn read_sources(folder: &Path, texts: &mut Vec<String>) {
    for entry in fs::read_dir(folder).expect("a readable folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            read_sources(&path, texts);
        } else {
            texts.push(fs::read_to_string(path).expect("a readable file"));
        }
    }
}

/// The quoted word at the start of a text, after optional white space.
fn leading_word(text: &str) -> Option<&str> {
    let quoted = text.trim_start().strip_prefix('"')?;
    quoted.split('"').next()
}

fn logged_events() -> BTreeSet<String> {
    let mut events = BTreeSet::new();
    for source in job_sources() {
        for start in EVENT_CALLS {
            let calls = source.split(start).skip(1);
            events.extend(calls.filter_map(leading_word).map(str::to_owned));
        }
    }
    events
}

fn recorded_metrics() -> BTreeSet<String> {
    let mut metrics = BTreeSet::new();
    for source in job_sources() {
        let words = source.split('"').skip(1).step_by(2);
        let named = words.filter(|word| word.starts_with(METRIC_PREFIX));
        metrics.extend(named.map(str::to_owned));
    }
    metrics
}

/// The words in backquotes in the first cell of each table row below `heading`, as far as `is_included` accepts them.
fn described(is_included: impl Fn(&str) -> bool, heading: &str) -> BTreeSet<String> {
    let page = jobs_page();
    let (_, part) = page.split_once(heading).expect("the heading is there");
    let rows = part.lines().take_while(|line| !line.starts_with('#'));
    let cells = rows.filter_map(|line| line.strip_prefix('|')?.split('|').next());
    let mut words = BTreeSet::new();
    for cell in cells {
        let quoted = cell.split('`').skip(1).step_by(2);
        words.extend(quoted.filter(|word| is_included(word)).map(str::to_owned));
    }
    words
}

fn events_are_described() {
    assert_eq!(logged_events(), described(|_| true, "### Events"));
}

fn metrics_are_described() {
    let described = described(|word| word.starts_with(METRIC_PREFIX), "### Metrics");
    assert_eq!(recorded_metrics(), described);
}

sandshelf_cases::cases! {
    events => events_are_described();
    metrics => metrics_are_described();
}
