//! Starts the daemons and stand-ins as processes, for the demo and for failure tests.
//!
//! Each process is killed when its value is dropped. Callers wait for conditions, which are polled; nothing sleeps for a
//! fixed time.

use std::collections::HashMap;
use std::fs;
use std::future::Future;
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::crowd::ProcessBounds;

/// The longest wait for a condition before the test fails; far above what any condition takes.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);
/// The most log lines of a process, the last ones, that are printed when a test fails.
const MAX_SHOWN_LINES: usize = 40;
/// The interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Returns the path of a program of this workspace, in the same build directory as the running program.
///
/// # Panics
/// The workspace was not built.
pub fn program(name: &str) -> PathBuf {
    let mut directory = std::env::current_exe().expect("a running program has a path");
    directory.pop();
    if directory.ends_with("deps") {
        directory.pop();
    }
    let path = directory.join(name);
    assert!(
        path.exists(),
        "{} does not exist: run cargo build --workspace first",
        path.display()
    );
    path
}

/// Writes a daemon's settings file with the optional fields `limits`, and without them if the daemon knows no such fields. `option` is
/// the option that takes the file, and `settings` writes the text around the fields.
///
/// # Panics
/// The file can't be written or the daemon can't be started.
pub fn write_limited_settings(
    path: &Path,
    option: &str,
    limits: &str,
    settings: impl Fn(&str) -> String,
) {
    let write = |fields: &str| fs::write(path, settings(fields)).expect("settings can be written");
    write(&format!(", {limits}"));
    let check = Command::new(program("sandshelfd"))
        .arg(option)
        .arg(path)
        .arg("--check")
        .output()
        .expect("a built program starts");
    if String::from_utf8_lossy(&check.stderr).contains("unknown field") {
        write("");
    }
}

/// The lines that a process has printed to stdout and stderr.
#[derive(Default)]
struct LineLog {
    lines: Mutex<Vec<String>>,
    /// Notified after each added line.
    line_added: Condvar,
}

impl LineLog {
    /// Locks the lines, also after a test panicked while it held the lock, so that the log can still be printed.
    fn read(&self) -> MutexGuard<'_, Vec<String>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A process of the local system.
pub struct LocalProcess {
    child: Child,
    log: Arc<LineLog>,
    name: String,
}

impl LocalProcess {
    /// Starts a program of this workspace and records the lines that it prints.
    ///
    /// # Panics
    /// The program can't be started.
    pub fn start(name: &str, arguments: &[&str]) -> Self {
        let mut child = Command::new(program(name))
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("a built program starts");
        let log = Arc::new(LineLog::default());
        let streams: [Option<Box<dyn Read + Send>>; 2] = [
            child.stdout.take().map(|stream| Box::new(stream) as _),
            child.stderr.take().map(|stream| Box::new(stream) as _),
        ];
        for stream in streams.into_iter().flatten() {
            let log = log.clone();
            thread::spawn(move || collect_lines(stream, &log));
        }
        Self {
            child,
            log,
            name: name.to_owned(),
        }
    }

