//! Wire format of a connection: frames, the hello and the answer to a call.
//!
//! A frame is its length (4 bytes, big endian), a byte for its kind, and its content. The connecting
//! host sends a [`Hello`], the accepting one answers with its own or with a refusal. Then the
//! connecting host sends messages, calls and probes, the accepting one answers to calls and probes. It asks for the
//! connecting host's clock now and then, to tell how old messages are.

use crate::core::message::{self, DecodeError, ENVELOPE_MAX_BYTES};
use crate::core::peers::clock::Reading;
use crate::core::time::Span;
use bytes::{Buf as _, BufMut as _, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncWrite, AsyncWriteExt as _};
use tokio_util::codec::{Decoder, LengthDelimitedCodec};

/// Maximum size of an encoded hello.
pub const HELLO_MAX_BYTES: usize = 256 << 10;
/// Maximum number of contacts sent or read in one hello, and number of known hosts from which on
/// contacts are ignored. A few are enough to join the membership, which then reports all hosts.
pub const CONTACTS_MAX: usize = 16;
/// Size of the length before a frame.
const LENGTH_BYTES: usize = 4;
/// Maximum size of what stands before an envelope: the frame's kind and two numbers.
const PREFIX_MAX_BYTES: usize = 17;

/// Name and address of another host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// Name of the host.
    pub name: String,
    /// Address that it listens on.
    pub listen: SocketAddr,
}

/// First message in each direction of a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Version of the envelope that the host uses.
    pub version: u16,
    /// Name of the host.
    pub name: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Address that it listens on.
    pub listen: SocketAddr,
    /// Some of the other hosts known to it.
    pub others: Vec<Contact>,
    /// Whether it can read compressed envelopes; older releases cannot and omit the field.
    #[serde(default)]
    pub unpacks: bool,
    /// The host's clock; that of the accepting host is its first question for the other one's. Older releases
    /// omit the field, and neither send nor read timed messages.
    #[serde(default)]
    pub clock: Option<Reading>,
}

impl Hello {
    /// Decodes a hello and checks its version.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] if the bytes are not a hello of [`message::VERSION`].
    pub fn read(bytes: &[u8]) -> Result<Self, DecodeError> {
        let hello: Self = message::decode(bytes)?;
        if hello.version == message::VERSION {
            Ok(hello)
        } else {
            Err(DecodeError::Version(hello.version))
        }
    }
}

/// One frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// An encoded [`Hello`].
    Hello(Bytes),
    /// The connection is refused or ended, for this cause.
    Refused(String),
    /// An envelope with a one-way message.
    Message(Bytes),
    /// An envelope with a call, and the call's number.
    Call(u64, Bytes),
    /// The answer to the call of this number.
    Answer(u64, Answer),
    /// An envelope with a one-way message, when it was sent, and the time for which it is of use.
    Timed(Reading, Span, Bytes),
    /// Asks for the connecting host's clock; holds that of the accepting one.
    ClockQuestion(Reading),
    /// Repeats the clock in the question, and holds that of the connecting host, read after the question came.
    ClockAnswer(Reading, Reading),
    /// Asks for [`Frame::Alive`].
    Probe,
    /// Answers [`Frame::Probe`].
    Alive,
}

const HELLO: u8 = 1;
const REFUSED: u8 = 2;
const MESSAGE: u8 = 3;
const CALL: u8 = 4;
const ANSWER: u8 = 5;
const PROBE: u8 = 6;
const ALIVE: u8 = 7;
const TIMED: u8 = 8;
const CLOCK_QUESTION: u8 = 9;
const CLOCK_ANSWER: u8 = 10;

impl Frame {
    /// Appends the frame to `out`.
    pub fn write(&self, out: &mut BytesMut) {
        match self {
            Self::Hello(bytes) => write_parts(out, &[&[HELLO], bytes]),
            Self::Refused(cause) => write_parts(out, &[&[REFUSED], cause.as_bytes()]),
            Self::Message(envelope) => write_message(out, envelope),
            Self::Call(number, envelope) => write_call(out, *number, envelope),
            Self::Answer(number, answer) => {
                let (tag, body) = answer.parts();
                write_parts(out, &[&[ANSWER], &number.to_be_bytes(), &[tag], body]);
            }
            Self::Timed(sent, useful, envelope) => write_timed(out, *sent, *useful, envelope),
            Self::ClockQuestion(asked) => {
                write_parts(out, &[&[CLOCK_QUESTION], &asked.0.to_be_bytes()]);
            }
            Self::ClockAnswer(asked, now) => {
                let (asked, now) = (asked.0.to_be_bytes(), now.0.to_be_bytes());
                write_parts(out, &[&[CLOCK_ANSWER], &asked, &now]);
            }
            Self::Probe => write_parts(out, &[&[PROBE]]),
            Self::Alive => write_parts(out, &[&[ALIVE]]),
        }
    }

