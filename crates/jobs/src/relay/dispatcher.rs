//! The owner's side: which order goes through which relay, and what has no answer yet.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use sandshelf_model::{Epoch, HallId, HostId, Millis, WorkerId};

use super::messages::{
    OrderBatch, RelayFault, RelayHandshake, RelayMessage, RelayedAnswer, RelayedOrder,
    RELAY_VERSION,
};
use super::quorum::OutageQuorum;
use super::share::{calls_alone, RelayPlan, RelayShare};
use crate::events::{JobEvent, WorkerCall};
use crate::ids::RunKey;
use crate::reports::{OrderAnswer, RenewalAnswer};

/// How long an answer is waited for beside the wait that a hold asks for: a relay gives a worker up after 0.5 s, and its own
/// turn with the ways there and back take some 10 ms, on a weak host under load up to 0.3 s.
pub(super) const ANSWER_WITHIN_MS: Millis = 1_000;
/// How often orders without an answer are looked at.
const LOOK_EVERY_MS: Millis = 100;
/// A relay that tells nothing for so long is lost; it is asked to say that it lives.
const RELAY_SILENCE_TIMEOUT_MS: Millis = 6_000;
/// How often a relay in use is told that its owner lives, where it is given no orders: relays take an owner that gave them orders
/// for gone after three times as long.
const BEAT_EVERY_MS: Millis = 500;
/// How often one that is not in use is told so.
const IDLE_BEAT_MS: Millis = 2_000;
/// A host that leaves orders without an answer twice within this time is slow or cut off, not just without a connection.
const LOSSES_WITHIN_MS: Millis = 10_000;
/// For how long such a host carries none.
const SHUNNED_MS: Millis = 5_000;
/// Names a relay's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RelayNumber(pub u64);

/// The way that an order takes.
#[derive(Clone, Debug, PartialEq)]
pub enum OrderRoute {
    /// The owner calls the worker itself: the order comes back.
    Direct(WorkerCall),
    /// Through a relay.
    Relayed(RelayNumber),
}

/// What a message of a relay, or the passing of time, leads to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RelayOutcome {
    /// What the scheduler is to be told.
    pub events: Vec<JobEvent>,
    /// Relays that are lost; their connections are to be closed.
    pub lost: Vec<RelayNumber>,
    /// What was passed over.
    pub faults: Vec<RelayFault>,
    /// An owner of this newer epoch was seen by a host.
    pub followed_by: Option<Epoch>,
}

/// An owner's figures of its relays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DispatcherStats {
    /// Hosts that offer to carry orders.
    pub offered: usize,
    /// Those that carry some.
    pub in_use: usize,
    /// Orders under way through relays.
    pub open: usize,
}

#[derive(Clone, Debug)]
pub(super) struct RelayState {
    share: RelayShare,
    last_heard: Millis,
    last_told: Millis,
    outbox: Vec<RelayedOrder>,
    /// Whether it is about to stop and takes no more.
    leaves: bool,
}

/// What an order was, to make its event.
#[derive(Clone, Copy, Debug)]
enum OrderKind {
    Start(RunKey),
    Stop(RunKey),
    Pace(RunKey),
    Renew,
}

#[derive(Clone, Debug)]
struct OpenOrder {
    relay: RelayNumber,
    worker: WorkerId,
    kind: OrderKind,
    until: Millis,
}

/// The relays of an owner, for as long as it is one.
#[derive(Clone, Debug)]
pub struct RelayDispatcher {
    pub(super) epoch: Epoch,
    processor_millis: u64,
    pub(super) relays: BTreeMap<RelayNumber, RelayState>,
    relay_count: u64,
    /// When a host last left orders without an answer.
    lost_at: BTreeMap<HostId, Millis>,
    /// Until when a host carries no orders.
    shunned: BTreeMap<HostId, Millis>,
    pub(super) halls: HashMap<WorkerId, HallId>,
    /// Made anew at the first order after a change of workers or relays.
    plan: Option<RelayPlan>,
    routes: HashMap<WorkerId, Option<RelayNumber>>,
    open: HashMap<u64, OpenOrder>,
    order_count: u64,
    looked_at: Millis,
    pub(super) quorum: OutageQuorum,
}

impl RelayDispatcher {
    /// Starts without relays, for an owner of an epoch that has so many thousandths of a core.
    pub fn new(epoch: Epoch, processor_millis: u64) -> Self {
        Self {
            epoch,
            processor_millis,
            relays: BTreeMap::new(),
            relay_count: 0,
            lost_at: BTreeMap::new(),
            shunned: BTreeMap::new(),
            halls: HashMap::new(),
            plan: None,
            routes: HashMap::new(),
            open: HashMap::new(),
            order_count: 0,
            looked_at: 0,
            quorum: OutageQuorum::default(),
        }
    }

    /// Notes the workers that there are, with their halls.
    pub fn note_workers(&mut self, workers: impl IntoIterator<Item = (WorkerId, HallId)>) {
        let halls: HashMap<WorkerId, HallId> = workers.into_iter().collect();
        if halls != self.halls {
            self.halls = halls;
            self.forget_plan();
        }
    }

