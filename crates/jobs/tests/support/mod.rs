//! A scheduler with a clock, and shorthands for what it is told and what it asks for.

#![allow(dead_code)]

pub mod crashing;
pub mod emulated_worker;
pub mod emulator;
pub mod faults;
pub mod plans;
pub mod relaying;

pub use sandshelf_emulator::oracle;

use sandshelf_jobs::{
    CommitBatch, EndReport, JobAction, JobEvent, JobNumber, JobScheduler, JobSpec, OrderAnswer,
    QueueRules, RenewalAnswer, RenewalReport, RunKey, RunOutcome, RunReport, SchedulerLimits,
    StartCall, StepSpec, TakeoverInfo, TaskKey, WorkerCall, WorkerListing, WorkerRoster,
};
use sandshelf_model::{HallId, Millis, ResourceSize, WorkerId};

/// The time of day at the start of each test, in milliseconds since 1970.
pub const WALL_START_MS: u64 = 1_000_000;

/// A scheduler, its clock, and all it asked for since the last look.
pub struct SchedulerRig {
    pub scheduler: JobScheduler,
    pub now: Millis,
    pub actions: Vec<JobAction>,
}

impl SchedulerRig {
    /// An owner that takes over from `info`, at time 1,000.
    pub fn new(info: TakeoverInfo) -> Self {
        Self::with_limits(SchedulerLimits::default(), info)
    }

    /// An owner under limits, that takes over from `info` at time 1,000.
    pub fn with_limits(limits: SchedulerLimits, info: TakeoverInfo) -> Self {
        Self {
            scheduler: JobScheduler::new(limits, info),
            now: 1_000,
            actions: Vec::new(),
        }
    }

    /// The first owner ever, with workers that have answered and are open.
    pub fn with_workers(names: &[&str]) -> Self {
        let mut rig = Self::new(TakeoverInfo::first(1, 1_000));
        rig.list(names);
        for name in names {
            rig.report(name, Vec::new(), Vec::new());
        }
        rig
    }

    pub fn tell(&mut self, event: JobEvent) {
        let actions = self.scheduler.handle(self.now, event);
        self.actions.extend(actions);
    }

    /// Lets time pass in ticks of 25 ms.
    pub fn pass(&mut self, millis: Millis) {
        let until = self.now + millis;
        while self.now < until {
            self.now += 25;
            let wall_ms = WALL_START_MS + self.now;
            self.tell(JobEvent::Tick { wall_ms });
        }
    }

    pub fn list(&mut self, names: &[&str]) {
        self.list_entries(names.iter().map(|name| listing(name)).collect());
    }

    pub fn list_entries(&mut self, list: Vec<WorkerListing>) {
        self.tell(JobEvent::WorkersListed(list));
    }

    pub fn hand_in(&mut self, number: u64, version: u64, spec: JobSpec) {
        self.tell(JobEvent::JobListed {
            number: JobNumber(number),
            version,
            spec: Box::new(spec),
        });
    }

    /// A worker answers a hold; its clock is this rig's, and which life it is it doesn't say.
    pub fn report(&mut self, worker: &str, running: Vec<RunReport>, ended: Vec<EndReport>) {
        let report = RenewalReport {
            incarnation: None,
            carrier_late_ms: 0,
            clock: self.now,
            running,
            ended,
        };
        self.answer_hold(worker, report);
    }

    /// A worker answers a hold with a report of its own.
    pub fn answer_hold(&mut self, worker: &str, report: RenewalReport) {
        self.tell(JobEvent::RenewalAnswered(
            WorkerId::from(worker),
            RenewalAnswer::Report(report),
        ));
    }

    /// The hold that is under way to a worker, if any, gets no answer.
    pub fn hold_fails(&mut self, worker: &str) {
        let before = self.actions.len();
        self.actions.retain(|action| match action {
            JobAction::Call {
                worker: called,
                call: WorkerCall::Renew(_),
                ..
            } => called.as_str() != worker,
            _ => true,
        });
        if self.actions.len() == before {
            return;
        }
        let failed = RenewalAnswer::Failed(OrderAnswer::Unknown);
        self.tell(JobEvent::RenewalAnswered(WorkerId::from(worker), failed));
    }

    pub fn start_answered(&mut self, worker: &str, key: RunKey, answer: OrderAnswer) {
        self.tell(JobEvent::StartAnswered(WorkerId::from(worker), key, answer));
    }

    /// Takes the orders to start since the last look, each answered as done.
    pub fn take_starts(&mut self) -> Vec<(String, StartCall)> {
        let starts = self.peek_starts();
        self.actions.retain(|action| {
            let JobAction::Call { call, .. } = action else {
                return true;
            };
            !matches!(call, WorkerCall::Start(_))
        });
        for (worker, start) in &starts {
            let clock = self.now;
            self.start_answered(worker, start.key, OrderAnswer::Done(clock));
        }
        starts
    }

    /// The orders to start since the last look.
    pub fn peek_starts(&self) -> Vec<(String, StartCall)> {
        let starts = self.actions.iter().filter_map(|action| match action {
            JobAction::Call {
                worker,
                call: WorkerCall::Start(start),
                ..
            } => Some((worker.to_string(), start.clone())),
            _ => None,
        });
        starts.collect()
    }

