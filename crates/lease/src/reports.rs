//! Handles worker reports, and reclaims tasks from workers whose leases have expired.

use std::collections::BTreeSet;

use sandshelf_model::{AttemptId, Epoch, Millis, WorkerId};

use crate::events::ShardNote;
use crate::journal::JournalRecord;
use crate::orders::{AttemptPhase, AttemptReport, OrderRefusal, WorkerReport};
use crate::owner::ShardOwner;
use crate::placing::reservation_of;
use crate::state::RecordEffect;
use crate::task_state::{RequeueCause, TaskStage};

/// A task is given up after this number of failed attempts; failures that quarantine the worker don't count.
const MAX_TASK_FAILURES: u32 = 3;

impl ShardOwner {
    pub(crate) fn on_worker_answer(
        &mut self,
        now: Millis,
        worker: &WorkerId,
        epoch: Epoch,
        number: u64,
        report: Option<WorkerReport>,
    ) {
        let own_epoch = self.epoch();
        let times = self.times;
        let Some(session) = self.sessions.get_mut(worker) else {
            return;
        };
        if epoch != own_epoch || !session.awaits(number) {
            return;
        }
        let Some(report) = report else {
            session.note_failed(now, &times);
            return;
        };
        match report.refusal {
            Some(OrderRefusal::Outdated) => {
                // A newer owner may have sent orders to the worker: read the row first to find out who owns the shard.
                session.note_failed(now, &times);
                if self.pending.is_none() {
                    self.request_row_read(now);
                }
            }
            Some(OrderRefusal::StampExpired) => session.note_stamp_expired(now, report.stamp),
            None => {
                session.note_accepted(now, report.stamp, &times);
                self.apply_report(now, worker, &report);
            }
        }
    }

    fn apply_report(&mut self, now: Millis, worker: &WorkerId, report: &WorkerReport) {
        self.apply_capacity(worker, report);
        for attempt in &report.attempts {
            self.handle_attempt(now, worker, attempt);
        }
        if self.pool.is_overcommitted(worker) {
            self.shed_load(worker);
        }
        if report.inventory {
            self.requeue_missing(worker, report);
            self.release_missing(worker, report);
        }
        self.open_if_usable(worker);
    }

    fn apply_capacity(&mut self, worker: &WorkerId, report: &WorkerReport) {
        let Some(entry) = self.pool.entry(worker) else {
            return;
        };
        if let Some(session) = self.sessions.get_mut(worker) {
            session.reported_capacity = Some(report.capacity);
        }
        if entry.capacity != report.capacity {
            let mut entry = entry.clone();
            entry.capacity = report.capacity;
            self.pool.upsert(&entry);
        }
    }

    /// Evicts the newest attempts from a worker whose reservations exceed its capacity, because the worker's capacity
    /// shrank or the attempts' usage grew.
    fn shed_load(&mut self, worker: &WorkerId) {
        let Some(entry) = self.pool.entry(worker) else {
            return;
        };
        let services = entry.services.iter().map(|(_, size)| size);
        let mut room = services.fold(entry.capacity, |room, size| room.saturating_minus(size));
        let reservations = self.pool.reservations(worker).to_vec();
        let Some(session) = self.sessions.get_mut(worker) else {
            return;
        };
        for reservation in &reservations {
            if let Ok(remaining) = room.minus(&reservation.size) {
                room = remaining;
            } else if !session.evicting.contains(&reservation.attempt) {
                session.push_checkpoint(&reservation.attempt);
            }
        }
    }

    fn open_if_usable(&mut self, worker: &WorkerId) {
        let Some(session) = self.sessions.get(worker) else {
            return;
        };
        let open = session.fenced && !session.leaving && !session.gone;
        let open = open && !self.pool.is_overcommitted(worker);
        self.pool.set_open(worker, open);
    }

    fn handle_attempt(&mut self, now: Millis, worker: &WorkerId, report: &AttemptReport) {
        let attempt = &report.attempt;
        let current = self.state.current_worker(attempt) == Some(worker);
        match &report.phase {
            AttemptPhase::Running if current => self.note_running(now, worker, report),
            AttemptPhase::Running => self.stop_superseded(worker, report),
            _ if !current => self.acknowledge_superseded(worker, report),
            AttemptPhase::Finished(output) => {
                self.finish_attempt(worker, report, output);
            }
            AttemptPhase::Failed => self.fail_attempt(now, worker, attempt),
            AttemptPhase::Checkpointed(key) => {
                self.requeue(attempt, RequeueCause::Evicted, Some(key.clone()))
            }
            AttemptPhase::Stopped => self.requeue_stopped(worker, attempt),
            AttemptPhase::Refused => self.requeue(attempt, RequeueCause::NotRun, None),
        }
    }

