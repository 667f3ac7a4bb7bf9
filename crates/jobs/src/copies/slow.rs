//! Decides which runs of a step are slow.
//!
//! A run is judged by the rate of its own progress, compared with its siblings: the other runs of the step, and its tasks that are
//! done. Its estimate plays no part.

use sandshelf_model::Millis;

use super::track::{ProgressSpan, RunProgress};

/// A run is slow if even its shortest possible duration is this multiple of its siblings' typical duration, in percent. Durations of
/// like tasks commonly differ by a fifth.
const SLOW_PERCENT: Millis = 150;
/// A run is not judged before this time from its start: a worker takes some time to begin a run.
const MIN_ELAPSED_MS: Millis = 150;
/// The progress from which a sibling's duration is projected, in percent; one percent more or less then counts for a third.
const MIN_SAMPLE_PERCENT: u32 = 3;
/// The least number of quicker siblings, where the step has as many.
const MIN_QUICKER_SIBLINGS: usize = 2;
/// The start of a copy takes about this long: the order, the worker's answer and the start of the process.
pub const COPY_START_MS: Millis = 100;
/// How much earlier than the slow run a copy must be expected to end, in milliseconds.
const MIN_GAIN_MS: Millis = 100;
/// While other tasks wait, another run must be expected to save capacity: the slow run has to need this many times its time. This is
/// Mantri's rule for a busy cluster; see docs/design/decisions-under-load.md.
pub(super) const SCARCE_FACTOR: Millis = 2;

/// The runs and ended tasks of a step.
#[derive(Clone, Debug, Default)]
pub struct StepProgress {
    /// The runs, each with its position among the step's tasks.
    pub(super) runs: Vec<(u32, RunProgress)>,
    /// The durations of done tasks, and those that the progress of the runs promises, in milliseconds and in ascending order.
    samples_ms: Vec<Millis>,
    /// The number of tasks of the step.
    tasks: usize,
}

impl StepProgress {
    /// The progress of a step of this many tasks: its runs, and the durations of tasks that are done, in milliseconds.
    pub fn new(runs: Vec<(u32, RunProgress)>, done_ms: &[Millis], tasks: usize) -> Self {
        let judged = runs.iter().filter(|(_, run)| !run.paced);
        let projected = judged.filter_map(|(_, run)| projected_ms(&run.moving));
        let mut samples_ms: Vec<Millis> = projected.chain(done_ms.iter().copied()).collect();
        samples_ms.sort_unstable();
        Self {
            runs,
            samples_ms,
            tasks,
        }
    }

    /// The typical duration of the step's tasks, in milliseconds; the lower median, since the slow runs are among the samples.
    pub(super) fn typical_ms(&self) -> Option<Millis> {
        let middle = self.samples_ms.len().saturating_sub(1) / 2;
        self.samples_ms.get(middle).copied()
    }
}

/// A run that is slower than its siblings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowRun {
    /// The position of its task in the step.
    pub index: u32,
    /// The least time that it still needs at its own rate, in milliseconds.
    pub remaining_ms: Millis,
    /// The typical duration of its siblings, in milliseconds.
    pub typical_ms: Millis,
    /// The age of the newest reading, in milliseconds.
    pub age_ms: Millis,
}

/// The shortest time in which a run can have done one percent, given that progress is reported in whole percent; in milliseconds.
fn least_ms_per_percent(span: &ProgressSpan) -> f64 {
    span.took_ms as f64 / f64::from(span.gained + 1)
}

/// The time that the whole work would take at the rate of this span, if that is known well enough; in milliseconds.
pub(super) fn projected_ms(span: &ProgressSpan) -> Option<Millis> {
    let known = span.gained >= MIN_SAMPLE_PERCENT && span.took_ms > 0;
    known.then(|| (span.took_ms as f64 * 100.0 / (f64::from(span.gained) + 0.5)) as Millis)
}

/// The least time that a run still needs at its own rate, in milliseconds.
pub(super) fn least_remaining_ms(run: &RunProgress) -> Millis {
    let mut pace_ms = least_ms_per_percent(&run.whole);
    if let Some(recent) = &run.recent {
        pace_ms = pace_ms.max(least_ms_per_percent(recent));
    }
    if run.silent {
        // Since the newest reading at most one percent is known to have been done.
        pace_ms = pace_ms.max(run.stalled_ms as f64);
    }
    let left = f64::from(99 - run.percent.min(99));
    let passed = if run.silent { 0 } else { run.age_ms };
    ((left * pace_ms) as Millis).saturating_sub(passed)
}

/// The slow runs of a step that a copy is expected to overtake, the one that ends last first.
///
/// The time to the end is LATE's, from the rate of progress; the comparison with the time of a new run is Mantri's.
///
/// `scarce` says whether other tasks wait for capacity of the same workers.
pub fn slow_runs(step: &StepProgress, scarce: bool) -> Vec<SlowRun> {
    let Some(typical_ms) = step.typical_ms() else {
        return Vec::new();
    };
    let needed = MIN_QUICKER_SIBLINGS
        .min(step.tasks.saturating_sub(1))
        .max(1);
    let copy_ms = typical_ms + COPY_START_MS;
    let least_ms = match scarce {
        true => copy_ms * SCARCE_FACTOR,
        false => copy_ms + MIN_GAIN_MS,
    };
    let judged = step.runs.iter().filter(|(_, run)| !run.paced);
    let slow = judged.filter_map(|(index, run)| {
        let remaining_ms = least_remaining_ms(run);
        let elapsed_ms = run.whole.took_ms + run.age_ms;
        let total_ms = elapsed_ms + remaining_ms;
        let quicker = step
            .samples_ms
            .partition_point(|sample| *sample * SLOW_PERCENT / 100 <= total_ms);
        let slow = elapsed_ms >= MIN_ELAPSED_MS
            && quicker >= needed
            && total_ms * 100 >= typical_ms * SLOW_PERCENT
            && remaining_ms > least_ms;
        slow.then_some(SlowRun {
            index: *index,
            remaining_ms,
            typical_ms,
            age_ms: run.age_ms,
        })
    });
    let mut slow: Vec<SlowRun> = slow.collect();
    slow.sort_by_key(|run| std::cmp::Reverse(run.remaining_ms));
    slow
}
