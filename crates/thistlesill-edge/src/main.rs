//! Starts an edge daemon.
//!
//! The type of the command line is generated from its description below.
#![allow(missing_docs)]

use std::path::PathBuf;
use std::process::ExitCode;

xflags::xflags! {
    /// Proxies the operators' routes to targets and forms serving groups.
    ///
    /// Example: thistlesill-edge --check local.json
    cmd thistlesill-edge {
        /// The settings file; by default the one that the platform names.
        optional config: PathBuf
        /// Check the settings, say what is wrong, and exit.
        optional --check
    }
}

fn main() -> ExitCode {
    let flags = ThistlesillEdge::from_env_or_exit();
    thistlesill_edge::daemon::main(flags.config, flags.check)
}
