//! An emulator of the platform in virtual time: workers with leases on skewed clocks, a store, owners that follow each
//! other, and calls that get lost, late or no answer.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sandshelf_jobs::{
    CommitBatch, EndReport, HoldAnswer, HoldCall, HoldReport, JobAction, JobEvent, JobNumber,
    JobScheduler, JobSpec, OrderAnswer, ProgressRow, RefusalReason, RunKey, RunOutcome, RunReport,
    SchedulerLimits, StartCall, TakeoverInfo, TaskKey, WorkerCall,
};
use sandshelf_model::{Millis, ResourceSize, WorkerId};

use super::emulated_worker::{EmulatedRun, EmulatedWorker};
use super::faults::FaultPlan;
use super::oracle::{BrokenRule, PlatformOracle};
use super::{listing, WALL_START_MS};

/// The longest lease that a worker grants.
const MAX_LEASE_MS: Millis = 6_000;
/// How long a stop takes.
const STOP_MS: Millis = 300;
/// One step of time.
const STEP_MS: Millis = 5;
/// How often an owner ticks and reads the list of workers.
const TICK_MS: Millis = 25;
const LIST_MS: Millis = 700;
/// How long a caller of a worker waits for an answer.
const PATIENCE_MS: Millis = 500;
/// How long after an owner's last write another claims.
const CLAIM_AFTER_MS: Millis = 1_500;
/// How long the store may be read late by a new owner.
const TAKEOVER_MS: Millis = 60;
/// Rules with a time bound hold this long after the last disturbance.
const CONTACT_MS: Millis = 3_000;
/// After how long a worker that says that it leaves must get nothing new.
const DRAIN_MS: Millis = 2_000;

enum Message {
    Arrives(u64, WorkerId, WorkerCall, bool),
    Answered(u64, JobEvent),
    Written(u64, CommitBatch),
}

struct EmulatedOwner {
    epoch: u64,
    scheduler: JobScheduler,
    frozen_until: Millis,
    listed_at: Millis,
    seen_jobs: usize,
}

/// The whole platform with its owners.
pub struct PlatformEmulator {
    pub now: Millis,
    pub oracle: PlatformOracle,
    random: ChaCha8Rng,
    plan: FaultPlan,
    workers: Vec<EmulatedWorker>,
    incarnations: usize,
    messages: BTreeMap<(Millis, u64), Message>,
    message_count: u64,
    owners: Vec<EmulatedOwner>,
    epoch: u64,
    owner_seen: Millis,
    jobs: Vec<(JobNumber, Option<JobSpec>)>,
    pub progress: BTreeMap<JobNumber, ProgressRow>,
    roster: Vec<(WorkerId, std::net::SocketAddr)>,
    store_out_until: Millis,
    /// When the store was last out or no owner at work: rules with a time bound hold only some time after.
    disturbed_at: Millis,
}

impl PlatformEmulator {
    pub fn new(seed: u64, workers: usize, plan: FaultPlan) -> Self {
        let mut emulator = Self {
            now: 1_000,
            oracle: PlatformOracle::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            plan,
            workers: Vec::new(),
            incarnations: 0,
            messages: BTreeMap::new(),
            message_count: 0,
            owners: Vec::new(),
            epoch: 0,
            owner_seen: 0,
            jobs: Vec::new(),
            progress: BTreeMap::new(),
            roster: Vec::new(),
            store_out_until: 0,
            disturbed_at: 0,
        };
        for place in 0..workers {
            let worker = emulator.fresh_worker(place);
            emulator.workers.push(worker);
        }
        emulator
    }

    fn chance(&mut self, of_thousand: u32) -> bool {
        self.random.random_range(0..1_000) < of_thousand
    }

    fn fresh_worker(&mut self, place: usize) -> EmulatedWorker {
        self.incarnations += 1;
        EmulatedWorker {
            id: WorkerId::from(format!("w-{}", self.incarnations)),
            place,
            clock_percent: self.random.random_range(98..=100),
            fence: 0,
            lease_until: 0,
            runs: BTreeMap::new(),
            newest: BTreeMap::new(),
            ended: Vec::new(),
            end_count: 0,
            lapsed_at: 0,
            cut_until: 0,
            leaves_at: None,
            draining_since: None,
        }
    }

