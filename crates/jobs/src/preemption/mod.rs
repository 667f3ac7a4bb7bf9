//! Preemption: stops less urgent runs where a more urgent task, or a short one, finds no capacity.
//!
//! Handles the load in which less urgent work holds all capacity: filling tasks hold the memory, or standing tasks hold the processors
//! while short tasks wait. After a placement pass that left such a task waiting, [`plan::plan_preemptions`] chooses the runs to stop
//! from views of the workers. The freed capacity is held ([`holds`]) for the waiting task and for short tasks that follow it.
//!
//! All state is in memory. A new owner plans anew, once the stops of the previous owner have taken effect.

pub(crate) mod away;
mod demands;
pub(crate) mod holds;
pub(crate) mod inputs;
pub(crate) mod plan;
mod views;

use std::collections::HashMap;

use sandshelf_model::{Millis, ResourceSize, WorkerId};

use self::demands::{task_length, TaskDemand};
use self::holds::{CapacityHold, EndedHold, HoldLimits, HoldTable};
use self::inputs::{PlanViews, RoomScope, RunKind, TaskScope};
use self::plan::{plan_preemptions, PreemptionChoice, MAX_DEMANDS_COMPARED};
use crate::cost::Candidate;
use crate::ids::{RunKey, TaskKey};
use crate::job::TaskStage;
use crate::limits::TICK_MS;
use crate::note::{JobNote, PreemptionReport, StopCause};
use crate::scheduler::JobScheduler;
use crate::worker::WorkerState;

/// The shortest time between two plans; stretched while the owner is behind. A plan costs a weak host some milliseconds.
const PLAN_INTERVAL_MS: Millis = 50;
/// The same after a plan that found nothing to stop: allowances return within seconds.
const FRUITLESS_PLAN_INTERVAL_MS: Millis = 150;
/// For how long a preempted task is not preempted again.
const REPEAT_PAUSE_MS: Millis = 10_000;

/// The owner's memory of its preemptions.
#[derive(Clone, Debug, Default)]
pub(crate) struct PreemptionState {
    pub(crate) holds: HoldTable,
    /// When each task was last preempted.
    stopped_at: HashMap<TaskKey, Millis>,
    /// The first demand for which the next plan looks for runs to stop.
    first_demand: usize,
    /// From when on the next plan may be made.
    next_plan_at: Millis,
    refreshed_at: Millis,
}

impl PreemptionState {
    /// Whether a task was not preempted lately.
    pub(crate) fn may_stop_again(&self, now: Millis, task: &TaskKey) -> bool {
        let stopped_at = self.stopped_at.get(task);
        stopped_at.is_none_or(|at| now >= at + REPEAT_PAUSE_MS)
    }
}

impl JobScheduler {
    /// Stops less urgent runs for tasks that the placement pass has left waiting.
    pub(crate) fn preempt_for_waiting(&mut self, now: Millis) {
        if !self.limits.policies.preemption {
            return;
        }
        self.refresh_holds(now);
        let pass_done = self.last_pass == now && self.pass_left_tasks;
        if !pass_done || now < self.preemption.next_plan_at {
            return;
        }
        let order = self.worker_order.clone().unwrap_or_default();
        let workers: Vec<&WorkerId> = order.iter().collect();
        let demands = self.preemption_demands(now, &workers);
        if demands.is_empty() {
            return;
        }
        let mut views = views::plan_views(self, now, &workers);
        let wanted: Vec<_> = demands.iter().map(|demand| demand.view.clone()).collect();
        let first = self.preemption.first_demand;
        let choices = plan_preemptions(&mut views, &wanted, first);
        let next = first + MAX_DEMANDS_COMPARED;
        let fruitless = choices.is_empty();
        let goes_on = fruitless && next < wanted.len();
        self.preemption.first_demand = if goes_on { next } else { 0 };
        let pause = match fruitless && !goes_on {
            true => FRUITLESS_PLAN_INTERVAL_MS,
            false => PLAN_INTERVAL_MS,
        };
        self.preemption.next_plan_at = now + self.backlog.stretched_pause_ms(pause);
        for choice in choices {
            let demand = &demands[choice.demand];
            self.carry_out(now, &workers, demand, &choice, &views);
        }
    }

