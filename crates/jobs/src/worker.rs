//! What is known of one worker: its clock, its lease, and the runs that may be at work there.

use std::cell::OnceCell;
use std::collections::BTreeMap;

use sandshelf_model::{Millis, ResourceSize};

use crate::crash::CrashSuspect;
use crate::events::{WorkerClock, WorkerListing};
use crate::fill::FillBoard;
use crate::ids::{RunKey, WorkerLife};
use crate::images::ImageId;
use crate::job::DueTimes;
use crate::limits::{ANSWER_SOON_MS, SILENT_AFTER_MS, SLOWEST_CLOCK_PERCENT, SUSPECT_AFTER_HOLDS};
use crate::press::{FillLoads, PressEstimate};
use crate::spec::StepSpec;
use crate::swing::LoadBook;

/// What part of its declared processors a filling task uses that was not read yet.
const USUAL_USE: f64 = 0.87;

/// How far an order to start has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// It was sent and its answer is awaited.
    Ordered,
    /// It got no answer: it may have been done, or may be done later.
    Unsettled,
    /// The worker said that it runs, at this time of its clock.
    Running(WorkerClock),
    /// A stop was sent; answered at this time of the worker's clock, if it was.
    Stopping {
        sent: Millis,
        answered: Option<WorkerClock>,
    },
}

impl RunPhase {
    /// Whether a stop was sent.
    pub(crate) fn is_stopping(&self) -> bool {
        matches!(self, RunPhase::Stopping { .. })
    }
}

/// A run that may be at work on a worker.
#[derive(Clone, Debug)]
pub(crate) struct RunRecord {
    pub(crate) phase: RunPhase,
    /// What it takes of the worker's room.
    pub(crate) room: ResourceSize,
    /// Whether that is known.
    pub(crate) sized: bool,
    /// What it would use of the processors, in thousandths of a core.
    pub(crate) cpu_millis: u64,
    /// How many probes have followed its start.
    pub(crate) probes: u32,
    /// When it was ordered to start; 0 for one that an earlier owner ordered.
    pub(crate) ordered_at: Millis,
    /// When the worker said that it runs, by its own clock; kept also once it is to stop.
    pub(crate) began: Option<WorkerClock>,
    /// Until when on the worker's clock the order to start it may be carried out.
    pub(crate) start_deadline: WorkerClock,
    pub(crate) fills: bool,
    pub(crate) standing: bool,
    pub(crate) target_ms: Millis,
    pub(crate) image: ImageId,
    pub(crate) checkpoint: Option<String>,
    pub(crate) percent: u32,
    pub(crate) gauge: Option<u64>,
    /// The share at which it was told to work, in percent.
    pub(crate) pace: u32,
    /// What part of its declared processors it was seen to use at full pace.
    pub(crate) use_ratio: Option<f64>,
    /// When its job should be done.
    pub(crate) due: DueTimes,
    /// In how many readings on end it used much more or less than its pace says.
    pub(crate) off_pace: u32,
    /// Since when it has been slowed down.
    pub(crate) slowed_since: Option<Millis>,
    /// Since when every reading has been over its target.
    pub(crate) over_since: Option<Millis>,
}

/// A reading of a worker's clock and when it reached us.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    clock: WorkerClock,
    at: Millis,
}

/// Whether it is written down that the lease of a silent worker ends, so that nothing may prolong it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum LeaseMark {
    /// It isn't.
    #[default]
    None,
    /// It is, or a write that says so is under way.
    Marked,
    /// The commit of this number takes the mark away.
    Removed(u64),
}

/// One worker.
#[derive(Clone, Debug)]
pub(crate) struct WorkerState {
    pub(crate) entry: WorkerListing,
    /// Whether the newest list names it.
    pub(crate) listed: bool,
    /// Whether lists go without it although the store has been well for long enough: it is about to leave without a word,
    /// or can't reach the store.
    pub(crate) missing: bool,
    /// Whether the newest list has an entry of its name that can't be read.
    pub(crate) unreadable: bool,
    /// Whether it has answered under this owner's epoch.
    pub(crate) fenced: bool,
    /// Which of its lives answered last.
    pub(crate) life: Option<WorkerLife>,
    reading: Option<ClockReading>,
    /// The latest end of a lease that was sent to it, on its clock.
    pub(crate) granted: WorkerClock,
    /// Ends up to this number were taken in.
    pub(crate) noted: u64,
    /// Ends up to this number are durable and may be acknowledged.
    pub(crate) durable: u64,
    pub(crate) hold_sent: Option<Millis>,
    /// How long the worker may wait before it answers the hold that is under way.
    pub(crate) hold_wait: Millis,
    pub(crate) hold_due: Millis,
    /// How long the next hold is put off after an answer.
    pub(crate) hold_gap: Millis,
    pub(crate) last_answer: Millis,
    pub(crate) told_silent: bool,
    /// Whether the newest hold got no answer: the lease is not prolonged before one does, so that it runs out.
    pub(crate) unanswered: bool,
    /// How many holds on end got no answer.
    pub(crate) failed_holds: u32,
    /// Whether a successor would read that its lease ends.
    pub(crate) mark: LeaseMark,
    /// Until when it gets no new tasks.
    pub(crate) paused_until: Millis,
    pub(crate) runs: BTreeMap<RunKey, RunRecord>,
    /// Runs given up that may have brought it down, should it turn out to have crashed.
    pub(crate) suspects: Vec<CrashSuspect>,
    used: ResourceSize,
    /// How many runs there are of which nobody knows what they take.
    unsized_runs: usize,
    ordinary_cpu: u64,
    filling_cpu: u64,
    /// When what fills here last changed: a task came or went, or was given another pace.
    pub(crate) fills_changed_at: Millis,
    /// The tasks here as the dealing of shares sees them, from when they were first asked for after a change.
    board: OnceCell<FillBoard>,
}

