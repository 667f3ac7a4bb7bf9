//! Gives up the tasks that are blamed for crashes of their workers.

use sandshelf_model::Millis;

use crate::ids::TaskKey;
use crate::note::JobNote;
use crate::scheduler::JobScheduler;
use crate::stage::JobStage;

impl JobScheduler {
    /// Gives up the tasks that are still blamed some time after their newest crash was recorded.
    ///
    /// A verdict is final. What was learned since may have taken the crash back, or its certainty:
    /// the answer to an order that was under way, or the failures of other workers at that moment.
    pub(crate) fn settle_verdicts(&mut self, now: Millis) {
        for task in self.crashes.take_due_verdicts(now) {
            let job = self.jobs.get(&task.job);
            let state = job.and_then(|job| job.task(&task));
            if state.is_some_and(|state| state.crashes.is_blamed()) {
                self.give_up_task(now, task);
            } else if !self.crashes.unwritten.contains(&task) {
                self.hold_back(now, &task, now);
            }
        }
    }

    /// Gives up a task under which workers crash, and its job with it.
    fn give_up_task(&mut self, now: Millis, task: TaskKey) {
        let job = self.jobs.get(&task.job);
        let crashes = job.and_then(|job| job.task(&task));
        let crashes = crashes.map_or(0, |state| state.crashes.count());
        self.note(JobNote::TaskGivenUp { task, crashes });
        self.finish_job(now, task.job, JobStage::Failed);
    }
}
