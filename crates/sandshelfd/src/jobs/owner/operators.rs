//! Passes the operators' changes of queues and halls to the scheduler of an owned shard.

use sandshelf_jobs::JobEvent;

use super::OwnerLoop;

impl OwnerLoop {
    /// Passes the rules of queues to the scheduler if they have changed.
    pub(super) fn refresh_queues(&mut self) {
        let Some(table) = self.queues.get() else {
            return;
        };
        let Some(owned) = &mut self.owned else {
            return;
        };
        if owned.queues_version != table.version {
            owned.queues_version = table.version;
            self.handle(JobEvent::QueuesChanged(table.directory()));
        }
    }

    /// Passes the evacuated halls to the scheduler if they have changed.
    pub(super) fn refresh_halls(&mut self) {
        let Some(owned) = &mut self.owned else {
            return;
        };
        let evacuated = self.halls.evacuated();
        if owned.evacuated != evacuated {
            owned.evacuated.clone_from(&evacuated);
            self.handle(JobEvent::HallsEvacuated(evacuated));
        }
    }
}
