//! What callers get: how many jobs of each class were served in time, late, never in time or not at all, and how long standing
//! tasks served under their target.

use std::fmt;

use sandshelf_model::Millis;

/// A job has value until this multiple of its objective has passed.
const USEFUL_OBJECTIVE_FACTOR: Millis = 3;
/// The jobs of a class with most work that are counted separately, in percent.
const LARGEST_PERCENT: usize = 10;
/// The jobs below them that are counted separately, in percent.
const NEXT_LARGEST_PERCENT: usize = 20;

/// What the caller of a job got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// The job was completed within its objective.
    InTime,
    /// The job was completed after its objective, while it was of use.
    Late,
    /// The job was accepted, and was of no use any more when it was completed, if it was.
    NeverInTime,
    /// Each try to submit the job was refused.
    Refused,
    /// The caller's tries ended without an acceptance, at least one of them without an answer.
    NotAccepted,
    /// The job was given up because a task used up its attempts.
    Failed,
    /// The caller cancelled the job before it was completed.
    Cancelled,
    /// The simulation ended before the outcome was known.
    Open,
}

/// How the submission of a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmissionEnd {
    /// A host accepted the job.
    Accepted,
    /// Each try was refused.
    Refused,
    /// No host accepted the job, and at least one try got no answer.
    NotAccepted,
}

/// How a job that does not stand ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobEnd {
    /// It has not ended.
    None,
    /// It was shown as completed at this time, in milliseconds.
    Completed(Millis),
    /// It was given up.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
}

/// A job with a bounded amount of work, as its caller sees it. Times are in milliseconds since the start of the simulation.
#[derive(Clone, Copy, Debug)]
pub struct JobRecord {
    /// When its caller first tried to submit it.
    pub submitted_ms: Millis,
    /// How long it may take, from its true chain of work, in milliseconds.
    pub objective_ms: Millis,
    /// Its work in core-milliseconds.
    pub work: u64,
    /// How its submission ended.
    pub submission: SubmissionEnd,
    /// How it ended.
    pub end: JobEnd,
}

impl JobRecord {
    /// What its caller got by `until`, the end of the simulation.
    pub fn outcome(&self, until: Millis) -> JobOutcome {
        match self.submission {
            SubmissionEnd::Refused => return JobOutcome::Refused,
            SubmissionEnd::NotAccepted => return JobOutcome::NotAccepted,
            SubmissionEnd::Accepted => {}
        }
        let useless_at = self.submitted_ms + self.objective_ms * USEFUL_OBJECTIVE_FACTOR;
        match self.end {
            JobEnd::Completed(at) if at <= self.submitted_ms + self.objective_ms => {
                JobOutcome::InTime
            }
            JobEnd::Completed(at) if at <= useless_at => JobOutcome::Late,
            JobEnd::Completed(_) => JobOutcome::NeverInTime,
            JobEnd::Failed => JobOutcome::Failed,
            JobEnd::Cancelled => JobOutcome::Cancelled,
            JobEnd::None if until > useless_at => JobOutcome::NeverInTime,
            JobEnd::None => JobOutcome::Open,
        }
    }
}

/// How many jobs had each outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// See [`JobOutcome::InTime`].
    pub in_time: usize,
    /// See [`JobOutcome::Late`].
    pub late: usize,
    /// See [`JobOutcome::NeverInTime`].
    pub never_in_time: usize,
    /// See [`JobOutcome::Refused`].
    pub refused: usize,
    /// See [`JobOutcome::NotAccepted`].
    pub not_accepted: usize,
    /// See [`JobOutcome::Failed`].
    pub failed: usize,
    /// See [`JobOutcome::Cancelled`].
    pub cancelled: usize,
    /// See [`JobOutcome::Open`].
    pub open: usize,
}

impl OutcomeCounts {
    /// Counts one outcome.
    pub fn note(&mut self, outcome: JobOutcome) {
        *match outcome {
            JobOutcome::InTime => &mut self.in_time,
            JobOutcome::Late => &mut self.late,
            JobOutcome::NeverInTime => &mut self.never_in_time,
            JobOutcome::Refused => &mut self.refused,
            JobOutcome::NotAccepted => &mut self.not_accepted,
            JobOutcome::Failed => &mut self.failed,
            JobOutcome::Cancelled => &mut self.cancelled,
            JobOutcome::Open => &mut self.open,
        } += 1;
    }

    /// The jobs of which the outcome is known and that their callers did not cancel.
    pub fn decided(&self) -> usize {
        let accepted = self.in_time + self.late + self.never_in_time + self.failed;
        accepted + self.refused + self.not_accepted
    }

