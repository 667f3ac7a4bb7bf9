//! A fleet of workers in virtual time that runs short, filling and serving tasks, and counts what callers get.

#![allow(dead_code)]

mod room;

use std::collections::{BTreeMap, BTreeSet};
use std::f64::consts::TAU;

use sandshelf_jobs::{
    EndReport, InterferencePair, InterferenceRow, JobAction, JobEvent, JobNote, JobSpec, JobStage,
    OrderAnswer, RunKey, RunOutcome, RunReport, SchedulerLimits, StartCall, StepSpec,
    StoredProgress, TakeoverInfo, WorkerCall, WorkerListing, WorkerRoster,
};
use sandshelf_model::{LoadPolicies, Millis, ResourceSize, WorkerId};

use crate::support::{listing, SchedulerRig};

/// The step of the virtual clock.
pub const TICK_MS: Millis = 25;
/// The interval between two reports of a worker on which nothing ends.
const REPORT_INTERVAL_MS: Millis = 500;
/// Time from a stop order until the run has ended.
const STOP_MS: Millis = 300;
/// Work between two checkpoints.
const CHECKPOINT_MS: f64 = 1_000.0;
/// Mean load of a serving task alone; 1 is saturation.
const MEAN_LOAD: f64 = 0.45;
/// Amplitude of the periodic load change, relative to the mean.
const LOAD_AMPLITUDE: f64 = 0.5;
/// Period of the load change.
pub const SWING_MS: Millis = 14_000;
/// Tail latency of an idle serving task, relative to its target.
const IDLE_TAIL_SHARE: f64 = 0.2;
/// Deviation of a task's work from the work of its job, up or down.
const WORK_DEVIATION: f64 = 0.25;

/// Relative load increase of each serving image by each filling image at full use of a worker.
pub const COEFFICIENTS: [[f64; 4]; 2] = [[6.0, 4.0, 3.0, 2.0], [3.0, 2.0, 6.0, 4.0]];

/// The version at which a second owner claims the shard.
const CLAIM_VERSION: u64 = 100;
/// The version of submitted jobs: later than each claim, since a job listed up to the claim counts as an earlier owner's.
const NEW_VERSION: u64 = CLAIM_VERSION + 1;

/// The state of a run on a worker.
struct FleetRun {
    work_ms: f64,
    done_ms: f64,
    pace: u32,
    stops_at: Option<Millis>,
}

/// A worker with its runs.
struct FleetWorker {
    listing: WorkerListing,
    runs: BTreeMap<RunKey, FleetRun>,
    ends: Vec<EndReport>,
    end_count: u64,
    lost: bool,
}

/// How a finished job ended.
#[derive(Clone, Copy, Debug)]
pub struct JobEnd {
    pub took_ms: Millis,
    pub objective_ms: Millis,
}

impl JobEnd {
    pub fn is_in_time(&self) -> bool {
        self.took_ms <= self.objective_ms
    }
}

/// Workers in virtual time with the scheduler that they obey.
pub struct TaskFleet {
    pub rig: SchedulerRig,
    pub jobs: BTreeMap<u64, JobSpec>,
    pub ended: BTreeMap<u64, JobEnd>,
    /// When the first task of each job started.
    pub first_starts: BTreeMap<u64, Millis>,
    /// How long serving tasks were over their target, summed over tasks.
    pub over_target_ms: Millis,
    /// How long standing tasks were at work, summed over tasks.
    pub standing_ms: Millis,
    pub notes: Vec<JobNote>,
    workers: Vec<FleetWorker>,
    limits: SchedulerLimits,
    progress: StoredProgress,
}

/// A number in 0..1 that depends on its arguments only (the finaliser of SplitMix64).
pub fn draw(left: u64, right: u64) -> f64 {
    let mut mixed = left ^ right.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (mixed ^ (mixed >> 31)) as f64 / u64::MAX as f64
}

/// The number at the end of an image's name.
fn image_number(image: &str) -> usize {
    let (_, number) = image.rsplit_once('-').expect("an image with a number");
    number.parse().expect("an image with a number")
}

