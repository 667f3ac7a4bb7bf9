//! Collects what callers get, for the report.

use std::collections::HashMap;

use sandshelf_jobs::{JobStage, TaskKey};
use sandshelf_model::Millis;

use super::callers::SubmittedJob;
use super::{EmulatedWorld, WARM_UP_MS};
use crate::deployment::TaskKind;
use crate::oracle::{BrokenRule, TailState};
use crate::outcomes::{
    ClassOutcomes, JobEnd, JobRecord, OutcomeKind, SizedOutcomes, StandingOutcomes, StandingTime,
    SubmissionEnd,
};
use crate::queue::MS;

/// How often the serving tasks are looked at, in milliseconds.
pub(super) const STANDING_SAMPLE_INTERVAL_MS: Millis = 500;

impl EmulatedWorld {
    /// Adds the time since the last sample to that of the standing tasks of accepted jobs, by class.
    pub(super) fn sample_standing(&mut self, tails: &HashMap<TaskKey, TailState>) {
        let times = &mut self.monitor.standing_times;
        times.resize(self.deployment.classes.len(), StandingTime::default());
        for job in &self.callers.jobs {
            let class = &self.deployment.classes[job.class];
            let serves = matches!(class.kind, TaskKind::Serving(_));
            if !serves || !job.accepted || job.cancelled_at.is_some() {
                continue;
            }
            let time = &mut times[job.class];
            for (task, _) in self.oracle.standing_tasks_of(job.number) {
                time.total_ms += STANDING_SAMPLE_INTERVAL_MS;
                let Some(tail) = tails.get(task) else {
                    continue;
                };
                time.at_work_ms += STANDING_SAMPLE_INTERVAL_MS;
                time.on_target_ms +=
                    STANDING_SAMPLE_INTERVAL_MS * u64::from(*tail == TailState::OnTarget);
            }
        }
    }

    /// Reports jobs that ran although each try to submit them was refused.
    pub(super) fn check_refusals(&mut self) {
        let jobs = self.callers.jobs.iter();
        let refused = jobs.filter(|job| self.submission_end(job) == SubmissionEnd::Refused);
        let ran = refused.filter(|job| self.oracle.has_run(job.number));
        for number in ran.map(|job| job.number).collect::<Vec<_>>() {
            let what = format!("{number} was refused in each try, and ran");
            self.oracle.report(self.now / MS, BrokenRule::Refused, what);
        }
    }

    /// What the callers of each class got.
    pub(super) fn class_outcomes(&self) -> Vec<ClassOutcomes> {
        let classes = self.deployment.classes.iter().enumerate();
        let outcomes = classes.map(|(index, class)| {
            let jobs = self.callers.jobs.iter();
            let jobs = jobs.filter(|job| job.class == index && job.submitted >= WARM_UP_MS * MS);
            let kind = match class.kind {
                TaskKind::Serving(_) => OutcomeKind::Standing(self.standing_outcomes(index, jobs)),
                TaskKind::Ordinary | TaskKind::Filling => {
                    let records = jobs.map(|job| self.job_record(job)).collect();
                    OutcomeKind::Ending(SizedOutcomes::count(records, self.now / MS))
                }
            };
            ClassOutcomes {
                queue: class.queue,
                kind,
            }
        });
        outcomes.collect()
    }

    fn standing_outcomes<'a>(
        &self,
        class: usize,
        jobs: impl Iterator<Item = &'a SubmittedJob>,
    ) -> StandingOutcomes {
        let times = &self.monitor.standing_times;
        let mut outcomes = StandingOutcomes {
            time: times.get(class).copied().unwrap_or_default(),
            ..StandingOutcomes::default()
        };
        for job in jobs {
            *match self.submission_end(job) {
                SubmissionEnd::Accepted => &mut outcomes.accepted,
                SubmissionEnd::Refused => &mut outcomes.refused,
                SubmissionEnd::NotAccepted => &mut outcomes.not_accepted,
            } += 1;
        }
        outcomes
    }

    fn job_record(&self, job: &SubmittedJob) -> JobRecord {
        let demand = self.catalog.demand(job.number).unwrap_or_default();
        JobRecord {
            submitted_ms: job.submitted / MS,
            objective_ms: demand.objective_ms,
            work: demand.work,
            submission: self.submission_end(job),
            end: self.job_end(job),
        }
    }

    fn job_end(&self, job: &SubmittedJob) -> JobEnd {
        if let Some(at) = job.completed_at {
            return JobEnd::Completed(at / MS);
        }
        if job.cancelled_at.is_some() {
            return JobEnd::Cancelled;
        }
        let progress = self.store.progress.get(&job.number);
        match progress.map(|(row, _)| row.stage) {
            Some(JobStage::Failed) => JobEnd::Failed,
            _ => JobEnd::None,
        }
    }
}
