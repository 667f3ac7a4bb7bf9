//! Emulates a host: a single-threaded process on a share of a processor core, behind a link.
//!
//! It mirrors the daemon's control thread (`crates/sandshelfd/src/jobs`): the work that the thread does between two waits is one
//! turn here.

mod admission;
mod calls;
mod control;
mod follow;
mod model;
mod notices;
mod takeover;
mod tenure;
mod work;
mod writes;

use std::collections::VecDeque;
use std::sync::Arc;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sandshelf_jobs::admission::LoadView;
use sandshelf_jobs::{JobEvent, OrderAnswer, SchedulerLimits, WorkerCall};
use sandshelf_model::Millis;

pub use calls::{CallBody, CallPeer, WorkerOrder};
use calls::{CallPath, CallTable, OpenCall};
use control::OwnerControl;
pub use control::{OwnerStats, WALL_START_MS};
use follow::ConfigFollower;
pub use model::{HostFault, HostModel, HostStrength, TransferLimit};
pub use work::{
    answer_event, CallAnswer, HostAction, HostPause, RenewalNotice, RequestAnswer, RequestBody,
    WorkItem,
};

use crate::capacity::{LinkModel, ProcessorModel};
use crate::costs;
use crate::meter::SchedulerMeter;
use crate::queue::{Micros, MS};
use crate::sizes;
use crate::store::{StoreCall, StoreReply};

/// Interval at which the control thread acts without an event.
const TICK_INTERVAL: Micros = 25 * MS;
/// Work items per turn: as many as the tasks that the async runtime polls before the control thread runs again.
const ITEMS_PER_TURN: usize = 61;
/// Timeout for a worker's answer, not counting the time that the worker may hold a renewal.
const WORKER_TIMEOUT: Micros = 500 * MS;
/// How long hosts keep a connection to the owner on which they hear nothing.
const HOST_SILENCE: Micros = 6_000 * MS;
/// Number of consecutive failed calls to the store after which callers are refused.
const REFUSE_AFTER_FAILURES: u32 = 3;

/// One host.
#[derive(Debug)]
pub struct EmulatedHost {
    /// Its name, which stays the same when its process restarts.
    pub name: String,
    /// Its resources and behaviour.
    pub model: HostModel,
    /// Incarnation number of its process. It grows by one when a process starts and when it ends.
    pub incarnation: u32,
    /// Whether its process runs.
    pub up: bool,
    /// Its share of a core.
    pub processor: ProcessorModel,
    /// The link direction for sending.
    pub uplink: LinkModel,
    /// The link direction for receiving.
    pub downlink: LinkModel,
    /// Whether a turn is queued.
    pub awake: bool,
    inbox: VecDeque<WorkItem>,
    calls: CallTable,
    config: ConfigFollower,
    control: OwnerControl,
    /// The store version after which new jobs are asked for.
    jobs_after: u64,
    /// The time at which the list of workers was last asked for.
    listed_at: Micros,
    /// Number of consecutive failed calls to the store.
    store_failures: u32,
    /// The load that the owner told last, and when it was heard.
    load: Option<(Millis, Arc<LoadView>)>,
    /// Until when its connections to other hosts are silent.
    hosts_silent_until: Micros,
    /// Measures the scheduler's processor time, if switched on.
    pub meter: SchedulerMeter,
    actions: Vec<(Micros, HostAction)>,
    random: ChaCha8Rng,
}

impl EmulatedHost {
    /// Creates a host whose process does not run yet.
    pub fn new(index: usize, seed: u64, model: HostModel, limits: SchedulerLimits) -> Self {
        let name = format!("host-{index}");
        let mut random = ChaCha8Rng::seed_from_u64(crate::catalog::mix(seed, index as u64 + 1));
        Self {
            control: OwnerControl::new(&name, 0, &model, limits, &mut random),
            processor: ProcessorModel::new(model.processor_millis),
            uplink: LinkModel::new(model.link_kbit_per_s),
            downlink: LinkModel::new(model.link_kbit_per_s),
            name,
            model,
            incarnation: 0,
            up: false,
            awake: false,
            inbox: VecDeque::new(),
            calls: CallTable::default(),
            config: ConfigFollower::default(),
            jobs_after: 0,
            listed_at: 0,
            store_failures: 0,
            load: None,
            hosts_silent_until: 0,
            meter: SchedulerMeter::default(),
            actions: Vec::new(),
            random,
        }
    }

