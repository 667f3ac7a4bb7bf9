//! The jobs whose changed progress has not been written yet.

use std::collections::{HashSet, VecDeque};

use crate::ids::JobNumber;
use crate::scheduler::NotedEnds;

/// Jobs in the order in which they changed. A job that changes again before it is written keeps its place.
#[derive(Clone, Debug, Default)]
pub(crate) struct DirtyJobs {
    queue: VecDeque<JobNumber>,
    contained: HashSet<JobNumber>,
    /// How many jobs were ever added, and how many of these were removed.
    added: u64,
    removed: u64,
}

impl DirtyJobs {
    pub(crate) fn add(&mut self, number: JobNumber) {
        if self.contained.insert(number) {
            self.queue.push_back(number);
            self.added += 1;
        }
    }

    pub(crate) fn first(&self) -> Option<JobNumber> {
        self.queue.front().copied()
    }

    pub(crate) fn remove_first(&mut self) {
        if let Some(number) = self.queue.pop_front() {
            self.contained.remove(&number);
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
