//! The waiting tasks for which runs may be stopped, grouped by what they need.

use std::rc::Rc;

use sandshelf_model::{Millis, ResourceSize, WorkerId};
use sandshelf_place::WorkerHealth;

use super::inputs::{DemandView, TaskLength, TaskScope};
use crate::crash::StartCaution;
use crate::due::CompletionValue;
use crate::ids::TaskKey;
use crate::job::JobState;
use crate::scheduler::JobScheduler;
use crate::spec::StepSpec;
use crate::worker::WorkerState;

/// The most waiting tasks that one plan looks at.
const MAX_TASKS_PER_PLAN: usize = 2_000;
/// The most groups of waiting tasks that one plan considers.
const MAX_DEMANDS_PER_PLAN: usize = 32;
/// By which factor estimates of run times may be too low.
const ESTIMATE_ERROR_FACTOR: Millis = 2;

/// On which workers tasks may run, apart from capacity.
#[derive(Clone, Debug, PartialEq)]
struct PlaceClass<'a> {
    service: &'a str,
    guarded: bool,
    label: Option<&'a str>,
    /// The step, if the number of its tasks on one worker is limited.
    limited_step: Option<TaskKey>,
}

/// What waiting tasks of one group have in common.
#[derive(Clone, Debug, PartialEq)]
struct DemandClass<'a> {
    places: PlaceClass<'a>,
    room: ResourceSize,
    scope: TaskScope,
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

/// How long tasks of a step use capacity, where a standing task counts as unavailable after `away_after_ms`.
pub(crate) fn task_length(step: &StepSpec, away_after_ms: Millis) -> TaskLength {
    if step.standing {
        return TaskLength::Standing;
    }
    let longest_ms = step.estimate_ms * ESTIMATE_ERROR_FACTOR;
    match !step.fills && longest_ms <= away_after_ms {
        true => TaskLength::Short,
        false => TaskLength::Long,
    }
}

impl JobScheduler {
    /// Whether runs may be stopped for tasks of a step; `lowest` is the lowest priority of any queue.
    fn may_demand(&self, now: Millis, job: &JobState, step: &StepSpec, lowest: u32) -> bool {
        let short = task_length(step, self.limits.away_after_ms) == TaskLength::Short;
        let urgent = short || self.rules(&job.spec).priority < lowest;
        if !urgent || step.gang {
            return false;
        }
        let earliest_end = now + self.limits.stop_timeout_ms + job.remaining_ms();
        step.standing || job.due.value_at(earliest_end) != CompletionValue::Zero
    }

    /// The lowest priority of any queue; of any job if the queues are not known yet.
    fn lowest_priority(&self) -> u32 {
        let queues = self.queues.all_rules().map(|rules| rules.priority).max();
        let jobs = || self.jobs.values().map(|job| job.spec.rules.priority).max();
        queues.or_else(jobs).unwrap_or(0)
    }

    /// The waiting tasks for which runs may be stopped, the most urgent group first.
    pub(crate) fn preemption_demands(&self, now: Millis, workers: &[&WorkerId]) -> Vec<TaskDemand> {
        let mut groups = self.demand_groups(now);
        groups.sort_by_key(|group| (group.class.scope, group.waiting_since));
        groups.truncate(MAX_DEMANDS_PER_PLAN);
        let mut places: Vec<(PlaceClass<'_>, Rc<[usize]>)> = Vec::new();
        let mut demands = Vec::new();
        for group in groups {
            let known = places
                .iter()
                .find(|(class, _)| *class == group.class.places);
            let fit = match known {
                Some((_, fit)) => fit.clone(),
                None => {
                    let fit = self.fit_workers(now, &group, workers);
                    places.push((group.class.places.clone(), fit.clone()));
                    fit
                }
            };
            demands.push(task_demand(group, fit));
        }
        demands
    }

    fn demand_groups(&self, now: Millis) -> Vec<DemandGroup<'_>> {
        let lowest = self.lowest_priority();
        let mut groups: Vec<DemandGroup<'_>> = Vec::new();
        // The step of the task before, and the index of its group if runs may be stopped for it.
        let mut last: Option<(TaskKey, Option<usize>)> = None;
        // The last step of which fair order holds back a task: it does so with all its tasks that have not run.
        let mut held_step: Option<TaskKey> = None;
        for wait in self.waiting.iter().take(MAX_TASKS_PER_PLAN) {
            let key = wait.task;
            let Some(job) = self.jobs.get(&key.job) else {
                continue;
            };
            let Some(task) = job.task(&key) else {
                continue;
            };
            let first = key.first_of_step();
            let known = last.filter(|(step, _)| *step == first);
            let place = match known {
                Some((_, place)) => place,
                None => self.find_group(now, job, &key, lowest, &mut groups),
            };
            last = Some((first, place));
            let Some(place) = place else {
                continue;
            };
            // Nothing is stopped for tasks that the next pass would not start.
            let held = match held_step == Some(first) {
                true => self.may_be_held(wait),
                false => self.is_standing_held(now, wait),
            };
            if held {
                held_step = Some(first);
            }
            if !held && self.caution_of(&key) == StartCaution::Usual {
                groups[place].add(key, task.waiting_since);
            }
        }
        groups.retain(|group| group.count > 0);
        groups
    }

