//! Workers that start again under the name that they had.
//!
//! A worker in a new life holds and knows nothing of before. What it reported in the life before is over, as with a worker whose place another
//! has taken. Only an order whose answer never came may yet be carried out by the new life, since orders name the worker and not its life: such
//! a run is settled anew there.

use std::collections::BTreeSet;

use sandshelf_model::{Millis, WorkerId};

use crate::ids::RunKey;
use crate::life::LifeState;
use crate::note::{JobNote, LossCause, StopCause};
use crate::reports::RenewalReport;
use crate::run::{RunPhase, RunRecord};
use crate::scheduler::JobScheduler;

/// A start that no life of its worker has answered may be carried out as long as the present one lives: its deadline counts on the clock of
/// the life that it was meant for.
const NO_DEADLINE: u64 = u64::MAX;

impl JobScheduler {
    /// Takes in which life of a worker a report is of. The first one that says so gives the life its name; a report of another life
    /// begins that.
    pub(crate) fn take_life(
        &mut self,
        now: Millis,
        worker: &WorkerId,
        asked: Millis,
        report: &RenewalReport,
    ) {
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        if state.life.is_other(report.incarnation) {
            self.begin_life(now, worker, asked, report);
        } else if state.life.name.is_none() && report.incarnation.is_some() {
            state.life.name = report.incarnation;
            self.roster_changed |= self.roster.contains(worker);
        }
    }

    /// A worker has started again: gives up what ended with the life before, and goes on with what the new one may hold.
    ///
    /// What the report lists is at work there. What the life before had answered for, by a look or before the look went out that this report
    /// answers, has ended with it; anything else may be at work in the new life, or be begun there.
    fn begin_life(
        &mut self,
        now: Millis,
        worker: &WorkerId,
        asked: Millis,
        report: &RenewalReport,
    ) {
        let Some(state) = self.workers.get(worker) else {
            return;
        };
        self.note(JobNote::WorkerRestarted {
            worker: worker.clone(),
            before: state.life.name,
            incarnation: report.incarnation,
            clock_before: state.life.read_clock(),
            clock: report.clock,
            noted: state.life.noted,
            listed: report.ended.last().map_or(0, |end| end.number),
        });
        let listed = listed_runs(report);
        let listed = self.take_runs(worker, |key, _| listed.contains(key));
        let convicted = self.note_loss(now, worker, LossCause::Restarted);
        let doubtful = self.take_runs(worker, |_, record| !record.would_be_listed(asked));
        self.lose_runs(now, worker, LossCause::Restarted);
        self.foreign.forget_work(worker);
        self.quarantine.forget(worker);
        self.roster_changed |= self.roster.contains(worker);
        if let Some(recovery) = &mut self.recovery {
            recovery.lost_some |= recovery.unanswered.contains_key(worker);
        }
        if let Some(state) = self.workers.get_mut(worker) {
            let reached = state.hold_prolongs || !listed.is_empty() || !doubtful.is_empty();
            // An order that was meant for the life before leases by that one's clock, at most for as long as the worker allows.
            let longest = report.clock + self.limits.max_lease_ms;
            let granted = longest.min(state.life.granted);
            state.life = LifeState::new(report.incarnation);
            state.life.granted = if reached { granted } else { 0 };
            state.paused_until = now;
        }
        for (key, record) in listed {
            self.keep_run(now, worker, key, RunPhase::Unsettled, record);
        }
        for (key, record) in doubtful {
            let phase = match (record.phase, record.answered_at) {
                (RunPhase::Elsewhere(answered), _) => RunPhase::Elsewhere(answered),
                (RunPhase::Running(_), Some(answered)) => RunPhase::Elsewhere(answered),
                _ => RunPhase::Unsettled,
            };
            self.keep_run(now, worker, key, phase, record);
            if phase == RunPhase::Unsettled {
                self.stop_run(now, worker, key, StopCause::Unsettled);
            }
        }
        if let Some(task) = convicted {
            self.give_up_task(now, task);
        }
        self.room_changed = true;
    }

    /// Takes out the runs of a worker of which something holds.
    fn take_runs(
        &mut self,
        worker: &WorkerId,
        holds: impl Fn(&RunKey, &RunRecord) -> bool,
    ) -> Vec<(RunKey, RunRecord)> {
        let Some(state) = self.workers.get_mut(worker) else {
            return Vec::new();
        };
        let runs = state.runs.iter();
        let runs = runs.filter(|(key, record)| holds(key, record));
        let keys: Vec<RunKey> = runs.map(|(key, _)| *key).collect();
        let taken = keys.into_iter();
        taken
            .filter_map(|key| Some((key, state.remove_run(&key)?)))
            .collect()
    }

    /// Goes on with a run in the new life; one that was to stop is told so anew.
    fn keep_run(
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
            start_deadline: NO_DEADLINE,
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

/// The runs that a report lists, at work or ended.
fn listed_runs(report: &RenewalReport) -> BTreeSet<RunKey> {
    let running = report.running.iter().map(|run| run.key);
    let ended = report.ended.iter().map(|end| end.key);
    running.chain(ended).collect()
}
