//! Chooses the runs to stop where tasks wait for capacity that less urgent runs hold.
//!
//! Handles the load in which priority 0 finds no capacity: runs of lower priorities hold memory, or standing tasks of the same
//! priority hold all processors while short tasks wait. A pure function of views, without network or clock.

use std::cmp::Reverse;

use sandshelf_model::ResourceSize;
use smallvec::SmallVec;

use super::inputs::{DemandView, PlanViews, RunKind, RunOutlook, RunView, TaskLength};

/// The most runs that one plan stops. Each stop order costs a weak host up to 1.3 ms, and the next plan follows soon.
pub(crate) const MAX_STOPS_PER_PLAN: usize = 32;
/// The most demands for which one plan compares all workers; each takes some tenths of a millisecond.
pub(crate) const MAX_DEMANDS_COMPARED: usize = 2;
/// The scale of shares of a run for each task served.
const SHARE_SCALE: u64 = 1_000;

/// The runs to stop on a worker for waiting tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PreemptionChoice {
    /// The index of the demand.
    pub(crate) demand: usize,
    /// The index of the worker on which the tasks are to start.
    pub(crate) worker: usize,
    /// The runs to stop, each by the index of its worker and of the run there. Members of gangs may run on other workers.
    pub(crate) stops: Vec<(usize, usize)>,
    /// The number of waiting tasks that fit afterwards.
    pub(crate) served: usize,
    /// The work that the stops lose, in core-milliseconds.
    pub(crate) lost_work: u64,
}

/// A run that may be stopped: whether it belongs to a standing task, its cost and its index.
type Candidate = (bool, u64, usize);

/// The indices of a worker's runs that make room when stopped together.
type RunSet = SmallVec<[usize; 4]>;

/// The cheapest way to make room on one worker.
#[derive(Clone, Debug)]
struct SetChoice {
    worker: usize,
    runs: RunSet,
    served: usize,
    lost_work: u64,
    order: SetOrder,
}

/// The order of choices; the smallest is taken first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SetOrder {
    /// Whether a standing run is stopped.
    stops_standing: bool,
    /// Whether standing runs are stopped on a worker that lends nothing yet.
    first_loan: bool,
    /// How many runs could be stopped on such a worker: few workers may lend, so those go first that can lend most.
    lendable: Reverse<usize>,
    /// Standing runs stopped for each task served, in thousandths.
    standing: u64,
    /// Work lost for each task served, in core-milliseconds.
    lost_work: u64,
    worker: usize,
}

/// A plan in the making.
struct PlanState<'a> {
    views: &'a mut PlanViews,
    /// What stays in use on each worker, with the tasks that are expected to start there.
    used: Vec<ResourceSize>,
    stops: usize,
}

/// Chooses the runs to stop for these demands, the most urgent demand first. Marks the runs in the views; the allowances are left as
/// they were. The demands before `first` only get capacity that needs no stop, as nothing was found for them a moment ago.
pub(crate) fn plan_preemptions(
    views: &mut PlanViews,
    demands: &[DemandView],
    first: usize,
) -> Vec<PreemptionChoice> {
    let allowances = views.allowances.clone();
    let choices = PlanState::new(views).plan_all(demands, first);
    views.allowances = allowances;
    choices
}

impl<'a> PlanState<'a> {
    fn new(views: &'a mut PlanViews) -> Self {
        let used = views.workers.iter().map(|worker| {
            let staying = worker.runs.iter();
            let staying = staying.filter(|run| run.outlook != RunOutlook::Leaves);
            staying.fold(ResourceSize::default(), |sum, run| sum_of(&sum, &run.room))
        });
        let used = used.collect();
        Self {
            views,
            used,
            stops: 0,
        }
    }

    fn plan_all(&mut self, demands: &[DemandView], first: usize) -> Vec<PreemptionChoice> {
        let mut choices = Vec::new();
        let mut compared = 0;
        for (index, demand) in demands.iter().enumerate() {
            let missing = self.deduct_available(demand);
            if missing > 0 && index >= first && compared < MAX_DEMANDS_COMPARED {
                compared += 1;
                self.plan_demand(index, demand, missing, &mut choices);
            }
        }
        choices
    }

