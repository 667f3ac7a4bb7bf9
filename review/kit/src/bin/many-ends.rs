//! A case: while the store is down, an executor has more ends to list than one list holds.
//!
//! Arguments: the project's root, the folder of the case. `TROUBLE=0` leaves the outage out.

use std::path::Path;
use std::thread;
use std::time::Duration;

use review_kit::record::{note, now_ms};
use review_kit::rules::find_twice;
use review_kit::store::{Store, StoreFault};
use review_kit::system::{configuration, run_case, wait_ready, Daemon, Scratch, KODKLASK};
use review_kit::worker::{Worker, WorkerKind};

const HOST: &str = "nony24.example";
const PREFIX: &str = "/lohu930/";
const SERVICE: &str = "huvo11a";
/// The outage: `platform_down` lasts up to 4.5 s in the site file.
const OUTAGE: Duration = Duration::from_millis(4_200);
const JOBS: u64 = 60;
const TASKS: u64 = 100;

fn main() {
    run_case(run);
}

fn run(root: &Path, trouble: bool) -> i32 {
    let scratch = Scratch::new("many-ends");
    let store = Store::start();
    store.put("op", "config", &configuration(HOST, PREFIX, SERVICE));
    let zones = ["brest-a", "quimper-b", "morlaix-c"];
    let daemons: Vec<Daemon> = zones
        .iter()
        .map(|zone| {
            Daemon::start(
                root,
                &scratch,
                &format!("front-{zone}-1"),
                zone,
                store.server.address,
                KODKLASK,
            )
        })
        .collect();
    let workers: Vec<Worker> = zones
        .iter()
        .enumerate()
        .map(|(number, zone)| {
            let kind = WorkerKind {
                id: format!("i-{number}"),
                zone: (*zone).to_owned(),
                rack: format!("r{number}-1"),
                service: SERVICE.to_owned(),
                cpu: 64_000,
                mem_mb: 250_000,
                max_hold_ms: KODKLASK.max_hold_ms,
            };
            Worker::start(&store, kind)
        })
        .collect();
    if !wait_ready(&daemons) {
        note("the daemons did not become ready");
        return 2;
    }
    thread::sleep(Duration::from_millis(2_500));
    // A burst of jobs of 100 short tasks each, of half a core and 0.1 to 0.25 s.
    let body = format!(
        r#"{{"spec":"run_ms=100 spread_ms=150 cpu=500 mem_mb=256","steps":[{{"count":{TASKS},"cpu":500,"mem_mb":256,"estimated_ms":175}}]}}"#
    );
    let jobs: Vec<String> = (0..JOBS)
        .map(|number| format!("5c0e7a21d94b{number:04x}"))
        .collect();
    for (index, job) in jobs.iter().enumerate() {
        let daemon = &daemons[index % daemons.len()];
        let answer = daemon.ask("POST", &format!("{PREFIX}{job}"), HOST, &body);
        if answer.is_none_or(|answer| answer.status != 200) {
            note("a job was not accepted");
            return 2;
        }
    }
    if trouble {
        store.set_fault(StoreFault::Busy);
        thread::sleep(OUTAGE);
        store.set_fault(StoreFault::None);
    }
    // All jobs get the time to end.
    let until = now_ms() + 40_000;
    let mut open = jobs.clone();
    while !open.is_empty() && now_ms() < until {
        thread::sleep(Duration::from_millis(500));
        open.retain(|job| {
            let answer = daemons[0].ask("GET", &format!("{PREFIX}{job}"), HOST, "");
            !answer.is_some_and(|answer| answer.body.contains("completed"))
        });
    }
    thread::sleep(Duration::from_millis(1_000));
    let runs: Vec<_> = workers.iter().flat_map(Worker::runs).collect();
    for run in &runs {
        let ended = run
            .ended
            .map_or("running".to_owned(), |(at, how)| format!("{how} at {at}"));
        let seen = run.seen.map_or("not taken note of".to_owned(), |at| {
            format!("taken note of at {at}")
        });
        review_kit::record::note_at(
            run.began,
            format!(
                "{} starts {} run {}: {ended}, {seen}",
                run.worker, run.task, run.run
            ),
        );
    }
    for worker in &workers {
        note(format!(
            "{}: {} ends to list at most",
            worker.kind.id,
            worker.most_unseen()
        ));
    }
    let twice = find_twice(&runs);
    for breach in twice.iter().take(50) {
        note(format!("TWICE {}: {}", breach.task, breach.text));
    }
    let summary = format!(
        "{} starts of {} tasks, {} breaches of TWICE, {} jobs not shown as completed",
        runs.len(),
        JOBS * TASKS,
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
