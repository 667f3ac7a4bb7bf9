//! The decisions under load that a deployment's settings switch on.

/// A decision under load that settings switch on by its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadPolicy {
    /// Refuses jobs at submission that could only end when they are of no use any more.
    Admission,
    /// Starts copies of slow tasks whose steps allow them.
    Copies,
    /// Starts tasks again elsewhere that make no progress.
    StuckRuns,
    /// Shares capacity fairly between queues and job sizes, and runs fewer filling jobs at a time in an overload.
    FairOrder,
    /// Reserves workers for large tasks that have waited for long.
    Reservations,
    /// Stops less urgent runs where a more urgent task finds no capacity.
    Preemption,
    /// Settles starts of short tasks, and repeats lease renewals of workers that run such tasks, if they get no answer as soon as
    /// usual.
    HedgedCalls,
}

impl LoadPolicy {
    /// All policies, in the order of their names in the settings.
    pub const ALL: [Self; 7] = [
        Self::Admission,
        Self::Copies,
        Self::StuckRuns,
        Self::FairOrder,
        Self::Reservations,
        Self::Preemption,
        Self::HedgedCalls,
    ];

    /// The name of the policy in the settings.
    pub fn name(self) -> &'static str {
        match self {
            Self::Admission => "admission",
            Self::Copies => "copies",
            Self::StuckRuns => "stuck_runs",
            Self::FairOrder => "fair_order",
            Self::Reservations => "reservations",
            Self::Preemption => "preemption",
            Self::HedgedCalls => "hedged_calls",
        }
    }

    /// The policy with this name in the settings.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|policy| policy.name() == name)
    }
}

/// Which decisions under load are switched on; none by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadPolicies {
    /// See [`LoadPolicy::Admission`].
    pub admission: bool,
    /// See [`LoadPolicy::Copies`].
    pub copies: bool,
    /// See [`LoadPolicy::StuckRuns`].
    pub stuck_runs: bool,
    /// See [`LoadPolicy::FairOrder`].
    pub fair_order: bool,
    /// See [`LoadPolicy::Reservations`].
    pub reservations: bool,
    /// See [`LoadPolicy::Preemption`].
    pub preemption: bool,
    /// See [`LoadPolicy::HedgedCalls`].
    pub hedged_calls: bool,
}

impl LoadPolicies {
    /// Every policy switched on.
    pub fn all() -> Self {
        LoadPolicy::ALL
            .into_iter()
            .fold(Self::default(), Self::with)
    }

    /// These policies with one more switched on.
    pub fn with(mut self, policy: LoadPolicy) -> Self {
        match policy {
            LoadPolicy::Admission => self.admission = true,
            LoadPolicy::Copies => self.copies = true,
            LoadPolicy::StuckRuns => self.stuck_runs = true,
            LoadPolicy::FairOrder => self.fair_order = true,
            LoadPolicy::Reservations => self.reservations = true,
            LoadPolicy::Preemption => self.preemption = true,
            LoadPolicy::HedgedCalls => self.hedged_calls = true,
        }
        self
    }
}
