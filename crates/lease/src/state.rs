//! The durable state of a shard's batch tasks, built from journal records.
//!
//! [`ShardState::apply`] is the only way to change it. It is used both after a group of records was committed and when
//! the journal is replayed after a takeover, so that both give the same state.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use sandshelf_config::{JobKind, JobSpec};
use sandshelf_model::{AttemptId, JobId, Revision, ShardId, TaskId, WorkerId};
use serde::{Deserialize, Serialize};

use crate::journal::{JournalRecord, TaskHandoff};
use crate::task_state::{RequeueCause, TaskStage, TaskState};

/// One job and those of its tasks that belong to this shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobState {
    /// The job as declared.
    pub spec: Arc<JobSpec>,
    /// This shard's tasks of the job, by position within the job.
    pub tasks: BTreeMap<u32, TaskState>,
}

impl JobState {
    /// Whether all of this shard's tasks of the job have reached a final stage.
    pub fn is_over(&self) -> bool {
        self.tasks
            .values()
            .all(|task_state| task_state.stage.is_over())
    }
}

/// Counts of applied and stale records, for metrics and for bounds in tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordStats {
    /// Tasks that finished.
    pub finished: u64,
    /// Finishes of attempts that were no longer placed, so that they didn't count.
    pub late_finishes: u64,
    /// Evictions.
    pub evictions: u64,
    /// Attempts that were placed.
    pub placed: u64,
    /// Records that changed nothing, because the task or job had changed before.
    pub stale: u64,
}

/// The effect of applying a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordEffect {
    /// The record changed the state.
    Applied,
    /// The record changed nothing, because the task or job had changed before.
    Stale,
}

/// The durable state of one shard.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ShardState {
    /// The revision of the newest configuration that was applied.
    pub revision: Revision,
    /// Jobs by name.
    pub jobs: BTreeMap<JobId, JobState>,
    /// Counts of records.
    pub stats: RecordStats,
    #[serde(skip)]
    placed: BTreeMap<WorkerId, BTreeSet<AttemptId>>,
}

impl ShardState {
    /// Looks up a task; none where this shard doesn't know it.
    pub fn task_state(&self, task: &TaskId) -> Option<&TaskState> {
        self.jobs.get(&task.job)?.tasks.get(&task.index)
    }

    /// Looks up a job's declaration; none where this shard has no task of it.
    pub fn spec(&self, job: &JobId) -> Option<&Arc<JobSpec>> {
        self.jobs.get(job).map(|job_state| &job_state.spec)
    }

    /// The attempts that are placed on a worker.
    pub fn placed_on(&self, worker: &WorkerId) -> impl Iterator<Item = &AttemptId> {
        self.placed.get(worker).into_iter().flatten()
    }

    /// The workers on which attempts are placed.
    pub fn placed_workers(&self) -> impl Iterator<Item = &WorkerId> {
        self.placed.keys()
    }

    /// The number of placed attempts.
    pub fn placed_count(&self) -> usize {
        self.placed.values().map(BTreeSet::len).sum()
    }

    /// The worker on which `attempt` is placed; none where it isn't placed or isn't its task's newest attempt.
    pub fn current_worker(&self, attempt: &AttemptId) -> Option<&WorkerId> {
        let task_state = self.task_state(&attempt.task)?;
        match &task_state.stage {
            TaskStage::Placed(worker) if task_state.attempts == attempt.number => Some(worker),
            _ => None,
        }
    }

    /// Rebuilds the index of placed attempts, which snapshots don't contain.
    pub fn rebuild_index(&mut self) {
        self.placed.clear();
        for (job, job_state) in &self.jobs {
            for (&index, task_state) in &job_state.tasks {
                if let TaskStage::Placed(worker) = &task_state.stage {
                    let attempt = AttemptId {
                        task: TaskId {
                            job: job.clone(),
                            index,
                        },
                        number: task_state.attempts,
                    };
                    self.placed
                        .entry(worker.clone())
                        .or_default()
                        .insert(attempt);
                }
            }
        }
    }

