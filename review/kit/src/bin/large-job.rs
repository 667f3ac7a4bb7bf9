//! A trial: one job with so many tasks that its stored progress does not fit into one write of the owner.

use std::path::Path;
use std::thread;
use std::time::Duration;

use review_kit::record::{note, now_ms};
use review_kit::store::Store;
use review_kit::system::{configuration, run_case, wait_ready, Daemon, Scratch, KODKLASK};
use review_kit::worker::{Worker, WorkerKind};

const HOST: &str = "nony24.example";
const PREFIX: &str = "/lohu930/";
const SERVICE: &str = "huvo11a";
const LARGE: &str = "5c0e7a21d94bffff";

fn main() {
    run_case(run);
}

fn run(root: &Path, trouble: bool) -> i32 {
    let scratch = Scratch::new("large-job");
    let store = Store::start();
    store.put("op", "config", &configuration(HOST, PREFIX, SERVICE));
    let zones = ["brest-a", "quimper-b", "morlaix-c"];
    let start = |zone: &&str| {
        let name = format!("front-{zone}-1");
        Daemon::start(root, &scratch, &name, zone, store.server.address, KODKLASK)
    };
    let daemons: Vec<Daemon> = zones.iter().map(start).collect();
    let workers: Vec<Worker> = (0..6)
        .map(|number| {
            let kind = WorkerKind {
                id: format!("i-{number}"),
                zone: zones[number % 3].to_owned(),
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
        return 2;
    }
    thread::sleep(Duration::from_millis(2_500));
    if trouble {
        let step = r#"{"count":10000,"cpu":100,"mem_mb":50,"estimated_ms":35}"#;
        let body = format!(
            r#"{{"spec":"run_ms=20 spread_ms=30 cpu=100 mem_mb=50","steps":[{step},{step},{step}]}}"#
        );
        daemons[0].ask("POST", &format!("{PREFIX}{LARGE}"), HOST, &body);
    }
    let small = r#"{"spec":"run_ms=200 cpu=500 mem_mb=256","steps":[{"count":2,"cpu":500,"mem_mb":256,"estimated_ms":200}]}"#;
    let mut open: Vec<(String, u64)> = Vec::new();
    let (mut number, mut ended, mut next_at) = (0, 0, 0);
    while now_ms() < 90_000 && (trouble || now_ms() < 20_000) {
        thread::sleep(Duration::from_millis(200));
        if now_ms() >= next_at && now_ms() < 70_000 {
            next_at = now_ms() + 2_000;
            number += 1;
            let job = format!("5c0e7a21d94b{number:04x}");
            daemons[1].ask("POST", &format!("{PREFIX}{job}"), HOST, small);
            open.push((job, now_ms()));
        }
        open.retain(|(job, sent)| {
            let answer = daemons[2].ask("GET", &format!("{PREFIX}{job}"), HOST, "");
            let done = answer.is_some_and(|answer| answer.body.contains("completed"));
            if done {
                ended += 1;
                note(format!(
                    "{job} is shown as completed {} ms after it was sent",
                    now_ms() - sent
                ));
            }
            !done
        });
    }
    let runs: usize = workers.iter().map(|worker| worker.runs().len()).sum();
    let summary = format!(
        "{runs} starts; small jobs: {ended} completed, {} open: {:?}",
        open.len(),
        open.first()
    );
    println!("{summary}");
    note(summary);
    i32::from(!open.is_empty())
}