/// The load of a serving image without filling tasks.
pub fn load_alone(image: usize, now: Millis) -> f64 {
    let turn = now as f64 / SWING_MS as f64 + image as f64 / COEFFICIENTS.len() as f64;
    MEAN_LOAD * (1.0 + LOAD_AMPLITUDE * (turn * TAU).sin())
}

/// By how much filling tasks may raise the load of a serving image before it is over its target.
pub fn allowed_increase(image: usize, now: Millis) -> f64 {
    ((1.0 - IDLE_TAIL_SHARE) / load_alone(image, now) - 1.0).max(0.0)
}

fn learned() -> InterferenceRow {
    let mut pairs = Vec::new();
    for (serving, row) in COEFFICIENTS.iter().enumerate() {
        for (filling, mean) in row.iter().enumerate() {
            pairs.push(InterferencePair {
                serving: format!("serve-{serving}"),
                filling: format!("fill-{filling}"),
                mean: *mean,
                variance: 0.01,
            });
        }
    }
    InterferenceRow { pairs }
}

impl TaskFleet {
    /// Workers that have answered a lease renewal; every third one is larger by half if `uneven`.
    pub fn new(count: usize, policies: LoadPolicies, uneven: bool) -> Self {
        let info = TakeoverInfo {
            interference: learned(),
            ..TakeoverInfo::first(1, 1_000)
        };
        let limits = SchedulerLimits {
            policies,
            ..SchedulerLimits::default()
        };
        let mut rig = SchedulerRig::with_limits(limits, info);
        let large = |number: usize| uneven && number.is_multiple_of(3);
        let workers = (1..=count).map(|number| FleetWorker {
            listing: WorkerListing {
                capacity: match large(number) {
                    true => ResourceSize::new(24_000, 96_000, 0),
                    false => ResourceSize::new(16_000, 64_000, 0),
                },
                ..listing(&format!("w-{number:03}"))
            },
            runs: BTreeMap::new(),
            ends: Vec::new(),
            end_count: 0,
            lost: false,
        });
        let workers: Vec<FleetWorker> = workers.collect();
        rig.list_entries(workers.iter().map(|one| one.listing.clone()).collect());
        let mut fleet = Self {
            rig,
            jobs: BTreeMap::new(),
            ended: BTreeMap::new(),
            first_starts: BTreeMap::new(),
            over_target_ms: 0,
            standing_ms: 0,
            notes: Vec::new(),
            workers,
            limits,
            progress: StoredProgress::default(),
        };
        for worker in 0..count {
            fleet.report(worker);
        }
        fleet
    }

    pub fn submit(&mut self, number: u64, spec: JobSpec) {
        self.jobs.insert(number, spec.clone());
        self.rig.hand_in(number, NEW_VERSION, spec);
    }

    /// Loses a worker for good: it answers nothing any more and the list omits it.
    pub fn lose(&mut self, worker: usize) {
        self.workers[worker].lost = true;
        self.workers[worker].runs.clear();
    }

    /// Another owner takes over, with the durable state and what workers report.
    pub fn take_over(&mut self) {
        let roster = self.workers.iter().map(|worker| {
            let entry = &worker.listing;
            (entry.worker.clone(), entry.address)
        });
        let info = TakeoverInfo {
            epoch: 2,
            claimed_at: self.rig.now,
            claim_version: CLAIM_VERSION,
            progress: self.progress.clone(),
            interference: learned(),
            roster: WorkerRoster {
                epoch: 1,
                workers: roster.collect(),
                ..WorkerRoster::default()
            },
            ..TakeoverInfo::default()
        };
        let now = self.rig.now;
        self.rig = SchedulerRig::with_limits(self.limits, info);
        self.rig.now = now;
        let entries = self.workers.iter().map(|worker| worker.listing.clone());
        self.rig.list_entries(entries.collect());
        for (number, spec) in &self.jobs {
            self.rig.hand_in(*number, 1, spec.clone());
        }
        for worker in 0..self.workers.len() {
            self.report(worker);
        }
    }

