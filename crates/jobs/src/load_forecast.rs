//! Loads of serving tasks without what fills beside them, followed over time and foretold.
//!
//! The tasks of one step serve the same users, so that their loads rise and fall together, wherever they run: readings on
//! all workers tell of one load. It swings. Each step's readings are fitted with a mean and a sine wave; the period of the
//! wave is common to all steps and is looked for among many. Where no wave fits, the newest readings stand for what
//! comes. A sine wave was read off measured days: the readings of 60 steps without filling tasks lie within 0.013 of it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::f64::consts::TAU;

use sandshelf_model::Millis;

use crate::backlog::BacklogMonitor;
use crate::ids::TaskKey;

/// Readings within this time are taken together.
const BIN_MS: Millis = 500;
/// How many such means are kept of a step: 20 s, more than a whole period of every swing seen so far (14 and 20 s).
const BINS_KEPT: usize = 40;
/// After this long without a reading a step is forgotten.
const FORGET_MS: Millis = 15_000;
/// How uncertain a reading of a load is at least, as a variance (0.03 of a load).
const LEAST_READING_VARIANCE: f64 = 0.000_9;
/// No mean of readings counts as more certain than this, as one over its variance (0.015 of a load).
const MOST_BIN_WEIGHT: f64 = 4_444.0;
/// The mean of a load, before any was read.
const FIRST_MEAN: f64 = 0.45;
/// The size of swings, before any was seen.
const FIRST_SWING: f64 = 0.2;
/// How far one step's mean may lie from that of all before a wave is known, as a variance (0.2 of a load).
const MEAN_VARIANCE: f64 = 0.04;
/// The same where all have one wave (0.05 of a load).
const MEAN_VARIANCE_OF_WAVES: f64 = 0.002_5;
/// Swings count as no smaller than this square.
const LEAST_SQUARE_SWING: f64 = 0.001;
/// How fast older readings lose weight beside a wave: one whose period is not quite right shifts over several of its lengths.
const WAVE_MEMORY_MS: f64 = 12_000.0;
/// The same where no wave is known, so that the newest readings speak.
const LEVEL_MEMORY_MS: f64 = 1_000.0;
/// By how many of the newest means the distance from the wave is judged.
const BINS_FOR_DISTANCE: usize = 2;
/// What speaks for no distance, in weight of readings: a distance may be one reading's error.
const NO_DISTANCE_WEIGHT: f64 = 1_000.0;
/// How fast that distance fades.
const DISTANCE_FADES_MS: f64 = 1_500.0;
/// A load is never foretold beyond these.
const LOAD_BOUNDS: (f64, f64) = (0.05, 0.995);
/// The periods that are tried: from the first to the last, each longer by a factor than the one before.
const FIRST_PERIOD_MS: f64 = 5_000.0;
const LAST_PERIOD_MS: f64 = 60_000.0;
const PERIOD_FACTOR: f64 = 1.03;
/// How often a period is looked for.
const LOOK_EVERY_MS: Millis = 2_000;
/// A step with fewer means says nothing of the period.
const BINS_FOR_PERIOD: usize = 10;
/// So many steps are enough to find the period.
const STEPS_FOR_PERIOD: usize = 16;
/// A wave has to leave at most this part of what the mean alone leaves.
const WAVE_LEAVES: f64 = 0.5;

/// The mean of a step's readings over a short time.
#[derive(Clone, Copy, Debug)]
struct LoadBin {
    /// The mean time of the readings, in milliseconds.
    at: f64,
    load: f64,
    /// One over its variance.
    weight: f64,
    began: Millis,
}

/// What a load is expected to be.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadForecast {
    pub(crate) load: f64,
    pub(crate) variance: f64,
}

/// A wave: mean, and the factors of sine and cosine.
#[derive(Clone, Copy, Debug)]
struct LoadWave {
    factors: [f64; 3],
    /// The covariance of the factors.
    spread: [[f64; 3]; 3],
    /// By how much the newest readings lie above the wave, and when that was.
    distance: f64,
    fitted_at: f64,
}

/// One step's load.
#[derive(Clone, Debug, Default)]
struct StepLoad {
    bins: VecDeque<LoadBin>,
    wave: Option<LoadWave>,
    last_read: Millis,
}

