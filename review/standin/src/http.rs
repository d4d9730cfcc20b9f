//! HTTP/1.1 for the stand-ins: one message at a time over blocking sockets.

use std::io::{self, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Start line and headers, with lower-case names, of a message.
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let name = name.to_ascii_lowercase();
        self.headers.iter().find(|(n, _)| *n == name).map(|(_, v)| v.as_str())
    }

    /// Second word of the start line: the path of a request or the status of a response.
    pub fn second(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.second().parse().unwrap_or(0)
    }
}

/// Reads a message; none if the connection ends before its first byte.
pub fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            break at;
        }
        if !fill(stream, buffer)? {
            return if buffer.is_empty() {
                Ok(None)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let start = lines.next().unwrap_or_default().to_owned();
    let headers: Vec<_> = lines
        .filter_map(|l| l.split_once(':'))
        .map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned()))
        .collect();
    buffer.drain(..end + 4);
    let length = headers.iter().find(|(n, _)| n == "content-length");
    let length = length.and_then(|(_, v)| v.parse().ok()).unwrap_or(0);
    while buffer.len() < length {
        if !fill(stream, buffer)? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    buffer.drain(..length);
    Ok(Some(Message { start, headers }))
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<bool> {
    let mut part = [0; 16 << 10];
    let n = stream.read(&mut part)?;
    buffer.extend_from_slice(&part[..n]);
    Ok(n > 0)
}

/// Writes a message with a `content-length`.
pub fn write(
    stream: &mut TcpStream,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = format!("{start}\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("content-length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Sends a request on a connection of its own and reads the response; gives up after `limit` without
/// a byte.
pub fn call(
    to: SocketAddr,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, limit)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let mut all = vec![("host", "standin.example")];
    let named = headers.iter().any(|(n, _)| n.eq_ignore_ascii_case("host"));
    all.retain(|_| !named);
    all.extend_from_slice(headers);
    write(&mut stream, &format!("{start} HTTP/1.1"), &all, body)?;
    read(&mut stream, &mut Vec::new())?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
