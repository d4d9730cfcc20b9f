//! A write timeout for connections whose peer has stopped reading.
//!
//! Without it, a peer that sends requests and never reads would hold its connection and the
//! responses queued in it forever. A write that makes no progress within the timeout fails.

use crate::prelude::*;
use std::future::Future as _;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep, sleep};

/// A connection whose writes fail after a time without progress.
pub struct WriteTimeout<S> {
    stream: S,
    timeout: Span,
    /// Runs while a write is pending.
    timer: Option<Pin<Box<Sleep>>>,
}

impl<S> WriteTimeout<S> {
    /// Wraps a connection; `timeout` is the longest time without progress of a write.
    pub fn new(stream: S, timeout: Span) -> Self {
        Self { stream, timeout, timer: None }
    }

    /// Starts the timer if it is not running, and fails once it has expired.
    fn poll_timeout<T>(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<T>> {
        let timeout = self.timeout;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(timeout.to_std())));
        ready!(timer.as_mut().poll(cx));
        timer.as_mut().reset(Instant::now() + timeout.to_std());
        let cause = format!("the peer read nothing for {timeout}");
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, cause)))
    }

    /// Applies the timeout to a pending result; any other result stops the timer.
    fn with_timeout<T>(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_pending() {
            return self.poll_timeout(cx);
        }
        self.timer = None;
        result
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for WriteTimeout<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for WriteTimeout<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.with_timeout(cx, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.with_timeout(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_flush(cx);
        self.with_timeout(cx, result)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_shutdown(cx);
        self.with_timeout(cx, result)
    }
}
