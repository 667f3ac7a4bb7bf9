//! Parses the command line into checked options and runs the command.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use lexopt::prelude::*;
use sandshelf_model::Revision;
use sandshelf_platform::PlatformClient;

use crate::apply::{self, ApplyOptions};
use crate::ask;
use crate::failure::{CommandFailure, FailureKind};
use crate::files;
use crate::show;
use crate::trace;

/// The environment variable with the platform's address, used without `--platform`.
const PLATFORM_VARIABLE: &str = "SANDSHELF_PLATFORM";
/// The timeout of one call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

const HELP: &str = "\
sandshelf: the command-line tool for operators of sandshelf

Usage: sandshelf [--platform IP:PORT] [--json] COMMAND

Commands:
  check PATH...      check files or directories and report every fault; needs no platform
  diff DIR           show the differences between the set in force and the set in DIR
  apply DIR          put the set in DIR in force, completely or not at all
  show               show the revision in force, entry hosts, shards, workers, jobs and requests
  explain SUBJECT    show the recorded reasons for a task (JOB/INDEX), a job or a class of requests
  cancel JOB...      remove jobs from the set in force; their running tasks are stopped
  drain NAME...      drain workers or entry hosts
  watch              repeat show at an interval
  trace ID FILE...   print the history of a job, task or worker from the hosts' logs; needs no platform

Options:
      --platform IP:PORT  the platform's service (default: from SANDSHELF_PLATFORM)
      --expect REVISION   apply: only if this revision is in force
      --wait SECONDS      apply, cancel: wait up to this long until every entry host has the change in force
      --every SECONDS     watch: the interval (default 2)
      --count TIMES       watch: the number of repetitions (default: until stopped)
      --json              print JSON
  -h, --help              show this text
  -V, --version           show the version

Exit codes: 0 success, 1 something can't be reached or read, 2 invalid command line, 3 faults in files,
4 another operator's change came first, 5 unknown whether the change was accepted, 6 not found.";

/// The command with its arguments.
#[derive(Clone, Debug)]
enum Command {
    Check(Vec<PathBuf>),
    Diff(PathBuf),
    Apply(PathBuf),
    Show,
    Explain(String),
    Cancel(Vec<String>),
    Drain(Vec<String>),
    Watch,
    Trace(String, Vec<PathBuf>),
}

/// The parsed and checked command line.
#[derive(Clone, Debug)]
struct CommandOptions {
    command: Command,
    platform: Option<SocketAddr>,
    expect: Option<Revision>,
    wait: Option<Duration>,
    /// `watch`: the pause between two repetitions.
    every: Duration,
    /// `watch`: the number of repetitions; none for no limit.
    count: Option<u64>,
    json: bool,
}

/// Parses the command line and runs its command.
pub fn run() -> Result<(), CommandFailure> {
    let Some(options) = read_options()? else {
        return Ok(());
    };
    if let Command::Check(paths) = &options.command {
        return files::check(paths, options.json);
    }
    if let Command::Trace(subject, files) = &options.command {
        return trace::trace(subject, files);
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| CommandFailure::new(FailureKind::Unreachable, error.to_string()))?;
    runtime.block_on(run_with_platform(options))
}

async fn run_with_platform(options: CommandOptions) -> Result<(), CommandFailure> {
    let address = options.platform.ok_or_else(|| {
        let message =
            format!("give the platform's address with --platform IP:PORT or {PLATFORM_VARIABLE}");
        CommandFailure::new(FailureKind::Usage, message)
    })?;
    let platform = PlatformClient::new(address, CALL_TIMEOUT)?;
    let apply_options = ApplyOptions {
        expect: options.expect,
        wait: options.wait,
        json: options.json,
    };
    match &options.command {
        Command::Check(_) | Command::Trace(..) => Ok(()),
        Command::Diff(directory) => apply::diff(&platform, directory, options.json).await,
        Command::Apply(directory) => apply::apply(&platform, directory, &apply_options).await,
        Command::Cancel(jobs) => apply::cancel(&platform, jobs, &apply_options).await,
        Command::Show => show::show(&platform, options.json).await,
        Command::Watch => show::watch(&platform, options.every, options.count, options.json).await,
        Command::Explain(subject) => ask::explain(&platform, subject, options.json).await,
        Command::Drain(names) => ask::drain(&platform, names).await,
    }
}

/// Parses the command line; none if help or the version was printed instead.
fn read_options() -> Result<Option<CommandOptions>, CommandFailure> {
    let mut parser = lexopt::Parser::from_env();
    let mut positional: Vec<String> = Vec::new();
    let mut options = CommandOptions {
        command: Command::Show,
        platform: platform_from_environment()?,
        expect: None,
        wait: None,
        every: Duration::from_secs(2),
        count: None,
        json: false,
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Long("platform") => options.platform = Some(parser.value()?.parse()?),
            Long("expect") => options.expect = Some(parser.value()?.parse()?),
            Long("wait") => options.wait = Some(Duration::from_secs(parser.value()?.parse()?)),
            Long("every") => options.every = Duration::from_secs(parser.value()?.parse()?),
            Long("count") => options.count = Some(parser.value()?.parse()?),
            Long("json") => options.json = true,
            Short('h') | Long("help") => {
                println!("{HELP}");
                return Ok(None);
            }
            Short('V') | Long("version") => {
                println!("sandshelf {}", env!("CARGO_PKG_VERSION"));
                return Ok(None);
            }
            Value(value) => positional.push(value.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    options.command = read_command(&positional)?;
    Ok(Some(options))
}

fn platform_from_environment() -> Result<Option<SocketAddr>, CommandFailure> {
    let Ok(text) = std::env::var(PLATFORM_VARIABLE) else {
        return Ok(None);
    };
    let address = text.parse().map_err(|_| {
        let message = format!("{PLATFORM_VARIABLE} is '{text}', which is not IP:PORT");
        CommandFailure::new(FailureKind::Usage, message)
    })?;
    Ok(Some(address))
}

fn read_command(positional: &[String]) -> Result<Command, CommandFailure> {
    let usage = |message: &str| CommandFailure::new(FailureKind::Usage, message);
    let Some((name, rest)) = positional.split_first() else {
        return Err(usage("no command given; see sandshelf --help"));
    };
    match (name.as_str(), rest) {
        ("check", paths) if !paths.is_empty() => {
            Ok(Command::Check(paths.iter().map(PathBuf::from).collect()))
        }
        ("diff", [directory]) => Ok(Command::Diff(directory.into())),
        ("apply", [directory]) => Ok(Command::Apply(directory.into())),
        ("show", []) => Ok(Command::Show),
        ("watch", []) => Ok(Command::Watch),
        ("explain", [subject]) => Ok(Command::Explain(subject.clone())),
        ("cancel", jobs) if !jobs.is_empty() => Ok(Command::Cancel(jobs.to_vec())),
        ("drain", names) if !names.is_empty() => Ok(Command::Drain(names.to_vec())),
        ("trace", [subject, files @ ..]) if !files.is_empty() => Ok(Command::Trace(
            subject.clone(),
            files.iter().map(PathBuf::from).collect(),
        )),
        (
            "check" | "diff" | "apply" | "explain" | "cancel" | "drain" | "show" | "watch"
            | "trace",
            _,
        ) => Err(usage(&format!(
            "wrong number of arguments for '{name}'; see sandshelf --help"
        ))),
        _ => Err(usage(&format!(
            "there is no command '{name}'; see sandshelf --help"
        ))),
    }
}
