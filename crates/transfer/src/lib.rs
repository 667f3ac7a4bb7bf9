//! HTTP calls whose time limits bound a server's silence, not the length of a transfer.
//!
//! How long a transfer takes depends on its size and on the link. A limit on the whole of it that is shorter cuts it each time it
//! is tried, and each try begins from nothing: over 10 Mbit/s a configuration of 3,000 queues (0.85 MB) needs 0.7 s and never came
//! with a limit of 0.5 s. [`send_call`] gives a call up when the server has sent nothing for as long as its patience lasts, and
//! tells how far the answer had come.

mod call;
mod fault;
mod timeout;

pub use call::{send_call, OpenAnswer};
pub use fault::{AnswerProgress, TransferFault};
pub use timeout::{CallTimeout, SLOWEST_UPLOAD_BYTES_PER_S};
