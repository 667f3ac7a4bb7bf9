//! A host of the system: a process that does one thing after the other on a share of a core, behind a link.
//!
//! It mirrors the daemon's control thread (`crates/sandshelfd/src/jobs`): what that does between two waits is one turn here.

mod calls;
mod control;
mod follow;
mod model;
mod takeover;
mod work;
mod writes;

use std::collections::VecDeque;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sandshelf_jobs::{JobEvent, OrderAnswer, WorkerCall};
use sandshelf_model::Millis;

pub use calls::{CallBody, CallPeer, WorkerOrder};
use calls::{CallTable, CallWay, OpenCall};
use control::OwnerControl;
pub use control::{OwnerStats, WALL_START_MS};
use follow::ConfigFollower;
pub use model::{HostFault, HostModel, HostStrength, TransferLimit};
pub use work::{answer_event, CallAnswer, HostAction, HostPause, RequestBody, WorkItem};

use crate::capacity::{LinkModel, ProcessorModel};
use crate::costs;
use crate::meter::SchedulerMeter;
use crate::queue::{Micros, MS};
use crate::sizes;
use crate::store::{StoreCall, StoreReply};

/// How often the control thread acts without any event.
const TICK: Micros = 25 * MS;
/// How many tasks the runtime polls before the control thread gets its turn.
const ITEMS_AT_ONCE: usize = 61;
/// How long a worker's answer is waited for.
const WORKER_PATIENCE: Micros = 500 * MS;
/// After so many calls to the store that failed on end callers are refused.
const OUT_AFTER_FAILURES: u32 = 3;

/// One host.
#[derive(Debug)]
pub struct EmulatedHost {
    /// Its name, the same over all lives.
    pub name: String,
    /// What it is made of.
    pub model: HostModel,
    /// Counts its processes.
    pub life: u32,
    /// Whether its process runs.
    pub up: bool,
    /// Its share of a core.
    pub processor: ProcessorModel,
    /// What it sends over.
    pub uplink: LinkModel,
    /// What it receives over.
    pub downlink: LinkModel,
    /// Whether a turn is queued.
    pub awake: bool,
    inbox: VecDeque<WorkItem>,
    calls: CallTable,
    config: ConfigFollower,
    control: OwnerControl,
    /// From which version on new jobs are asked for.
    jobs_after: u64,
    /// When the list of workers was last asked for.
    listed_at: Micros,
    store_failures: u32,
    /// Measures the scheduler, where that is wanted.
    pub meter: SchedulerMeter,
    actions: Vec<(Micros, HostAction)>,
    random: ChaCha8Rng,
}

impl EmulatedHost {
    /// A host whose process doesn't run yet.
    pub fn new(index: usize, seed: u64, model: HostModel, max_lease_ms: Millis) -> Self {
        let name = format!("host-{index}");
        let mut random = ChaCha8Rng::seed_from_u64(crate::catalog::mix(seed, index as u64 + 1));
        Self {
            control: OwnerControl::new(&name, 0, &model, max_lease_ms, &mut random),
            processor: ProcessorModel::new(model.processor_millis),
            uplink: LinkModel::new(model.link_kbit_per_s),
            downlink: LinkModel::new(model.link_kbit_per_s),
            name,
            model,
            life: 0,
            up: false,
            awake: false,
            inbox: VecDeque::new(),
            calls: CallTable::default(),
            config: ConfigFollower::default(),
            jobs_after: 0,
            listed_at: 0,
            store_failures: 0,
            meter: SchedulerMeter::default(),
            actions: Vec::new(),
            random,
        }
    }

    /// Its process starts.
    pub fn launch(&mut self, now: Micros, max_lease_ms: Millis) {
        self.life += 1;
        self.up = true;
        self.processor.reset(now);
        self.uplink.reset(now);
        self.downlink.reset(now);
        self.inbox = VecDeque::from([WorkItem::Launch]);
        self.calls = CallTable::default();
        self.config = ConfigFollower::default();
        self.store_failures = 0;
        let random = &mut self.random;
        self.control = OwnerControl::new(&self.name, self.life, &self.model, max_lease_ms, random);
    }

    /// Its process is over, without a word.
    pub fn kill(&mut self) {
        self.life += 1;
        self.up = false;
        self.inbox.clear();
        self.control.lose_all();
    }

