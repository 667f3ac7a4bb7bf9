//! Prints the state that the entry hosts report: revisions, requests, shards, jobs, quotas and workers.

use std::time::Duration;

use sandshelf_platform::PlatformClient;
use serde_json::Value;
use tokio::time::sleep;

use crate::ask::{entry_statuses, EntryReply};
use crate::failure::CommandFailure;
use crate::files::print_json;

/// Prints the state once, as tables or as JSON. Entry hosts that do not answer are left out of the JSON.
pub async fn show(platform: &PlatformClient, json: bool) -> Result<(), CommandFailure> {
    let replies = entry_statuses(platform).await?;
    if json {
        let statuses: Vec<&Value> = replies
            .iter()
            .filter_map(|reply| reply.status.as_ref())
            .collect();
        print_json(&statuses);
        return Ok(());
    }
    print_hosts(&replies);
    print_shards(&replies);
    print_jobs(&replies);
    print_quotas(&replies);
    print_workers(&replies);
    Ok(())
}

/// Prints the state `count` times, at least once, or until the process is stopped; pauses for `every` in between.
pub async fn watch(
    platform: &PlatformClient,
    every: Duration,
    count: Option<u64>,
    json: bool,
) -> Result<(), CommandFailure> {
    let mut shown = 0;
    loop {
        show(platform, json).await?;
        shown += 1;
        if count.is_some_and(|count| shown >= count) {
            return Ok(());
        }
        println!();
        sleep(every).await;
    }
}

/// Returns a field as text; `-` if it is absent or null.
fn text(value: &Value, key: &str) -> String {
    match value.get(key) {
        Some(Value::String(text)) => text.clone(),
        Some(Value::Null) | None => "-".to_owned(),
        Some(other) => other.to_string(),
    }
}

/// Iterates over the elements of an array field; empty if it is absent or not an array.
fn list<'a>(value: &'a Value, key: &str) -> impl Iterator<Item = &'a Value> {
    value
        .get(key)
        .and_then(Value::as_array)
        .into_iter()
        .flatten()
}

fn print_hosts(replies: &[EntryReply]) {
    println!(
        "{:<16} {:<14} {:>8} {:<8} {:>6} {:>8} {:>8} {:>8} {:>8}",
        "ENTRY HOST",
        "HALL",
        "REVISION",
        "READY",
        "SHARDS",
        "ARRIVED",
        "ANSWERED",
        "NOT RUN",
        "UNKNOWN"
    );
    for reply in replies {
        let Some(status) = &reply.status else {
            println!(
                "{:<16} {:<14} does not answer",
                reply.entry.name, reply.entry.hall
            );
            continue;
        };
        let requests = status.get("requests").cloned().unwrap_or_default();
        println!(
            "{:<16} {:<14} {:>8} {:<8} {:>6} {:>8} {:>8} {:>8} {:>8}",
            reply.entry.name,
            text(status, "hall"),
            text(status, "revision"),
            text(status, "ready"),
            list(status, "shards").count(),
            text(&requests, "arrived"),
            text(&requests, "delivered"),
            text(&requests, "refused"),
            text(&requests, "unknown"),
        );
    }
}

fn shards(replies: &[EntryReply]) -> impl Iterator<Item = (&EntryReply, &Value)> {
    let with_status = replies
        .iter()
        .filter_map(|reply| Some((reply, reply.status.as_ref()?)));
    with_status.flat_map(|(reply, status)| list(status, "shards").map(move |shard| (reply, shard)))
}

fn print_shards(replies: &[EntryReply]) {
    println!(
        "\n{:<20} {:<16} {:>6} {:>8} {:>8} {:>9} {:>9}",
        "SHARD", "OWNER", "EPOCH", "WAITING", "RUNNING", "FINISHED", "EVICTIONS"
    );
    for (reply, shard) in shards(replies) {
        let stats = shard.get("stats").cloned().unwrap_or_default();
        println!(
            "{:<20} {:<16} {:>6} {:>8} {:>8} {:>9} {:>9}",
            text(shard, "shard"),
            reply.entry.name,
            text(shard, "epoch"),
            text(shard, "waiting"),
            text(shard, "placed"),
            text(&stats, "finished"),
            text(&stats, "evictions"),
        );
    }
}

fn print_jobs(replies: &[EntryReply]) {
    println!(
        "\n{:<24} {:<14} {:<6} {:<20} TASKS",
        "JOB", "TEAM", "KIND", "SHARD"
    );
    for (_, shard) in shards(replies) {
        for job in list(shard, "jobs") {
            let stages: Vec<String> = list(job, "stages")
                .map(|stage| format!("{} {}", text(stage, "tasks"), text(stage, "stage")))
                .collect();
            let kind = if text(job, "watch") == "true" {
                "watch"
            } else {
                "batch"
            };
            println!(
                "{:<24} {:<14} {:<6} {:<20} {}",
                text(job, "job"),
                text(job, "team"),
                kind,
                text(shard, "shard"),
                stages.join(", ")
            );
        }
    }
}

fn print_quotas(replies: &[EntryReply]) {
    println!(
        "\n{:<20} {:<20} {:>10} {:>10} {:>10} {:>10}",
        "TEAM", "SHARD", "SLICE CPU", "HELD CPU", "SLICE MIB", "HELD MIB"
    );
    for (_, shard) in shards(replies) {
        for quota in list(shard, "quotas") {
            let slice = quota.get("slice").cloned().unwrap_or_default();
            let held = quota.get("held").cloned().unwrap_or_default();
            println!(
                "{:<20} {:<20} {:>10} {:>10} {:>10} {:>10}",
                text(quota, "team"),
                text(shard, "shard"),
                text(&slice, "cpu_millis"),
                text(&held, "cpu_millis"),
                text(&slice, "memory_mib"),
                text(&held, "memory_mib"),
            );
        }
    }
}

fn print_workers(replies: &[EntryReply]) {
    println!(
        "\n{:<20} {:<20} {:<8} {:>10} {:>10}  RUNNING",
        "WORKER", "SHARD", "STATE", "FREE CPU", "FREE MIB"
    );
    for (_, shard) in shards(replies) {
        for worker in list(shard, "workers") {
            let free = worker.get("free").cloned().unwrap_or_default();
            let attempts: Vec<String> = list(worker, "attempts")
                .filter_map(|attempt| attempt.as_str().map(str::to_owned))
                .collect();
            // `leaving`: the worker is being drained. `open`: it has accepted this owner's epoch. `unseen`: not yet.
            let state = match (
                text(worker, "leaving").as_str(),
                text(worker, "fenced").as_str(),
            ) {
                ("true", _) => "leaving",
                (_, "true") => "open",
                _ => "unseen",
            };
            println!(
                "{:<20} {:<20} {:<8} {:>10} {:>10}  {}",
                text(worker, "worker"),
                text(shard, "shard"),
                state,
                text(&free, "cpu_millis"),
                text(&free, "memory_mib"),
                attempts.join(" ")
            );
        }
    }
}
