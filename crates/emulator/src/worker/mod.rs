//! Emulates a worker of the platform: its handling of orders, its lease and the progress of its runs.

mod listing;
mod run;
mod timing;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use sandshelf_jobs::{
    EndReport, JobEvent, OrderAnswer, RefusalReason, RenewalAnswer, RenewalCall, RunKey,
    RunOutcome, StartCall, TaskKey, WorkerCall, WorkerIncarnation,
};
use sandshelf_model::{Millis, ResourceSize, WorkerId};

use crate::catalog::JobCatalog;
use crate::interference::InterferenceModel;
use crate::oracle::PlatformOracle;
use crate::queue::{Micros, MS};
use run::LiveRun;
pub use timing::{RunProgress, RunTiming};

/// Share of a worker's processors that ordinary and filling tasks divide between them, in thousandths: filling tasks get what
/// ordinary tasks leave of it. Serving tasks don't count.
const FILL_LIMIT_THOUSANDTHS: u64 = 950;

/// The address at which the worker with index `place` accepts orders.
pub fn address_of(place: usize) -> SocketAddr {
    ([10, 200, (place / 200) as u8, (place % 200) as u8], 9_000).into()
}

/// The index of the worker with an address; 0 for an IPv6 address.
pub fn place_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => {
            let [_, _, hundreds, ones] = address.ip().octets();
            usize::from(hundreds) * 200 + usize::from(ones)
        }
        SocketAddr::V6(_) => 0,
    }
}

/// An incarnation of a worker and its clock, which starts anew with each incarnation.
#[derive(Clone, Copy, Debug)]
pub struct IncarnationClock {
    /// The incarnation.
    pub incarnation: WorkerIncarnation,
    /// The virtual time at which it started.
    pub at: Micros,
    /// The worker's clock at that time, in milliseconds.
    pub clock: u64,
    /// Speed of the worker's clock, in percent of virtual time.
    pub clock_percent: u64,
}

impl IncarnationClock {
    /// The worker's clock at a virtual time, in milliseconds.
    fn clock(&self, now: Micros) -> u64 {
        self.clock + (now - self.at) * self.clock_percent / 100 / MS
    }

    /// A virtual time by which the worker's clock has passed `clock`.
    fn after(&self, clock: u64) -> Micros {
        let left = (clock + 1).saturating_sub(self.clock);
        self.at + left * 100 * MS / self.clock_percent + MS
    }
}

/// One incarnation of a worker.
#[derive(Clone, Debug)]
pub struct EmulatedWorker {
    /// Its name.
    pub id: WorkerId,
    incarnation_clock: IncarnationClock,
    /// Its total capacity.
    pub capacity: ResourceSize,
    /// The time since which it announces that it is draining.
    pub draining_since: Option<Micros>,
    /// Whether it accepts orders without answering them.
    pub hangs: bool,
    /// How its runs progress.
    pub progress: RunProgress,
    /// The highest epoch seen; orders of lower epochs are refused.
    fence: u64,
    /// The end of its lease on its own clock, in milliseconds.
    lease_until: u64,
    runs: BTreeMap<TaskKey, LiveRun>,
    /// The highest run of each task that was started or stopped here.
    newest: HashMap<TaskKey, u64>,
    /// Ended runs that the owner has not yet acknowledged.
    ended: Vec<(Micros, EndReport)>,
    end_count: u64,
    /// The last time at which its lease was found to have run out.
    lapsed_at: Micros,
    /// The time up to which its runs have been advanced.
    advanced_at: Micros,
}