    /// The version of the configuration in force.
    pub fn config_version(&self) -> Option<u64> {
        self.config.in_force().map(|config| config.version)
    }

    /// Whether it takes connections of callers.
    pub fn is_ready(&self) -> bool {
        self.up && self.config.in_force().is_some() && self.store_failures < OUT_AFTER_FAILURES
    }

    /// The figures of its scheduler, while it owns the shard.
    pub fn owner_stats(&self, now: Micros) -> Option<OwnerStats> {
        self.control.figures(now)
    }

    /// Whether it owns the shard, as it believes.
    pub fn is_owner(&self) -> bool {
        self.control.is_owner()
    }

    /// Whether a call of this life is open; the answer's bytes have come so far.
    pub fn note_progress(&mut self, now: Micros, call: u64) -> bool {
        let open = self.calls.get_mut(call);
        open.map(|open| open.progress_at = now).is_some()
    }

    /// Whom an open call goes to.
    pub fn peer_of(&mut self, call: u64) -> Option<CallPeer> {
        self.calls.get_mut(call).map(|open| open.peer)
    }

    /// All open connections fall silent; returns the calls that will get no answer.
    pub fn silence_connections(&mut self) -> Vec<u64> {
        self.calls.silence_connections()
    }

    /// When the patience with a call is over; none where it has ended.
    pub fn timeout_at(&mut self, call: u64) -> Option<Micros> {
        let limit = self.model.config_limit;
        let open = self.calls.get_mut(call)?;
        if let (true, TransferLimit::Stalled(most)) = (follow::is_config(&open.body), limit) {
            let parked = if open.body.is_parked() {
                follow::CONFIG_WAIT_MS
            } else {
                0
            };
            let began = open.deadline - (most + parked) * MS;
            if open.progress_at > began {
                return Some(open.progress_at + most * MS);
            }
        }
        Some(open.deadline)
    }

    /// Puts something on the list of things to do; returns whether a turn has to be queued.
    ///
    /// The control thread looks at its timer in each turn, whatever else waits.
    pub fn push(&mut self, item: WorkItem) -> bool {
        match item {
            WorkItem::Tick => self.inbox.push_front(item),
            _ => self.inbox.push_back(item),
        }
        !std::mem::replace(&mut self.awake, true)
    }

    /// Whether there is more to do.
    pub fn has_work(&self) -> bool {
        !self.inbox.is_empty()
    }

    /// Does what has come in; returns what it does towards others, each with its time.
    pub fn turn(&mut self, now: Micros) -> Vec<(Micros, HostAction)> {
        let mut events = Vec::new();
        let mut at = now;
        for _ in 0..ITEMS_AT_ONCE {
            let Some(item) = self.inbox.pop_front() else {
                break;
            };
            at = self.do_item(now, item, &mut events);
        }
        let epoch = self.control.epoch();
        events.retain(|(sent, _)| Some(*sent) == epoch);
        let events: Vec<JobEvent> = events.into_iter().map(|(_, event)| event).collect();
        if !events.is_empty() {
            self.take_events(at, events);
        }
        std::mem::take(&mut self.actions)
    }

    fn spend(&mut self, now: Micros, core_time: Micros) -> Micros {
        self.processor.work(now, costs::on_platform(core_time))
    }

