//! Measures the latency that one entry host adds to direct calls of a backend server, with real processes over loopback.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use sandshelf_standin::harness::{wait_until, LocalSystem};

/// Duration of each measurement.
const MEASURE_DURATION: Duration = Duration::from_secs(4);
/// Service time of a request at the backend server.
const SERVICE_MS: u64 = 5;

const CONFIG_SET: &str = r#"{ "services": [ { "name": "pricing", "repeatable": true, "deadline_ms": 5000,
    "tail_target_ms": 50, "replicas": 4, "cpu_millis": 1000, "memory_mib": 1000 } ] }"#;

/// Results of one measurement. The latency is in microseconds; `requests` counts only successful requests.
struct WireStats {
    latency: Histogram<u64>,
    requests: u64,
    failed: u64,
}

/// Starts a local system and prints a comparison of direct calls with calls through an entry host.
///
/// # Errors
/// The async runtime can't be started.
pub fn print_wire() -> Result<(), String> {
    let runtime = tokio::runtime::Runtime::new().map_err(|error| error.to_string())?;
    runtime.block_on(run());
    Ok(())
}

async fn run() {
    let mut system = LocalSystem::start();
    for number in 0..4 {
        system.add_worker(&format!("w-{number}"), "north", "pricing", SERVICE_MS);
    }
    system.add_host("entry-1", "north", "");
    let set = system.write_set("wire", CONFIG_SET);
    system.command(&["apply", &set.display().to_string(), "--wait", "20"]);
    system.wait_ready().await;
    let host = &system.hosts["entry-1"];
    let all_slots_shared = || async {
        let status = system.get(host.operator, "/status").await?;
        let servers = status["servers"].as_array()?.clone();
        let sum: u64 = servers
            .iter()
            .filter_map(|server| server["share"].as_u64())
            .sum();
        (sum == 32).then_some(())
    };
    wait_until("all slots are shared", all_slots_shared).await;
    let backends: Vec<SocketAddr> = system
        .workers
        .values()
        .map(|worker| worker.backend)
        .collect();
    println!("| callers | way | requests/s | p50 us | p99 us | failed | daemon MiB |");
    println!("|--:|---|--:|--:|--:|--:|--:|");
    for callers in [1, 16, 24] {
        let direct = measure(callers, backends.clone()).await;
        print_row(callers, "direct", &direct, None);
        let through = measure(callers, vec![host.caller]).await;
        print_row(callers, "entry host", &through, Some(host.process.id()));
        let ratio = |quantile: f64| {
            through.latency.value_at_quantile(quantile) as f64
                / direct.latency.value_at_quantile(quantile) as f64
        };
        println!(
            "| {callers} | ratio | | {:.2} | {:.2} | | |",
            ratio(0.5),
            ratio(0.99)
        );
    }
    for callers in [100, 1_000] {
        let through = measure(callers, vec![host.caller]).await;
        print_row(callers, "entry host", &through, Some(host.process.id()));
    }
}

fn print_row(callers: usize, path: &str, stats: &WireStats, process: Option<u32>) {
    let memory = process.map_or(String::new(), |id| format!("{:.0}", resident_mib(id)));
    println!(
        "| {callers} | {path} | {:.0} | {} | {} | {} | {memory} |",
        stats.requests as f64 / MEASURE_DURATION.as_secs_f64(),
        stats.latency.value_at_quantile(0.5),
        stats.latency.value_at_quantile(0.99),
        stats.failed
    );
}

fn resident_mib(process: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/statm")).unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<f64>().ok())
        .unwrap_or(0.0)
        / 256.0
}

/// Runs `callers` concurrent callers for [`MEASURE_DURATION`], each with one request at a time, spread evenly over `targets`.
async fn measure(callers: usize, targets: Vec<SocketAddr>) -> WireStats {
    let client = reqwest::Client::new();
    let failed = Arc::new(AtomicU64::new(0));
    let deadline = Instant::now() + MEASURE_DURATION;
    let mut tasks = Vec::new();
    for number in 0..callers {
        let client = client.clone();
        let failed = failed.clone();
        let url = format!(
            "http://{}/pricing/{number}",
            targets[number % targets.len()]
        );
        tasks.push(tokio::spawn(async move {
            let mut latencies = Vec::new();
            while Instant::now() < deadline {
                let began = Instant::now();
                let response = client.get(&url).send().await;
                let complete = match response {
                    Ok(response) if response.status() == 200 => response.bytes().await.is_ok(),
                    _ => false,
                };
                if complete {
                    latencies.push(began.elapsed().as_micros() as u64);
                } else {
                    failed.fetch_add(1, Ordering::Relaxed);
                }
            }
            latencies
        }));
    }
    let mut latency = Histogram::new(3).expect("three significant digits are supported");
    let mut requests = 0;
    for task in tasks {
        for latency_us in task.await.unwrap_or_default() {
            requests += 1;
            latency
                .record(latency_us)
                .expect("the histogram resizes automatically");
        }
    }
    WireStats {
        latency,
        requests,
        failed: failed.load(Ordering::Relaxed),
    }
}
