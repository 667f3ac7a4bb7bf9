//! Applies the scenario's faults and jobs during a run, and updates slowdowns, their samples and urgent jobs.

use sandshelf_config::UrgencyLevel;
use sandshelf_model::{JobId, Millis, ServerId, WorkerId};
use sandshelf_place::{LoadBand, SlowdownSample};
use sandshelf_route::{MembershipView, RouteEvent};

use super::{
    family_of, host_id, server_id, server_number, FleetSim, SimEnd, SimEvent, SimServer,
    BASE_TASK_MS, ENTRY_HOSTS, LATENCY_WINDOW_MS, LOSS_LISTING_DELAY_MS, SAMPLE_DELAY_MS,
    SLOTS_PER_SERVER, TASK_MS_STEP, TICK_MS, WARM_UP_FRACTION,
};
use crate::batch::job_spec;
use crate::ground_truth::{true_slowdown, FAMILIES};
use crate::scenario::ScenarioKind;

impl FleetSim {
    /// Declares the batch backlog at the start of the run, and starts the measurement after the warm-up.
    pub(super) fn update_phase(&mut self, now: Millis) {
        if now < TICK_MS {
            let cpu = self.plan.operator.task_cpu_millis();
            let tasks = (self.servers.len() * 40) as u32;
            for (number, family) in FAMILIES.iter().enumerate() {
                let run_ms = BASE_TASK_MS + number as u64 * TASK_MS_STEP;
                let spec = job_spec(&format!("{family}-backlog"), family, tasks, cpu, run_ms);
                self.batch.declare_job(now, spec);
            }
            let percent = self.plan.scenario.usage_percent();
            for worker in self.batch.workers.values_mut() {
                worker.usage_cpu_millis = Some(cpu * percent / 100);
            }
        }
        if !self.warmed_up && self.elapsed_fraction() >= WARM_UP_FRACTION {
            self.warmed_up = true;
            self.warm_up_progress_ms = self.batch.total_progress_ms();
            self.warm_up_evictions = self.batch.evictions;
            self.warm_up_wasted_ms = self.batch.total_wasted_ms();
        }
    }

    /// Applies the scenario's one-time event halfway through the run, switches the store off and on,
    /// and lists failed workers as gone after the listing delay.
    pub(super) fn apply_scenario(&mut self, now: Millis) {
        if self.loss_listed_at.is_some_and(|at| now >= at) {
            self.loss_listed_at = None;
            self.batch.list_workers(now);
            self.report_gone_servers(now);
        }
        let elapsed = self.elapsed_fraction();
        let scenario = self.plan.scenario;
        if scenario == ScenarioKind::StoreDown {
            self.batch.store_down = (0.5..0.83).contains(&elapsed);
        }
        if self.scenario_applied || elapsed < 0.5 {
            return;
        }
        self.scenario_applied = true;
        match scenario {
            ScenarioKind::RackLost | ScenarioKind::PeakAndRackLost => self
                .fail_servers_where(now, |server| {
                    server.hall == 0 && server_number(&server.worker) / 4 < 8
                }),
            ScenarioKind::HallLost => self.fail_servers_where(now, |server| server.hall == 0),
            ScenarioKind::EntryHostLost => self.fail_entry_host(now),
            ScenarioKind::NoisyWave => {
                let cpu = self.plan.operator.task_cpu_millis();
                let tasks = self.servers.len() as u32;
                let mut wave = job_spec("wave", "noisy", tasks, cpu, BASE_TASK_MS);
                wave.urgency = UrgencyLevel::Urgent;
                self.batch.declare_job(now, wave);
            }
            ScenarioKind::Cancellations => {
                let keep = ["reconcile-backlog", "pack-backlog"];
                self.batch
                    .cancel_jobs_except(now, |spec| keep.contains(&spec.name.as_str()));
            }
            ScenarioKind::BadWorkers => {
                let broken_workers = self.batch.workers.values_mut().take(3);
                broken_workers.for_each(|worker| worker.broken = true);
            }
            _ => {}
        }
    }

    fn fail_servers_where(&mut self, now: Millis, is_lost: impl Fn(&SimServer) -> bool) {
        self.loss_listed_at = Some(now + LOSS_LISTING_DELAY_MS);
        for position in 0..self.servers.len() {
            if !is_lost(&self.servers[position]) {
                continue;
            }
            let server = &mut self.servers[position];
            server.alive = false;
            server.incarnation += 1;
            server.busy_slots = 0;
            let in_flight = std::mem::take(&mut server.in_flight);
            let worker = server.worker.clone();
            self.batch.fail_worker(now, &worker);
            for (host, request) in in_flight {
                let end = SimEnd::MayHaveRun;
                self.push(self.now_us + 20_000, SimEvent::Ended { host, request, end });
            }
        }
    }

