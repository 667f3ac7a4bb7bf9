//! The backend servers of each service, and the choice of a server for a request.
//!
//! A choice samples a few servers with a free slot, those of the own hall first. So its cost does not grow with the number of
//! servers, and hosts that have the same information do not all choose the same server.

use std::collections::HashMap;

use rand::{Rng, RngExt};
use sandshelf_model::{HallId, Millis, ServerId, ServiceId};

use crate::eject::{EjectRule, ServerHealth};

/// Maximum number of servers with a free slot that one choice compares, in the own hall and in the other halls each.
const SAMPLED_SERVERS: usize = 4;
/// Maximum number of servers that one choice scans, in the own hall and in the other halls each, even if most have no free slot.
const MAX_SCANNED_SERVERS: usize = 64;
/// Additional cost of a server in another hall, as latency in milliseconds.
const OTHER_HALL_COST_MS: f64 = 1.0;
/// Weight of the newest latency in the running mean.
const LATENCY_MEAN_WEIGHT: f64 = 0.2;

/// Whether new requests are sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// New requests are sent to it.
    Live,
    /// No new requests are sent to it; this incarnation never becomes live again.
    Leaving,
}

/// A backend server as listed by the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// The identifier of the server's incarnation.
    pub server: ServerId,
    /// The service that it runs.
    pub service: ServiceId,
    /// The hall that it is in.
    pub hall: HallId,
    /// Whether new requests are sent to it.
    pub state: ServerState,
}

impl ServerEntry {
    /// Creates an entry for a live server.
    pub fn plain(server: &str, service: &str, hall: &str) -> Self {
        Self {
            server: ServerId::from(server),
            service: ServiceId::from(service),
            hall: HallId::from(hall),
            state: ServerState::Live,
        }
    }
}

/// The load, latency and health of one server, as seen by one entry host.
#[derive(Clone, Debug)]
pub struct ServerLoad {
    /// The server's entry as listed by the platform.
    pub entry: ServerEntry,
    /// Number of the server's slots that this host may use.
    pub share: u32,
    /// Number of requests from this host that are in flight to the server.
    pub in_flight: u32,
    /// Running mean of the latency in milliseconds; 0 before the first answer.
    pub latency_ms: f64,
    /// Consecutive failures, ejection and slow start.
    pub health: ServerHealth,
}

impl ServerLoad {
    fn has_slot(&self, now: Millis) -> bool {
        self.entry.state == ServerState::Live
            && self.in_flight < self.share
            && !self.health.is_ejected(now)
    }
}

#[derive(Clone, Debug, Default)]
struct ServiceServers {
    own_hall: Vec<ServerId>,
    other_halls: Vec<ServerId>,
}

/// All known backend servers, by service.
#[derive(Clone, Debug)]
pub struct ServerFleet {
    hall: HallId,
    servers: HashMap<ServerId, ServerLoad>,
    services: HashMap<ServiceId, ServiceServers>,
    rule: EjectRule,
}

impl ServerFleet {
    /// Creates an empty fleet for an entry host in `hall`.
    pub fn new(hall: HallId) -> Self {
        Self {
            hall,
            servers: HashMap::new(),
            services: HashMap::new(),
            rule: EjectRule::default(),
        }
    }

    /// Adds a server, or updates the state of a known one. A leaving server never becomes live again. Returns whether it is new.
    pub fn upsert(&mut self, now: Millis, entry: &ServerEntry) -> bool {
        if let Some(known) = self.servers.get_mut(&entry.server) {
            if known.entry.state == ServerState::Live {
                known.entry.state = entry.state;
            }
            return false;
        }
        let lists = self.services.entry(entry.service.clone()).or_default();
        if entry.hall == self.hall {
            lists.own_hall.push(entry.server.clone());
        } else {
            lists.other_halls.push(entry.server.clone());
        }
        let load = ServerLoad {
            entry: entry.clone(),
            share: 0,
            in_flight: 0,
            latency_ms: 0.0,
            health: ServerHealth::new(now),
        };
        self.servers.insert(entry.server.clone(), load);
        true
    }

    /// Marks a server as leaving; returns whether it was live.
    pub fn mark_leaving(&mut self, server: &ServerId) -> bool {
        let Some(load) = self.servers.get_mut(server) else {
            return false;
        };
        let was_live = load.entry.state == ServerState::Live;
        load.entry.state = ServerState::Leaving;
        was_live
    }

    /// Marks a server as leaving that the platform lists as gone, and removes it if no request is in flight to it.
    pub fn forget(&mut self, server: &ServerId) {
        let idle = self
            .servers
            .get(server)
            .is_some_and(|load| load.in_flight == 0);
        self.mark_leaving(server);
        if !idle {
            return;
        }
        if let Some(load) = self.servers.remove(server) {
            if let Some(lists) = self.services.get_mut(&load.entry.service) {
                lists.own_hall.retain(|known| known != server);
                lists.other_halls.retain(|known| known != server);
            }
        }
    }

    /// Returns a server; `None` if it is unknown.
    pub fn get(&self, server: &ServerId) -> Option<&ServerLoad> {
        self.servers.get(server)
    }

    /// Returns a server for modification; `None` if it is unknown.
    pub fn get_mut(&mut self, server: &ServerId) -> Option<&mut ServerLoad> {
        self.servers.get_mut(server)
    }

