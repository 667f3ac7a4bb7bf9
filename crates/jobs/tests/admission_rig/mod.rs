//! A service with callers, hosts and an owner in virtual time. Hosts decide from views of the owner that are 0.3 to 1.2 s old.

#![allow(dead_code)]

mod figures;

pub use figures::CallerFigures;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sandshelf_jobs::admission::{
    AdmissionDecision, AdmissionGate, HeardView, JobSample, LoadMeter, LoadView, QueueSample,
    SubmissionView, SAMPLE_INTERVAL_MS,
};
use sandshelf_jobs::JobNumber;
use sandshelf_model::Millis;

/// The time step of the simulation, in milliseconds.
const STEP_MS: Millis = 10;
/// The interval between two notices of an owner, in milliseconds.
const NOTICE_INTERVAL_MS: Millis = 350;
/// The ages of views when they reach hosts, in milliseconds; until the next view comes they grow by one interval.
const TRANSIT_MS: std::ops::Range<Millis> = 300..850;
/// The time of a caller, in milliseconds, and the number of its calls.
const CALLER_TIME_MS: Millis = 3_000;
const MAX_CALLS: u32 = 5;
/// The duration of a call, in milliseconds.
const CALL_MS: Millis = 10;
/// After this time a waiting task lacks capacity, as the scheduler counts it.
const SHORTAGE_WAIT_MS: Millis = 200;
/// The interval between two reports of a task's progress, in milliseconds.
const REPORT_INTERVAL_MS: Millis = 500;
const HOSTS: usize = 32;

/// A queue of the simulation.
#[derive(Clone, Debug)]
pub struct QueuePlan {
    pub name: &'static str,
    pub priority: u32,
    /// The offered load, as a multiple of the capacity.
    pub load: f64,
    /// Another load during a time.
    pub burst: Option<(std::ops::Range<Millis>, f64)>,
}

impl QueuePlan {
    fn load_at(&self, now: Millis) -> f64 {
        let burst = self.burst.as_ref().filter(|(time, _)| time.contains(&now));
        burst.map_or(self.load, |(_, load)| *load)
    }
}

/// A simulated load.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    pub queues: Vec<QueuePlan>,
    pub cores: u64,
    pub until_ms: Millis,
    /// The callers that arrive in this time are counted.
    pub counted: std::ops::Range<Millis>,
    pub admission: bool,
    /// When the owner is replaced.
    pub new_owner_at: Option<Millis>,
    pub seed: u64,
}

#[derive(Clone, Debug)]
struct PlannedTask {
    estimate_ms: Millis,
    real_ms: Millis,
}

/// A job and what became of it.
#[derive(Clone, Debug)]
pub struct PlayedJob {
    pub queue: usize,
    pub arrived: Millis,
    steps: Vec<Vec<PlannedTask>>,
    /// The estimated work, in core-milliseconds.
    pub work: u64,
    /// The real work, in core-milliseconds.
    pub real_work: u64,
    chain_ms: Millis,
    pub objective_ms: Millis,
    pub calls: u32,
    pub accepted: Option<Millis>,
    pub refused_finally: bool,
    /// Whether a core was idle and no task waited when it was last refused.
    pub refused_beside_idle: bool,
    pub ended: Option<Millis>,
    step: usize,
    open_tasks: usize,
    work_done: u64,
    begun: bool,
}

impl PlayedJob {
    pub fn is_served(&self) -> bool {
        let (Some(accepted), Some(ended)) = (self.accepted, self.ended) else {
            return false;
        };
        ended <= accepted + 3 * self.objective_ms
    }
}

#[derive(Clone, Copy, Debug)]
struct LiveTask {
    began: Millis,
    job: usize,
    task: usize,
}

/// The state of a simulation.
pub struct LoadPlay {
    plan: LoadPlan,
    random: ChaCha8Rng,
    now: Millis,
    pub jobs: Vec<PlayedJob>,
    arrivals: Vec<usize>,
    calls: BinaryHeap<Reverse<(Millis, usize)>>,
    ready: BTreeSet<(u32, Millis, usize, usize)>,
    useless: BTreeSet<(u32, Millis, usize, usize)>,
    ready_since: BTreeMap<(usize, usize), Millis>,
    live: BTreeMap<(Millis, usize, usize), LiveTask>,
    meter: LoadMeter,
    epoch: u64,
    /// The published views, with their times.
    views: Vec<(Millis, u64, Option<LoadView>)>,
    transit: Vec<Millis>,
    /// The busy core-milliseconds in the counted time.
    pub busy: u64,
}

