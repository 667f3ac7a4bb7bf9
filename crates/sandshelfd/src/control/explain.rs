//! Explains the current state of a task, a job or a class of requests to operators.

use sandshelf_lease::{ShardOwner, TaskStage, TaskState};
use sandshelf_model::{AttemptId, JobId, TaskId};

use super::ControlState;
use crate::clock;
use crate::status::ExplainAnswer;

/// The maximum number of tasks of one job that are explained per shard.
const MAX_EXPLAINED_TASKS: usize = 50;

impl ControlState {
    /// Explains a task (`JOB/INDEX`), a job, or a class of requests (the name of a service).
    ///
    /// Covers only the shards and requests of this host; without any, the answer has no lines.
    pub(super) fn explain(&self, subject: &str) -> ExplainAnswer {
        let mut lines = Vec::new();
        let (job, index) = split_task(subject);
        for owner in self.owners.values() {
            explain_job(owner, &job, index, &mut lines);
        }
        if index.is_none() {
            self.explain_class(subject, &mut lines);
        }
        ExplainAnswer { lines }
    }

    fn explain_class(&self, name: &str, lines: &mut Vec<String>) {
        let Some(service) = self.config.set().and_then(|set| set.service(name)) else {
            return;
        };
        let (share, waiting) = self.traffic.router.inspect(|core| {
            let share = core.fleet().share_of(&service.name);
            (share, core.waiting())
        });
        let again = if service.repeatable {
            "may be run again"
        } else {
            "runs at most once"
        };
        lines.push(format!(
            "class {name}: a request of unknown fate {again}; deadline {} ms; this entry host may use {share} slots; \
             {waiting} requests of all classes wait here",
            service.deadline_ms
        ));
    }
}

fn split_task(subject: &str) -> (JobId, Option<u32>) {
    let parts = subject.rsplit_once('/');
    match parts.map(|(job, index)| (job, index.parse::<u32>())) {
        Some((job, Ok(index))) => (JobId::from(job), Some(index)),
        _ => (JobId::from(subject), None),
    }
}

fn explain_job(owner: &ShardOwner, job: &JobId, only: Option<u32>, lines: &mut Vec<String>) {
    let Some(job_state) = owner.state().jobs.get(job) else {
        return;
    };
    let tasks = job_state.tasks.iter();
    let tasks = tasks.filter(|(index, _)| only.is_none_or(|only| only == **index));
    for (&index, task_state) in tasks.take(MAX_EXPLAINED_TASKS) {
        let task = TaskId {
            job: job.clone(),
            index,
        };
        lines.push(explain_task(owner, &task, task_state));
    }
}

fn explain_task(owner: &ShardOwner, task: &TaskId, task_state: &TaskState) -> String {
    let shard = owner.shard();
    let past = format!(
        "attempts {}, failures {}, evictions {}, hand-offs {}",
        task_state.attempts, task_state.failures, task_state.evictions, task_state.hops
    );
    let state = match &task_state.stage {
        TaskStage::Waiting => {
            let reason = owner.wait_reason(clock::now(), task).text();
            format!("waits: {reason}")
        }
        TaskStage::Placed(worker) => {
            let attempt = AttemptId {
                task: task.clone(),
                number: task_state.attempts,
            };
            let why = match owner.placed_reason(&attempt) {
                Some(reason) => format!(
                    "the best of {} workers looked at, predicted slowdown of services there {:.2}",
                    reason.looked_at, reason.predicted
                ),
                None => "placed by an earlier owner of the shard".to_owned(),
            };
            format!("runs on {worker}: {why}")
        }
        TaskStage::Finished(output) => format!("finished; outputs under {output}"),
        TaskStage::Failed(reason) => format!("given up: {reason}"),
        TaskStage::Cancelled => "cancelled: its job is no longer declared".to_owned(),
        TaskStage::Unplaceable(reason) => format!("can't be placed anywhere: {reason}"),
        TaskStage::HandedOff(to) => format!("handed to shard {to}, which had room"),
    };
    format!("task {task} in shard {shard}: {state} ({past})")
}
