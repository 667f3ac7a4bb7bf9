//! Tracks the loads of serving tasks, corrected for interference by filling tasks, and forecasts them.
//!
//! A load is a utilisation, a fraction of the load at which a serving task is saturated: 0 is idle, and towards 1 its tail latency
//! grows without bound (see `interference.rs`). Deviations and amplitudes of loads are in the same unit, variances in its square.
//!
//! The tasks of one step serve the same users, so their loads rise and fall together on all workers: the readings of all
//! workers are samples of one load. That load oscillates. The readings of each step are fitted with a mean and a sine wave whose
//! period is common to all steps; the period is searched for over a range. Where no wave fits, the newest readings are the
//! forecast. A sine wave fits well under load: the readings of 60 steps without filling tasks lie within 0.013 of it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::f64::consts::TAU;

use sandshelf_model::Millis;

use crate::backlog::BacklogMonitor;
use crate::ids::TaskKey;

/// Readings within this time are averaged into one bin.
const BIN_MS: Millis = 500;
/// The number of bins kept of a step: 20 s, at least one whole period of the oscillations seen under load (14 and 20 s).
const MAX_BINS: usize = 40;
/// A step without readings for this time is dropped.
const STEP_EXPIRY_MS: Millis = 15_000;
/// The lower bound of the variance of a load reading (a standard deviation of 0.03).
const MIN_READING_VARIANCE: f64 = 0.000_9;
/// The upper bound of a bin's weight, which is one over the variance of the bin's mean load (here a standard deviation of 0.015).
const MAX_BIN_WEIGHT: f64 = 4_444.0;
/// The assumed mean load of a step before any reading.
const PRIOR_MEAN: f64 = 0.45;
/// The assumed amplitude of load oscillations before any reading.
const PRIOR_AMPLITUDE: f64 = 0.2;
/// The variance of one step's mean load around the mean of all steps while no common wave is known (a standard deviation of
/// 0.2).
const MEAN_VARIANCE: f64 = 0.04;
/// The variance of one step's mean load around the mean of all steps once a common wave is known (a standard deviation of 0.05).
const MEAN_VARIANCE_WITH_WAVE: f64 = 0.002_5;
/// The lower bound of the squared amplitude of load oscillations.
const MIN_SQUARE_AMPLITUDE: f64 = 0.001;
/// The time in which a bin's weight decays by a factor of e where a wave is fitted. A wave whose period is slightly wrong drifts
/// out of phase over several periods.
const WAVE_DECAY_MS: f64 = 12_000.0;
/// The time in which a bin's weight decays by a factor of e where no wave is known, so that the newest readings dominate.
const LEVEL_DECAY_MS: f64 = 1_000.0;
/// The number of newest bins from which the offset of the load readings from the wave is computed.
const BINS_FOR_OFFSET: usize = 2;
/// The weight of an assumed offset of 0 from the wave, in the unit of bin weights: an offset may be the error of one reading.
const ZERO_OFFSET_WEIGHT: f64 = 1_000.0;
/// The time in which the offset of the newest readings from the wave decays by a factor of e in a forecast.
const OFFSET_DECAY_MS: f64 = 1_500.0;
/// The lowest and the highest forecast load, as fractions of the load at which a serving task is saturated. Forecasts are clamped
/// to them.
const LOAD_BOUNDS: (f64, f64) = (0.05, 0.995);
/// The shortest candidate period of load oscillations.
const FIRST_PERIOD_MS: f64 = 5_000.0;
/// The longest candidate period of load oscillations.
const LAST_PERIOD_MS: f64 = 60_000.0;
/// Each candidate period is longer than the one before by this factor.
const PERIOD_FACTOR: f64 = 1.03;
/// The interval between searches for the common period of load oscillations, where a backlog of work does not lengthen it.
const PERIOD_SEARCH_INTERVAL_MS: Millis = 2_000;
/// Steps with fewer bins than this are left out of the search for the common period.
const MIN_BINS_FOR_PERIOD: usize = 10;
/// The largest number of steps used in the search for the common period.
const MAX_STEPS_FOR_PERIOD: usize = 16;
/// A common period is accepted if the residual of the waves is less than this share of the residual of the means alone.
const MAX_RESIDUAL_SHARE: f64 = 0.5;

/// The weighted mean of a step's load readings within [`BIN_MS`].
#[derive(Clone, Copy, Debug)]
struct LoadBin {
    /// The weighted mean time of the readings, in milliseconds.
    at: f64,
    load: f64,
    /// One over the variance of the mean.
    weight: f64,
    began: Millis,
}

/// The expected load and its variance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadForecast {
    pub(crate) load: f64,
    pub(crate) variance: f64,
}

/// A fitted wave: the mean, and the coefficients of sine and cosine.
#[derive(Clone, Copy, Debug)]
struct LoadWave {
    coefficients: [f64; 3],
    /// The covariance of the coefficients.
    covariance: [[f64; 3]; 3],
    /// The offset of the newest readings from the wave (positive where they are higher), valid at `fitted_at`.
    offset: f64,
    fitted_at: f64,
}

