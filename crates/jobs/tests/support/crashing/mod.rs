//! A small fleet whose workers crash under certain tasks and are back after some seconds, driven by one owner after the other.

mod orders;

use std::collections::{BTreeMap, BTreeSet};

use sandshelf_jobs::{
    EndReport, JobEvent, JobNumber, JobSpec, JobStage, OrderAnswer, ProgressRow, RenewalAnswer,
    RenewalCall, RunKey, RunOutcome, SilentWorkers, TakeoverInfo, TaskKey, WorkerIncarnation,
    WorkerListing, WorkerRoster,
};
use sandshelf_model::{Millis, WorkerId};

use super::{listing, SchedulerRig, WALL_START_MS};

/// One step of time: an owner's tick.
const STEP_MS: Millis = 25;
/// How often the list of workers is read.
const LIST_MS: Millis = 700;
/// How long a caller of a worker waits for an answer.
const PATIENCE_MS: Millis = 500;
/// After how long a crashed worker is back as another incarnation.
pub const BACK_AFTER_MS: Millis = 3_300;
/// One hour.
const HOUR_MS: Millis = 3_600_000;
/// How long an ordinary task works.
const WORK_MS: Millis = 1_000;
/// How long a new owner takes from the death of the one before to its first look.
const TAKEOVER_MS: Millis = 1_900;

/// What becomes of a worker that has crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashReturn {
    /// Another incarnation comes in its place.
    Replaced,
    /// It starts again under its name, after so long.
    Restarts(Millis),
}

/// One place for a worker, and the incarnation that stands there.
struct FleetWorker {
    name: String,
    place: usize,
    lives: usize,
    back_at: Option<Millis>,
    runs: BTreeMap<RunKey, Millis>,
    ended: Vec<EndReport>,
    end_count: u64,
    hold: Option<(Millis, RenewalCall)>,
}

/// A start that a worker carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeenStart {
    /// When.
    pub at: Millis,
    /// Under which owner.
    pub epoch: u64,
    /// How many workers had crashed under the task before.
    pub crashes_before: usize,
}

/// Workers, what they run, and the owner that orders them.
pub struct CrashingFleet {
    rig: SchedulerRig,
    returns: CrashReturn,
    epoch: u64,
    workers: Vec<FleetWorker>,
    /// Tasks under which workers crash, with how long after their start.
    crashers: BTreeMap<TaskKey, Millis>,
    /// Crashes to come: when, where and under which task.
    fuses: Vec<(Millis, usize, TaskKey)>,
    answers: Vec<(Millis, JobEvent)>,
    listed_at: Millis,
    jobs: Vec<(u64, JobSpec)>,
    rows: BTreeMap<JobNumber, ProgressRow>,
    roster: WorkerRoster,
    silent: SilentWorkers,
    /// Whether the store takes writes.
    pub store_up: bool,
    /// The starts of each task.
    pub starts: BTreeMap<TaskKey, Vec<SeenStart>>,
    /// How many workers crashed under each task.
    pub crashes: BTreeMap<TaskKey, usize>,
    /// How many runs of others were lost with crashed workers.
    pub lost_beside: usize,
}

impl FleetWorker {
    /// Which life under its name it is; a worker that never bears one again doesn't say it.
    fn life(&self, returns: CrashReturn) -> Option<WorkerIncarnation> {
        match returns {
            CrashReturn::Replaced => None,
            CrashReturn::Restarts(_) => Some(WorkerIncarnation(self.lives as u64)),
        }
    }

    /// Its clock: each life of a worker that bears its name again is an hour off the one before.
    fn clock(&self, now: Millis, returns: CrashReturn) -> u64 {
        match returns {
            CrashReturn::Replaced => now,
            CrashReturn::Restarts(_) => now + HOUR_MS * (100 - self.lives as u64),
        }
    }
}

impl CrashingFleet {
    /// So many workers and the first owner.
    pub fn new(places: usize) -> Self {
        let workers = (1..=places).map(|place| FleetWorker {
            name: format!("w-{place}"),
            place,
            lives: 1,
            back_at: None,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            end_count: 0,
            hold: None,
        });
        Self {
            rig: SchedulerRig::new(TakeoverInfo::first(1, 1_000)),
            returns: CrashReturn::Replaced,
            epoch: 1,
            workers: workers.collect(),
            crashers: BTreeMap::new(),
            fuses: Vec::new(),
            answers: Vec::new(),
            listed_at: 0,
            jobs: Vec::new(),
            rows: BTreeMap::new(),
            roster: WorkerRoster::default(),
            silent: SilentWorkers::default(),
            store_up: true,
            starts: BTreeMap::new(),
            crashes: BTreeMap::new(),
            lost_beside: 0,
        }
    }

    /// So many workers that start again under their names, so long after they crashed.
    pub fn that_restart(places: usize, after: Millis) -> Self {
        Self {
            returns: CrashReturn::Restarts(after),
            ..Self::new(places)
        }
    }

    /// The time.
    pub fn now(&self) -> Millis {
        self.rig.now
    }

