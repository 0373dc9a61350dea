//! Starts a router.
//!
//! The type of the command line is generated from its description below.
#![allow(missing_docs)]

use std::path::PathBuf;
use std::process::ExitCode;

use thistlesill_core::config::Role;
use thistlesill_net::files::{FileError, read_config, read_secrets};

xflags::xflags! {
    /// Answers callers by way of the groups that may serve.
    ///
    /// Example: thistlesill-router concord-r1.jsonc
    cmd thistlesill-router {
        /// The daemon's settings, JSON with comments.
        required config: PathBuf
        /// Check the settings, say what is wrong, and exit.
        optional --check
    }
}

/// Exit code for settings that do not pass their check.
const BAD_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let flags = ThistlesillRouter::from_env_or_exit();
    match start(&flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("thistlesill-router: {error}");
            ExitCode::from(BAD_SETTINGS)
        }
    }
}

fn start(flags: &ThistlesillRouter) -> Result<(), FileError> {
    let config = read_config(&flags.config, Role::Router)?;
    let secrets = read_secrets(&config)?;
    if flags.check {
        println!("{}: fine", flags.config.display());
        return Ok(());
    }
    thistlesill_net::admin::install_logger();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime starts");
    if let Err(error) = runtime.block_on(thistlesill_router::daemon::run(config, secrets)) {
        log::error!("router: {error}");
        std::process::exit(1);
    }
    Ok(())
}
