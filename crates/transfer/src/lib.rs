//! HTTP calls with an idle timeout (time without data from the server) instead of a limit on the whole transfer.
//!
//! How long a transfer takes depends on its size and on the link. A total timeout shorter than that aborts every attempt, and
//! each retry starts from the first byte: over 10 Mbit/s a configuration of 3,000 queues (0.85 MB) needs 0.7 s and never arrived
//! with a timeout of 0.5 s. [`send_call`] aborts a call when the server has sent nothing for the idle timeout, and its fault
//! reports how much of the answer was received.

mod call;
mod fault;
mod timeout;

pub use call::{send_call, OpenAnswer};
pub use fault::{AnswerProgress, TransferFault};
pub use timeout::{CallTimeout, SLOWEST_UPLOAD_BYTES_PER_S};
