//! Counts, sizes, prices and sequence numbers. Each kind is a newtype that names its unit.

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
            /// Wraps an integer.
            pub const fn new(value: $inner) -> Self {
                $name(value)
            }

            /// Returns the integer.
            pub const fn get(self) -> $inner {
                self.0
            }

            /// Returns the next greater value, saturating at the maximum.
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
    /// Fencing token of a lease: each new holder of the lease gets a greater one.
    FencingToken(u64)
);

/// Number of holders that one era of the table can give a token each.
const HOLDERS_PER_ERA: u64 = 1 << 32;

impl FencingToken {
    /// Returns the first token of an era of the table. It exceeds all that the table may have lost.
    pub const fn first_of(era: StoreEra) -> Self {
        FencingToken(era.0.saturating_mul(HOLDERS_PER_ERA).saturating_add(1))
    }

    /// Returns the era in which the token was given out.
    pub const fn era(self) -> StoreEra {
        StoreEra(self.0 / HOLDERS_PER_ERA)
    }
}

quantity!(
    /// Number of a revision of the configuration records.
    RevisionNumber(u64)
);
quantity!(
    /// Incarnation of a daemon: greater after each restart of its process.
    Incarnation(u64)
);
quantity!(
    /// Version of a row in the platform's table.
    RowVersion(u64)
);
quantity!(
    /// Era of the platform's table: greater each time that the table returns from an older copy.
    StoreEra(u64)
);
quantity!(
    /// A number of tokens.
    TokenCount(u64)
);
quantity!(
    /// A size in bytes.
    ByteCount(u64)
);
quantity!(
    /// A price per hour, in millionths of the currency unit.
    MicroPrice(u64)
);
quantity!(
    /// Number of a shard. The idempotency keys are partitioned into shards.
    ShardNumber(u16)
);
quantity!(
    /// Priority of a service. A smaller number is more urgent.
    PriorityLevel(u8)
);
quantity!(
    /// A share in thousandths.
    PerMille(u16)
);
