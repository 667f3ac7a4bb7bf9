//! Workers in virtual time on which some runs are slow, and on which all tasks may stall for a while.
//!
//! The workers answer lease renewals as the platform's do: at once when a run ends, otherwise after the wait that was asked for.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sandshelf_jobs::{
    EndReport, JobAction, JobEvent, JobNote, JobNumber, JobSpec, JobStage, OrderAnswer,
    RefusalReason, RenewalAnswer, RenewalCall, RenewalReport, RunKey, RunOutcome, RunReport,
    SchedulerLimits, StoredProgress, TakeoverInfo, TaskKey, WorkerCall, WorkerListing,
    WorkerRoster,
};
use sandshelf_model::{HallId, Millis, ResourceSize, WorkerId};

use super::{SchedulerRig, WALL_START_MS};

/// The step of the virtual clock.
const STEP_MS: Millis = 5;
/// The interval of the owner's ticks.
const TICK_MS: Millis = 25;
/// The time that a call takes to a worker, and its answer back.
const CALL_MS: Millis = 5;
/// The time that a write takes.
const WRITE_MS: Millis = 15;

/// A run on a worker of the fleet.
#[derive(Clone, Debug)]
pub struct FleetRun {
    pub work_ms: f64,
    pub done_ms: f64,
    pub size: ResourceSize,
    pub standing: bool,
    pub stops_at: Option<Millis>,
}

/// A worker of the fleet.
pub struct FleetWorker {
    pub id: WorkerId,
    pub runs: BTreeMap<RunKey, FleetRun>,
    pub stalls: (Millis, Millis),
    /// How long a stop of a run takes here.
    pub stop_ms: Millis,
    ends: Vec<EndReport>,
    end_count: u64,
    renewal: Option<(Millis, RenewalCall)>,
}

/// How the jobs of the fleet ended, and what was done for them.
#[derive(Clone, Debug, Default)]
pub struct FleetCounts {
    pub in_time: usize,
    pub late: usize,
    pub failed: usize,
    /// The sum of the times from submission to completion.
    pub took_ms: Millis,
    /// The job that took longest.
    pub longest_ms: Millis,
    pub starts: usize,
    pub copies: usize,
    pub copies_won: usize,
    pub stuck: usize,
    pub renewals: usize,
    pub third_runs: usize,
    /// The most runs of one task at one time, of tasks whose step allows no copies.
    pub doubled: usize,
    /// Runs that started after an end `done` of their task was acknowledged.
    pub late_starts: usize,
}

/// The list entry of a worker: racks have four workers each.
fn entry(index: usize) -> WorkerListing {
    WorkerListing {
        rack: Some(format!("r-{}", index / 4)),
        hall: HallId::from("north"),
        ..super::listing(&format!("w-{}", index + 1))
    }
}

/// A fleet of workers and its owner.
pub struct SlowFleet {
    pub rig: SchedulerRig,
    pub workers: Vec<FleetWorker>,
    pub counts: FleetCounts,
    pub random: ChaCha8Rng,
    /// The share of runs that are slow, and how many times longer they take.
    pub slow_share: f64,
    pub slow_factor: f64,
    /// Whether a slow task is slow in each of its runs.
    pub slow_again: bool,
    /// The work of a task of a job, in milliseconds.
    pub work_ms: f64,
    /// The declared size and kind of each job's tasks.
    pub jobs: BTreeMap<JobNumber, (ResourceSize, bool, bool)>,
    slow_tasks: BTreeMap<TaskKey, bool>,
    /// The jobs that were completed.
    pub completed: BTreeSet<JobNumber>,
    /// The tasks of which an end `done` was acknowledged.
    acknowledged: BTreeSet<TaskKey>,
    /// The durable rows, and the specifications of jobs that were not completed.
    progress: StoredProgress,
    specs: BTreeMap<JobNumber, JobSpec>,
    limits: SchedulerLimits,
    epoch: u64,
    events: VecDeque<(Millis, JobEvent)>,
}

impl SlowFleet {
    /// A fleet of this many workers of 16 cores, on racks of four.
    pub fn new(count: usize, limits: SchedulerLimits, seed: u64) -> Self {
        let mut rig = SchedulerRig::with_limits(limits, TakeoverInfo::first(1, 1_000));
        rig.list_entries((0..count).map(entry).collect());
        let workers = (0..count).map(|index| FleetWorker {
            id: entry(index).worker,
            runs: BTreeMap::new(),
            stalls: (0, 0),
            stop_ms: 100,
            ends: Vec::new(),
            end_count: 0,
            renewal: None,
        });
        let mut fleet = Self {
            rig,
            workers: workers.collect(),
            counts: FleetCounts::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            slow_share: 0.03,
            slow_factor: 7.0,
            slow_again: false,
            work_ms: 850.0,
            jobs: BTreeMap::new(),
            slow_tasks: BTreeMap::new(),
            completed: BTreeSet::new(),
            acknowledged: BTreeSet::new(),
            progress: StoredProgress::default(),
            specs: BTreeMap::new(),
            limits,
            epoch: 1,
            events: VecDeque::new(),
        };
        fleet.run_for(3_000);
        fleet
    }

