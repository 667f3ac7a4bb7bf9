//! Applies configurations, adopts handed-off tasks, applies the platform's list of workers and queues waiting tasks.

use std::collections::BTreeSet;
use std::sync::Arc;

use sandshelf_config::{ConfigSet, JobSpec};
use sandshelf_model::{
    rendezvous_score, AttemptId, JobId, Millis, Revision, ShardId, TaskId, WorkerId,
};
use sandshelf_place::{PlaceWeights, TaskReservation, WorkerEntry};

use crate::journal::{JournalRecord, TaskHandoff};
use crate::owner::ShardOwner;
use crate::ownership::LeaseStage;
use crate::session::WorkerSession;
use crate::task_state::TaskStage;

/// The shard that a task belongs to until it is handed off, chosen by rendezvous hashing; none where `shards` is empty.
pub fn home_shard<'a>(job: &JobId, index: u32, shards: &'a [ShardId]) -> Option<&'a ShardId> {
    shards.iter().max_by_key(|shard| {
        let score = rendezvous_score(job.as_str(), u64::from(index), shard.as_str());
        (score, *shard)
    })
}

impl ShardOwner {
    pub(crate) fn on_configured(
        &mut self,
        revision: Revision,
        set: Arc<ConfigSet>,
        shards: Arc<Vec<ShardId>>,
    ) {
        let known = self.config.as_ref().map_or(0, |(known, _, _)| *known);
        if revision < known {
            return;
        }
        let weights = PlaceWeights {
            tail: f64::from(set.weights.tail),
            throughput: f64::from(set.weights.throughput),
            evictions: f64::from(set.weights.evictions),
        };
        self.pool.set_weights(weights);
        self.gauge.set_weights(weights);
        self.config = Some((revision, set, shards));
    }

    /// Buffers the records that bring the shard's state to a newer configuration.
    pub(crate) fn apply_config(&mut self) {
        let Some((revision, set, shards)) = self.config.clone() else {
            return;
        };
        let buffered = self.buffer.iter().any(is_revised);
        if revision <= self.state.revision || buffered || self.pending.is_some() {
            return;
        }
        for spec in &set.jobs {
            self.record_job(spec, &shards);
        }
        let declared: BTreeSet<&JobId> = set.jobs.iter().map(|spec| &spec.name).collect();
        let undeclared: Vec<JobId> = self
            .state
            .jobs
            .keys()
            .filter(|job| !declared.contains(job))
            .cloned()
            .collect();
        for job in undeclared {
            self.retire_job(&job);
        }
        self.buffer.push(JournalRecord::Revised { revision });
        self.urgent_pending = true;
    }

    fn record_job(&mut self, spec: &JobSpec, shards: &[ShardId]) {
        let known = self.state.jobs.get(&spec.name);
        if known.is_some_and(|job_state| *job_state.spec == *spec) {
            return;
        }
        let own = |index: &u32| home_shard(&spec.name, *index, shards) == Some(&self.shard);
        let tasks: Vec<u32> = (0..spec.tasks).filter(own).collect();
        if tasks.is_empty() && known.is_none() {
            return;
        }
        self.end_excess_tasks(spec);
        self.buffer.push(JournalRecord::JobAdded {
            job: spec.clone(),
            tasks,
        });
    }

    /// Ends the open tasks beyond the task count of a job's new declaration.
    fn end_excess_tasks(&mut self, spec: &JobSpec) {
        let Some(job_state) = self.state.jobs.get(&spec.name) else {
            return;
        };
        let excess = job_state.tasks.range(spec.tasks..);
        let open: Vec<u32> = excess
            .filter(|(_, task_state)| !task_state.stage.is_over())
            .map(|(index, _)| *index)
            .collect();
        for index in open {
            self.buffer.push(JournalRecord::Failed {
                task: TaskId {
                    job: spec.name.clone(),
                    index,
                },
                reason: "its job was declared anew with fewer tasks".to_owned(),
            });
        }
    }

    /// Cancels the open tasks of a job that is no longer declared, and drops the job.
    fn retire_job(&mut self, job: &JobId) {
        let over = self
            .state
            .jobs
            .get(job)
            .is_some_and(|job_state| job_state.is_over());
        if !over {
            self.buffer
                .push(JournalRecord::Cancelled { job: job.clone() });
        }
        self.buffer
            .push(JournalRecord::JobDropped { job: job.clone() });
    }

    pub(crate) fn on_inbox(&mut self, read_number: u64, handoffs: Vec<TaskHandoff>) {
        if read_number != self.inbox_read_number
            || read_number < self.first_valid_inbox_read
            || !self.is_settled()
        {
            return;
        }
        let known = self.config.as_ref().map_or(0, |(known, _, _)| *known);
        for handoff in handoffs {
            let task = handoff.task();
            if handoff.revision > known.min(self.state.revision) {
                continue;
            }
            if !self.adopting.insert(task.clone()) {
                continue;
            }
            self.buffer.push(if self.is_declared(&task.job) {
                let handoff = Box::new(handoff);
                JournalRecord::Adopted { handoff }
            } else {
                JournalRecord::InboxDropped { task }
            });
        }
    }

    /// Whether this host owns the shard and no commit is in progress.
    fn is_settled(&self) -> bool {
        *self.lease.stage() == LeaseStage::Holding && self.pending.is_none()
    }

    fn is_declared(&self, job: &JobId) -> bool {
        let set = self.config.as_ref().map(|(_, set, _)| set);
        set.is_some_and(|set| set.jobs.iter().any(|spec| &spec.name == job))
    }

