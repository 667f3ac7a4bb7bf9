//! The owner's side: routes orders through relays and tracks the orders that have no answer yet.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use sandshelf_model::{Epoch, HallId, HostId, Millis, WorkerId};

use super::messages::{
    OrderBatch, RelayFault, RelayHandshake, RelayMessage, RelayedAnswer, RelayedOrder,
    RELAY_VERSION,
};
use super::open_order::{OpenOrder, OrderKind};
use super::plan::{calls_alone, RelayCandidate, RelayNumber, RelayPlan};
use super::quorum::OutageQuorum;
use super::worker_halls::WorkerHalls;
use crate::events::{JobEvent, WorkerCall};

/// The timeout of a relayed order, in addition to the wait that a lease renewal requests. A relay gives up on a worker after 0.5 s; its
/// own processing and both network trips take some 10 ms, on a weak host under load up to 0.3 s.
pub(super) const ANSWER_TIMEOUT_MS: Millis = 1_000;
/// How often open orders and relays are checked for timeouts.
const TIMEOUT_CHECK_INTERVAL_MS: Millis = 100;
/// A relay that has sent nothing for this long is lost. Quiet relays are sent heartbeats, which they answer.
const RELAY_SILENCE_TIMEOUT_MS: Millis = 6_000;
/// The interval of heartbeats to a relay that is in use but gets no orders. Relays consider an owner that gave them orders gone after three
/// times as long.
const HEARTBEAT_INTERVAL_MS: Millis = 500;
/// The interval of heartbeats to a relay that is not in use.
const IDLE_HEARTBEAT_INTERVAL_MS: Millis = 2_000;
/// A host whose relay is lost twice within this time is considered slow or cut off, rather than just disconnected once, and is excluded.
const REPEATED_LOSS_WINDOW_MS: Millis = 10_000;
/// How long an excluded host gets no orders.
const EXCLUSION_MS: Millis = 5_000;

/// The route of an order.
#[derive(Clone, Debug, PartialEq)]
pub enum OrderRoute {
    /// The owner calls the worker itself; contains the call.
    Direct(WorkerCall),
    /// The order goes through this relay.
    Relayed(RelayNumber),
}

/// The outcome of a message from a relay, or of a timeout check.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RelayOutcome {
    /// The events for the scheduler.
    pub events: Vec<JobEvent>,
    /// The lost relays, whose connections are to be closed.
    pub lost: Vec<RelayNumber>,
    /// Why the message or answers in it were ignored.
    pub faults: Vec<RelayFault>,
    /// The newer epoch of another owner that a host has seen, if any.
    pub newer_epoch: Option<Epoch>,
}

/// The counts of an owner's relays and relayed orders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DispatcherStats {
    /// The number of hosts that offer to relay orders.
    pub offered: usize,
    /// The number of those hosts that are in use.
    pub in_use: usize,
    /// The number of relayed orders without an answer.
    pub open: usize,
}

#[derive(Clone, Debug)]
pub(super) struct RelayState {
    candidate: RelayCandidate,
    last_heard: Millis,
    last_sent_at: Millis,
    outbox: Vec<RelayedOrder>,
    /// Whether the relay is about to stop and takes no more orders.
    leaves: bool,
}

/// Routes the orders of one owner through its relays.
#[derive(Clone, Debug)]
pub struct RelayDispatcher {
    pub(super) epoch: Epoch,
    processor_millicores: u64,
    pub(super) relays: BTreeMap<RelayNumber, RelayState>,
    relay_count: u64,
    /// When the relay of each host was last lost.
    lost_at: BTreeMap<HostId, Millis>,
    /// The hosts that get no orders, each with the time at which that ends.
    excluded: BTreeMap<HostId, Millis>,
    pub(super) workers: WorkerHalls,
    /// Created again at the first order after a change of relays, or of workers.
    plan: Option<RelayPlan>,
    routes: HashMap<WorkerId, Option<RelayNumber>>,
    open: HashMap<u64, OpenOrder>,
    order_count: u64,
    checked_at: Millis,
    pub(super) quorum: OutageQuorum,
}

impl RelayDispatcher {
    /// Creates a dispatcher without relays for the owner of an epoch, which has this many thousandths of a processor core.
    pub fn new(epoch: Epoch, processor_millicores: u64) -> Self {
        Self {
            epoch,
            processor_millicores,
            relays: BTreeMap::new(),
            relay_count: 0,
            lost_at: BTreeMap::new(),
            excluded: BTreeMap::new(),
            workers: WorkerHalls::default(),
            plan: None,
            routes: HashMap::new(),
            open: HashMap::new(),
            order_count: 0,
            checked_at: 0,
            quorum: OutageQuorum::default(),
        }
    }

