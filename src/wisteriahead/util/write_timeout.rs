//! Ends a connection whose other side has stopped reading.
//!
//! A peer that asks and never reads would hold its connection, and the answers waiting
//! in it, for ever. Once a write has made no progress for the time allowed, it fails.

use crate::prelude::*;
use std::future::Future as _;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep, sleep};

/// A connection whose writes fail after too long without progress.
pub struct WriteTimeout<S> {
    stream: S,
    allowed: Span,
    timer: Option<Pin<Box<Sleep>>>,
}

impl<S> WriteTimeout<S> {
    /// Wraps a connection.
    pub fn new(stream: S, allowed: Span) -> Self {
        Self { stream, allowed, timer: None }
    }

    /// Starts the timer at the first write that must wait, and fails when it has run out.
    fn wait<T>(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<T>> {
        let allowed = self.allowed;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(allowed.to_std())));
        ready!(timer.as_mut().poll(cx));
        timer.as_mut().reset(Instant::now() + allowed.to_std());
        let cause = format!("the other side read nothing for {allowed}");
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, cause)))
    }

    fn watch<T>(&mut self, cx: &mut Context<'_>, done: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if done.is_pending() {
            return self.wait(cx);
        }
        self.timer = None;
        done
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
        let done = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.watch(cx, done)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let done = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.watch(cx, done)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let done = Pin::new(&mut self.stream).poll_flush(cx);
        self.watch(cx, done)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let done = Pin::new(&mut self.stream).poll_shutdown(cx);
        self.watch(cx, done)
    }
}
