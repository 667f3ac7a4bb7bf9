//! Builds the views of a plan from the scheduler's state.

use std::collections::HashMap;

use sandshelf_model::{Millis, WorkerId};

use super::away::StepAllowance;
use super::inputs::{GangView, PlanViews, RunKind, RunOutlook, RunView, WorkerView};
use crate::ids::{JobNumber, RunKey, TaskKey};
use crate::limits::CLEARED_AFTER_MS;
use crate::run::{RunPhase, RunRecord};
use crate::scheduler::JobScheduler;
use crate::worker::WorkerState;

/// The progress from which on the time that a run still needs is computed from its own pace, in percent.
const MIN_PERCENT_FOR_PACE: u32 = 10;
/// The share of its work that a standing task does while it is at work, in percent.
const AT_WORK_PERCENT: u32 = 100;

/// What the runs of a step have in common.
#[derive(Clone, Copy, Debug)]
struct StepFacts {
    priority: u32,
    /// The index of a standing step's allowance.
    allowance: Option<usize>,
    gang: bool,
    checkpoints: bool,
}

/// A standing step while its tasks at work are counted.
struct StandingStep {
    count: u32,
    at_work: u32,
    may_miss: Option<u32>,
}

/// The views in the making.
struct ViewBuilder<'a> {
    scheduler: &'a JobScheduler,
    now: Millis,
    views: PlanViews,
    facts: HashMap<(JobNumber, u32, u32), Option<StepFacts>>,
    standing: Vec<StandingStep>,
    gangs: HashMap<(TaskKey, u64), usize>,
}

/// The views of the workers in the given order.
pub(crate) fn plan_views(
    scheduler: &JobScheduler,
    now: Millis,
    workers: &[&WorkerId],
) -> PlanViews {
    let mut builder = ViewBuilder {
        scheduler,
        now,
        views: PlanViews::default(),
        facts: HashMap::new(),
        standing: Vec::new(),
        gangs: HashMap::new(),
    };
    for (place, id) in workers.iter().enumerate() {
        let worker = scheduler.workers.get(*id);
        let view = worker.map(|worker| builder.worker_view(place, id, worker));
        builder.views.workers.push(view.unwrap_or_default());
    }
    builder.finish()
}

