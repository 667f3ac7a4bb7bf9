//! Workers that restart under their names, and an owner with one standing job.

use sandshelf_jobs::{
    JobAction, JobEvent, JobNote, JobNumber, JobSpec, JobStage, OrderAnswer, ProgressRow,
    RefusalReason, RenewalReport, RunKey, StepSpec, TakeoverInfo, WorkerCall, WorkerIncarnation,
    WorkerListing, WorkerRoster,
};
use sandshelf_model::{Millis, ResourceSize, WorkerId};

use super::{job, listing, step, SchedulerRig};

/// The number of workers.
pub const WORKERS: u64 = 8;
/// The number of the job.
const JOB: u64 = 1;
/// The time from the death of an owner until the next one has read its state.
const TAKEOVER_MS: Millis = 1_900;
/// What the clock of a worker's first incarnation shows when the rig's shows 0; each restart adds
/// as much again.
const CLOCK_LEAD_MS: u64 = 3_600_000;

/// An owner with workers that restart under their names, and one standing job.
pub struct RestartingFleet {
    pub rig: SchedulerRig,
    /// The written progress of the job.
    pub row: ProgressRow,
    roster: WorkerRoster,
    /// The current incarnation of each worker.
    incarnations: Vec<u64>,
}

fn standing_job(tasks: u32) -> JobSpec {
    let standing = StepSpec {
        standing: true,
        ..step(tasks)
    };
    job(vec![standing])
}

/// The name of a worker.
pub fn name(worker: u64) -> String {
    format!("w-{worker}")
}

fn number_of(worker: &str) -> u64 {
    let number = worker.trim_start_matches("w-");
    number.parse().expect("a worker's name ends in its number")
}

impl RestartingFleet {
    /// All workers have answered, and a standing job of `tasks` tasks was handed in and started.
    pub fn with_standing_tasks(tasks: u32) -> Self {
        let mut fleet = Self {
            rig: SchedulerRig::new(TakeoverInfo::first(1, 1_000)),
            row: ProgressRow::default(),
            roster: WorkerRoster::default(),
            incarnations: vec![1; WORKERS as usize + 1],
        };
        fleet.list();
        for worker in 1..=WORKERS {
            fleet.report(worker);
        }
        fleet.commit();
        fleet.rig.hand_in(JOB, 1, standing_job(tasks));
        fleet.rig.advance(50);
        fleet.commit();
        fleet
    }

    /// The list of workers arrives.
    pub fn list(&mut self) {
        let entries = (1..=WORKERS).map(|worker| self.entry(worker));
        let entries = entries.collect();
        self.rig.list_entries(entries);
    }

    /// A list arrives in which no worker has capacity.
    pub fn list_without_capacity(&mut self) {
        let entries = (1..=WORKERS).map(|worker| WorkerListing {
            capacity: ResourceSize::default(),
            ..self.entry(worker)
        });
        let entries = entries.collect();
        self.rig.list_entries(entries);
    }

    fn entry(&self, worker: u64) -> WorkerListing {
        WorkerListing {
            incarnation: Some(WorkerIncarnation(self.incarnations[worker as usize])),
            ..listing(&name(worker))
        }
    }

    fn clock(&self, worker: u64) -> u64 {
        self.rig.now + CLOCK_LEAD_MS * self.incarnations[worker as usize]
    }

    /// A worker's current incarnation answers the renewal in flight and lists nothing.
    pub fn report(&mut self, worker: u64) {
        let report = RenewalReport {
            incarnation: Some(WorkerIncarnation(self.incarnations[worker as usize])),
            carrier_late_ms: 0,
            clock: self.clock(worker),
            running: Vec::new(),
            ended: Vec::new(),
        };
        self.rig.answer_renewal(&name(worker), report);
    }

    /// A worker goes down and restarts, and nobody knows of it yet.
    pub fn restart(&mut self, worker: u64) {
        self.incarnations[worker as usize] += 1;
    }

    /// All that the owner wants to write becomes durable at once.
    pub fn commit(&mut self) {
        while let Some(batch) = self.rig.take_commit() {
            let mut rows = batch.progress.into_iter();
            if let Some((_, row)) = rows.find(|(number, _)| *number == JobNumber(JOB)) {
                self.row = row;
            }
            batch.roster.apply_to(&mut self.roster);
            self.rig.handle(JobEvent::Committed(batch.id));
        }
    }

