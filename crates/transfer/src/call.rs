//! One call: its head, then its body piece by piece.

use std::time::Duration;

use reqwest::{RequestBuilder, Response, StatusCode};
use tokio::time::{timeout_at, Instant};

use crate::fault::{AnswerProgress, TransferFault};
use crate::timeout::{CallTimeout, PieceLimit};

/// An answer whose head has come.
#[derive(Debug)]
pub struct OpenAnswer {
    response: Response,
    limit: PieceLimit,
}

/// Sends a request and waits for the head of its answer; the server was asked to wait for so long before it answers.
///
/// # Errors
/// No connection, or no head in time.
pub async fn send_call(
    request: RequestBuilder,
    wait: Duration,
    patience: CallTimeout,
) -> Result<OpenAnswer, TransferFault> {
    let nothing = AnswerProgress::default();
    let (client, built) = request.build_split();
    let request = built.map_err(|error| TransferFault::of(&error, nothing))?;
    let body = request.body().and_then(|body| body.as_bytes());
    let limit = wait + patience.head_limit(body.map_or(0, <[u8]>::len));
    let until = Instant::now() + limit;
    match timeout_at(until, client.execute(request)).await {
        Ok(Ok(response)) => Ok(OpenAnswer {
            response,
            limit: patience.piece_limit(until),
        }),
        Ok(Err(error)) => Err(TransferFault::of(&error, nothing)),
        Err(_) => Err(TransferFault::Silent(nothing)),
    }
}

impl OpenAnswer {
    /// The status.
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// Reads a body of so many bytes at most, for as long as pieces of it keep coming within the call's patience.
    ///
    /// # Errors
    /// It did not come whole; the fault says how much of it had come.
    pub async fn read(mut self, most_bytes: usize) -> Result<Vec<u8>, TransferFault> {
        let announced = self.response.content_length().unwrap_or(0);
        let announced = usize::try_from(announced).unwrap_or(usize::MAX);
        if announced > most_bytes {
            return Err(TransferFault::TooLarge(progress_of(&[])));
        }
        let mut body = Vec::with_capacity(announced);
        let mut last_piece = Instant::now();
        loop {
            let until = self.limit.until(body.len());
            match timeout_at(until, self.response.chunk()).await {
                Ok(Ok(Some(piece))) => body.extend_from_slice(&piece),
                Ok(Ok(None)) => return Ok(body),
                Ok(Err(error)) => return Err(TransferFault::of(&error, progress_of(&body))),
                Err(_) => return Err(self.limit.fault(last_piece, progress_of(&body))),
            }
            last_piece = Instant::now();
            if body.len() > most_bytes {
                return Err(TransferFault::TooLarge(progress_of(&body)));
            }
        }
    }
}

impl PieceLimit {
    /// Why a body is given up when this limit is over: a server that sent a part of it before the end of the whole call is not
    /// silent.
    fn fault(self, last_piece: Instant, progress: AnswerProgress) -> TransferFault {
        match self {
            PieceLimit::End(_) if progress.bytes > 0 => TransferFault::Late(progress),
            PieceLimit::Gap(gap, _) if last_piece.elapsed() < gap => TransferFault::Late(progress),
            PieceLimit::Gap(..) | PieceLimit::End(_) => TransferFault::Silent(progress),
        }
    }
}

fn progress_of(body: &[u8]) -> AnswerProgress {
    AnswerProgress {
        begun: true,
        bytes: body.len() as u64,
    }
}
