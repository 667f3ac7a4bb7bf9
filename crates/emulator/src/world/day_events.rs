//! Applies a day's planned events: faults, configuration changes and bursts of traffic.

use rand::seq::SliceRandom;
use rand::RngExt;
use sandshelf_model::Millis;

use super::callers::TrafficBurst;
use super::cuts::CutManner;
use super::{EmulatedWorld, WorldEvent};
use crate::day::{CutDirection, DayEvent, HallChoice, HostChoice};
use crate::deployment::STRONG_HOST;
use crate::host::WorkItem;
use crate::queue::{Micros, MS};
use crate::worker::RunProgress;

impl EmulatedWorld {
    pub(super) fn apply_day_event(&mut self, event: DayEvent) {
        let until = |ms: Millis| self.now + ms * MS;
        match event {
            DayEvent::Kill(choice, down_ms) | DayEvent::PowerOff(choice, down_ms) => {
                self.kill_hosts(choice, down_ms);
            }
            DayEvent::Remove(choice) => self.remove_hosts(choice),
            DayEvent::Freeze(choice, for_ms) => {
                let until = until(for_ms);
                for host in self.select_hosts(choice) {
                    self.hosts[host].processor.block_until(until);
                    self.monitor.disturb_host(host, until);
                }
            }
            DayEvent::SlowHosts(choice, times, for_ms) => {
                let until = until(for_ms);
                for host in self.select_hosts(choice) {
                    self.hosts[host].processor.slow_down(times, until);
                    self.monitor.disturb_host(host, until);
                }
            }
            DayEvent::SilentConnections(choice) => {
                for host in self.select_hosts(choice) {
                    self.silence_host(host);
                }
            }
            DayEvent::CutHall(choice, direction, for_ms) => {
                self.cut_hall(choice, direction, for_ms)
            }
            DayEvent::StoreSilent(for_ms) => {
                self.store.silent_until = until(for_ms);
                self.monitor.disturb_store(until(for_ms));
            }
            DayEvent::StoreSlow(times, for_ms) => {
                self.store.slow = (until(for_ms), times);
                self.monitor.disturb_store(until(for_ms));
            }
            DayEvent::Configure(more) => {
                let routes = self.store.config().routes + more;
                let version = self.store.configure(routes);
                self.host_oracle.configured(self.now / MS, version);
                self.answer_feeds();
            }
            DayEvent::Burst(class, percent, for_ms) => {
                self.bursts.push(TrafficBurst {
                    class,
                    percent,
                    until: until(for_ms),
                });
            }
            DayEvent::LateOrders(of_thousand, for_ms) => {
                self.late_orders = (until(for_ms), of_thousand);
                self.monitor.disturb_workers(until(for_ms));
            }
            DayEvent::FailingImages(count, for_ms) => {
                self.catalog.failing_images = (0..count).collect();
                self.queue.push(until(for_ms), WorldEvent::ImagesRecover);
            }
            DayEvent::RacksCrash(racks, down_ms) => self.kill_racks(racks, down_ms),
            DayEvent::WorkersRestart(percent, down_ms) => self.restart_workers(percent, down_ms),
            DayEvent::HallWorkersRestart(hall, down_ms) => {
                for place in self.halls.workers_of(hall) {
                    self.take_worker_down(place, down_ms);
                }
                self.monitor.disturb_workers(self.now);
            }
            DayEvent::OutlivingCalls(of_thousand, for_ms) => {
                self.outliving_calls = (until(for_ms), of_thousand);
            }
            DayEvent::ScaleIn(count) => {
                for place in self.draw_workers(count) {
                    self.drain_worker(place);
                }
            }
            DayEvent::WorkersLost(percent) => {
                for place in self.draw_workers(self.fleet.count() * percent / 100) {
                    self.lose_worker(place, false);
                }
                self.monitor.disturb_workers(self.now);
            }
            DayEvent::WorkersReclaimed(percent, notice_ms) => {
                for place in self.draw_workers(self.fleet.count() * percent / 100) {
                    self.drain_worker_for(place, notice_ms);
                }
            }
            DayEvent::RunsHindered(of_thousand, progress, for_ms) => {
                self.hinder_runs(of_thousand, progress, for_ms);
            }
            DayEvent::StoreRefuses(choice, for_ms) => {
                let until = until(for_ms);
                for host in self.select_hosts(choice) {
                    self.store.refuse_host(host, until);
                    self.monitor.disturb_host(host, until);
                }
            }
            DayEvent::WorkersHang(count, for_ms) => {
                self.monitor.disturb_workers(until(for_ms));
                for place in self.draw_workers(count) {
                    self.hang_worker(place, for_ms);
                }
            }
            DayEvent::WorkersCut(percent, for_ms) => {
                self.cut_workers(percent, CutManner::Silent, for_ms);
            }
            DayEvent::HallWorkersCut(hall, for_ms) => {
                for place in self.halls.workers_of(hall) {
                    self.cut_worker(place, CutManner::Silent, for_ms);
                }
            }
            DayEvent::WorkersRefuse(percent, for_ms) => {
                self.cut_workers(percent, CutManner::Refusing, for_ms);
            }
            DayEvent::CutAfterTakeover(percent, for_ms) => self.arm_cuts(percent, for_ms),
            DayEvent::EntriesLapse(percent, for_ms) => self.lapse_entries(percent, for_ms),
        }
    }

