//! Parses the command line into one validated options value and runs what it requests.

use std::fs;
use std::path::PathBuf;

use error_stack::Report;
use lexopt::prelude::*;
use sandshelf_config::{parse_settings, DaemonSettings, JobSettings, SourceFile};

use crate::daemon::{self, DaemonFailure};
use crate::jobs;

/// The exit code for an invalid command line or settings file.
const EXIT_USAGE: u8 = 2;
/// The exit code for a daemon that failed.
const EXIT_FAILED: u8 = 1;

const HELP: &str = "\
sandshelfd: the sandshelf daemon of an entry host

Usage: sandshelfd --settings FILE [--check]
       sandshelfd --jobs FILE [--check]

Options:
  -s, --settings FILE  serve requests and declared work with the settings (JSON with comments) in FILE
  -j, --jobs FILE      serve job queues on the platform with the settings (JSON with comments) in FILE
      --check          check the settings, name every fault, and exit
  -h, --help           show this text
  -V, --version        show the version

Exit codes: 0 stopped as planned, 1 could not go on, 2 wrong command line or settings.
SIGTERM and SIGINT stop the daemon as planned: no request under way is cut off.";

/// A message for standard error and the exit code that goes with it.
#[derive(Debug)]
pub struct CliFailure {
    /// What is wrong and how to fix it.
    pub message: String,
    /// The exit code.
    pub code: u8,
}

impl CliFailure {
    fn usage(message: impl Into<String>) -> Self {
        Self {
            message: message.into(),
            code: EXIT_USAGE,
        }
    }
}

/// The action that the command line requests.
enum CliOptions {
    Help,
    Version,
    Check(String),
    Run(Box<DaemonSettings>),
    RunJobs(PathBuf, Box<JobSettings>),
}

/// Parses the command line and performs the requested action.
pub fn run() -> Result<(), CliFailure> {
    match read_options()? {
        CliOptions::Help => println!("{HELP}"),
        CliOptions::Version => println!("sandshelfd {}", env!("CARGO_PKG_VERSION")),
        CliOptions::Check(host) => println!("settings of {host} are sound"),
        CliOptions::Run(settings) => daemon::run(*settings).map_err(failed)?,
        CliOptions::RunJobs(path, settings) => jobs::run(path, *settings).map_err(failed)?,
    }
    Ok(())
}

fn failed(report: Report<DaemonFailure>) -> CliFailure {
    CliFailure {
        message: format!("{report:?}"),
        code: EXIT_FAILED,
    }
}

/// The settings file given on the command line, by the kind of daemon that it configures.
enum SettingsPath {
    Requests(PathBuf),
    Jobs(PathBuf),
}

fn read_options() -> Result<CliOptions, CliFailure> {
    let mut parser = lexopt::Parser::from_env();
    let mut path = None;
    let mut check = false;
    while let Some(argument) = parser.next().map_err(|error| usage(&error))? {
        match argument {
            Short('s') | Long("settings") => {
                let value = parser.value().map_err(|error| usage(&error))?;
                path = Some(SettingsPath::Requests(value.into()));
            }
            Short('j') | Long("jobs") => {
                let value = parser.value().map_err(|error| usage(&error))?;
                path = Some(SettingsPath::Jobs(value.into()));
            }
            Long("check") => check = true,
            Short('h') | Long("help") => return Ok(CliOptions::Help),
            Short('V') | Long("version") => return Ok(CliOptions::Version),
            other => return Err(usage(&other.unexpected())),
        }
    }
    let missing = || CliFailure::usage("name a file with --settings FILE or --jobs FILE");
    Ok(match path.ok_or_else(missing)? {
        SettingsPath::Requests(path) => {
            let settings = read_settings(&path)?;
            match check {
                true => CliOptions::Check(settings.host.to_string()),
                false => CliOptions::Run(Box::new(settings)),
            }
        }
        SettingsPath::Jobs(path) => {
            let settings = jobs::read_settings(&path).map_err(CliFailure::usage)?;
            match check {
                true => CliOptions::Check(settings.host),
                false => CliOptions::RunJobs(path, Box::new(settings)),
            }
        }
    })
}

fn usage(error: &lexopt::Error) -> CliFailure {
    CliFailure::usage(format!("{error}; see sandshelfd --help"))
}

fn read_settings(path: &PathBuf) -> Result<DaemonSettings, CliFailure> {
    let text = fs::read_to_string(path).map_err(|error| {
        CliFailure::usage(format!("{}: can't be read: {error}", path.display()))
    })?;
    let file = SourceFile::new(&path.display().to_string(), &text);
    parse_settings(&file).map_err(|faults| CliFailure::usage(faults.to_string()))
}
