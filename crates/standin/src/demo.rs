//! The demo: runs the local system as processes with each example configuration set, and sends requests, runs batch jobs and
//! a watch job on it.

use std::path::PathBuf;

use sandshelf_standin::harness::{wait_until, LocalProcess, LocalSystem};
use serde_json::Value;

/// The number of workers that the demo starts in each hall.
const WORKERS_PER_HALL: usize = 2;
/// The number of requests that the demo sends through each entry host.
const REQUESTS: &str = "50";
/// Settings with a short drain, so that the demo takes little time.
const LIMITS: &str = r#""drain_ms": 300"#;

/// What the demo needs to know about an example configuration set: its halls, and a service with a path to request.
struct DemoSet {
    halls: Vec<&'static str>,
    service: &'static str,
    path: &'static str,
}

fn demo_set(path: &std::path::Path) -> Result<DemoSet, String> {
    match path.file_name().and_then(|name| name.to_str()) {
        Some("auction") => Ok(DemoSet {
            halls: vec!["orange-valley", "carenage"],
            service: "pricing",
            path: "/pricing/lots/17",
        }),
        Some("code-search") => Ok(DemoSet {
            halls: vec!["brest-a", "quimper-b"],
            service: "search",
            path: "/search/query?text=binary+tree",
        }),
        _ => Err(format!(
            "the demo does not support the set {}",
            path.display()
        )),
    }
}

/// Runs the demo for the configuration set in each directory.
pub async fn run(sets: &[PathBuf]) -> Result<(), String> {
    for set in sets {
        run_one(set).await?;
    }
    Ok(())
}

async fn run_one(directory: &std::path::Path) -> Result<(), String> {
    let set = demo_set(directory)?;
    println!("== {}", directory.display());
    let mut system = LocalSystem::start();
    for hall in &set.halls {
        for number in 1..=WORKERS_PER_HALL {
            let name = format!("{hall}-w{number}");
            system.add_worker(&name, hall, set.service, 5);
        }
    }
    for (number, hall) in set.halls.iter().enumerate() {
        system.add_host(&format!("entry-{}", number + 1), hall, LIMITS);
    }
    println!(
        "started: 1 platform, {} workers with backend servers, {} entry hosts",
        system.workers.len(),
        system.hosts.len()
    );
    print_command(
        &system,
        &["apply", &directory.display().to_string(), "--wait", "20"],
    )?;
    system.wait_ready().await;
    send_requests(&system, &set);
    wait_for_batch(&system).await;
    print_command(&system, &["show"])?;
    for job in ["reconcile", "rebuild-index", "too-large"] {
        let output = system.command(&["explain", job]);
        print!("{}", String::from_utf8_lossy(&output.stdout));
    }
    stop(system)
}

fn print_command(system: &LocalSystem, arguments: &[&str]) -> Result<(), String> {
    println!("\n$ sandshelf {}", arguments.join(" "));
    let output = system.command(arguments);
    print!("{}", String::from_utf8_lossy(&output.stdout));
    if output.status.success() {
        Ok(())
    } else {
        Err(String::from_utf8_lossy(&output.stderr).into_owned())
    }
}

fn send_requests(system: &LocalSystem, set: &DemoSet) {
    println!();
    for host in system.hosts.values() {
        let entry = host.caller.to_string();
        let arguments = [
            "caller", "--entry", &entry, "--path", set.path, "--count", REQUESTS,
        ];
        let mut caller = LocalProcess::start("sandshelf-standin", &arguments);
        caller.wait_end();
        caller.wait_for("mean");
        caller.lines("").iter().for_each(|line| println!("{line}"));
    }
}

/// Waits until at least four batch tasks have finished and a watch job runs.
async fn wait_for_batch(system: &LocalSystem) {
    let batch_progressed = || async {
        let mut finished = 0;
        let mut watches = 0;
        for host in system.hosts.values() {
            let status = system.get(host.operator, "/status").await?;
            for shard in status["shards"].as_array()? {
                finished += shard["stats"]["finished"].as_u64().unwrap_or(0);
                watches += shard["jobs"]
                    .as_array()?
                    .iter()
                    .filter(is_running_watch)
                    .count();
            }
        }
        (finished >= 4 && watches >= 1).then_some(())
    };
    wait_until(
        "batch tasks have finished and a watch job runs",
        batch_progressed,
    )
    .await;
}

fn is_running_watch(job: &&Value) -> bool {
    let stages = job["stages"].as_array();
    let placed = |stage: &Value| stage["stage"] == "placed";
    job["watch"] == true && stages.is_some_and(|stages| stages.iter().any(placed))
}

fn stop(mut system: LocalSystem) -> Result<(), String> {
    for host in system.hosts.values() {
        host.process.signal("TERM");
    }
    for (name, host) in &mut system.hosts {
        match host.process.wait_end() {
            Some(0) => println!("{name} stopped as planned"),
            code => return Err(format!("{name} exited with {code:?}")),
        }
    }
    println!();
    Ok(())
}
