//! A sound executor: it runs tasks under a lease, keeps to its room and to the fence, and lists ends until they are taken note of.
//!
//! The text of a job's tasks says how they run: `work=MS cpu=N mem=N end=done|failed`, or `work=lasting` for tasks that last.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{serve_at, Reply, Request, Server};
use crate::json::{int, map, parse, text, Json};
use crate::record::{note, note_run, now_ms};
use crate::store::Store;

/// The room of an executor: thousandths of a core, and megabytes.
pub const CPU: i64 = 16_000;
pub const MEM_MB: i64 = 64_000;
/// The longest lease.
const MAX_HOLD_MS: u64 = 6_000;
/// How long a stop takes; 900 are allowed.
const STOP_MS: u64 = 200;
/// The interval of status reports.
const BEAT_MS: u64 = 1_100;
/// The most ends that an answer lists.
const MAX_ENDS: usize = 500;
/// The first value of the clock of an executor that has been up for long, and of one that starts now.
const FIRST_CLOCK_MS: u64 = 900_000;
const RESTARTED_CLOCK_MS: u64 = 1;
/// The resolution of ends.
const TICK: Duration = Duration::from_millis(5);

/// A start that an executor has begun.
#[derive(Clone, Debug)]
pub struct Run {
    pub worker: String,
    pub task: String,
    pub run: i64,
    pub began_ms: u64,
    /// When it ended, and how; none while it runs.
    pub over: Option<(u64, &'static str)>,
    /// When its end was taken note of: when a `last_seen` reached it.
    pub noted: Option<u64>,
    /// Whether the executor's lease lapsed between the end and that.
    pub lapsed: bool,
}

struct Active {
    run: i64,
    until: Option<u64>,
    how: &'static str,
    cpu: i64,
    mem: i64,
    place: usize,
}

/// An end that is listed until it is taken note of.
struct End {
    number: i64,
    task: String,
    run: i64,
    how: &'static str,
    place: usize,
}

#[derive(Default)]
struct State {
    fence: i64,
    lease_until: u64,
    active: BTreeMap<String, Active>,
    /// The newest run of each task that was stopped or ended here.
    past: HashMap<String, i64>,
    ended: Vec<End>,
    last_end: i64,
    down: bool,
}

/// One life of an executor.
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    place: usize,
    /// When it started, in milliseconds since 1970; said only where executors start again under their former ids.
    born: Option<u64>,
    first_clock: u64,
    /// The next call to leave unanswered, if any.
    late_call: Mutex<Option<LateCall>>,
    server: Mutex<Option<Arc<Server>>>,
    booted: Instant,
    state: Mutex<State>,
    changed: Condvar,
    runs: Arc<Mutex<Vec<Run>>>,
}

/// A call to leave unanswered: the next one to this path that acknowledges at least so many ends is handed to the sender in place of being
/// carried out.
struct LateCall {
    path: &'static str,
    last_seen: i64,
    caught: Sender<Request>,
}

/// How executors come back after a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Return {
    NewId,
    FormerId,
}

/// All executors of the service, with all that they have begun.
pub struct Fleet {
    store: Arc<Store>,
    service: String,
    comes_back: Return,
    pub workers: Mutex<Vec<Arc<Worker>>>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    lives: AtomicU64,
}

impl Fleet {
    /// Starts this many executors.
    pub fn start(store: Arc<Store>, service: &str, count: usize, comes_back: Return) -> Arc<Fleet> {
        let fleet = Arc::new(Fleet {
            store,
            service: service.to_owned(),
            comes_back,
            workers: Mutex::default(),
            runs: Arc::default(),
            lives: AtomicU64::new(0),
        });
        for place in 0..count {
            fleet.boot(place, SocketAddr::from(([127, 0, 0, 1], 0)), None);
        }
        fleet
    }

