//! Counters of bytes, messages and connections by role (discovery, servers).

use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::task::{Context, Poll};

use serde::Serialize;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Counters of one role.
#[derive(Debug, Default)]
pub struct Traffic {
    received: AtomicU64,
    sent: AtomicU64,
    messages: AtomicU64,
    connections: AtomicU64,
}

/// A reading of [`Traffic`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TrafficTotals {
    /// Bytes received on its connections, heads included.
    pub received_bytes: u64,
    /// Bytes sent on its connections, heads included.
    pub sent_bytes: u64,
    /// Requests answered, or to be answered.
    pub messages: u64,
    /// Connections accepted.
    pub connections: u64,
}

impl TrafficTotals {
    /// The difference to an earlier reading.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self {
            received_bytes: self.received_bytes - earlier.received_bytes,
            sent_bytes: self.sent_bytes - earlier.sent_bytes,
            messages: self.messages - earlier.messages,
            connections: self.connections - earlier.connections,
        }
    }
}

impl Traffic {
    /// Counts a request.
    pub fn count_message(&self) {
        self.messages.fetch_add(1, Relaxed);
    }

    /// The totals so far.
    #[must_use]
    pub fn totals(&self) -> TrafficTotals {
        TrafficTotals {
            received_bytes: self.received.load(Relaxed),
            sent_bytes: self.sent.load(Relaxed),
            messages: self.messages.load(Relaxed),
            connections: self.connections.load(Relaxed),
        }
    }
}

/// A stream whose bytes are counted.
pub struct CountedStream<T> {
    stream: T,
    traffic: Arc<Traffic>,
}

impl<T> CountedStream<T> {
    /// Counts a new connection and all that will pass on it.
    pub fn new(stream: T, traffic: Arc<Traffic>) -> Self {
        traffic.connections.fetch_add(1, Relaxed);
        Self { stream, traffic }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for CountedStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.traffic.received.fetch_add((buffer.filled().len() - before) as u64, Relaxed);
        polled
    }
}

impl<T: AsyncWrite + Unpin> CountedStream<T> {
    fn count_written(&self, polled: Poll<std::io::Result<usize>>) -> Poll<std::io::Result<usize>> {
        if let Poll::Ready(Ok(written)) = &polled {
            self.traffic.sent.fetch_add(*written as u64, Relaxed);
        }
        polled
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for CountedStream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.count_written(polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.count_written(polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
