//! The entry point of the daemon programs, which read and check their settings before anything
//! else.

use std::fmt::Display;
use std::future::Future;
use std::path::Path;
use std::process::ExitCode;

use thistlesill_core::config::{DaemonConfig, Role};

use crate::admin::install_logger;
use crate::files::{FileError, Secrets, read_config, read_secrets};

/// Exit code for settings or secrets that cannot be used.
const INVALID_SETTINGS: u8 = 2;

/// Reads a daemon's settings and secrets, and runs the daemon unless `only_check` is set.
///
/// Returns exit code 2 if the settings or secrets cannot be used, 1 if the daemon fails.
///
/// # Panics
///
/// If the runtime does not start.
pub fn launch<F, E>(
    role: Role,
    path: &Path,
    only_check: bool,
    run: impl FnOnce(DaemonConfig, Secrets) -> F,
) -> ExitCode
where
    F: Future<Output = Result<(), E>>,
    E: Display,
{
    let (config, secrets) = match read(role, path) {
        Ok(loaded) => loaded,
        Err(error) => {
            eprintln!("{}: {error}", program(role));
            return ExitCode::from(INVALID_SETTINGS);
        }
    };
    if only_check {
        println!("{}: fine", path.display());
        return ExitCode::SUCCESS;
    }
    install_logger();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime starts");
    match runtime.block_on(run(config, secrets)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{}: {error}", program(role));
            ExitCode::FAILURE
        }
    }
}

fn read(role: Role, path: &Path) -> Result<(DaemonConfig, Secrets), FileError> {
    let config = read_config(path, role)?;
    let secrets = read_secrets(&config)?;
    Ok((config, secrets))
}

const fn program(role: Role) -> &'static str {
    match role {
        Role::Router => "thistlesill-router",
        Role::Planner => "thistlesill-planner",
    }
}
