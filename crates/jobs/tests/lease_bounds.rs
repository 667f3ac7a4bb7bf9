//! Nobody takes a lease to end before its worker does, whatever the order of restarts, late calls and changes of owner.
//!
//! Plays owners against a model of a worker that restarts under its name, takes calls that were meant for an earlier incarnation, and is
//! cut off at last. Guards against a successor that starts a run elsewhere while that worker's lease lasts.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestCaseError, TestRunner};
use sandshelf_jobs::{
    EndReport, JobAction, JobEvent, JobNumber, JobScheduler, OrderAnswer, RefusalReason,
    RenewalAnswer, RenewalCall, RenewalReport, RunKey, RunOutcome, SchedulerLimits, SilentWorkers,
    StartCall, StepSpec, StoredProgress, TakeoverInfo, TaskKey, WorkerCall, WorkerIncarnation,
    WorkerListing, WorkerRoster,
};
use sandshelf_model::{Epoch, Millis, WorkerId};
use support::{job, listing, run_report, step, WALL_START_MS};

/// The step of the model's time.
const STEP_MS: Millis = 5;
const TICK_INTERVAL_MS: Millis = 25;
const LIST_INTERVAL_MS: Millis = 700;
/// How long a call without an answer takes to fail.
const CALL_TIMEOUT_MS: Millis = 500;
/// How long an ownership lasts without a renewal.
const OWNERSHIP_MS: Millis = 1_200;
/// How long after the cut nothing can be leased any more: the longest lease on a slow clock, twice the wait of a successor, and the
/// checks of an owner.
const PLAY_OUT_MS: Millis = 18_000;
/// The store's clock is ahead of a reading by this much at most.
const READ_MS: Millis = 8;
/// How many standing tasks the first job has.
const FIRST_TASKS: u32 = 3;

/// One event of a play.
#[derive(Clone, Copy, Debug)]
enum PlayStep {
    Wait(Millis),
    /// A job with one task is handed in.
    HandIn,
    /// The worker restarts under its name. A job is handed in right then.
    Restart {
        down_ms: Millis,
        clock: u64,
        /// How long after they were sent the next incarnation carries calls out that reach the worker while it is down.
        late_ms: Millis,
    },
    /// The owner dies, and another host claims the shard once the ownership is over.
    OwnerDies,
    /// The owner releases the shard, or its host claims it again at once.
    OwnerStops,
}

/// One play: its events until the worker is cut off for good, and what follows.
#[derive(Clone, Debug)]
struct LeasePlay {
    clock_percent: u64,
    steps: Vec<PlayStep>,
    /// When the owner changes after the cut, if it does, and whether it dies.
    change_after_cut: Option<(Millis, bool)>,
}

/// A worker as the platform specifies it.
struct ModelWorker {
    id: WorkerId,
    incarnation: u64,
    clock_percent: u64,
    clock_origin: (u64, Millis),
    up_from: Millis,
    cut: bool,
    late_ms: Millis,
    fence: Epoch,
    lease_until: u64,
    runs: BTreeSet<RunKey>,
    newest_runs: BTreeMap<TaskKey, u64>,
    ended: Vec<EndReport>,
    end_count: u64,
}

impl ModelWorker {
    fn new(name: &str, clock: u64, clock_percent: u64) -> Self {
        Self {
            id: WorkerId::from(name),
            incarnation: 1,
            clock_percent,
            clock_origin: (clock, 0),
            up_from: 0,
            cut: false,
            late_ms: 0,
            fence: 0,
            lease_until: 0,
            runs: BTreeSet::new(),
            newest_runs: BTreeMap::new(),
            ended: Vec::new(),
            end_count: 0,
        }
    }

    fn clock(&self, now: Millis) -> u64 {
        let (shown, from) = self.clock_origin;
        shown + now.saturating_sub(from) * self.clock_percent / 100
    }

    fn is_up(&self, now: Millis) -> bool {
        now >= self.up_from
    }

    fn is_leased(&self, now: Millis) -> bool {
        self.clock(now) <= self.lease_until
    }

    fn restart(&mut self, now: Millis, down_ms: Millis, clock: u64, late_ms: Millis) {
        *self = Self {
            id: self.id.clone(),
            incarnation: self.incarnation + 1,
            clock_origin: (clock, now + down_ms),
            up_from: now + down_ms,
            late_ms,
            ..Self::new("w-1", clock, self.clock_percent)
        };
    }

