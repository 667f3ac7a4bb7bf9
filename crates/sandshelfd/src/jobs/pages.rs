//! Reads of whole parts of tables, page by page.
//!
//! A failed page is read again, and the pages before it are kept. If all pages were read again after each fault, a host that loses
//! one page in a hundred would get all of 500 pages in one of 150 tries (0.99 to the power of 500).

use std::cell::Cell;
use std::time::Duration;

use sandshelf_adapter::{CallTimeout, RowPage, RowRange, StoreFault, StoredValue};
use sandshelf_model::Millis;
use tokio::time::sleep;

use crate::clock;
use crate::jobs::meters::StoreCall;
use crate::jobs::writer::OwnerStore;
use crate::logging::event;

/// The pause before a failed page is read again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// All rows of a range.
#[derive(Clone, Debug)]
pub struct PartRows {
    /// The rows, in ascending order of their keys.
    pub rows: Vec<StoredValue>,
    /// The version at which the first page was read. Later changes may be missing.
    pub first_version: u64,
    /// The version at which the last page was read. No row is newer.
    pub last_version: u64,
    /// The store's clock at the last page, in milliseconds.
    pub store_ms: u64,
}

/// Reads parts that belong together, and tracks whether the reads stall.
#[derive(Debug)]
pub struct PageReader {
    call: StoreCall,
    timeout: CallTimeout,
    last_page_at: Cell<Millis>,
    page_failed: Cell<bool>,
}

impl PageReader {
    /// Creates a reader; the current time counts as the arrival of its last page.
    pub fn new(call: StoreCall, timeout: CallTimeout) -> Self {
        Self {
            call,
            timeout,
            last_page_at: Cell::new(clock::now()),
            page_failed: Cell::new(false),
        }
    }

    /// How long ago the newest page arrived, in milliseconds, if a page has failed since; otherwise 0. A page that is still arriving has not
    /// failed.
    pub fn stalled_ms(&self, now: Millis) -> Millis {
        match self.page_failed.get() {
            true => now.saturating_sub(self.last_page_at.get()),
            false => 0,
        }
    }

    fn note<T>(&self, page: &Result<T, StoreFault>) {
        self.page_failed.set(page.is_err());
        if page.is_ok() {
            self.last_page_at.set(clock::now());
        }
    }

    /// Reads all rows of a range. Failed pages are read again until they succeed.
    pub async fn read_part(&self, store: &OwnerStore, range: &RowRange) -> PartRows {
        let first = self.read_page(store, range).await;
        let mut next = first.next_range(range);
        let mut part = PartRows {
            first_version: first.version,
            last_version: first.version,
            store_ms: first.store_ms,
            rows: first.rows,
        };
        while let Some(rest) = next {
            let page = self.read_page(store, &rest).await;
            next = page.next_range(&rest);
            part.last_version = page.version;
            part.store_ms = page.store_ms;
            part.rows.extend(page.rows);
        }
        part
    }

    async fn read_page(&self, store: &OwnerStore, range: &RowRange) -> RowPage {
        loop {
            let sent_at = clock::now();
            let read = store.client.read(range, self.timeout);
            let page = store.health.observe(self.call, read).await;
            self.note(&page);
            match page {
                Ok(page) => {
                    store.clock.note_answer(sent_at, page.store_ms);
                    return page;
                }
                Err(fault) => event(
                    "page_retried",
                    &[
                        ("table", &range.table),
                        ("part", &range.part),
                        ("fault", &fault),
                        ("answer_bytes", &fault.progress().bytes),
                    ],
                ),
            }
            sleep(RETRY_PAUSE).await;
        }
    }
}
