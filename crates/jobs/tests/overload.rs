//! More filling jobs than fit alongside the serving tasks: how many of them end in time.

mod support;

use std::collections::BTreeMap;

use sandshelf_jobs::{
    EndReport, InterferencePair, InterferenceRow, JobAction, JobEvent, JobNote, JobStage, RunKey,
    RunOutcome, RunReport, StepSpec, TakeoverInfo,
};
use sandshelf_model::{Millis, ResourceSize};
use support::{job, step, SchedulerRig};

/// The number of workers, of 16 cores each, with one serving task on each.
const WORKERS: usize = 8;
/// The load of a serving task without filling tasks, and the interference coefficient of the filling image.
const SERVING_LOAD: f64 = 0.5;
const COEFFICIENT: f64 = 4.0;
/// The tail latency of an idle serving task, and its target, in milliseconds.
const IDLE_TAIL_MS: f64 = 10.0;
const TARGET_MS: Millis = 50;
/// The processors of a filling task, and its run time at full pace: two filling tasks fit alongside each serving task.
const FILL_CPU_MILLIS: u64 = 1_200;
const FILL_RUN_MS: f64 = 1_000.0;
/// A filling job has two steps of four such tasks each, so that two jobs a second fit.
const TASKS_PER_STEP: u32 = 4;
const CAPACITY_JOBS_PER_S: f64 = 2.0;
/// For how long jobs are submitted.
const TRAFFIC_MS: Millis = 30_000;
const TICK_MS: Millis = 25;
/// The share of the jobs that fit that has to end in time, whatever the number of submitted jobs.
const MIN_IN_TIME_SHARE: f64 = 0.65;
/// The interval between two reports of a worker.
const REPORT_INTERVAL_MS: Millis = 500;

/// A running filling task.
struct FillingRun {
    done_ms: f64,
    pace: u32,
}

/// The numbers of jobs that ended in time and late.
#[derive(Debug, Default)]
struct CallerCounts {
    in_time: usize,
    late: usize,
}

/// Workers whose serving tasks are slowed by filling tasks.
struct DisturbedFleet {
    rig: SchedulerRig,
    serving: Vec<Option<RunKey>>,
    filling: Vec<BTreeMap<RunKey, FillingRun>>,
    ends: Vec<u64>,
    counts: CallerCounts,
}

fn worker_name(worker: usize) -> String {
    format!("w-{}", worker + 1)
}

fn worker_index(worker_name: &str) -> usize {
    let number = worker_name.trim_start_matches("w-").parse::<usize>();
    number.expect("a worker's number") - 1
}

fn serving_step() -> StepSpec {
    StepSpec {
        standing: true,
        target_ms: TARGET_MS,
        image: "web".to_owned(),
        // The declared sizes use most of each worker.
        size: ResourceSize::new(12_000, 45_000, 0),
        most_per_worker: 1,
        ..step(WORKERS as u32)
    }
}

fn filling_step(after: Vec<usize>) -> StepSpec {
    StepSpec {
        fills: true,
        image: "index".to_owned(),
        size: ResourceSize::new(FILL_CPU_MILLIS, 500, 0),
        estimate_ms: FILL_RUN_MS as Millis,
        after,
        ..step(TASKS_PER_STEP)
    }
}

impl DisturbedFleet {
    /// Starts a serving task on each worker, with an owner that knows the interference coefficient.
    fn new() -> Self {
        let learned = InterferencePair {
            serving: "web".to_owned(),
            filling: "index".to_owned(),
            mean: COEFFICIENT,
            variance: 0.01,
        };
        let info = TakeoverInfo {
            interference: InterferenceRow {
                pairs: vec![learned],
            },
            ..TakeoverInfo::first(1, 1_000)
        };
        let mut rig = SchedulerRig::new(info);
        let names: Vec<String> = (0..WORKERS).map(worker_name).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        rig.list(&names);
        for worker_name in &names {
            rig.report(worker_name, vec![], vec![]);
        }
        rig.hand_in(1, 0, job(vec![serving_step()]));
        let mut fleet = Self {
            rig,
            serving: vec![None; WORKERS],
            filling: (0..WORKERS).map(|_| BTreeMap::new()).collect(),
            ends: vec![0; WORKERS],
            counts: CallerCounts::default(),
        };
        for _ in 0..200 {
            fleet.tick();
        }
        assert!(fleet.serving.iter().all(Option::is_some));
        fleet
    }

    /// The tail latency that the serving task on a worker reports.
    fn tail(&self, worker: usize) -> u64 {
        let filling_shares = self.filling[worker]
            .values()
            .map(|run| f64::from(run.pace) / 100.0 * FILL_CPU_MILLIS as f64 / 16_000.0);
        let load = SERVING_LOAD * (1.0 + COEFFICIENT * filling_shares.sum::<f64>());
        (IDLE_TAIL_MS / (1.0 - load.min(0.99))) as u64
    }

