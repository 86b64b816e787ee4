//! Records that operators write, and the set that is in force.
//!
//! Pure data: no I/O. The command line validates and applies records, the control thread
//! distributes them, the entry daemon serves by them.
//!
//! [`file`] reads record files, [`v1`] and [`v2`] are the wire types of the schema versions,
//! [`entry`] keeps a record as it was written, [`revision`] is what the table holds, [`set`] is
//! what the daemons serve by, and [`validation`] refuses a set that does not hold together.

pub mod bundle;
pub mod entry;
pub mod file;
pub mod revision;
pub mod set;
pub mod v1;
pub mod v2;
pub mod validation;
