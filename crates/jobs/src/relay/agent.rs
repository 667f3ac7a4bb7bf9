//! The relay's side: carries orders for the owner of one epoch.

use std::collections::HashSet;

use sandshelf_model::{Epoch, Millis};

use super::delay::DelayBaseline;
use super::dispatcher::ANSWER_TIMEOUT_MS;
use super::messages::{
    OwnerNotice, RelayFault, RelayMessage, RelayedAnswer, RelayedOrder, ShardObservation,
};
use crate::events::WorkerCall;
use crate::reports::{OrderAnswer, RenewalAnswer};

/// Tracks the orders that a host carries for the owner of one epoch. It lasts as long as the connection to that owner.
#[derive(Clone, Debug)]
pub struct RelayAgent {
    epoch: Epoch,
    /// The number of the newest accepted order; an owner numbers its orders upwards.
    newest: u64,
    open: HashSet<u64>,
    answers: Vec<(u64, RelayedAnswer)>,
    delay: DelayBaseline,
}

impl RelayAgent {
    /// Creates an agent for the owner of an epoch.
    pub fn new(epoch: Epoch) -> Self {
        Self {
            epoch,
            newest: 0,
            open: HashSet::new(),
            answers: Vec::new(),
            delay: DelayBaseline::default(),
        }
    }

    /// Handles a message of the owner and returns the orders to carry out. An order that was accepted before is not carried out again,
    /// even if it has been finished since.
    ///
    /// Orders that were delayed for longer than the owner waits for an answer are not carried out either, and are answered with
    /// [`OrderAnswer::NotSent`]: the owner has given them up and settled them otherwise, and the worker may have restarted since and know
    /// nothing of that. This happens on a host that was suspended and then reads all messages that arrived meanwhile at once.
    ///
    /// # Errors
    /// The message is of another epoch, or not for a relay. None of its orders is carried out.
    pub fn handle_message(
        &mut self,
        now: Millis,
        message: RelayMessage,
    ) -> Result<Vec<RelayedOrder>, RelayFault> {
        let batch = match message {
            RelayMessage::Orders(batch) => batch,
            RelayMessage::Answers(..)
            | RelayMessage::Renewed(_)
            | RelayMessage::Leaves(_)
            | RelayMessage::ShardQuery(..)
            | RelayMessage::ShardReply(..) => return Err(RelayFault::Misdirected),
        };
        if batch.epoch != self.epoch {
            return Err(RelayFault::OtherEpoch(batch.epoch));
        }
        let late = self.delay.record(now, batch.sent_at);
        let mut orders = batch.orders;
        orders.retain(|order| order.number > self.newest);
        self.newest = orders.last().map_or(self.newest, |order| order.number);
        self.open.extend(orders.iter().map(|order| order.number));
        if late > ANSWER_TIMEOUT_MS {
            for order in std::mem::take(&mut orders) {
                self.finish(order.number, not_sent(&order.call));
            }
        }
        Ok(orders)
    }

    /// Records the result of an order; ignored if the order is not open.
    pub fn finish(&mut self, number: u64, answer: RelayedAnswer) {
        if self.open.remove(&number) {
            self.answers.push((number, answer));
        }
    }

    /// Takes the answers since the last call as one message; none if there are none.
    pub fn take_answers(&mut self) -> Option<RelayMessage> {
        if self.answers.is_empty() {
            return None;
        }
        let answers = std::mem::take(&mut self.answers);
        Some(RelayMessage::Answers(self.epoch, answers))
    }

    /// Checks a notice of the owner.
    ///
    /// # Errors
    /// This agent serves the owner of another epoch.
    pub fn check_notice(&self, notice: &OwnerNotice) -> Result<(), RelayFault> {
        match notice.epoch == self.epoch {
            true => Ok(()),
            false => Err(RelayFault::OtherEpoch(notice.epoch)),
        }
    }

    /// Creates the reply to a query of the owner of an epoch.
    ///
    /// # Errors
    /// This agent serves the owner of another epoch.
    pub fn answer_query(
        &self,
        epoch: Epoch,
        number: u64,
        observation: ShardObservation,
    ) -> Result<RelayMessage, RelayFault> {
        match epoch == self.epoch {
            true => Ok(RelayMessage::ShardReply(epoch, number, observation)),
            false => Err(RelayFault::OtherEpoch(epoch)),
        }
    }

    /// Creates a heartbeat message.
    pub fn heartbeat(&self) -> RelayMessage {
        RelayMessage::Answers(self.epoch, Vec::new())
    }

    /// Creates a message that says that this host is about to stop.
    pub fn leave(&self) -> RelayMessage {
        RelayMessage::Leaves(self.epoch)
    }

    /// The number of orders that are open or whose answers have not been sent.
    pub fn open_orders(&self) -> usize {
        self.open.len() + self.answers.len()
    }
}

/// The answer to an order that was not carried out.
fn not_sent(call: &WorkerCall) -> RelayedAnswer {
    match call {
        WorkerCall::Renew(_) => RenewalAnswer::Failed(OrderAnswer::NotSent).into(),
        WorkerCall::Start(_) | WorkerCall::Stop(_) | WorkerCall::Pace(..) => {
            OrderAnswer::NotSent.into()
        }
    }
}
