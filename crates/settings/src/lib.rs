//! Settings of the programs: TOML files read into typed values.
//!
//! Every program reads its settings through [`load`]. An unknown key or an impossible value is
//! refused with the file, the line, the key and the remedy. Secrets are read from files that the
//! settings name, through [`secret`].

pub mod load;
pub mod logging;
pub mod secret;
