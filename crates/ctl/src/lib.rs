//! The command line of operators, `samphiremoorctl`.
//!
//! [`args`] is what can be typed and [`command`] runs it. [`files`] reads record files, [`wanted`] is a
//! change to make, and [`store`] reads and changes the records in the platform's table. [`survey`]
//! finds out where a revision is in force and [`views`] gathers the zones' views; [`status`],
//! [`explain`] and [`plan`] work out what is asked, and [`show`] makes what is printed. Exit codes
//! are those of [`outcome`].

pub mod args;
pub mod columns;
pub mod command;
pub mod explain;
pub mod files;

pub mod outcome;
pub mod plan;
pub mod settings;
pub mod show;
pub mod status;
pub mod store;
pub mod survey;
pub mod views;
pub mod wanted;
