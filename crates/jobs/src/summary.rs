//! What happened to each job, a few figures a step: one line that tells where a late or failed job lost its time.
//!
//! Lines for single tasks have to be left out under load: 1,400 starts a second are more than any log keeps. The figures of a
//! step take some 100 bytes however wide it is, and come with the job's end.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use sandshelf_model::{Millis, WorkerId};

use crate::ids::{JobNumber, TaskKey};
use crate::note::JobNote;
use crate::reports::RunOutcome;

/// So many steps of a job are told apart, those of its repetitions included; what comes behind counts with the last.
const STEPS_TOLD: usize = 32;

/// What happened to the tasks of one step.
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

/// The stories of jobs that have not ended, as one owner saw them.
#[derive(Clone, Debug, Default)]
pub struct JobSummaries {
    jobs: HashMap<JobNumber, BTreeMap<(u32, u32), StepSummary>>,
}

impl JobSummaries {
    /// Takes in what happened; returns a job's story with its end, by times since it was handed in.
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
                let handed_in = now.saturating_sub(*took_ms);
                return Some(tell(&steps, handed_in));
            }
            _ => {}
        }
        None
    }

    /// How many jobs have a story.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    fn step(&mut self, task: &TaskKey) -> &mut StepSummary {
        let steps = self.jobs.entry(task.job).or_default();
        let mut place = (task.time, task.step);
        if steps.len() >= STEPS_TOLD && !steps.contains_key(&place) {
            place = steps.keys().next_back().copied().unwrap_or(place);
        }
        steps.entry(place).or_default()
    }
}

fn tell(steps: &BTreeMap<(u32, u32), StepSummary>, handed_in: Millis) -> String {
    let told = steps.iter().map(|((time, step), story)| {
        let since = story.since(handed_in);
        format!("{time}.{step}:{since}")
    });
    told.collect::<Vec<_>>().join(" ")
}

impl StepSummary {
    /// The same with times since the job was handed in.
    fn since(&self, handed_in: Millis) -> Self {
        Self {
            first_start: self.first_start.saturating_sub(handed_in),
            last_start: self.last_start.saturating_sub(handed_in),
            last_end: self.last_end.saturating_sub(handed_in),
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
