//! Settings files, secrets and logging of the programs.
//!
//! Every program reads its settings from a TOML file through [`load`]. An unknown key or an invalid
//! value is refused with an error that contains the file, the line, the key and the remedy. Secrets
//! are read from files that the settings name, through [`secret`]. [`number`] reads numbers that may
//! have a fraction, and [`logging`] initializes the logger.

pub mod load;
pub mod logging;
pub mod number;
pub mod secret;