    /// A caller hands a job in; it is refused while the store is out.
    pub fn hand_in(&mut self, number: u64, spec: JobSpec) -> bool {
        if self.now < self.store_out_until {
            return false;
        }
        self.oracle.accepted(JobNumber(number), &spec);
        self.jobs.push((JobNumber(number), Some(spec)));
        true
    }

    /// A caller cancels a job; it is refused while the store is out.
    pub fn cancel(&mut self, number: u64) -> bool {
        if self.now < self.store_out_until {
            return false;
        }
        self.oracle.cancelled(self.now, JobNumber(number));
        self.jobs.push((JobNumber(number), None));
        true
    }

    /// Lets time pass; with `faults` new ones begin.
    pub fn pass(&mut self, millis: Millis, faults: bool) {
        let until = self.now + millis;
        while self.now < until {
            self.now += STEP_MS;
            if faults && self.now.is_multiple_of(1_000) {
                self.strike();
            }
            self.step_workers();
            self.deliver();
            self.elect();
            self.step_owners();
        }
    }

    fn strike(&mut self) {
        if self.chance(self.plan.outages) {
            self.store_out_until = self.now + self.random.random_range(500..5_000);
        }
        if self.chance(self.plan.deaths) {
            self.owners.pop();
        }
        if self.chance(self.plan.freezes) {
            let until = self.now + self.random.random_range(1_000..5_000);
            if let Some(owner) = self.owners.last_mut() {
                owner.frozen_until = until;
            }
        }
        for index in 0..self.workers.len() {
            if self.chance(self.plan.crashes) {
                self.restart_worker(index);
            }
            if self.chance(self.plan.cuts) {
                let until = self.now + self.random.random_range(500..9_000);
                self.workers[index].cut_until = until;
            }
            if self.chance(self.plan.drains) && self.workers[index].leaves_at.is_none() {
                self.workers[index].draining_since = Some(self.now);
                self.workers[index].leaves_at = Some(self.now + 4_000);
            }
        }
    }

    fn restart_worker(&mut self, index: usize) {
        let place = self.workers[index].place;
        let fresh = self.fresh_worker(place);
        let gone = std::mem::replace(&mut self.workers[index], fresh);
        for (task, run) in gone.runs {
            let key = RunKey { task, run: run.run };
            self.oracle.ended(&gone.id, key, None);
        }
    }

    fn step_workers(&mut self) {
        let now = self.now;
        for index in 0..self.workers.len() {
            if self.workers[index].leaves_at.is_some_and(|at| now >= at) {
                self.restart_worker(index);
            }
            let worker = &mut self.workers[index];
            let lapsed = worker.clock(now) > worker.lease_until;
            if lapsed {
                worker.lapsed_at = now;
            }
            let over: Vec<(TaskKey, RunOutcome)> = worker
                .runs
                .iter()
                .filter_map(|(task, run)| {
                    let outcome = if now >= run.ends_at {
                        Some(match run.stopping {
                            true => RunOutcome::Stopped,
                            false => run.outcome?,
                        })
                    } else {
                        lapsed.then_some(RunOutcome::Lapsed)
                    };
                    Some((*task, outcome?))
                })
                .collect();
            for (task, outcome) in over {
                let run = worker.runs.remove(&task).expect("it was listed");
                worker.end_count += 1;
                let key = RunKey { task, run: run.run };
                let end = EndReport {
                    number: worker.end_count,
                    key,
                    outcome,
                    checkpoint: None,
                };
                worker.ended.push((now, end));
                self.oracle.ended(&worker.id, key, Some(outcome));
            }
        }
    }

