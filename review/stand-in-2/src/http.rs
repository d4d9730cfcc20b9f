//! Reads and writes messages of HTTP/1.1.

use std::io::{self, ErrorKind, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or a response.
#[derive(Clone, Debug)]
pub struct Message {
    /// First line.
    pub start: String,
    /// Header fields.
    pub headers: Vec<(String, String)>,
    /// Complete body.
    pub body: Vec<u8>,
}

impl Message {
    /// Value of a header field.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Path of a request.
    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

/// Bytes of a message with a body of known length.
pub fn format(start: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{start}\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    [text.as_bytes(), body].concat()
}

/// Reads one message until `deadline`. What was read beyond it stays in `rest`.
pub fn read(stream: &mut TcpStream, rest: &mut Vec<u8>, deadline: Instant) -> io::Result<Message> {
    let head = loop {
        if let Some(at) = rest.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        more(stream, rest, deadline)?;
    };
    let text = String::from_utf8_lossy(&rest[..head]).into_owned();
    rest.drain(..head);
    let mut lines = text.lines();
    let start = lines.next().unwrap_or("").to_owned();
    let fields = lines.filter_map(|line| line.split_once(':'));
    let headers = fields.map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned())).collect();
    let mut message = Message { start, headers, body: Vec::new() };
    let length = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    while rest.len() < length {
        more(stream, rest, deadline)?;
    }
    message.body = rest.drain(..length).collect();
    Ok(message)
}

fn more(stream: &mut TcpStream, rest: &mut Vec<u8>, deadline: Instant) -> io::Result<()> {
    let left = deadline.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(ErrorKind::TimedOut.into());
    }
    stream.set_read_timeout(Some(left))?;
    let mut buffer = [0; 16 << 10];
    match stream.read(&mut buffer)? {
        0 => Err(ErrorKind::UnexpectedEof.into()),
        n => {
            rest.extend_from_slice(&buffer[..n]);
            Ok(())
        }
    }
}

/// Sends a request on a new connection and reads the response.
pub fn call(to: SocketAddr, request: &[u8], wait: Duration) -> io::Result<Message> {
    let deadline = Instant::now() + wait;
    let mut stream = TcpStream::connect_timeout(&to, wait.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.write_all(request)?;
    read(&mut stream, &mut Vec::new(), deadline)
}