    fn end(&mut self, key: RunKey, outcome: RunOutcome) {
        if self.runs.remove(&key) {
            self.end_count += 1;
            self.ended.push(EndReport {
                number: self.end_count,
                key,
                outcome,
                checkpoint: None,
            });
        }
    }

    /// Ends all runs once the lease is over.
    fn check_lease(&mut self, now: Millis) {
        if self.is_leased(now) {
            return;
        }
        for key in self.runs.clone() {
            self.end(key, RunOutcome::Lapsed);
        }
    }

    fn extend(&mut self, now: Millis, deadline: u64, max_lease_ms: Millis) {
        let longest = self.clock(now) + max_lease_ms;
        self.lease_until = self.lease_until.max(deadline.min(longest));
    }

    /// Carries out a call of an epoch and returns the answer.
    fn carry_out(
        &mut self,
        now: Millis,
        epoch: Epoch,
        call: &WorkerCall,
        max_lease_ms: Millis,
    ) -> JobEvent {
        let clock = self.clock(now);
        let id = self.id.clone();
        self.fence = self.fence.max(epoch);
        let fenced = self.fence > epoch;
        match call {
            WorkerCall::Renew(_) if fenced => JobEvent::RenewalAnswered(id, RenewalAnswer::Fenced),
            WorkerCall::Renew(renewal) => {
                let report = self.renew(now, renewal, max_lease_ms);
                JobEvent::RenewalAnswered(id, RenewalAnswer::Report(report))
            }
            WorkerCall::Start(start) => {
                let answer = match fenced {
                    true => OrderAnswer::Refused(clock, RefusalReason::Fenced),
                    false => self.start(now, start, max_lease_ms),
                };
                JobEvent::StartAnswered(id, start.key, answer)
            }
            WorkerCall::Stop(key) => {
                if fenced {
                    let answer = OrderAnswer::Refused(clock, RefusalReason::Fenced);
                    return JobEvent::StopAnswered(id, *key, answer);
                }
                let newest = self.newest_runs.entry(key.task).or_default();
                *newest = key.run.max(*newest);
                self.end(*key, RunOutcome::Stopped);
                JobEvent::StopAnswered(id, *key, OrderAnswer::Done(clock))
            }
            WorkerCall::Pace(key, _) => JobEvent::PaceAnswered(id, *key, OrderAnswer::Done(clock)),
        }
    }

    fn start(&mut self, now: Millis, start: &StartCall, max_lease_ms: Millis) -> OrderAnswer {
        let clock = self.clock(now);
        if start.deadline < clock {
            return OrderAnswer::Refused(clock, RefusalReason::Late);
        }
        self.extend(now, start.deadline, max_lease_ms);
        if self.runs.contains(&start.key) {
            return OrderAnswer::Done(clock);
        }
        let newest = self.newest_runs.entry(start.key.task).or_default();
        if start.key.run <= *newest {
            return OrderAnswer::Refused(clock, RefusalReason::Superseded);
        }
        *newest = start.key.run;
        self.runs.insert(start.key);
        OrderAnswer::Done(clock)
    }

    fn renew(&mut self, now: Millis, renewal: &RenewalCall, max_lease_ms: Millis) -> RenewalReport {
        if let Some(deadline) = renewal.deadline {
            self.extend(now, deadline, max_lease_ms);
        }
        self.ended.retain(|end| end.number > renewal.last_seen);
        RenewalReport {
            incarnation: Some(WorkerIncarnation(self.incarnation)),
            carrier_late_ms: 0,
            clock: self.clock(now),
            running: self.runs.iter().copied().map(run_report).collect(),
            ended: self.ended.clone(),
        }
    }
}

/// What is under way between the owners and the workers.
enum Delivery {
    /// A call is carried out late, without an answer.
    Late(Epoch, WorkerCall),
    /// An answer reaches the owner of an epoch.
    Answer(Epoch, JobEvent),
    /// The wait of a renewal is over; the answer comes from the incarnation that received it.
    WaitOver(Epoch, u64, RenewalCall),
}

