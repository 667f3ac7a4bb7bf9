//! Faults of calls to the platform's services.

use std::fmt;

/// Why a call failed, and whether it may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// The service could not be reached, so the call was never sent.
    NotSent,
    /// The call was sent and no complete and valid answer came; it may have taken effect.
    Unknown,
    /// The service refused the call (HTTP 4xx except 404); it did not take effect.
    Refused,
    /// The requested object or resource does not exist (HTTP 404).
    Missing,
}

impl fmt::Display for StoreFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            StoreFault::NotSent => "the platform's service can't be reached; nothing was sent",
            StoreFault::Unknown => {
                "the platform's service gave no whole answer; the call may have taken effect"
            }
            StoreFault::Refused => "the platform's service refused the call",
            StoreFault::Missing => "the platform's service has no such thing",
        })
    }
}

impl std::error::Error for StoreFault {}
