//! Runs one stand-in, or the demo of the whole local system.

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
standin: stand-ins for trying sandshelf out (development only)

Usage:
  standin platform
  standin worker --platform IP:PORT --name NAME --hall HALL --rack RACK
                 --service NAME --service-ms MS [--cpu-millis N] [--memory-mib N]
  standin caller --entry IP:PORT --path PATH --count N [--body TEXT]
  standin demo [--set DIR]...";

/// What a worker stand-in is.
#[derive(Clone, Debug)]
struct WorkerWish {
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
    let command = match parser.next().map_err(text)? {
        Some(Value(word)) => word.string().map_err(text)?,
        _ => return Err(HELP.to_owned()),
    };
    match command.as_str() {
        "platform" => run_platform().await,
        "worker" => run_worker(read_worker(&mut parser)?).await,
        "caller" => caller::run(&mut parser).await,
        "demo" => demo::run(&read_sets(&mut parser)?).await,
        _ => Err(HELP.to_owned()),
    }
}

fn text(error: lexopt::Error) -> String {
    error.to_string()
}

fn read_sets(parser: &mut lexopt::Parser) -> Result<Vec<PathBuf>, String> {
    let mut sets = Vec::new();
    while let Some(argument) = parser.next().map_err(text)? {
        match argument {
            Long("set") => sets.push(PathBuf::from(parser.value().map_err(text)?)),
            other => return Err(text(other.unexpected())),
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

fn read_worker(parser: &mut lexopt::Parser) -> Result<WorkerWish, String> {
    let mut wish = WorkerWish {
        platform: SocketAddr::from(([127, 0, 0, 1], 0)),
        name: "w-1".to_owned(),
        hall: "hall".to_owned(),
        rack: "rack".to_owned(),
        service: "service".to_owned(),
        service_ms: 5,
        capacity: ResourceSize::new(16_000, 60_000, 0),
        replica: ResourceSize::new(4_000, 16_000, 0),
    };
    while let Some(argument) = parser.next().map_err(text)? {
        let name = match argument {
            Long(name) => name.to_owned(),
            other => return Err(text(other.unexpected())),
        };
        let value = parser.value().map_err(text)?;
        let number = || value.parse::<u64>().map_err(text);
        match name.as_str() {
            "platform" => wish.platform = value.parse().map_err(text)?,
            "name" => wish.name = value.string().map_err(text)?,
            "hall" => wish.hall = value.string().map_err(text)?,
            "rack" => wish.rack = value.string().map_err(text)?,
            "service" => wish.service = value.string().map_err(text)?,
            "service-ms" => wish.service_ms = number()?,
            "cpu-millis" => wish.capacity.cpu_millis = number()?,
            "memory-mib" => wish.capacity.memory_mib = number()?,
            _ => return Err(format!("unknown option --{name}")),
        }
    }
    Ok(wish)
}

/// Starts a worker with a backend server on it, and has the platform list both.
async fn run_worker(wish: WorkerWish) -> Result<(), String> {
    let room = wish.capacity.saturating_minus(&wish.replica);
    let lease = start_worker(&wish.name, room).await;
    let behaviour = BackendBehaviour {
        service_ms: wish.service_ms,
        leaving: false,
    };
    let server = format!("{}-{}", wish.service, wish.name);
    let backend = start_backend(&server, 8, behaviour).await;
    let kind = HostKind::Worker {
        capacity: room,
        services: Vec::new(),
    };
    list_host(&wish, &wish.name, kind, lease).await?;
    let kind = HostKind::Backend {
        service: ServiceId::from(wish.service.as_str()),
        worker: WorkerId::from(wish.name.as_str()),
    };
    list_host(&wish, &server, kind, backend).await?;
    println!("event=listening lease={lease} backend={backend}");
    std::future::pending().await
}

async fn list_host(
    wish: &WorkerWish,
    name: &str,
    kind: HostKind,
    address: SocketAddr,
) -> Result<(), String> {
    let entry = HostEntry {
        name: name.to_owned(),
        kind,
        hall: HallId::from(wish.hall.as_str()),
        rack: RackId::from(wish.rack.as_str()),
        address,
        state: HostState::Live,
    };
    let url = format!("http://{}/standin/hosts", wish.platform);
    let sent = reqwest::Client::new().post(url).json(&entry).send().await;
    let listed = sent.and_then(reqwest::Response::error_for_status);
    listed.map(|_| ()).map_err(|error| error.to_string())
}