/// The loads of all serving steps.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadHistory {
    steps: BTreeMap<TaskKey, StepLoad>,
    usual: UsualLoad,
    looked_at: Millis,
}

/// What is known of all loads together; one that was read seldom is taken to be like the others.
#[derive(Clone, Copy, Debug)]
struct UsualLoad {
    /// The common period in milliseconds, where one fits.
    period_ms: Option<f64>,
    mean: f64,
    /// The root mean square of the swings.
    swing: f64,
}

impl Default for UsualLoad {
    fn default() -> Self {
        Self {
            period_ms: None,
            mean: FIRST_MEAN,
            swing: FIRST_SWING,
        }
    }
}

impl UsualLoad {
    /// What the factors of a wave count with at a time.
    fn row(&self, at: f64) -> [f64; 3] {
        match self.period_ms {
            Some(period) => {
                let (sine, cosine) = (at / period * TAU).sin_cos();
                [1.0, sine, cosine]
            }
            None => [1.0, 0.0, 0.0],
        }
    }

    fn memory_ms(&self) -> f64 {
        match self.period_ms {
            Some(_) => WAVE_MEMORY_MS,
            None => LEVEL_MEMORY_MS,
        }
    }

    fn mean_variance(&self) -> f64 {
        match self.period_ms {
            Some(_) => MEAN_VARIANCE_OF_WAVES,
            None => MEAN_VARIANCE,
        }
    }

    fn square_swing(&self) -> f64 {
        (self.swing * self.swing).max(LEAST_SQUARE_SWING)
    }

    /// The same with another period.
    fn with_period(self, period_ms: Option<f64>) -> Self {
        Self { period_ms, ..self }
    }
}

impl LoadHistory {
    /// What the load of a step's tasks is expected to be at a time.
    pub(crate) fn forecast(&self, step: &TaskKey, at: Millis) -> LoadForecast {
        let step = self.steps.get(step);
        match step.and_then(|step| step.wave.as_ref()) {
            Some(wave) => wave.forecast(&self.usual, at as f64),
            None => LoadForecast {
                load: self.usual.mean,
                variance: MEAN_VARIANCE + self.usual.square_swing() / 2.0,
            },
        }
    }

    /// Takes in a step's load as read on one worker, without what fills there, and how uncertain it is.
    pub(crate) fn note(&mut self, now: Millis, step: &TaskKey, load: f64, variance: f64) {
        let step = self.steps.entry(*step).or_default();
        let weight = 1.0 / (variance + LEAST_READING_VARIANCE);
        step.last_read = now;
        step.add(now, load, weight);
        step.wave = Some(step.fit(&self.usual));
    }

    /// Looks for the period from time to time, and forgets steps that are no more.
    pub(crate) fn refresh(&mut self, now: Millis, backlog: &BacklogMonitor) {
        if now < self.looked_at + backlog.stretched_pause_ms(LOOK_EVERY_MS) {
            return;
        }
        self.looked_at = now;
        self.steps
            .retain(|_, step| now < step.last_read + FORGET_MS);
        let steps = self.steps.values();
        let mut known: Vec<&StepLoad> = steps
            .filter(|step| step.bins.len() >= BINS_FOR_PERIOD)
            .collect();
        known.sort_by_key(|step| (Reverse(step.bins.len()), step.bins[0].began));
        known.truncate(STEPS_FOR_PERIOD);
        if !known.is_empty() {
            self.usual = self.usual.refined(&known);
        }
    }
}

