//! Probes workers that have just started a suspected task, to tell whether the worker goes down
//! right with the start or some time later.
//!
//! A worker is polled once or twice a second. A worker that crashes by itself between two polls
//! can't be told from one that a task brought down with its start. So a few calls follow each start
//! of such a task: if none of them is answered, the worker went down within that time.

use sandshelf_model::{Millis, WorkerId};

use crate::events::WorkerCall;
use crate::ids::RunKey;
use crate::limits::{
    FIRST_PROBE_DELAY_MS, MIN_UNANSWERED_PROBES, PROBES_PER_START, PROBE_INTERVAL_MS,
};
use crate::run::RunRecord;
use crate::scheduler::JobScheduler;

impl RunRecord {
    /// Whether the worker went down right with the start of this run. `heard_ms` is how long after
    /// the start it was last heard from.
    pub(crate) fn is_sudden(&self, heard_ms: Millis) -> bool {
        self.probes >= MIN_UNANSWERED_PROBES && heard_ms < FIRST_PROBE_DELAY_MS
    }
}

impl JobScheduler {
    /// Schedules the probes of a worker on which a run of a suspected task began.
    pub(crate) fn schedule_probes(&mut self, now: Millis, worker: &WorkerId, key: RunKey) {
        if !self.crashes.noted.contains(&key.task) {
            return;
        }
        for number in 0..PROBES_PER_START {
            let at = now + FIRST_PROBE_DELAY_MS + number * PROBE_INTERVAL_MS;
            self.crashes.probes.insert((at, worker.clone(), key));
        }
    }

    /// Sends the probes that are due. A probe is a call that changes nothing.
    pub(crate) fn send_probes(&mut self, now: Millis) {
        while let Some((at, ..)) = self.crashes.probes.first() {
            if *at > now {
                return;
            }
            let Some((_, worker, key)) = self.crashes.probes.pop_first() else {
                return;
            };
            let Some(record) = self.record_mut(&worker, &key) else {
                continue;
            };
            record.probes += 1;
            let pace = record.pace.min(FULL_PACE_PERCENT);
            self.call(&worker, WorkerCall::Pace(key, pace));
        }
    }
}

/// The full pace, in percent.
const FULL_PACE_PERCENT: u32 = 100;
