//! The control thread: membership, configuration, shards, and what the traffic threads are told.
//!
//! All control state lives here and is touched by this thread alone. Calls to the platform, to workers and to
//! other entry hosts run as local tasks whose results come back as [`ControlEvent`]s.

mod explain;
mod fleet;
mod intake;
mod owners;
mod publish;
mod quota;
mod view;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use sandshelf_config::DaemonSettings;
use sandshelf_lease::{
    ConfigView, HeadRow, MemberTable, ShardEvent, ShardOwner, ShardRoom, SliceTracker,
};
use sandshelf_model::{HostId, Millis, ServiceId, ShardId, WorkerId};
use sandshelf_peer::{serve_peers, HostNews, PeerHandler};
use sandshelf_place::{LatencyWindow, SlowdownMeter};
use sandshelf_platform::{EntryRow, HostList, PlatformClient, ShardMap};
use sandshelf_route::{MembershipView, RouteEvent};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{self, unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;
use tokio::task::{spawn_local, LocalSet};

use crate::clock;
use crate::logging::event;
use crate::operator::{ExplainQuestion, OperatorShared};
use crate::peers::PeerLinks;
use crate::traffic::{LatencySeen, TrafficShared};

/// How often the head of the configuration is read.
const HEAD_EVERY_MS: Millis = 500;
/// How often the platform's host list is read.
const LIST_EVERY_MS: Millis = 1_000;
/// How often the rows that entry hosts share are read.
const ROWS_EVERY_MS: Millis = 2_000;
/// How often the cuts of the teams' quotas are read.
const QUOTAS_EVERY_MS: Millis = 300;
/// How often news is exchanged with other entry hosts.
const PEERS_EVERY_MS: Millis = 500;
/// The most other entry hosts that are told at a time.
const PEERS_AT_A_TIME: usize = 8;
/// How often status and room are published.
const PUBLISH_EVERY_MS: Millis = 500;
/// How often latencies are judged; also the length of their window.
const JUDGE_EVERY_MS: Millis = 1_000;

/// How long the hosts have to stay the same before a shard is released for balance.
const SPREAD_AFTER_MS: Millis = 5_000;

/// What the control thread is made of.
pub struct ControlParts {
    /// Checked settings.
    pub settings: DaemonSettings,
    /// This incarnation and where it listens.
    pub entry: EntryRow,
    /// The platform.
    pub platform: PlatformClient,
    /// The traffic threads.
    pub traffic: Arc<TrafficShared>,
    /// The operator face.
    pub operator: Arc<OperatorShared>,
    /// Where the other entry hosts connect.
    pub peers: TcpListener,
    /// Latencies from the traffic threads.
    pub latencies: mpsc::Receiver<LatencySeen>,
    /// Questions from the operator face.
    pub questions: mpsc::Receiver<ExplainQuestion>,
    /// Tells the control thread to stop as planned.
    pub stop: mpsc::Receiver<()>,
    /// Told when a planned stop has begun, whoever asked for it.
    pub stopping: mpsc::Sender<()>,
    /// Told when it has stopped.
    pub stopped: oneshot::Sender<()>,
}

/// Rows that entry hosts share.
#[derive(Debug, Default)]
pub(crate) struct SharedRows {
    pub(crate) entries: Vec<EntryRow>,
    pub(crate) drains: BTreeSet<String>,
    pub(crate) shards: Option<ShardMap>,
    pub(crate) view: (u64, MembershipView),
}

/// What comes back to the control thread.
pub(crate) enum ControlEvent {
    Shard(ShardId, ShardEvent),
    ShardRows(Vec<(ShardId, ShardEvent)>),
    Head(HeadRow),
    Set(HeadRow, Vec<u8>),
    SetMissed,
    List(HostList),
    Rows(SharedRows),
    Peer(HostNews),
    ViewWritten,
    Quotas(quota::QuotaRows),
    SliceWritten(quota::WrittenSlice),
}

/// When each thing is next due.
#[derive(Default)]
struct DueTimes {
    head: Millis,
    list: Millis,
    rows: Millis,
    peers: Millis,
    publish: Millis,
    judge: Millis,
    view: Millis,
    quotas: Millis,
}

impl DueTimes {
    /// Whether `due` has come; moves it on by `every`.
    fn take(due: &mut Millis, now: Millis, every: Millis) -> bool {
        if now < *due {
            return false;
        }
        *due = now + every;
        true
    }
}

/// All control state of one entry host.
pub(crate) struct ControlState {
    settings: DaemonSettings,
    entry: EntryRow,
    platform: PlatformClient,
    traffic: Arc<TrafficShared>,
    operator: Arc<OperatorShared>,
    links: Rc<PeerLinks>,
    events: UnboundedSender<ControlEvent>,
    stopping: mpsc::Sender<()>,
    owners: BTreeMap<ShardId, ShardOwner>,
    wanted_rows: BTreeSet<ShardId>,
    map: Option<ShardMap>,
    shard_ids: Arc<Vec<ShardId>>,
    config: ConfigView,
    config_bytes: Vec<u8>,
    fetching: bool,
    list: HostList,
    worker_addresses: Rc<HashMap<WorkerId, SocketAddr>>,
    worker_shards: HashMap<WorkerId, ShardId>,
    told_windows: BTreeSet<HostId>,
    members: MemberTable,
    entries: BTreeMap<HostId, EntryRow>,
    drains: BTreeSet<String>,
    view: (u64, MembershipView),
    view_writing: bool,
    keepers: BTreeMap<quota::SliceName, SliceTracker>,
    entry_written: bool,
    quiet_since: Millis,
    known_candidates: usize,
    rooms: BTreeMap<ShardId, ShardRoom>,
    windows: HashMap<(ServiceId, WorkerId), LatencyWindow>,
    last_windows: Vec<LatencyWindow>,
    peer_windows: BTreeMap<HostId, Vec<LatencyWindow>>,
    meter: SlowdownMeter,
    due: DueTimes,
    stopping_since: Option<Millis>,
}

/// Runs the control thread until a planned stop is done.
pub async fn run_control(parts: ControlParts) {
    let local = LocalSet::new();
    local.run_until(run_local(parts)).await;
}

async fn run_local(parts: ControlParts) {
    let (events, events_in) = unbounded_channel();
    let ControlParts {
        settings,
        entry,
        platform,
        traffic,
        operator,
        peers,
        latencies,
        questions,
        stop,
        stopping,
        stopped,
    } = parts;
    let tick = Duration::from_millis(settings.limits.tick_ms);
    let state = ControlState::new(
        settings, entry, platform, traffic, operator, events, stopping,
    );
    let state = Rc::new(RefCell::new(state));
    spawn_local(serve_peers(
        peers,
        Rc::new(PeerFace {
            state: state.clone(),
        }),
    ));
    let inputs = ControlInputs {
        events: events_in,
        latencies,
        questions,
        stop,
    };
    drive(&state, inputs, tick).await;
    let _ = stopped.send(());
}

struct ControlInputs {
    events: UnboundedReceiver<ControlEvent>,
    latencies: mpsc::Receiver<LatencySeen>,
    questions: mpsc::Receiver<ExplainQuestion>,
    stop: mpsc::Receiver<()>,
}

async fn drive(state: &RefCell<ControlState>, mut inputs: ControlInputs, tick: Duration) {
    let mut ticks = tokio::time::interval(tick);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                state.borrow_mut().on_tick(clock::now());
                if state.borrow().has_stopped(clock::now()) {
                    leave(state).await;
                    return;
                }
            }
            Some(event) = inputs.events.recv() => {
                state.borrow_mut().on_event(clock::now(), event);
            }
            Some(seen) = inputs.latencies.recv() => state.borrow_mut().note_latency(&seen),
            Some(question) = inputs.questions.recv() => {
                let answer = state.borrow().explain(&question.subject);
                let _ = question.reply.send(answer);
            }
            Some(()) = inputs.stop.recv() => state.borrow_mut().begin_stop(clock::now()),
        }
    }
}

