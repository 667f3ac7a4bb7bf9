//! Checks invariants on all workers at once, which no single owner under test can see.

use std::collections::{BTreeMap, BTreeSet};

use sandshelf_fakes::FakeWorker;
use sandshelf_model::{AttemptId, ResourceSize, TaskId, WorkerId};

/// Checks invariants of task execution, and counts starts, over all workers.
#[derive(Debug, Default)]
pub struct InvariantChecker {
    /// How often each task was actually started, summed over the workers given to
    /// [`InvariantChecker::count_starts`].
    pub starts: BTreeMap<TaskId, u32>,
    /// The maximum number of tasks that ran at the same time.
    pub max_running: usize,
}

impl InvariantChecker {
    /// Checks that no task runs on two workers and that no worker's tasks exceed its capacity.
    pub fn check(&mut self, workers: &BTreeMap<WorkerId, FakeWorker>) -> Result<(), String> {
        let mut places: BTreeMap<&TaskId, (&WorkerId, &AttemptId)> = BTreeMap::new();
        for (name, worker) in workers {
            let mut in_use = ResourceSize::default();
            for running in worker.running() {
                in_use = in_use
                    .plus(&running.size)
                    .map_err(|error| error.to_string())?;
                let task = &running.attempt.task;
                if let Some((other, attempt)) = places.insert(task, (name, &running.attempt)) {
                    return Err(format!(
                        "task {task} runs on two workers: {attempt} on {other} and {} on {name}",
                        running.attempt
                    ));
                }
            }
            if !in_use.fits_in(&worker.capacity) {
                return Err(format!(
                    "worker {name} runs tasks of {in_use} but has a capacity of {}",
                    worker.capacity
                ));
            }
        }
        self.max_running = self.max_running.max(places.len());
        Ok(())
    }

    /// Adds the starts recorded by these workers; call it once per worker, at the end of a run.
    pub fn count_starts<'a>(&mut self, workers: impl Iterator<Item = &'a FakeWorker>) {
        for worker in workers {
            for (attempt, times) in &worker.starts {
                *self.starts.entry(attempt.task.clone()).or_default() += times;
            }
        }
    }

    /// Checks that no attempt was started more than once, on one worker or on several,
    /// even where messages were repeated or delayed.
    pub fn check_attempts<'a>(workers: impl Iterator<Item = &'a FakeWorker>) -> Result<(), String> {
        let mut seen: BTreeSet<&AttemptId> = BTreeSet::new();
        for worker in workers {
            for (attempt, times) in &worker.starts {
                if *times > 1 || !seen.insert(attempt) {
                    return Err(format!("attempt {attempt} was started more than once"));
                }
            }
        }
        Ok(())
    }
}
