//! Injects random faults, requests evictions and drains, and ends all faults.

use std::collections::BTreeSet;

use rand::RngExt;
use sandshelf_lease::ShardEvent;
use sandshelf_model::{HostId, ShardId, WorkerId};
use sandshelf_place::WorkerEntry;

use super::schedule::{NetworkPartition, SimulationEvent};
use super::{SimulatedCluster, WORKER_CAPACITY};
use crate::support::faults::FaultRates;

impl SimulatedCluster {
    /// Injects random faults with the probabilities of [`SimulatedCluster::fault_rates`]; runs once per second.
    pub(super) fn inject_faults(&mut self) {
        self.schedule(self.now + 1_000, SimulationEvent::InjectFaults);
        let fault_rates = self.fault_rates;
        for host in self.host_ids() {
            if self.chance(fault_rates.host_killed) {
                self.kill(&host);
                self.add_host();
                continue;
            }
            let duration_ms = self.rng.random_range(500..20_000);
            if self.chance(fault_rates.host_frozen) {
                self.freeze(&host, duration_ms);
            }
            if self.chance(fault_rates.host_store_partition) {
                self.partition(NetworkPartition::HostStore(host.clone()), duration_ms);
            }
            for worker in self.workers.keys().cloned().collect::<Vec<_>>() {
                if self.chance(fault_rates.worker_partition) {
                    self.partition(
                        NetworkPartition::HostWorker(host.clone(), worker),
                        duration_ms,
                    );
                }
            }
        }
        self.inject_worker_faults(fault_rates);
        self.inject_owner_requests(fault_rates);
    }

    pub(super) fn inject_worker_faults(&mut self, fault_rates: FaultRates) {
        let duration_ms = self.rng.random_range(500..20_000);
        if self.chance(fault_rates.store_out) {
            self.partition(NetworkPartition::Store, duration_ms);
        }
        for worker in self.workers.keys().cloned().collect::<Vec<_>>() {
            if self.chance(fault_rates.worker_partition / 4) {
                self.partition(NetworkPartition::Worker(worker.clone()), duration_ms);
            }
            if self.chance(fault_rates.worker_replaced) {
                self.replace_worker(&worker);
            }
        }
    }

    pub(super) fn inject_owner_requests(&mut self, fault_rates: FaultRates) {
        for shard in self.shard_ids() {
            let Some(host) = self.owner_of(&shard) else {
                continue;
            };
            if self.chance(fault_rates.eviction_requested) {
                self.evict_random_attempt(&host, &shard);
            }
            if self.chance(fault_rates.release_requested) {
                self.feed(&host, &shard, ShardEvent::Release);
            }
        }
    }

    /// Requests an owner to evict one of its placed attempts, chosen at random; does nothing where it has none.
    pub fn evict_random_attempt(&mut self, host: &HostId, shard: &ShardId) {
        let pool = self.owner(host, shard).pool();
        let reservations = pool.workers().flat_map(|worker| pool.reservations(worker));
        let mut attempts: Vec<_> = reservations
            .map(|reservation| reservation.attempt.clone())
            .collect();
        attempts.sort();
        if attempts.is_empty() {
            return;
        }
        let picked = self.rng.random_range(0..attempts.len());
        self.feed(
            host,
            shard,
            ShardEvent::EvictRequested(attempts[picked].clone()),
        );
    }

    /// Reports a worker to an owner as one to be drained; the owner evicts the checkpointable tasks there.
    pub fn drain_worker(&mut self, host: &HostId, shard: &ShardId, worker: &WorkerId) {
        let event = ShardEvent::WorkersListed {
            present: vec![WorkerEntry::plain(worker.as_str(), WORKER_CAPACITY)],
            leaving: BTreeSet::from([worker.clone()]),
            gone: BTreeSet::new(),
        };
        self.feed(host, shard, event);
    }

    /// Ends all faults: no further ones are injected, partitions end and frozen hosts continue.
    pub fn stop_faults(&mut self) {
        self.fault_rates = FaultRates::NO_FAULTS;
        self.partitions.clear();
        for host in self.host_ids() {
            self.unfreeze(&host);
        }
        self.list_workers();
    }
}
