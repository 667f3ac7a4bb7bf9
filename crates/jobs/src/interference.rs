//! Estimates how much filling tasks raise the load of serving tasks on the same worker, for each pair of images.
//!
//! A serving task's tail latency is modelled as that of a queue: with a tail of `t0` when idle, a load of `u` gives a tail of
//! `t0 / (1 - u)`. Filling tasks on the same worker multiply the serving task's load by `1 + P`. P is the sum, over the filling
//! tasks, of the pair's interference coefficient times the share of the worker's processors that the filling task uses. The
//! form fits readings under load: two tasks of one image at different loads rose to different tails, but their loads rose by
//! the same factor.

use serde::{Deserialize, Serialize};

use crate::images::{ImageId, ImageTable};

/// The coefficient of a pair without readings. It lies between weakly interfering pairs (about 0) and strongly interfering
/// ones (4 to 5).
const PRIOR_COEFFICIENT: f64 = 1.5;
/// The variance of [`PRIOR_COEFFICIENT`].
const PRIOR_VARIANCE: f64 = 2.5;
/// The variance among the coefficients of one filling image with different serving images. Most images interfere strongly with
/// all serving images or with none; for a fifth of the pairs the coefficient differs from the others of the same image.
const PAIR_SPREAD_VARIANCE: f64 = 4.0;
/// The upper bound of a coefficient.
const MAX_COEFFICIENT: f64 = 10.0;
/// The variance that each reading adds to a coefficient, because interference changes within seconds.
const DRIFT_VARIANCE: f64 = 0.004;
/// The tail latency of an idle serving task, as a share of its target.
const IDLE_TAIL_SHARE: f64 = 0.2;
/// Loads are clamped to these bounds, so that their ratios and logarithms stay finite.
const LOAD_BOUNDS: (f64, f64) = (0.05, 0.995);

/// The processor use of the filling tasks on a worker, by image, as shares of the worker's capacity.
#[derive(Clone, Debug, Default)]
pub(crate) struct InterferenceLoads {
    loads: Vec<(ImageId, f64)>,
}

impl InterferenceLoads {
    /// Whether no filling task is running.
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

/// The learned interference coefficients, as stored.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct InterferenceRow {
    /// The pairs with readings.
    pub pairs: Vec<InterferencePair>,
}

/// One pair of images and its interference coefficient.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct InterferencePair {
    /// The serving image.
    #[serde(rename = "s")]
    pub serving: String,
    /// The filling image.
    #[serde(rename = "f")]
    pub filling: String,
    /// The coefficient: the relative increase of the serving image's load when the filling image uses all of a worker's
    /// processors.
    #[serde(rename = "m")]
    pub mean: f64,
    /// The variance of the coefficient.
    #[serde(rename = "v")]
    pub variance: f64,
}

#[derive(Clone, Copy, Debug)]
struct PairCoefficient {
    mean: f64,
    variance: f64,
}

/// The learned interference coefficients of pairs of images.
///
/// Each reading corrects the coefficients that contribute to it, weighted by their variances (a Kalman filter without the
/// covariances between coefficients). The serving load itself is estimated separately ([`crate::load_forecast`]). When it was
/// corrected together with the coefficients, one task's reading at a time, oscillations of the load were attributed to
/// interference, and most coefficients, those of weakly interfering pairs included, ended at 8 to 10.
#[derive(Clone, Debug, Default)]
pub(crate) struct InterferenceEstimate {
    /// By serving image, then by filling image; missing rows and entries stand for pairs without readings.
    pairs: Vec<Vec<Option<PairCoefficient>>>,
    /// By filling image: the coefficient assumed for a pair without readings. It is cached because a search for a worker reads
    /// a thousand such pairs for each pair that is learned.
    image_prior: Vec<f64>,
}

/// The load of a serving task that corresponds to its tail latency; `tail` and `target` are in the same unit.
pub(crate) fn load_from_tail(tail: f64, target: f64) -> f64 {
    let idle = target * IDLE_TAIL_SHARE;
    let (least, most) = LOAD_BOUNDS;
    (1.0 - idle / tail.max(idle * 0.1)).clamp(least, most)
}

/// The load at which a serving task's tail latency equals its target.
pub(crate) fn target_load() -> f64 {
    1.0 - IDLE_TAIL_SHARE
}

impl InterferenceEstimate {
    fn pair(&self, serving: ImageId, filling: ImageId) -> PairCoefficient {
        let row = self.pairs.get(usize::from(serving.0));
        let pair = row.and_then(|row| row.get(usize::from(filling.0)));
        pair.copied()
            .flatten()
            .unwrap_or_else(|| self.image_prior(filling))
    }

