//! Pages of progress that count no more and are to be removed.

use std::collections::{BTreeMap, VecDeque};

use crate::ids::JobNumber;
use crate::progress_page::PageKey;

/// Pages of ended jobs and of finished repetitions. They may be removed once the job's row that says so is durable.
#[derive(Clone, Debug, Default)]
pub(crate) struct ObsoletePages {
    /// The pages whose job's row is not written yet.
    unwritten: BTreeMap<JobNumber, Vec<PageKey>>,
    /// The pages that may be removed, and how many of each job they are.
    removable: VecDeque<PageKey>,
    counts: BTreeMap<JobNumber, usize>,
}

impl ObsoletePages {
    /// Adds pages that count no more as soon as the job's row is written again.
    pub(crate) fn add_unwritten(&mut self, job: JobNumber, pages: Vec<PageKey>) {
        if !pages.is_empty() {
            self.unwritten.entry(job).or_default().extend(pages);
        }
    }

    /// Adds pages that already count no more by their job's durable row.
    pub(crate) fn add_removable(&mut self, pages: impl IntoIterator<Item = PageKey>) {
        for page in pages {
            *self.counts.entry(page.job).or_default() += 1;
            self.removable.push_back(page);
        }
    }

    /// Handles that a job's row is being written: its pages may be removed with a later write.
    pub(crate) fn note_row_written(&mut self, job: JobNumber) {
        if let Some(pages) = self.unwritten.remove(&job) {
            self.add_removable(pages);
        }
    }

    /// Removes and returns the next page that may be removed.
    pub(crate) fn take_next(&mut self) -> Option<PageKey> {
        let page = self.removable.pop_front()?;
        if let Some(count) = self.counts.get_mut(&page.job) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&page.job);
            }
        }
        Some(page)
    }

    /// Whether pages of this job are still to be removed.
    pub(crate) fn has_pages_of(&self, job: JobNumber) -> bool {
        self.unwritten.contains_key(&job) || self.counts.contains_key(&job)
    }

    /// Whether no page may be removed at present.
    pub(crate) fn none_removable(&self) -> bool {
        self.removable.is_empty()
    }
}
