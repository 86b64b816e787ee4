//! Records that operators write, and the record set in force.
//!
//! This crate contains only data types and no I/O. The command line validates and applies records,
//! the control thread distributes them, and the entry daemon serves by them.
//!
//! [`file`] parses record files. [`v1`] and [`v2`] define the wire types of the two schema
//! versions. [`entry`] is a record as it was written, and [`bundle`] holds all records of a
//! revision. [`revision`] defines the rows of the platform's table. [`set`] is the record set that
//! the daemons serve by, and [`validation`] checks it for consistency.

pub mod bundle;
pub mod entry;
pub mod file;
pub mod revision;
pub mod set;
pub mod v1;
pub mod v2;
pub mod validation;
