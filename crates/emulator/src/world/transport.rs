//! Transport of calls and answers between hosts, workers and the store.

use rand::RngExt;
use sandshelf_jobs::{JobEvent, OrderAnswer, WorkerCall};
use sandshelf_model::Millis;

use super::fleet::PlaceIncarnation;
use super::{EmulatedWorld, HostIncarnation, WorldEvent};
use crate::capacity::CHUNK_BYTES;
use crate::host::{answer_event, CallAnswer, CallBody, CallPeer, WorkItem, WorkerOrder};
use crate::queue::{Micros, MS};
use crate::sizes;
use crate::store::StoreCall;

/// The one-way network delay of a packet.
const ONE_WAY_DELAY_US: Micros = 500;
/// How long a feed call waits for a change of the configuration: 0.9 s.
const CONFIG_FEED_TIMEOUT_MS: Millis = 900;
/// How long a feed call waits for a change of jobs: 1 s.
const JOBS_FEED_TIMEOUT_MS: Millis = 1_000;
/// By how much a late order is delayed.
const LATE_ORDER_DELAY_MS: std::ops::Range<Millis> = 2_000..12_000;

/// A transfer over a host's link.
#[derive(Debug)]
pub(super) struct LinkTransfer {
    incarnation: HostIncarnation,
    /// The bytes that have not been sent yet.
    remaining: u64,
    payload: TransferPayload,
}

/// What is delivered once all bytes have been sent.
#[derive(Debug)]
enum TransferPayload {
    /// An outgoing call of the host, with the event that delivers it.
    Out(Box<WorldEvent>),
    /// The answer to a call of the host: the call's number, the answer, and its size in bytes.
    In(u64, CallAnswer, u64),
    /// A caller's request to the host.
    Request(WorkItem),
}

/// How long after it has reached a worker that is down a call is carried out by the next incarnation, in milliseconds.
const OUTLIVING_DELAY_MS: std::ops::Range<Millis> = 100..2_500;

/// An order that is being delivered to a worker.
#[derive(Debug)]
pub(super) struct OrderDelivery {
    pub(super) from: HostIncarnation,
    pub(super) call: u64,
    pub(super) place: usize,
    pub(super) order: WorkerOrder,
    /// Whether the sender gets an answer.
    pub(super) answers: bool,
    /// For a late order, the worker's incarnation that received it and carries it out after the delay.
    pub(super) delayed_by: Option<PlaceIncarnation>,
    /// Whether it was kept for the next incarnation already.
    pub(super) kept: bool,
}

impl EmulatedWorld {
    /// Sends a call of a host to a worker or to the store; it is lost where a cut is in between.
    pub(super) fn send(
        &mut self,
        incarnation: HostIncarnation,
        call: u64,
        peer: CallPeer,
        body: CallBody,
        bytes: u64,
    ) {
        self.monitor.report.calls.note(&body, bytes);
        if !self.halls.reaches(self.now, incarnation.host, peer) {
            return;
        }
        let arrives = match (peer, body) {
            (CallPeer::Worker(place), CallBody::Order(order)) => {
                let late = self.is_late(&order.call);
                let delivery = OrderDelivery {
                    from: incarnation,
                    call,
                    place,
                    order,
                    answers: !late,
                    delayed_by: late.then(|| self.fleet.incarnation_at(place)),
                    kept: false,
                };
                let arrives = WorldEvent::WorkerReceives(Box::new(delivery));
                if late {
                    let at = self.now + self.random.random_range(LATE_ORDER_DELAY_MS) * MS;
                    self.queue.push(at, arrives);
                    return;
                }
                arrives
            }
            (_, CallBody::Store(ask)) => WorldEvent::StoreReceives(incarnation, call, ask),
            (CallPeer::Store, CallBody::Order(_)) => return,
        };
        let transfer = LinkTransfer {
            incarnation,
            remaining: bytes,
            payload: TransferPayload::Out(Box::new(arrives)),
        };
        let chunk = WorldEvent::LinkChunk(Box::new(transfer));
        self.queue.push(self.now, chunk);
    }

    /// Opens a connection of a host for a call: one packet in each direction.
    pub(super) fn connect(&mut self, incarnation: HostIncarnation, call: u64) {
        self.monitor.report.calls.connections += 1;
        let peer = self.hosts[incarnation.host].peer_of(call);
        let opens = peer.is_none_or(|peer| {
            let halls = &self.halls;
            halls.reaches(self.now, incarnation.host, peer)
                && halls.reaches_back(self.now, incarnation.host, peer)
        });
        if !opens {
            return;
        }
        let connected = WorldEvent::HostReceives(incarnation, WorkItem::Connected(call));
        self.queue.push(self.now + 2 * ONE_WAY_DELAY_US, connected);
    }

