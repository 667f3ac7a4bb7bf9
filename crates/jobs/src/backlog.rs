//! Measures how far an owner is behind its work, and stretches deferrable work accordingly.
//!
//! A host with an eighth of a core can't poll 490 workers twice a second. If it tries, it answers nobody in time: worker answers
//! time out unread, are requested again, and leases expire meanwhile. The owner therefore measures how late it processes ticks
//! and answers. When it is behind, it stretches what can wait: the interval between two lease renewals of a worker, and the
//! interval between two placement passes over the waiting tasks. It also allows fewer unanswered start orders, so that the
//! orders it sends still arrive in time.

use sandshelf_model::Millis;

use crate::limits::{MAX_UNANSWERED_STARTS, MIN_PASS_INTERVAL_MS, RENEWAL_WAIT_MS, TICK_MS};

/// The window over which lateness is measured.
const WINDOW_MS: Millis = 250;
/// An answer is late if it is processed this much later than requested; an owner that keeps up takes 5 to 10 ms.
const LATE_ANSWER_MS: Millis = 80;
/// If ticks are on average this late, the owner is behind.
const LATE_TICK_MS: Millis = 50;
/// If ticks are on average at most this late, the owner may be ahead.
const PROMPT_TICK_MS: Millis = 12;
/// If at least this share of the answers is late, the owner is behind.
const BEHIND_PERCENT: usize = 50;
/// Windows with fewer answers are not judged by their answers: these may all be from one worker.
const MIN_ANSWERS: usize = 8;
/// If at most this share of the answers is late, the owner may be ahead; some late answers come from slow workers.
const AHEAD_PERCENT: usize = 20;
/// The factors, in percent, by which a window that is behind raises the stretch and a window that is ahead lowers it. The stretch
/// falls more slowly than it rises, because each overload loses answers.
const STRETCH_UP_PERCENT: u64 = 140;
const STRETCH_DOWN_PERCENT: u64 = 95;
/// The stretch of an owner that keeps up.
const NO_STRETCH_PERCENT: u64 = 100;
/// The upper bound of the stretch: lease renewals of a worker are then 2.4 s apart, and leases last 4 s.
const MAX_STRETCH_PERCENT: u64 = 800;
/// The longest wait that a lease renewal may ask of a worker; the platform accepts no longer one.
const MAX_RENEWAL_WAIT_MS: Millis = 2_000;
/// The longest pause between an answer and the next lease renewal of that worker. Together with the wait and a late answer it
/// has to fit into the lease.
const MAX_RENEWAL_GAP_MS: Millis = 1_000;
/// The longest pause between two placement passes.
const MAX_PASS_PAUSE_MS: Millis = 100;
/// For each such number of waiting tasks the pause between passes is one millisecond longer. A pass costs 0.16 ms plus 0.31 us
/// for each waiting task. With 3,000 waiting tasks and a pass every 10 ms, passes used half a core, and starts fell from 1,300 to
/// 650 a second.
const WAITING_TASKS_PER_PAUSE_MS: Millis = 50;
/// The lower bound of [`BacklogMonitor::max_unanswered_starts`]. On an eighth of a core these orders take a tenth of a second
/// where the owner calls the workers itself, and 20 ms where other hosts relay them.
const MIN_UNANSWERED_STARTS: usize = 160;

/// The lower bound of [`BacklogMonitor::placement_candidates`].
const MIN_PLACEMENT_CANDIDATES: usize = 128;

/// Measures how far an owner is behind, and derives the intervals and limits of deferrable work.
#[derive(Clone, Debug)]
pub(crate) struct BacklogMonitor {
    /// The factor by which deferrable work is stretched, in percent.
    stretch: u64,
    judged_at: Millis,
    answers: usize,
    late_answers: usize,
    failures: usize,
    ticks: u64,
    lateness_ms: Millis,
}

impl Default for BacklogMonitor {
    fn default() -> Self {
        Self {
            stretch: NO_STRETCH_PERCENT,
            judged_at: 0,
            answers: 0,
            late_answers: 0,
            failures: 0,
            ticks: 0,
            lateness_ms: 0,
        }
    }
}

impl BacklogMonitor {
    /// Records an answer of a worker, processed this much later than the wait that was requested.
    pub(crate) fn record_answer(&mut self, lateness_ms: Millis) {
        self.answers += 1;
        self.late_answers += usize::from(lateness_ms > LATE_ANSWER_MS);
    }

