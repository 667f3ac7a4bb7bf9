//! Summarises what happened to the tasks of each job, by step. The log line of a job's end contains the summary, and shows where a
//! late or failed job lost its time.
//!
//! Log lines for single tasks are left out under load, because 1,400 starts a second are more than any log keeps. The summary of a
//! step takes about 100 bytes whatever its number of tasks, and is written once, with the job's end.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use sandshelf_model::{Millis, WorkerId};

use crate::ids::{JobNumber, TaskKey};
use crate::note::JobNote;
use crate::reports::RunOutcome;

/// The maximum number of steps in a job's summary, counting each repetition's steps; further ones are added to the last.
const MAX_STEPS: usize = 32;

/// What happened to the tasks of one step of one repetition.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct StepSummary {
    runs: u32,
    done: u32,
    failed: u32,
    stopped: u32,
    /// Runs that were given up or not carried out.
    lost: u32,
    first_start: Millis,
    last_start: Millis,
    longest_wait_ms: Millis,
    last_end: Millis,
    last_worker: Option<WorkerId>,
}

/// The summaries of jobs that have not ended, as this owner saw them.
#[derive(Clone, Debug, Default)]
pub struct JobSummaries {
    jobs: HashMap<JobNumber, BTreeMap<(u32, u32), StepSummary>>,
}

impl JobSummaries {
    /// Records a note. Returns the summary of a job with its end, with times in milliseconds since the job was submitted.
    pub fn note(&mut self, now: Millis, note: &JobNote) -> Option<String> {
        match note {
            JobNote::Placed { key, waited_ms, .. } => {
                let step = self.step(&key.task);
                if step.runs == 0 {
                    step.first_start = now;
                }
                step.runs += 1;
                step.last_start = now;
                step.longest_wait_ms = step.longest_wait_ms.max(*waited_ms);
            }
            JobNote::CopyStarted { key, .. } => self.step(&key.task).runs += 1,
            JobNote::Ended {
                key,
                worker,
                outcome,
            } => {
                let step = self.step(&key.task);
                match outcome {
                    RunOutcome::Done => step.done += 1,
                    RunOutcome::Failed => step.failed += 1,
                    RunOutcome::Stopped => step.stopped += 1,
                    RunOutcome::Lapsed | RunOutcome::Broken | RunOutcome::Alone => step.lost += 1,
                }
                step.last_end = now;
                step.last_worker = Some(worker.clone());
            }
            JobNote::RunLost { key, .. } | JobNote::StartRefused { key, .. } => {
                self.step(&key.task).lost += 1;
            }
            JobNote::JobFinished { job, took_ms, .. } => {
                let steps = self.jobs.remove(job).unwrap_or_default();
                let submitted_at = now.saturating_sub(*took_ms);
                return Some(format_steps(&steps, submitted_at));
            }
            _ => {}
        }
        None
    }

    /// The number of jobs with a summary.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    fn step(&mut self, task: &TaskKey) -> &mut StepSummary {
        let steps = self.jobs.entry(task.job).or_default();
        let mut position = (task.time, task.step);
        if steps.len() >= MAX_STEPS && !steps.contains_key(&position) {
            position = steps.keys().next_back().copied().unwrap_or(position);
        }
        steps.entry(position).or_default()
    }
}

fn format_steps(steps: &BTreeMap<(u32, u32), StepSummary>, submitted_at: Millis) -> String {
    let parts = steps.iter().map(|((time, step), summary)| {
        let since = summary.since(submitted_at);
        format!("{time}.{step}:{since}")
    });
    parts.collect::<Vec<_>>().join(" ")
}

impl StepSummary {
    /// The same summary with times relative to the submission of the job.
    fn since(&self, submitted_at: Millis) -> Self {
        Self {
            first_start: self.first_start.saturating_sub(submitted_at),
            last_start: self.last_start.saturating_sub(submitted_at),
            last_end: self.last_end.saturating_sub(submitted_at),
            ..self.clone()
        }
    }
}

impl fmt::Display for StepSummary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let StepSummary {
            runs,
            done,
            failed,
            stopped,
            lost,
            first_start,
            last_start,
            longest_wait_ms,
            last_end,
            last_worker,
        } = self;
        write!(
            formatter,
            "runs={runs},done={done},failed={failed},stopped={stopped},lost={lost},start={first_start}..{last_start}ms,\
             wait={longest_wait_ms}ms,end={last_end}ms"
        )?;
        match last_worker {
            Some(worker) => write!(formatter, ",last={worker}"),
            None => Ok(()),
        }
    }
}
