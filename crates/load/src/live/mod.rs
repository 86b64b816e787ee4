//! Sends load to running entry daemons.

pub mod call;
pub mod response;
pub mod run;
pub mod standin;
