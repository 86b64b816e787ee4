//! Counted and measured quantities, each with its unit in the type.

use std::fmt;
use std::num;
use std::str;

use serde::Deserialize;
use serde::Serialize;

macro_rules! quantity {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
        #[derive(Deserialize, Serialize)]
        #[serde(transparent)]
        pub struct $name($inner);

        impl $name {
            /// Wraps a plain number.
            pub const fn new(value: $inner) -> Self {
                $name(value)
            }

            /// The plain number.
            pub const fn get(self) -> $inner {
                self.0
            }

            /// The successor; stays at the greatest value.
            pub const fn next(self) -> Self {
                $name(self.0.saturating_add(1))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl str::FromStr for $name {
            type Err = num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, num::ParseIntError> {
                text.parse().map($name)
            }
        }
    };
}

quantity!(
    /// Number of a lease's holder: each new holder has a greater one.
    FencingToken(u64)
);
quantity!(
    /// Number of an accepted configuration.
    RevisionNumber(u64)
);
quantity!(
    /// Number of a daemon's life: greater after each restart.
    Incarnation(u64)
);
quantity!(
    /// Version of a row in the platform's table.
    RowVersion(u64)
);
quantity!(
    /// A count of tokens.
    TokenCount(u64)
);
quantity!(
    /// A size in bytes.
    ByteCount(u64)
);
quantity!(
    /// A price in millionths of the currency unit for each hour.
    MicroPrice(u64)
);
quantity!(
    /// Number of a shard of the idempotency keys.
    ShardNumber(u16)
);
quantity!(
    /// Priority of a service; a smaller number is more urgent.
    PriorityLevel(u8)
);
quantity!(
    /// A share in thousandths.
    PerMille(u16)
);
