//! A scheduler with a virtual clock, and shorthands for the events it handles and the actions it
//! returns.

#![allow(dead_code)]

pub mod copying;
pub mod crashing;
pub mod emulated_worker;
pub mod emulator;
pub mod faults;
pub mod fleet_worker;
pub mod outage_plans;
pub mod plans;
pub mod relaying;
pub mod restart_plans;
pub mod restarting;
pub mod slow_fleet;
pub mod standing_fleet;
pub mod standing_jobs;
pub mod write_size;

pub use sandshelf_emulator::oracle;

use sandshelf_jobs::{
    CommitBatch, EndReport, JobAction, JobEvent, JobNumber, JobScheduler, JobSpec, OrderAnswer,
    QueueAddress, QueueRules, RenewalAnswer, RenewalReport, RunKey, RunOutcome, RunReport,
    SchedulerLimits, StartCall, StepSpec, TakeoverInfo, TaskKey, WorkerCall, WorkerIncarnation,
    WorkerListing, WorkerRoster,
};
use sandshelf_model::{HallId, Millis, ResourceSize, WorkerId};

/// The wall clock when the rig's clock shows 0, in milliseconds since 1970.
pub const WALL_START_MS: u64 = 1_000_000;

/// A scheduler, its clock, and the actions that it returned and that the test has not taken yet.
pub struct SchedulerRig {
    pub scheduler: JobScheduler,
    pub now: Millis,
    pub actions: Vec<JobAction>,
    /// Whether writes of nothing but the roster take effect only when the test says so. Otherwise
    /// they take effect at once, so that listed workers may be given tasks.
    pub defers_roster: bool,
    /// The number of the newest write; 0 before the first.
    newest_commit: u64,
}

/// Whether a commit writes workers of the roster, or the first head of a roster, and no progress or
/// silence records.
fn only_publishes_workers(batch: &CommitBatch) -> bool {
    let first_head = batch
        .roster
        .head
        .as_ref()
        .is_some_and(|head| head.epoch == 1);
    let publishes = first_head || !batch.roster.pages.is_empty();
    publishes && batch.progress.is_empty() && batch.silent.is_empty()
}

impl SchedulerRig {
    /// An owner that takes over from `info` at time 1,000, with default limits.
    pub fn new(info: TakeoverInfo) -> Self {
        Self::with_limits(SchedulerLimits::default(), info)
    }

    /// An owner that takes over from `info` at time 1,000, with the given limits.
    pub fn with_limits(limits: SchedulerLimits, info: TakeoverInfo) -> Self {
        Self {
            scheduler: JobScheduler::new(limits, info),
            now: 1_000,
            actions: Vec::new(),
            defers_roster: false,
            newest_commit: 0,
        }
    }

    /// The first owner of the shard, with workers that have answered a lease renewal and accept
    /// tasks.
    pub fn with_workers(names: &[&str]) -> Self {
        let mut rig = Self::new(TakeoverInfo::first(1, 1_000));
        rig.list(names);
        for name in names {
            rig.report(name, Vec::new(), Vec::new());
        }
        rig
    }

    pub fn handle(&mut self, event: JobEvent) {
        let actions = self.scheduler.handle(self.now, event);
        let commit = actions.iter().find_map(|action| match action {
            JobAction::Commit(batch) => Some((batch.id, only_publishes_workers(batch))),
            _ => None,
        });
        self.actions.extend(actions);
        if let Some((id, publishes)) = commit {
            self.newest_commit = id;
            if publishes && !self.defers_roster {
                self.handle(JobEvent::Committed(id));
            }
        }
    }

    /// Advances the clock in ticks of 25 ms.
    pub fn advance(&mut self, millis: Millis) {
        let until = self.now + millis;
        while self.now < until {
            self.now += 25;
            let wall_ms = WALL_START_MS + self.now;
            self.handle(JobEvent::Tick { wall_ms });
        }
    }

    pub fn list(&mut self, names: &[&str]) {
        self.list_entries(names.iter().map(|name| listing(name)).collect());
    }

    pub fn list_entries(&mut self, list: Vec<WorkerListing>) {
        self.handle(JobEvent::WorkersListed(list));
    }

    pub fn hand_in(&mut self, number: u64, version: u64, spec: JobSpec) {
        self.handle(JobEvent::JobListed {
            number: JobNumber(number),
            version,
            spec: Box::new(spec),
        });
    }

    /// A worker answers a lease renewal. Its clock is the rig's, and it does not state its
    /// incarnation.
    pub fn report(&mut self, worker: &str, running: Vec<RunReport>, ended: Vec<EndReport>) {
        let report = RenewalReport {
            incarnation: None,
            carrier_late_ms: 0,
            clock: self.now,
            running,
            ended,
        };
        self.answer_renewal(worker, report);
    }

