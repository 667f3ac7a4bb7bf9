//! Forecasts how much work filling tasks can do beside serving tasks. Pure: views in, forecast out.
//!
//! Processors are in thousandths of a core, work is in thousandths of a core times milliseconds.

use sandshelf_model::Millis;
use smallvec::SmallVec;

/// The distance between two points of a forecast.
pub(crate) const POINT_MS: Millis = 1_000;
/// The number of points of a forecast: 14 s, one whole period of the serving loads on the deployment with the shorter period.
pub(crate) const POINTS: usize = 14;

/// What one serving step tolerates beside its tasks.
#[derive(Clone, Debug)]
pub(crate) struct HeadroomView {
    /// By which share its load may rise, at each point.
    pub(crate) allowed_increase: [f64; POINTS],
    /// The mean interference coefficient of the filling images at work or waiting.
    pub(crate) coefficient: f64,
}

/// One worker that can run filling tasks.
#[derive(Clone, Debug)]
pub(crate) struct FillWorkerView {
    /// The serving steps there, as indices of [`CapacityView::steps`].
    pub(crate) steps: SmallVec<[usize; 8]>,
    pub(crate) capacity_cpu_millis: f64,
    /// The most processors that filling tasks can use: ordinary tasks leave them, and there is memory for such tasks.
    pub(crate) usable_cpu_millis: f64,
    /// The processors that filling tasks really used at the last reading.
    pub(crate) used_cpu_millis: f64,
    /// Whether filling tasks are slowed there, so that they use all that serving tasks leave.
    pub(crate) is_full: bool,
}

/// All that a capacity forecast depends on.
#[derive(Clone, Debug, Default)]
pub(crate) struct CapacityView {
    pub(crate) steps: Vec<HeadroomView>,
    pub(crate) workers: Vec<FillWorkerView>,
}

/// The work that filling tasks can do until each point.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct CapacityForecast {
    rates: [f64; POINTS],
}

impl FillWorkerView {
    /// The processors that filling tasks can use at a point.
    fn rate(&self, steps: &[HeadroomView], point: usize) -> f64 {
        let limits = self.steps.iter().map(|step| {
            let step = &steps[*step];
            step.allowed_increase[point] / step.coefficient * self.capacity_cpu_millis
        });
        limits.fold(self.usable_cpu_millis, f64::min)
    }
}

impl CapacityForecast {
    /// The forecast; `use_ratio` is the measured ratio of used to forecast processors.
    pub(crate) fn new(view: &CapacityView, use_ratio: f64) -> Self {
        let mut rates = [0.0; POINTS];
        for (point, rate) in rates.iter_mut().enumerate() {
            let workers = view.workers.iter();
            let sum: f64 = workers.map(|worker| worker.rate(&view.steps, point)).sum();
            *rate = sum * use_ratio;
        }
        Self { rates }
    }

    /// The work that fits within this time from now. The newest rates beyond the last point repeat the mean.
    pub(crate) fn until(&self, ahead: Millis) -> f64 {
        let whole = (ahead / POINT_MS) as usize;
        let sum = |points: usize| self.rates[..points].iter().sum::<f64>() * POINT_MS as f64;
        if whole < POINTS {
            let rest = (ahead % POINT_MS) as f64;
            return sum(whole) + self.rates[whole] * rest;
        }
        sum(POINTS) * ahead as f64 / (POINT_MS as f64 * POINTS as f64)
    }
}

/// The ratio of really used to forecast processors on the workers where filling tasks are slowed; none without such workers.
pub(crate) fn observed_use_ratio(view: &CapacityView) -> Option<f64> {
    let full = view.workers.iter().filter(|worker| worker.is_full);
    let (used, forecast) = full.fold((0.0, 0.0), |(used, forecast), worker| {
        (
            used + worker.used_cpu_millis,
            forecast + worker.rate(&view.steps, 0),
        )
    });
    (forecast > 0.0).then(|| used / forecast)
}
