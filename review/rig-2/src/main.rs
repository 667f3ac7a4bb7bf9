//! Plays the cases of this review against the project's daemon: `review-rig-2 CASE RECORD`.
//!
//! Exits with 0 if the rule held, with 1 if it was broken and with 2 if the case could not run. With `TROUBLE=0` in the environment the
//! disruption is left out.

mod acknowledged;
mod cancelled;
mod daemon;
mod http;
mod json;
mod large;
mod reborn;
mod record;
mod renamed;
mod store;
mod system;
mod worker;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use crate::record::note;

/// No case takes longer.
const LIMIT: Duration = Duration::from_secs(112);

/// What a case has found.
pub enum Verdict {
    Held,
    Broken(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = &arguments[..] else {
        eprintln!("usage: review-rig-2 CASE RECORD");
        return ExitCode::from(2);
    };
    record::open(Path::new(record));
    daemon::watch(LIMIT);
    let trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    note(format!("case {case}, disruption: {trouble}"));
    let played = match case.as_str() {
        "acknowledged" => acknowledged::play(trouble),
        "reborn" => reborn::play(trouble),
        "renamed" => renamed::play(trouble),
        "large" => large::play(trouble),
        "cancelled" => cancelled::play(trouble),
        _ => Err("no such case".to_owned()),
    };
    match played {
        Ok(Verdict::Held) => {
            note("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken(how)) => {
            note(format!("the rule was broken: {how}"));
            ExitCode::from(1)
        }
        Err(cause) => {
            note(format!("the case could not run: {cause}"));
            ExitCode::from(2)
        }
    }
}
