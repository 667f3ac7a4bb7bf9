//! Workers that start again under the name that they had.
//!
//! A worker in a new life holds and knows nothing of before. What it reported in the life before is over, as with a worker whose place another
//! has taken. Only an order whose answer never came may yet be carried out by the new life, since orders name the worker and not its life: such
//! a run is settled anew there.

use std::collections::BTreeSet;

use sandshelf_model::{Millis, WorkerId};

use crate::events::{HoldReport, JobNote, LossCause, StopCause};
use crate::ids::RunKey;
use crate::life::LifeState;
use crate::run::{RunPhase, RunRecord};
use crate::scheduler::JobScheduler;

/// A start that no life of its worker has answered may be carried out as long as the present one lives: its deadline counts on the clock of
/// the life that it was meant for.
const NO_DEADLINE: u64 = u64::MAX;

impl JobScheduler {
    /// Takes in which life of a worker a report is of. The first one that says so gives the life its name; a report of another life
    /// begins that.
    pub(crate) fn take_life(&mut self, now: Millis, worker: &WorkerId, report: &HoldReport) {
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        if state.life.is_other(report.life) {
            self.begin_life(now, worker, report);
        } else if state.life.name.is_none() {
            state.life.name = report.life;
        }
    }

    /// A worker has started again: gives up what ended with the life before, and goes on with what the new one may hold.
    fn begin_life(&mut self, now: Millis, worker: &WorkerId, report: &HoldReport) {
        let Some(state) = self.workers.get(worker) else {
            return;
        };
        self.note(JobNote::AnotherLife {
            worker: worker.clone(),
            before: state.life.name,
            life: report.life,
            clock_before: state.life.read_clock(),
            clock: report.clock,
            noted: state.life.noted,
            listed: report.ended.last().map_or(0, |end| end.number),
        });
        let listed = listed_runs(report);
        let kept = self.take_runs(worker, |key, record| {
            listed.contains(key) || !record.confirmed
        });
        self.lose_crashed(now, worker, LossCause::Restarted);
        self.quarantine.forget(worker);
        if let Some(state) = self.workers.get_mut(worker) {
            state.life = LifeState::new(report.life);
            state.paused_until = now;
        }
        for (key, record) in kept {
            self.keep_run(now, worker, key, record, listed.contains(&key));
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

    /// Goes on with a run in the new life: one that is listed is at work there, any other is to be settled.
    fn keep_run(
        &mut self,
        now: Millis,
        worker: &WorkerId,
        key: RunKey,
        record: RunRecord,
        listed: bool,
    ) {
        let stopping = record.phase.is_stopping();
        let settled = listed || matches!(record.phase, RunPhase::Elsewhere(_));
        let record = RunRecord {
            phase: match record.phase {
                RunPhase::Elsewhere(answered) => RunPhase::Elsewhere(answered),
                _ => RunPhase::Unsettled,
            },
            began: None,
            confirmed: false,
            start_deadline: NO_DEADLINE,
            ..record
        };
        if let Some(state) = self.workers.get_mut(worker) {
            state.add_run(key, record);
        }
        if stopping || !settled {
            self.stop_run(now, worker, key, StopCause::Unsettled);
        }
    }
}

/// The runs that a report lists, at work or ended.
fn listed_runs(report: &HoldReport) -> BTreeSet<RunKey> {
    let running = report.running.iter().map(|run| run.key);
    let ended = report.ended.iter().map(|end| end.key);
    running.chain(ended).collect()
}
