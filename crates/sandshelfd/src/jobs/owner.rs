//! The control thread: claims the shard where nobody owns it, and runs its scheduler while this host does.

mod carry;
mod claim;
mod operators;
mod recover;
mod release;
mod strength;
mod tenure;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sandshelf_adapter::{StoreClient, StoreFault, WorkerClient};
use sandshelf_config::{JobSettings, OrderWay};
use sandshelf_jobs::{CommitBatch, JobAction, JobEvent, JobScheduler, JobSummaries, WorkerCall};
use sandshelf_lease::{LeaseStage, LeaseTimes, ShardLease, StoredRow};
use sandshelf_model::{Epoch, HallId, HostId, Millis, WorkerId};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{interval, timeout, MissedTickBehavior};

use crate::clock;
use crate::jobs::calls::WorkerCalls;
use crate::jobs::halls::HallView;
use crate::jobs::health::StoreHealth;
use crate::jobs::meters;
use crate::jobs::notes::log_load;
use crate::jobs::owner::carry::{RelayOffers, RelayPool};
use crate::jobs::owner::recover::RunningTakeover;
use crate::jobs::owner::strength::HostStrength;
use crate::jobs::owner::tenure::ShardTenure;
use crate::jobs::queues::QueueView;
use crate::jobs::relays::{serve_relays, RelayFace};
use crate::jobs::station::{run_station, OwnerPlace};
use crate::jobs::takeover::{PublishedState, RecordedState};
use crate::jobs::writer::{OwnerStore, OwnerWrite, WriteEnd};
use crate::logging::event;

/// How long ownership lasts without a durable renewal: several answer times of a store that is merely loaded.
const SHARD_LEASE_MS: Millis = 1_200;
/// How often the control thread acts without any event.
const TICK: Duration = Duration::from_millis(25);
/// From one rank to the next.
const STAGGER_MS: Millis = 60;
/// How long a worker's answer is waited for.
const WORKER_PATIENCE: Duration = Duration::from_millis(500);

/// How long a planned stop waits for orders that this host carries: the longest wait of a hold, and its answer's way. Requests of
/// callers are served for 2.5 s meanwhile.
const STATION_ENDS_WITHIN: Duration = Duration::from_millis(2_200);

/// How many events of workers are taken in at once, before ticks and changes of the jobs get their turn.
const EVENTS_AT_ONCE: usize = 256;
/// How often an owner logs its figures.
const LOAD_EVERY_MS: Millis = 1_000;

/// What the control thread is made of.
pub struct OwnerParts {
    /// This incarnation.
    pub host: HostId,
    /// The settings.
    pub settings: JobSettings,
    /// Where hosts that carry orders connect; the settings name its address.
    pub relays: Option<RelayFace>,
    /// The store.
    pub store: StoreClient,
    /// The configuration of queues.
    pub queues: QueueView,
    /// Which halls are evacuated.
    pub halls: HallView,
    /// What the latest calls say of the store.
    pub health: Arc<StoreHealth>,
    /// Asks for a planned stop.
    pub stop: mpsc::Receiver<()>,
    /// Told when nothing is owned any more.
    pub stopped: oneshot::Sender<()>,
}

enum OwnerMessage {
    RowRead(Result<StoredRow, StoreFault>),
    Written(WriteEnd),
    /// What the owner before that of an epoch published.
    PublishedRead(u64, Box<PublishedState>),
    /// What is durable of jobs, read for the owner of an epoch.
    RecordedRead(u64, Box<RecordedState>),
    /// What a worker answered to the owner of an epoch.
    Event(u64, JobEvent),
}

/// The scheduler of a shard that this host owns, and the calls that go with it.
struct OwnedShard {
    scheduler: JobScheduler,
    calls: WorkerCalls,
    relays: RelayPool,
    stories: JobSummaries,
    tenure: ShardTenure,
    queues_version: u64,
    /// The evacuated halls that the scheduler was told last.
    evacuated: BTreeSet<HallId>,
    followers: Vec<JoinHandle<()>>,
}