    /// Records that a worker which was not known to be silent did not answer.
    pub(crate) fn record_failure(&mut self) {
        self.failures += 1;
    }

    /// Records the time since the previous tick; at the end of a window, adjusts the stretch.
    pub(crate) fn record_tick(&mut self, now: Millis, since_last: Millis) {
        self.ticks += 1;
        self.lateness_ms += since_last.saturating_sub(TICK_MS);
        if now < self.judged_at + WINDOW_MS {
            return;
        }
        let stretch = match (self.is_behind(), self.is_ahead()) {
            (true, _) => (self.stretch * STRETCH_UP_PERCENT / 100).min(MAX_STRETCH_PERCENT),
            (false, true) => (self.stretch * STRETCH_DOWN_PERCENT / 100).max(NO_STRETCH_PERCENT),
            (false, false) => self.stretch,
        };
        *self = Self {
            stretch,
            judged_at: now,
            ..Self::default()
        };
    }

    fn mean_tick_lateness_ms(&self) -> Millis {
        self.lateness_ms / self.ticks.max(1)
    }

    fn is_behind(&self) -> bool {
        let late = self.late_answers + self.failures;
        let asked = self.answers + self.failures;
        let answers_mostly_late = asked >= MIN_ANSWERS && late * 100 >= asked * BEHIND_PERCENT;
        answers_mostly_late || self.mean_tick_lateness_ms() >= LATE_TICK_MS
    }

    fn is_ahead(&self) -> bool {
        let late = self.late_answers * 100;
        late <= self.answers * AHEAD_PERCENT && self.mean_tick_lateness_ms() <= PROMPT_TICK_MS
    }

    /// The factor by which deferrable work is stretched, in percent; 100 for an owner that keeps up.
    pub(crate) fn stretch(&self) -> u64 {
        self.stretch
    }

    pub(crate) fn keeps_up(&self) -> bool {
        self.stretch == NO_STRETCH_PERCENT
    }

    fn stretched(&self, millis: Millis) -> Millis {
        millis * self.stretch / NO_STRETCH_PERCENT
    }

    /// How long a worker may wait for the end of a run before it answers a lease renewal; `wait_ms` is the unstretched wait.
    pub(crate) fn renewal_wait_ms(&self, wait_ms: Millis) -> Millis {
        self.stretched(wait_ms)
            .min(MAX_RENEWAL_WAIT_MS.max(wait_ms))
    }

    /// The pause before the next lease renewal of a worker that has answered. The wait alone does not space renewals out, because
    /// the end of a run answers a renewal before its wait is over.
    pub(crate) fn renewal_gap_ms(&self) -> Millis {
        (self.stretched(RENEWAL_WAIT_MS) - RENEWAL_WAIT_MS).min(MAX_RENEWAL_GAP_MS)
    }

    /// The shortest time between two placement passes while this number of tasks is waiting.
    pub(crate) fn pass_pause_ms(&self, waiting: usize) -> Millis {
        let extra_ms = self.stretch - NO_STRETCH_PERCENT;
        let pause_for_waiting = waiting as Millis / WAITING_TASKS_PER_PAUSE_MS;
        let pause = MIN_PASS_INTERVAL_MS.max(pause_for_waiting) + extra_ms;
        pause.min(MAX_PASS_PAUSE_MS)
    }

    /// The number of workers considered when placing a filling task, out of `workers`. An owner that is behind starts more tasks
    /// by finding a good worker for each than by finding the best worker for a few.
    pub(crate) fn placement_candidates(&self, workers: usize) -> usize {
        let stretched = workers * NO_STRETCH_PERCENT as usize / self.stretch as usize;
        stretched.max(MIN_PLACEMENT_CANDIDATES).min(workers)
    }

    /// The stretched interval of an expensive activity that can wait; `pause` is the unstretched interval.
    pub(crate) fn stretched_pause_ms(&self, pause: Millis) -> Millis {
        self.stretched(pause)
    }

    /// The number of start orders that may be unanswered at one time.
    pub(crate) fn max_unanswered_starts(&self) -> usize {
        let stretched = MAX_UNANSWERED_STARTS * NO_STRETCH_PERCENT as usize / self.stretch as usize;
        stretched.max(MIN_UNANSWERED_STARTS)
    }
}