    /// The owner dies, and another one takes over a job of one task.
    pub fn replace_owner(&mut self) {
        let now = self.rig.now + TAKEOVER_MS;
        let info = TakeoverInfo {
            epoch: 2,
            claimed_at: now,
            claim_version: 1,
            rules_since: 1,
            progress: [(JobNumber(JOB), self.row.clone())].into(),
            roster: self.roster.clone(),
            store_ms: now,
            ..TakeoverInfo::default()
        };
        self.rig = SchedulerRig::new(info);
        self.rig.now = now;
        self.rig.hand_in(JOB, 1, standing_job(1));
        self.list();
    }

    /// Takes the start orders that were sent: the worker of each, and its run.
    pub fn take_starts(&mut self) -> Vec<(u64, RunKey)> {
        let starts = self.rig.peek_starts();
        self.discard_calls(|call| matches!(call, WorkerCall::Start(_)));
        let starts = starts.into_iter();
        starts
            .map(|(worker, start)| (number_of(&worker), start.key))
            .collect()
    }

    /// Advances until a start order is sent, and takes it; none if the task is given up.
    pub fn try_next_start(&mut self) -> Option<(u64, RunKey)> {
        for _ in 0..400 {
            self.commit();
            if let Some(start) = self.take_starts().into_iter().next() {
                return Some(start);
            }
            if self.is_given_up() {
                return None;
            }
            self.rig.advance(25);
            self.answer_stops();
            self.answer_renewals();
        }
        panic!("no start order was sent");
    }

    /// As before, for a task that must not be given up.
    pub fn next_start(&mut self) -> (u64, RunKey) {
        let start = self.try_next_start();
        start.expect("a sound task was given up")
    }

    /// Workers carry out the stop orders that were sent.
    fn answer_stops(&mut self) {
        let stops = self.rig.stops();
        self.discard_calls(|call| matches!(call, WorkerCall::Stop(_)));
        for (worker, run) in stops {
            let clock = self.clock(number_of(&worker));
            let worker = WorkerId::from(worker.as_str());
            let done = OrderAnswer::Done(clock);
            self.rig.handle(JobEvent::StopAnswered(worker, run, done));
        }
    }

    /// Workers answer the renewals that were sent, and list no run.
    fn answer_renewals(&mut self) {
        let is_renewal = |call: &WorkerCall| matches!(call, WorkerCall::Renew(_));
        let renewals = self.rig.actions.iter().filter_map(|action| match action {
            JobAction::Call { worker, call, .. } if is_renewal(call) => {
                Some(number_of(worker.as_str()))
            }
            _ => None,
        });
        let renewed: Vec<u64> = renewals.collect();
        self.discard_calls(is_renewal);
        for worker in renewed {
            self.report(worker);
        }
    }

    /// Removes calls of one kind from the actions.
    fn discard_calls(&mut self, of_kind: impl Fn(&WorkerCall) -> bool) {
        self.rig
            .actions
            .retain(|action| !matches!(action, JobAction::Call { call, .. } if of_kind(call)));
    }

    /// A worker answers a start order.
    pub fn answer_start(&mut self, worker: u64, run: RunKey, answer: OrderAnswer) {
        self.rig.start_answered(&name(worker), run, answer);
    }

    /// A worker carries out a start order.
    pub fn accept(&mut self, worker: u64, run: RunKey) {
        let clock = self.clock(worker);
        self.answer_start(worker, run, OrderAnswer::Done(clock));
    }

    /// A worker refuses a start order because its deadline is past on the worker's clock.
    pub fn refuse_as_late(&mut self, worker: u64, run: RunKey) {
        let clock = self.clock(worker);
        let refused = OrderAnswer::Refused(clock, RefusalReason::Late);
        self.answer_start(worker, run, refused);
    }

    /// Whether the task was given up.
    pub fn is_given_up(&self) -> bool {
        let given_up =
            |action: &JobAction| matches!(action, JobAction::Note(JobNote::TaskGivenUp { .. }));
        self.rig.actions.iter().any(given_up)
    }

    /// The runs under which a crash was recorded.
    pub fn crash_notes(&self) -> Vec<RunKey> {
        let notes = self.rig.actions.iter().filter_map(|action| match action {
            JobAction::Note(JobNote::CrashNoted { key, .. }) => Some(*key),
            _ => None,
        });
        notes.collect()
    }

    /// The job was not given up, and goes on for a second.
    pub fn assert_runs_on(&mut self) {
        assert!(!self.is_given_up(), "a sound task was given up");
        self.rig.advance(1_000);
        self.commit();
        assert_ne!(self.row.stage, JobStage::Failed);
    }
}
