//! Checks the invariants of a shard owner.

use sandshelf_model::WorkerId;

use super::ShardOwner;
use crate::events::ShardAction;
use crate::ownership::LeaseStage;

impl ShardOwner {
    /// Checks the invariants that must hold after each event; cheap enough to run in production.
    pub(super) fn verify(&self) -> Result<(), String> {
        if *self.lease.stage() != LeaseStage::Holding && self.state.placed_count() > 0 {
            return Err("attempts are placed but this host does not own the shard".to_owned());
        }
        for action in &self.actions {
            if let ShardAction::SendOrders { orders, .. } = action {
                if orders.epoch != self.epoch() {
                    return Err(format!("orders carry the foreign epoch {}", orders.epoch));
                }
            }
        }
        Ok(())
    }

    /// Checks all invariants, also the expensive ones; for tests and randomised runs.
    ///
    /// # Errors
    /// Describes the invariant that does not hold.
    pub fn verify_all(&self) -> Result<(), String> {
        self.verify()?;
        for worker in self.pool.workers() {
            let over = self.pool.is_overcommitted(worker);
            let ours = self
                .pool
                .reservations(worker)
                .iter()
                .all(|reservation| self.held.contains_key(&reservation.attempt));
            if over && ours && !self.capacity_differs(worker) {
                return Err(format!("worker {worker} is reserved beyond its capacity"));
            }
        }
        for (job, job_state) in &self.state.jobs {
            for (index, task_state) in &job_state.tasks {
                if task_state.evictions > task_state.attempts {
                    return Err(format!("{job}/{index} has more evictions than attempts"));
                }
            }
        }
        Ok(())
    }

    /// Whether the worker itself reports another capacity than the platform lists.
    fn capacity_differs(&self, worker: &WorkerId) -> bool {
        let reported = self
            .sessions
            .get(worker)
            .and_then(|session| session.reported_capacity);
        let listed = self.listed.get(worker).map(|entry| entry.capacity);
        reported.is_some() && reported != listed
    }
}
