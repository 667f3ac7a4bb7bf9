//! How calls and answers pass between hosts, workers and the store.

use rand::RngExt;
use sandshelf_jobs::{JobEvent, OrderAnswer, WorkerCall};
use sandshelf_model::Millis;

use super::fleet::PlaceLife;
use super::{EmulatedWorld, Happening, HostLife};
use crate::capacity::CHUNK_BYTES;
use crate::host::{answer_event, CallAnswer, CallBody, CallPeer, WorkItem, WorkerOrder};
use crate::queue::{Micros, MS};
use crate::sizes;
use crate::store::StoreCall;

/// How long a packet is on its way between halls.
const WAY: Micros = 500;
/// How long a feed waits for news, by what it asks for: 0.9 s for the configuration, 1 s for jobs.
const CONFIG_FEED_MS: Millis = 900;
const JOBS_FEED_MS: Millis = 1_000;
/// When a late order is carried out.
const LATE_MS: std::ops::Range<Millis> = 2_000..12_000;

/// Bytes on their way over a host's link.
#[derive(Debug)]
pub(super) struct LinkTransfer {
    life: HostLife,
    left: u64,
    cargo: LinkCargo,
}

/// What arrives once all bytes have passed.
#[derive(Debug)]
enum LinkCargo {
    /// A call of the host.
    Out(Box<Happening>),
    /// The answer to a call, with all its bytes.
    In(u64, CallAnswer, u64),
    /// What a caller asks for.
    Request(WorkItem),
}

/// An order on its way to a worker.
#[derive(Debug)]
pub(super) struct AtWorker {
    pub(super) from: HostLife,
    pub(super) call: u64,
    pub(super) place: usize,
    pub(super) order: WorkerOrder,
    /// Whether its sender learns what became of it.
    pub(super) answers: bool,
    /// The worker's life that has taken it and carries it out late.
    pub(super) held_by: Option<PlaceLife>,
}

impl EmulatedWorld {
    pub(super) fn send(
        &mut self,
        life: HostLife,
        call: u64,
        peer: CallPeer,
        body: CallBody,
        bytes: u64,
    ) {
        self.watch.report.calls.note(&body, bytes);
        if !self.halls.reaches(self.now, life.host, peer) {
            return;
        }
        let arrives = match (peer, body) {
            (CallPeer::Worker(place), CallBody::Order(order)) => {
                let late = self.is_late(&order.call);
                let at_worker = AtWorker {
                    from: life,
                    call,
                    place,
                    order,
                    answers: !late,
                    held_by: late.then(|| self.fleet.life_at(place)),
                };
                let arrives = Happening::AtWorker(Box::new(at_worker));
                if late {
                    let at = self.now + self.random.random_range(LATE_MS) * MS;
                    self.queue.push(at, arrives);
                    return;
                }
                arrives
            }
            (_, CallBody::Store(ask)) => Happening::AtStore(life, call, ask),
            (CallPeer::Store, CallBody::Order(_)) => return,
        };
        let transfer = LinkTransfer {
            life,
            left: bytes,
            cargo: LinkCargo::Out(Box::new(arrives)),
        };
        let chunk = Happening::Chunk(Box::new(transfer));
        self.queue.push(self.now, chunk);
    }

    /// A host opens a connection for a call: one packet each way.
    pub(super) fn connect(&mut self, life: HostLife, call: u64) {
        self.watch.report.calls.connections += 1;
        let peer = self.hosts[life.host].peer_of(call);
        let opens = peer.is_none_or(|peer| {
            let halls = &self.halls;
            halls.reaches(self.now, life.host, peer) && halls.comes_back(self.now, life.host, peer)
        });
        if !opens {
            return;
        }
        let connected = Happening::Reach(life, WorkItem::Connected(call));
        self.queue.push(self.now + 2 * WAY, connected);
    }

    fn is_late(&mut self, call: &WorkerCall) -> bool {
        let (until, of_thousand) = self.late_orders;
        let order = !matches!(call, WorkerCall::Renew(_));
        order && self.now < until && self.random.random_range(0..1_000) < of_thousand
    }

