//! A large job, its workers, and the owners that follow one another, with the progress that they store.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use sandshelf_jobs::{
    CommitBatch, EndReport, JobAction, JobEvent, JobNumber, JobSpec, JobStage, OrderAnswer,
    RenewalAnswer, RenewalReport, RunKey, RunOutcome, StoredProgress, TakeoverInfo, TaskKey,
    TaskProgress, WorkerCall, WorkerListing,
};
use sandshelf_model::{ResourceSize, WorkerId};

use crate::support::write_size::WriteSize;
use crate::support::{
    end_report, job, listing, run_report, second_owner, step, SchedulerRig, WALL_START_MS,
};

/// The number of the large job.
pub const JOB: u64 = 7;
/// The number of the small job beside it, and of its tasks.
pub const OTHER_JOB: u64 = 8;
pub const SMALL_JOB_TASKS: usize = 6;
const WORKERS: [&str; 8] = ["w-1", "w-2", "w-3", "w-4", "w-5", "w-6", "w-7", "w-8"];
/// How many tasks run on a worker at a time.
const SLOTS: u64 = 400;
/// The most ends in one report of a worker.
const MAX_LISTED_ENDS: usize = 500;
/// The most turns until something that is waited for has to happen; each takes 25 ms.
const MAX_TURNS: usize = 20_000;

/// A large job, and how its tasks end.
#[derive(Clone)]
pub struct LargeJob {
    spec: JobSpec,
    /// The checkpoint with which the first run of each task is stopped; none if it isn't.
    checkpoint: Option<String>,
    /// How many runs of each task fail before one is done.
    failures: u32,
}

impl LargeJob {
    /// A job whose tasks are done with their first runs. Its tasks are small.
    pub fn of(mut spec: JobSpec) -> Self {
        for step in &mut spec.steps {
            step.size = ResourceSize::new(1_000, 1, 0);
        }
        Self {
            spec,
            checkpoint: None,
            failures: 0,
        }
    }

    pub fn with_checkpoints(self, bytes: usize) -> Self {
        self.with_checkpoint_text("c".repeat(bytes))
    }

    pub fn with_checkpoint_text(mut self, text: String) -> Self {
        self.checkpoint = Some(text);
        self.spec
            .steps
            .iter_mut()
            .for_each(|step| step.checkpoints = true);
        self
    }

    pub fn with_failures(mut self, failures: u32) -> Self {
        self.failures = failures;
        self.spec.rules.max_attempts = failures + 1;
        self
    }

    /// The number of tasks in all repetitions.
    pub fn tasks(&self) -> usize {
        let tasks: u32 = self.spec.steps.iter().map(|step| step.count).sum();
        tasks as usize * self.spec.repeat.map_or(1, |repeat| repeat.count as usize)
    }
}

/// A worker that keeps its ends until they are acknowledged.
#[derive(Clone, Default)]
struct ListingWorker {
    running: Vec<RunKey>,
    ended: VecDeque<EndReport>,
    newest_end: u64,
}

/// An owner of a large job, its workers and what is stored.
pub struct JobOwner {
    rig: SchedulerRig,
    large: LargeJob,
    workers: BTreeMap<String, ListingWorker>,
    stored: StoredProgress,
    specs: BTreeMap<u64, JobSpec>,
    unwritten: Option<CommitBatch>,
    /// How many runs of each task have begun and not been done.
    runs_of: BTreeMap<TaskKey, u32>,
    /// The tasks whose ends as done were acknowledged.
    noted: BTreeSet<TaskKey>,
    done: usize,
    begun_again: usize,
    written_bytes: usize,
    successions: usize,
}

fn entries() -> Vec<WorkerListing> {
    let entry = |name: &&str| WorkerListing {
        capacity: ResourceSize::new(SLOTS * 1_000, 1_000_000, 0),
        ..listing(name)
    };
    WORKERS.iter().map(entry).collect()
}

impl JobOwner {
    /// The first owner, to which the large job was handed in.
    pub fn with_job(large: &LargeJob) -> Self {
        let workers = WORKERS.iter();
        let workers = workers.map(|name| (name.to_string(), ListingWorker::default()));
        let mut owner = Self {
            rig: SchedulerRig::new(TakeoverInfo::first(1, 1_000)),
            large: large.clone(),
            workers: workers.collect(),
            stored: StoredProgress::default(),
            specs: BTreeMap::from([(JOB, large.spec.clone())]),
            unwritten: None,
            runs_of: BTreeMap::new(),
            noted: BTreeSet::new(),
            done: 0,
            begun_again: 0,
            written_bytes: 0,
            successions: 0,
        };
        owner.rig.list_entries(entries());
        owner.rig.hand_in(JOB, 0, large.spec.clone());
        owner
    }

