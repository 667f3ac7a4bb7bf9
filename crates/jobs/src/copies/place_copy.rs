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
use crate::wait_key::WaitKey;
use crate::worker::WorkerState;

/// The cost of a worker on the rack of the slow run, in the units of [`crate::cost`]: what slows a run may slow its whole rack.
const SAME_RACK_COST: f64 = 1.0;

/// How long after it was sent the order to start a copy may still be carried out. The slow run may end right after the order was sent,
/// and no run may start more than a second after that end was acknowledged.
const COPY_ORDER_TTL_MS: Millis = 800;
/// If tasks of more steps than this wait, no copy is started and no run restarted: capacity is far too scarce.
const MAX_CLAIMS: usize = 64;

/// What the waiting tasks of a step ask of a worker.
struct WaitingClaim {
    label: Option<String>,
    room: ResourceSize,
}

impl WaitingClaim {
    /// Whether the waiting tasks could use capacity of this worker.
    fn applies_to(&self, worker: &WorkerState) -> bool {
        let labels = &worker.entry.labels;
        let label = self.label.as_ref();
        let labelled = label.is_none_or(|label| labels.contains(label));
        labelled && self.room.fits_in(&worker.entry.capacity)
    }
}

/// What waiting tasks ask for that go before a copy.
#[derive(Default)]
pub(super) struct WaitingClaims {
    steps: Vec<WaitingClaim>,
    /// Whether more steps wait than are listed.
    many: bool,
}

impl WaitingClaims {
    pub(super) fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    fn apply_to(&self, worker: &WorkerState) -> bool {
        self.many || self.steps.iter().any(|claim| claim.applies_to(worker))
    }
}

impl JobScheduler {
    /// What waiting tasks of the same service ask for that are at least as urgent as a task's queue, by step.
    pub(super) fn waiting_claims(&self, key: &TaskKey) -> WaitingClaims {
        let mut claims = WaitingClaims::default();
        let Some(job) = self.jobs.get(&key.job) else {
            return claims;
        };
        let rules = self.rules(&job.spec);
        let mut next = self.waiting.first();
        let mut steps = 0;
        while let Some(wait) = next.filter(|wait| wait.priority <= rules.priority) {
            steps += 1;
            claims.many = steps > MAX_CLAIMS;
            if claims.many {
                break;
            }
            claims.steps.extend(self.claim_of(wait, &rules.service));
            let last_of_step = WaitKey {
                task: TaskKey {
                    index: u32::MAX,
                    ..wait.task
                },
                ..*wait
            };
            next = self.waiting.range(last_of_step..).next();
        }
        claims
    }

    /// What a waiting task asks of the workers of a service, if it is a task for them.
    fn claim_of(&self, wait: &WaitKey, service: &str) -> Option<WaitingClaim> {
        let job = self.jobs.get(&wait.task.job)?;
        let step = job.step_spec(&wait.task)?;
        let same = self.rules(&job.spec).service == service;
        same.then(|| WaitingClaim {
            label: step.label.clone(),
            room: step.room(),
        })
    }

    /// Chooses a worker for another run of a task, on another rack where possible: one that is not suspected and whose capacity no
    /// waiting task claims.
    pub(super) fn choose_other_worker(
        &self,
        now: Millis,
        key: &TaskKey,
        slow_worker: &WorkerId,
        suspected: &BTreeSet<&WorkerId>,
        claims: &WaitingClaims,
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
                && !claims.apply_to(worker)
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
        self.order_start(now, key, &worker, checkpoint, COPY_ORDER_TTL_MS);
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