    fn do_item(
        &mut self,
        now: Micros,
        item: WorkItem,
        events: &mut Vec<(u64, JobEvent)>,
    ) -> Micros {
        match item {
            WorkItem::Launch => {
                let at = self.spend(now, costs::LAUNCH_US);
                self.read_config(at);
                self.actions.push((at, HostAction::Tick(at + TICK)));
                at
            }
            WorkItem::Tick => {
                let at = self.spend(now, costs::TICK_US);
                self.tick(at);
                let next = self.processor.free_at().max(at) + TICK;
                self.actions.push((at, HostAction::Tick(next)));
                at
            }
            WorkItem::Begin(peer, body) => {
                self.send(now, peer, body, WORKER_PATIENCE);
                self.processor.free_at()
            }
            WorkItem::Connected(call) => {
                if let Some(open) = self.calls.get_mut(call) {
                    let (peer, body) = (open.peer, open.body.clone());
                    self.send_on(now, call, peer, body, false);
                }
                self.processor.free_at().max(now)
            }
            WorkItem::Resume(pause) => {
                let at = self.spend(now, 1);
                self.resume(at, pause);
                at
            }
            WorkItem::Request(body) => {
                let at = self.spend(now, costs::REQUEST_US);
                self.take_request(at, body);
                at
            }
            WorkItem::Answered(call, answer, bytes) => {
                let patience = self.timeout_at(call);
                let (Some(patience), Some(open)) = (patience, self.calls.end(call)) else {
                    return self.processor.free_at().max(now);
                };
                let cost = match open.peer {
                    CallPeer::Worker(_) => costs::worker_answer_us(bytes),
                    CallPeer::Store => costs::store_answer_us(bytes),
                };
                // The library looks at the time before it looks at the answer.
                let begins = self.processor.free_at().max(now);
                let in_time = begins <= patience;
                let at = self.spend(now, cost);
                let answer = Some(answer).filter(|_| in_time);
                self.end_call(at, open, answer, events);
                at
            }
            WorkItem::GivenUp(call) => {
                let Some(open) = self.calls.end(call) else {
                    return self.processor.free_at().max(now);
                };
                let at = self.spend(now, costs::give_up_us());
                self.end_call(at, open, None, events);
                at
            }
        }
    }

    /// A call has come to its end, with an answer or without.
    fn end_call(
        &mut self,
        at: Micros,
        open: OpenCall,
        answer: Option<CallAnswer>,
        events: &mut Vec<(u64, JobEvent)>,
    ) {
        if answer.is_none() {
            for parked in self.calls.renew(&open) {
                self.inbox.push_back(WorkItem::GivenUp(parked));
            }
        }
        match open.body {
            CallBody::Order(order) => {
                if let CallPeer::Worker(place) = open.peer {
                    if !matches!(order.call, WorkerCall::Renew(_)) {
                        if let Some(next) = self.calls.give_turn(place) {
                            self.inbox.push_back(WorkItem::Begin(open.peer, next));
                        }
                    }
                }
                let event = match answer {
                    Some(CallAnswer::Worker(event)) => event,
                    _ => answer_event(&order, OrderAnswer::Unknown),
                };
                events.push((order.epoch, event));
            }
            CallBody::Store(ask) => {
                let reply = match answer {
                    Some(CallAnswer::Store(StoreReply::Rejected)) | None => None,
                    Some(CallAnswer::Store(reply)) => Some(reply),
                    Some(CallAnswer::Worker(_)) => None,
                };
                self.store_failures = if reply.is_some() {
                    0
                } else {
                    self.store_failures + 1
                };
                self.take_reply(at, ask, reply);
            }
        }
    }

    /// Begins a call, and has it looked at when the patience with it is over.
    fn send(&mut self, now: Micros, peer: CallPeer, body: CallBody, patience: Micros) {
        let now = self.processor.free_at().max(now);
        let wait = match &body {
            CallBody::Order(WorkerOrder {
                call: WorkerCall::Renew(hold),
                ..
            }) => hold.wait_ms * MS,
            _ => 0,
        };
        let until = now + patience + wait;
        let (call, way) = self.calls.begin(now, peer, body.clone(), patience + wait);
        self.actions
            .push((now, HostAction::CheckTimeout(call, until)));
        match way {
            CallWay::Connects => {
                let at = self.spend(now, costs::CONNECT_US);
                self.actions.push((at, HostAction::Connect(call)));
            }
            CallWay::Silent => self.send_on(now, call, peer, body, true),
            CallWay::Open => self.send_on(now, call, peer, body, false),
        }
    }

    /// Sends a call over its connection.
    fn send_on(&mut self, now: Micros, call: u64, peer: CallPeer, body: CallBody, silent: bool) {
        let bytes = match &body {
            CallBody::Order(order) => sizes::worker_call(order.epoch, &order.call),
            CallBody::Store(ask) => ask.bytes(),
        };
        let at = self.spend(now, costs::send_us(bytes));
        if !silent {
            let action = HostAction::Send(call, peer, body, bytes);
            self.actions.push((at, action));
        }
    }

    /// Asks the store.
    fn ask(&mut self, now: Micros, ask: StoreCall, patience_ms: Millis) {
        self.send(now, CallPeer::Store, CallBody::Store(ask), patience_ms * MS);
    }
}
