//! What becomes of orders: answers of workers, and their silence.

use sandshelf_model::{Millis, WorkerId};

use crate::events::{JobNote, JobStage, LossCause, OrderAnswer, RefusalReason, StopCause};
use crate::ids::{RunKey, TaskKey};
use crate::limits::{INVALID_PAUSE_MS, NO_ROOM_PAUSE_MS, UNHEALTHY_PAUSE_MS, UNREACHABLE_PAUSE_MS};
use crate::run::RunPhase;
use crate::scheduler::JobScheduler;

impl JobScheduler {
    /// Takes in the answer to an order to start.
    pub(crate) fn take_start_answer(
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
        match answer {
            OrderAnswer::Done(clock) => self.run_began(now, worker, key, clock),
            OrderAnswer::Refused(clock, reason) => {
                self.note_clock(now, worker, clock);
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
            OrderAnswer::Invalid => {
                self.delay_task(&key.task, now + INVALID_PAUSE_MS);
                self.drop_run(now, worker, &key);
            }
            OrderAnswer::Unreachable => {
                self.pause_worker(worker, now + UNREACHABLE_PAUSE_MS);
                self.drop_run(now, worker, &key);
            }
            OrderAnswer::Replaced => self.lose_worker(now, worker, LossCause::Replaced),
            OrderAnswer::Unknown => self.run_unsettled(now, worker, key),
        }
    }

    fn run_began(&mut self, now: Millis, worker: &WorkerId, key: RunKey, clock: u64) {
        self.note_clock(now, worker, clock);
        if let Some(record) = self.record_mut(worker, &key) {
            record.began.get_or_insert(clock);
            record.confirmed = true;
            if record.phase == RunPhase::Ordered || record.phase == RunPhase::Unsettled {
                record.phase = RunPhase::Running(clock);
            }
        }
        self.note_begun(&key.task);
        self.probe_begun(now, worker, key);
        self.guard_worker(now, worker);
    }

    /// Notes that some task of the job has begun.
    pub(crate) fn note_begun(&mut self, key: &TaskKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        if job.stage == JobStage::Queued {
            job.stage = JobStage::Running;
            self.mark_dirty(key.job);
        }
    }

    fn run_unsettled(&mut self, now: Millis, worker: &WorkerId, key: RunKey) {
        if let Some(record) = self.record_mut(worker, &key) {
            if record.phase == RunPhase::Ordered {
                record.phase = RunPhase::Unsettled;
                self.stop_run(now, worker, key, StopCause::Unsettled);
            }
        }
    }

    /// Takes in the answer to an order to stop.
    pub(crate) fn take_stop_answer(
        &mut self,
        now: Millis,
        worker: &WorkerId,
        key: RunKey,
        answer: OrderAnswer,
    ) {
        match answer {
            OrderAnswer::Done(clock) => {
                self.note_clock(now, worker, clock);
                self.stop_answered(worker, key, clock);
                self.hold_soon(now, worker);
            }
            OrderAnswer::Refused(clock, reason) => {
                self.note_clock(now, worker, clock);
                match reason {
                    RefusalReason::Fenced => self.deposed = true,
                    _ => self.stop_answered(worker, key, clock),
                }
                self.hold_soon(now, worker);
            }
            OrderAnswer::Replaced => self.lose_worker(now, worker, LossCause::Replaced),
            OrderAnswer::Unreachable => self.check_left(now, worker),
            OrderAnswer::Unhealthy | OrderAnswer::Invalid | OrderAnswer::Unknown => {}
        }
    }

    fn stop_answered(&mut self, worker: &WorkerId, key: RunKey, clock: u64) {
        if let Some(record) = self.record_mut(worker, &key) {
            if let RunPhase::Stopping { answered, .. } = &mut record.phase {
                *answered = Some(clock);
            }
        }
    }
}
