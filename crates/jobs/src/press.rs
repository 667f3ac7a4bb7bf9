//! How much filling tasks disturb serving tasks, learnt by pairs of images.
//!
//! A serving task's tail is taken as that of a queue: with a tail of `t0` when idle, a load `u` makes it `t0 / (1 - u)`.
//! What fills beside it multiplies its load by `1 + P`, where P is the sum over the filling tasks of a pair's strength
//! times the share of the worker's processors that the task uses. This form was read off measured days: two tasks of
//! one image at different loads rose to different tails, but their loads by the same factor.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// The strength that a pair is given before anything was measured: between the mild pairs (about 0) and the strong
/// ones (4 to 5) that were seen.
const FIRST_STRENGTH: f64 = 1.5;
/// How uncertain that is, as a variance.
const FIRST_VARIANCE: f64 = 2.5;
/// No pair counts as stronger than this.
const MOST_STRENGTH: f64 = 10.0;
/// By how much, as a variance, a strength grows more uncertain with each reading: the amounts change within seconds.
const STRENGTH_DRIFT: f64 = 0.004;
/// By how much, as a variance, the logarithm of a load without filling tasks drifts from one reading to the next:
/// a swing of a half over 14 s moves it by about 0.1 at the steepest.
const LOAD_DRIFT: f64 = 0.006;
/// How uncertain the logarithm of a load is where it was never read, as a variance.
const FIRST_LOAD_VARIANCE: f64 = 0.25;
/// How uncertain one reading of a load's logarithm is, as a variance.
const READING_NOISE: f64 = 0.002;
/// The tail of an idle task in terms of its target.
const IDLE_SHARE: f64 = 0.2;
/// Loads are kept within these bounds, so that their ratios and logarithms stay finite.
const LOAD_BOUNDS: (f64, f64) = (0.05, 0.995);

/// Stands for the name of an image: strengths are looked up thousands of times a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ImageId(u16);

/// The images seen so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct ImageTable {
    ids: HashMap<String, ImageId>,
}

impl ImageTable {
    /// The identifier of an image, a new one where it was never seen.
    ///
    /// Beyond the number of identifiers, images share the last one: what is learnt of them is blurred, no more.
    pub(crate) fn intern(&mut self, name: &str) -> ImageId {
        let next = ImageId(u16::try_from(self.ids.len()).unwrap_or(u16::MAX));
        *self.ids.entry(name.to_owned()).or_insert(next)
    }

    /// The identifier of an image that was seen.
    pub(crate) fn get(&self, name: &str) -> ImageId {
        self.ids.get(name).copied().unwrap_or_default()
    }
}

/// The processors that filling tasks use on a worker, by image, in shares of all it has.
#[derive(Clone, Debug, Default)]
pub(crate) struct FillLoads {
    loads: Vec<(ImageId, f64)>,
}

impl FillLoads {
    pub(crate) fn add(&mut self, image: ImageId, load: f64) {
        match self.loads.iter_mut().find(|(known, _)| *known == image) {
            Some((_, sum)) => *sum += load,
            None => self.loads.push((image, load)),
        }
    }
}

/// What is known of a serving task's load without what fills beside it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServingLoad {
    /// Its natural logarithm.
    log_load: f64,
    variance: f64,
}

impl ServingLoad {
    /// The load without what fills.
    pub(crate) fn alone(&self) -> f64 {
        self.log_load.exp()
    }
}

/// Learnt strengths in their durable form.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StrengthRow {
    /// The pairs that were measured.
    pub pairs: Vec<LearntPair>,
}

/// One pair of images and how strongly the filling one disturbs the serving one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearntPair {
    /// The serving image.
    #[serde(rename = "s")]
    pub serving: String,
    /// The filling image.
    #[serde(rename = "f")]
    pub filling: String,
    /// The strength: by how much the load rises for each whole worker's processors in use.
    #[serde(rename = "m")]
    pub mean: f64,
    /// How uncertain that is, as a variance.
    #[serde(rename = "v")]
    pub variance: f64,
}

#[derive(Clone, Copy, Debug)]
struct PairStrength {
    mean: f64,
    variance: f64,
}

impl Default for PairStrength {
    fn default() -> Self {
        Self {
            mean: FIRST_STRENGTH,
            variance: FIRST_VARIANCE,
        }
    }
}

/// Learnt strengths of pairs of images.
///
/// Each reading corrects the task's own load and the strengths that bear on it by how uncertain each is (a Kalman
/// filter whose covariances between them are left out).
#[derive(Clone, Debug, Default)]
pub(crate) struct PressEstimate {
    /// By serving image, then by filling image; short rows and missing ones stand for pairs never seen.
    pairs: Vec<Vec<PairStrength>>,
}