    /// The running hosts that a choice selects, in order.
    fn select_hosts(&mut self, choice: HostChoice) -> Vec<usize> {
        let mut running: Vec<usize> = (0..self.hosts.len())
            .filter(|host| self.hosts[*host].up)
            .collect();
        match choice {
            HostChoice::All => {}
            HostChoice::Owner => {
                let owner = self.store.owner_name().unwrap_or_default();
                let (owner, _) = owner.rsplit_once('.').unwrap_or_default();
                running.retain(|host| self.hosts[*host].name == owner);
            }
            HostChoice::Strong => {
                let strong = STRONG_HOST.processor_millis;
                running.retain(|host| self.hosts[*host].model.processor_millis >= strong);
            }
            HostChoice::Percent(percent) => {
                let count = (running.len() * percent).div_ceil(100);
                running.shuffle(&mut self.random);
                running.truncate(count);
                running.sort_unstable();
            }
        }
        running
    }

    fn cut_hall(&mut self, choice: HallChoice, direction: CutDirection, for_ms: Millis) {
        let until = self.now + for_ms * MS;
        let hall = match choice {
            HallChoice::Number(hall) => Some(hall),
            HallChoice::Owner => {
                let owners = self.select_hosts(HostChoice::Owner);
                owners.first().map(|owner| self.halls.hall_of_host(*owner))
            }
        };
        let Some(hall) = hall else {
            return;
        };
        self.halls.cut(hall, direction, until);
        self.monitor.disturb_workers(until);
        for host in 0..self.hosts.len() {
            if self.halls.hall_of_host(host) == hall {
                self.monitor.disturb_host(host, until);
            }
        }
    }

    fn kill_hosts(&mut self, choice: HostChoice, down_ms: Millis) {
        for host in self.select_hosts(choice) {
            self.end_process(host);
            self.monitor.host_lost(self.now, host);
            let at: Micros = self.now + down_ms * MS;
            self.queue.push(at, WorldEvent::HostStarts(host));
        }
        self.parked.retain(|(incarnation, ..)| {
            self.hosts[incarnation.host].incarnation == incarnation.number
        });
    }

    /// Kills a host's process. If it owned the shard, the hosts that were connected to it find its address closed, unless the
    /// machine lost power with it: of the moments at which hosts are killed, each second one is such.
    fn end_process(&mut self, host: usize) {
        let epoch = self.hosts[host].owner_epoch();
        let incarnation = self.incarnation_of(host);
        let powered = (self.now / MS).is_multiple_of(2);
        if let Some(epoch) = epoch.filter(|_| powered) {
            self.tell_hosts(incarnation, || WorkItem::OwnerEnded(epoch));
        }
        self.hosts[host].kill();
    }

    fn remove_hosts(&mut self, choice: HostChoice) {
        for host in self.select_hosts(choice) {
            self.hosts[host].kill();
            self.monitor.host_removed(self.now, host);
        }
    }

    /// Makes a host's open connections silent: calls that wait at its peers are never answered.
    fn silence_host(&mut self, host: usize) {
        let incarnation = self.incarnation_of(host);
        self.monitor.disturb_host(host, self.now);
        let lost_calls = self.hosts[host].silence_connections(self.now);
        self.parked
            .retain(|(from, call, _)| *from != incarnation || !lost_calls.contains(call));
        self.fleet.drop_renewals(incarnation);
    }

    fn kill_racks(&mut self, racks: usize, down_ms: Millis) {
        let size = self.fleet.rack_size();
        let mut all: Vec<usize> = (0..self.fleet.count().div_ceil(size)).collect();
        all.shuffle(&mut self.random);
        for rack in &all[..racks.min(all.len())] {
            for place in rack * size..((rack + 1) * size).min(self.fleet.count()) {
                self.lose_worker(place, false);
                let at = self.now + down_ms * MS;
                self.queue.push(at, WorldEvent::WorkerReplaced(place));
            }
        }
        self.monitor.disturb_workers(self.now);
    }

    /// Takes a share of the workers down; each restarts under its name after between `down_ms / 2` and `down_ms`.
    ///
    /// Connections to places with an even number are refused meanwhile; calls to the others get no answer.
    fn restart_workers(&mut self, percent: usize, down_ms: Millis) {
        let count = self.fleet.count() * percent / 100;
        for place in self.draw_workers(count) {
            self.take_worker_down(place, down_ms);
        }
        self.monitor.disturb_workers(self.now);
    }

    fn take_worker_down(&mut self, place: usize, down_ms: Millis) {
        self.lose_worker(place, place.is_multiple_of(2));
        let down = self.random.random_range(down_ms / 2..=down_ms);
        let at = self.now + down * MS;
        self.queue.push(at, WorldEvent::WorkerRestarts(place));
    }

    /// Changes the progress of runs on a share of the workers, which is chosen at random the first time.
    fn hinder_runs(&mut self, of_thousand: usize, progress: RunProgress, for_ms: Millis) {
        if self.hindered.is_empty() {
            self.hindered = self.draw_workers(self.fleet.count() * of_thousand / 1_000);
        }
        for place in self.hindered.clone() {
            self.hinder_worker(place, progress, for_ms);
        }
    }

    pub(super) fn draw_workers(&mut self, count: usize) -> Vec<usize> {
        let mut places: Vec<usize> = (0..self.fleet.count()).collect();
        places.shuffle(&mut self.random);
        places.truncate(count);
        places.sort_unstable();
        places
    }
}
