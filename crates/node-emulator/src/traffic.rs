//! Counters of bytes, messages and connections. Discovery and the servers each have a set of them.

use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::task::{Context, Poll};

use serde::Serialize;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Counters of all connections that discovery or the servers have accepted.
#[derive(Debug, Default)]
pub struct Traffic {
    received: AtomicU64,
    sent: AtomicU64,
    messages: AtomicU64,
    connections: AtomicU64,
}

/// Values of [`Traffic`] at one point in time, or the difference of two.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TrafficTotals {
    /// Number of bytes received on the connections, including the heads of requests.
    pub received_bytes: u64,
    /// Number of bytes sent on the connections, including the heads of responses.
    pub sent_bytes: u64,
    /// Number of requests received, whether or not they have a response yet.
    pub messages: u64,
    /// Number of connections that were accepted.
    pub connections: u64,
}

impl TrafficTotals {
    /// Returns the difference to earlier values of the same counters.
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
    /// Counts a received request.
    pub fn count_message(&self) {
        self.messages.fetch_add(1, Relaxed);
    }

    /// Returns the current values.
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

/// A connection that counts the bytes that it receives and sends.
pub struct CountedStream<T> {
    stream: T,
    traffic: Arc<Traffic>,
}

impl<T> CountedStream<T> {
    /// Wraps a new connection, which is counted in `traffic` together with all its bytes.
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
    /// Counts the bytes of a completed write.
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
