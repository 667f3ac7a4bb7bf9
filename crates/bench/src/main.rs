//! The `sandshelf-bench` command: parses the arguments and prints the measurements.

use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;

use lexopt::prelude::*;
use sandshelf_bench::report::{draw, measure, to_markdown};
use sandshelf_bench::scenario::{OperatorKind, ScenarioKind, POLICIES};
use sandshelf_bench::slopes::{print_costs, print_slopes};
use sandshelf_bench::wire::print_wire;

const HELP: &str = "\
sandshelf-bench: simulations and measurements (development only; build with --release)

Usage:
  sandshelf-bench policy [--seeds N] [--seconds N] [--scenario NAME] [--out DIR]
  sandshelf-bench slopes
  sandshelf-bench costs
  sandshelf-bench wire     (needs cargo build --release --workspace)";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("sandshelf-bench: {message}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let mut parser = lexopt::Parser::from_env();
    let to_message = |error: lexopt::Error| error.to_string();
    let command = match parser.next().map_err(to_message)? {
        Some(Value(name)) => name.string().map_err(to_message)?,
        _ => return Err(HELP.to_owned()),
    };
    match command.as_str() {
        "policy" => run_policy(&mut parser),
        "slopes" => {
            print_slopes();
            Ok(())
        }
        "wire" => print_wire(),
        "costs" => {
            print_costs();
            Ok(())
        }
        _ => Err(HELP.to_owned()),
    }
}

fn run_policy(parser: &mut lexopt::Parser) -> Result<(), String> {
    let to_message = |error: lexopt::Error| error.to_string();
    let mut seeds = 3_u64;
    let mut seconds = 120_u64;
    let mut scenarios = ScenarioKind::ALL.to_vec();
    let mut out: Option<PathBuf> = None;
    while let Some(argument) = parser.next().map_err(to_message)? {
        match argument {
            Long("seeds") => seeds = parser.value().and_then(|v| v.parse()).map_err(to_message)?,
            Long("seconds") => {
                seconds = parser.value().and_then(|v| v.parse()).map_err(to_message)?
            }
            Long("out") => out = Some(parser.value().map_err(to_message)?.into()),
            Long("scenario") => {
                let name = parser
                    .value()
                    .and_then(|v| v.string())
                    .map_err(to_message)?;
                scenarios.retain(|scenario| scenario.label() == name);
            }
            other => return Err(to_message(other.unexpected())),
        }
    }
    let seeds: Vec<u64> = (1..=seeds).collect();
    let rows = measure(
        &OperatorKind::ALL,
        &scenarios,
        &POLICIES,
        &seeds,
        seconds * 1_000,
    );
    let table = to_markdown(&rows);
    println!("{table}");
    if let Some(directory) = out {
        draw(&rows, &directory)?;
        fs::write(directory.join("policy.md"), table).map_err(|error| error.to_string())?;
    }
    Ok(())
}