    pub(crate) fn on_workers_listed(
        &mut self,
        present: Vec<WorkerEntry>,
        leaving: BTreeSet<WorkerId>,
        gone: BTreeSet<WorkerId>,
    ) {
        self.gone.extend(gone);
        self.leaving.extend(leaving);
        for entry in present {
            if self.gone.contains(&entry.worker) {
                continue;
            }
            let known = self.listed.get(&entry.worker) == Some(&entry);
            self.listed.insert(entry.worker.clone(), entry.clone());
            if *self.lease.stage() == LeaseStage::Holding && !known {
                self.add_worker(&entry);
            }
        }
        let gone: Vec<WorkerId> = self.gone.iter().cloned().collect();
        for worker in gone {
            self.mark_gone(&worker);
        }
        let leaving: Vec<WorkerId> = self.leaving.iter().cloned().collect();
        for worker in leaving {
            self.drain_worker(&worker);
        }
    }

    pub(crate) fn add_worker(&mut self, entry: &WorkerEntry) {
        self.add_session(&entry.worker);
        let reported = self.sessions[&entry.worker].reported_capacity;
        let mut entry = entry.clone();
        entry.capacity = reported.unwrap_or(entry.capacity);
        self.pool.upsert(&entry);
    }

    pub(crate) fn add_session(&mut self, worker: &WorkerId) {
        let silent_until = self.claimed_at + self.silence_ms;
        let session = self
            .sessions
            .entry(worker.clone())
            .or_insert_with(|| WorkerSession::new(silent_until));
        session.gone = self.gone.contains(worker);
        session.leaving = self.leaving.contains(worker);
    }

    fn mark_gone(&mut self, worker: &WorkerId) {
        self.listed.remove(worker);
        if let Some(session) = self.sessions.get_mut(worker) {
            session.gone = true;
            self.pool.set_open(worker, false);
        }
    }

    /// Closes a worker that is to be drained, and evicts its confirmed attempts that can be checkpointed.
    fn drain_worker(&mut self, worker: &WorkerId) {
        self.pool.set_open(worker, false);
        let Some(session) = self.sessions.get_mut(worker) else {
            return;
        };
        session.leaving = true;
        let reservations: Vec<TaskReservation> = self.pool.reservations(worker).to_vec();
        for reservation in reservations
            .iter()
            .filter(|reservation| reservation.checkpoint)
        {
            if session.confirmed.contains(&reservation.attempt)
                && !session.evicting.contains(&reservation.attempt)
            {
                session.push_checkpoint(&reservation.attempt);
            }
        }
    }

    /// Adds a task to the queue if it is waiting.
    pub(crate) fn enqueue(&mut self, now: Millis, task: &TaskId) {
        let waits = self
            .state
            .task_state(task)
            .is_some_and(|task_state| task_state.stage == TaskStage::Waiting);
        let Some(spec) = self.state.spec(&task.job).cloned() else {
            return;
        };
        if !waits {
            return;
        }
        let key = self.pending_key(&spec);
        self.urgent_pending |= key.urgent;
        self.queue.insert(&key, task);
        self.waiting_since.entry(task.clone()).or_insert(now);
    }

    /// Removes a task from the queue.
    pub(crate) fn unqueue(&mut self, task: &TaskId) {
        self.wait_reasons.remove(task);
        self.waiting_since.remove(task);
        if let Some(spec) = self.state.spec(&task.job).cloned() {
            let key = self.pending_key(&spec);
            self.queue.remove(&key, task);
        }
    }

    /// Removes every task of a job from the queue.
    pub(crate) fn unqueue_job(&mut self, job: &JobId) {
        let Some(job_state) = self.state.jobs.get(job) else {
            return;
        };
        let tasks: Vec<u32> = job_state.tasks.keys().copied().collect();
        for index in tasks {
            let task = TaskId {
                job: job.clone(),
                index,
            };
            self.unqueue(&task);
        }
    }

    /// The attempts, with their workers, that are placed before `record` is applied and that it may end.
    pub(crate) fn placed_before(&self, record: &JournalRecord) -> Vec<(WorkerId, AttemptId)> {
        match record {
            JournalRecord::Cancelled { job } => self.placed_of(job, None),
            JournalRecord::Failed { task, .. } => self.placed_of(&task.job, Some(task.index)),
            _ => Vec::new(),
        }
    }

    fn placed_of(&self, job: &JobId, only: Option<u32>) -> Vec<(WorkerId, AttemptId)> {
        let Some(job_state) = self.state.jobs.get(job) else {
            return Vec::new();
        };
        let mut placed = Vec::new();
        for (&index, task_state) in &job_state.tasks {
            if only.is_some_and(|only| only != index) {
                continue;
            }
            if let TaskStage::Placed(worker) = &task_state.stage {
                let task = TaskId {
                    job: job.clone(),
                    index,
                };
                let number = task_state.attempts;
                placed.push((worker.clone(), AttemptId { task, number }));
            }
        }
        placed
    }

    /// Stops an attempt that is no longer placed; its capacity stays held until the worker reports its end.
    pub(crate) fn stop_if_superseded(&mut self, worker: &WorkerId, attempt: &AttemptId) {
        if self.state.current_worker(attempt).is_some() {
            return;
        }
        if let Some(session) = self.sessions.get_mut(worker) {
            session.push_stop(attempt);
        }
    }
}

fn is_revised(record: &JournalRecord) -> bool {
    matches!(record, JournalRecord::Revised { .. })
}