    /// The process's id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits until the process has printed a line that contains `part`, and returns the first such line.
    ///
    /// # Panics
    /// No such line is printed within 30 seconds.
    pub fn wait_for(&self, part: &str) -> String {
        let began = Instant::now();
        let mut lines = self.log.read();
        loop {
            if let Some(line) = lines.iter().find(|line| line.contains(part)) {
                return line.clone();
            }
            assert!(
                began.elapsed() < CONDITION_TIMEOUT,
                "timed out waiting until {} prints '{part}'; it printed:\n{}",
                self.name,
                lines.join("\n")
            );
            let waited = self.log.line_added.wait_timeout(lines, POLL_INTERVAL);
            lines = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// The lines printed so far that contain `part`.
    pub fn lines(&self, part: &str) -> Vec<String> {
        let lines = self.log.read();
        let found = lines.iter().filter(|line| line.contains(part));
        found.cloned().collect()
    }

    /// Sends a signal by name, such as `TERM`, `KILL`, `STOP` or `CONT`.
    ///
    /// # Panics
    /// The signal can't be sent.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status();
        assert!(
            status.expect("the kill command can be run").success(),
            "kill -{name} failed"
        );
    }

    /// Whether the process has ended.
    ///
    /// # Panics
    /// The operating system can't report the state of the process.
    pub fn has_ended(&mut self) -> bool {
        let status = self.child.try_wait();
        status.expect("the state of a child can be read").is_some()
    }

    /// Waits until the process has ended; returns its exit code, none where a signal ended it.
    ///
    /// # Panics
    /// The process does not end within 30 seconds.
    pub fn wait_end(&mut self) -> Option<i32> {
        let began = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("a child can be waited for") {
                return status.code();
            }
            assert!(
                began.elapsed() < CONDITION_TIMEOUT,
                "timed out waiting until {} ends",
                self.name
            );
            thread::sleep(POLL_INTERVAL);
        }
    }
}

impl Drop for LocalProcess {
    fn drop(&mut self) {
        if thread::panicking() {
            let lines = self.lines("event=");
            let skipped = lines.len().saturating_sub(MAX_SHOWN_LINES);
            eprintln!(
                "last events of {}:\n{}",
                self.name,
                lines[skipped..].join("\n")
            );
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Adds each line of the stream to the log, until the stream ends.
fn collect_lines(stream: Box<dyn Read + Send>, log: &LineLog) {
    for line in BufReader::new(stream).lines() {
        let Ok(line) = line else { return };
        log.read().push(line);
        log.line_added.notify_all();
    }
}

/// Returns the value of the first `key=value` word in a log line; none where the line has no such key.
pub fn pair<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let prefix = format!("{key}=");
    line.split_whitespace()
        .find_map(|word| word.strip_prefix(&prefix))
}

/// Returns the address under `key` in a log line.
///
/// # Panics
/// The line has no such key, or its value is not an address.
pub fn address(line: &str, key: &str) -> SocketAddr {
    let text = pair(line, key).unwrap_or_else(|| panic!("no {key} in: {line}"));
    text.parse().expect("an address was printed")
}

/// A running daemon and the addresses at which it listens.
pub struct EntryHost {
    /// The process.
    pub process: LocalProcess,
    /// The address for callers.
    pub caller: SocketAddr,
    /// The address for operators.
    pub operator: SocketAddr,
    /// The address for other entry hosts.
    pub peer: SocketAddr,
}

/// A worker stand-in with its backend server.
pub struct WorkerHost {
    /// The process.
    pub process: LocalProcess,
    /// The address of the lease interface.
    pub lease: SocketAddr,
    /// The address of the backend server.
    pub backend: SocketAddr,
}

/// The whole local system, as separate processes.
pub struct LocalSystem {
    /// The platform stand-in.
    pub platform: LocalProcess,
    /// The address of the platform stand-in.
    pub platform_address: SocketAddr,
    /// Workers by name.
    pub workers: HashMap<String, WorkerHost>,
    /// Entry hosts by name.
    pub hosts: HashMap<String, EntryHost>,
    directory: PathBuf,
}

impl LocalSystem {
    /// Starts the platform stand-in, without workers or entry hosts.
    ///
    /// # Panics
    /// The stand-in does not start.
    pub fn start() -> Self {
        let platform = LocalProcess::start("sandshelf-standin", &["platform"]);
        let platform_address = address(&platform.wait_for("event=listening"), "address");
        let unique = format!("sandshelf-{}-{}", std::process::id(), platform.id());
        let directory = std::env::temp_dir().join(unique);
        fs::create_dir_all(&directory).expect("a directory for settings can be made");
        Self {
            platform,
            platform_address,
            workers: HashMap::new(),
            hosts: HashMap::new(),
            directory,
        }
    }

    /// Starts a worker with a backend server of `service`, each of whose requests takes `service_ms` milliseconds.
    ///
    /// # Panics
    /// The worker does not start.
    pub fn add_worker(&mut self, name: &str, hall: &str, service: &str, service_ms: u64) {
        let platform = self.platform_address.to_string();
        let service_ms = service_ms.to_string();
        let rack = format!("{hall}-rack");
        let process = LocalProcess::start(
            "sandshelf-standin",
            &[
                "worker",
                "--platform",
                &platform,
                "--name",
                name,
                "--hall",
                hall,
                "--rack",
                &rack,
                "--service",
                service,
                "--service-ms",
                &service_ms,
            ],
        );
        let line = process.wait_for("event=listening");
        let worker = WorkerHost {
            lease: address(&line, "lease"),
            backend: address(&line, "backend"),
            process,
        };
        self.workers.insert(name.to_owned(), worker);
    }

    /// Starts a daemon as an entry host; `limits` are further settings as JSON fields, such as `"shard_lease_ms": 1000`, and
    /// may be empty.
    ///
    /// # Panics
    /// The daemon does not start.
    pub fn add_host(&mut self, name: &str, hall: &str, limits: &str) {
        let path = self.directory.join(format!("{name}.jsonc"));
        let comma = if limits.is_empty() { "" } else { "," };
        let settings = self.host_settings(name, hall, &format!("{comma}\n  {limits}\n"));
        fs::write(&path, settings).expect("settings can be written");
        self.start_host(name, &path);
    }

    /// Starts a daemon like [`LocalSystem::add_host`], on a machine with these bounds.
    ///
    /// # Panics
    /// The daemon does not start.
    pub fn add_bounded_host(
        &mut self,
        name: &str,
        hall: &str,
        limits: &str,
        bounds: ProcessBounds,
    ) {
        let path = self.directory.join(format!("{name}.jsonc"));
        write_limited_settings(&path, "--settings", &bounds.fields(), |fields| {
            self.host_settings(name, hall, &format!(",\n  {limits}{fields}\n"))
        });
        self.start_host(name, &path);
    }

    /// The settings of an entry host; `further` follows the last field.
    fn host_settings(&self, name: &str, hall: &str, further: &str) -> String {
        format!(
            "{{ // written by the harness\n  \"host\": \"{name}\", \"hall\": \"{hall}\",\n  \
             \"caller_address\": \"127.0.0.1:0\", \"operator_address\": \"127.0.0.1:0\",\n  \
             \"peer_address\": \"127.0.0.1:0\", \"platform_address\": \"{}\"{further}}}\n",
            self.platform_address
        )
    }

    fn start_host(&mut self, name: &str, path: &Path) {
        let path = path.display().to_string();
        let process = LocalProcess::start("sandshelfd", &["--settings", &path]);
        let line = process.wait_for("event=started");
        let host = EntryHost {
            caller: address(&line, "caller"),
            operator: address(&line, "operator"),
            peer: address(&line, "peer"),
            process,
        };
        self.hosts.insert(name.to_owned(), host);
    }

    /// Writes a configuration set of one file and returns its directory.
    ///
    /// # Panics
    /// The file can't be written.
    pub fn write_set(&self, name: &str, text: &str) -> PathBuf {
        let directory = self.directory.join(name);
        fs::create_dir_all(&directory).expect("a directory for a set can be made");
        fs::write(directory.join("set.jsonc"), text).expect("a set can be written");
        directory
    }

    /// Runs the operators' command against this system and waits until it ends.
    ///
    /// # Panics
    /// The command can't be started.
    pub fn command(&self, arguments: &[&str]) -> Output {
        Command::new(program("sandshelf"))
            .args(arguments)
            .env("SANDSHELF_PLATFORM", self.platform_address.to_string())
            .output()
            .expect("the operators' command starts")
    }

    /// Replaces the faults that the platform stand-in injects.
    ///
    /// # Panics
    /// The stand-in can't be reached.
    pub async fn set_faults(&self, plan: &crate::platform::FaultPlan) {
        let url = format!("http://{}/standin/faults", self.platform_address);
        let sent = reqwest::Client::new().post(url).json(plan).send().await;
        let set = sent.and_then(reqwest::Response::error_for_status);
        set.expect("the stand-in's faults can be set");
    }

    /// Fetches JSON from a stand-in or a daemon; none where there is no answer within 2 seconds or the answer is not JSON.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Option<Value> {
        let client = reqwest::Client::new();
        let request = client.get(format!("http://{address}{path}"));
        let sent = request.timeout(Duration::from_secs(2)).send().await.ok()?;
        sent.json().await.ok()
    }

    /// Waits until every entry host is ready.
    pub async fn wait_ready(&self) {
        for host in self.hosts.values() {
            let ready = || async {
                let status = self.get(host.operator, "/status").await?;
                (status["ready"] == true).then_some(())
            };
            wait_until("an entry host is ready", ready).await;
        }
    }
}

impl Drop for LocalSystem {
    fn drop(&mut self) {
        self.hosts.clear();
        self.workers.clear();
        let _ = fs::remove_dir_all(&self.directory);
    }
}

/// Calls `probe` repeatedly until it returns a value, and returns that value; `what` describes the condition.
///
/// # Panics
/// The probe returns no value within 30 seconds.
pub async fn wait_until<T, F, L>(what: &str, mut probe: L) -> T
where
    L: FnMut() -> F,
    F: Future<Output = Option<T>>,
{
    let began = Instant::now();
    loop {
        if let Some(found) = probe().await {
            return found;
        }
        assert!(
            began.elapsed() < CONDITION_TIMEOUT,
            "timed out waiting until {what}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
