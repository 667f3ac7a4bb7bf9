//! The progress of one run, as far as its worker has reported it.

use sandshelf_model::Millis;

use crate::reports::WorkerClock;

/// The recent rate of a run is taken over at least this long: progress is reported in whole percent, which is too coarse for less.
const RECENT_WINDOW_MS: Millis = 300;

/// A reading of a run's progress.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ProgressReading {
    clock: WorkerClock,
    percent: u32,
}

impl ProgressReading {
    /// The time and the percent done since an earlier reading.
    fn since(&self, earlier: &Self) -> ProgressSpan {
        ProgressSpan {
            took_ms: self.clock.saturating_sub(earlier.clock),
            gained: self.percent.saturating_sub(earlier.percent),
        }
    }
}

/// Progress over a stretch of time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProgressSpan {
    /// The length of the stretch, in milliseconds of the worker's clock.
    pub took_ms: Millis,
    /// The progress in percent of the whole work.
    pub gained: u32,
}

/// What is known of a run's progress, the input of the decisions on slow and stuck runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunProgress {
    /// The progress in percent at the newest reading.
    pub percent: u32,
    /// The progress from the start of the run, or from the first reading of a resumed or inherited run, to the newest reading.
    pub whole: ProgressSpan,
    /// The progress in the last third of a second or somewhat longer; none if there is no earlier reading.
    pub recent: Option<ProgressSpan>,
    /// The progress from the start to the reading that last showed progress: what the run did before it stalled, if it does.
    pub moving: ProgressSpan,
    /// For how long no progress has been seen, in milliseconds.
    pub stalled_ms: Millis,
    /// The age of the newest reading, in milliseconds.
    pub age_ms: Millis,
    /// Whether the worker is silent, so that no newer reading can be expected.
    pub silent: bool,
    /// Whether the run was ordered to work at less than full pace: its rate says nothing then.
    pub paced: bool,
}

/// The readings of one run that its progress is computed from.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProgressTrack {
    first: Option<ProgressReading>,
    newest: ProgressReading,
    /// The readings since the last one that is [`RECENT_WINDOW_MS`] older than the newest, oldest first.
    recent: Vec<ProgressReading>,
    /// The first reading with the newest percent.
    moved: ProgressReading,
    /// When the newest reading arrived, on the scheduler's clock.
    read_at: Millis,
    checkpoint: Option<String>,
    /// The progress at the reading that brought the newest checkpoint, in percent.
    pub(super) checkpoint_percent: u32,
}

impl ProgressTrack {
    /// Records a reading. `began` is the worker's clock at the start of the run; none if the run did not start at 0 %, or if its start
    /// is not known.
    pub(crate) fn note(
        &mut self,
        now: Millis,
        clock: WorkerClock,
        percent: u32,
        began: Option<WorkerClock>,
    ) {
        let reading = ProgressReading { clock, percent };
        if self.first.is_none() {
            let began = began.filter(|began| *began < clock);
            let start = began.map(|clock| ProgressReading { clock, percent: 0 });
            let first = start.unwrap_or(reading);
            self.first = Some(first);
            self.moved = first;
            self.recent.push(first);
        }
        if clock < self.newest.clock {
            return;
        }
        if percent > self.moved.percent {
            self.moved = reading;
        }
        self.newest = reading;
        self.read_at = now;
        let old = |reading: &ProgressReading| reading.clock + RECENT_WINDOW_MS <= clock;
        while self.recent.get(1).is_some_and(old) {
            self.recent.remove(0);
        }
        self.recent.push(reading);
    }

    /// Records the newest checkpoint of the run.
    pub(super) fn note_checkpoint(&mut self, checkpoint: Option<&String>, percent: u32) {
        if checkpoint != self.checkpoint.as_ref() {
            self.checkpoint = checkpoint.cloned();
            self.checkpoint_percent = percent;
        }
    }

    /// The progress at the newest reading, in percent; none before the first reading.
    pub(super) fn newest_percent(&self) -> Option<u32> {
        self.first.map(|_| self.newest.percent)
    }

    /// The progress of the run; none before the first reading.
    pub(crate) fn progress(&self, now: Millis, silent: bool) -> Option<RunProgress> {
        let first = self.first?;
        let age_ms = now.saturating_sub(self.read_at);
        let unseen_ms = if silent { age_ms } else { 0 };
        let oldest = self.recent.first();
        let recent = oldest.map(|oldest| self.newest.since(oldest));
        let recent = recent.filter(|span| span.took_ms >= RECENT_WINDOW_MS);
        Some(RunProgress {
            percent: self.newest.percent,
            whole: self.newest.since(&first),
            recent,
            moving: self.moved.since(&first),
            stalled_ms: self.newest.since(&self.moved).took_ms + unseen_ms,
            age_ms,
            silent,
            paced: false,
        })
    }
}
