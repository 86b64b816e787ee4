//! Decisions of the gateway, apart from sockets, clocks and random numbers.
//!
//! The `gateway` crate is the shell round this one: it hands in records, replica entries, digests of
//! peers and the time, and carries out what is decided. [`policy`] holds what operators declare,
//! [`replica`] and [`selection`] choose upstreams, [`admission`] refuses what can't be served in time,
//! [`dispatch`] knows what became of each send, [`quota`] shares token limits between daemons,
//! [`usage`] counts runs in windows of the [`wall_clock`] time, [`duty`] keeps the lease on duties and
//! [`capacity`] plans orders. Measured rates are sums that [`decay`].

pub mod admission;
pub mod capacity;
pub mod decay;
pub mod digest;
pub mod dispatch;
pub mod duty;
pub mod load;
pub mod policy;
pub mod quota;
pub mod replica;
pub mod selection;
pub mod usage;
pub mod wall_clock;
