//! Follows new jobs and cancellations and the list of workers, for the owner of the shard.

use std::collections::BTreeMap;
use std::time::Duration;

use sandshelf_adapter::{
    decode_worker, CallTimeout, FeedPage, RowRange, StoredValue, WorkerFault, WORKERS_TABLE,
};
use sandshelf_jobs::{JobEvent, WorkerListing};
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
/// The pause between reads of the list of workers. Two seconds after a worker announces that it leaves, it must get no new task.
const LIST_PAUSE: Duration = Duration::from_millis(700);

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

/// Reads the list of workers periodically and forwards it until the receiver is dropped.
pub async fn follow_workers(store: OwnerStore, sender: UnboundedSender<Vec<JobEvent>>) {
    let range = RowRange {
        table: WORKERS_TABLE,
        part: String::new(),
        from: String::new(),
        to: None,
    };
    let mut unreadable = UnreadableEntries::default();
    loop {
        let sent_at = clock::now();
        let reader = PageReader::new(StoreCall::ListWorkers, IDLE_TIMEOUT);
        let listed = reader.read_part(&store, &range).await;
        let (list, faults) = decode_workers(&listed.rows);
        let names = faults.keys().map(|key| WorkerId::from(key.as_str()));
        let names: Vec<WorkerId> = names.collect();
        unreadable.log_changes(faults);
        // The store read its clock at some time after the call was sent.
        let at = clock::now();
        let at_most_ms = listed.store_ms + at.saturating_sub(sent_at);
        let events = vec![
            JobEvent::StoreClock { at, at_most_ms },
            JobEvent::WorkersUnreadable(names),
            JobEvent::WorkersListed(list),
        ];
        if sender.send(events).is_err() {
            return;
        }
        sleep(LIST_PAUSE).await;
    }
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

/// The unreadable entries of the newest list. Each is logged once, and again when its fault changes.
#[derive(Debug, Default)]
struct UnreadableEntries {
    known: BTreeMap<String, WorkerFault>,
}

impl UnreadableEntries {
    fn log_changes(&mut self, faults: BTreeMap<String, WorkerFault>) {
        for (key, fault) in &faults {
            if self.known.get(key) != Some(fault) {
                event("worker_unreadable", &[("key", key), ("fault", fault)]);
            }
        }
        for key in self.known.keys().filter(|key| !faults.contains_key(*key)) {
            event("worker_readable", &[("key", key)]);
        }
        self.known = faults;
    }
}
