//! A fake of a worker's lease interface; it follows the rules that sandshelf assumes of the platform.

use std::collections::{BTreeMap, BTreeSet};

use sandshelf_lease::{
    AttemptPhase, AttemptReport, OrderRefusal, StartOrder, TaskOrder, WorkerOrders, WorkerReport,
};
use sandshelf_model::{AttemptId, Epoch, Millis, ResourceSize, WorkerId};

/// How long a failing program runs before it fails, in milliseconds.
const FAIL_AFTER_MS: Millis = 20;
/// The speed of a task that is not throttled, in percent.
const FULL_SPEED: u64 = 100;

/// What a program does, parsed from its text: `run:MS` runs for that many milliseconds, `fail` fails, and any other text
/// runs for the declared run time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProgramKind {
    /// It runs for this time at full speed, in milliseconds, and finishes.
    Run(Millis),
    /// It fails after a short run.
    Fail,
}

impl ProgramKind {
    /// Parses the program of a start order; `run:` with an invalid number runs for the declared run time.
    pub fn of(order: &StartOrder) -> Self {
        match order.program.split_once(':') {
            Some(("run", text)) => ProgramKind::Run(text.parse().unwrap_or(order.run_ms)),
            _ if order.program == "fail" => ProgramKind::Fail,
            _ => ProgramKind::Run(order.run_ms),
        }
    }
}

/// One attempt on a fake worker, running or ended.
#[derive(Clone, Debug)]
pub struct TaskAttempt {
    /// The attempt's identifier.
    pub attempt: AttemptId,
    /// The resources that are reserved for it.
    pub size: ResourceSize,
    /// The phase that it has reached.
    pub phase: AttemptPhase,
    /// Its speed in percent of full speed; lowered by throttle orders, and by the code that drives the fake.
    pub speed: u64,
    /// The work done so far, as speed in percent times milliseconds.
    done_percent_ms: u64,
    /// The work that it has to do in total, as speed in percent times milliseconds.
    total_percent_ms: u64,
    kind: ProgramKind,
    checkpointable: bool,
    ran_ms: Millis,
}

/// A worker that runs tasks under leases.
#[derive(Clone, Debug)]
pub struct FakeWorker {
    /// The worker's name.
    pub worker: WorkerId,
    /// The worker's total capacity for tasks.
    pub capacity: ResourceSize,
    /// Whether every task on it fails after a short run.
    pub broken: bool,
    /// The CPU that each task actually uses, in thousandths of a core; none where each task uses what is reserved for it.
    pub usage_cpu_millis: Option<u64>,
    /// The work done by all attempts, in milliseconds at full speed.
    pub progress_ms: Millis,
    /// The total run time of attempts that were stopped without a checkpoint or whose lease expired, in milliseconds.
    pub wasted_ms: Millis,
    /// How often each attempt was actually started since the fake was made; orders that were refused or ignored don't count.
    pub starts: BTreeMap<AttemptId, u32>,
    epoch: Epoch,
    number: u64,
    lease_until: Millis,
    tasks: BTreeMap<AttemptId, TaskAttempt>,
    acknowledged: BTreeSet<AttemptId>,
    advanced_to: Millis,
}

impl TaskAttempt {
    /// How long it has run, in milliseconds; time while throttled counts in full.
    pub fn ran_ms(&self) -> Millis {
        self.ran_ms
    }
}

impl FakeWorker {
    /// Creates a worker without tasks and without a lease.
    pub fn new(worker: WorkerId, capacity: ResourceSize) -> Self {
        Self {
            worker,
            capacity,
            broken: false,
            usage_cpu_millis: None,
            progress_ms: 0,
            wasted_ms: 0,
            starts: BTreeMap::new(),
            epoch: 0,
            number: 0,
            lease_until: 0,
            tasks: BTreeMap::new(),
            acknowledged: BTreeSet::new(),
            advanced_to: 0,
        }
    }

    /// The running attempts.
    pub fn running(&self) -> impl Iterator<Item = &TaskAttempt> {
        self.tasks
            .values()
            .filter(|task| task.phase == AttemptPhase::Running)
    }

    /// The running attempts, for changes of their speed.
    pub fn running_mut(&mut self) -> impl Iterator<Item = &mut TaskAttempt> {
        self.tasks
            .values_mut()
            .filter(|task| task.phase == AttemptPhase::Running)
    }

    /// The resources that a task actually uses.
    pub fn usage_of(&self, task: &TaskAttempt) -> ResourceSize {
        ResourceSize {
            cpu_millis: self.usage_cpu_millis.unwrap_or(task.size.cpu_millis),
            ..task.size
        }
    }

    /// Advances the worker's clock to `now`, in milliseconds: tasks make progress and end, and all running tasks stop where
    /// the lease has expired.
    pub fn advance(&mut self, now: Millis) {
        let until = now.min(self.lease_until);
        let elapsed_ms = until.saturating_sub(self.advanced_to);
        let broken = self.broken;
        let mut progress = 0;
        for task in self.running_mut() {
            advance_task(task, elapsed_ms, broken);
            progress += elapsed_ms * task.speed / FULL_SPEED;
        }
        self.progress_ms += progress;
        if now > self.lease_until {
            let mut wasted = 0;
            for task in self.running_mut() {
                task.phase = AttemptPhase::Stopped;
                wasted += task.ran_ms;
            }
            self.wasted_ms += wasted;
        }
        self.advanced_to = now;
    }