impl LoadPlay {
    pub fn new(plan: LoadPlan) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(plan.seed);
        let transit = (0..HOSTS)
            .map(|_| random.random_range(TRANSIT_MS))
            .collect();
        let mut play = Self {
            random,
            now: 0,
            jobs: Vec::new(),
            arrivals: Vec::new(),
            calls: BinaryHeap::new(),
            ready: BTreeSet::new(),
            useless: BTreeSet::new(),
            ready_since: BTreeMap::new(),
            live: BTreeMap::new(),
            meter: LoadMeter::default(),
            epoch: 1,
            views: Vec::new(),
            transit,
            busy: 0,
            plan,
        };
        play.draw_jobs();
        play
    }

    /// Plays the load until all accepted jobs have ended.
    pub fn play(mut self) -> Self {
        let last = self.plan.until_ms + 60_000;
        while self.now < last {
            self.end_tasks();
            self.answer_calls();
            self.start_tasks();
            self.observe();
            if self.plan.counted.contains(&self.now) {
                self.busy += self.live.len() as u64 * STEP_MS;
            }
            self.now += STEP_MS;
        }
        self
    }

    fn draw_jobs(&mut self) {
        let plan = self.plan.clone();
        for (queue, rules) in plan.queues.iter().enumerate() {
            let mut at = 0.0;
            // The mean real work of the jobs that are drawn, found by drawing.
            let mean: f64 = (0..4_000)
                .map(|_| self.draw_job(queue, 0).real_work as f64)
                .sum::<f64>()
                / 4_000.0;
            loop {
                let per_ms = rules.load_at(at as Millis) * plan.cores as f64 / mean;
                let drawn: f64 = self.random.random();
                at += -(1.0 - drawn).ln() / per_ms;
                if at >= plan.until_ms as f64 {
                    break;
                }
                let job = self.draw_job(queue, at as Millis);
                self.calls.push(Reverse((job.arrived, self.jobs.len())));
                self.jobs.push(job);
            }
        }
    }

    /// Draws a job of one to three steps; one in ten has eight times as many tasks. Real times are off the estimates by up to a factor
    /// of two either way.
    fn draw_job(&mut self, queue: usize, arrived: Millis) -> PlayedJob {
        let random = &mut self.random;
        let wide = if random.random_bool(0.1) { 8 } else { 1 };
        let steps: Vec<Vec<PlannedTask>> = (0..random.random_range(1..=3))
            .map(|_| {
                let count = random.random_range(1..=4) * wide;
                let estimate_ms = random.random_range(300..1_200);
                let mut draw_real =
                    || (estimate_ms as f64 * 2f64.powf(random.random_range(-1.0..1.0))) as Millis;
                (0..count)
                    .map(|_| PlannedTask {
                        estimate_ms,
                        real_ms: draw_real().max(STEP_MS),
                    })
                    .collect()
            })
            .collect();
        let tasks = || steps.iter().flatten();
        let chain_ms = steps.iter().map(|step| step[0].estimate_ms).sum();
        PlayedJob {
            queue,
            arrived,
            work: tasks().map(|task| task.estimate_ms).sum(),
            real_work: tasks().map(|task| task.real_ms).sum(),
            chain_ms,
            objective_ms: chain_ms * 2 + 1_000,
            calls: 0,
            accepted: None,
            refused_finally: false,
            refused_beside_idle: false,
            ended: None,
            step: 0,
            open_tasks: 0,
            work_done: 0,
            begun: false,
            steps,
        }
    }

    fn answer_calls(&mut self) {
        while let Some(Reverse((at, job))) = self.calls.peek().copied() {
            if at > self.now {
                return;
            }
            self.calls.pop();
            self.answer_call(job);
        }
    }

    fn answer_call(&mut self, index: usize) {
        let host = self.random.random_range(0..HOSTS);
        let job = &self.jobs[index];
        let left_ms = (job.arrived + CALLER_TIME_MS).saturating_sub(self.now);
        let submission = SubmissionView {
            number: JobNumber(index as u64 + 1),
            queue: self.plan.queues[job.queue].name,
            work: job.work,
            chain_ms: job.chain_ms,
            objective_ms: job.objective_ms,
            ends: true,
            left_ms: Some(left_ms),
        };
        let heard_before = self.now.saturating_sub(self.transit[host]);
        let heard = self.views.iter().rev().find(|(at, ..)| *at <= heard_before);
        let heard = heard.and_then(|(at, epoch, view)| {
            Some(HeardView {
                view: view.as_ref()?,
                age_ms: self.now - at,
                newest_epoch: *epoch,
            })
        });
        let decision = match self.plan.admission {
            true => AdmissionGate.decide(heard, &submission),
            false => AdmissionDecision::Admit,
        };
        let idle = self.live.len() < self.plan.cores as usize && self.ready.is_empty();
        let job = &mut self.jobs[index];
        job.calls += 1;
        match decision {
            AdmissionDecision::Admit => {
                job.accepted = Some(self.now);
                self.open_step(index);
            }
            AdmissionDecision::Refuse { retry_after_ms, .. } => {
                job.refused_beside_idle = idle;
                let next = self.now + CALL_MS + retry_after_ms;
                if job.calls < MAX_CALLS && next < job.arrived + CALLER_TIME_MS {
                    self.calls.push(Reverse((next, index)));
                } else {
                    job.refused_finally = true;
                }
            }
        }
    }

    fn open_step(&mut self, index: usize) {
        let priority = self.plan.queues[self.jobs[index].queue].priority;
        let job = &mut self.jobs[index];
        let Some(step) = job.steps.get(job.step) else {
            job.ended = Some(self.now);
            return;
        };
        job.open_tasks = step.len();
        let objective_at = job.accepted.unwrap_or(0) + job.objective_ms;
        for task in 0..step.len() {
            self.ready.insert((priority, objective_at, index, task));
            self.ready_since.insert((index, task), self.now);
        }
    }

    /// Starts ready tasks by priority and objective. Jobs of no use go last.
    fn start_tasks(&mut self) {
        while self.live.len() < self.plan.cores as usize {
            let Some(key) = self.ready.pop_first() else {
                break;
            };
            let job = &self.jobs[key.2];
            if self.now > job.accepted.unwrap_or(0) + 3 * job.objective_ms {
                self.useless.insert(key);
                continue;
            }
            self.start(key);
        }
        while self.live.len() < self.plan.cores as usize {
            let Some(key) = self.useless.pop_first() else {
                break;
            };
            self.start(key);
        }
    }

    fn start(&mut self, (_, _, index, task): (u32, Millis, usize, usize)) {
        let job = &mut self.jobs[index];
        job.begun = true;
        let real_ms = job.steps[job.step][task].real_ms;
        self.ready_since.remove(&(index, task));
        let live = LiveTask {
            began: self.now,
            job: index,
            task,
        };
        self.live.insert((self.now + real_ms, index, task), live);
    }

    fn end_tasks(&mut self) {
        while let Some(entry) = self.live.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let live = entry.remove();
            let job = &mut self.jobs[live.job];
            job.work_done += job.steps[job.step][live.task].estimate_ms;
            job.open_tasks -= 1;
            if job.open_tasks > 0 {
                continue;
            }
            job.step += 1;
            self.open_step(live.job);
            let job = &self.jobs[live.job];
            if let (Some(ended), Some(accepted)) = (job.ended, job.accepted) {
                let number = JobNumber(live.job as u64 + 1);
                self.meter
                    .note_ended(number, true, ended - accepted, job.objective_ms);
            }
        }
    }

    /// The owner samples its jobs and publishes its view.
    fn observe(&mut self) {
        if self.plan.new_owner_at == Some(self.now) {
            self.epoch += 1;
            self.meter = LoadMeter::default();
        }
        if self.meter.is_due(self.now, SAMPLE_INTERVAL_MS) {
            self.sample();
        }
        if self.now.is_multiple_of(NOTICE_INTERVAL_MS) {
            let view = self.meter.view(self.now, self.epoch);
            self.views.push((self.now, self.epoch, view));
        }
    }

    fn sample(&mut self) {
        let mut worked: BTreeMap<usize, u64> = BTreeMap::new();
        let mut busy = vec![0; self.plan.queues.len()];
        for ((end, ..), live) in &self.live {
            let job = &self.jobs[live.job];
            let passed = self.now - live.began;
            let reported = passed - passed % REPORT_INTERVAL_MS;
            let percent = reported * 100 / (end - live.began);
            busy[job.queue] +=
                u64::from(self.now <= job.accepted.unwrap_or(0) + 3 * job.objective_ms) * 1_000;
            *worked.entry(live.job).or_default() +=
                job.steps[job.step][live.task].estimate_ms * percent / 100;
        }
        let mut short = vec![false; self.plan.queues.len()];
        for ((job, _), since) in &self.ready_since {
            short[self.jobs[*job].queue] |= self.now >= since + SHORTAGE_WAIT_MS;
        }
        let queues: Vec<QueueSample<'_>> = self
            .plan
            .queues
            .iter()
            .zip(short.iter().zip(&busy))
            .map(|(queue, (short, busy))| QueueSample {
                queue: queue.name,
                service: "s",
                priority: queue.priority,
                short_of_capacity: *short,
                busy_millis: *busy,
            })
            .collect();
        let open = self.jobs.iter().enumerate().filter_map(|(index, job)| {
            let accepted = job.accepted.filter(|_| job.ended.is_none())?;
            (self.now <= accepted + 3 * job.objective_ms).then(|| JobSample {
                number: JobNumber(index as u64 + 1),
                queue: self.plan.queues[job.queue].name,
                work: job.work,
                work_left: job.work - job.work_done - worked.get(&index).copied().unwrap_or(0),
                chain_ms: job.chain_ms,
                objective_ms: job.objective_ms,
                begun: job.begun,
            })
        });
        self.meter.sample(self.now, &queues, open);
    }

    /// The jobs of a queue that are counted.
    pub fn counted(&self, queue: usize) -> Vec<&PlayedJob> {
        let jobs = self.jobs.iter().filter(|job| job.queue == queue);
        jobs.filter(|job| self.plan.counted.contains(&job.arrived))
            .collect()
    }
}
