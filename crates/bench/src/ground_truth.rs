//! Ground truth of the simulation, hidden from the code under test: slowdown of each service by each job family, and spread of service times.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use sandshelf_place::LoadBand;

/// The simulated services. Each one runs on a third of the workers.
pub const SERVICES: [&str; 3] = ["pricing", "lots", "tallies"];
/// The families of simulated batch jobs.
pub const FAMILIES: [&str; 6] = ["reconcile", "index", "report", "crawl", "train", "pack"];
/// Slowdown minus one that one task of a family causes to a service in the highest load band, by service and family.
const PEAK_SLOWDOWNS: [[f64; 6]; 3] = [
    [0.45, 0.02, 0.10, 0.02, 0.25, 0.02],
    [0.02, 0.50, 0.02, 0.15, 0.02, 0.20],
    [0.10, 0.02, 0.40, 0.25, 0.02, 0.02],
];
/// Fraction of the peak slowdown that applies in each load band, from the lowest band to the highest.
const BAND_FRACTIONS: [f64; 3] = [0.2, 0.5, 1.0];
/// Slowdown minus one that one task of the family `noisy` causes to every service in the highest load band.
const NOISY_SLOWDOWN: f64 = 0.35;
/// Standard deviation of the logarithm of service times.
const SERVICE_TIME_LOG_STD_DEV: f64 = 0.35;

/// Slowdown minus one that one task of `family` causes to the service at position `service` of [`SERVICES`].
///
/// The family `noisy` slows down every service. Any other family that is not in [`FAMILIES`] causes no slowdown.
pub fn true_slowdown(service: usize, family: &str, band: LoadBand) -> f64 {
    let fraction = BAND_FRACTIONS[band as usize];
    match FAMILIES.iter().position(|known| *known == family) {
        Some(position) => PEAK_SLOWDOWNS[service][position] * fraction,
        None if family == "noisy" => NOISY_SLOWDOWN * fraction,
        None => 0.0,
    }
}

/// Draws the factor by which one service time differs from its mean: lognormal, with a mean of about 1.
pub fn service_time_factor(rng: &mut ChaCha8Rng) -> f64 {
    // The sum of twelve uniform draws from 0 to 1 has an almost normal distribution.
    let sum: f64 = (0..12).map(|_| rng.random_range(0.0..1.0)).sum();
    let normal = sum - 6.0;
    (normal * SERVICE_TIME_LOG_STD_DEV - SERVICE_TIME_LOG_STD_DEV * SERVICE_TIME_LOG_STD_DEV / 2.0)
        .exp()
}