/// The owners, the worker that restarts, and another worker that is listed once the first one is cut off.
struct LeaseModel {
    now: Millis,
    max_lease_ms: Millis,
    epoch: Epoch,
    owner: Option<JobScheduler>,
    worker: ModelWorker,
    other: ModelWorker,
    deliveries: BTreeMap<(Millis, u64), Delivery>,
    delivery_count: u64,
    jobs: Vec<u32>,
    roster: WorkerRoster,
    silent: SilentWorkers,
    progress: StoredProgress,
    /// What was started elsewhere under a lease of the worker.
    started_early: Option<String>,
}

impl LeaseModel {
    fn new(max_lease_ms: Millis, clock_percent: u64) -> Self {
        let mut model = Self {
            now: 1_000,
            max_lease_ms,
            epoch: 0,
            owner: None,
            worker: ModelWorker::new("w-1", 7_000_000, clock_percent),
            other: ModelWorker::new("w-2", 0, 100),
            deliveries: BTreeMap::new(),
            delivery_count: 0,
            jobs: vec![FIRST_TASKS],
            roster: WorkerRoster::default(),
            silent: SilentWorkers::default(),
            progress: StoredProgress::default(),
            started_early: None,
        };
        model.claim(0);
        model
    }

    fn send(&mut self, at: Millis, delivery: Delivery) {
        self.delivery_count += 1;
        self.deliveries.insert((at, self.delivery_count), delivery);
    }

    /// The next owner claims the shard.
    fn claim(&mut self, earlier_orders_until: Millis) {
        self.epoch += 1;
        let info = TakeoverInfo {
            epoch: self.epoch,
            claimed_at: self.now,
            earlier_orders_until,
            claim_version: 1_000,
            progress: self.progress.clone(),
            rules_since: 1,
            roster: self.roster.clone(),
            silent: self.silent.clone(),
            store_ms: self.now,
            ..TakeoverInfo::default()
        };
        let limits = SchedulerLimits {
            max_lease_ms: self.max_lease_ms,
            ..SchedulerLimits::default()
        };
        self.owner = Some(JobScheduler::new(limits, info));
        self.list();
        for number in 0..self.jobs.len() {
            self.read_job(number);
        }
    }

    fn hand_in(&mut self) {
        self.jobs.push(1);
        self.read_job(self.jobs.len() - 1);
    }

    fn read_job(&mut self, number: usize) {
        let spec = job(vec![StepSpec {
            standing: true,
            ..step(self.jobs[number])
        }]);
        self.tell(JobEvent::JobListed {
            number: JobNumber(number as u64 + 1),
            version: number as u64 + 1,
            spec: Box::new(spec),
        });
    }

    /// The owner reads the list of workers and the store's clock.
    fn list(&mut self) {
        let entry = |worker: &ModelWorker, incarnation| WorkerListing {
            incarnation: Some(WorkerIncarnation(incarnation)),
            ..listing(worker.id.as_str())
        };
        let up = self.worker.is_up(self.now);
        let shown = self.worker.incarnation - u64::from(!up);
        let mut entries = vec![entry(&self.worker, shown)];
        if self.worker.cut {
            entries.push(entry(&self.other, self.other.incarnation));
        }
        self.tell(JobEvent::StoreClock {
            at: self.now,
            at_most_ms: self.now + READ_MS,
        });
        self.tell(JobEvent::WorkersListed(entries));
    }

    /// An event reaches the owner, whose actions are carried out.
    fn tell(&mut self, event: JobEvent) {
        let Some(owner) = &mut self.owner else {
            return;
        };
        for action in owner.handle(self.now, event) {
            match action {
                JobAction::Call { worker, call, .. } => match worker == self.other.id {
                    true => self.call_other(call),
                    false => self.call_worker(call),
                },
                JobAction::Commit(batch) => {
                    batch.roster.apply_to(&mut self.roster);
                    batch.silent.apply_to(&mut self.silent);
                    self.progress.apply(&batch);
                    let written = Delivery::Answer(self.epoch, JobEvent::Committed(batch.id));
                    self.send(self.now + STEP_MS, written);
                }
                JobAction::Deposed => self.owner = None,
                JobAction::Note(_) => {}
            }
        }
    }

