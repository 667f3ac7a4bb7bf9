//! Handles workers that restart under the same name.
//!
//! A new incarnation of a worker holds nothing of the previous one and knows nothing about it.
//! Every run that the previous incarnation reported is over, as when a worker is replaced by
//! another one. An order that was never answered may still be carried out by the new incarnation,
//! since orders name the worker but not its incarnation: such a run is settled there anew.

use std::collections::BTreeSet;

use sandshelf_model::{Millis, WorkerId};

use crate::copies::ProgressTrack;
use crate::ids::RunKey;
use crate::incarnation::{longest_wait, IncarnationState};
use crate::limits::MAX_ORDER_AGE_MS;
use crate::note::{JobNote, LossCause, StopCause};
use crate::reports::RenewalReport;
use crate::run::{RunPhase, RunRecord};
use crate::scheduler::JobScheduler;

/// The deadline of a start that no incarnation of its worker has answered. The order's own deadline
/// is on the clock of the previous incarnation, so the new one may carry the order out at any time.
const NO_START_DEADLINE: u64 = u64::MAX;

impl JobScheduler {
    /// Checks which incarnation of a worker sent a report. The first report that contains an
    /// incarnation sets it; a report of another one begins a new incarnation.
    pub(crate) fn update_incarnation(
        &mut self,
        now: Millis,
        worker: &WorkerId,
        sent_at: Millis,
        report: &RenewalReport,
    ) {
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        if state.incarnation.is_other(report.incarnation) {
            self.begin_incarnation(now, worker, sent_at, report);
        } else if state.incarnation.id.is_none() && report.incarnation.is_some() {
            state.incarnation.id = report.incarnation;
            self.roster.note_changed(worker);
        }
    }

    /// Handles a restart of a worker: gives up the runs of the previous incarnation, and keeps
    /// those that the new one may hold.
    ///
    /// Runs that the report lists are running there. Runs that the previous incarnation confirmed,
    /// in a report or in an answer that came before the renewal that this report answers was sent,
    /// have ended with it. Any other run may be running in the new incarnation, or may yet be started
    /// there.
    fn begin_incarnation(
        &mut self,
        now: Millis,
        worker: &WorkerId,
        sent_at: Millis,
        report: &RenewalReport,
    ) {
        let Some(state) = self.workers.get(worker) else {
            return;
        };
        let listed_keys = listed_runs(report);
        let late_orders_until = state.late_orders_until(sent_at, &listed_keys);
        let late_orders_ms = late_orders_until.saturating_sub(now);
        let may_be_leased = late_orders_ms > 0
            || state.renewal_extends_lease
            || state.strays.extend_lease()
            || state.has_unconfirmed_runs(sent_at, &listed_keys);
        // The deadline in an order that was meant for an earlier incarnation is on the clock of that
        // incarnation. The worker limits the lease to its own maximum, from the time at which it
        // carries the order out.
        let incarnation = &state.incarnation;
        let late_deadline = incarnation.late_deadline.max(incarnation.lease_deadline);
        let longest = report.clock + late_orders_ms + self.limits.max_lease_ms;
        let lease_ms = match may_be_leased {
            true => (longest.min(late_deadline) + 1).saturating_sub(report.clock),
            false => 0,
        };
        let lease_left_ms = longest_wait(lease_ms);
        self.note(JobNote::WorkerRestarted {
            worker: worker.clone(),
            before: state.incarnation.id,
            incarnation: report.incarnation,
            clock_before: state.incarnation.newest_clock(),
            clock: report.clock,
            noted: state.incarnation.noted,
            listed: report.ended.last().map_or(0, |end| end.number),
            late_orders_ms,
            lease_left_ms,
        });
        let listed = self.remove_runs_where(worker, |key, _| listed_keys.contains(key));
        self.note_worker_loss(now, worker, LossCause::Restarted);
        let unsettled =
            self.remove_runs_where(worker, |_, record| !record.would_be_listed(sent_at));
        self.lose_runs(now, worker, LossCause::Restarted);
        self.foreign.forget_running(worker);
        self.quarantine.forget(worker);
        self.roster.note_changed(worker);
        if let Some(recovery) = &mut self.recovery {
            recovery.worker_lost |= recovery.unanswered.contains_key(worker);
        }
        if let Some(state) = self.workers.get_mut(worker) {
            let unanswered_until = state.incarnation.unanswered_until;
            state.incarnation = IncarnationState::new(report.incarnation);
            state.incarnation.unanswered_until = unanswered_until;
            state.incarnation.late_deadline = late_deadline;
            state.incarnation.inherited_until = now + lease_left_ms;
            state.paused_until = now;
        }
        for (key, record) in listed {
            self.carry_over_run(now, worker, key, RunPhase::Unsettled, record);
        }
        for (key, record) in unsettled {
            let phase = match (record.phase, record.answered_at) {
                (RunPhase::OtherIncarnation(answered), _) => RunPhase::OtherIncarnation(answered),
                (RunPhase::Running(_), Some(answered)) => RunPhase::OtherIncarnation(answered),
                _ => RunPhase::Unsettled,
            };
            self.carry_over_run(now, worker, key, phase, record);
            if phase == RunPhase::Unsettled {
                self.stop_run(now, worker, key, StopCause::Unsettled);
            }
        }
        self.room_changed = true;
    }