    /// The owner dies, and another one takes over what is durable. Answers to the first one are lost.
    pub fn replace_owner(&mut self) {
        self.epoch += 1;
        self.events.clear();
        let workers = self.workers.iter().enumerate();
        let workers = workers.map(|(index, worker)| (worker.id.clone(), entry(index).address));
        let info = TakeoverInfo {
            epoch: self.epoch,
            claimed_at: self.rig.now,
            claim_version: self.epoch,
            progress: self.progress.clone(),
            roster: WorkerRoster {
                epoch: self.epoch - 1,
                workers: workers.collect(),
                ..WorkerRoster::default()
            },
            ..TakeoverInfo::default()
        };
        let now = self.rig.now;
        self.rig = SchedulerRig::with_limits(self.limits, info);
        self.rig.now = now;
        let count = self.workers.len();
        self.rig.list_entries((0..count).map(entry).collect());
        for (number, spec) in &self.specs {
            self.rig.hand_in(number.0, self.epoch, spec.clone());
        }
        for worker in &mut self.workers {
            worker.renewal = None;
        }
        self.carry_out();
    }

    /// Submits a job.
    pub fn hand_in(&mut self, number: u64, spec: JobSpec) {
        self.specs.insert(JobNumber(number), spec.clone());
        let step = &spec.steps[0];
        let kind = (step.size, step.standing, step.copies_allowed);
        self.jobs.insert(JobNumber(number), kind);
        self.rig.hand_in(number, self.epoch + 1, spec);
    }

    /// Submits copies of a job for a time, one in each interval, then lets all of them end. Returns their number.
    pub fn play(
        &mut self,
        traffic_ms: Millis,
        interval_ms: f64,
        mut spec: impl FnMut(&mut ChaCha8Rng) -> JobSpec,
        mut before_step: impl FnMut(&mut Self),
    ) -> usize {
        let until = self.rig.now + traffic_ms;
        let mut next = self.rig.now as f64;
        let mut number = 0;
        while self.rig.now < until {
            while next <= self.rig.now as f64 {
                next += interval_ms;
                number += 1;
                let spec = spec(&mut self.random);
                self.hand_in(number, spec);
            }
            before_step(self);
            self.run_for(STEP_MS);
        }
        self.run_for(15_000);
        number as usize
    }

    /// Advances the virtual clock.
    pub fn run_for(&mut self, millis: Millis) {
        let until = self.rig.now + millis;
        while self.rig.now < until {
            self.advance_once();
        }
    }