    /// A call to the worker that restarts.
    fn call_worker(&mut self, call: WorkerCall) {
        let wait_ms = match &call {
            WorkerCall::Renew(renewal) => renewal.wait_ms,
            _ => 0,
        };
        let reached = self.worker.is_up(self.now) && !self.worker.cut;
        if !reached {
            let failed = Delivery::Answer(self.epoch, unanswered(&self.worker.id, &call));
            self.send(self.now + CALL_TIMEOUT_MS + wait_ms, failed);
            if !self.worker.cut {
                let late = Delivery::Late(self.epoch, call);
                self.send(self.now + self.worker.late_ms, late);
            }
            return;
        }
        let answer = self
            .worker
            .carry_out(self.now, self.epoch, &call, self.max_lease_ms);
        match call {
            WorkerCall::Renew(renewal) if wait_ms > 0 => {
                let incarnation = self.worker.incarnation;
                let over = Delivery::WaitOver(self.epoch, incarnation, renewal);
                self.send(self.now + wait_ms, over);
            }
            _ => self.send(self.now + STEP_MS, Delivery::Answer(self.epoch, answer)),
        }
    }

    /// A call to the other worker, which never fails.
    fn call_other(&mut self, call: WorkerCall) {
        if let WorkerCall::Start(start) = &call {
            self.check_start(start);
        }
        let cap = self.max_lease_ms;
        let answer = self.other.carry_out(self.now, self.epoch, &call, cap);
        let wait_ms = match call {
            WorkerCall::Renew(renewal) => renewal.wait_ms,
            _ => 0,
        };
        let answered = Delivery::Answer(self.epoch, answer);
        self.send(self.now + STEP_MS + wait_ms, answered);
    }

    /// Records a start on the other worker of a task that runs under a lease.
    fn check_start(&mut self, start: &StartCall) {
        let runs = self.worker.runs.iter();
        let running = runs.copied().find(|run| run.task == start.key.task);
        if let Some(run) = running.filter(|_| self.worker.is_leased(self.now)) {
            let left = self.worker.lease_until - self.worker.clock(self.now);
            let (now, epoch) = (self.now, self.epoch);
            let what = format!(
                "owner {epoch} starts {} at {now} ms, while {run} is leased for {left} ms more",
                start.key
            );
            self.started_early.get_or_insert(what);
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.deliveries.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            match entry.remove() {
                Delivery::Late(epoch, call) => {
                    if self.worker.is_up(self.now) && !self.worker.cut {
                        let cap = self.max_lease_ms;
                        self.worker.carry_out(self.now, epoch, &call, cap);
                    }
                }
                Delivery::Answer(epoch, event) if epoch == self.epoch => self.tell(event),
                Delivery::Answer(..) => {}
                Delivery::WaitOver(epoch, incarnation, renewal) => {
                    self.end_wait(epoch, incarnation, renewal);
                }
            }
        }
    }

    /// The answer to a renewal with a wait; there is none if the worker restarted or was cut off meanwhile.
    fn end_wait(&mut self, epoch: Epoch, incarnation: u64, renewal: RenewalCall) {
        if epoch != self.epoch {
            return;
        }
        let call = WorkerCall::Renew(RenewalCall {
            deadline: None,
            ..renewal
        });
        let gone = self.worker.incarnation != incarnation || self.worker.cut;
        let event = match gone {
            true => unanswered(&self.worker.id, &call),
            false => self
                .worker
                .carry_out(self.now, epoch, &call, self.max_lease_ms),
        };
        self.tell(event);
    }

    fn advance(&mut self, millis: Millis) {
        let until = self.now + millis;
        while self.now < until {
            self.now += STEP_MS;
            self.worker.check_lease(self.now);
            self.deliver();
            if self.now.is_multiple_of(TICK_INTERVAL_MS) {
                let wall_ms = WALL_START_MS + self.now;
                self.tell(JobEvent::Tick { wall_ms });
            }
            if self.now.is_multiple_of(LIST_INTERVAL_MS) {
                self.list();
            }
        }
    }

    /// The owner ends, and the next one claims.
    fn change_owner(&mut self, dies: bool) {
        self.owner = None;
        match dies {
            true => {
                self.advance(OWNERSHIP_MS + 300);
                self.claim(0);
            }
            false => {
                self.advance(300);
                self.claim(self.now + OWNERSHIP_MS);
            }
        }
    }

