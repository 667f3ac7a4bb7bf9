//! The memory that all request bodies of the process share.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::sleep;

/// The unit in which memory is given out, in bytes.
const UNIT_BYTES: usize = 1024;
/// How long the process reads no more tiny pieces after one turn of them. One turn takes about 1 ms of a processor, so clients that send
/// nothing else take up at most a seventh of it.
const TINY_PIECES_PAUSE: Duration = Duration::from_millis(6);

/// The memory for request bodies, shared by all ports of the process; clones share it.
#[derive(Clone, Debug)]
pub struct BodyBudget(Arc<BudgetState>);

#[derive(Debug)]
struct BudgetState {
    units: Arc<Semaphore>,
    readers: Mutex<ReaderQueue>,
    /// Held by the one body that pauses after a turn of tiny pieces.
    tiny_turn: Semaphore,
}

/// The bodies that are arriving, oldest first.
#[derive(Debug, Default)]
struct ReaderQueue {
    next: u64,
    readers: BTreeMap<u64, Arc<ReaderState>>,
}

#[derive(Debug, Default)]
struct ReaderState {
    held_units: AtomicU32,
    replaced: Notify,
}

/// The memory is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OutOfMemory;

/// A body that is arriving; it leaves the queue when dropped.
#[derive(Debug)]
pub(crate) struct BodyReader {
    budget: BodyBudget,
    number: u64,
    state: Arc<ReaderState>,
}

impl BodyBudget {
    /// Creates a budget of so many bytes.
    pub fn new(bytes: u64) -> Self {
        let units = (bytes / UNIT_BYTES as u64).min(u64::from(u32::MAX)) as usize;
        Self(Arc::new(BudgetState {
            units: Arc::new(Semaphore::new(units.min(Semaphore::MAX_PERMITS))),
            readers: Mutex::default(),
            tiny_turn: Semaphore::new(1),
        }))
    }

    /// The bytes that are not in use.
    pub fn available_bytes(&self) -> usize {
        self.0.units.available_permits() * UNIT_BYTES
    }

    fn queue(&self) -> MutexGuard<'_, ReaderQueue> {
        let readers = self.0.readers.lock();
        readers.unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a body that begins to arrive and gives way to newer ones.
    pub(crate) fn enter(&self) -> BodyReader {
        let reader = self.enter_lasting();
        let state = reader.state.clone();
        self.queue().readers.insert(reader.number, state);
        reader
    }

    /// Creates the reader of a body that does not give way.
    pub(crate) fn enter_lasting(&self) -> BodyReader {
        let mut queue = self.queue();
        let number = queue.next;
        queue.next += 1;
        BodyReader {
            budget: self.clone(),
            number,
            state: Arc::new(ReaderState::default()),
        }
    }

    /// Has the oldest bodies other than `number` replaced until they free so many units; false if all of them hold less.
    fn make_room(&self, number: u64, units: u32) -> bool {
        let mut queue = self.queue();
        let mut freed = 0;
        let mut replaced = Vec::new();
        for (other, state) in &queue.readers {
            if freed >= units {
                break;
            }
            let held = state.held_units.load(Ordering::Relaxed);
            if *other != number && held > 0 {
                freed += held;
                replaced.push(*other);
            }
        }
        if freed < units {
            return false;
        }
        for other in replaced {
            if let Some(state) = queue.readers.remove(&other) {
                state.replaced.notify_one();
            }
        }
        true
    }

    /// Waits for the end of a turn of tiny pieces. Bodies take turns, so those that come in larger pieces are not held up.
    pub(crate) async fn end_tiny_turn(&self) {
        let _turn = self.0.tiny_turn.acquire().await;
        sleep(TINY_PIECES_PAUSE).await;
    }
}

impl BodyReader {
    /// Takes memory for so many bytes; older bodies make room if there is none.
    ///
    /// # Errors
    /// All memory is held by bodies that have arrived, or this body is replaced while it waits.
    pub(crate) async fn take(&self, bytes: usize) -> Result<OwnedSemaphorePermit, OutOfMemory> {
        let units = u32::try_from(bytes.div_ceil(UNIT_BYTES)).map_err(|_| OutOfMemory)?;
        let semaphore = &self.budget.0.units;
        let permit = match semaphore.clone().try_acquire_many_owned(units) {
            Ok(permit) => permit,
            Err(_) if !self.budget.make_room(self.number, units) => return Err(OutOfMemory),
            Err(_) => tokio::select! {
                permit = semaphore.clone().acquire_many_owned(units) => permit.map_err(|_| OutOfMemory)?,
                () = self.replaced() => return Err(OutOfMemory),
            },
        };
        self.state.held_units.fetch_add(units, Ordering::Relaxed);
        Ok(permit)
    }

    /// Completes once this body has to make room for another.
    pub(crate) async fn replaced(&self) {
        self.state.replaced.notified().await;
    }
}

impl Drop for BodyReader {
    fn drop(&mut self) {
        self.budget.queue().readers.remove(&self.number);
    }
}
