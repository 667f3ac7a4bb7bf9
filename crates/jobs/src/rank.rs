//! In what order waiting tasks are tried, and what one pass need not try again.

use std::collections::HashSet;
use std::sync::Arc;

use sandshelf_model::{Millis, ResourceSize, WorkerId};

use crate::due::CompletionValue;
use crate::ids::{JobNumber, TaskKey};
use crate::job::JobState;
use crate::scheduler::WaitKey;
use crate::spec::StepSpec;
use crate::stage::JobStage;
use crate::worker::WorkerState;

/// After so long with nothing at work a job gets a first task started also where that task will be slow: the platform
/// counts a job as lost that has had nothing running for three seconds while there is room for it.
const STARVING_AFTER_MS: Millis = 1_500;
/// From this part of the workers' processors and of their memory on, in percent, a filling job that has nothing at work waits like any other. The
/// platform counts it as lost only while under half is in use. Were each of many that wait given a first task, what serving tasks leave
/// would be dealt to the first tasks of jobs that can't all end.
const MOSTLY_TAKEN_PERCENT: u64 = 55;
/// A standing task that has waited for so long goes before what has just come, also where others of its job are at work: each
/// has to be back within nine seconds, and an owner that falls behind can't start all that has room.
const STANDING_OVERDUE_MS: Millis = 2_500;
/// What part of the guessed time that a job still needs counts when its objective is judged to be out of reach, in
/// percent; guesses are off by a factor of two either way.
const REMAINING_PERCENT: u64 = 40;

/// How urgent a waiting job is; sorted from the most urgent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PlaceRank {
    pub(crate) priority: u32,
    pub(crate) tier: RankTier,
    pub(crate) order: i64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RankTier {
    /// Nothing of it is at work, and for long; or it stands and has waited for long.
    Starving,
    /// It has begun and can still meet its objective; by objective.
    Begun,
    /// It has not begun and can still meet its objective; filling jobs by the newest, so that in an overload those
    /// that are started end in time.
    Fresh,
    /// It stands: what ends soon goes first, since it is worth more for its room and gives it back.
    Standing,
    /// It can't meet its objective any more.
    Late,
    /// Its end is of no use any more.
    Useless,
}

/// What a pass knows of placing a task of one step on a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum PlaceCost {
    /// It was not looked at since something was started there.
    Unknown,
    /// It can't go there.
    NoPlace,
    /// It would cost this much.
    Cost(f64),
}

/// The costs of all workers, in their order, for the step that was tried last: its tasks are alike, and only the worker
/// that got one has to be looked at again.
#[derive(Default)]
pub(crate) struct StepCosts {
    step: Option<(TaskKey, bool)>,
    costs: Vec<PlaceCost>,
}

impl StepCosts {
    /// The costs for a step's tasks, where that step was the one tried last.
    pub(crate) fn known(&mut self, key: &TaskKey, starving: bool) -> Option<&mut [PlaceCost]> {
        let same = self.step == Some((key.first_of_step(), starving));
        same.then_some(&mut self.costs)
    }

    /// Keeps the costs of all workers for a step's tasks.
    pub(crate) fn keep(&mut self, key: &TaskKey, starving: bool, costs: Vec<PlaceCost>) {
        self.step = Some((key.first_of_step(), starving));
        self.costs = costs;
    }

    /// Something was started on the worker at this place of the order.
    pub(crate) fn forget(&mut self, place: usize) {
        if let Some(cost) = self.costs.get_mut(place) {
            *cost = PlaceCost::Unknown;
        }
    }
}

/// The tasks of a job that wait.
pub(crate) struct WaitingGroup {
    pub(crate) rank: PlaceRank,
    pub(crate) job: JobNumber,
    pub(crate) tasks: Vec<WaitKey>,
}

/// What was found to have no room since a time, so that like tasks are not tried again.
#[derive(Clone, Debug)]
pub(crate) struct FailedPlacements {
    pub(crate) since: Millis,
    /// Steps, by their first task.
    pub(crate) steps: HashSet<TaskKey>,
    rooms: Vec<(String, ResourceSize)>,
    images: Vec<(String, ResourceSize)>,
}

