//! One entry host's router: what becomes of each request.

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

/// The shortest time after which a refused caller is asked to come back.
const LEAST_RETRY_AFTER_MS: Millis = 50;
/// The most attempts at one request.
const MOST_ATTEMPTS: u32 = 3;
/// What a service's answers are assumed to take before the first was seen.
const ASSUMED_SERVICE_MS: f64 = 20.0;
/// The weight of the newest answer in a class's running mean.
const SERVICE_STEP: f64 = 0.05;

#[derive(Clone, Debug)]
struct FlightInfo {
    info: RequestInfo,
    server: ServerId,
    attempts: u32,
    /// Whether an attempt before this one may have run; the final verdict never forgets it.
    may_have_run: bool,
}

#[derive(Clone, Copy, Debug)]
struct ServiceMean {
    latency_ms: f64,
}

/// One entry host's router.
#[derive(Clone, Debug)]
pub struct RouteCore {
    fleet: ServerFleet,
    share: SlotShare,
    limits: RouteLimits,
    queue: ClassQueue,
    budget: RetryBudget,
    flights: HashMap<u64, FlightInfo>,
    means: HashMap<ServiceId, ServiceMean>,
    counts: RouteCounts,
    source: ChaCha8Rng,
    strategy: RouteStrategy,
    turn: usize,
    /// The server whose slot was given back last; a waiting request of its service takes it.
    freed: Option<ServerId>,
}

impl RouteCore {
    /// Makes a router without servers; equal seeds give equal choices.
    pub fn new(host: HostId, hall: HallId, limits: RouteLimits, seed: u64) -> Self {
        Self {
            fleet: ServerFleet::new(hall),
            share: SlotShare::new(host),
            limits,
            queue: ClassQueue::default(),
            budget: RetryBudget::default(),
            flights: HashMap::new(),
            means: HashMap::new(),
            counts: RouteCounts::default(),
            source: ChaCha8Rng::seed_from_u64(seed),
            strategy: RouteStrategy::default(),
            turn: 0,
            freed: None,
        }
    }

    /// Chooses servers by another strategy; for measurements.
    pub fn set_strategy(&mut self, strategy: RouteStrategy) {
        self.strategy = strategy;
    }

    /// Takes in one event and returns what to do.
    pub fn handle(&mut self, now: Millis, event: RouteEvent) -> Vec<RouteAction> {
        let mut actions = Vec::new();
        match event {
            RouteEvent::Tick => self.expire(now, &mut actions),
            RouteEvent::Arrived(info) => self.arrive(now, info, &mut actions),
            RouteEvent::Ended { request, end } => self.end(now, request, end, &mut actions),
            RouteEvent::ServersListed(entries) => self.list_servers(now, &entries),
            RouteEvent::ServersLeaving(servers) => {
                servers.iter().for_each(|server| {
                    self.fleet.mark_leaving(server);
                });
            }
            RouteEvent::ServersGone(servers) => {
                servers.iter().for_each(|server| self.fleet.forget(server));
            }
            RouteEvent::FirstViewReceived { version, members } => self.take_view(&MembershipView {
                version,
                members,
                earlier: Vec::new(),
            }),
            RouteEvent::ViewRead(view) => self.take_view(&view),
            RouteEvent::PeerViewReported { host, version } => {
                if self.share.note_reached(&host, version) {
                    self.recount_shares();
                }
            }
            RouteEvent::HostsGone(hosts) => self.note_hosts_gone(&hosts),
            RouteEvent::SlotsSet(slots) => {
                if slots != self.limits.slots {
                    self.limits.slots = slots;
                    self.recount_shares();
                }
            }
        }
        self.serve_queue(now, &mut actions);
        actions
    }

    fn list_servers(&mut self, now: Millis, entries: &[ServerEntry]) {
        for entry in entries {
            // A known server's share changes only with the views, which recount all of them.
            if self.fleet.upsert(now, entry) {
                let share = self.share.usable(&entry.server, self.limits.slots);
                if let Some(load) = self.fleet.get_mut(&entry.server) {
                    load.share = share;
                }
            }
        }
    }

    fn take_view(&mut self, view: &MembershipView) {
        self.share.note_view(view);
        self.recount_shares();
    }

    fn note_hosts_gone(&mut self, hosts: &[HostId]) {
        let mut news = false;
        for host in hosts {
            news |= self.share.note_gone(host);
        }
        if news {
            self.recount_shares();
        }
    }

    fn recount_shares(&mut self) {
        self.share.prune();
        for load in self.fleet.servers_mut() {
            load.share = self.share.usable(&load.entry.server, self.limits.slots);
        }
    }

    fn arrive(&mut self, now: Millis, info: RequestInfo, actions: &mut Vec<RouteAction>) {
        self.counts.arrived += 1;
        self.budget.note_request();
        if info.deadline <= now {
            self.give_up(&QueuedRequest::fresh(info, now), actions);
            return;
        }
        let waits = self.queue.len_of(&info.class) > 0;
        if !waits {
            if let Some(server) = self.choose(now, &info.class, None) {
                self.dispatch(QueuedRequest::fresh(info, now), server, actions);
                return;
            }
        }
        self.enqueue_or_refuse(now, info, actions);
    }