    /// The coefficient assumed for a pair without readings.
    fn image_prior(&self, filling: ImageId) -> PairCoefficient {
        let known = self.image_prior.get(usize::from(filling.0));
        PairCoefficient {
            mean: known.copied().unwrap_or(PRIOR_COEFFICIENT),
            variance: PRIOR_VARIANCE,
        }
    }

    /// Recomputes the coefficient assumed for pairs without readings, after coefficients of this filling image have changed. It is
    /// the weighted mean of the image's known coefficients with other serving images.
    fn refresh_image_prior(&mut self, filling: ImageId) {
        let column = usize::from(filling.0);
        let (mut sum, mut weights) = (PRIOR_COEFFICIENT / PRIOR_VARIANCE, 1.0 / PRIOR_VARIANCE);
        for pair in self.pairs.iter().filter_map(|row| *row.get(column)?) {
            let weight = 1.0 / (pair.variance + PAIR_SPREAD_VARIANCE);
            sum += pair.mean * weight;
            weights += weight;
        }
        if self.image_prior.len() <= column {
            self.image_prior.resize(column + 1, PRIOR_COEFFICIENT);
        }
        self.image_prior[column] = sum / weights;
    }

    fn pair_mut(&mut self, serving: ImageId, filling: ImageId) -> &mut PairCoefficient {
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

    /// The learned coefficients with the names of the images, to be stored for the next owner.
    pub(crate) fn to_row(&self, images: &ImageTable) -> InterferenceRow {
        let names = images.names();
        let name = |index: usize| {
            let id = ImageId(u16::try_from(index).ok()?);
            names.get(&id).map(|name| (*name).to_owned())
        };
        let mut pairs = Vec::new();
        for (serving, row) in self.pairs.iter().enumerate() {
            for (filling, coefficient) in row.iter().enumerate() {
                if let (Some(coefficient), Some(serving), Some(filling)) =
                    (coefficient, name(serving), name(filling))
                {
                    pairs.push(InterferencePair {
                        serving,
                        filling,
                        mean: coefficient.mean,
                        variance: coefficient.variance,
                    });
                }
            }
        }
        InterferenceRow { pairs }
    }

    /// Restores the coefficients that an earlier owner stored.
    pub(crate) fn restore(&mut self, images: &mut ImageTable, row: &InterferenceRow) {
        for pair in &row.pairs {
            let (serving, filling) = (images.intern(&pair.serving), images.intern(&pair.filling));
            *self.pair_mut(serving, filling) = PairCoefficient {
                mean: pair.mean.clamp(0.0, MAX_COEFFICIENT),
                variance: pair.variance.clamp(0.0, PRIOR_VARIANCE),
            };
            self.refresh_image_prior(filling);
        }
    }

    /// The interference coefficient of a pair.
    pub(crate) fn coefficient(&self, serving: ImageId, filling: ImageId) -> f64 {
        self.pair(serving, filling).mean
    }

    /// By which share the filling tasks raise the load of a serving image.
    pub(crate) fn load_increase(&self, serving: ImageId, filling_loads: &InterferenceLoads) -> f64 {
        let parts = filling_loads.loads.iter();
        parts
            .map(|(image, load)| self.coefficient(serving, *image) * load)
            .sum()
    }

    /// The variance of [`Self::load_increase`].
    pub(crate) fn load_increase_variance(
        &self,
        serving: ImageId,
        filling_loads: &InterferenceLoads,
    ) -> f64 {
        let parts = filling_loads.loads.iter();
        parts
            .map(|(image, load)| self.pair(serving, *image).variance * load * load)
            .sum()
    }

    /// Updates the coefficients from one reading: the observed increase of a serving image's load (as a share), the variance of
    /// that observation, and the filling tasks that caused it.
    pub(crate) fn learn(
        &mut self,
        serving: ImageId,
        observed_increase: f64,
        variance: f64,
        filling_loads: &InterferenceLoads,
    ) {
        let error = observed_increase - self.load_increase(serving, filling_loads);
        let total = variance + self.load_increase_variance(serving, filling_loads);
        for (image, load) in &filling_loads.loads {
            let coefficient = self.pair_mut(serving, *image);
            let gain = coefficient.variance * load / total;
            coefficient.mean = (coefficient.mean + gain * error).clamp(0.0, MAX_COEFFICIENT);
            coefficient.variance += DRIFT_VARIANCE - gain * load * coefficient.variance;
            self.refresh_image_prior(*image);
        }
    }
}
