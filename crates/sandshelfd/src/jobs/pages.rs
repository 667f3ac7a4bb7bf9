//! Reads of whole parts of tables, page by page.
//!
//! A page that failed is asked for again, and what has come is kept. Were everything read anew after each fault, a host that loses
//! one page in a hundred would come to the end of 500 pages once in 150 tries (0.99 to the power of 500).

use std::cell::Cell;
use std::time::Duration;

use sandshelf_adapter::{CallTimeout, RowPage, RowRange, StoreFault, StoredValue};
use sandshelf_model::Millis;
use tokio::time::sleep;

use crate::clock;
use crate::jobs::meters::StoreCall;
use crate::jobs::writer::OwnerStore;
use crate::logging::event;

/// The pause before a page is asked for again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// All rows of a range.
#[derive(Clone, Debug)]
pub struct PartRows {
    /// The rows, by rising key.
    pub rows: Vec<StoredValue>,
    /// The version as of which the first page was read: later changes may be missing.
    pub first_version: u64,
    /// The version as of which the last page was read: no row is newer.
    pub last_version: u64,
    /// What the store's clock showed then, in milliseconds.
    pub store_ms: u64,
}

/// Reads of parts that belong together, and how far they have got.
#[derive(Debug)]
pub struct PageReader {
    call: StoreCall,
    timeout: CallTimeout,
    last_page: Cell<Millis>,
    failed: Cell<bool>,
}

impl PageReader {
    /// Starts now.
    pub fn new(call: StoreCall, timeout: CallTimeout) -> Self {
        Self {
            call,
            timeout,
            last_page: Cell::new(clock::now()),
            failed: Cell::new(false),
        }
    }

    /// How long ago the newest page came where one has failed since, in milliseconds; a page that is still coming has not failed.
    pub fn stalled_ms(&self, now: Millis) -> Millis {
        match self.failed.get() {
            true => now.saturating_sub(self.last_page.get()),
            false => 0,
        }
    }

    fn note<T>(&self, page: &Result<T, StoreFault>) {
        self.failed.set(page.is_err());
        if page.is_ok() {
            self.last_page.set(clock::now());
        }
    }

    /// Reads all rows of a range, for as long as that takes.
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
            let read = store.client.read(range, self.timeout);
            let page = store.health.watch(self.call, read).await;
            self.note(&page);
            match page {
                Ok(page) => return page,
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
