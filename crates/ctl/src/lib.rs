//! `samphiremoorctl`, the command line for operators.
//!
//! [`args`] defines the command line and [`command`] runs the commands. [`files`] reads record
//! files, [`record_change`] describes a change of the records, and [`store`] reads and changes the
//! records in the platform's table. [`survey`] determines at which daemons a revision is in force,
//! and [`views`] collects the views of the availability zones. [`status`], [`explain`] and [`plan`]
//! compute the results of the commands of the same names, and [`render`] formats the output.
//! [`outcome`] defines errors and exit codes.

pub mod args;
pub mod columns;
pub mod command;
pub mod explain;
pub mod files;

pub mod outcome;
pub mod plan;
pub mod record_change;
pub mod render;
pub mod settings;
pub mod status;
pub mod store;
pub mod survey;
pub mod views;