impl UsualLoad {
    /// What these steps say: the period that leaves least of their readings unexplained, and the waves' means.
    fn refined(&self, steps: &[&StepLoad]) -> Self {
        let left_by = |period_ms| {
            let usual = self.with_period(period_ms);
            steps.iter().map(|step| step.left_by(&usual)).sum::<f64>()
        };
        let mut least = left_by(None) * WAVE_LEAVES;
        let mut best = None;
        let mut period = FIRST_PERIOD_MS;
        while period <= LAST_PERIOD_MS {
            let left = left_by(Some(period));
            if left < least {
                (least, best) = (left, Some(period));
            }
            period *= PERIOD_FACTOR;
        }
        let usual = self.with_period(best);
        if best.is_none() {
            return usual;
        }
        let waves: Vec<[f64; 3]> = steps.iter().map(|step| step.fit(&usual).factors).collect();
        let count = waves.len() as f64;
        let means = waves.iter().map(|[mean, _, _]| mean);
        let squares = waves
            .iter()
            .map(|[_, sine, cosine]| sine * sine + cosine * cosine);
        Self {
            mean: means.sum::<f64>() / count,
            swing: (squares.sum::<f64>() / count).sqrt(),
            ..usual
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
                if self.bins.len() > BINS_KEPT {
                    self.bins.pop_front();
                }
            }
        }
    }

    fn newest(&self) -> f64 {
        self.bins.back().map_or(0.0, |bin| bin.at)
    }

    /// Fits a wave, around what is known of all steps.
    fn fit(&self, usual: &UsualLoad) -> LoadWave {
        let newest = self.newest();
        let mean_weight = 1.0 / usual.mean_variance();
        let swing_weight = 2.0 / usual.square_swing();
        let mut matrix = [
            [mean_weight, 0.0, 0.0],
            [0.0, swing_weight, 0.0],
            [0.0, 0.0, swing_weight],
        ];
        let mut right = [usual.mean * mean_weight, 0.0, 0.0];
        for bin in &self.bins {
            let row = usual.row(bin.at);
            let weight = bin.counts(newest, usual.memory_ms());
            for (one, factor) in row.iter().enumerate() {
                right[one] += weight * factor * bin.load;
                for (other, second) in row.iter().enumerate() {
                    matrix[one][other] += weight * factor * second;
                }
            }
        }
        let spread = inverse(&matrix);
        let wave = LoadWave {
            factors: spread.map(|line| dot(&line, &right)),
            spread,
            distance: 0.0,
            fitted_at: newest,
        };
        LoadWave {
            distance: self.distance_from(&wave, usual),
            ..wave
        }
    }

    /// By how much the newest readings lie above a wave, as far as they can be believed.
    fn distance_from(&self, wave: &LoadWave, usual: &UsualLoad) -> f64 {
        let (mut sum, mut weights) = (0.0, NO_DISTANCE_WEIGHT);
        for bin in self.bins.iter().rev().take(BINS_FOR_DISTANCE) {
            let weight = bin.weight.min(MOST_BIN_WEIGHT);
            sum += (bin.load - wave.at(usual, bin.at)) * weight;
            weights += weight;
        }
        sum / weights
    }

    /// What a wave of the usual period leaves of the readings.
    fn left_by(&self, usual: &UsualLoad) -> f64 {
        let wave = self.fit(usual);
        let newest = self.newest();
        let errors = self.bins.iter().map(|bin| {
            let error = bin.load - wave.at(usual, bin.at);
            bin.counts(newest, WAVE_MEMORY_MS) * error * error
        });
        errors.sum()
    }
}

impl LoadBin {
    /// What it counts with, where older ones lose weight.
    fn counts(&self, newest: f64, memory_ms: f64) -> f64 {
        self.weight.min(MOST_BIN_WEIGHT) * (-(newest - self.at) / memory_ms).exp()
    }
}

impl LoadWave {
    fn at(&self, usual: &UsualLoad, at: f64) -> f64 {
        dot(&usual.row(at), &self.factors)
    }

    fn forecast(&self, usual: &UsualLoad, at: f64) -> LoadForecast {
        let row = usual.row(at);
        let ahead = (at - self.fitted_at).max(0.0);
        let distance = self.distance * (-ahead / DISTANCE_FADES_MS).exp();
        let (least, most) = LOAD_BOUNDS;
        LoadForecast {
            load: (dot(&row, &self.factors) + distance).clamp(least, most),
            variance: dot(&self.spread.map(|line| dot(&line, &row)), &row),
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
    let whole = a * first + b * second + c * third;
    let (fourth, fifth, sixth) = (a * f - c * c, b * c - a * e, a * d - b * b);
    [
        [first / whole, second / whole, third / whole],
        [second / whole, fourth / whole, fifth / whole],
        [third / whole, fifth / whole, sixth / whole],
    ]
}
