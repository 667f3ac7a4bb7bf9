//! How actions leave hosts, and what comes back to them.

use rand::RngExt;
use sandshelf_fakes::unanswered;
use sandshelf_lease::{
    CommitAnswer, LeaseStage, ShardAction, ShardEvent, ShardRoom, WorkerOrders, WorkerReport,
};
use sandshelf_model::{HostId, Millis, ResourceSize, Revision, ShardId, TeamId, WorkerId};

use super::schedule::{Cut, Happening};
use super::{local_time, World, LEAST_DELAY_MS, TICK_MS};

impl World {
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
        self.schedule(self.now + TICK_MS, Happening::Tick(host));
    }

    /// What the owners tell each other of their room.
    pub(super) fn rooms(&self) -> Vec<ShardRoom> {
        let owners = self.hosts.values().flat_map(|host| host.owners.values());
        let holding = owners.filter(|owner| *owner.stage() == LeaseStage::Holding);
        holding.map(|owner| owner.room()).collect()
    }

    pub(super) fn tell_config(&mut self, host: &HostId, revision: Revision) {
        let set = self.sets[revision as usize].clone();
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

    /// An action leaves its host, unless the host is frozen between deciding and sending.
    pub(super) fn leave(&mut self, host: HostId, shard: ShardId, action: ShardAction) {
        let Some(state) = self.hosts.get_mut(&host) else {
            return;
        };
        if state.frozen {
            state.held.push(Happening::Leaves(host, shard, action));
            return;
        }
        if self.chance(self.rates.lost) {
            self.answer_nothing(&host, &shard, &action);
            return;
        }
        let delay = self.delay();
        match action {
            ShardAction::SendOrders { worker, orders } => {
                if self.chance(self.rates.repeated) {
                    let again = self.source.random_range(1..=self.rates.longest_delay);
                    let copy = Happening::AtWorker(
                        host.clone(),
                        shard.clone(),
                        worker.clone(),
                        orders.clone(),
                    );
                    self.schedule(self.now + again, copy);
                }
                let there = Happening::AtWorker(host, shard, worker, orders);
                self.schedule(self.now + delay, there);
            }
            action => {
                let there = Happening::AtStore(host, shard, action);
                self.schedule(self.now + delay + self.store_delay, there);
            }
        }
    }

    pub(super) fn delay(&mut self) -> Millis {
        if self.chance(self.rates.delayed) {
            return self.source.random_range(1..=self.rates.longest_delay);
        }
        LEAST_DELAY_MS + self.source.random_range(0..4)
    }

    pub(super) fn reach_store(&mut self, host: HostId, shard: ShardId, action: ShardAction) {
        let out = self.is_cut(&Cut::Store) || self.is_cut(&Cut::HostStore(host.clone()));
        if out {
            self.answer_nothing(&host, &shard, &action);
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
        if lost || self.chance(self.rates.answer_lost) {
            self.answer_nothing(&host, &shard, &action);
            return;
        }
        let delay = self.delay() + self.store_delay;
        let back = Happening::Back(host, shard, Box::new(event));
        self.schedule(self.now + delay, back);
    }

    /// After a while, the host learns that it will get no answer.
    pub(super) fn answer_nothing(&mut self, host: &HostId, shard: &ShardId, action: &ShardAction) {
        let Some(event) = unanswered(action) else {
            return;
        };
        let wait = self.source.random_range(100..800);
        let back = Happening::Back(host.clone(), shard.clone(), Box::new(event));
        self.schedule(self.now + wait, back);
    }

    pub(super) fn reach_worker(
        &mut self,
        host: HostId,
        shard: ShardId,
        worker: WorkerId,
        orders: &WorkerOrders,
    ) {
        let cut = self.is_cut(&Cut::HostWorker(host.clone(), worker.clone()))
            || self.is_cut(&Cut::Worker(worker.clone()));
        let local = local_time(self.now, self.worker_drift[&worker]);
        let report = match self.workers.get_mut(&worker) {
            Some(there) if !cut => Some(there.handle(local, orders)),
            _ => None,
        };
        self.worker_messages += 1;
        self.check();
        let lost = self.chance(self.rates.answer_lost);
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
        let delay = self.delay();
        let event = ShardEvent::WorkerAnswered {
            worker,
            epoch: orders.epoch,
            number: orders.number,
            report,
        };
        let back = Happening::Back(host, shard, Box::new(event));
        self.schedule(self.now + delay, back);
    }

    pub(super) fn come_back(&mut self, host: HostId, shard: ShardId, event: Box<ShardEvent>) {
        let Some(state) = self.hosts.get_mut(&host) else {
            return;
        };
        if state.frozen {
            state.held.push(Happening::Back(host, shard, event));
            return;
        }
        self.feed(&host, &shard, *event);
    }

    pub(super) fn thaw(&mut self, host: &HostId) {
        let Some(state) = self.hosts.get_mut(host) else {
            return;
        };
        state.frozen = false;
        // What was about to be sent is sent first, before the host looks at the clock again.
        for held in std::mem::take(&mut state.held) {
            self.schedule(self.now, held);
        }
    }
}
