//! Lease renewals: the calls that extend a worker's lease, acknowledge ends and read which runs are
//! running.

use std::collections::BTreeSet;

use sandshelf_model::{Millis, WorkerId};

use crate::backlog::BacklogMonitor;
use crate::due::{DueTimes, TaskChain};
use crate::events::{RenewalCall, WorkerCall};
use crate::ids::RunKey;
use crate::incarnation::ClockSample;
use crate::job::TaskStage;
use crate::limits::{
    CLEARED_AFTER_MS, IDLE_RENEWAL_WAIT_MS, MAX_LISTED_ENDS, RENEWAL_RETRY_PAUSE_MS,
    RENEWAL_WAIT_MS, SILENCE_RECORD_RENEWAL_PAUSE_MS, TICK_MS, UNACKNOWLEDGED_RENEWAL_PAUSE_MS,
    UNREACHABLE_PAUSE_MS,
};
use crate::note::{JobNote, LossCause, StopCause};
use crate::reports::{EndReport, OrderAnswer, RenewalAnswer, RenewalReport, RunReport};
use crate::run::{RunPhase, RunRecord};
use crate::scheduler::JobScheduler;
use crate::spec::StepSpec;
use crate::worker::{SilenceRecord, WorkerState};

impl JobScheduler {
    /// Sends the renewals that are due.
    pub(crate) fn send_renewals(&mut self, now: Millis) {
        let lease = (!self.may_be_succeeded(now)).then(|| self.granted_lease_ms(now));
        let mut due = Vec::new();
        while self.renewal_queue.first().is_some_and(|(at, _)| *at <= now) {
            due.extend(self.renewal_queue.pop_first().map(|(_, id)| id));
        }
        due.sort_unstable();
        for id in due {
            let Some(worker) = self.workers.get_mut(&id) else {
                continue;
            };
            if worker.renewal_sent_at.is_some() || now < worker.renewal_due_at {
                continue;
            }
            if worker.awaits_start(now) && worker.withholds_ends(now) {
                self.schedule_renewal(&id, now + TICK_MS);
                continue;
            }
            let call = next_renewal(worker, now, lease, &self.backlog);
            worker.renewal_sent_at = Some(now);
            worker.renewal_wait_ms = call.wait_ms;
            worker.renewal_acknowledges = call.last_seen;
            worker.renewal_extends_lease = call.deadline.is_some();
            if let Some(deadline) = call.deadline {
                worker.incarnation.lease_deadline = worker.incarnation.lease_deadline.max(deadline);
                worker.lease_ordered_at = now;
            }
            self.call(&id, WorkerCall::Renew(call));
        }
    }

    /// Schedules a renewal of a worker for the next tick.
    pub(crate) fn renew_soon(&mut self, now: Millis, worker: &WorkerId) {
        if let Some(state) = self.workers.get(worker) {
            self.schedule_renewal(worker, state.renewal_due_at.min(now));
        }
    }

    /// Schedules the next renewal of a worker.
    pub(crate) fn schedule_renewal(&mut self, worker: &WorkerId, at: Millis) {
        if let Some(state) = self.workers.get_mut(worker) {
            self.renewal_queue
                .remove(&(state.renewal_due_at, worker.clone()));
            state.renewal_due_at = at;
            self.renewal_queue.insert((at, worker.clone()));
        }
    }

    /// Handles the answer to a renewal.
    pub(crate) fn handle_renewal_answer(
        &mut self,
        now: Millis,
        worker: &WorkerId,
        answer: RenewalAnswer,
    ) {
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        if state.take_stray(now, &answer) {
            return;
        }
        let answers_stray = state.answers_stray(&answer);
        let sent = state.renewal_sent_at.take();
        let sent = state.strays.earliest(sent);
        let waited = now.saturating_sub(sent.unwrap_or(now));
        match &answer {
            _ if state.strays.exist() => {}
            // An end makes the worker answer before its wait is over. Such an answer doesn't show
            // how late it came.
            RenewalAnswer::Report(_) if waited < state.renewal_wait_ms => {}
            RenewalAnswer::Report(report) => {
                // The delay at the host that relayed the call is not caused by this owner.
                let late = waited - state.renewal_wait_ms;
                let own = late.saturating_sub(report.carrier_late_ms);
                self.renewal_patience.note_answer(late);
                self.backlog.record_answer(own);
            }
            RenewalAnswer::Failed(OrderAnswer::Unknown) if !state.silence_logged => {
                self.backlog.record_failure();
            }
            RenewalAnswer::Failed(_) | RenewalAnswer::Fenced => {}
        }
        match answer {
            RenewalAnswer::Report(report) => {
                self.handle_report(now, worker, sent.unwrap_or(now), report);
                let state = self.workers.get_mut(worker);
                if let Some(state) = state.filter(|_| answers_stray) {
                    state.strays.note_answered();
                }
            }
            RenewalAnswer::Fenced => self.deposed = true,
            RenewalAnswer::Failed(answer) => {
                state.note_doubt(now);
                state.failed_renewals += 1;
                if answer == OrderAnswer::Unknown && state.renewal_extends_lease {
                    state.note_late_renewal(now);
                }
                self.schedule_renewal(worker, now + RENEWAL_RETRY_PAUSE_MS);
                match answer {
                    OrderAnswer::Replaced => self.lose_worker(now, worker, LossCause::Replaced),
                    OrderAnswer::Unreachable => {
                        self.pause_worker(worker, now + UNREACHABLE_PAUSE_MS);
                        self.remove_if_left(now, worker);
                    }
                    _ => {}
                }
            }
        }
    }

