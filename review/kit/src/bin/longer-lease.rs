//! A case: the store turns the host with the shard away, and two executors are cut off right after its successor has reached them.
//!
//! Arguments: the project's root, the folder of the case. `TROUBLE=0` leaves both disturbances out.

use std::path::Path;
use std::thread;
use std::time::Duration;

use review_kit::record::{note, note_at, now_ms};
use review_kit::rules::find_twice;
use review_kit::store::{Store, StoreFault};
use review_kit::system::{configuration, run_case, wait_ready, Daemon, Scratch, GTAS};
use review_kit::worker::{Worker, WorkerKind};

const HOST: &str = "nony24.example";
const PREFIX: &str = "/lohu930/";
const SERVICE: &str = "huvo11a";
/// Two executors of 12 are cut off: the share 0.17 of the site file.
const WORKERS: usize = 12;
const CUT_WORKERS: usize = 2;
/// How long the store turns the owner away, and how long the executors are cut off.
const TURNED_AWAY_MS: u64 = 7_000;
const CUT_MS: u64 = 5_500;
/// How often the pair of disturbances comes.
const ROUNDS: usize = 4;

fn main() {
    run_case(run);
}

fn run(root: &Path, trouble: bool) -> i32 {
    let scratch = Scratch::new("longer-lease");
    let store = Store::start();
    store.put("op", "config", &configuration(HOST, PREFIX, SERVICE));
    let zones = ["orange-valley", "carenage", "san-fernando", "cedros"];
    let doors: Vec<_> = zones.iter().map(|_| store.open_door()).collect();
    let daemons: Vec<Daemon> = zones
        .iter()
        .zip(&doors)
        .map(|(zone, door)| {
            let name = format!("front-{zone}-1");
            Daemon::start(root, &scratch, &name, zone, door.server.address, GTAS)
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
    // Two jobs of 12 lasting tasks each, of the size of the class `coldroom-watch`.
    let body = r#"{"spec":"run_ms=600000 cpu=3200 mem_mb=6400","long_running":true,"steps":[{"count":12,"cpu":3200,"mem_mb":6400,"estimated_ms":500,"long_running":true}]}"#;
    for number in 0..2 {
        let job = format!("5c0e7a21d94b{number:04x}");
        let answer = daemons[number].ask("POST", &format!("{PREFIX}{job}"), HOST, body);
        if answer.is_none_or(|answer| answer.status != 200) {
            note("a job was not accepted");
            return 2;
        }
    }
    thread::sleep(Duration::from_millis(3_000));
    for round in 0..ROUNDS {
        if !trouble {
            thread::sleep(Duration::from_millis(TURNED_AWAY_MS));
            continue;
        }
        let began = now_ms();
        let fence = workers.iter().map(Worker::fence).max().unwrap_or(0);
        let Some(owner) = daemons.iter().position(Daemon::owns) else {
            note("no host gives orders");
            return 2;
        };
        doors[owner].set_fault(StoreFault::Busy);
        while now_ms() < began + 5_000 && workers.iter().any(|worker| worker.fence() <= fence) {
            thread::sleep(Duration::from_millis(5));
        }
        if workers.iter().any(|worker| worker.fence() <= fence) {
            note("no other host took over");
            return 2;
        }
        thread::sleep(Duration::from_millis(30));
        let first = round * CUT_WORKERS;
        let cut = &workers[first..first + CUT_WORKERS];
        cut.iter().for_each(|worker| worker.set_cut(true));
        let cut_at = now_ms();
        thread::sleep(Duration::from_millis(
            (cut_at + CUT_MS).saturating_sub(now_ms()),
        ));
        cut.iter().for_each(|worker| worker.set_cut(false));
        thread::sleep(Duration::from_millis(
            (began + TURNED_AWAY_MS).saturating_sub(now_ms()),
        ));
        doors[owner].set_fault(StoreFault::None);
        thread::sleep(Duration::from_millis(4_000));
    }
    let runs: Vec<_> = workers.iter().flat_map(Worker::runs).collect();
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
    let twice = find_twice(&runs);
    for breach in &twice {
        note(format!("TWICE {}: {}", breach.task, breach.text));
    }
    let summary = format!(
        "{} starts of 24 tasks, {} breaches of TWICE",
        runs.len(),
        twice.len()
    );
    println!("{summary}");
    note(summary);
    i32::from(!twice.is_empty())
}
