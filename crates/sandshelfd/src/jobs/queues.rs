//! Follows the configuration of queues and keeps its newest version.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, RwLock};
use std::time::Duration;

use sandshelf_adapter::{
    decode_queues, CallTimeout, FeedPage, RowRange, StoreClient, StoreFault, StoredValue,
    CONFIG_KEY, CONFIG_TABLE,
};
use sandshelf_jobs::QueueTable;
use sandshelf_model::Millis;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::clock;
use crate::jobs::halls::{evacuation_range, HallView};
use crate::jobs::health::StoreHealth;
use crate::jobs::meters::StoreCall;
use crate::jobs::news::{wait_for_reason, OwnerNews};
use crate::logging::event;

/// How long a call that waits for changes may wait at the store, in milliseconds. A silent connection is noticed soon after.
const CHANGES_WAIT_MS: Millis = 900;
/// The same while the owner is heard, which tells of changes as well.
const HEARD_CHANGES_WAIT_MS: Millis = 2_000;
/// The idle timeout in addition to that wait, in milliseconds, while calls succeed. It doesn't limit the whole answer: over 10 Mbit/s a
/// configuration of 3,000 queues takes 0.7 s, so with 0.5 s for the whole answer it never arrived.
const IDLE_TIMEOUT_MS: Millis = 500;
/// How many times the idle timeout is doubled at most while calls fail. If other answers fill the link for seconds, one that is requested
/// again every 0.65 s never gets through.
const MAX_TIMEOUT_DOUBLINGS: u32 = 2;
/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// The newest configuration. It is never modified, only replaced as a whole.
#[derive(Clone, Debug, Default)]
pub struct QueueView {
    table: Arc<RwLock<Option<Arc<QueueTable>>>>,
    newest_change: Arc<AtomicU64>,
}

impl QueueView {
    /// The configuration in force; none until the first was read.
    pub fn get(&self) -> Option<Arc<QueueTable>> {
        let table = self.table.read();
        table
            .unwrap_or_else(|poisoned| poisoned.into_inner())
            .clone()
    }

    /// The version of the newest known change of the operators' rows: the configuration and the evacuated halls.
    pub fn newest_change(&self) -> u64 {
        self.newest_change.load(Ordering::Relaxed)
    }

    fn note_changes(&self, rows: &[StoredValue]) {
        let newest = rows.iter().map(|row| row.version).max().unwrap_or(0);
        self.newest_change.fetch_max(newest, Ordering::Relaxed);
    }

    /// Puts a configuration in force unless the current one is as new or newer.
    fn replace_if_newer(&self, table: QueueTable) {
        let mut current = self
            .table
            .write()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
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

/// Store calls that read the configuration, with a longer timeout after each failed one.
struct ConfigCalls {
    store: StoreClient,
    view: QueueView,
    halls: HallView,
    health: Arc<StoreHealth>,
    failures: u32,
}

/// Reads the rows that operators write, the configuration and the evacuated halls, and follows their changes without end.
pub async fn follow_operator_rows(
    store: StoreClient,
    view: QueueView,
    halls: HallView,
    health: Arc<StoreHealth>,
    mut news: watch::Receiver<OwnerNews>,
) {
    let mut calls = ConfigCalls {
        store,
        view,
        halls,
        health,
        failures: 0,
    };
    // After a failed call, earlier rows are not read again: all changes come after the known version.
    let mut after = None;
    loop {
        let known = match after {
            Some(version) => calls.follow_heard(version, &mut news).await,
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
    fn timeout(&self) -> CallTimeout {
        let doublings = self.failures.min(MAX_TIMEOUT_DOUBLINGS);
        CallTimeout::Idle(Duration::from_millis(IDLE_TIMEOUT_MS << doublings))
    }

    /// Waits for changes, longer while the owner is heard, unless it tells of a change that doesn't arrive. Returns like
    /// [`ConfigCalls::follow`].
    async fn follow_heard(
        &self,
        after: u64,
        news: &mut watch::Receiver<OwnerNews>,
    ) -> Result<Option<u64>, StoreFault> {
        let heard = news.borrow().are_fresh(clock::now()) && self.failures == 0;
        if heard {
            tokio::select! {
                known = self.follow(after, HEARD_CHANGES_WAIT_MS) => return known,
                () = wait_for_reason(news, after) => {}
            }
        }
        self.follow(after, CHANGES_WAIT_MS).await
    }

    /// Waits for changes. Returns the version up to which they are known, or none if the store no longer has the changes since `after`.
    async fn follow(&self, after: u64, wait_ms: Millis) -> Result<Option<u64>, StoreFault> {
        let timeout = self.timeout();
        let follow = self.store.follow(CONFIG_TABLE, after, wait_ms, timeout);
        match self.health.observe(StoreCall::Follow, follow).await? {
            FeedPage::Changes(rows, version) => {
                self.view.note_changes(&rows);
                apply_config_rows(&self.view, &rows);
                self.halls.apply_changes(&rows, version);
                Ok(Some(after.max(version)))
            }
            FeedPage::HistoryGone => {
                event("history_gone", &[("table", &CONFIG_TABLE)]);
                Ok(None)
            }
        }
    }

    /// Reads the configuration and the evacuated halls; the halls first, so that they are known wherever a configuration is. Returns the
    /// version from which changes are to be followed.
    async fn read(&self) -> Result<u64, StoreFault> {
        let range = evacuation_range();
        let read = self.store.read(&range, self.timeout());
        let halls = self.health.observe(StoreCall::ReadConfig, read).await?;
        self.view.note_changes(&halls.rows);
        self.halls.replace_all(&halls.rows, halls.version);
        let range = RowRange {
            table: CONFIG_TABLE,
            part: String::new(),
            from: CONFIG_KEY.to_owned(),
            to: Some(format!("{CONFIG_KEY}\u{0}")),
        };
        let read = self.store.read(&range, self.timeout());
        let page = self.health.observe(StoreCall::ReadConfig, read).await?;
        self.view.note_changes(&page.rows);
        apply_config_rows(&self.view, &page.rows);
        Ok(halls.version)
    }
}

fn apply_config_rows(view: &QueueView, rows: &[StoredValue]) {
    for row in rows.iter().filter(|row| row.key == CONFIG_KEY) {
        let Some(value) = &row.value else {
            event("config_refused", &[("fault", &"the row was removed")]);
            continue;
        };
        match decode_queues(value) {
            Ok(table) => view.replace_if_newer(table),
            Err(fault) => event("config_refused", &[("fault", &fault)]),
        }
    }
}