    fn note_running(&mut self, now: Millis, worker: &WorkerId, report: &AttemptReport) {
        let Some(spec) = self.state.spec(&report.attempt.task.job).cloned() else {
            return;
        };
        self.families.note_usage(&spec.family, &report.usage);
        let expected = self.families.run_time(&spec.family, spec.run_ms).max(1);
        let size = report.size.max_with(&report.usage);
        let mut reservation = reservation_of(&report.attempt, &spec, size);
        reservation.progress_percent = (report.ran_ms * 100 / expected).min(100) as u32;
        self.pool.record(worker, reservation);
        self.hold_capacity(&report.attempt, worker, &spec, size);
        if let Some(session) = self.sessions.get_mut(worker) {
            session.confirmed.insert(report.attempt.clone());
            let remaining_ms = expected.saturating_sub(report.ran_ms);
            session.expect_end(&report.attempt, now + remaining_ms);
        }
    }

    /// Stops an attempt that is not its task's newest; its capacity stays reserved until it has ended.
    fn stop_superseded(&mut self, worker: &WorkerId, report: &AttemptReport) {
        let attempt = &report.attempt;
        if self.is_start_pending(worker, attempt) {
            return;
        }
        let known = self
            .pool
            .reservations(worker)
            .iter()
            .any(|reservation| &reservation.attempt == attempt);
        if !known {
            self.pool.record(
                worker,
                sandshelf_place::TaskReservation {
                    attempt: attempt.clone(),
                    size: report.size,
                    family: String::new(),
                    checkpoint: false,
                    repeatable: true,
                    progress_percent: 0,
                },
            );
        }
        if let Some(session) = self.sessions.get_mut(worker) {
            session.push_stop(attempt);
        }
    }

    fn is_start_pending(&self, worker: &WorkerId, attempt: &AttemptId) -> bool {
        let session = self.sessions.get(worker);
        session.is_some_and(|session| session.is_starting(attempt))
    }

    /// Acknowledges the end of an attempt that no longer counts, so that the worker may forget it.
    fn acknowledge_superseded(&mut self, worker: &WorkerId, report: &AttemptReport) {
        let attempt = &report.attempt;
        let counted = self
            .state
            .task_state(&attempt.task)
            .is_some_and(|task_state| {
                task_state.attempts == attempt.number
                    && matches!(task_state.stage, TaskStage::Finished(_))
            });
        let late = matches!(report.phase, AttemptPhase::Finished(_)) && !counted;
        if late && !self.ending.contains(attempt) {
            self.state.stats.late_finishes += 1;
        }
        self.drop_hold(attempt);
        self.pool.release(worker, attempt);
        if let Some(session) = self.sessions.get_mut(worker) {
            session.push_acknowledgement(attempt);
        }
    }

    fn finish_attempt(&mut self, worker: &WorkerId, report: &AttemptReport, output: &str) {
        let attempt = &report.attempt;
        if self.state.is_watch(&attempt.task.job) {
            self.requeue(attempt, RequeueCause::WatchEnded, None);
            return;
        }
        if !self.ending.insert(attempt.clone()) {
            return;
        }
        self.pool.quarantine.note_success(worker);
        if let Some(spec) = self.state.spec(&attempt.task.job) {
            self.families.note_finish(&spec.family, report.ran_ms);
        }
        self.buffer.push(JournalRecord::Finished {
            attempt: attempt.clone(),
            output: output.to_owned(),
        });
    }

    fn fail_attempt(&mut self, now: Millis, worker: &WorkerId, attempt: &AttemptId) {
        if self.ending.contains(attempt) {
            return;
        }
        let task = &attempt.task;
        let quarantined = self.pool.quarantine.note_failure(worker, &task.job, now);
        if quarantined {
            self.note(ShardNote::Quarantined(worker.clone()));
        }
        let repeatable = self
            .state
            .spec(&task.job)
            .is_some_and(|spec| spec.repeatable);
        let failures = self
            .state
            .task_state(task)
            .map_or(0, |task_state| task_state.failures)
            + 1;
        if !repeatable {
            self.give_up(attempt, "it failed and may not be run again");
        } else if failures >= MAX_TASK_FAILURES && !quarantined {
            self.give_up(attempt, "it failed on three workers");
        } else {
            self.avoid.insert(task.clone(), worker.clone());
            let cause = if quarantined {
                RequeueCause::WorkerLost
            } else {
                RequeueCause::Failed
            };
            self.requeue(attempt, cause, None);
        }
    }

    fn give_up(&mut self, attempt: &AttemptId, reason: &str) {
        if self.begin_ending(attempt) {
            self.buffer.push(JournalRecord::Failed {
                task: attempt.task.clone(),
                reason: reason.to_owned(),
            });
        }
    }

    fn requeue_stopped(&mut self, worker: &WorkerId, attempt: &AttemptId) {
        let session = self.sessions.get(worker);
        let evicted = session.is_some_and(|session| session.evicting.contains(attempt));
        let spec = self.state.spec(&attempt.task.job);
        let repeatable = spec.is_some_and(|spec| spec.repeatable || spec.checkpoint);
        if !repeatable {
            self.give_up(attempt, "it was cut off and may not be run again");
        } else if evicted {
            self.requeue(attempt, RequeueCause::Evicted, None);
        } else {
            self.requeue(attempt, RequeueCause::WorkerLost, None);
        }
    }

