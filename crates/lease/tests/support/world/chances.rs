//! What goes wrong by chance, what tests do to owners and workers, and how all is mended.

use std::collections::BTreeSet;

use rand::RngExt;
use sandshelf_lease::ShardEvent;
use sandshelf_model::{HostId, ShardId, WorkerId};
use sandshelf_place::WorkerEntry;

use super::schedule::{Cut, Happening};
use super::{World, CAPACITY};
use crate::support::faults::FaultRates;

impl World {
    /// Lets things go wrong, by the rates.
    pub(super) fn take_chances(&mut self) {
        self.schedule(self.now + 1_000, Happening::Chance);
        let rates = self.rates;
        for host in self.host_ids() {
            if self.chance(rates.host_killed) {
                self.kill(&host);
                self.add_host();
                continue;
            }
            let length = self.source.random_range(500..20_000);
            if self.chance(rates.host_frozen) {
                self.freeze(&host, length);
            }
            if self.chance(rates.store_cut) {
                self.cut(Cut::HostStore(host.clone()), length);
            }
            for worker in self.workers.keys().cloned().collect::<Vec<_>>() {
                if self.chance(rates.worker_cut) {
                    self.cut(Cut::HostWorker(host.clone(), worker), length);
                }
            }
        }
        self.chance_of_workers(rates);
        self.chance_of_owners(rates);
    }

    pub(super) fn chance_of_workers(&mut self, rates: FaultRates) {
        let length = self.source.random_range(500..20_000);
        if self.chance(rates.store_out) {
            self.cut(Cut::Store, length);
        }
        for worker in self.workers.keys().cloned().collect::<Vec<_>>() {
            if self.chance(rates.worker_cut / 4) {
                self.cut(Cut::Worker(worker.clone()), length);
            }
            if self.chance(rates.worker_replaced) {
                self.replace_worker(&worker);
            }
        }
    }

    pub(super) fn chance_of_owners(&mut self, rates: FaultRates) {
        for shard in self.shard_ids() {
            let Some(host) = self.owner_of(&shard) else {
                continue;
            };
            if self.chance(rates.evicted) {
                self.evict_something(&host, &shard);
            }
            if self.chance(rates.released) {
                self.feed(&host, &shard, ShardEvent::Release);
            }
        }
    }

    /// Has an owner evict one of the attempts that it placed.
    pub fn evict_something(&mut self, host: &HostId, shard: &ShardId) {
        let pool = self.owner(host, shard).pool();
        let tenants = pool.workers().flat_map(|worker| pool.reservations(worker));
        let mut attempts: Vec<_> = tenants.map(|tenant| tenant.attempt.clone()).collect();
        attempts.sort();
        if attempts.is_empty() {
            return;
        }
        let picked = self.source.random_range(0..attempts.len());
        self.feed(
            host,
            shard,
            ShardEvent::EvictRequested(attempts[picked].clone()),
        );
    }

    /// Has an owner empty a worker, which evicts what can be checkpointed there.
    pub fn drain_worker(&mut self, host: &HostId, shard: &ShardId, worker: &WorkerId) {
        let event = ShardEvent::WorkersListed {
            present: vec![WorkerEntry::plain(worker.as_str(), CAPACITY)],
            leaving: BTreeSet::from([worker.clone()]),
            gone: BTreeSet::new(),
        };
        self.feed(host, shard, event);
    }

    /// Mends everything and stops what goes wrong.
    pub fn heal(&mut self) {
        self.rates = FaultRates::CALM;
        self.cuts.clear();
        for host in self.host_ids() {
            self.thaw(&host);
        }
        self.list_workers();
    }
}
