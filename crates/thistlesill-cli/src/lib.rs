//! The operators' client, which edits the settings and shows the state of a fleet.

pub mod client;
pub mod commands;
pub mod edit;
pub mod explain;
pub mod failure;
pub mod flags;
mod lines;
pub mod losses;
pub mod picture;
pub mod refusal;
pub mod report;
