//! Chooses the worker for a copy or a restart, and starts copies.

use std::collections::BTreeSet;

use sandshelf_model::{Millis, ResourceSize, WorkerId};
use sandshelf_place::WorkerHealth;

use super::slow::SlowRun;
use super::task_runs::CopyRun;
use crate::cost::Candidate;
use crate::crash::StartCaution;
use crate::fill::{FillRequest, FillUrgency};
use crate::ids::{RunKey, TaskKey};
use crate::note::JobNote;
use crate::rank::PlaceCost;
use crate::scheduler::JobScheduler;
use crate::worker::WorkerState;

/// The cost of a worker on the rack of the slow run, in the units of [`crate::cost`]: what slows a run may slow its whole rack.
const SAME_RACK_COST: f64 = 1.0;

/// What the waiting tasks of a step ask of a worker.
pub(super) struct WaitingClaim {
    label: Option<String>,
    room: ResourceSize,
}

impl WaitingClaim {
    /// Whether the waiting tasks could use capacity of this worker.
    fn applies_to(&self, worker: &WorkerState) -> bool {
        let labels = &worker.entry.labels;
        let labelled = self
            .label
            .as_ref()
            .is_none_or(|label| labels.contains(label));
        labelled && self.room.fits_in(&worker.entry.capacity)
    }
}

impl JobScheduler {
    /// What waiting tasks of the same service ask for that are at least as urgent as a task's queue, by step.
    pub(super) fn waiting_claims(&self, key: &TaskKey) -> Vec<WaitingClaim> {
        let Some(job) = self.jobs.get(&key.job) else {
            return Vec::new();
        };
        let rules = self.rules(&job.spec);
        let mut claims = Vec::new();
        let mut last_step = None;
        for wait in &self.waiting {
            if wait.priority > rules.priority {
                break;
            }
            if last_step.replace(wait.task.first_of_step()) == Some(wait.task.first_of_step()) {
                continue;
            }
            let Some(waiting) = self.jobs.get(&wait.task.job) else {
                continue;
            };
            let Some(step) = waiting.step_spec(&wait.task) else {
                continue;
            };
            if self.rules(&waiting.spec).service == rules.service {
                claims.push(WaitingClaim {
                    label: step.label.clone(),
                    room: step.room(),
                });
            }
        }
        claims
    }

    /// Chooses a worker for another run of a task, on another rack where possible: one that is not suspected and whose capacity no
    /// waiting task claims.
    pub(super) fn choose_other_worker(
        &self,
        now: Millis,
        key: &TaskKey,
        slow_worker: &WorkerId,
        suspected: &BTreeSet<&WorkerId>,
        claims: &[WaitingClaim],
    ) -> Option<WorkerId> {
        let job = self.jobs.get(&key.job)?;
        let step = job.step_spec(key)?;
        let rules = self.rules(&job.spec);
        let candidate = Candidate {
            key: *key,
            step,
            service: rules.service.as_str(),
            last_worker: None,
            only_rack: None,
            starving: false,
            guarded: rules.guarded,
            caution: StartCaution::Usual,
            fill: FillRequest {
                urgency: FillUrgency::new(now, job.due, job.remaining_ms()),
                image: self.images.get(&step.image),
                cpu_millis: step.size.cpu_millis,
            },
        };
        let slow_rack = self.workers.get(slow_worker);
        let slow_rack = slow_rack.and_then(|worker| worker.entry.rack.as_ref());
        let usable = |(id, worker): &(&WorkerId, &WorkerState)| {
            *id != slow_worker
                && !suspected.contains(id)
                && self.is_trusted(now, id, worker)
                && !claims.iter().any(|claim| claim.applies_to(worker))
        };
        let costs = self
            .workers
            .iter()
            .filter(usable)
            .filter_map(|(id, worker)| {
                let PlaceCost::Cost(cost) = self.cost_at(now, (id, worker), &candidate, &[]) else {
                    return None;
                };
                let same_rack = slow_rack.is_some() && worker.entry.rack.as_ref() == slow_rack;
                Some((
                    if same_rack {
                        cost + SAME_RACK_COST
                    } else {
                        cost
                    },
                    id,
                ))
            });
        let cheapest = costs.min_by(|(one, _), (other, _)| one.total_cmp(other));
        cheapest.map(|(_, id)| id.clone())
    }

    /// Whether nothing speaks against a worker: it answers, and it has not failed runs lately.
    fn is_trusted(&self, now: Millis, id: &WorkerId, worker: &WorkerState) -> bool {
        let answers = worker.failed_renewals == 0 && worker.unsure_since.is_none();
        answers && matches!(self.quarantine.health(id, now), WorkerHealth::Healthy)
    }

    /// Orders the start of a copy of a slow run.
    pub(super) fn start_copy(
        &mut self,
        now: Millis,
        slow_key: &RunKey,
        slow_worker: &WorkerId,
        worker: WorkerId,
        slow: &SlowRun,
    ) {
        let record = self.record_mut(slow_worker, slow_key);
        let newest = record.and_then(|record| record.checkpoint.clone());
        let job = self.jobs.get(&slow_key.task.job);
        let Some(runs_before) = job
            .and_then(|job| job.task(&slow_key.task))
            .map(|task| task.runs)
        else {
            return;
        };
        let key = RunKey {
            task: slow_key.task,
            run: self.run_number(runs_before),
        };
        let job = self.jobs.get_mut(&key.task.job);
        let Some(task) = job.and_then(|job| job.task_mut(&key.task)) else {
            return;
        };
        task.runs = runs_before + 1;
        task.copy = Some(CopyRun {
            worker: worker.clone(),
            run: key.run,
        });
        let checkpoint = newest.or_else(|| task.checkpoint.clone());
        self.slow_runs.budget.note_copy();
        self.order_start(now, key, &worker, checkpoint);
        if let Some(record) = self.record_mut(&worker, &key) {
            record.copy = true;
        }
        self.note(JobNote::CopyStarted {
            key,
            worker,
            slow_worker: slow_worker.clone(),
            remaining_ms: slow.remaining_ms,
            typical_ms: slow.typical_ms,
            reading_age_ms: slow.age_ms,
        });
    }
}
