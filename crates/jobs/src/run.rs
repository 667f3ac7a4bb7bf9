//! What is known of one run that may be at work on a worker.

use sandshelf_model::{Millis, ResourceSize};

use crate::due::{DueTimes, TaskChain};
use crate::images::ImageId;
use crate::reports::WorkerClock;
use crate::spec::StepSpec;

/// What part of its declared processors a filling task uses that was not read yet.
const USUAL_USE: f64 = 0.87;

/// How far an order to start has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// It was sent and its answer is awaited.
    Ordered,
    /// It got no answer: it may have been done, or may be done later.
    Unsettled,
    /// A life of the worker that is not known has carried it out: its answer came at this time. A look that goes out later tells
    /// whether it is at work.
    Elsewhere(Millis),
    /// The worker said that it runs, at this time of its clock.
    Running(WorkerClock),
    /// A stop was sent, first at this time; answered at that time of the worker's clock, if it was.
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
    /// Whether the worker's present life has listed it.
    pub(crate) listed: bool,
    /// When the order to start it was answered, by the present life as far as the answer's clock tells.
    pub(crate) answered_at: Option<Millis>,
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
    /// What its job needs from this task on.
    pub(crate) chain: TaskChain,
    /// In how many readings on end it used much more or less than its pace says.
    pub(crate) off_pace: u32,
    /// Since when it has been slowed down.
    pub(crate) slowed_since: Option<Millis>,
    /// Since when every reading has been over its target.
    pub(crate) over_since: Option<Millis>,
}

impl RunRecord {
    /// Whether a report of the present life, to a look that went out at `asked`, would list it were it at work there.
    pub(crate) fn would_be_listed(&self, asked: Millis) -> bool {
        self.listed || self.answered_at.is_some_and(|answered| asked >= answered)
    }

    /// How much longer its job needs from here on, were it slowed down no more.
    pub(crate) fn needs_ms(&self) -> Millis {
        let left = u64::from(100 - self.percent.min(100));
        self.chain.own_ms * left / 100 + self.chain.after_ms
    }

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
            RunPhase::Ordered
            | RunPhase::Unsettled
            | RunPhase::Elsewhere(_)
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
            gauge: None,
            pace: 100,
            use_ratio: None,
            due: DueTimes::never(),
            chain: TaskChain::default(),
            off_pace: 0,
            slowed_since: None,
            over_since: None,
        }
    }
}