    /// Queues a request where its turn can come before its deadline; refuses it at once where not.
    fn enqueue_or_refuse(
        &mut self,
        now: Millis,
        info: RequestInfo,
        actions: &mut Vec<RouteAction>,
    ) {
        let expected = now + self.expected_wait(&info.class) + self.mean_latency(&info.class);
        let full = self.queue.len() >= self.limits.queue;
        let over_part = self.queue.len_of(&info.class) >= self.class_part();
        let crowded = full || (over_part && self.queue.len() * 2 > self.limits.queue);
        if crowded || expected > info.deadline {
            self.give_up(&QueuedRequest::fresh(info, now), actions);
            return;
        }
        self.counts.queued += 1;
        self.queue.push(QueuedRequest::fresh(info, now));
    }

    /// The part of the queue that one class may fill while others wait, too.
    fn class_part(&self) -> usize {
        self.limits.queue / (self.queue.class_count() + 1)
    }

    /// How long a request that joins the queue now waits, from the class's share of slots and its mean latency.
    fn expected_wait(&self, class: &ServiceId) -> Millis {
        let slots = self.fleet.share_of(class).max(1);
        let ahead = self.queue.len_of(class) as f64;
        let mean = self.mean_of(class);
        (ahead * mean / f64::from(slots)) as Millis
    }

    fn mean_of(&self, class: &ServiceId) -> f64 {
        let mean = self.means.get(class);
        mean.map_or(ASSUMED_SERVICE_MS, |mean| mean.latency_ms)
    }

    fn mean_latency(&self, class: &ServiceId) -> Millis {
        self.mean_of(class) as Millis
    }

    fn choose(
        &mut self,
        now: Millis,
        class: &ServiceId,
        not: Option<&ServerId>,
    ) -> Option<ServerId> {
        match self.strategy {
            RouteStrategy::Weighed => self.fleet.choose(now, class, not, &mut self.source),
            RouteStrategy::RoundRobin => {
                self.turn += 1;
                self.fleet.choose_in_turn(now, class, self.turn)
            }
            RouteStrategy::Random => {
                use rand::RngExt;
                let turn = self.source.random_range(0..usize::MAX / 2);
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
            FlightInfo {
                info,
                server,
                attempts: attempt,
                may_have_run: request.may_have_run,
            },
        );
    }

    fn end(&mut self, now: Millis, request: u64, end: AttemptEnd, actions: &mut Vec<RouteAction>) {
        let Some(flight) = self.flights.remove(&request) else {
            return;
        };
        if let Some(load) = self.fleet.get_mut(&flight.server) {
            load.in_flight = load.in_flight.saturating_sub(1);
            self.freed = Some(flight.server.clone());
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

    fn deliver(&mut self, flight: FlightInfo, latency_ms: Millis, actions: &mut Vec<RouteAction>) {
        self.fleet.note_answer(&flight.server, latency_ms as f64);
        let mean = self.means.entry(flight.info.class.clone());
        let mean = mean.or_insert(ServiceMean {
            latency_ms: latency_ms as f64,
        });
        mean.latency_ms += SERVICE_STEP * (latency_ms as f64 - mean.latency_ms);
        self.counts.delivered += 1;
        actions.push(RouteAction::Deliver {
            request: flight.info.id,
        });
    }

    /// Tries a request again where its verdict, its deadline and the budget allow it; else gives it up at once.
    fn retry(
        &mut self,
        now: Millis,
        flight: FlightInfo,
        verdict: RunVerdict,
        actions: &mut Vec<RouteAction>,
    ) {
        let info = flight.info;
        let may_have_run = flight.may_have_run || verdict == RunVerdict::MayHaveRun;
        let allowed = verdict.allows_retry(info.repeatable)
            && flight.attempts < MOST_ATTEMPTS
            && now + self.mean_latency(&info.class) < info.deadline
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

    /// Tells the caller what is known of all attempts together.
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
        let wait = self.expected_wait(&info.class).max(LEAST_RETRY_AFTER_MS);
        actions.push(RouteAction::GiveUp {
            request: info.id,
            verdict,
            retry_after: again.then_some(wait),
        });
    }

    /// Gives up what waits past its deadline.
    fn expire(&mut self, now: Millis, actions: &mut Vec<RouteAction>) {
        for queued in self.queue.take_expired(now) {
            self.give_up(&queued, actions);
        }
    }

    /// Hands free slots to waiting requests, one class after the other.
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
        let freed = self.freed.take();
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

    /// Counts.
    pub fn counts(&self) -> &RouteCounts {
        &self.counts
    }

    /// Requests that are under way.
    pub fn in_flight(&self) -> usize {
        self.flights.len()
    }

    /// Requests that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// The view in use, to tell the other hosts.
    pub fn view_version(&self) -> u64 {
        self.share.version()
    }

    /// The shares of the slots.
    pub fn share(&self) -> &SlotShare {
        &self.share
    }

    /// Servers known to be leaving, to tell the other hosts.
    pub fn leaving(&self) -> Vec<ServerId> {
        let loads = self.fleet.servers();
        let mut leaving: Vec<ServerId> = loads
            .filter(|load| load.entry.state == ServerState::Leaving)
            .map(|load| load.entry.server.clone())
            .collect();
        leaving.sort();
        leaving
    }

    /// The backend servers as this host sees them.
    pub fn fleet(&self) -> &ServerFleet {
        &self.fleet
    }
}
