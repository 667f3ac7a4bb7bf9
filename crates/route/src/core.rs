//! The router of one entry host: dispatches, queues, retries and gives up requests.

use std::collections::HashMap;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sandshelf_model::{HallId, HostId, Millis, RunVerdict, ServerId, ServiceId};

use crate::events::{
    AttemptEnd, RequestInfo, RouteAction, RouteCounts, RouteEvent, RouteLimits, RouteStrategy,
};
use crate::fleet::{ServerEntry, ServerFleet, ServerState};
use crate::queue::{ClassQueue, QueuedRequest};
use crate::retry::RetryBudget;
use crate::share::{MembershipView, SlotShare};

/// Shortest time after which a caller is asked to send a request again that was given up.
const MIN_RETRY_AFTER_MS: Millis = 50;
/// Maximum number of attempts at one request.
const MAX_ATTEMPTS: u32 = 3;
/// Assumed latency of a service before its first answer, in milliseconds.
const INITIAL_LATENCY_MS: f64 = 20.0;
/// Weight of the newest answer in a class's running mean latency.
const LATENCY_MEAN_WEIGHT: f64 = 0.05;

#[derive(Clone, Debug)]
struct InFlightRequest {
    info: RequestInfo,
    server: ServerId,
    attempts: u32,
    /// Whether an earlier attempt may have run; if so, the final verdict is at least `MayHaveRun`.
    may_have_run: bool,
}

#[derive(Clone, Copy, Debug)]
struct ClassLatency {
    latency_ms: f64,
}

/// The router of one entry host.
#[derive(Clone, Debug)]
pub struct RouteCore {
    fleet: ServerFleet,
    share: SlotShare,
    limits: RouteLimits,
    queue: ClassQueue,
    budget: RetryBudget,
    flights: HashMap<u64, InFlightRequest>,
    class_latencies: HashMap<ServiceId, ClassLatency>,
    counts: RouteCounts,
    rng: ChaCha8Rng,
    strategy: RouteStrategy,
    next_turn: usize,
    /// The server on which a slot was freed last; it is tried first for a waiting request of its service.
    last_freed: Option<ServerId>,
}

impl RouteCore {
    /// Creates a router without servers. `seed` seeds its random choices: equal seeds and equal events give equal actions.
    pub fn new(host: HostId, hall: HallId, limits: RouteLimits, seed: u64) -> Self {
        Self {
            fleet: ServerFleet::new(hall),
            share: SlotShare::new(host),
            limits,
            queue: ClassQueue::default(),
            budget: RetryBudget::default(),
            flights: HashMap::new(),
            class_latencies: HashMap::new(),
            counts: RouteCounts::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            strategy: RouteStrategy::default(),
            next_turn: 0,
            last_freed: None,
        }
    }

    /// Sets the strategy for choosing servers; used by benchmarks.
    pub fn set_strategy(&mut self, strategy: RouteStrategy) {
        self.strategy = strategy;
    }

    /// Handles one event that happens at `now` and returns the actions to take.
    pub fn handle(&mut self, now: Millis, event: RouteEvent) -> Vec<RouteAction> {
        let mut actions = Vec::new();
        match event {
            RouteEvent::Tick => self.expire_waiting(now, &mut actions),
            RouteEvent::Arrived(info) => self.handle_arrival(now, info, &mut actions),
            RouteEvent::Ended { request, end } => self.handle_end(now, request, end, &mut actions),
            RouteEvent::ServersListed(entries) => self.record_listed_servers(now, &entries),
            RouteEvent::ServersLeaving(servers) => {
                servers.iter().for_each(|server| {
                    self.fleet.mark_leaving(server);
                });
            }
            RouteEvent::ServersGone(servers) => {
                servers.iter().for_each(|server| self.fleet.forget(server));
            }
            RouteEvent::FirstViewReceived { version, members } => {
                self.apply_view(&MembershipView {
                    version,
                    members,
                    earlier: Vec::new(),
                })
            }
            RouteEvent::ViewRead(view) => self.apply_view(&view),
            RouteEvent::PeerViewReported { host, version } => {
                if self.share.note_reached(&host, version) {
                    self.recompute_shares();
                }
            }
            RouteEvent::HostsGone(hosts) => self.note_hosts_gone(&hosts),
            RouteEvent::SlotsSet(slots) => {
                if slots != self.limits.slots {
                    self.limits.slots = slots;
                    self.recompute_shares();
                }
            }
        }
        self.serve_queue(now, &mut actions);
        actions
    }

    fn record_listed_servers(&mut self, now: Millis, entries: &[ServerEntry]) {
        for entry in entries {
            // The share of a known server changes only with views, reported view versions, gone hosts or the number of slots;
            // each of these events recomputes all shares.
            if self.fleet.upsert(now, entry) {
                let share = self.share.usable(&entry.server, self.limits.slots);
                if let Some(load) = self.fleet.get_mut(&entry.server) {
                    load.share = share;
                }
            }
        }
    }

