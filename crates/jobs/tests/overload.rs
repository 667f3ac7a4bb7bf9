//! A load of filling jobs that serving tasks leave too little for: how many of their callers are served in time.

mod support;

use std::collections::BTreeMap;

use sandshelf_jobs::{
    EndReport, InterferencePair, InterferenceRow, JobAction, JobEvent, JobNote, JobStage, RunKey,
    RunOutcome, RunReport, StepSpec, TakeoverInfo,
};
use sandshelf_model::{Millis, ResourceSize};
use support::{job, step, SchedulerRig};

/// How many workers there are, of 16 cores each, with one serving task on each.
const WORKERS: usize = 8;
/// The load of a serving task without what fills, and how strongly that raises it for each whole worker's processors.
const SERVING_LOAD: f64 = 0.5;
const STRENGTH: f64 = 4.0;
/// The tail of an idle serving task and its target, in milliseconds.
const IDLE_TAIL_MS: f64 = 10.0;
const TARGET_MS: Millis = 50;
/// What a filling task uses, and how long it works at full pace: two of them find room beside each serving task.
const FILL_MILLIS: u64 = 1_200;
const WORK_MS: f64 = 1_000.0;
/// A filling job has two steps of four such tasks, so that there is room for two jobs a second.
const TASKS_A_STEP: u32 = 4;
const ROOM_JOBS_PER_S: f64 = 2.0;
/// For how long jobs come.
const TRAFFIC_MS: Millis = 30_000;
const TICK_MS: Millis = 25;
/// What part of the jobs that there is room for has to be served in time, however many come.
const SERVED_IN_OVERLOAD: f64 = 0.65;
/// How often a worker tells what it has.
const REPORT_MS: Millis = 500;

/// A filling task at work.
struct FillingRun {
    done_ms: f64,
    pace: u32,
}

/// What callers got.
#[derive(Debug, Default)]
struct CallerCounts {
    in_time: usize,
    late: usize,
}

/// Workers whose serving tasks are disturbed by what fills beside them.
struct DisturbedFleet {
    rig: SchedulerRig,
    serving: Vec<Option<RunKey>>,
    filling: Vec<BTreeMap<RunKey, FillingRun>>,
    ends: Vec<u64>,
    counts: CallerCounts,
}

fn name(worker: usize) -> String {
    format!("w-{}", worker + 1)
}

fn place(name: &str) -> usize {
    let number = name.trim_start_matches("w-").parse::<usize>();
    number.expect("a worker's number") - 1
}

fn serving_step() -> StepSpec {
    StepSpec {
        standing: true,
        target_ms: TARGET_MS,
        image: "web".to_owned(),
        // Most of each worker is in use, as declared.
        size: ResourceSize::new(12_000, 45_000, 0),
        most_per_worker: 1,
        ..step(WORKERS as u32)
    }
}

fn filling_step(after: Vec<usize>) -> StepSpec {
    StepSpec {
        fills: true,
        image: "index".to_owned(),
        size: ResourceSize::new(FILL_MILLIS, 500, 0),
        estimate_ms: WORK_MS as Millis,
        after,
        ..step(TASKS_A_STEP)
    }
}

impl DisturbedFleet {
    /// Starts with a serving task on each worker, and an owner that knows how strongly it is disturbed.
    fn new() -> Self {
        let learnt = InterferencePair {
            serving: "web".to_owned(),
            filling: "index".to_owned(),
            mean: STRENGTH,
            variance: 0.01,
        };
        let info = TakeoverInfo {
            interference: InterferenceRow {
                pairs: vec![learnt],
            },
            ..TakeoverInfo::first(1, 1_000)
        };
        let mut rig = SchedulerRig::new(info);
        let names: Vec<String> = (0..WORKERS).map(name).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        rig.list(&names);
        for name in &names {
            rig.report(name, vec![], vec![]);
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

    /// What the serving task on a worker shows for its tail.
    fn tail(&self, worker: usize) -> u64 {
        let pressure = self.filling[worker]
            .values()
            .map(|run| f64::from(run.pace) / 100.0 * FILL_MILLIS as f64 / 16_000.0);
        let load = SERVING_LOAD * (1.0 + STRENGTH * pressure.sum::<f64>());
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
            percent: (run.done_ms / WORK_MS * 100.0) as u32,
            gauge: Some(FILL_MILLIS * u64::from(run.pace) / 100),
        });
        let running = serving.into_iter().chain(filling).collect();
        self.rig.report(&name(worker), running, ended);
    }

    /// The filling tasks go on, and those that are done end.
    fn work(&mut self, worker: usize) -> Vec<EndReport> {
        let mut ended = Vec::new();
        for run in self.filling[worker].values_mut() {
            run.done_ms += TICK_MS as f64 * f64::from(run.pace) / 100.0;
        }
        self.filling[worker].retain(|key, run| {
            let done = run.done_ms >= WORK_MS;
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

    /// Carries out what the owner has ordered since the last look.
    fn carry_out(&mut self) {
        for (worker, start) in self.rig.take_starts() {
            let worker = place(&worker);
            if start.key.task.job.0 == 1 {
                self.serving[worker] = Some(start.key);
            } else {
                let begun = FillingRun {
                    done_ms: 0.0,
                    pace: 100,
                };
                self.filling[worker].insert(start.key, begun);
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
            self.rig.tell(JobEvent::Committed(batch.id));
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
        self.rig.pass(TICK_MS);
        self.carry_out();
        for worker in 0..WORKERS {
            let ended = self.work(worker);
            let due = (self.rig.now / TICK_MS + worker as u64).is_multiple_of(REPORT_MS / TICK_MS);
            if due || !ended.is_empty() {
                self.report(worker, ended);
                self.carry_out();
            }
        }
    }
}

/// Jobs come at a multiple of what there is room for; a share of those that there is room for has to be served in time.
fn jobs_are_served_in_time(load: f64, least_share: f64) {
    let mut fleet = DisturbedFleet::new();
    let per_tick = load * ROOM_JOBS_PER_S * TICK_MS as f64 / 1_000.0;
    let (mut owed, mut handed) = (0.0, 0);
    for _ in 0..TRAFFIC_MS / TICK_MS {
        owed += per_tick;
        while owed >= 1.0 {
            owed -= 1.0;
            handed += 1;
            let steps = vec![filling_step(vec![]), filling_step(vec![0])];
            fleet.rig.hand_in(100 + handed, 0, job(steps));
        }
        fleet.tick();
    }
    for _ in 0..400 {
        fleet.tick();
    }
    let room = ROOM_JOBS_PER_S * TRAFFIC_MS as f64 / 1_000.0;
    let possible = room.min(handed as f64);
    let CallerCounts { in_time, late } = fleet.counts;
    println!("{in_time} in time, {late} late of {handed}; room for {room}");
    assert!(in_time as f64 >= least_share * possible);
}

sandshelf_cases::cases! {
    room_for_all => jobs_are_served_in_time(0.6, 0.95);
    a_third_too_many => jobs_are_served_in_time(1.33, SERVED_IN_OVERLOAD);
    twice_as_many => jobs_are_served_in_time(2.0, SERVED_IN_OVERLOAD);
}
