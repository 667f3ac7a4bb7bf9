//! A relay's side: orders that it carries for an owner of one epoch.

use std::collections::HashSet;

use sandshelf_model::{Epoch, Millis};

use super::dispatcher::ANSWER_WITHIN_MS;
use super::messages::{RelayFault, RelayMessage, RelayedAnswer, RelayedOrder, ShardObservation};
use super::way::QuickestWay;
use crate::events::WorkerCall;
use crate::reports::{OrderAnswer, RenewalAnswer};

/// The orders that a host carries for the owner of one epoch; it ends with the connection to that owner.
#[derive(Clone, Debug)]
pub struct RelayAgent {
    epoch: Epoch,
    /// The newest order that was taken: an owner numbers them upwards.
    newest: u64,
    open: HashSet<u64>,
    answers: Vec<(u64, RelayedAnswer)>,
    way: QuickestWay,
}

impl RelayAgent {
    /// Begins to serve the owner of an epoch.
    pub fn new(epoch: Epoch) -> Self {
        Self {
            epoch,
            newest: 0,
            open: HashSet::new(),
            answers: Vec::new(),
            way: QuickestWay::default(),
        }
    }

    /// Takes a message in; returns the orders to carry out. One that was taken before isn't carried out again, also where it has
    /// ended since.
    ///
    /// Orders that were on their way for longer than their owner waits for an answer are not carried out either, and are told so: it has given
    /// them up, settled them by another way, and their worker may have started again since and know nothing of that. A host that stood
    /// still reads what has come meanwhile all at once.
    ///
    /// # Errors
    /// The message is of another epoch, or not for a relay; nothing of it is carried out.
    pub fn handle_message(
        &mut self,
        now: Millis,
        message: RelayMessage,
    ) -> Result<Vec<RelayedOrder>, RelayFault> {
        let batch = match message {
            RelayMessage::Orders(batch) => batch,
            RelayMessage::Answers(..)
            | RelayMessage::Leaves(_)
            | RelayMessage::ShardQuery(..)
            | RelayMessage::ShardReply(..) => return Err(RelayFault::Misdirected),
        };
        if batch.epoch != self.epoch {
            return Err(RelayFault::OtherEpoch(batch.epoch));
        }
        let late = self.way.note(now, batch.sent_at);
        let mut orders = batch.orders;
        orders.retain(|order| order.number > self.newest);
        self.newest = orders.last().map_or(self.newest, |order| order.number);
        self.open.extend(orders.iter().map(|order| order.number));
        if late > ANSWER_WITHIN_MS {
            for order in std::mem::take(&mut orders) {
                self.finish(order.number, not_sent(&order.call));
            }
        }
        Ok(orders)
    }

    /// Notes what became of an order.
    pub fn finish(&mut self, number: u64, answer: RelayedAnswer) {
        if self.open.remove(&number) {
            self.answers.push((number, answer));
        }
    }

    /// The answers that have come since the last call, as one message.
    pub fn take_answers(&mut self) -> Option<RelayMessage> {
        if self.answers.is_empty() {
            return None;
        }
        let answers = std::mem::take(&mut self.answers);
        Some(RelayMessage::Answers(self.epoch, answers))
    }

    /// The answer to a question of the owner of an epoch.
    ///
    /// # Errors
    /// This station serves the owner of another epoch.
    pub fn answer_query(
        &self,
        epoch: Epoch,
        number: u64,
        sight: ShardObservation,
    ) -> Result<RelayMessage, RelayFault> {
        match epoch == self.epoch {
            true => Ok(RelayMessage::ShardReply(epoch, number, sight)),
            false => Err(RelayFault::OtherEpoch(epoch)),
        }
    }

    /// A message that says only that this host lives.
    pub fn heartbeat(&self) -> RelayMessage {
        RelayMessage::Answers(self.epoch, Vec::new())
    }

    /// A message that says that this host is about to stop.
    pub fn leave(&self) -> RelayMessage {
        RelayMessage::Leaves(self.epoch)
    }

    /// How many orders are under way, or have answers that were not told.
    pub fn open_orders(&self) -> usize {
        self.open.len() + self.answers.len()
    }
}

/// What is told of an order that was not carried out.
fn not_sent(call: &WorkerCall) -> RelayedAnswer {
    match call {
        WorkerCall::Renew(_) => RenewalAnswer::Failed(OrderAnswer::NotSent).into(),
        WorkerCall::Start(_) | WorkerCall::Stop(_) | WorkerCall::Pace(..) => {
            OrderAnswer::NotSent.into()
        }
    }
}
