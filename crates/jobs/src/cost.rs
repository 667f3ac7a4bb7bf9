//! The cost of placing a task on a worker. docs/POLICY.md describes the weights.
//!
//! Costs are in units of the load of a whole worker: 1 is the cost of using all of its processors.

use sandshelf_model::{ResourceSize, WorkerId};

use crate::crash::StartCaution;
use crate::fill::{FillAllocator, FillRequest};
use crate::ids::TaskKey;
use crate::interference::InterferenceEstimate;
use crate::spec::StepSpec;
use crate::worker::WorkerState;

/// The weight of memory use against processor use when the load of workers is compared.
const MEMORY_WEIGHT: f64 = 0.3;
/// The cost of running on another rack than the data.
const OTHER_RACK_COST: f64 = 1.0;
/// The cost of each run on the worker when the task to be started may crash it. A worker with six runs is avoided as long as
/// another one is half as full.
pub(crate) const LOST_RUN_COST: f64 = 0.3;
/// The cost of starting such a task on a worker with another suspected task, or where a worker crashed recently: a further crash
/// could not be attributed to the task.
pub(crate) const AMBIGUOUS_CRASH_COST: f64 = 8.0;
/// The cost of returning to the worker on which the task last failed.
const FAILED_WORKER_COST: f64 = 4.0;
/// The cost, for a serving task, of each serving task of another image on the worker. A filling task strongly disturbs few images,
/// so workers with one image each leave it places where it disturbs none.
const MIXED_IMAGES_COST: f64 = 1.0;
/// The cost, for a serving task, of each serving task of another job on the worker. The tasks of a job have the same load, so a
/// worker with one job has headroom for filling tasks most of the time.
const MIXED_JOBS_COST: f64 = 0.1;
/// The cost, for a serving task, of using a worker without serving tasks: on such a worker filling tasks disturb nothing.
const FIRST_SERVING_TASK_COST: f64 = 0.8;
/// The gain, for a serving task, if serving tasks hold all of the worker's processors already; proportionally less for a part.
const PACKING_GAIN: f64 = 1.0;
/// The cost, for a filling task, of taking up all the headroom of a serving step on the worker. It is better placed where it
/// hardly disturbs serving tasks, even if processors are scarcer there.
const HEADROOM_TAKEN_WEIGHT: f64 = 1.0;
/// The cost, for a filling task, of using a worker without serving tasks: tasks that hardly disturb anything elsewhere should
/// leave such a worker to tasks that do.
const NO_SERVING_TASKS_COST: f64 = 0.3;
/// A filling task is not started where it is predicted to get a smaller share than this. In the queue it does not keep other jobs
/// from ending, and the most urgent task goes first.
const MIN_START_SHARE: f64 = 0.85;
/// The gain, for a filling task, of the predicted share; a share of 1 gains this much.
const PREDICTED_SHARE_WEIGHT: f64 = 2.0;

/// A task to be placed, with everything that the choice of its worker depends on.
pub(crate) struct Candidate<'a> {
    pub(crate) key: TaskKey,
    pub(crate) step: &'a StepSpec,
    pub(crate) service: &'a str,
    pub(crate) last_worker: Option<&'a WorkerId>,
    /// The rack on which all members of its gang have to be placed, if any.
    pub(crate) only_rack: Option<&'a str>,
    /// Whether it is started even where it would be slow.
    pub(crate) starving: bool,
    /// Whether workers refuse tasks that don't fit.
    pub(crate) guarded: bool,
    /// How cautiously it has to be started, after crashes of its earlier workers.
    pub(crate) caution: StartCaution,
    pub(crate) fill: FillRequest,
}

/// The cost of adding a serving task to the serving tasks of a worker. Serving tasks are packed, first by image, then by job.
fn serving_cost(worker: &WorkerState, candidate: &Candidate<'_>) -> f64 {
    let mut cost = 0.0;
    let mut held = 0;
    let serving = worker.runs.iter();
    for (run, record) in serving.filter(|(_, record)| record.target_ms > 0) {
        held += record.cpu_millis;
        if record.image != candidate.fill.image {
            cost += MIXED_IMAGES_COST;
        } else if run.task.job != candidate.key.job {
            cost += MIXED_JOBS_COST;
        }
    }
    if held == 0 {
        return FIRST_SERVING_TASK_COST;
    }
    cost - held as f64 / worker.entry.capacity.cpu_millis.max(1) as f64 * PACKING_GAIN
}

/// The cost of placing a task on a worker, without the additional cost of filling tasks; lower is better.
pub(crate) fn place_cost(
    worker: &WorkerState,
    candidate: &Candidate<'_>,
    taken: &[ResourceSize],
) -> f64 {
    let step = candidate.step;
    let capacity = &worker.entry.capacity;
    let planned: u64 = taken.iter().map(|size| size.cpu_millis).sum();
    let held = capacity.memory_mib - worker.free().memory_mib + step.size.memory_mib;
    let share = |part: u64, whole: u64| part as f64 / whole.max(1) as f64;
    let mut cost = share(held, capacity.memory_mib) * MEMORY_WEIGHT;
    if step.target_ms > 0 {
        cost += serving_cost(worker, candidate);
    } else {
        let wanted = worker.ordinary_cpu() + worker.filling_cpu() + planned + step.size.cpu_millis;
        cost += share(wanted, capacity.cpu_millis);
    }
    if step.rack.is_some() && step.rack != worker.entry.rack {
        cost += OTHER_RACK_COST;
    }
    if candidate.last_worker == Some(&worker.entry.worker) {
        cost += FAILED_WORKER_COST;
    }
    cost
}

/// The additional cost of placing a filling task on a worker; `None` if it should wait instead.
pub(crate) fn fill_cost(
    allocator: &FillAllocator,
    interference: &InterferenceEstimate,
    candidate: &Candidate<'_>,
) -> Option<f64> {
    let share = allocator.predicted_share(interference, &candidate.fill);
    if allocator.has_filling() && !candidate.starving && share < MIN_START_SHARE {
        return None;
    }
    let mut cost = allocator.headroom_taken(interference, &candidate.fill) * HEADROOM_TAKEN_WEIGHT;
    cost -= share * PREDICTED_SHARE_WEIGHT;
    if !allocator.has_serving() {
        cost += NO_SERVING_TASKS_COST;
    }
    Some(cost)
}
