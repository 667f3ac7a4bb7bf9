//! A small fleet of workers that certain tasks crash, and that are back after some seconds, with
//! one owner after another.

mod orders;

use std::collections::{BTreeMap, BTreeSet};

use sandshelf_jobs::{
    EndReport, JobEvent, JobNumber, JobSpec, JobStage, OrderAnswer, RenewalAnswer, RenewalCall,
    RunKey, RunOutcome, SilentWorkers, StoredProgress, TakeoverInfo, TaskKey, WorkerIncarnation,
    WorkerListing, WorkerRoster,
};
use sandshelf_model::{Millis, WorkerId};

use super::{listing, SchedulerRig, WALL_START_MS};

/// The step of virtual time, which is also the owner's tick.
const STEP_MS: Millis = 25;
/// How often the owner reads the list of workers.
const LIST_INTERVAL_MS: Millis = 700;
/// How long a call to a worker waits for an answer.
const CALL_TIMEOUT_MS: Millis = 500;
/// How long after a crash another worker takes the crashed one's place.
pub const REPLACED_AFTER_MS: Millis = 3_300;
const HOUR_MS: Millis = 3_600_000;
/// How long an ordinary task runs.
const TASK_DURATION_MS: Millis = 1_000;
/// Time from the death of an owner to the first lease renewals of the next.
const TAKEOVER_MS: Millis = 1_900;

/// How a crashed worker comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashedWorkerMode {
    /// A worker with another name takes its place.
    Replaced,
    /// It restarts under its name after this many milliseconds.
    Restarts(Millis),
}

/// One place in the fleet, and the worker that holds it.
struct FleetWorker {
    name: String,
    place: usize,
    incarnations: usize,
    back_at: Option<Millis>,
    runs: BTreeMap<RunKey, Millis>,
    ended: Vec<EndReport>,
    end_count: u64,
    renewal: Option<(Millis, RenewalCall)>,
}

/// A start order that a worker carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordedStart {
    pub at: Millis,
    /// The epoch of the owner that ordered it.
    pub epoch: u64,
    /// How many workers this task had crashed before.
    pub crashes_before: usize,
}

/// Workers with their runs, and the owner that schedules on them.
pub struct CrashingFleet {
    rig: SchedulerRig,
    crash_mode: CrashedWorkerMode,
    epoch: u64,
    workers: Vec<FleetWorker>,
    /// Tasks that crash their worker, and how many milliseconds after their start.
    crashers: BTreeMap<TaskKey, Millis>,
    /// Crashes to come: time, index of the worker and task that causes it.
    pending_crashes: Vec<(Millis, usize, TaskKey)>,
    answers: Vec<(Millis, JobEvent)>,
    listed_at: Millis,
    jobs: Vec<(u64, JobSpec)>,
    rows: StoredProgress,
    roster: WorkerRoster,
    silent: SilentWorkers,
    /// Whether the store accepts writes.
    pub store_up: bool,
    pub starts: BTreeMap<TaskKey, Vec<RecordedStart>>,
    /// How many workers each task crashed.
    pub crashes: BTreeMap<TaskKey, usize>,
    /// How many runs of other tasks were lost on crashed workers.
    pub lost_bystanders: usize,
}

impl FleetWorker {
    /// The worker's incarnation; `None` in a fleet where crashed workers are replaced by ones with
    /// other names.
    fn incarnation(&self, crash_mode: CrashedWorkerMode) -> Option<WorkerIncarnation> {
        match crash_mode {
            CrashedWorkerMode::Replaced => None,
            CrashedWorkerMode::Restarts(_) => Some(WorkerIncarnation(self.incarnations as u64)),
        }
    }

    /// The worker's clock. Where workers restart under their names, each incarnation's clock is an
    /// hour behind the one before.
    fn clock(&self, now: Millis, crash_mode: CrashedWorkerMode) -> u64 {
        match crash_mode {
            CrashedWorkerMode::Replaced => now,
            CrashedWorkerMode::Restarts(_) => now + HOUR_MS * (100 - self.incarnations as u64),
        }
    }
}

