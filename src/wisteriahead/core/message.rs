//! Messages between the tier's own hosts.
//!
//! A message is an [`Envelope`]: a version, the sender, a topic and a body that
//! the topic's service encodes. Bodies are MessagePack maps with named fields, so
//! unknown fields are ignored; an unknown version is refused. A long envelope may be packed:
//! a byte that begins no MessagePack value, then its LZ4 block with the length before it.

use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Version of the envelope that this program speaks.
pub const VERSION: u16 = 1;
/// Most bytes in one encoded envelope.
pub const ENVELOPE_MAX_BYTES: usize = 8 << 20;
/// Bytes from which an envelope is packed: plans and logs of some hundred bytes shrink by half, short
/// ones hardly at all.
pub const COMPRESS_MIN_BYTES: usize = 512;
/// First byte of a packed envelope; MessagePack leaves it unused.
const COMPRESSED: u8 = 0xc1;
/// Bytes of the length before an LZ4 block.
const LENGTH_BYTES: usize = 4;

/// The service that a message is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Topic {
    /// Membership and failure detection.
    Member,
    /// Endpoint registry.
    Registry,
    /// Endpoint budgets.
    Allowance,
    /// Replicated log.
    Control,
    /// Claims on non-idempotent requests.
    Orders,
    /// Quarantine of requests that stop endpoints.
    Quarantine,
    /// Calls to endpoints of the receiver's zone.
    Relay,
}

/// One message on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Version of the envelope.
    pub version: u16,
    /// Name of the sending host.
    pub from: String,
    /// Service that it is for.
    pub topic: Topic,
    /// Body, encoded by the service.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// Why bytes could not be read as a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The bytes are not a message of the expected type.
    Malformed(String),
    /// The message has a version that this program does not speak.
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
/// Returns [`DecodeError::Malformed`] when the bytes are not a `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    rmp_serde::from_slice(bytes).map_err(|e| DecodeError::Malformed(e.to_string()))
}

impl Envelope {
    /// Reads an envelope and checks its version.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] for bytes that are not an envelope of [`VERSION`].
    pub fn read(bytes: &[u8]) -> Result<Self, DecodeError> {
        let e: Self = match bytes.split_first() {
            Some((&COMPRESSED, block)) => decode(&decompress(block)?)?,
            _ => decode(bytes)?,
        };
        if e.version == VERSION { Ok(e) } else { Err(DecodeError::Version(e.version)) }
    }
}

/// Packs an encoded envelope, if it is long enough to be worth it.
pub fn compress(envelope: Vec<u8>) -> Vec<u8> {
    if envelope.len() < COMPRESS_MIN_BYTES {
        return envelope;
    }
    let block = lz4_flex::block::compress_prepend_size(&envelope);
    [&[COMPRESSED], &block[..]].concat()
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
