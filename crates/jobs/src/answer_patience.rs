//! How long answers of workers usually take, and when one is overdue.

use sandshelf_model::Millis;

/// How much longer than the mean an answer may take at least. A host whose share of the processor is used up pauses for up to 90 ms,
/// and a call may pass two of them.
const MIN_MARGIN_MS: f64 = 180.0;
/// The part by which one answer moves the mean, and the part by which it moves the mean deviation; those of TCP's retransmission
/// timer.
const MEAN_GAIN: f64 = 0.125;
const DEVIATION_GAIN: f64 = 0.25;
/// How many mean deviations above the mean an answer may take.
const ALLOWED_DEVIATIONS: f64 = 4.0;

/// The mean time of answers and its mean deviation.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AnswerPatience {
    mean_ms: f64,
    deviation_ms: f64,
}

impl AnswerPatience {
    /// Records that an answer took this long.
    pub(crate) fn note_answer(&mut self, took_ms: Millis) {
        let error = took_ms as f64 - self.mean_ms;
        self.mean_ms += error * MEAN_GAIN;
        self.deviation_ms += (error.abs() - self.deviation_ms) * DEVIATION_GAIN;
    }

    /// After how many milliseconds an answer is overdue.
    pub(crate) fn overdue_ms(&self) -> Millis {
        let margin = self.deviation_ms * ALLOWED_DEVIATIONS;
        (self.mean_ms + margin.max(MIN_MARGIN_MS)) as Millis
    }
}