    /// Gives waiting tasks the capacity that is free or becomes free without a stop. Returns how many find none.
    fn deduct_available(&mut self, demand: &DemandView) -> usize {
        let mut missing = demand.count;
        for worker in demand.workers.iter() {
            if missing == 0 {
                break;
            }
            let fitting = self.fitting(demand, *worker, &ResourceSize::default(), missing);
            self.take_room(demand, *worker, fitting);
            missing -= fitting;
        }
        missing
    }

    /// How many of at most `wanted` tasks fit on a worker once `freed` is free as well.
    fn fitting(
        &self,
        demand: &DemandView,
        worker: usize,
        freed: &ResourceSize,
        wanted: usize,
    ) -> usize {
        let view = &self.views.workers[worker];
        let used = self.used[worker].saturating_minus(freed);
        let held = view.held.iter();
        let held = held.filter(|(scope, _)| !scope.admits(&demand.scope));
        let used = held.fold(used, |sum, (_, room)| sum_of(&sum, room));
        let free = view.capacity.saturating_minus(&used);
        let most = wanted.min(demand.most_per_worker);
        times_in(&demand.room, &free).min(most)
    }

    fn take_room(&mut self, demand: &DemandView, worker: usize, tasks: usize) {
        for _ in 0..tasks {
            self.used[worker] = sum_of(&self.used[worker], &demand.room);
        }
    }

    fn plan_demand(
        &mut self,
        index: usize,
        demand: &DemandView,
        mut missing: usize,
        choices: &mut Vec<PreemptionChoice>,
    ) {
        let sets = demand.workers.iter();
        let sets = sets.filter_map(|worker| self.cheapest_set(demand, *worker, missing));
        let mut sets: Vec<SetChoice> = sets.collect();
        while missing > 0 && self.stops < MAX_STOPS_PER_PLAN {
            let best = (0..sets.len()).min_by_key(|place| sets[*place].order);
            let Some(best) = best else {
                return;
            };
            // Earlier choices may have used up the allowance of a step, or stopped a gang on several workers.
            let worker = sets[best].worker;
            match self.cheapest_set(demand, worker, missing) {
                None => {
                    sets.swap_remove(best);
                }
                Some(set) if set.order > sets[best].order => sets[best] = set,
                Some(set) => {
                    let set = self.with_more_runs(demand, set, missing);
                    missing -= set.served;
                    choices.extend(self.carry_out(index, demand, set));
                    match self.cheapest_set(demand, worker, missing.max(1)) {
                        Some(next) => sets[best] = next,
                        None => drop(sets.swap_remove(best)),
                    }
                }
            }
        }
    }

    /// Marks the runs of a set as leaving; none if no run has to be stopped.
    fn carry_out(
        &mut self,
        index: usize,
        demand: &DemandView,
        set: SetChoice,
    ) -> Option<PreemptionChoice> {
        let mut stops = Vec::new();
        for run in &set.runs {
            match self.views.workers[set.worker].runs[*run].kind {
                RunKind::Member(gang) => stops.extend(&self.views.gangs[gang].members),
                RunKind::Ending | RunKind::Standing(_) => stops.push((set.worker, *run)),
            }
        }
        for (worker, run) in &stops {
            let view = &mut self.views.workers[*worker].runs[*run];
            view.outlook = RunOutlook::Leaves;
            self.used[*worker] = self.used[*worker].saturating_minus(&view.room);
            if let RunKind::Standing(step) = view.kind {
                self.views.allowances[step].take();
            }
        }
        if set.order.first_loan {
            self.views.workers[set.worker].lends = true;
            self.views.spare_lenders -= 1;
        }
        self.take_room(demand, set.worker, set.served);
        self.stops += stops.len();
        (!stops.is_empty()).then_some(PreemptionChoice {
            demand: index,
            worker: set.worker,
            stops,
            served: set.served,
            lost_work: set.lost_work,
        })
    }

