//! Messages between the hosts of the tier.
//!
//! A message is an [`Envelope`]: a version, the sender, a topic, and a body that the topic's
//! service encodes. Bodies are MessagePack maps with named fields, so unknown fields are ignored.
//! An unknown version is refused. A long envelope may be compressed: a byte that starts no
//! MessagePack value, then the uncompressed length and the LZ4 block.

use serde::{Deserialize, Serialize};
use std::borrow::Cow;

/// Version of the envelope that this program supports.
pub const VERSION: u16 = 1;
/// Maximum size of an encoded envelope.
pub const ENVELOPE_MAX_BYTES: usize = 8 << 20;
/// Size from which an envelope is compressed. Plans and logs of some hundred bytes shrink by half,
/// shorter ones hardly at all.
pub const COMPRESS_MIN_BYTES: usize = 512;
/// First byte of a compressed envelope; MessagePack never uses it.
const COMPRESSED_MARKER: u8 = 0xc1;
/// Size of the uncompressed length before an LZ4 block.
const LENGTH_BYTES: usize = 4;

/// Service that a message is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Topic {
    /// Membership and failure detection of hosts.
    Member,
    /// Replication of the endpoint registry.
    Registry,
    /// Budgets of concurrent requests at endpoints.
    Allowance,
    /// Replicated log.
    Control,
    /// Claims on the keys of non-idempotent requests.
    Orders,
    /// Quarantine of requests that crash endpoints.
    Quarantine,
    /// Requests that the receiver forwards to endpoints in its zone.
    Relay,
}

impl Topic {
    /// Name in log lines.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Member => "member",
            Self::Registry => "registry",
            Self::Allowance => "allowance",
            Self::Control => "control",
            Self::Orders => "orders",
            Self::Quarantine => "quarantine",
            Self::Relay => "relay",
        }
    }
}

/// A message between two hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Version of the envelope.
    pub version: u16,
    /// Name of the sending host.
    pub from: String,
    /// Service that the message is for.
    pub topic: Topic,
    /// Body, encoded by the service.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// Why a message could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The bytes do not decode to the expected type.
    Malformed(String),
    /// The version of the message is not supported.
    Version(u16),
}

impl std::fmt::Display for DecodeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Malformed(e) => write!(f, "malformed message: {e}"),
            Self::Version(v) => {
                write!(f, "message of version {v}; this host speaks {VERSION}, upgrade the older")
            }
        }
    }
}

impl std::error::Error for DecodeError {}

/// Encodes a message body.
pub fn encode<T: Serialize>(body: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(body).unwrap_or_default()
}

/// Decodes a message body.
///
/// # Errors
///
/// Returns [`DecodeError::Malformed`] if the bytes do not decode to a `T`.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, DecodeError> {
    rmp_serde::from_slice(bytes).map_err(|e| DecodeError::Malformed(e.to_string()))
}

impl Envelope {
    /// Decodes an envelope and checks its version.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] if the bytes are not an envelope of [`VERSION`].
    pub fn read(bytes: &[u8]) -> Result<Self, DecodeError> {
        let unpacked = unpack(bytes)?;
        let EnvelopeView { version, from, topic, body } = EnvelopeView::read(&unpacked)?;
        Ok(Self { version, from: from.to_owned(), topic, body: body.to_vec() })
    }
}

/// An [`Envelope`] whose fields are borrowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EnvelopeView<'a> {
    /// Version of the envelope.
    pub version: u16,
    /// Name of the sending host.
    pub from: &'a str,
    /// Service that the message is for.
    pub topic: Topic,
    /// Body, encoded by the service.
    #[serde(with = "serde_bytes")]
    pub body: &'a [u8],
}

impl<'a> EnvelopeView<'a> {
    /// Decodes an envelope that is not compressed and checks its version.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] if the bytes are not an envelope of [`VERSION`].
    pub fn read(bytes: &'a [u8]) -> Result<Self, DecodeError> {
        let e: Self = decode(bytes)?;
        if e.version == VERSION { Ok(e) } else { Err(DecodeError::Version(e.version)) }
    }
}

/// Decompresses an envelope; one that is not compressed is returned unchanged.
///
/// # Errors
///
/// Returns [`DecodeError::Malformed`] if a compressed envelope is too large or cannot be decompressed.
pub fn unpack(bytes: &[u8]) -> Result<Cow<'_, [u8]>, DecodeError> {
    match bytes.split_first() {
        Some((&COMPRESSED_MARKER, block)) => decompress(block).map(Cow::Owned),
        _ => Ok(Cow::Borrowed(bytes)),
    }
}

/// Compresses an encoded envelope of at least [`COMPRESS_MIN_BYTES`] bytes; returns shorter ones
/// unchanged.
pub fn compress(envelope: Vec<u8>) -> Vec<u8> {
    if envelope.len() < COMPRESS_MIN_BYTES {
        return envelope;
    }
    let block = lz4_flex::block::compress_prepend_size(&envelope);
    [&[COMPRESSED_MARKER], &block[..]].concat()
}

fn decompress(block: &[u8]) -> Result<Vec<u8>, DecodeError> {
    let length = block.first_chunk::<LENGTH_BYTES>().map(|n| u32::from_le_bytes(*n) as usize);
    if length.is_none_or(|n| n > ENVELOPE_MAX_BYTES) {
        let detail =
            format!("a packed envelope holds more than {ENVELOPE_MAX_BYTES} bytes or none");
        return Err(DecodeError::Malformed(detail));
    }
    lz4_flex::block::decompress_size_prepended(block)
        .map_err(|e| DecodeError::Malformed(format!("the envelope cannot be unpacked: {e}")))
}
