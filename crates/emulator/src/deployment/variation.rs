//! How the jobs of one class differ from one another and from what their callers state.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use sandshelf_jobs::StepSpec;
use sandshelf_model::{Millis, ResourceSize};

/// The share of runs that are stragglers, and how slow they are. Drawn anew for each run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StragglerRule {
    /// The share of runs, in percent.
    pub percent: u64,
    /// The factor by which they take longer.
    pub factor: u64,
}

/// Differences between the jobs of a class. The default has none and draws no random numbers, so that deployments without
/// differences keep their draws.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct JobVariation {
    /// The share of jobs whose steps allow copies, in percent.
    pub copies_percent: u32,
    /// The stragglers among the runs.
    pub stragglers: StragglerRule,
    /// The share of a step's tasks that may be unavailable at once, in percent, rounded up; `None` for no limit.
    pub may_miss_percent: Option<u32>,
    /// An estimate is the mean run time times a factor between `1 / (1 + estimate_spread)` and `1 + estimate_spread`, drawn
    /// for each step with a logarithmically uniform distribution. With 0 it is four fifths of the mean run time.
    pub estimate_spread: f64,
    /// A task's size is that of its class times a factor between `1 - size_spread` and `1 + size_spread`, drawn for each step with
    /// a uniform distribution.
    pub size_spread: f64,
}

impl JobVariation {
    /// Draws whether the steps of a job allow copies.
    pub(crate) fn draw_copies_allowed(&self, random: &mut ChaCha8Rng) -> bool {
        self.copies_percent > 0 && random.random_range(0..100) < self.copies_percent
    }

    /// A step of a class with a mean run time of `work_ms` milliseconds, with its drawn differences.
    pub(crate) fn vary(
        &self,
        mut step: StepSpec,
        work_ms: Millis,
        random: &mut ChaCha8Rng,
    ) -> StepSpec {
        if self.estimate_spread > 0.0 {
            let exponent = random.random_range(-1.0..1.0);
            let factor = (1.0 + self.estimate_spread).powf(exponent);
            step.estimate_ms = (work_ms as f64 * factor) as Millis;
        }
        if self.size_spread > 0.0 {
            let factor = 1.0 + self.size_spread * random.random_range(-1.0..1.0);
            step.size = scaled(step.size, factor);
        }
        let most = |percent: u32| (step.count * percent).div_ceil(100);
        step.may_miss = self.may_miss_percent.map(most);
        step
    }
}

fn scaled(size: ResourceSize, factor: f64) -> ResourceSize {
    let part = |whole: u64| (whole as f64 * factor) as u64;
    ResourceSize {
        cpu_millis: part(size.cpu_millis),
        memory_mib: part(size.memory_mib),
        ..size
    }
}