/// Takes this host out of the shared rows, so that the others need not wait for the platform to miss it.
async fn leave(state: &RefCell<ControlState>) {
    let (platform, txn) = state.borrow().leave_transaction();
    if platform.transact(&txn).await.is_err() {
        event(
            "leave_unwritten",
            &[(
                "remedy",
                &"the others wait until the platform lists this host as gone",
            )],
        );
    }
}

struct PeerFace {
    state: Rc<RefCell<ControlState>>,
}

impl PeerHandler for PeerFace {
    fn exchange(&self, news: HostNews) -> HostNews {
        let mut state = self.state.borrow_mut();
        state.on_peer(clock::now(), news);
        state.own_news()
    }

    fn configuration(&self, digest: &str) -> Option<Vec<u8>> {
        let state = self.state.borrow();
        (state.config.head().digest == digest).then(|| state.config_bytes.clone())
    }
}

impl ControlState {
    fn new(
        settings: DaemonSettings,
        entry: EntryRow,
        platform: PlatformClient,
        traffic: Arc<TrafficShared>,
        operator: Arc<OperatorShared>,
        events: UnboundedSender<ControlEvent>,
        stopping: mpsc::Sender<()>,
    ) -> Self {
        Self {
            members: MemberTable::new(entry.host.clone()),
            settings,
            entry,
            platform,
            traffic,
            operator,
            links: Rc::new(PeerLinks::default()),
            events,
            stopping,
            owners: BTreeMap::new(),
            wanted_rows: BTreeSet::new(),
            map: None,
            shard_ids: Arc::new(Vec::new()),
            config: ConfigView::default(),
            config_bytes: Vec::new(),
            fetching: false,
            list: HostList::default(),
            worker_addresses: Rc::new(HashMap::new()),
            worker_shards: HashMap::new(),
            told_windows: BTreeSet::new(),
            entries: BTreeMap::new(),
            drains: BTreeSet::new(),
            view: (0, MembershipView::default()),
            view_writing: false,
            keepers: BTreeMap::new(),
            entry_written: false,
            quiet_since: 0,
            known_candidates: 0,
            rooms: BTreeMap::new(),
            windows: HashMap::new(),
            last_windows: Vec::new(),
            peer_windows: BTreeMap::new(),
            meter: SlowdownMeter::default(),
            due: DueTimes::default(),
            stopping_since: None,
        }
    }

