//! Timeouts of a call, and the deadlines that follow from them.

use std::time::Duration;

use tokio::time::Instant;

/// The lowest rate at which a request's body is expected to be sent, in bytes per second: the slowest link of a host in use
/// carries 2 Mbit/s. The caller can't see how much of the body has been sent, so this time is added to the timeout in advance.
pub const SLOWEST_UPLOAD_BYTES_PER_S: u64 = 250_000;

/// The timeout of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallTimeout {
    /// The longest time without data from the server. A complete answer may take longer, depending on its size and the link.
    Idle(Duration),
    /// The longest time for the whole call, used where the result is of no use to the waiting caller later.
    Total(Duration),
}

/// The lowest accepted rate of an answer's body, in bytes per second: a tenth of what the slowest link of a host in use carries.
/// Without it, a server that sends a byte from time to time would keep a call open for ever.
pub const SLOWEST_ANSWER_BYTES_PER_S: u64 = 25_000;
/// How many times its idle timeout an answer may take in addition to its time at [`SLOWEST_ANSWER_BYTES_PER_S`].
const ANSWER_SLACK_FACTOR: u32 = 4;

/// The limit on the wait for the next chunk of an answer's body.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ChunkLimit {
    /// The longest time between two chunks, and the time at which the body started. The total time is limited as well, by an
    /// amount that grows with the bytes received.
    Idle(Duration, Instant),
    /// The deadline of the whole call.
    Deadline(Instant),
}

impl CallTimeout {
    /// Returns how long to wait for the head of the answer to a request with a body of `body_bytes`. The time that the server was
    /// asked to wait before it answers comes on top.
    pub(crate) fn head_timeout(self, body_bytes: usize) -> Duration {
        match self {
            CallTimeout::Idle(idle) => idle + transfer_time(body_bytes, SLOWEST_UPLOAD_BYTES_PER_S),
            CallTimeout::Total(total) => total,
        }
    }

    /// Returns the limit on the wait for chunks of the body; `head_deadline` is the deadline that applied to the head.
    pub(crate) fn chunk_limit(self, head_deadline: Instant) -> ChunkLimit {
        match self {
            CallTimeout::Idle(idle) => ChunkLimit::Idle(idle, Instant::now()),
            CallTimeout::Total(_) => ChunkLimit::Deadline(head_deadline),
        }
    }
}

impl ChunkLimit {
    /// Returns the deadline of the next chunk, for a wait that starts now, after `bytes` bytes of the body were received.
    pub(crate) fn next_deadline(self, bytes: usize) -> Instant {
        match self {
            ChunkLimit::Idle(gap, started) => {
                let needed = transfer_time(bytes, SLOWEST_ANSWER_BYTES_PER_S);
                let slowest = started + gap * ANSWER_SLACK_FACTOR + needed;
                slowest.min(Instant::now() + gap)
            }
            ChunkLimit::Deadline(deadline) => deadline,
        }
    }
}

fn transfer_time(bytes: usize, bytes_per_s: u64) -> Duration {
    Duration::from_secs_f64(bytes as f64 / bytes_per_s as f64)
}
