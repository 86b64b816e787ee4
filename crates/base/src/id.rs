//! Identifiers. Each kind is a newtype, so that the compiler tells the kinds apart.

use std::error;
use std::fmt;
use std::marker;
use std::str;
use std::sync;

use serde::Deserialize;
use serde::Serialize;
use serde::de;
use serde::ser;

/// Maximum length of an identifier, in bytes.
pub const MAX_ID_BYTES: usize = 200;

/// Error for a text that is not a valid identifier.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum IdError {
    /// The text is empty.
    Empty,
    /// The text has this many bytes, more than [`MAX_ID_BYTES`].
    TooLong(usize),
    /// The text contains a character that identifiers must not contain.
    BadCharacter(char),
}

impl fmt::Display for IdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            IdError::Empty => write!(f, "the identifier is empty; give at least one character"),
            IdError::TooLong(length) => {
                write!(f, "the identifier has {length} bytes; shorten it to {MAX_ID_BYTES}")
            }
            IdError::BadCharacter(found) => write!(
                f,
                "the identifier holds {found:?}; use letters, digits, '-', '_', '.', ':', '/' and '+'"
            ),
        }
    }
}

impl error::Error for IdError {}

fn check_id(text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > MAX_ID_BYTES {
        return Err(IdError::TooLong(text.len()));
    }
    if text.bytes().all(|byte| is_id_character(char::from(byte))) {
        return Ok(());
    }
    match text.chars().find(|found| !is_id_character(*found)) {
        Some(found) => Err(IdError::BadCharacter(found)),
        None => Ok(()),
    }
}

fn is_id_character(found: char) -> bool {
    found.is_ascii_alphanumeric() || matches!(found, '-' | '_' | '.' | ':' | '/' | '+')
}

/// Parses an identifier without a copy of its text. Digests hold hundreds of them.
struct TextVisitor<T>(marker::PhantomData<T>);

impl<T: str::FromStr<Err = IdError>> de::Visitor<'_> for TextVisitor<T> {
    type Value = T;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an identifier")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<T, E> {
        text.parse().map_err(E::custom)
    }
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub struct $name(sync::Arc<str>);

        impl $name {
            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl str::FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check_id(text)?;
                Ok($name(sync::Arc::from(text)))
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, IdError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.0.as_ref().to_owned()
            }
        }

        impl Serialize for $name {
            fn serialize<S: ser::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: de::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                deserializer.deserialize_str(TextVisitor(marker::PhantomData))
            }
        }
    };
}

text_id!(
    /// A workspace: a tenant of the system, identified by its API key.
    WorkspaceId
);
text_id!(
    /// A service that callers address: a model service or a plain service.
    ServiceId
);
text_id!(
    /// A language model.
    ModelId
);
text_id!(
    /// An adapter that is loaded on top of a model.
    AdapterId
);
text_id!(
    /// A version of a model or an adapter.
    VersionId
);
text_id!(
    /// An availability zone.
    ZoneId
);
text_id!(
    /// A region: a group of availability zones.
    RegionId
);
text_id!(
    /// A virtual machine in the cloud.
    VmId
);
text_id!(
    /// A replica: one upstream process that serves requests.
    ReplicaId
);
text_id!(
    /// A daemon of this system.
    DaemonId
);
text_id!(
    /// An accepted request.
    RequestId
);
text_id!(
    /// The key with which a caller marks retries of the same call.
    IdempotencyKey
);
text_id!(
    /// A configuration record that operators write.
    RecordId
);
text_id!(
    /// One write to the platform. A retry of the write carries the same id.
    WriteId
);
text_id!(
    /// A class of VMs that the cloud offers.
    VmClass
);
