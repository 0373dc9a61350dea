//! Command line of the router daemon.
//!
//! xflags generates the type of the command line from the description below.
#![allow(missing_docs)]

use std::path::PathBuf;
use std::process::ExitCode;

use thistlesill_core::config::Role;
use thistlesill_net::launch::launch;

xflags::xflags! {
    /// Answers callers through the groups that serve.
    ///
    /// Example: thistlesill-router concord-r1.jsonc
    cmd thistlesill-router {
        /// The daemon's settings, JSON with comments.
        required config: PathBuf
        /// Check the settings, say what is wrong, and exit.
        optional --check
    }
}

fn main() -> ExitCode {
    let flags = ThistlesillRouter::from_env_or_exit();
    launch(
        Role::Router,
        &flags.config,
        flags.check,
        thistlesill_router::daemon::run,
    )
}
