//! A trial: a caller cancels a job whose submission got no answer, and the store carries the submission out afterwards.

use std::path::Path;
use std::thread;
use std::time::Duration;

use review_kit::record::{note, note_at, now_ms};
use review_kit::store::{Store, StoreFault};
use review_kit::system::{configuration, run_case, wait_ready, Daemon, Scratch, GTAS};
use review_kit::worker::{Worker, WorkerKind};

const HOST: &str = "nony24.example";
const PREFIX: &str = "/lohu930/";
const SERVICE: &str = "huvo11a";
/// `platform_lost`, how "late": done 1 to 6 s later, for 4.5 s, a share of 0.35 of the writes.
const LATE_MS: u64 = 5_800;
const LOST_MS: u64 = 4_400;
const CANCEL_MS: u64 = 3_000;

fn main() {
    run_case(run);
}

fn run(root: &Path, trouble: bool) -> i32 {
    let scratch = Scratch::new("cancel-unknown");
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
    let workers: Vec<Worker> = (0..6)
        .map(|number| {
            let kind = WorkerKind {
                id: format!("i-{number:02}"),
                zone: zones[number % 3].to_owned(),
                rack: format!("r{}-1", number % 3),
                service: SERVICE.to_owned(),
                cpu: 16_000,
                mem_mb: 62_500,
                max_hold_ms: GTAS.max_hold_ms,
            };
            Worker::start(&store, kind)
        })
        .collect();
    if !wait_ready(&daemons) {
        return 2;
    }
    thread::sleep(Duration::from_millis(2_500));
    let body = r#"{"spec":"run_ms=800 cpu=500 mem_mb=256","steps":[{"count":1,"cpu":500,"mem_mb":256,"estimated_ms":900}]}"#;
    let mut cancelled = Vec::new();
    if trouble {
        store.set_fault(StoreFault::LostLate(LATE_MS));
    }
    let until = now_ms() + LOST_MS;
    let mut number = 0;
    while now_ms() < until && number < 200 {
        number += 1;
        let job = format!("5c0e7a21d94b{number:04x}");
        let daemon = &daemons[number % daemons.len()];
        let answer = daemon.ask("POST", &format!("{PREFIX}{job}"), HOST, body);
        if answer.is_none_or(|answer| answer.status == 504) {
            let other = &daemons[(number + 1) % daemons.len()];
            let answer = other.ask("DELETE", &format!("{PREFIX}{job}"), HOST, "");
            if answer.is_some_and(|answer| answer.status == 200 || answer.status == 410) {
                cancelled.push((job, now_ms()));
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    if trouble {
        store.set_fault(StoreFault::None);
    }
    thread::sleep(Duration::from_millis(12_000));
    let mut breaches = 0;
    for run in workers.iter().flat_map(Worker::runs) {
        note_at(
            run.began,
            format!("{} starts {} run {}", run.worker, run.task, run.run),
        );
        let of_job = cancelled
            .iter()
            .find(|(job, _)| run.task.starts_with(job.as_str()));
        if let Some((job, at)) = of_job.filter(|(_, at)| run.began > at + CANCEL_MS) {
            breaches += 1;
            note(format!(
                "UNASKED: {job}, cancelled at {at}, starts at {}",
                run.began
            ));
        }
    }
    let summary = format!(
        "{} cancelled without an answer to the submission, {breaches} started more than 3 s later",
        cancelled.len()
    );
    println!("{summary}");
    note(summary);
    i32::from(breaches > 0)
}
