//! The operators' client: edits the settings, and shows what the fleet does.

pub mod client;
pub mod commands;
pub mod edit;
pub mod explain;
pub mod failure;
pub mod flags;
pub mod losses;
pub mod picture;
pub mod report;
