//! docs/OPERATIONS.md names every event and every metric of the daemon that serves jobs, and no others.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// The part of the page that describes this daemon begins with this heading.
const JOBS_HEADING: &str = "## Serving jobs on the users' platform";
/// The starts of calls that log an event, its name following on this line or the next.
const EVENT_CALLS: [&str; 2] = ["event(", "event_always("];
/// What every metric's name begins with.
const METRIC_START: &str = "sandshelf_";

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn page() -> String {
    let text = fs::read_to_string(root().join("docs/OPERATIONS.md")).expect("a readable page");
    let (_, jobs) = text
        .split_once(JOBS_HEADING)
        .expect("the page describes the daemon");
    jobs.to_owned()
}

fn sources() -> Vec<String> {
    let mut texts = Vec::new();
    read_folder(&root().join("crates/sandshelfd/src/jobs"), &mut texts);
    texts
}

fn read_folder(folder: &Path, texts: &mut Vec<String>) {
    for entry in fs::read_dir(folder).expect("a readable folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            read_folder(&path, texts);
        } else {
            texts.push(fs::read_to_string(path).expect("a readable file"));
        }
    }
}

/// The first quoted word of a text, where nothing but space stands before it.
fn leading_word(text: &str) -> Option<&str> {
    let quoted = text.trim_start().strip_prefix('"')?;
    quoted.split('"').next()
}

fn logged_events() -> BTreeSet<String> {
    let mut events = BTreeSet::new();
    for source in sources() {
        for start in EVENT_CALLS {
            let calls = source.split(start).skip(1);
            events.extend(calls.filter_map(leading_word).map(str::to_owned));
        }
    }
    events
}

fn kept_metrics() -> BTreeSet<String> {
    let mut metrics = BTreeSet::new();
    for source in sources() {
        let words = source.split('"').skip(1).step_by(2);
        let named = words.filter(|word| word.starts_with(METRIC_START));
        metrics.extend(named.map(str::to_owned));
    }
    metrics
}

/// The words in backquotes of the first cell of each row of the page's tables.
fn described(wanted: impl Fn(&str) -> bool, heading: &str) -> BTreeSet<String> {
    let page = page();
    let (_, part) = page.split_once(heading).expect("the heading is there");
    let rows = part.lines().take_while(|line| !line.starts_with('#'));
    let cells = rows.filter_map(|line| line.strip_prefix('|')?.split('|').next());
    let mut words = BTreeSet::new();
    for cell in cells {
        let quoted = cell.split('`').skip(1).step_by(2);
        words.extend(quoted.filter(|word| wanted(word)).map(str::to_owned));
    }
    words
}

fn events_are_described() {
    assert_eq!(logged_events(), described(|_| true, "### Events"));
}

fn metrics_are_described() {
    let described = described(|word| word.starts_with(METRIC_START), "### Metrics");
    assert_eq!(kept_metrics(), described);
}

sandshelf_cases::cases! {
    events => events_are_described();
    metrics => metrics_are_described();
}
