//! A rig in which one run of a step is slow and has a copy.

use sandshelf_jobs::{
    EndReport, JobNote, JobSpec, OrderAnswer, QueueRules, RunKey, RunReport, SchedulerLimits,
    StepSpec, TakeoverInfo,
};
use sandshelf_model::{LoadPolicies, LoadPolicy};

use super::{job, listing, rules, step, SchedulerRig};

/// The workers of the rig, each on a rack of its own.
pub const WORKERS: [&str; 4] = ["w-1", "w-2", "w-3", "w-4"];

pub fn limits() -> SchedulerLimits {
    let policies = LoadPolicies::default();
    SchedulerLimits {
        policies: policies.with(LoadPolicy::Copies),
        ..SchedulerLimits::default()
    }
}

/// A step of three tasks, each of which takes half a worker, and which allows copies.
pub fn copied_step() -> StepSpec {
    StepSpec {
        copies_allowed: true,
        most_per_worker: 1,
        size: sandshelf_model::ResourceSize::new(8_000, 8_000, 0),
        ..step(3)
    }
}

pub fn copied_job(max_attempts: u32) -> JobSpec {
    JobSpec {
        rules: QueueRules {
            max_attempts,
            ..rules()
        },
        ..job(vec![copied_step()])
    }
}

pub fn run_at(key: RunKey, percent: u32) -> RunReport {
    RunReport {
        key,
        checkpoint: None,
        percent,
        gauge: None,
    }
}

/// A step of three tasks, the first of which is slow.
pub struct CopyRig {
    pub rig: SchedulerRig,
    /// The first run of each task and its worker; that of the slow task first.
    pub runs: Vec<(String, RunKey)>,
    /// The percents that the workers report of these runs.
    pub percents: Vec<u32>,
}

impl CopyRig {
    /// The first owner, with a job of three running tasks.
    pub fn new(limits: SchedulerLimits, spec: JobSpec) -> Self {
        let mut rig = SchedulerRig::with_limits(limits, TakeoverInfo::first(1, 1_000));
        let list = WORKERS.iter().map(|name| {
            let mut entry = listing(name);
            entry.rack = Some(format!("rack of {name}"));
            entry
        });
        rig.list_entries(list.collect());
        for name in WORKERS {
            rig.report(name, vec![], vec![]);
        }
        rig.hand_in(7, 0, spec);
        let starts = rig.take_starts();
        assert_eq!(starts.len(), 3);
        let runs = starts
            .into_iter()
            .map(|(worker, start)| (worker, start.key));
        Self {
            rig,
            runs: runs.collect(),
            percents: vec![0; 3],
        }
    }

    /// All workers report; the runs are at these percents.
    pub fn report(&mut self, percents: [u32; 3]) {
        self.percents = percents.to_vec();
        self.report_with(&[], &[]);
    }

    /// All workers report, each with the runs of the rig and with further runs and ends.
    pub fn report_with(&mut self, further: &[(&str, RunReport)], ended: &[(&str, EndReport)]) {
        self.report_from(&WORKERS, further, ended);
    }

    /// Some workers report, each with the runs of the rig and with further runs and ends.
    pub fn report_from(
        &mut self,
        names: &[&str],
        further: &[(&str, RunReport)],
        ended: &[(&str, EndReport)],
    ) {
        for name in names {
            let own = self.runs.iter().zip(&self.percents);
            let own = own.filter(|((worker, _), _)| worker == name);
            let own = own.map(|((_, key), percent)| run_at(*key, *percent));
            let further = further.iter().filter(|(worker, _)| worker == name);
            let running = own.chain(further.map(|(_, run)| run.clone()));
            let ended = ended.iter().filter(|(worker, _)| worker == name);
            let ended = ended.map(|(_, end)| end.clone()).collect();
            self.rig.report(name, running.collect(), ended);
        }
    }

    /// The first task is slow by two readings of all runs.
    pub fn slow_first(&mut self) {
        for percents in [[2, 20, 21], [4, 40, 41]] {
            self.rig.advance(200);
            self.report(percents);
        }
        self.rig.advance(100);
    }

    /// The ordered start of the copy, answered as done.
    pub fn take_copy(&mut self) -> (String, RunKey) {
        let starts = self.rig.take_starts();
        let [(worker, start)] = &starts[..] else {
            panic!("one copy is started, not {starts:?}");
        };
        assert_eq!(start.key.task, self.runs[0].1.task);
        assert_ne!(start.key.run, self.runs[0].1.run);
        (worker.clone(), start.key)
    }

    /// The slow task has a copy, whose start was answered.
    pub fn with_copy(max_attempts: u32) -> (Self, String, RunKey) {
        let mut rig = Self::new(limits(), copied_job(max_attempts));
        rig.slow_first();
        let (worker, copy) = rig.take_copy();
        rig.rig.actions.clear();
        (rig, worker, copy)
    }

    /// Time passes while the workers report the runs of the rig, all of which but the slow one progress, and further ones.
    pub fn pass(&mut self, times: usize, further: &[(&str, RunReport)]) {
        for _ in 0..times {
            self.rig.advance(250);
            for percent in self.percents.iter_mut().rev().take(2) {
                *percent = (*percent + 20).min(99);
            }
            self.report_with(further, &[]);
        }
    }

    /// The slow run has ended or is lost: its worker does not list it any more.
    pub fn forget_slow(&mut self) {
        self.runs.remove(0);
        self.percents.remove(0);
    }

    /// The number of notes for which a condition holds.
    pub fn notes(&self, wanted: impl Fn(&JobNote) -> bool) -> usize {
        let notes = self.rig.actions.iter();
        let notes = notes.filter(|action| match action {
            sandshelf_jobs::JobAction::Note(note) => wanted(note),
            _ => false,
        });
        notes.count()
    }

    /// A start order gets no answer.
    pub fn start_unanswered(&mut self, worker: &str, key: RunKey) {
        self.rig.start_answered(worker, key, OrderAnswer::Unknown);
    }
}
