//! Ticks hosts, and delivers their actions and the answers to them through the simulated network.

use rand::RngExt;
use sandshelf_fakes::unanswered;
use sandshelf_lease::{
    CommitAnswer, LeaseStage, ShardAction, ShardEvent, ShardRoom, WorkerOrders, WorkerReport,
};
use sandshelf_model::{HostId, Millis, ResourceSize, Revision, ShardId, TeamId, WorkerId};

use super::schedule::{NetworkPartition, SimulationEvent};
use super::{local_time, SimulatedCluster, MIN_DELAY_MS, TICK_INTERVAL_MS};

impl SimulatedCluster {
    pub(super) fn tick(&mut self, host: HostId) {
        if !self.hosts.contains_key(&host) {
            return;
        }
        if !self.hosts[&host].frozen {
            for shard in self.shard_ids() {
                self.feed(&host, &shard, ShardEvent::Tick);
                let rooms = self.rooms();
                self.feed(&host, &shard, ShardEvent::RoomReceived(rooms));
            }
        }
        self.schedule(self.now + TICK_INTERVAL_MS, SimulationEvent::Tick(host));
    }

    /// The free capacity of all shards, as their owners publish it.
    pub(super) fn rooms(&self) -> Vec<ShardRoom> {
        let owners = self.hosts.values().flat_map(|host| host.owners.values());
        let holding = owners.filter(|owner| *owner.stage() == LeaseStage::Holding);
        holding.map(|owner| owner.room()).collect()
    }

    pub(super) fn deliver_config(&mut self, host: &HostId, revision: Revision) {
        let set = self.config_sets[revision as usize].clone();
        for shard in self.shard_ids() {
            let quota = ShardEvent::QuotaSliceUpdated {
                team: TeamId::from("team"),
                slice: ResourceSize::new(1 << 40, 1 << 40, 0),
            };
            self.feed(host, &shard, quota);
            let event = ShardEvent::Configured {
                revision,
                set: set.clone(),
                shards: self.shards.clone(),
            };
            self.feed(host, &shard, event);
        }
    }

    /// Sends an action over the network; a frozen host keeps it until it continues.
    pub(super) fn send_action(&mut self, host: HostId, shard: ShardId, action: ShardAction) {
        let Some(state) = self.hosts.get_mut(&host) else {
            return;
        };
        if state.frozen {
            state
                .held_events
                .push(SimulationEvent::SendAction(host, shard, action));
            return;
        }
        if self.chance(self.fault_rates.message_lost) {
            self.fail_call(&host, &shard, &action);
            return;
        }
        let delay = self.random_delay();
        match action {
            ShardAction::SendOrders { worker, orders } => {
                if self.chance(self.fault_rates.message_repeated) {
                    let repeat_delay = self.rng.random_range(1..=self.fault_rates.max_delay_ms);
                    let copy = SimulationEvent::ReachWorker(
                        host.clone(),
                        shard.clone(),
                        worker.clone(),
                        orders.clone(),
                    );
                    self.schedule(self.now + repeat_delay, copy);
                }
                let delivery = SimulationEvent::ReachWorker(host, shard, worker, orders);
                self.schedule(self.now + delay, delivery);
            }
            action => {
                let delivery = SimulationEvent::ReachStore(host, shard, action);
                self.schedule(self.now + delay + self.extra_store_delay_ms, delivery);
            }
        }
    }

    pub(super) fn random_delay(&mut self) -> Millis {
        if self.chance(self.fault_rates.message_delayed) {
            return self.rng.random_range(1..=self.fault_rates.max_delay_ms);
        }
        MIN_DELAY_MS + self.rng.random_range(0..4)
    }

    pub(super) fn deliver_to_store(&mut self, host: HostId, shard: ShardId, action: ShardAction) {
        let unreachable = self.is_partitioned(&NetworkPartition::Store)
            || self.is_partitioned(&NetworkPartition::HostStore(host.clone()));
        if unreachable {
            self.fail_call(&host, &shard, &action);
            return;
        }
        self.store_reads += u64::from(action == ShardAction::ReadRow);
        let Some(event) = self.store.serve(&shard, &action) else {
            return;
        };
        let took_effect = matches!(
            event,
            ShardEvent::CommitAnswered {
                answer: CommitAnswer::Committed { .. },
                ..
            }
        );
        let lost = self.lose_commit_answers && took_effect;
        if lost || self.chance(self.fault_rates.answer_lost) {
            self.fail_call(&host, &shard, &action);
            return;
        }
        let delay = self.random_delay() + self.extra_store_delay_ms;
        let delivery = SimulationEvent::ReachHost(host, shard, Box::new(event));
        self.schedule(self.now + delay, delivery);
    }

    /// Reports to the host, after 100 to 800 ms, that an action failed or was not answered.
    pub(super) fn fail_call(&mut self, host: &HostId, shard: &ShardId, action: &ShardAction) {
        let Some(event) = unanswered(action) else {
            return;
        };
        let wait = self.rng.random_range(100..800);
        let delivery = SimulationEvent::ReachHost(host.clone(), shard.clone(), Box::new(event));
        self.schedule(self.now + wait, delivery);
    }

    pub(super) fn deliver_to_worker(
        &mut self,
        host: HostId,
        shard: ShardId,
        worker: WorkerId,
        orders: &WorkerOrders,
    ) {
        let partitioned = self
            .is_partitioned(&NetworkPartition::HostWorker(host.clone(), worker.clone()))
            || self.is_partitioned(&NetworkPartition::Worker(worker.clone()));
        let local = local_time(self.now, self.worker_drift_ppm[&worker]);
        let report = match self.workers.get_mut(&worker) {
            Some(worker) if !partitioned => Some(worker.handle(local, orders)),
            _ => None,
        };
        self.worker_messages += 1;
        self.check();
        let lost = self.chance(self.fault_rates.answer_lost);
        let report = report.filter(|_| !lost);
        self.answer_orders(host, shard, worker, orders, report);
    }

    pub(super) fn answer_orders(
        &mut self,
        host: HostId,
        shard: ShardId,
        worker: WorkerId,
        orders: &WorkerOrders,
        report: Option<WorkerReport>,
    ) {
        let delay = self.random_delay();
        let event = ShardEvent::WorkerAnswered {
            worker,
            epoch: orders.epoch,
            number: orders.number,
            report,
        };
        let delivery = SimulationEvent::ReachHost(host, shard, Box::new(event));
        self.schedule(self.now + delay, delivery);
    }

    pub(super) fn deliver_to_host(&mut self, host: HostId, shard: ShardId, event: Box<ShardEvent>) {
        let Some(state) = self.hosts.get_mut(&host) else {
            return;
        };
        if state.frozen {
            state
                .held_events
                .push(SimulationEvent::ReachHost(host, shard, event));
            return;
        }
        self.feed(&host, &shard, *event);
    }

    pub(super) fn unfreeze(&mut self, host: &HostId) {
        let Some(state) = self.hosts.get_mut(host) else {
            return;
        };
        state.frozen = false;
        // The host sends the messages that it had decided to send before it reads the clock again.
        for event in std::mem::take(&mut state.held_events) {
            self.schedule(self.now, event);
        }
    }
}
