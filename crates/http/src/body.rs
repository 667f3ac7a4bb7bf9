//! Reads the body of a request within a limit of size, of time and of the memory for all bodies.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::timeout;

use crate::budget::{BodyBudget, BodyReader, OutOfMemory};
use crate::connections::ConnectionState;
use crate::limits::LimitHit;

/// A piece of a body below this size is tiny, in bytes: its overhead exceeds its own cost.
const TINY_PIECE_BYTES: usize = 64;
/// After how many tiny pieces a body waits for its next turn.
const TINY_PIECES_PER_TURN: u32 = 1_024;
/// The smallest memory for a body, in bytes.
const MIN_BODY_CAPACITY: usize = 1_024;

/// The limits of one body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyLimit {
    /// The largest size, in bytes.
    pub max_bytes: u64,
    /// The time limit.
    pub time: Duration,
}

/// The reason why a body could not be read. Nothing was done with the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFault {
    /// It is larger than its limit.
    TooLarge,
    /// It did not come whole, or is malformed.
    Broken,
    /// It did not come in time.
    Late,
    /// Bodies hold as much memory as they may.
    NoMemory,
}

impl fmt::Display for BodyFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            BodyFault::TooLarge => "the body is too large",
            BodyFault::Broken => "the body did not come whole",
            BodyFault::Late => "the body did not come in time",
            BodyFault::NoMemory => "too many bodies are arriving",
        })
    }
}

impl std::error::Error for BodyFault {}

/// The bytes of a body and the memory that they take up, which is given back with the last reference to them.
#[derive(Debug, Default)]
pub(crate) struct HeldBytes {
    bytes: Vec<u8>,
    permit: Option<OwnedSemaphorePermit>,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl HeldBytes {
    /// Appends a piece; the memory grows geometrically, so its cost doesn't depend on the size of the pieces.
    async fn append(
        &mut self,
        piece: &[u8],
        max_bytes: usize,
        reader: &BodyReader,
    ) -> Result<(), BodyFault> {
        let needed = self.bytes.len() + piece.len();
        if needed > max_bytes {
            return Err(BodyFault::TooLarge);
        }
        let capacity = self.bytes.capacity();
        if needed > capacity {
            let grown = (capacity * 2).min(max_bytes);
            let grown = grown.max(needed).max(MIN_BODY_CAPACITY);
            let permit = reader.take(grown - capacity).await?;
            match &mut self.permit {
                Some(held) => held.merge(permit),
                None => self.permit = Some(permit),
            }
            self.bytes.reserve_exact(grown - self.bytes.len());
        }
        self.bytes.extend_from_slice(piece);
        Ok(())
    }
}

/// A body that another server sends for a client and that is held until the client has taken it. It takes part in the memory of bodies.
#[derive(Debug)]
pub struct RelayedBody {
    held: HeldBytes,
    reader: BodyReader,
    max_bytes: usize,
}

impl RelayedBody {
    /// Creates an empty body of at most so many bytes.
    pub fn new(budget: &BodyBudget, max_bytes: u64) -> Self {
        Self {
            held: HeldBytes::default(),
            reader: budget.enter_lasting(),
            max_bytes: usize::try_from(max_bytes).unwrap_or(usize::MAX),
        }
    }

    /// Appends a piece.
    ///
    /// # Errors
    /// The body is larger than its limit, or bodies hold as much memory as they may.
    pub async fn append(&mut self, piece: &[u8]) -> Result<(), BodyFault> {
        let Self {
            held,
            reader,
            max_bytes,
        } = self;
        held.append(piece, *max_bytes, reader).await
    }

    /// The whole body; its memory is given back with the last reference to it.
    pub fn into_bytes(self) -> Bytes {
        Bytes::from_owner(self.held)
    }
}

impl From<OutOfMemory> for BodyFault {
    fn from(_: OutOfMemory) -> Self {
        BodyFault::NoMemory
    }
}

/// The body of a request that has not been read.
///
/// While the body is arriving, its connection may be closed to make room for another; once it is read or dropped, the request is answered
/// in any case.
#[derive(Debug)]
pub struct RequestBody {
    incoming: Incoming,
    budget: BodyBudget,
    connection: Arc<ConnectionState>,
}

impl RequestBody {
    pub(crate) fn new(
        incoming: Incoming,
        budget: BodyBudget,
        connection: Arc<ConnectionState>,
    ) -> Self {
        Self {
            incoming,
            budget,
            connection,
        }
    }

    /// Reads the whole body. Its memory is given back with the last reference to it.
    ///
    /// # Errors
    /// The body exceeds one of its limits, or the client does not send it whole.
    pub async fn read(mut self, limit: BodyLimit) -> Result<Bytes, BodyFault> {
        let max_bytes = usize::try_from(limit.max_bytes).unwrap_or(usize::MAX);
        if self.incoming.size_hint().lower() > limit.max_bytes {
            return Err(BodyFault::TooLarge);
        }
        let reader = self.budget.enter();
        let read = timeout(limit.time, self.read_pieces(max_bytes, &reader)).await;
        let read = read.unwrap_or(Err(BodyFault::Late));
        match read {
            // The connection is being closed to make room, so there is nobody to answer.
            Ok(_) if !self.connection.begin_answer() => Err(BodyFault::Broken),
            Err(BodyFault::NoMemory) => {
                self.connection.report(LimitHit::BodyMemory);
                Err(BodyFault::NoMemory)
            }
            read => read.map(Bytes::from_owner),
        }
    }

    async fn read_pieces(
        &mut self,
        max_bytes: usize,
        reader: &BodyReader,
    ) -> Result<HeldBytes, BodyFault> {
        let mut body = HeldBytes::default();
        let mut tiny_pieces = 0;
        loop {
            let frame = tokio::select! {
                frame = self.incoming.frame() => frame,
                () = reader.replaced() => return Err(BodyFault::NoMemory),
            };
            let Some(frame) = frame else {
                return Ok(body);
            };
            let frame = frame.map_err(|_| BodyFault::Broken)?;
            let Some(piece) = frame.data_ref() else {
                continue;
            };
            if piece.len() < TINY_PIECE_BYTES {
                tiny_pieces += 1;
            }
            body.append(piece, max_bytes, reader).await?;
            if tiny_pieces >= TINY_PIECES_PER_TURN {
                tiny_pieces = 0;
                tokio::select! {
                    () = self.budget.end_tiny_turn() => {}
                    () = reader.replaced() => return Err(BodyFault::NoMemory),
                }
            }
        }
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        self.connection.begin_answer();
    }
}