    fn report(&mut self, worker: usize, ended: Vec<EndReport>) {
        let tail = self.tail(worker);
        let serving = self.serving[worker].map(|key| RunReport {
            key,
            checkpoint: None,
            percent: 100,
            gauge: Some(tail),
        });
        let filling = self.filling[worker].iter().map(|(key, run)| RunReport {
            key: *key,
            checkpoint: None,
            percent: (run.done_ms / FILL_RUN_MS * 100.0) as u32,
            gauge: Some(FILL_CPU_MILLIS * u64::from(run.pace) / 100),
        });
        let running = serving.into_iter().chain(filling).collect();
        self.rig.report(&worker_name(worker), running, ended);
    }

    /// Advances the filling tasks on a worker; those that are done end.
    fn work(&mut self, worker: usize) -> Vec<EndReport> {
        let mut ended = Vec::new();
        for run in self.filling[worker].values_mut() {
            run.done_ms += TICK_MS as f64 * f64::from(run.pace) / 100.0;
        }
        self.filling[worker].retain(|key, run| {
            let done = run.done_ms >= FILL_RUN_MS;
            if done {
                self.ends[worker] += 1;
                ended.push(EndReport {
                    number: self.ends[worker],
                    key: *key,
                    outcome: RunOutcome::Done,
                    checkpoint: None,
                });
            }
            !done
        });
        ended
    }

    /// Applies the actions of the scheduler since the previous call.
    fn apply_actions(&mut self) {
        for (worker, start) in self.rig.take_starts() {
            let worker = worker_index(&worker);
            if start.key.task.job.0 == 1 {
                self.serving[worker] = Some(start.key);
            } else {
                let run = FillingRun {
                    done_ms: 0.0,
                    pace: 100,
                };
                self.filling[worker].insert(start.key, run);
            }
        }
        for (key, pace) in self.rig.paces() {
            for runs in &mut self.filling {
                if let Some(run) = runs.get_mut(&key) {
                    run.pace = pace;
                }
            }
        }
        if let Some(batch) = self.rig.take_commit() {
            self.rig.handle(JobEvent::Committed(batch.id));
        }
        for action in std::mem::take(&mut self.rig.actions) {
            if let JobAction::Note(JobNote::JobFinished {
                state: JobStage::Completed,
                took_ms,
                objective_ms,
                ..
            }) = action
            {
                match took_ms <= objective_ms {
                    true => self.counts.in_time += 1,
                    false => self.counts.late += 1,
                }
            }
        }
    }

    fn tick(&mut self) {
        self.rig.advance(TICK_MS);
        self.apply_actions();
        for worker in 0..WORKERS {
            let ended = self.work(worker);
            let due = (self.rig.now / TICK_MS + worker as u64)
                .is_multiple_of(REPORT_INTERVAL_MS / TICK_MS);
            if due || !ended.is_empty() {
                self.report(worker, ended);
                self.apply_actions();
            }
        }
    }
}

/// Jobs come at a multiple of what there is room for; a share of those that there is room for has to be served in time.
fn enough_jobs_end_in_time(load: f64, least_share: f64) {
    let mut fleet = DisturbedFleet::new();
    let per_tick = load * CAPACITY_JOBS_PER_S * TICK_MS as f64 / 1_000.0;
    let (mut due_jobs, mut submitted) = (0.0, 0);
    for _ in 0..TRAFFIC_MS / TICK_MS {
        due_jobs += per_tick;
        while due_jobs >= 1.0 {
            due_jobs -= 1.0;
            submitted += 1;
            let steps = vec![filling_step(vec![]), filling_step(vec![0])];
            fleet.rig.hand_in(100 + submitted, 0, job(steps));
        }
        fleet.tick();
    }
    for _ in 0..400 {
        fleet.tick();
    }
    let capacity_jobs = CAPACITY_JOBS_PER_S * TRAFFIC_MS as f64 / 1_000.0;
    let possible = capacity_jobs.min(submitted as f64);
    let CallerCounts { in_time, late } = fleet.counts;
    println!("{in_time} in time, {late} late of {submitted}; capacity for {capacity_jobs}");
    assert!(in_time as f64 >= least_share * possible);
}

sandshelf_cases::cases! {
    within_capacity => enough_jobs_end_in_time(0.6, 0.95);
    a_third_over_capacity => enough_jobs_end_in_time(1.33, MIN_IN_TIME_SHARE);
    twice_the_capacity => enough_jobs_end_in_time(2.0, MIN_IN_TIME_SHARE);
}
