//! Starts an edge daemon.
//!
//! The type of the command line is generated from its description below.
#![allow(missing_docs)]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use thistlesill_edge::daemon::{Options, Parts};

xflags::xflags! {
    /// Proxies the operators' routes to targets and forms serving groups.
    ///
    /// Example: thistlesill-edge --check local.json
    cmd thistlesill-edge {
        /// The settings file; by default the one that the platform names.
        optional config: PathBuf
        /// Check the settings, say what is wrong, and exit.
        optional --check
        /// Where the metrics are served, as ADDRESS:PORT; by default at the
        /// last port between daemons.
        optional --metrics metrics: SocketAddr
        /// What this process does: `both` (the default), `serve` callers or
        /// `plan` groups.
        optional --parts parts: Parts
    }
}

fn main() -> ExitCode {
    let flags = ThistlesillEdge::from_env_or_exit();
    let options = Options {
        parts: flags.parts.unwrap_or_default(),
        metrics: flags.metrics,
    };
    thistlesill_edge::daemon::main(flags.config, flags.check, options)
}
