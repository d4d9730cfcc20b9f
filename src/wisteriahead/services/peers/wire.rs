//! Wire format of a connection besides envelopes: the hello and the answer to a call.
//!
//! The first bidirectional stream of a connection carries a [`Hello`] each way. Every later one
//! carries an envelope with a call and its [`Answer`]. Each unidirectional stream carries one
//! envelope with a one-way message.

use crate::core::message::{self, DecodeError};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Maximum size of an encoded hello.
pub const HELLO_MAX_BYTES: usize = 256 << 10;
/// Maximum number of contacts sent or read in one hello, and number of known hosts from which on
/// contacts are ignored. A few are enough to join the membership, which then reports all hosts.
pub const CONTACTS_MAX: usize = 16;

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

    /// Encodes the answer.
    pub fn write(&self) -> Vec<u8> {
        let (tag, body) = match self {
            Self::Done(body) => (Self::DONE, body.as_slice()),
            Self::Refused(cause) => (Self::REFUSED, cause.as_bytes()),
        };
        let mut bytes = Vec::with_capacity(body.len() + 1);
        bytes.push(tag);
        bytes.extend_from_slice(body);
        bytes
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