impl Drop for OwnedShard {
    fn drop(&mut self) {
        for follower in &self.followers {
            follower.abort();
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
    /// Since which epoch the owners before this one keep to what they publish of leases; 0 where that is not known.
    rules_since: Epoch,
    takeover: Option<RunningTakeover>,
    /// What was published, while relays are waited for.
    published: Option<(Epoch, PublishedState)>,
    /// The jobs, where they were read before that wait was over.
    recorded: Option<(Epoch, RecordedState)>,
    /// Hosts that have come before there is anything to carry.
    offers: RelayOffers,
    /// Whom this host carries orders for.
    serves: watch::Sender<Option<OwnerPlace>>,
    /// Until when other hosts go before this one, in milliseconds on its clock.
    gives_way_until: Millis,
    owned: Option<OwnedShard>,
    waiting_batch: Option<CommitBatch>,
    writing: bool,
    /// Since when the owner's row is being read.
    reading: Option<Millis>,
    next_read: Millis,
    next_load: Millis,
    stop_by: Option<Millis>,
    released: bool,
    messages: mpsc::UnboundedSender<OwnerMessage>,
    intake: mpsc::UnboundedSender<Vec<JobEvent>>,
}

/// Runs the control thread until a planned stop has given everything up.
pub async fn run_owner(parts: OwnerParts) {
    let OwnerParts {
        host,
        settings,
        relays,
        store,
        queues,
        halls,
        health,
        mut stop,
        stopped,
    } = parts;
    let (messages, mut inbox) = mpsc::unbounded_channel();
    let (intake, mut intake_in) = mpsc::unbounded_channel();
    let times = LeaseTimes {
        stagger_ms: STAGGER_MS,
        ..LeaseTimes::derive(SHARD_LEASE_MS, settings.max_lease_ms, Millis::MAX / 4)
    };
    let rank = HostStrength::of(&settings).draw_rank();
    let (relay_news, mut relay_inbox) = mpsc::unbounded_channel();
    let (serves, served) = watch::channel(None);
    let (questions, mut asked) = mpsc::unbounded_channel();
    let (stopping, stops) = watch::channel(false);
    let station = match WorkerClient::new(0, WORKER_PATIENCE) {
        Ok(client) => Some(spawn_local(run_station(
            settings.clone(),
            client,
            served,
            questions,
            stops,
        ))),
        Err(error) => {
            event("client_failed", &[("error", &error)]);
            None
        }
    };
    if let Some(face) = relays {
        spawn_local(serve_relays(face, relay_news.clone()));
    }
    let mut owner = OwnerLoop {
        lease: ShardLease::new(host.clone(), times),
        host,
        settings,
        store: OwnerStore {
            client: store,
            health,
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
        serves,
        gives_way_until: 0,
        owned: None,
        waiting_batch: None,
        writing: false,
        reading: None,
        next_read: 0,
        next_load: 0,
        stop_by: None,
        released: false,
        messages,
        intake,
    };
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while !owner.released {
        tokio::select! {
            Some(message) = inbox.recv() => owner.take_messages(message, &mut inbox),
            Some(events) = intake_in.recv() => owner.take_intake(events),
            Some(news) = relay_inbox.recv() => owner.take_relay_news(news, &mut relay_inbox),
            Some(reply) = asked.recv() => owner.tell_sight(reply),
            _ = ticks.tick() => owner.tick(),
            Some(()) = stop.recv() => owner.begin_stop(),
        }
    }
    let _ = stopping.send(true);
    if let Some(station) = station {
        let _ = timeout(STATION_ENDS_WITHIN, station).await;
    }
    let _ = stopped.send(());
}

impl OwnerLoop {
    /// Takes a message in, and with it those that have come meanwhile: under load many events share one look at all
    /// workers.
    fn take_messages(
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
                    self.take_events(std::mem::take(&mut events));
                    self.take_store_message(other);
                }
            }
            if events.len() >= EVENTS_AT_ONCE {
                break;
            }
            next = inbox.try_recv().ok();
        }
        self.take_events(events);
    }

    fn take_store_message(&mut self, message: OwnerMessage) {
        match message {
            OwnerMessage::RowRead(read) => self.take_row(read),
            OwnerMessage::Written(end) => self.take_write(end),
            OwnerMessage::PublishedRead(epoch, published) => self.take_published(epoch, *published),
            OwnerMessage::RecordedRead(epoch, recorded) => self.take_recorded(epoch, *recorded),
            OwnerMessage::Event(..) => {}
        }
    }

