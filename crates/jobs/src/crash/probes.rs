//! Probes of workers that have just begun a task under suspicion: whether one goes down with the task's start, or some time later.
//!
//! A worker is looked at once or twice a second. One that crashes by itself in between can't be told from one that a task brought down with its
//! start. So a few calls follow each start of such a task: where none of them is answered, the worker went down within that time.

use sandshelf_model::{Millis, WorkerId};

use crate::events::WorkerCall;
use crate::ids::RunKey;
use crate::limits::{
    FIRST_PROBE_DELAY_MS, MIN_UNANSWERED_PROBES, PROBES_PER_START, PROBE_INTERVAL_MS,
};
use crate::run::RunRecord;
use crate::scheduler::JobScheduler;

impl RunRecord {
    /// Whether the worker went down with the start of this run, which it was heard of last so long after it began.
    pub(crate) fn is_sudden(&self, heard_ms: Millis) -> bool {
        self.probes >= MIN_UNANSWERED_PROBES && heard_ms < FIRST_PROBE_DELAY_MS
    }
}

impl JobScheduler {
    /// A run of a task under suspicion began: has its worker probed.
    pub(crate) fn probe_begun(&mut self, now: Millis, worker: &WorkerId, key: RunKey) {
        if !self.crashes.noted.contains(&key.task) {
            return;
        }
        for number in 0..PROBES_PER_START {
            let at = now + FIRST_PROBE_DELAY_MS + number * PROBE_INTERVAL_MS;
            self.crashes.probes.insert((at, worker.clone(), key));
        }
    }

    /// Sends the probes that are due: calls that change nothing.
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
            let pace = record.pace.min(FULL_PACE);
            self.call(&worker, WorkerCall::Pace(key, pace));
        }
    }
}

/// The whole pace, in percent.
const FULL_PACE: u32 = 100;
