//! The control thread: membership, configuration, shard ownership, and the view that the traffic threads use.
//!
//! All control state is owned and accessed by this thread alone. Calls to the platform, to workers and to
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
use sandshelf_peer::{serve_peers, HostNews, PeerHandler, PeerPort};
use sandshelf_place::{LatencyWindow, SlowdownMeter};
use sandshelf_platform::{EntryRow, HostList, PlatformClient, ShardMap};
use sandshelf_route::{MembershipView, RouteEvent};
use tokio::sync::mpsc::{self, unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;
use tokio::task::{spawn_local, LocalSet};

use crate::clock;
use crate::logging::event;
use crate::operator::{ExplainQuestion, OperatorShared};
use crate::peers::PeerLinks;
use crate::traffic::{LatencySample, TrafficShared};

/// The interval between reads of the configuration's head row.
const HEAD_READ_INTERVAL_MS: Millis = 500;
/// The interval between reads of the platform's host list.
const LIST_READ_INTERVAL_MS: Millis = 1_000;
/// The interval between reads of the rows that all entry hosts share ([`SharedRows`]).
const ROWS_READ_INTERVAL_MS: Millis = 2_000;
/// The interval between reads of the teams' quota rows, which hold each shard's slice.
const QUOTAS_READ_INTERVAL_MS: Millis = 300;
/// The interval between exchanges of [`HostNews`] with other entry hosts.
const PEER_EXCHANGE_INTERVAL_MS: Millis = 500;
/// The maximum number of other entry hosts, chosen at random, that are called in one exchange.
const PEERS_PER_EXCHANGE: usize = 8;
/// The interval between publications of the host's status and of the shards' free capacity.
const PUBLISH_INTERVAL_MS: Millis = 500;
/// The length of a latency window; slowdowns are measured at the end of each.
const LATENCY_WINDOW_MS: Millis = 1_000;

/// How long the number of candidate hosts has to stay the same before a shard is released to another host.
const REBALANCE_AFTER_MS: Millis = 5_000;

/// Everything that the control thread is started with.
pub struct ControlParts {
    /// The validated settings.
    pub settings: DaemonSettings,
    /// This incarnation of the daemon and the addresses on which it listens.
    pub entry: EntryRow,
    /// The client of the platform.
    pub platform: PlatformClient,
    /// The state shared with the traffic threads.
    pub traffic: Arc<TrafficShared>,
    /// The state shared with the operator endpoint.
    pub operator: Arc<OperatorShared>,
    /// The port to which the other entry hosts connect.
    pub peers: PeerPort,
    /// Latency samples from the traffic threads.
    pub latencies: mpsc::Receiver<LatencySample>,
    /// Explain requests from the operator endpoint.
    pub questions: mpsc::Receiver<ExplainQuestion>,
    /// Asks the control thread to start a graceful shutdown.
    pub stop: mpsc::Receiver<()>,
    /// Notified when a graceful shutdown has begun, after a signal as well as after an operator's drain.
    pub stopping: mpsc::Sender<()>,
    /// Notified when the control thread has stopped.
    pub stopped: oneshot::Sender<()>,
}

/// The rows that all entry hosts share, as read in one round of reads.
#[derive(Debug, Default)]
pub(crate) struct SharedRows {
    pub(crate) entries: Vec<EntryRow>,
    pub(crate) drains: BTreeSet<String>,
    pub(crate) shards: Option<ShardMap>,
    /// The membership view with its row version.
    pub(crate) view: (u64, MembershipView),
}

/// An input of the control thread: the result of a call that it started.
pub(crate) enum ControlEvent {
    Shard(ShardId, ShardEvent),
    ShardRowsRead(Vec<(ShardId, ShardEvent)>),
    HeadRead(HeadRow),
    SetFetched(HeadRow, Vec<u8>),
    SetFetchFailed,
    ListRead(HostList),
    RowsRead(SharedRows),
    PeerAnswered(HostNews),
    ViewWritten,
    QuotasRead(quota::QuotaRows),
    SliceWritten(quota::WrittenSlice),
}

/// The time at which each periodic action is next due.
#[derive(Default)]
struct DueTimes {
    head: Millis,
    list: Millis,
    rows: Millis,
    peers: Millis,
    publish: Millis,
    slowdowns: Millis,
    view: Millis,
    quotas: Millis,
}

impl DueTimes {
    /// Whether `due` has been reached; if so, sets it to `interval` after `now`.
    fn advance_if_due(due: &mut Millis, now: Millis, interval: Millis) -> bool {
        if now < *due {
            return false;
        }
        *due = now + interval;
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
    /// Shards whose rows are to be read at the next tick.
    wanted_rows: BTreeSet<ShardId>,
    map: Option<ShardMap>,
    shard_ids: Arc<Vec<ShardId>>,
    config: ConfigView,
    config_bytes: Vec<u8>,
    /// Whether a configuration set is being fetched.
    fetching: bool,
    list: HostList,
    worker_addresses: Rc<HashMap<WorkerId, SocketAddr>>,
    worker_shards: HashMap<WorkerId, ShardId>,
    /// Hosts to which the last latency windows have been sent.
    windows_sent_to: BTreeSet<HostId>,
    members: MemberTable,
    entries: BTreeMap<HostId, EntryRow>,
    drains: BTreeSet<String>,
    /// The membership view last read, with its row version.
    view: (u64, MembershipView),
    /// Whether a write of the membership view is pending.
    view_writing: bool,
    slice_trackers: BTreeMap<quota::SliceName, SliceTracker>,
    /// Whether this host's entry has been read back from the shared rows.
    entry_written: bool,
    /// The time of the last change of `candidate_count` or of the last release for balance.
    stable_since: Millis,
    candidate_count: usize,
    /// The free capacity of each known shard.
    rooms: BTreeMap<ShardId, ShardRoom>,
    /// The current latency windows.
    windows: HashMap<(ServiceId, WorkerId), LatencyWindow>,
    /// This host's latency windows that ended last.
    last_windows: Vec<LatencyWindow>,
    /// Latency windows received from other entry hosts since the last measurement.
    peer_windows: BTreeMap<HostId, Vec<LatencyWindow>>,
    meter: SlowdownMeter,
    due: DueTimes,
    stopping_since: Option<Millis>,
}

/// Runs the control thread until a graceful shutdown is complete.
pub async fn run_control(parts: ControlParts) {
    let local = LocalSet::new();
    local.run_until(run_local(parts)).await;
}

async fn run_local(parts: ControlParts) {
    let (events, event_receiver) = unbounded_channel();
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
        Rc::new(PeerEndpoint {
            state: state.clone(),
        }),
    ));
    let inputs = ControlInputs {
        events: event_receiver,
        latencies,
        questions,
        stop,
    };
    run_event_loop(&state, inputs, tick).await;
    let _ = stopped.send(());
}

