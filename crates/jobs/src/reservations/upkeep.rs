//! Makes reservations for large tasks that have waited for long, and ends them.

use sandshelf_model::{Millis, ResourceSize, WorkerId};

use super::book::Reservation;
use super::choice::{soonest_worker, EndingRun, ReservableWorker};
use crate::ids::TaskKey;
use crate::job::TaskStage;
use crate::limits::{MIN_RESERVABLE_WORKERS, RESERVED_FLEET_DIVISOR};
use crate::note::JobNote;
use crate::scheduler::JobScheduler;
use crate::spec::StepSpec;
use crate::worker::WorkerState;

/// How often reservations are checked. Waiting tasks are tried at least as often.
const REFRESH_MS: Millis = 100;
/// A large task that has waited for this long gets a worker reserved. Most tasks run for about a second, so capacity for a task that is
/// not much larger than others is free before.
const RESERVE_AFTER_MS: Millis = 1_000;
/// The longest reservation, and the longest time until its capacity is ready. The platform counts tasks as lost for which capacity has
/// been kept unused for 3 s.
const RESERVATION_MS: Millis = 2_500;
/// How long a task whose reservation ended without a start gets no other, and its worker is not reserved, so that the kept capacity is
/// used meanwhile.
const PAUSE_MS: Millis = 1_000;
/// A task is large if it takes this share of a worker's processors or memory.
const LARGE_PERCENT: u64 = 40;
/// For how long large workers are kept after the last job that needs one. Without such jobs, packing small tasks on small workers only
/// costs: about a third fewer jobs ended in time.
const KEEP_LARGE_MS: Millis = 10_000;
/// The cost of using a worker of twice the size of the smallest for a task that fits on the smallest. With half of it, a worker of 1.5
/// times the size still costs more than filling the smallest up.
const LARGE_WORKER_COST: f64 = 3.0;

/// Whether a task of this size takes a large share of a worker.
fn is_large(room: &ResourceSize, capacity: &ResourceSize) -> bool {
    let takes = |part: u64, whole: u64| part * 100 >= whole * LARGE_PERCENT;
    takes(room.cpu_millis, capacity.cpu_millis) || takes(room.memory_mib, capacity.memory_mib)
}

/// The runs on a worker that are expected to end.
fn ending_runs(worker: &WorkerState) -> Vec<EndingRun> {
    let runs = worker.runs.values();
    let ending = runs.filter(|record| !record.standing && record.chain.own_ms > 0);
    let ending = ending.map(|record| EndingRun {
        ends_at: record.ordered_at + record.chain.own_ms,
        room: record.room,
    });
    ending.collect()
}

impl JobScheduler {
    /// Ends reservations that are not needed any more, and makes those that are. A new owner makes its own.
    pub(crate) fn refresh_reservations(&mut self, now: Millis) {
        let due = now >= self.reservations.refreshed_at + REFRESH_MS;
        if !self.limits.policies.reservations || !due {
            return;
        }
        self.reservations.refreshed_at = now;
        self.reservations.paused.retain(|_, until| now < *until);
        self.reservations.resting.retain(|_, until| now < *until);
        self.note_smallest_workers();
        self.note_large_tasks(now);
        self.end_reservations(now);
        let most = MIN_RESERVABLE_WORKERS.min(self.workers.len() / 2);
        let most = most.max(self.workers.len() / RESERVED_FLEET_DIVISOR);
        for (task, waited_ms) in self.large_waiting_tasks(now) {
            if self.reservations.len() >= most {
                return;
            }
            self.reserve_for_large(now, task, waited_ms);
        }
    }

    fn note_smallest_workers(&mut self) {
        self.reservations.smallest.clear();
        for worker in self.workers.values() {
            let cpu_millis = worker.entry.capacity.cpu_millis;
            let smallest = &mut self.reservations.smallest;
            match smallest.get_mut(&worker.entry.service) {
                Some(known) => *known = cpu_millis.min(*known),
                None => {
                    smallest.insert(worker.entry.service.clone(), cpu_millis);
                }
            }
        }
    }

    /// Notes which services have jobs with tasks that fit on no small worker.
    fn note_large_tasks(&mut self, now: Millis) {
        let large = self.jobs.values().filter_map(|job| {
            let service = &self.rules(&job.spec).service;
            let smallest = self.reservations.smallest.get(service)?;
            let mut steps = job.spec.steps.iter();
            let needs_large = steps.any(|step| step.room().cpu_millis > *smallest);
            needs_large.then(|| service.clone())
        });
        let large: Vec<String> = large.collect();
        let large_until = &mut self.reservations.large_until;
        large_until.retain(|_, until| now < *until);
        large_until.extend(
            large
                .into_iter()
                .map(|service| (service, now + KEEP_LARGE_MS)),
        );
    }

