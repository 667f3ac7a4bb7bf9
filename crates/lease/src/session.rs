//! One worker as its shard's owner knows it: what was sent, what was confirmed, and how long its leases can last.

use std::collections::{BTreeMap, BTreeSet};

use sandshelf_model::{AttemptId, Epoch, Millis, ResourceSize, ShardId};

use crate::orders::{StartOrder, TaskOrder, WorkerOrders};
use crate::times::LeaseTimes;

/// The most attempts that one message acknowledges or orders about, so that a flood is spread over messages.
const MOST_ORDERS: usize = 256;

/// How long after an attempt's expected end its worker is asked.
const AFTER_END_MS: Millis = 50;

/// What one message carried, to be struck off when it is answered.
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

/// An owner's dealings with one worker.
#[derive(Clone, Debug, Default)]
pub struct WorkerSession {
    /// Whether the worker has taken in this owner's epoch and sent its inventory since.
    pub fenced: bool,
    /// Until when what an earlier owner renewed may still run there.
    pub silent_until: Millis,
    /// Until when what this owner renewed may still run there.
    pub held_until: Millis,
    /// Whether the platform says that this incarnation is gone.
    pub gone: bool,
    /// Whether the worker is to be emptied.
    pub leaving: bool,
    /// Attempts that the worker has confirmed.
    pub confirmed: BTreeSet<AttemptId>,
    /// Attempts that were told to stop, so that their end is told from a lapse.
    pub evicting: BTreeSet<AttemptId>,
    /// What the worker itself says that it has; the platform's list lags behind it.
    pub reported: Option<ResourceSize>,
    starts: BTreeMap<AttemptId, StartOrder>,
    stops: BTreeSet<AttemptId>,
    checkpoints: BTreeSet<AttemptId>,
    throttles: BTreeMap<AttemptId, u32>,
    acknowledged: BTreeSet<AttemptId>,
    number: u64,
    stamp: Millis,
    stamp_at: Millis,
    flight: Option<SentOrders>,
    next_send: Millis,
    next_inventory: Millis,
    expected_ends: BTreeMap<AttemptId, Millis>,
}

impl WorkerSession {
    /// Makes a session with a worker on which an earlier owner's attempts may run until `silent_until`.
    pub fn new(silent_until: Millis) -> Self {
        Self {
            silent_until,
            ..Self::default()
        }
    }

    /// Whether no lease on this worker can still be running.
    pub fn is_lapsed(&self, now: Millis) -> bool {
        self.gone || (now > self.held_until && (self.fenced || now > self.silent_until))
    }

    /// Asks for an attempt to be started.
    pub fn push_start(&mut self, order: StartOrder) {
        self.starts.insert(order.attempt.clone(), order);
        self.next_send = 0;
    }

    /// Asks for an attempt to be stopped.
    pub fn push_stop(&mut self, attempt: &AttemptId) {
        self.starts.remove(attempt);
        self.stops.insert(attempt.clone());
        self.next_send = 0;
    }

    /// Takes back a start that its worker has not confirmed.
    pub fn drop_start(&mut self, attempt: &AttemptId) {
        self.starts.remove(attempt);
    }

    /// Asks for an attempt to be checkpointed and stopped.
    pub fn push_checkpoint(&mut self, attempt: &AttemptId) {
        self.evicting.insert(attempt.clone());
        self.checkpoints.insert(attempt.clone());
        self.next_send = 0;
    }

    /// Asks for an attempt to run at a percentage of its speed.
    pub fn push_throttle(&mut self, attempt: &AttemptId, percent: u32) {
        self.throttles.insert(attempt.clone(), percent);
        self.next_send = 0;
    }

    /// Tells the worker that it may forget an attempt's end.
    pub fn push_acknowledgement(&mut self, attempt: &AttemptId) {
        self.confirmed.remove(attempt);
        self.expected_ends.remove(attempt);
        self.evicting.remove(attempt);
        self.acknowledged.insert(attempt.clone());
    }

    /// Whether a start of `attempt` has not been answered yet.
    pub fn is_starting(&self, attempt: &AttemptId) -> bool {
        self.starts.contains_key(attempt)
    }