    /// The share of the decided jobs that were served in time; `None` if there are none.
    pub fn in_time_share(&self) -> Option<f64> {
        let decided = self.decided();
        (decided > 0).then(|| self.in_time as f64 / decided as f64)
    }

    fn of(jobs: &[JobRecord], until: Millis) -> Self {
        let mut counts = Self::default();
        for job in jobs {
            counts.note(job.outcome(until));
        }
        counts
    }
}

/// The outcomes of the jobs of a class, all of them and those with most work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SizedOutcomes {
    /// All jobs.
    pub all: OutcomeCounts,
    /// The tenth of them with most work.
    pub largest: OutcomeCounts,
    /// The fifth of them with most work below that tenth.
    pub next_largest: OutcomeCounts,
}

impl SizedOutcomes {
    /// Counts the outcomes of jobs by `until`, the end of the simulation.
    pub fn count(mut jobs: Vec<JobRecord>, until: Millis) -> Self {
        jobs.sort_by_key(|job| std::cmp::Reverse(job.work));
        let (largest, rest) = jobs.split_at(jobs.len() * LARGEST_PERCENT / 100);
        let next_count = jobs.len() * NEXT_LARGEST_PERCENT / 100;
        Self {
            all: OutcomeCounts::of(&jobs, until),
            largest: OutcomeCounts::of(largest, until),
            next_largest: OutcomeCounts::of(&rest[..next_count], until),
        }
    }
}

/// The time of the standing tasks of accepted jobs, each from its job's acceptance to the cancellation, in milliseconds summed
/// over tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StandingTime {
    /// The whole time.
    pub total_ms: u64,
    /// The time at work.
    pub at_work_ms: u64,
    /// The time at work with a tail latency of at most the target.
    pub on_target_ms: u64,
}

impl StandingTime {
    /// The share of the time at work, and of the time at work and under target; `None` if there was no time.
    pub fn shares(&self) -> Option<(f64, f64)> {
        let share = |part: u64| part as f64 / self.total_ms as f64;
        (self.total_ms > 0).then(|| (share(self.at_work_ms), share(self.on_target_ms)))
    }
}

/// What the callers of a class got whose jobs run until they are cancelled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StandingOutcomes {
    /// The jobs that were accepted.
    pub accepted: usize,
    /// See [`JobOutcome::Refused`].
    pub refused: usize,
    /// See [`JobOutcome::NotAccepted`].
    pub not_accepted: usize,
    /// The time of their tasks.
    pub time: StandingTime,
}

/// What the callers of one class got, counted over the jobs that were submitted during the traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassOutcomes {
    /// The queue of the class.
    pub queue: &'static str,
    /// The outcomes of its jobs.
    pub kind: OutcomeKind,
}

/// The outcomes of a class by the kind of its jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutcomeKind {
    /// The jobs end.
    Ending(SizedOutcomes),
    /// The jobs run until they are cancelled. Their time includes that of the jobs that were submitted before the traffic.
    Standing(StandingOutcomes),
}

impl ClassOutcomes {
    /// The share of what callers asked for that they got: of the decided jobs those in time, or of the task time that at work and
    /// under target. `None` if callers asked for nothing.
    pub fn served_share(&self) -> Option<f64> {
        match &self.kind {
            OutcomeKind::Ending(sized) => sized.all.in_time_share(),
            OutcomeKind::Standing(standing) => standing.time.shares().map(|(_, target)| target),
        }
    }
}

fn share_text(share: Option<f64>) -> String {
    share.map_or("-".to_owned(), |share| format!("{share:.3}"))
}

impl fmt::Display for OutcomeCounts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} served in time; {} in time, {} late, {} never in time, {} refused, {} not accepted, {} failed, {} cancelled, {} open",
            share_text(self.in_time_share()),
            self.in_time,
            self.late,
            self.never_in_time,
            self.refused,
            self.not_accepted,
            self.failed,
            self.cancelled,
            self.open
        )
    }
}

impl fmt::Display for ClassOutcomes {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            OutcomeKind::Ending(sized) => {
                writeln!(formatter, "class {}: {}", self.queue, sized.all)?;
                writeln!(formatter, "  largest tenth: {}", sized.largest)?;
                write!(formatter, "  next fifth: {}", sized.next_largest)
            }
            OutcomeKind::Standing(standing) => {
                let shares = standing.time.shares();
                write!(
                    formatter,
                    "class {}: {} of the task time at work and under target, {} at work; {} jobs accepted, {} refused, {} not accepted",
                    self.queue,
                    share_text(shares.map(|(_, target)| target)),
                    share_text(shares.map(|(at_work, _)| at_work)),
                    standing.accepted,
                    standing.refused,
                    standing.not_accepted
                )
            }
        }
    }
}
