//! Draws the jobs that callers submit from a deployment's classes.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use sandshelf_jobs::{
    JobSpec, QueueAddress, QueueDirectory, QueueEntry, QueueRules, QueueTable, StepSpec,
};
use sandshelf_model::Millis;

use crate::catalog::EmulatedJob;
use crate::deployment::JobClass;

/// The highest number of tasks of a step, as a multiple of the mean.
const MAX_WIDTH_RATIO: f64 = 4.0;

/// Rules for `routes` queues that get no jobs; each emulated job carries its own rules.
pub fn queue_directory(routes: usize) -> QueueDirectory {
    let rules = QueueRules {
        service: "desk".to_owned(),
        priority: 1,
        max_attempts: 2,
        stretch: 2.0,
        target_latency_ms: 1_000,
        guarded: true,
    };
    let names = (0..routes).map(|number| format!("r-{number:07}"));
    let queues = names.map(|name| QueueEntry {
        address: QueueAddress::new("queues.example", &format!("/{name}/")),
        name,
        rules: rules.clone(),
    });
    QueueTable::new(0, 0, queues.collect()).directory()
}

/// Draws a number of tasks with a given mean, at least 1 and with the right-skewed distribution of real step widths.
fn draw_count(mean: f64, random: &mut ChaCha8Rng) -> u32 {
    // The sum of two exponential draws has the spread of the widths on the large deployments.
    let mut exponential = || -(1.0 - random.random::<f64>()).ln() * mean / 2.0;
    let drawn = exponential() + exponential();
    drawn.clamp(1.0, mean * MAX_WIDTH_RATIO).round() as u32
}

impl JobClass {
    /// Draws a job of this class, submitted at a time in milliseconds since 1970.
    pub fn draw(&self, wall_ms: Millis, random: &mut ChaCha8Rng) -> EmulatedJob {
        let steps =
            self.steps.floor() as usize + usize::from(random.random_bool(self.steps.fract()));
        let image = random.random_range(0..self.images.max(1));
        let copies_allowed = self.variation.draw_copies_allowed(random);
        let step = |index| {
            let step = self.step(index, draw_count(self.width, random), image);
            let step = self.variation.vary(step, self.work_ms, random);
            StepSpec {
                copies_allowed,
                ..step
            }
        };
        let steps = (0..steps.max(1)).map(step).collect();
        let spec: JobSpec = self.job(steps, wall_ms);
        EmulatedJob {
            spec: spec.into(),
            work_ms: self.work_ms,
            failing: self.failing,
            stragglers: self.variation.stragglers,
        }
    }
}
