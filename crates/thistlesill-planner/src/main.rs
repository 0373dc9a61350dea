//! The planner program.
//!
//! The type of the command line is generated from the description below.
#![allow(missing_docs)]

use std::path::PathBuf;
use std::process::ExitCode;

use thistlesill_core::config::Role;
use thistlesill_net::launch::launch;

xflags::xflags! {
    /// Watches targets, forms groups and sends orders.
    ///
    /// Example: thistlesill-planner concord-p1.jsonc
    cmd thistlesill-planner {
        /// The daemon's settings, JSON with comments.
        required config: PathBuf
        /// Check the settings, print what is wrong, and exit.
        optional --check
    }
}

fn main() -> ExitCode {
    let flags = ThistlesillPlanner::from_env_or_exit();
    launch(
        Role::Planner,
        &flags.config,
        flags.check,
        thistlesill_planner::daemon::run,
    )
}
