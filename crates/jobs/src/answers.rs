//! Handles the answers of workers to orders, and orders that got no answer.

use sandshelf_model::{Millis, WorkerId};

use crate::ids::{RunKey, TaskKey};
use crate::incarnation::ClockSample;
use crate::limits::{
    INVALID_ORDER_PAUSE_MS, MAX_ORDER_AGE_MS, NO_ROOM_PAUSE_MS, UNHEALTHY_PAUSE_MS,
    UNREACHABLE_PAUSE_MS,
};
use crate::note::{JobNote, LossCause, StopCause};
use crate::reports::{OrderAnswer, RefusalReason};
use crate::run::RunPhase;
use crate::scheduler::JobScheduler;
use crate::stage::JobStage;

impl JobScheduler {
    /// Handles the answer to a start order.
    pub(crate) fn handle_start_answer(
        &mut self,
        now: Millis,
        worker: &WorkerId,
        key: RunKey,
        answer: OrderAnswer,
    ) {
        if !matches!(answer, OrderAnswer::Done(_)) {
            self.note(JobNote::StartRefused {
                key,
                worker: worker.clone(),
                answer,
            });
        }
        if answer.shows_nothing_done() {
            // The worker may have gone down in the meantime: the run had no part in that.
            self.withdraw_start(now, &key);
        }
        match answer {
            OrderAnswer::Done(clock) => self.run_began(now, worker, key, clock),
            OrderAnswer::Refused(clock, reason) => {
                let sent_at = self.start_sent_at(now, worker, &key);
                self.record_order_clock(now, worker, ClockSample { clock, sent_at });
                match reason {
                    RefusalReason::Fenced => self.deposed = true,
                    RefusalReason::NoRoom => self.pause_worker(worker, now + NO_ROOM_PAUSE_MS),
                    RefusalReason::Superseded
                    | RefusalReason::Late
                    | RefusalReason::NoTicket
                    | RefusalReason::Other => {}
                }
                self.drop_run(now, worker, &key);
            }
            OrderAnswer::Unhealthy => {
                self.pause_worker(worker, now + UNHEALTHY_PAUSE_MS);
                self.drop_run(now, worker, &key);
            }
            OrderAnswer::NotSent => self.drop_run(now, worker, &key),
            OrderAnswer::Invalid => {
                self.delay_task(&key.task, now + INVALID_ORDER_PAUSE_MS);
                self.drop_run(now, worker, &key);
            }
            OrderAnswer::Unreachable => {
                self.pause_worker(worker, now + UNREACHABLE_PAUSE_MS);
                self.drop_run(now, worker, &key);
            }
            OrderAnswer::Replaced => {
                self.drop_run(now, worker, &key);
                self.lose_worker(now, worker, LossCause::Replaced);
            }
            OrderAnswer::Unknown => {
                self.run_unsettled(now, worker, key, StopCause::Unsettled);
            }
        }
    }

    /// When the start order of a run was sent. An order that is not known any more may have been
    /// sent long ago.
    fn start_sent_at(&self, now: Millis, worker: &WorkerId, key: &RunKey) -> Millis {
        let state = self.workers.get(worker);
        let record = state.and_then(|state| state.runs.get(key));
        record.map_or(now.saturating_sub(MAX_ORDER_AGE_MS), |record| {
            record.ordered_at
        })
    }

    fn run_began(&mut self, now: Millis, worker: &WorkerId, key: RunKey, clock: u64) {
        let sent_at = self.start_sent_at(now, worker, &key);
        // The time of the order is not known if the end of the run was listed before, or if the run was found in a list.
        let record = self.record_mut(worker, &key);
        if record.is_some_and(|record| record.ordered_at > 0) {
            self.start_patience.note_answer(now.saturating_sub(sent_at));
        }
        let known = self.record_order_clock(now, worker, ClockSample { clock, sent_at });
        if let Some(record) = self.record_mut(worker, &key) {
            let settles = matches!(record.phase, RunPhase::Ordered | RunPhase::Unsettled);
            if known {
                record.began.get_or_insert(clock);
                record.answered_at.get_or_insert(now);
            }
            if settles {
                record.phase = match known {
                    true => RunPhase::Running(clock),
                    false => RunPhase::OtherIncarnation(now),
                };
            }
        }
        if known {
            // A crash that was recorded under the run was one of an earlier incarnation.
            self.withdraw_note(now, &key);
        }
        self.note_begun(&key.task);
        self.schedule_probes(now, worker, key);
        self.update_paces(now, worker);
    }

    /// Records that a task of the job has begun.
    pub(crate) fn note_begun(&mut self, key: &TaskKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        if job.stage == JobStage::Queued {
            job.stage = JobStage::Running;
            self.mark_row_dirty(key.job);
            self.count_begun_job(self.last_tick, key.job);
        }
    }

    /// Stops a run whose start order got no answer; the worker's answers then settle whether it exists.
    pub(crate) fn run_unsettled(
        &mut self,
        now: Millis,
        worker: &WorkerId,
        key: RunKey,
        cause: StopCause,
    ) {
        if let Some(record) = self.record_mut(worker, &key) {
            if record.phase == RunPhase::Ordered {
                record.phase = RunPhase::Unsettled;
                let until = record.ordered_at + MAX_ORDER_AGE_MS;
                if let Some(state) = self.workers.get_mut(worker) {
                    state.note_unanswered_until(until);
                }
                self.stop_run(now, worker, key, cause);
            }
        }
    }

    /// Handles the answer to a stop order.
    pub(crate) fn handle_stop_answer(
        &mut self,
        now: Millis,
        worker: &WorkerId,
        key: RunKey,
        answer: OrderAnswer,
    ) {
        match answer {
            OrderAnswer::Done(clock) => self.stop_answered(now, worker, key, clock),
            OrderAnswer::Refused(clock, reason) => {
                self.deposed |= reason == RefusalReason::Fenced;
                self.stop_answered(now, worker, key, clock);
            }
            OrderAnswer::Replaced => self.lose_worker(now, worker, LossCause::Replaced),
            OrderAnswer::Unreachable => self.remove_if_left(now, worker),
            // The stop order is sent again.
            OrderAnswer::Unhealthy
            | OrderAnswer::Invalid
            | OrderAnswer::NotSent
            | OrderAnswer::Unknown => {}
        }
    }

    /// Handles a stop that was answered. An answer of an unknown incarnation says nothing about the
    /// incarnation that the order was meant for.
    fn stop_answered(&mut self, now: Millis, worker: &WorkerId, key: RunKey, clock: u64) {
        let record = self.record_mut(worker, &key);
        let sent_at = match record.map(|record| record.phase) {
            Some(RunPhase::Stopping { sent, .. }) => sent,
            _ => now.saturating_sub(MAX_ORDER_AGE_MS),
        };
        let known = self.record_order_clock(now, worker, ClockSample { clock, sent_at });
        if let Some(record) = self.record_mut(worker, &key).filter(|_| known) {
            if let RunPhase::Stopping { answered, .. } = &mut record.phase {
                *answered = Some(clock);
            }
        }
        self.renew_soon(now, worker);
    }
}
