//! A small deployment: the store, executors, daemons, and the calls of clients and the operator.

use std::fs;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::daemon::Daemon;
use crate::http::call;
use crate::json::{int, map, parse, text, Json};
use crate::record::note;
use crate::store::Store;
use crate::worker::{Fleet, Return};

/// The name under which clients reach the queues.
const HOST: &str = "nony24.example";
/// The service of the executors.
const SERVICE: &str = "auction-desk";
/// The time budget of a call.
pub const BUDGET: Duration = Duration::from_millis(3_000);

/// A queue as the site's sheet has it.
#[derive(Clone, Copy)]
pub struct Queue {
    pub name: &'static str,
    pub prefix: &'static str,
    pub priority: i64,
    pub max_attempts: i64,
    pub target_ms: i64,
    pub stretch: f64,
}

pub const PRICING: Queue = Queue {
    name: "r-pricing",
    prefix: "/pricing/",
    priority: 0,
    max_attempts: 3,
    target_ms: 250,
    stretch: 1.5,
};
pub const SETTLEMENT: Queue = Queue {
    name: "r-settlement",
    prefix: "/settlement/",
    priority: 2,
    max_attempts: 4,
    target_ms: 1_000,
    stretch: 2.0,
};
pub const WATCH: Queue = Queue {
    name: "r-watch",
    prefix: "/watch/",
    priority: 0,
    max_attempts: 2,
    target_ms: 2_500,
    stretch: 2.2,
};

/// The deployment. The daemons end with it.
pub struct System {
    pub store: Arc<Store>,
    pub fleet: Arc<Fleet>,
    pub daemons: Vec<Daemon>,
    folder: PathBuf,
}

impl System {
    /// Starts a deployment whose daemons are ready and whose executors have been listed for a while.
    pub fn start(daemons: usize, executors: usize) -> Result<System, String> {
        Self::start_with(daemons, executors, Return::NewId)
    }

    /// The same, with executors that come back in this way after a crash.
    pub fn start_with(
        daemons: usize,
        executors: usize,
        comes_back: Return,
    ) -> Result<System, String> {
        let folder = std::env::temp_dir().join(format!("review-rig-2-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let (store, address) = Store::start();
        put_config(&store, 7, &[PRICING, SETTLEMENT, WATCH]);
        let fleet = Fleet::start(store.clone(), SERVICE, executors, comes_back);
        let mut started = Vec::new();
        for number in 1..=daemons {
            started.push(Daemon::start(&folder, &format!("front-{number}"), address)?);
        }
        for daemon in &started {
            daemon.wait_ready()?;
        }
        thread::sleep(Duration::from_secs(3));
        note(format!(
            "{daemons} daemons and {executors} executors are up"
        ));
        Ok(System {
            store,
            fleet,
            daemons: started,
            folder,
        })
    }

    /// Hands a job in at a daemon; returns the status, or none without an answer.
    pub fn submit(&self, at: usize, queue: Queue, job: &str, body: &str) -> Option<u16> {
        self.ask(at, "POST", &format!("{}{job}", queue.prefix), body)
            .map(|(status, _)| status)
    }

    /// Hands a job in as a client does, again after no answer; an error if it is never accepted.
    pub fn accept(&self, queue: Queue, job: &str, body: &str) -> Result<(), String> {
        for attempt in 0..5 {
            if self.submit(attempt % self.daemons.len(), queue, job, body) == Some(200) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(200));
        }
        Err(format!("job {job} was not accepted"))
    }

    /// A job's state as a daemon shows it: the status, and the state if there is one.
    pub fn state(&self, at: usize, queue: Queue, job: &str) -> Option<(u16, String)> {
        let (status, body) = self.ask(at, "GET", &format!("{}{job}", queue.prefix), "")?;
        let state = parse(body.as_bytes()).map(|body| body.get("state").text().to_owned());
        Some((status, state.unwrap_or_default()))
    }

    /// Calls a daemon as a client does.
    pub fn ask(&self, at: usize, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let daemon = &self.daemons[at];
        let answer = call(daemon.callers, method, path, HOST, body, BUDGET);
        let shown = match &answer {
            Some((status, body)) => format!("{status} {body}"),
            None => "no answer".to_owned(),
        };
        note(format!(
            "client: {method} {path} at {}: {shown}",
            daemon.name
        ));
        answer
    }
}

impl Drop for System {
    fn drop(&mut self) {
        self.daemons.clear();
        match std::env::var("KEEP_LOGS") {
            Ok(_) => note(format!(
                "the daemons' logs stay in {}",
                self.folder.display()
            )),
            Err(_) => drop(fs::remove_dir_all(&self.folder)),
        }
    }
}

/// Writes a version of the configuration, as the operator does.
pub fn put_config(store: &Store, version: i64, queues: &[Queue]) {
    let routes = queues.iter().map(|queue| {
        map([
            ("name", text(queue.name)),
            ("hostname", text(HOST)),
            ("path_prefix", text(queue.prefix)),
            ("kind", text("non_idempotent")),
            ("timeout_ms", int(3_000)),
            ("target_latency_ms", int(queue.target_ms)),
            ("priority", int(queue.priority)),
            ("service", text(SERVICE)),
            ("max_attempts", int(queue.max_attempts)),
            ("stretch", Json::Float(queue.stretch)),
        ])
    });
    let service = map([
        ("name", text(SERVICE)),
        ("health_path", text("/health")),
        ("max_connections", int(64)),
        ("protocol", text("h1")),
        ("tls", Json::Bool(false)),
        ("rejects_overload", Json::Bool(true)),
        ("headroom", Json::Bool(false)),
    ]);
    let limits = map([
        ("max_header_bytes", int(16_384)),
        ("max_body_bytes", int(262_144)),
        ("header_timeout_ms", int(3_000)),
        ("idle_timeout_ms", int(15_000)),
    ]);
    let config = map([
        ("version", int(version)),
        ("routes", Json::List(routes.collect())),
        ("services", Json::List(vec![service])),
        ("limits", limits),
    ]);
    store.put("op", "config", &config);
    note(format!(
        "operator: configuration {version} is acknowledged: {config}"
    ));
}

/// The body of a job with one step.
pub fn one_step(count: u32, cpu: u32, mem: u32, work: &str, more: &str, fields: &str) -> String {
    format!(
        r#"{{"spec":"work={work} cpu={cpu} mem={mem}{more}","steps":[{{"count":{count},"cpu":{cpu},"mem_mb":{mem}{fields}}}]}}"#
    )
}