    /// Applies one record; a stale record only raises the counts of stale records and late finishes.
    pub fn apply(&mut self, record: &JournalRecord) -> RecordEffect {
        let applied = match record {
            JournalRecord::Revised { revision } => self.apply_revised(*revision),
            JournalRecord::JobAdded { job, tasks } => self.apply_job(job, tasks),
            JournalRecord::Placed { attempt, worker } => self.apply_placed(attempt, worker),
            JournalRecord::Requeued {
                attempt,
                cause,
                checkpoint,
            } => self.apply_requeued(attempt, *cause, checkpoint),
            JournalRecord::Finished { attempt, output } => self.apply_finished(attempt, output),
            JournalRecord::Failed { task, reason } => {
                self.end_task(task, TaskStage::Failed(reason.clone()))
            }
            JournalRecord::Cancelled { job } => self.apply_cancelled(job),
            JournalRecord::Unplaceable { task, reason } => self.apply_unplaceable(task, reason),
            JournalRecord::HandedOff { to, handoff } => self.apply_handed_off(&handoff.task(), to),
            JournalRecord::Adopted { handoff } => self.apply_adopted(handoff),
            JournalRecord::InboxDropped { .. } => true,
            JournalRecord::JobDropped { job } => self.jobs.remove(job).is_some(),
        };
        if applied {
            RecordEffect::Applied
        } else {
            self.stats.stale += 1;
            RecordEffect::Stale
        }
    }

    fn apply_revised(&mut self, revision: Revision) -> bool {
        let newer = revision > self.revision;
        self.revision = self.revision.max(revision);
        newer
    }

    fn apply_job(&mut self, spec: &JobSpec, tasks: &[u32]) -> bool {
        let spec = Arc::new(spec.clone());
        let job_state = self
            .jobs
            .entry(spec.name.clone())
            .or_insert_with(|| JobState {
                spec: spec.clone(),
                tasks: BTreeMap::new(),
            });
        job_state.spec = spec;
        for &index in tasks {
            job_state.tasks.entry(index).or_default();
        }
        true
    }

    fn apply_placed(&mut self, attempt: &AttemptId, worker: &WorkerId) -> bool {
        let Some(task_state) = self.task_state_mut(&attempt.task) else {
            return false;
        };
        if task_state.stage != TaskStage::Waiting || attempt.number != task_state.attempts + 1 {
            return false;
        }
        task_state.attempts = attempt.number;
        task_state.stage = TaskStage::Placed(worker.clone());
        self.placed
            .entry(worker.clone())
            .or_default()
            .insert(attempt.clone());
        self.stats.placed += 1;
        true
    }

    fn apply_requeued(
        &mut self,
        attempt: &AttemptId,
        cause: RequeueCause,
        checkpoint: &Option<String>,
    ) -> bool {
        if !self.unplace(attempt) {
            return false;
        }
        let task_state = self.task_state_mut(&attempt.task).expect("it was placed");
        task_state.stage = TaskStage::Waiting;
        if checkpoint.is_some() {
            task_state.checkpoint = checkpoint.clone();
        }
        match cause {
            RequeueCause::Evicted => {
                task_state.evictions += 1;
                self.stats.evictions += 1;
            }
            RequeueCause::Failed => task_state.failures += 1,
            RequeueCause::NotRun | RequeueCause::WorkerLost | RequeueCause::WatchEnded => {}
        }
        true
    }

    fn apply_finished(&mut self, attempt: &AttemptId, output: &str) -> bool {
        if !self.unplace(attempt) {
            self.stats.late_finishes += 1;
            return false;
        }
        let task_state = self.task_state_mut(&attempt.task).expect("it was placed");
        task_state.stage = TaskStage::Finished(output.to_owned());
        task_state.checkpoint = None;
        self.stats.finished += 1;
        true
    }