    /// Sends the stops of a choice and holds the capacity that they free.
    fn carry_out(
        &mut self,
        now: Millis,
        workers: &[&WorkerId],
        demand: &TaskDemand,
        choice: &PreemptionChoice,
        views: &PlanViews,
    ) {
        let target = workers[choice.worker];
        self.note_choice(now, target, demand, choice, views);
        let mut awaited = Vec::new();
        let mut lent = false;
        for (worker, run) in &choice.stops {
            let view = &views.workers[*worker].runs[*run];
            self.preemption.stopped_at.insert(view.key.task, now);
            lent |= matches!(view.kind, RunKind::Standing(_));
            if *worker == choice.worker {
                awaited.push(view.key);
            }
            self.stop_run(now, workers[*worker], view.key, StopCause::Preempted);
        }
        for _ in 0..choice.served {
            let hold = CapacityHold {
                scope: demand.view.scope.room_scope(),
                room: demand.view.room,
                lent,
                waiter: demand.first,
                since: now,
                awaited: awaited.clone(),
                user: None,
                uses: 0,
                unused_since: None,
                part_unused_since: None,
            };
            self.preemption.holds.add(target.clone(), hold);
        }
    }

    fn note_choice(
        &mut self,
        now: Millis,
        target: &WorkerId,
        demand: &TaskDemand,
        choice: &PreemptionChoice,
        views: &PlanViews,
    ) {
        let stopped = choice.stops.iter();
        let stopped = stopped.map(|(worker, run)| &views.workers[*worker].runs[*run]);
        let steps: Vec<usize> = stopped
            .filter_map(|run| match run.kind {
                RunKind::Standing(step) => Some(step),
                RunKind::Ending | RunKind::Member(_) => None,
            })
            .collect();
        let allowances = steps.iter().map(|step| &views.allowances[*step]);
        let tightest = allowances.min_by_key(|allowance| allowance.spare());
        let heard_at = self.workers.get(target).map(|state| state.last_answer);
        self.note(JobNote::Preempted(PreemptionReport {
            waiter: demand.first,
            worker: target.clone(),
            priority: demand.view.scope.priority,
            waiting: demand.view.count,
            waited_ms: now.saturating_sub(demand.waiting_since),
            served: choice.served,
            stopped: choice.stops.len(),
            standing: steps.len(),
            lost_work: choice.lost_work,
            away: tightest.map_or(0, |allowance| allowance.away()),
            may_miss: tightest.map_or(0, |allowance| allowance.may_miss()),
            heard_ms: now.saturating_sub(heard_at.unwrap_or(now)),
        }));
    }

    pub(crate) fn hold_limits(&self) -> HoldLimits {
        HoldLimits {
            stop_timeout_ms: self.limits.stop_timeout_ms,
            // A standing task that returns and is stopped again loses as much as this.
            unused_ms: self.limits.restore_ms,
        }
    }

    /// Looks up what became of the holds; capacity whose hold has ended is given to whatever waits.
    fn refresh_holds(&mut self, now: Millis) {
        if now < self.preemption.refreshed_at + TICK_MS {
            return;
        }
        self.preemption.refreshed_at = now;
        let mut stopped_at = std::mem::take(&mut self.preemption.stopped_at);
        stopped_at.retain(|task, at| now < *at + REPEAT_PAUSE_MS || self.is_stopping(task));
        self.preemption.stopped_at = stopped_at;
        if self.preemption.holds.is_empty() {
            return;
        }
        let limits = self.hold_limits();
        let mut holds = std::mem::take(&mut self.preemption.holds);
        let runs = |id: &WorkerId| self.workers.get(id).map(|worker| &worker.runs);
        let scope_of = |key: &RunKey| self.scope_of(&key.task);
        let ended = holds.refresh(now, &limits, runs, scope_of);
        self.preemption.holds = holds;
        self.room_changed |= !ended.is_empty();
        for EndedHold {
            worker,
            hold,
            outcome,
        } in ended
        {
            self.note(JobNote::HoldEnded {
                waiter: hold.waiter,
                worker,
                outcome,
                uses: hold.uses,
                lasted_ms: now.saturating_sub(hold.since),
            });
        }
    }

