//! Holds: the calls that prolong a worker's lease, acknowledge ends and read what is at work.

use std::collections::BTreeSet;

use sandshelf_model::{Millis, WorkerId};

use crate::due::{DueTimes, TaskChain};
use crate::events::{RenewalCall, WorkerCall};
use crate::ids::RunKey;
use crate::job::TaskStage;
use crate::life::ClockSight;
use crate::limits::{
    CLEARED_AFTER_MS, FOREIGN_RUN_RETENTION_MS, IDLE_RENEWAL_WAIT_MS, RENEWAL_RETRY_PAUSE_MS,
    RENEWAL_WAIT_MS, SILENCE_RECORD_RENEWAL_PAUSE_MS, TICK_MS, UNACKNOWLEDGED_RENEWAL_PAUSE_MS,
    UNREACHABLE_PAUSE_MS,
};
use crate::note::{JobNote, LossCause, StopCause};
use crate::reports::{EndReport, OrderAnswer, RenewalAnswer, RenewalReport, RunReport};
use crate::run::{RunPhase, RunRecord};
use crate::scheduler::JobScheduler;
use crate::spec::StepSpec;
use crate::strain::WorkStrain;
use crate::worker::{LeaseMark, WorkerState};

impl JobScheduler {
    /// Sends the holds that are due.
    pub(crate) fn send_holds(&mut self, now: Millis) {
        let lease = (!self.may_be_followed(now)).then(|| self.granted_lease_ms());
        let mut due = Vec::new();
        while self.hold_queue.first().is_some_and(|(at, _)| *at <= now) {
            due.extend(self.hold_queue.pop_first().map(|(_, id)| id));
        }
        due.sort_unstable();
        for id in due {
            let Some(worker) = self.workers.get_mut(&id) else {
                continue;
            };
            if worker.hold_sent.is_some() || now < worker.hold_due {
                continue;
            }
            if worker.awaits_start(now) && worker.withholds_ends(now) {
                self.hold_at(&id, now + TICK_MS);
                continue;
            }
            let call = next_hold(worker, now, lease, &self.strain);
            worker.hold_sent = Some(now);
            worker.hold_wait = call.wait_ms;
            worker.hold_seen = call.last_seen;
            worker.hold_prolongs = call.deadline.is_some();
            if let Some(deadline) = call.deadline {
                worker.life.granted = worker.life.granted.max(deadline);
            }
            self.call(&id, WorkerCall::Renew(call));
        }
    }

    /// Has a worker's state read at the next chance.
    pub(crate) fn hold_soon(&mut self, now: Millis, worker: &WorkerId) {
        if let Some(state) = self.workers.get(worker) {
            self.hold_at(worker, state.hold_due.min(now));
        }
    }

    /// Has a worker's state read at a time.
    pub(crate) fn hold_at(&mut self, worker: &WorkerId, at: Millis) {
        if let Some(state) = self.workers.get_mut(worker) {
            self.hold_queue.remove(&(state.hold_due, worker.clone()));
            state.hold_due = at;
            self.hold_queue.insert((at, worker.clone()));
        }
    }

    /// Takes in the answer to a hold.
    pub(crate) fn take_hold(&mut self, now: Millis, worker: &WorkerId, answer: RenewalAnswer) {
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        let sent = state.hold_sent.take();
        let waited = now.saturating_sub(sent.unwrap_or(now));
        match &answer {
            // An end answers a look before its wait is over; such an answer doesn't tell how late it came.
            RenewalAnswer::Report(_) if waited < state.hold_wait => {}
            RenewalAnswer::Report(report) => {
                // What the call took elsewhere says nothing of this owner.
                let late = waited - state.hold_wait;
                let own = late.saturating_sub(report.carrier_late_ms);
                self.strain.note_answer(own);
            }
            RenewalAnswer::Failed(OrderAnswer::Unknown) if !state.told_silent => {
                self.strain.note_failure();
            }
            RenewalAnswer::Failed(_) | RenewalAnswer::Fenced => {}
        }
        match answer {
            RenewalAnswer::Report(report) => {
                self.take_report(now, worker, sent.unwrap_or(now), report);
            }
            RenewalAnswer::Fenced => self.deposed = true,
            RenewalAnswer::Failed(answer) => {
                state.unsure = true;
                state.failed_holds += 1;
                self.hold_at(worker, now + RENEWAL_RETRY_PAUSE_MS);
                match answer {
                    OrderAnswer::Replaced => self.lose_worker(now, worker, LossCause::Replaced),
                    OrderAnswer::Unreachable => {
                        self.pause_worker(worker, now + UNREACHABLE_PAUSE_MS);
                        self.check_left(now, worker);
                    }
                    _ => {}
                }
            }
        }
    }