    /// Moves the next part of a transfer; the rest waits for its turn behind what else there is.
    pub(super) fn move_chunk(&mut self, mut transfer: LinkTransfer) {
        let life = transfer.life;
        if !self.lives(life) {
            return;
        }
        let host = &mut self.hosts[life.host];
        if let LinkCargo::In(call, ..) = &transfer.cargo {
            // What nobody waits for any longer is not sent on.
            if !host.note_progress(self.now, *call) {
                return;
            }
        }
        let link = match transfer.cargo {
            LinkCargo::Out(_) => &mut host.uplink,
            LinkCargo::In(..) | LinkCargo::Request(_) => &mut host.downlink,
        };
        let part = transfer.left.min(CHUNK_BYTES);
        let over = link.carry(self.now, part);
        transfer.left -= part;
        if transfer.left > 0 {
            self.queue.push(over, Happening::Chunk(Box::new(transfer)));
            return;
        }
        match transfer.cargo {
            LinkCargo::Out(arrives) => self.queue.push(over + WAY, *arrives),
            LinkCargo::In(call, answer, bytes) => {
                let item = WorkItem::Answered(call, answer, bytes);
                self.queue.push(over, Happening::Reach(life, item));
            }
            LinkCargo::Request(item) => self.queue.push(over, Happening::Reach(life, item)),
        }
    }

    /// Sends an answer to a host; one to a call that has ended there says nothing.
    fn answer(&mut self, at: Micros, life: HostLife, call: u64, answer: CallAnswer, bytes: u64) {
        let peer = self.hosts[life.host].peer_of(call);
        if peer.is_some_and(|peer| !self.halls.comes_back(self.now, life.host, peer)) {
            return;
        }
        self.watch.report.calls.note_answer(&answer, bytes);
        let transfer = LinkTransfer {
            life,
            left: bytes,
            cargo: LinkCargo::In(call, answer, bytes),
        };
        let chunk = Happening::Chunk(Box::new(transfer));
        self.queue.push(at + WAY, chunk);
    }

    pub(super) fn answer_order(&mut self, life: HostLife, call: u64, event: JobEvent) {
        let bytes = sizes::worker_answer(&event);
        let at = self.now;
        self.answer(at, life, call, CallAnswer::Worker(event), bytes);
    }

    /// A caller's request passes a host's link.
    pub(super) fn send_request(&mut self, life: HostLife, item: WorkItem, bytes: u64) {
        let transfer = LinkTransfer {
            life,
            left: bytes,
            cargo: LinkCargo::Request(item),
        };
        self.queue
            .push(self.now, Happening::Chunk(Box::new(transfer)));
    }

    /// An order reaches the place of a worker.
    pub(super) fn at_worker(&mut self, at_worker: AtWorker) {
        let AtWorker {
            from,
            call,
            place,
            order,
            answers,
            held_by,
        } = at_worker;
        if held_by.is_some_and(|life| life != self.fleet.life_at(place)) {
            return;
        }
        let event = match self.fleet.id_at(place) {
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

    /// A question reaches the store.
    pub(super) fn at_store(&mut self, life: HostLife, call: u64, ask: StoreCall) {
        if self.now < self.store.silent_until {
            return;
        }
        if ask.is_parked() && !self.store.has_changes(&ask) {
            let wait_ms = match ask {
                StoreCall::FollowJobs(_) => JOBS_FEED_MS,
                _ => CONFIG_FEED_MS,
            };
            let over = Happening::FeedOver(life, call);
            self.queue.push(self.now + wait_ms * MS, over);
            self.parked.push((life, call, ask));
            return;
        }
        self.answer_ask(life, call, &ask);
    }

    fn answer_ask(&mut self, life: HostLife, call: u64, ask: &StoreCall) {
        let workers = match ask {
            StoreCall::ListWorkers => self.fleet.listed(self.now),
            _ => Vec::new(),
        };
        let answer = self.store.answer(self.now, ask, &workers);
        let turned_away = matches!(answer.reply, crate::store::StoreReply::Rejected);
        if !turned_away {
            self.note_stored(ask, &answer.reply);
        }
        self.answer(
            answer.at,
            life,
            call,
            CallAnswer::Store(answer.reply),
            answer.bytes,
        );
        if ask.changes_rows() && !turned_away {
            self.tell_feeds();
        }
    }

    /// Answers the feeds that have news.
    pub(super) fn tell_feeds(&mut self) {
        let store = &self.store;
        let parked = std::mem::take(&mut self.parked);
        let (told, waiting) = parked
            .into_iter()
            .partition(|(_, _, ask)| store.has_changes(ask));
        self.parked = waiting;
        let told: Vec<(HostLife, u64, StoreCall)> = told;
        for (life, call, ask) in told {
            self.answer_ask(life, call, &ask);
        }
    }

    /// A feed that has waited long enough is answered without news.
    pub(super) fn end_feed(&mut self, life: HostLife, call: u64) {
        let place = self
            .parked
            .iter()
            .position(|(from, open, _)| *from == life && *open == call);
        if let Some(place) = place {
            let (_, _, ask) = self.parked.swap_remove(place);
            if self.now >= self.store.silent_until {
                self.answer_ask(life, call, &ask);
            }
        }
    }
}
