//! Checks of starts after a successful end that is acknowledged later, and what owners concluded before a task started again.

use std::collections::BTreeMap;

use sandshelf_jobs::{JobNote, RunKey, RunOutcome, TaskKey};
use sandshelf_model::{Epoch, Millis, WorkerId};

use super::PlatformEmulator;
use crate::support::oracle::BrokenRule;

/// The starts and successful ends of all tasks, and why owners gave runs up.
#[derive(Default)]
pub(super) struct SecondRuns {
    /// The starts of each task: the run, its worker and when it began.
    starts: BTreeMap<TaskKey, Vec<(u64, WorkerId, Millis)>>,
    /// When each successful run ended.
    done: BTreeMap<RunKey, Millis>,
    conclusions: BTreeMap<TaskKey, Vec<String>>,
    /// The result of each owner's takeover.
    takeovers: BTreeMap<Epoch, String>,
}

impl SecondRuns {
    pub(super) fn note_start(&mut self, now: Millis, worker: &WorkerId, key: RunKey) {
        let starts = self.starts.entry(key.task).or_default();
        starts.push((key.run, worker.clone(), now));
    }

    pub(super) fn note_end(&mut self, now: Millis, key: RunKey, outcome: RunOutcome) {
        if outcome == RunOutcome::Done {
            self.done.insert(key, now);
        }
    }

    /// Records from what an owner concludes that a task has no run any more.
    pub(super) fn note_conclusion(&mut self, now: Millis, epoch: Epoch, note: &JobNote) {
        let (task, what) = match note {
            JobNote::RunLost {
                key, worker, cause, ..
            } => (key.task, format!("{key} lost on {worker} as {cause:?}")),
            JobNote::StartRefused {
                key,
                worker,
                answer,
            } => (key.task, format!("{key} on {worker} answered {answer:?}")),
            JobNote::Unfound(task) => {
                let takeover = self.takeovers.get(&epoch);
                let takeover = takeover.map_or("", String::as_str);
                (*task, format!("unfound, {takeover}"))
            }
            JobNote::TakeoverOver {
                waited_ms,
                unanswered,
                ..
            } => {
                let what = format!("takeover over after {waited_ms} ms, silent {unanswered:?}");
                self.takeovers.insert(epoch, what);
                return;
            }
            _ => return,
        };
        let conclusions = self.conclusions.entry(task).or_default();
        conclusions.push(format!("{now}: owner {epoch}: {what}"));
    }

    /// Whether a run of the task began after another had ended.
    fn has_start_after(&self, ended: RunKey) -> bool {
        let starts = self.starts.get(&ended.task);
        let (Some(ended_at), Some(starts)) = (self.done.get(&ended), starts) else {
            return false;
        };
        let mut others = starts.iter().filter(|(run, ..)| *run != ended.run);
        others.any(|(.., at)| at >= ended_at)
    }
}

impl PlatformEmulator {
    /// Reports a start that came after a successful end whose acknowledgement arrives only now. The lease of the worker has not expired
    /// between that end and its acknowledgement.
    pub(super) fn check_acknowledged(&mut self, key: RunKey) {
        if self.copies_allowed(&key.task) {
            return;
        }
        if !self.second_runs.has_start_after(key) {
            return;
        }
        let ended_at = self.second_runs.done.get(&key).copied().unwrap_or(0);
        let what = format!("{key} is acknowledged, done since {ended_at}, after another start");
        let seen = self.oracle.broken.len();
        self.oracle.report(self.now, BrokenRule::Twice, what);
        self.explain_since(seen, &key.task);
    }

    fn copies_allowed(&self, task: &TaskKey) -> bool {
        let mut jobs = self.jobs.iter();
        let spec = jobs.find_map(|(number, spec)| spec.as_ref().filter(|_| *number == task.job));
        let step = spec.and_then(|spec| spec.steps.get(task.step as usize));
        step.is_some_and(|step| step.copies_allowed)
    }

    /// Adds to the violations from this number on what owners concluded about the task before.
    pub(super) fn explain_since(&mut self, seen: usize, task: &TaskKey) {
        let conclusions = self.second_runs.conclusions.get(task);
        let conclusions = conclusions.map_or(&[][..], Vec::as_slice);
        let starts = self.second_runs.starts.get(task);
        for (_, _, what) in &mut self.oracle.broken[seen..] {
            what.push_str(&format!("; starts {starts:?}; concluded {conclusions:?}"));
        }
    }
}
