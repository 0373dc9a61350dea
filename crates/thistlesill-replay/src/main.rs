//! Plays recorded traces through the shipped decisions, compares these with
//! the baselines, and measures what the decisions cost.
//!
//! The type of the command line is generated from its description below.
#![allow(missing_docs)]

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use thistlesill_replay::compare;
use thistlesill_replay::player::{Decisions, play};
use thistlesill_replay::slopes;
use thistlesill_replay::trace::{TraceError, load};

xflags::xflags! {
    /// Plays recorded traces through the shipped decisions.
    ///
    /// Examples:
    ///   thistlesill-replay play crates/thistlesill-replay/traces/cascade-dawn.jsonc
    ///   thistlesill-replay compare crates/thistlesill-replay/traces/*.jsonc
    ///   thistlesill-replay slopes
    cmd thistlesill-replay {
        /// Folder with the deployments (default: deploy).
        optional --deploy path: PathBuf
        /// Print JSON.
        optional --json

        /// Play one trace with the shipped decisions.
        cmd play {
            /// The trace.
            required trace: PathBuf
        }
        /// Play traces with the shipped decisions and with the baselines.
        cmd compare {
            /// The traces.
            repeated traces: PathBuf
        }
        /// Measure what the decisions cost at several sizes.
        cmd slopes {}
    }
}

fn main() -> ExitCode {
    let flags = ThistlesillReplay::from_env_or_exit();
    match run(&flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("thistlesill-replay: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(flags: &ThistlesillReplay) -> Result<(), TraceError> {
    let deploy = flags
        .deploy
        .clone()
        .unwrap_or_else(|| PathBuf::from("deploy"));
    match &flags.subcommand {
        ThistlesillReplayCmd::Play(args) => play_one(&args.trace, &deploy, flags.json),
        ThistlesillReplayCmd::Compare(args) => {
            for trace in &args.traces {
                compare_one(trace, &deploy)?;
            }
            Ok(())
        }
        ThistlesillReplayCmd::Slopes(_) => {
            print!("{}", slopes::report());
            Ok(())
        }
    }
}

fn play_one(trace: &Path, deploy: &Path, json: bool) -> Result<(), TraceError> {
    let loaded = load(trace, deploy)?;
    let measures = play(&loaded, Decisions::default());
    if json {
        let text = serde_json::to_string_pretty(&measures);
        println!("{}", text.unwrap_or_default());
    } else {
        let row = compare::Compared {
            name: "shipped",
            measures,
        };
        print!("{}", compare::table(&[row]));
    }
    Ok(())
}

fn compare_one(trace: &Path, deploy: &Path) -> Result<(), TraceError> {
    let loaded = load(trace, deploy)?;
    println!("{}: {} s", loaded.trace.name, loaded.trace.seconds);
    println!("{}", compare::table(&compare::placements(&loaded)));
    println!("{}", compare::table(&compare::rules(&loaded)));
    Ok(())
}
