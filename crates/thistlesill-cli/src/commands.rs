//! Implementations of the commands.

mod fleet;
mod logs;
mod settings;
mod timeline;

use std::path::PathBuf;

use serde::Serialize;

use crate::client::Client;
use crate::failure::Failure;
use crate::flags::{ExplainCmd, SettingsCmd, Thistlesill, ThistlesillCmd};

/// The default file with the fleet's addresses.
const DEFAULT_FLEET_FILE: &str = "thistlesill.jsonc";

/// Runs a command and returns the text to print.
///
/// # Errors
///
/// The [`Failure`] of the command, which has an exit code.
pub async fn run(flags: Thistlesill) -> Result<String, Failure> {
    let json = flags.json;
    let fleet = flags
        .fleet
        .unwrap_or_else(|| PathBuf::from(DEFAULT_FLEET_FILE));
    let open = || Client::open(&fleet);
    match flags.subcommand {
        ThistlesillCmd::Settings(settings) => match settings.subcommand {
            SettingsCmd::Check(args) => settings::check(&args, json),
            SettingsCmd::Put(args) => settings::put(&open()?, &args, json).await,
            SettingsCmd::Get(args) => settings::get(&open()?, args, json).await,
            SettingsCmd::Diff(args) => settings::diff(&open()?, &args, json).await,
            SettingsCmd::History(args) => settings::history(&open()?, &args, json).await,
        },
        ThistlesillCmd::Groups(_) => fleet::groups(&open()?, json).await,
        ThistlesillCmd::Instances(_) => fleet::instances(&open()?, json).await,
        ThistlesillCmd::Status(_) => fleet::status(&open()?, json).await,
        ThistlesillCmd::Drain(args) => fleet::drain(&open()?, &args.name, json).await,
        ThistlesillCmd::Explain(explain) => match explain.subcommand {
            ExplainCmd::Request(args) => timeline::explain(&open()?, &args.id, json).await,
            ExplainCmd::Losses(args) => logs::losses(&args.files, json),
            ExplainCmd::Refusal(args) => logs::refusal(&args.id, &args.files, json),
            ExplainCmd::Group(args) => fleet::explain(&open()?, &args.name, json).await,
        },
        ThistlesillCmd::Timeline(args) => timeline::show(&open()?, args, json).await,
    }
}

/// Returns a value as indented JSON.
fn to_json<T: Serialize>(value: &T) -> String {
    let text = serde_json::to_string_pretty(value);
    text.map(|t| t + "\n").unwrap_or_default()
}