    /// The cheapest set of runs on a worker that makes room for a task when stopped.
    fn cheapest_set(
        &self,
        demand: &DemandView,
        worker: usize,
        missing: usize,
    ) -> Option<SetChoice> {
        if self.fitting(demand, worker, &ResourceSize::default(), 1) > 0 {
            return self.set_choice(demand, worker, RunSet::new(), missing);
        }
        let candidates = self.candidates(demand, worker);
        let runs = &self.views.workers[worker].runs;
        let mut alone = candidates.iter().map(|(_, _, run)| *run);
        let alone = alone.find(|run| self.fitting(demand, worker, &runs[*run].room, 1) > 0);
        let alone = alone.map(|run| SmallVec::from_slice(&[run]));
        let several = match alone.is_some() && candidates[0].0 {
            // One standing run is always cheaper than several.
            true => None,
            false => self.several_runs(demand, worker, &candidates),
        };
        let sets = alone.into_iter().chain(several);
        let choices = sets.filter_map(|set| self.set_choice(demand, worker, set, missing));
        let mut choice = choices.min_by_key(|choice| choice.order)?;
        if choice.order.first_loan {
            choice.order.lendable = Reverse(candidates.len());
        }
        Some(choice)
    }

    /// Adds further runs to a set where more tasks are served for each standing run or unit of work that is lost. Rooms for short tasks
    /// are better on few workers than on many: between two tasks they are free, and a worker with room for a standing task counts against
    /// the rule on these tasks.
    fn with_more_runs(
        &self,
        demand: &DemandView,
        smallest: SetChoice,
        missing: usize,
    ) -> SetChoice {
        let worker = smallest.worker;
        if smallest.runs.is_empty() || smallest.served >= missing {
            return smallest;
        }
        let candidates = self.candidates(demand, worker);
        let most = MAX_STOPS_PER_PLAN.saturating_sub(self.stops);
        let mut set = smallest.runs.clone();
        let mut best = smallest;
        for (_, _, run) in &candidates {
            if best.served >= missing || set.len() >= most {
                break;
            }
            if set.contains(run) || !self.allows_in_set(worker, &set, *run) {
                continue;
            }
            set.push(*run);
            let larger = self.set_choice(demand, worker, set.clone(), missing);
            if let Some(mut larger) = larger {
                larger.order.lendable = best.order.lendable;
                if larger.order < best.order {
                    best = larger;
                }
            }
        }
        let runs = self.without_needless(demand, worker, best.runs.clone(), best.served);
        self.set_choice(demand, worker, runs, missing)
            .unwrap_or(best)
    }

    /// Whether one more run may be stopped together with a set. Several runs of it may belong to one standing step.
    fn allows_in_set(&self, worker: usize, set: &[usize], run: usize) -> bool {
        let runs = &self.views.workers[worker].runs;
        let RunKind::Standing(step) = runs[run].kind else {
            return true;
        };
        let same = |other: &&usize| runs[**other].kind == RunKind::Standing(step);
        set.iter().filter(same).count() < self.views.allowances[step].spare()
    }

    fn set_choice(
        &self,
        demand: &DemandView,
        worker: usize,
        runs: RunSet,
        missing: usize,
    ) -> Option<SetChoice> {
        let views = &self.views.workers[worker].runs;
        let freed = rooms_of(views, &runs);
        let served = self.fitting(demand, worker, &freed, missing);
        if served == 0 {
            return None;
        }
        let stopped = runs.iter().map(|run| &views[*run]);
        let standing = stopped.clone().filter(|run| is_standing(run)).count() as u64;
        let lost_work: u64 = stopped.map(|run| self.cost(run)).sum();
        let first_loan = standing > 0 && !self.views.workers[worker].lends;
        if first_loan && self.views.spare_lenders == 0 {
            return None;
        }
        let order = SetOrder {
            stops_standing: standing > 0,
            first_loan,
            lendable: Reverse(0),
            standing: standing * SHARE_SCALE / served as u64,
            lost_work: lost_work / served as u64,
            worker,
        };
        Some(SetChoice {
            worker,
            runs,
            served,
            lost_work,
            order,
        })
    }