    /// Hands a job in; each of `crashers` brings down every worker that starts it, so long after its start.
    pub fn hand_in(&mut self, number: u64, spec: JobSpec, crashers: &[(TaskKey, Millis)]) {
        self.crashers.extend(crashers.iter().copied());
        self.jobs.push((number, spec.clone()));
        self.rig.hand_in(number, self.jobs.len() as u64, spec);
    }

    /// Lets time pass.
    pub fn pass(&mut self, millis: Millis) {
        let until = self.rig.now + millis;
        while self.rig.now < until {
            self.rig.now += STEP_MS;
            self.step_workers();
            self.list();
            self.deliver();
            let wall_ms = WALL_START_MS + self.rig.now;
            self.rig.tell(JobEvent::Tick { wall_ms });
            self.obey();
        }
    }

    /// The owner dies and another takes over.
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
            worker.hold = None;
        }
        for (index, (number, spec)) in self.jobs.clone().into_iter().enumerate() {
            self.rig.hand_in(number, index as u64 + 1, spec);
        }
    }

    /// A worker crashes by itself.
    pub fn crash_worker(&mut self, place: usize) {
        self.crash(place - 1, None);
    }

    /// So many workers that stand crash by themselves, all but one.
    pub fn crash_others(&mut self, spared: Option<usize>, count: usize) {
        let standing = self.workers.iter();
        let standing = standing.filter(|worker| worker.back_at.is_none());
        let others = standing.filter(|worker| Some(worker.place) != spared);
        // Those that crashed least often stand for longest.
        let mut others: Vec<(usize, usize)> =
            others.map(|worker| (worker.lives, worker.place)).collect();
        others.sort_unstable();
        for (_, place) in others.into_iter().take(count) {
            self.crash_worker(place);
        }
    }

    /// The worker on which a task is at work.
    pub fn place_of(&self, task: &TaskKey) -> Option<usize> {
        let runs = |worker: &&FleetWorker| worker.runs.keys().any(|run| run.task == *task);
        self.workers.iter().find(runs).map(|worker| worker.place)
    }

    /// The state of a job as it is written.
    pub fn stage(&self, number: u64) -> Option<JobStage> {
        self.rows.get(&JobNumber(number)).map(|row| row.stage)
    }

    /// How often a task was started in all.
    pub fn start_count(&self, task: &TaskKey) -> usize {
        self.starts.get(task).map_or(0, Vec::len)
    }

    /// How many starts of a task came after three workers had crashed under it.
    pub fn starts_after_three(&self, task: &TaskKey) -> usize {
        let starts = self.starts.get(task).map_or(&[][..], Vec::as_slice);
        let late = starts.iter().filter(|start| start.crashes_before >= 3);
        late.count()
    }

    fn crash(&mut self, index: usize, under: Option<TaskKey>) {
        let down = match self.returns {
            CrashReturn::Replaced => BACK_AFTER_MS,
            CrashReturn::Restarts(after) => after,
        };
        let back_at = self.rig.now + down;
        let worker = &mut self.workers[index];
        worker.back_at = Some(back_at);
        let lost = std::mem::take(&mut worker.runs);
        worker.ended.clear();
        if let Some((at, call)) = worker.hold.take() {
            let id = WorkerId::from(worker.name.as_str());
            let failed = RenewalAnswer::Failed(OrderAnswer::Unknown);
            let given_up = at + call.wait_ms + PATIENCE_MS;
            self.answers
                .push((given_up, JobEvent::RenewalAnswered(id, failed)));
        }
        self.fuses.retain(|(_, place, _)| *place != index);
        let crashing = lost.keys().filter(|run| Some(run.task) != under);
        self.lost_beside += crashing.count();
        if let Some(task) = under {
            *self.crashes.entry(task).or_default() += 1;
        }
    }

    fn step_workers(&mut self) {
        let now = self.rig.now;
        let lit: Vec<(Millis, usize, TaskKey)> = self
            .fuses
            .iter()
            .copied()
            .filter(|(at, ..)| *at <= now)
            .collect();
        for (_, index, task) in lit {
            let still = self.workers[index].runs.keys().any(|run| run.task == task);
            if still {
                self.crash(index, Some(task));
            }
        }
        for worker in &mut self.workers {
            if worker.back_at.is_some_and(|at| now >= at) {
                worker.back_at = None;
                worker.lives += 1;
                if self.returns == CrashReturn::Replaced {
                    worker.name = format!("{}-{}", "w".repeat(worker.lives), worker.place);
                }
                worker.end_count = 0;
            }
            let over: Vec<RunKey> = worker
                .runs
                .iter()
                .filter(|(_, at)| now >= **at)
                .map(|(key, _)| *key)
                .collect();
            for key in over {
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
        if self.rig.now < self.listed_at + LIST_MS || !self.store_up {
            return;
        }
        self.listed_at = self.rig.now;
        let here = self
            .workers
            .iter()
            .filter(|worker| worker.back_at.is_none());
        let returns = self.returns;
        let entries = here.map(|worker| WorkerListing {
            incarnation: worker.life(returns),
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

    /// All tasks that were ever started.
    pub fn started_tasks(&self) -> BTreeSet<TaskKey> {
        self.starts.keys().copied().collect()
    }
}