    fn end_reservations(&mut self, now: Millis) {
        let mut ended = Vec::new();
        for (worker, reservation) in &self.reservations.by_worker {
            let job = self.jobs.get(&reservation.task.job);
            let task = job.and_then(|job| job.task(&reservation.task));
            let waits = task.is_some_and(|task| task.stage == TaskStage::Waiting);
            let state = self.workers.get(worker);
            let usable = state.is_some_and(|state| state.is_open(now));
            if !waits || !usable || now >= reservation.until {
                ended.push((worker.clone(), reservation.task, waits && usable));
            }
        }
        for (worker, task, in_vain) in ended {
            self.reservations.by_worker.remove(&worker);
            if in_vain {
                self.reservations.paused.insert(task, now + PAUSE_MS);
                let resting = &mut self.reservations.resting;
                resting.insert(worker.clone(), now + PAUSE_MS);
            }
            self.note(JobNote::ReservationEnded {
                task,
                worker,
                in_vain,
            });
        }
    }

    /// The waiting tasks that are large and have waited for long, with the time that they have waited, the most urgent first.
    fn large_waiting_tasks(&self, now: Millis) -> Vec<(TaskKey, Millis)> {
        let waiting = self.waiting.iter().filter_map(|wait| {
            let job = self.jobs.get(&wait.task.job)?;
            let step = job.step_spec(&wait.task)?;
            let waited_ms = now.saturating_sub(job.task(&wait.task)?.waiting_since);
            let plain = !step.gang && !step.fills;
            (plain && waited_ms >= RESERVE_AFTER_MS).then_some((wait.task, waited_ms))
        });
        let wanted = waiting.filter(|(task, _)| {
            let paused = self.reservations.paused.contains_key(task);
            !paused && self.reservations.worker_for(task).is_none()
        });
        wanted.collect()
    }

    fn reserve_for_large(&mut self, now: Millis, task: TaskKey, waited_ms: Millis) {
        let Some((worker, ready_at, room)) = self.soonest_for(now, &task) else {
            return;
        };
        if ready_at > now + RESERVATION_MS {
            return;
        }
        let reservation = Reservation {
            task,
            room,
            ready_at,
            until: now + RESERVATION_MS,
        };
        let reservations = &mut self.reservations.by_worker;
        reservations.insert(worker.clone(), reservation);
        self.note(JobNote::WorkerReserved {
            task,
            worker,
            waited_ms,
            ready_in_ms: ready_at.saturating_sub(now),
        });
    }

    /// The worker on which a large task fits soonest, when, and the capacity that it needs.
    fn soonest_for(&self, now: Millis, task: &TaskKey) -> Option<(WorkerId, Millis, ResourceSize)> {
        let job = self.jobs.get(&task.job)?;
        let step = job.step_spec(task)?;
        let service = &self.rules(&job.spec).service;
        let room = step.room();
        let usable = self.workers.iter().filter(|(id, worker)| {
            worker.entry.service == *service
                && is_large(&room, &worker.entry.capacity)
                && self.may_hold(now, worker, step)
                && !self.reservations.by_worker.contains_key(*id)
                && !self.reservations.resting.contains_key(*id)
        });
        let views = usable.map(|(id, worker)| ReservableWorker {
            id,
            free: worker.free(),
            ending: ending_runs(worker),
        });
        let (worker, ready_at) = soonest_worker(now, &room, views)?;
        Some((worker.clone(), ready_at, room))
    }

    fn may_hold(&self, now: Millis, worker: &WorkerState, step: &StepSpec) -> bool {
        let label = step.label.as_ref();
        let labelled = label.is_none_or(|label| worker.entry.labels.contains(label));
        labelled && worker.is_open(now) && step.room().fits_in(&worker.entry.capacity)
    }

    /// The additional cost of a large worker for a short task that fits on the smallest, so that large workers stay for what needs them.
    pub(crate) fn large_worker_cost(&self, worker: &WorkerState, step: &StepSpec) -> f64 {
        if !self.limits.policies.reservations || step.fills || step.target_ms > 0 {
            return 0.0;
        }
        let service = &worker.entry.service;
        if !self.reservations.large_until.contains_key(service) {
            return 0.0;
        }
        let smallest = self.reservations.smallest.get(service);
        let Some(smallest) = smallest.filter(|cpu| step.size.cpu_millis <= **cpu) else {
            return 0.0;
        };
        let ratio = worker.entry.capacity.cpu_millis as f64 / (*smallest).max(1) as f64;
        (ratio - 1.0) * LARGE_WORKER_COST
    }
}
