//! Follows new jobs and cancellations and the list of workers, for the owner of the shard.

use std::collections::BTreeMap;
use std::time::Duration;

use sandshelf_adapter::{
    decode_worker, CallTimeout, FeedPage, RowRange, StoredValue, WorkerFault, WORKERS_TABLE,
};
use sandshelf_jobs::{JobEvent, WorkerChanges, WorkerListing};
use sandshelf_model::{Millis, WorkerId};
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::sleep;

use crate::clock;
use crate::jobs::meters::StoreCall;
use crate::jobs::pages::PageReader;
use crate::jobs::records::JOBS_TABLE;
use crate::jobs::takeover::{decode_jobs, takeover_reader};
use crate::jobs::writer::OwnerStore;
use crate::logging::event;

/// How long a call that waits for new jobs may wait at the store, in milliseconds.
const JOBS_WAIT_MS: Millis = 1_000;
/// The idle timeout: how long the store may send nothing.
const IDLE_TIMEOUT: CallTimeout = CallTimeout::Idle(Duration::from_millis(700));
/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// How long a call that waits for changes of workers may wait at the store, in milliseconds. Its answer shows that the list is known as
/// of now. Two seconds after a worker announces that it leaves, it must get no new task.
const WORKERS_WAIT_MS: Millis = 700;
/// The pause after changes of workers: where many come at once, they are taken in together.
const CHANGES_PAUSE: Duration = Duration::from_millis(100);
/// How often the list of workers is read as a whole although its changes are followed, in milliseconds.
const LIST_CHECK_INTERVAL_MS: Millis = 60_000;