    pub fn hand_in_other(&mut self) {
        let half = SMALL_JOB_TASKS as u32 / 2;
        let mut steps = vec![step(half), step(half)];
        steps[1].after = vec![0];
        let spec = job(steps);
        self.specs.insert(OTHER_JOB, spec.clone());
        self.rig.hand_in(OTHER_JOB, 0, spec);
    }

    /// Plays on until so many more tasks are done, or all.
    pub fn run(&mut self, tasks: usize) {
        let wanted = self.done + tasks.max(1);
        self.play_until(|owner| owner.done >= wanted || owner.is_completed(JOB));
    }

    /// Plays on until all jobs are completed and all ends acknowledged.
    pub fn run_to_end(&mut self) {
        self.play_until(|owner| {
            let mut numbers = owner.specs.keys();
            owner.unacknowledged() == 0 && numbers.all(|job| owner.is_completed(*job))
        });
    }

    /// Plays on until something has happened.
    pub fn play_until(&mut self, happened: impl Fn(&Self) -> bool) {
        let mut turns = 0;
        while !happened(self) {
            self.turn(25);
            turns += 1;
            assert!(turns < MAX_TURNS, "{} tasks are done", self.done);
        }
    }

    /// Plays on until one more write has taken effect.
    pub fn write_once(&mut self) {
        self.take_written();
        self.turn(50);
    }

    /// Plays on until the rows of an ended job may be removed.
    pub fn outlive_job(&mut self) {
        for _ in 0..150 {
            self.turn(1_000);
        }
    }

    /// A turn of the owner, its workers and the store. What was to be written in the turn before has taken effect by now.
    fn turn(&mut self, millis: u64) {
        self.rig.now += millis;
        self.take_written();
        let wall_ms = WALL_START_MS + self.rig.now;
        self.handle_all(vec![JobEvent::Tick { wall_ms }]);
        let answers = self.answer_calls();
        self.handle_all(answers);
    }

    fn handle_all(&mut self, events: Vec<JobEvent>) {
        let actions = self.rig.scheduler.handle_all(self.rig.now, events);
        self.rig.actions.extend(actions);
    }

    fn take_written(&mut self) {
        if let Some(batch) = self.unwritten.take() {
            self.stored.apply(&batch);
            self.handle_all(vec![JobEvent::Committed(batch.id)]);
        }
        if let Some(batch) = self.rig.take_commit() {
            let size = WriteSize::of(&batch);
            size.assert_taken();
            self.written_bytes += size.bytes;
            self.unwritten = Some(batch);
        }
    }

    /// The workers' answers to the calls that the owner has made.
    fn answer_calls(&mut self) -> Vec<JobEvent> {
        let mut answers = Vec::new();
        for action in std::mem::take(&mut self.rig.actions) {
            match action {
                JobAction::Call { worker, call, .. } => answers.extend(self.answer(&worker, call)),
                other => self.rig.actions.push(other),
            }
        }
        answers
    }

    fn answer(&mut self, worker: &WorkerId, call: WorkerCall) -> Option<JobEvent> {
        let clock = self.rig.now;
        match call {
            WorkerCall::Start(start) => {
                let task = start.key.task;
                self.begun_again += usize::from(self.noted.contains(&task));
                *self.runs_of.entry(task).or_default() += 1;
                self.worker_mut(worker).running.push(start.key);
                let answer = OrderAnswer::Done(clock);
                Some(JobEvent::StartAnswered(worker.clone(), start.key, answer))
            }
            WorkerCall::Renew(renewal) => {
                self.acknowledge(worker, renewal.last_seen);
                self.end_runs(worker);
                let state = self.worker_mut(worker);
                let report = RenewalReport {
                    incarnation: None,
                    carrier_late_ms: 0,
                    clock,
                    running: state.running.iter().map(|run| run_report(*run)).collect(),
                    ended: state.ended.iter().take(MAX_LISTED_ENDS).cloned().collect(),
                };
                let answer = RenewalAnswer::Report(report);
                Some(JobEvent::RenewalAnswered(worker.clone(), answer))
            }
            WorkerCall::Stop(key) => panic!("{key} is stopped"),
            WorkerCall::Pace(..) => None,
        }
    }

