//! What an owner follows: new jobs and cancellations, and the list of workers.

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

/// How long a question for new jobs waits for one.
const JOBS_WAIT_MS: Millis = 1_000;
/// How long the store may send nothing.
const PATIENCE: CallTimeout = CallTimeout::Idle(Duration::from_millis(700));
/// The pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// How often the list of workers is read: a worker that leaves must get no new task two seconds after it said so.
const LIST_PAUSE: Duration = Duration::from_millis(700);

/// Sends each batch of new jobs and cancellations on, for ever.
pub async fn follow_jobs(
    store: OwnerStore,
    mut after: u64,
    sender: UnboundedSender<Vec<JobEvent>>,
) {
    loop {
        let follow = store
            .client
            .follow(JOBS_TABLE, after, JOBS_WAIT_MS, PATIENCE);
        let page = store.health.watch(StoreCall::Follow, follow).await;
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

/// Sends the list of workers on from time to time, for ever.
pub async fn follow_workers(store: OwnerStore, sender: UnboundedSender<Vec<JobEvent>>) {
    let range = RowRange {
        table: WORKERS_TABLE,
        part: String::new(),
        from: String::new(),
        to: None,
    };
    let mut unreadable = UnreadableEntries::default();
    loop {
        let sent = clock::now();
        let reads = PageReader::new(StoreCall::ListWorkers, PATIENCE);
        let listed = reads.read_part(&store, &range).await;
        let (list, faults) = decode_workers(&listed.rows);
        let names = faults.keys().map(|key| WorkerId::from(key.as_str()));
        let names: Vec<WorkerId> = names.collect();
        unreadable.log_news(faults);
        // The answer shows the store's clock at some moment since the call was sent.
        let at = clock::now();
        let at_most_ms = listed.store_ms + at.saturating_sub(sent);
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

/// Decodes the entries of workers; returns those that can't be read with the reason. One of them takes nothing from the others.
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

/// The entries that could not be read in the newest list: each is logged once, and again where its fault is another one.
#[derive(Debug, Default)]
struct UnreadableEntries {
    known: BTreeMap<String, WorkerFault>,
}

impl UnreadableEntries {
    fn log_news(&mut self, faults: BTreeMap<String, WorkerFault>) {
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
