//! Decides which runs to stop and start again elsewhere, for steps that don't allow copies.
//!
//! A restart costs the stop and the whole work from the last checkpoint. A run that is stalled may go on at any moment, so it is
//! expected to be stalled for as long again as it has been; waiting and restarting then cost at most twice the better of the two.

use sandshelf_model::Millis;

use super::slow::{projected_ms, StepProgress, COPY_START_MS};
use super::track::RunProgress;

/// A run is restarted only if it is expected to need this many percent of the time of the restart, since both are uncertain.
const MIN_ADVANTAGE_PERCENT: u64 = 125;
/// A run that was seen this short is not judged.
const MIN_ELAPSED_MS: Millis = 300;
/// A run is stalled if it has not progressed for this long.
const MIN_STALLED_MS: Millis = 400;
/// A run is stalled only if it has missed this many percent at its earlier rate.
const MIN_MISSED_PERCENT: u64 = 4;

/// What a restart costs.
#[derive(Clone, Copy, Debug)]
pub struct RestartCost {
    /// How long a stop takes at most, in milliseconds.
    pub stop_ms: Millis,
    /// How long a run takes to resume from a checkpoint, in milliseconds.
    pub restore_ms: Millis,
    /// The progress that a checkpoint keeps, in percent; 0 without a checkpoint.
    pub kept_percent: u32,
    /// How long restarted runs took compared with their siblings, in percent.
    pub rerun_percent: u64,
}

/// A run that is expected to end later than its restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StuckRun {
    /// The time that the run is expected to need still, in milliseconds.
    pub remaining_ms: Millis,
    /// The expected time from its stop to the end of the next run, in milliseconds.
    pub restart_ms: Millis,
    /// The typical duration of a run, in milliseconds.
    pub typical_ms: Millis,
    /// How long the run has been stalled, in milliseconds; 0 for one that is only slow.
    pub stalled_ms: Millis,
}

/// The typical duration of a run without disturbance: that of its siblings, otherwise the one that its own progress promised before it
/// stalled.
fn usual_ms(run: &RunProgress, step: &StepProgress) -> Option<Millis> {
    let typical = step.typical_ms();
    typical.or_else(|| projected_ms(&run.moving))
}

/// How long a run has been stalled, in milliseconds; 0 if it progresses or may progress.
pub fn stalled_ms(run: &RunProgress, step: &StepProgress) -> Millis {
    let Some(usual_ms) = usual_ms(run, step) else {
        return 0;
    };
    let missed_ms = usual_ms * MIN_MISSED_PERCENT / 100;
    let stalled = run.percent < 100 && run.stalled_ms >= MIN_STALLED_MS.max(missed_ms);
    if stalled {
        run.stalled_ms
    } else {
        0
    }
}

/// The time that a run is expected to need still, in milliseconds.
fn expected_remaining_ms(run: &RunProgress, usual_ms: Millis, stalled_ms: Millis) -> Millis {
    let left = u64::from(100 - run.percent.min(100));
    let span = &run.whole;
    let at_own_rate = match run.paced {
        true => 0,
        false => span.took_ms * left / u64::from(span.gained + 1),
    };
    let after_stall = match stalled_ms {
        0 => 0,
        stalled_ms => stalled_ms + usual_ms * left / 100,
    };
    at_own_rate.saturating_sub(run.age_ms).max(after_stall)
}

/// Whether a run is worth a restart. A run on a silent worker is not: its end has to be known first.
pub fn judge_run(run: &RunProgress, step: &StepProgress, cost: &RestartCost) -> Option<StuckRun> {
    if run.whole.took_ms < MIN_ELAPSED_MS || run.silent {
        return None;
    }
    let typical_ms = usual_ms(run, step)?;
    let stalled_ms = stalled_ms(run, step);
    let remaining_ms = expected_remaining_ms(run, typical_ms, stalled_ms);
    let start_ms = match cost.kept_percent {
        0 => COPY_START_MS,
        _ => cost.restore_ms,
    };
    let work_ms = typical_ms * u64::from(100 - cost.kept_percent.min(100)) / 100;
    let restart_ms = cost.stop_ms + start_ms + work_ms * cost.rerun_percent / 100;
    let pays = remaining_ms * 100 > restart_ms * MIN_ADVANTAGE_PERCENT;
    pays.then_some(StuckRun {
        remaining_ms,
        restart_ms,
        typical_ms,
        stalled_ms,
    })
}

/// Whether a standing task that was at work and is not any more is worth a restart: it has been away for as long as the stop and the
/// start take.
pub fn is_standing_stuck(away_ms: Millis, stop_ms: Millis) -> bool {
    away_ms >= MIN_STALLED_MS.max(stop_ms + COPY_START_MS)
}
