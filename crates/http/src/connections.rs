//! The connections of a port: which of them wait for a complete request, and which limit each has to keep next.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

use crate::limits::{LimitHit, LimitReport, ANSWER_STALL_TIMEOUT, ANSWER_TIMEOUT, HEAD_TIMEOUT};

/// The connections of a port.
#[derive(Debug)]
pub(crate) struct ConnectionTable {
    port: &'static str,
    report: LimitReport,
    places: Arc<Semaphore>,
    waiting: Mutex<WaitingQueue>,
}

/// The connections without a complete request, the one that has waited longest first.
#[derive(Debug, Default)]
struct WaitingQueue {
    next: u64,
    connections: BTreeMap<u64, Arc<Notify>>,
}

impl ConnectionTable {
    pub(crate) fn new(port: &'static str, report: LimitReport, max_connections: usize) -> Self {
        Self {
            port,
            report,
            places: Arc::new(Semaphore::new(max_connections)),
            waiting: Mutex::default(),
        }
    }

    pub(crate) fn report(&self, hit: LimitHit) {
        (self.report)(self.port, hit);
    }

    /// Takes a place for a new connection. If all are taken, the connection that has been without a complete request for longest is
    /// closed for it; none if all requests are being answered.
    pub(crate) async fn take_place(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(place) = self.places.clone().try_acquire_owned() {
            return Some(place);
        }
        let longest = self.queue().connections.pop_first();
        let Some((_, replaced)) = longest else {
            self.report(LimitHit::Full);
            return None;
        };
        self.report(LimitHit::Replaced);
        replaced.notify_one();
        self.places.clone().acquire_owned().await.ok()
    }

    fn queue(&self) -> MutexGuard<'_, WaitingQueue> {
        let waiting = self.waiting.lock();
        waiting.unwrap_or_else(PoisonError::into_inner)
    }

    fn enqueue(&self, replaced: &Arc<Notify>) -> u64 {
        let mut queue = self.queue();
        let number = queue.next;
        queue.next += 1;
        queue.connections.insert(number, replaced.clone());
        number
    }

    /// Removes a connection from the queue; false if it is being closed to make room.
    fn dequeue(&self, number: u64) -> bool {
        self.queue().connections.remove(&number).is_some()
    }
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionPhase {
    /// No byte of a next request has arrived.
    Idle,
    /// A head has been arriving since this time.
    Head(Instant),
    /// The head has arrived; the body is arriving or the request is being answered.
    Request,
    /// The answer is made and not yet handed to the system as a whole.
    Answered,
}

/// An answer that waits for its client.
#[derive(Clone, Copy, Debug)]
struct BlockedAnswer {
    since: Instant,
    stalled_since: Instant,
}

#[derive(Debug)]
struct StateFields {
    phase: ConnectionPhase,
    /// The number in the queue; none while a request is being answered, and once the connection is being closed.
    waiting: Option<u64>,
    blocked: Option<BlockedAnswer>,
}

/// The state of a connection, shared by its stream, its requests and its task.
#[derive(Debug)]
pub(crate) struct ConnectionState {
    table: Arc<ConnectionTable>,
    replaced: Arc<Notify>,
    fields: Mutex<StateFields>,
    _place: OwnedSemaphorePermit,
}

impl ConnectionState {
    pub(crate) fn new(table: Arc<ConnectionTable>, place: OwnedSemaphorePermit) -> Self {
        let replaced = Arc::new(Notify::new());
        let waiting = Some(table.enqueue(&replaced));
        Self {
            table,
            replaced,
            fields: Mutex::new(StateFields {
                phase: ConnectionPhase::Idle,
                waiting,
                blocked: None,
            }),
            _place: place,
        }
    }

    fn fields(&self) -> MutexGuard<'_, StateFields> {
        let fields = self.fields.lock();
        fields.unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn report(&self, hit: LimitHit) {
        self.table.report(hit);
    }

    /// Completes once the connection has to make room for another.
    pub(crate) async fn replaced(&self) {
        self.replaced.notified().await;
    }

    /// Notes that bytes have arrived.
    pub(crate) fn note_read(&self) {
        let mut fields = self.fields();
        if fields.phase == ConnectionPhase::Idle {
            fields.phase = ConnectionPhase::Head(Instant::now());
        }
    }

    /// Notes that a head has arrived.
    pub(crate) fn begin_request(&self) {
        self.fields().phase = ConnectionPhase::Request;
    }

    /// Notes that a request is complete, so that the connection is no longer closed to make room; false if it is being closed already.
    pub(crate) fn begin_answer(&self) -> bool {
        let mut fields = self.fields();
        let Some(number) = fields.waiting else {
            return true;
        };
        let is_kept = self.table.dequeue(number);
        if is_kept {
            fields.waiting = None;
        }
        is_kept
    }

    /// Whether the latest request is complete and has not been answered.
    pub(crate) fn is_answering(&self) -> bool {
        self.fields().waiting.is_none()
    }

    /// Notes that an answer is made.
    pub(crate) fn end_request(&self) {
        self.fields().phase = ConnectionPhase::Answered;
    }

    /// Notes that all that was written has been handed to the system; true if it had to wait for the client.
    pub(crate) fn note_flushed(&self) -> bool {
        let mut fields = self.fields();
        let was_blocked = fields.blocked.take().is_some();
        if fields.phase == ConnectionPhase::Answered {
            fields.phase = ConnectionPhase::Idle;
            fields.waiting = Some(self.table.enqueue(&self.replaced));
        }
        was_blocked
    }

    /// Notes whether the client took bytes that were written.
    pub(crate) fn note_write(&self, is_blocked: bool) {
        let mut fields = self.fields();
        match (&mut fields.blocked, is_blocked) {
            (None, false) => {}
            (Some(_), true) => {}
            (None, true) => {
                let now = Instant::now();
                fields.blocked = Some(BlockedAnswer {
                    since: now,
                    stalled_since: now,
                });
            }
            (Some(blocked), false) => blocked.stalled_since = Instant::now(),
        }
    }

    /// Whether an answer waits for the client.
    pub(crate) fn is_blocked(&self) -> bool {
        self.fields().blocked.is_some()
    }

    /// The limit that the connection has to keep next, and until when.
    pub(crate) fn deadline(&self) -> Option<(LimitHit, Instant)> {
        let fields = self.fields();
        if let Some(blocked) = fields.blocked {
            let stall_end = blocked.stalled_since + ANSWER_STALL_TIMEOUT;
            let end = blocked.since + ANSWER_TIMEOUT;
            return Some((LimitHit::AnswerTime, stall_end.min(end)));
        }
        match fields.phase {
            ConnectionPhase::Head(since) => Some((LimitHit::HeadTime, since + HEAD_TIMEOUT)),
            ConnectionPhase::Idle | ConnectionPhase::Request | ConnectionPhase::Answered => None,
        }
    }
}

impl Drop for ConnectionState {
    fn drop(&mut self) {
        let waiting = self.fields().waiting.take();
        if let Some(number) = waiting {
            self.table.dequeue(number);
        }
    }
}
