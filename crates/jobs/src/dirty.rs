//! The jobs whose changed progress has not been written yet.

use std::collections::{HashSet, VecDeque};

use sandshelf_model::Millis;

use crate::ids::JobNumber;
use crate::scheduler::NotedEnds;

/// A job whose changed progress waits to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WaitingChange {
    pub(crate) job: JobNumber,
    /// When the oldest change of it that is not written was made.
    pub(crate) since: Millis,
}

/// Jobs in the order in which they changed. A job that changes again before it is written keeps its place.
#[derive(Clone, Debug, Default)]
pub(crate) struct DirtyJobs {
    queue: VecDeque<WaitingChange>,
    contained: HashSet<JobNumber>,
    /// How many jobs were ever added, and how many of these were removed.
    added: u64,
    removed: u64,
}

impl DirtyJobs {
    pub(crate) fn add(&mut self, now: Millis, job: JobNumber) {
        if self.contained.insert(job) {
            self.queue.push_back(WaitingChange { job, since: now });
            self.added += 1;
        }
    }

    pub(crate) fn first(&self) -> Option<WaitingChange> {
        self.queue.front().copied()
    }

    pub(crate) fn remove_first(&mut self) {
        if let Some(change) = self.queue.pop_front() {
            self.contained.remove(&change.job);
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

/// Ends of runs that become durable with the jobs that had changed when they were noted.
///
/// Commits are limited in size, and where much changes there are always some jobs that are not written yet. So the ends don't
/// wait until no job is left, but for those that they may have changed: all that were in the queue at that moment.
#[derive(Clone, Debug)]
pub(crate) struct UnwrittenEnds {
    ends: Vec<NotedEnds>,
    /// How many jobs had been added by then.
    added: u64,
}

impl UnwrittenEnds {
    pub(crate) fn new(ends: Vec<NotedEnds>, dirty: &DirtyJobs) -> Self {
        Self {
            ends,
            added: dirty.added,
        }
    }

    /// The ends, once all jobs that they wait for have left the queue.
    pub(crate) fn into_written(self, dirty: &DirtyJobs) -> Result<Vec<NotedEnds>, Self> {
        match dirty.removed >= self.added {
            true => Ok(self.ends),
            false => Err(self),
        }
    }
}
