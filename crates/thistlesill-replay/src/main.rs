//! Replays recorded traces with the production policies, compares these with baselines, and
//! measures what the cores cost.
//!
//! The types of the command line are generated from its description below.
#![allow(missing_docs)]

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use thistlesill_replay::compare;
use thistlesill_replay::player::{Decisions, play};
use thistlesill_replay::slopes;
use thistlesill_replay::trace::{TraceError, load};

xflags::xflags! {
    /// Replays recorded traces with the production policies.
    ///
    /// Examples:
    ///   thistlesill-replay play crates/thistlesill-replay/traces/cascade-dawn.jsonc
    ///   thistlesill-replay compare crates/thistlesill-replay/traces/*.jsonc
    ///   thistlesill-replay slopes
    cmd thistlesill-replay {
        /// Directory with the deployments (default: deploy).
        optional --deploy path: PathBuf
        /// Print JSON instead of a table.
        optional --json

        /// Replay one trace with the production policies.
        cmd play {
            /// The trace file.
            required trace: PathBuf
        }
        /// Replay traces with the production policies and with the baselines.
        cmd compare {
            /// The trace files.
            repeated traces: PathBuf
        }
        /// Measure time and bytes of the cores' work at several sizes.
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
        let row = compare::ComparisonRow {
            name: "shipped",
            measures,
        };
        print!("{}", compare::format_table(&[row]));
    }
    Ok(())
}

fn compare_one(trace: &Path, deploy: &Path) -> Result<(), TraceError> {
    let loaded = load(trace, deploy)?;
    println!("{}: {} s", loaded.trace.name, loaded.trace.seconds);
    println!(
        "{}",
        compare::format_table(&compare::compare_strategies(&loaded))
    );
    println!(
        "{}",
        compare::format_table(&compare::compare_pick_rules(&loaded))
    );
    Ok(())
}