    fn send(&mut self, at: Millis, message: Message) {
        self.message_count += 1;
        self.messages.insert((at, self.message_count), message);
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            match entry.remove() {
                Message::Arrives(epoch, worker, call, answers) => {
                    self.arrive(epoch, worker, call, answers);
                }
                Message::Answered(epoch, event) => self.tell(epoch, event),
                Message::Written(epoch, batch) => self.write(epoch, batch),
            }
        }
    }

    fn arrive(&mut self, epoch: u64, id: WorkerId, call: WorkerCall, answers: bool) {
        let now = self.now;
        let index = self.workers.iter().position(|worker| worker.id == id);
        let Some(index) = index else {
            if answers {
                let event = answer_event(&id, &call, OrderAnswer::Replaced);
                self.send(now + 1, Message::Answered(epoch, event));
            }
            return;
        };
        if now < self.workers[index].cut_until {
            return;
        }
        let event = match &call {
            WorkerCall::Start(start) => {
                let answer = self.start(index, epoch, start);
                JobEvent::StartAnswered(id, start.key, answer)
            }
            WorkerCall::Stop(key) => {
                JobEvent::StopAnswered(id, *key, self.stop(index, epoch, *key))
            }
            WorkerCall::Pace(key, _) => {
                let clock = self.workers[index].clock(now);
                JobEvent::PaceAnswered(id, *key, OrderAnswer::Done(clock))
            }
            WorkerCall::Hold(hold) => JobEvent::HoldAnswered(id, self.hold(index, epoch, hold)),
        };
        if answers {
            let delay = self.random.random_range(1..4);
            self.send(now + delay, Message::Answered(epoch, event));
        }
    }

    /// Takes in the fence of a call; false where a newer one was seen.
    fn pass_fence(&mut self, index: usize, epoch: u64) -> bool {
        let worker = &mut self.workers[index];
        worker.fence = worker.fence.max(epoch);
        worker.fence == epoch
    }

    fn start(&mut self, index: usize, epoch: u64, call: &StartCall) -> OrderAnswer {
        let now = self.now;
        let clock = self.workers[index].clock(now);
        if !self.pass_fence(index, epoch) {
            return OrderAnswer::Refused(clock, RefusalReason::Fenced);
        }
        let fails = self.chance(self.plan.failed_runs);
        let step = self.step_of(&call.key.task);
        let worker = &mut self.workers[index];
        if call.deadline < clock {
            return OrderAnswer::Refused(clock, RefusalReason::Late);
        }
        worker.lease_until = worker
            .lease_until
            .max(call.deadline.min(clock + MAX_LEASE_MS));
        let task = call.key.task;
        if worker
            .runs
            .get(&task)
            .is_some_and(|run| run.run == call.key.run)
        {
            return OrderAnswer::Done(clock);
        }
        if worker
            .newest
            .get(&task)
            .is_some_and(|newest| call.key.run <= *newest)
        {
            return OrderAnswer::Refused(clock, RefusalReason::Superseded);
        }
        let (room, work_ms, standing) = step;
        let wanted = worker.used().plus(&room).expect("small sizes");
        if !wanted.fits_in(&listing("w-1").capacity) {
            if self.plan.guards {
                return OrderAnswer::Refused(clock, RefusalReason::NoRoom);
            }
            self.oracle
                .report(now, BrokenRule::Limit, call.key.to_string());
        }
        let in_touch = now > self.disturbed_at + CONTACT_MS;
        let worker = &mut self.workers[index];
        if worker
            .draining_since
            .is_some_and(|since| now > since + DRAIN_MS && in_touch)
        {
            let id = worker.id.to_string();
            let since = worker.draining_since;
            let what = format!("{} on {id} since {since:?}, owner {epoch} of {}, disturbed {}, deadline {} clock {clock}", call.key, self.epoch, self.disturbed_at, call.deadline);
            self.oracle.report(now, BrokenRule::Drain, what);
        }
        worker.newest.insert(task, call.key.run);
        worker.runs.insert(
            task,
            EmulatedRun {
                run: call.key.run,
                room,
                ends_at: if standing && !fails {
                    Millis::MAX
                } else {
                    now + work_ms
                },
                outcome: Some(if fails {
                    RunOutcome::Failed
                } else {
                    RunOutcome::Done
                }),
                stopping: false,
            },
        );
        let id = worker.id.clone();
        self.oracle.started(now, &id, call.key, in_touch);
        OrderAnswer::Done(clock)
    }

    fn step_of(&self, task: &TaskKey) -> (ResourceSize, Millis, bool) {
        let spec = self
            .jobs
            .iter()
            .find(|(number, spec)| *number == task.job && spec.is_some());
        let step = spec.and_then(|(_, spec)| spec.as_ref()?.steps.get(task.step as usize));
        step.map_or((ResourceSize::default(), 100, false), |step| {
            (step.room(), step.estimate_ms, step.standing)
        })
    }

    fn stop(&mut self, index: usize, epoch: u64, key: RunKey) -> OrderAnswer {
        let now = self.now;
        let clock = self.workers[index].clock(now);
        if !self.pass_fence(index, epoch) {
            return OrderAnswer::Refused(clock, RefusalReason::Fenced);
        }
        let worker = &mut self.workers[index];
        let newest = worker.newest.entry(key.task).or_default();
        *newest = key.run.max(*newest);
        if let Some(run) = worker.runs.get_mut(&key.task) {
            if run.run == key.run && !run.stopping {
                run.stopping = true;
                run.ends_at = run.ends_at.min(now + STOP_MS);
            }
        }
        OrderAnswer::Done(clock)
    }

    fn hold(&mut self, index: usize, epoch: u64, call: &HoldCall) -> HoldAnswer {
        let now = self.now;
        if !self.pass_fence(index, epoch) {
            return HoldAnswer::Fenced;
        }
        let worker = &mut self.workers[index];
        let clock = worker.clock(now);
        if let Some(deadline) = call.deadline {
            worker.lease_until = worker.lease_until.max(deadline.min(clock + MAX_LEASE_MS));
        }
        for (at, end) in &worker.ended {
            // An end whose worker's lease has run out since doesn't count as acknowledged.
            if end.number <= call.last_seen && worker.lapsed_at <= *at {
                self.oracle.acknowledged(end.key, end.outcome);
            }
        }
        worker.ended.retain(|(_, end)| end.number > call.last_seen);
        let running = worker.runs.iter().map(|(task, run)| RunReport {
            key: RunKey {
                task: *task,
                run: run.run,
            },
            checkpoint: None,
            percent: 50,
            gauge: None,
        });
        HoldAnswer::Report(HoldReport {
            clock,
            running: running.collect(),
            ended: worker.ended.iter().map(|(_, end)| end.clone()).collect(),
        })
    }

    /// Has a new owner claim where the present one has not written for long.
    fn elect(&mut self) {
        if self.now < self.store_out_until {
            self.owner_seen = self.now;
            self.disturbed_at = self.now;
            return;
        }
        let current = self.owners.iter().find(|owner| owner.epoch == self.epoch);
        let alive = current.is_some_and(|owner| self.now >= owner.frozen_until);
        match alive {
            true => self.owner_seen = self.now,
            false => self.disturbed_at = self.now,
        }
        if self.now < self.owner_seen + CLAIM_AFTER_MS && self.epoch > 0 {
            return;
        }
        self.owner_seen = self.now;
        self.epoch += 1;
        let info = TakeoverInfo {
            epoch: self.epoch,
            claimed_at: self.now + TAKEOVER_MS,
            claim_version: self.jobs.len() as u64,
            progress: self.progress.clone(),
            roster: self.roster.clone(),
            ..TakeoverInfo::default()
        };
        self.owners.push(EmulatedOwner {
            epoch: self.epoch,
            scheduler: JobScheduler::new(SchedulerLimits::default(), info),
            frozen_until: self.now + TAKEOVER_MS,
            listed_at: 0,
            seen_jobs: 0,
        });
    }

    fn step_owners(&mut self) {
        let now = self.now;
        let reachable = now >= self.store_out_until;
        let epochs: Vec<u64> = self.owners.iter().map(|owner| owner.epoch).collect();
        for epoch in epochs {
            let Some(owner) = self.owners.iter_mut().find(|owner| owner.epoch == epoch) else {
                continue;
            };
            if now < owner.frozen_until {
                continue;
            }
            let mut events = Vec::new();
            // Only the present owner follows the store; one that was followed learns of it at the workers.
            if reachable && epoch == self.epoch {
                let fresh = self.jobs[owner.seen_jobs..].iter().enumerate();
                let first = owner.seen_jobs;
                events.extend(fresh.map(|(index, (number, spec))| match spec {
                    Some(spec) => JobEvent::JobListed {
                        number: *number,
                        version: (first + index + 1) as u64,
                        spec: Box::new(spec.clone()),
                    },
                    None => JobEvent::CancelAsked(*number),
                }));
                owner.seen_jobs = self.jobs.len();
                if now >= owner.listed_at + LIST_MS {
                    owner.listed_at = now;
                    let entries = self.workers.iter().map(|worker| {
                        let mut entry = listing(worker.id.as_str());
                        entry.address = ([10, 0, 0, 1], worker.place as u16 + 1).into();
                        entry.draining = worker.draining_since.is_some();
                        entry
                    });
                    events.push(JobEvent::WorkersListed(entries.collect()));
                }
            }
            if now.is_multiple_of(TICK_MS) {
                let wall_ms = WALL_START_MS + now;
                events.push(JobEvent::Tick { wall_ms });
            }
            for event in events {
                self.tell(epoch, event);
            }
        }
    }

    fn tell(&mut self, epoch: u64, event: JobEvent) {
        let now = self.now;
        let Some(owner) = self.owners.iter_mut().find(|owner| owner.epoch == epoch) else {
            return;
        };
        if now < owner.frozen_until {
            // What reaches a frozen host is taken in when it wakes up.
            let at = owner.frozen_until;
            self.send(at, Message::Answered(epoch, event));
            return;
        }
        let actions = owner.scheduler.handle(now, event);
        for action in actions {
            self.act(epoch, action);
        }
    }

    fn act(&mut self, epoch: u64, action: JobAction) {
        match action {
            JobAction::Note(_) => {}
            JobAction::Deposed => self.owners.retain(|owner| owner.epoch != epoch),
            JobAction::Commit(batch) => self.commit(epoch, batch),
            JobAction::Call { worker, call, .. } => self.call(epoch, worker, call),
        }
    }

    fn commit(&mut self, epoch: u64, batch: CommitBatch) {
        let at = self.now.max(self.store_out_until) + 5;
        self.send(at, Message::Written(epoch, batch));
    }

    /// The store takes a write in, unless another owner has claimed since.
    fn write(&mut self, epoch: u64, batch: CommitBatch) {
        if self.now < self.store_out_until {
            return self.commit(epoch, batch);
        }
        if epoch != self.epoch {
            self.owners.retain(|owner| owner.epoch != epoch);
            return;
        }
        for (number, row) in batch.progress {
            self.oracle.shown(self.now, number, row.stage);
            self.progress.insert(number, row);
        }
        if let Some(roster) = batch.roster {
            self.roster = roster;
        }
        self.tell(epoch, JobEvent::Committed(batch.id));
    }

    fn call(&mut self, epoch: u64, worker: WorkerId, call: WorkerCall) {
        let order = !matches!(call, WorkerCall::Hold(_));
        let wait = match &call {
            WorkerCall::Hold(hold) => hold.wait_ms.min(200),
            _ => 0,
        };
        let arrives = self.now + self.random.random_range(1..4) + wait;
        let known = self.workers.iter().find(|known| known.id == worker);
        let cut = known.is_some_and(|known| arrives < known.cut_until);
        let late = order && self.chance(self.plan.late_orders);
        let lost = cut || self.chance(self.plan.lost_calls);
        let mute = self.chance(self.plan.lost_answers);
        if late || lost || mute {
            let event = answer_event(&worker, &call, OrderAnswer::Unknown);
            let given_up = self.now + PATIENCE_MS + wait;
            self.send(given_up, Message::Answered(epoch, event));
        }
        let at = if late {
            self.now + self.random.random_range(2_000..6_000)
        } else {
            arrives
        };
        if late || !lost {
            let answers = !late && !mute;
            self.send(at, Message::Arrives(epoch, worker, call, answers));
        }
    }

    /// How many of the jobs handed in have come to an end.
    pub fn finished(&self) -> usize {
        self.progress
            .values()
            .filter(|row| row.stage.is_final())
            .count()
    }
}

/// The event of a call that ended so.
fn answer_event(worker: &WorkerId, call: &WorkerCall, answer: OrderAnswer) -> JobEvent {
    match call {
        WorkerCall::Start(start) => JobEvent::StartAnswered(worker.clone(), start.key, answer),
        WorkerCall::Stop(key) => JobEvent::StopAnswered(worker.clone(), *key, answer),
        WorkerCall::Pace(key, _) => JobEvent::PaceAnswered(worker.clone(), *key, answer),
        WorkerCall::Hold(_) => JobEvent::HoldAnswered(worker.clone(), HoldAnswer::Failed(answer)),
    }
}
