//! How much filling tasks disturb serving tasks, learnt by pairs of images.
//!
//! A serving task's tail is taken as that of a queue: with a tail of `t0` when idle, a load `u` makes it `t0 / (1 - u)`.
//! What fills beside it multiplies its load by `1 + P`, where P is the sum over the filling tasks of a pair's strength
//! times the share of the worker's processors that the task uses. This form was read off measured days: two tasks of
//! one image at different loads rose to different tails, but their loads by the same factor.

use serde::{Deserialize, Serialize};

use crate::images::{ImageId, ImageTable};

/// The strength that a pair is given before anything was measured: between the mild pairs (about 0) and the strong
/// ones (4 to 5) that were seen.
const FIRST_STRENGTH: f64 = 1.5;
/// How uncertain that is, as a variance.
const FIRST_VARIANCE: f64 = 2.5;
/// How much the strengths of one filling image beside different serving images differ, as a variance: most images were seen to
/// be strong beside all or beside none, a fifth of the pairs were not like the others of their image.
const VARIANCE_AMONG_PAIRS: f64 = 4.0;
/// No pair counts as stronger than this.
const MOST_STRENGTH: f64 = 10.0;
/// By how much, as a variance, a strength grows more uncertain with each reading: the amounts change within seconds.
const STRENGTH_DRIFT: f64 = 0.004;
/// The tail of an idle task in terms of its target.
const IDLE_SHARE: f64 = 0.2;
/// Loads are kept within these bounds, so that their ratios and logarithms stay finite.
const LOAD_BOUNDS: (f64, f64) = (0.05, 0.995);

/// The processors that filling tasks use on a worker, by image, in shares of all it has.
#[derive(Clone, Debug, Default)]
pub(crate) struct InterferenceLoads {
    loads: Vec<(ImageId, f64)>,
}

impl InterferenceLoads {
    /// Whether nothing fills.
    pub(crate) fn is_empty(&self) -> bool {
        self.loads.is_empty()
    }

    pub(crate) fn add(&mut self, image: ImageId, load: f64) {
        match self.loads.iter_mut().find(|(known, _)| *known == image) {
            Some((_, sum)) => *sum += load,
            None => self.loads.push((image, load)),
        }
    }
}

/// Learnt strengths in their durable form.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct InterferenceRow {
    /// The pairs that were measured.
    pub pairs: Vec<InterferencePair>,
}

/// One pair of images and how strongly the filling one disturbs the serving one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct InterferencePair {
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

/// Learnt strengths of pairs of images.
///
/// Each reading corrects the strengths that bear on it by how uncertain each is (a Kalman filter whose covariances between
/// them are left out). The load itself is known from elsewhere ([`crate::load_forecast`]): corrected together with the
/// strengths, one task's reading at a time, its swings were taken for strengths, and most pairs, weak ones as well, ended
/// at 8 to 10.
#[derive(Clone, Debug, Default)]
pub(crate) struct InterferenceEstimate {
    /// By serving image, then by filling image; short rows and missing ones stand for pairs never seen.
    pairs: Vec<Vec<Option<PairStrength>>>,
    /// By filling image: what a pair of it that was never seen is taken to be. Kept, since a place is looked for with a
    /// thousand such pairs for each time that one is learnt.
    unseen: Vec<f64>,
}

/// A serving task's load by its tail.
pub(crate) fn load_from_tail(tail: f64, target: f64) -> f64 {
    let idle = target * IDLE_SHARE;
    let (least, most) = LOAD_BOUNDS;
    (1.0 - idle / tail.max(idle * 0.1)).clamp(least, most)
}

/// The load at which a serving task is at its target.
pub(crate) fn target_load() -> f64 {
    1.0 - IDLE_SHARE
}

impl InterferenceEstimate {
    fn pair(&self, serving: ImageId, filling: ImageId) -> PairStrength {
        let row = self.pairs.get(usize::from(serving.0));
        let pair = row.and_then(|row| row.get(usize::from(filling.0)));
        pair.copied()
            .flatten()
            .unwrap_or_else(|| self.unseen(filling))
    }

    /// A pair that was not measured.
    fn unseen(&self, filling: ImageId) -> PairStrength {
        let known = self.unseen.get(usize::from(filling.0));
        PairStrength {
            mean: known.copied().unwrap_or(FIRST_STRENGTH),
            variance: FIRST_VARIANCE,
        }
    }

