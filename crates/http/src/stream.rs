//! A connection's stream that notes what happens on it, and reads nothing while an answer waits for the client.

use std::io::{Error, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::connections::ConnectionState;

/// The stream of a connection.
#[derive(Debug)]
pub(crate) struct WatchedStream {
    stream: TcpStream,
    state: Arc<ConnectionState>,
}

impl WatchedStream {
    pub(crate) fn new(stream: TcpStream, state: Arc<ConnectionState>) -> Self {
        Self { stream, state }
    }

    /// Notes the outcome of a write.
    fn note_write(&mut self, written: &Poll<Result<usize, Error>>) {
        match written {
            Poll::Pending => self.state.note_write(true),
            Poll::Ready(Ok(_)) => self.state.note_write(false),
            Poll::Ready(Err(_)) => {}
        }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<(), Error>> {
        // Requests that are sent without taking answers would otherwise pile up answers.
        if self.state.is_blocked() {
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.state.note_read();
        }
        read
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize, Error>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.note_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize, Error>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.note_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<(), Error>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        if let Poll::Ready(Ok(())) = flushed {
            if self.state.note_flushed() {
                // Reading and the next request were put off.
                context.waker().wake_by_ref();
            }
        }
        flushed
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Result<(), Error>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