    /// The index of the group of a waiting task, if runs may be stopped for it.
    fn find_group<'a>(
        &'a self,
        now: Millis,
        job: &'a JobState,
        key: &TaskKey,
        lowest: u32,
        groups: &mut Vec<DemandGroup<'a>>,
    ) -> Option<usize> {
        let step = job.step_spec(key)?;
        if !self.may_demand(now, job, step, lowest) {
            return None;
        }
        let class = self.demand_class(job, step, key);
        let known = groups.iter().position(|group| group.class == class);
        Some(known.unwrap_or_else(|| {
            groups.push(DemandGroup {
                class,
                first: *key,
                waiting_since: Millis::MAX,
                count: 0,
            });
            groups.len() - 1
        }))
    }

    fn demand_class<'a>(
        &'a self,
        job: &'a JobState,
        step: &'a StepSpec,
        key: &TaskKey,
    ) -> DemandClass<'a> {
        let rules = self.rules(&job.spec);
        DemandClass {
            places: PlaceClass {
                service: &rules.service,
                guarded: rules.guarded,
                label: step.label.as_deref(),
                limited_step: (step.most_per_worker > 0).then(|| key.first_of_step()),
            },
            room: step.room(),
            scope: TaskScope {
                priority: rules.priority,
                length: task_length(step, self.limits.away_after_ms),
            },
        }
    }

    fn fit_workers(
        &self,
        now: Millis,
        group: &DemandGroup<'_>,
        workers: &[&WorkerId],
    ) -> Rc<[usize]> {
        let fit = workers.iter().enumerate().filter(|(_, id)| {
            let worker = self.workers.get(**id);
            worker.is_some_and(|worker| self.may_run_on(now, id, worker, group))
        });
        fit.map(|(index, _)| index).collect()
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
        let class = &group.class.places;
        let has_label = |label: &str| worker.entry.labels.iter().any(|own| own == label);
        // A worker with an unanswered call may be down, and would not answer the stop either.
        let limit_ms = self.hold_limits().pending_ms();
        let stop_overdue = worker.has_stop_since(now.saturating_sub(limit_ms));
        let sure = worker.unsure_since.is_none() && !stop_overdue;
        if !sure || !worker.is_open(now) || worker.entry.service != class.service {
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

impl DemandGroup<'_> {
    fn add(&mut self, task: TaskKey, waiting_since: Millis) {
        self.count += 1;
        if waiting_since < self.waiting_since {
            self.waiting_since = waiting_since;
            self.first = task;
        }
    }
}

fn task_demand(group: DemandGroup<'_>, workers: Rc<[usize]>) -> TaskDemand {
    let view = DemandView {
        room: group.class.room,
        count: group.count,
        scope: group.class.scope,
        most_per_worker: match group.class.places.limited_step {
            Some(_) => 1,
            None => usize::MAX,
        },
        workers,
    };
    TaskDemand {
        view,
        first: group.first,
        waiting_since: group.waiting_since,
    }
}