    /// Starts a life of an executor in a place, with a new id or its former one.
    fn boot(
        self: &Arc<Self>,
        place: usize,
        address: SocketAddr,
        former: Option<String>,
    ) -> Arc<Worker> {
        let life = self.lives.fetch_add(1, Ordering::SeqCst);
        let first_clock = match former {
            Some(_) => RESTARTED_CLOCK_MS,
            None => FIRST_CLOCK_MS,
        };
        let id = former.unwrap_or_else(|| format!("i-{:08x}", 0x51a7_0000 + life * 7_919));
        let since_1970 = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let born = (self.comes_back == Return::FormerId).then_some(since_1970.as_millis() as u64);
        let (handed, taken) = channel::<Arc<Worker>>();
        let own: Mutex<Option<Arc<Worker>>> = Mutex::new(None);
        let taken = Mutex::new(taken);
        let (server, address) = serve_at(address, move |request| {
            let mut own = own.lock().unwrap();
            let worker = own.get_or_insert_with(|| taken.lock().unwrap().recv().expect("a worker"));
            let worker = worker.clone();
            drop(own);
            worker.handle(&request)
        });
        let worker = Arc::new(Worker {
            id,
            address,
            place,
            born,
            first_clock,
            late_call: Mutex::default(),
            server: Mutex::new(Some(server)),
            booted: Instant::now(),
            state: Mutex::default(),
            changed: Condvar::new(),
            runs: self.runs.clone(),
        });
        handed.send(worker.clone()).expect("the server takes it");
        self.workers.lock().unwrap().push(worker.clone());
        let ticking = worker.clone();
        thread::spawn(move || ticking.tick_until_down());
        let (fleet, beating) = (self.clone(), worker.clone());
        thread::spawn(move || fleet.report(&beating));
        worker
    }

    /// Keeps the entry of an executor in the store. It goes after three reports of silence.
    fn report(&self, worker: &Worker) {
        let rack = format!("r1-{}", worker.place / 8);
        let mut sequence = 1;
        while !worker.is_down() {
            let mut entry = map([
                ("service", text(&self.service)),
                ("address", text(worker.address.to_string())),
                ("zone", text("north")),
                ("version", text("v1")),
                ("slots", int(8)),
                ("state", text("ready")),
                ("cold_remaining_ms", int(0)),
                (
                    "capacity",
                    map([("cpu", int(CPU)), ("mem_mb", int(MEM_MB)), ("gpu", int(0))]),
                ),
                ("labels", Json::List(vec![text("a"), text(rack.clone())])),
                ("clock_ms", int(worker.clock())),
                ("sequence", int(sequence)),
            ]);
            worker.say_born(&mut entry);
            self.store.put("servers", &worker.id, &entry);
            sequence += 1;
            thread::sleep(Duration::from_millis(BEAT_MS));
        }
        if self.comes_back == Return::NewId {
            thread::sleep(Duration::from_millis(2 * BEAT_MS));
            self.store.remove("servers", &worker.id);
        }
    }

    /// Crashes an executor. After this time another life comes in its place, with a new id.
    pub fn crash(self: &Arc<Self>, worker: &Arc<Worker>, down: Duration) {
        note(format!("executor {} crashes", worker.id));
        worker.go_down();
        let (fleet, crashed) = (self.clone(), worker.clone());
        thread::spawn(move || {
            thread::sleep(down);
            let former = (fleet.comes_back == Return::FormerId).then(|| crashed.id.clone());
            let next = fleet.boot(crashed.place, crashed.address, former);
            note(format!("executor {} joins after a crash", next.id));
        });
    }

    /// Leaves the next start on each executor unanswered, whichever gets it first, and returns it with the executor.
    pub fn catch_next_start(&self) -> (Arc<Worker>, Request) {
        let workers = self.workers.lock().unwrap().clone();
        let (caught, starts) = channel();
        for worker in &workers {
            *worker.late_call.lock().unwrap() = Some(LateCall {
                path: "/run-start",
                last_seen: 0,
                caught: caught.clone(),
            });
        }
        let request: Request = starts.recv().expect("a start comes");
        for worker in &workers {
            *worker.late_call.lock().unwrap() = None;
        }
        let expected = request
            .headers
            .get("x-sandshelf-expect-instance")
            .cloned()
            .unwrap_or_default();
        let worker = workers.iter().find(|worker| worker.id == expected);
        (
            worker.expect("the start names its executor").clone(),
            request,
        )
    }

    /// The present life of an executor.
    pub fn present(&self, id: &str) -> Option<Arc<Worker>> {
        let workers = self.workers.lock().unwrap();
        let found = workers
            .iter()
            .find(|worker| worker.id == id && !worker.is_down());
        found.cloned()
    }

    /// Has the present life of an executor carry out an order that came late; its answer is lost. Returns whether there is such a life.
    pub fn carry_out_late(&self, id: &str, request: &Request) -> bool {
        let workers = self.workers.lock().unwrap().clone();
        let found = workers
            .iter()
            .find(|worker| worker.id == id && !worker.is_down());
        found.is_some_and(|worker| {
            if let Reply::Answer(status, body) = worker.handle(request) {
                note(format!(
                    "executor {id} carries out an order late: {status} {body}"
                ));
            }
            true
        })
    }

    /// All runs of a job's tasks.
    pub fn runs_of(&self, job: &str) -> Vec<Run> {
        let runs = self.runs.lock().unwrap();
        let of_job = runs.iter().filter(|run| run.task.starts_with(job));
        of_job.cloned().collect()
    }
}

