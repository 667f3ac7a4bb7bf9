//! Changes the set in force: stores the set as an object, updates the head row with one conditional write, and reports the outcome.

use std::path::Path;
use std::time::{Duration, Instant};

use rand::RngExt;
use sandshelf_config::{difference, ChangeKind, ConfigSet, SetChange};
use sandshelf_lease::HeadRow;
use sandshelf_model::Revision;
use sandshelf_platform::{PlatformClient, RowCheck, StoreFault, TableKey, TableTxn, TxnOutcome};
use serde::Serialize;
use tokio::time::sleep;

use crate::ask::entry_statuses;
use crate::failure::{CommandFailure, FailureKind};
use crate::files::{print_json, read_set};

/// How long a write of the head is retried before its outcome is reported as unknown.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(15);
/// The pause between two tries of a write or a cancellation, and between two polls of the entry hosts.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// The maximum number of tries of a cancellation; one fails when another operator's change is accepted first.
const MAX_CANCEL_TRIES: usize = 10;

/// Options of a change of the set in force.
#[derive(Clone, Debug)]
pub struct ApplyOptions {
    /// Change only if this revision is in force; none for no condition.
    pub expect: Option<Revision>,
    /// How long to wait until every entry host has the change in force; none to return at once.
    pub wait: Option<Duration>,
    /// Whether to print JSON instead of text.
    pub json: bool,
}

/// The head and the set in force. Before the first change: version 0 and an empty set.
struct CurrentHead {
    /// The version of the head row, for the condition of the next write.
    version: u64,
    head: HeadRow,
    set: ConfigSet,
}

/// The result of a change, printed as JSON.
#[derive(Serialize)]
struct ApplyReport {
    revision: Revision,
    digest: String,
    changes: Vec<SetChange>,
    /// Whether every entry host has the change in force; none if it was not waited for.
    in_force_everywhere: Option<bool>,
}

/// The known outcome of a write of the head.
enum WriteOutcome {
    Accepted,
    /// Another operator's write was accepted first; holds its head.
    LostTo(Box<HeadRow>),
}

async fn read_head(platform: &PlatformClient) -> Result<CurrentHead, CommandFailure> {
    let Some(row) = platform.read_row(&TableKey::Head.text()).await? else {
        return Ok(CurrentHead {
            version: 0,
            head: HeadRow::default(),
            set: ConfigSet::default(),
        });
    };
    let head: HeadRow = serde_json::from_str(&row.value).map_err(|error| {
        let message =
            format!("the row 'head' can't be read: {error}; it was not written by sandshelf");
        CommandFailure::new(FailureKind::Unreachable, message)
    })?;
    let set = read_object(platform, &head).await?;
    Ok(CurrentHead {
        version: row.version,
        head,
        set,
    })
}

async fn read_object(
    platform: &PlatformClient,
    head: &HeadRow,
) -> Result<ConfigSet, CommandFailure> {
    let bytes = platform.get_object(&head.digest).await?;
    ConfigSet::from_bytes(&bytes).map_err(|error| {
        let message = format!("the set {} can't be read: {error}", head.digest);
        CommandFailure::new(FailureKind::Unreachable, message)
    })
}

/// Prints the differences between the set in force and the set in `directory`.
pub async fn diff(
    platform: &PlatformClient,
    directory: &Path,
    json: bool,
) -> Result<(), CommandFailure> {
    let set = read_set(directory)?;
    let current = read_head(platform).await?;
    let changes = difference(&current.set, &set);
    if json {
        print_json(&changes);
        return Ok(());
    }
    if changes.is_empty() {
        println!("nothing differs from revision {}", current.head.revision);
    }
    print_changes(&changes);
    Ok(())
}

fn print_changes(changes: &[SetChange]) {
    for change in changes {
        let sign = match change.change {
            ChangeKind::Added => '+',
            ChangeKind::Removed => '-',
            ChangeKind::Changed => '~',
        };
        println!("{sign} {}", change.subject);
    }
}

/// Puts the set in `directory` in force.
///
/// Fails with [`FailureKind::LostRace`] if the expected revision is not in force or another operator's change is accepted first.
pub async fn apply(
    platform: &PlatformClient,
    directory: &Path,
    options: &ApplyOptions,
) -> Result<(), CommandFailure> {
    let set = read_set(directory)?;
    let current = read_head(platform).await?;
    if options
        .expect
        .is_some_and(|expect| expect != current.head.revision)
    {
        return Err(lost_race(platform, &current.head, &set).await);
    }
    let head = next_head(&current.head, &set);
    match write_head(platform, current.version, &head, &set).await? {
        WriteOutcome::Accepted => report(platform, &head, &current.set, &set, options).await,
        WriteOutcome::LostTo(winner) => Err(lost_race(platform, &winner, &set).await),
    }
}

/// Removes jobs from the set in force; retries if another operator's change is accepted first.
pub async fn cancel(
    platform: &PlatformClient,
    jobs: &[String],
    options: &ApplyOptions,
) -> Result<(), CommandFailure> {
    for _ in 0..MAX_CANCEL_TRIES {
        let current = read_head(platform).await?;
        let set = without_jobs(&current.set, jobs)?;
        let head = next_head(&current.head, &set);
        match write_head(platform, current.version, &head, &set).await? {
            WriteOutcome::Accepted => {
                return report(platform, &head, &current.set, &set, options).await
            }
            WriteOutcome::LostTo(_) => sleep(RETRY_PAUSE).await,
        }
    }
    let message = "other operators kept changing the set; nothing was cancelled, try again";
    Err(CommandFailure::new(FailureKind::LostRace, message))
}