    fn play(&mut self, step: PlayStep) {
        match step {
            PlayStep::Wait(millis) => self.advance(millis),
            PlayStep::HandIn => self.hand_in(),
            PlayStep::Restart {
                down_ms,
                clock,
                late_ms,
            } => {
                if self.worker.is_up(self.now) {
                    self.worker.restart(self.now, down_ms, clock, late_ms);
                    self.hand_in();
                }
            }
            PlayStep::OwnerDies => self.change_owner(true),
            PlayStep::OwnerStops => self.change_owner(false),
        }
    }
}

/// A call to the worker got no answer.
fn unanswered(worker: &WorkerId, call: &WorkerCall) -> JobEvent {
    let (id, answer) = (worker.clone(), OrderAnswer::Unknown);
    match call {
        WorkerCall::Start(start) => JobEvent::StartAnswered(id, start.key, answer),
        WorkerCall::Stop(key) => JobEvent::StopAnswered(id, *key, answer),
        WorkerCall::Pace(key, _) => JobEvent::PaceAnswered(id, *key, answer),
        WorkerCall::Renew(_) => JobEvent::RenewalAnswered(id, RenewalAnswer::Failed(answer)),
    }
}

/// Restarts and changes of owner, the worker's cut, and another change of owner after it.
fn plays() -> impl Strategy<Value = LeasePlay> {
    let restart = (510..1_500_u64, 0..8_000_000_u64, 100..2_950_u64);
    let restart = restart.prop_map(|(down_ms, clock, late_ms)| PlayStep::Restart {
        down_ms,
        clock,
        late_ms,
    });
    let step = prop_oneof![
        3 => (25..1_500_u64).prop_map(PlayStep::Wait),
        2 => restart,
        1 => Just(PlayStep::HandIn),
        1 => Just(PlayStep::OwnerDies),
        1 => Just(PlayStep::OwnerStops),
    ];
    let change = proptest::option::weighted(0.3, (0..6_000_u64, any::<bool>()));
    let parts = (98..=100_u64, vec(step, 2..9), change);
    parts.prop_map(|(clock_percent, steps, change_after_cut)| LeasePlay {
        clock_percent,
        steps,
        change_after_cut,
    })
}

/// Plays until nothing can be leased any more; returns a start elsewhere under a lease of the worker.
fn early_start(play: &LeasePlay, max_lease_ms: Millis) -> Option<String> {
    let mut model = LeaseModel::new(max_lease_ms, play.clock_percent);
    model.advance(1_500);
    for step in &play.steps {
        model.play(*step);
    }
    model.worker.cut = true;
    model.list();
    if let Some((after_ms, dies)) = play.change_after_cut {
        model.advance(after_ms);
        model.change_owner(dies);
    }
    model.advance(PLAY_OUT_MS);
    model.started_early
}

/// Fails with the smallest play in which a task is started elsewhere too early.
fn nobody_ends_a_lease_before_its_worker(max_lease_ms: Millis, seed: u64, cases: u32) {
    let config = Config {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..Config::default()
    };
    let result =
        TestRunner::new(config).run(&plays(), |play| match early_start(&play, max_lease_ms) {
            Some(what) => Err(TestCaseError::fail(what)),
            None => Ok(()),
        });
    if let Err(failure) = result {
        panic!("{failure}");
    }
}

/// A longer run by hand: `SANDSHELF_BOUNDS_SEED=1` names the seed and `SANDSHELF_BOUNDS_CASES=20000` the number of plays.
fn long_run() {
    let number = |variable: &str| std::env::var(variable).ok()?.parse::<u64>().ok();
    let seed = number("SANDSHELF_BOUNDS_SEED").unwrap_or(1);
    let cases = number("SANDSHELF_BOUNDS_CASES").unwrap_or(20) as u32;
    for max_lease_ms in [6_000, 10_000] {
        nobody_ends_a_lease_before_its_worker(max_lease_ms, seed, cases);
    }
}

sandshelf_cases::cases! {
    short_leases_are_waited_out => nobody_ends_a_lease_before_its_worker(6_000, 7, 2_000);
    long_leases_are_waited_out => nobody_ends_a_lease_before_its_worker(10_000, 7, 2_000);
    lease_bounds_by_hand => long_run();
}
