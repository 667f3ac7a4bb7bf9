//! One worker of the platform: what it does on orders, and its runs as time passes.

mod run;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use sandshelf_jobs::{
    EndReport, JobEvent, OrderAnswer, RefusalReason, RenewalAnswer, RenewalCall, RenewalReport,
    RunKey, RunOutcome, RunReport, StartCall, TaskKey, WorkerCall, WorkerIncarnation,
};
use sandshelf_model::{Millis, ResourceSize, WorkerId};

use crate::catalog::{JobCatalog, STANDING_START_MS};
use crate::interference::InterferenceModel;
use crate::oracle::PlatformOracle;
use crate::queue::{Micros, MS};
use run::LiveRun;

/// How long a stop takes.
const STOP_MS: Millis = 300;
/// What of its processors filling tasks get at most, in thousandths.
const FILL_MILLIS: u64 = 950;

/// Where the worker at a place takes orders.
pub fn address_of(place: usize) -> SocketAddr {
    ([10, 200, (place / 200) as u8, (place % 200) as u8], 9_000).into()
}

/// The place of an address.
pub fn place_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => {
            let [_, _, hundreds, ones] = address.ip().octets();
            usize::from(hundreds) * 200 + usize::from(ones)
        }
        SocketAddr::V6(_) => 0,
    }
}

/// A life of a worker and its clock, which starts anew with each.
#[derive(Clone, Copy, Debug)]
pub struct IncarnationClock {
    /// Which life it is.
    pub incarnation: WorkerIncarnation,
    /// When it began.
    pub at: Micros,
    /// What its clock shows then.
    pub clock: u64,
    /// How fast that runs, in percent.
    pub clock_percent: u64,
}

impl IncarnationClock {
    fn clock(&self, now: Micros) -> u64 {
        self.clock + (now - self.at) * self.clock_percent / 100 / MS
    }

    /// When its clock shows more than so much.
    fn after(&self, clock: u64) -> Micros {
        let left = (clock + 1).saturating_sub(self.clock);
        self.at + left * 100 * MS / self.clock_percent + MS
    }
}

/// One life of a worker.
#[derive(Clone, Debug)]
pub struct EmulatedWorker {
    /// Its incarnation.
    pub id: WorkerId,
    incarnation_clock: IncarnationClock,
    /// All that it has.
    pub capacity: ResourceSize,
    /// Since when it says that it leaves.
    pub draining_since: Option<Micros>,
    /// Whether it takes orders in without an answer.
    pub hangs: bool,
    fence: u64,
    /// The lease's end on its own clock.
    lease_until: u64,
    runs: BTreeMap<TaskKey, LiveRun>,
    newest: HashMap<TaskKey, u64>,
    ended: Vec<(Micros, EndReport)>,
    end_count: u64,
    lapsed_at: Micros,
    advanced_at: Micros,
}

impl EmulatedWorker {
    /// A worker that has just started.
    pub fn new(id: WorkerId, incarnation_clock: IncarnationClock, capacity: ResourceSize) -> Self {
        Self {
            id,
            incarnation_clock,
            capacity,
            draining_since: None,
            hangs: false,
            fence: 0,
            lease_until: 0,
            runs: BTreeMap::new(),
            newest: HashMap::new(),
            ended: Vec::new(),
            end_count: 0,
            lapsed_at: 0,
            advanced_at: incarnation_clock.at,
        }
    }

    fn clock(&self, now: Micros) -> u64 {
        self.incarnation_clock.clock(now)
    }

    /// What its runs take of its room.
    pub fn used(&self) -> ResourceSize {
        let rooms = self.runs.values().map(|run| run.facts.room);
        rooms.fold(ResourceSize::default(), |sum, room| {
            sum.plus(&room)
                .expect("sizes are far from the largest number")
        })
    }

    /// The runs at work, for the oracle when the worker dies.
    pub fn running(&self) -> Vec<RunKey> {
        let keys = self.runs.iter();
        keys.map(|(task, run)| RunKey {
            task: *task,
            run: run.run,
        })
        .collect()
    }

    /// Whether ends wait to be acknowledged.
    pub fn has_unacknowledged_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    /// When something happens here next without an order.
    pub fn next_change(&self) -> Option<Micros> {
        let ends = self.runs.values();
        let ends = ends.filter_map(|run| run.ends_at(self.advanced_at));
        let lapse = self.incarnation_clock.after(self.lease_until);
        let lapse = (!self.runs.is_empty()).then_some(lapse);
        ends.chain(lapse).min()
    }

