//! Serves job queues on the users' platform: every host accepts jobs, and one host at a time gives orders to workers.

mod accept;
mod admission;
mod agent;
mod calls;
mod cancel;
mod endpoints;
mod halls;
mod health;
mod intake;
mod labels;
mod leftovers;
mod load_notes;
mod meters;
mod news;
mod note_reports;
mod notes;
mod owner;
mod pages;
mod queues;
mod records;
mod relays;
mod store_clock;
mod takeover;
mod writer;

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use rand::RngExt;
use sandshelf_adapter::StoreClient;
use sandshelf_config::{parse_job_settings, JobSettings, OrderWay, SourceFile};
use sandshelf_http::{BodyBudget, BodyUse, HttpPort, HttpServer, PortShare, ProcessLimits};
use sandshelf_model::HostId;
use tokio::runtime;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::sleep;

use crate::daemon::{wait_for_signal, DaemonFailure};
use crate::jobs::admission::AdmissionControl;
use crate::jobs::endpoints::{
    answer_job_request, answer_metrics_request, answer_ready_request, report_limit, JobShared,
};
use crate::jobs::halls::HallView;
use crate::jobs::health::StoreHealth;
use crate::jobs::news::OwnerNews;
use crate::jobs::owner::{run_owner, OwnerParts};
use crate::jobs::queues::{follow_operator_rows, QueueView};
use crate::jobs::relays::RelayListener;
use crate::logging::event;
use crate::{clock, logging, meters as process_meters};

/// How long a planned stop goes on accepting connections, in milliseconds. The load balancer sends new connections elsewhere only after two
/// failed health checks, which are one second apart.
const UNREADY_SERVING_MS: u64 = 2_500;
/// How long before the end of the stop's grace period open requests are no longer waited for, in milliseconds.
const CLOSE_BEFORE_END_MS: u64 = 1_500;
/// How often a planned stop checks for open requests.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How often histogram samples are moved into their buckets; until then, each takes up memory.
const METRICS_UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Reads and checks a settings file.
///
/// # Errors
/// A text that names every fault and how to mend it.
pub fn read_settings(path: &Path) -> Result<JobSettings, String> {
    let text = fs::read_to_string(path)
        .map_err(|error| format!("{}: can't be read: {error}", path.display()))?;
    let file = SourceFile::new(&path.display().to_string(), &text);
    parse_job_settings(&file).map_err(|faults| faults.to_string())
}

/// Runs the daemon until a signal stops it.
///
/// # Errors
/// The logger, a thread, a listener or an HTTP client can't be created.
pub fn run(path: PathBuf, settings: JobSettings) -> Result<(), Report<DaemonFailure>> {
    let _logger = logging::start().change_context(DaemonFailure::Logging)?;
    logging::limit_lines(settings.log_lines_per_s);
    clock::now();
    let runtime = runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .thread_name("traffic")
        .enable_all()
        .build()
        .change_context(DaemonFailure::Runtime)?;
    runtime.block_on(serve(path, settings))
}

async fn serve(path: PathBuf, settings: JobSettings) -> Result<(), Report<DaemonFailure>> {
    let number: u64 = rand::rng().random();
    let host = HostId::from(format!("{}.{number:016x}", settings.host));
    let store = StoreClient::new(settings.store_address).change_context(DaemonFailure::Client)?;
    let health = Arc::new(StoreHealth::default());
    let queues = QueueView::default();
    let halls = HallView::default();
    let (news, news_changes) = watch::channel(OwnerNews::default());
    let shared = Arc::new(JobShared {
        store: store.clone(),
        health: health.clone(),
        news: news_changes.clone(),
        queues: queues.clone(),
        admission: AdmissionControl::new(settings.load_policies),
        cancel_marks: cancel::MarkBudget::default(),
        stopping: AtomicBool::new(false),
        open_requests: Default::default(),
    });
    let ports = JobPorts::new(&settings);
    let callers = ports.open("caller", settings.caller_address, PortShare::Callers)?;
    let caller_at = callers.address();
    let caller_shared = shared.clone();
    let caller_stop =
        callers.serve(move |request| answer_job_request(caller_shared.clone(), request));
    let ready = ports.open("ready", settings.ready_address, PortShare::Support)?;
    let ready_at = ready.address();
    let ready_shared = shared.clone();
    ready.serve(move |request| answer_ready_request(ready_shared.clone(), request));
    let metrics_at = open_metrics(&ports, settings.metrics_address);
    let metrics_at = metrics_at.map_or("none".to_owned(), |address| address.to_string());
    let relay_limits = ports.limits.port(PortShare::Hosts);
    let relays = settings.relay_address;
    let relays = relays.map(|address| RelayListener::open(address, relay_limits));
    let relays_at = relays.as_ref().map(RelayListener::address);
    let relays_text = relays_at.map_or("none".to_owned(), |address| address.to_string());
    event(
        "started",
        &[
            ("host", &host),
            ("hall", &settings.hall),
            ("caller", &caller_at),
            ("ready", &ready_at),
            ("metrics", &metrics_at),
            ("relays", &relays_text),
            ("store", &settings.store_address),
        ],
    );
    if let OrderWay::Other(way) = &settings.worker_orders {
        event(
            "orders_unknown",
            &[("way", way), ("outcome", &"no task is started")],
        );
    }
    tokio::spawn(follow_operator_rows(
        store.clone(),
        queues.clone(),
        halls.clone(),
        health.clone(),
        news_changes,
    ));
    tokio::spawn(watch_settings(path, settings.clone()));
    let (stop, stop_in) = mpsc::channel(1);
    let (stopped, owner_stopped) = oneshot::channel();
    start_owner(OwnerParts {
        host: host.clone(),
        settings: JobSettings {
            relay_address: relays_at,
            ..settings.clone()
        },
        relays,
        store,
        queues,
        halls,
        health,
        news,
        stop: stop_in,
        stopped,
    })?;
    wait_for_signal().await;
    event("stopping", &[("host", &host), ("cause", &"signal")]);
    shared.stopping.store(true, Ordering::Relaxed);
    let _ = stop.send(()).await;
    sleep(Duration::from_millis(UNREADY_SERVING_MS)).await;
    let remaining_ms = settings
        .grace_ms
        .saturating_sub(UNREADY_SERVING_MS + CLOSE_BEFORE_END_MS);
    let deadline = clock::now() + remaining_ms;
    caller_stop.begin();
    while shared.open_requests.load(Ordering::Relaxed) > 0 && clock::now() < deadline {
        sleep(STOP_POLL_INTERVAL).await;
    }
    sleep(STOP_POLL_INTERVAL).await;
    let _ = tokio::time::timeout(clock::until(deadline), owner_stopped).await;
    event("stopped", &[("host", &host)]);
    Ok(())
}

