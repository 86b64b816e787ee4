//! Messages in which daemons exchange attempt records.
//!
//! They share a socket with the digests. A message begins with [`MESSAGE_MARK`], with which no
//! digest begins, and the number of its format.

use std::error;
use std::fmt;

use samphiremoor_base::id;
use samphiremoor_base::time;
use serde::Deserialize;
use serde::Serialize;

use crate::attempt_record;

/// First byte of a message. A digest begins with the length of its daemon's ID, which is not empty.
pub const MESSAGE_MARK: u8 = 0;
/// Number of the format.
const FORMAT: u8 = 1;

/// Copy of an attempt record for another daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordCopy {
    /// The attempt.
    pub attempt: attempt_record::AttemptHash,
    /// Where the stream began.
    pub origin: attempt_record::StreamOrigin,
    /// Time until the record expires.
    pub lifetime: time::Millis,
}

/// Message about attempt records.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptMessage {
    /// Records for the receiver to hold.
    Records(Vec<RecordCopy>),
    /// Asks for the record of an attempt.
    Query(attempt_record::AttemptHash),
    /// Answers a query; without an origin if the daemon has no record of the attempt.
    Answer(attempt_record::AttemptHash, Option<attempt_record::StreamOrigin>),
}

/// Why bytes are not a message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MessageError {
    /// The bytes have another format.
    UnknownFormat,
    /// The bytes are not a message of the format.
    Malformed,
    /// The service's name or the version is not valid.
    InvalidOrigin,
}

impl fmt::Display for MessageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MessageError::UnknownFormat => "unknown format",
            MessageError::Malformed => "malformed message",
            MessageError::InvalidOrigin => "invalid service or version",
        })
    }
}

impl error::Error for MessageError {}

/// Wire format of [`AttemptMessage`].
#[derive(Deserialize, Serialize)]
enum MessageWire {
    Records(Vec<RecordWire>),
    Query(u64),
    Answer(u64, Option<OriginWire>),
}

/// Wire format of [`RecordCopy`].
#[derive(Deserialize, Serialize)]
struct RecordWire {
    attempt: u64,
    origin: OriginWire,
    lifetime_ms: u64,
}

/// Wire format of [`attempt_record::StreamOrigin`].
#[derive(Deserialize, Serialize)]
struct OriginWire {
    service: String,
    version: String,
}

impl From<&attempt_record::StreamOrigin> for OriginWire {
    fn from(origin: &attempt_record::StreamOrigin) -> Self {
        let (service, version) = (origin.service.to_string(), origin.version.to_string());
        OriginWire { service, version }
    }
}

impl TryFrom<OriginWire> for attempt_record::StreamOrigin {
    type Error = MessageError;

    fn try_from(wire: OriginWire) -> Result<Self, MessageError> {
        let service: Result<id::ServiceId, _> = wire.service.parse();
        let (Ok(service), Ok(version)) = (service, wire.version.parse()) else {
            return Err(MessageError::InvalidOrigin);
        };
        Ok(attempt_record::StreamOrigin { service, version })
    }
}

impl From<&AttemptMessage> for MessageWire {
    fn from(message: &AttemptMessage) -> Self {
        match message {
            AttemptMessage::Records(copies) => {
                let record = |copy: &RecordCopy| RecordWire {
                    attempt: copy.attempt.get(),
                    origin: (&copy.origin).into(),
                    lifetime_ms: copy.lifetime.get(),
                };
                MessageWire::Records(copies.iter().map(record).collect())
            }
            AttemptMessage::Query(attempt) => MessageWire::Query(attempt.get()),
            AttemptMessage::Answer(attempt, origin) => {
                MessageWire::Answer(attempt.get(), origin.as_ref().map(Into::into))
            }
        }
    }
}

impl TryFrom<RecordWire> for RecordCopy {
    type Error = MessageError;

    fn try_from(wire: RecordWire) -> Result<Self, MessageError> {
        Ok(RecordCopy {
            attempt: attempt_record::AttemptHash::new(wire.attempt),
            origin: wire.origin.try_into()?,
            lifetime: time::Millis::new(wire.lifetime_ms),
        })
    }
}

impl TryFrom<MessageWire> for AttemptMessage {
    type Error = MessageError;

    fn try_from(wire: MessageWire) -> Result<Self, MessageError> {
        let attempt = attempt_record::AttemptHash::new;
        Ok(match wire {
            MessageWire::Records(records) => {
                let copies = records.into_iter().map(RecordCopy::try_from);
                AttemptMessage::Records(copies.collect::<Result<_, _>>()?)
            }
            MessageWire::Query(hash) => AttemptMessage::Query(attempt(hash)),
            MessageWire::Answer(hash, origin) => {
                let origin = origin.map(attempt_record::StreamOrigin::try_from).transpose()?;
                AttemptMessage::Answer(attempt(hash), origin)
            }
        })
    }
}

impl AttemptMessage {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding into a growing buffer does not fail.
        postcard::to_extend(&MessageWire::from(self), vec![MESSAGE_MARK, FORMAT])
            .unwrap_or_default()
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a message.
    pub fn decode(bytes: &[u8]) -> Result<Self, MessageError> {
        let Some(body) = bytes.strip_prefix(&[MESSAGE_MARK, FORMAT]) else {
            return Err(MessageError::UnknownFormat);
        };
        let wire: MessageWire = postcard::from_bytes(body).map_err(|_| MessageError::Malformed)?;
        wire.try_into()
    }
}
