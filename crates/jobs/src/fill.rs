//! Allocates the capacity that serving tasks leave on a worker to the filling tasks there.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use sandshelf_model::Millis;
use smallvec::SmallVec;

use crate::due::{CompletionValue, DueTimes};
use crate::ids::{RunKey, TaskKey};
use crate::images::ImageId;
use crate::interference::{target_load, InterferenceEstimate};
use crate::load_forecast::LoadHistory;
use crate::worker::WorkerState;

/// The highest load allowed for a serving task, as a share of its target load. 0.94 costs filling tasks as much as it gains serving
/// tasks (a tenth of their value), and 0.87 costs them more; higher values cost serving tasks more than filling tasks gain.
const MAX_TARGET_LOAD_SHARE: f64 = 1.0;
/// Like [`MAX_TARGET_LOAD_SHARE`] with fair order, where serving tasks are kept just below their targets in an overload: at 1.0 they
/// were over their targets three times as long, and hardly more filling jobs ended in time.
const FAIR_TARGET_LOAD_SHARE: f64 = 0.97;
/// How far ahead the headroom at which a task is placed is forecast with fair order: most of a run of 2 s. Without it, tasks started
/// before a peak of the serving loads were slowed down and moved twice as often.
const PLACE_AHEAD_MS: Millis = 1_500;
/// The share of the remaining headroom that tasks of jobs without value may use with fair order.
const USELESS_HEADROOM_SHARE: f64 = 0.3;
/// The delay after which a newly set pace takes effect.
const PACE_EFFECT_START_MS: Millis = 150;
/// The time after which a newly set pace is usually replaced at the latest: readings arrive twice a second.
const PACE_EFFECT_END_MS: Millis = 600;
/// Pairs with a smaller interference coefficient don't limit the pace.
const NEGLIGIBLE_COEFFICIENT: f64 = 0.3;
/// The smallest share of its work that a filling task counts as having left.
const MIN_REMAINING_SHARE: f64 = 0.05;

/// The headroom of the serving steps on a worker, in the order of the steps. It is copied for each evaluation of the worker; a
/// worker seldom has more than eight serving steps.
type ServingHeadrooms = SmallVec<[ServingHeadroom; 8]>;

/// The shares of the headroom that filling tasks may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct FillRules {
    /// The highest load allowed for a serving task, as a share of its target load.
    max_target_load_share: f64,
    /// The share of the remaining headroom that tasks of jobs without value may use.
    useless_headroom_share: f64,
    /// How far ahead the headroom at which a task is placed is forecast, besides the time until paces are next recomputed.
    place_ahead_ms: Option<Millis>,
}

impl FillRules {
    /// The rules with or without fair order.
    pub(crate) fn new(fair_order: bool) -> Self {
        match fair_order {
            true => Self {
                max_target_load_share: FAIR_TARGET_LOAD_SHARE,
                useless_headroom_share: USELESS_HEADROOM_SHARE,
                place_ahead_ms: Some(PLACE_AHEAD_MS),
            },
            false => Self {
                max_target_load_share: MAX_TARGET_LOAD_SHARE,
                useless_headroom_share: 1.0,
                place_ahead_ms: None,
            },
        }
    }
}

/// The load increase that the tasks of a serving step tolerate.
#[derive(Clone, Copy, Debug)]
struct ServingHeadroom {
    image: ImageId,
    /// By which share the load may rise over the load without filling tasks.
    allowed_increase: f64,
    /// The same where a task is to be placed, which also has to be tolerated later during its run.
    allowed_at_start: f64,
}

impl ServingHeadroom {
    /// The headroom until paces are next recomputed: the smaller one of the values at the start and at the end of the time in
    /// which a pace is in effect.
    fn of(
        step: &TaskKey,
        image: ImageId,
        history: &LoadHistory,
        rules: FillRules,
        now: Millis,
    ) -> Self {
        let max_load = target_load() * rules.max_target_load_share;
        let allowed_increase = |ahead: Millis| {
            let expected = history.forecast(step, now + ahead);
            (max_load / expected.load - 1.0).max(0.0)
        };
        Self {
            image,
            allowed_increase: allowed_increase(PACE_EFFECT_START_MS)
                .min(allowed_increase(PACE_EFFECT_END_MS)),
            allowed_at_start: rules.place_ahead_ms.map_or(f64::MAX, allowed_increase),
        }
    }
}

