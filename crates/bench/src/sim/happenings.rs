//! What befalls servers and hosts during a run, and what is watched of it.

use sandshelf_config::UrgencyLevel;
use sandshelf_model::{JobId, Millis, ServerId, WorkerId};
use sandshelf_place::{LoadBand, SlowdownSample};
use sandshelf_route::{MembershipView, RouteEvent};

use super::{
    family_of, host_id, server_id, server_number, FleetSim, SimEnd, SimEvent, SimServer, HOSTS,
    JUDGE_MS, LAG_MS, LIST_LAG_MS, LONGER_MS, SLOTS, TASK_MS, TICK_MS, WARM_UP,
};
use crate::control::job;
use crate::scenario::ScenarioKind;
use crate::truth::{effect, FAMILIES};

impl FleetSim {
    /// Declares the backlog at the start, and starts measuring after the warm-up.
    pub(super) fn begin(&mut self, now: Millis) {
        if now < TICK_MS {
            let cpu = self.plan.operator.task_cpu_millis();
            let tasks = (self.servers.len() * 40) as u32;
            for (number, family) in FAMILIES.iter().enumerate() {
                let run_ms = TASK_MS + number as u64 * LONGER_MS;
                let spec = job(&format!("{family}-backlog"), family, tasks, cpu, run_ms);
                self.batch.declare(now, spec);
            }
            let percent = self.plan.scenario.usage_percent();
            for worker in self.batch.workers.values_mut() {
                worker.usage_cpu_millis = Some(cpu * percent / 100);
            }
        }
        if !self.warm && self.part() >= WARM_UP {
            self.warm = true;
            self.work_before = self.batch.total_progress_ms();
            self.evictions_before = self.batch.evictions;
            self.wasted_before = self.batch.total_wasted_ms();
        }
    }

    pub(super) fn let_things_happen(&mut self, now: Millis) {
        if self.listed_at.is_some_and(|at| now >= at) {
            self.listed_at = None;
            self.batch.list_workers(now);
            self.list_servers(now);
        }
        let part = self.part();
        let scenario = self.plan.scenario;
        if scenario == ScenarioKind::StoreDown {
            self.batch.store_down = (0.5..0.83).contains(&part);
        }
        if self.happened || part < 0.5 {
            return;
        }
        self.happened = true;
        match scenario {
            ScenarioKind::RackLost | ScenarioKind::PeakAndRackLost => self
                .lose_where(now, |server| {
                    server.hall == 0 && server_number(&server.worker) / 4 < 8
                }),
            ScenarioKind::HallLost => self.lose_where(now, |server| server.hall == 0),
            ScenarioKind::EntryHostLost => self.lose_host(now),
            ScenarioKind::NoisyWave => {
                let cpu = self.plan.operator.task_cpu_millis();
                let tasks = self.servers.len() as u32;
                let mut wave = job("wave", "noisy", tasks, cpu, TASK_MS);
                wave.urgency = UrgencyLevel::Urgent;
                self.batch.declare(now, wave);
            }
            ScenarioKind::Cancellations => {
                let keep = ["reconcile-backlog", "pack-backlog"];
                self.batch
                    .cancel(now, |spec| keep.contains(&spec.name.as_str()));
            }
            ScenarioKind::BadWorkers => {
                let bad = self.batch.workers.values_mut().take(3);
                bad.for_each(|worker| worker.broken = true);
            }
            _ => {}
        }
    }

    fn lose_where(&mut self, now: Millis, lost: impl Fn(&SimServer) -> bool) {
        self.listed_at = Some(now + LIST_LAG_MS);
        for position in 0..self.servers.len() {
            if !lost(&self.servers[position]) {
                continue;
            }
            let server = &mut self.servers[position];
            server.alive = false;
            server.life += 1;
            server.busy = 0;
            let open = std::mem::take(&mut server.open);
            let worker = server.worker.clone();
            self.batch.lose(now, &worker);
            for (host, request) in open {
                let end = SimEnd::MayHaveRun;
                self.push(self.now_us + 20_000, SimEvent::Ended { host, request, end });
            }
        }
    }

