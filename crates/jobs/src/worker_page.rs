//! Pages of the durable rows about workers: a change of one worker rewrites the row of its page, not the rows of all workers.

use sandshelf_model::WorkerId;
use serde::{Deserialize, Serialize};

/// The number of pages. A page of 17,000 workers holds some 130 of them, 7 kB of the roster.
pub const WORKER_PAGES: u16 = 128;

/// The offset and the prime of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The number of a page.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WorkerPage(pub u16);

impl WorkerPage {
    /// The page of a worker. It is the same in every process and version, since a successor has to find each worker once.
    pub fn of(worker: &WorkerId) -> Self {
        let bytes = worker.as_str().bytes();
        let hash = bytes.fold(FNV_OFFSET, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
        });
        Self((hash % u64::from(WORKER_PAGES)) as u16)
    }

    /// All pages.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..WORKER_PAGES).map(Self)
    }
}
