//! Keeps the newest configuration of queues at hand.

use std::sync::{Arc, RwLock};
use std::time::Duration;

use sandshelf_adapter::{
    decode_queues, CallTimeout, FeedPage, RowRange, StoreClient, StoreFault, StoredValue,
    CONFIG_KEY, CONFIG_TABLE,
};
use sandshelf_jobs::QueueTable;
use sandshelf_model::Millis;
use tokio::time::sleep;

use crate::jobs::halls::{evacuation_range, HallView};
use crate::jobs::health::StoreHealth;
use crate::jobs::meters::StoreCall;
use crate::logging::event;

/// How long a question for changes waits for one; a connection that has fallen silent is noticed soon after.
const WATCH_WAIT_MS: Millis = 900;
/// How long the store may send nothing beside that, where calls go well. Not a limit on the whole answer: over 10 Mbit/s a
/// configuration of 3,000 queues takes 0.7 s, and with 0.5 s for the whole it never came.
const PATIENCE_MS: Millis = 500;
/// How often that is doubled while calls fail: where other answers fill the link for seconds, one that is asked for again every
/// 0.65 s never gets its turn.
const MOST_DOUBLINGS: u32 = 2;
/// The pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// The newest configuration; never changed, only replaced.
#[derive(Clone, Debug, Default)]
pub struct QueueView {
    table: Arc<RwLock<Option<Arc<QueueTable>>>>,
}

impl QueueView {
    /// The configuration in force; none before the first.
    pub fn get(&self) -> Option<Arc<QueueTable>> {
        let table = self.table.read();
        table.unwrap_or_else(|broken| broken.into_inner()).clone()
    }

    /// Puts a configuration in force unless a newer one is.
    fn offer(&self, table: QueueTable) {
        let mut current = self
            .table
            .write()
            .unwrap_or_else(|broken| broken.into_inner());
        if current
            .as_ref()
            .is_some_and(|known| known.version >= table.version)
        {
            return;
        }
        let queues = table.queues().len();
        event(
            "config_taken",
            &[("version", &table.version), ("queues", &queues)],
        );
        *current = Some(Arc::new(table));
    }
}

/// Calls about the configuration, with more patience after each that failed.
struct ConfigCalls {
    store: StoreClient,
    view: QueueView,
    halls: HallView,
    health: Arc<StoreHealth>,
    failures: u32,
}

/// Reads what operators write, the configuration and which halls are evacuated, and follows its changes, for ever.
pub async fn watch_operators(
    store: StoreClient,
    view: QueueView,
    halls: HallView,
    health: Arc<StoreHealth>,
) {
    let mut calls = ConfigCalls {
        store,
        view,
        halls,
        health,
        failures: 0,
    };
    // What was read before a call that failed is not read again: all that is new comes after it.
    let mut after = None;
    loop {
        let known = match after {
            Some(version) => calls.follow(version).await,
            None => calls.read().await.map(Some),
        };
        match known {
            Ok(known) => {
                calls.failures = 0;
                after = known;
            }
            Err(_) => {
                calls.failures += 1;
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

impl ConfigCalls {
    fn patience(&self) -> CallTimeout {
        let doublings = self.failures.min(MOST_DOUBLINGS);
        CallTimeout::Idle(Duration::from_millis(PATIENCE_MS << doublings))
    }

    /// Waits for changes; returns how far they are known then, or nothing where they are forgotten.
    async fn follow(&self, after: u64) -> Result<Option<u64>, StoreFault> {
        let patience = self.patience();
        let follow = self
            .store
            .follow(CONFIG_TABLE, after, WATCH_WAIT_MS, patience);
        match self.health.watch(StoreCall::Follow, follow).await? {
            FeedPage::Changes(rows, version) => {
                take_rows(&self.view, &rows);
                self.halls.apply_changes(&rows, version);
                Ok(Some(after.max(version)))
            }
            FeedPage::HistoryGone => {
                event("history_gone", &[("table", &CONFIG_TABLE)]);
                Ok(None)
            }
        }
    }

    /// Reads the halls first, so that they are known to whoever knows a configuration; returns from where changes are to be followed.
    async fn read(&self) -> Result<u64, StoreFault> {
        let range = evacuation_range();
        let read = self.store.read(&range, self.patience());
        let halls = self.health.watch(StoreCall::ReadConfig, read).await?;
        self.halls.replace_all(&halls.rows, halls.version);
        let range = RowRange {
            table: CONFIG_TABLE,
            part: String::new(),
            from: CONFIG_KEY.to_owned(),
            to: Some(format!("{CONFIG_KEY}\u{0}")),
        };
        let read = self.store.read(&range, self.patience());
        let page = self.health.watch(StoreCall::ReadConfig, read).await?;
        take_rows(&self.view, &page.rows);
        Ok(halls.version)
    }
}

fn take_rows(view: &QueueView, rows: &[StoredValue]) {
    for row in rows.iter().filter(|row| row.key == CONFIG_KEY) {
        let Some(value) = &row.value else {
            event("config_refused", &[("fault", &"the row was removed")]);
            continue;
        };
        match decode_queues(value) {
            Ok(table) => view.offer(table),
            Err(fault) => event("config_refused", &[("fault", &fault)]),
        }
    }
}
