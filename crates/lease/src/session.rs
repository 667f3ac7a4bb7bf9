//! An owner's session with one worker: queued and unanswered orders, confirmed attempts, and how long leases can last.

use std::collections::{BTreeMap, BTreeSet};

use sandshelf_model::{AttemptId, Epoch, Millis, ResourceSize, ShardId};

use crate::orders::{StartOrder, TaskOrder, WorkerOrders};
use crate::times::LeaseTimes;

/// The maximum number of attempts per kind of order (start, stop, ...) and of acknowledgements in one message, so that
/// a burst is spread over several messages.
const MAX_ORDERS_PER_KIND: usize = 256;

/// How long after an attempt's expected end its worker is polled, in milliseconds.
const POLL_AFTER_END_MS: Millis = 50;

/// The content of the message in flight, to be removed from the queues when the worker accepts it.
#[derive(Clone, Debug)]
struct SentOrders {
    number: u64,
    sent: Millis,
    starts: Vec<AttemptId>,
    stops: Vec<AttemptId>,
    checkpoints: Vec<AttemptId>,
    throttles: Vec<(AttemptId, u32)>,
    acknowledged: Vec<AttemptId>,
    inventory: bool,
}

/// An owner's session with one worker; dropped when the shard is lost or the worker is removed.
#[derive(Clone, Debug, Default)]
pub struct WorkerSession {
    /// Whether the worker has accepted this owner's epoch and sent its inventory since.
    pub fenced: bool,
    /// Until when attempts whose leases an earlier owner renewed may still run on the worker.
    pub silent_until: Millis,
    /// Until when attempts whose leases this owner renewed may still run on the worker.
    pub renewed_until: Millis,
    /// Whether the platform reports this worker as gone for good.
    pub gone: bool,
    /// Whether the worker is being drained.
    pub leaving: bool,
    /// Attempts whose start the worker has confirmed.
    pub confirmed: BTreeSet<AttemptId>,
    /// Attempts for which a checkpoint and stop was requested, so that their end counts as an eviction and not as an
    /// expired lease.
    pub evicting: BTreeSet<AttemptId>,
    /// The capacity that the worker itself reports; newer than the platform's list.
    pub reported_capacity: Option<ResourceSize>,
    starts: BTreeMap<AttemptId, StartOrder>,
    stops: BTreeSet<AttemptId>,
    checkpoints: BTreeSet<AttemptId>,
    throttles: BTreeMap<AttemptId, u32>,
    acknowledged: BTreeSet<AttemptId>,
    number: u64,
    stamp: Millis,
    stamp_received_at: Millis,
    in_flight: Option<SentOrders>,
    next_send: Millis,
    next_inventory: Millis,
    expected_ends: BTreeMap<AttemptId, Millis>,
}

impl WorkerSession {
    /// Creates a session with a worker on which an earlier owner's attempts may run until `silent_until`.
    pub fn new(silent_until: Millis) -> Self {
        Self {
            silent_until,
            ..Self::default()
        }
    }

    /// Whether no task lease on this worker can still be running.
    pub fn leases_expired(&self, now: Millis) -> bool {
        self.gone || (now > self.renewed_until && (self.fenced || now > self.silent_until))
    }

    /// Queues an order to start an attempt.
    pub fn push_start(&mut self, order: StartOrder) {
        self.starts.insert(order.attempt.clone(), order);
        self.next_send = 0;
    }

    /// Queues an order to stop an attempt, and withdraws its start if that is not confirmed.
    pub fn push_stop(&mut self, attempt: &AttemptId) {
        self.starts.remove(attempt);
        self.stops.insert(attempt.clone());
        self.next_send = 0;
    }

    /// Withdraws a start that the worker has not confirmed.
    pub fn drop_start(&mut self, attempt: &AttemptId) {
        self.starts.remove(attempt);
    }

    /// Queues an order to checkpoint and stop an attempt.
    pub fn push_checkpoint(&mut self, attempt: &AttemptId) {
        self.evicting.insert(attempt.clone());
        self.checkpoints.insert(attempt.clone());
        self.next_send = 0;
    }

    /// Queues an order to run an attempt at `percent` of its full speed.
    pub fn push_throttle(&mut self, attempt: &AttemptId, percent: u32) {
        self.throttles.insert(attempt.clone(), percent);
        self.next_send = 0;
    }

    /// Queues an acknowledgement of an attempt's end, so that the worker may forget it.
    ///
    /// It is sent with the next message that is due anyway.
    pub fn push_acknowledgement(&mut self, attempt: &AttemptId) {
        self.confirmed.remove(attempt);
        self.expected_ends.remove(attempt);
        self.evicting.remove(attempt);
        self.acknowledged.insert(attempt.clone());
    }

    /// Whether a start of `attempt` is queued or not confirmed yet.
    pub fn is_starting(&self, attempt: &AttemptId) -> bool {
        self.starts.contains_key(attempt)
    }

    /// Records when an attempt is expected to end, so that the worker is polled then and not a whole interval later.
    pub fn expect_end(&mut self, attempt: &AttemptId, at: Millis) {
        self.expected_ends.insert(attempt.clone(), at);
    }

    /// When the worker is next polled if no order is queued: after the order interval,
    /// or just after the next expected end.
    fn next_poll(&self, now: Millis, times: &LeaseTimes) -> Millis {
        let period = now + times.order_interval_ms;
        let ends = self.expected_ends.values().filter(|at| **at > now);
        ends.min()
            .map_or(period, |end| period.min(end + POLL_AFTER_END_MS))
    }

