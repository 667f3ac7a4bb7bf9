//! The waiting tasks for which runs may be stopped, grouped by what they need.

use sandshelf_model::{Millis, ResourceSize, WorkerId};
use sandshelf_place::WorkerHealth;

use super::plan::{DemandView, RoomScope};
use crate::crash::StartCaution;
use crate::due::CompletionValue;
use crate::ids::TaskKey;
use crate::job::JobState;
use crate::scheduler::JobScheduler;
use crate::spec::StepSpec;
use crate::worker::WorkerState;

/// The most waiting tasks that one plan considers.
const MAX_TASKS_PER_PLAN: usize = 512;
/// The most groups of waiting tasks that one plan considers. Each is compared with all workers.
const MAX_DEMANDS_PER_PLAN: usize = 4;
/// By which factor estimates of run times may be too low.
const ESTIMATE_ERROR_FACTOR: Millis = 2;

/// What waiting tasks of one group have in common.
#[derive(Clone, Debug, PartialEq)]
struct DemandClass<'a> {
    service: &'a str,
    guarded: bool,
    room: ResourceSize,
    scope: RoomScope,
    short: bool,
    label: Option<&'a str>,
    /// The step, if the number of its tasks on one worker is limited.
    limited_step: Option<TaskKey>,
}

/// A group of waiting tasks.
struct DemandGroup<'a> {
    class: DemandClass<'a>,
    first: TaskKey,
    waiting_since: Millis,
    count: usize,
}

/// A demand with the task that has waited for longest.
pub(crate) struct TaskDemand {
    pub(crate) view: DemandView,
    pub(crate) first: TaskKey,
    /// Since when that task has waited.
    pub(crate) waiting_since: Millis,
}

/// Whether a task of this step ends so soon that a standing task whose capacity it uses is back before it counts as unavailable.
pub(crate) fn is_short(step: &StepSpec, away_after_ms: Millis) -> bool {
    let ends = !step.standing && !step.fills;
    ends && step.estimate_ms * ESTIMATE_ERROR_FACTOR <= away_after_ms
}

impl JobScheduler {
    /// Whether runs may be stopped for a waiting task; `lowest` is the lowest priority of any job.
    fn may_demand(&self, now: Millis, job: &JobState, key: &TaskKey, lowest: u32) -> bool {
        let Some(step) = job.step_spec(key) else {
            return false;
        };
        let short = is_short(step, self.limits.away_after_ms);
        let urgent = short || self.rules(&job.spec).priority < lowest;
        if !urgent || step.gang || self.caution_of(key) != StartCaution::Usual {
            return false;
        }
        let earliest_end = now + self.limits.stop_timeout_ms + job.remaining_ms();
        step.standing || job.due.value_at(earliest_end) != CompletionValue::Zero
    }

    /// The waiting tasks for which runs may be stopped, the most urgent group first.
    pub(crate) fn preemption_demands(&self, now: Millis, workers: &[&WorkerId]) -> Vec<TaskDemand> {
        let jobs = self.jobs.values();
        let priorities = jobs.map(|job| self.rules(&job.spec).priority);
        let Some(lowest) = priorities.max() else {
            return Vec::new();
        };
        let mut groups: Vec<DemandGroup<'_>> = Vec::new();
        for wait in self.waiting.iter().take(MAX_TASKS_PER_PLAN) {
            let Some(job) = self.jobs.get(&wait.task.job) else {
                continue;
            };
            if !self.may_demand(now, job, &wait.task, lowest) {
                continue;
            }
            if let Some(class) = self.demand_class(job, &wait.task) {
                let since = job.task(&wait.task).map_or(now, |task| task.waiting_since);
                add_task(&mut groups, class, wait.task, since);
            }
        }
        groups.sort_by_key(|group| (group.class.scope, group.waiting_since));
        let groups = groups.into_iter().take(MAX_DEMANDS_PER_PLAN);
        let demands = groups.map(|group| self.task_demand(now, group, workers));
        demands.collect()
    }

    fn demand_class<'a>(&'a self, job: &'a JobState, key: &TaskKey) -> Option<DemandClass<'a>> {
        let step = job.step_spec(key)?;
        let rules = self.rules(&job.spec);
        Some(DemandClass {
            service: &rules.service,
            guarded: rules.guarded,
            room: step.room(),
            scope: RoomScope {
                priority: rules.priority,
                standing: step.standing,
            },
            short: is_short(step, self.limits.away_after_ms),
            label: step.label.as_deref(),
            limited_step: (step.most_per_worker > 0).then(|| key.first_of_step()),
        })
    }

    fn task_demand(
        &self,
        now: Millis,
        group: DemandGroup<'_>,
        workers: &[&WorkerId],
    ) -> TaskDemand {
        let fit = workers.iter().enumerate().filter(|(_, id)| {
            let worker = self.workers.get(**id);
            worker.is_some_and(|worker| self.may_run_on(now, id, worker, &group))
        });
        let view = DemandView {
            room: group.class.room,
            count: group.count,
            scope: group.class.scope,
            short: group.class.short,
            most_per_worker: match group.class.limited_step {
                Some(_) => 1,
                None => usize::MAX,
            },
            workers: fit.map(|(index, _)| index).collect(),
        };
        TaskDemand {
            view,
            first: group.first,
            waiting_since: group.waiting_since,
        }
    }

    /// Whether tasks of a group may run on a worker, apart from its capacity. The capacity of a worker that doesn't guard it has to be
    /// known in full.
    fn may_run_on(
        &self,
        now: Millis,
        id: &WorkerId,
        worker: &WorkerState,
        group: &DemandGroup<'_>,
    ) -> bool {
        let class = &group.class;
        let has_label = |label: &str| worker.entry.labels.iter().any(|own| own == label);
        if !worker.is_open(now) || worker.entry.service != class.service {
            return false;
        }
        if !class.label.is_none_or(has_label) || !self.crashes.allows_start(id, &group.first) {
            return false;
        }
        if self.quarantine.health(id, now) != WorkerHealth::Healthy {
            return false;
        }
        if !class.guarded && self.free_capacity(now, id, worker, false) != worker.free() {
            return false;
        }
        class
            .limited_step
            .is_none_or(|step| self.may_add(worker, &step))
    }

    /// Whether one more task of a step may run on a worker.
    fn may_add(&self, worker: &WorkerState, step: &TaskKey) -> bool {
        let job = self.jobs.get(&step.job);
        let most = job
            .and_then(|job| job.step_spec(step))
            .map_or(0, |spec| spec.most_per_worker);
        let runs = worker.runs.keys();
        let held = runs.filter(|run| run.task.first_of_step() == *step).count();
        held < most as usize
    }
}

fn add_task<'a>(
    groups: &mut Vec<DemandGroup<'a>>,
    class: DemandClass<'a>,
    task: TaskKey,
    waiting_since: Millis,
) {
    match groups.iter_mut().find(|group| group.class == class) {
        Some(group) => {
            group.count += 1;
            if waiting_since < group.waiting_since {
                group.waiting_since = waiting_since;
                group.first = task;
            }
        }
        None => groups.push(DemandGroup {
            class,
            first: task,
            waiting_since,
            count: 1,
        }),
    }
}