    /// A worker answers a lease renewal with the given report.
    pub fn answer_renewal(&mut self, worker: &str, report: RenewalReport) {
        self.handle(JobEvent::RenewalAnswered(
            WorkerId::from(worker),
            RenewalAnswer::Report(report),
        ));
    }

    /// The lease renewal that is in flight to a worker gets no answer. Without one nothing happens.
    pub fn fail_renewal(&mut self, worker: &str) {
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
        self.handle(JobEvent::RenewalAnswered(WorkerId::from(worker), failed));
    }

    pub fn start_answered(&mut self, worker: &str, key: RunKey, answer: OrderAnswer) {
        self.handle(JobEvent::StartAnswered(WorkerId::from(worker), key, answer));
    }

    /// Removes the pending start orders from the actions, answers each as done and returns them.
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

    /// The start orders among the pending actions.
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

    /// The stop orders among the pending actions.
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

    /// The lease deadlines that the pending renewals and start orders send to a worker.
    pub fn deadlines_of(&self, name: &str) -> Vec<Millis> {
        let to_worker = |action: &&JobAction| match action {
            JobAction::Call { worker, .. } => worker.as_str() == name,
            _ => false,
        };
        let actions = self.actions.iter().filter(to_worker);
        deadlines_in(actions)
    }

    /// How long a worker may wait before it answers each of the pending lease renewals, in
    /// milliseconds.
    pub fn renewal_waits(&self, name: &str) -> Vec<Millis> {
        let waits = self.actions.iter().filter_map(|action| match action {
            JobAction::Call {
                worker,
                call: WorkerCall::Renew(renewal),
                ..
            } if worker.as_str() == name => Some(renewal.wait_ms),
            _ => None,
        });
        waits.collect()
    }

    /// The lease deadlines of all pending renewals and start orders.
    pub fn deadlines(&self) -> Vec<Millis> {
        deadlines_in(self.actions.iter())
    }

    /// The pending changes of pace: run and percent.
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

    /// Removes all pending writes from the actions and returns the newest.
    pub fn take_commit(&mut self) -> Option<CommitBatch> {
        self.take_commits().pop()
    }

    fn take_commits(&mut self) -> Vec<CommitBatch> {
        let mut commits = Vec::new();
        self.actions.retain(|action| match action {
            JobAction::Commit(batch) => {
                commits.push(batch.clone());
                false
            }
            _ => true,
        });
        commits
    }

    /// Acknowledges the write in flight, so that the next one writes workers that were listed
    /// meanwhile.
    pub fn publish_workers(&mut self) {
        self.handle(JobEvent::Committed(self.newest_commit));
        self.advance(25);
    }

    /// Acknowledges pending writes as durable until no more are requested, 20 times at most, and
    /// returns them.
    pub fn commit_all(&mut self) -> Vec<CommitBatch> {
        let mut done = Vec::new();
        for _ in 0..20 {
            let commits = self.take_commits();
            let Some(newest) = commits.last() else {
                break;
            };
            self.handle(JobEvent::Committed(newest.id));
            done.extend(commits);
            self.advance(50);
        }
        done
    }
}

/// A worker's answer to a renewal that names the incarnation.
pub fn renewal_report(
    incarnation: u64,
    clock: u64,
    running: Vec<RunReport>,
    ended: Vec<EndReport>,
) -> RenewalReport {
    RenewalReport {
        incarnation: Some(WorkerIncarnation(incarnation)),
        carrier_late_ms: 0,
        clock,
        running,
        ended,
    }
}

fn deadlines_in<'a>(actions: impl Iterator<Item = &'a JobAction>) -> Vec<Millis> {
    let deadlines = actions.filter_map(|action| match action {
        JobAction::Call {
            call: WorkerCall::Renew(renewal),
            ..
        } => renewal.deadline,
        JobAction::Call {
            call: WorkerCall::Start(start),
            ..
        } => Some(start.deadline),
        _ => None,
    });
    deadlines.collect()
}

/// The state that the second owner takes over at time 1,000. The first owner had sent orders to
/// these workers and may know jobs up to version 100.
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

/// The address of the queue of [`job`].
pub fn lots() -> QueueAddress {
    QueueAddress::new("lots.example", "/lots/")
}

pub fn job(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        queue: "lots".to_owned(),
        address: Some(lots()),
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

pub fn run_report(key: RunKey) -> RunReport {
    RunReport {
        key,
        checkpoint: None,
        percent: 10,
        gauge: None,
    }
}

pub fn end_report(number: u64, key: RunKey, outcome: RunOutcome) -> EndReport {
    EndReport {
        number,
        key,
        outcome,
        checkpoint: None,
    }
}
