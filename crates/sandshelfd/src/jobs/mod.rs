//! Serves job queues on the users' platform: any host takes jobs in, and one of them at a time gives orders to workers.

mod accept;
mod agent;
mod calls;
mod endpoints;
mod halls;
mod health;
mod intake;
mod meters;
mod notes;
mod owner;
mod pages;
mod queues;
mod records;
mod relays;
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
use sandshelf_model::HostId;
use tokio::runtime;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

use crate::daemon::{launch, quiet_rocket, wait_for_signal, DaemonFailure};
use crate::jobs::endpoints::{job_routes, metrics_routes, ready_routes, JobShared};
use crate::jobs::halls::HallView;
use crate::jobs::health::StoreHealth;
use crate::jobs::owner::{run_owner, OwnerParts};
use crate::jobs::queues::{watch_operators, QueueView};
use crate::jobs::relays::RelayListener;
use crate::logging::event;
use crate::{clock, logging, meters as process_meters};

/// How long a planned stop goes on serving at least: the balancer needs two missed questions, a second apart, to turn
/// new connections elsewhere.
const UNREADY_MS: u64 = 2_500;
/// How long before the end of the grace the last connections are closed, in milliseconds.
const CLOSE_BEFORE_END_MS: u64 = 1_500;
/// How often a planned stop looks whether requests are still under way.
const STOP_LOOK: Duration = Duration::from_millis(50);

/// How often samples of histograms are put into their buckets: between two readings they take up memory.
const METRICS_UPKEEP: Duration = Duration::from_secs(5);

/// Reads and checks a settings file.
///
/// # Errors
/// A text that names every fault and the way out.
pub fn read_settings(path: &Path) -> Result<JobSettings, String> {
    let text = fs::read_to_string(path)
        .map_err(|error| format!("{}: can't be read: {error}", path.display()))?;
    let file = SourceFile::new(&path.display().to_string(), &text);
    parse_job_settings(&file).map_err(|faults| faults.to_string())
}

/// Runs the daemon until it is told to stop.
///
/// # Errors
/// The logger, a thread, an address or an HTTP client can't be had.
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
    let shared = Arc::new(JobShared {
        store: store.clone(),
        health: health.clone(),
        queues: queues.clone(),
        stopping: AtomicBool::new(false),
        open_requests: Default::default(),
    });
    let caller = quiet_rocket(settings.caller_address).mount("/", job_routes(&shared));
    let (caller_at, caller_stop) = launch(caller).await?;
    let ready = quiet_rocket(settings.ready_address).mount("/", ready_routes(&shared));
    let (ready_at, _) = launch(ready).await?;
    let metrics_at = open_metrics(settings.metrics_address).await;
    let metrics_at = metrics_at.map_or("none".to_owned(), |address| address.to_string());
    let relays = settings.relay_address.map(RelayListener::open);
    let relays_at = relays.as_ref().map(RelayListener::address);
    let relays_told = relays_at.map_or("none".to_owned(), |address| address.to_string());
    event(
        "started",
        &[
            ("host", &host),
            ("hall", &settings.hall),
            ("caller", &caller_at),
            ("ready", &ready_at),
            ("metrics", &metrics_at),
            ("relays", &relays_told),
            ("store", &settings.store_address),
        ],
    );
    if let OrderWay::Other(way) = &settings.worker_orders {
        event(
            "orders_unknown",
            &[("way", way), ("outcome", &"no task is started")],
        );
    }
    tokio::spawn(watch_operators(
        store.clone(),
        queues.clone(),
        halls.clone(),
        health.clone(),
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
        stop: stop_in,
        stopped,
    })?;
    wait_for_signal().await;
    event("stopping", &[("host", &host), ("cause", &"signal")]);
    shared.stopping.store(true, Ordering::Relaxed);
    let _ = stop.send(()).await;
    sleep(Duration::from_millis(UNREADY_MS)).await;
    let left = settings
        .grace_ms
        .saturating_sub(UNREADY_MS + CLOSE_BEFORE_END_MS);
    let last = clock::now() + left;
    caller_stop.notify();
    while shared.open_requests.load(Ordering::Relaxed) > 0 && clock::now() < last {
        sleep(STOP_LOOK).await;
    }
    sleep(STOP_LOOK).await;
    let _ = tokio::time::timeout(clock::until(last), owner_stopped).await;
    event("stopped", &[("host", &host)]);
    Ok(())
}

/// Installs the metrics, and serves them where the settings name an address; returns where that is.
///
/// Jobs are served also where metrics can't be.
async fn open_metrics(address: Option<SocketAddr>) -> Option<SocketAddr> {
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
            sleep(METRICS_UPKEEP).await;
            upkeep.run_upkeep();
        }
    });
    let address = address?;
    let face = quiet_rocket(address).mount("/", metrics_routes());
    match launch(face.manage(handle)).await {
        Ok((bound, _)) => Some(bound),
        Err(_) => {
            event("metrics_failed", &[("cause", &"the address can't be had")]);
            None
        }
    }
}

/// Starts the one thread that holds all control state.
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

/// How often the settings file is compared with what is in force, in milliseconds.
const SETTINGS_LOOK_MS: u64 = 1_000;

/// Looks for changes of the settings file, at once after SIGHUP and from time to time without one.
///
/// Addresses and limits take effect at the next start; a file with faults leaves the old settings in force.
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
            () = sleep(Duration::from_millis(SETTINGS_LOOK_MS)) => false,
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