impl ViewBuilder<'_> {
    fn worker_view(&mut self, place: usize, id: &WorkerId, worker: &WorkerState) -> WorkerView {
        let mut runs = Vec::with_capacity(worker.runs.len());
        for (key, record) in &worker.runs {
            let view = self.run_view((place, runs.len()), worker, key, record);
            runs.push(view);
        }
        let holds = &self.scheduler.preemption.holds;
        WorkerView {
            capacity: worker.entry.capacity,
            runs,
            held: holds.unused_rooms(id, &worker.runs).collect(),
            lends: holds.lends(id),
        }
    }

    fn run_view(
        &mut self,
        at: (usize, usize),
        worker: &WorkerState,
        key: &RunKey,
        record: &RunRecord,
    ) -> RunView {
        let mut view = RunView {
            key: *key,
            room: record.room,
            priority: 0,
            kind: RunKind::Ending,
            outlook: match record.phase.is_stopping() {
                true => self.stopping_outlook(record),
                false => RunOutlook::Stays,
            },
            lost_work: 0,
        };
        let Some(facts) = self.step_facts(&key.task) else {
            return view;
        };
        view.priority = facts.priority;
        if let Some(step) = facts.allowance {
            view.kind = RunKind::Standing(step);
            self.view_standing(&mut view, (step, facts.gang), worker, record);
            return view;
        }
        if let RunPhase::Running(_) = record.phase {
            view.lost_work = self.lost_work(record, facts.checkpoints);
            view.outlook = match self.ends_before_stop(worker, record) {
                true => RunOutlook::Leaves,
                false => self.stop_outlook(&key.task),
            };
        }
        if facts.gang {
            view.kind = self.member(at, key);
        }
        view
    }

    /// A run whose stop has timed out may go on for any time.
    fn stopping_outlook(&self, record: &RunRecord) -> RunOutlook {
        let RunPhase::Stopping { sent, .. } = record.phase else {
            return RunOutlook::Stays;
        };
        let limit_ms = self.scheduler.hold_limits().pending_ms();
        match self.now < sent + limit_ms {
            true => RunOutlook::Leaves,
            false => RunOutlook::Stays,
        }
    }

    /// Views a standing run; it counts as at work if nothing speaks against it. A standing gang is never stopped: the end of one member
    /// would end all, more than the step may miss.
    fn view_standing(
        &mut self,
        view: &mut RunView,
        (step, gang): (usize, bool),
        worker: &WorkerState,
        record: &RunRecord,
    ) {
        let running = matches!(record.phase, RunPhase::Running(_));
        let leaves = worker.entry.draining || worker.missing || worker.entry_incarnation_differs();
        let heard = worker.unsure_since.is_none() && !worker.is_silent(self.now);
        let known = heard && self.outlasts_earlier_owner(worker, record);
        let at_work = running && known && !leaves && record.percent >= AT_WORK_PERCENT;
        if !at_work {
            return;
        }
        self.standing[step].at_work += 1;
        let limits = &self.scheduler.limits;
        let away_ms = limits.stop_timeout_ms + limits.restore_ms;
        view.lost_work = away_ms * record.cpu_millis / 1_000;
        if !gang {
            view.outlook = self.stop_outlook(&view.key.task);
        }
    }

    fn stop_outlook(&self, task: &TaskKey) -> RunOutlook {
        match self.scheduler.preemption.may_stop_again(self.now, task) {
            true => RunOutlook::Stoppable,
            false => RunOutlook::Stays,
        }
    }

    /// Whether no stop that an earlier owner sent can end a run any more. This owner would not know of it before the run ends. A worker
    /// that has answered this owner takes no further orders of earlier ones.
    fn outlasts_earlier_owner(&self, worker: &WorkerState, record: &RunRecord) -> bool {
        if record.ordered_at > 0 {
            return true;
        }
        let clock = worker.incarnation.clock(self.now);
        let adopted_at = record.began.map(|began| began + CLEARED_AFTER_MS);
        let limit_ms = self.scheduler.limits.stop_timeout_ms;
        let times = clock.zip(adopted_at);
        times.is_some_and(|(clock, adopted_at)| clock > adopted_at + limit_ms)
    }

    /// The work that a stop of a run loses, in core-milliseconds: all of it, or what its newest checkpoint doesn't contain.
    fn lost_work(&self, record: &RunRecord, checkpoints: bool) -> u64 {
        let kept = match checkpoints && record.checkpoint.is_some() {
            true => record.checkpoint_percent,
            false => 0,
        };
        let lost_percent = record.percent.saturating_sub(kept);
        let lost_ms = record.chain.own_ms * u64::from(lost_percent) / 100;
        let restart_ms = self.scheduler.limits.restore_ms;
        (lost_ms + restart_ms) * record.cpu_millis / 1_000
    }

    /// Whether a run ends before a stop of it would.
    fn ends_before_stop(&self, worker: &WorkerState, record: &RunRecord) -> bool {
        let left_ms = time_left(self.now, worker.last_answer, record);
        left_ms <= self.scheduler.limits.stop_timeout_ms
    }

    /// Records the member of a gang.
    fn member(&mut self, at: (usize, usize), key: &RunKey) -> RunKind {
        let gangs = &mut self.views.gangs;
        let index = self.gangs.entry((key.task.first_of_step(), key.run));
        let index = *index.or_insert_with(|| {
            gangs.push(GangView::default());
            gangs.len() - 1
        });
        gangs[index].members.push(at);
        RunKind::Member(index)
    }

    fn step_facts(&mut self, key: &TaskKey) -> Option<StepFacts> {
        let id = (key.job, key.time, key.step);
        if let Some(facts) = self.facts.get(&id) {
            return *facts;
        }
        let facts = self.read_facts(key);
        self.facts.insert(id, facts);
        facts
    }

    fn read_facts(&mut self, key: &TaskKey) -> Option<StepFacts> {
        let job = self.scheduler.jobs.get(&key.job)?;
        let step = job.step_spec(key)?;
        let allowance = step.standing.then(|| {
            self.standing.push(StandingStep {
                count: step.count,
                at_work: 0,
                may_miss: step.may_miss,
            });
            self.standing.len() - 1
        });
        Some(StepFacts {
            priority: self.scheduler.rules(&job.spec).priority,
            allowance,
            gang: step.gang,
            checkpoints: step.checkpoints,
        })
    }

    fn finish(mut self) -> PlanViews {
        let steps = self.standing.iter();
        let allowances =
            steps.map(|step| StepAllowance::new(step.count, step.at_work, step.may_miss));
        self.views.allowances = allowances.collect();
        self.settle_gangs();
        let stretch = self.scheduler.backlog.stretch();
        self.views.spare_lenders = self.scheduler.preemption.holds.spare_lenders(stretch);
        self.views
    }

    /// Makes gangs whole: each member's loss is that of the gang, and no member may be stopped unless all may.
    fn settle_gangs(&mut self) {
        let PlanViews { workers, gangs, .. } = &mut self.views;
        for gang in gangs {
            let members = gang.members.iter();
            let members: Vec<RunView> = members.map(|(at, run)| workers[*at].runs[*run]).collect();
            let lost_work = members.iter().map(|member| member.lost_work).sum();
            let leaves = members.iter().any(|run| run.outlook == RunOutlook::Leaves);
            let stays = members.iter().any(|run| run.outlook == RunOutlook::Stays);
            for (at, run) in &gang.members {
                let view = &mut workers[*at].runs[*run];
                view.lost_work = lost_work;
                // The end of one member ends all.
                view.outlook = match (leaves, stays) {
                    (true, _) => RunOutlook::Leaves,
                    (false, true) => RunOutlook::Stays,
                    (false, false) => RunOutlook::Stoppable,
                };
            }
        }
    }
}

/// The time that a run still needs, in milliseconds: by its own pace where its progress is known, else by its estimate. A run that has
/// outlasted its estimate is assumed to need as long again.
fn time_left(now: Millis, reported_at: Millis, record: &RunRecord) -> Millis {
    let began = record.ordered_at;
    let resumed = record.checkpoint.is_some();
    if began > 0 && !resumed && record.percent >= MIN_PERCENT_FOR_PACE {
        let worked_ms = reported_at.saturating_sub(began);
        let percent = u64::from(record.percent.min(100));
        let needed_ms = worked_ms * (100 - percent) / percent;
        return needed_ms.saturating_sub(now.saturating_sub(reported_at));
    }
    if began == 0 || record.percent > 0 {
        return record.chain.own_ms * u64::from(100 - record.percent.min(100)) / 100;
    }
    let worked_ms = now.saturating_sub(began);
    match worked_ms < record.chain.own_ms {
        true => record.chain.own_ms - worked_ms,
        false => worked_ms,
    }
}