    fn apply_cancelled(&mut self, job: &JobId) -> bool {
        let Some(job_state) = self.jobs.get_mut(job) else {
            return false;
        };
        let mut any = false;
        let mut stopped = Vec::new();
        for (&index, task_state) in &mut job_state.tasks {
            if task_state.stage.is_over() {
                continue;
            }
            if let TaskStage::Placed(worker) = &task_state.stage {
                stopped.push((worker.clone(), index, task_state.attempts));
            }
            task_state.stage = TaskStage::Cancelled;
            any = true;
        }
        for (worker, index, number) in stopped {
            let task = TaskId {
                job: job.clone(),
                index,
            };
            self.forget_placed(&worker, &AttemptId { task, number });
        }
        any
    }

    fn apply_unplaceable(&mut self, task: &TaskId, reason: &str) -> bool {
        let waits = self
            .task_state(task)
            .is_some_and(|task_state| task_state.stage == TaskStage::Waiting);
        waits && self.end_task(task, TaskStage::Unplaceable(reason.to_owned()))
    }

    fn apply_handed_off(&mut self, task: &TaskId, to: &ShardId) -> bool {
        let Some(task_state) = self.task_state_mut(task) else {
            return false;
        };
        if task_state.stage != TaskStage::Waiting {
            return false;
        }
        task_state.stage = TaskStage::HandedOff(to.clone());
        task_state.hops += 1;
        true
    }

    /// Adds a handed-off task, unless the same hand-off was applied before.
    ///
    /// Each hand-off raises the task's hop count: an inbox entry that is read twice has a hop count that is already
    /// known, a task that returns to this shard has a higher one.
    fn apply_adopted(&mut self, handoff: &TaskHandoff) -> bool {
        let known = self.task_state(&handoff.task());
        if known.is_some_and(|known| known.hops >= handoff.state.hops) {
            return false;
        }
        let name = &handoff.job.name;
        if !self.jobs.contains_key(name) {
            self.apply_job(&handoff.job, &[]);
        }
        let job_state = self
            .jobs
            .get_mut(name)
            .expect("it is known or was just added");
        job_state.tasks.insert(handoff.index, handoff.state.clone());
        true
    }

    /// Moves a task to a final stage unless it has reached one; its placed attempt, if any, no longer counts.
    fn end_task(&mut self, task: &TaskId, stage: TaskStage) -> bool {
        let Some(task_state) = self.task_state_mut(task) else {
            return false;
        };
        if task_state.stage.is_over() {
            return false;
        }
        let before = std::mem::replace(&mut task_state.stage, stage);
        let number = task_state.attempts;
        if let TaskStage::Placed(worker) = before {
            let attempt = AttemptId {
                task: task.clone(),
                number,
            };
            self.forget_placed(&worker, &attempt);
        }
        true
    }

    /// Removes `attempt` from its worker; returns false where it isn't placed or isn't its task's newest attempt.
    fn unplace(&mut self, attempt: &AttemptId) -> bool {
        let Some(worker) = self.current_worker(attempt).cloned() else {
            return false;
        };
        self.forget_placed(&worker, attempt);
        true
    }

    fn forget_placed(&mut self, worker: &WorkerId, attempt: &AttemptId) {
        if let Some(attempts) = self.placed.get_mut(worker) {
            attempts.remove(attempt);
            if attempts.is_empty() {
                self.placed.remove(worker);
            }
        }
    }

    fn task_state_mut(&mut self, task: &TaskId) -> Option<&mut TaskState> {
        self.jobs.get_mut(&task.job)?.tasks.get_mut(&task.index)
    }

    /// Whether a job is a watch job, which never finishes.
    pub fn is_watch(&self, job: &JobId) -> bool {
        self.spec(job)
            .is_some_and(|spec| spec.kind == JobKind::Watch)
    }
}
