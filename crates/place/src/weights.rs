//! The operator's weights for placement decisions.

/// The relative importance of each optimisation goal; a larger weight matters more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlaceWeights {
    /// Weight of the services' tail latency.
    pub tail: f64,
    /// Weight of batch throughput.
    pub throughput: f64,
    /// Weight of evictions, which waste work.
    pub evictions: f64,
}

impl Default for PlaceWeights {
    fn default() -> Self {
        Self {
            tail: 3.0,
            throughput: 2.0,
            evictions: 2.0,
        }
    }
}
