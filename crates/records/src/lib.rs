//! Records that operators write, and the set that is in force.
//!
//! Pure data: no I/O. The command line validates and applies records, the control daemon
//! distributes them, the entry daemon serves by them.

pub mod set;
