//! Pages of the progress of large jobs, so that a change of one task doesn't rewrite all others, and no job outgrows a write.
//!
//! A page holds a bounded number of tasks of one step of one repetition. The pages and the row of a job are written one after another.
//! Whatever was written last, together they are a state that the job has been in as far as a successor is concerned:
//!
//! - Changes are written in the order in which they were first made, so a step's pages come before those of the steps that wait for it.
//! - A job's row is written before its first page, and a page is removed only once the row says that its tasks count no more.
//! - The row is removed after the last page, so that no page is left to another job of the same number.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::events::CommitBatch;
use crate::ids::{BadIdentifier, JobNumber, TaskKey};
use crate::progress::{ProgressRow, TaskProgress};

/// The number of tasks in a page. Jobs with no more tasks than this have no pages.
pub(crate) const TASKS_PER_PAGE: u32 = 128;
/// Separates the job in the text of a [`PageKey`].
const JOB_SEPARATOR: char = '/';
/// Separates the numbers in the text of a [`PageKey`].
const NUMBER_SEPARATOR: char = '-';

/// Identifies a page of a job's progress; written as `job/time-step-page`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PageKey {
    /// The job.
    pub job: JobNumber,
    /// The repetition, from 0.
    pub time: u32,
    /// The step, from 0.
    pub step: u32,
    /// The page within the step, from 0.
    pub page: u32,
}

impl PageKey {
    /// The page that holds a task.
    pub(crate) fn of(task: &TaskKey) -> Self {
        Self {
            job: task.job,
            time: task.time,
            step: task.step,
            page: task.index / TASKS_PER_PAGE,
        }
    }

    /// The index of the page's first task within the step.
    pub(crate) fn first_index(&self) -> u32 {
        self.page.saturating_mul(TASKS_PER_PAGE)
    }
}

impl fmt::Display for PageKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let PageKey {
            job,
            time,
            step,
            page,
        } = self;
        write!(
            formatter,
            "{job}{JOB_SEPARATOR}{time}{NUMBER_SEPARATOR}{step}{NUMBER_SEPARATOR}{page}"
        )
    }
}

impl FromStr for PageKey {
    type Err = BadIdentifier;

    fn from_str(text: &str) -> Result<Self, BadIdentifier> {
        let (job, numbers) = text.split_once(JOB_SEPARATOR).ok_or(BadIdentifier)?;
        let numbers = numbers.split(NUMBER_SEPARATOR).map(str::parse::<u32>);
        let numbers: Vec<u32> = numbers
            .collect::<Result<_, _>>()
            .map_err(|_| BadIdentifier)?;
        let [time, step, page] = numbers[..] else {
            return Err(BadIdentifier);
        };
        Ok(Self {
            job: job.parse()?,
            time,
            step,
            page,
        })
    }
}

/// Consecutive tasks of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRange {
    /// The index of the first task.
    #[serde(rename = "i")]
    pub first: u32,
    /// The number of tasks.
    #[serde(rename = "n")]
    pub count: u32,
}

/// The stored progress of the tasks of a page.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ProgressPage {
    /// The tasks that are done and of which nothing else is kept.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<TaskRange>,
    /// The other tasks that differ from a new one.
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    pub tasks: Vec<TaskProgress>,
}

impl ProgressPage {
    /// Creates the page of these tasks, in the order of their indices.
    pub(crate) fn new(tasks: impl IntoIterator<Item = TaskProgress>) -> Self {
        let mut page = Self::default();
        for task in tasks {
            match task.is_only_done() {
                true => page.add_done(task.index),
                false => page.tasks.push(task),
            }
        }
        page
    }

    fn add_done(&mut self, index: u32) {
        match self.done.last_mut() {
            Some(range) if range.first + range.count == index => range.count += 1,
            _ => self.done.push(TaskRange {
                first: index,
                count: 1,
            }),
        }
    }

    /// The tasks of the page with this key that differ from a new one.
    pub(crate) fn tasks(&self, key: &PageKey) -> Vec<TaskProgress> {
        let page = key.first_index()..key.first_index().saturating_add(TASKS_PER_PAGE);
        let done = self.done.iter();
        let done = done.flat_map(|range| range.first..range.first.saturating_add(range.count));
        let done = done.filter(|index| page.contains(index));
        let done = done.map(|index| TaskProgress {
            time: key.time,
            step: key.step,
            index,
            done: true,
            ..TaskProgress::default()
        });
        done.chain(self.tasks.iter().cloned()).collect()
    }
}

/// The durable progress of all jobs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredProgress {
    /// The row of each job.
    pub rows: BTreeMap<JobNumber, ProgressRow>,
    /// The pages of large jobs.
    pub pages: BTreeMap<PageKey, ProgressPage>,
}

impl StoredProgress {
    /// Applies a write that took effect.
    pub fn apply(&mut self, batch: &CommitBatch) {
        for number in &batch.forget {
            self.rows.remove(number);
        }
        for key in &batch.obsolete_pages {
            self.pages.remove(key);
        }
        self.rows.extend(batch.progress.iter().cloned());
        self.pages.extend(batch.pages.iter().cloned());
    }

    /// Removes and returns the pages of a job.
    pub(crate) fn take_pages(&mut self, job: JobNumber) -> BTreeMap<PageKey, ProgressPage> {
        let first = PageKey {
            job,
            time: 0,
            step: 0,
            page: 0,
        };
        let last = PageKey {
            job,
            time: u32::MAX,
            step: u32::MAX,
            page: u32::MAX,
        };
        self.pages.extract_if(first..=last, |_, _| true).collect()
    }
}

impl<const N: usize> From<[(JobNumber, ProgressRow); N]> for StoredProgress {
    fn from(rows: [(JobNumber, ProgressRow); N]) -> Self {
        Self {
            rows: rows.into(),
            ..Self::default()
        }
    }
}
