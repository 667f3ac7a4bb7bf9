//! The small system of processes with which most tests start.

#![allow(dead_code)]

use reqwest::Response;
use sandshelf_standin::harness::{wait_until, LocalSystem};

/// The configuration set that most tests use.
pub const SET: &str = r#"{
  "services": [
    { "name": "pricing", "repeatable": true, "deadline_ms": 5000, "tail_target_ms": 50,
      "replicas": 2, "cpu_millis": 1000, "memory_mib": 1000 },
    { "name": "settlement", "repeatable": false, "deadline_ms": 5000, "tail_target_ms": 50,
      "replicas": 2, "cpu_millis": 1000, "memory_mib": 1000 }
  ],
  "teams": [ { "name": "accounts", "cpu_millis": 20000, "memory_mib": 40000 } ],
  "jobs": [
    { "name": "reconcile", "team": "accounts", "tasks": 4, "cpu_millis": 1000, "memory_mib": 500,
      "repeatable": true, "run_ms": 200 }
  ]
}"#;
/// Settings of entry hosts with short leases and a short drain.
pub const LIMITS: &str = r#""shard_lease_ms": 800, "task_lease_ms": 8000, "drain_ms": 400"#;

/// Runs a test on a new runtime.
pub fn block_on(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(test);
}

/// Starts two workers with servers of `pricing`, a worker with a server of `settlement`, and two entry hosts, in the halls
/// north and south.
pub fn small_system() -> LocalSystem {
    let mut system = LocalSystem::start();
    system.add_worker("w-1", "north", "pricing", 5);
    system.add_worker("w-2", "south", "pricing", 5);
    system.add_worker("w-3", "north", "settlement", 5);
    system.add_host("entry-1", "north", LIMITS);
    system.add_host("entry-2", "south", LIMITS);
    system
}

/// Starts the small system, applies [`SET`], and waits until it is in force and every entry host has a share of the slots.
pub async fn applied_system() -> LocalSystem {
    let system = small_system();
    let set = system.write_set("first", SET);
    let output = system.command(&["apply", &set.display().to_string(), "--wait", "30"]);
    let printed = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{printed}");
    assert!(
        printed.contains("in force at every entry host"),
        "{printed}"
    );
    system.wait_ready().await;
    wait_for_shares(&system).await;
    system
}

/// Waits until every entry host has a share of the slots of at least one backend server.
pub async fn wait_for_shares(system: &LocalSystem) {
    for host in system.hosts.values() {
        let shared = || async {
            let status = system.get(host.operator, "/status").await?;
            let servers = status["servers"].as_array()?.clone();
            let shares = servers.iter().map(|server| server["share"].as_u64());
            (shares.sum::<Option<u64>>()? > 0).then_some(())
        };
        wait_until("an entry host has a share of the slots", shared).await;
    }
}

/// Returns a header of an answer; empty where the header is missing or not text.
pub fn header<'a>(response: &'a Response, name: &str) -> &'a str {
    let value = response.headers().get(name);
    value.and_then(|value| value.to_str().ok()).unwrap_or("")
}

/// Applies a configuration set with the operators' command, and waits until it is in force.
pub fn apply(system: &LocalSystem, name: &str, text: &str) {
    let set = system.write_set(name, text);
    let output = system.command(&["apply", &set.display().to_string(), "--wait", "30"]);
    let printed = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.success(), "{printed}");
}