    /// The orders to stop since the last look.
    pub fn stops(&self) -> Vec<(String, RunKey)> {
        let stops = self.actions.iter().filter_map(|action| match action {
            JobAction::Call {
                worker,
                call: WorkerCall::Stop(key),
                ..
            } => Some((worker.to_string(), *key)),
            _ => None,
        });
        stops.collect()
    }

    /// The ends of leases that were sent to a worker since the last look, by holds and by starts.
    pub fn deadlines_of(&self, name: &str) -> Vec<Millis> {
        let to_worker = |action: &&JobAction| match action {
            JobAction::Call { worker, .. } => worker.as_str() == name,
            _ => false,
        };
        let actions = self.actions.iter().filter(to_worker);
        deadlines_in(actions)
    }

    /// How long a worker may wait with its answers to the holds that were sent since the last look.
    pub fn hold_waits(&self, name: &str) -> Vec<Millis> {
        let waits = self.actions.iter().filter_map(|action| match action {
            JobAction::Call {
                worker,
                call: WorkerCall::Renew(hold),
                ..
            } if worker.as_str() == name => Some(hold.wait_ms),
            _ => None,
        });
        waits.collect()
    }

    /// The ends of leases that were sent since the last look.
    pub fn deadlines(&self) -> Vec<Millis> {
        deadlines_in(self.actions.iter())
    }

    /// The changes of pace since the last look.
    pub fn paces(&self) -> Vec<(RunKey, u32)> {
        let paces = self.actions.iter().filter_map(|action| match action {
            JobAction::Call {
                call: WorkerCall::Pace(key, percent),
                ..
            } => Some((*key, *percent)),
            _ => None,
        });
        paces.collect()
    }

    /// Takes the newest write that was asked for.
    pub fn take_commit(&mut self) -> Option<CommitBatch> {
        let mut commits = Vec::new();
        self.actions.retain(|action| match action {
            JobAction::Commit(batch) => {
                commits.push(batch.clone());
                false
            }
            _ => true,
        });
        commits.pop()
    }

    /// Makes all that is asked for durable, until nothing more is asked for.
    pub fn commit_all(&mut self) -> Vec<CommitBatch> {
        let mut done = Vec::new();
        for _ in 0..20 {
            let Some(batch) = self.take_commit() else {
                break;
            };
            self.tell(JobEvent::Committed(batch.id));
            done.push(batch);
            self.pass(50);
        }
        done
    }
}

fn deadlines_in<'a>(actions: impl Iterator<Item = &'a JobAction>) -> Vec<Millis> {
    let deadlines = actions.filter_map(|action| match action {
        JobAction::Call {
            call: WorkerCall::Renew(hold),
            ..
        } => hold.deadline,
        JobAction::Call {
            call: WorkerCall::Start(start),
            ..
        } => Some(start.deadline),
        _ => None,
    });
    deadlines.collect()
}

/// What the second owner takes over at time 1,000 from the first, which had given these workers orders; jobs up to version 100 may be known to
/// the first.
pub fn second_owner(names: &[&str]) -> TakeoverInfo {
    let workers = names
        .iter()
        .map(|name| (WorkerId::from(*name), listing(name).address));
    TakeoverInfo {
        epoch: 2,
        claimed_at: 1_000,
        claim_version: 100,
        roster: WorkerRoster {
            epoch: 1,
            workers: workers.collect(),
            ..WorkerRoster::default()
        },
        ..TakeoverInfo::default()
    }
}

pub fn listing(name: &str) -> WorkerListing {
    let number = name.trim_start_matches(|letter: char| !letter.is_ascii_digit());
    let port: u16 = number.parse().expect("a worker's name ends in a number");
    WorkerListing {
        incarnation: None,
        worker: WorkerId::from(name),
        service: "desk".to_owned(),
        address: ([10, 0, 0, 1], port).into(),
        hall: HallId::from("north"),
        rack: Some("r1-1".to_owned()),
        labels: vec!["a".to_owned(), "r1-1".to_owned()],
        capacity: ResourceSize::new(16_000, 64_000, 0),
        draining: false,
    }
}

pub fn rules() -> QueueRules {
    QueueRules {
        service: "desk".to_owned(),
        priority: 0,
        max_attempts: 3,
        stretch: 2.0,
        target_latency_ms: 250,
        guarded: true,
    }
}

pub fn step(count: u32) -> StepSpec {
    StepSpec {
        count,
        size: ResourceSize::new(1_000, 1_000, 0),
        estimate_ms: 1_000,
        ..StepSpec::default()
    }
}

pub fn job(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        queue: "lots".to_owned(),
        rules: rules(),
        payload: "text".to_owned(),
        steps,
        handed_in_ms: 0,
        repeat: None,
    }
}

pub fn task(job: u64, step: u32, index: u32) -> TaskKey {
    TaskKey {
        job: JobNumber(job),
        time: 0,
        step,
        index,
    }
}

pub fn runs(key: RunKey) -> RunReport {
    RunReport {
        key,
        checkpoint: None,
        percent: 10,
        gauge: None,
    }
}

pub fn ended(number: u64, key: RunKey, outcome: RunOutcome) -> EndReport {
    EndReport {
        number,
        key,
        outcome,
        checkpoint: None,
    }
}
