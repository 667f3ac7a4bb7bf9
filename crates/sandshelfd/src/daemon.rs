//! Starts the daemon's threads and endpoints, and shuts them down gracefully.

use std::collections::HashMap;
use std::fmt;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, RwLock};
use std::thread;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use rand::RngExt;
use sandshelf_config::DaemonSettings;
use sandshelf_http::{
    listen, BodyBudget, BodyUse, HostGate, HttpPort, HttpServer, LimitHit, PortShare,
    ProcessLimits, ServerStop,
};
use sandshelf_model::HostId;
use sandshelf_peer::PeerPort;
use sandshelf_platform::{EntryRow, PlatformClient};
use sandshelf_route::{RouteCore, RouteLimits};
use tokio::runtime;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

use crate::control::{run_control, ControlParts};
use crate::logging::event;
use crate::operator::{answer_operator, OperatorShared};
use crate::router::HostRouter;
use crate::status::HostStatus;
use crate::traffic::{answer_caller, LatencySample, TrafficShared, TrafficView};
use crate::{backend, clock, logging, meters};

/// The timeout of a call to the platform.
const PLATFORM_CALL_TIMEOUT: Duration = Duration::from_millis(2_000);
/// The maximum number of latency samples queued for the control thread; further samples are dropped.
const LATENCY_CHANNEL_CAPACITY: usize = 4_096;
/// The maximum number of explain requests queued for the control thread.
const QUESTION_CHANNEL_CAPACITY: usize = 64;
/// The interval at which a graceful shutdown checks whether requests are still in flight.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The reason why the daemon can't start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DaemonFailure {
    /// Logging can't be started.
    Logging,
    /// A thread or a runtime can't be started.
    Runtime,
    /// An address from the settings can't be bound.
    Listen,
    /// An HTTP client can't be created.
    Client,
}

impl fmt::Display for DaemonFailure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            DaemonFailure::Logging => "the logger can't be started",
            DaemonFailure::Runtime => "a thread can't be started",
            DaemonFailure::Listen => "an address from the settings can't be bound",
            DaemonFailure::Client => "an HTTP client can't be created",
        })
    }
}

impl std::error::Error for DaemonFailure {}

/// Runs the daemon until a graceful shutdown is complete.
pub fn run(settings: DaemonSettings) -> Result<(), Report<DaemonFailure>> {
    let _logger = logging::start().change_context(DaemonFailure::Logging)?;
    clock::now();
    let runtime = runtime::Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .change_context(DaemonFailure::Runtime)?;
    runtime.block_on(run_endpoints(settings))
}

/// The name of this incarnation of the daemon: the host's name and a random 64-bit number that tells it from earlier ones.
fn incarnation(settings: &DaemonSettings) -> HostId {
    let number: u64 = rand::rng().random();
    HostId::from(format!("{}.{number:016x}", settings.host))
}

async fn run_endpoints(settings: DaemonSettings) -> Result<(), Report<DaemonFailure>> {
    let host = incarnation(&settings);
    let platform = PlatformClient::new(settings.platform_address, PLATFORM_CALL_TIMEOUT)
        .change_context(DaemonFailure::Client)?;
    let (latencies, latency_receiver) = mpsc::channel(LATENCY_CHANNEL_CAPACITY);
    let (questions, question_receiver) = mpsc::channel(QUESTION_CHANNEL_CAPACITY);
    let traffic = make_traffic(&settings, &host, &platform, latencies)?;
    let operator = Arc::new(OperatorShared {
        status: RwLock::new(Arc::new(HostStatus::default())),
        questions,
        metrics: meters::install(),
    });
    let endpoints = open_endpoints(&settings, &host, &traffic, &operator).await?;
    let (stop, stop_receiver) = mpsc::channel(1);
    let (stopping, control_stopping) = mpsc::channel(1);
    let (stopped, control_stopped) = oneshot::channel();
    let drain = Duration::from_millis(settings.limits.drain_ms);
    start_control(ControlParts {
        settings,
        entry: endpoints.entry,
        platform,
        traffic: traffic.clone(),
        operator,
        peers: endpoints.peers,
        latencies: latency_receiver,
        questions: question_receiver,
        stop: stop_receiver,
        stopping,
        stopped,
    })?;
    wait_and_stop(StopHandles {
        traffic,
        stop,
        control_stopping,
        control_stopped,
        caller_stop: endpoints.caller_stop,
        drain,
    })
    .await;
    event("stopped", &[("host", &host)]);
    Ok(())
}

/// Creates the state shared by the traffic threads.
fn make_traffic(
    settings: &DaemonSettings,
    host: &HostId,
    platform: &PlatformClient,
    latencies: mpsc::Sender<LatencySample>,
) -> Result<Arc<TrafficShared>, Report<DaemonFailure>> {
    Ok(Arc::new(TrafficShared {
        router: HostRouter::new(route_core(settings, host)),
        view: RwLock::new(Arc::new(TrafficView {
            set: None,
            servers: HashMap::new(),
        })),
        client: backend::make_client().change_context(DaemonFailure::Client)?,
        platform: platform.clone(),
        latencies,
        max_body_bytes: settings.max_body_bytes,
        bodies: BodyBudget::new(process_limits(settings).body_bytes(BodyUse::Traffic)),
        body_timeout_ms: settings.limits.body_timeout_ms,
        host: host.clone(),
        closing: AtomicBool::new(false),
    }))
}

