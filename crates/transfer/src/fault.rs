//! Faults of HTTP calls that did not receive a complete answer.

use std::fmt;

/// How much of an answer was received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerProgress {
    /// Whether the status line and headers were received.
    pub begun: bool,
    /// Number of body bytes received.
    pub bytes: u64,
}

/// The reason why a call did not receive a complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferFault {
    /// The connection to the server failed: nothing was sent.
    Unreachable,
    /// The connection was not established in time: nothing was sent.
    ConnectTimeout,
    /// The server sent no further data within the call's timeout.
    Silent(AnswerProgress),
    /// The server was still sending when the time for the call or the answer ran out.
    Late(AnswerProgress),
    /// The answer's body is larger than the caller accepts.
    TooLarge(AnswerProgress),
    /// The connection broke, or the received data is not valid HTTP.
    Broken(AnswerProgress),
}

impl TransferFault {
    /// Returns whether nothing was sent, so that the server has certainly not executed the call.
    pub fn is_unsent(self) -> bool {
        matches!(
            self,
            TransferFault::Unreachable | TransferFault::ConnectTimeout
        )
    }

    /// Returns how much of the answer was received.
    pub fn progress(self) -> AnswerProgress {
        match self {
            TransferFault::Unreachable | TransferFault::ConnectTimeout => AnswerProgress::default(),
            TransferFault::Silent(progress)
            | TransferFault::Late(progress)
            | TransferFault::TooLarge(progress)
            | TransferFault::Broken(progress) => progress,
        }
    }

    pub(crate) fn of(error: &reqwest::Error, progress: AnswerProgress) -> Self {
        match (error.is_connect(), error.is_timeout()) {
            (true, true) => TransferFault::ConnectTimeout,
            (true, false) => TransferFault::Unreachable,
            (false, _) => TransferFault::Broken(progress),
        }
    }
}

impl fmt::Display for TransferFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            TransferFault::Unreachable => "the server can't be reached",
            TransferFault::ConnectTimeout => "the connection was not established in time",
            TransferFault::Silent(_) => "the server sent no further data within the time limit",
            TransferFault::Late(_) => "the answer was not complete in time",
            TransferFault::TooLarge(_) => "the answer is too large",
            TransferFault::Broken(_) => "the connection broke or the answer is not valid HTTP",
        })?;
        let progress = self.progress();
        if progress.begun {
            write!(
                formatter,
                "; {} bytes of the answer were received",
                progress.bytes
            )?;
        }
        Ok(())
    }
}

impl std::error::Error for TransferFault {}
