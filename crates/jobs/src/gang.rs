//! Gangs: steps whose tasks only work all together, and that share one run number.

use sandshelf_model::Millis;

use crate::ids::{RunKey, TaskKey};
use crate::job::TaskStage;
use crate::note::StopCause;
use crate::scheduler::JobScheduler;

impl JobScheduler {
    /// Whether every member of the gang is waiting, so that it can be started as a whole.
    pub(crate) fn whole_gang_waits(&self, key: &TaskKey) -> bool {
        let job = self.jobs.get(&key.job);
        let step = job.and_then(|job| job.step(key));
        step.is_some_and(|step| {
            let mut tasks = step.tasks.iter();
            tasks.all(|task| task.stage == TaskStage::Waiting)
        })
    }

    /// Stops the remaining members of a gang of which some members are not running.
    pub(crate) fn stop_partial_gang(&mut self, now: Millis, key: TaskKey) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        if !job.step_spec(&key).is_some_and(|step| step.gang) {
            return;
        }
        let Some(step) = job.step(&key) else {
            return;
        };
        let mut running = Vec::new();
        for (index, task) in step.tasks.iter().enumerate() {
            if let TaskStage::Live { worker, run } = &task.stage {
                let task = TaskKey {
                    index: index as u32,
                    ..key
                };
                running.push((worker.clone(), RunKey { task, run: *run }));
            }
        }
        for (worker, run) in running {
            self.stop_run(now, &worker, run, StopCause::Superseded);
        }
    }

    /// The checkpoint from which all members of a gang resume: the one of the member with the newest ended run. A checkpoint of any
    /// member is valid for all of them.
    pub(crate) fn gang_checkpoint(&self, key: &TaskKey) -> Option<String> {
        let step = self.jobs.get(&key.job)?.step(key)?;
        let newest = step.tasks.iter().filter(|task| task.checkpoint.is_some());
        newest
            .max_by_key(|task| task.last_ended)
            .and_then(|task| task.checkpoint.clone())
    }
}
