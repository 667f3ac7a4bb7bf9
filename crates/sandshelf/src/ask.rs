//! Queries the entry hosts, which are listed in the platform's table, and marks hosts for draining.

use std::time::Duration;

use reqwest::{Client, RequestBuilder};
use sandshelf_model::Revision;
use sandshelf_platform::{EntryRow, PlatformClient, ReadRange, TableKey, TableTxn};
use sandshelf_transfer::{send_call, CallTimeout};
use serde_json::Value;

use crate::failure::{CommandFailure, FailureKind};
use crate::files::print_json;

/// An entry host that sends nothing for this long counts as not answering. The limit is on silence, not on the whole answer: the
/// status of a host with many workers may take longer than this on a slow link.
const IDLE_TIMEOUT: CallTimeout = CallTimeout::Idle(Duration::from_secs(2));
/// The maximum size of an entry host's answer. A status lists the tasks of each worker that the host owns, about 11 per worker; at 2 KB
/// per worker, 17,000 workers take 34 MB.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// An entry host and its reply to a status request.
pub struct EntryReply {
    /// The entry host's row in the platform's table.
    pub entry: EntryRow,
    /// Its status as JSON; none if it did not answer.
    pub status: Option<Value>,
}

impl EntryReply {
    /// Returns the revision of the configuration in force on this host; none if it is unknown.
    pub fn revision(&self) -> Option<Revision> {
        self.status.as_ref()?.get("revision")?.as_u64()
    }
}

/// Reads the rows of all entry hosts; rows that can't be parsed are skipped.
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

/// Sends a request to an entry host; none if it does not answer or the answer is not JSON.
async fn fetch_json(request: RequestBuilder) -> Option<Value> {
    let response = send_call(request, Duration::ZERO, IDLE_TIMEOUT)
        .await
        .ok()?;
    let body = response.read(MAX_ANSWER_BYTES).await.ok()?;
    serde_json::from_slice(&body).ok()
}

/// Requests the status of every entry host.
pub async fn entry_statuses(platform: &PlatformClient) -> Result<Vec<EntryReply>, CommandFailure> {
    let http = client()?;
    let mut replies = Vec::new();
    for entry in entries(platform).await? {
        let url = format!("http://{}/status", entry.operator);
        let status = fetch_json(http.get(url)).await;
        replies.push(EntryReply { entry, status });
    }
    Ok(replies)
}

/// Prints what the entry hosts have recorded about a task, a job or a class of requests, each line with the host's name.
pub async fn explain(
    platform: &PlatformClient,
    subject: &str,
    json: bool,
) -> Result<(), CommandFailure> {
    let http = client()?;
    let mut lines: Vec<String> = Vec::new();
    for entry in entries(platform).await? {
        let url = format!("http://{}/explain", entry.operator);
        let response = fetch_json(http.get(url).query(&[("subject", subject)])).await;
        let answer = response.unwrap_or_default();
        let reasons = answer.get("lines").and_then(Value::as_array);
        for line in reasons.into_iter().flatten().filter_map(Value::as_str) {
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

/// Marks workers or entry hosts for draining in the platform's table; marks none if one of the names is unknown.
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
