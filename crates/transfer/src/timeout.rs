//! How long a call may take.

use std::time::Duration;

use tokio::time::Instant;

/// The slowest rate at which a request's body is expected to get through, in bytes a second: the thinnest link of a host in use
/// carries 2 Mbit/s. How much of a body has got through can't be seen from here, so that its time is allowed for beforehand.
pub const SLOWEST_UPLOAD_BYTES_PER_S: u64 = 250_000;

/// How long a call may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallTimeout {
    /// Until the server has sent nothing for so long; an answer may take as long as its size needs on the link.
    Idle(Duration),
    /// So long in all: somebody waits for the result and has no use for it later.
    Total(Duration),
}

/// The slowest rate at which an answer may come, in bytes a second: a tenth of what the thinnest link of a host in use carries.
/// A server that sends a byte from time to time would keep a call for ever.
pub const SLOWEST_ANSWER_BYTES_PER_S: u64 = 25_000;
/// By how many times its patience an answer may take longer than that rate allows.
const LATENESS_FACTOR: u32 = 4;

/// What bounds the wait for the next piece of an answer.
#[derive(Clone, Copy, Debug)]
pub(crate) enum PieceLimit {
    /// The time since the piece before, and for all that has come a time that grows with it, from this moment on.
    Gap(Duration, Instant),
    /// The end of the whole call.
    End(Instant),
}

impl CallTimeout {
    /// How long the head of the answer to a request with such a body is waited for, beside what the server was asked to wait.
    pub(crate) fn head_limit(self, body_bytes: usize) -> Duration {
        match self {
            CallTimeout::Idle(silence) => {
                silence + transfer_time(body_bytes, SLOWEST_UPLOAD_BYTES_PER_S)
            }
            CallTimeout::Total(whole) => whole,
        }
    }

    /// What bounds the wait for pieces of the body, where the head is waited for until `head_until`.
    pub(crate) fn piece_limit(self, head_until: Instant) -> PieceLimit {
        match self {
            CallTimeout::Idle(silence) => PieceLimit::Gap(silence, Instant::now()),
            CallTimeout::Total(_) => PieceLimit::End(head_until),
        }
    }
}

impl PieceLimit {
    /// Until when a piece is waited for from now on, where so many bytes have come.
    pub(crate) fn until(self, bytes: usize) -> Instant {
        match self {
            PieceLimit::Gap(gap, begun) => {
                let needed = transfer_time(bytes, SLOWEST_ANSWER_BYTES_PER_S);
                let slowest = begun + gap * LATENESS_FACTOR + needed;
                slowest.min(Instant::now() + gap)
            }
            PieceLimit::End(end) => end,
        }
    }
}

fn transfer_time(bytes: usize, bytes_per_s: u64) -> Duration {
    Duration::from_secs_f64(bytes as f64 / bytes_per_s as f64)
}
