//! Simulates requests from their arrival at an entry host through backend servers to their end.

use rand::RngExt;
use sandshelf_model::{RunVerdict, ServerId, ServiceId};
use sandshelf_place::LatencyWindow;
use sandshelf_route::{AttemptEnd, RequestInfo, RouteAction, RouteEvent};

use super::{
    server_position, FleetSim, SimEnd, SimEvent, SimRequest, ENTRY_HOSTS, INTER_HALL_US,
    MEAN_SERVICE_US, REQUEST_DEADLINE_MS, SLOTS_PER_SERVER,
};
use crate::ground_truth::{service_time_factor, SERVICES};

impl FleetSim {
    pub(super) fn handle_arrival(&mut self) {
        let slots = self.servers.len() as f64 * f64::from(SLOTS_PER_SERVER);
        let load = self.plan.scenario.load(self.elapsed_fraction());
        let mean_gap_us = MEAN_SERVICE_US / (slots * load);
        let draw: f64 = self.rng.random_range(1e-9..1.0);
        let gap_us = (-draw.ln() * mean_gap_us).max(1.0) as u64;
        self.push(self.now_us + gap_us, SimEvent::Arrival);
        let alive: Vec<usize> = (0..ENTRY_HOSTS)
            .filter(|host| self.host_alive[*host])
            .collect();
        let host = alive[self.rng.random_range(0..alive.len())];
        let service = SERVICES[self.rng.random_range(0..SERVICES.len())];
        self.next_request += 1;
        let number = self.next_request;
        let now = self.now_ms();
        let measured = self.warmed_up;
        self.result.arrived += u64::from(measured);
        self.requests.insert(
            number,
            SimRequest {
                arrived_us: self.now_us,
                sent_us: self.now_us,
                measured,
            },
        );
        let info = RequestInfo::plain(number, service, now + REQUEST_DEADLINE_MS);
        let actions = self.hosts[host].handle(now, RouteEvent::Arrived(info));
        self.apply_actions(host, actions);
    }

    pub(super) fn apply_actions(&mut self, host: usize, actions: Vec<RouteAction>) {
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
        let halls = self.plan.operator.halls_and_workers().0;
        let crosses_halls = self.servers[position].hall != host % halls;
        let latency_us = if crosses_halls { INTER_HALL_US } else { 50 };
        if let Some(sim_request) = self.requests.get_mut(&request) {
            sim_request.sent_us = self.now_us;
        }
        let event = SimEvent::ServerStart {
            host,
            request,
            server: position,
        };
        self.push(self.now_us + latency_us, event);
    }

    pub(super) fn handle_server_start(&mut self, host: usize, request: u64, server: usize) {
        if !self.servers[server].alive {
            // The connection is not accepted, so the request was not sent.
            let end = SimEnd::NotRun;
            self.push(self.now_us + 5_000, SimEvent::Ended { host, request, end });
            return;
        }
        let factor = service_time_factor(&mut self.rng);
        let slowdown_factor = 1.0 + self.servers[server].slowdown;
        let duration_us = (MEAN_SERVICE_US * factor * slowdown_factor) as u64;
        let target = &mut self.servers[server];
        target.busy_slots += 1;
        target.in_flight.push((host, request));
        let incarnation = target.incarnation;
        let event = SimEvent::ServerDone {
            host,
            request,
            server,
            incarnation,
        };
        self.push(self.now_us + duration_us, event);
    }

    pub(super) fn handle_server_done(
        &mut self,
        host: usize,
        request: u64,
        server: usize,
        incarnation: u32,
    ) {
        let target = &mut self.servers[server];
        if target.incarnation != incarnation {
            return;
        }
        target.busy_slots -= 1;
        target
            .in_flight
            .retain(|attempt| *attempt != (host, request));
        let halls = self.plan.operator.halls_and_workers().0;
        let crosses_halls = target.hall != host % halls;
        let latency_us = if crosses_halls { INTER_HALL_US } else { 50 };
        let service = target.service;
        let worker = target.worker.clone();
        if let Some(sim_request) = self.requests.get(&request) {
            let latency_ms = (self.now_us + latency_us - sim_request.sent_us) / 1_000;
            let window = self.windows.entry(worker.clone()).or_insert(LatencyWindow {
                service: ServiceId::from(SERVICES[service]),
                worker,
                count: 0,
                total_ms: 0,
            });
            window.count += 1;
            window.total_ms += latency_ms;
        }
        let end = SimEnd::Answered;
        self.push(
            self.now_us + latency_us,
            SimEvent::Ended { host, request, end },
        );
    }

    pub(super) fn handle_attempt_end(&mut self, host: usize, request: u64, end: SimEnd) {
        let Some(sim_request) = self.requests.get(&request) else {
            return;
        };
        let end = match end {
            SimEnd::Answered => AttemptEnd::Answered {
                latency_ms: (self.now_us - sim_request.sent_us) / 1_000,
            },
            SimEnd::NotRun => AttemptEnd::NotRun,
            SimEnd::MayHaveRun => AttemptEnd::MayHaveRun,
        };
        let now = self.now_ms();
        let actions = self.hosts[host].handle(now, RouteEvent::Ended { request, end });
        self.apply_actions(host, actions);
    }

    fn deliver(&mut self, request: u64) {
        let Some(sim_request) = self.requests.remove(&request) else {
            return;
        };
        if !sim_request.measured {
            return;
        }
        let latency_us = self.now_us - sim_request.arrived_us;
        self.result
            .latency
            .record(latency_us)
            .expect("the histogram resizes automatically");
        self.result.within_deadline += u64::from(latency_us <= REQUEST_DEADLINE_MS * 1_000);
    }

    fn give_up(&mut self, request: u64, verdict: RunVerdict) {
        let Some(sim_request) = self.requests.remove(&request) else {
            return;
        };
        if sim_request.measured {
            match verdict {
                RunVerdict::NotRun => self.result.not_run += 1,
                RunVerdict::Ran | RunVerdict::MayHaveRun => self.result.may_have_run += 1,
            }
        }
    }
}
