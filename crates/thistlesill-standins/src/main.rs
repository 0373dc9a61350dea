//! Runs a fleet of stand-ins until the process is ended.
//!
//! The type of the command line is generated from the description below.
#![allow(missing_docs)]

use std::path::PathBuf;
use std::process::ExitCode;

use thistlesill_core::seal::SharedKey;
use thistlesill_fakes::FleetFile;
use thistlesill_net::files::{FileError, read_jsonc, read_secret};
use thistlesill_standins::fleet::Fleet;

xflags::xflags! {
    /// Runs stand-ins of the platform and of all targets of a fleet.
    cmd thistlesill-standins {
        /// File that describes the fleet, JSON with comments.
        required fleet: PathBuf
    }
}

fn main() -> ExitCode {
    let flags = ThistlesillStandins::from_env_or_exit();
    thistlesill_net::admin::install_logger();
    match run(&flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("thistlesill-standins: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(flags: &ThistlesillStandins) -> Result<(), FileError> {
    let file: FleetFile = read_jsonc(&flags.fleet)?;
    let key = SharedKey::new(read_secret(&file.key_file)?.as_bytes());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime starts");
    let fleet = Fleet::new(&file, key);
    log::info!("standins: serving {} targets", fleet.instances().len());
    runtime.block_on(fleet.serve(file.platform));
    Ok(())
}
