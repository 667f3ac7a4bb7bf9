//! One worker of the emulated platform.

use std::collections::BTreeMap;

use sandshelf_jobs::{EndReport, RunOutcome, TaskKey, WorkerIncarnation};
use sandshelf_model::{Millis, ResourceSize, WorkerId};

/// How often a worker reports on itself.
pub const REPORT_MS: Millis = 1_100;
/// How long after it has shrunk a room has to be kept to: three seconds in which an owner has been in touch, and a report.
const SHRUNK_AFTER_MS: Millis = 3_000 + REPORT_MS;
/// After how long without a report lists omit a worker.
pub const UNLISTED_AFTER_MS: Millis = 3_300;

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
    /// Which life under that name it is.
    pub life: WorkerIncarnation,
    pub place: usize,
    pub clock_percent: u64,
    /// What its clock showed when this life began, and when that was.
    pub clock_from: (u64, Millis),
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
    /// Whether connections are refused until then.
    pub refuses: bool,
    /// From when on lists show this life of a worker that has started again under its name.
    pub shown_from: Millis,
    pub cut_since: Millis,
    pub cut_until: Millis,
    pub leaves_at: Option<Millis>,
    pub draining_since: Option<Millis>,
    /// Whether it leaves no other at its place.
    pub for_good: bool,
    pub room: ShrinkingRoom,
}

/// A worker's room, which shrinks and grows while it runs.
#[derive(Clone, Debug)]
pub struct ShrinkingRoom {
    whole: ResourceSize,
    percent: u64,
    /// What the worker says of it, since its last report.
    reported: u64,
    /// What it was before, and until when.
    before: Vec<(Millis, u64)>,
}

impl ShrinkingRoom {
    pub fn new(whole: ResourceSize) -> Self {
        Self {
            whole,
            percent: 100,
            reported: 100,
            before: Vec::new(),
        }
    }

    pub fn change(&mut self, now: Millis, percent: u64) {
        self.before.push((now, self.percent));
        self.percent = percent;
    }

    /// Whether all of it is there.
    pub fn is_whole(&self) -> bool {
        self.percent == 100
    }

    pub fn report(&mut self) {
        self.reported = self.percent;
    }

    /// What the worker has.
    pub fn now(&self) -> ResourceSize {
        self.part(self.percent)
    }

    /// What lists show.
    pub fn reported(&self) -> ResourceSize {
        self.part(self.reported)
    }

    /// What starts have to keep to: a room that has shrunk counts some time later.
    pub fn counted(&self, now: Millis) -> ResourceSize {
        let lately = self
            .before
            .iter()
            .filter(|(at, _)| now < at + SHRUNK_AFTER_MS);
        let most = lately.map(|(_, percent)| *percent).max();
        self.part(most.unwrap_or(0).max(self.percent))
    }

    fn part(&self, percent: u64) -> ResourceSize {
        ResourceSize::new(
            self.whole.cpu_millis * percent / 100,
            self.whole.memory_mib * percent / 100,
            self.whole.accelerators,
        )
    }
}

impl EmulatedWorker {
    pub fn clock(&self, now: Millis) -> u64 {
        let (shown, from) = self.clock_from;
        shown + now.saturating_sub(from) * self.clock_percent / 100
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