    /// Sets the known workers and their halls.
    pub fn note_workers(&mut self, workers: impl IntoIterator<Item = (WorkerId, HallId)>) {
        if self.workers.replace_all(workers) {
            self.forget_plan();
        }
    }

    /// Updates the known workers: adds some, with their halls, or changes their halls, and removes others.
    pub fn note_worker_changes(
        &mut self,
        listed: impl IntoIterator<Item = (WorkerId, HallId)>,
        removed: &[WorkerId],
    ) {
        for (worker, hall) in listed {
            if self.workers.put(&worker, hall) {
                self.routes.remove(&worker);
            }
        }
        for worker in removed {
            self.workers.remove(worker);
            self.routes.remove(worker);
        }
    }

    /// Adds a relay. The caller has to close an earlier connection of the same host.
    ///
    /// # Errors
    /// The relay uses another message version.
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
            candidate: RelayCandidate {
                relay: number,
                host: handshake.host,
                hall: handshake.hall,
                processor_millicores: handshake.processor_millicores,
            },
            last_heard: now,
            last_sent_at: now,
            outbox: Vec::new(),
            leaves: false,
        };
        let RelayCandidate { host, hall, .. } = &state.candidate;
        self.quorum.note_connected(host, hall);
        self.relays.insert(number, state);
        self.forget_plan();
        Ok(number)
    }

    /// Removes a relay. Returns its open orders as unanswered: they may have been carried out, or may be carried out later.
    pub fn leave(&mut self, now: Millis, relay: RelayNumber) -> Vec<JobEvent> {
        let Some(gone) = self.relays.remove(&relay) else {
            return Vec::new();
        };
        self.quorum.note_disconnected(now, &gone.candidate.host);
        self.forget_plan();
        let lost = self.open.iter().filter(|(_, order)| order.relay == relay);
        let mut lost: Vec<u64> = lost.map(|(number, _)| *number).collect();
        lost.sort_unstable();
        let lost = lost
            .into_iter()
            .filter_map(|number| self.open.remove(&number));
        lost.map(|order| order.unanswered()).collect()
    }

    /// Chooses the route of an order. An order through a relay is queued until [`RelayDispatcher::take_messages`].
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
            WorkerCall::Renew(renewal) => (OrderKind::Renew, renewal.wait_ms),
        };
        self.order_count += 1;
        let order = OpenOrder {
            relay: number,
            worker: worker.clone(),
            kind,
            until: now + wait_ms + ANSWER_TIMEOUT_MS,
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

    /// The host that relayed the newest order to a worker; none if the owner called the worker itself.
    pub fn carrier(&self, worker: &WorkerId) -> Option<&HostId> {
        let number = (*self.routes.get(worker)?)?;
        Some(&self.relays.get(&number)?.candidate.host)
    }

    /// Takes the queued orders, one message for each relay.
    pub fn take_messages(&mut self, now: Millis) -> Vec<(RelayNumber, RelayMessage)> {
        let epoch = self.epoch;
        let waiting = self.relays.iter_mut();
        let waiting = waiting.filter(|(_, relay)| !relay.outbox.is_empty());
        let messages = waiting.map(|(number, relay)| {
            relay.last_sent_at = now;
            let orders = std::mem::take(&mut relay.outbox);
            let batch = OrderBatch {
                epoch,
                sent_at: now,
                orders,
            };
            (*number, RelayMessage::Orders(batch))
        });
        messages.collect()
    }

    /// Handles a message of a relay. Answers to orders that the relay doesn't carry are ignored: they arrived too late, or another relay
    /// was given the order.
    pub fn handle_message(
        &mut self,
        now: Millis,
        relay: RelayNumber,
        message: RelayMessage,
    ) -> RelayOutcome {
        let mut outcome = RelayOutcome::default();
        let (epoch, answers, leaves) = match message {
            RelayMessage::Answers(epoch, answers) => (epoch, answers, false),
            RelayMessage::Leaves(epoch) => (epoch, Vec::new(), true),
            RelayMessage::ShardReply(epoch, number, observation) => {
                if let Some(state) = self.relays.get(&relay).filter(|_| epoch == self.epoch) {
                    self.quorum
                        .record_reply(&state.candidate.host, number, observation);
                    outcome.newer_epoch = Some(observation.epoch).filter(|seen| *seen > epoch);
                }
                (epoch, Vec::new(), false)
            }
            RelayMessage::Orders(..) | RelayMessage::Renewed(_) | RelayMessage::ShardQuery(..) => {
                outcome.faults.push(RelayFault::Misdirected);
                return outcome;
            }
        };
        let Some(state) = self.relays.get_mut(&relay) else {
            outcome.faults.push(RelayFault::UnknownRelay);
            return outcome;
        };
        if epoch != self.epoch {
            outcome.faults.push(RelayFault::OtherEpoch(epoch));
            return outcome;
        }
        state.last_heard = now;
        if leaves && !state.leaves {
            state.leaves = true;
            self.forget_plan();
        }
        for (number, answer) in answers {
            match self.answer(relay, number, answer) {
                Ok(event) => outcome.events.push(event),
                Err(fault) => outcome.faults.push(fault),
            }
        }
        outcome
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

    /// Removes relays that have exceeded the timeout of an order or that are silent.
    pub fn tick(&mut self, now: Millis) -> RelayOutcome {
        let mut outcome = RelayOutcome::default();
        if now < self.checked_at + TIMEOUT_CHECK_INTERVAL_MS {
            return outcome;
        }
        self.checked_at = now;
        let late = self.open.values().filter(|order| now > order.until);
        let mut lost: Vec<RelayNumber> = late.map(|order| order.relay).collect();
        let silent = self.relays.iter();
        let silent = silent.filter(|(_, relay)| now > relay.last_heard + RELAY_SILENCE_TIMEOUT_MS);
        lost.extend(silent.map(|(number, _)| *number));
        lost.sort_unstable();
        lost.dedup();
        for number in &lost {
            self.record_loss(now, *number);
            outcome.events.extend(self.leave(now, *number));
        }
        outcome.lost = lost;
        let before = self.excluded.len();
        self.excluded.retain(|_, until| now < *until);
        if self.excluded.len() < before {
            self.forget_plan();
        }
        outcome
    }

    fn record_loss(&mut self, now: Millis, relay: RelayNumber) {
        let Some(relay) = self.relays.get(&relay) else {
            return;
        };
        let host = relay.candidate.host.clone();
        let before = self.lost_at.insert(host.clone(), now);
        if before.is_some_and(|at| now < at + REPEATED_LOSS_WINDOW_MS) {
            self.excluded.insert(host, now + EXCLUSION_MS);
        }
    }

    /// Takes the heartbeats that are due. Relays answer them.
    pub fn take_heartbeats(&mut self, now: Millis) -> Vec<(RelayNumber, RelayMessage)> {
        let epoch = self.epoch;
        let plan = self.plan.as_ref();
        let due = self.relays.iter_mut();
        let due = due.filter(|(number, relay)| {
            let in_use = plan.is_some_and(|plan| plan.uses(**number));
            let every_ms = if in_use {
                HEARTBEAT_INTERVAL_MS
            } else {
                IDLE_HEARTBEAT_INTERVAL_MS
            };
            now >= relay.last_sent_at + every_ms
        });
        let messages = due.map(|(number, relay)| {
            relay.last_sent_at = now;
            let batch = OrderBatch {
                epoch,
                sent_at: now,
                orders: Vec::new(),
            };
            (*number, RelayMessage::Orders(batch))
        });
        messages.collect()
    }

    /// The current counts.
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

    /// Makes the plan for the present relays and workers.
    fn make_plan(&self, now: Millis) -> RelayPlan {
        let stay = self.relays.values().filter(|relay| !relay.leaves);
        let relays = stay.map(|relay| relay.candidate.clone());
        let fit = relays.filter(|relay| {
            let excluded = self.excluded.get(&relay.host);
            excluded.is_none_or(|until| now >= *until)
        });
        RelayPlan::new(fit.collect(), self.workers.hall_sizes())
    }

    /// Brings the plan up to date with the workers. Routes stay unless other relays are to be used.
    fn refresh_plan(&mut self, now: Millis) {
        if !self.workers.take_changed() || self.plan.is_none() {
            return;
        }
        let plan = self.make_plan(now);
        if self.plan.as_ref() != Some(&plan) {
            self.routes.clear();
            self.plan = Some(plan);
        }
    }

    fn relay_of(&mut self, now: Millis, worker: &WorkerId) -> Option<RelayNumber> {
        if self.relays.is_empty() || calls_alone(self.processor_millicores, self.workers.len()) {
            return None;
        }
        self.refresh_plan(now);
        if let Some(known) = self.routes.get(worker) {
            return *known;
        }
        if self.plan.is_none() {
            self.plan = Some(self.make_plan(now));
        }
        let plan = self.plan.as_ref()?;
        let route = plan.relay_of(worker, self.workers.hall_of(worker));
        self.routes.insert(worker.clone(), route);
        route
    }
}
