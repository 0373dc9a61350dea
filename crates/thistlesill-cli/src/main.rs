//! The operators' command-line client `thistlesill`.

use std::process::ExitCode;

use thistlesill_cli::commands::run;
use thistlesill_cli::flags::{Thistlesill, hint};

/// Exit code for invalid arguments.
const INVALID_ARGUMENTS: u8 = 2;

fn main() -> ExitCode {
    let flags = match Thistlesill::from_env() {
        Ok(flags) => flags,
        Err(error) if error.is_help() => {
            println!("{error}");
            return ExitCode::SUCCESS;
        }
        Err(error) => return report_invalid_arguments(&error),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime starts");
    match runtime.block_on(run(flags)) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(failure) => {
            eprintln!("thistlesill: {failure}");
            ExitCode::from(&failure)
        }
    }
}

fn report_invalid_arguments(error: &xflags::Error) -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match hint(&arguments) {
        Some(hint) => eprintln!("thistlesill: {hint}"),
        None => eprintln!("thistlesill: {error}"),
    }
    eprintln!("try `thistlesill --help`");
    ExitCode::from(INVALID_ARGUMENTS)
}