    /// Starts its process.
    pub fn launch(&mut self, now: Micros, limits: SchedulerLimits) {
        self.incarnation += 1;
        self.up = true;
        self.processor.reset(now);
        self.uplink.reset(now);
        self.downlink.reset(now);
        self.inbox = VecDeque::from([WorkItem::Launch]);
        self.calls = CallTable::default();
        self.config = ConfigFollower::default();
        self.store_failures = 0;
        self.load = None;
        self.hosts_silent_until = 0;
        let random = &mut self.random;
        self.control = OwnerControl::new(&self.name, self.incarnation, &self.model, limits, random);
    }

    /// Ends its process without notice to anyone.
    pub fn kill(&mut self) {
        self.incarnation += 1;
        self.up = false;
        self.inbox.clear();
        self.control.clear();
    }

    /// The version of the configuration in force; `None` before the first.
    pub fn config_version(&self) -> Option<u64> {
        self.config.in_force().map(|config| config.version)
    }

    /// Whether it accepts connections from callers.
    pub fn is_ready(&self) -> bool {
        self.up && self.config.in_force().is_some() && self.store_failures < REFUSE_AFTER_FAILURES
    }

    /// The epoch in which it owns the shard; `None` if it does not own it.
    pub fn owner_epoch(&self) -> Option<u64> {
        self.control.epoch()
    }

    /// Statistics of its scheduler; `None` if it does not own the shard.
    pub fn owner_stats(&self, now: Micros) -> Option<OwnerStats> {
        self.control.stats(now)
    }

    /// Whether it believes that it owns the shard.
    pub fn is_owner(&self) -> bool {
        self.control.is_owner()
    }

    /// Records that bytes of a call's answer have arrived; returns whether the call is still open.
    pub fn note_progress(&mut self, now: Micros, call: u64) -> bool {
        let open = self.calls.get_mut(call);
        open.map(|open| open.progress_at = now).is_some()
    }

    /// The receiver of an open call.
    pub fn peer_of(&mut self, call: u64) -> Option<CallPeer> {
        self.calls.get_mut(call).map(|open| open.peer)
    }

    /// Whether messages between this host and others arrive over their open connections.
    pub fn hears_hosts(&self, now: Micros) -> bool {
        now >= self.hosts_silent_until
    }

    /// Makes all open connections stop delivering; returns the numbers of the calls that will get no answer.
    pub fn silence_connections(&mut self, now: Micros) -> Vec<u64> {
        self.hosts_silent_until = now + HOST_SILENCE;
        self.calls.silence_connections()
    }

    /// The time at which a call times out; `None` if it has ended.
    ///
    /// Under [`TransferLimit::Stalled`] each arrival of bytes extends the timeout of a call that reads the configuration.
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

    /// Adds an item to the inbox; returns whether the caller has to queue a turn.
    ///
    /// Ticks go to the front, because the control thread checks its timer in each turn, whatever else waits.
    pub fn push(&mut self, item: WorkItem) -> bool {
        match item {
            WorkItem::Tick => self.inbox.push_front(item),
            _ => self.inbox.push_back(item),
        }
        !std::mem::replace(&mut self.awake, true)
    }

    /// Whether its inbox has items.
    pub fn has_work(&self) -> bool {
        !self.inbox.is_empty()
    }

    /// Processes items of the inbox; returns the resulting actions, each with its time.
    pub fn turn(&mut self, now: Micros) -> Vec<(Micros, HostAction)> {
        let mut events = Vec::new();
        let mut at = now;
        for _ in 0..ITEMS_PER_TURN {
            let Some(item) = self.inbox.pop_front() else {
                break;
            };
            at = self.process_item(now, item, &mut events);
        }
        let epoch = self.control.epoch();
        events.retain(|(sent, _)| Some(*sent) == epoch);
        let events: Vec<JobEvent> = events.into_iter().map(|(_, event)| event).collect();
        if !events.is_empty() {
            self.handle_events(at, events);
        }
        std::mem::take(&mut self.actions)
    }

    /// Uses processor time; returns the time at which the work is done.
    fn spend(&mut self, now: Micros, core_time: Micros) -> Micros {
        self.processor.work(now, costs::on_platform(core_time))
    }

