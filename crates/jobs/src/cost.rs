//! What it costs to place a task on a worker. The weights were found by measured rounds; docs/POLICY.md has their figures.

use sandshelf_model::{ResourceSize, WorkerId};

use crate::crash::StartCaution;
use crate::fill::{FillAllocator, FillRequest};
use crate::ids::TaskKey;
use crate::interference::InterferenceEstimate;
use crate::spec::StepSpec;
use crate::worker::WorkerState;

/// What memory counts beside processors when the load of workers is compared.
const MEMORY_WEIGHT: f64 = 0.3;
/// What it costs to work far from the data, in loads of a whole worker.
const FAR_COST: f64 = 1.0;
/// What each run at work on a worker counts where a task is started that may crash it, in loads of a whole worker: with six of them
/// a worker is avoided as long as any is half as full.
pub(crate) const LOST_RUN_COST: f64 = 0.3;
/// What it costs to start such a task beside another, or where a worker crashed lately: what a further crash tells would be blurred.
pub(crate) const BLURRED_CRASH_COST: f64 = 8.0;
/// What it costs to go back to the worker that the task last failed on, in loads of a whole worker.
const FAILED_THERE_COST: f64 = 4.0;
/// What it costs a serving task to stand beside each one of another image, in loads of a whole worker: what fills
/// disturbs few images strongly, so that workers with one image each leave it places where it disturbs none.
const MIXED_IMAGES_COST: f64 = 1.0;
/// What it costs a serving task to stand beside each one of another job, in loads of a whole worker: the tasks of a job
/// are loaded alike, so that a worker with one job leaves room for filling tasks most of the time.
const MIXED_JOBS_COST: f64 = 0.1;
/// What it costs a serving task to go to a worker without serving tasks, in loads of a whole worker: a worker without any
/// is one where filling tasks disturb nobody.
const UNSHARED_WORKER_COST: f64 = 0.8;
/// What a serving task gains by the part of the worker's processors that serving tasks hold already, in loads of a whole
/// worker.
const PACKED_GAIN: f64 = 1.0;
/// What it counts that a filling task takes up all room which serving tasks leave, beside the load of a whole worker: it
/// had better stand where it hardly disturbs, also where processors are shorter there.
const ROOM_TAKEN_WEIGHT: f64 = 1.0;
/// What it costs a filling task to take up a worker without serving tasks, in loads of a whole worker: those that hardly
/// disturb anything elsewhere leave such a worker to those that do.
const UNDISTURBED_COST: f64 = 0.3;
/// A filling task is not started where filling tasks would work at less than this share: in the queue it keeps nobody
/// from ending, and the most urgent goes first.
const LEAST_SHARE: f64 = 0.85;
/// What the room that serving tasks leave counts for a filling task, beside the load of the whole worker.
const SERVING_ROOM_WEIGHT: f64 = 2.0;

/// A task with what its choice of worker depends on.
pub(crate) struct Candidate<'a> {
    pub(crate) key: TaskKey,
    pub(crate) step: &'a StepSpec,
    pub(crate) service: &'a str,
    pub(crate) last_worker: Option<&'a WorkerId>,
    /// The one rack that all members of its gang are to stand on.
    pub(crate) only_rack: Option<&'a str>,
    /// Whether it is started also where it would be slow.
    pub(crate) starving: bool,
    /// Whether workers refuse what doesn't fit.
    pub(crate) guarded: bool,
    /// With how much caution, after crashes of its workers.
    pub(crate) caution: StartCaution,
    pub(crate) fill: FillRequest,
}

/// What it costs to add a serving task to the serving tasks of a worker: they are packed, first by image, then by job.
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
        return UNSHARED_WORKER_COST;
    }
    cost - held as f64 / worker.entry.capacity.cpu_millis.max(1) as f64 * PACKED_GAIN
}

/// What it costs to place a task on a worker, lower is better.
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
        cost += FAR_COST;
    }
    if candidate.last_worker == Some(&worker.entry.worker) {
        cost += FAILED_THERE_COST;
    }
    cost
}

/// What it costs beside that to place a filling task on a worker; none where it had better wait.
pub(crate) fn fill_cost(
    allocator: &FillAllocator,
    interference: &InterferenceEstimate,
    candidate: &Candidate<'_>,
) -> Option<f64> {
    let share = allocator.foreseen_share(interference, &candidate.fill);
    if allocator.has_filling() && !candidate.starving && share < LEAST_SHARE {
        return None;
    }
    let mut cost = allocator.room_taken(interference, &candidate.fill) * ROOM_TAKEN_WEIGHT;
    cost -= share * SERVING_ROOM_WEIGHT;
    if !allocator.has_serving() {
        cost += UNDISTURBED_COST;
    }
    Some(cost)
}
