//! Checks what workers and callers saw against what must always hold.

mod away;
mod crashes;
mod hosts;
mod idle;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use sandshelf_jobs::{JobNumber, JobSpec, JobStage, RunKey, RunOutcome, TaskKey};
use sandshelf_model::{Millis, ResourceSize, WorkerId};

use away::AwayTimes;
pub use away::UsableCapacity;
use crashes::CrashCounts;
pub use hosts::{HostObservation, HostOracle};
use idle::OpenJob;

/// The times within which things have to happen, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RuleBounds {
    /// How long after its cancellation a job's tasks may still be started.
    pub cancel_ms: Millis,
    /// How much longer they may still be at work.
    pub stop_ms: Millis,
    /// How long a standing task may be away from work where there is room for it.
    pub away_ms: Millis,
    /// For how long of that all has to be undisturbed where half of the room or more is in use.
    pub calm_ms: Millis,
    /// How long after its acknowledgement a configuration has to be in force.
    pub config_ms: Millis,
    /// A host is in touch when nothing has disturbed it for so long.
    pub contact_ms: Millis,
    /// After how long a worker that says that it leaves must get nothing new.
    pub drain_ms: Millis,
    /// After how long the workers of an evacuated hall must.
    pub evacuate_ms: Millis,
    /// How long after all hosts are back requests have to be served.
    pub recovery_ms: Millis,
}

impl RuleBounds {
    /// Those of the small deployments.
    pub const SMALL: Self = Self {
        cancel_ms: 3_000,
        stop_ms: 900,
        away_ms: 9_000,
        calm_ms: 7_000,
        config_ms: 2_000,
        contact_ms: 3_000,
        drain_ms: 2_000,
        evacuate_ms: 5_000,
        recovery_ms: 12_000,
    };

    /// Those of the grown deployments.
    pub const GROWN: Self = Self {
        cancel_ms: 4_000,
        config_ms: 3_000,
        contact_ms: 4_000,
        drain_ms: 3_000,
        recovery_ms: 15_000,
        ..Self::SMALL
    };
}

impl Default for RuleBounds {
    fn default() -> Self {
        Self::SMALL
    }
}

/// What must never happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BrokenRule {
    /// Two runs of a task at once, or a start after an end as done was acknowledged.
    Twice,
    /// A start before the steps before it were done.
    Order,
    /// A worker given more than it has.
    Limit,
    /// A start after as many failed runs as are allowed.
    Budget,
    /// A start of what nobody handed in, or of a job long cancelled.
    Unasked,
    /// A start on a worker that has long said that it leaves.
    Drain,
    /// A start on a worker whose hall has long been evacuated.
    Evacuated,
    /// A job shown as completed with a task that is not done.
    Mixed,
    /// A job that does not end though nothing is in its way.
    Lost,
    /// A standing task that is not at work for too long though there is room for it.
    Away,
    /// A job of which nothing is at work for too long though a task's turn has come and there is room for it.
    Idle,
    /// A task of a cancelled job that is at work for too long after that.
    Stop,
    /// A host that has not put a configuration in force in time, or has gone back to an older one.
    Config,
    /// Less than a quarter of the requests served some time after all hosts are back.
    Recover,
}

/// A job's standing tasks, each with what it takes of a worker's room.
fn standing_tasks(number: JobNumber, spec: &JobSpec) -> Vec<(TaskKey, ResourceSize)> {
    let steps = spec.steps.iter().enumerate();
    let steps = steps.filter(|(_, step)| step.standing);
    let tasks = steps.flat_map(|(index, step)| {
        let key = move |task| TaskKey {
            job: number,
            time: 0,
            step: index as u32,
            index: task,
        };
        (0..step.count).map(move |task| (key(task), step.room()))
    });
    tasks.collect()
}

