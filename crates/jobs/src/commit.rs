//! What is written durably, and when: many jobs in one write, and the numbers of waiting jobs beside them.

use std::collections::BTreeMap;

use sandshelf_model::Millis;

use crate::events::{CommitBatch, JobAction};
use crate::ids::JobNumber;
use crate::limits::{
    INTERFERENCE_WRITE_INTERVAL_MS, MAX_FORGOTTEN_JOBS_PER_COMMIT, MAX_JOBS_PER_COMMIT,
    MIN_COMMIT_INTERVAL_MS, PENDING_PUBLISH_INTERVAL_MS,
};
use crate::press::StrengthRow;
use crate::progress::ProgressRow;
use crate::roster::WorkerRoster;
use crate::scheduler::{JobScheduler, NotedEnds, PendingCommit};
use crate::stage::JobStage;

impl JobScheduler {
    /// Begins a write where one is wanted and none is under way.
    pub(crate) fn begin_commit(&mut self, now: Millis) {
        if self.commit.is_some() {
            return;
        }
        if self.dirty.is_empty() && std::mem::take(&mut self.unacknowledged) {
            self.acknowledge_all(now);
        }
        let due = self.urgent || now >= self.last_commit + MIN_COMMIT_INTERVAL_MS;
        if !due {
            return;
        }
        // What is taken out here is written in any case: there is no way back behind this line.
        let pending = self.changed_pending(now);
        let forget = self.outdated_jobs(now);
        let silent = self.changed_marks(now, self.commit_count + 1);
        let wanted = !self.dirty.is_empty()
            || silent.is_some()
            || self.roster_changed
            || pending.is_some()
            || !forget.is_empty();
        if !wanted {
            return;
        }
        self.commit_count += 1;
        let room = MAX_JOBS_PER_COMMIT - forget.len();
        let numbers: Vec<JobNumber> = self.dirty.iter().take(room).copied().collect();
        self.dirty.drain(..numbers.len());
        let complete = self.dirty.is_empty();
        let crashed = self.crashes.take_unwritten(&numbers);
        let mut progress = Vec::with_capacity(numbers.len());
        for number in numbers {
            self.dirty_set.remove(&number);
            if let Some(row) = self.progress_of(number) {
                progress.push((number, row));
            }
        }
        self.urgent = self.urgent && !complete;
        self.last_commit = now;
        let roster = std::mem::take(&mut self.roster_changed).then(|| self.roster_entries());
        self.commit = Some(PendingCommit {
            id: self.commit_count,
            roster: roster.is_some(),
            noted: if complete {
                self.noted_ends()
            } else {
                Vec::new()
            },
            crashed,
        });
        let strengths = self.due_strengths(now);
        self.actions.push(JobAction::Commit(CommitBatch {
            id: self.commit_count,
            progress,
            pending,
            strengths,
            forget,
            roster,
            silent,
        }));
    }

    /// What is learnt of images, where it was last written some time ago; it goes along with other writes.
    fn due_strengths(&mut self, now: Millis) -> Option<StrengthRow> {
        if now < self.strengths_at + INTERFERENCE_WRITE_INTERVAL_MS {
            return None;
        }
        self.strengths_at = now;
        Some(self.press.to_row(&self.images)).filter(|row| !row.pairs.is_empty())
    }

    /// Jobs that ended long ago, a few at a time; they stay known here until the write is asked for.
    fn outdated_jobs(&mut self, now: Millis) -> Vec<JobNumber> {
        let old = |at: Millis| now > at + self.limits.keep_finished_ms;
        let count = self.finished_at.iter().take(MAX_FORGOTTEN_JOBS_PER_COMMIT);
        let count = count.take_while(|(at, _)| old(*at)).count();
        self.finished_at
            .drain(..count)
            .map(|(_, number)| number)
            .collect()
    }

    fn progress_of(&mut self, number: JobNumber) -> Option<ProgressRow> {
        match self.jobs.get(&number) {
            Some(job) => Some(job.progress()),
            None => self.final_rows.remove(&number),
        }
    }

    fn noted_ends(&self) -> Vec<NotedEnds> {
        let fresh = self.workers.iter();
        let fresh = fresh.filter(|(_, worker)| worker.life.has_unwritten());
        let ends = fresh.map(|(id, worker)| NotedEnds {
            worker: id.clone(),
            incarnation: worker.life.name,
            newest: worker.life.noted,
        });
        ends.collect()
    }

    fn roster_entries(&self) -> WorkerRoster {
        let known = self.workers.iter();
        let named: Vec<_> = known.filter(|(id, _)| self.roster.contains(*id)).collect();
        let workers = named.iter();
        let workers = workers.map(|(id, worker)| ((*id).clone(), worker.entry.address));
        let told = named.iter().any(|(_, worker)| worker.life.name.is_some());
        let lives = named.iter().filter(|_| told);
        WorkerRoster {
            epoch: self.epoch,
            workers: workers.collect(),
            lives: lives.map(|(_, worker)| worker.life.name).collect(),
            lease_ms: Some(self.roster_lease_ms),
        }
    }

    /// Nothing waits to be written: all ends that were taken in may be acknowledged.
    fn acknowledge_all(&mut self, now: Millis) {
        let gap = self.strain.hold_gap_ms();
        for ends in self.noted_ends() {
            if let Some(state) = self.workers.get_mut(&ends.worker) {
                state.life.durable = ends.newest;
            }
            self.hold_at(&ends.worker, now + gap);
        }
    }

    /// Takes in that a write took effect: its ends may be acknowledged.
    pub(crate) fn take_commit(&mut self, now: Millis, id: u64) {
        let Some(commit) = self.commit.take_if(|commit| commit.id == id) else {
            return;
        };
        self.note_marks_gone(now, id);
        self.lease_published |= commit.roster;
        self.release_noted(now, commit.crashed);
        let gap = self.strain.hold_gap_ms();
        for ends in commit.noted {
            let state = self.workers.get_mut(&ends.worker);
            // Numbers of a life that is over say nothing of the one that has begun since.
            let Some(state) = state.filter(|state| state.life.name == ends.incarnation) else {
                continue;
            };
            state.life.durable = state.life.durable.max(ends.newest);
            if !state.life.has_unwritten() {
                self.hold_at(&ends.worker, now + gap);
            }
        }
    }

    /// The numbers of waiting jobs, where they changed and are due to be published.
    fn changed_pending(&mut self, now: Millis) -> Option<BTreeMap<String, u64>> {
        if self.state_pending || now < self.pending_published_at + PENDING_PUBLISH_INTERVAL_MS {
            return None;
        }
        let mut counts: BTreeMap<String, u64> = BTreeMap::new();
        for job in self.jobs.values() {
            if job.stage == JobStage::Queued && job.spec.repeat.is_none() {
                *counts.entry(job.spec.queue.clone()).or_default() += 1;
            }
        }
        if counts == self.pending_counts {
            return None;
        }
        self.pending_published_at = now;
        self.pending_counts = counts.clone();
        Some(counts)
    }
}
