//! Records for how long serving tasks are over their targets, and logs what fills beside them
//! meanwhile. The log tells afterwards whether the readings, the paces or the answers to them were at
//! fault.

use sandshelf_model::{Millis, WorkerId};

use crate::ids::RunKey;
use crate::note::{FillState, JobNote, OverTargetReport};
use crate::over_target::OverTargetStretch;
use crate::run::{RunPhase, RunRecord};
use crate::scheduler::JobScheduler;

/// Stretches shorter than this are not logged.
const MIN_LOGGED_STRETCH_MS: Millis = 1_500;

impl RunRecord {
    /// Adds the newest reading of a serving task to its stretch. Returns the stretch if it has to be
    /// logged: once while it lasts, and at its end.
    fn note_tail(&mut self, now: Millis) -> Option<OverTargetStretch> {
        let tail_ms = self.gauge.unwrap_or(0);
        let over = tail_ms >= self.target_ms;
        OverTargetStretch::add_reading(&mut self.over_stretch, now, tail_ms, over);
        let stretch = self.over_stretch.as_mut()?;
        let long = stretch.lasted_ms() >= MIN_LOGGED_STRETCH_MS;
        if stretch.has_ended() {
            return self.over_stretch.take().filter(|_| long);
        }
        let first = long && !stretch.logged;
        stretch.logged |= long;
        first.then_some(*stretch)
    }

    fn fill_state(&self, now: Millis, run: RunKey) -> FillState {
        FillState {
            run,
            pace: self.pace,
            sent_ago_ms: self.pace_sent_at.map(|at| now.saturating_sub(at)),
            taken_ago_ms: self.pace_taken_at.map(|at| now.saturating_sub(at)),
            used: self.gauge.unwrap_or(0),
            paced: matches!(self.phase, RunPhase::Running(_)),
        }
    }
}

impl JobScheduler {
    /// Records the newest readings of the serving tasks on a worker.
    pub(crate) fn note_tails(&mut self, now: Millis, worker: &WorkerId) {
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        let serving = state.runs.iter_mut();
        let serving = serving.filter(|(_, record)| record.target_ms > 0);
        let long = serving.filter_map(|(key, record)| {
            let stretch = record.note_tail(now)?;
            Some((*key, record.target_ms, stretch))
        });
        let long: Vec<_> = long.collect();
        for (key, target_ms, stretch) in long {
            let report = OverTargetReport {
                key,
                worker: worker.clone(),
                target_ms,
                lasted_ms: stretch.lasted_ms(),
                lasts: !stretch.has_ended(),
                readings: stretch.readings,
                dips: stretch.dips,
                worst_ms: stretch.worst_ms,
                fills: self.fill_states(now, worker),
            };
            self.note(JobNote::OverTarget(report));
        }
    }

    fn fill_states(&self, now: Millis, worker: &WorkerId) -> Vec<FillState> {
        let Some(state) = self.workers.get(worker) else {
            return Vec::new();
        };
        let fills = state.filling_runs();
        let fills = fills.map(|(key, record)| record.fill_state(now, *key));
        fills.collect()
    }
}