/// All that was seen.
#[derive(Debug, Default)]
pub struct PlatformOracle {
    /// The bounds that hold.
    pub bounds: RuleBounds,
    jobs: BTreeMap<JobNumber, Arc<JobSpec>>,
    /// The standing tasks of jobs that nobody has cancelled.
    standing: BTreeMap<JobNumber, Vec<(TaskKey, ResourceSize)>>,
    cancelled: BTreeMap<JobNumber, Millis>,
    /// Jobs that end and have not come to their end.
    open: BTreeMap<JobNumber, OpenJob>,
    /// The longest that nothing of one was at work where that counts, in milliseconds.
    pub longest_idle: Millis,
    at_work: BTreeMap<TaskKey, BTreeSet<(WorkerId, u64)>>,
    done: BTreeSet<TaskKey>,
    acknowledged: BTreeSet<TaskKey>,
    failed: BTreeMap<TaskKey, BTreeSet<u64>>,
    /// How many runs of each task have ended as failed, acknowledged or not.
    failures: BTreeMap<TaskKey, usize>,
    crashes: CrashCounts,
    history: BTreeMap<TaskKey, Vec<String>>,
    /// For how long standing tasks have been away, those that are.
    away: BTreeMap<TaskKey, AwayTimes>,
    /// Tasks that were away for too long, each told once.
    told_away: BTreeSet<TaskKey>,
    /// The longest that any was, in milliseconds.
    pub longest_away: Millis,
    /// Cancelled jobs with tasks that were at work for too long, each told once.
    told_stops: BTreeSet<JobNumber>,
    /// The longest that a task of a cancelled job was at work in calm, in milliseconds.
    pub longest_stop: Millis,
    /// What was broken: when, which rule, and how.
    pub broken: Vec<(Millis, BrokenRule, String)>,
    /// How many runs began.
    pub starts: usize,
    /// How many ended.
    pub ends: usize,
}

impl PlatformOracle {
    /// An oracle with other bounds than those of the small deployments.
    pub fn with_bounds(bounds: RuleBounds) -> Self {
        Self {
            bounds,
            ..Self::default()
        }
    }

    /// A job was handed in.
    pub fn accepted(&mut self, number: JobNumber, spec: &JobSpec) {
        if !self.cancelled.contains_key(&number) {
            let standing = standing_tasks(number, spec);
            if !standing.is_empty() {
                self.standing.insert(number, standing);
            }
        }
        let open = OpenJob::new(spec).filter(|_| !self.cancelled.contains_key(&number));
        if let Some(open) = open {
            self.open.insert(number, open);
        }
        self.jobs.insert(number, Arc::new(spec.clone()));
    }

    /// A job's cancellation was acknowledged.
    pub fn cancelled(&mut self, now: Millis, number: JobNumber) {
        self.cancelled.insert(number, now);
        self.standing.remove(&number);
        self.open.remove(&number);
        self.away.retain(|task, _| task.job != number);
    }

    /// A rule was broken.
    pub fn report(&mut self, now: Millis, rule: BrokenRule, what: impl Into<String>) {
        self.broken.push((now, rule, what.into()));
    }

    /// A worker begins a run; `in_touch` where nothing has disturbed the owner or the store for some time.
    pub fn started(&mut self, now: Millis, worker: &WorkerId, key: RunKey, in_touch: bool) {
        self.starts += 1;
        let task = key.task;
        let Some(spec) = self.jobs.get(&task.job).cloned() else {
            return self.report(now, BrokenRule::Unasked, key.to_string());
        };
        let late = self.cancelled.get(&task.job);
        if in_touch && late.is_some_and(|at| now > at + self.bounds.cancel_ms) {
            self.report(
                now,
                BrokenRule::Unasked,
                format!("{key} after its cancelling"),
            );
        }
        if !self.at_work.entry(task).or_default().is_empty() {
            self.report(now, BrokenRule::Twice, format!("{key} beside another run"));
        }
        if self.acknowledged.contains(&task) {
            let history = self.history.get(&task);
            let what = format!("{key} on {worker} after an acknowledged end: {history:?}");
            self.report(now, BrokenRule::Twice, what);
        }
        if self.crashes.begin(&task, in_touch) {
            let what = format!("{key} after three workers had crashed under it");
            self.report(now, BrokenRule::Budget, what);
        }
        let failed = self.failed.get(&task).map_or(0, BTreeSet::len);
        let step = &spec.steps[task.step as usize];
        if !step.standing && failed >= spec.rules.max_attempts as usize {
            self.report(now, BrokenRule::Budget, key.to_string());
        }
        for before in &step.after {
            let count = spec.steps[*before].count;
            let missing = (0..count).any(|index| {
                let step = *before as u32;
                !self.done.contains(&TaskKey {
                    step,
                    index,
                    ..task
                })
            });
            if missing {
                self.report(now, BrokenRule::Order, key.to_string());
            }
        }
        if let Some(open) = self.open.get_mut(&task.job) {
            open.begin();
        }
        let at_work = self.at_work.entry(task).or_default();
        at_work.insert((worker.clone(), key.run));
        let seen = self.history.entry(task).or_default();
        seen.push(format!("{now}: {} began on {worker}", key.run));
    }

