//! Builds commits: the progress of many jobs in one write, together with the counts of waiting
//! jobs.

use std::collections::BTreeMap;

use sandshelf_model::Millis;

use crate::events::{CommitBatch, JobAction};
use crate::ids::JobNumber;
use crate::interference::InterferenceRow;
use crate::limits::{
    INTERFERENCE_WRITE_INTERVAL_MS, MAX_FORGOTTEN_JOBS_PER_COMMIT, MAX_JOBS_PER_COMMIT,
    MIN_COMMIT_INTERVAL_MS, PENDING_PUBLISH_INTERVAL_MS,
};
use crate::progress::ProgressRow;
use crate::roster::WorkerRoster;
use crate::scheduler::{JobScheduler, NotedEnds, PendingCommit};
use crate::stage::JobStage;

impl JobScheduler {
    /// Starts a commit if there is something to write and no commit is in flight.
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
        // Everything that is taken from here on must be written: it can't be put back.
        let pending = self.changed_pending(now);
        let forget = self.outdated_jobs(now);
        let silent = self.update_silence_records(now, self.commit_count + 1);
        let wanted = !self.dirty.is_empty()
            || silent.is_some()
            || self.roster_changed
            || pending.is_some()
            || !forget.is_empty();
        if !wanted {
            return;
        }
        self.commit_count += 1;
        let capacity = MAX_JOBS_PER_COMMIT - forget.len();
        let numbers: Vec<JobNumber> = self.dirty.iter().take(capacity).copied().collect();
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
        let interference = self.due_interference(now);
        self.actions.push(JobAction::Commit(CommitBatch {
            id: self.commit_count,
            progress,
            pending,
            interference,
            forget,
            roster,
            silent,
        }));
    }

    /// What was learnt about images, if it was last written long enough ago. It is only written
    /// along with other changes.
    fn due_interference(&mut self, now: Millis) -> Option<InterferenceRow> {
        if now < self.interference_written_at + INTERFERENCE_WRITE_INTERVAL_MS {
            return None;
        }
        self.interference_written_at = now;
        Some(self.interference.to_row(&self.images)).filter(|row| !row.pairs.is_empty())
    }

    /// A limited number of jobs that ended long ago. They stay known here until the write is
    /// requested.
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
        let unwritten = self.workers.iter();
        let unwritten = unwritten.filter(|(_, worker)| worker.incarnation.has_unwritten());
        let ends = unwritten.map(|(id, worker)| NotedEnds {
            worker: id.clone(),
            incarnation: worker.incarnation.id,
            newest: worker.incarnation.noted,
        });
        ends.collect()
    }

    fn roster_entries(&self) -> WorkerRoster {
        let known = self.workers.iter();
        let named: Vec<_> = known.filter(|(id, _)| self.roster.contains(*id)).collect();
        let workers = named.iter();
        let workers = workers.map(|(id, worker)| ((*id).clone(), worker.entry.address));
        let any_known = named
            .iter()
            .any(|(_, worker)| worker.incarnation.id.is_some());
        let lives = named.iter().filter(|_| any_known);
        WorkerRoster {
            epoch: self.epoch,
            workers: workers.collect(),
            lives: lives.map(|(_, worker)| worker.incarnation.id).collect(),
            lease_ms: Some(self.roster_lease_ms),
        }
    }

    /// Acknowledges all processed ends, since no change waits to be written.
    fn acknowledge_all(&mut self, now: Millis) {
        let gap = self.backlog.renewal_gap_ms();
        for ends in self.noted_ends() {
            if let Some(state) = self.workers.get_mut(&ends.worker) {
                state.incarnation.durable = ends.newest;
            }
            self.schedule_renewal(&ends.worker, now + gap);
        }
    }

    /// Handles a commit that took effect: its ends may be acknowledged.
    pub(crate) fn handle_commit(&mut self, now: Millis, id: u64) {
        let Some(commit) = self.commit.take_if(|commit| commit.id == id) else {
            return;
        };
        self.note_records_removed(now, id);
        self.lease_published |= commit.roster;
        self.release_noted(now, commit.crashed);
        let gap = self.backlog.renewal_gap_ms();
        for ends in commit.noted {
            let state = self.workers.get_mut(&ends.worker);
            // End numbers of an earlier incarnation don't apply to the current one.
            let Some(state) = state.filter(|state| state.incarnation.id == ends.incarnation) else {
                continue;
            };
            state.incarnation.durable = state.incarnation.durable.max(ends.newest);
            if !state.incarnation.has_unwritten() {
                self.schedule_renewal(&ends.worker, now + gap);
            }
        }
    }

    /// The counts of waiting jobs by queue, if they changed and may be published again.
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
