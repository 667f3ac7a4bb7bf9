//! The control thread: claims the shard when nobody owns it, and runs its scheduler while this host owns it.

mod claim;
mod notices;
mod operators;
mod recover;
mod relaying;
mod release;
mod strength;
mod tenure;
mod writes;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sandshelf_adapter::{StoreClient, StoreFault, WorkerClient};
use sandshelf_config::{JobSettings, OrderWay};
use sandshelf_jobs::{CommitBatch, JobAction, JobEvent, JobScheduler, JobSummaries, WorkerCall};
use sandshelf_lease::{LeaseStage, LeaseTimes, OwnerWatch, ShardLease};
use sandshelf_model::{Epoch, HallId, HostId, Millis, WorkerId};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{interval, timeout, MissedTickBehavior};

use crate::clock;
use crate::jobs::agent::{run_agent, AgentEvent, OwnerEndpoint};
use crate::jobs::calls::WorkerCalls;
use crate::jobs::halls::HallView;
use crate::jobs::health::StoreHealth;
use crate::jobs::leftovers::LeftoverRows;
use crate::jobs::load_notes::{log_load, log_queue_loads};
use crate::jobs::meters;
use crate::jobs::news::OwnerNews;
use crate::jobs::owner::recover::RunningTakeover;
use crate::jobs::owner::relaying::{RelayOffers, RelayPool};
use crate::jobs::owner::strength::HostStrength;
use crate::jobs::owner::tenure::ShardTenure;
use crate::jobs::queues::QueueView;
use crate::jobs::relays::{serve_relays, RelayListener};
use crate::jobs::store_clock::StoreClock;
use crate::jobs::takeover::{PublishedState, RecordedState};
use crate::jobs::writer::{OwnerReading, OwnerStore, WriteResult};
use crate::logging::event;

/// The ownership lease: how long ownership lasts after a durable renewal. It allows for several answers of a store that is only loaded.
const SHARD_LEASE_MS: Millis = 1_200;
/// The interval at which the control thread runs without any event.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// How much longer each further rank waits before it claims the shard. Hosts learn of a renewal at the same moment, and their claims
/// would wait for one another at the store.
const CLAIM_STAGGER_MS: Millis = 6;
/// How long to wait for a worker's answer.
const WORKER_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a planned stop waits for the orders that this host relays: the longest wait of a lease renewal, and the transfer of its
/// answer. Requests of callers are served for 2.5 s meanwhile.
const AGENT_STOP_TIMEOUT: Duration = Duration::from_millis(2_200);

/// The most events handled in one batch before ticks and job changes are handled.
const MAX_EVENT_BATCH: usize = 256;
/// How often a host publishes its metrics, and an owner also logs and publishes the load of the shard.
const LOAD_INTERVAL_MS: Millis = 1_000;

/// Everything that the control thread is started with.
pub struct OwnerParts {
    /// This incarnation of the host.
    pub host: HostId,
    /// The settings of this host.
    pub settings: JobSettings,
    /// The listener to which relays connect, at the address in `settings`; none if this host takes no relays.
    pub relays: Option<RelayListener>,
    /// The client of the store.
    pub store: StoreClient,
    /// The current configuration of queues.
    pub queues: QueueView,
    /// The evacuated halls.
    pub halls: HallView,
    /// The health of the store as seen by this host's calls.
    pub health: Arc<StoreHealth>,
    /// Where the owner's news go.
    pub news: watch::Sender<OwnerNews>,
    /// Receives the request for a planned stop.
    pub stop: mpsc::Receiver<()>,
    /// Notified once this host owns nothing any more.
    pub stopped: oneshot::Sender<()>,
}

enum OwnerMessage {
    RowRead(Result<OwnerReading, StoreFault>),
    Written(WriteResult),
    /// What earlier owners published, read for the owner of this epoch.
    PublishedRead(u64, Box<PublishedState>),
    /// The durable state of jobs, read for the owner of this epoch.
    RecordedRead(u64, Box<RecordedState>),
    /// A worker's answer to the owner of this epoch.
    Event(u64, JobEvent),
}

/// The scheduler of the shard while this host owns it, with its calls to workers and relays.
struct OwnedShard {
    scheduler: JobScheduler,
    calls: WorkerCalls,
    relays: RelayPool,
    summaries: JobSummaries,
    tenure: ShardTenure,
    queues_version: u64,
    /// The evacuated halls that the scheduler was last given.
    evacuated: BTreeSet<HallId>,
    feed_tasks: Vec<JoinHandle<()>>,
}

impl Drop for OwnedShard {
    fn drop(&mut self) {
        for feed_task in &self.feed_tasks {
            feed_task.abort();
        }
    }
}