    fn take_events(&mut self, events: Vec<JobEvent>) {
        if events.is_empty() {
            return;
        }
        let Some(owned) = &mut self.owned else {
            return;
        };
        let actions = owned.scheduler.handle_all(clock::now(), events);
        for action in actions {
            self.act(action);
        }
        self.tell_relays();
    }

    /// Takes in what is followed in the store.
    fn take_intake(&mut self, events: Vec<JobEvent>) {
        if let Some(owned) = &mut self.owned {
            owned.relays.note_lists(&events);
        }
        self.take_events(events);
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
        self.show_load(now);
        self.write_next(now);
        if *self.lease.stage() == LeaseStage::Watching {
            self.watch(now);
        }
        self.check_takeover(now);
        self.check_stop(now);
    }

    /// Shows this host's figures from time to time, and the shard's where it owns that.
    fn show_load(&mut self, now: Millis) {
        if now < self.next_load {
            return;
        }
        self.next_load = now + LOAD_EVERY_MS;
        let renewed = self.lease.last_renewal();
        let write_age = renewed.map(|at| Duration::from_millis(now.saturating_sub(at)));
        let config = self.queues.get().map(|table| table.version);
        meters::show_host(self.owned.is_some(), write_age, config);
        if let Some(owned) = &self.owned {
            let counts = owned.scheduler.counts(now);
            let relays = owned.relays.figures();
            log_load(owned.scheduler.epoch(), &counts, &relays);
            meters::show_load(&counts);
            meters::show_relays(&relays);
        }
    }

    fn write(&mut self, write: OwnerWrite) {
        self.writing = true;
        let store = self.store.clone();
        let messages = self.messages.clone();
        spawn_local(async move {
            let end = store.write(write).await;
            let _ = messages.send(OwnerMessage::Written(end));
        });
    }

    /// Writes the batch that waits, or renews the ownership where that is due.
    fn write_next(&mut self, now: Millis) {
        let holding = matches!(
            self.lease.stage(),
            LeaseStage::Holding | LeaseStage::Recovering
        );
        if self.writing || !holding {
            return;
        }
        let batch = match self.waiting_batch.take() {
            Some(batch) => batch,
            None if self.lease.wants_renewal(now) => CommitBatch::default(),
            None => return,
        };
        let (version, row) = self.lease.next_row(self.token());
        self.write(OwnerWrite {
            version,
            row,
            batch,
        });
    }

    fn take_write(&mut self, end: WriteEnd) {
        let now = clock::now();
        self.writing = false;
        match end {
            WriteEnd::Lost => self.lose("another host's write came first"),
            WriteEnd::Committed {
                sent,
                stored,
                batch,
            } => {
                let claimed = *self.lease.stage() == LeaseStage::Claiming;
                let released = stored.row.owner.is_none();
                if released {
                    event("shard_released", &[("epoch", &stored.row.epoch)]);
                }
                let version = stored.version;
                self.lease.note_committed(now, sent, version, stored.row);
                if released {
                    self.released = self.stop_by.is_some();
                } else if claimed {
                    self.read_takeover();
                } else if self.owned.is_some() && batch > 0 {
                    self.handle(JobEvent::Committed(batch));
                }
            }
        }
        // Between two writes, which follow one another without a pause where much changes.
        self.check_takeover(now);
        self.check_stop(now);
        self.write_next(now);
    }

    fn handle(&mut self, job_event: JobEvent) {
        self.take_events(vec![job_event]);
    }

    fn act(&mut self, action: JobAction) {
        match action {
            JobAction::Note(note) => self.log_note(&note),
            JobAction::Deposed => {
                self.lose("a worker has seen a newer epoch, or this host was paused")
            }
            JobAction::Commit(batch) => {
                self.waiting_batch = Some(batch);
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
        let Some(call) = owned.relays.carry(clock::now(), &worker, address, call) else {
            return;
        };
        let messages = self.messages.clone();
        let answer = owned.calls.send(worker, address, call);
        spawn_local(async move {
            let _ = messages.send(OwnerMessage::Event(epoch, answer.await));
        });
    }
}