/// What the ports of the HTTP endpoints have in common.
struct JobPorts {
    limits: ProcessLimits,
    bodies: BodyBudget,
}

impl JobPorts {
    fn new(settings: &JobSettings) -> Self {
        let limits = ProcessLimits {
            memory_bytes: settings.memory_mib << 20,
            max_descriptors: settings.max_descriptors,
        };
        Self {
            bodies: BodyBudget::new(limits.body_bytes(BodyUse::Submissions)),
            limits,
        }
    }

    fn open(
        &self,
        name: &'static str,
        address: SocketAddr,
        share: PortShare,
    ) -> Result<HttpServer, Report<DaemonFailure>> {
        let port = HttpPort {
            name,
            address,
            limits: self.limits.port(share),
            bodies: self.bodies.clone(),
            report: report_limit,
        };
        HttpServer::bind(port).change_context(DaemonFailure::Listen)
    }
}

/// Installs the metrics recorder, and serves the metrics if the settings name an address; returns the bound address.
///
/// A failure is only logged: jobs are served also without metrics.
fn open_metrics(ports: &JobPorts, address: Option<SocketAddr>) -> Option<SocketAddr> {
    let Some(handle) = process_meters::install() else {
        event(
            "metrics_failed",
            &[("cause", &"the recorder can't be installed")],
        );
        return None;
    };
    let upkeep = handle.clone();
    tokio::spawn(async move {
        loop {
            sleep(METRICS_UPKEEP_INTERVAL).await;
            upkeep.run_upkeep();
        }
    });
    match ports.open("metrics", address?, PortShare::Support) {
        Ok(server) => {
            let bound = server.address();
            server.serve(move |request| answer_metrics_request(handle.clone(), request));
            Some(bound)
        }
        Err(_) => {
            event("metrics_failed", &[("cause", &"the address can't be had")]);
            None
        }
    }
}

/// Starts the control thread, which alone has all control state.
fn start_owner(parts: OwnerParts) -> Result<(), Report<DaemonFailure>> {
    let run = move || {
        let runtime = runtime::Builder::new_current_thread().enable_all().build();
        match runtime {
            Ok(runtime) => {
                let tasks = tokio::task::LocalSet::new();
                runtime.block_on(tasks.run_until(run_owner(parts)));
            }
            Err(error) => event("control_failed", &[("error", &error)]),
        }
    };
    let thread = thread::Builder::new().name("control".to_owned()).spawn(run);
    thread.change_context(DaemonFailure::Runtime)?;
    Ok(())
}

/// How often the settings file is checked for changes, in milliseconds.
const SETTINGS_CHECK_INTERVAL_MS: u64 = 1_000;

/// Checks the settings file for changes, at once after SIGHUP and periodically without one.
///
/// Only the limit of log lines takes effect at once, all other settings at the next start. A file with faults changes nothing.
async fn watch_settings(path: PathBuf, mut current: JobSettings) {
    use tokio::signal::unix::{signal, SignalKind};
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            event("signal_failed", &[("error", &error)]);
            return;
        }
    };
    let mut refused = None;
    loop {
        let asked = tokio::select! {
            _ = hangup.recv() => true,
            () = sleep(Duration::from_millis(SETTINGS_CHECK_INTERVAL_MS)) => false,
        };
        match read_settings(&path) {
            Ok(settings) => {
                let changed = settings != current;
                if changed || asked {
                    event("settings_read", &[("changed", &changed), ("asked", &asked)]);
                }
                logging::limit_lines(settings.log_lines_per_s);
                current = settings;
                refused = None;
            }
            Err(faults) => {
                if refused.as_ref() != Some(&faults) {
                    event("settings_refused", &[("faults", &faults)]);
                }
                refused = Some(faults);
            }
        }
    }
}
