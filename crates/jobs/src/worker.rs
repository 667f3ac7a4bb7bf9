//! What is known of one worker: its clock, its lease, and the runs that may be at work there.

use std::cell::OnceCell;
use std::collections::BTreeMap;

use sandshelf_model::{Millis, ResourceSize};

use crate::crash::CrashSuspect;
use crate::fill::FillBoard;
use crate::ids::RunKey;
use crate::life::{ClockSight, LifeState};
use crate::limits::{
    ACK_START_WAIT_MS, FIRST_ANSWER_TIMEOUT_MS, MAX_HEARD_AGE_FOR_ACK_MS,
    SUSPECT_AFTER_FAILED_RENEWALS, WORKER_SILENCE_TIMEOUT_MS,
};
use crate::press::{FillLoads, PressEstimate};
use crate::reports::WorkerListing;
use crate::run::{RunPhase, RunRecord};
use crate::swing::LoadBook;

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
    /// Whether operators have evacuated its hall.
    pub(crate) evacuated: bool,
    /// Its present life.
    pub(crate) life: LifeState,
    pub(crate) hold_sent: Option<Millis>,
    /// How long the worker may wait before it answers the hold that is under way.
    pub(crate) hold_wait: Millis,
    /// Which ends that hold acknowledges.
    pub(crate) hold_seen: u64,
    /// Whether it prolongs the lease.
    pub(crate) hold_prolongs: bool,
    pub(crate) hold_due: Millis,
    /// How long the next hold is put off after an answer.
    pub(crate) hold_gap: Millis,
    pub(crate) last_answer: Millis,
    pub(crate) told_silent: bool,
    /// Whether the newest hold got no answer, or a life that is not known has answered an order: before a hold is answered nothing prolongs
    /// the lease, so that it runs out.
    pub(crate) unsure: bool,
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
            evacuated: false,
            life: LifeState::default(),
            hold_sent: None,
            hold_wait: 0,
            hold_seen: 0,
            hold_prolongs: false,
            hold_due: now,
            hold_gap: 0,
            last_answer: now,
            told_silent: false,
            unsure: false,
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

    /// Notes an answer of its present life.
    pub(crate) fn note_answer(&mut self, now: Millis, sight: ClockSight) {
        self.last_answer = now;
        self.told_silent = false;
        self.unsure = false;
        self.failed_holds = 0;
        self.life.note_clock(now, sight);
    }

    /// Takes in the clock that an order was answered with; returns whether the known life has answered. Where it was another one, a
    /// hold has to tell which.
    pub(crate) fn take_sight(&mut self, now: Millis, sight: ClockSight) -> bool {
        let known = self.life.answered(now, sight);
        match known {
            true => self.note_answer(now, sight),
            false => self.unsure = true,
        }
        known
    }

    /// How long after a run began the worker was last heard, by its own clock; none where nothing told that it began.
    pub(crate) fn heard_after(&self, record: &RunRecord) -> Option<Millis> {
        let heard = self.life.read_clock()?;
        Some(heard.saturating_sub(record.began?))
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

    /// Whether its lease may be prolonged.
    pub(crate) fn may_prolong(&self) -> bool {
        self.mark == LeaseMark::None && !self.unsure
    }

    /// Whether ends may be acknowledged: whoever takes the acknowledgement is the life that listed them.
    ///
    /// A worker that has started again numbers its ends anew, and would forget those that bear known numbers unread. So the known life
    /// was heard a moment ago; and while a start may have been carried out by one that has come since, nothing is acknowledged.
    pub(crate) fn may_acknowledge(&self, now: Millis) -> bool {
        let sure = |record: &RunRecord| {
            record.listed || record.answered_at.is_some() || record.ordered_at == now
        };
        let fresh = now <= self.last_answer + MAX_HEARD_AGE_FOR_ACK_MS;
        fresh && !self.unsure && self.runs.values().all(sure)
    }

    /// Whether ends wait to be acknowledged.
    pub(crate) fn owes_acknowledgement(&self) -> bool {
        self.life.durable > self.life.acknowledged
    }

    /// Whether ends wait to be acknowledged that may not be yet.
    pub(crate) fn withholds_ends(&self, now: Millis) -> bool {
        self.owes_acknowledgement() && !self.may_acknowledge(now)
    }

    /// Whether a start was ordered a moment ago whose answer is due.
    pub(crate) fn awaits_start(&self, now: Millis) -> bool {
        let awaited = |record: &RunRecord| {
            record.phase == RunPhase::Ordered && now < record.ordered_at + ACK_START_WAIT_MS
        };
        self.runs.values().any(awaited)
    }

    /// Whether it has not answered for a while.
    pub(crate) fn is_silent(&self, now: Millis) -> bool {
        let waits = if self.hold_sent.is_some() {
            self.hold_wait
        } else {
            0
        };
        let quiet = WORKER_SILENCE_TIMEOUT_MS + self.hold_gap + waits;
        self.told_silent || now.saturating_sub(self.last_answer) > quiet
    }

    /// Whether it is to be marked as silent: two holds on end got no answer, or it has not answered a new owner soon. A single
    /// call that gets lost says nothing, and while a mark stands nothing prolongs the lease.
    pub(crate) fn is_suspect(&self, now: Millis) -> bool {
        let late = now.saturating_sub(self.last_answer) > FIRST_ANSWER_TIMEOUT_MS;
        self.failed_holds >= SUSPECT_AFTER_FAILED_RENEWALS || !self.life.fenced && late
    }

    /// Whether its entry is of another life than the present one, which may be of another kind, have another room or be about to leave.
    pub(crate) fn is_unshown(&self) -> bool {
        self.life.is_other(self.entry.incarnation)
    }

    /// Whether it may be given tasks, which prolongs its lease. One that answers is there, also where a list that suffered with the store omits it.
    pub(crate) fn is_open(&self, now: Millis) -> bool {
        let leaves = self.entry.draining || self.missing || self.is_unshown();
        let leaves = leaves || self.evacuated;
        let prolongs = self.mark == LeaseMark::None;
        self.life.fenced && prolongs && !leaves && now >= self.paused_until && !self.is_silent(now)
    }

    /// Whether tasks may be at work here that only its own answers tell of. One that leaves and has ended all that it was given
    /// gets nothing new, so that nobody has to wait for its answer.
    pub(crate) fn may_hold_tasks(&self) -> bool {
        let emptied = self.life.fenced && self.runs.is_empty() && !self.life.has_unwritten();
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