    /// Takes a relay in; an earlier connection of the same host is to be closed by whoever holds it.
    ///
    /// # Errors
    /// It speaks another version.
    pub fn join(
        &mut self,
        now: Millis,
        handshake: RelayHandshake,
    ) -> Result<RelayNumber, RelayFault> {
        if handshake.version != RELAY_VERSION {
            return Err(RelayFault::OtherVersion(handshake.version));
        }
        self.relay_count += 1;
        let number = RelayNumber(self.relay_count);
        let state = RelayState {
            share: RelayShare {
                relay: number,
                host: handshake.host,
                hall: handshake.hall,
                processor_millis: handshake.processor_millis,
            },
            last_heard: now,
            last_told: now,
            outbox: Vec::new(),
            leaves: false,
        };
        let RelayShare { host, hall, .. } = &state.share;
        self.quorum.note_linked(host, hall);
        self.relays.insert(number, state);
        self.forget_plan();
        Ok(number)
    }

    /// Gives a relay up: what it had under way may have been done, or may be done later.
    pub fn leave(&mut self, now: Millis, relay: RelayNumber) -> Vec<JobEvent> {
        let Some(gone) = self.relays.remove(&relay) else {
            return Vec::new();
        };
        self.quorum.note_unlinked(now, &gone.share.host);
        self.forget_plan();
        let lost = self.open.iter().filter(|(_, order)| order.relay == relay);
        let mut lost: Vec<u64> = lost.map(|(number, _)| *number).collect();
        lost.sort_unstable();
        let lost = lost
            .into_iter()
            .filter_map(|number| self.open.remove(&number));
        lost.map(|order| order.unanswered()).collect()
    }

    /// Chooses the way of an order; one that goes through a relay waits for [`RelayDispatcher::take_messages`].
    pub fn route(
        &mut self,
        now: Millis,
        worker: &WorkerId,
        address: SocketAddr,
        call: WorkerCall,
    ) -> OrderRoute {
        let Some(number) = self.relay_of(now, worker) else {
            return OrderRoute::Direct(call);
        };
        let Some(relay) = self.relays.get_mut(&number) else {
            return OrderRoute::Direct(call);
        };
        let (kind, wait_ms) = match &call {
            WorkerCall::Start(start) => (OrderKind::Start(start.key), 0),
            WorkerCall::Stop(key) => (OrderKind::Stop(*key), 0),
            WorkerCall::Pace(key, _) => (OrderKind::Pace(*key), 0),
            WorkerCall::Renew(hold) => (OrderKind::Renew, hold.wait_ms),
        };
        self.order_count += 1;
        let order = OpenOrder {
            relay: number,
            worker: worker.clone(),
            kind,
            until: now + wait_ms + ANSWER_WITHIN_MS,
        };
        self.open.insert(self.order_count, order);
        relay.outbox.push(RelayedOrder {
            number: self.order_count,
            worker: worker.clone(),
            address,
            call,
        });
        OrderRoute::Relayed(number)
    }

    /// The host that the newest order to a worker went through.
    pub fn carrier(&self, worker: &WorkerId) -> Option<&HostId> {
        let number = (*self.routes.get(worker)?)?;
        Some(&self.relays.get(&number)?.share.host)
    }

    /// The orders that wait to be told, one message for each relay.
    pub fn take_messages(&mut self, now: Millis) -> Vec<(RelayNumber, RelayMessage)> {
        let epoch = self.epoch;
        let waiting = self.relays.iter_mut();
        let waiting = waiting.filter(|(_, relay)| !relay.outbox.is_empty());
        let told = waiting.map(|(number, relay)| {
            relay.last_told = now;
            let orders = std::mem::take(&mut relay.outbox);
            let batch = OrderBatch {
                epoch,
                sent_at: now,
                orders,
            };
            (*number, RelayMessage::Orders(batch))
        });
        told.collect()
    }

    /// Takes in a relay's answers. Those to orders that it doesn't carry change nothing: they came too late, or another relay
    /// was given the order.
    pub fn handle_message(
        &mut self,
        now: Millis,
        relay: RelayNumber,
        message: RelayMessage,
    ) -> RelayOutcome {
        let mut intake = RelayOutcome::default();
        let (epoch, answers, leaves) = match message {
            RelayMessage::Answers(epoch, answers) => (epoch, answers, false),
            RelayMessage::Leaves(epoch) => (epoch, Vec::new(), true),
            RelayMessage::ShardReply(epoch, number, sight) => {
                if let Some(state) = self.relays.get(&relay).filter(|_| epoch == self.epoch) {
                    self.quorum.take(&state.share.host, number, sight);
                    intake.followed_by = Some(sight.epoch).filter(|seen| *seen > epoch);
                }
                (epoch, Vec::new(), false)
            }
            RelayMessage::Orders(..) | RelayMessage::ShardQuery(..) => {
                intake.faults.push(RelayFault::Misdirected);
                return intake;
            }
        };
        let Some(state) = self.relays.get_mut(&relay) else {
            intake.faults.push(RelayFault::UnknownRelay);
            return intake;
        };
        if epoch != self.epoch {
            intake.faults.push(RelayFault::OtherEpoch(epoch));
            return intake;
        }
        state.last_heard = now;
        if leaves && !state.leaves {
            state.leaves = true;
            self.forget_plan();
        }
        for (number, answer) in answers {
            match self.answer(relay, number, answer) {
                Ok(event) => intake.events.push(event),
                Err(fault) => intake.faults.push(fault),
            }
        }
        intake
    }