    /// Decodes a frame without its length.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError::Malformed`] for an empty, short or unknown frame.
    pub fn read(mut bytes: Bytes) -> Result<Self, DecodeError> {
        let malformed = |what: &str| DecodeError::Malformed(what.to_owned());
        let kind = bytes.try_get_u8().map_err(|_| malformed("a frame is empty"))?;
        let mut number = || bytes.try_get_u64().map_err(|_| malformed("a frame ends too early"));
        Ok(match kind {
            HELLO => Self::Hello(bytes),
            REFUSED => Self::Refused(String::from_utf8_lossy(&bytes).into_owned()),
            MESSAGE => Self::Message(bytes),
            CALL => Self::Call(number()?, bytes),
            ANSWER => Self::Answer(number()?, Answer::read(&bytes)?),
            TIMED => Self::Timed(Reading(number()?), Span(number()?), bytes),
            CLOCK_QUESTION => Self::ClockQuestion(Reading(number()?)),
            CLOCK_ANSWER => Self::ClockAnswer(Reading(number()?), Reading(number()?)),
            PROBE => Self::Probe,
            ALIVE => Self::Alive,
            other => return Err(malformed(&format!("frames of kind {other} are unknown"))),
        })
    }
}

/// Writes one frame to a connection.
///
/// # Errors
///
/// Fails if the connection does.
pub async fn send(writer: &mut (impl AsyncWrite + Unpin), frame: &Frame) -> io::Result<()> {
    let mut out = BytesMut::new();
    frame.write(&mut out);
    writer.write_all(&out).await?;
    writer.flush().await
}

/// Appends a frame with a one-way message.
pub fn write_message(out: &mut BytesMut, envelope: &[u8]) {
    write_parts(out, &[&[MESSAGE], envelope]);
}

/// Appends a frame with a call.
pub fn write_call(out: &mut BytesMut, number: u64, envelope: &[u8]) {
    write_parts(out, &[&[CALL], &number.to_be_bytes(), envelope]);
}

/// Appends a frame with a timed message.
pub fn write_timed(out: &mut BytesMut, sent: Reading, useful: Span, envelope: &[u8]) {
    let (sent, useful) = (sent.0.to_be_bytes(), useful.0.to_be_bytes());
    write_parts(out, &[&[TIMED], &sent, &useful, envelope]);
}

fn write_parts(out: &mut BytesMut, parts: &[&[u8]]) {
    let length: usize = parts.iter().map(|p| p.len()).sum();
    out.reserve(LENGTH_BYTES + length);
    // Envelopes are bounded far below 4 GiB.
    out.put_u32(length as u32);
    parts.iter().for_each(|p| out.put_slice(p));
}

/// Decoder of the frames of a connection. Until the hello has been read, frames are no longer than one.
#[derive(Debug)]
pub struct FrameDecoder(LengthDelimitedCodec);

impl Default for FrameDecoder {
    fn default() -> Self {
        Self(length_codec(HELLO_MAX_BYTES + PREFIX_MAX_BYTES))
    }
}

impl FrameDecoder {
    /// Accepts frames with envelopes from now on.
    pub fn accept_envelopes(&mut self) {
        self.0.set_max_frame_length(ENVELOPE_MAX_BYTES + PREFIX_MAX_BYTES);
    }
}

impl Decoder for FrameDecoder {
    type Item = Frame;
    type Error = io::Error;

    fn decode(&mut self, src: &mut BytesMut) -> io::Result<Option<Frame>> {
        let Some(bytes) = self.0.decode(src)? else { return Ok(None) };
        Frame::read(bytes.freeze()).map(Some).map_err(io::Error::other)
    }
}

fn length_codec(max_bytes: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .length_field_length(LENGTH_BYTES)
        .max_frame_length(max_bytes)
        .new_codec()
}

/// The answer to a call: one byte for its outcome, then the body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The call succeeded, with this body.
    Done(Vec<u8>),
    /// The call was refused or failed, for this cause.
    Refused(String),
}

impl Answer {
    const DONE: u8 = 0;
    const REFUSED: u8 = 1;

    fn parts(&self) -> (u8, &[u8]) {
        match self {
            Self::Done(body) => (Self::DONE, body.as_slice()),
            Self::Refused(cause) => (Self::REFUSED, cause.as_bytes()),
        }
    }

    /// Decodes an answer.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError::Malformed`] for an empty answer or an unknown outcome.
    pub fn read(bytes: &[u8]) -> Result<Self, DecodeError> {
        match bytes.split_first() {
            Some((&Self::DONE, body)) => Ok(Self::Done(body.to_vec())),
            Some((&Self::REFUSED, body)) => {
                Ok(Self::Refused(String::from_utf8_lossy(body).into_owned()))
            }
            _ => Err(DecodeError::Malformed("the answer has no known outcome".to_owned())),
        }
    }
}