    /// Handles a worker's report; the renewal that it answers was sent at `sent_at`.
    fn handle_report(
        &mut self,
        now: Millis,
        worker: &WorkerId,
        sent_at: Millis,
        report: RenewalReport,
    ) {
        let known = self.workers.get(worker);
        let named = known.is_some_and(|state| state.incarnation.is_named(report.incarnation));
        let heard_before = known.and_then(|state| state.incarnation.last_heard());
        self.update_incarnation(now, worker, sent_at, &report);
        let inherited_until =
            self.inherited_lease_end(now, worker, named, heard_before.unwrap_or(0));
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        let acknowledges = state.strays.least_acknowledged(state.renewal_acknowledges);
        state.incarnation.acknowledged = state.incarnation.acknowledged.max(acknowledges);
        let sample = ClockSample {
            clock: report.clock,
            sent_at,
        };
        state.note_answer(now, sample);
        state.strays.note_report();
        state.suspects.clear();
        let first = !state.incarnation.fenced;
        state.incarnation.fenced = true;
        if state.incarnation.rule_out_successor(sent_at) {
            self.roster.note_changed(worker);
        }
        let inherited_until = inherited_until.max(state.incarnation.inherited_until);
        if first {
            state.incarnation.inherited_until = inherited_until;
            state.incarnation.accounted = true;
            if !named {
                self.roster.note_changed(worker);
            }
        }
        let noted = state.incarnation.noted;
        self.withdraw_crash(now, worker, report.incarnation);
        if first {
            self.note(JobNote::Fenced {
                worker: worker.clone(),
                incarnation: report.incarnation,
                named,
                clock: report.clock,
                lease_left_ms: inherited_until.saturating_sub(now),
            });
            self.log_unexpected_runs(worker, &report);
        }
        let lists_all_ends = report.ended.len() < MAX_LISTED_ENDS;
        let mut newest = noted;
        let mut held_back = false;
        for end in report.ended {
            if end.number <= newest {
                self.log_passed_over_end(worker, &end, newest);
                continue;
            }
            if self.is_foreign(now, &end.key) {
                // Neither this end nor any after it is acknowledged: the job's row has not been
                // read yet.
                held_back = true;
                self.foreign.note_end(worker, end);
                continue;
            }
            if !held_back {
                newest = end.number;
            }
            self.handle_end(now, worker, end);
        }
        if let Some(state) = self.workers.get_mut(worker) {
            state.incarnation.noted = newest;
            self.unacknowledged |= newest > state.incarnation.durable;
        }
        let mut listed = BTreeSet::new();
        for run in report.running {
            listed.insert(run.key);
            if self.is_foreign(now, &run.key) {
                self.foreign.note_run(worker, report.clock, run);
                continue;
            }
            self.handle_running_report(now, worker, report.clock, run);
        }
        let sample = ClockSample {
            clock: report.clock,
            sent_at,
        };
        if lists_all_ends {
            self.drop_unlisted(now, worker, sample, &listed);
            self.note_answered(worker);
        }
        if first {
            self.check_recovery(now);
            self.room_changed = true;
        }
        self.learn_readings(now, worker);
        self.update_paces(now, worker);
        self.schedule_next_renewal(now, worker);
    }

    /// Logs that a worker that this owner did not wait for reports runs of earlier owners.
    fn log_unexpected_runs(&mut self, worker: &WorkerId, report: &RenewalReport) {
        let expected = self.workers.get(worker).is_none_or(|state| state.expected);
        let own_runs = self.run_number(0);
        let running = report.running.iter();
        let running = running.filter(|run| run.key.run < own_runs).count();
        let ended = report.ended.iter();
        let ended = ended.filter(|end| end.key.run < own_runs).count();
        if !expected && running + ended > 0 {
            self.note(JobNote::UnexpectedRuns {
                worker: worker.clone(),
                running,
                ended,
            });
        }
    }

