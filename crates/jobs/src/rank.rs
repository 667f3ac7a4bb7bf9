//! Ranks waiting tasks by urgency, and remembers within a placement pass what need not be tried again.

use std::collections::HashSet;
use std::sync::Arc;

use sandshelf_model::{Millis, ResourceSize, WorkerId};

use crate::due::CompletionValue;
use crate::ids::{JobNumber, TaskKey};
use crate::job::JobState;
use crate::spec::StepSpec;
use crate::stage::JobStage;
use crate::wait_key::WaitKey;
use crate::worker::WorkerState;

/// A job of which nothing has been running for this long gets a first task started, even where that task will be slow. The
/// platform counts a job as lost that has had nothing running for three seconds while there is capacity for it.
const STARVING_AFTER_MS: Millis = 1_500;
/// If at least this share of the workers' processors and of their memory is used, a filling job of which nothing is running waits
/// like any other. The platform counts such a job as lost only while less than half is used. If each of many waiting jobs got a
/// first task, the capacity that serving tasks leave would go to the first tasks of jobs that can't all end.
const MOSTLY_USED_PERCENT: u64 = 55;
/// A standing task that has waited for this long goes before tasks that have just arrived, even while other tasks of its job are
/// running. Each has to be running again within nine seconds, and an owner that is behind can't start everything that fits.
const STANDING_OVERDUE_MS: Millis = 2_500;
/// The share of a job's estimated remaining time that counts when deciding whether its objective is out of reach; estimates are
/// off by a factor of two either way.
pub(crate) const COUNTED_REMAINING_PERCENT: u64 = 40;

/// The urgency of a waiting job; the most urgent rank sorts first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PlaceRank {
    pub(crate) priority: u32,
    pub(crate) tier: RankTier,
    /// False for a new job whose queue or size has been served less than its share; such jobs go first.
    pub(crate) has_share: bool,
    pub(crate) order: i64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RankTier {
    /// Nothing of the job has been running for long, or the task is a standing one that has waited for long.
    Starving,
    /// The job has begun and can still meet its objective; ordered by objective.
    Begun,
    /// The job has not begun and can still meet its objective. Filling jobs are ordered newest first, so that in an overload the jobs
    /// that are started end in time.
    Fresh,
    /// A standing task. It goes after tasks that end soon, which are worth more for their capacity and give it back.
    Standing,
    /// The job can't meet its objective any more.
    Late,
    /// The end of the job is of no value any more.
    Useless,
}

/// The cost of placing a task of one step on a worker, as known within a placement pass.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum PlaceCost {
    /// The worker has not been evaluated since a task was started there.
    Unknown,
    /// The worker can't take the task.
    Ineligible,
    /// The cost; lower is better.
    Cost(f64),
}

/// The costs of all workers, in the order of [`PassMemo::order`], for the step that was tried last. Its tasks are alike, so only
/// the worker that got a task has to be evaluated again.
#[derive(Default)]
pub(crate) struct StepCosts {
    step: Option<(TaskKey, bool)>,
    costs: Vec<PlaceCost>,
}

impl StepCosts {
    /// The cached costs for a step's tasks, if this step was the one tried last.
    pub(crate) fn cached(&mut self, key: &TaskKey, starving: bool) -> Option<&mut [PlaceCost]> {
        let same = self.step == Some((key.first_of_step(), starving));
        same.then_some(&mut self.costs)
    }

    /// Stores the costs of all workers for a step's tasks.
    pub(crate) fn store(&mut self, key: &TaskKey, starving: bool, costs: Vec<PlaceCost>) {
        self.step = Some((key.first_of_step(), starving));
        self.costs = costs;
    }

    /// Discards the cost of the worker at this index, because a task was started there.
    pub(crate) fn invalidate(&mut self, place: usize) {
        if let Some(cost) = self.costs.get_mut(place) {
            *cost = PlaceCost::Unknown;
        }
    }
}

/// The waiting tasks of a job.
pub(crate) struct WaitingGroup {
    pub(crate) rank: PlaceRank,
    pub(crate) job: JobNumber,
    pub(crate) tasks: Vec<WaitKey>,
}

/// The tasks that could not be placed since a time, so that similar tasks are not tried again.
#[derive(Clone, Debug)]
pub(crate) struct FailedPlacements {
    pub(crate) since: Millis,
    /// The steps, identified by their first task.
    pub(crate) steps: HashSet<TaskKey>,
    sizes: Vec<(String, ResourceSize)>,
    images: Vec<(String, ResourceSize)>,
}

impl FailedPlacements {
    pub(crate) fn new(since: Millis) -> Self {
        Self {
            since,
            steps: HashSet::new(),
            sizes: Vec::new(),
            images: Vec::new(),
        }
    }
}

/// The state of one placement pass.
pub(crate) struct PassMemo {
    /// The tasks that need not be tried again.
    pub(crate) failed: FailedPlacements,
    pub(crate) jobs_placed: Vec<JobNumber>,
    pub(crate) costs: StepCosts,
    /// The workers in the order in which costs are stored.
    pub(crate) order: Arc<[WorkerId]>,
    /// The number of evaluations of a worker for a task in this pass so far.
    pub(crate) evaluations: usize,
}

