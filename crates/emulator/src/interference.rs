//! Models interference between tasks on one worker: filling tasks multiply the load of serving tasks.

use std::f64::consts::TAU;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sandshelf_model::Millis;

/// Share of image pairs with strong interference.
const STRONG_PAIR_SHARE: f64 = 0.45;
/// Relative load increase by a strong pair, when the filling image uses all processors of the worker.
const STRONG_INCREASE: std::ops::Range<f64> = 2.0..7.0;
/// Relative load increase by every other pair, likewise.
const WEAK_INCREASE: std::ops::Range<f64> = 0.0..0.8;
/// Mean load of a serving task without interference; 1 is saturation.
const MEAN_LOAD: f64 = 0.45;
/// Amplitude of the periodic load change, relative to the mean.
const LOAD_AMPLITUDE: f64 = 0.5;
/// Upper limit of a load, which keeps the tail latency finite.
const MAX_LOAD: f64 = 0.99;
/// Tail latency of an idle serving task, relative to its target.
const IDLE_TAIL_SHARE: f64 = 0.2;

/// Interference of image pairs, and loads of serving tasks over time.
#[derive(Clone, Debug)]
pub struct InterferenceModel {
    /// Relative load increase by serving image, then by filling image.
    pairs: Vec<Vec<f64>>,
    swing_ms: Millis,
}

impl InterferenceModel {
    /// Draws the interference between `serving` serving and `filling` filling images; loads change with a period of `swing_ms`.
    pub fn draw(seed: u64, serving: usize, filling: usize, swing_ms: Millis) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x9e37);
        let mut increase = || match random.random_bool(STRONG_PAIR_SHARE) {
            true => random.random_range(STRONG_INCREASE),
            false => random.random_range(WEAK_INCREASE),
        };
        let row = |_| (0..filling).map(|_| increase()).collect();
        Self {
            pairs: (0..serving).map(row).collect(),
            swing_ms,
        }
    }

    /// Load of a serving task without filling tasks on the same worker. All tasks of a job have the same phase.
    fn load_alone(&self, job: u64, now: Millis) -> f64 {
        let phase = (job % 97) as f64 / 97.0;
        let turn = now as f64 / self.swing_ms as f64 + phase;
        MEAN_LOAD * (1.0 + LOAD_AMPLITUDE * (turn * TAU).sin())
    }

    /// Tail latency of a serving task in milliseconds. `filling` lists the filling images on the worker, each with the share of
    /// the worker's processors that it uses.
    pub fn tail_ms(&self, task: &ServingTask, now: Millis, filling: &[(usize, f64)]) -> f64 {
        let increase = filling
            .iter()
            .map(|(image, used)| self.pairs[task.image][*image] * used);
        let load = self.load_alone(task.job, now) * (1.0 + increase.sum::<f64>());
        task.target_ms as f64 * IDLE_TAIL_SHARE / (1.0 - load.min(MAX_LOAD))
    }
}

/// Parameters of a serving task's tail latency.
#[derive(Clone, Copy, Debug)]
pub struct ServingTask {
    /// Its job's number.
    pub job: u64,
    /// The number of its image.
    pub image: usize,
    /// Target for its tail latency, in milliseconds.
    pub target_ms: Millis,
}