/// The load of one step.
#[derive(Clone, Debug, Default)]
struct StepLoad {
    bins: VecDeque<LoadBin>,
    wave: Option<LoadWave>,
    last_read: Millis,
}

/// The load history of all serving steps.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadHistory {
    steps: BTreeMap<TaskKey, StepLoad>,
    common: CommonLoad,
    period_searched_at: Millis,
}

/// The properties common to the loads of all steps; steps with few readings are assumed to resemble the others.
#[derive(Clone, Copy, Debug)]
struct CommonLoad {
    /// The common period in milliseconds; `None` where no wave fits.
    period_ms: Option<f64>,
    mean: f64,
    /// The root mean square of the amplitudes.
    amplitude: f64,
}

impl Default for CommonLoad {
    fn default() -> Self {
        Self {
            period_ms: None,
            mean: PRIOR_MEAN,
            amplitude: PRIOR_AMPLITUDE,
        }
    }
}

impl CommonLoad {
    /// The values of the basis functions (constant, sine, cosine) at a time.
    fn basis(&self, at: f64) -> [f64; 3] {
        match self.period_ms {
            Some(period) => {
                let (sine, cosine) = (at / period * TAU).sin_cos();
                [1.0, sine, cosine]
            }
            None => [1.0, 0.0, 0.0],
        }
    }

    fn decay_ms(&self) -> f64 {
        match self.period_ms {
            Some(_) => WAVE_DECAY_MS,
            None => LEVEL_DECAY_MS,
        }
    }

    fn mean_variance(&self) -> f64 {
        match self.period_ms {
            Some(_) => MEAN_VARIANCE_WITH_WAVE,
            None => MEAN_VARIANCE,
        }
    }

    fn square_amplitude(&self) -> f64 {
        (self.amplitude * self.amplitude).max(MIN_SQUARE_AMPLITUDE)
    }

    fn with_period(self, period_ms: Option<f64>) -> Self {
        Self { period_ms, ..self }
    }
}

impl LoadHistory {
    /// Forecasts the load of a step's tasks, without interference by filling tasks.
    pub(crate) fn forecast(&self, step: &TaskKey, at: Millis) -> LoadForecast {
        let step = self.steps.get(step);
        match step.and_then(|step| step.wave.as_ref()) {
            Some(wave) => wave.forecast(&self.common, at as f64),
            None => LoadForecast {
                load: self.common.mean,
                variance: MEAN_VARIANCE + self.common.square_amplitude() / 2.0,
            },
        }
    }

    /// Records a step's load as read on one worker, corrected for interference by filling tasks, and its variance.
    pub(crate) fn record(&mut self, now: Millis, step: &TaskKey, load: f64, variance: f64) {
        let step = self.steps.entry(*step).or_default();
        let weight = 1.0 / (variance + MIN_READING_VARIANCE);
        step.last_read = now;
        step.add(now, load, weight);
        step.wave = Some(step.fit(&self.common));
    }

    /// Searches for the common period at intervals, and drops steps without recent readings.
    pub(crate) fn refresh(&mut self, now: Millis, backlog: &BacklogMonitor) {
        if now < self.period_searched_at + backlog.stretched_pause_ms(PERIOD_SEARCH_INTERVAL_MS) {
            return;
        }
        self.period_searched_at = now;
        self.steps
            .retain(|_, step| now < step.last_read + STEP_EXPIRY_MS);
        let steps = self.steps.values();
        let mut known: Vec<&StepLoad> = steps
            .filter(|step| step.bins.len() >= MIN_BINS_FOR_PERIOD)
            .collect();
        known.sort_by_key(|step| (Reverse(step.bins.len()), step.bins[0].began));
        known.truncate(MAX_STEPS_FOR_PERIOD);
        if !known.is_empty() {
            self.common = self.common.refit(&known);
        }
    }
}

impl CommonLoad {
    /// Refits the common period and the mean and amplitude of the waves to these steps. The period with the smallest residual is
    /// taken.
    fn refit(&self, steps: &[&StepLoad]) -> Self {
        let residual_with = |period_ms| {
            let common = self.with_period(period_ms);
            steps.iter().map(|step| step.residual(&common)).sum::<f64>()
        };
        let mut least = residual_with(None) * MAX_RESIDUAL_SHARE;
        let mut best = None;
        let mut period = FIRST_PERIOD_MS;
        while period <= LAST_PERIOD_MS {
            let residual = residual_with(Some(period));
            if residual < least {
                (least, best) = (residual, Some(period));
            }
            period *= PERIOD_FACTOR;
        }
        let common = self.with_period(best);
        if best.is_none() {
            return common;
        }
        let waves: Vec<[f64; 3]> = steps
            .iter()
            .map(|step| step.fit(&common).coefficients)
            .collect();
        let count = waves.len() as f64;
        let means = waves.iter().map(|[mean, _, _]| mean);
        let squares = waves
            .iter()
            .map(|[_, sine, cosine]| sine * sine + cosine * cosine);
        Self {
            mean: means.sum::<f64>() / count,
            amplitude: (squares.sum::<f64>() / count).sqrt(),
            ..common
        }
    }
}

