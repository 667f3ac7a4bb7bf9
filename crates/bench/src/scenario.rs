//! Operators, scenarios and policies of the simulated runs.

use sandshelf_model::Millis;
use sandshelf_place::{PlaceStrategy, PlaceWeights, PressureStrategy};
use sandshelf_route::RouteStrategy;

/// A simulated operator: fleet size and policy weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorKind {
    /// Four halls, 65 workers with 16 cores each. Tail latency has the highest weight.
    Auction,
    /// Three halls, 50 workers with 64 cores each. Throughput of batch work has the highest weight.
    CodeSearch,
}

impl OperatorKind {
    /// Both operators, in the order of the tables.
    pub const ALL: [OperatorKind; 2] = [OperatorKind::Auction, OperatorKind::CodeSearch];

    /// The name printed in tables.
    pub fn label(self) -> &'static str {
        match self {
            OperatorKind::Auction => "auction",
            OperatorKind::CodeSearch => "code-search",
        }
    }

    /// Number of halls and number of workers.
    pub fn halls_and_workers(self) -> (usize, usize) {
        match self {
            OperatorKind::Auction => (4, 65),
            OperatorKind::CodeSearch => (3, 50),
        }
    }

    /// CPU capacity of one worker, in thousandths of a core.
    pub fn cpu_millis(self) -> u64 {
        match self {
            OperatorKind::Auction => 16_000,
            OperatorKind::CodeSearch => 64_000,
        }
    }

    /// CPU that one batch task declares, in thousandths of a core.
    pub fn task_cpu_millis(self) -> u64 {
        match self {
            OperatorKind::Auction => 2_000,
            OperatorKind::CodeSearch => 8_000,
        }
    }

    /// The operator's weights of tail latency, throughput and evictions.
    pub fn weights(self) -> PlaceWeights {
        match self {
            OperatorKind::Auction => PlaceWeights {
                tail: 5.0,
                throughput: 2.0,
                evictions: 3.0,
            },
            OperatorKind::CodeSearch => PlaceWeights {
                tail: 2.0,
                throughput: 5.0,
                evictions: 3.0,
            },
        }
    }
}

/// The load and the faults of a run. One-time faults occur halfway through the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScenarioKind {
    /// Steady load at 40 % of the slots, no faults.
    Calm,
    /// Load rises to its peak.
    Peak,
    /// An urgent job with many tasks of the family `noisy` is declared.
    NoisyWave,
    /// All workers of one rack fail.
    RackLost,
    /// All workers of one hall fail.
    HallLost,
    /// The store is unavailable for a third of the run.
    StoreDown,
    /// One entry host fails.
    EntryHostLost,
    /// Most waiting and running jobs are cancelled at once.
    Cancellations,
    /// Tasks use four times the CPU that they declare.
    DeclaredTooSmall,
    /// Tasks use a quarter of the CPU that they declare.
    DeclaredTooLarge,
    /// Some workers fail every task.
    BadWorkers,
    /// All workers of one rack fail while the load is at its peak.
    PeakAndRackLost,
}

impl ScenarioKind {
    /// All scenarios, in the order of the tables.
    pub const ALL: [ScenarioKind; 12] = [
        ScenarioKind::Calm,
        ScenarioKind::Peak,
        ScenarioKind::NoisyWave,
        ScenarioKind::RackLost,
        ScenarioKind::HallLost,
        ScenarioKind::StoreDown,
        ScenarioKind::EntryHostLost,
        ScenarioKind::Cancellations,
        ScenarioKind::DeclaredTooSmall,
        ScenarioKind::DeclaredTooLarge,
        ScenarioKind::BadWorkers,
        ScenarioKind::PeakAndRackLost,
    ];

    /// The name printed in tables.
    pub fn label(self) -> &'static str {
        match self {
            ScenarioKind::Calm => "calm",
            ScenarioKind::Peak => "peak",
            ScenarioKind::NoisyWave => "noisy-wave",
            ScenarioKind::RackLost => "rack-lost",
            ScenarioKind::HallLost => "hall-lost",
            ScenarioKind::StoreDown => "store-down",
            ScenarioKind::EntryHostLost => "entry-host-lost",
            ScenarioKind::Cancellations => "cancellations",
            ScenarioKind::DeclaredTooSmall => "declared-too-small",
            ScenarioKind::DeclaredTooLarge => "declared-too-large",
            ScenarioKind::BadWorkers => "bad-workers",
            ScenarioKind::PeakAndRackLost => "peak+rack-lost",
        }
    }

    /// The fraction of all slots that requests would use without interference, at `elapsed`, the elapsed fraction of the run (0 to 1).
    pub fn load(self, elapsed: f64) -> f64 {
        match self {
            ScenarioKind::Peak | ScenarioKind::PeakAndRackLost => {
                let rise = ((elapsed - 0.2) / 0.2).clamp(0.0, 1.0);
                0.25 + 0.30 * rise
            }
            _ => 0.40,
        }
    }

    /// CPU that tasks actually use, in percent of the CPU that they declare.
    pub fn usage_percent(self) -> u64 {
        match self {
            ScenarioKind::DeclaredTooSmall => 400,
            ScenarioKind::DeclaredTooLarge => 25,
            _ => 100,
        }
    }
}

/// How requests are routed and tasks are placed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PolicyChoice {
    /// The name printed in tables.
    pub name: &'static str,
    /// How requests are routed.
    pub route: RouteStrategy,
    /// How tasks are placed.
    pub place: PlaceStrategy,
    /// How batch tasks are throttled or evicted when they slow down a service, if at all.
    pub pressure: PressureStrategy,
    /// Whether the true slowdowns are known to the policy from the start.
    pub oracle: bool,
}

/// The compared policies: two baselines, ours without throttling and evictions, ours, and ours with the true slowdowns known.
pub const POLICIES: [PolicyChoice; 5] = [
    PolicyChoice {
        name: "random+first-fit",
        route: RouteStrategy::Random,
        place: PlaceStrategy::FirstFit,
        pressure: PressureStrategy::Never,
        oracle: false,
    },
    PolicyChoice {
        name: "turn+best-fit",
        route: RouteStrategy::RoundRobin,
        place: PlaceStrategy::BestFit,
        pressure: PressureStrategy::EvictNewest,
        oracle: false,
    },
    PolicyChoice {
        name: "estimate-only",
        route: RouteStrategy::Weighed,
        place: PlaceStrategy::Weighed,
        pressure: PressureStrategy::Never,
        oracle: false,
    },
    PolicyChoice {
        name: "ours",
        route: RouteStrategy::Weighed,
        place: PlaceStrategy::Weighed,
        pressure: PressureStrategy::Weighed,
        oracle: false,
    },
    PolicyChoice {
        name: "oracle",
        route: RouteStrategy::Weighed,
        place: PlaceStrategy::Weighed,
        pressure: PressureStrategy::Weighed,
        oracle: true,
    },
];

/// The parameters of one simulated run.
#[derive(Clone, Copy, Debug)]
pub struct RunPlan {
    /// The simulated operator.
    pub operator: OperatorKind,
    /// The load and the faults.
    pub scenario: ScenarioKind,
    /// The policy under test.
    pub policy: PolicyChoice,
    /// Seed of every random source in the run.
    pub seed: u64,
    /// Length of the run in virtual time, in milliseconds.
    pub length_ms: Millis,
}
