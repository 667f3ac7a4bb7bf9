//! Checks the rules periodically, tracks disturbances, and collects the simulation's report.

use sandshelf_jobs::{JobNote, OrderAnswer, RefusalReason};
use sandshelf_model::Millis;

use super::outcomes::STANDING_SAMPLE_INTERVAL_MS;
use super::{EmulatedWorld, CHECK_INTERVAL_MS, WARM_UP_MS};
use crate::deployment::Deployment;
use crate::oracle::HostObservation;
use crate::outcomes::StandingTime;
use crate::queue::{Micros, MS};
use crate::report::{HostOutage, OwnerSecond, OwnerTakeover, SimulationReport};

/// How often the owner's stats are recorded.
const OWNER_STATS_INTERVAL_MS: Millis = 1_000;
/// How often serving jobs are counted.
const SERVING_COUNT_INTERVAL_MS: Millis = 2_000;
/// During a burst of traffic, a host whose incoming packets queue for longer than this counts as disturbed.
const CONGESTED_QUEUE_MS: Millis = 500;
/// How long a congested host counts as disturbed.
const CONGESTION_DISTURBS_US: Micros = 5_000 * MS;

/// Until when parts of the platform are disturbed, and the report that is being collected.
#[derive(Debug)]
pub(super) struct SimulationMonitor {
    /// For each host, whether it is down, and until when it counts as disturbed.
    hosts: Vec<(bool, Micros)>,
    /// Until when the store is disturbed.
    store_until: Micros,
    /// Until when anything is disturbed.
    any_until: Micros,
    /// Since when all hosts have been lost; `None` again once all of them are back.
    all_lost: Option<Micros>,
    pub(super) report: SimulationReport,
    /// The time of the standing tasks during the traffic, by class.
    pub(super) standing_times: Vec<StandingTime>,
    last_used: Vec<Micros>,
    last_carried: Vec<u64>,
}

impl SimulationMonitor {
    pub(super) fn new(deployment: &Deployment) -> Self {
        let count = deployment.hosts.len();
        Self {
            hosts: vec![(true, 0); count],
            store_until: 0,
            any_until: 0,
            all_lost: None,
            report: SimulationReport {
                contact_ms: deployment.bounds.contact_ms,
                ..SimulationReport::default()
            },
            standing_times: Vec::new(),
            last_used: vec![0; count],
            last_carried: vec![0; count],
        }
    }

    pub(super) fn host_lost(&mut self, now: Micros, host: usize) {
        self.hosts[host].0 = true;
        self.any_until = self.any_until.max(now);
        if self.hosts.iter().all(|(lost, _)| *lost) {
            self.all_lost = Some(now);
            self.report.outages.push(HostOutage {
                lost_ms: now / MS,
                back_ms: None,
            });
        }
    }

    pub(super) fn host_back(&mut self, now: Micros, host: usize) {
        self.hosts[host] = (false, now);
        self.any_until = self.any_until.max(now);
        if self.all_lost.is_some() {
            if let Some(outage) = self.report.outages.last_mut() {
                outage.back_ms = Some(now / MS);
            }
            if self.hosts.iter().all(|(lost, _)| !lost) {
                self.all_lost = None;
            }
        }
    }

    /// Records that a host is lost permanently: its return is not waited for.
    pub(super) fn host_removed(&mut self, now: Micros, host: usize) {
        self.hosts[host].0 = true;
        self.any_until = self.any_until.max(now);
    }

    pub(super) fn disturb_host(&mut self, host: usize, until: Micros) {
        let known = &mut self.hosts[host].1;
        *known = until.max(*known);
        self.any_until = self.any_until.max(until);
    }

    pub(super) fn disturb_store(&mut self, until: Micros) {
        self.store_until = self.store_until.max(until);
        self.any_until = self.any_until.max(until);
    }

    pub(super) fn disturb_workers(&mut self, until: Micros) {
        self.any_until = self.any_until.max(until);
    }

    /// Since when a host and the store have been free of disturbances; `None` while the host is down.
    fn calm_since(&self, host: usize) -> Option<Micros> {
        let (lost, until) = self.hosts[host];
        (!lost).then_some(until.max(self.store_until))
    }

    /// Whether there has been no disturbance for `contact_ms`, as rules with a time limit require.
    pub(super) fn in_touch(&self, now: Micros) -> bool {
        now >= self.any_until + self.report.contact_ms * MS
    }

    /// Records that a new owner has read the state that it takes over.
    pub(super) fn record_takeover(
        &mut self,
        now: Micros,
        host: usize,
        epoch: u64,
        took_ms: Millis,
    ) {
        self.report.takeovers.push(OwnerTakeover {
            epoch,
            host,
            owned_ms: (now / MS) as i64 - WARM_UP_MS as i64,
            took_ms,
            waited_ms: None,
        });
    }

    pub(super) fn note(&mut self, note: &JobNote) {
        let report = &mut self.report;
        match note {
            JobNote::Placed { .. } => report.placed += 1,
            JobNote::StartRefused { answer, .. } => match answer {
                OrderAnswer::Refused(_, RefusalReason::Late) => report.refused_late += 1,
                OrderAnswer::Refused(_, RefusalReason::NoRoom) => report.refused_room += 1,
                OrderAnswer::Unknown => report.unanswered += 1,
                _ => report.refused_other += 1,
            },
            JobNote::WorkerSilent(_) => report.silent += 1,
            JobNote::Paced(..) => report.paced += 1,
            JobNote::Stopped { cause, .. } => {
                *report.stops.entry(format!("{cause:?}")).or_default() += 1;
            }
            JobNote::TakeoverOver { waited_ms, .. } => {
                if let Some(takeover) = report.takeovers.last_mut() {
                    takeover.waited_ms = Some(*waited_ms);
                }
            }
            _ => {}
        }
    }
}

