//! Harness for tests that run the real programs.
//!
//! [`cluster`] starts the stand-ins and the daemons from the workspace's target directory on free
//! loopback ports. [`child`] runs one process and kills it when its value is dropped. [`caller`]
//! sends requests as callers do. [`audit`] compares the outcomes that callers received with the
//! runs that the stand-ins counted. The programs must be built first with
//! `cargo build --workspace --bins`.

pub mod audit;
pub mod caller;
pub mod child;
pub mod cluster;
pub mod control;
pub mod fault_injection;
pub mod links;
pub mod operator;
pub mod plan;
pub mod records;
mod settings;
mod sockets;
pub mod sustained;
pub mod timeline;
mod view_file;
pub mod vm;
pub mod wait;
pub mod workload;
