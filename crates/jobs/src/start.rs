//! Sends the orders to start tasks on the workers chosen for them.

use sandshelf_model::{Millis, WorkerId};

use crate::crash::StartCaution;
use crate::events::{StartCall, WorkerCall};
use crate::ids::{RunKey, TaskKey};
use crate::job::TaskStage;
use crate::limits::START_ORDER_TTL_MS;
use crate::note::JobNote;
use crate::run::{RunPhase, RunRecord};
use crate::scheduler::JobScheduler;

impl JobScheduler {
    /// Orders tasks to start; the members of a gang share one run number and one checkpoint.
    pub(crate) fn start_tasks(&mut self, now: Millis, places: Vec<(TaskKey, WorkerId)>) {
        let Some(first) = places.first().map(|(key, _)| *key) else {
            return;
        };
        let gang = places.len() > 1;
        for (key, worker) in &places {
            if self.caution_of(key) == StartCaution::Alone {
                self.reserve_worker(now, worker.clone(), *key);
            }
        }
        let checkpoint = gang.then(|| self.gang_checkpoint(&first)).flatten();
        let Some(job) = self.jobs.get(&first.job) else {
            return;
        };
        let step = job.step(&first);
        let runs_before = step.map_or(0, |step| {
            let members = step.tasks.iter().enumerate();
            let members = members.filter(|(index, _)| gang || *index == first.index as usize);
            members.map(|(_, task)| task.runs).max().unwrap_or(0)
        });
        let run = self.run_number(runs_before);
        for (key, worker) in places {
            let run = RunKey { task: key, run };
            self.note_restart(&run, &worker);
            self.start_task(now, run, runs_before + 1, worker, checkpoint.clone());
        }
    }

    fn start_task(
        &mut self,
        now: Millis,
        run: RunKey,
        runs: u64,
        worker: WorkerId,
        checkpoint: Option<String>,
    ) {
        let Some(job) = self.jobs.get_mut(&run.task.job) else {
            return;
        };
        let queue = job.spec.queue.clone();
        let Some(step) = job.step_spec(&run.task).cloned() else {
            return;
        };
        let Some(task) = job.task_mut(&run.task) else {
            return;
        };
        task.stage = TaskStage::Live {
            worker: worker.clone(),
            run: run.run,
        };
        task.runs = runs;
        let waited_ms = now.saturating_sub(task.waiting_since);
        let checkpoint = if step.gang {
            checkpoint
        } else {
            task.checkpoint.clone()
        };
        let resumed = checkpoint.is_some();
        let Some(state) = self.workers.get(&worker) else {
            return;
        };
        let free_cpu = state.free().cpu_millis;
        self.order_start(now, run, &worker, checkpoint, START_ORDER_TTL_MS);
        self.note(JobNote::Placed {
            key: run,
            worker,
            queue,
            waited_ms,
            free_cpu,
            resumed,
        });
    }

    /// Sends the order to start a run, which the worker may carry out for `ttl_ms`.
    pub(crate) fn order_start(
        &mut self,
        now: Millis,
        run: RunKey,
        worker: &WorkerId,
        checkpoint: Option<String>,
        ttl_ms: Millis,
    ) {
        let Some(job) = self.jobs.get(&run.task.job) else {
            return;
        };
        let payload = job.spec.payload.clone();
        let (due, chain) = (job.due, job.chain_from(&run.task));
        let Some(step) = job.step_spec(&run.task).cloned() else {
            return;
        };
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        let image = self.images.get(&step.image);
        let deadline = state.incarnation.clock(now).unwrap_or(0) + ttl_ms;
        state.incarnation.lease_deadline = state.incarnation.lease_deadline.max(deadline);
        state.lease_ordered_at = now;
        let mut record = RunRecord::new(&step, image, RunPhase::Ordered, deadline);
        record.due = due;
        record.chain = chain;
        record.ordered_at = now;
        record.resumed = checkpoint.is_some();
        record.checkpoint = checkpoint.clone();
        state.add_run(run, record);
        if step.fills {
            state.fills_changed_at = now;
        }
        self.unanswered_starts += 1;
        if !step.fills && !step.standing {
            self.start_orders.note(now, worker.clone(), run);
        }
        self.note_ordered_start(now, worker, &run.task);
        self.call(
            worker,
            WorkerCall::Start(StartCall {
                key: run,
                payload,
                deadline,
                checkpoint,
            }),
        );
    }
}
