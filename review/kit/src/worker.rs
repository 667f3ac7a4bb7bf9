//! A stand-in of an executor that is ordered by calls, as PROTOCOL.md describes it. Its capacity is guarded.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Reply, Request, Server};
use crate::json::{quoted, Json};
use crate::record::{note, now_ms};
use crate::store::Store;

/// How many ends a list holds at once.
const MAX_LISTED_ENDS: usize = 500;
/// A task with this run time lasts: it is at work, with 100 percent, after a short start.
const LASTING_MS: u64 = 600_000;
const LASTING_START_MS: u64 = 500;
/// The table in which executors list themselves.
const TABLE: &str = "servers";

/// What an executor is.
#[derive(Clone, Debug)]
pub struct WorkerKind {
    pub id: String,
    pub zone: String,
    pub rack: String,
    pub service: String,
    pub cpu: u64,
    pub mem_mb: u64,
    /// The longest lease (`max_hold_ms`).
    pub max_hold_ms: u64,
}

/// One run, with times in milliseconds of the case.
#[derive(Clone, Debug)]
pub struct Run {
    pub worker: String,
    pub task: String,
    pub run: u64,
    pub began: u64,
    pub ended: Option<(u64, &'static str)>,
    /// When `last_seen` reached its end.
    pub seen: Option<u64>,
    /// Whether the executor's lease lapsed between its end and that.
    pub lapsed_between: bool,
}

struct Live {
    ends_at: u64,
    cpu: u64,
    mem_mb: u64,
    record: usize,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    record: usize,
}

#[derive(Default)]
struct State {
    fence: u64,
    lease_until: u64,
    live: BTreeMap<(String, u64), Live>,
    over: BTreeMap<String, u64>,
    ends: Vec<End>,
    end_count: u64,
    most_unseen: usize,
    runs: Vec<Run>,
}

/// An executor.
#[derive(Clone)]
pub struct Worker {
    pub kind: WorkerKind,
    pub server: Server,
    shared: Arc<Shared>,
    store: Store,
}

struct Shared {
    kind: WorkerKind,
    /// Whether the executor is cut off: calls don't reach it, and answers don't leave it.
    is_cut: AtomicBool,
    state: Mutex<State>,
    changed: Condvar,
}

/// What a task takes, which its spec tells.
#[derive(Clone, Copy, Debug)]
pub struct TaskSize {
    pub run_ms: u64,
    pub cpu: u64,
    pub mem_mb: u64,
}

/// Reads `run_ms=N cpu=N mem_mb=N spread_ms=N` from a job's spec; the spread is added by the task's name. With `first_ms=N`, the tasks of
/// time 0 take that long instead of `run_ms`.
pub fn size_by_spec(task: &str, spec: &str) -> TaskSize {
    let number = |name: &str| {
        let words = spec.split(' ').filter_map(|word| word.split_once('='));
        let mut named = words.filter(|(known, _)| *known == name);
        named
            .next()
            .and_then(|(_, text)| text.parse::<u64>().ok())
            .unwrap_or(0)
    };
    let hash = task.bytes().fold(7u64, |hash, byte| {
        hash.wrapping_mul(1_000_003).wrapping_add(u64::from(byte))
    });
    let spread = number("spread_ms");
    let is_first = task.split('.').nth(1) == Some("0");
    let run_ms = match number("first_ms") {
        first if first > 0 && is_first => first,
        _ => number("run_ms"),
    };
    TaskSize {
        run_ms: run_ms + if spread > 0 { (hash >> 7) % spread } else { 0 },
        cpu: number("cpu"),
        mem_mb: number("mem_mb"),
    }
}

impl Worker {
    /// Starts an executor and lists it in the store.
    pub fn start(store: &Store, kind: WorkerKind) -> Self {
        let shared = Arc::new(Shared {
            kind: kind.clone(),
            is_cut: AtomicBool::new(false),
            state: Mutex::default(),
            changed: Condvar::new(),
        });
        let handler = shared.clone();
        let server = Server::start(move |request| {
            if handler.is_cut.load(Ordering::SeqCst) {
                return Reply::Silence;
            }
            let reply = handle(&handler, &request);
            match handler.is_cut.load(Ordering::SeqCst) {
                true => Reply::Silence,
                false => reply,
            }
        });
        let clock = shared.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(3));
            let mut state = clock.state.lock().unwrap();
            if advance(&mut state) {
                clock.changed.notify_all();
            }
        });
        let worker = Self {
            kind,
            server,
            shared,
            store: store.clone(),
        };
        worker.list("ready", None);
        worker
    }

    /// Writes the executor's entry.
    pub fn list(&self, state: &str, remaining_ms: Option<u64>) {
        let WorkerKind {
            id,
            zone,
            rack,
            service,
            cpu,
            mem_mb,
            ..
        } = &self.kind;
        let remaining =
            remaining_ms.map_or(String::new(), |left| format!(",\"remaining_ms\":{left}"));
        let entry = format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":8,\"state\":\"{state}\",\
             \"cold_remaining_ms\":0,\"capacity\":{{\"cpu\":{cpu},\"mem_mb\":{mem_mb},\"gpu\":0}},\
             \"labels\":[\"a\",{}],\"clock_ms\":{},\"sequence\":{}{remaining}}}",
            quoted(service),
            self.server.address,
            quoted(zone),
            quoted(rack),
            now_ms(),
            now_ms() + 1,
        );
        note(format!("{id} listed as {state}"));
        self.store.put(TABLE, id, &entry);
    }

    /// Removes the executor's entry, as the store does after three status reports of silence.
    pub fn unlist(&self) {
        note(format!("{} entry removed", self.kind.id));
        self.store.remove(TABLE, &self.kind.id);
    }

    /// Cuts the executor off silently, or ends the cut. It runs on.
    pub fn set_cut(&self, is_cut: bool) {
        note(format!(
            "{} {}",
            self.kind.id,
            if is_cut {
                "is cut off"
            } else {
                "is reached again"
            }
        ));
        self.shared.is_cut.store(is_cut, Ordering::SeqCst);
    }

    /// The highest fencing token that it has seen.
    pub fn fence(&self) -> u64 {
        self.shared.state.lock().unwrap().fence
    }

    /// All runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.state.lock().unwrap().runs.clone()
    }

    /// The tasks at work now.
    pub fn live(&self) -> Vec<String> {
        let state = self.shared.state.lock().unwrap();
        state.live.keys().map(|(task, _)| task.clone()).collect()
    }

    /// The most ends that were listed or waiting to be listed at once.
    pub fn most_unseen(&self) -> usize {
        self.shared.state.lock().unwrap().most_unseen
    }
}