/// A serving task's load by its tail.
pub(crate) fn load_of_tail(tail: f64, target: f64) -> f64 {
    let idle = target * IDLE_SHARE;
    let (least, most) = LOAD_BOUNDS;
    (1.0 - idle / tail.max(idle * 0.1)).clamp(least, most)
}

/// The load at which a serving task is at its target.
pub(crate) fn target_load() -> f64 {
    1.0 - IDLE_SHARE
}

impl PressEstimate {
    fn pair(&self, serving: ImageId, filling: ImageId) -> PairStrength {
        let row = self.pairs.get(usize::from(serving.0));
        let pair = row.and_then(|row| row.get(usize::from(filling.0)));
        pair.copied().unwrap_or_default()
    }

    fn pair_mut(&mut self, serving: ImageId, filling: ImageId) -> &mut PairStrength {
        let (row, column) = (usize::from(serving.0), usize::from(filling.0));
        if self.pairs.len() <= row {
            self.pairs.resize_with(row + 1, Vec::new);
        }
        let row = &mut self.pairs[row];
        if row.len() <= column {
            row.resize_with(column + 1, PairStrength::default);
        }
        &mut row[column]
    }

    /// What is learnt, by the names of images, to be handed to the next owner.
    pub(crate) fn to_row(&self, images: &ImageTable) -> StrengthRow {
        let names: HashMap<ImageId, &String> =
            images.ids.iter().map(|(name, id)| (*id, name)).collect();
        let name = |index: usize| {
            let id = ImageId(u16::try_from(index).ok()?);
            names.get(&id).map(|name| (*name).clone())
        };
        let mut pairs = Vec::new();
        for (serving, row) in self.pairs.iter().enumerate() {
            for (filling, strength) in row.iter().enumerate() {
                let measured = strength.variance < FIRST_VARIANCE;
                if let (true, Some(serving), Some(filling)) =
                    (measured, name(serving), name(filling))
                {
                    pairs.push(LearntPair {
                        serving,
                        filling,
                        mean: strength.mean,
                        variance: strength.variance,
                    });
                }
            }
        }
        StrengthRow { pairs }
    }

    /// Takes over what an earlier owner had learnt.
    pub(crate) fn restore(&mut self, images: &mut ImageTable, row: &StrengthRow) {
        for pair in &row.pairs {
            let (serving, filling) = (images.intern(&pair.serving), images.intern(&pair.filling));
            *self.pair_mut(serving, filling) = PairStrength {
                mean: pair.mean.clamp(0.0, MOST_STRENGTH),
                variance: pair.variance.clamp(0.0, FIRST_VARIANCE),
            };
        }
    }

    /// How strongly a filling image disturbs a serving one.
    pub(crate) fn strength(&self, serving: ImageId, filling: ImageId) -> f64 {
        self.pair(serving, filling).mean
    }

    /// By how much, as a share, what fills raises a serving image's load.
    pub(crate) fn pressure(&self, serving: ImageId, fills: &FillLoads) -> f64 {
        let parts = fills.loads.iter();
        parts
            .map(|(image, load)| self.strength(serving, *image) * load)
            .sum()
    }

    /// Learns from a reading; `fills` is the mean over the time that the reading covers.
    pub(crate) fn learn(
        &mut self,
        serving: ImageId,
        load: f64,
        fills: &FillLoads,
        before: Option<ServingLoad>,
    ) -> ServingLoad {
        let raised = 1.0 + self.pressure(serving, fills);
        let seen = load.ln() - raised.ln();
        let mut own = before.unwrap_or(ServingLoad {
            log_load: seen,
            variance: FIRST_LOAD_VARIANCE,
        });
        own.variance += LOAD_DRIFT;
        let error = seen - own.log_load;
        let mut total = own.variance + READING_NOISE;
        for (image, share) in &fills.loads {
            let effect = share / raised;
            total += self.pair(serving, *image).variance * effect * effect;
        }
        for (image, share) in &fills.loads {
            let effect = share / raised;
            let strength = self.pair_mut(serving, *image);
            let gain = strength.variance * effect / total;
            strength.mean = (strength.mean + gain * error).clamp(0.0, MOST_STRENGTH);
            strength.variance += STRENGTH_DRIFT - gain * effect * strength.variance;
        }
        let gain = own.variance / total;
        own.log_load += gain * error;
        own.variance -= gain * own.variance;
        own
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
        for (image, load) in &self.current.loads {
            self.sums.add(*image, load * passed);
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
        let mut means = std::mem::take(&mut self.sums);
        for (_, load) in &mut means.loads {
            *load /= passed;
        }
        means.loads.retain(|(_, load)| *load > 0.0);
        means
    }
}