impl PassMemo {
    pub(crate) fn new(order: Arc<[WorkerId]>, failed: FailedPlacements) -> Self {
        Self {
            failed,
            jobs_placed: Vec::new(),
            costs: StepCosts::default(),
            order,
            evaluations: 0,
        }
    }

    /// Whether a similar task could not be placed. Starving tasks are only ruled out by a lack of free capacity, since they are also
    /// started where they would be slow.
    pub(crate) fn rules_out(&self, service: &str, step: &StepSpec, starving: bool) -> bool {
        let room = step.room();
        let like = |of: &str, failures: &[(String, ResourceSize)], size: &ResourceSize| {
            failures
                .iter()
                .any(|(name, tried)| name == of && tried.fits_in(size))
        };
        like(service, &self.failed.sizes, &room)
            || step.fills && !starving && like(&step.image, &self.failed.images, &step.size)
    }

    /// Whether a task of the same step or a similar task could not be placed.
    pub(crate) fn has_failed(
        &self,
        key: &TaskKey,
        service: &str,
        step: &StepSpec,
        starving: bool,
    ) -> bool {
        let of_step = self.failed.steps.contains(&key.first_of_step());
        of_step || self.rules_out(service, step, starving)
    }

    pub(crate) fn record_failed(
        &mut self,
        key: &TaskKey,
        service: &str,
        step: &StepSpec,
        starving: bool,
    ) {
        self.failed.steps.insert(key.first_of_step());
        let plain = step.label.is_none() && step.most_per_worker == 0 && !step.gang;
        if plain && step.fills && !starving {
            self.failed.images.push((step.image.clone(), step.size));
        } else if plain {
            self.failed.sizes.push((service.to_owned(), step.room()));
        }
    }
}

/// Whether most of the workers' capacity is used, according to declared sizes.
pub(crate) fn is_mostly_used<'a>(workers: impl Iterator<Item = &'a WorkerState>) -> bool {
    let (mut total, mut free) = (ResourceSize::default(), ResourceSize::default());
    for worker in workers {
        let room = worker.free();
        total.cpu_millis += worker.entry.capacity.cpu_millis;
        total.memory_mib += worker.entry.capacity.memory_mib;
        free.cpu_millis += room.cpu_millis;
        free.memory_mib += room.memory_mib;
    }
    let taken = |total: u64, free: u64| (total - free) * 100 >= total * MOSTLY_USED_PERCENT;
    taken(total.cpu_millis, free.cpu_millis) && taken(total.memory_mib, free.memory_mib)
}

/// Whether most of the workers' processors are used, according to declared sizes.
pub(crate) fn are_processors_scarce<'a>(workers: impl Iterator<Item = &'a WorkerState>) -> bool {
    let (total, free) = workers.fold((0, 0), |(total, free), worker| {
        let capacity = worker.entry.capacity.cpu_millis;
        (total + capacity, free + worker.free().cpu_millis)
    });
    total > 0 && (total - free) * 100 >= total * MOSTLY_USED_PERCENT
}

/// How much of the workers' capacity is used at the beginning of a placement pass.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct CapacityUse {
    /// Whether most of the processors and most of the memory are used.
    pub(crate) mostly_used: bool,
    /// With fair order and in an overload of short tasks, whether most of the processors are used. Then jobs of which nothing is running don't go ahead of others, since
    /// in a shortage all jobs that wait would, the oldest first, and end late.
    pub(crate) scarce_processors: bool,
}

/// The urgency of a waiting job.
pub(crate) fn place_rank(
    now: Millis,
    job: &JobState,
    wait: &WaitKey,
    used: CapacityUse,
) -> PlaceRank {
    let step = job.step_spec(&wait.task);
    let task = job.task(&wait.task);
    let fills = step.is_some_and(|step| step.fills);
    let standing = step.is_some_and(|step| step.standing);
    let waited = task.map_or(0, |task| now.saturating_sub(task.waiting_since));
    let needs = job.remaining_ms() * COUNTED_REMAINING_PERCENT / 100;
    let value = job.due.value_at(now + needs);
    let begun = job.stage != JobStage::Queued;
    let overdue = standing && waited >= STANDING_OVERDUE_MS;
    let starving = waited >= STARVING_AFTER_MS && !job.has_live_task();
    let first_task_waits = fills && used.mostly_used || !standing && used.scarce_processors;
    let tier = if overdue || starving && !first_task_waits {
        RankTier::Starving
    } else if standing {
        RankTier::Standing
    } else if value == CompletionValue::Zero {
        RankTier::Useless
    } else if value == CompletionValue::Reduced {
        RankTier::Late
    } else if begun {
        RankTier::Begun
    } else {
        RankTier::Fresh
    };
    let newest_first = fills && tier == RankTier::Fresh;
    PlaceRank {
        priority: wait.priority,
        tier,
        has_share: true,
        order: if newest_first {
            -(job.due.objective_at as i64)
        } else {
            job.due.objective_at as i64
        },
    }
}
