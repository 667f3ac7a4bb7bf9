//! A case: a timed job whose times overlap, while the host that gives the orders is stopped and started again as planned.
//!
//! Arguments: the project's root, the folder of the case. `TROUBLE=0` leaves the stop out, `HOW=kill` kills the host instead.

use std::path::Path;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use review_kit::record::{note, note_at, now_ms};
use review_kit::store::Store;
use review_kit::system::{configuration, run_case, wait_ready, Daemon, Scratch, GTAS};
use review_kit::worker::{Run, Worker, WorkerKind};

const HOST: &str = "nony24.example";
const PREFIX: &str = "/lohu930/";
const SERVICE: &str = "huvo11a";
const WORKERS: usize = 6;
const JOB: &str = "5c0e7a21d94b36f8";
/// The delay after which the platform starts an ended process again.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Time 0 takes 9 s, the others 0.8 s; they are due 3 s apart.
const JOB_BODY: &str = r#"{"spec":"run_ms=800 first_ms=9000 cpu=1600 mem_mb=3200","steps":[{"count":1,"cpu":1600,"mem_mb":3200,"estimated_ms":1000}],"repeat_count":4,"start_at_ms":START,"interval_ms":3000}"#;
/// How long a job may have nothing running although a task's turn has come and there is room, and how long it must be calm before.
const IDLE_MS: u64 = 3_000;
const CALM_MS: u64 = 4_000;
/// How long the job is watched after the last restart: `finish_s` and more.
const WATCH_MS: u64 = 25_000;

fn main() {
    run_case(run);
}

/// The state of the job as a host that is ready shows it.
fn state_of(daemons: &[Daemon]) -> String {
    let ready = daemons.iter().filter(|daemon| daemon.is_ready());
    for daemon in ready {
        if let Some(answer) = daemon.ask("GET", &format!("{PREFIX}{JOB}"), HOST, "") {
            return format!("{} {}", answer.status, answer.body);
        }
    }
    "no answer".to_owned()
}

fn runs_of(workers: &[Worker]) -> Vec<Run> {
    workers.iter().flat_map(Worker::runs).collect()
}

fn run(root: &Path, trouble: bool) -> i32 {
    let scratch = Scratch::new("overlapping-times");
    let store = Store::start();
    store.put("op", "config", &configuration(HOST, PREFIX, SERVICE));
    let zones = ["orange-valley", "carenage", "san-fernando"];
    let mut daemons: Vec<Daemon> = zones
        .iter()
        .map(|zone| {
            Daemon::start(
                root,
                &scratch,
                &format!("front-{zone}-1"),
                zone,
                store.server.address,
                GTAS,
            )
        })
        .collect();
    let workers: Vec<Worker> = (0..WORKERS)
        .map(|number| {
            let kind = WorkerKind {
                id: format!("i-{number:02}"),
                zone: zones[number % zones.len()].to_owned(),
                rack: format!("r{}-1", number % zones.len()),
                service: SERVICE.to_owned(),
                cpu: 16_000,
                mem_mb: 62_500,
                max_hold_ms: GTAS.max_hold_ms,
            };
            Worker::start(&store, kind)
        })
        .collect();
    if !wait_ready(&daemons) {
        note("the daemons did not become ready");
        return 2;
    }
    thread::sleep(Duration::from_millis(2_500));
    let wall = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("a clock")
        .as_millis() as u64;
    let body = JOB_BODY.replace("START", &(wall + 1_000).to_string());
    let due_at = now_ms() + 1_000;
    let answer = daemons[0].ask("POST", &format!("{PREFIX}{JOB}"), HOST, &body);
    if answer.is_none_or(|answer| answer.status != 200) {
        note("the job was not accepted");
        return 2;
    }
    // Time 1 is due at 3 s and has ended at 4 s, while time 0 is at work.
    thread::sleep(Duration::from_millis(
        (due_at + 5_000).saturating_sub(now_ms()),
    ));
    if trouble {
        let Some(owner) = daemons.iter_mut().find(|daemon| daemon.has_owned()) else {
            note("no host gives orders");
            return 2;
        };
        match std::env::var("HOW").as_deref() {
            Ok("kill") => owner.kill(),
            _ => owner.terminate(),
        }
        thread::sleep(RESTART_DELAY);
        owner.start_again();
        if !wait_ready(&daemons) {
            note("the daemons did not become ready again");
            return 2;
        }
    }
    let calm_from = now_ms() + CALM_MS;
    let until = now_ms() + WATCH_MS;
    let (mut idle_since, mut lost, mut state) = (None, None, String::new());
    let mut next_question = 0;
    while now_ms() < until {
        thread::sleep(Duration::from_millis(20));
        if now_ms() >= next_question {
            next_question = now_ms() + 1_000;
            state = state_of(&daemons);
        }
        if state.contains("completed") {
            break;
        }
        let busy = workers.iter().any(|worker| !worker.live().is_empty());
        match (busy || now_ms() < calm_from, idle_since) {
            (true, _) => idle_since = None,
            (false, None) => idle_since = Some(now_ms()),
            (false, Some(since)) if now_ms() > since + IDLE_MS && lost.is_none() => {
                lost = Some(since);
                note(format!(
                    "LOST: nothing of {JOB} has run since {since} at the latest"
                ));
            }
            (false, Some(_)) => {}
        }
    }
    let mut runs = runs_of(&workers);
    runs.sort_by_key(|run| run.began);
    for run in &runs {
        let ended = run
            .ended
            .map_or("running".to_owned(), |(at, how)| format!("{how} at {at}"));
        note_at(
            run.began,
            format!(
                "{} starts {} run {}: {ended}",
                run.worker, run.task, run.run
            ),
        );
    }
    let done = |time: usize| {
        let task = format!("{JOB}.{time}.0.0");
        runs.iter()
            .any(|run| run.task == task && matches!(run.ended, Some((_, "done"))))
    };
    let undone: Vec<usize> = (0..4).filter(|time| !done(*time)).collect();
    let summary = format!(
        "state at the end: {state}; times without a run that ended done: {undone:?}; idle with a task due: {}",
        lost.is_some()
    );
    println!("{summary}");
    note(summary);
    match (lost, undone.is_empty(), state.contains("completed")) {
        (Some(_), false, _) => 1,
        (None, true, true) => 0,
        _ => 2,
    }
}