struct ControlInputs {
    events: UnboundedReceiver<ControlEvent>,
    latencies: mpsc::Receiver<LatencySample>,
    questions: mpsc::Receiver<ExplainQuestion>,
    stop: mpsc::Receiver<()>,
}

async fn run_event_loop(state: &RefCell<ControlState>, mut inputs: ControlInputs, tick: Duration) {
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
            Some(sample) = inputs.latencies.recv() => state.borrow_mut().note_latency(&sample),
            Some(question) = inputs.questions.recv() => {
                let answer = state.borrow().explain(&question.subject);
                let _ = question.reply.send(answer);
            }
            Some(()) = inputs.stop.recv() => state.borrow_mut().begin_stop(clock::now()),
        }
    }
}

/// Removes this host from the shared rows.
///
/// Otherwise the other hosts would wait until the platform lists this host as gone.
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

struct PeerEndpoint {
    state: Rc<RefCell<ControlState>>,
}

impl PeerHandler for PeerEndpoint {
    fn exchange(&self, news: HostNews) -> HostNews {
        let mut state = self.state.borrow_mut();
        state.handle_peer_news(clock::now(), news);
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
            windows_sent_to: BTreeSet::new(),
            entries: BTreeMap::new(),
            drains: BTreeSet::new(),
            view: (0, MembershipView::default()),
            view_writing: false,
            slice_trackers: BTreeMap::new(),
            entry_written: false,
            stable_since: 0,
            candidate_count: 0,
            rooms: BTreeMap::new(),
            windows: HashMap::new(),
            last_windows: Vec::new(),
            peer_windows: BTreeMap::new(),
            meter: SlowdownMeter::default(),
            due: DueTimes::default(),
            stopping_since: None,
        }
    }

    /// Runs a call as a local task; the event that it returns, if any, is sent to the control thread.
    fn spawn(&self, call: impl Future<Output = Option<ControlEvent>> + 'static) {
        let events = self.events.clone();
        spawn_local(async move {
            if let Some(event) = call.await {
                let _ = events.send(event);
            }
        });
    }

    fn on_tick(&mut self, now: Millis) {
        if DueTimes::advance_if_due(&mut self.due.head, now, HEAD_READ_INTERVAL_MS) {
            self.read_head();
        }
        if DueTimes::advance_if_due(&mut self.due.list, now, LIST_READ_INTERVAL_MS) {
            self.read_list();
        }
        if DueTimes::advance_if_due(&mut self.due.rows, now, ROWS_READ_INTERVAL_MS) {
            self.read_rows();
        }
        if DueTimes::advance_if_due(&mut self.due.peers, now, PEER_EXCHANGE_INTERVAL_MS) {
            self.exchange_with_peers();
        }
        if DueTimes::advance_if_due(&mut self.due.slowdowns, now, LATENCY_WINDOW_MS) {
            self.measure_slowdowns(now);
        }
        if DueTimes::advance_if_due(&mut self.due.view, now, LATENCY_WINDOW_MS) {
            self.maintain_view();
            self.rebalance_shards(now);
        }
        if DueTimes::advance_if_due(&mut self.due.quotas, now, QUOTAS_READ_INTERVAL_MS) {
            self.read_quotas(now);
        }
        self.tick_owners(now);
        self.read_wanted_rows();
        self.traffic.router.handle(RouteEvent::Tick);
        if DueTimes::advance_if_due(&mut self.due.publish, now, PUBLISH_INTERVAL_MS) {
            self.share_rooms(now);
            self.publish_status(now);
        }
    }

    fn on_event(&mut self, now: Millis, event: ControlEvent) {
        match event {
            ControlEvent::Shard(shard, event) => self.feed(now, &shard, event),
            ControlEvent::ShardRowsRead(rows) => {
                for (shard, event) in rows {
                    self.feed(now, &shard, event);
                }
            }
            ControlEvent::HeadRead(head) => self.handle_head(&head, None),
            ControlEvent::SetFetched(head, bytes) => self.apply_set(now, &head, &bytes),
            ControlEvent::SetFetchFailed => self.fetching = false,
            ControlEvent::ListRead(list) => self.handle_host_list(now, list),
            ControlEvent::RowsRead(rows) => self.handle_shared_rows(now, rows),
            ControlEvent::PeerAnswered(news) => self.handle_peer_news(now, news),
            ControlEvent::ViewWritten => self.view_writing = false,
            ControlEvent::QuotasRead(rows) => self.handle_quota_rows(now, &rows),
            ControlEvent::SliceWritten(written) => self.slice_written(now, &written),
        }
    }

    fn begin_stop(&mut self, now: Millis) {
        if self.stopping_since.is_some() {
            return;
        }
        self.stopping_since = Some(now);
        // From now on each answer closes its connection. The caller then reconnects, and the load balancer
        // routes the new connection to another host.
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

    /// Whether a graceful shutdown is complete: the drain time has passed, no request is in flight and no shard is owned.
    ///
    /// Shards still owned after the drain time plus two shard leases no longer count: the store is taken to be unavailable.
    fn has_stopped(&self, now: Millis) -> bool {
        let Some(since) = self.stopping_since else {
            return false;
        };
        let drained = now >= since + self.settings.limits.drain_ms;
        let owned = self.owners.values().any(|owner| owner.is_owner(now));
        let release_timeout_ms =
            self.settings.limits.drain_ms + self.settings.limits.shard_lease_ms * 2;
        let idle = self.traffic.router.open_requests() == 0;
        drained && idle && (!owned || now >= since + release_timeout_ms)
    }
}