    /// Notes when an attempt is expected to end, so that the worker is asked then and not a whole period later.
    pub fn expect_end(&mut self, attempt: &AttemptId, at: Millis) {
        self.expected_ends.insert(attempt.clone(), at);
    }

    /// When the worker is next asked if there is nothing new: at the period, or just after the next expected end.
    fn next_look(&self, now: Millis, times: &LeaseTimes) -> Millis {
        let period = now + times.order_interval_ms;
        let ends = self.expected_ends.values().filter(|at| **at > now);
        ends.min()
            .map_or(period, |end| period.min(end + AFTER_END_MS))
    }

    /// Whether a message is due; one is under way at a time.
    pub fn is_due(&self, now: Millis) -> bool {
        !self.gone && self.flight.is_none() && now >= self.next_send
    }

    /// Makes the next message.
    ///
    /// Starts stay back until the worker is fenced; each was made durable before it came here.
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
            take_some(self.starts.values())
        } else {
            Vec::new()
        };
        let stops = take_some(self.stops.iter());
        let checkpoints = take_some(self.checkpoints.iter());
        let throttles = self.take_throttles();
        let acknowledged = take_some(self.acknowledged.iter());
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
            let lease_end = self.stamp_at + times.task_lease_ms + times.drift_ms;
            self.held_until = self.held_until.max(lease_end);
        }
        self.flight = Some(SentOrders {
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

    fn take_throttles(&self) -> Vec<(AttemptId, u32)> {
        let throttles = self.throttles.iter().take(MOST_ORDERS);
        throttles
            .map(|(attempt, percent)| (attempt.clone(), *percent))
            .collect()
    }

    /// Whether `number` is of the message under way.
    pub fn awaits(&self, number: u64) -> bool {
        self.flight
            .as_ref()
            .is_some_and(|flight| flight.number == number)
    }

    /// Takes in that the message under way was answered and taken in whole.
    pub fn note_accepted(&mut self, now: Millis, stamp: Millis, times: &LeaseTimes) {
        let Some(flight) = self.flight.take() else {
            return;
        };
        for attempt in &flight.starts {
            if self.starts.remove(attempt).is_some() {
                self.confirmed.insert(attempt.clone());
            }
        }
        self.stops.retain(|attempt| !flight.stops.contains(attempt));
        self.checkpoints
            .retain(|attempt| !flight.checkpoints.contains(attempt));
        self.throttles
            .retain(|attempt, percent| !flight.throttles.contains(&(attempt.clone(), *percent)));
        self.acknowledged
            .retain(|attempt| !flight.acknowledged.contains(attempt));
        if !flight.starts.is_empty() {
            self.next_inventory = self.next_inventory.min(now + times.order_interval_ms);
        }
        if flight.inventory {
            self.fenced = true;
            self.next_inventory = now + times.task_lease_ms * 2;
        }
        self.note_stamp(now, stamp);
        let more =
            !(self.starts.is_empty() && self.stops.is_empty() && self.checkpoints.is_empty());
        self.next_send = if more {
            now
        } else {
            self.next_look(now, times)
        };
    }

    /// Takes in a stamp from a message that was refused because it carried none or an old one.
    pub fn note_expired(&mut self, now: Millis, stamp: Millis) {
        self.flight = None;
        self.note_stamp(now, stamp);
        self.next_send = now;
    }

    /// Takes in that the message under way was refused, or that nothing is known of it.
    pub fn note_lost(&mut self, now: Millis, times: &LeaseTimes) {
        self.flight = None;
        self.next_send = now + times.answer_timeout_ms;
    }

    /// Whether the message under way has waited too long for its answer.
    pub fn is_overdue(&self, now: Millis, times: &LeaseTimes) -> bool {
        self.flight
            .as_ref()
            .is_some_and(|flight| now >= flight.sent + times.answer_timeout_ms)
    }

    fn note_stamp(&mut self, now: Millis, stamp: Millis) {
        self.stamp = stamp;
        self.stamp_at = now;
    }
}

fn take_some<'a, T: Clone + 'a>(items: impl Iterator<Item = &'a T>) -> Vec<T> {
    items.take(MOST_ORDERS).cloned().collect()
}
