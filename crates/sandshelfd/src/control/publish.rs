//! What the control thread publishes: the traffic view, the host's status, the shards' free capacity, and the
//! slowdowns measured from latencies.

use std::collections::{BTreeMap, HashMap};

use sandshelf_lease::{LeaseStage, ShardEvent, ShardOwner, ShardRoom};
use sandshelf_model::{Millis, ServiceId, ShardId, WorkerId};
use sandshelf_place::{LatencyWindow, LoadBand, SlowdownSample};
use sandshelf_platform::{HostKind, HostState};
use sandshelf_route::ServerState;

use super::{ControlState, LATENCY_WINDOW_MS};
use crate::meters;
use crate::status::{
    HostStatus, JobStatus, QuotaStatus, RequestStatus, ServerStatus, ShardStatus, StageCount,
    WorkerStatus,
};
use crate::traffic::{LatencySample, TrafficView};

impl ControlState {
    /// Publishes the configuration in force and the backend servers' addresses to the traffic threads.
    pub(super) fn publish_view(&self) {
        let mut servers = HashMap::new();
        for host in &self.list.hosts {
            if let HostKind::Backend { worker, .. } = &host.kind {
                if host.state != HostState::Gone {
                    servers.insert(host.server_id(), (host.address, worker.clone()));
                }
            }
        }
        self.traffic.publish(TrafficView {
            set: self.config.set().cloned(),
            servers,
        });
    }

    pub(super) fn note_latency(&mut self, sample: &LatencySample) {
        let key = (sample.service.clone(), sample.worker.clone());
        let window = self.windows.entry(key).or_insert_with(|| LatencyWindow {
            service: sample.service.clone(),
            worker: sample.worker.clone(),
            count: 0,
            total_ms: 0,
        });
        window.count += 1;
        window.total_ms += sample.latency_ms;
    }

    /// Measures slowdowns from the last latency window on the workers whose shards this host owns.
    ///
    /// The windows of this host and those received from other entry hosts are summed by service and worker.
    pub(super) fn measure_slowdowns(&mut self, now: Millis) {
        self.windows_sent_to.clear();
        self.last_windows = self.windows.drain().map(|(_, window)| window).collect();
        let mut sums: BTreeMap<(ServiceId, WorkerId), LatencyWindow> = BTreeMap::new();
        let all = self.peer_windows.values().flatten();
        for window in all.chain(&self.last_windows) {
            let key = (window.service.clone(), window.worker.clone());
            let sum = sums.entry(key).or_insert_with(|| LatencyWindow {
                count: 0,
                total_ms: 0,
                ..window.clone()
            });
            sum.count += window.count;
            sum.total_ms += window.total_ms;
        }
        self.peer_windows.clear();
        for window in sums.values() {
            self.measure_slowdown(now, window);
        }
    }

    fn measure_slowdown(&mut self, now: Millis, window: &LatencyWindow) {
        let owner = self
            .owners
            .values()
            .find(|owner| owner.session(&window.worker).is_some());
        let Some(owner) = owner else { return };
        let shard = owner.shard().clone();
        let mut families: BTreeMap<String, u32> = BTreeMap::new();
        for reservation in owner.pool().reservations(&window.worker) {
            *families.entry(reservation.family.clone()).or_default() += 1;
        }
        let slots = self.config.set().map_or(1, |set| set.backends.slots);
        let band = LoadBand::of(window.utilisation(LATENCY_WINDOW_MS, slots));
        let slowdown = self.meter.slowdown(window, band, families.is_empty());
        let Some(slowdown) = slowdown else { return };
        let sample = SlowdownSample {
            service: window.service.clone(),
            families: families.into_iter().collect(),
            band,
            slowdown,
            stamped_at: now.saturating_sub(LATENCY_WINDOW_MS),
        };
        let event = ShardEvent::SlowdownMeasured {
            worker: window.worker.clone(),
            sample,
        };
        self.feed(now, &shard, event);
    }

    /// Sends the free capacity of all known shards to every shard owner.
    pub(super) fn share_rooms(&mut self, now: Millis) {
        for owner in self.owners.values() {
            if *owner.stage() == LeaseStage::Holding {
                self.rooms.insert(owner.shard().clone(), owner.room());
            }
        }
        let rooms: Vec<ShardRoom> = self.rooms.values().cloned().collect();
        let shards: Vec<ShardId> = self.owners.keys().cloned().collect();
        for shard in shards {
            self.feed(now, &shard, ShardEvent::RoomReceived(rooms.clone()));
        }
    }

