//! A case: a draining executor is cut off and refuses connections; its entry lapses while its tasks are still leased and at work.
//!
//! Arguments: the project's root, the folder of the case. `TROUBLE=0` leaves the cut out.

use std::path::Path;
use std::thread;
use std::time::Duration;

use review_kit::record::{note, now_ms};
use review_kit::rules::find_twice;
use review_kit::store::Store;
use review_kit::system::{configuration, run_case, wait_ready, Daemon, Scratch, GTAS};
use review_kit::worker::{Worker, WorkerKind};

const HOST: &str = "nony24.example";
const PREFIX: &str = "/lohu930/";
const SERVICE: &str = "huvo11a";
/// One executor of 16 drains and is cut off: less than `scale_in` 0.065 and `node_cut` 0.17 of the site file.
const WORKERS: usize = 16;
/// The status reports of an executor (`heartbeat_ms`); three of silence end its entry.
const BEAT_MS: u64 = 1_100;
/// How long after its last status report the executor is cut off.
const CUT_AFTER_MS: u64 = 1_000;
/// How long the cut lasts.
const CUT_MS: u64 = 5_500;

fn main() {
    run_case(run);
}

fn sleep_until(at: u64) {
    thread::sleep(Duration::from_millis(at.saturating_sub(now_ms())));
}

fn run(root: &Path, trouble: bool) -> i32 {
    let scratch = Scratch::new("left");
    let store = Store::start();
    store.put("op", "config", &configuration(HOST, PREFIX, SERVICE));
    let zones = ["orange-valley", "carenage", "san-fernando"];
    let daemons: Vec<Daemon> = zones
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
    // Four jobs of 16 tasks that take 5.4 s on 1.8 cores: the longest of the class `buyer-settlement`.
    let body = r#"{"spec":"run_ms=5400 cpu=1800 mem_mb=3200","steps":[{"count":16,"cpu":1800,"mem_mb":3200,"estimated_ms":5400}]}"#;
    let jobs: Vec<String> = (0..4)
        .map(|number| format!("5c0e7a21d94b{number:04x}"))
        .collect();
    for (index, job) in jobs.iter().enumerate() {
        let answer =
            daemons[index % daemons.len()].ask("POST", &format!("{PREFIX}{job}"), HOST, body);
        if answer.is_none_or(|answer| answer.status != 200) {
            note("a job was not accepted");
            return 2;
        }
    }
    let mut busiest = None;
    for _ in 0..100 {
        thread::sleep(Duration::from_millis(10));
        busiest = workers.iter().max_by_key(|worker| worker.live().len());
        if busiest.is_some_and(|worker| worker.live().len() >= 3) {
            break;
        }
    }
    let Some(left) = busiest.filter(|worker| !worker.live().is_empty()) else {
        note("no task was started");
        return 2;
    };
    let at_work = left.live();
    note(format!(
        "{} is to leave; at work there: {}",
        left.kind.id,
        at_work.join(" ")
    ));
    // A status report that says that it is draining; it has nine seconds left.
    left.list("draining", Some(9_000));
    let reported = now_ms();
    if trouble {
        sleep_until(reported + CUT_AFTER_MS);
        note(format!(
            "{} is cut off: its address refuses connections",
            left.kind.id
        ));
        left.server.refuse();
        sleep_until(reported + 3 * BEAT_MS);
        left.unlist();
        sleep_until(reported + CUT_AFTER_MS + CUT_MS);
        note(format!("{} is reached again", left.kind.id));
        left.server.accept_again();
        left.list("draining", Some(2_500));
    }
    sleep_until(reported + 9_000);
    left.unlist();
    left.server.refuse();
    let until = now_ms() + 20_000;
    let mut open = jobs.clone();
    while !open.is_empty() && now_ms() < until {
        thread::sleep(Duration::from_millis(500));
        open.retain(|job| {
            let answer = daemons[0].ask("GET", &format!("{PREFIX}{job}"), HOST, "");
            !answer.is_some_and(|answer| answer.body.contains("completed"))
        });
    }
    let runs: Vec<_> = workers.iter().flat_map(Worker::runs).collect();
    for run in &runs {
        let ended = run
            .ended
            .map_or("running".to_owned(), |(at, how)| format!("{how} at {at}"));
        review_kit::record::note_at(
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
        "{} starts, {} breaches of TWICE, {} jobs not shown as completed",
        runs.len(),
        twice.len(),
        open.len()
    );
    println!("{summary}");
    note(summary);
    if !twice.is_empty() {
        return 1;
    }
    if open.is_empty() {
        0
    } else {
        2
    }
}