impl FailedPlacements {
    pub(crate) fn new(since: Millis) -> Self {
        Self {
            since,
            steps: HashSet::new(),
            rooms: Vec::new(),
            images: Vec::new(),
        }
    }
}

/// What one pass knows.
pub(crate) struct PassMemo {
    /// What need not be tried.
    pub(crate) tries: FailedPlacements,
    pub(crate) helped: Vec<JobNumber>,
    pub(crate) costs: StepCosts,
    /// The workers in their order, by which costs are kept.
    pub(crate) order: Arc<[WorkerId]>,
    /// How many looks at a worker for a task it has taken so far.
    pub(crate) looks: usize,
}

impl PassMemo {
    pub(crate) fn new(order: Arc<[WorkerId]>, tries: FailedPlacements) -> Self {
        Self {
            tries,
            helped: Vec::new(),
            costs: StepCosts::default(),
            order,
            looks: 0,
        }
    }

    /// Whether a task like this one was tried in vain; a starving one is started also where it would be slow.
    pub(crate) fn rules_out(&self, service: &str, step: &StepSpec, starving: bool) -> bool {
        let room = step.room();
        let like = |of: &str, known: &[(String, ResourceSize)], size: &ResourceSize| {
            known
                .iter()
                .any(|(name, tried)| name == of && tried.fits_in(size))
        };
        like(service, &self.tries.rooms, &room)
            || step.fills && !starving && like(&step.image, &self.tries.images, &step.size)
    }

    pub(crate) fn note_failed(
        &mut self,
        key: &TaskKey,
        service: &str,
        step: &StepSpec,
        starving: bool,
    ) {
        self.tries.steps.insert(key.first_of_step());
        let plain = step.label.is_none() && step.most_per_worker == 0 && !step.gang;
        if plain && step.fills && !starving {
            self.tries.images.push((step.image.clone(), step.size));
        } else if plain {
            self.tries.rooms.push((service.to_owned(), step.room()));
        }
    }
}

/// Whether most of the workers' room is taken, by what is declared.
pub(crate) fn is_mostly_taken<'a>(workers: impl Iterator<Item = &'a WorkerState>) -> bool {
    let (mut whole, mut free) = (ResourceSize::default(), ResourceSize::default());
    for worker in workers {
        let room = worker.free();
        whole.cpu_millis += worker.entry.capacity.cpu_millis;
        whole.memory_mib += worker.entry.capacity.memory_mib;
        free.cpu_millis += room.cpu_millis;
        free.memory_mib += room.memory_mib;
    }
    let taken = |whole: u64, free: u64| (whole - free) * 100 >= whole * MOSTLY_TAKEN_PERCENT;
    taken(whole.cpu_millis, free.cpu_millis) && taken(whole.memory_mib, free.memory_mib)
}

/// How urgent a waiting job is, where most of the workers' room is taken or not.
pub(crate) fn place_rank(
    now: Millis,
    job: &JobState,
    wait: &WaitKey,
    mostly_taken: bool,
) -> PlaceRank {
    let step = job.step_spec(&wait.task);
    let task = job.task(&wait.task);
    let fills = step.is_some_and(|step| step.fills);
    let standing = step.is_some_and(|step| step.standing);
    let waited = task.map_or(0, |task| now.saturating_sub(task.waiting_since));
    let needs = job.remaining_ms() * REMAINING_PERCENT / 100;
    let worth = job.due.worth_at(now + needs);
    let begun = job.stage != JobStage::Queued;
    let overdue = standing && waited >= STANDING_OVERDUE_MS;
    let starves = waited >= STARVING_AFTER_MS && !job.has_live_task();
    let tier = if overdue || starves && !(fills && mostly_taken) {
        RankTier::Starving
    } else if standing {
        RankTier::Standing
    } else if worth == CompletionValue::Nothing {
        RankTier::Useless
    } else if worth == CompletionValue::Little {
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
        order: if newest_first {
            -(job.due.objective_at as i64)
        } else {
            job.due.objective_at as i64
        },
    }
}