    /// Notes that pairs of a filling image have changed: one that was not measured is as that image is beside other serving
    /// images.
    fn refresh_unseen(&mut self, filling: ImageId) {
        let column = usize::from(filling.0);
        let (mut sum, mut weights) = (FIRST_STRENGTH / FIRST_VARIANCE, 1.0 / FIRST_VARIANCE);
        for pair in self.pairs.iter().filter_map(|row| *row.get(column)?) {
            let weight = 1.0 / (pair.variance + VARIANCE_AMONG_PAIRS);
            sum += pair.mean * weight;
            weights += weight;
        }
        if self.unseen.len() <= column {
            self.unseen.resize(column + 1, FIRST_STRENGTH);
        }
        self.unseen[column] = sum / weights;
    }

    fn pair_mut(&mut self, serving: ImageId, filling: ImageId) -> &mut PairStrength {
        let known = self.pair(serving, filling);
        let (row, column) = (usize::from(serving.0), usize::from(filling.0));
        if self.pairs.len() <= row {
            self.pairs.resize_with(row + 1, Vec::new);
        }
        let row = &mut self.pairs[row];
        if row.len() <= column {
            row.resize_with(column + 1, || None);
        }
        row[column].get_or_insert(known)
    }

    /// What is learnt, by the names of images, to be handed to the next owner.
    pub(crate) fn to_row(&self, images: &ImageTable) -> InterferenceRow {
        let names = images.names();
        let name = |index: usize| {
            let id = ImageId(u16::try_from(index).ok()?);
            names.get(&id).map(|name| (*name).to_owned())
        };
        let mut pairs = Vec::new();
        for (serving, row) in self.pairs.iter().enumerate() {
            for (filling, strength) in row.iter().enumerate() {
                if let (Some(strength), Some(serving), Some(filling)) =
                    (strength, name(serving), name(filling))
                {
                    pairs.push(InterferencePair {
                        serving,
                        filling,
                        mean: strength.mean,
                        variance: strength.variance,
                    });
                }
            }
        }
        InterferenceRow { pairs }
    }

    /// Takes over what an earlier owner had learnt.
    pub(crate) fn restore(&mut self, images: &mut ImageTable, row: &InterferenceRow) {
        for pair in &row.pairs {
            let (serving, filling) = (images.intern(&pair.serving), images.intern(&pair.filling));
            *self.pair_mut(serving, filling) = PairStrength {
                mean: pair.mean.clamp(0.0, MOST_STRENGTH),
                variance: pair.variance.clamp(0.0, FIRST_VARIANCE),
            };
            self.refresh_unseen(filling);
        }
    }

    /// How strongly a filling image disturbs a serving one.
    pub(crate) fn strength(&self, serving: ImageId, filling: ImageId) -> f64 {
        self.pair(serving, filling).mean
    }

    /// By how much, as a share, what fills raises a serving image's load.
    pub(crate) fn pressure(&self, serving: ImageId, fills: &InterferenceLoads) -> f64 {
        let parts = fills.loads.iter();
        parts
            .map(|(image, load)| self.strength(serving, *image) * load)
            .sum()
    }

    /// How uncertain the pressure is, as a variance.
    pub(crate) fn pressure_variance(&self, serving: ImageId, fills: &InterferenceLoads) -> f64 {
        let parts = fills.loads.iter();
        parts
            .map(|(image, load)| self.pair(serving, *image).variance * load * load)
            .sum()
    }

    /// Learns from one reading: by how much a serving image's load was raised, how uncertain that is as a variance, and what
    /// filled beside it.
    pub(crate) fn learn(
        &mut self,
        serving: ImageId,
        raised_by: f64,
        variance: f64,
        fills: &InterferenceLoads,
    ) {
        let error = raised_by - self.pressure(serving, fills);
        let total = variance + self.pressure_variance(serving, fills);
        for (image, load) in &fills.loads {
            let strength = self.pair_mut(serving, *image);
            let gain = strength.variance * load / total;
            strength.mean = (strength.mean + gain * error).clamp(0.0, MOST_STRENGTH);
            strength.variance += STRENGTH_DRIFT - gain * load * strength.variance;
            self.refresh_unseen(*image);
        }
    }
}
