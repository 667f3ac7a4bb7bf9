//! Checks that an owner holds together.

use sandshelf_model::WorkerId;

use super::ShardOwner;
use crate::events::ShardAction;
use crate::ownership::LeaseStage;

impl ShardOwner {
    /// Checks what must hold after each event; cheap enough to run always.
    pub(super) fn verify(&self) -> Result<(), String> {
        if *self.lease.stage() != LeaseStage::Holding && self.state.placed_count() > 0 {
            return Err("placed attempts without ownership".to_owned());
        }
        for action in &self.actions {
            if let ShardAction::SendOrders { orders, .. } = action {
                if orders.epoch != self.epoch() {
                    return Err(format!("orders of epoch {} are not ours", orders.epoch));
                }
            }
        }
        Ok(())
    }

    /// Checks the whole state; for tests and randomised runs.
    ///
    /// # Errors
    /// Names what does not hold.
    pub fn verify_all(&self) -> Result<(), String> {
        self.verify()?;
        for worker in self.pool.workers() {
            let over = self.pool.overfull(worker);
            let ours = self
                .pool
                .tenants(worker)
                .iter()
                .all(|tenant| self.held.contains_key(&tenant.attempt));
            if over && ours && !self.is_shrunk(worker) {
                return Err(format!("worker {worker} is planned past its capacity"));
            }
        }
        for (job, job_state) in &self.state.jobs {
            for (index, task_state) in &job_state.tasks {
                if task_state.evictions > task_state.attempts {
                    return Err(format!("{job}/{index} was evicted more often than started"));
                }
            }
        }
        Ok(())
    }

    /// Whether the worker itself says that it has less than what the platform lists.
    fn is_shrunk(&self, worker: &WorkerId) -> bool {
        let reported = self
            .sessions
            .get(worker)
            .and_then(|session| session.reported);
        let listed = self.listed.get(worker).map(|entry| entry.capacity);
        reported.is_some() && reported != listed
    }
}