/// The endpoints that are listening.
struct OpenEndpoints {
    entry: EntryRow,
    peers: PeerPort,
    caller_stop: ServerStop,
}

/// Opens the caller, operator and peer endpoints and logs the address of each.
async fn open_endpoints(
    settings: &DaemonSettings,
    host: &HostId,
    traffic: &Arc<TrafficShared>,
    operator: &Arc<OperatorShared>,
) -> Result<OpenEndpoints, Report<DaemonFailure>> {
    let limits = process_limits(settings);
    let open = |name, address, share| {
        HttpServer::bind(HttpPort {
            name,
            address,
            limits: limits.port(share),
            bodies: traffic.bodies.clone(),
            report: report_limit,
        })
        .change_context(DaemonFailure::Listen)
    };
    let callers = open("caller", settings.caller_address, PortShare::Callers)?;
    let caller = callers.address();
    let traffic = traffic.clone();
    let caller_stop = callers.serve(move |request| answer_caller(traffic.clone(), request));
    let operators = open("operator", settings.operator_address, PortShare::Support)?;
    let operator_at = operators.address();
    let shared = operator.clone();
    operators.serve(move |request| answer_operator(shared.clone(), request));
    let peer_limits = limits.port(PortShare::Hosts);
    let listener =
        listen(settings.peer_address, &peer_limits).change_context(DaemonFailure::Listen)?;
    let peer = listener
        .local_addr()
        .change_context(DaemonFailure::Listen)?;
    event(
        "started",
        &[
            ("host", host),
            ("hall", &settings.hall),
            ("caller", &caller),
            ("operator", &operator_at),
            ("peer", &peer),
        ],
    );
    let entry = EntryRow {
        host: host.clone(),
        name: settings.host.to_string(),
        hall: settings.hall.clone(),
        caller,
        operator: operator_at,
        peer,
    };
    Ok(OpenEndpoints {
        entry,
        peers: PeerPort {
            listener,
            gate: HostGate::new("peer", &peer_limits, report_limit),
        },
        caller_stop,
    })
}

fn route_core(settings: &DaemonSettings, host: &HostId) -> RouteCore {
    let limits = RouteLimits {
        queue: settings.queue_limit,
        ..RouteLimits::default()
    };
    let seed = rand::rng().random();
    RouteCore::new(host.clone(), settings.hall.clone(), limits, seed)
}

fn process_limits(settings: &DaemonSettings) -> ProcessLimits {
    ProcessLimits {
        memory_bytes: settings.memory_mib << 20,
        max_descriptors: settings.max_descriptors,
    }
}

/// Logs and counts a limit of the server that took effect on a port.
fn report_limit(port: &'static str, hit: LimitHit) {
    meters::note_limit(port, hit);
    event("limit_hit", &[("port", &port), ("limit", &hit.name())]);
}

/// Starts the control thread, which owns all control state.
fn start_control(parts: ControlParts) -> Result<(), Report<DaemonFailure>> {
    let run = move || {
        let runtime = runtime::Builder::new_current_thread().enable_all().build();
        match runtime {
            Ok(runtime) => runtime.block_on(run_control(parts)),
            Err(error) => event("control_failed", &[("error", &error)]),
        }
    };
    let thread = thread::Builder::new().name("control".to_owned()).spawn(run);
    thread.change_context(DaemonFailure::Runtime)?;
    Ok(())
}

struct StopHandles {
    traffic: Arc<TrafficShared>,
    stop: mpsc::Sender<()>,
    control_stopping: mpsc::Receiver<()>,
    control_stopped: oneshot::Receiver<()>,
    caller_stop: ServerStop,
    drain: Duration,
}

/// Waits for a signal, an operator's drain or the end of the control thread, then shuts down in order: readiness
/// withdrawn, shards released, requests in flight finished, connections closed.
async fn wait_and_stop(mut handles: StopHandles) {
    tokio::select! {
        () = wait_for_signal() => event("stopping", &[("cause", &"signal")]),
        Some(()) = handles.control_stopping.recv() => event("stopping", &[("cause", &"drain")]),
        _ = &mut handles.control_stopped => {
            event("stopping", &[("cause", &"control")]);
            finish_traffic(&handles).await;
            return;
        }
    }
    let _ = handles.stop.send(()).await;
    sleep(handles.drain).await;
    finish_traffic(&handles).await;
    let _ = handles.control_stopped.await;
}

async fn finish_traffic(handles: &StopHandles) {
    handles.caller_stop.begin();
    while handles.traffic.router.open_requests() > 0 {
        sleep(STOP_CHECK_INTERVAL).await;
    }
    // The last answers may still be in transit; their connections close by themselves.
    sleep(STOP_CHECK_INTERVAL * 5).await;
}

pub(crate) async fn wait_for_signal() {
    use tokio::signal::unix::{signal, SignalKind};
    let terminate = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    match (terminate, interrupt) {
        (Ok(mut terminate), Ok(mut interrupt)) => {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
        }
        _ => std::future::pending().await,
    }
}
