//! Learns by how much tasks of each job family slow down each service, by load band.
//!
//! Each sample is of one service on one worker while tasks of several families ran on the same worker. The model is additive:
//! predicted slowdown = sum of the effects of the (service, family) pairs. Each sample corrects every pair present by a share
//! of the prediction error, so the effects of the pairs can be separated once they were measured in different combinations.

use std::collections::HashMap;

use sandshelf_model::{Millis, ServiceId};

/// Lower bound on the learning rate: the fraction of the error that a pair with many samples is corrected by.
const MIN_LEARNING_RATE: f64 = 0.05;
/// Upper bound on a learned effect: slowdown minus one, so 9 means ten times as slow.
const MAX_EFFECT: f64 = 9.0;
/// Samples older than this, by their own time stamp, are ignored.
const MAX_SAMPLE_AGE_MS: Millis = 600_000;
/// Assumed growth of an effect from one load band to the next busier one, until it was measured there.
const BAND_GROWTH_FACTOR: f64 = 2.0;
/// Number of samples after which a pair's own mean fully replaces the fallback.
const FULL_TRUST_SAMPLES: f64 = 4.0;

/// The load of a service, as a range of its utilisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LoadBand {
    /// Less than a third of its slots are in use.
    Quiet,
    /// From one third to less than two thirds of its slots are in use.
    Busy,
    /// Two thirds of its slots or more are in use.
    Peak,
}

impl LoadBand {
    /// All bands, from the least to the most loaded.
    pub const ALL: [LoadBand; 3] = [LoadBand::Quiet, LoadBand::Busy, LoadBand::Peak];

    /// Returns the band of a utilisation between 0 and 1.
    pub fn of(utilisation: f64) -> Self {
        if utilisation < 1.0 / 3.0 {
            LoadBand::Quiet
        } else if utilisation < 2.0 / 3.0 {
            LoadBand::Busy
        } else {
            LoadBand::Peak
        }
    }
}

/// One measured slowdown of a service on a worker; it arrives with a delay.
#[derive(Clone, Debug)]
pub struct SlowdownSample {
    /// The service that was measured.
    pub service: ServiceId,
    /// The job families whose tasks ran on the same worker at the time of the measurement, with the number of tasks of each.
    pub families: Vec<(String, u32)>,
    /// The service's load band at the time of the measurement.
    pub band: LoadBand,
    /// Measured latency divided by the service's latency alone in that band, minus one.
    pub slowdown: f64,
    /// The time of the measurement, not of its arrival.
    pub stamped_at: Millis,
}

#[derive(Clone, Copy, Debug, Default)]
struct EffectMean {
    effect: f64,
    count: f64,
}

impl EffectMean {
    fn trust(&self) -> f64 {
        (self.count / FULL_TRUST_SAMPLES).min(1.0)
    }

    fn learn(&mut self, error: f64) {
        let step = (1.0 / (self.count + 1.0)).max(MIN_LEARNING_RATE);
        self.effect = (self.effect + step * error).clamp(0.0, MAX_EFFECT);
        self.count += 1.0;
    }
}

/// Estimated slowdown for each pair of service and job family.
#[derive(Clone, Debug, Default)]
pub struct SlowdownEstimate {
    pairs: HashMap<ServiceId, HashMap<String, [EffectMean; 3]>>,
    families: HashMap<String, [EffectMean; 3]>,
}

impl SlowdownEstimate {
    /// Updates the estimate with one sample; returns false if the sample is too old to describe the current load and was ignored.
    pub fn learn(&mut self, sample: &SlowdownSample, now: Millis) -> bool {
        if now.saturating_sub(sample.stamped_at) > MAX_SAMPLE_AGE_MS {
            return false;
        }
        let predicted = self.predict(&sample.service, &sample.families, sample.band);
        let tasks: u32 = sample.families.iter().map(|(_, count)| count).sum();
        if tasks == 0 {
            return true;
        }
        let error = (sample.slowdown - predicted) / f64::from(tasks);
        let band = sample.band as usize;
        for (family, _) in &sample.families {
            self.learn_pair(&sample.service, family, band, error);
        }
        true
    }

    fn learn_pair(&mut self, service: &ServiceId, family: &str, band: usize, error: f64) {
        let estimated = self.effect(service, family, LoadBand::ALL[band]);
        let pairs = self.pairs.entry(service.clone()).or_default();
        let pair = &mut pairs.entry(family.to_owned()).or_default()[band];
        if pair.count == 0.0 {
            pair.effect = estimated;
        }
        pair.learn(error);
        let effect = pair.effect;
        let mean = &mut self.families.entry(family.to_owned()).or_default()[band];
        let difference = effect - mean.effect;
        mean.learn(difference);
    }

    fn family_effect(&self, family: &str, band: usize) -> f64 {
        let bands = self.families.get(family);
        bands.map_or(0.0, |bands| blend_bands(bands, band, 0.0))
    }

    /// Predicts the effect of one task of `family` on `service`: its slowdown minus one, 0 if the family was never measured.
    ///
    /// A pair that was not measured in a band is extrapolated from the nearest band in which it was: higher in a busier band,
    /// lower in a quieter one. A pair that was never measured gets the mean effect of its family on other services.
    pub fn effect(&self, service: &ServiceId, family: &str, band: LoadBand) -> f64 {
        let band = band as usize;
        let fallback = self.family_effect(family, band);
        let pairs = self.pairs.get(service);
        let bands = pairs.and_then(|pairs| pairs.get(family));
        bands.map_or(fallback, |bands| blend_bands(bands, band, fallback))
    }

    /// Predicts the slowdown minus one of `service` on a worker that also runs `families`, given with their numbers of tasks.
    pub fn predict(&self, service: &ServiceId, families: &[(String, u32)], band: LoadBand) -> f64 {
        families
            .iter()
            .map(|(family, count)| self.effect(service, family, band) * f64::from(*count))
            .sum()
    }
}

/// Estimates the effect in one band from the means of all three bands, weighted by trust: a mean of few samples counts less.
fn blend_bands(bands: &[EffectMean; 3], band: usize, fallback: f64) -> f64 {
    let own = &bands[band];
    let others = (0..bands.len()).filter(|other| *other != band);
    let nearest = others
        .filter(|other| bands[*other].count > 0.0)
        .min_by_key(|other| other.abs_diff(band));
    let base = match nearest {
        Some(other) => {
            let steps = band as i32 - other as i32;
            let extrapolated = bands[other].effect * BAND_GROWTH_FACTOR.powi(steps);
            let trust = bands[other].trust();
            extrapolated * trust + fallback * (1.0 - trust)
        }
        None => fallback,
    };
    own.effect * own.trust() + base * (1.0 - own.trust())
}