impl WorkerState {
    pub(crate) fn new(entry: WorkerListing, now: Millis, mark: LeaseMark) -> Self {
        Self {
            entry,
            listed: false,
            missing: false,
            unreadable: false,
            fenced: false,
            life: None,
            reading: None,
            granted: 0,
            noted: 0,
            durable: 0,
            hold_sent: None,
            hold_wait: 0,
            hold_due: now,
            hold_gap: 0,
            last_answer: now,
            told_silent: false,
            unanswered: false,
            failed_holds: 0,
            mark,
            paused_until: 0,
            runs: BTreeMap::new(),
            suspects: Vec::new(),
            used: ResourceSize::default(),
            unsized_runs: 0,
            ordinary_cpu: 0,
            filling_cpu: 0,
            fills_changed_at: 0,
            board: OnceCell::new(),
        }
    }

    /// The tasks here as the dealing of shares sees them.
    pub(crate) fn board(&self, press: &PressEstimate, loads: &LoadBook, now: Millis) -> &FillBoard {
        self.board
            .get_or_init(|| FillBoard::new(self, press, loads, now))
    }

    /// Notes that the tasks here, or what is read of them, have changed.
    pub(crate) fn forget_board(&mut self) {
        self.board.take();
    }

    /// Notes a reading of its clock; an older one than is known changes nothing.
    pub(crate) fn note_clock(&mut self, now: Millis, clock: WorkerClock) {
        self.last_answer = now;
        self.told_silent = false;
        self.unanswered = false;
        self.failed_holds = 0;
        if self.reading.is_none_or(|known| clock >= known.clock) {
            self.reading = Some(ClockReading { clock, at: now });
        }
    }

    /// The newest reading of its clock.
    pub(crate) fn read_clock(&self) -> Option<WorkerClock> {
        Some(self.reading?.clock)
    }

    /// Its clock by now, as far as it is known.
    pub(crate) fn clock(&self, now: Millis) -> Option<WorkerClock> {
        let reading = self.reading?;
        Some(reading.clock + now.saturating_sub(reading.at))
    }

    /// How long after a run began the worker was last heard, by its own clock; none where nothing told that it began.
    pub(crate) fn heard_after(&self, record: &RunRecord) -> Option<Millis> {
        let reading = self.reading?;
        Some(reading.clock.saturating_sub(record.began?))
    }

    /// Of the orders to start without an answer, the one that was sent first.
    pub(crate) fn first_unanswered(&self) -> Option<CrashSuspect> {
        let unanswered = self
            .runs
            .iter()
            .filter(|(_, record)| record.began.is_none());
        let first = unanswered.min_by_key(|(_, record)| record.ordered_at);
        first.map(|(key, _)| CrashSuspect {
            key: *key,
            heard_ms: 0,
            sudden: false,
        })
    }

    /// What its clock shows at least by now, however slow it runs.
    fn least_clock(&self, now: Millis) -> Option<WorkerClock> {
        let reading = self.reading?;
        let passed = now.saturating_sub(reading.at) * SLOWEST_CLOCK_PERCENT / 100;
        Some(reading.clock + passed)
    }

    /// From when on all that was leased to it has certainly run out, unless that is prolonged; none before it has answered.
    pub(crate) fn lease_over_at(&self) -> Option<Millis> {
        let reading = self.reading?;
        let left = (self.granted + 1).saturating_sub(reading.clock);
        Some(reading.at + (left * 100).div_ceil(SLOWEST_CLOCK_PERCENT))
    }

    /// Whether its lease may be prolonged.
    pub(crate) fn may_prolong(&self) -> bool {
        self.mark == LeaseMark::None && !self.unanswered
    }

    /// Whether all that was leased to it has certainly run out.
    pub(crate) fn lease_is_over(&self, now: Millis) -> bool {
        self.least_clock(now)
            .is_some_and(|clock| clock > self.granted)
    }

    /// Whether it has not answered for a while.
    pub(crate) fn is_silent(&self, now: Millis) -> bool {
        let waits = if self.hold_sent.is_some() {
            self.hold_wait
        } else {
            0
        };
        let quiet = SILENT_AFTER_MS + self.hold_gap + waits;
        self.told_silent || now.saturating_sub(self.last_answer) > quiet
    }