impl CrashingFleet {
    /// A fleet of `places` workers with its first owner; a worker with another name replaces a
    /// crashed one.
    pub fn new(places: usize) -> Self {
        let workers = (1..=places).map(|place| FleetWorker {
            name: format!("w-{place}"),
            place,
            incarnations: 1,
            back_at: None,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            end_count: 0,
            renewal: None,
        });
        Self {
            rig: SchedulerRig::new(TakeoverInfo::first(1, 1_000)),
            crash_mode: CrashedWorkerMode::Replaced,
            epoch: 1,
            workers: workers.collect(),
            crashers: BTreeMap::new(),
            pending_crashes: Vec::new(),
            answers: Vec::new(),
            listed_at: 0,
            jobs: Vec::new(),
            rows: StoredProgress::default(),
            roster: WorkerRoster::default(),
            silent: SilentWorkers::default(),
            store_up: true,
            starts: BTreeMap::new(),
            crashes: BTreeMap::new(),
            lost_bystanders: 0,
        }
    }

    /// A fleet of `places` workers that restart under their names `after` milliseconds after a
    /// crash.
    pub fn restarting(places: usize, after: Millis) -> Self {
        Self {
            crash_mode: CrashedWorkerMode::Restarts(after),
            ..Self::new(places)
        }
    }

    pub fn now(&self) -> Millis {
        self.rig.now
    }

    /// Hands a job in. Each task in `crashers` crashes every worker that starts it, the given
    /// number of milliseconds after the start.
    pub fn hand_in(&mut self, number: u64, spec: JobSpec, crashers: &[(TaskKey, Millis)]) {
        self.crashers.extend(crashers.iter().copied());
        self.jobs.push((number, spec.clone()));
        self.rig.hand_in(number, self.jobs.len() as u64, spec);
    }

    /// Advances the clock by `millis`.
    pub fn advance(&mut self, millis: Millis) {
        let until = self.rig.now + millis;
        while self.rig.now < until {
            self.rig.now += STEP_MS;
            self.step_workers();
            self.list();
            self.deliver();
            let wall_ms = WALL_START_MS + self.rig.now;
            self.rig.handle(JobEvent::Tick { wall_ms });
            self.apply_actions();
        }
    }

    /// The owner dies and another one takes over.
    pub fn replace_owner(&mut self) {
        self.epoch += 1;
        let mut now = self.rig.now;
        let until = now + TAKEOVER_MS;
        while now < until {
            now += STEP_MS;
            self.rig.now = now;
            self.step_workers();
        }
        let info = TakeoverInfo {
            epoch: self.epoch,
            claimed_at: now,
            claim_version: self.jobs.len() as u64,
            rules_since: 1,
            progress: self.rows.clone(),
            roster: self.roster.clone(),
            silent: self.silent.clone(),
            store_ms: now,
            ..TakeoverInfo::default()
        };
        self.rig = SchedulerRig::new(info);
        self.rig.now = now;
        self.answers.clear();
        self.listed_at = 0;
        for worker in &mut self.workers {
            worker.renewal = None;
        }
        for (index, (number, spec)) in self.jobs.clone().into_iter().enumerate() {
            self.rig.hand_in(number, index as u64 + 1, spec);
        }
    }

    /// The worker at a place crashes for a reason other than its tasks.
    pub fn crash_worker(&mut self, place: usize) {
        self.crash(place - 1, None);
    }

    /// Crashes up to `count` running workers, except the one at the place `spared`, for a reason
    /// other than their tasks.
    pub fn crash_others(&mut self, spared: Option<usize>, count: usize) {
        let standing = self.workers.iter();
        let standing = standing.filter(|worker| worker.back_at.is_none());
        let others = standing.filter(|worker| Some(worker.place) != spared);
        // Workers that have crashed least often go first.
        let mut others: Vec<(usize, usize)> = others
            .map(|worker| (worker.incarnations, worker.place))
            .collect();
        others.sort_unstable();
        for (_, place) in others.into_iter().take(count) {
            self.crash_worker(place);
        }
    }

    /// The place of the worker that runs a task.
    pub fn place_of(&self, task: &TaskKey) -> Option<usize> {
        let runs = |worker: &&FleetWorker| worker.runs.keys().any(|run| run.task == *task);
        self.workers.iter().find(runs).map(|worker| worker.place)
    }

