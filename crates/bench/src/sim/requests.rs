//! Requests on their way through entry hosts and servers.

use rand::RngExt;
use sandshelf_model::{RunVerdict, ServerId, ServiceId};
use sandshelf_place::LatencyWindow;
use sandshelf_route::{AttemptEnd, RequestInfo, RouteAction, RouteEvent};

use super::{
    server_position, FleetSim, SimEnd, SimEvent, SimRequest, DEADLINE_MS, HALL_US, HOSTS,
    SERVICE_US, SLOTS,
};
use crate::truth::{time_factor, SERVICES};

impl FleetSim {
    pub(super) fn arrive(&mut self) {
        let slots = self.servers.len() as f64 * f64::from(SLOTS);
        let load = self.plan.scenario.load(self.part());
        let mean_gap = SERVICE_US / (slots * load);
        let draw: f64 = self.source.random_range(1e-9..1.0);
        let gap = (-draw.ln() * mean_gap).max(1.0) as u64;
        self.push(self.now_us + gap, SimEvent::Arrival);
        let alive: Vec<usize> = (0..HOSTS).filter(|host| self.host_alive[*host]).collect();
        let host = alive[self.source.random_range(0..alive.len())];
        let class = SERVICES[self.source.random_range(0..SERVICES.len())];
        self.next_request += 1;
        let number = self.next_request;
        let now = self.now_ms();
        let measured = self.warm;
        self.result.arrived += u64::from(measured);
        self.requests.insert(
            number,
            SimRequest {
                arrived_us: self.now_us,
                sent_us: self.now_us,
                measured,
            },
        );
        let info = RequestInfo::plain(number, class, now + DEADLINE_MS);
        let actions = self.hosts[host].handle(now, RouteEvent::Arrived(info));
        self.act(host, actions);
    }

    pub(super) fn act(&mut self, host: usize, actions: Vec<RouteAction>) {
        for action in actions {
            match action {
                RouteAction::Dispatch {
                    request, server, ..
                } => self.dispatch(host, request, &server),
                RouteAction::Deliver { request } => self.deliver(request),
                RouteAction::GiveUp {
                    request, verdict, ..
                } => self.give_up(request, verdict),
            }
        }
    }

    fn dispatch(&mut self, host: usize, request: u64, server: &ServerId) {
        let position = server_position(server);
        let halls = self.plan.operator.size().0;
        let far = self.servers[position].hall != host % halls;
        let way = if far { HALL_US } else { 50 };
        if let Some(known) = self.requests.get_mut(&request) {
            known.sent_us = self.now_us;
        }
        let event = SimEvent::ServerStart {
            host,
            request,
            server: position,
        };
        self.push(self.now_us + way, event);
    }

    pub(super) fn start(&mut self, host: usize, request: u64, server: usize) {
        if !self.servers[server].alive {
            // A connection that nobody accepts: nothing was sent.
            let end = SimEnd::NotRun;
            self.push(self.now_us + 5_000, SimEvent::Ended { host, request, end });
            return;
        }
        let factor = time_factor(&mut self.source);
        let slow = 1.0 + self.servers[server].slowdown;
        let length = (SERVICE_US * factor * slow) as u64;
        let there = &mut self.servers[server];
        there.busy += 1;
        there.open.push((host, request));
        let life = there.life;
        let event = SimEvent::ServerDone {
            host,
            request,
            server,
            life,
        };
        self.push(self.now_us + length, event);
    }

    pub(super) fn done(&mut self, host: usize, request: u64, server: usize, life: u32) {
        let there = &mut self.servers[server];
        if there.life != life {
            return;
        }
        there.busy -= 1;
        there.open.retain(|open| *open != (host, request));
        let halls = self.plan.operator.size().0;
        let far = there.hall != host % halls;
        let way = if far { HALL_US } else { 50 };
        let service = there.service;
        let worker = there.worker.clone();
        if let Some(known) = self.requests.get(&request) {
            let taken = (self.now_us + way - known.sent_us) / 1_000;
            let window = self.windows.entry(worker.clone()).or_insert(LatencyWindow {
                service: ServiceId::from(SERVICES[service]),
                worker,
                count: 0,
                total_ms: 0,
            });
            window.count += 1;
            window.total_ms += taken;
        }
        let end = SimEnd::Answered;
        self.push(self.now_us + way, SimEvent::Ended { host, request, end });
    }

    pub(super) fn end(&mut self, host: usize, request: u64, end: SimEnd) {
        let Some(known) = self.requests.get(&request) else {
            return;
        };
        let end = match end {
            SimEnd::Answered => AttemptEnd::Answered {
                latency_ms: (self.now_us - known.sent_us) / 1_000,
            },
            SimEnd::NotRun => AttemptEnd::NotRun,
            SimEnd::MayHaveRun => AttemptEnd::MayHaveRun,
        };
        let now = self.now_ms();
        let actions = self.hosts[host].handle(now, RouteEvent::Ended { request, end });
        self.act(host, actions);
    }

    fn deliver(&mut self, request: u64) {
        let Some(known) = self.requests.remove(&request) else {
            return;
        };
        if !known.measured {
            return;
        }
        let latency = self.now_us - known.arrived_us;
        self.result
            .latency
            .record(latency)
            .expect("the histogram grows");
        self.result.good += u64::from(latency <= DEADLINE_MS * 1_000);
    }

    fn give_up(&mut self, request: u64, verdict: RunVerdict) {
        let Some(known) = self.requests.remove(&request) else {
            return;
        };
        if known.measured {
            match verdict {
                RunVerdict::NotRun => self.result.refused += 1,
                RunVerdict::Ran | RunVerdict::MayHaveRun => self.result.unknown += 1,
            }
        }
    }
}