/// The urgency of a filling task compared to others: tasks of jobs that can still end in time come first.
///
/// This matters in an overload of filling jobs. Capacity given to a job that is late anyway is taken from a job that can still be
/// in time. When urgency depended on the current time instead of the predicted end, capacity went to jobs until the moment at
/// which they became late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct FillUrgency {
    value: CompletionValue,
    due: DueTimes,
}

impl FillUrgency {
    /// The urgency of a task whose job needs `needs_ms` more if the task runs at full pace from now on.
    pub(crate) fn new(now: Millis, due: DueTimes, needs_ms: Millis) -> Self {
        Self {
            value: due.value_at(now + needs_ms),
            due,
        }
    }
}

/// A filling task that is to be placed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FillRequest {
    pub(crate) urgency: FillUrgency,
    pub(crate) image: ImageId,
    /// The processors that it uses at full pace, in thousandths of a core.
    pub(crate) cpu_millis: u64,
}

/// The demand of one filling task for a share of what serving tasks leave.
#[derive(Clone, Copy, Debug)]
struct FillDemand {
    urgency: FillUrgency,
    /// The headroom of the most affected serving step that the task takes up until its end; see [`FillAllocator::demand`]. The
    /// smallest cost is served first.
    cost: f64,
    key: Option<RunKey>,
    image: ImageId,
    /// The share of the worker's processors that it uses at full pace.
    load: f64,
}

impl FillDemand {
    /// The order in which demands are served: by the value of the job's end, then by cost, then by due time.
    fn order(&self, other: &Self) -> Ordering {
        let value = self.urgency.value.cmp(&other.urgency.value);
        value
            .then(self.cost.total_cmp(&other.cost))
            .then(self.urgency.cmp(&other.urgency))
    }
}

/// The serving and filling tasks of a worker, for allocating shares to the filling tasks.
#[derive(Clone, Debug)]
pub(crate) struct FillAllocator {
    headrooms: ServingHeadrooms,
    /// The demands of the filling tasks, in the order in which they are served.
    demands: Vec<FillDemand>,
    capacity_cpu_millis: f64,
    /// The processors that ordinary tasks (neither filling nor standing) do not hold, in thousandths of a core.
    ///
    /// Standing tasks don't count as holding processors: under load, filling tasks used nearly all of a worker's processors
    /// alongside standing tasks that declared nine tenths of them.
    unreserved_cpu_millis: f64,
    /// The processors that the filling tasks use at full pace, in thousandths of a core.
    filling_cpu_millis: u64,
    rules: FillRules,
}

impl FillAllocator {
    /// Reads the state of a worker's tasks at the time `now`.
    pub(crate) fn new(
        worker: &WorkerState,
        interference: &InterferenceEstimate,
        history: &LoadHistory,
        rules: FillRules,
        now: Millis,
    ) -> Self {
        let capacity = worker.entry.capacity.cpu_millis;
        let serving = worker
            .runs
            .iter()
            .filter(|(_, record)| record.target_ms > 0);
        let steps: BTreeMap<TaskKey, ImageId> = serving
            .map(|(key, record)| (key.task.first_of_step(), record.image))
            .collect();
        let headrooms = steps.iter();
        let headrooms =
            headrooms.map(|(step, image)| ServingHeadroom::of(step, *image, history, rules, now));
        let mut allocator = Self {
            headrooms: headrooms.collect(),
            demands: Vec::new(),
            capacity_cpu_millis: capacity.max(1) as f64,
            unreserved_cpu_millis: capacity.saturating_sub(worker.ordinary_cpu()) as f64,
            filling_cpu_millis: worker.filling_cpu(),
            rules,
        };
        for (key, record) in worker.runs.iter().filter(|(_, record)| record.fills) {
            let request = FillRequest {
                urgency: FillUrgency::new(now, record.due, record.remaining_ms()),
                image: record.image,
                cpu_millis: record.full_use() as u64,
            };
            let remaining = MIN_REMAINING_SHARE.max(1.0 - f64::from(record.percent) / 100.0);
            let demand = allocator.demand(interference, &request, remaining);
            allocator.demands.push(FillDemand {
                key: Some(*key),
                ..demand
            });
        }
        let demands = &mut allocator.demands;
        demands.sort_by(|one, other| one.order(other).then(one.key.cmp(&other.key)));
        allocator
    }

