//! Sockets of connections between hosts, and what they count.

use super::traffic::Traffic;
use crate::prelude::*;
use crate::util::write_timeout::WriteTimeout;
use socket2::SockRef;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context as TaskContext, Poll};
use tokio::io::{AsyncRead, AsyncWrite, BufReader, ReadBuf};
use tokio::net::TcpStream;

/// Time after which a connection is closed whose host acknowledges nothing, or reads nothing.
const UNACKNOWLEDGED_TIMEOUT: Span = Span::secs(2);
/// Bytes read by one system call; TLS alone reads a quarter of that at a time.
const READ_BYTES: usize = 16 << 10;

/// A connection that TLS runs on.
pub type Socket = BufReader<WriteTimeout<Counted>>;

/// Prepares a connection to another host or from it.
///
/// # Errors
///
/// Fails if the system refuses an option of the socket.
pub fn prepare(stream: TcpStream, traffic: Arc<Traffic>) -> io::Result<Socket> {
    stream.set_nodelay(true)?;
    let timeout = Some(UNACKNOWLEDGED_TIMEOUT.to_std());
    SockRef::from(&stream).set_tcp_user_timeout(timeout)?;
    let counted = Counted { stream, traffic };
    Ok(BufReader::with_capacity(READ_BYTES, WriteTimeout::new(counted, UNACKNOWLEDGED_TIMEOUT)))
}

/// A connection whose bytes and system calls are counted.
pub struct Counted {
    stream: TcpStream,
    traffic: Arc<Traffic>,
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        if let Poll::Ready(Ok(())) = result {
            self.traffic.count_read(buf.filled().len() - before);
        }
        result
    }
}

impl Counted {
    fn count_write(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = result {
            self.traffic.count_write(bytes);
        }
        result
    }
}

impl AsyncWrite for Counted {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.count_write(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.count_write(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut TaskContext<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut TaskContext<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