    /// Handles a message that arrives at `now` and returns the answer. A message that is outdated or whose stamp has expired
    /// is refused, and none of its orders is executed.
    pub fn handle(&mut self, now: Millis, orders: &WorkerOrders) -> WorkerReport {
        self.advance(now);
        if (orders.epoch, orders.number) <= (self.epoch, self.number) {
            return self.report(now, Some(OrderRefusal::Outdated), false);
        }
        self.epoch = orders.epoch;
        self.number = orders.number;
        let lease_end = orders.stamp + orders.lease_ms;
        if orders.stamp == 0 || lease_end <= now {
            return self.report(now, Some(OrderRefusal::StampExpired), false);
        }
        self.lease_until = lease_end;
        for attempt in &orders.acknowledged {
            self.forget(attempt);
        }
        for order in &orders.orders {
            self.execute(order);
        }
        self.report(now, None, orders.inventory)
    }

    fn forget(&mut self, attempt: &AttemptId) {
        let ended = self
            .tasks
            .get(attempt)
            .is_some_and(|task| task.phase != AttemptPhase::Running);
        if ended {
            self.tasks.remove(attempt);
            self.acknowledged.insert(attempt.clone());
        }
    }

    fn execute(&mut self, order: &TaskOrder) {
        match order {
            TaskOrder::Start(start) => self.start(start),
            TaskOrder::Checkpoint(attempt) => self.end(attempt, true),
            TaskOrder::Stop(attempt) => self.end(attempt, false),
            TaskOrder::Throttle(attempt, percent) => {
                if let Some(task) = self.tasks.get_mut(attempt) {
                    task.speed = u64::from(*percent);
                }
            }
        }
    }

    fn start(&mut self, order: &StartOrder) {
        if self.tasks.contains_key(&order.attempt) {
            return;
        }
        let phase = if self.has_room(&order.size) {
            *self.starts.entry(order.attempt.clone()).or_default() += 1;
            AttemptPhase::Running
        } else {
            AttemptPhase::Refused
        };
        let kind = ProgramKind::of(order);
        let work_ms = match kind {
            ProgramKind::Run(run_ms) => run_ms,
            ProgramKind::Fail => FAIL_AFTER_MS,
        };
        let task = TaskAttempt {
            attempt: order.attempt.clone(),
            size: order.size,
            phase,
            speed: FULL_SPEED,
            done_percent_ms: order.checkpoint.as_deref().map_or(0, progress_of),
            total_percent_ms: work_ms * FULL_SPEED,
            kind,
            checkpointable: order.checkpointable,
            ran_ms: 0,
        };
        self.tasks.insert(order.attempt.clone(), task);
    }

    fn has_room(&self, size: &ResourceSize) -> bool {
        let held = self
            .running()
            .try_fold(*size, |sum, task| sum.plus(&task.size));
        held.is_ok_and(|held| held.fits_in(&self.capacity))
    }

    fn end(&mut self, attempt: &AttemptId, checkpoint: bool) {
        let Some(task) = self.tasks.get_mut(attempt) else {
            return;
        };
        if task.phase != AttemptPhase::Running {
            return;
        }
        task.phase = if checkpoint && task.checkpointable {
            AttemptPhase::Checkpointed(format!("{attempt}@{}", task.done_percent_ms))
        } else {
            self.wasted_ms += task.ran_ms;
            AttemptPhase::Stopped
        };
    }

    fn report(&self, now: Millis, refusal: Option<OrderRefusal>, inventory: bool) -> WorkerReport {
        let listed = self
            .tasks
            .values()
            .filter(|task| inventory || task.phase != AttemptPhase::Running);
        let attempts = if refusal.is_some() {
            Vec::new()
        } else {
            listed
                .map(|task| report_of(task, self.usage_of(task)))
                .collect()
        };
        WorkerReport {
            epoch: self.epoch,
            stamp: now + 1,
            refusal,
            capacity: self.capacity,
            inventory,
            running: self.running().count() as u32,
            attempts,
        }
    }
}

/// Adds `elapsed_ms` of run time to a running task, and ends the task where its work is done or it has failed.
fn advance_task(task: &mut TaskAttempt, elapsed_ms: Millis, broken: bool) {
    task.done_percent_ms += elapsed_ms * task.speed;
    task.ran_ms += elapsed_ms;
    if broken && task.ran_ms >= FAIL_AFTER_MS {
        task.phase = AttemptPhase::Failed;
    } else if task.done_percent_ms >= task.total_percent_ms {
        task.phase = match task.kind {
            ProgramKind::Run(_) => AttemptPhase::Finished(format!("out/{}", task.attempt)),
            ProgramKind::Fail => AttemptPhase::Failed,
        };
    }
}

fn report_of(task: &TaskAttempt, usage: ResourceSize) -> AttemptReport {
    AttemptReport {
        attempt: task.attempt.clone(),
        phase: task.phase.clone(),
        size: task.size,
        usage,
        ran_ms: task.ran_ms,
    }
}

/// Parses the work done, as speed in percent times milliseconds, from a checkpoint's key (`ATTEMPT@WORK`); 0 where it can't
/// be parsed.
fn progress_of(checkpoint: &str) -> u64 {
    let digits = checkpoint.rsplit('@').next();
    digits.and_then(|digits| digits.parse().ok()).unwrap_or(0)
}