    fn list_servers(&mut self, now: Millis) {
        let gone: Vec<ServerId> = (0..self.servers.len())
            .filter(|position| !self.servers[*position].alive)
            .map(server_id)
            .collect();
        for host in 0..HOSTS {
            let event = RouteEvent::ServersGone(gone.clone());
            let actions = self.hosts[host].handle(now, event);
            self.act(host, actions);
        }
    }

    /// An entry host dies; the others take over its slots once the platform lists it as gone.
    fn lose_host(&mut self, now: Millis) {
        self.host_alive[0] = false;
        let gone = host_id(0);
        for host in 1..HOSTS {
            let event = RouteEvent::HostsGone(vec![gone.clone()]);
            self.hosts[host].handle(now, event);
            let view = MembershipView {
                version: 2,
                members: (1..HOSTS).map(host_id).collect(),
                earlier: Vec::new(),
            };
            self.hosts[host].handle(now, RouteEvent::ViewRead(view));
        }
        for teller in 1..HOSTS {
            for host in 1..HOSTS {
                let event = RouteEvent::PeerViewReported {
                    host: host_id(teller),
                    version: 2,
                };
                let actions = self.hosts[host].handle(now, event);
                self.act(host, actions);
            }
        }
    }

    /// Brings each server's slowdown up to date from what really runs beside it.
    pub(super) fn update_speeds(&mut self) {
        for server in &mut self.servers {
            server.busy_mean += 0.2 * (f64::from(server.busy) - server.busy_mean);
            let band = LoadBand::of(server.busy_mean / f64::from(SLOTS));
            let Some(worker) = self.batch.workers.get(&server.worker) else {
                continue;
            };
            let mut slowdown = 0.0;
            let mut used = 0;
            for task in worker.running() {
                let family = family_of(&task.attempt.task.job);
                slowdown += effect(server.service, family, band) * task.speed as f64 / 100.0;
                used += worker.usage_of(task).cpu_millis;
            }
            let over = used as f64 / worker.capacity.cpu_millis.max(1) as f64 - 1.0;
            server.slowdown = slowdown + 2.0 * over.max(0.0);
        }
    }

    /// Turns the last second's latencies into measurements, which arrive late.
    pub(super) fn judge(&mut self, now: Millis) {
        let windows = std::mem::take(&mut self.windows);
        for (worker, window) in windows {
            let families = self.batch.families_on(&worker);
            let band = LoadBand::of(window.utilisation(JUDGE_MS, SLOTS));
            let slowdown = self.meter.slowdown(&window, band, families.is_empty());
            let Some(slowdown) = slowdown else { continue };
            let sample = SlowdownSample {
                service: window.service.clone(),
                families,
                band,
                slowdown,
                stamped_at: now - JUDGE_MS.min(now),
            };
            self.late.push((now + LAG_MS, worker, sample));
        }
    }

    pub(super) fn deliver_late(&mut self, now: Millis) {
        let late = std::mem::take(&mut self.late);
        let (due, waiting) = late.into_iter().partition(|(at, _, _)| *at <= now);
        self.late = waiting;
        let due: Vec<(Millis, WorkerId, SlowdownSample)> = due;
        for (_, worker, sample) in due {
            self.batch.measure(now, &worker, sample);
        }
    }

    pub(super) fn declare_urgent(&mut self, now: Millis) {
        self.urgent_count += 1;
        let name = format!("urgent-{}", self.urgent_count);
        let cpu = self.plan.operator.task_cpu_millis();
        let mut spec = job(&name, "urgent", 1, cpu, 500);
        spec.urgency = UrgencyLevel::Urgent;
        self.batch.declare(now, spec);
        self.urgent.push((now, JobId::from(name)));
    }

    pub(super) fn watch_urgent(&mut self, now: Millis) {
        let (batch, result, warm) = (&self.batch, &mut self.result, self.warm);
        self.urgent.retain(|(since, job)| {
            if !batch.runs(job) {
                return true;
            }
            if warm {
                result.urgent_ms = result.urgent_ms.max(now - since);
            }
            false
        });
    }
}