    fn report_gone_servers(&mut self, now: Millis) {
        let gone: Vec<ServerId> = (0..self.servers.len())
            .filter(|position| !self.servers[*position].alive)
            .map(server_id)
            .collect();
        for host in 0..ENTRY_HOSTS {
            let event = RouteEvent::ServersGone(gone.clone());
            let actions = self.hosts[host].handle(now, event);
            self.apply_actions(host, actions);
        }
    }

    /// Makes an entry host fail. The other entry hosts see it as gone at once and take over its slots.
    fn fail_entry_host(&mut self, now: Millis) {
        self.host_alive[0] = false;
        let gone = host_id(0);
        for host in 1..ENTRY_HOSTS {
            let event = RouteEvent::HostsGone(vec![gone.clone()]);
            self.hosts[host].handle(now, event);
            let view = MembershipView {
                version: 2,
                members: (1..ENTRY_HOSTS).map(host_id).collect(),
                earlier: Vec::new(),
            };
            self.hosts[host].handle(now, RouteEvent::ViewRead(view));
        }
        for reporter in 1..ENTRY_HOSTS {
            for host in 1..ENTRY_HOSTS {
                let event = RouteEvent::PeerViewReported {
                    host: host_id(reporter),
                    version: 2,
                };
                let actions = self.hosts[host].handle(now, event);
                self.apply_actions(host, actions);
            }
        }
    }

    /// Updates each server's slowdown from its load and from the tasks that actually run on the same worker.
    pub(super) fn update_speeds(&mut self) {
        for server in &mut self.servers {
            server.mean_busy_slots += 0.2 * (f64::from(server.busy_slots) - server.mean_busy_slots);
            let band = LoadBand::of(server.mean_busy_slots / f64::from(SLOTS_PER_SERVER));
            let Some(worker) = self.batch.workers.get(&server.worker) else {
                continue;
            };
            let mut slowdown = 0.0;
            let mut used_cpu_millis = 0;
            for task in worker.running() {
                let family = family_of(&task.attempt.task.job);
                slowdown += true_slowdown(server.service, family, band) * task.speed as f64 / 100.0;
                used_cpu_millis += worker.usage_of(task).cpu_millis;
            }
            let overuse = used_cpu_millis as f64 / worker.capacity.cpu_millis.max(1) as f64 - 1.0;
            server.slowdown = slowdown + 2.0 * overuse.max(0.0);
        }
    }

    /// Computes slowdown samples from the latencies of the last second. The samples are delivered with a delay.
    pub(super) fn sample_slowdowns(&mut self, now: Millis) {
        let windows = std::mem::take(&mut self.windows);
        for (worker, window) in windows {
            let families = self.batch.families_on(&worker);
            let band = LoadBand::of(window.utilisation(LATENCY_WINDOW_MS, SLOTS_PER_SERVER));
            let slowdown = self
                .slowdown_meter
                .slowdown(&window, band, families.is_empty());
            let Some(slowdown) = slowdown else { continue };
            let sample = SlowdownSample {
                service: window.service.clone(),
                families,
                band,
                slowdown,
                stamped_at: now - LATENCY_WINDOW_MS.min(now),
            };
            self.delayed_samples
                .push((now + SAMPLE_DELAY_MS, worker, sample));
        }
    }

    pub(super) fn deliver_due_samples(&mut self, now: Millis) {
        let delayed = std::mem::take(&mut self.delayed_samples);
        let (due, waiting) = delayed
            .into_iter()
            .partition(|(due_at, _, _)| *due_at <= now);
        self.delayed_samples = waiting;
        let due: Vec<(Millis, WorkerId, SlowdownSample)> = due;
        for (_, worker, sample) in due {
            self.batch.report_slowdown(now, &worker, sample);
        }
    }

    pub(super) fn declare_urgent_job(&mut self, now: Millis) {
        self.urgent_count += 1;
        let name = format!("urgent-{}", self.urgent_count);
        let cpu = self.plan.operator.task_cpu_millis();
        let mut spec = job_spec(&name, "urgent", 1, cpu, 500);
        spec.urgency = UrgencyLevel::Urgent;
        self.batch.declare_job(now, spec);
        self.waiting_urgent.push((now, JobId::from(name)));
    }

    /// Records the start delay of urgent jobs that have started since the last tick.
    pub(super) fn check_urgent_starts(&mut self, now: Millis) {
        let (batch, result, warmed_up) = (&self.batch, &mut self.result, self.warmed_up);
        self.waiting_urgent.retain(|(declared_at, job)| {
            if !batch.is_running(job) {
                return true;
            }
            if warmed_up {
                result.urgent_ms = result.urgent_ms.max(now - declared_at);
            }
            false
        });
    }
}
