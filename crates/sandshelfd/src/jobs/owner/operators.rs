//! What operators write, as the scheduler of an owned shard is told it.

use sandshelf_jobs::JobEvent;

use super::OwnerLoop;

impl OwnerLoop {
    /// Tells the scheduler the rules of queues where they changed.
    pub(super) fn refresh_queues(&mut self) {
        let Some(table) = self.queues.get() else {
            return;
        };
        let Some(owned) = &mut self.owned else {
            return;
        };
        if owned.queues_version != table.version {
            owned.queues_version = table.version;
            self.handle(JobEvent::QueuesChanged(table.rules()));
        }
    }

    /// Tells it which halls are evacuated, where that changed.
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