struct OwnerLoop {
    host: HostId,
    settings: JobSettings,
    store: OwnerStore,
    queues: QueueView,
    halls: HallView,
    lease: ShardLease,
    rank: u32,
    claimed_at: Millis,
    /// The epoch since which all earlier owners keep to the lease rules that they publish; 0 where that is not known.
    rules_since: Epoch,
    takeover: Option<RunningTakeover>,
    /// What earlier owners published, with the epoch it was read for, while this host waits for relays.
    published: Option<(Epoch, PublishedState)>,
    /// The durable state of jobs, if it was read before that wait ended.
    recorded: Option<(Epoch, RecordedState)>,
    /// The hosts that have offered to relay orders since this host's claim, until the relay pool is created from them.
    offers: RelayOffers,
    /// The owner that this host relays orders for; none while there is none.
    served_owner: watch::Sender<Option<OwnerEndpoint>>,
    /// Until when this host doesn't claim the shard, in milliseconds on its clock.
    claims_paused_until: Millis,
    owned: Option<OwnedShard>,
    pending_batch: Option<CommitBatch>,
    leftovers: LeftoverRows,
    write_in_flight: bool,
    watch: OwnerWatch,
    /// The time from which no earlier owner gives orders, if that is after this host's claim; otherwise 0.
    earlier_orders_until: Millis,
    /// What the owner last told this host; shared with the tasks that serve callers and follow the operators' rows.
    news: watch::Sender<OwnerNews>,
    next_notice_at: Millis,
    next_load_at: Millis,
    stop_deadline: Option<Millis>,
    released: bool,
    messages: mpsc::UnboundedSender<OwnerMessage>,
    feed: mpsc::UnboundedSender<Vec<JobEvent>>,
}

/// Runs the control thread until a planned stop has released the shard.
pub async fn run_owner(parts: OwnerParts) {
    let OwnerParts {
        host,
        settings,
        relays,
        store,
        queues,
        halls,
        health,
        news,
        mut stop,
        stopped,
    } = parts;
    let (messages, mut inbox) = mpsc::unbounded_channel();
    let (feed, mut feed_inbox) = mpsc::unbounded_channel();
    let times = LeaseTimes {
        stagger_ms: CLAIM_STAGGER_MS,
        ..LeaseTimes::derive(SHARD_LEASE_MS, settings.max_lease_ms, Millis::MAX / 4)
    };
    let rank = HostStrength::of(&settings).draw_rank();
    let (relay_events, mut relay_inbox) = mpsc::unbounded_channel();
    let (served_owner, served_owner_changes) = watch::channel(None);
    let (agent_events, mut agent_inbox) = mpsc::unbounded_channel();
    let (stopping, stop_changes) = watch::channel(false);
    let agent = match WorkerClient::new(0, WORKER_TIMEOUT) {
        Ok(client) => Some(spawn_local(run_agent(
            settings.clone(),
            client,
            served_owner_changes,
            agent_events,
            stop_changes,
        ))),
        Err(error) => {
            event("client_failed", &[("error", &error)]);
            None
        }
    };
    if let Some(relay_listener) = relays {
        spawn_local(serve_relays(relay_listener, relay_events.clone()));
    }
    let mut owner = OwnerLoop {
        lease: ShardLease::new(host.clone(), times),
        host,
        settings,
        store: OwnerStore {
            client: store,
            health,
            clock: Arc::new(StoreClock::default()),
        },
        queues,
        halls,
        rank,
        claimed_at: 0,
        rules_since: 0,
        takeover: None,
        published: None,
        recorded: None,
        offers: RelayOffers::default(),
        served_owner,
        claims_paused_until: 0,
        owned: None,
        pending_batch: None,
        leftovers: LeftoverRows::default(),
        write_in_flight: false,
        watch: OwnerWatch::default(),
        earlier_orders_until: 0,
        news,
        next_notice_at: 0,
        next_load_at: 0,
        stop_deadline: None,
        released: false,
        messages,
        feed,
    };
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while !owner.released {
        tokio::select! {
            Some(message) = inbox.recv() => owner.handle_messages(message, &mut inbox),
            Some(events) = feed_inbox.recv() => owner.handle_feed_events(events),
            Some(relay_event) = relay_inbox.recv() => owner.handle_relay_events(relay_event, &mut relay_inbox),
            Some(agent_event) = agent_inbox.recv() => owner.handle_agent_event(agent_event),
            _ = ticks.tick() => owner.tick(),
            Some(()) = stop.recv() => owner.begin_stop(),
        }
    }
    let _ = stopping.send(true);
    if let Some(agent) = agent {
        let _ = timeout(AGENT_STOP_TIMEOUT, agent).await;
    }
    let _ = stopped.send(());
}

