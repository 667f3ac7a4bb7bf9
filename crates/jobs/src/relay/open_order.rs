//! A relayed order that has no answer yet.

use sandshelf_model::{Millis, WorkerId};

use super::messages::RelayedAnswer;
use super::plan::RelayNumber;
use crate::events::JobEvent;
use crate::ids::RunKey;
use crate::reports::{OrderAnswer, RenewalAnswer};

/// The kind of an order, from which the event of its answer is made.
#[derive(Clone, Copy, Debug)]
pub(super) enum OrderKind {
    Start(RunKey),
    Stop(RunKey),
    Pace(RunKey),
    Renew,
}

/// A relayed order without an answer.
#[derive(Clone, Debug)]
pub(super) struct OpenOrder {
    pub(super) relay: RelayNumber,
    pub(super) worker: WorkerId,
    pub(super) kind: OrderKind,
    /// When the order times out.
    pub(super) until: Millis,
}

impl OpenOrder {
    /// The event for the scheduler where the relay is lost.
    pub(super) fn unanswered(self) -> JobEvent {
        let answer = match self.kind {
            OrderKind::Renew => RenewalAnswer::Failed(OrderAnswer::Unknown).into(),
            _ => OrderAnswer::Unknown.into(),
        };
        self.event(answer).expect("an answer of the order's kind")
    }

    /// The event for the scheduler; none if the answer is not of the kind of the order.
    pub(super) fn event(&self, answer: RelayedAnswer) -> Option<JobEvent> {
        let worker = self.worker.clone();
        Some(match (self.kind, answer) {
            (OrderKind::Start(key), RelayedAnswer::Order(answer)) => {
                JobEvent::StartAnswered(worker, key, answer)
            }
            (OrderKind::Stop(key), RelayedAnswer::Order(answer)) => {
                JobEvent::StopAnswered(worker, key, answer)
            }
            (OrderKind::Pace(key), RelayedAnswer::Order(answer)) => {
                JobEvent::PaceAnswered(worker, key, answer)
            }
            (OrderKind::Renew, RelayedAnswer::Renewal(answer)) => {
                JobEvent::RenewalAnswered(worker, answer)
            }
            _ => return None,
        })
    }
}