    /// The durable state of a job.
    pub fn stage(&self, number: u64) -> Option<JobStage> {
        self.rows.rows.get(&JobNumber(number)).map(|row| row.stage)
    }

    /// How many times a task was started in total.
    pub fn start_count(&self, task: &TaskKey) -> usize {
        self.starts.get(task).map_or(0, Vec::len)
    }

    /// How many times a task was started after it had crashed three workers.
    pub fn starts_after_three(&self, task: &TaskKey) -> usize {
        let starts = self.starts.get(task).map_or(&[][..], Vec::as_slice);
        let late = starts.iter().filter(|start| start.crashes_before >= 3);
        late.count()
    }

    fn crash(&mut self, index: usize, caused_by: Option<TaskKey>) {
        let down_ms = match self.crash_mode {
            CrashedWorkerMode::Replaced => REPLACED_AFTER_MS,
            CrashedWorkerMode::Restarts(after) => after,
        };
        let back_at = self.rig.now + down_ms;
        let worker = &mut self.workers[index];
        worker.back_at = Some(back_at);
        let lost = std::mem::take(&mut worker.runs);
        worker.ended.clear();
        if let Some((at, call)) = worker.renewal.take() {
            let id = WorkerId::from(worker.name.as_str());
            let failed = RenewalAnswer::Failed(OrderAnswer::Unknown);
            let timeout_at = at + call.wait_ms + CALL_TIMEOUT_MS;
            self.answers
                .push((timeout_at, JobEvent::RenewalAnswered(id, failed)));
        }
        self.pending_crashes.retain(|(_, place, _)| *place != index);
        let bystanders = lost.keys().filter(|run| Some(run.task) != caused_by);
        self.lost_bystanders += bystanders.count();
        if let Some(task) = caused_by {
            *self.crashes.entry(task).or_default() += 1;
        }
    }

    fn step_workers(&mut self) {
        let now = self.rig.now;
        let due_crashes: Vec<(Millis, usize, TaskKey)> = self
            .pending_crashes
            .iter()
            .copied()
            .filter(|(at, ..)| *at <= now)
            .collect();
        for (_, index, task) in due_crashes {
            let still = self.workers[index].runs.keys().any(|run| run.task == task);
            if still {
                self.crash(index, Some(task));
            }
        }
        for worker in &mut self.workers {
            if worker.back_at.is_some_and(|at| now >= at) {
                worker.back_at = None;
                worker.incarnations += 1;
                if self.crash_mode == CrashedWorkerMode::Replaced {
                    worker.name = format!("{}-{}", "w".repeat(worker.incarnations), worker.place);
                }
                worker.end_count = 0;
            }
            let ended_runs: Vec<RunKey> = worker
                .runs
                .iter()
                .filter(|(_, at)| now >= **at)
                .map(|(key, _)| *key)
                .collect();
            for key in ended_runs {
                worker.runs.remove(&key);
                worker.end_count += 1;
                worker.ended.push(EndReport {
                    number: worker.end_count,
                    key,
                    outcome: RunOutcome::Done,
                    checkpoint: None,
                });
            }
        }
    }

    fn list(&mut self) {
        if self.rig.now < self.listed_at + LIST_INTERVAL_MS || !self.store_up {
            return;
        }
        self.listed_at = self.rig.now;
        let here = self
            .workers
            .iter()
            .filter(|worker| worker.back_at.is_none());
        let crash_mode = self.crash_mode;
        let entries = here.map(|worker| WorkerListing {
            incarnation: worker.incarnation(crash_mode),
            ..listing(&worker.name)
        });
        let list = entries.collect();
        self.rig.list_entries(list);
    }

    fn is_standing(&self, task: &TaskKey) -> bool {
        let job = self.jobs.iter().find(|(number, _)| *number == task.job.0);
        let step = job.and_then(|(_, spec)| spec.steps.get(task.step as usize));
        step.is_some_and(|step| step.standing)
    }

    pub fn started_tasks(&self) -> BTreeSet<TaskKey> {
        self.starts.keys().copied().collect()
    }
}