    /// Logs an end that is ignored for its number although its run has no end yet.
    fn log_passed_over_end(&mut self, worker: &WorkerId, end: &EndReport, noted: u64) {
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

    /// Schedules the next renewal: at once, unless listed ends can't be acknowledged yet.
    fn schedule_next_renewal(&mut self, now: Millis, worker: &WorkerId) {
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        let gap = match state.silence_record {
            SilenceRecord::None => self.backlog.renewal_gap_ms(),
            SilenceRecord::Written | SilenceRecord::Removed(_) => SILENCE_RECORD_RENEWAL_PAUSE_MS,
        };
        state.renewal_gap_ms = gap;
        let pause = if state.incarnation.has_unwritten() {
            UNACKNOWLEDGED_RENEWAL_PAUSE_MS.max(gap)
        } else if state.withholds_ends(now) {
            // A worker that lists ends answers at once, whatever wait it is allowed.
            RENEWAL_WAIT_MS.max(gap)
        } else {
            gap
        };
        self.schedule_renewal(worker, now + pause);
    }

    pub(crate) fn handle_running_report(
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
            record.note_checkpoint(run.checkpoint, run.percent);
            record.began.get_or_insert(clock);
            record.listed = true;
            if matches!(
                record.phase,
                RunPhase::Ordered | RunPhase::Unsettled | RunPhase::OtherIncarnation(_)
            ) {
                record.phase = RunPhase::Running(clock);
                self.note_begun(&key.task);
            }
            self.note_progress(now, worker, &key, clock);
            self.clear_if_survived(now, worker, &key);
            self.stop_again(now, worker, key, clock);
            return;
        }
        let adopted = self.may_adopt(&key) && !self.has_ended(&key);
        let mut record = self.record_from_report(&key, run, clock);
        if adopted {
            self.adopt(worker, &key);
        }
        let copied = !adopted && self.adopt_copy(worker, &key, &mut record);
        if let Some(state) = self.workers.get_mut(worker) {
            state.add_run(key, record);
        }
        self.note_progress(now, worker, &key, clock);
        if !adopted && !copied {
            if self.is_unknown(&key.task.job) {
                self.foreign.note_stopped(key.task.job);
            }
            self.stop_run(now, worker, key, StopCause::Superseded);
        }
    }

    /// Adopts a run that an earlier owner started, or takes back one that was given up. Starting
    /// the task again would make it run twice.
    pub(crate) fn adopt(&mut self, worker: &WorkerId, key: &RunKey) {
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

    fn record_from_report(&self, key: &RunKey, run: RunReport, clock: u64) -> RunRecord {
        let job = self.jobs.get(&key.task.job);
        let step = job.and_then(|job| job.step_spec(&key.task));
        let room = step.map(StepSpec::room);
        let room = room.or_else(|| self.ended_job_sizes.of(&key.task));
        let step = step.cloned().unwrap_or_default();
        RunRecord {
            due: job.map_or(DueTimes::never(), |job| job.due),
            chain: job.map_or(TaskChain::default(), |job| job.chain_from(&key.task)),
            room: room.unwrap_or_default(),
            sized: room.is_some(),
            checkpoint: run.checkpoint,
            percent: run.percent,
            checkpoint_percent: run.percent,
            gauge: run.gauge,
            // The run has survived the change of owner, so it counts as cleared unless its task
            // needs longer for that.
            began: Some(clock.saturating_sub(CLEARED_AFTER_MS)),
            ..RunRecord::new(
                &step,
                self.images.get(&step.image),
                RunPhase::Running(clock),
                0,
            )
        }
    }

    /// Gives up runs that the worker would have listed if it had them.
    fn drop_unlisted(
        &mut self,
        now: Millis,
        worker: &WorkerId,
        sample: ClockSample,
        listed: &BTreeSet<RunKey>,
    ) {
        let ClockSample { clock, sent_at } = sample;
        let Some(state) = self.workers.get(worker) else {
            return;
        };
        let missing = state.runs.iter().filter(|(key, record)| {
            let settled = match record.phase {
                RunPhase::Ordered | RunPhase::Unsettled => clock > record.start_deadline,
                RunPhase::OtherIncarnation(answered) => sent_at >= answered,
                RunPhase::Running(began) => clock > began && record.would_be_listed(sent_at),
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

/// Builds a worker's next renewal with the lease to grant, if any. The call waits for an end unless
/// there are ends to acknowledge.
fn next_renewal(
    worker: &WorkerState,
    now: Millis,
    lease: Option<Millis>,
    backlog: &BacklogMonitor,
) -> RenewalCall {
    let is_watched = |record: &RunRecord| record.target_ms > 0 || record.standing;
    let watched = worker.runs.values().any(is_watched);
    let stopping = worker.runs.values().any(|record| {
        matches!(record.phase, RunPhase::Stopping { answered, .. } if answered.is_some())
            || record.phase == RunPhase::Unsettled
    });
    let at_once = !worker.incarnation.fenced || !worker.may_extend_lease();
    let wait_ms = if worker.incarnation.has_unwritten() || worker.withholds_ends(now) || at_once {
        0
    } else if watched || stopping {
        backlog.renewal_wait_ms(RENEWAL_WAIT_MS)
    } else {
        backlog.renewal_wait_ms(IDLE_RENEWAL_WAIT_MS)
    };
    let wait_ms = worker.reading_wait_ms(now, wait_ms, backlog);
    let clock = worker
        .incarnation
        .clock(now)
        .filter(|_| worker.may_extend_lease());
    RenewalCall {
        deadline: clock.zip(lease).map(|(clock, lease)| clock + lease),
        last_seen: match worker.owes_acknowledgement() && worker.may_acknowledge(now) {
            true => worker.incarnation.durable,
            false => 0,
        },
        wait_ms,
    }
}