    /// Whether a message is due; only one is in flight at a time.
    pub fn is_due(&self, now: Millis) -> bool {
        !self.gone && self.in_flight.is_none() && now >= self.next_send
    }

    /// Builds the next message and marks it as in flight.
    ///
    /// Starts are held back until the worker is fenced; the placement of each was committed before it was queued.
    pub fn make_orders(
        &mut self,
        now: Millis,
        shard: &ShardId,
        epoch: Epoch,
        times: &LeaseTimes,
    ) -> WorkerOrders {
        self.number += 1;
        let inventory = !self.fenced || now >= self.next_inventory;
        let starts = if self.fenced {
            first_orders(self.starts.values())
        } else {
            Vec::new()
        };
        let stops = first_orders(self.stops.iter());
        let checkpoints = first_orders(self.checkpoints.iter());
        let throttles = self.first_throttles();
        let acknowledged = first_orders(self.acknowledged.iter());
        let mut orders = Vec::with_capacity(stops.len() + checkpoints.len() + starts.len());
        orders.extend(stops.iter().cloned().map(TaskOrder::Stop));
        orders.extend(checkpoints.iter().cloned().map(TaskOrder::Checkpoint));
        orders.extend(
            throttles
                .iter()
                .map(|(attempt, percent)| TaskOrder::Throttle(attempt.clone(), *percent)),
        );
        orders.extend(starts.iter().cloned().map(TaskOrder::Start));
        if self.stamp > 0 {
            let lease_end = self.stamp_received_at + times.task_lease_ms + times.drift_ms;
            self.renewed_until = self.renewed_until.max(lease_end);
        }
        self.in_flight = Some(SentOrders {
            number: self.number,
            sent: now,
            starts: starts.into_iter().map(|order| order.attempt).collect(),
            stops,
            checkpoints,
            throttles,
            acknowledged: acknowledged.clone(),
            inventory,
        });
        WorkerOrders {
            shard: shard.clone(),
            epoch,
            number: self.number,
            stamp: self.stamp,
            lease_ms: times.task_lease_ms,
            inventory,
            acknowledged,
            orders,
        }
    }

    fn first_throttles(&self) -> Vec<(AttemptId, u32)> {
        let throttles = self.throttles.iter().take(MAX_ORDERS_PER_KIND);
        throttles
            .map(|(attempt, percent)| (attempt.clone(), *percent))
            .collect()
    }

    /// Whether `number` is the number of the message in flight.
    pub fn awaits(&self, number: u64) -> bool {
        self.in_flight
            .as_ref()
            .is_some_and(|in_flight| in_flight.number == number)
    }

    /// Handles the worker's acceptance of the message in flight: removes its orders from the queues.
    ///
    /// `stamp` is the worker's time from its answer.
    pub fn note_accepted(&mut self, now: Millis, stamp: Millis, times: &LeaseTimes) {
        let Some(in_flight) = self.in_flight.take() else {
            return;
        };
        for attempt in &in_flight.starts {
            if self.starts.remove(attempt).is_some() {
                self.confirmed.insert(attempt.clone());
            }
        }
        self.stops
            .retain(|attempt| !in_flight.stops.contains(attempt));
        self.checkpoints
            .retain(|attempt| !in_flight.checkpoints.contains(attempt));
        self.throttles
            .retain(|attempt, percent| !in_flight.throttles.contains(&(attempt.clone(), *percent)));
        self.acknowledged
            .retain(|attempt| !in_flight.acknowledged.contains(attempt));
        if !in_flight.starts.is_empty() {
            self.next_inventory = self.next_inventory.min(now + times.order_interval_ms);
        }
        if in_flight.inventory {
            self.fenced = true;
            self.next_inventory = now + times.task_lease_ms * 2;
        }
        self.note_stamp(now, stamp);
        let has_orders =
            !(self.starts.is_empty() && self.stops.is_empty() && self.checkpoints.is_empty());
        self.next_send = if has_orders {
            now
        } else {
            self.next_poll(now, times)
        };
    }

    /// Handles a refusal because the message carried no stamp or an expired one; the
    /// orders are resent with the new stamp.
    pub fn note_stamp_expired(&mut self, now: Millis, stamp: Millis) {
        self.in_flight = None;
        self.note_stamp(now, stamp);
        self.next_send = now;
    }

    /// Handles a refused or unanswered message: the orders are resent after the answer timeout.
    pub fn note_failed(&mut self, now: Millis, times: &LeaseTimes) {
        self.in_flight = None;
        self.next_send = now + times.answer_timeout_ms;
    }

    /// Whether the message in flight was not answered within the answer timeout.
    pub fn is_overdue(&self, now: Millis, times: &LeaseTimes) -> bool {
        self.in_flight
            .as_ref()
            .is_some_and(|in_flight| now >= in_flight.sent + times.answer_timeout_ms)
    }

    fn note_stamp(&mut self, now: Millis, stamp: Millis) {
        self.stamp = stamp;
        self.stamp_received_at = now;
    }
}

fn first_orders<'a, T: Clone + 'a>(items: impl Iterator<Item = &'a T>) -> Vec<T> {
    items.take(MAX_ORDERS_PER_KIND).cloned().collect()
}