/// Ends what is due, and everything if the lease is over. Returns whether anything ended.
fn advance(state: &mut State) -> bool {
    let now = now_ms();
    let lapsed = now > state.lease_until;
    if lapsed {
        for end in &state.ends {
            state.runs[end.record].lapsed_between = true;
        }
    }
    let due: Vec<(String, u64)> = state
        .live
        .iter()
        .filter(|(_, live)| lapsed || now >= live.ends_at)
        .map(|(key, _)| key.clone())
        .collect();
    for (task, run) in &due {
        let live = &state.live[&(task.clone(), *run)];
        let done = live.ends_at <= now && live.ends_at <= state.lease_until;
        let at = live.ends_at.min(state.lease_until);
        end(state, task, *run, if done { "done" } else { "lapsed" }, at);
    }
    !due.is_empty()
}

fn end(state: &mut State, task: &str, run: u64, how: &'static str, at: u64) {
    let Some(live) = state.live.remove(&(task.to_owned(), run)) else {
        return;
    };
    let over = state.over.entry(task.to_owned()).or_default();
    *over = run.max(*over);
    state.end_count += 1;
    state.runs[live.record].ended = Some((at, how));
    state.ends.push(End {
        number: state.end_count,
        task: task.to_owned(),
        run,
        how,
        record: live.record,
    });
    state.most_unseen = state.most_unseen.max(state.ends.len());
}

fn refused(reason: &str) -> Reply {
    let body = format!("{{\"clock_ms\":{},\"reason\":\"{reason}\"}}", now_ms());
    Reply::Answer(409, body)
}

fn done() -> Reply {
    Reply::Answer(200, format!("{{\"clock_ms\":{}}}", now_ms()))
}