    /// The number of jobs from this number on of which a task is running.
    pub fn running_jobs(&self, from: u64) -> usize {
        let runs = self.workers.iter().flat_map(|worker| worker.runs.keys());
        let jobs = runs.map(|key| key.task.job.0).filter(|job| *job >= from);
        jobs.collect::<BTreeSet<u64>>().len()
    }

    /// The number of running tasks of a job.
    pub fn running_of(&self, job: u64) -> usize {
        let runs = self.workers.iter().flat_map(|worker| worker.runs.keys());
        runs.filter(|key| key.task.job.0 == job).count()
    }

    fn step(&self, key: &RunKey) -> &StepSpec {
        &self.jobs[&key.task.job.0].steps[key.task.step as usize]
    }

    fn index_of(worker: &WorkerId) -> usize {
        let number = worker.as_str().trim_start_matches("w-").parse::<usize>();
        number.expect("a worker's number") - 1
    }

    /// The tail latency of a serving task on a worker, in milliseconds.
    fn tail(&self, worker: usize, key: &RunKey) -> f64 {
        let step = self.step(key);
        let image = image_number(&step.image);
        let whole = self.workers[worker].listing.capacity.cpu_millis as f64;
        let runs = self.workers[worker].runs.iter();
        let filling = runs.filter(|(key, _)| self.step(key).fills);
        let increase = filling.map(|(key, run)| {
            let filling = self.step(key);
            let used = filling.size.cpu_millis as f64 * f64::from(run.pace) / 100.0 / whole;
            COEFFICIENTS[image][image_number(&filling.image)] * used
        });
        let load = load_alone(image, self.rig.now) * (1.0 + increase.sum::<f64>());
        step.target_ms as f64 * IDLE_TAIL_SHARE / (1.0 - load.min(0.99))
    }

    fn report(&mut self, worker: usize) {
        if self.workers[worker].lost {
            return;
        }
        let runs = self.workers[worker].runs.iter();
        let running = runs.map(|(key, run)| {
            let step = self.step(key);
            let gauge = match (step.target_ms > 0, step.fills) {
                (true, _) => Some(self.tail(worker, key) as u64),
                (_, true) => Some(step.size.cpu_millis * u64::from(run.pace) / 100),
                _ => None,
            };
            RunReport {
                key: *key,
                checkpoint: None,
                percent: match step.standing {
                    true => 100,
                    false => (run.done_ms / run.work_ms * 100.0) as u32,
                },
                gauge,
            }
        });
        let running = running.collect();
        let ended = std::mem::take(&mut self.workers[worker].ends);
        let name = self.workers[worker].listing.worker.clone();
        self.rig.report(name.as_str(), running, ended);
        self.apply_actions();
    }

    fn start(&mut self, worker: &WorkerId, start: &StartCall) {
        let key = start.key;
        let index = Self::index_of(worker);
        if self.workers[index].lost {
            return;
        }
        let step = self.step(&key).clone();
        let used = self.workers[index].runs.keys();
        let used = used.fold(ResourceSize::default(), |sum, held| {
            sum.plus(&self.step(held).room()).expect("small sizes")
        });
        let wanted = used.plus(&step.room()).expect("small sizes");
        assert!(wanted.fits_in(&self.workers[index].listing.capacity));
        let task = u64::from(key.task.step) << 32 | u64::from(key.task.index);
        let deviation = (draw(key.task.job.0, task) * 2.0 - 1.0) * WORK_DEVIATION;
        let done = start.checkpoint.as_ref().and_then(|text| text.parse().ok());
        let run = FleetRun {
            work_ms: step.estimate_ms as f64 * (1.0 + deviation),
            done_ms: done.unwrap_or(0.0),
            pace: 100,
            stops_at: None,
        };
        self.workers[index].runs.insert(key, run);
        self.first_starts
            .entry(key.task.job.0)
            .or_insert(self.rig.now);
        let clock = self.rig.now;
        let done = OrderAnswer::Done(clock);
        self.rig.start_answered(worker.as_str(), key, done);
    }