    /// Brings the runs up to the present; returns whether one has ended.
    pub fn advance(&mut self, now: Micros, oracle: &mut PlatformOracle) -> bool {
        let passed = now - self.advanced_at;
        self.advanced_at = now;
        for run in self.runs.values_mut() {
            run.work(passed);
        }
        let lapsed = self.clock(now) > self.lease_until;
        if lapsed {
            self.lapsed_at = now;
        }
        let over = self.runs.iter().filter_map(|(task, run)| {
            let outcome = run.outcome(now).or(lapsed.then_some(RunOutcome::Lapsed))?;
            Some((*task, outcome))
        });
        let over: Vec<(TaskKey, RunOutcome)> = over.collect();
        for (task, outcome) in &over {
            self.end(now, *task, *outcome, oracle);
        }
        if !over.is_empty() {
            self.share_processors();
        }
        !over.is_empty()
    }

    fn end(
        &mut self,
        now: Micros,
        task: TaskKey,
        outcome: RunOutcome,
        oracle: &mut PlatformOracle,
    ) {
        let Some(run) = self.runs.remove(&task) else {
            return;
        };
        self.end_count += 1;
        let key = RunKey { task, run: run.run };
        let checkpoint = run.checkpoint().filter(|_| outcome != RunOutcome::Done);
        let end = EndReport {
            number: self.end_count,
            key,
            outcome,
            checkpoint,
        };
        self.ended.push((now, end));
        oracle.ended(&self.id, key, Some(outcome));
    }

    /// Deals the processors that ordinary tasks leave to filling ones.
    fn share_processors(&mut self) {
        let ordinary = self.runs.values();
        let ordinary =
            ordinary.filter(|run| run.facts.fills.is_none() && run.facts.serving.is_none());
        let taken: u64 = ordinary.map(|run| run.facts.cpu_millis).sum();
        let free = (self.capacity.cpu_millis * FILL_MILLIS / 1_000).saturating_sub(taken);
        let paced = |run: &LiveRun| run.facts.cpu_millis * u64::from(run.pace) / 100;
        let filling = self.runs.values().filter(|run| run.facts.fills.is_some());
        let wanted: u64 = filling.map(paced).sum();
        let share = (free * 1_000 / wanted.max(1)).min(1_000);
        for run in self.runs.values_mut() {
            let pace = u64::from(run.pace) * 10;
            run.speed = match run.facts.fills {
                Some(_) => pace * share / 1_000,
                None => pace,
            };
        }
    }

    /// What fills here, by image, in shares of all processors.
    fn filling(&self) -> Vec<(usize, f64)> {
        let whole = self.capacity.cpu_millis as f64 * 1_000.0;
        let runs = self.runs.values();
        let used = runs.filter_map(|run| {
            let used = (run.facts.cpu_millis * run.speed) as f64 / whole;
            Some((run.facts.fills?, used))
        });
        used.collect()
    }

    /// Carries an order out, or doesn't; the answer is what its sender learns.
    pub fn handle_order(
        &mut self,
        epoch: u64,
        call: &WorkerCall,
        context: &mut WorkerContext<'_>,
    ) -> JobEvent {
        let id = self.id.clone();
        self.advance(context.now, context.oracle);
        let clock = self.clock(context.now);
        if epoch < self.fence {
            let refused = OrderAnswer::Refused(clock, RefusalReason::Fenced);
            return match call {
                WorkerCall::Start(start) => JobEvent::StartAnswered(id, start.key, refused),
                WorkerCall::Stop(key) => JobEvent::StopAnswered(id, *key, refused),
                WorkerCall::Pace(key, _) => JobEvent::PaceAnswered(id, *key, refused),
                WorkerCall::Renew(_) => JobEvent::RenewalAnswered(id, RenewalAnswer::Fenced),
            };
        }
        self.fence = epoch;
        match call {
            WorkerCall::Start(start) => {
                let answer = self.start(clock, start, context);
                JobEvent::StartAnswered(id, start.key, answer)
            }
            WorkerCall::Stop(key) => {
                self.stop(context.now, *key);
                JobEvent::StopAnswered(id, *key, OrderAnswer::Done(clock))
            }
            WorkerCall::Pace(key, percent) => {
                self.pace(key, *percent);
                JobEvent::PaceAnswered(id, *key, OrderAnswer::Done(clock))
            }
            WorkerCall::Renew(hold) => {
                self.prolong(clock, hold, context);
                self.report(context.now, context.interference)
            }
        }
    }

