//! How far an owner is behind its work, and what it then does more seldom.
//!
//! A host with an eighth of a core can't look at 490 workers twice a second. One that tries answers nobody in time: what workers
//! answer is given up unread, is asked for again, and leases run out meanwhile. So an owner notes how late ticks and answers
//! are taken in, and stretches what can wait: the time between two looks at a worker, and between two passes over the
//! waiting tasks. It starts fewer tasks at once, so that the orders that it gives are still taken in time.

use sandshelf_model::Millis;

use crate::limits::{MAX_UNANSWERED_STARTS, MIN_PASS_INTERVAL_MS, RENEWAL_WAIT_MS, TICK_MS};

/// Over how long lateness is judged.
const WINDOW_MS: Millis = 250;
/// An answer that comes so much later than asked is late; on an owner that keeps up it is 5 to 10 ms.
const LATE_ANSWER_MS: Millis = 80;
/// Ticks that are so late on the mean say that the owner is behind.
const LATE_TICK_MS: Millis = 50;
/// Ticks that are no later on the mean say that it has time left.
const PROMPT_TICK_MS: Millis = 12;
/// Where this part of the answers is late, in percent, the owner is behind.
const BEHIND_PERCENT: usize = 50;
/// Fewer answers in a window say nothing: they may all be of one worker.
const FEWEST_ANSWERS: usize = 8;
/// Where no more than this part is late it may have time left: some workers are slow themselves.
const AHEAD_PERCENT: usize = 20;
/// By how much a window behind stretches the work, and a window ahead takes it back, in percent: down is slower, since each
/// overload costs answers.
const STRETCH_PERCENT: u64 = 140;
const RELAX_PERCENT: u64 = 95;
/// Unstretched, in percent.
const NO_STRETCH: u64 = 100;
/// The most that work is stretched, in percent: looks at a worker are then 2.4 s apart, and leases last 4 s.
const MOST_STRETCH: u64 = 800;
/// The longest that a worker may be asked to wait before it answers; the platform takes no more.
const LONGEST_WAIT_MS: Millis = 2_000;
/// The longest pause between an answer and the next look at a worker: with the wait and a late answer it has to end within the
/// lease.
const LONGEST_GAP_MS: Millis = 1_000;
/// The longest pause between two passes.
const LONGEST_PASS_PAUSE_MS: Millis = 100;
/// For so many waiting tasks the pause is a millisecond longer: a pass costs 0.16 ms and 0.31 us for each of them, and with
/// 3,000 every 10 ms half a core was used up by passes and starts fell from 1,300 to 650 a second.
const WAITING_PER_PAUSE_MS: Millis = 50;
/// So many orders to start may always be without an answer: they cost an eighth of a core a tenth of a second where it calls the
/// workers itself, and 20 ms where other hosts carry them.
const FEWEST_STARTS: usize = 160;

/// A place for a filling task is looked for at so many workers at least.
const FEWEST_PLACES: usize = 128;

/// How far an owner is behind.
#[derive(Clone, Debug)]
pub(crate) struct WorkStrain {
    /// By how much what can wait is stretched, in percent.
    stretch: u64,
    judged_at: Millis,
    answers: usize,
    late_answers: usize,
    failed: usize,
    ticks: u64,
    late_ms: Millis,
}

impl Default for WorkStrain {
    fn default() -> Self {
        Self {
            stretch: NO_STRETCH,
            judged_at: 0,
            answers: 0,
            late_answers: 0,
            failed: 0,
            ticks: 0,
            late_ms: 0,
        }
    }
}

impl WorkStrain {
    /// Notes a worker's answer that came so long after the wait that was asked for.
    pub(crate) fn note_answer(&mut self, late_ms: Millis) {
        self.answers += 1;
        self.late_answers += usize::from(late_ms > LATE_ANSWER_MS);
    }

    /// Notes that a worker did not answer which was not known to be silent.
    pub(crate) fn note_failure(&mut self) {
        self.failed += 1;
    }

    /// Notes the time since the tick before, and judges the window where it is over.
    pub(crate) fn note_tick(&mut self, now: Millis, since_last: Millis) {
        self.ticks += 1;
        self.late_ms += since_last.saturating_sub(TICK_MS);
        if now < self.judged_at + WINDOW_MS {
            return;
        }
        let stretch = match (self.is_behind(), self.is_ahead()) {
            (true, _) => (self.stretch * STRETCH_PERCENT / 100).min(MOST_STRETCH),
            (false, true) => (self.stretch * RELAX_PERCENT / 100).max(NO_STRETCH),
            (false, false) => self.stretch,
        };
        *self = Self {
            stretch,
            judged_at: now,
            ..Self::default()
        };
    }

    fn mean_late_ms(&self) -> Millis {
        self.late_ms / self.ticks.max(1)
    }

    fn is_behind(&self) -> bool {
        let late = self.late_answers + self.failed;
        let asked = self.answers + self.failed;
        let mostly_late = asked >= FEWEST_ANSWERS && late * 100 >= asked * BEHIND_PERCENT;
        mostly_late || self.mean_late_ms() >= LATE_TICK_MS
    }

    fn is_ahead(&self) -> bool {
        let late = self.late_answers * 100;
        late <= self.answers * AHEAD_PERCENT && self.mean_late_ms() <= PROMPT_TICK_MS
    }

    /// By how much what can wait is stretched, in percent.
    pub(crate) fn stretch(&self) -> u64 {
        self.stretch
    }

    /// Whether it is not behind.
    pub(crate) fn keeps_up(&self) -> bool {
        self.stretch == NO_STRETCH
    }

    fn stretched(&self, millis: Millis) -> Millis {
        millis * self.stretch / NO_STRETCH
    }

    /// How long a worker may wait for an end, where it would be `wait_ms` with time enough.
    pub(crate) fn hold_wait_ms(&self, wait_ms: Millis) -> Millis {
        self.stretched(wait_ms).min(LONGEST_WAIT_MS.max(wait_ms))
    }

    /// The pause before the next look at a worker that has answered: an end answers a look before its wait is over.
    pub(crate) fn hold_gap_ms(&self) -> Millis {
        (self.stretched(RENEWAL_WAIT_MS) - RENEWAL_WAIT_MS).min(LONGEST_GAP_MS)
    }

    /// The least time between two passes while so many tasks are left waiting.
    pub(crate) fn pass_pause_ms(&self, waiting: usize) -> Millis {
        let over = self.stretch - NO_STRETCH;
        let by_length = waiting as Millis / WAITING_PER_PAUSE_MS;
        let pause = MIN_PASS_INTERVAL_MS.max(by_length) + over;
        pause.min(LONGEST_PASS_PAUSE_MS)
    }

    /// For how many of so many workers a place for a filling task is looked for: one that has fallen behind starts more with a
    /// good place for each than with the best for a few.
    pub(crate) fn places_looked_at(&self, workers: usize) -> usize {
        let stretched = workers * NO_STRETCH as usize / self.stretch as usize;
        stretched.max(FEWEST_PLACES).min(workers)
    }

    /// How often something is to be done that takes a while and can wait.
    pub(crate) fn pause_ms(&self, pause: Millis) -> Millis {
        self.stretched(pause)
    }

    /// How many orders to start may be without an answer.
    pub(crate) fn starts_at_once(&self) -> usize {
        let stretched = MAX_UNANSWERED_STARTS * NO_STRETCH as usize / self.stretch as usize;
        stretched.max(FEWEST_STARTS)
    }
}
