//! Traces: recorded inputs with stated outcomes.

use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use thistlesill_core::jsonc::{self, JsoncError};
use thistlesill_core::settings::{Branch, TreeFile};
use thistlesill_core::{CustomerId, DomainId, InstanceId};
use thistlesill_fakes::FleetFile;

use crate::stage::{EngineModel, TableMode};

/// A recorded trace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trace {
    /// Its name.
    pub name: String,
    /// The folder in `deploy/` with the fleet and its settings.
    pub deployment: String,
    /// Seconds from the start that are not measured: groups form.
    pub warm_up: u64,
    /// Seconds in all.
    pub seconds: u64,
    /// Seed of the arrivals and of all random sources.
    pub seed: u64,
    /// How engines behave.
    #[serde(default)]
    pub engine: EngineModel,
    /// Streams of arrivals.
    #[serde(default)]
    pub arrivals: Vec<Arrivals>,
    /// What happens.
    #[serde(default)]
    pub events: Vec<Event>,
}

/// Requests of one customer over a span of time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Arrivals {
    /// The customer.
    pub customer: CustomerId,
    /// First second.
    pub from: u64,
    /// Last second.
    pub until: u64,
    /// Requests per second, on average.
    pub rate: f64,
    /// Tokens of an answer.
    pub tokens: u32,
    /// Milliseconds after which an answer is late.
    pub due_ms: u64,
    /// The caller's priority.
    #[serde(default)]
    pub priority: Option<u8>,
    /// How many different prompts there are; each has a prefix of its own.
    #[serde(default)]
    pub prompts: Option<u32>,
}

/// Something that happens at a second.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// The second.
    pub at: u64,
    /// What.
    pub what: What,
}

/// What happens.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum What {
    /// An instance dies.
    Kill(InstanceId),
    /// A dead instance starts anew.
    Restart(InstanceId),
    /// An instance stands still.
    Pause(InstanceId),
    /// It goes on.
    Continue(InstanceId),
    /// An instance turns slow; a factor of 1 ends it.
    Slow(InstanceId, u32),
    /// A fabric domain goes dark.
    Dark(DomainId),
    /// It comes back.
    Light(DomainId),
    /// An instance is listed as leaving.
    Leave(InstanceId),
    /// The table changes its behaviour.
    Table(TableMode),
    /// A planner dies.
    KillPlanner(usize),
    /// A dead planner starts anew.
    StartPlanner(usize),
    /// A planner stands still.
    PausePlanner(usize),
    /// It goes on.
    ContinuePlanner(usize),
    /// A branch of the settings is replaced.
    Edit(String, Box<Branch>),
}

/// Why a trace could not be read.
#[derive(Debug, Snafu)]
pub enum TraceError {
    /// A file could not be read.
    #[snafu(display("{}: {source}", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// A file is malformed.
    #[snafu(display("{}:{source}", path.display()))]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The cause, with its place.
        source: JsoncError,
    },
}

/// A trace with the deployment that it plays on.
#[derive(Debug, Clone)]
pub struct Loaded {
    /// The trace.
    pub trace: Trace,
    /// The fleet.
    pub fleet: FleetFile,
    /// Its settings.
    pub settings: TreeFile,
}

/// Reads a trace and its deployment.
///
/// # Errors
///
/// A [`TraceError`] that names the file.
pub fn load(path: &Path, deploy: &Path) -> Result<Loaded, TraceError> {
    let trace: Trace = read(path)?;
    let dir = deploy.join(&trace.deployment);
    Ok(Loaded {
        fleet: read(&dir.join("fleet.jsonc"))?,
        settings: read(&dir.join("settings.jsonc"))?,
        trace,
    })
}

fn read<T: serde::de::DeserializeOwned>(path: &Path) -> Result<T, TraceError> {
    let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
    jsonc::from_str(&text).context(MalformedSnafu { path })
}