    fn apply_view(&mut self, view: &MembershipView) {
        self.share.note_view(view);
        self.recompute_shares();
    }

    fn note_hosts_gone(&mut self, hosts: &[HostId]) {
        let mut changed = false;
        for host in hosts {
            changed |= self.share.note_gone(host);
        }
        if changed {
            self.recompute_shares();
        }
    }

    fn recompute_shares(&mut self) {
        self.share.prune();
        for load in self.fleet.servers_mut() {
            load.share = self.share.usable(&load.entry.server, self.limits.slots);
        }
    }

    fn handle_arrival(&mut self, now: Millis, info: RequestInfo, actions: &mut Vec<RouteAction>) {
        self.counts.arrived += 1;
        self.budget.note_request();
        if info.deadline <= now {
            self.give_up(&QueuedRequest::fresh(info, now), actions);
            return;
        }
        let class_waits = self.queue.len_of(&info.class) > 0;
        if !class_waits {
            if let Some(server) = self.choose(now, &info.class, None) {
                self.dispatch(QueuedRequest::fresh(info, now), server, actions);
                return;
            }
        }
        self.enqueue_or_refuse(now, info, actions);
    }

    /// Queues a request if it is expected to be answered before its deadline and the queue has space; otherwise gives it up
    /// at once.
    fn enqueue_or_refuse(
        &mut self,
        now: Millis,
        info: RequestInfo,
        actions: &mut Vec<RouteAction>,
    ) {
        let expected_answer_at =
            now + self.expected_wait(&info.class) + self.mean_latency_whole_ms(&info.class);
        let full = self.queue.len() >= self.limits.queue;
        let over_share = self.queue.len_of(&info.class) >= self.class_queue_share();
        let no_space = full || (over_share && self.queue.len() * 2 > self.limits.queue);
        if no_space || expected_answer_at > info.deadline {
            self.give_up(&QueuedRequest::fresh(info, now), actions);
            return;
        }
        self.counts.queued += 1;
        self.queue.push(QueuedRequest::fresh(info, now));
    }

    /// Returns the number of queue places that one class may fill once the queue is more than half full.
    fn class_queue_share(&self) -> usize {
        self.limits.queue / (self.queue.class_count() + 1)
    }

    /// Returns the expected wait, in milliseconds, of a request that is queued now: computed from the number of requests ahead,
    /// this host's slots for the class and the mean latency of the class.
    fn expected_wait(&self, class: &ServiceId) -> Millis {
        let slots = self.fleet.share_of(class).max(1);
        let ahead = self.queue.len_of(class) as f64;
        let mean = self.mean_latency_ms(class);
        (ahead * mean / f64::from(slots)) as Millis
    }

    fn mean_latency_ms(&self, class: &ServiceId) -> f64 {
        let mean = self.class_latencies.get(class);
        mean.map_or(INITIAL_LATENCY_MS, |mean| mean.latency_ms)
    }

    fn mean_latency_whole_ms(&self, class: &ServiceId) -> Millis {
        self.mean_latency_ms(class) as Millis
    }

    fn choose(
        &mut self,
        now: Millis,
        class: &ServiceId,
        excluded: Option<&ServerId>,
    ) -> Option<ServerId> {
        match self.strategy {
            RouteStrategy::Weighed => self.fleet.choose(now, class, excluded, &mut self.rng),
            RouteStrategy::RoundRobin => {
                self.next_turn += 1;
                self.fleet.choose_in_turn(now, class, self.next_turn)
            }
            RouteStrategy::Random => {
                use rand::RngExt;
                let turn = self.rng.random_range(0..usize::MAX / 2);
                self.fleet.choose_in_turn(now, class, turn)
            }
        }
    }

    fn dispatch(
        &mut self,
        request: QueuedRequest,
        server: ServerId,
        actions: &mut Vec<RouteAction>,
    ) {
        let attempt = request.attempts + 1;
        let info = request.info;
        if let Some(load) = self.fleet.get_mut(&server) {
            load.in_flight += 1;
            debug_assert!(load.in_flight <= load.share, "more in flight than slots");
        }
        actions.push(RouteAction::Dispatch {
            request: info.id,
            server: server.clone(),
            attempt,
        });
        self.flights.insert(
            info.id,
            InFlightRequest {
                info,
                server,
                attempts: attempt,
                may_have_run: request.may_have_run,
            },
        );
    }

    fn handle_end(
        &mut self,
        now: Millis,
        request: u64,
        end: AttemptEnd,
        actions: &mut Vec<RouteAction>,
    ) {
        let Some(flight) = self.flights.remove(&request) else {
            return;
        };
        if let Some(load) = self.fleet.get_mut(&flight.server) {
            load.in_flight = load.in_flight.saturating_sub(1);
            self.last_freed = Some(flight.server.clone());
        }
        match end {
            AttemptEnd::Answered { latency_ms } => self.deliver(flight, latency_ms, actions),
            AttemptEnd::NotRun => {
                self.fleet.note_failure(now, &flight.server);
                self.retry(now, flight, RunVerdict::NotRun, actions);
            }
            AttemptEnd::Leaving => {
                self.fleet.mark_leaving(&flight.server);
                self.retry(now, flight, RunVerdict::NotRun, actions);
            }
            AttemptEnd::MayHaveRun => {
                self.fleet.note_failure(now, &flight.server);
                self.retry(now, flight, RunVerdict::MayHaveRun, actions);
            }
        }
    }