    /// Returns all servers, in no particular order.
    pub fn servers(&self) -> impl Iterator<Item = &ServerLoad> {
        self.servers.values()
    }

    /// Returns all servers for modification, in no particular order.
    pub fn servers_mut(&mut self) -> impl Iterator<Item = &mut ServerLoad> {
        self.servers.values_mut()
    }

    /// Returns the number of slots that this host may use, summed over the live servers of a service.
    pub fn share_of(&self, service: &ServiceId) -> u32 {
        let Some(lists) = self.services.get(service) else {
            return 0;
        };
        lists
            .own_hall
            .iter()
            .chain(&lists.other_halls)
            .map(|server| &self.servers[server])
            .filter(|load| load.entry.state == ServerState::Live)
            .map(|load| load.share)
            .sum()
    }

    /// Chooses a server with a free slot: the one with the lowest cost of a random sample, from the own hall if it has any.
    ///
    /// `excluded` is a server that must not be chosen. Returns `None` if no scanned server has a free slot.
    pub fn choose(
        &self,
        now: Millis,
        service: &ServiceId,
        excluded: Option<&ServerId>,
        rng: &mut impl Rng,
    ) -> Option<ServerId> {
        let lists = self.services.get(service)?;
        let own = self.sample(now, &lists.own_hall, excluded, rng);
        let own = own.min_by(|a, b| a.1.total_cmp(&b.1));
        if let Some((server, _)) = own {
            return Some(server);
        }
        let other = self.sample(now, &lists.other_halls, excluded, rng);
        let other = other.min_by(|a, b| a.1.total_cmp(&b.1));
        other.map(|(server, _)| server)
    }

    /// Returns up to [`SAMPLED_SERVERS`] servers with a free slot and their costs, scanning `list` from a random position.
    fn sample<'a>(
        &'a self,
        now: Millis,
        list: &'a [ServerId],
        excluded: Option<&'a ServerId>,
        rng: &mut impl Rng,
    ) -> impl Iterator<Item = (ServerId, f64)> + 'a {
        let start = if list.is_empty() {
            0
        } else {
            rng.random_range(0..list.len())
        };
        let rotated = list[start..].iter().chain(&list[..start]);
        rotated
            .take(MAX_SCANNED_SERVERS)
            .filter(move |server| Some(*server) != excluded)
            .map(|server| &self.servers[server])
            .filter(move |load| load.has_slot(now))
            .take(SAMPLED_SERVERS)
            .map(move |load| (load.entry.server.clone(), self.cost(now, load)))
    }

    /// Returns whether `server` runs `service` and has a free slot for this host.
    pub fn is_free(&self, now: Millis, service: &ServiceId, server: &ServerId) -> bool {
        let load = self.servers.get(server);
        load.is_some_and(|load| load.entry.service == *service && load.has_slot(now))
    }

    /// Chooses the first server with a free slot, scanning the list from position `turn`; used by the baseline strategies.
    pub fn choose_in_turn(
        &self,
        now: Millis,
        service: &ServiceId,
        turn: usize,
    ) -> Option<ServerId> {
        let lists = self.services.get(service)?;
        let all: Vec<&ServerId> = lists.own_hall.iter().chain(&lists.other_halls).collect();
        let start = turn % all.len().max(1);
        let rotated = all[start..].iter().chain(&all[..start]);
        rotated
            .map(|server| &self.servers[*server])
            .find(|load| load.has_slot(now))
            .map(|load| load.entry.server.clone())
    }

    fn cost(&self, now: Millis, load: &ServerLoad) -> f64 {
        let latency = load.latency_ms.max(1.0);
        let hall_cost = if load.entry.hall == self.hall {
            0.0
        } else {
            OTHER_HALL_COST_MS
        };
        let occupancy = f64::from(load.in_flight + 1);
        (latency * occupancy + hall_cost) * load.health.slow_start(now, &self.rule)
    }

    /// Records the latency of a complete answer, in milliseconds.
    pub fn note_answer(&mut self, server: &ServerId, latency_ms: f64) {
        if let Some(load) = self.servers.get_mut(server) {
            load.health.note_success();
            load.latency_ms = if load.latency_ms == 0.0 {
                latency_ms
            } else {
                load.latency_ms + LATENCY_MEAN_WEIGHT * (latency_ms - load.latency_ms)
            };
        }
    }

    /// Records a failure, which may eject the server. It is not ejected if too many servers of its service would then be.
    pub fn note_failure(&mut self, now: Millis, server: &ServerId) {
        let Some(load) = self.servers.get(server) else {
            return;
        };
        let may_eject = self.may_eject(now, &load.entry.service.clone());
        let rule = self.rule;
        if let Some(load) = self.servers.get_mut(server) {
            load.health.note_failure(now, &rule, may_eject);
        }
    }

    fn may_eject(&self, now: Millis, service: &ServiceId) -> bool {
        let Some(lists) = self.services.get(service) else {
            return false;
        };
        let all = lists.own_hall.len() + lists.other_halls.len();
        let ejected = lists
            .own_hall
            .iter()
            .chain(&lists.other_halls)
            .filter(|server| self.servers[*server].health.is_ejected(now))
            .count();
        (ejected + 1) * 100 <= all * self.rule.max_ejected_percent as usize
    }
}