    fn answer(
        &mut self,
        relay: RelayNumber,
        number: u64,
        answer: RelayedAnswer,
    ) -> Result<JobEvent, RelayFault> {
        let carries = |order: &&OpenOrder| order.relay == relay;
        let order = self.open.get(&number).filter(carries);
        let order = order.ok_or(RelayFault::UnknownOrder(number))?;
        let event = order.event(answer).ok_or(RelayFault::WrongAnswer(number))?;
        self.open.remove(&number);
        Ok(event)
    }

    /// Gives up relays that leave orders without an answer or say nothing, and asks quiet ones to say that they live.
    pub fn tick(&mut self, now: Millis) -> RelayOutcome {
        let mut intake = RelayOutcome::default();
        if now < self.looked_at + LOOK_EVERY_MS {
            return intake;
        }
        self.looked_at = now;
        let late = self.open.values().filter(|order| now > order.until);
        let mut lost: Vec<RelayNumber> = late.map(|order| order.relay).collect();
        let silent = self.relays.iter();
        let silent = silent.filter(|(_, relay)| now > relay.last_heard + RELAY_SILENCE_TIMEOUT_MS);
        lost.extend(silent.map(|(number, _)| *number));
        lost.sort_unstable();
        lost.dedup();
        for number in &lost {
            self.note_loss(now, *number);
            intake.events.extend(self.leave(now, *number));
        }
        intake.lost = lost;
        let before = self.shunned.len();
        self.shunned.retain(|_, until| now < *until);
        if self.shunned.len() < before {
            self.forget_plan();
        }
        intake
    }

    fn note_loss(&mut self, now: Millis, relay: RelayNumber) {
        let Some(relay) = self.relays.get(&relay) else {
            return;
        };
        let host = relay.share.host.clone();
        let before = self.lost_at.insert(host.clone(), now);
        if before.is_some_and(|at| now < at + LOSSES_WITHIN_MS) {
            self.shunned.insert(host, now + SHUNNED_MS);
        }
    }

    /// The relays that are to be told that the owner lives, which they answer.
    pub fn take_heartbeats(&mut self, now: Millis) -> Vec<(RelayNumber, RelayMessage)> {
        let epoch = self.epoch;
        let plan = self.plan.as_ref();
        let due = self.relays.iter_mut();
        let due = due.filter(|(number, relay)| {
            let in_use = plan.is_some_and(|plan| plan.uses(**number));
            let every_ms = if in_use { BEAT_EVERY_MS } else { IDLE_BEAT_MS };
            now >= relay.last_told + every_ms
        });
        let told = due.map(|(number, relay)| {
            relay.last_told = now;
            let batch = OrderBatch {
                epoch,
                sent_at: now,
                orders: Vec::new(),
            };
            (*number, RelayMessage::Orders(batch))
        });
        told.collect()
    }

    /// The figures by now.
    pub fn stats(&self) -> DispatcherStats {
        DispatcherStats {
            offered: self.relays.len(),
            in_use: self.plan.as_ref().map_or(0, RelayPlan::len),
            open: self.open.len(),
        }
    }

    fn forget_plan(&mut self) {
        self.plan = None;
        self.routes.clear();
    }

    fn relay_of(&mut self, now: Millis, worker: &WorkerId) -> Option<RelayNumber> {
        if self.relays.is_empty() || calls_alone(self.processor_millis, self.halls.len()) {
            return None;
        }
        if let Some(known) = self.routes.get(worker) {
            return *known;
        }
        let plan = match &mut self.plan {
            Some(plan) => plan,
            None => {
                let mut by_hall: BTreeMap<HallId, usize> = BTreeMap::new();
                for hall in self.halls.values() {
                    *by_hall.entry(hall.clone()).or_default() += 1;
                }
                let stay = self.relays.values().filter(|relay| !relay.leaves);
                let relays = stay.map(|relay| relay.share.clone());
                let fit = relays.filter(|relay| {
                    let shunned = self.shunned.get(&relay.host);
                    shunned.is_none_or(|until| now >= *until)
                });
                self.plan.insert(RelayPlan::new(fit.collect(), &by_hall))
            }
        };
        let route = plan.relay_of(worker, self.halls.get(worker));
        self.routes.insert(worker.clone(), route);
        route
    }
}

impl OpenOrder {
    fn unanswered(self) -> JobEvent {
        let answer = match self.kind {
            OrderKind::Renew => RenewalAnswer::Failed(OrderAnswer::Unknown).into(),
            _ => OrderAnswer::Unknown.into(),
        };
        self.event(answer).expect("an answer of the order's kind")
    }

    /// What the scheduler is told; none where this can't be an answer to the order.
    fn event(&self, answer: RelayedAnswer) -> Option<JobEvent> {
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
