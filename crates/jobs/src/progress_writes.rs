//! Chooses the parts of jobs' progress that a commit writes, and the pages that it removes.

use sandshelf_model::Millis;

use crate::commit_budget::{CommitBudget, StoredSize};
use crate::dirty::{ProgressPart, WaitingChange};
use crate::events::CommitBatch;
use crate::ids::JobNumber;
use crate::limits::{
    MAX_CHECKPOINT_BYTES_IN_FULL_PART, MAX_FORGOTTEN_JOBS_PER_COMMIT,
    MAX_OBSOLETE_PAGES_PER_COMMIT, MAX_PROGRESS_PART_BYTES,
};
use crate::note::JobNote;
use crate::progress::{ProgressRow, TaskProgress};
use crate::progress_page::{PageKey, ProgressPage};
use crate::scheduler::JobScheduler;

/// A part of a job's progress to be written.
#[derive(Clone, Debug)]
enum ChangedPart {
    Row(JobNumber, ProgressRow),
    Page(PageKey, ProgressPage),
}

impl ChangedPart {
    fn size(&self) -> StoredSize {
        match self {
            ChangedPart::Row(_, row) => StoredSize::of(row),
            ChangedPart::Page(_, page) => StoredSize::of(page),
        }
    }

    fn tasks_mut(&mut self) -> &mut [TaskProgress] {
        match self {
            ChangedPart::Row(_, row) => &mut row.tasks,
            ChangedPart::Page(_, page) => &mut page.tasks,
        }
    }

    /// Removes long checkpoints; returns how many.
    fn remove_long_checkpoints(&mut self) -> usize {
        let is_long = |text: &mut String| text.len() > MAX_CHECKPOINT_BYTES_IN_FULL_PART;
        let tasks = self.tasks_mut().iter_mut();
        tasks
            .filter_map(|task| task.checkpoint.take_if(is_long))
            .count()
    }
}

impl JobScheduler {
    /// Adds the parts of progress that changed first to a commit, as many as fit.
    pub(crate) fn add_changed_progress(
        &mut self,
        batch: &mut CommitBatch,
        budget: &mut CommitBudget,
    ) {
        while let Some(WaitingChange { part, .. }) = self.dirty.first() {
            if let Some(changed) = self.changed_part(&part) {
                let (changed, size) = self.fit_into_a_write(changed);
                if !budget.take_size(size) {
                    break;
                }
                match changed {
                    ChangedPart::Row(number, row) => batch.progress.push((number, row)),
                    ChangedPart::Page(key, page) => batch.pages.push((key, page)),
                }
            }
            self.dirty.remove_first();
            self.note_taken(&part);
        }
    }

    /// The content of a changed part; none if it counts no more.
    fn changed_part(&self, part: &ProgressPart) -> Option<ChangedPart> {
        let job = self.jobs.get(&part.job());
        match part {
            ProgressPart::Row(number) => {
                let row = match job {
                    Some(job) => job.progress_row(),
                    None => self.final_rows.get(number)?.clone(),
                };
                Some(ChangedPart::Row(*number, row))
            }
            ProgressPart::Page(key) => Some(ChangedPart::Page(*key, job?.progress_page(key)?)),
        }
    }

    /// A part and its size, without long checkpoints if it is too large with them. The owner keeps these in memory; only under its
    /// successor the tasks start from their beginning.
    fn fit_into_a_write(&mut self, mut part: ChangedPart) -> (ChangedPart, StoredSize) {
        let size = part.size();
        if size.bytes <= MAX_PROGRESS_PART_BYTES {
            return (part, size);
        }
        let checkpoints = part.remove_long_checkpoints();
        let job = match &part {
            ChangedPart::Row(number, _) => *number,
            ChangedPart::Page(key, _) => key.job,
        };
        self.note(JobNote::CheckpointsLeftOut {
            job,
            checkpoints,
            bytes: size.bytes,
        });
        let size = part.size();
        (part, size)
    }

    /// Handles that a part is being written.
    fn note_taken(&mut self, part: &ProgressPart) {
        match part {
            ProgressPart::Row(number) => {
                self.final_rows.remove(number);
                self.obsolete_pages.note_row_written(*number);
            }
            ProgressPart::Page(key) => {
                if let Some(job) = self.jobs.get_mut(&key.job) {
                    job.stored_pages.insert(*key);
                }
            }
        }
    }

    /// A limited number of pages that count no more.
    pub(crate) fn pages_to_remove(&mut self, budget: &mut CommitBudget) -> Vec<PageKey> {
        let mut pages = Vec::new();
        while pages.len() < MAX_OBSOLETE_PAGES_PER_COMMIT
            && !self.obsolete_pages.none_removable()
            && budget.take_removal()
        {
            pages.extend(self.obsolete_pages.take_next());
        }
        pages
    }

    /// A limited number of jobs that ended long ago and have no pages any more. They stay known here until the write is requested.
    pub(crate) fn outdated_jobs(
        &mut self,
        now: Millis,
        budget: &mut CommitBudget,
    ) -> Vec<JobNumber> {
        let keep_ms = self.limits.keep_finished_ms;
        let pages = &self.obsolete_pages;
        let old = |at: Millis, number| now > at + keep_ms && !pages.has_pages_of(number);
        let count = self.finished_at.iter().take(MAX_FORGOTTEN_JOBS_PER_COMMIT);
        let count = count.take_while(|(at, number)| old(*at, *number) && budget.take_removal());
        let count = count.count();
        let outdated = self.finished_at.drain(..count);
        outdated.map(|(_, number)| number).collect()
    }
}
