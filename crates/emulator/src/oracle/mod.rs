//! Checks what workers and callers observe against rules that must always hold.

mod away;
mod copies;
mod crashes;
mod hosts;
mod idle;
mod missing;
mod serving;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use sandshelf_jobs::{JobNumber, JobSpec, JobStage, RunKey, RunOutcome, TaskKey};
use sandshelf_model::{Millis, ResourceSize, WorkerId};

pub use away::UsableCapacity;
use away::{first_task, AwayTimes};
use crashes::CrashCounts;
pub use hosts::{HostObservation, HostOracle};
use idle::OpenJob;
use missing::MissingTasks;
pub use serving::TailState;

/// The time limits of the rules, in milliseconds.
///
/// A host is *in touch* once it has been free of disturbances for `contact_ms`. Rules with a time limit apply to
/// owners and hosts that are in touch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RuleBounds {
    /// How long after a job's cancellation its tasks may still be started.
    pub cancel_ms: Millis,
    /// How much longer than `cancel_ms` they may still run.
    pub stop_ms: Millis,
    /// How long a standing task may be without a run while there is free capacity for it.
    pub away_ms: Millis,
    /// How long there must have been no disturbance before that counts, where at least half of all processor capacity is
    /// in use.
    pub calm_ms: Millis,
    /// The longest time from the acknowledgement of a configuration until it is in force on every host in touch.
    pub config_ms: Millis,
    /// How long a host must have been without a disturbance to be in touch.
    pub contact_ms: Millis,
    /// How long after the start of a worker's draining it may still be given new runs.
    pub drain_ms: Millis,
    /// How long after a hall's evacuation its workers may still be given new runs.
    pub evacuate_ms: Millis,
    /// How long after the return of all hosts requests may still go unserved.
    pub recovery_ms: Millis,
}

impl RuleBounds {
    /// The limits for small deployments.
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

    /// The limits for the large deployments.
    pub const LARGE: Self = Self {
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

/// A rule that was broken, named by what must not happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BrokenRule {
    /// Two concurrent runs of a task, or a start after a successful end was acknowledged. Where the step allows copies: a third
    /// concurrent run, or a start more than a second after the task's or the job's end was acknowledged.
    Twice,
    /// A start of a task before the steps that it depends on were done.
    Order,
    /// A worker given tasks beyond its capacity.
    Limit,
    /// A start of a task that has used up its attempts.
    Budget,
    /// A start of a task of an unknown job, or of a job cancelled more than `cancel_ms` ago.
    Unasked,
    /// A start on a worker that has been draining for more than `drain_ms`.
    Drain,
    /// A start on a worker whose hall was evacuated more than `evacuate_ms` ago.
    Evacuated,
    /// A job shown as completed although one of its tasks is not done.
    Mixed,
    /// A job that does not finish although nothing prevents it, or that is given up without cause.
    Lost,
    /// A standing task that does not run for too long although there is free capacity for it.
    Away,
    /// A job without a run for too long although one of its tasks is ready and there is free capacity for it.
    Idle,
    /// A task of a cancelled job that runs for too long after the cancellation.
    Stop,
    /// A host that did not put a configuration in force in time, or went back to an older one.
    Config,
    /// Less than a quarter of the requests served later than `recovery_ms` after all hosts were back.
    Recover,
    /// A stop of a standing task at work while as many others of its step are unavailable as the step may miss.
    Missing,
    /// A run of a job of which each try to submit it was refused.
    Refused,
    /// A serving task that filling tasks on the same worker keep over its target for more than 4.5 s.
    Serving,
}

/// A job's standing tasks, each with the capacity that it takes.
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

/// Records what workers and callers observe, and which rules were broken.
#[derive(Debug, Default)]
pub struct PlatformOracle {
    /// The time limits that apply.
    pub bounds: RuleBounds,
    /// The time of the newest observation.
    now: Millis,
    jobs: BTreeMap<JobNumber, Arc<JobSpec>>,
    /// The standing tasks of jobs that have not been cancelled.
    standing: BTreeMap<JobNumber, Vec<(TaskKey, ResourceSize)>>,
    /// When the cancellation of each cancelled job was acknowledged.
    cancelled: BTreeMap<JobNumber, Millis>,
    /// Unfinished jobs with a bounded amount of work.
    open: BTreeMap<JobNumber, OpenJob>,
    /// The longest counted time that one of them was idle, in milliseconds.
    pub longest_idle: Millis,
    /// The runs of each task that are running, each with its worker.
    running: BTreeMap<TaskKey, BTreeSet<(WorkerId, u64)>>,
    done: BTreeSet<TaskKey>,
    /// When a successful end of each task was first acknowledged.
    acknowledged: BTreeMap<TaskKey, Millis>,
    /// The successful runs whose ends were never acknowledged, each with the runs of its task that have started since its end.
    started_since: BTreeMap<RunKey, Vec<RunKey>>,
    /// When each job was first shown as completed.
    completed: BTreeMap<JobNumber, Millis>,
    /// The failed runs of each task, each with when its end was acknowledged.
    failed: BTreeMap<TaskKey, Vec<(u64, Millis)>>,
    /// How many runs of each task have failed, whether or not the failure was acknowledged.
    failures: BTreeMap<TaskKey, usize>,
    crashes: CrashCounts,
    missing: MissingTasks,
    /// The serving tasks that filling tasks keep over their target, each with how long that has lasted, in milliseconds.
    over_target: BTreeMap<TaskKey, Millis>,
    /// The longest time that filling tasks kept a serving task over its target, in milliseconds.
    pub longest_over_target: Millis,
    history: BTreeMap<TaskKey, Vec<String>>,
    /// The standing tasks that are not running, each with how long that has lasted.
    away: BTreeMap<TaskKey, AwayTimes>,
    /// Standing tasks that were without a run for too long; each is reported once.
    reported_away: BTreeSet<TaskKey>,
    /// The longest counted time that a standing task did not run, in milliseconds.
    pub longest_away: Millis,
    /// Cancelled jobs with tasks that ran for too long; each is reported once.
    reported_stops: BTreeSet<JobNumber>,
    /// The longest time without disturbances that a task of a cancelled job ran, in milliseconds.
    pub longest_stop: Millis,
    /// The broken rules: time in milliseconds, rule, and description.
    pub broken: Vec<(Millis, BrokenRule, String)>,
    /// How many runs have started.
    pub starts: usize,
    /// How many runs have started beside another run of their task whose step allows copies.
    pub copies: usize,
    /// How many runs have ended.
    pub ends: usize,
}

impl PlatformOracle {
    /// An oracle with the given time limits; `Default` uses those for small deployments.
    pub fn with_bounds(bounds: RuleBounds) -> Self {
        Self {
            bounds,
            ..Self::default()
        }
    }