    /// Takes in a report; the look that it answers went out at `asked`.
    fn take_report(
        &mut self,
        now: Millis,
        worker: &WorkerId,
        asked: Millis,
        report: RenewalReport,
    ) {
        self.take_life(now, worker, asked, &report);
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        state.life.acknowledged = state.life.acknowledged.max(state.hold_seen);
        let sight = ClockSight {
            clock: report.clock,
            asked,
        };
        state.note_answer(now, sight);
        state.suspects.clear();
        let first = !state.life.fenced;
        state.life.fenced = true;
        if first {
            // Until it is prolonged, its lease is that of the earlier owner.
            let inherited = report.clock + self.inherited_lease_ms;
            state.life.granted = state.life.granted.max(inherited);
        }
        let noted = state.life.noted;
        self.withdraw_crash(worker, report.incarnation);
        if first {
            self.note(JobNote::Fenced {
                worker: worker.clone(),
                incarnation: report.incarnation,
            });
        }
        let mut ended = BTreeSet::new();
        let mut newest = noted;
        let mut held_back = false;
        for end in report.ended {
            ended.insert(end.key);
            if end.number <= newest {
                self.note_passed_over(worker, &end, newest);
                continue;
            }
            if self.is_foreign(now, &end.key) {
                // Not acknowledged, nor any after it: the job's row has yet to be read.
                held_back = true;
                self.foreign.note_end(worker, end);
                continue;
            }
            if !held_back {
                newest = end.number;
            }
            self.take_end(now, worker, end);
        }
        if let Some(state) = self.workers.get_mut(worker) {
            state.life.noted = newest;
            self.unacknowledged |= newest > state.life.durable;
        }
        let mut listed = BTreeSet::new();
        for run in report.running {
            listed.insert(run.key);
            if self.is_foreign(now, &run.key) {
                self.foreign.note_run(worker, report.clock, run);
                continue;
            }
            self.take_running(now, worker, report.clock, run);
        }
        let sight = ClockSight {
            clock: report.clock,
            asked,
        };
        self.drop_missing(now, worker, sight, &listed);
        if first {
            self.note_answered(worker);
            self.check_recovery(now);
            self.room_changed = true;
        }
        self.learn_readings(now, worker);
        self.guard_worker(now, worker);
        self.plan_hold(now, worker);
    }

    /// Tells of an end that is passed over although its run has no end yet.
    fn note_passed_over(&mut self, worker: &WorkerId, end: &EndReport, noted: u64) {
        let state = self.workers.get(worker);
        if state.is_some_and(|state| state.runs.contains_key(&end.key)) {
            self.note(JobNote::EndPassedOver {
                key: end.key,
                worker: worker.clone(),
                number: end.number,
                noted,
            });
        }
    }

    /// Sets when the next hold is due: at once, unless listed ends can't be acknowledged yet.
    fn plan_hold(&mut self, now: Millis, worker: &WorkerId) {
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        let gap = match state.mark {
            LeaseMark::None => self.strain.hold_gap_ms(),
            LeaseMark::Marked | LeaseMark::Removed(_) => SILENCE_RECORD_RENEWAL_PAUSE_MS,
        };
        state.hold_gap = gap;
        let pause = if state.life.has_unwritten() {
            UNACKNOWLEDGED_RENEWAL_PAUSE_MS.max(gap)
        } else if state.withholds_ends(now) {
            // A worker that lists ends answers at once, however long it may wait.
            RENEWAL_WAIT_MS.max(gap)
        } else {
            gap
        };
        self.hold_at(worker, now + pause);
    }

    pub(crate) fn take_running(
        &mut self,
        now: Millis,
        worker: &WorkerId,
        clock: u64,
        run: RunReport,
    ) {
        let key = run.key;
        if let Some(record) = self.record_mut(worker, &key) {
            record.percent = run.percent;
            record.gauge = run.gauge;
            if run.checkpoint.is_some() {
                record.checkpoint = run.checkpoint;
            }
            record.began.get_or_insert(clock);
            record.listed = true;
            if matches!(
                record.phase,
                RunPhase::Ordered | RunPhase::Unsettled | RunPhase::Elsewhere(_)
            ) {
                record.phase = RunPhase::Running(clock);
                self.note_begun(&key.task);
            }
            self.clear_proven(worker, &key);
            self.stop_again(now, worker, key, clock);
            return;
        }
        let adopted = self.may_adopt(&key) && !self.has_ended(&key);
        let record = self.record_of(&key, run, clock);
        if adopted {
            self.adopt(worker, &key);
        }
        if let Some(state) = self.workers.get_mut(worker) {
            state.add_run(key, record);
        }
        if !adopted {
            self.stop_run(now, worker, key, StopCause::Superseded);
        }
    }

    /// Whether an end of this run, or of a later one, was taken in.
    fn has_ended(&self, key: &RunKey) -> bool {
        let job = self.jobs.get(&key.task.job);
        let task = job.and_then(|job| job.task(&key.task));
        task.is_some_and(|task| key.run <= task.last_ended)
    }