    fn advance_once(&mut self) {
        self.rig.now += STEP_MS;
        let now = self.rig.now;
        for index in 0..self.workers.len() {
            self.work(index);
        }
        while self.events.front().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, event)) = self.events.pop_front() {
                self.rig.handle(event);
                self.carry_out();
            }
        }
        if now.is_multiple_of(TICK_MS) {
            let wall_ms = WALL_START_MS + now;
            self.rig.handle(JobEvent::Tick { wall_ms });
            self.carry_out();
        }
        if now.is_multiple_of(700) {
            self.rig
                .handle(JobEvent::WorkersChanged(Default::default()));
        }
    }

    /// Advances the runs on a worker, and answers its renewal if it is time.
    fn work(&mut self, index: usize) {
        let now = self.rig.now;
        let worker = &mut self.workers[index];
        let stalled = (worker.stalls.0..worker.stalls.1).contains(&now);
        let mut ended = Vec::new();
        for (key, run) in &mut worker.runs {
            if !stalled && !run.standing {
                run.done_ms += STEP_MS as f64;
            }
            if run.stops_at.is_some_and(|at| at <= now) {
                ended.push((*key, RunOutcome::Stopped));
            } else if run.done_ms >= run.work_ms && !run.standing {
                ended.push((*key, RunOutcome::Done));
            }
        }
        for (key, outcome) in ended {
            worker.runs.remove(&key);
            worker.end_count += 1;
            worker.ends.push(EndReport {
                number: worker.end_count,
                key,
                outcome,
                checkpoint: None,
            });
        }
        let due = worker
            .renewal
            .is_some_and(|(at, _)| at <= now || !worker.ends.is_empty());
        if !due {
            return;
        }
        worker.renewal = None;
        let running = worker.runs.iter().map(|(key, run)| RunReport {
            key: *key,
            checkpoint: None,
            percent: match run.standing {
                true if stalled => 0,
                true => 100,
                false => (run.done_ms / run.work_ms * 100.0) as u32,
            },
            gauge: None,
        });
        let report = RenewalReport {
            incarnation: None,
            carrier_late_ms: 0,
            clock: now,
            running: running.collect(),
            ended: worker.ends.clone(),
        };
        let answer = RenewalAnswer::Report(report);
        let event = JobEvent::RenewalAnswered(worker.id.clone(), answer);
        self.push(CALL_MS, event);
    }

    fn push(&mut self, after: Millis, event: JobEvent) {
        let at = self.rig.now + after;
        let place = self.events.partition_point(|(known, _)| *known <= at);
        self.events.insert(place, (at, event));
    }

    /// Carries out the actions of the owner.
    fn carry_out(&mut self) {
        for action in std::mem::take(&mut self.rig.actions) {
            match action {
                JobAction::Call { worker, call, .. } => self.call(&worker, call),
                JobAction::Commit(batch) => {
                    self.progress.apply(&batch);
                    self.push(WRITE_MS, JobEvent::Committed(batch.id));
                }
                JobAction::Note(note) => self.count(&note),
                JobAction::Deposed => panic!("the owner was deposed"),
            }
        }
    }

    fn call(&mut self, id: &WorkerId, call: WorkerCall) {
        let now = self.rig.now;
        let place = self.workers.iter().position(|worker| worker.id == *id);
        let place = place.expect("a known worker");
        match call {
            WorkerCall::Start(start) => {
                let answer = self.start(place, start.key);
                let event = JobEvent::StartAnswered(id.clone(), start.key, answer);
                self.push(CALL_MS, event);
            }
            WorkerCall::Stop(key) => {
                let worker = &mut self.workers[place];
                let stops_at = now + worker.stop_ms;
                if let Some(run) = worker.runs.get_mut(&key) {
                    run.stops_at.get_or_insert(stops_at);
                }
                let event = JobEvent::StopAnswered(id.clone(), key, OrderAnswer::Done(now));
                self.push(CALL_MS, event);
            }
            WorkerCall::Pace(key, _) => {
                let event = JobEvent::PaceAnswered(id.clone(), key, OrderAnswer::Done(now));
                self.push(CALL_MS, event);
            }
            WorkerCall::Renew(renewal) => {
                self.counts.renewals += 1;
                let worker = &mut self.workers[place];
                let acknowledged = worker.ends.iter();
                let acknowledged = acknowledged.filter(|end| end.number <= renewal.last_seen);
                let done = acknowledged.filter(|end| end.outcome == RunOutcome::Done);
                self.acknowledged.extend(done.map(|end| end.key.task));
                worker.ends.retain(|end| end.number > renewal.last_seen);
                worker.renewal = Some((now + renewal.wait_ms, renewal));
            }
        }
    }

    fn start(&mut self, place: usize, key: RunKey) -> OrderAnswer {
        let now = self.rig.now;
        let (size, standing, copies) = self.jobs[&key.task.job];
        let runs = self.workers.iter().flat_map(|worker| worker.runs.keys());
        let others = runs.filter(|run| run.task == key.task).count();
        self.counts.third_runs += usize::from(others > 1);
        let late = self.acknowledged.contains(&key.task);
        self.counts.late_starts += usize::from(late);
        self.counts.doubled += usize::from(others > 0 && !copies);
        let worker = &self.workers[place];
        let used: u64 = worker.runs.values().map(|run| run.size.cpu_millis).sum();
        if used + size.cpu_millis > 16_000 {
            return OrderAnswer::Refused(now, RefusalReason::NoRoom);
        }
        let slow = self.random.random_bool(self.slow_share);
        let slow = match self.slow_again {
            true => *self.slow_tasks.entry(key.task).or_insert(slow),
            false => slow,
        };
        let noise = self.random.random_range(0.85..1.15);
        let factor = if slow { self.slow_factor } else { 1.0 };
        let run = FleetRun {
            work_ms: self.work_ms * noise * factor,
            done_ms: 0.0,
            size,
            standing,
            stops_at: None,
        };
        self.workers[place].runs.insert(key, run);
        OrderAnswer::Done(now)
    }

    fn count(&mut self, note: &JobNote) {
        let counts = &mut self.counts;
        match note {
            JobNote::Placed { .. } => counts.starts += 1,
            JobNote::CopyStarted { .. } => counts.copies += 1,
            JobNote::CopyDecided { copy_won, .. } => counts.copies_won += usize::from(*copy_won),
            JobNote::RunStuck { .. } => counts.stuck += 1,
            JobNote::JobFinished {
                job,
                state: JobStage::Completed,
                took_ms,
                objective_ms,
                ..
            } => {
                self.specs.remove(job);
                self.completed.insert(*job);
                counts.took_ms += took_ms;
                counts.longest_ms = counts.longest_ms.max(*took_ms);
                match took_ms <= objective_ms {
                    true => counts.in_time += 1,
                    false => counts.late += 1,
                }
            }
            JobNote::JobFinished {
                state: JobStage::Failed,
                ..
            } => counts.failed += 1,
            _ => {}
        }
    }
}
