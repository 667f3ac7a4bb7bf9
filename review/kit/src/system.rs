//! The project's daemons as separate processes, with settings like those of a small deployment.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::http::{call, Answer};
use crate::record::{note, now_ms};

/// The ports that are tried: below those that the system gives to outgoing connections, which could take a free port meanwhile.
const FIRST_PORT: u32 = 20_000;
const PORT_COUNT: u32 = 12_000;
static PORTS_TRIED: AtomicU32 = AtomicU32::new(0);

/// A free loopback address.
pub fn free_address() -> SocketAddr {
    let first = std::process::id().wrapping_mul(131) % PORT_COUNT;
    loop {
        let tried = PORTS_TRIED.fetch_add(1, Ordering::SeqCst);
        assert!(tried < PORT_COUNT, "no port is free");
        let port = FIRST_PORT + (first + tried) % PORT_COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// The bounds of a site that stand in the settings.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// `max_hold_ms`.
    pub max_hold_ms: u64,
    /// `restore_ms`.
    pub restore_ms: u64,
    /// `notice_ms`.
    pub notice_ms: u64,
}

/// The bounds of gtas-sandshelf.
pub const GTAS: Bounds = Bounds {
    max_hold_ms: 6_000,
    restore_ms: 250,
    notice_ms: 4_500,
};

/// The bounds of kodklask-sandshelf.
pub const KODKLASK: Bounds = Bounds {
    max_hold_ms: 10_000,
    restore_ms: 600,
    notice_ms: 4_500,
};

/// A directory for settings and logs, removed at the end.
pub struct Scratch(pub PathBuf);

impl Scratch {
    pub fn new(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("sandshelf-review-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// A running daemon.
pub struct Daemon {
    pub name: String,
    pub caller: SocketAddr,
    ready: SocketAddr,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Daemon {
    /// Starts a daemon with the command of the deploy file. The settings are those of its template, as the platform fills it in.
    pub fn start(
        root: &Path,
        scratch: &Scratch,
        name: &str,
        hall: &str,
        store: SocketAddr,
        bounds: Bounds,
    ) -> Self {
        let Bounds {
            max_hold_ms,
            restore_ms,
            notice_ms,
        } = bounds;
        let (caller, ready) = (free_address(), free_address());
        let (metrics, relay) = (free_address(), free_address());
        let settings = format!(
            r#"{{
  "host": "{name}",
  "hall": "{hall}",
  "caller_address": "{caller}",
  "ready_address": "{ready}",
  "metrics_address": "{metrics}",
  "relay_address": "{relay}",
  "store_address": "{store}",
  "processor_share": 0.25,
  "link_mbit_per_s": 1000.0,
  "worker_orders": "call",
  "max_lease_ms": {max_hold_ms},
  "grace_s": 6,
  "keep_finished_s": 120,
  "stop_timeout_ms": 900,
  "restore_ms": {restore_ms},
  "away_after_ms": {notice_ms},
  "load_policies": ["hedged_calls", "fair_order", "preemption"]
}}"#
        );
        let path = scratch.0.join(format!("{name}.jsonc"));
        fs::write(&path, settings).expect("settings can be written");
        let program = root.join("target/release/sandshelfd");
        let log = scratch.0.join(format!("{name}.log"));
        let child = spawn(&program, &path, &log);
        note(format!("{name} started"));
        Self {
            name: name.to_owned(),
            caller,
            ready,
            program,
            settings: path,
            log,
            child,
        }
    }

    /// Stops the process as planned: SIGTERM, and SIGKILL after the grace period of six seconds.
    pub fn terminate(&mut self) {
        note(format!("{} gets SIGTERM", self.name));
        self.signal("TERM");
        for _ in 0..600 {
            if let Ok(Some(_)) = self.child.try_wait() {
                note(format!("{} has ended", self.name));
                forget(self.child.id());
                return;
            }
            thread::sleep(Duration::from_millis(10));
        }
        note(format!("{} gets SIGKILL after its grace period", self.name));
        self.kill();
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        forget(self.child.id());
    }

    /// Starts the process again after it has ended, with the same settings.
    pub fn start_again(&mut self) {
        note(format!("{} started again", self.name));
        self.child = spawn(&self.program, &self.settings, &self.log);
    }

    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let _ = Command::new("sh")
            .args(["-c", &format!("kill -{name} {pid}")])
            .status();
    }

    /// Whether it has given orders to executors, by its log: only for choosing the host that a disruption strikes first.
    pub fn has_owned(&self) -> bool {
        fs::read_to_string(&self.log).is_ok_and(|log| log.contains("event=shard_owned"))
    }

    /// Whether it gives orders to executors now, by its log: only for choosing the host that a disruption strikes.
    pub fn owns(&self) -> bool {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let owned = log.rfind("event=shard_owned");
        let lost = log.rfind("event=shard_lost");
        owned.is_some() && owned > lost
    }

    /// Whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        let answer = call(
            self.ready,
            "GET",
            "/readiness",
            "ready",
            "",
            Duration::from_millis(500),
        );
        answer.is_some_and(|answer| answer.status == 200)
    }

    /// Calls it as a client does.
    pub fn ask(&self, method: &str, path: &str, host: &str, body: &str) -> Option<Answer> {
        let sent = now_ms();
        let answer = call(
            self.caller,
            method,
            path,
            host,
            body,
            Duration::from_millis(3_000),
        );
        let shown = answer.as_ref().map_or("no answer".to_owned(), |answer| {
            format!("{} {}", answer.status, answer.body)
        });
        crate::record::note_at(
            sent,
            format!("client {method} {path} at {}: {shown}", self.name),
        );
        answer
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(program: &Path, settings: &Path, log: &Path) -> Child {
    let log = fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(log)
        .expect("a log");
    let errors = log.try_clone().expect("a log");
    let child = Command::new(program)
        .arg("--jobs")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .expect("the daemon starts; was it built?");
    RUNNING.lock().unwrap().push(child.id());
    child
}

/// The longest time that a case may take.
const MAX_CASE: Duration = Duration::from_secs(110);

/// Runs a case and ends the process with its result: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. The arguments
/// are the project's root and the folder of the case; `TROUBLE=0` leaves the disruption out.
pub fn run_case(case: fn(&Path, bool) -> i32) -> ! {
    let mut arguments = std::env::args().skip(1).map(PathBuf::from);
    let (Some(root), Some(folder)) = (arguments.next(), arguments.next()) else {
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = folder.join("record.txt");
    let late_record = record.clone();
    thread::spawn(move || {
        thread::sleep(MAX_CASE);
        note("the case took too long");
        crate::record::write(&late_record);
        kill_all();
        std::process::exit(2);
    });
    let code = std::panic::catch_unwind(|| case(&root, trouble)).unwrap_or(2);
    kill_all();
    note(format!("exit code {code}"));
    crate::record::write(&record);
    std::process::exit(code);
}

/// The ids of the running daemons.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills the daemons that are still running.
fn kill_all() {
    for pid in RUNNING.lock().unwrap().drain(..) {
        let _ = Command::new("sh")
            .args(["-c", &format!("kill -KILL {pid}")])
            .status();
    }
}

fn forget(pid: u32) {
    RUNNING.lock().unwrap().retain(|known| *known != pid);
}

/// Waits until all daemons are ready; returns false if they are not in time.
pub fn wait_ready(daemons: &[Daemon]) -> bool {
    for _ in 0..300 {
        if daemons.iter().all(Daemon::is_ready) {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// Writes the operator's first configuration: one queue.
pub fn configuration(host: &str, prefix: &str, service: &str) -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-73hh2b9","hostname":"{host}","path_prefix":"{prefix}","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":1000,"priority":0,"service":"{service}","max_attempts":4,"stretch":2.0}}],"services":[{{"name":"{service}","health_path":"/health","max_connections":64,"protocol":"h1","tls":false,"rejects_overload":true,"headroom":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}