    fn is_ready(&self) -> bool {
        self.config.set().is_some()
            && self.traffic.router.inspect(|core| core.view_version()) > 0
            && self.stopping_since.is_none()
    }

    pub(super) fn publish_status(&self, now: Millis) {
        let owned: Vec<&ShardOwner> = self
            .owners
            .values()
            .filter(|owner| *owner.stage() == LeaseStage::Holding)
            .collect();
        let waiting = owned.iter().map(|owner| owner.waiting_count()).sum();
        let placed = owned.iter().map(|owner| owner.state().placed_count()).sum();
        meters::show_shards(owned.len(), waiting, placed);
        let head = self.config.head();
        self.operator.publish(HostStatus {
            host: self.entry.host.to_string(),
            hall: self.entry.hall.to_string(),
            ready: self.is_ready(),
            stopping: self.stopping_since.is_some(),
            revision: head.revision,
            digest: head.digest.clone(),
            view_version: self.traffic.router.inspect(|core| core.view_version()),
            members: self
                .view
                .1
                .members
                .iter()
                .map(ToString::to_string)
                .collect(),
            shards: owned.iter().map(|owner| shard_status(owner, now)).collect(),
            requests: self.request_status(),
            servers: self.server_status(),
        });
    }

    fn request_status(&self) -> RequestStatus {
        self.traffic.router.inspect(|core| {
            let counts = core.counts();
            RequestStatus {
                arrived: counts.arrived,
                delivered: counts.delivered,
                refused: counts.refused,
                unknown: counts.unknown,
                retries: counts.retries,
                in_flight: core.in_flight(),
                waiting: core.waiting(),
            }
        })
    }

    fn server_status(&self) -> Vec<ServerStatus> {
        let mut servers: Vec<ServerStatus> = self.traffic.router.inspect(|core| {
            let loads = core.fleet().servers();
            loads
                .map(|load| ServerStatus {
                    server: load.entry.server.to_string(),
                    service: load.entry.service.to_string(),
                    leaving: load.entry.state == ServerState::Leaving,
                    share: load.share,
                    in_flight: load.in_flight,
                    latency_ms: load.latency_ms,
                })
                .collect()
        });
        servers.sort_by(|a, b| a.server.cmp(&b.server));
        servers
    }
}

fn shard_status(owner: &ShardOwner, now: Millis) -> ShardStatus {
    let workers = owner.pool().workers().map(|worker| WorkerStatus {
        worker: worker.to_string(),
        fenced: owner.session(worker).is_some_and(|session| session.fenced),
        leaving: owner.session(worker).is_some_and(|session| session.leaving),
        free: owner.pool().free(worker).unwrap_or_default(),
        attempts: owner
            .pool()
            .reservations(worker)
            .iter()
            .map(|reservation| reservation.attempt.to_string())
            .collect(),
    });
    ShardStatus {
        shard: owner.shard().to_string(),
        epoch: owner.epoch(),
        valid: owner.is_owner(now),
        waiting: owner.waiting_count(),
        placed: owner.state().placed_count(),
        stats: owner.state().stats,
        counts: *owner.counts(),
        quotas: quota_statuses(owner),
        workers: workers.collect(),
        jobs: job_statuses(owner),
    }
}

fn quota_statuses(owner: &ShardOwner) -> Vec<QuotaStatus> {
    let quotas = owner.quotas();
    let teams = quotas.teams().into_iter();
    teams
        .map(|team| QuotaStatus {
            slice: quotas.slice(&team).copied().unwrap_or_default(),
            held: quotas.held(&team),
            team: team.to_string(),
        })
        .collect()
}

fn job_statuses(owner: &ShardOwner) -> Vec<JobStatus> {
    let jobs = owner.state().jobs.iter();
    jobs.map(|(job, job_state)| {
        let mut stages: BTreeMap<&str, usize> = BTreeMap::new();
        for task_state in job_state.tasks.values() {
            *stages.entry(task_state.stage.label()).or_default() += 1;
        }
        JobStatus {
            job: job.to_string(),
            team: job_state.spec.team.to_string(),
            watch: owner.state().is_watch(job),
            stages: stages
                .into_iter()
                .map(|(stage, tasks)| StageCount {
                    stage: stage.to_owned(),
                    tasks,
                })
                .collect(),
        }
    })
    .collect()
}
