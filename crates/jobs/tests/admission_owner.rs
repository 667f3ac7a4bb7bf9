//! The owner's view of the load: when there is one, what it says in an overload, and where it is written.

mod support;

use std::collections::BTreeMap;

use sandshelf_cases::cases;
use sandshelf_jobs::admission::{
    AdmissionDecision, AdmissionGate, HeardView, LoadView, QueueLoad, SubmissionView,
    FULL_SHARE_PERMILLE,
};
use sandshelf_jobs::{
    JobAction, JobNote, JobNumber, JobSpec, RunKey, RunOutcome, RunReport, SchedulerLimits,
    StepSpec, TakeoverInfo,
};
use sandshelf_model::{LoadPolicies, LoadPolicy, Millis, ResourceSize};
use support::{end_report, job, run_report, second_owner, step, SchedulerRig};

const WORKERS: [&str; 2] = ["w-1", "w-2"];
/// The interval between two reports of a worker, in milliseconds.
const REPORT_INTERVAL_MS: Millis = 250;
/// How long a task runs, in milliseconds; twice its estimate.
const TASK_MS: Millis = 2_000;

/// The objective of the jobs, in milliseconds, by the rules of the queue.
const OBJECTIVE_MS: Millis = 2_250;

/// A run of a simulated worker.
struct FleetRun {
    worker: String,
    ends_at: Millis,
}

/// Two workers of 16 cores, on which tasks of one core run for two seconds.
struct SmallFleet {
    rig: SchedulerRig,
    runs: BTreeMap<RunKey, FleetRun>,
    /// The number of the newest end of each worker.
    ends: BTreeMap<String, u64>,
    submitted: u64,
}

impl SmallFleet {
    fn new(policies: LoadPolicies, info: TakeoverInfo) -> Self {
        let limits = SchedulerLimits {
            policies,
            ..SchedulerLimits::default()
        };
        let mut rig = SchedulerRig::with_limits(limits, info);
        rig.list(&WORKERS);
        for name in WORKERS {
            rig.report(name, Vec::new(), Vec::new());
        }
        Self {
            rig,
            runs: BTreeMap::new(),
            ends: BTreeMap::new(),
            submitted: 0,
        }
    }

    /// Submits this number of jobs in each interval between reports, as far as they are admitted, and lets the workers work.
    fn run(&mut self, millis: Millis, per_interval: u64, spec: &JobSpec) {
        let until = self.rig.now + millis;
        while self.rig.now < until {
            for _ in 0..per_interval {
                self.submitted += 1;
                let number = self.submitted;
                if self.admits(number, spec) {
                    self.rig.hand_in(number, 1_000 + number, spec.clone());
                }
            }
            self.rig.advance(REPORT_INTERVAL_MS);
            self.rig.commit_all();
            self.take_starts();
            for name in WORKERS {
                self.report(name);
            }
        }
    }

    fn admits(&self, number: u64, spec: &JobSpec) -> bool {
        let view = self.view();
        let heard = view.as_ref().map(|view| HeardView {
            view,
            age_ms: 0,
            newest_epoch: view.epoch,
        });
        let submission = SubmissionView::new(JobNumber(number), spec, Some(0));
        AdmissionGate.decide(heard, &submission) == AdmissionDecision::Admit
    }

    fn take_starts(&mut self) {
        let ends_at = self.rig.now + TASK_MS;
        for (worker, start) in self.rig.take_starts() {
            self.runs.insert(start.key, FleetRun { worker, ends_at });
        }
    }

    fn report(&mut self, name: &str) {
        let now = self.rig.now;
        let mut ended = Vec::new();
        let mut running = Vec::new();
        for (key, run) in self.runs.iter().filter(|(_, run)| run.worker == name) {
            match run.ends_at <= now {
                true => ended.push(*key),
                false => running.push(RunReport {
                    percent: ((now + TASK_MS - run.ends_at) * 100 / TASK_MS) as u32,
                    ..run_report(*key)
                }),
            }
        }
        let number = self.ends.entry(name.to_owned()).or_default();
        let reports = ended.iter().map(|key| {
            *number += 1;
            end_report(*number, *key, RunOutcome::Done)
        });
        let reports = reports.collect();
        self.runs.retain(|key, _| !ended.contains(key));
        self.rig.report(name, running, reports);
    }

    /// How long each completed job took, in milliseconds.
    fn took_ms(&self) -> Vec<Millis> {
        let notes = self.rig.actions.iter();
        let took = notes.filter_map(|action| match action {
            JobAction::Note(JobNote::JobFinished { took_ms, .. }) => Some(*took_ms),
            _ => None,
        });
        took.collect()
    }

    fn view(&self) -> Option<LoadView> {
        self.rig.scheduler.load_view(self.rig.now)
    }

    fn load(&self) -> QueueLoad {
        let view = self.view().expect("the owner publishes its load");
        view.queue("lots").expect("the queue has jobs").clone()
    }
}