    /// Runs a call as a local task; what it returns comes back as an event.
    fn spawn(&self, call: impl Future<Output = Option<ControlEvent>> + 'static) {
        let events = self.events.clone();
        spawn_local(async move {
            if let Some(event) = call.await {
                let _ = events.send(event);
            }
        });
    }

    fn on_tick(&mut self, now: Millis) {
        if DueTimes::take(&mut self.due.head, now, HEAD_EVERY_MS) {
            self.read_head();
        }
        if DueTimes::take(&mut self.due.list, now, LIST_EVERY_MS) {
            self.read_list();
        }
        if DueTimes::take(&mut self.due.rows, now, ROWS_EVERY_MS) {
            self.read_rows();
        }
        if DueTimes::take(&mut self.due.peers, now, PEERS_EVERY_MS) {
            self.tell_peers();
        }
        if DueTimes::take(&mut self.due.judge, now, JUDGE_EVERY_MS) {
            self.judge_latencies(now);
        }
        if DueTimes::take(&mut self.due.view, now, JUDGE_EVERY_MS) {
            self.keep_view();
            self.spread_shards(now);
        }
        if DueTimes::take(&mut self.due.quotas, now, QUOTAS_EVERY_MS) {
            self.read_quotas(now);
        }
        self.tick_owners(now);
        self.read_wanted_rows();
        self.traffic.router.handle(RouteEvent::Tick);
        if DueTimes::take(&mut self.due.publish, now, PUBLISH_EVERY_MS) {
            self.share_rooms(now);
            self.publish_status(now);
        }
    }

    fn on_event(&mut self, now: Millis, event: ControlEvent) {
        match event {
            ControlEvent::Shard(shard, event) => self.feed(now, &shard, event),
            ControlEvent::ShardRows(rows) => {
                for (shard, event) in rows {
                    self.feed(now, &shard, event);
                }
            }
            ControlEvent::Head(head) => self.hear_head(&head, None),
            ControlEvent::Set(head, bytes) => self.take_set(now, &head, &bytes),
            ControlEvent::SetMissed => self.fetching = false,
            ControlEvent::List(list) => self.take_list(now, list),
            ControlEvent::Rows(rows) => self.take_rows(now, rows),
            ControlEvent::Peer(news) => self.on_peer(now, news),
            ControlEvent::ViewWritten => self.view_writing = false,
            ControlEvent::Quotas(rows) => self.take_quotas(now, &rows),
            ControlEvent::SliceWritten(written) => self.slice_written(now, &written),
        }
    }

    fn begin_stop(&mut self, now: Millis) {
        if self.stopping_since.is_some() {
            return;
        }
        self.stopping_since = Some(now);
        // From here on each answer asks its caller to connect anew, which the balancer sends elsewhere.
        self.traffic.closing.store(true, Ordering::Relaxed);
        let _ = self.stopping.try_send(());
        self.members.note_stopping();
        self.publish_status(now);
        let shards: Vec<ShardId> = self.owners.keys().cloned().collect();
        for shard in shards {
            self.feed(now, &shard, ShardEvent::RankUpdated(None));
            self.feed(now, &shard, ShardEvent::Release);
        }
    }

    /// Whether a planned stop is done: nothing is owned or under way, or the store is out for too long.
    fn has_stopped(&self, now: Millis) -> bool {
        let Some(since) = self.stopping_since else {
            return false;
        };
        let drained = now >= since + self.settings.limits.drain_ms;
        let owned = self.owners.values().any(|owner| owner.is_owner(now));
        let patience = self.settings.limits.drain_ms + self.settings.limits.shard_lease_ms * 2;
        let idle = self.traffic.router.open_requests() == 0;
        drained && idle && (!owned || now >= since + patience)
    }
}
