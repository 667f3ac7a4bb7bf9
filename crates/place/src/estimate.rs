//! Learns which job families slow which services, by load band.
//!
//! A measurement is of one service on one worker while several families ran beside it. The model is additive:
//! predicted slowdown = sum of the pairs' effects. Each measurement moves every pair present by a share of the error,
//! so that pairs are told apart once they have been seen in different company.

use std::collections::HashMap;

use sandshelf_model::{Millis, ServiceId};

/// The share of the error that a well-known pair takes up from one measurement.
const LEAST_STEP: f64 = 0.05;
/// The largest effect that is believed: ten times as slow.
const LARGEST_EFFECT: f64 = 9.0;
/// Measurements older than this, by their own stamp, are not learned from.
const OLDEST_SAMPLE_MS: Millis = 600_000;
/// By how much an effect is taken to grow from one band to the next busier one, until it was seen there.
const BAND_FACTOR: f64 = 2.0;
/// How many measurements a pair needs before its own mean replaces the fallback.
const TRUST_COUNT: f64 = 4.0;

/// How loaded a service is, as a band.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LoadBand {
    /// Under a third of its slots in use.
    Quiet,
    /// Up to two thirds of its slots in use.
    Busy,
    /// More than two thirds of its slots in use.
    Peak,
}

impl LoadBand {
    /// Every band, from quiet to peak.
    pub const ALL: [LoadBand; 3] = [LoadBand::Quiet, LoadBand::Busy, LoadBand::Peak];

    /// Returns the band of a utilisation from 0 to 1.
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

/// One late measurement of a service on a worker.
#[derive(Clone, Debug)]
pub struct SlowdownSample {
    /// The service that was measured.
    pub service: ServiceId,
    /// The families that ran beside it at the time that the sample speaks of, with their counts.
    pub families: Vec<(String, u32)>,
    /// The load band at that time.
    pub band: LoadBand,
    /// Measured latency over the service's latency alone at that band, minus one.
    pub slowdown: f64,
    /// The time that the sample speaks of, not of its arrival.
    pub stamped_at: Millis,
}

#[derive(Clone, Copy, Debug, Default)]
struct EffectMean {
    effect: f64,
    count: f64,
}

impl EffectMean {
    fn trust(&self) -> f64 {
        (self.count / TRUST_COUNT).min(1.0)
    }

    fn learn(&mut self, error: f64) {
        let step = (1.0 / (self.count + 1.0)).max(LEAST_STEP);
        self.effect = (self.effect + step * error).clamp(0.0, LARGEST_EFFECT);
        self.count += 1.0;
    }
}

/// Estimates of slowdown for each pair of service and family.
#[derive(Clone, Debug, Default)]
pub struct SlowdownEstimate {
    pairs: HashMap<ServiceId, HashMap<String, [EffectMean; 3]>>,
    families: HashMap<String, [EffectMean; 3]>,
}

impl SlowdownEstimate {
    /// Learns from one measurement; returns false where it is too old to speak of today's load.
    pub fn learn(&mut self, sample: &SlowdownSample, now: Millis) -> bool {
        if now.saturating_sub(sample.stamped_at) > OLDEST_SAMPLE_MS {
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
        let believed = self.effect(service, family, LoadBand::ALL[band]);
        let pairs = self.pairs.entry(service.clone()).or_default();
        let pair = &mut pairs.entry(family.to_owned()).or_default()[band];
        if pair.count == 0.0 {
            pair.effect = believed;
        }
        pair.learn(error);
        let effect = pair.effect;
        let mean = &mut self.families.entry(family.to_owned()).or_default()[band];
        let difference = effect - mean.effect;
        mean.learn(difference);
    }

    fn family_effect(&self, family: &str, band: usize) -> f64 {
        let bands = self.families.get(family);
        bands.map_or(0.0, |bands| believe(bands, band, 0.0))
    }

    /// Predicts the effect of one task of `family` on `service`.
    ///
    /// A pair that was not seen in a band is taken to do there what it did in the nearest band that it was seen in, more
    /// in a busier one and less in a quieter one; a pair that was never seen does what its family does elsewhere.
    pub fn effect(&self, service: &ServiceId, family: &str, band: LoadBand) -> f64 {
        let band = band as usize;
        let fallback = self.family_effect(family, band);
        let pairs = self.pairs.get(service);
        let bands = pairs.and_then(|pairs| pairs.get(family));
        bands.map_or(fallback, |bands| believe(bands, band, fallback))
    }

    /// Predicts the slowdown of `service` beside `families`.
    pub fn predict(&self, service: &ServiceId, families: &[(String, u32)], band: LoadBand) -> f64 {
        families
            .iter()
            .map(|(family, count)| self.effect(service, family, band) * f64::from(*count))
            .sum()
    }
}

/// What three bands' means say of one band; bands that were seen little count little.
fn believe(bands: &[EffectMean; 3], band: usize, fallback: f64) -> f64 {
    let own = &bands[band];
    let others = (0..bands.len()).filter(|other| *other != band);
    let nearest = others
        .filter(|other| bands[*other].count > 0.0)
        .min_by_key(|other| other.abs_diff(band));
    let base = match nearest {
        Some(other) => {
            let steps = band as i32 - other as i32;
            let carried = bands[other].effect * BAND_FACTOR.powi(steps);
            let trust = bands[other].trust();
            carried * trust + fallback * (1.0 - trust)
        }
        None => fallback,
    };
    own.effect * own.trust() + base * (1.0 - own.trust())
}
