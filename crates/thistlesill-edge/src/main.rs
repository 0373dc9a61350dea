//! The `thistlesill-edge` program.
//!
//! `xflags` generates the command line's type from the description below.
#![allow(missing_docs)]

use std::net::{IpAddr, SocketAddr};
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
        /// Check the settings, report errors, and exit.
        optional --check
        /// Where to serve the metrics, as ADDRESS:PORT; by default at the last
        /// of the ports for daemons.
        optional --metrics metrics: SocketAddr
        /// The local address of connections to targets, the store and peers, on
        /// an instance that has several; by default the system chooses it.
        optional --source source: IpAddr
        /// What this process does: `serve` callers, `plan` groups, or `both`
        /// (the default).
        optional --parts parts: Parts
    }
}

fn main() -> ExitCode {
    let flags = ThistlesillEdge::from_env_or_exit();
    let options = Options {
        parts: flags.parts.unwrap_or_default(),
        metrics: flags.metrics,
        source: flags.source,
    };
    thistlesill_edge::daemon::main(flags.config, flags.check, options)
}