    /// Delivers a message of the owner to all other hosts whose connections to it work.
    pub(super) fn tell_hosts(&mut self, from: HostIncarnation, message: impl Fn() -> WorkItem) {
        if !self.hosts[from.host].hears_hosts(self.now) {
            return;
        }
        for host in 0..self.hosts.len() {
            let hears = self.hosts[host].up && self.hosts[host].hears_hosts(self.now);
            let arrives = hears && self.halls.reaches_host(self.now, from.host, host);
            if host != from.host && arrives {
                let receives = WorldEvent::HostReceives(self.incarnation_of(host), message());
                self.queue.push(self.now + ONE_WAY_DELAY_US, receives);
            }
        }
    }

    fn is_late(&mut self, call: &WorkerCall) -> bool {
        let (until, of_thousand) = self.late_orders;
        let order = !matches!(call, WorkerCall::Renew(_));
        order && self.now < until && self.random.random_range(0..1_000) < of_thousand
    }

    /// Sends the next chunk of a transfer; the rest queues behind the link's other transfers.
    pub(super) fn send_chunk(&mut self, mut transfer: LinkTransfer) {
        let incarnation = transfer.incarnation;
        if !self.is_current(incarnation) {
            return;
        }
        let host = &mut self.hosts[incarnation.host];
        if let TransferPayload::In(call, ..) = &transfer.payload {
            // The rest of an answer that nobody waits for any longer is not sent.
            if !host.note_progress(self.now, *call) {
                return;
            }
        }
        let link = match transfer.payload {
            TransferPayload::Out(_) => &mut host.uplink,
            TransferPayload::In(..) | TransferPayload::Request(_) => &mut host.downlink,
        };
        let chunk = transfer.remaining.min(CHUNK_BYTES);
        let sent_at = link.carry(self.now, chunk);
        transfer.remaining -= chunk;
        if transfer.remaining > 0 {
            self.queue
                .push(sent_at, WorldEvent::LinkChunk(Box::new(transfer)));
            return;
        }
        match transfer.payload {
            TransferPayload::Out(arrives) => self.queue.push(sent_at + ONE_WAY_DELAY_US, *arrives),
            TransferPayload::In(call, answer, bytes) => {
                let item = WorkItem::Answered(call, answer, bytes);
                self.queue
                    .push(sent_at, WorldEvent::HostReceives(incarnation, item));
            }
            TransferPayload::Request(item) => self
                .queue
                .push(sent_at, WorldEvent::HostReceives(incarnation, item)),
        }
    }

    /// Sends an answer to a host, which ignores it if the call has ended there.
    fn answer(
        &mut self,
        at: Micros,
        incarnation: HostIncarnation,
        call: u64,
        answer: CallAnswer,
        bytes: u64,
    ) {
        let peer = self.hosts[incarnation.host].peer_of(call);
        if peer.is_some_and(|peer| !self.halls.reaches_back(self.now, incarnation.host, peer)) {
            return;
        }
        self.monitor.report.calls.note_answer(&answer, bytes);
        let transfer = LinkTransfer {
            incarnation,
            remaining: bytes,
            payload: TransferPayload::In(call, answer, bytes),
        };
        let chunk = WorldEvent::LinkChunk(Box::new(transfer));
        self.queue.push(at + ONE_WAY_DELAY_US, chunk);
    }

    pub(super) fn answer_order(
        &mut self,
        incarnation: HostIncarnation,
        call: u64,
        event: JobEvent,
    ) {
        let bytes = sizes::worker_answer(&event);
        let at = self.now;
        self.answer(at, incarnation, call, CallAnswer::Worker(event), bytes);
    }

    /// Sends a caller's request over a host's link.
    pub(super) fn send_request(
        &mut self,
        incarnation: HostIncarnation,
        item: WorkItem,
        bytes: u64,
    ) {
        let transfer = LinkTransfer {
            incarnation,
            remaining: bytes,
            payload: TransferPayload::Request(item),
        };
        self.queue
            .push(self.now, WorldEvent::LinkChunk(Box::new(transfer)));
    }