fn handle(shared: &Shared, request: &Request) -> Reply {
    let expected = request.headers.get("x-sandshelf-expect-instance");
    if expected.is_some_and(|id| *id != shared.kind.id) {
        return Reply::Answer(421, "{}".into());
    }
    let order = Json::parse(&request.body);
    let mut state = shared.state.lock().unwrap();
    advance(&mut state);
    let fence = order.get("fencing_token").number().unwrap_or(0);
    if fence < state.fence {
        return refused("fence");
    }
    state.fence = fence;
    let now = now_ms();
    let deadline = order.get("deadline_ms").number();
    if let Some(deadline) = deadline {
        state.lease_until = state
            .lease_until
            .max(deadline.min(now + shared.kind.max_hold_ms));
    }
    let task = order.get("task").text().to_owned();
    let run = order.get("run").number().unwrap_or(0);
    match request.path.as_str() {
        "/run-start" => start(
            shared,
            &mut state,
            &order,
            (task, run),
            deadline.unwrap_or(0),
        ),
        "/run-stop" => {
            if state.live.contains_key(&(task.clone(), run)) {
                end(&mut state, &task, run, "stopped", now);
            } else {
                let over = state.over.entry(task).or_default();
                *over = run.max(*over);
            }
            shared.changed.notify_all();
            done()
        }
        "/pace" => done(),
        "/hold" => {
            let seen = order.get("last_seen").number().unwrap_or(0);
            let State { ends, runs, .. } = &mut *state;
            for end in ends.iter().filter(|end| end.number <= seen) {
                runs[end.record].seen.get_or_insert(now);
            }
            ends.retain(|end| end.number > seen);
            let wait = order.get("wait_ms").number().unwrap_or(0).min(2_000);
            let until = Instant::now() + Duration::from_millis(wait);
            loop {
                let left = until.saturating_duration_since(Instant::now());
                if !state.ends.is_empty() || left.is_zero() {
                    return Reply::Answer(200, report(&state));
                }
                state = shared.changed.wait_timeout(state, left).unwrap().0;
            }
        }
        _ => Reply::Answer(404, "{}".into()),
    }
}

fn start(
    shared: &Shared,
    state: &mut State,
    order: &Json,
    (task, run): (String, u64),
    deadline: u64,
) -> Reply {
    let now = now_ms();
    if state.live.contains_key(&(task.clone(), run)) {
        return done();
    }
    if state.over.get(&task).is_some_and(|over| run <= *over) {
        return refused("old");
    }
    if deadline < now {
        return refused("late");
    }
    let size = size_by_spec(&task, order.get("spec").text());
    let cpu: u64 = state.live.values().map(|live| live.cpu).sum();
    let mem_mb: u64 = state.live.values().map(|live| live.mem_mb).sum();
    if cpu + size.cpu > shared.kind.cpu || mem_mb + size.mem_mb > shared.kind.mem_mb {
        return refused("room");
    }
    let record = state.runs.len();
    state.runs.push(Run {
        worker: shared.kind.id.clone(),
        task: task.clone(),
        run,
        began: now,
        ended: None,
        seen: None,
        lapsed_between: false,
    });
    let live = Live {
        ends_at: now + size.run_ms,
        cpu: size.cpu,
        mem_mb: size.mem_mb,
        record,
    };
    state.live.insert((task, run), live);
    shared.changed.notify_all();
    done()
}

/// The lists: all that runs, and the oldest ends that were not seen yet, 500 at once.
fn report(state: &State) -> String {
    let now = now_ms();
    let running: Vec<String> = state
        .live
        .iter()
        .map(|((task, run), live)| {
            let began = state.runs[live.record].began;
            let whole = (live.ends_at - began).max(1);
            let worked = now.saturating_sub(began);
            let percent = match whole >= LASTING_MS {
                true if worked >= LASTING_START_MS => 100,
                true => 0,
                false => (worked * 100 / whole).min(99),
            };
            format!("[{},{run},\"\",{percent},{}]", quoted(task), live.cpu)
        })
        .collect();
    let ended: Vec<String> = state
        .ends
        .iter()
        .take(MAX_LISTED_ENDS)
        .map(|end| {
            format!(
                "[{},{},{},\"{}\",\"\"]",
                end.number,
                quoted(&end.task),
                end.run,
                end.how
            )
        })
        .collect();
    format!(
        "{{\"clock_ms\":{now},\"running\":[{}],\"ended\":[{}]}}",
        running.join(","),
        ended.join(",")
    )
}