impl EmulatedWorker {
    /// Creates a worker that has just started.
    pub fn new(id: WorkerId, incarnation_clock: IncarnationClock, capacity: ResourceSize) -> Self {
        Self {
            id,
            incarnation_clock,
            capacity,
            draining_since: None,
            hangs: false,
            progress: RunProgress::Usual,
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

    /// The capacity that its runs occupy.
    pub fn used(&self) -> ResourceSize {
        let rooms = self.runs.values().map(|run| run.facts.room);
        rooms.fold(ResourceSize::default(), |sum, room| {
            sum.plus(&room)
                .expect("the sum of resource sizes does not overflow")
        })
    }

    /// The current runs, which the oracle needs when the worker crashes.
    pub fn running(&self) -> Vec<RunKey> {
        let keys = self.runs.iter();
        keys.map(|(task, run)| RunKey {
            task: *task,
            run: run.run,
        })
        .collect()
    }

    /// Whether it has ended runs that the owner has not yet acknowledged.
    pub fn has_unacknowledged_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Whether an order of this epoch fences an earlier owner.
    pub fn would_fence(&self, epoch: u64) -> bool {
        0 < self.fence && self.fence < epoch
    }

    /// The next time at which a run ends or the lease runs out if no order arrives; `None` if there are no runs.
    pub fn next_change(&self) -> Option<Micros> {
        let ends = self.runs.values();
        let ends = ends.filter_map(|run| run.ends_at(self.advanced_at, self.progress));
        let lapse = self.incarnation_clock.after(self.lease_until);
        let lapse = (!self.runs.is_empty()).then_some(lapse);
        ends.chain(lapse).min()
    }

    /// Advances the runs to the present, and ends all of them if the lease has run out; returns whether a run has ended.
    pub fn advance(&mut self, now: Micros, oracle: &mut PlatformOracle) -> bool {
        let passed = now - self.advanced_at;
        self.advanced_at = now;
        for run in self.runs.values_mut() {
            run.work(passed, self.progress);
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
        if outcome == RunOutcome::Stopped && run.facts.standing {
            let healthy = self.draining_since.is_none() && !self.hangs;
            let at_work = run.is_at_work(now, self.progress);
            oracle.standing_stopped(key, healthy && at_work);
        }
        oracle.ended(&self.id, key, Some(outcome));
    }

    /// Distributes the processor time that ordinary tasks leave among the filling tasks.
    fn share_processors(&mut self) {
        let ordinary = self.runs.values();
        let ordinary =
            ordinary.filter(|run| run.facts.fills.is_none() && run.facts.serving.is_none());
        let taken: u64 = ordinary.map(|run| run.facts.cpu_millis).sum();
        let free =
            (self.capacity.cpu_millis * FILL_LIMIT_THOUSANDTHS / 1_000).saturating_sub(taken);
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

    /// Carries out or refuses an order; returns the answer as the sender's scheduler event.
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
                let stop_ms = context.run_timing.stop_ms(key);
                self.stop(context.now + stop_ms * MS, *key);
                JobEvent::StopAnswered(id, *key, OrderAnswer::Done(clock))
            }
            WorkerCall::Pace(key, percent) => {
                self.pace(key, *percent);
                JobEvent::PaceAnswered(id, *key, OrderAnswer::Done(clock))
            }
            WorkerCall::Renew(renewal) => {
                self.renew_lease(clock, renewal, context);
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
            restoring: context.run_timing.restore_us(saved),
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

    /// Has a run end at `ends_at`, unless an earlier order already ends it.
    fn stop(&mut self, ends_at: Micros, key: RunKey) {
        let newest = self.newest.entry(key.task).or_default();
        *newest = key.run.max(*newest);
        if let Some(run) = self.runs.get_mut(&key.task) {
            if run.run == key.run {
                run.stops_at.get_or_insert(ends_at);
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

    fn renew_lease(&mut self, clock: u64, renewal: &RenewalCall, context: &mut WorkerContext<'_>) {
        if let Some(deadline) = renewal.deadline {
            self.lease_until = self
                .lease_until
                .max(deadline.min(clock + context.max_lease_ms));
        }
        for (at, end) in &self.ended {
            // If the lease has run out after a run's end, that end does not count as acknowledged.
            if end.number <= renewal.last_seen && self.lapsed_at <= *at {
                let now = context.now / MS;
                context.oracle.acknowledged_at(now, end.key, end.outcome);
            }
        }
        self.ended.retain(|(_, end)| end.number > renewal.last_seen);
    }
}

/// The surroundings of a worker while it handles an order.
pub struct WorkerContext<'a> {
    /// The current virtual time.
    pub now: Micros,
    /// The longest lease that a worker accepts, in milliseconds.
    pub max_lease_ms: Millis,
    /// How long it takes to stop and to resume runs.
    pub run_timing: RunTiming,
    /// Time after the announcement of draining from which on a worker must not get new runs, in milliseconds.
    pub drain_ms: Millis,
    /// Whether nothing has disturbed the sender for some time.
    pub in_touch: bool,
    /// All submitted jobs.
    pub catalog: &'a JobCatalog,
    /// The interference between tasks.
    pub interference: &'a InterferenceModel,
    /// The oracle that is notified of starts, ends and acknowledgements.
    pub oracle: &'a mut PlatformOracle,
}

impl WorkerContext<'_> {
    /// Whether a start now violates the rule that a draining worker gets no new runs.
    fn is_late_for(&self, draining_since: Micros) -> bool {
        self.in_touch && self.now > draining_since + self.drain_ms * MS
    }
}
