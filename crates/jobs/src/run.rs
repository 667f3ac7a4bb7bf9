//! The state of one run that may be running on a worker.

use sandshelf_model::{Millis, ResourceSize};

use crate::copies::ProgressTrack;
use crate::due::{DueTimes, TaskChain};
use crate::images::ImageId;
use crate::over_target::OverTargetStretch;
use crate::reports::WorkerClock;
use crate::spec::StepSpec;

/// The part of its declared processors that a filling task is assumed to use before its first
/// reading.
const DEFAULT_USE_RATIO: f64 = 0.87;

/// How far the order to start a run has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// The start order was sent and its answer is awaited.
    Ordered,
    /// The start order got no answer: it may have been carried out, or may yet be.
    Unsettled,
    /// An unknown incarnation of the worker has carried out the order; its answer arrived at this
    /// time. A renewal that is sent later tells whether the run is running.
    OtherIncarnation(Millis),
    /// The worker reported the run as running at this time of its clock.
    Running(WorkerClock),
    /// A stop order was first sent at `sent`; `answered` is the worker's clock in its answer.
    Stopping {
        sent: Millis,
        answered: Option<WorkerClock>,
    },
}

impl RunPhase {
    /// Whether a stop order was sent.
    pub(crate) fn is_stopping(&self) -> bool {
        matches!(self, RunPhase::Stopping { .. })
    }
}

/// A run that may be running on a worker.
#[derive(Clone, Debug)]
pub(crate) struct RunRecord {
    pub(crate) phase: RunPhase,
    /// The part of the worker's capacity that it takes.
    pub(crate) room: ResourceSize,
    /// Whether `room` is known.
    pub(crate) sized: bool,
    /// The processors that it would use, in thousandths of a core.
    pub(crate) cpu_millis: u64,
    /// How many probes were sent after its start.
    pub(crate) probes: u32,
    /// Whether the worker's current incarnation has listed it.
    pub(crate) listed: bool,
    /// When the order to start it was answered by the current incarnation, as far as the clock in
    /// the answer tells.
    pub(crate) answered_at: Option<Millis>,
    /// When it was ordered to start; 0 if an earlier owner ordered it.
    pub(crate) ordered_at: Millis,
    /// The worker's clock when it first reported the run as running. Kept while the run is being
    /// stopped.
    pub(crate) began: Option<WorkerClock>,
    /// The worker may carry out the start order until this time of its clock.
    pub(crate) start_deadline: WorkerClock,
    pub(crate) fills: bool,
    pub(crate) standing: bool,
    pub(crate) target_ms: Millis,
    pub(crate) image: ImageId,
    pub(crate) checkpoint: Option<String>,
    pub(crate) percent: u32,
    /// The progress at which the newest checkpoint was first reported, in percent.
    pub(crate) checkpoint_percent: u32,
    pub(crate) gauge: Option<u64>,
    /// The pace at which it was ordered to work, in percent.
    pub(crate) pace: u32,
    /// The part of its declared processors that it was observed to use at full pace.
    pub(crate) use_ratio: Option<f64>,
    /// When its job is due.
    pub(crate) due: DueTimes,
    /// The time that its job needs from this task on.
    pub(crate) chain: TaskChain,
    /// In how many consecutive readings it used much more or much less than its pace allows for.
    pub(crate) off_pace: u32,
    /// Since when it has been slowed down.
    pub(crate) slowed_since: Option<Millis>,
    /// The newest readings over its latency target.
    pub(crate) over_stretch: Option<OverTargetStretch>,
    /// When the newest pace was sent.
    pub(crate) pace_sent_at: Option<Millis>,
    /// When the worker last answered a pace order since the newest pace was sent; the answer may be one
    /// to an earlier order.
    pub(crate) pace_taken_at: Option<Millis>,
    /// Its readings of progress on the current incarnation of its worker.
    pub(crate) progress: ProgressTrack,
    /// Whether it was ordered to resume from a checkpoint, so that it did not start at 0 %.
    pub(crate) resumed: bool,
    /// Whether it is the copy of a slow run.
    pub(crate) copy: bool,
    /// Whether it counts as a failure of its worker because it stalled.
    pub(crate) counted_stalled: bool,
}

impl RunRecord {
    /// Whether a report of the current incarnation to a renewal sent at `sent_at` would list the run
    /// if it were running there.
    pub(crate) fn would_be_listed(&self, sent_at: Millis) -> bool {
        self.listed || self.answered_at.is_some_and(|answered| sent_at >= answered)
    }

    /// Records the newest checkpoint and the progress in a report. A run that resumed keeps the progress of its first report.
    pub(crate) fn note_checkpoint(&mut self, checkpoint: Option<String>, percent: u32) {
        let newer = checkpoint.is_some() && checkpoint != self.checkpoint;
        if newer || self.checkpoint.is_some() && !self.listed {
            self.checkpoint_percent = percent;
        }
        if newer {
            self.checkpoint = checkpoint;
        }
    }

    /// How long its job still needs from here on if the run is not slowed down any more, in
    /// milliseconds.
    pub(crate) fn remaining_ms(&self) -> Millis {
        let left = u64::from(100 - self.percent.min(100));
        self.chain.own_ms * left / 100 + self.chain.after_ms
    }

    /// The processors that it uses at full pace, in thousandths of a core: observed where possible,
    /// else assumed.
    pub(crate) fn full_use(&self) -> f64 {
        self.cpu_millis as f64 * self.use_ratio.unwrap_or(DEFAULT_USE_RATIO)
    }

    /// Creates the record of a run of one of the step's tasks.
    pub(crate) fn new(
        step: &StepSpec,
        image: ImageId,
        phase: RunPhase,
        start_deadline: WorkerClock,
    ) -> Self {
        let began = match phase {
            RunPhase::Running(clock) => Some(clock),
            RunPhase::Ordered
            | RunPhase::Unsettled
            | RunPhase::OtherIncarnation(_)
            | RunPhase::Stopping { .. } => None,
        };
        Self {
            phase,
            probes: 0,
            listed: began.is_some(),
            answered_at: None,
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
            checkpoint_percent: 0,
            gauge: None,
            pace: 100,
            use_ratio: None,
            due: DueTimes::never(),
            chain: TaskChain::default(),
            off_pace: 0,
            slowed_since: None,
            over_stretch: None,
            pace_sent_at: None,
            pace_taken_at: None,
            progress: ProgressTrack::default(),
            resumed: false,
            copy: false,
            counted_stalled: false,
        }
    }
}
