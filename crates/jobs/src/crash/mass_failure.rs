//! Tells failures of many workers at one moment from crashes that tasks cause.

use std::collections::BTreeMap;

use sandshelf_model::WorkerId;

use super::tracker::{FailureSign, WorkerFailure};
use crate::limits::{
    MASS_FAILURE_FLEET_DIVISOR, MASS_FAILURE_MAJORITY_DIVISOR, MASS_FAILURE_WINDOW_MS,
    MIN_MASS_FAILURE_WORKERS,
};
use crate::scheduler::JobScheduler;
use crate::worker::WorkerState;

impl JobScheduler {
    /// Whether several other workers have gone down or stopped answering at about the same time
    /// without a task on them that explains it, or most of the fleet. This mass failure may have
    /// brought this worker down as well, so no task can be called the only cause.
    pub(super) fn is_mass_failure(&self, failure: &WorkerFailure) -> bool {
        let others = self.simultaneous_failures(failure);
        let unexplained = others.iter();
        let unexplained = unexplained.filter(|sign| **sign == FailureSign::Unexplained);
        unexplained.count() >= self.mass_failure_workers()
            || self.is_fleet_failure(failure, &others)
    }

    /// How many unexplained failures at the same moment are a mass failure.
    fn mass_failure_workers(&self) -> usize {
        MIN_MASS_FAILURE_WORKERS.max(self.workers.len() / MASS_FAILURE_FLEET_DIVISOR)
    }

    /// Whether a worker went down with most of the fleet, whatever runs there: right after a failure
    /// of the fleet the lost tasks have just begun on all workers. Where many tasks that crash their
    /// workers begin at one moment, most of the workers go down right with a start.
    fn is_fleet_failure(&self, failure: &WorkerFailure, others: &[FailureSign]) -> bool {
        let sudden = others.iter();
        let sudden = sudden.filter(|sign| **sign == FailureSign::SuddenStart);
        let mostly_sudden = sudden.count() * 2 > others.len();
        let by_start = failure.sign == FailureSign::SuddenStart && mostly_sudden;
        let most = self.fleet_size() / MASS_FAILURE_MAJORITY_DIVISOR;
        others.len() >= most.max(self.mass_failure_workers()) && !by_start
    }

    /// The number of workers, with those that went down recently and are not listed any more.
    fn fleet_size(&self) -> usize {
        let known = self.workers.len();
        known
            + self
                .crashes
                .count_gone(|worker| !self.workers.contains_key(worker))
    }

    /// The other workers that went down or stopped answering at about the same time as a worker
    /// that went down.
    fn simultaneous_failures(&self, failure: &WorkerFailure) -> Vec<FailureSign> {
        let heard_at = failure.heard_at;
        let failing = self.workers.iter().filter(|(_, other)| {
            let near = other.last_answer.abs_diff(heard_at) <= MASS_FAILURE_WINDOW_MS;
            other.failed_renewals > 0 && near
        });
        let failing = failing.map(|(id, other)| (id, self.failure_sign(other)));
        let down = self.crashes.failures_near(heard_at);
        let down = down.map(|known| (&known.worker, known.sign));
        let mut others: BTreeMap<&WorkerId, FailureSign> = failing.chain(down).collect();
        others.remove(&failure.worker);
        others.into_values().collect()
    }

    /// What the runs on a worker tell of the cause if it has gone down.
    pub(super) fn failure_sign(&self, worker: &WorkerState) -> FailureSign {
        let suspects = self.begun_suspects(worker);
        let uncleared = suspects.iter().filter(|suspect| self.is_uncleared(suspect));
        let sudden = uncleared.map(|suspect| suspect.sudden);
        match sudden.max() {
            None => FailureSign::Unexplained,
            Some(false) => FailureSign::RecentStart,
            Some(true) => FailureSign::SuddenStart,
        }
    }

    /// Takes the certainty from recorded crashes that turn out to be part of a mass failure: the
    /// first workers of it that are known to be down look as if they had failed alone. Only a
    /// failure of the fleet counts here, since where workers keep crashing by themselves, a few
    /// others turn out in time to have failed at about any moment.
    pub(super) fn revise_certain_crashes(&mut self) {
        for failure in self.crashes.certain_failures() {
            let Some(run) = failure.sole_suspect else {
                continue;
            };
            let others = self.simultaneous_failures(&failure);
            if !self.is_fleet_failure(&failure, &others) {
                continue;
            }
            self.crashes.clear_sole_suspect(&run);
            let job = self.jobs.get_mut(&run.task.job);
            let task = job.and_then(|job| job.task_mut(&run.task));
            if task.is_some_and(|task| task.crashes.make_uncertain(run.run)) {
                self.mark_task_dirty(&run.task);
            }
        }
    }
}