    fn obey(&mut self, worker: &WorkerId, call: WorkerCall) {
        let index = Self::index_of(worker);
        let done = OrderAnswer::Done(self.rig.now);
        match call {
            WorkerCall::Start(start) => self.start(worker, &start),
            WorkerCall::Pace(key, pace) => {
                if let Some(run) = self.workers[index].runs.get_mut(&key) {
                    run.pace = pace;
                    let event = JobEvent::PaceAnswered(worker.clone(), key, done);
                    self.rig.handle(event);
                }
            }
            WorkerCall::Stop(key) => {
                let stops_at = self.rig.now + STOP_MS;
                if let Some(run) = self.workers[index].runs.get_mut(&key) {
                    run.stops_at.get_or_insert(stops_at);
                    let event = JobEvent::StopAnswered(worker.clone(), key, done);
                    self.rig.handle(event);
                }
            }
            WorkerCall::Renew(_) => {}
        }
    }

    /// Carries out the actions of the scheduler until it requests none.
    fn apply_actions(&mut self) {
        while !self.rig.actions.is_empty() {
            for action in std::mem::take(&mut self.rig.actions) {
                match action {
                    JobAction::Call { worker, call, .. } => self.obey(&worker, call),
                    JobAction::Commit(batch) => {
                        self.progress.apply(&batch);
                        self.rig.handle(JobEvent::Committed(batch.id));
                    }
                    JobAction::Note(note) => self.note(note),
                    JobAction::Deposed => panic!("the owner gave up its ownership"),
                }
            }
        }
    }

    fn note(&mut self, note: JobNote) {
        if let JobNote::JobFinished {
            job,
            state: JobStage::Completed,
            took_ms,
            objective_ms,
            ..
        } = &note
        {
            let end = JobEnd {
                took_ms: *took_ms,
                objective_ms: *objective_ms,
            };
            self.ended.insert(job.0, end);
        }
        self.notes.push(note);
    }

    /// Advances the runs on a worker; returns whether any ended.
    fn work(&mut self, worker: usize) -> bool {
        let now = self.rig.now;
        let keys: Vec<RunKey> = self.workers[worker].runs.keys().copied().collect();
        let before = self.workers[worker].end_count;
        for key in keys {
            let step = self.step(&key);
            let (standing, saves) = (step.standing, step.checkpoints);
            let over = step.target_ms > 0 && self.tail(worker, &key) > step.target_ms as f64;
            self.over_target_ms += if over { TICK_MS } else { 0 };
            self.standing_ms += if standing { TICK_MS } else { 0 };
            let state = &mut self.workers[worker];
            let Some(run) = state.runs.get_mut(&key) else {
                continue;
            };
            run.done_ms += TICK_MS as f64 * f64::from(run.pace) / 100.0;
            let done = !standing && run.done_ms >= run.work_ms;
            if !done && run.stops_at.is_none_or(|at| now < at) {
                continue;
            }
            let saved = (run.done_ms / CHECKPOINT_MS).floor() * CHECKPOINT_MS;
            state.end_count += 1;
            state.ends.push(EndReport {
                number: state.end_count,
                key,
                outcome: match done {
                    true => RunOutcome::Done,
                    false => RunOutcome::Stopped,
                },
                checkpoint: (!done && saves && saved > 0.0).then(|| saved.to_string()),
            });
            state.runs.remove(&key);
        }
        self.workers[worker].end_count > before
    }

    /// Advances the clock by one step.
    pub fn tick(&mut self) {
        self.rig.advance(TICK_MS);
        self.apply_actions();
        if self.rig.now.is_multiple_of(700) {
            let alive = self.workers.iter().filter(|worker| !worker.lost);
            let entries = alive.map(|worker| worker.listing.clone()).collect();
            self.rig.list_entries(entries);
            self.apply_actions();
        }
        for worker in 0..self.workers.len() {
            let ended = self.work(worker);
            let turn = self.rig.now / TICK_MS + worker as u64;
            if ended || turn.is_multiple_of(REPORT_INTERVAL_MS / TICK_MS) {
                self.report(worker);
            }
        }
    }

    /// Advances the clock by this time.
    pub fn run(&mut self, millis: Millis) {
        for _ in 0..millis / TICK_MS {
            self.tick();
        }
    }
}
