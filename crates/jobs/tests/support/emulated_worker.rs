//! One worker of the emulated platform.

use std::collections::BTreeMap;

use sandshelf_jobs::{EndReport, RunOutcome, TaskKey, WorkerIncarnation};
use sandshelf_model::{Millis, ResourceSize, WorkerId};

/// How often a worker publishes its entry in the list of workers.
pub const REPORT_MS: Millis = 1_100;
/// How long starts may still rely on capacity that has since shrunk: three seconds in which an
/// owner is in contact, plus one report interval.
const SHRUNK_AFTER_MS: Millis = 3_000 + REPORT_MS;
/// How long after its last report lists omit a worker.
pub const UNLISTED_AFTER_MS: Millis = 3_300;

pub struct EmulatedRun {
    pub run: u64,
    pub room: ResourceSize,
    pub began_at: Millis,
    pub ends_at: Millis,
    pub outcome: Option<RunOutcome>,
    pub stopping: bool,
    /// When this run crashes its worker.
    pub crashes_at: Option<Millis>,
}

impl EmulatedRun {
    /// The progress of the run; 100 for one that does not end by itself.
    pub fn percent(&self, now: Millis) -> u32 {
        let whole = self.ends_at.saturating_sub(self.began_at);
        match self.ends_at {
            Millis::MAX => 100,
            _ => ((now - self.began_at) * 100 / whole.max(1)).min(99) as u32,
        }
    }
}

pub struct EmulatedWorker {
    pub id: WorkerId,
    pub incarnation: WorkerIncarnation,
    pub place: usize,
    pub clock_percent: u64,
    /// What its clock showed when this incarnation began, and the emulator's time of that moment.
    pub clock_origin: (u64, Millis),
    pub fence: u64,
    pub lease_until: u64,
    pub runs: BTreeMap<TaskKey, EmulatedRun>,
    pub newest_runs: BTreeMap<TaskKey, u64>,
    /// Ends that the owner has not acknowledged, each with the time at which it occurred.
    pub ended: Vec<(Millis, EndReport)>,
    pub end_count: u64,
    /// When the lease was last found expired.
    pub lapsed_at: Millis,
    /// Until when this place has no running worker: the previous one has crashed and this one has
    /// not started yet.
    pub down_until: Millis,
    /// Whether connections are refused, rather than time out, until then.
    pub refuses_connections: bool,
    /// From when on lists show this incarnation of a worker that restarted under its name.
    pub listed_from: Millis,
    pub cut_since: Millis,
    pub cut_until: Millis,
    /// Whether connections are refused, rather than time out, while it is cut off.
    pub cut_refuses: bool,
    /// Until when lists omit it although it is up.
    pub unlisted_until: Millis,
    /// From when and until when it is cut off next, if that is due.
    pub cut_next: Option<(Millis, Millis)>,
    pub leaves_at: Option<Millis>,
    pub draining_since: Option<Millis>,
    /// Whether no other worker takes its place when it leaves.
    pub leaves_for_good: bool,
    pub room: ChangingCapacity,
}

/// A worker's capacity, which shrinks and grows while it runs.
#[derive(Clone, Debug)]
pub struct ChangingCapacity {
    full: ResourceSize,
    percent: u64,
    /// The percentage in the worker's last report.
    reported: u64,
    /// Earlier percentages, each with the time at which it stopped applying.
    earlier: Vec<(Millis, u64)>,
}

impl ChangingCapacity {
    pub fn new(full: ResourceSize) -> Self {
        Self {
            full,
            percent: 100,
            reported: 100,
            earlier: Vec::new(),
        }
    }

    pub fn change(&mut self, now: Millis, percent: u64) {
        self.earlier.push((now, self.percent));
        self.percent = percent;
    }

    /// Whether the capacity is not reduced.
    pub fn is_full(&self) -> bool {
        self.percent == 100
    }

    pub fn report(&mut self) {
        self.reported = self.percent;
    }

    /// The capacity now.
    pub fn current(&self) -> ResourceSize {
        self.scaled(self.percent)
    }

    /// The capacity that lists show.
    pub fn reported(&self) -> ResourceSize {
        self.scaled(self.reported)
    }

    /// The capacity that starts must not exceed: a reduction counts only `SHRUNK_AFTER_MS` later.
    pub fn enforced(&self, now: Millis) -> ResourceSize {
        let recent = self
            .earlier
            .iter()
            .filter(|(at, _)| now < at + SHRUNK_AFTER_MS);
        let highest = recent.map(|(_, percent)| *percent).max();
        self.scaled(highest.unwrap_or(0).max(self.percent))
    }

    fn scaled(&self, percent: u64) -> ResourceSize {
        ResourceSize::new(
            self.full.cpu_millis * percent / 100,
            self.full.memory_mib * percent / 100,
            self.full.accelerators,
        )
    }
}

impl EmulatedWorker {
    pub fn clock(&self, now: Millis) -> u64 {
        let (shown, from) = self.clock_origin;
        shown + now.saturating_sub(from) * self.clock_percent / 100
    }

    /// Whether lists show the worker: its entry expires after three missed reports.
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