impl EmulatedWorld {
    pub(super) fn check_rules(&mut self) {
        let now = self.now / MS;
        let calm_since = self.monitor.any_until / MS;
        let store_answers = self.now >= self.store.silent_until;
        if store_answers {
            let room = self.fleet.usable_capacity(now.saturating_sub(calm_since));
            self.oracle.check_away_tasks(now, CHECK_INTERVAL_MS, &room);
            // Tasks that a worker in a cut-off hall may be running are started elsewhere only once its lease has expired.
            if self.halls_in_touch() {
                self.oracle.check_idle_jobs(now, CHECK_INTERVAL_MS, &room);
            }
        }
        if self.deployment.limits_missing_tasks() {
            let at_work = self.fleet.standing_at_work(self.now);
            self.oracle.note_at_work(CHECK_INTERVAL_MS, &at_work);
        }
        let contact_ms = self.deployment.bounds.contact_ms;
        self.oracle.check_late_stops(now, calm_since + contact_ms);
        self.check_hosts();
        if now.is_multiple_of(OWNER_STATS_INTERVAL_MS) {
            self.record_owner_stats();
        }
        let tails = self.fleet.serving_tails(self.now, &self.interference);
        self.oracle.check_serving(now, CHECK_INTERVAL_MS, &tails);
        let in_traffic = now >= WARM_UP_MS && self.now < self.traffic_until;
        if in_traffic && now.is_multiple_of(SERVING_COUNT_INTERVAL_MS) {
            self.count_serving();
        }
        if in_traffic && now.is_multiple_of(STANDING_SAMPLE_INTERVAL_MS) {
            self.sample_standing(&tails);
        }
    }

    /// Whether no hall has been cut off for `contact_ms`, as rules with a time limit require.
    fn halls_in_touch(&self) -> bool {
        let contact = self.deployment.bounds.contact_ms * MS;
        let cut_until = self.halls.cut_until();
        cut_until.is_none_or(|until| self.now >= until + contact)
    }

    fn check_hosts(&mut self) {
        let bursts = self.bursts.iter();
        let burst_until = bursts.map(|burst| burst.until).max().unwrap_or(0);
        for index in 0..self.hosts.len() {
            let host = &self.hosts[index];
            if self.now < burst_until && host.downlink.queue_ms(self.now) > CONGESTED_QUEUE_MS {
                let until = self.now + CONGESTION_DISTURBS_US;
                self.monitor.hosts[index].1 = self.monitor.hosts[index].1.max(until);
            }
            let calm_since = self.monitor.calm_since(index);
            let observation = HostObservation {
                incarnation: host.incarnation,
                version: host.config_version(),
                calm_since: calm_since.filter(|_| host.up).map(|since| since / MS),
            };
            let now = self.now / MS;
            self.host_oracle
                .check_host(now, index, &observation, 0, &mut self.oracle);
        }
    }

    fn record_owner_stats(&mut self) {
        let now = self.now;
        let owners = (0..self.hosts.len()).filter_map(|host| {
            let stats = self.hosts[host].owner_stats(now)?;
            Some((stats.epoch, host, stats.counts))
        });
        if let Some((epoch, host, counts)) = owners.max_by_key(|(epoch, ..)| *epoch) {
            let owner = &self.hosts[host];
            let used = owner
                .processor
                .used
                .saturating_sub(self.monitor.last_used[host]);
            let carried = owner
                .downlink
                .carried
                .saturating_sub(self.monitor.last_carried[host]);
            self.monitor.report.seconds.push(OwnerSecond {
                second: (now / MS) as i64 / 1_000 - WARM_UP_MS as i64 / 1_000,
                host,
                epoch,
                processor_millis: used / 1_000,
                read_kbit: carried * 8 / 1_000,
                wait_ms: owner.processor.free_at().saturating_sub(now) / MS,
                counts,
            });
        }
        for (index, host) in self.hosts.iter().enumerate() {
            self.monitor.last_used[index] = host.processor.used;
            self.monitor.last_carried[index] = host.downlink.carried;
        }
    }

    /// Runs the checks that need the whole simulation.
    pub(super) fn finish(&mut self) {
        self.count_served();
        self.check_refusals();
        let until = self.traffic_until / MS;
        for outage in &self.monitor.report.outages {
            if let Some(back) = outage.back_ms {
                let (oracle, lost) = (&mut self.oracle, outage.lost_ms);
                self.host_oracle.check_recovery(until, lost, back, oracle);
            }
        }
    }

    /// The report of the simulation.
    pub fn report(&self) -> SimulationReport {
        let mut report = self.monitor.report.clone();
        report.hosts = self
            .hosts
            .iter()
            .map(|host| {
                (
                    host.processor.used,
                    host.downlink.carried,
                    host.uplink.carried,
                )
            })
            .collect();
        report.simulated_s = self.now / MS / 1_000;
        report.served_percent = self.host_oracle.served_percent(0, self.now / MS);
        report.longest_away_ms = self.oracle.longest_away;
        report.longest_over_target_ms = self.oracle.longest_over_target;
        report.longest_idle_ms = self.oracle.longest_idle;
        report.longest_config_ms = self.host_oracle.longest_config;
        report.longest_stop_ms = self.oracle.longest_stop;
        report.starts = self.oracle.starts;
        report.copies = self.oracle.copies;
        report.broken = self.oracle.broken.clone();
        report.classes = self.class_outcomes();
        report.scheduler_steps = self
            .hosts
            .iter()
            .flat_map(|host| host.meter.steps.clone())
            .collect();
        report
    }
}
