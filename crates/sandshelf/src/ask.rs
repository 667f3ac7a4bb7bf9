//! Asks the entry hosts, which are found through the platform's table.

use std::time::Duration;

use reqwest::{Client, RequestBuilder};
use sandshelf_model::Revision;
use sandshelf_platform::{EntryRow, PlatformClient, ReadRange, TableKey, TableTxn};
use sandshelf_transfer::{send_call, CallTimeout};
use serde_json::Value;

use crate::failure::{CommandFailure, FailureKind};
use crate::files::print_json;

/// How long an entry host may send nothing; the status of one with many workers may take longer than that on a thin link.
const PATIENCE: CallTimeout = CallTimeout::Idle(Duration::from_secs(2));
/// The most bytes of an entry host's answer: it names the tasks of each worker that it owns, some 11; at 2 KB a worker 17,000 of
/// them take 34 MB.
const LARGEST_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// One entry host and its status, where it answered.
pub struct FoundStatus {
    /// The entry host.
    pub entry: EntryRow,
    /// Its status as it told it.
    pub status: Option<Value>,
}

impl FoundStatus {
    /// The configuration in force there.
    pub fn revision(&self) -> Option<Revision> {
        self.status.as_ref()?.get("revision")?.as_u64()
    }
}

async fn entries(platform: &PlatformClient) -> Result<Vec<EntryRow>, CommandFailure> {
    let range = ReadRange::prefix(&TableKey::Entries.text());
    let rows = platform.read_range(&range).await?;
    let entries = rows.iter();
    Ok(entries
        .filter_map(|row| serde_json::from_str(&row.value).ok())
        .collect())
}

fn client() -> Result<Client, CommandFailure> {
    let client = Client::builder().no_proxy().build();
    client.map_err(|error| CommandFailure::new(FailureKind::Unreachable, error.to_string()))
}

/// Asks one entry host; none where it gives no answer that can be read.
async fn ask_json(request: RequestBuilder) -> Option<Value> {
    let open = send_call(request, Duration::ZERO, PATIENCE).await.ok()?;
    let body = open.read(LARGEST_ANSWER_BYTES).await.ok()?;
    serde_json::from_slice(&body).ok()
}

/// Asks every entry host for its status.
pub async fn entry_statuses(platform: &PlatformClient) -> Result<Vec<FoundStatus>, CommandFailure> {
    let http = client()?;
    let mut found = Vec::new();
    for entry in entries(platform).await? {
        let url = format!("http://{}/status", entry.operator);
        let status = ask_json(http.get(url)).await;
        found.push(FoundStatus { entry, status });
    }
    Ok(found)
}

/// Prints the recorded reasons for a task, a job or a class of requests.
pub async fn explain(
    platform: &PlatformClient,
    subject: &str,
    json: bool,
) -> Result<(), CommandFailure> {
    let http = client()?;
    let mut lines: Vec<String> = Vec::new();
    for entry in entries(platform).await? {
        let url = format!("http://{}/explain", entry.operator);
        let asked = ask_json(http.get(url).query(&[("subject", subject)])).await;
        let answer = asked.unwrap_or_default();
        let told = answer.get("lines").and_then(Value::as_array);
        for line in told.into_iter().flatten().filter_map(Value::as_str) {
            lines.push(format!("{}: {line}", entry.name));
        }
    }
    if lines.is_empty() {
        let message = format!("no entry host knows a task, job or class '{subject}'");
        return Err(CommandFailure::new(FailureKind::Missing, message));
    }
    if json {
        print_json(&lines);
    } else {
        lines.iter().for_each(|line| println!("{line}"));
    }
    Ok(())
}

/// Records that workers or entry hosts are to be emptied.
pub async fn drain(platform: &PlatformClient, names: &[String]) -> Result<(), CommandFailure> {
    let list = platform.host_list().await?;
    let entries = entries(platform).await?;
    let known = |name: &String| {
        list.hosts.iter().any(|host| &host.name == name)
            || entries.iter().any(|entry| &entry.name == name)
    };
    if let Some(name) = names.iter().find(|name| !known(name)) {
        let message = format!("there is no worker or entry host '{name}'; nothing is drained");
        return Err(CommandFailure::new(FailureKind::Missing, message));
    }
    let mut txn = TableTxn::new("drain");
    for name in names {
        txn = txn.put(&TableKey::Drain(name).text(), "drain");
    }
    platform.transact(&txn).await?;
    println!("draining: {}", names.join(", "));
    Ok(())
}