    fn start(
        &mut self,
        clock: u64,
        call: &StartCall,
        context: &mut WorkerContext<'_>,
    ) -> OrderAnswer {
        if call.deadline < clock {
            return OrderAnswer::Refused(clock, RefusalReason::Late);
        }
        self.lease_until = self
            .lease_until
            .max(call.deadline.min(clock + context.max_lease_ms));
        let task = call.key.task;
        let there = self.runs.get(&task).map(|run| run.run);
        if there == Some(call.key.run) {
            return OrderAnswer::Done(clock);
        }
        if self
            .newest
            .get(&task)
            .is_some_and(|newest| call.key.run <= *newest)
        {
            return OrderAnswer::Refused(clock, RefusalReason::Superseded);
        }
        let Some(facts) = context.catalog.facts(&call.key) else {
            context
                .oracle
                .started(context.now / MS, &self.id, call.key, context.in_touch);
            return OrderAnswer::Invalid;
        };
        let wanted = self.used().plus(&facts.room);
        if !wanted.is_ok_and(|wanted| wanted.fits_in(&self.capacity)) {
            return OrderAnswer::Refused(clock, RefusalReason::NoRoom);
        }
        if self
            .draining_since
            .is_some_and(|since| context.is_late_for(since))
        {
            context
                .oracle
                .started_late(context.now / MS, &self.id, call.key);
        }
        let saved = call
            .checkpoint
            .as_deref()
            .map(|text| u64::from_str_radix(text, 16));
        let saved = saved.and_then(Result::ok).unwrap_or(0);
        let run = LiveRun {
            run: call.key.run,
            began: context.now,
            left: facts.work_ms.saturating_sub(saved) * MS,
            fails_at: facts.fails_after_ms.map(|after| after * MS),
            done: 0,
            pace: 100,
            speed: 1_000,
            stops_at: None,
            facts,
        };
        self.newest.insert(task, call.key.run);
        self.runs.insert(task, run);
        self.share_processors();
        context
            .oracle
            .started(context.now / MS, &self.id, call.key, context.in_touch);
        OrderAnswer::Done(clock)
    }

    fn stop(&mut self, now: Micros, key: RunKey) {
        let newest = self.newest.entry(key.task).or_default();
        *newest = key.run.max(*newest);
        if let Some(run) = self.runs.get_mut(&key.task) {
            if run.run == key.run {
                run.stops_at.get_or_insert(now + STOP_MS * MS);
            }
        }
    }

    fn pace(&mut self, key: &RunKey, percent: u32) {
        if let Some(run) = self.runs.get_mut(&key.task) {
            if run.run == key.run {
                run.pace = percent;
                self.share_processors();
            }
        }
    }

    fn prolong(&mut self, clock: u64, hold: &RenewalCall, context: &mut WorkerContext<'_>) {
        if let Some(deadline) = hold.deadline {
            self.lease_until = self
                .lease_until
                .max(deadline.min(clock + context.max_lease_ms));
        }
        for (at, end) in &self.ended {
            // An end whose worker's lease has run out since doesn't count as acknowledged.
            if end.number <= hold.last_seen && self.lapsed_at <= *at {
                context.oracle.acknowledged(end.key, end.outcome);
            }
        }
        self.ended.retain(|(_, end)| end.number > hold.last_seen);
    }

    /// What runs here and what has ended.
    pub fn report(&self, now: Micros, interference: &InterferenceModel) -> JobEvent {
        let filling = self.filling();
        let running = self.runs.iter().map(|(task, run)| {
            let serving = run.facts.serving.as_ref();
            let tail = serving.map(|task| interference.tail_ms(task, now / MS, &filling) as u64);
            let used = run.facts.cpu_millis * run.speed / 1_000;
            let total = (run.facts.work_ms * MS).max(1);
            let at_work = now >= run.began + STANDING_START_MS * MS;
            let percent = match run.facts.standing {
                true => u64::from(at_work) * 100,
                false => (total.saturating_sub(run.left)) * 99 / total,
            };
            RunReport {
                key: RunKey {
                    task: *task,
                    run: run.run,
                },
                checkpoint: run.checkpoint(),
                percent: percent as u32,
                gauge: Some(tail.unwrap_or(used)),
            }
        });
        let report = RenewalReport {
            incarnation: Some(self.incarnation_clock.incarnation),
            carrier_late_ms: 0,
            clock: self.clock(now),
            running: running.collect(),
            ended: self.ended.iter().map(|(_, end)| end.clone()).collect(),
        };
        JobEvent::RenewalAnswered(self.id.clone(), RenewalAnswer::Report(report))
    }
}

/// What a worker's doing depends on and is told to.
pub struct WorkerContext<'a> {
    /// The time.
    pub now: Micros,
    /// The longest lease that it grants.
    pub max_lease_ms: Millis,
    /// After how long a worker that says that it leaves must get nothing new.
    pub drain_ms: Millis,
    /// Whether the sender has not been disturbed for some time.
    pub in_touch: bool,
    /// The jobs.
    pub catalog: &'a JobCatalog,
    /// How tasks disturb each other.
    pub interference: &'a InterferenceModel,
    /// Sees what happens.
    pub oracle: &'a mut PlatformOracle,
}

impl WorkerContext<'_> {
    fn is_late_for(&self, draining_since: Micros) -> bool {
        self.in_touch && self.now > draining_since + self.drain_ms * MS
    }
}