    /// Which rooms a task may use; none if its job is not known.
    fn scope_of(&self, task: &TaskKey) -> Option<TaskScope> {
        let job = self.jobs.get(&task.job)?;
        let step = job.step_spec(task)?;
        Some(TaskScope {
            priority: self.rules(&job.spec).priority,
            length: task_length(step, self.limits.away_after_ms),
        })
    }

    /// The capacity of a worker that a task may use beside what is held there for others.
    pub(crate) fn unheld_capacity(
        &self,
        id: &WorkerId,
        worker: &WorkerState,
        candidate: &Candidate<'_>,
        free: ResourceSize,
    ) -> ResourceSize {
        let holds = &self.preemption.holds;
        if holds.of(id).is_empty() {
            return free;
        }
        let scope = self.scope_of(&candidate.key);
        let admits = |room: &RoomScope| scope.is_some_and(|scope| room.admits(&scope));
        let rooms = holds.unused_rooms(id, &worker.runs);
        let rooms = rooms.filter(|(held_for, _)| !admits(held_for));
        rooms.fold(free, |free, (_, room)| free.saturating_minus(&room))
    }

    /// Whether the stop of a standing task has to wait: the stop of a preempted task of its step is under way, and the step would then
    /// miss more than it may when that stop ends a task at work.
    pub(crate) fn must_await_preemption(&self, now: Millis, run: &RunKey) -> bool {
        let mut stopped = self.preemption.stopped_at.iter();
        let step = run.task.first_of_step();
        let under_way = |(task, at): (&TaskKey, &Millis)| {
            now < *at + self.hold_limits().pending_ms()
                && task.first_of_step() == step
                && self.is_stopping(task)
        };
        if !stopped.any(under_way) {
            return false;
        }
        // Beside the preempted task, which is one of these, at most `may_miss` less one may be unavailable.
        self.others_missed(now, &run.task)
            .is_some_and(|(away, may_miss)| away + 1 > may_miss)
    }

    /// Whether the stop of a preempted task, of which no answer has arrived, must not be ordered again: so many others of its step have
    /// become unavailable since.
    pub(crate) fn must_not_stop_again(&self, now: Millis, run: &RunKey) -> bool {
        if !self.preemption.stopped_at.contains_key(&run.task) {
            return false;
        }
        let job = self.jobs.get(&run.task.job);
        let step = job.and_then(|job| job.step_spec(&run.task));
        let missed = self.others_missed(now, &run.task);
        step.is_some_and(|step| step.standing)
            && missed.is_some_and(|(away, may_miss)| away >= may_miss)
    }

    /// How many other tasks of a step are not at work, and how many the step may miss.
    fn others_missed(&self, now: Millis, task: &TaskKey) -> Option<(usize, usize)> {
        let job = self.jobs.get(&task.job)?;
        let (spec, step) = (job.step_spec(task)?, job.step(task)?);
        let others = (0u32..).zip(&step.tasks);
        let others = others.filter(|(index, _)| *index != task.index);
        let away = others.filter(|(index, state)| {
            let key = TaskKey {
                index: *index,
                ..*task
            };
            !self.is_at_work(now, &key, state)
        });
        Some((away.count(), spec.may_miss.unwrap_or(0) as usize))
    }

    /// Whether the run of a task is being stopped.
    fn is_stopping(&self, task: &TaskKey) -> bool {
        let job = self.jobs.get(&task.job);
        let stage = job.and_then(|job| job.task(task)).map(|task| &task.stage);
        let Some(TaskStage::Live { worker, run }) = stage else {
            return false;
        };
        let key = RunKey {
            task: *task,
            run: *run,
        };
        let record = self.workers.get(worker);
        let record = record.and_then(|worker| worker.runs.get(&key));
        record.is_some_and(|record| record.phase.is_stopping())
    }

    /// The number of holds and the processors that they hold, in thousandths of a core, for gauges.
    pub(crate) fn held_capacity(&self) -> (usize, u64) {
        let holds = self.preemption.holds.all();
        holds.fold((0, 0), |(count, cpu_millis), hold| {
            (count + 1, cpu_millis + hold.room.cpu_millis)
        })
    }
}
