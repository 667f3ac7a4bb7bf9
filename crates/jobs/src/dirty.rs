//! The parts of jobs' progress that have changed and have not been written yet.

use std::collections::{HashSet, VecDeque};

use sandshelf_model::Millis;

use crate::ids::JobNumber;
use crate::progress_page::PageKey;
use crate::scheduler::NotedEnds;

/// A part of a job's progress that is written as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum ProgressPart {
    /// The job's row, with the tasks of a small job.
    Row(JobNumber),
    /// Some tasks of a large job.
    Page(PageKey),
}

impl ProgressPart {
    pub(crate) fn job(&self) -> JobNumber {
        match self {
            ProgressPart::Row(job) => *job,
            ProgressPart::Page(page) => page.job,
        }
    }
}

/// A changed part that waits to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WaitingChange {
    pub(crate) part: ProgressPart,
    /// When the oldest change of it that is not written was made.
    pub(crate) since: Millis,
}

/// Changed parts in the order in which they changed. A part that changes again before it is written keeps its place.
#[derive(Clone, Debug, Default)]
pub(crate) struct DirtyParts {
    queue: VecDeque<WaitingChange>,
    contained: HashSet<ProgressPart>,
    /// How many parts were ever added, and how many of these were removed.
    added: u64,
    removed: u64,
}

impl DirtyParts {
    pub(crate) fn add(&mut self, now: Millis, part: ProgressPart) {
        if self.contained.insert(part) {
            self.queue.push_back(WaitingChange { part, since: now });
            self.added += 1;
        }
    }

    pub(crate) fn first(&self) -> Option<WaitingChange> {
        self.queue.front().copied()
    }

    pub(crate) fn remove_first(&mut self) {
        if let Some(change) = self.queue.pop_front() {
            self.contained.remove(&change.part);
            self.removed += 1;
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.queue.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}

/// Ends of runs that become durable with the parts of progress that had changed when they were noted.
///
/// Commits are limited in size, and where much changes there are always some parts that are not written yet. So the ends don't
/// wait until no part is left, but for those that they may have changed: all that were in the queue at that moment.
#[derive(Clone, Debug)]
pub(crate) struct UnwrittenEnds {
    ends: Vec<NotedEnds>,
    /// How many parts had been added by then.
    added: u64,
}

impl UnwrittenEnds {
    pub(crate) fn new(ends: Vec<NotedEnds>, dirty: &DirtyParts) -> Self {
        Self {
            ends,
            added: dirty.added,
        }
    }

    /// The ends, once all parts that they wait for have left the queue.
    pub(crate) fn into_written(self, dirty: &DirtyParts) -> Result<Vec<NotedEnds>, Self> {
        match dirty.removed >= self.added {
            true => Ok(self.ends),
            false => Err(self),
        }
    }
}