    fn worker_mut(&mut self, worker: &WorkerId) -> &mut ListingWorker {
        self.workers
            .get_mut(worker.as_str())
            .expect("a known worker")
    }

    fn acknowledge(&mut self, worker: &WorkerId, last_seen: u64) {
        let state = self.worker_mut(worker);
        let mut tasks = Vec::new();
        while let Some(end) = state.ended.pop_front_if(|end| end.number <= last_seen) {
            tasks.extend((end.outcome == RunOutcome::Done).then_some(end.key.task));
        }
        self.noted.extend(tasks);
    }

    /// Ends all that runs on a worker.
    fn end_runs(&mut self, worker: &WorkerId) {
        let large = self.large.clone();
        let running = std::mem::take(&mut self.worker_mut(worker).running);
        for key in running {
            let runs = self.runs_of.get(&key.task).copied().unwrap_or(1);
            let is_large = key.task.job == JobNumber(JOB);
            let stopped = is_large && runs == 1 && large.checkpoint.is_some();
            let failed = is_large && !stopped && runs <= large.failures;
            let outcome = match (stopped, failed) {
                (true, _) => RunOutcome::Stopped,
                (_, true) => RunOutcome::Failed,
                _ => RunOutcome::Done,
            };
            self.done += usize::from(outcome == RunOutcome::Done);
            let state = self.worker_mut(worker);
            state.newest_end += 1;
            state.ended.push_back(EndReport {
                checkpoint: large.checkpoint.clone().filter(|_| stopped),
                ..end_report(state.newest_end, key, outcome)
            });
        }
    }

    /// The next owner. The write that was under way is lost, and every other time so are all runs and all ends that were not acknowledged.
    pub fn succeeded(mut self) -> Self {
        self.successions += 1;
        self.unwritten = None;
        if self.successions.is_multiple_of(2) {
            for worker in self.workers.values_mut() {
                worker.running.clear();
                worker.ended.clear();
            }
        }
        let info = TakeoverInfo {
            epoch: self.rig.scheduler.epoch() + 1,
            rules_since: 1,
            claimed_at: self.rig.now,
            wall_ms: WALL_START_MS + self.rig.now,
            progress: self.stored.clone(),
            ..second_owner(&WORKERS)
        };
        let now = self.rig.now;
        self.rig = SchedulerRig::new(info);
        self.rig.now = now;
        for (number, spec) in &self.specs {
            self.rig.hand_in(*number, 0, spec.clone());
        }
        self.rig.list_entries(entries());
        self
    }

    /// Stores the progress of the large job as owners did that knew no pages.
    pub fn gather_pages_in_row(&mut self) {
        let pages = std::mem::take(&mut self.stored.pages);
        let row = self.stored.rows.get_mut(&JobNumber(JOB)).expect("a row");
        for (key, page) in pages {
            let done = page.done.iter();
            let done = done.flat_map(|range| range.first..range.first + range.count);
            row.tasks.extend(done.map(|index| TaskProgress {
                time: key.time,
                step: key.step,
                index,
                done: true,
                ..TaskProgress::default()
            }));
            row.tasks.extend(page.tasks);
        }
    }

    /// Whether a job is shown as completed.
    pub fn is_completed(&self, job: u64) -> bool {
        let row = self.stored.rows.get(&JobNumber(job));
        row.is_some_and(|row| row.stage == JobStage::Completed)
    }

    /// How many tasks of a job were acknowledged as done.
    pub fn acknowledged(&self, job: u64) -> usize {
        let noted = self.noted.iter();
        noted.filter(|task| task.job == JobNumber(job)).count()
    }

    /// How many ends workers still list.
    pub fn unacknowledged(&self) -> usize {
        self.workers.values().map(|worker| worker.ended.len()).sum()
    }

    /// How many tasks were started after their ends as done had been acknowledged.
    pub fn begun_again(&self) -> usize {
        self.begun_again
    }

    /// How many rows of a job are stored.
    pub fn stored_rows_of(&self, job: u64) -> usize {
        let job = JobNumber(job);
        let pages = self.stored.pages.keys().filter(|page| page.job == job);
        usize::from(self.stored.rows.contains_key(&job)) + pages.count()
    }

    /// How many tasks wait or run.
    pub fn open_tasks(&self) -> usize {
        let counts = self.rig.scheduler.counts(self.rig.now);
        counts.waiting + counts.runs
    }

    /// The bytes of all writes so far.
    pub fn written_bytes(&self) -> usize {
        self.written_bytes
    }
}