    /// Handles a sign that a worker has restarted before any report of its next incarnation: that
    /// incarnation may be leased by orders that were meant for the current one.
    pub(crate) fn note_unheard_restart(&mut self, now: Millis, worker: &WorkerId) {
        let earlier_orders_until = self.earlier_orders_until;
        let max_lease_ms = self.limits.max_lease_ms;
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        let own_orders_until = match state.lease_ordered_at {
            0 => 0,
            ordered_at => ordered_at + MAX_ORDER_AGE_MS,
        };
        let orders_until = earlier_orders_until.max(own_orders_until);
        let until = orders_until + longest_wait(max_lease_ms);
        if orders_until == 0 || !state.incarnation.note_successor(now, until) {
            return;
        }
        self.roster.note_changed(worker);
        if let Some(recovery) = &mut self.recovery {
            recovery.raise(worker, until);
        }
        if let Some(until) = self.store_clock.at_most(until) {
            self.silence_records.raise(worker, until);
        }
    }

    /// Removes and returns the runs of a worker for which a condition holds.
    fn remove_runs_where(
        &mut self,
        worker: &WorkerId,
        condition: impl Fn(&RunKey, &RunRecord) -> bool,
    ) -> Vec<(RunKey, RunRecord)> {
        let Some(state) = self.workers.get_mut(worker) else {
            return Vec::new();
        };
        let runs = state.runs.iter();
        let runs = runs.filter(|(key, record)| condition(key, record));
        let keys: Vec<RunKey> = runs.map(|(key, _)| *key).collect();
        let removed = keys.into_iter();
        removed
            .filter_map(|key| Some((key, state.remove_run(&key)?)))
            .collect()
    }

    /// Keeps a run for the new incarnation. If the run was being stopped, the stop order is sent
    /// again.
    fn carry_over_run(
        &mut self,
        now: Millis,
        worker: &WorkerId,
        key: RunKey,
        phase: RunPhase,
        record: RunRecord,
    ) {
        let stopping = record.phase.is_stopping();
        let record = RunRecord {
            phase,
            began: None,
            listed: false,
            answered_at: None,
            start_deadline: NO_START_DEADLINE,
            progress: ProgressTrack::default(),
            ..record
        };
        if let Some(state) = self.workers.get_mut(worker) {
            state.add_run(key, record);
        }
        if stopping {
            self.stop_run(now, worker, key, StopCause::Unsettled);
        }
    }
}

/// The runs that a report lists as running or ended.
fn listed_runs(report: &RenewalReport) -> BTreeSet<RunKey> {
    let running = report.running.iter().map(|run| run.key);
    let ended = report.ended.iter().map(|end| end.key);
    running.chain(ended).collect()
}
