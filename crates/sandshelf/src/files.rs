//! Reads and checks files, and prints JSON.

use std::path::{Path, PathBuf};

use sandshelf_config::{parse_set, read_directory, read_paths, ConfigSet, FaultList};
use serde::Serialize;

use crate::failure::{CommandFailure, FailureKind};

/// The result of a check without faults, printed as JSON or as one line.
#[derive(Serialize)]
struct CheckReport {
    sound: bool,
    services: usize,
    jobs: usize,
    teams: usize,
    digest: String,
}

/// Checks the files of one set, without the platform; fails with all their faults.
pub fn check(paths: &[PathBuf], json: bool) -> Result<(), CommandFailure> {
    let set = match read_paths(paths).and_then(|files| parse_set(&files)) {
        Ok(set) => set,
        Err(faults) => return Err(report_faults(faults, json)),
    };
    let report = CheckReport {
        sound: true,
        services: set.services.len(),
        jobs: set.jobs.len(),
        teams: set.teams.len(),
        digest: set.digest(),
    };
    if json {
        print_json(&report);
    } else {
        println!(
            "sound: {} services, {} jobs and watches, {} teams",
            report.services, report.jobs, report.teams
        );
    }
    Ok(())
}

fn report_faults(faults: FaultList, json: bool) -> CommandFailure {
    if json {
        print_json(&faults);
        let count = faults.faults.len();
        return CommandFailure::new(FailureKind::Faults, format!("{count} fault(s)"));
    }
    faults.into()
}

/// Reads and checks the files of the set in a directory.
pub fn read_set(directory: &Path) -> Result<ConfigSet, CommandFailure> {
    let files = read_directory(directory)?;
    Ok(parse_set(&files)?)
}

/// Prints a value as indented JSON.
pub fn print_json<T: Serialize>(value: &T) {
    match serde_json::to_string_pretty(value) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("sandshelf: the result can't be printed as JSON: {error}"),
    }
}
