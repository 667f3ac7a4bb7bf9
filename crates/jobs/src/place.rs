//! Chooses the workers on which waiting tasks are started.

use std::collections::BTreeMap;

use sandshelf_model::{Millis, ResourceSize, WorkerId};
use sandshelf_place::WorkerHealth;

use crate::cost::{fill_cost, place_cost, Candidate, AMBIGUOUS_CRASH_COST, LOST_RUN_COST};
use crate::crash::StartCaution;
use crate::fill::{FillRequest, FillUrgency};
use crate::ids::TaskKey;
use crate::limits::{MAX_WORKER_CHECKS_PER_PASS, PASS_RESUME_WINDOW_MS};
use crate::rank::{
    are_processors_scarce, is_mostly_used, place_rank, CapacityUse, FailedPlacements, PassMemo,
    PlaceCost, PlaceRank, RankTier, WaitingGroup,
};
use crate::scheduler::JobScheduler;
use crate::wait_key::WaitKey;
use crate::worker::WorkerState;

impl JobScheduler {
    /// Starts waiting tasks on workers with free capacity, the most urgent tasks first (a placement pass).
    pub(crate) fn place_waiting(&mut self, now: Millis) {
        let pause = self.backlog.pass_pause_ms(self.waiting.len());
        let paused = self.pass_left_tasks && now < self.last_pass + pause;
        let max_unanswered_starts = self.backlog.max_unanswered_starts();
        if self.may_be_claimed(now) || paused || self.unanswered_starts >= max_unanswered_starts {
            return;
        }
        if !std::mem::take(&mut self.room_changed) || self.waiting.is_empty() {
            return;
        }
        self.last_pass = now;
        let mut memo = self.begin_pass(now);
        self.note_standing_capacity(now);
        self.refresh_reservations(now);
        let groups = self.ranked_groups(now);
        let mut cut_short = false;
        'pass: for group in groups {
            if self.is_held_back(now, &group) {
                continue;
            }
            for wait in group.tasks {
                let failed = memo.failed.steps.contains(&wait.task.first_of_step());
                if failed && self.reservations.worker_for(&wait.task).is_none()
                    || self.is_standing_held(now, &wait)
                {
                    continue;
                }
                self.place_one(now, group.rank, wait, &mut memo);
                cut_short = memo.evaluations >= MAX_WORKER_CHECKS_PER_PASS;
                if cut_short || self.unanswered_starts >= max_unanswered_starts {
                    // The remaining tasks are tried as soon as answers have arrived.
                    self.room_changed = true;
                    break 'pass;
                }
            }
        }
        self.pass_left_tasks = !self.waiting.is_empty();
        self.failed_placements = cut_short.then_some(memo.failed);
    }

    /// Begins a pass. A pass that follows one that was cut short skips the tasks that could not be placed in that one, so that the
    /// tasks behind them get their turn.
    fn begin_pass(&mut self, now: Millis) -> PassMemo {
        let workers = &self.workers;
        let order = self
            .worker_order
            .get_or_insert_with(|| workers.keys().cloned().collect());
        let previous = self.failed_placements.take();
        let previous = previous.filter(|tries| now < tries.since + PASS_RESUME_WINDOW_MS);
        PassMemo::new(
            order.clone(),
            previous.unwrap_or_else(|| FailedPlacements::new(now)),
        )
    }

    /// The waiting tasks, grouped by job, the most urgent job first.
    fn ranked_groups(&self, now: Millis) -> Vec<WaitingGroup> {
        let mut groups: Vec<WaitingGroup> = Vec::new();
        let used = CapacityUse {
            mostly_used: is_mostly_used(self.workers.values()),
            scarce_processors: self.standing_shortage.is_overloaded(now)
                && are_processors_scarce(self.workers.values()),
        };
        for wait in &self.waiting {
            let number = wait.task.job;
            match groups.last_mut() {
                Some(group) if group.job == number => group.tasks.push(*wait),
                _ => {
                    if let Some(job) = self.jobs.get(&number) {
                        let rank = place_rank(now, job, wait, used);
                        groups.push(WaitingGroup {
                            rank: self.share_rank(now, rank, job, wait),
                            job: number,
                            tasks: vec![*wait],
                        });
                    }
                }
            }
        }
        groups.sort_by(|one, other| (one.rank, one.tasks[0]).cmp(&(other.rank, other.tasks[0])));
        groups
    }

    /// Tries to start one task or one gang.
    fn place_one(&mut self, now: Millis, rank: PlaceRank, wait: WaitKey, memo: &mut PassMemo) {
        let key = wait.task;
        let Some(job) = self.jobs.get(&key.job) else {
            self.waiting.remove(&wait);
            return;
        };
        let (Some(step), Some(task)) = (job.step_spec(&key), job.task(&key)) else {
            self.waiting.remove(&wait);
            return;
        };
        let rules = self.rules(&job.spec);
        let service = rules.service.as_str();
        let starving = rank.tier == RankTier::Starving && !memo.jobs_placed.contains(&key.job);
        let reserved = self.reservations.worker_for(&key);
        if reserved.is_none() && memo.rules_out(service, step, starving) {
            memo.failed.steps.insert(key.first_of_step());
            return;
        }
        let candidate = Candidate {
            key,
            step,
            service,
            last_worker: task
                .last_worker
                .as_ref()
                .filter(|_| !task.failed_runs.is_empty() || task.restarts.count > 0),
            only_rack: None,
            starving,
            caution: self.caution_of(&key),
            guarded: rules.guarded,
            fill: FillRequest {
                urgency: FillUrgency::new(now, job.due, job.remaining_ms()),
                image: self.images.get(&step.image),
                cpu_millis: step.size.cpu_millis,
            },
        };
        let places = if step.gang {
            self.choose_gang(now, &candidate, memo)
        } else {
            let own = reserved.filter(|id| self.is_own_ready(now, id, &candidate));
            let chosen = match (own, reserved) {
                (Some(worker), _) => Some(worker.clone()),
                (None, Some(_)) if memo.has_failed(&key, service, step, starving) => None,
                (None, _) => self.choose_worker(now, &candidate, &BTreeMap::new(), memo),
            };
            chosen.map(|worker| vec![(key, worker)])
        };
        match places {
            None if candidate.caution != StartCaution::Usual => {
                let reserved = self.choose_reserved(now, &candidate);
                if let Some(worker) = reserved {
                    self.reserve_worker(now, worker, key);
                }
            }
            None => memo.record_failed(&key, service, step, starving),
            Some(places) => {
                memo.jobs_placed.push(key.job);
                for (_, place) in &places {
                    if let Ok(index) = memo.order.binary_search(place) {
                        memo.costs.invalidate(index);
                    }
                }
                self.waiting.remove(&wait);
                self.start_tasks(now, places);
            }
        }
    }

    /// Whether a task can start on the worker that is reserved for it.
    fn is_own_ready(&self, now: Millis, id: &WorkerId, candidate: &Candidate<'_>) -> bool {
        let worker = self.workers.get(id);
        worker.is_some_and(|worker| self.is_eligible(now, id, worker, candidate, &[]))
    }

    /// Chooses the eligible worker with the lowest cost. `planned` holds the sizes that earlier members of the same gang take on each
    /// worker.
    ///
    /// The tasks of a step are alike. For each task but the first, only the worker that got the previous one is evaluated again.
    fn choose_worker(
        &self,
        now: Millis,
        candidate: &Candidate<'_>,
        planned: &BTreeMap<WorkerId, Vec<ResourceSize>>,
        memo: &mut PassMemo,
    ) -> Option<WorkerId> {
        let no_caution = candidate.caution == StartCaution::Usual;
        let cacheable = candidate.last_worker.is_none() && !candidate.step.gang && no_caution;
        if cacheable {
            if let Some(costs) = memo.costs.cached(&candidate.key, candidate.starving) {
                for (cost, id) in costs.iter_mut().zip(memo.order.iter()) {
                    if *cost == PlaceCost::Unknown {
                        let worker = self.workers.get(id);
                        *cost = worker.map_or(PlaceCost::Ineligible, |worker| {
                            self.cost_at(now, (id, worker), candidate, &[])
                        });
                    }
                }
                return cheapest(costs).map(|index| memo.order[index].clone());
            }
        }
        let cost_at = |(id, worker)| {
            let taken = planned.get(id).map_or(&[][..], Vec::as_slice);
            self.cost_at(now, (id, worker), candidate, taken)
        };
        let urgent = candidate.starving || !candidate.step.fills || candidate.step.gang;
        let all = self.workers.len();
        let considered = match urgent {
            true => all,
            false => self.backlog.placement_candidates(all),
        };
        let first = memo.evaluations % all.max(1);
        memo.evaluations += considered;
        let places = self.workers.iter().enumerate();
        let costs: Vec<PlaceCost> = places
            .map(
                |(place, worker)| match (place + all - first) % all < considered {
                    true => cost_at(worker),
                    false => PlaceCost::Ineligible,
                },
            )
            .collect();
        let chosen = cheapest(&costs).map(|index| memo.order[index].clone());
        if cacheable {
            memo.costs.store(&candidate.key, candidate.starving, costs);
        }
        chosen
    }

    /// The cost of placing a task on a worker, if the worker is eligible.
    pub(crate) fn cost_at(
        &self,
        now: Millis,
        (id, worker): (&WorkerId, &WorkerState),
        candidate: &Candidate<'_>,
        taken: &[ResourceSize],
    ) -> PlaceCost {
        if !self.is_eligible(now, id, worker, candidate, taken) {
            return PlaceCost::Ineligible;
        }
        let mut cost = place_cost(worker, candidate, taken);
        cost += self.caution_cost(now, worker, candidate);
        cost += self.large_worker_cost(worker, candidate.step);
        if candidate.step.fills {
            let allocator = self.fill_allocator(now, worker);
            match fill_cost(allocator, &self.interference, candidate) {
                Some(filling) => cost += filling,
                None => return PlaceCost::Ineligible,
            }
        }
        PlaceCost::Cost(cost)
    }

    /// The additional cost of starting a task whose earlier workers crashed: the runs that a crash would take down with the worker, and
    /// a penalty where a further crash could not be attributed to the task.
    fn caution_cost(&self, now: Millis, worker: &WorkerState, candidate: &Candidate<'_>) -> f64 {
        if candidate.caution == StartCaution::Usual {
            return 0.0;
        }
        let crashed_recently = self.crashes.crashed_lately(now, &worker.entry.address);
        let ambiguous = crashed_recently || self.runs_suspect(worker);
        let runs = worker.runs.len() as f64 * LOST_RUN_COST;
        match ambiguous {
            true => runs + AMBIGUOUS_CRASH_COST,
            false => runs,
        }
    }

    /// Chooses a worker to reserve for a task that has to run alone and for which no worker without other runs was found.
    fn choose_reserved(&self, now: Millis, candidate: &Candidate<'_>) -> Option<WorkerId> {
        if candidate.caution != StartCaution::Alone || !self.may_reserve_for(&candidate.key) {
            return None;
        }
        let apart = Candidate {
            caution: StartCaution::Apart,
            ..*candidate
        };
        let costs = self.workers.iter().filter_map(|(id, worker)| {
            match self.cost_at(now, (id, worker), &apart, &[]) {
                PlaceCost::Cost(cost) => Some((cost, id)),
                PlaceCost::Ineligible | PlaceCost::Unknown => None,
            }
        });
        let cheapest = costs.min_by(|(one, _), (other, _)| one.total_cmp(other));
        cheapest.map(|(_, id)| id.clone())
    }

    fn is_eligible(
        &self,
        now: Millis,
        id: &WorkerId,
        worker: &WorkerState,
        candidate: &Candidate<'_>,
        taken: &[ResourceSize],
    ) -> bool {
        let step = candidate.step;
        let labelled = step.label.as_ref();
        let labelled = labelled.is_none_or(|label| worker.entry.labels.contains(label));
        if !worker.is_open(now) || worker.entry.service != candidate.service || !labelled {
            return false;
        }
        if !self.crashes.allows_start(id, &candidate.key) {
            return false;
        }
        if candidate.caution == StartCaution::Alone && !self.uncleared_runs(worker).is_empty() {
            return false;
        }
        let rack = worker.entry.rack.as_deref();
        if candidate.only_rack.is_some() && candidate.only_rack != rack {
            return false;
        }
        let left = self.free_capacity(now, id, worker, candidate.guarded);
        let left = self.unheld_capacity(id, worker, candidate, left);
        let free = taken
            .iter()
            .fold(left, |free, size| free.saturating_minus(size));
        let key = &candidate.key;
        if !step.room().fits_in(&free) || !self.reservations.allows_start(now, id, key, step, &free)
        {
            return false;
        }
        if step.most_per_worker > 0 {
            let held = worker
                .runs
                .keys()
                .filter(|run| same_step(&run.task, &candidate.key));
            if held.count() + taken.len() >= step.most_per_worker as usize {
                return false;
            }
        }
        match self.quarantine.health(id, now) {
            WorkerHealth::Healthy => true,
            // A worker on probation gets one task at a time; standing tasks running there don't count.
            WorkerHealth::Probation => worker.runs.values().all(|record| record.standing),
            WorkerHealth::Quarantined { .. } => false,
        }
    }

    /// Chooses workers for all members of a gang, on one rack if the step asks for it and a rack has capacity for all of them.
    fn choose_gang(
        &self,
        now: Millis,
        candidate: &Candidate<'_>,
        memo: &mut PassMemo,
    ) -> Option<Vec<(TaskKey, WorkerId)>> {
        if candidate.step.same_rack {
            let mut racks: Vec<&String> = Vec::new();
            for worker in self.workers.values() {
                if let Some(rack) = &worker.entry.rack {
                    if !racks.contains(&rack) {
                        racks.push(rack);
                    }
                }
            }
            let near = candidate.step.rack.as_ref();
            racks.sort_by_key(|rack| Some(*rack) != near);
            for rack in racks {
                if let Some(places) = self.choose_members(now, candidate, Some(rack), memo) {
                    return Some(places);
                }
            }
        }
        self.choose_members(now, candidate, None, memo)
    }

    fn choose_members(
        &self,
        now: Millis,
        candidate: &Candidate<'_>,
        rack: Option<&String>,
        memo: &mut PassMemo,
    ) -> Option<Vec<(TaskKey, WorkerId)>> {
        let mut planned: BTreeMap<WorkerId, Vec<ResourceSize>> = BTreeMap::new();
        let mut places = Vec::new();
        for index in 0..candidate.step.count {
            let key = TaskKey {
                index,
                ..candidate.key
            };
            let member = Candidate {
                key,
                caution: self.caution_of(&key),
                only_rack: rack.map(String::as_str),
                ..*candidate
            };
            let worker = self.choose_worker(now, &member, &planned, memo)?;
            let taken = planned.entry(worker.clone()).or_default();
            taken.push(candidate.step.room());
            places.push((key, worker));
        }
        Some(places)
    }
}

/// The index of the lowest cost; the first one among equal costs.
fn cheapest(costs: &[PlaceCost]) -> Option<usize> {
    let mut best: Option<(f64, usize)> = None;
    for (index, cost) in costs.iter().enumerate() {
        if let PlaceCost::Cost(cost) = cost {
            if best.is_none_or(|(cheapest, _)| *cost < cheapest) {
                best = Some((*cost, index));
            }
        }
    }
    best.map(|(_, index)| index)
}

fn same_step(one: &TaskKey, other: &TaskKey) -> bool {
    (one.job, one.time, one.step) == (other.job, other.time, other.step)
}