fn without_jobs(set: &ConfigSet, jobs: &[String]) -> Result<ConfigSet, CommandFailure> {
    let declared = |name: &String| set.jobs.iter().any(|spec| spec.name.as_str() == name);
    let unknown: Vec<&String> = jobs.iter().filter(|name| !declared(name)).collect();
    if let Some(name) = unknown.first() {
        let message = format!("no job '{name}' is declared; nothing was cancelled");
        return Err(CommandFailure::new(FailureKind::Missing, message));
    }
    let mut set = set.clone();
    set.jobs
        .retain(|spec| !jobs.iter().any(|name| spec.name.as_str() == name));
    Ok(set)
}

fn next_head(current: &HeadRow, set: &ConfigSet) -> HeadRow {
    let nonce: u64 = rand::rng().random();
    let user = std::env::var("USER").unwrap_or_else(|_| "unnamed".to_owned());
    HeadRow {
        revision: current.revision + 1,
        digest: set.digest(),
        token: format!("{user}:{nonce:016x}"),
        operator: user,
    }
}

/// Stores the set, then writes the head with the condition that its row still has `version`; retries until the outcome is certain.
///
/// The head's token tells whether a conflict comes from an earlier try of the same write, whose answer was lost.
async fn write_head(
    platform: &PlatformClient,
    version: u64,
    head: &HeadRow,
    set: &ConfigSet,
) -> Result<WriteOutcome, CommandFailure> {
    platform.put_object(&head.digest, set.to_bytes()).await?;
    let key = TableKey::Head.text();
    let text = serde_json::to_string(head).unwrap_or_default();
    let txn = TableTxn::new(&head.token)
        .check(RowCheck::new(&key, version))
        .put(&key, &text);
    let began = Instant::now();
    let mut maybe_sent = false;
    while began.elapsed() < OUTCOME_TIMEOUT {
        match platform.transact(&txn).await {
            Ok(TxnOutcome::Committed(_)) => return Ok(WriteOutcome::Accepted),
            Ok(TxnOutcome::Conflict(rows)) => {
                let found = rows.iter().find(|row| row.key == key);
                let found: Option<HeadRow> =
                    found.and_then(|row| serde_json::from_str(&row.value).ok());
                let found = found.unwrap_or_default();
                if found.token == head.token {
                    return Ok(WriteOutcome::Accepted);
                }
                if !maybe_sent || found.revision == head.revision {
                    return Ok(WriteOutcome::LostTo(Box::new(found)));
                }
                // A later revision is in force; this one may have been accepted before that one.
                return Err(unknown_outcome(head, Some(&found)));
            }
            Err(StoreFault::NotSent) => {}
            // Sending the same conditional write again is safe: at most one of the tries takes effect.
            Err(_) => maybe_sent = true,
        }
        sleep(RETRY_PAUSE).await;
    }
    if maybe_sent {
        Err(unknown_outcome(head, None))
    } else {
        Err(StoreFault::NotSent.into())
    }
}

fn unknown_outcome(head: &HeadRow, later: Option<&HeadRow>) -> CommandFailure {
    let message = match later {
        Some(later) => format!(
            "it is not known whether your change was accepted as revision {}; revision {} by {} is in force now; see sandshelf diff",
            head.revision, later.revision, later.operator
        ),
        None => format!(
            "the platform's store does not answer; it is not known whether revision {} was accepted; \
             see sandshelf show when the store answers again",
            head.revision
        ),
    };
    CommandFailure::new(FailureKind::Unknown, message)
}

/// Returns the failure that names the operator whose set is in force, and how the rejected `set` differs from it.
async fn lost_race(platform: &PlatformClient, winner: &HeadRow, set: &ConfigSet) -> CommandFailure {
    let mut message = format!(
        "revision {} by {} is in force; nothing was changed",
        winner.revision, winner.operator
    );
    if let Ok(theirs) = read_object(platform, winner).await {
        for change in difference(&theirs, set) {
            message.push_str(&format!("\n  your set differs in: {}", change.subject));
        }
    }
    message.push_str("\n  see sandshelf diff DIR, then apply again");
    CommandFailure::new(FailureKind::LostRace, message)
}

async fn report(
    platform: &PlatformClient,
    head: &HeadRow,
    before: &ConfigSet,
    set: &ConfigSet,
    options: &ApplyOptions,
) -> Result<(), CommandFailure> {
    let changes = difference(before, set);
    let everywhere = match options.wait {
        Some(timeout) => Some(wait_for_entry_hosts(platform, head.revision, timeout).await),
        None => None,
    };
    if options.json {
        print_json(&ApplyReport {
            revision: head.revision,
            digest: head.digest.clone(),
            changes,
            in_force_everywhere: everywhere,
        });
        return Ok(());
    }
    println!("accepted as revision {}", head.revision);
    print_changes(&changes);
    match everywhere {
        Some(true) => println!("in force at every entry host"),
        Some(false) => println!("not yet in force at every entry host; see sandshelf show"),
        None => {}
    }
    Ok(())
}

/// Polls the entry hosts until all of them have `revision` or a later one in force; returns false if `timeout` passes first. An entry host
/// that does not answer counts as one that does not have it, and so does an empty list of entry hosts.
async fn wait_for_entry_hosts(
    platform: &PlatformClient,
    revision: Revision,
    timeout: Duration,
) -> bool {
    let began = Instant::now();
    while began.elapsed() < timeout {
        if let Ok(replies) = entry_statuses(platform).await {
            let reached = |reply: &crate::ask::EntryReply| reply.revision() >= Some(revision);
            if !replies.is_empty() && replies.iter().all(reached) {
                return true;
            }
        }
        sleep(RETRY_PAUSE).await;
    }
    false
}