    /// Delivers an order to the worker at a place.
    pub(super) fn deliver_order(&mut self, delivery: OrderDelivery) {
        if self.is_kept(&delivery) {
            return self.keep_for_next(delivery);
        }
        let OrderDelivery {
            from,
            call,
            place,
            order,
            answers,
            delayed_by,
            kept: _,
        } = delivery;
        if delayed_by.is_some_and(|incarnation| incarnation != self.fleet.incarnation_at(place)) {
            return;
        }
        let refused = delayed_by.is_none() && self.halls.refuses_worker(self.now, place);
        let event = match self.fleet.id_at(place) {
            _ if refused => answer_event(&order, OrderAnswer::Unreachable),
            Some(id) if *id == order.worker => {
                self.carry_out(from, call, place, &order, answers);
                return;
            }
            Some(_) => answer_event(&order, OrderAnswer::Replaced),
            None if self.fleet.refuses(place) => answer_event(&order, OrderAnswer::Unreachable),
            None => return,
        };
        if answers {
            self.answer_order(from, call, event);
        }
    }

    /// Draws whether a call that has reached a place without a worker is kept for the worker's next incarnation.
    fn is_kept(&mut self, delivery: &OrderDelivery) -> bool {
        let (until, of_thousand) = self.outliving_calls;
        let place = delivery.place;
        let unheard = self.fleet.id_at(place).is_none() && !self.fleet.refuses(place);
        let keeps = unheard && !delivery.kept && self.now < until;
        keeps && self.random.random_range(0..1_000) < of_thousand
    }

    /// Has a call carried out later, by whichever incarnation is up then and without an answer.
    fn keep_for_next(&mut self, delivery: OrderDelivery) {
        let mut order = delivery.order;
        if let WorkerCall::Renew(renewal) = &mut order.call {
            renewal.wait_ms = 0;
        }
        let kept = OrderDelivery {
            order,
            answers: false,
            kept: true,
            ..delivery
        };
        let at = self.now + self.random.random_range(OUTLIVING_DELAY_MS) * MS;
        self.queue
            .push(at, WorldEvent::WorkerReceives(Box::new(kept)));
    }

    /// Delivers a call to the store, which does not answer while it is silent; a feed call waits for a change.
    pub(super) fn deliver_to_store(
        &mut self,
        incarnation: HostIncarnation,
        call: u64,
        ask: StoreCall,
    ) {
        if self.now < self.store.silent_until {
            return;
        }
        let refuses = self.store.refuses(self.now, incarnation.host);
        if ask.is_parked() && !refuses && !self.store.has_changes(&ask) {
            let wait_ms = match ask {
                StoreCall::FollowJobs(_) => JOBS_FEED_TIMEOUT_MS,
                _ => CONFIG_FEED_TIMEOUT_MS,
            };
            let timeout = WorldEvent::FeedTimeout(incarnation, call);
            self.queue.push(self.now + wait_ms * MS, timeout);
            self.parked.push((incarnation, call, ask));
            return;
        }
        self.answer_ask(incarnation, call, &ask);
    }

    fn answer_ask(&mut self, incarnation: HostIncarnation, call: u64, ask: &StoreCall) {
        let workers = match ask {
            StoreCall::ListWorkers | StoreCall::FollowWorkers(_) => self.fleet.listed(self.now),
            _ => Vec::new(),
        };
        let answer = match self.store.refuses(self.now, incarnation.host) {
            true => self.store.refusal(self.now),
            false => self.store.answer(self.now, ask, &workers),
        };
        let rejected = matches!(answer.reply, crate::store::StoreReply::Rejected);
        if !rejected {
            self.note_stored(ask, &answer.reply);
        }
        self.answer(
            answer.at,
            incarnation,
            call,
            CallAnswer::Store(answer.reply),
            answer.bytes,
        );
        if ask.changes_rows() && !rejected {
            self.answer_feeds();
        }
    }

    /// Answers the feed calls for which there are changes.
    pub(super) fn answer_feeds(&mut self) {
        let store = &self.store;
        let parked = std::mem::take(&mut self.parked);
        let (ready, waiting) = parked
            .into_iter()
            .partition(|(_, _, ask)| store.has_changes(ask));
        self.parked = waiting;
        let ready: Vec<(HostIncarnation, u64, StoreCall)> = ready;
        for (incarnation, call, ask) in ready {
            self.answer_ask(incarnation, call, &ask);
        }
    }

    /// Answers a feed call that has reached its longest wait.
    pub(super) fn time_out_feed(&mut self, incarnation: HostIncarnation, call: u64) {
        let position = self
            .parked
            .iter()
            .position(|(from, open, _)| *from == incarnation && *open == call);
        if let Some(position) = position {
            let (_, _, ask) = self.parked.swap_remove(position);
            if self.now >= self.store.silent_until {
                self.answer_ask(incarnation, call, &ask);
            }
        }
    }
}