impl Worker {
    /// Adds the field `born` where executors say it.
    fn say_born(&self, body: &mut Json) {
        if let (Json::Map(fields), Some(born)) = (body, self.born) {
            fields.insert("born".to_owned(), int(born));
        }
    }

    fn clock(&self) -> u64 {
        self.first_clock + self.booted.elapsed().as_millis() as u64
    }

    pub fn is_down(&self) -> bool {
        self.state.lock().unwrap().down
    }

    fn go_down(&self) {
        let mut state = self.state.lock().unwrap();
        state.down = true;
        let gone = std::mem::take(&mut state.active);
        drop(state);
        for active in gone.values() {
            self.close(active.place, "crashed with its executor");
        }
        self.changed.notify_all();
        if let Some(server) = self.server.lock().unwrap().take() {
            server.end(self.address);
        }
    }

    fn close(&self, place: usize, how: &'static str) {
        let mut runs = self.runs.lock().unwrap();
        let run = &mut runs[place];
        run.over = Some((now_ms(), how));
        note_run(format!(
            "run over: {} run {} on {}: {how}",
            run.task, run.run, run.worker
        ));
    }

    fn tick_until_down(&self) {
        while !self.is_down() {
            thread::sleep(TICK);
            let clock = self.clock();
            let mut state = self.state.lock().unwrap();
            let lapsed = clock >= state.lease_until;
            for end in state.ended.iter().filter(|_| lapsed) {
                self.runs.lock().unwrap()[end.place].lapsed = true;
            }
            let over = state.active.iter();
            let over =
                over.filter(|(_, run)| lapsed || run.until.is_some_and(|until| clock >= until));
            let over: Vec<String> = over.map(|(task, _)| task.clone()).collect();
            for task in &over {
                self.end(&mut state, task, lapsed.then_some("lapsed"));
            }
            drop(state);
            if !over.is_empty() {
                self.changed.notify_all();
            }
        }
    }

    fn end(&self, state: &mut State, task: &str, how: Option<&'static str>) {
        let Some(active) = state.active.remove(task) else {
            return;
        };
        let how = how.unwrap_or(active.how);
        state.last_end += 1;
        let end = End {
            number: state.last_end,
            task: task.to_owned(),
            run: active.run,
            how,
            place: active.place,
        };
        state.ended.push(end);
        state.past.insert(task.to_owned(), active.run);
        self.close(active.place, how);
    }

    fn handle(&self, request: &Request) -> Reply {
        if self.is_down() {
            return Reply::Silence;
        }
        let expected = request.headers.get("x-sandshelf-expect-instance");
        if expected.is_some_and(|expected| *expected != self.id) {
            return self.answer(421, Vec::new());
        }
        let Some(body) = parse(&request.body) else {
            return self.answer(400, Vec::new());
        };
        if self.leaves_unanswered(request, &body) {
            return Reply::Silence;
        }
        let mut state = self.state.lock().unwrap();
        let fence = body.get("fencing_token").int().unwrap_or(0);
        if fence < state.fence {
            return self.refuse("fence");
        }
        state.fence = fence;
        let clock = self.clock();
        if let Some(deadline) = body.get("deadline_ms").int() {
            let deadline = (deadline.max(0) as u64).min(clock + MAX_HOLD_MS);
            state.lease_until = state.lease_until.max(deadline);
        }
        match request.path.as_str() {
            "/run-start" => self.start(&mut state, &body, clock),
            "/run-stop" => self.stop(&mut state, &body, clock),
            "/pace" => self.answer(200, Vec::new()),
            "/hold" => {
                drop(state);
                self.hold(&body)
            }
            _ => self.answer(404, Vec::new()),
        }
    }

    fn leaves_unanswered(&self, request: &Request, body: &Json) -> bool {
        let last_seen = body.get("last_seen").int().unwrap_or(0);
        let mut late = self.late_call.lock().unwrap();
        let call = late.take_if(|call| request.path == call.path && last_seen >= call.last_seen);
        let caught = call.is_some_and(|call| call.caught.send(request.clone()).is_ok());
        if caught {
            note(format!(
                "executor {} leaves {} unanswered: {body}",
                self.id, request.path
            ));
        }
        caught
    }

    /// Leaves the next call to this path that acknowledges at least so many ends unanswered, and returns it.
    pub fn catch_next(&self, path: &'static str, last_seen: i64) -> Request {
        let (caught, calls) = channel();
        let call = LateCall {
            path,
            last_seen,
            caught,
        };
        *self.late_call.lock().unwrap() = Some(call);
        calls.recv().expect("a call comes")
    }