    /// A worker that has long said that it leaves begins a run.
    pub fn started_late(&mut self, now: Millis, worker: &WorkerId, key: RunKey) {
        self.report(now, BrokenRule::Drain, format!("{key} on {worker}"));
    }

    /// A worker began a run in a hall that had been evacuated since a time, by order of a host in touch.
    pub fn started_in_evacuated(&mut self, now: Millis, since: Millis, key: RunKey) {
        if now > since + self.bounds.evacuate_ms {
            let what = format!("{key} in a hall evacuated since {since}");
            self.report(now, BrokenRule::Evacuated, what);
        }
    }

    /// Whether a job was handed in.
    pub fn knows(&self, number: JobNumber) -> bool {
        self.jobs.contains_key(&number)
    }

    /// How many of a job's standing tasks are at work, and how many there are.
    pub fn standing_at_work(&self, number: JobNumber) -> (usize, usize) {
        let tasks = self.standing.get(&number).map_or(&[][..], Vec::as_slice);
        let works = |task| self.at_work.get(task).is_some_and(|runs| !runs.is_empty());
        let at_work = tasks.iter().filter(|(task, _)| works(task));
        (at_work.count(), tasks.len())
    }

    /// A run is no longer at work, however it ended.
    pub fn ended(&mut self, worker: &WorkerId, key: RunKey, outcome: Option<RunOutcome>) {
        self.ends += 1;
        let seen = self.history.entry(key.task).or_default();
        seen.push(format!("{} ended on {worker} as {outcome:?}", key.run));
        if outcome == Some(RunOutcome::Failed) {
            *self.failures.entry(key.task).or_default() += 1;
        }
        let at_work = self.at_work.entry(key.task).or_default();
        at_work.remove(&(worker.clone(), key.run));
        let done = outcome == Some(RunOutcome::Done) && self.done.insert(key.task);
        if let Some(open) = self.open.get_mut(&key.task.job) {
            open.end(done);
        }
    }

    /// A worker crashed under a task.
    pub fn crashed(&mut self, worker: &WorkerId, key: RunKey) {
        let seen = self.history.entry(key.task).or_default();
        seen.push(format!("{worker} crashed under {}", key.run));
        self.crashes.crash(key.task);
    }

    /// Whether some task of a job has failed as often as is allowed, or may be given up since workers crashed under it.
    fn may_have_failed(&self, number: JobNumber, spec: &JobSpec) -> bool {
        let most = spec.rules.max_attempts as usize;
        let spent = |task: &TaskKey, failed: &usize| task.job == number && *failed >= most;
        let failed = self
            .failures
            .iter()
            .any(|(task, failed)| spent(task, failed));
        failed || self.crashes.may_give_up(number)
    }

    /// How many jobs were given up for crashes, and how many starts of tasks that crash their workers there were at most.
    pub fn crash_figures(&self) -> (usize, usize) {
        self.crashes.figures()
    }

    /// An end was acknowledged.
    pub fn acknowledged(&mut self, key: RunKey, outcome: RunOutcome) {
        let seen = self.history.entry(key.task).or_default();
        seen.push(format!("{} acknowledged as {outcome:?}", key.run));
        match outcome {
            RunOutcome::Done => {
                self.acknowledged.insert(key.task);
            }
            RunOutcome::Failed => {
                self.failed.entry(key.task).or_default().insert(key.run);
            }
            _ => {}
        }
    }

    /// A job is shown in a state.
    pub fn shown(&mut self, now: Millis, number: JobNumber, stage: JobStage) {
        let Some(spec) = self.jobs.get(&number).cloned() else {
            return self.report(
                now,
                BrokenRule::Mixed,
                format!("{number} was never handed in"),
            );
        };
        if stage.is_final() {
            self.open.remove(&number);
        }
        if stage == JobStage::Failed && !self.may_have_failed(number, &spec) {
            let tasks = self.history.iter().filter(|(task, _)| task.job == number);
            let what = format!(
                "{number} is given up without cause: {:?}",
                tasks.collect::<Vec<_>>()
            );
            self.report(now, BrokenRule::Lost, what);
        }
        if stage != JobStage::Completed {
            return;
        }
        let steps = spec.steps.iter().enumerate();
        let tasks = steps.flat_map(|(step, spec)| (0..spec.count).map(move |index| (step, index)));
        let missing = tasks
            .map(|(step, index)| TaskKey {
                job: number,
                time: 0,
                step: step as u32,
                index,
            })
            .find(|task| !self.done.contains(task));
        if let Some(task) = missing {
            self.report(now, BrokenRule::Mixed, format!("{task} is not done"));
        }
    }
}