    /// Records the current time, in milliseconds; it never goes back.
    pub fn set_time(&mut self, now: Millis) {
        self.now = self.now.max(now);
    }

    /// Records that a job was accepted.
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

    /// Records that a job's cancellation was acknowledged.
    pub fn cancelled(&mut self, now: Millis, number: JobNumber) {
        self.set_time(now);
        self.missing.forget(number);
        self.cancelled.insert(number, now);
        self.standing.remove(&number);
        self.open.remove(&number);
        self.away.retain(|task, _| task.job != number);
    }

    /// Records a broken rule.
    pub fn report(&mut self, now: Millis, rule: BrokenRule, what: impl Into<String>) {
        self.broken.push((now, rule, what.into()));
    }

    /// Records that a worker starts a run; `in_touch` says whether the owner and the store have been free of disturbances
    /// for long enough for rules with a time limit.
    pub fn started(&mut self, now: Millis, worker: &WorkerId, key: RunKey, in_touch: bool) {
        self.set_time(now);
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
                format!("{key} after its cancellation"),
            );
        }
        let step = &spec.steps[task.step as usize];
        self.check_concurrent(worker, key, step);
        self.check_ended(worker, key, step, in_touch);
        self.note_start_after_end(key);
        if self.crashes.begin(&task, in_touch) {
            let what = format!("{key} after three worker crashes while it ran");
            self.report(now, BrokenRule::Budget, what);
        }
        self.check_attempts(key, step, spec.rules.max_attempts, in_touch);
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
        let running = self.running.entry(task).or_default();
        running.insert((worker.clone(), key.run));
        let task_history = self.history.entry(task).or_default();
        task_history.push(format!("{now}: {} started on {worker}", key.run));
    }

    /// Reports that a worker starts a run although it has been draining for more than `drain_ms`.
    pub fn started_late(&mut self, now: Millis, worker: &WorkerId, key: RunKey) {
        self.report(now, BrokenRule::Drain, format!("{key} on {worker}"));
    }

    /// Records that a worker starts a run, ordered by a host in touch, in a hall evacuated at `since`.
    pub fn started_in_evacuated(&mut self, now: Millis, since: Millis, key: RunKey) {
        if now > since + self.bounds.evacuate_ms {
            let what = format!("{key} in a hall evacuated since {since}");
            self.report(now, BrokenRule::Evacuated, what);
        }
    }

    /// Whether a run of a job has ever started.
    pub fn has_run(&self, number: JobNumber) -> bool {
        let mut tasks = self.history.range(first_task(number)..);
        tasks.next().is_some_and(|(task, _)| task.job == number)
    }

    /// Whether a job was accepted.
    pub fn knows(&self, number: JobNumber) -> bool {
        self.jobs.contains_key(&number)
    }

    /// A job's standing tasks, each with the capacity that it takes; none once it was cancelled.
    pub fn standing_tasks_of(&self, number: JobNumber) -> &[(TaskKey, ResourceSize)] {
        self.standing.get(&number).map_or(&[][..], Vec::as_slice)
    }

    /// How many of a job's standing tasks are running, and how many there are.
    pub fn standing_running(&self, number: JobNumber) -> (usize, usize) {
        let tasks = self.standing_tasks_of(number);
        let runs_now = |task| self.running.get(task).is_some_and(|runs| !runs.is_empty());
        let running = tasks.iter().filter(|(task, _)| runs_now(task));
        (running.count(), tasks.len())
    }

    /// Records that a run is over; `outcome` is `None` where it was lost with its worker.
    pub fn ended(&mut self, worker: &WorkerId, key: RunKey, outcome: Option<RunOutcome>) {
        self.ends += 1;
        let task_history = self.history.entry(key.task).or_default();
        task_history.push(format!("{} ended on {worker} as {outcome:?}", key.run));
        if outcome == Some(RunOutcome::Failed) {
            *self.failures.entry(key.task).or_default() += 1;
        }
        let running = self.running.entry(key.task).or_default();
        running.remove(&(worker.clone(), key.run));
        let succeeded = outcome == Some(RunOutcome::Done);
        if succeeded {
            self.check_second_end(key);
            self.started_since.insert(key, Vec::new());
        }
        let done = succeeded && self.done.insert(key.task);
        if let Some(open) = self.open.get_mut(&key.task.job) {
            open.end(done);
        }
    }

    /// Records that a worker crashed while it ran a task.
    pub fn crashed(&mut self, worker: &WorkerId, key: RunKey) {
        let task_history = self.history.entry(key.task).or_default();
        task_history.push(format!("{worker} crashed while it ran {}", key.run));
        self.crashes.crash(key.task);
    }

    /// Whether a task of a job has used up its attempts, or may be given up because of worker crashes.
    fn may_have_failed(&self, number: JobNumber, spec: &JobSpec) -> bool {
        let most = spec.rules.max_attempts as usize;
        let spent = |task: &TaskKey, failed: &usize| task.job == number && *failed >= most;
        let failed = self
            .failures
            .iter()
            .any(|(task, failed)| spent(task, failed));
        failed || self.crashes.may_give_up(number)
    }

    /// How many tasks may be given up because of worker crashes, and the highest number of starts of a task that crashed
    /// workers.
    pub fn crash_stats(&self) -> (usize, usize) {
        self.crashes.stats()
    }

    /// Records when the end of a run was acknowledged.
    pub fn acknowledged_at(&mut self, now: Millis, key: RunKey, outcome: RunOutcome) {
        self.set_time(now);
        self.acknowledged(key, outcome);
    }

    /// Records that the end of a run was acknowledged.
    pub fn acknowledged(&mut self, key: RunKey, outcome: RunOutcome) {
        let task_history = self.history.entry(key.task).or_default();
        task_history.push(format!("{} acknowledged as {outcome:?}", key.run));
        match outcome {
            RunOutcome::Done => {
                self.check_started_since(key);
                self.acknowledged.entry(key.task).or_insert(self.now);
            }
            RunOutcome::Failed => {
                let failed = self.failed.entry(key.task).or_default();
                if failed.iter().all(|(run, _)| *run != key.run) {
                    failed.push((key.run, self.now));
                }
            }
            _ => {}
        }
    }

    /// Checks the state in which a job is shown to callers.
    pub fn shown(&mut self, now: Millis, number: JobNumber, stage: JobStage) {
        self.set_time(now);
        let Some(spec) = self.jobs.get(&number).cloned() else {
            return self.report(
                now,
                BrokenRule::Mixed,
                format!("{number} was never accepted"),
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
        self.completed.entry(number).or_insert(now);
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
