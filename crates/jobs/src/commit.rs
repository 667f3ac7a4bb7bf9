//! Builds commits: the progress of many jobs in one write, together with the counts of waiting
//! jobs.
//!
//! A commit is filled up to a budget of rows and bytes. What doesn't fit stays marked as changed and
//! follows with the next one.

use std::collections::{BTreeMap, HashSet};

use sandshelf_model::Millis;

use crate::admission::LoadView;
use crate::commit_budget::CommitBudget;
use crate::dirty::{ProgressPart, UnwrittenEnds};
use crate::events::{CommitBatch, JobAction};
use crate::ids::TaskKey;
use crate::interference::InterferenceRow;
use crate::limits::{
    INTERFERENCE_WRITE_INTERVAL_MS, MAX_PAGE_BYTES_PER_COMMIT, MAX_PAGE_ROWS_PER_COMMIT,
    MIN_COMMIT_INTERVAL_MS, PENDING_PUBLISH_INTERVAL_MS,
};
use crate::queues::QueueAddress;
use crate::roster::{RosterChange, RosterHead};
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
        self.update_silence_records(now);
        // Everything that is taken from here on must be written: it can't be put back.
        let id = self.commit_count + 1;
        let mut budget = CommitBudget::new();
        let mut batch = CommitBatch {
            id,
            forget: self.outdated_jobs(now, &mut budget),
            obsolete_pages: self.pages_to_remove(&mut budget),
            ..CommitBatch::default()
        };
        let mut page_budget = budget.with_most(MAX_PAGE_ROWS_PER_COMMIT, MAX_PAGE_BYTES_PER_COMMIT);
        let whole = page_budget;
        batch.roster = self.changed_roster(&mut page_budget);
        batch.silent = self.changed_silence_records(id, &mut page_budget);
        budget.take_used(whole, page_budget);
        let load = self.load_to_write(now);
        batch.pending = self.changed_pending(now, load.as_ref(), &mut budget);
        batch.load = load.filter(|_| batch.pending.is_some());
        self.add_changed_progress(&mut batch, &mut budget);
        if batch.is_empty() {
            return;
        }
        let noted = self.take_written_ends();
        self.commit_count = id;
        self.urgent = self.urgent && !self.dirty.is_empty();
        self.last_commit = now;
        self.commit = Some(PendingCommit {
            id,
            roster_head: batch.roster.head.is_some(),
            noted,
            crashed: self.take_written_crashes(&batch),
        });
        batch.interference = self.due_interference(now, &mut budget);
        self.actions.push(JobAction::Commit(batch));
    }

    /// The tasks whose crash notes are in the commit that is being built.
    fn take_written_crashes(&mut self, batch: &CommitBatch) -> Vec<TaskKey> {
        if !self.crashes.has_unwritten() {
            return Vec::new();
        }
        let rows = batch.progress.iter();
        let rows = rows.map(|(number, _)| ProgressPart::Row(*number));
        let pages = batch.pages.iter().map(|(key, _)| ProgressPart::Page(*key));
        let written: HashSet<ProgressPart> = rows.chain(pages).collect();
        let jobs = &self.jobs;
        self.crashes.take_unwritten(|task| {
            let job = jobs.get(&task.job);
            job.is_some_and(|job| written.contains(&job.part_of(task)))
        })
    }

    /// The ends that are durable with the commit that is being built, if it writes the last of the progress that they wait for.
    fn take_written_ends(&mut self) -> Vec<NotedEnds> {
        let ends = self.unwritten_ends.take();
        let ends = ends.unwrap_or_else(|| UnwrittenEnds::new(self.noted_ends(), &self.dirty));
        match ends.into_written(&self.dirty) {
            Ok(ends) => ends,
            Err(unwritten) => {
                self.unwritten_ends = Some(unwritten);
                Vec::new()
            }
        }
    }

    /// The head of the roster if it changed, and the changed pages, as many as fit.
    fn changed_roster(&mut self, budget: &mut CommitBudget) -> RosterChange {
        let mut change = RosterChange::default();
        let head = RosterHead {
            epoch: self.epoch,
            lease_ms: Some(self.roster_lease_ms),
        };
        if self.roster.head_changed && budget.take(&head) {
            self.roster.head_changed = false;
            change.head = Some(head);
        }
        for page in self.roster.changed_pages() {
            let content = self.roster.content(page, &self.workers, &self.store_clock);
            if !budget.take(&content) {
                break;
            }
            self.roster.note_requested(page);
            change.pages.insert(page, content);
        }
        change
    }

    /// What was learnt about images, if it was last written long enough ago. It is only written
    /// along with other changes.
    fn due_interference(
        &mut self,
        now: Millis,
        budget: &mut CommitBudget,
    ) -> Option<InterferenceRow> {
        if now < self.interference_written_at + INTERFERENCE_WRITE_INTERVAL_MS {
            return None;
        }
        let learnt = self.interference.to_row(&self.images);
        if !learnt.pairs.is_empty() && !budget.take(&learnt) {
            return None;
        }
        self.interference_written_at = now;
        Some(learnt).filter(|learnt| !learnt.pairs.is_empty())
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
        self.lease_published |= commit.roster_head;
        self.note_published();
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

    /// The counts of waiting jobs by the address of their queue, if they or the load that is written with them changed and may be published again.
    fn changed_pending(
        &mut self,
        now: Millis,
        load: Option<&LoadView>,
        budget: &mut CommitBudget,
    ) -> Option<BTreeMap<QueueAddress, u64>> {
        if self.state_pending || now < self.pending_published_at + PENDING_PUBLISH_INTERVAL_MS {
            return None;
        }
        let mut counts: BTreeMap<QueueAddress, u64> = BTreeMap::new();
        let waiting = self.jobs.values();
        let waiting =
            waiting.filter(|job| job.stage == JobStage::Queued && job.spec.repeat.is_none());
        for address in waiting.filter_map(|job| self.queues.address_of(&job.spec)) {
            *counts.entry(address.clone()).or_default() += 1;
        }
        let published = self.pending_counts.get_or_insert_default();
        let unchanged = counts == *published && load.is_none();
        if unchanged || !budget.take(&(&counts, load)) {
            return None;
        }
        published.clone_from(&counts);
        self.pending_published_at = now;
        Some(counts)
    }
}
