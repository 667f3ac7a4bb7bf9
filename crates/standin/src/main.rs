//! Runs one stand-in, a caller that sends requests, or the demo of the local system.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use lexopt::prelude::*;
use sandshelf_model::{HallId, RackId, ResourceSize, ServiceId, WorkerId};
use sandshelf_platform::{HostEntry, HostKind, HostState};
use sandshelf_standin::backend::{start_backend, BackendBehaviour};
use sandshelf_standin::platform::start_platform;
use sandshelf_standin::worker::start_worker;

mod caller;
mod demo;

const HELP: &str = "\
standin: stand-ins to try sandshelf locally (development only)

Usage:
  standin platform
  standin worker --platform IP:PORT --name NAME --hall HALL --rack RACK
                 --service NAME --service-ms MS [--cpu-millis N] [--memory-mib N]
  standin caller --entry IP:PORT --path PATH --count N [--body TEXT]
  standin demo [--set DIR]...";

/// The options of a worker stand-in; `replica` is the part of its capacity that its backend server occupies.
#[derive(Clone, Debug)]
struct WorkerOptions {
    platform: SocketAddr,
    name: String,
    hall: String,
    rack: String,
    service: String,
    service_ms: u64,
    capacity: ResourceSize,
    replica: ResourceSize,
}

#[rocket::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("standin: {message}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), String> {
    let mut parser = lexopt::Parser::from_env();
    let command = match parser.next().map_err(error_text)? {
        Some(Value(word)) => word.string().map_err(error_text)?,
        _ => return Err(HELP.to_owned()),
    };
    match command.as_str() {
        "platform" => run_platform().await,
        "worker" => run_worker(parse_worker_options(&mut parser)?).await,
        "caller" => caller::run(&mut parser).await,
        "demo" => demo::run(&parse_sets(&mut parser)?).await,
        _ => Err(HELP.to_owned()),
    }
}

fn error_text(error: lexopt::Error) -> String {
    error.to_string()
}

fn parse_sets(parser: &mut lexopt::Parser) -> Result<Vec<PathBuf>, String> {
    let mut sets = Vec::new();
    while let Some(argument) = parser.next().map_err(error_text)? {
        match argument {
            Long("set") => sets.push(PathBuf::from(parser.value().map_err(error_text)?)),
            other => return Err(error_text(other.unexpected())),
        }
    }
    if sets.is_empty() {
        sets = ["examples/auction", "examples/code-search"]
            .map(PathBuf::from)
            .to_vec();
    }
    Ok(sets)
}

async fn run_platform() -> Result<(), String> {
    let address = start_platform(0).await;
    println!("event=listening address={address}");
    std::future::pending().await
}

fn parse_worker_options(parser: &mut lexopt::Parser) -> Result<WorkerOptions, String> {
    let mut options = WorkerOptions {
        platform: SocketAddr::from(([127, 0, 0, 1], 0)),
        name: "w-1".to_owned(),
        hall: "hall".to_owned(),
        rack: "rack".to_owned(),
        service: "service".to_owned(),
        service_ms: 5,
        capacity: ResourceSize::new(16_000, 60_000, 0),
        replica: ResourceSize::new(4_000, 16_000, 0),
    };
    while let Some(argument) = parser.next().map_err(error_text)? {
        let name = match argument {
            Long(name) => name.to_owned(),
            other => return Err(error_text(other.unexpected())),
        };
        let value = parser.value().map_err(error_text)?;
        let number = || value.parse::<u64>().map_err(error_text);
        match name.as_str() {
            "platform" => options.platform = value.parse().map_err(error_text)?,
            "name" => options.name = value.string().map_err(error_text)?,
            "hall" => options.hall = value.string().map_err(error_text)?,
            "rack" => options.rack = value.string().map_err(error_text)?,
            "service" => options.service = value.string().map_err(error_text)?,
            "service-ms" => options.service_ms = number()?,
            "cpu-millis" => options.capacity.cpu_millis = number()?,
            "memory-mib" => options.capacity.memory_mib = number()?,
            _ => return Err(format!("unknown option --{name}")),
        }
    }
    Ok(options)
}

/// Starts a worker with a backend server on it, and registers both in the platform's host list; runs until the process ends.
async fn run_worker(options: WorkerOptions) -> Result<(), String> {
    let task_capacity = options.capacity.saturating_minus(&options.replica);
    let lease = start_worker(&options.name, task_capacity).await;
    let behaviour = BackendBehaviour {
        service_ms: options.service_ms,
        leaving: false,
    };
    let server = format!("{}-{}", options.service, options.name);
    let backend = start_backend(&server, 8, behaviour).await;
    let kind = HostKind::Worker {
        capacity: task_capacity,
        services: Vec::new(),
    };
    register_host(&options, &options.name, kind, lease).await?;
    let kind = HostKind::Backend {
        service: ServiceId::from(options.service.as_str()),
        worker: WorkerId::from(options.name.as_str()),
    };
    register_host(&options, &server, kind, backend).await?;
    println!("event=listening lease={lease} backend={backend}");
    std::future::pending().await
}

/// Registers a host as live in the platform's host list.
async fn register_host(
    options: &WorkerOptions,
    name: &str,
    kind: HostKind,
    address: SocketAddr,
) -> Result<(), String> {
    let entry = HostEntry {
        name: name.to_owned(),
        kind,
        hall: HallId::from(options.hall.as_str()),
        rack: RackId::from(options.rack.as_str()),
        address,
        state: HostState::Live,
    };
    let url = format!("http://{}/standin/hosts", options.platform);
    let sent = reqwest::Client::new().post(url).json(&entry).send().await;
    let listed = sent.and_then(reqwest::Response::error_for_status);
    listed.map(|_| ()).map_err(|error| error.to_string())
}
