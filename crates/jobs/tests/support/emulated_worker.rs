//! One worker of the emulated platform.

use std::collections::BTreeMap;

use sandshelf_jobs::{EndReport, RunOutcome, TaskKey};
use sandshelf_model::{Millis, ResourceSize, WorkerId};

/// After how long without a report lists omit a worker.
const UNLISTED_AFTER_MS: Millis = 3_300;

pub struct EmulatedRun {
    pub run: u64,
    pub room: ResourceSize,
    pub ends_at: Millis,
    pub outcome: Option<RunOutcome>,
    pub stopping: bool,
    /// When it brings its worker down.
    pub crashes_at: Option<Millis>,
}

pub struct EmulatedWorker {
    pub id: WorkerId,
    pub place: usize,
    pub clock_percent: u64,
    pub fence: u64,
    pub lease_until: u64,
    pub runs: BTreeMap<TaskKey, EmulatedRun>,
    pub newest: BTreeMap<TaskKey, u64>,
    /// Ends that were not acknowledged, with when they came.
    pub ended: Vec<(Millis, EndReport)>,
    pub end_count: u64,
    /// When the lease was last found to have run out.
    pub lapsed_at: Millis,
    /// Until when nobody stands here: the one before has crashed and this one has yet to start.
    pub dark_until: Millis,
    pub cut_since: Millis,
    pub cut_until: Millis,
    pub leaves_at: Option<Millis>,
    pub draining_since: Option<Millis>,
    /// Whether it leaves no other at its place.
    pub for_good: bool,
}

impl EmulatedWorker {
    pub fn clock(&self, now: Millis) -> u64 {
        now * self.clock_percent / 100
    }

    /// Whether lists name it: an entry goes after three reports that did not come.
    pub fn is_listed(&self, now: Millis) -> bool {
        now >= self.cut_until || now < self.cut_since + UNLISTED_AFTER_MS
    }

    pub fn used(&self) -> ResourceSize {
        let rooms = self.runs.values().map(|run| run.room);
        rooms.fold(ResourceSize::default(), |sum, room| {
            sum.plus(&room).expect("small sizes")
        })
    }
}
