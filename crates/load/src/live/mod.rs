//! Load against real entry daemons.

pub mod answer;
pub mod call;
pub mod run;
pub mod standin;
