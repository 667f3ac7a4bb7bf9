//! The project's daemon as a process, started with the command of the deploy file.

use std::fs::{self, File};
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{mpsc, Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::call;

/// The built program of the deploy file.
const PROGRAM: &str = "target/release/sandshelfd";

/// All daemons that were started, for the watchdog.
static STARTED: Mutex<Vec<Arc<Mutex<Child>>>> = Mutex::new(Vec::new());

/// Ends all daemons and this process after this time, with the exit code of a case that could not run.
pub fn watch(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        for child in STARTED.lock().unwrap().iter() {
            let _ = child.lock().unwrap().kill();
        }
        crate::record::note("the case took too long");
        std::process::exit(2);
    });
}

/// A running daemon; it is killed when dropped.
pub struct Daemon {
    pub name: String,
    child: Arc<Mutex<Child>>,
    pub callers: SocketAddr,
    ready: SocketAddr,
}

impl Daemon {
    /// Starts a daemon with settings as the deploy file's template gives them for a small deployment.
    pub fn start(folder: &Path, name: &str, store: SocketAddr) -> Result<Daemon, String> {
        let settings = format!(
            r#"{{
  "host": "{name}",
  "hall": "north",
  "caller_address": "127.0.0.1:0",
  "ready_address": "127.0.0.1:0",
  "relay_address": "127.0.0.1:0",
  "store_address": "{store}",
  "processor_share": 0.25,
  "link_mbit_per_s": 1000.0,
  "memory_mb": 260,
  "max_descriptors": 4100,
  "worker_orders": "call",
  "max_lease_ms": 6000,
  "grace_s": 6,
  "keep_finished_s": 120,
  "stop_timeout_ms": 900,
  "restore_ms": 250,
  "away_after_ms": 4500,
  "load_policies": ["hedged_calls", "fair_order", "preemption"]
}}"#
        );
        let path: PathBuf = folder.join(format!("{name}.jsonc"));
        fs::write(&path, settings).map_err(|error| error.to_string())?;
        let mut child = Command::new(PROGRAM)
            .args(["--jobs", &path.display().to_string()])
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .map_err(|error| format!("{PROGRAM}: {error}"))?;
        let output = child.stdout.take().expect("piped");
        let child = Arc::new(Mutex::new(child));
        STARTED.lock().unwrap().push(child.clone());
        let log = File::create(folder.join(format!("{name}.log")));
        let mut log = log.map_err(|error| error.to_string())?;
        let (found, started) = mpsc::channel();
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                let _ = writeln!(log, "{line}");
                if line.contains("event=started") {
                    let _ = found.send(line);
                }
            }
        });
        let line = started.recv_timeout(Duration::from_secs(10));
        let Ok(line) = line else {
            let _ = child.lock().unwrap().kill();
            return Err("the daemon didn't start".to_owned());
        };
        let address = |key: &str| {
            let mut words = line.split(' ');
            let value = words.find_map(|word| word.strip_prefix(key)?.strip_prefix('='));
            value.and_then(|value| value.trim_matches('"').parse().ok())
        };
        let (Some(callers), Some(ready)) = (address("caller"), address("ready")) else {
            let _ = child.lock().unwrap().kill();
            return Err(format!("no addresses in: {line}"));
        };
        Ok(Daemon {
            name: name.to_owned(),
            child,
            callers,
            ready,
        })
    }

    /// Waits until the daemon calls itself ready.
    pub fn wait_ready(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            let answer = call(
                self.ready,
                "GET",
                "/readiness",
                "x",
                "",
                Duration::from_secs(1),
            );
            if answer.is_some_and(|(status, _)| status == 200) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(format!("{} isn't ready", self.name))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let mut child = self.child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
    }
}