impl OwnerLoop {
    /// Handles a message together with those that have arrived since: under load, many events share one scheduling pass over all
    /// workers.
    fn handle_messages(
        &mut self,
        first: OwnerMessage,
        inbox: &mut mpsc::UnboundedReceiver<OwnerMessage>,
    ) {
        let mut events = Vec::new();
        let mut next = Some(first);
        while let Some(message) = next {
            match message {
                OwnerMessage::Event(epoch, job_event) => {
                    let current = self.owned.as_ref().map(|owned| owned.scheduler.epoch());
                    if current == Some(epoch) {
                        events.push(job_event);
                    }
                }
                other => {
                    self.apply_events(std::mem::take(&mut events));
                    self.handle_store_message(other);
                }
            }
            if events.len() >= MAX_EVENT_BATCH {
                break;
            }
            next = inbox.try_recv().ok();
        }
        self.apply_events(events);
    }

    /// Handles what this host's connection to the owner tells.
    fn handle_agent_event(&mut self, agent_event: AgentEvent) {
        match agent_event {
            AgentEvent::ShardQuery(reply) => self.answer_shard_query(reply),
            AgentEvent::OwnerRenewed(notice) => self.handle_notice(&notice),
            AgentEvent::OwnerEnded(epoch) => self.handle_ended_owner(epoch),
        }
    }

    fn handle_store_message(&mut self, message: OwnerMessage) {
        match message {
            OwnerMessage::RowRead(read) => self.handle_owner_row(read),
            OwnerMessage::Written(result) => self.handle_write_result(result),
            OwnerMessage::PublishedRead(epoch, published) => {
                self.apply_published(epoch, *published)
            }
            OwnerMessage::RecordedRead(epoch, recorded) => self.apply_recorded(epoch, *recorded),
            OwnerMessage::Event(..) => {}
        }
    }

    fn apply_events(&mut self, events: Vec<JobEvent>) {
        if events.is_empty() {
            return;
        }
        let Some(owned) = &mut self.owned else {
            return;
        };
        let actions = owned.scheduler.handle_all(clock::now(), events);
        for action in actions {
            self.perform(action);
        }
        self.send_relay_orders();
    }

    /// Handles changes of jobs and workers that were read from the store.
    fn handle_feed_events(&mut self, events: Vec<JobEvent>) {
        if let Some(owned) = &mut self.owned {
            owned.relays.note_worker_lists(&events);
        }
        self.apply_events(events);
    }

    fn tick(&mut self) {
        let now = clock::now();
        self.check_tenure(now);
        if self.owned.is_some() {
            self.refresh_queues();
            self.refresh_halls();
            self.handle(JobEvent::Tick {
                wall_ms: clock::wall_ms(),
            });
        }
        self.tick_relays(now);
        self.publish_load(now);
        self.write_next(now);
        if *self.lease.stage() == LeaseStage::Watching {
            self.watch(now);
        }
        self.check_takeover(now);
        self.check_stop(now);
    }

    /// Publishes this host's metrics when they are due. If it owns the shard, also publishes and logs the shard's load.
    fn publish_load(&mut self, now: Millis) {
        if now < self.next_load_at {
            return;
        }
        self.next_load_at = now + LOAD_INTERVAL_MS;
        let renewed = self.lease.last_renewal();
        let write_age = renewed.map(|at| Duration::from_millis(now.saturating_sub(at)));
        let config = self.queues.get().map(|table| table.version);
        meters::set_host_gauges(self.owned.is_some(), write_age, config);
        if let Some(owned) = &self.owned {
            let counts = owned.scheduler.counts(now);
            let relays = owned.relays.stats();
            log_load(owned.scheduler.epoch(), &counts, &relays);
            meters::set_load_gauges(&counts);
            meters::set_relay_gauges(&relays);
            if let Some(view) = owned.scheduler.load_view(now) {
                log_queue_loads(&view);
                meters::set_queue_gauges(&view);
            }
        }
    }

    fn handle(&mut self, job_event: JobEvent) {
        self.apply_events(vec![job_event]);
    }

    fn perform(&mut self, action: JobAction) {
        match action {
            JobAction::Note(note) => self.log_note(&note),
            JobAction::Deposed => {
                self.lose("a worker has seen a newer epoch, or this host was paused")
            }
            JobAction::Commit(batch) => {
                self.pending_batch = Some(batch);
                self.write_next(clock::now());
            }
            JobAction::Call {
                worker,
                address,
                call,
            } => self.send_call(worker, address, call),
        }
    }

    fn send_call(&mut self, worker: WorkerId, address: SocketAddr, call: WorkerCall) {
        if self.settings.worker_orders != OrderWay::Call {
            return;
        }
        let Some(owned) = &mut self.owned else {
            return;
        };
        let epoch = owned.scheduler.epoch();
        let Some(call) = owned.relays.route(clock::now(), &worker, address, call) else {
            return;
        };
        let messages = self.messages.clone();
        let answer = owned.calls.send(worker, address, call);
        spawn_local(async move {
            let _ = messages.send(OwnerMessage::Event(epoch, answer.await));
        });
    }
}