    /// Several runs that make room together: the cheapest ones until the task fits, without those that turn out not to be needed.
    fn several_runs(
        &self,
        demand: &DemandView,
        worker: usize,
        candidates: &[Candidate],
    ) -> Option<RunSet> {
        let runs = &self.views.workers[worker].runs;
        let mut set = RunSet::new();
        for (_, _, run) in candidates {
            if !self.allows_in_set(worker, &set, *run) {
                continue;
            }
            set.push(*run);
            if self.fitting(demand, worker, &rooms_of(runs, &set), 1) > 0 {
                return Some(self.without_needless(demand, worker, set, 1));
            }
        }
        None
    }

    /// Leaves out runs without which as many tasks are served, the dearest first.
    fn without_needless(
        &self,
        demand: &DemandView,
        worker: usize,
        mut set: RunSet,
        served: usize,
    ) -> RunSet {
        let runs = &self.views.workers[worker].runs;
        for place in (0..set.len()).rev() {
            let mut fewer = set.clone();
            fewer.remove(place);
            if self.fitting(demand, worker, &rooms_of(runs, &fewer), served) >= served {
                set = fewer;
            }
        }
        set
    }

    /// The runs on a worker that may be stopped for a demand, lower priorities and cheap ones first: whether each belongs to a standing
    /// task, its cost and its index. Of a gang's members on the worker only the first is listed.
    fn candidates(&self, demand: &DemandView, worker: usize) -> SmallVec<[Candidate; 16]> {
        let mut candidates: SmallVec<[Candidate; 16]> = SmallVec::new();
        let runs = &self.views.workers[worker].runs;
        for (index, run) in runs.iter().enumerate() {
            if self.may_stop(demand, run) {
                candidates.push((is_standing(run), self.cost(run), index));
            }
        }
        candidates.sort_unstable();
        candidates
    }

    fn may_stop(&self, demand: &DemandView, run: &RunView) -> bool {
        if run.outlook != RunOutlook::Stoppable {
            return false;
        }
        let lower = run.priority > demand.scope.priority;
        match run.kind {
            RunKind::Ending | RunKind::Member(_) => lower,
            RunKind::Standing(step) => {
                let short = demand.scope.length == TaskLength::Short;
                let equal = run.priority == demand.scope.priority;
                (lower || equal && short) && self.views.allowances[step].spare() > 0
            }
        }
    }

    /// The cost of a stop. That of a standing run rises with the part of its step's allowance that is used.
    fn cost(&self, run: &RunView) -> u64 {
        match run.kind {
            RunKind::Standing(step) => {
                run.lost_work * self.views.allowances[step].used_percent_after_stop() / 100
            }
            RunKind::Ending | RunKind::Member(_) => run.lost_work,
        }
    }
}

fn is_standing(run: &RunView) -> bool {
    matches!(run.kind, RunKind::Standing(_))
}

fn rooms_of(runs: &[RunView], set: &[usize]) -> ResourceSize {
    set.iter().fold(ResourceSize::default(), |sum, run| {
        sum_of(&sum, &runs[*run].room)
    })
}

pub(crate) fn sum_of(one: &ResourceSize, other: &ResourceSize) -> ResourceSize {
    ResourceSize {
        cpu_millis: one.cpu_millis + other.cpu_millis,
        memory_mib: one.memory_mib + other.memory_mib,
        accelerators: one.accelerators + other.accelerators,
    }
}

/// How often a room fits into the free capacity.
fn times_in(room: &ResourceSize, free: &ResourceSize) -> usize {
    let times = |needed: u64, free: u64| free.checked_div(needed).unwrap_or(u64::MAX);
    let fewest = times(room.cpu_millis, free.cpu_millis)
        .min(times(room.memory_mib, free.memory_mib))
        .min(times(room.accelerators, free.accelerators));
    usize::try_from(fewest).unwrap_or(usize::MAX)
}