fn admission() -> LoadPolicies {
    LoadPolicies::default().with(LoadPolicy::Admission)
}

fn small_job() -> JobSpec {
    job(vec![step(4)])
}

/// Guards against an owner whose figures are off: 32 cores do 16,000 core-milliseconds of estimated work in a second.
fn overload_lowers_the_share() {
    let mut fleet = SmallFleet::new(admission(), TakeoverInfo::first(1, 1_000));
    fleet.run(15_000, 3, &small_job());
    let load = fleet.load();
    assert!(load.short_of_capacity, "{load:?}");
    assert!((11_000..18_000).contains(&load.work_per_s), "{load:?}");
    assert!((200..700).contains(&load.share_permille), "{load:?}");
    assert!(load.took_percent < 300, "{load:?}");
}

/// Guards against an overload in which the owner works for jobs that end too late, as it does without admission control. Tasks run for
/// twice their estimates, and three times as many arrive as can run.
fn overload_is_served_in_time() {
    let ended_in_time = |policies| {
        let mut fleet = SmallFleet::new(policies, TakeoverInfo::first(1, 1_000));
        fleet.run(40_000, 3, &small_job());
        let took = fleet.took_ms();
        let in_time = took.iter().filter(|took| **took <= 3 * OBJECTIVE_MS);
        (in_time.count(), took.len(), fleet.submitted as usize)
    };
    let (with, ended, callers) = ended_in_time(admission());
    let (without, ended_without, _) = ended_in_time(LoadPolicies::default());
    println!("{with} of {ended} in time, without {without} of {ended_without}; {callers} callers");
    assert!(with * 10 >= ended_without * 9, "{with} of {ended_without}");
    assert!(
        (ended - with) * 20 < callers,
        "{with} of {ended}, {callers}"
    );
    assert!(with > without, "{with} {without}");
}

/// Guards against refusals while the workers have free capacity.
fn light_load_has_no_shortage() {
    let mut fleet = SmallFleet::new(admission(), TakeoverInfo::first(1, 1_000));
    let spec = job(vec![step(1)]);
    fleet.run(10_000, 2, &spec);
    let load = fleet.load();
    assert!(!load.short_of_capacity, "{load:?}");
    assert_eq!(load.share_permille, FULL_SHARE_PERMILLE, "{load:?}");
}

/// Guards against an owner that counts standing jobs as work that ends.
fn standing_jobs_have_no_load() {
    let mut fleet = SmallFleet::new(admission(), TakeoverInfo::first(1, 1_000));
    let standing = StepSpec {
        standing: true,
        size: ResourceSize::new(16_000, 1_000, 0),
        ..step(8)
    };
    fleet.run(3_000, 1, &job(vec![standing]));
    assert_eq!(fleet.view().map(|view| view.queues.len()), Some(0));
}

/// Guards against effects of the part while its switch is off.
fn no_view_without_the_switch() {
    let mut fleet = SmallFleet::new(LoadPolicies::default(), TakeoverInfo::first(1, 1_000));
    fleet.run(5_000, 3, &small_job());
    assert_eq!(fleet.view(), None);
}

/// Guards against a share of a new owner that has not taken over or has not measured for a second.
fn new_owner_measures_first() {
    let mut fleet = SmallFleet::new(admission(), second_owner(&["w-1", "w-2", "w-3"]));
    let mut without = 0;
    while fleet.view().is_none() && fleet.rig.now < 15_000 {
        fleet.run(REPORT_INTERVAL_MS, 3, &small_job());
        without += REPORT_INTERVAL_MS;
    }
    // The lease at the worker that never answers has to end before the takeover is over.
    assert!((5_000..9_000).contains(&without), "{without}");
    let epoch = fleet.view().map(|view| view.epoch);
    assert_eq!(epoch, Some(2));
}

/// Guards against a host that doesn't hear the owner and never learns of an overload.
fn load_is_written_in_an_overload() {
    let mut fleet = SmallFleet::new(admission(), TakeoverInfo::first(1, 1_000));
    fleet.run(10_000, 3, &small_job());
    let mut writes = Vec::new();
    for _ in 0..60 {
        fleet.rig.advance(50);
        writes.extend(fleet.rig.commit_all());
    }
    let loads = writes.iter().filter_map(|batch| batch.load.as_ref());
    let loads: Vec<&LoadView> = loads.collect();
    assert!(loads.len() >= 4, "{} writes", loads.len());
    assert!(loads.iter().all(|load| load.has_shortage()));
    let alone = writes
        .iter()
        .filter(|batch| batch.load.is_some() && batch.pending.is_none());
    assert_eq!(alone.count(), 0);
}

cases! {
    an_overload => overload_lowers_the_share();
    an_overload_with_wrong_estimates => overload_is_served_in_time();
    a_light_load => light_load_has_no_shortage();
    standing_jobs => standing_jobs_have_no_load();
    switched_off => no_view_without_the_switch();
    a_new_owner => new_owner_measures_first();
    the_row_of_waiting_jobs => load_is_written_in_an_overload();
}
