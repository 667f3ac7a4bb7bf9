//! The choice of the worker that a task is placed on.

use rand::RngExt;
use sandshelf_model::{Millis, WorkerId};

use super::{
    PlaceChoice, PlaceOutcome, PlaceStrategy, PoolWorker, TaskNeed, WorkerPool, INDEXED_WORKERS,
    INDEX_SCANS_PER_WORKER, LEFTOVER_WEIGHT, SAMPLED_WORKERS,
};
use crate::quarantine::WorkerHealth;

impl WorkerPool {
    /// Chooses a worker for a task by the pool's strategy; reserves nothing.
    pub fn choose(&mut self, need: &TaskNeed, now: Millis) -> PlaceOutcome {
        match self.strategy {
            PlaceStrategy::FirstFit | PlaceStrategy::BestFit => self.choose_by_scan(need),
            PlaceStrategy::Weighed => self.choose_weighed(need, now),
        }
    }

    /// Chooses by a baseline strategy, which scans all workers: the first by name, or the one with the least free capacity.
    fn choose_by_scan(&self, need: &TaskNeed) -> PlaceOutcome {
        let fitting = self.workers.iter().filter(|worker| worker.has_room(need));
        let chosen = match self.strategy {
            PlaceStrategy::FirstFit => fitting.min_by(|a, b| a.entry.worker.cmp(&b.entry.worker)),
            PlaceStrategy::BestFit | PlaceStrategy::Weighed => {
                fitting.min_by_key(|worker| (worker.free.cpu_millis, worker.free.memory_mib))
            }
        };
        match chosen {
            Some(worker) => PlaceOutcome::Placed(PlaceChoice {
                worker: worker.entry.worker.clone(),
                cost: 0.0,
                predicted: 0.0,
                looked_at: self.workers.len(),
            }),
            None => self.no_room_outcome(need),
        }
    }

    fn choose_weighed(&mut self, need: &TaskNeed, now: Millis) -> PlaceOutcome {
        let mut candidates = self.sample_candidates(need, now);
        if candidates.is_empty() {
            candidates = self.index_candidates(need, now);
        }
        let scored = candidates
            .iter()
            .map(|&position| (position, self.score(position, need)))
            .min_by(|a, b| a.1.total_cmp(&b.1));
        match scored {
            Some((position, cost)) => PlaceOutcome::Placed(PlaceChoice {
                worker: self.workers[position].entry.worker.clone(),
                cost,
                predicted: self.predict(position, need),
                looked_at: candidates.len(),
            }),
            None => self.no_room_outcome(need),
        }
    }

    fn sample_candidates(&mut self, need: &TaskNeed, now: Millis) -> Vec<usize> {
        let mut candidates = Vec::with_capacity(SAMPLED_WORKERS);
        if self.workers.is_empty() {
            return candidates;
        }
        for _ in 0..SAMPLED_WORKERS {
            let position = self.rng.random_range(0..self.workers.len());
            if self.is_candidate(position, need, now) && !candidates.contains(&position) {
                candidates.push(position);
            }
        }
        candidates
    }

    fn index_candidates(&self, need: &TaskNeed, now: Millis) -> Vec<usize> {
        let smallest_fit = (need.size.cpu_millis, WorkerId::from(""));
        self.by_free_cpu
            .range(smallest_fit..)
            .rev()
            .take(INDEXED_WORKERS * INDEX_SCANS_PER_WORKER)
            .map(|(_, worker)| self.positions[worker])
            .filter(|&position| self.is_candidate(position, need, now))
            .take(INDEXED_WORKERS)
            .collect()
    }

    fn is_candidate(&self, position: usize, need: &TaskNeed, now: Millis) -> bool {
        let worker = &self.workers[position];
        worker.has_room(need) && self.passes_quarantine(worker, now)
    }

    fn passes_quarantine(&self, worker: &PoolWorker, now: Millis) -> bool {
        match self.quarantine.health(&worker.entry.worker, now) {
            WorkerHealth::Healthy => true,
            WorkerHealth::Probation => worker.reservations.is_empty(),
            WorkerHealth::Quarantined { .. } => false,
        }
    }

    fn predict(&self, position: usize, need: &TaskNeed) -> f64 {
        let worker = &self.workers[position];
        let services = worker.entry.services.iter();
        services
            .map(|(service, _)| self.estimate.effect(service, &need.family, worker.band))
            .sum()
    }

    /// Returns the cost of placing a task on a worker: weighted predicted slowdown plus weighted leftover capacity; lower is
    /// better.
    fn score(&self, position: usize, need: &TaskNeed) -> f64 {
        let worker = &self.workers[position];
        let interference_cost = self.weights.tail * self.predict(position, need);
        let free = worker.free.saturating_minus(&need.size);
        let fraction = |left: u64, total: u64| left as f64 / total.max(1) as f64;
        let leftover = fraction(free.cpu_millis, worker.entry.capacity.cpu_millis)
            + fraction(free.memory_mib, worker.entry.capacity.memory_mib);
        interference_cost + self.weights.throughput * LEFTOVER_WEIGHT * leftover
    }

    fn no_room_outcome(&self, need: &TaskNeed) -> PlaceOutcome {
        if self.could_ever_hold(&need.size) {
            PlaceOutcome::NoRoom
        } else {
            PlaceOutcome::NeverFits
        }
    }
}