    /// How many ends it has listed in this life.
    pub fn ends(&self) -> i64 {
        self.state.lock().unwrap().last_end
    }

    fn start(&self, state: &mut State, body: &Json, clock: u64) -> Reply {
        let task = body.get("task").text().to_owned();
        let run = body.get("run").int().unwrap_or(0);
        if state
            .active
            .get(&task)
            .is_some_and(|active| active.run == run)
        {
            return self.answer(200, Vec::new());
        }
        if state.active.contains_key(&task)
            || state.past.get(&task).is_some_and(|past| run <= *past)
        {
            return self.refuse("old");
        }
        if (body.get("deadline_ms").int().unwrap_or(0) as u64) < clock {
            return self.refuse("late");
        }
        let field = |name: &str| {
            let mut words = body.get("spec").text().split(' ');
            words.find_map(|word| {
                word.strip_prefix(name)?
                    .strip_prefix('=')
                    .map(str::to_owned)
            })
        };
        let size = |name: &str| {
            field(name)
                .and_then(|size| size.parse::<i64>().ok())
                .unwrap_or(1)
        };
        let (cpu, mem) = (size("cpu"), size("mem"));
        let (used_cpu, used_mem) = state.active.values().fold((0, 0), |(cpu, mem), active| {
            (cpu + active.cpu, mem + active.mem)
        });
        if used_cpu + cpu > CPU || used_mem + mem > MEM_MB {
            return self.refuse("room");
        }
        let work = field("work").and_then(|work| work.parse::<u64>().ok());
        let how = match field("end").as_deref() {
            Some("failed") => "failed",
            _ => "done",
        };
        let mut runs = self.runs.lock().unwrap();
        let place = runs.len();
        runs.push(Run {
            worker: self.id.clone(),
            task: task.clone(),
            run,
            began_ms: now_ms(),
            over: None,
            noted: None,
            lapsed: false,
        });
        drop(runs);
        note_run(format!("run begins: {task} run {run} on {}", self.id));
        let until = work.map(|work| clock + work);
        state.active.insert(
            task,
            Active {
                run,
                until,
                how,
                cpu,
                mem,
                place,
            },
        );
        self.answer(200, Vec::new())
    }

    fn stop(&self, state: &mut State, body: &Json, clock: u64) -> Reply {
        let task = body.get("task").text().to_owned();
        let run = body.get("run").int().unwrap_or(0);
        match state.active.get_mut(&task) {
            Some(active) if active.run == run => {
                active.until = Some(clock + STOP_MS);
                active.how = "stopped";
            }
            // A run that isn't there yet is rejected from now on.
            _ => {
                let past = state.past.entry(task).or_default();
                *past = run.max(*past);
            }
        }
        self.answer(200, Vec::new())
    }

    fn hold(&self, body: &Json) -> Reply {
        let wait = body.get("wait_ms").int().unwrap_or(0).clamp(0, 2_000) as u64;
        let until = Instant::now() + Duration::from_millis(wait);
        let last_seen = body.get("last_seen").int().unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        for end in state.ended.iter().filter(|end| end.number <= last_seen) {
            self.runs.lock().unwrap()[end.place].noted = Some(now_ms());
        }
        state.ended.retain(|end| end.number > last_seen);
        while state.ended.is_empty() && !state.down {
            let now = Instant::now();
            if now >= until {
                break;
            }
            state = self.changed.wait_timeout(state, until - now).unwrap().0;
        }
        if state.down {
            return Reply::Silence;
        }
        let running = state.active.iter().map(|(task, active)| {
            Json::List(vec![text(task), int(active.run), text(""), int(100)])
        });
        let ended = state.ended.iter().take(MAX_ENDS).map(|end| {
            Json::List(vec![
                int(end.number),
                text(&end.task),
                int(end.run),
                text(end.how),
                text(""),
            ])
        });
        let lists = vec![
            ("running", Json::List(running.collect())),
            ("ended", Json::List(ended.collect())),
        ];
        self.answer(200, lists)
    }

    fn refuse(&self, reason: &str) -> Reply {
        self.answer(409, vec![("reason", text(reason))])
    }

    fn answer(&self, status: u16, fields: Vec<(&str, Json)>) -> Reply {
        let mut body = map([("clock_ms", int(self.clock()))]);
        self.say_born(&mut body);
        if let Json::Map(all) = &mut body {
            all.extend(
                fields
                    .into_iter()
                    .map(|(name, value)| (name.to_owned(), value)),
            );
        }
        Reply::Answer(status, body.to_string())
    }
}