    fn process_item(
        &mut self,
        now: Micros,
        item: WorkItem,
        events: &mut Vec<(u64, JobEvent)>,
    ) -> Micros {
        match item {
            WorkItem::Launch => {
                let at = self.spend(now, costs::LAUNCH_US);
                self.read_config(at);
                self.actions
                    .push((at, HostAction::Tick(at + TICK_INTERVAL)));
                at
            }
            WorkItem::Tick => {
                let at = self.spend(now, costs::TICK_US);
                self.tick(at);
                let next = self.processor.free_at().max(at) + TICK_INTERVAL;
                self.actions.push((at, HostAction::Tick(next)));
                at
            }
            WorkItem::Begin(peer, body) => {
                self.send(now, peer, body, WORKER_TIMEOUT);
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
            WorkItem::Request(body, left_ms) => {
                let at = self.spend(now, costs::REQUEST_US);
                self.handle_request(at, body, left_ms);
                at
            }
            WorkItem::Notice(notice) => {
                let at = self.spend(now, costs::NOTICE_US);
                self.handle_notice(at, &notice);
                at
            }
            WorkItem::Unclaimed(asked, until) => {
                let at = self.spend(now, costs::NOTICE_US);
                self.handle_unclaimed(at, asked, until);
                at
            }
            WorkItem::OwnerEnded(epoch) => {
                let at = self.spend(now, costs::CONNECT_US);
                self.handle_ended_owner(at, epoch);
                at
            }
            WorkItem::Answered(call, answer, bytes) => {
                let timeout = self.timeout_at(call);
                let (Some(timeout), Some(open)) = (timeout, self.calls.close(call)) else {
                    return self.processor.free_at().max(now);
                };
                let cost = match open.peer {
                    CallPeer::Worker(_) => costs::worker_answer_us(bytes),
                    CallPeer::Store => costs::store_answer_us(bytes),
                };
                // The call library checks the timeout before it reads the answer.
                let begins = self.processor.free_at().max(now);
                let in_time = begins <= timeout;
                let at = self.spend(now, cost);
                let answer = Some(answer).filter(|_| in_time);
                self.end_call(at, open, answer, events);
                at
            }
            WorkItem::GivenUp(call) => {
                let Some(open) = self.calls.close(call) else {
                    return self.processor.free_at().max(now);
                };
                let at = self.spend(now, costs::give_up_us());
                self.end_call(at, open, None, events);
                at
            }
        }
    }

    /// Handles the end of a call; `answer` is `None` if it timed out.
    fn end_call(
        &mut self,
        at: Micros,
        open: OpenCall,
        answer: Option<CallAnswer>,
        events: &mut Vec<(u64, JobEvent)>,
    ) {
        if answer.is_none() {
            for parked in self.calls.replace_connections(&open) {
                self.inbox.push_back(WorkItem::GivenUp(parked));
            }
        }
        match open.body {
            CallBody::Order(order) => {
                if let CallPeer::Worker(place) = open.peer {
                    if !matches!(order.call, WorkerCall::Renew(_)) {
                        if let Some(next) = self.calls.release_slot(place) {
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
            CallBody::Store(store_call) => {
                let rejected = matches!(answer, Some(CallAnswer::Store(StoreReply::Rejected)));
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
                self.handle_reply(at, store_call, reply, rejected);
            }
        }
    }

    /// Begins a call and schedules the check of its timeout.
    fn send(&mut self, now: Micros, peer: CallPeer, body: CallBody, timeout: Micros) {
        let now = self.processor.free_at().max(now);
        let wait = match &body {
            CallBody::Order(WorkerOrder {
                call: WorkerCall::Renew(renewal),
                ..
            }) => renewal.wait_ms * MS,
            _ => 0,
        };
        let until = now + timeout + wait;
        let (call, path) = self.calls.begin(now, peer, body.clone(), timeout + wait);
        self.actions
            .push((now, HostAction::CheckTimeout(call, until)));
        match path {
            CallPath::Connects => {
                let at = self.spend(now, costs::CONNECT_US);
                self.actions.push((at, HostAction::Connect(call)));
            }
            CallPath::Silent => self.send_on(now, call, peer, body, true),
            CallPath::Open => self.send_on(now, call, peer, body, false),
        }
    }

    /// Sends a call over its connection; it gets lost if the connection is `silent`.
    fn send_on(&mut self, now: Micros, call: u64, peer: CallPeer, body: CallBody, silent: bool) {
        let bytes = match &body {
            CallBody::Order(order) => sizes::worker_call(order.epoch, &order.call),
            CallBody::Store(store_call) => store_call.bytes(),
        };
        let at = self.spend(now, costs::send_us(bytes));
        if !silent {
            let action = HostAction::Send(call, peer, body, bytes);
            self.actions.push((at, action));
        }
    }

    /// Begins a call to the store.
    fn call_store(&mut self, now: Micros, store_call: StoreCall, timeout_ms: Millis) {
        self.send(
            now,
            CallPeer::Store,
            CallBody::Store(store_call),
            timeout_ms * MS,
        );
    }
}
