//! Sends one HTTP call and reads the answer's head, then its body in chunks.

use std::time::Duration;

use reqwest::{RequestBuilder, Response, StatusCode};
use tokio::time::{timeout_at, Instant};

use crate::fault::{AnswerProgress, TransferFault};
use crate::timeout::{CallTimeout, ChunkLimit};

/// An answer whose head was received; its body can be read.
#[derive(Debug)]
pub struct OpenAnswer {
    response: Response,
    limit: ChunkLimit,
}

/// Sends a request and waits for the head of its answer.
///
/// `wait` is how long the server was asked to wait before it answers; it is added to the timeout.
///
/// # Errors
/// Fails if no connection is established, if the connection breaks, or if the head is not received in time.
pub async fn send_call(
    request: RequestBuilder,
    wait: Duration,
    timeout: CallTimeout,
) -> Result<OpenAnswer, TransferFault> {
    let no_progress = AnswerProgress::default();
    let (client, built) = request.build_split();
    let request = built.map_err(|error| TransferFault::of(&error, no_progress))?;
    let body = request.body().and_then(|body| body.as_bytes());
    let head_limit = wait + timeout.head_timeout(body.map_or(0, <[u8]>::len));
    let head_deadline = Instant::now() + head_limit;
    match timeout_at(head_deadline, client.execute(request)).await {
        Ok(Ok(response)) => Ok(OpenAnswer {
            response,
            limit: timeout.chunk_limit(head_deadline),
        }),
        Ok(Err(error)) => Err(TransferFault::of(&error, no_progress)),
        Err(_) => Err(TransferFault::Silent(no_progress)),
    }
}

impl OpenAnswer {
    /// Returns the HTTP status of the answer.
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// Reads the body, of at most `max_bytes`, as long as chunks of it arrive within the call's timeout.
    ///
    /// # Errors
    /// Fails if the body is too large or incomplete; the fault reports how much of it was received.
    pub async fn read(mut self, max_bytes: usize) -> Result<Vec<u8>, TransferFault> {
        let content_length = self.response.content_length().unwrap_or(0);
        let content_length = usize::try_from(content_length).unwrap_or(usize::MAX);
        if content_length > max_bytes {
            return Err(TransferFault::TooLarge(progress_of(&[])));
        }
        let mut body = Vec::with_capacity(content_length);
        let mut last_chunk_at = Instant::now();
        loop {
            let chunk_deadline = self.limit.next_deadline(body.len());
            match timeout_at(chunk_deadline, self.response.chunk()).await {
                Ok(Ok(Some(chunk))) => body.extend_from_slice(&chunk),
                Ok(Ok(None)) => return Ok(body),
                Ok(Err(error)) => return Err(TransferFault::of(&error, progress_of(&body))),
                Err(_) => return Err(self.limit.fault(last_chunk_at, progress_of(&body))),
            }
            last_chunk_at = Instant::now();
            if body.len() > max_bytes {
                return Err(TransferFault::TooLarge(progress_of(&body)));
            }
        }
    }
}

impl ChunkLimit {
    /// Returns the fault for a body that was aborted because this limit was exceeded. A server that sent part of the body before
    /// the deadline of the whole call counts as late, not as silent.
    fn fault(self, last_chunk_at: Instant, progress: AnswerProgress) -> TransferFault {
        match self {
            ChunkLimit::Deadline(_) if progress.bytes > 0 => TransferFault::Late(progress),
            ChunkLimit::Idle(idle, _) if last_chunk_at.elapsed() < idle => {
                TransferFault::Late(progress)
            }
            ChunkLimit::Idle(..) | ChunkLimit::Deadline(_) => TransferFault::Silent(progress),
        }
    }
}

fn progress_of(body: &[u8]) -> AnswerProgress {
    AnswerProgress {
        begun: true,
        bytes: body.len() as u64,
    }
}