    pub(crate) fn requeue(
        &mut self,
        attempt: &AttemptId,
        cause: RequeueCause,
        checkpoint: Option<String>,
    ) {
        if self.begin_ending(attempt) {
            self.buffer.push(JournalRecord::Requeued {
                attempt: attempt.clone(),
                cause,
                checkpoint,
            });
        }
    }

    /// Marks an attempt's end as being recorded and withdraws its unconfirmed start, so that it isn't started any more.
    ///
    /// Returns false where its end is already being recorded.
    fn begin_ending(&mut self, attempt: &AttemptId) -> bool {
        if !self.ending.insert(attempt.clone()) {
            return false;
        }
        let worker = self.state.current_worker(attempt);
        if let Some(session) = worker.and_then(|worker| self.sessions.get_mut(worker)) {
            session.drop_start(attempt);
        }
        true
    }

    /// Requeues attempts that are placed on a worker but missing from its inventory,
    /// unless their start is still to be sent.
    fn requeue_missing(&mut self, worker: &WorkerId, report: &WorkerReport) {
        let listed: BTreeSet<&AttemptId> =
            report.attempts.iter().map(|entry| &entry.attempt).collect();
        let missing: Vec<AttemptId> = self
            .state
            .placed_on(worker)
            .filter(|attempt| !listed.contains(attempt))
            .filter(|attempt| !self.is_start_pending(worker, attempt))
            .cloned()
            .collect();
        for attempt in missing {
            let session = self.sessions.get(worker);
            let ran = session.is_some_and(|session| session.confirmed.contains(&attempt));
            if ran {
                self.requeue_stopped(worker, &attempt);
            } else {
                self.requeue(&attempt, RequeueCause::NotRun, None);
            }
        }
    }

    /// Releases the capacity of attempts that are missing from the worker's inventory
    /// and for which no record is pending.
    fn release_missing(&mut self, worker: &WorkerId, report: &WorkerReport) {
        let stale: Vec<AttemptId> = self
            .pool
            .reservations(worker)
            .iter()
            .map(|reservation| &reservation.attempt)
            .filter(|attempt| {
                !report
                    .attempts
                    .iter()
                    .any(|entry| &entry.attempt == *attempt)
            })
            .filter(|attempt| !self.placing.contains(&attempt.task))
            .filter(|attempt| self.state.current_worker(attempt).is_none())
            .filter(|attempt| !self.is_start_pending(worker, attempt))
            .cloned()
            .collect();
        for attempt in stale {
            self.drop_hold(&attempt);
            self.pool.release(worker, &attempt);
        }
    }

    /// Reclaims tasks from workers on which no task lease can still be running.
    pub(crate) fn reclaim_expired(&mut self, now: Millis) {
        let expired: Vec<(WorkerId, bool)> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.leases_expired(now))
            .map(|(worker, session)| (worker.clone(), session.gone))
            .collect();
        for (worker, gone) in expired {
            self.reclaim_worker(&worker, gone);
        }
    }

    fn reclaim_worker(&mut self, worker: &WorkerId, gone: bool) {
        self.pool.set_open(worker, false);
        let attempts: Vec<AttemptId> = self.state.placed_on(worker).cloned().collect();
        for attempt in attempts {
            let spec = self.state.spec(&attempt.task.job);
            let repeatable = spec.is_some_and(|spec| spec.repeatable);
            if repeatable {
                self.requeue(&attempt, RequeueCause::WorkerLost, None);
            } else if gone {
                self.give_up(&attempt, "its worker is gone; it may have run");
            }
        }
        let nothing_left = gone && self.state.placed_on(worker).next().is_none();
        if nothing_left && self.ending.is_empty() && !self.has_unrecorded_placement(worker) {
            for attempt in self.pool.remove(worker) {
                self.drop_hold(&attempt);
            }
            self.sessions.remove(worker);
            self.gauge.forget(worker);
        }
    }

    /// Whether a placement on this worker is still to be committed.
    fn has_unrecorded_placement(&self, worker: &WorkerId) -> bool {
        let mut reservations = self.pool.reservations(worker).iter();
        reservations.any(|reservation| self.placing.contains(&reservation.attempt.task))
    }

    pub(crate) fn after_requeued(
        &mut self,
        now: Millis,
        attempt: &AttemptId,
        cause: RequeueCause,
        effect: RecordEffect,
    ) {
        self.after_ended(attempt);
        if effect == RecordEffect::Applied {
            if cause == RequeueCause::Evicted {
                self.note(ShardNote::Evicted(attempt.clone()));
            }
            self.enqueue(now, &attempt.task);
        }
    }

    /// Acknowledges an attempt whose end is now durable to its worker, and releases its capacity and quota.
    pub(crate) fn after_ended(&mut self, attempt: &AttemptId) {
        self.ending.remove(attempt);
        let Some(worker) = self.drop_hold(attempt) else {
            return;
        };
        if let Some(session) = self.sessions.get_mut(&worker) {
            session.push_acknowledgement(attempt);
        }
    }
}