    /// Whether it is to be marked as silent: two holds on end got no answer, or it has not answered a new owner soon. A single
    /// call that gets lost says nothing, and while a mark stands nothing prolongs the lease.
    pub(crate) fn is_suspect(&self, now: Millis) -> bool {
        let late = now.saturating_sub(self.last_answer) > ANSWER_SOON_MS;
        self.failed_holds >= SUSPECT_AFTER_HOLDS || !self.fenced && late
    }

    /// Whether it may be given tasks, which prolongs its lease. One that answers is there, also where a list that suffered with the store omits it.
    pub(crate) fn is_open(&self, now: Millis) -> bool {
        let leaves = self.entry.draining || self.missing;
        let prolongs = self.mark == LeaseMark::None;
        self.fenced && prolongs && !leaves && now >= self.paused_until && !self.is_silent(now)
    }

    /// Whether tasks may be at work here that only its own answers tell of. One that leaves and has ended all that it was given
    /// gets nothing new, so that nobody has to wait for its answer.
    pub(crate) fn may_hold_tasks(&self) -> bool {
        let emptied = self.fenced && self.runs.is_empty() && self.noted == self.durable;
        !(self.entry.draining && emptied)
    }

    pub(crate) fn free(&self) -> ResourceSize {
        self.entry.capacity.saturating_minus(&self.used)
    }

    /// What would be free were its room only so many percent of what is known.
    pub(crate) fn free_of(&self, percent: u64) -> ResourceSize {
        let ResourceSize {
            cpu_millis,
            memory_mib,
            accelerators,
        } = self.entry.capacity;
        let part = |whole: u64| whole * percent / 100;
        let room = ResourceSize::new(part(cpu_millis), part(memory_mib), part(accelerators));
        room.saturating_minus(&self.used)
    }

    /// Whether anything runs here of which nobody knows what it takes.
    pub(crate) fn has_unsized(&self) -> bool {
        self.unsized_runs > 0
    }

    /// The processors that tasks hold which neither stand nor fill, in thousandths of a core.
    pub(crate) fn ordinary_cpu(&self) -> u64 {
        self.ordinary_cpu
    }

    /// The processors that filling tasks would use at full pace, in thousandths of a core.
    pub(crate) fn filling_cpu(&self) -> u64 {
        self.filling_cpu
    }

    pub(crate) fn add_run(&mut self, key: RunKey, record: RunRecord) {
        self.runs.insert(key, record);
        self.recount();
    }

    pub(crate) fn remove_run(&mut self, key: &RunKey) -> Option<RunRecord> {
        let removed = self.runs.remove(key);
        self.recount();
        removed
    }

    /// What fills here, by the newest readings.
    pub(crate) fn fill_loads(&self) -> FillLoads {
        let capacity = self.entry.capacity.cpu_millis.max(1) as f64;
        let mut loads = FillLoads::default();
        for record in self.runs.values().filter(|record| record.fills) {
            let used = record.gauge.unwrap_or(0) as f64 / capacity;
            if used > 0.0 {
                loads.add(record.image, used);
            }
        }
        loads
    }

    fn recount(&mut self) {
        self.forget_board();
        let mut used = ResourceSize::default();
        let (mut ordinary, mut filling) = (0, 0);
        for record in self.runs.values() {
            used.cpu_millis += record.room.cpu_millis;
            used.memory_mib += record.room.memory_mib;
            used.accelerators += record.room.accelerators;
            if record.fills {
                filling += record.cpu_millis;
            } else if !record.standing {
                ordinary += record.cpu_millis;
            }
        }
        self.used = used;
        self.unsized_runs = self.runs.values().filter(|record| !record.sized).count();
        self.ordinary_cpu = ordinary;
        self.filling_cpu = filling;
    }
}

impl RunRecord {
    /// What it uses of the processors at full pace, in thousandths of a core, as far as it was seen.
    pub(crate) fn full_use(&self) -> f64 {
        self.cpu_millis as f64 * self.use_ratio.unwrap_or(USUAL_USE)
    }

    /// Makes the record of a run of a step's task.
    pub(crate) fn new(
        step: &StepSpec,
        image: ImageId,
        phase: RunPhase,
        start_deadline: WorkerClock,
    ) -> Self {
        let began = match phase {
            RunPhase::Running(clock) => Some(clock),
            RunPhase::Ordered | RunPhase::Unsettled | RunPhase::Stopping { .. } => None,
        };
        Self {
            phase,
            probes: 0,
            ordered_at: 0,
            began,
            room: step.room(),
            sized: true,
            cpu_millis: step.size.cpu_millis,
            start_deadline,
            fills: step.fills,
            standing: step.standing,
            target_ms: step.target_ms,
            image,
            checkpoint: None,
            percent: 0,
            gauge: None,
            pace: 100,
            use_ratio: None,
            due: DueTimes::never(),
            off_pace: 0,
            slowed_since: None,
            over_since: None,
        }
    }
}
