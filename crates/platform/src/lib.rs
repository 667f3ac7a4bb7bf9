//! Typed clients for the platform's table service, object store, host list and workers.
//!
//! docs/PLATFORM.md lists the assumptions about the platform. Every failed call returns a [`StoreFault`] that says whether the call
//! may have taken effect.
//!
//! ```
//! use sandshelf_platform::{RowCheck, TableTxn};
//! let write = TableTxn::new("token-1")
//!     .check(RowCheck::new("head", 3))
//!     .put("head", "{}");
//! assert_eq!(write.puts.len(), 1);
//! ```

mod client;
mod fault;
mod keys;
mod list;
mod rows;
mod shard_store;
mod table;

pub use client::PlatformClient;
pub use fault::StoreFault;
pub use keys::TableKey;
pub use list::{HostEntry, HostKind, HostList, HostState};
pub use rows::{EntryRow, ShardMap, ShardPlace};
pub use shard_store::{commit_transaction, journal_range, read_group, read_shard_row};
pub use table::{ReadRange, RowCheck, RowPut, TableRow, TableTxn, TxnOutcome};
