//! How much filling tasks disturb serving tasks, learnt by pairs of images.
//!
//! A serving task's tail is taken as that of a queue: with a tail of `t0` when idle, a load `u` makes it `t0 / (1 - u)`.
//! What fills beside it multiplies its load by `1 + P`, where P is the sum over the filling tasks of a pair's strength
//! times the share of the worker's processors that the task uses. This form was read off measured days: two tasks of
//! one image at different loads rose to different tails, but their loads by the same factor.

use std::collections::BTreeMap;

/// The strength that a pair is given before anything was measured: between the mild pairs (about 0) and the strong
/// ones (4 to 5) that were seen.
const FIRST_STRENGTH: f64 = 2.5;
/// No pair counts as stronger than this.
const MOST_STRENGTH: f64 = 12.0;
/// How much of an error one reading corrects.
const LEARNING_RATE: f64 = 0.35;
/// Keeps corrections small where hardly anything changed: the square of a load that is too small to see.
const LOAD_NOISE: f64 = 0.0008;
/// How much of the newest reading goes into the smoothed load.
const SMOOTHING: f64 = 0.6;
/// A tail when idle in terms of the target, before any was measured.
const FIRST_IDLE_SHARE: f64 = 0.2;
/// The smallest tail seen is that of a lightly loaded task: when idle it would be this share of it.
const IDLE_OF_LEAST: f64 = 0.85;
/// Loads are kept within these bounds, so that their ratios and logarithms stay finite.
const LOAD_BOUNDS: (f64, f64) = (0.05, 0.995);

/// The processors that filling tasks use on a worker, by image, in shares of all it has.
pub(crate) type FillLoads = BTreeMap<String, f64>;

/// What one reading of a serving task showed.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServingSample {
    load: f64,
    fills: FillLoads,
    /// The load without what fills, smoothed over readings.
    pub(crate) load_alone: f64,
}

/// Learnt strengths of pairs of images.
#[derive(Clone, Debug, Default)]
pub(crate) struct PressEstimate {
    strengths: BTreeMap<(String, String), f64>,
    least_tails: BTreeMap<String, f64>,
}

impl PressEstimate {
    /// How strongly a filling image disturbs a serving one.
    pub(crate) fn strength(&self, serving: &str, filling: &str) -> f64 {
        let pair = (serving.to_owned(), filling.to_owned());
        self.strengths.get(&pair).copied().unwrap_or(FIRST_STRENGTH)
    }

    /// By how much, as a share, what fills raises a serving image's load.
    pub(crate) fn pressure(&self, serving: &str, fills: &FillLoads) -> f64 {
        let parts = fills.iter();
        parts
            .map(|(image, load)| self.strength(serving, image) * load)
            .sum()
    }

    fn idle_tail(&self, serving: &str, target: f64) -> f64 {
        let first = target * FIRST_IDLE_SHARE;
        let least = self.least_tails.get(serving);
        least.map_or(first, |least| {
            (least * IDLE_OF_LEAST).min(first.max(least * 0.5))
        })
    }

    /// A serving task's load by its tail.
    pub(crate) fn load(&self, serving: &str, tail: f64, target: f64) -> f64 {
        let idle = self.idle_tail(serving, target);
        let (least, most) = LOAD_BOUNDS;
        (1.0 - idle / tail.max(idle * 0.1)).clamp(least, most)
    }

    /// The load at which a serving task is at its target.
    pub(crate) fn target_load(&self, serving: &str, target: f64) -> f64 {
        self.load(serving, target, target)
    }

    /// Learns from a reading; `fills` is the mean over the time that the reading covers.
    pub(crate) fn learn(
        &mut self,
        serving: &str,
        tail: f64,
        target: f64,
        fills: &FillLoads,
        before: &mut Option<ServingSample>,
    ) {
        let least = self.least_tails.entry(serving.to_owned()).or_insert(tail);
        *least = least.min(tail);
        let load = self.load(serving, tail, target);
        if let Some(old) = before {
            self.correct(serving, load, fills, old);
        }
        let alone = load / (1.0 + self.pressure(serving, fills));
        let load_alone = match before {
            Some(old) => old.load_alone + (alone - old.load_alone) * SMOOTHING,
            None => alone,
        };
        *before = Some(ServingSample {
            load,
            fills: fills.clone(),
            load_alone,
        });
    }

    /// Corrects the strengths of the images whose load changed, by how far the prediction was off.
    fn correct(&mut self, serving: &str, load: f64, fills: &FillLoads, old: &ServingSample) {
        let now = 1.0 + self.pressure(serving, fills);
        let then = 1.0 + self.pressure(serving, &old.fills);
        let error = (load / old.load).ln() - (now / then).ln();
        let mut changes: BTreeMap<&str, f64> = BTreeMap::new();
        for (image, share) in fills {
            *changes.entry(image).or_default() += share / now;
        }
        for (image, share) in &old.fills {
            *changes.entry(image).or_default() -= share / then;
        }
        let size: f64 = changes.values().map(|change| change * change).sum();
        for (image, change) in changes {
            let step = LEARNING_RATE * error * change / (size + LOAD_NOISE);
            let pair = (serving.to_owned(), image.to_owned());
            let strength = self.strengths.entry(pair).or_insert(FIRST_STRENGTH);
            *strength = (*strength + step).clamp(0.0, MOST_STRENGTH);
        }
    }
}

/// Sums up what fills on a worker over the time between two readings.
#[derive(Clone, Debug, Default)]
pub(crate) struct FillMeter {
    current: FillLoads,
    sums: FillLoads,
    since: u64,
    began: u64,
}

impl FillMeter {
    /// Notes what fills from now on.
    pub(crate) fn change(&mut self, now: u64, current: FillLoads) {
        self.add_up(now);
        self.current = current;
    }

    fn add_up(&mut self, now: u64) {
        let passed = now.saturating_sub(self.since) as f64;
        for (image, load) in &self.current {
            *self.sums.entry(image.clone()).or_default() += load * passed;
        }
        self.since = now;
    }

    /// How long the present sum has been running, in milliseconds.
    pub(crate) fn running_ms(&self, now: u64) -> u64 {
        now.saturating_sub(self.began)
    }

    /// The mean since the last call; starts anew.
    pub(crate) fn take(&mut self, now: u64) -> FillLoads {
        self.add_up(now);
        let passed = self.running_ms(now).max(1) as f64;
        self.began = now;
        let sums = std::mem::take(&mut self.sums);
        let means = sums.into_iter().map(|(image, sum)| (image, sum / passed));
        means.filter(|(_, load)| *load > 0.0).collect()
    }
}