    fn deliver(
        &mut self,
        flight: InFlightRequest,
        latency_ms: Millis,
        actions: &mut Vec<RouteAction>,
    ) {
        self.fleet.note_answer(&flight.server, latency_ms as f64);
        let mean = self.class_latencies.entry(flight.info.class.clone());
        let mean = mean.or_insert(ClassLatency {
            latency_ms: latency_ms as f64,
        });
        mean.latency_ms += LATENCY_MEAN_WEIGHT * (latency_ms as f64 - mean.latency_ms);
        self.counts.delivered += 1;
        actions.push(RouteAction::Deliver {
            request: flight.info.id,
        });
    }

    /// Retries a request if the verdict, the number of attempts, the deadline and the retry budget allow it; otherwise
    /// gives it up.
    fn retry(
        &mut self,
        now: Millis,
        flight: InFlightRequest,
        verdict: RunVerdict,
        actions: &mut Vec<RouteAction>,
    ) {
        let info = flight.info;
        let may_have_run = flight.may_have_run || verdict == RunVerdict::MayHaveRun;
        let allowed = verdict.allows_retry(info.repeatable)
            && flight.attempts < MAX_ATTEMPTS
            && now + self.mean_latency_whole_ms(&info.class) < info.deadline
            && self.budget.take(now);
        let request = QueuedRequest {
            info,
            since: now,
            attempts: flight.attempts,
            may_have_run,
        };
        if !allowed {
            self.give_up(&request, actions);
            return;
        }
        self.counts.retries += 1;
        match self.choose(now, &request.info.class, Some(&flight.server)) {
            Some(server) => self.dispatch(request, server, actions),
            None => self.queue.push(request),
        }
    }

    /// Gives up a request, with the verdict over all its attempts.
    fn give_up(&mut self, request: &QueuedRequest, actions: &mut Vec<RouteAction>) {
        let info = &request.info;
        let verdict = if request.may_have_run {
            self.counts.unknown += 1;
            RunVerdict::MayHaveRun
        } else {
            self.counts.refused += 1;
            RunVerdict::NotRun
        };
        let again = verdict.allows_retry(info.repeatable);
        let wait = self.expected_wait(&info.class).max(MIN_RETRY_AFTER_MS);
        actions.push(RouteAction::GiveUp {
            request: info.id,
            verdict,
            retry_after: again.then_some(wait),
        });
    }

    /// Gives up waiting requests whose deadline has passed.
    fn expire_waiting(&mut self, now: Millis, actions: &mut Vec<RouteAction>) {
        for queued in self.queue.take_expired(now) {
            self.give_up(&queued, actions);
        }
    }

    /// Assigns free slots to waiting requests, one request per class in turn.
    fn serve_queue(&mut self, now: Millis, actions: &mut Vec<RouteAction>) {
        let mut served = !self.queue.is_empty();
        while served {
            served = false;
            for class in self.queue.classes() {
                served |= self.serve_one(now, &class, actions);
            }
        }
    }

    fn serve_one(
        &mut self,
        now: Millis,
        class: &ServiceId,
        actions: &mut Vec<RouteAction>,
    ) -> bool {
        let freed = self.last_freed.take();
        let freed = freed.filter(|server| self.fleet.is_free(now, class, server));
        let Some(server) = freed.or_else(|| self.choose(now, class, None)) else {
            return false;
        };
        let Some(queued) = self.queue.pop(class) else {
            return false;
        };
        if queued.info.deadline <= now {
            self.give_up(&queued, actions);
        } else {
            self.dispatch(queued, server, actions);
        }
        true
    }

    /// Returns the totals since the start.
    pub fn counts(&self) -> &RouteCounts {
        &self.counts
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.flights.len()
    }

    /// Returns the number of requests that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the version of the membership view in use, which is reported to the other hosts.
    pub fn view_version(&self) -> u64 {
        self.share.version()
    }

    /// Returns this host's share of the slots.
    pub fn share(&self) -> &SlotShare {
        &self.share
    }

    /// Returns the servers known to be leaving, sorted; they are reported to the other hosts.
    pub fn leaving(&self) -> Vec<ServerId> {
        let loads = self.fleet.servers();
        let mut leaving: Vec<ServerId> = loads
            .filter(|load| load.entry.state == ServerState::Leaving)
            .map(|load| load.entry.server.clone())
            .collect();
        leaving.sort();
        leaving
    }

    /// Returns the backend servers as seen by this host.
    pub fn fleet(&self) -> &ServerFleet {
        &self.fleet
    }
}