    /// Whether a run is of a job that is not known yet, but may be: one that an earlier owner began in its last moments.
    fn is_foreign(&self, now: Millis, key: &RunKey) -> bool {
        let job = &key.task.job;
        let unknown = !self.jobs.contains_key(job) && !self.finished.contains(job);
        unknown && (self.state_pending || now < self.claimed_at + FOREIGN_RUN_RETENTION_MS)
    }

    /// Takes over a run that an earlier owner started, or takes one back that was given up: started anew beside it the task would run twice.
    fn adopt(&mut self, worker: &WorkerId, key: &RunKey) {
        let job = self.jobs.get(&key.task.job);
        let step = job.and_then(|job| job.step(&key.task));
        if step.is_some_and(|step| step.waits(key.task.index, false)) {
            self.remove_waiting(|wait| wait.task == key.task);
        }
        let job = self.jobs.get_mut(&key.task.job);
        if let Some(task) = job.and_then(|job| job.task_mut(&key.task)) {
            task.given_up.retain(|given_up| *given_up != key.run);
            task.stage = TaskStage::Live {
                worker: worker.clone(),
                run: key.run,
            };
        }
        self.note_begun(&key.task);
    }

    fn record_of(&self, key: &RunKey, run: RunReport, clock: u64) -> RunRecord {
        let job = self.jobs.get(&key.task.job);
        let step = job.and_then(|job| job.step_spec(&key.task));
        let room = step.map(StepSpec::room);
        let room = room.or_else(|| self.ended_rooms.of(&key.task));
        let step = step.cloned().unwrap_or_default();
        RunRecord {
            due: job.map_or(DueTimes::never(), |job| job.due),
            chain: job.map_or(TaskChain::default(), |job| job.chain_from(&key.task)),
            room: room.unwrap_or_default(),
            sized: room.is_some(),
            checkpoint: run.checkpoint,
            percent: run.percent,
            gauge: run.gauge,
            // It has outlived the change of owner, so that it counts as proven unless its task needs longer for that.
            began: Some(clock.saturating_sub(CLEARED_AFTER_MS)),
            ..RunRecord::new(
                &step,
                self.images.get(&step.image),
                RunPhase::Running(clock),
                0,
            )
        }
    }

    /// Gives up runs that the worker would have to list and does not.
    fn drop_missing(
        &mut self,
        now: Millis,
        worker: &WorkerId,
        sight: ClockSight,
        listed: &BTreeSet<RunKey>,
    ) {
        let ClockSight { clock, asked } = sight;
        let Some(state) = self.workers.get(worker) else {
            return;
        };
        let missing = state.runs.iter().filter(|(key, record)| {
            let settled = match record.phase {
                RunPhase::Ordered | RunPhase::Unsettled => clock > record.start_deadline,
                RunPhase::Elsewhere(answered) => asked >= answered,
                RunPhase::Running(began) => clock > began && record.would_be_listed(asked),
                RunPhase::Stopping { answered, .. } => {
                    answered.is_some_and(|answered| clock > answered)
                        || clock > record.start_deadline
                }
            };
            settled && !listed.contains(key)
        });
        let missing: Vec<RunKey> = missing.map(|(key, _)| *key).collect();
        for key in missing {
            self.lose_run(now, worker, &key, LossCause::NotThere);
        }
    }
}

/// Makes a worker's next hold, with the lease to grant, if any; it waits for an end unless some are waiting to be acknowledged.
fn next_hold(
    worker: &WorkerState,
    now: Millis,
    lease: Option<Millis>,
    strain: &WorkStrain,
) -> RenewalCall {
    let is_watched = |record: &RunRecord| record.target_ms > 0 || record.standing;
    let watched = worker.runs.values().any(is_watched);
    let stopping = worker.runs.values().any(|record| {
        matches!(record.phase, RunPhase::Stopping { answered, .. } if answered.is_some())
            || record.phase == RunPhase::Unsettled
    });
    let at_once = !worker.life.fenced || !worker.may_prolong();
    let wait_ms = if worker.life.has_unwritten() || worker.withholds_ends(now) || at_once {
        0
    } else if watched || stopping {
        strain.hold_wait_ms(RENEWAL_WAIT_MS)
    } else {
        strain.hold_wait_ms(IDLE_RENEWAL_WAIT_MS)
    };
    let clock = worker.life.clock(now).filter(|_| worker.may_prolong());
    RenewalCall {
        deadline: clock.zip(lease).map(|(clock, lease)| clock + lease),
        last_seen: match worker.owes_acknowledgement() && worker.may_acknowledge(now) {
            true => worker.life.durable,
            false => 0,
        },
        wait_ms,
    }
}
