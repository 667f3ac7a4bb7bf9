//! Which worker a task is started on.

use std::collections::BTreeMap;

use sandshelf_model::{Millis, ResourceSize, WorkerId};
use sandshelf_place::WorkerHealth;

use crate::cost::{fill_cost, place_cost, Candidate, BLURRED_CRASH_COST, LOST_RUN_COST};
use crate::crash::StartCaution;
use crate::fill::{FillAsk, FillUrgency};
use crate::ids::TaskKey;
use crate::limits::{MAX_WORKER_CHECKS_PER_PASS, PASS_RESUME_WINDOW_MS};
use crate::rank::{
    is_mostly_taken, place_rank, PassMemo, PlaceCost, PlaceRank, RankTier, VainTries, WaitingGroup,
};
use crate::scheduler::{JobScheduler, WaitKey};
use crate::worker::WorkerState;

impl JobScheduler {
    /// Starts waiting tasks on workers that have room, the most urgent first.
    pub(crate) fn place_waiting(&mut self, now: Millis) {
        let pause = self.strain.pass_pause_ms(self.waiting.len());
        let paused = self.pass_left_some && now < self.last_pass + pause;
        let starts_at_once = self.strain.starts_at_once();
        if self.may_be_followed(now) || paused || self.starts_under_way >= starts_at_once {
            return;
        }
        if !std::mem::take(&mut self.room_changed) || self.waiting.is_empty() {
            return;
        }
        self.last_pass = now;
        let mut memo = self.begin_pass(now);
        let groups = self.ranked_groups(now);
        let mut cut = false;
        'pass: for group in groups {
            for wait in group.tasks {
                if memo.tries.steps.contains(&wait.task.first_of_step()) {
                    continue;
                }
                self.place_one(now, group.rank, wait, &mut memo);
                cut = memo.looks >= MAX_WORKER_CHECKS_PER_PASS;
                if cut || self.starts_under_way >= starts_at_once {
                    // What is left is tried as soon as answers have come in.
                    self.room_changed = true;
                    break 'pass;
                }
            }
        }
        self.pass_left_some = !self.waiting.is_empty();
        self.vain_tries = cut.then_some(memo.tries);
    }

    /// Begins a pass; one that follows a pass that was cut short doesn't try again what that found to fit nowhere, so that
    /// what comes behind it has its turn.
    fn begin_pass(&mut self, now: Millis) -> PassMemo {
        let workers = &self.workers;
        let order = self
            .worker_order
            .get_or_insert_with(|| workers.keys().cloned().collect());
        let kept = self.vain_tries.take();
        let kept = kept.filter(|tries| now < tries.since + PASS_RESUME_WINDOW_MS);
        PassMemo::new(order.clone(), kept.unwrap_or_else(|| VainTries::new(now)))
    }

    /// The tasks that wait, job by job, the most urgent job first.
    fn ranked_groups(&self, now: Millis) -> Vec<WaitingGroup> {
        let mut groups: Vec<WaitingGroup> = Vec::new();
        let mostly_taken = is_mostly_taken(self.workers.values());
        for wait in &self.waiting {
            let number = wait.task.job;
            match groups.last_mut() {
                Some(group) if group.job == number => group.tasks.push(*wait),
                _ => {
                    if let Some(job) = self.jobs.get(&number) {
                        groups.push(WaitingGroup {
                            rank: place_rank(now, job, wait, mostly_taken),
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

    /// Tries to start a task, or a gang.
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
        let starving = rank.tier == RankTier::Starving && !memo.helped.contains(&key.job);
        if memo.rules_out(service, step, starving) {
            memo.tries.steps.insert(key.first_of_step());
            return;
        }
        let candidate = Candidate {
            key,
            step,
            service,
            last_worker: task
                .last_worker
                .as_ref()
                .filter(|_| !task.failed_runs.is_empty()),
            only_rack: None,
            starving,
            caution: self.caution_of(&key),
            guarded: rules.guarded,
            fill: FillAsk {
                urgency: FillUrgency::new(now, job.due, job.remaining_ms()),
                image: self.images.get(&step.image),
                cpu_millis: step.size.cpu_millis,
            },
        };
        let places = if step.gang {
            self.choose_gang(now, &candidate, memo)
        } else {
            let chosen = self.choose(now, &candidate, &BTreeMap::new(), memo);
            chosen.map(|worker| vec![(key, worker)])
        };
        match places {
            None if candidate.caution != StartCaution::Usual => {
                let kept = self.choose_kept(now, &candidate);
                if let Some(worker) = kept {
                    self.keep_worker(now, worker, key);
                }
            }
            None => memo.note_failed(&key, service, step, starving),
            Some(places) => {
                memo.helped.push(key.job);
                for (_, place) in &places {
                    if let Ok(index) = memo.order.binary_search(place) {
                        memo.costs.forget(index);
                    }
                }
                self.waiting.remove(&wait);
                self.start_tasks(now, places);
            }
        }
    }

    /// Chooses the least loaded worker with room; `planned` is what the members of a gang before this one take.
    ///
    /// The tasks of a step are alike: for each but the first only the worker is looked at anew that got the one before.
    fn choose(
        &self,
        now: Millis,
        candidate: &Candidate<'_>,
        planned: &BTreeMap<WorkerId, Vec<ResourceSize>>,
        memo: &mut PassMemo,
    ) -> Option<WorkerId> {
        let usual = candidate.caution == StartCaution::Usual;
        let alike = candidate.last_worker.is_none() && !candidate.step.gang && usual;
        if alike {
            if let Some(costs) = memo.costs.known(&candidate.key, candidate.starving) {
                for (cost, id) in costs.iter_mut().zip(memo.order.iter()) {
                    if *cost == PlaceCost::Unknown {
                        let worker = self.workers.get(id);
                        *cost = worker.map_or(PlaceCost::NoPlace, |worker| {
                            self.cost_at(now, (id, worker), candidate, &[])
                        });
                    }
                }
                return least(costs).map(|index| memo.order[index].clone());
            }
        }
        let cost_at = |(id, worker)| {
            let taken = planned.get(id).map_or(&[][..], Vec::as_slice);
            self.cost_at(now, (id, worker), candidate, taken)
        };
        let urgent = candidate.starving || !candidate.step.fills || candidate.step.gang;
        let all = self.workers.len();
        let looks = match urgent {
            true => all,
            false => self.strain.places_looked_at(all),
        };
        let from = memo.looks % all.max(1);
        memo.looks += looks;
        let places = self.workers.iter().enumerate();
        let costs: Vec<PlaceCost> = places
            .map(|(place, worker)| match (place + all - from) % all < looks {
                true => cost_at(worker),
                false => PlaceCost::NoPlace,
            })
            .collect();
        let chosen = least(&costs).map(|index| memo.order[index].clone());
        if alike {
            memo.costs.keep(&candidate.key, candidate.starving, costs);
        }
        chosen
    }

    /// What it costs to place a task on a worker, where it may go there.
    fn cost_at(
        &self,
        now: Millis,
        (id, worker): (&WorkerId, &WorkerState),
        candidate: &Candidate<'_>,
        taken: &[ResourceSize],
    ) -> PlaceCost {
        if !self.may_take(now, id, worker, candidate, taken) {
            return PlaceCost::NoPlace;
        }
        let mut cost = place_cost(worker, candidate, taken);
        cost += self.caution_cost(now, worker, candidate);
        if candidate.step.fills {
            let board = worker.board(&self.press, &self.loads, now);
            match fill_cost(board, &self.press, candidate) {
                Some(filling) => cost += filling,
                None => return PlaceCost::NoPlace,
            }
        }
        PlaceCost::Cost(cost)
    }

    /// What it costs beside that to start a task under which workers crashed: the runs that would be lost with the worker, and what
    /// would blur what another crash tells.
    fn caution_cost(&self, now: Millis, worker: &WorkerState, candidate: &Candidate<'_>) -> f64 {
        if candidate.caution == StartCaution::Usual {
            return 0.0;
        }
        let lately = self.crashes.crashed_lately(now, &worker.entry.address);
        let blurred = lately || self.has_suspect(worker);
        let runs = worker.runs.len() as f64 * LOST_RUN_COST;
        match blurred {
            true => runs + BLURRED_CRASH_COST,
            false => runs,
        }
    }

    /// Chooses a worker that is kept free of new starts for a task that is to be alone there and found no such worker.
    fn choose_kept(&self, now: Millis, candidate: &Candidate<'_>) -> Option<WorkerId> {
        if candidate.caution != StartCaution::Alone || !self.may_keep_for(&candidate.key) {
            return None;
        }
        let apart = Candidate {
            caution: StartCaution::Apart,
            ..*candidate
        };
        let costs = self.workers.iter().filter_map(|(id, worker)| {
            match self.cost_at(now, (id, worker), &apart, &[]) {
                PlaceCost::Cost(cost) => Some((cost, id)),
                PlaceCost::NoPlace | PlaceCost::Unknown => None,
            }
        });
        let least = costs.min_by(|(one, _), (other, _)| one.total_cmp(other));
        least.map(|(_, id)| id.clone())
    }

    fn may_take(
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
        if !self.crashes.lets_start(id, &candidate.key) {
            return false;
        }
        if candidate.caution == StartCaution::Alone && !self.unproven_runs(worker).is_empty() {
            return false;
        }
        let rack = worker.entry.rack.as_deref();
        if candidate.only_rack.is_some() && candidate.only_rack != rack {
            return false;
        }
        let left = self.room_left(now, id, worker, candidate.guarded);
        let free = taken
            .iter()
            .fold(left, |free, size| free.saturating_minus(size));
        if !step.room().fits_in(&free) {
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
            // One task at a time tries it out; standing tasks that are at work there say nothing.
            WorkerHealth::Probation => worker.runs.values().all(|record| record.standing),
            WorkerHealth::Quarantined { .. } => false,
        }
    }

    /// Chooses workers for all members of a gang, on one rack where that matters and can be had.
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
            let worker = self.choose(now, &member, &planned, memo)?;
            let taken = planned.entry(worker.clone()).or_default();
            taken.push(candidate.step.room());
            places.push((key, worker));
        }
        Some(places)
    }
}

/// The first of the least costs.
fn least(costs: &[PlaceCost]) -> Option<usize> {
    let mut best: Option<(f64, usize)> = None;
    for (index, cost) in costs.iter().enumerate() {
        if let PlaceCost::Cost(cost) = cost {
            if best.is_none_or(|(least, _)| *cost < least) {
                best = Some((*cost, index));
            }
        }
    }
    best.map(|(_, index)| index)
}

fn same_step(one: &TaskKey, other: &TaskKey) -> bool {
    (one.job, one.time, one.step) == (other.job, other.time, other.step)
}