/// Forwards each batch of new jobs and cancellations until the receiver is dropped.
pub async fn follow_jobs(
    store: OwnerStore,
    mut after: u64,
    sender: UnboundedSender<Vec<JobEvent>>,
) {
    loop {
        let follow = store
            .client
            .follow(JOBS_TABLE, after, JOBS_WAIT_MS, IDLE_TIMEOUT);
        let page = store.health.observe(StoreCall::Follow, follow).await;
        let events = match page {
            Ok(FeedPage::Changes(rows, version)) => {
                after = after.max(version);
                decode_jobs(&rows)
            }
            Ok(FeedPage::HistoryGone) => {
                event("history_gone", &[("table", &JOBS_TABLE)]);
                let jobs = store.read_jobs(&takeover_reader()).await;
                after = jobs.follow_from;
                jobs.events
            }
            Err(_) => {
                sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        if !events.is_empty() && sender.send(events).is_err() {
            return;
        }
    }
}

/// Reads the list of workers, follows its changes, and forwards both until the receiver is dropped. The list is read again where the store
/// no longer has the changes since, and now and then as a check.
pub async fn follow_workers(store: OwnerStore, sender: UnboundedSender<Vec<JobEvent>>) {
    let range = RowRange {
        table: WORKERS_TABLE,
        part: String::new(),
        from: String::new(),
        to: None,
    };
    let mut unreadable = UnreadableEntries::default();
    loop {
        let reader = PageReader::new(StoreCall::ListWorkers, IDLE_TIMEOUT);
        let listed = reader.read_part(&store, &range).await;
        let (list, faults) = decode_workers(&listed.rows);
        unreadable.replace_all(faults);
        let at = clock::now();
        let at_most_ms = store.clock.at_most(at);
        let events = vec![
            JobEvent::StoreClock { at, at_most_ms },
            JobEvent::WorkersUnreadable(unreadable.workers()),
            JobEvent::WorkersListed(list),
        ];
        if sender.send(events).is_err() {
            return;
        }
        let followed =
            follow_worker_changes(&store, listed.first_version, &mut unreadable, &sender);
        if followed.await.is_err() {
            return;
        }
    }
}

/// The receiver of events is gone.
struct ReceiverGone;

/// Forwards the changes of the list of workers after a version, until the list has to be read as a whole.
async fn follow_worker_changes(
    store: &OwnerStore,
    mut after: u64,
    unreadable: &mut UnreadableEntries,
    sender: &UnboundedSender<Vec<JobEvent>>,
) -> Result<(), ReceiverGone> {
    let check_at = clock::now() + LIST_CHECK_INTERVAL_MS;
    while clock::now() < check_at {
        let follow = store
            .client
            .follow(WORKERS_TABLE, after, WORKERS_WAIT_MS, IDLE_TIMEOUT);
        let page = store.health.observe(StoreCall::Follow, follow).await;
        let rows = match page {
            Ok(FeedPage::Changes(rows, version)) => {
                after = after.max(version);
                rows
            }
            Ok(FeedPage::HistoryGone) => {
                event("history_gone", &[("table", &WORKERS_TABLE)]);
                return Ok(());
            }
            Err(_) => {
                sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        let pause = !rows.is_empty();
        let changes = decode_worker_changes(&rows, unreadable);
        let events = vec![JobEvent::WorkersChanged(changes)];
        sender.send(events).map_err(|_| ReceiverGone)?;
        if pause {
            sleep(CHANGES_PAUSE).await;
        }
    }
    Ok(())
}

/// Decodes changed entries of workers. A worker that changed more than once counts with its newest entry.
fn decode_worker_changes(
    rows: &[StoredValue],
    unreadable: &mut UnreadableEntries,
) -> WorkerChanges {
    let newest: BTreeMap<&str, &StoredValue> =
        rows.iter().map(|row| (row.key.as_str(), row)).collect();
    let mut changes = WorkerChanges::default();
    for (key, row) in newest {
        let decoded = row.value.as_deref().map(|value| decode_worker(key, value));
        match decoded {
            Some(Ok(entry)) => {
                unreadable.remove(key);
                changes.listed.push(entry);
            }
            Some(Err(fault)) => unreadable.add(key, fault),
            None => {
                unreadable.remove(key);
                changes.removed.push(WorkerId::from(key));
            }
        }
    }
    changes.unreadable = unreadable.workers();
    changes
}

/// Decodes the entries of workers. Returns the readable entries and, by key, the faults of the others: an unreadable entry doesn't affect
/// the rest.
fn decode_workers(rows: &[StoredValue]) -> (Vec<WorkerListing>, BTreeMap<String, WorkerFault>) {
    let mut list = Vec::with_capacity(rows.len());
    let mut faults = BTreeMap::new();
    for row in rows {
        match decode_worker(&row.key, row.value.as_deref().unwrap_or_default()) {
            Ok(entry) => list.push(entry),
            Err(fault) => {
                faults.insert(row.key.clone(), fault);
            }
        }
    }
    (list, faults)
}

/// The entries that can't be read at present. Each is logged once, and again when its fault changes.
#[derive(Debug, Default)]
struct UnreadableEntries {
    known: BTreeMap<String, WorkerFault>,
}

impl UnreadableEntries {
    fn workers(&self) -> Vec<WorkerId> {
        let names = self.known.keys();
        names.map(|key| WorkerId::from(key.as_str())).collect()
    }

    fn replace_all(&mut self, faults: BTreeMap<String, WorkerFault>) {
        let readable = self.known.keys().filter(|key| !faults.contains_key(*key));
        for key in readable.cloned().collect::<Vec<_>>() {
            self.remove(&key);
        }
        for (key, fault) in faults {
            self.add(&key, fault);
        }
    }

    fn add(&mut self, key: &str, fault: WorkerFault) {
        if self.known.get(key) != Some(&fault) {
            event("worker_unreadable", &[("key", &key), ("fault", &fault)]);
        }
        self.known.insert(key.to_owned(), fault);
    }

    fn remove(&mut self, key: &str) {
        if self.known.remove(key).is_some() {
            event("worker_readable", &[("key", &key)]);
        }
    }
}