impl StepLoad {
    fn add(&mut self, now: Millis, load: f64, weight: f64) {
        let at = now as f64;
        match self.bins.back_mut() {
            Some(bin) if now < bin.began + BIN_MS => {
                bin.weight += weight;
                bin.load += (load - bin.load) * weight / bin.weight;
                bin.at += (at - bin.at) * weight / bin.weight;
            }
            _ => {
                self.bins.push_back(LoadBin {
                    at,
                    load,
                    weight,
                    began: now,
                });
                if self.bins.len() > MAX_BINS {
                    self.bins.pop_front();
                }
            }
        }
    }

    fn newest(&self) -> f64 {
        self.bins.back().map_or(0.0, |bin| bin.at)
    }

    /// Fits a wave, with the common mean and amplitude as priors.
    fn fit(&self, common: &CommonLoad) -> LoadWave {
        let newest = self.newest();
        let mean_weight = 1.0 / common.mean_variance();
        let amplitude_weight = 2.0 / common.square_amplitude();
        let mut matrix = [
            [mean_weight, 0.0, 0.0],
            [0.0, amplitude_weight, 0.0],
            [0.0, 0.0, amplitude_weight],
        ];
        let mut right = [common.mean * mean_weight, 0.0, 0.0];
        for bin in &self.bins {
            let basis = common.basis(bin.at);
            let weight = bin.decayed_weight(newest, common.decay_ms());
            for (one, factor) in basis.iter().enumerate() {
                right[one] += weight * factor * bin.load;
                for (other, second) in basis.iter().enumerate() {
                    matrix[one][other] += weight * factor * second;
                }
            }
        }
        let covariance = inverse(&matrix);
        let wave = LoadWave {
            coefficients: covariance.map(|line| dot(&line, &right)),
            covariance,
            offset: 0.0,
            fitted_at: newest,
        };
        LoadWave {
            offset: self.offset_from(&wave, common),
            ..wave
        }
    }

    /// The weighted offset of the newest readings from a wave, shrunk towards 0.
    fn offset_from(&self, wave: &LoadWave, common: &CommonLoad) -> f64 {
        let (mut sum, mut weights) = (0.0, ZERO_OFFSET_WEIGHT);
        for bin in self.bins.iter().rev().take(BINS_FOR_OFFSET) {
            let weight = bin.weight.min(MAX_BIN_WEIGHT);
            sum += (bin.load - wave.at(common, bin.at)) * weight;
            weights += weight;
        }
        sum / weights
    }

    /// The weighted sum of squared residuals of a wave with the common period.
    fn residual(&self, common: &CommonLoad) -> f64 {
        let wave = self.fit(common);
        let newest = self.newest();
        let errors = self.bins.iter().map(|bin| {
            let error = bin.load - wave.at(common, bin.at);
            bin.decayed_weight(newest, WAVE_DECAY_MS) * error * error
        });
        errors.sum()
    }
}

impl LoadBin {
    /// The bin's weight, decayed exponentially with its age.
    fn decayed_weight(&self, newest: f64, decay_ms: f64) -> f64 {
        self.weight.min(MAX_BIN_WEIGHT) * (-(newest - self.at) / decay_ms).exp()
    }
}

impl LoadWave {
    fn at(&self, common: &CommonLoad, at: f64) -> f64 {
        dot(&common.basis(at), &self.coefficients)
    }

    fn forecast(&self, common: &CommonLoad, at: f64) -> LoadForecast {
        let basis = common.basis(at);
        let ahead = (at - self.fitted_at).max(0.0);
        let offset = self.offset * (-ahead / OFFSET_DECAY_MS).exp();
        let (least, most) = LOAD_BOUNDS;
        LoadForecast {
            load: (dot(&basis, &self.coefficients) + offset).clamp(least, most),
            variance: dot(&self.covariance.map(|line| dot(&line, &basis)), &basis),
        }
    }
}

fn dot(one: &[f64; 3], other: &[f64; 3]) -> f64 {
    one.iter().zip(other).map(|(one, other)| one * other).sum()
}

/// The inverse of a symmetric matrix.
fn inverse(matrix: &[[f64; 3]; 3]) -> [[f64; 3]; 3] {
    let [[a, b, c], [_, d, e], [_, _, f]] = *matrix;
    let (first, second, third) = (d * f - e * e, c * e - b * f, b * e - c * d);
    let det = a * first + b * second + c * third;
    let (fourth, fifth, sixth) = (a * f - c * c, b * c - a * e, a * d - b * b);
    [
        [first / det, second / det, third / det],
        [second / det, fourth / det, fifth / det],
        [third / det, fifth / det, sixth / det],
    ]
}