    /// The demand of a filling task with this share of its work remaining. Its cost is the load that it puts on the most
    /// disturbed serving step, multiplied by the remaining share.
    fn demand(
        &self,
        interference: &InterferenceEstimate,
        request: &FillRequest,
        remaining: f64,
    ) -> FillDemand {
        let coefficients = self
            .headrooms
            .iter()
            .map(|headroom| interference.coefficient(headroom.image, request.image));
        let load = request.cpu_millis as f64 / self.capacity_cpu_millis;
        FillDemand {
            urgency: request.urgency,
            cost: coefficients.fold(NEGLIGIBLE_COEFFICIENT, f64::max) * load * remaining,
            key: None,
            image: request.image,
            load,
        }
    }

    /// Allocates a share to each filling task on the worker.
    pub(crate) fn allocate(&self, interference: &InterferenceEstimate) -> Vec<(RunKey, f64)> {
        let mut headrooms = self.headrooms.clone();
        let mut shares = Vec::with_capacity(self.demands.len());
        for demand in &self.demands {
            let share = allocate_share(&mut headrooms, demand, self.rules, interference);
            shares.extend(demand.key.map(|key| (key, share)));
        }
        shares
    }

    /// The share that one more filling task would get, limited by the headroom of serving tasks and by the processors that
    /// ordinary tasks leave.
    pub(crate) fn predicted_share(
        &self,
        interference: &InterferenceEstimate,
        request: &FillRequest,
    ) -> f64 {
        let new_demand = self.demand(interference, request, 1.0);
        let mut headrooms = self.headrooms.clone();
        for headroom in &mut headrooms {
            headroom.allowed_increase = headroom.allowed_increase.min(headroom.allowed_at_start);
        }
        for demand in &self.demands {
            // Among equals, such as tasks of the same step, those already on the worker are served first.
            if new_demand.order(demand).is_lt() {
                break;
            }
            allocate_share(&mut headrooms, demand, self.rules, interference);
        }
        let share = allocate_share(&mut headrooms, &new_demand, self.rules, interference);
        let total_cpu_millis = (self.filling_cpu_millis + request.cpu_millis).max(1) as f64;
        share.min(self.unreserved_cpu_millis / total_cpu_millis)
    }

    /// The part of a serving step's headroom that one more filling task would take up, for the step where this part is largest;
    /// 1 where that step has no headroom.
    pub(crate) fn headroom_taken(
        &self,
        interference: &InterferenceEstimate,
        request: &FillRequest,
    ) -> f64 {
        let load = request.cpu_millis as f64 / self.capacity_cpu_millis;
        let taken = self.headrooms.iter().map(|headroom| {
            let increase = interference.coefficient(headroom.image, request.image) * load;
            increase
                / headroom
                    .allowed_increase
                    .max(increase)
                    .max(f64::MIN_POSITIVE)
        });
        taken.fold(0.0, f64::max)
    }

    /// Whether the worker has serving tasks with a target.
    pub(crate) fn has_serving(&self) -> bool {
        !self.headrooms.is_empty()
    }

    /// Whether the worker has filling tasks.
    pub(crate) fn has_filling(&self) -> bool {
        !self.demands.is_empty()
    }
}

/// Allocates a share to a filling task, and deducts it from the headrooms.
fn allocate_share(
    headrooms: &mut [ServingHeadroom],
    demand: &FillDemand,
    rules: FillRules,
    interference: &InterferenceEstimate,
) -> f64 {
    let usable = match demand.urgency.value {
        CompletionValue::Zero => rules.useless_headroom_share,
        CompletionValue::Full | CompletionValue::Reduced => 1.0,
    };
    let mut share: f64 = 1.0;
    for headroom in headrooms.iter() {
        let coefficient = interference.coefficient(headroom.image, demand.image);
        if coefficient >= NEGLIGIBLE_COEFFICIENT {
            share = share.min(
                headroom.allowed_increase * usable
                    / (coefficient * demand.load).max(f64::MIN_POSITIVE),
            );
        }
    }
    for headroom in headrooms.iter_mut() {
        let used = interference.coefficient(headroom.image, demand.image) * demand.load * share;
        headroom.allowed_increase = (headroom.allowed_increase - used).max(0.0);
    }
    share
}
