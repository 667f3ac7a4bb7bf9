//! The verdict on whether a request or an attempt was run.

use serde::{Deserialize, Serialize};

/// What is known about whether a request or an attempt ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunVerdict {
    /// It did not run, and this attempt will not run later either.
    NotRun,
    /// It ran, and its complete answer was received.
    Ran,
    /// It may have run; no complete answer was received.
    MayHaveRun,
}

impl RunVerdict {
    /// Returns the verdict's name as used in response headers, logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            RunVerdict::NotRun => "not-run",
            RunVerdict::Ran => "ran",
            RunVerdict::MayHaveRun => "may-have-run",
        }
    }

    /// Returns whether the request may be tried again after this verdict.
    ///
    /// `repeatable` tells whether running it twice is acceptable; it only matters after [`RunVerdict::MayHaveRun`].
    pub fn allows_retry(self, repeatable: bool) -> bool {
        match self {
            RunVerdict::NotRun => true,
            RunVerdict::Ran => false,
            RunVerdict::MayHaveRun => repeatable,
        }
    }
}
