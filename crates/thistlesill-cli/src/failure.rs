//! Failures of commands and their exit codes.

use std::process::ExitCode;

use snafu::Snafu;
use thistlesill_net::files::FileError;
use thistlesill_net::http::HttpError;

/// The reason why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Failure {
    /// The platform or a daemon could not be reached or answered with an error. Exit code 1.
    #[snafu(display("{what}: {source}"))]
    Unreachable {
        /// The name of the platform or daemon.
        what: String,
        /// The cause.
        source: HttpError,
    },
    /// No daemon answered. Exit code 1.
    #[snafu(display("no {what} answered"))]
    NoAnswer {
        /// The kind of daemon.
        what: String,
    },
    /// A name or request id is unknown. Exit code 1.
    #[snafu(display("{text}"))]
    NotFound {
        /// The unknown name, and the most similar known one.
        text: String,
    },
    /// A file could not be used. Exit code 2.
    #[snafu(display("{source}"))]
    File {
        /// The cause.
        source: FileError,
    },
    /// Settings do not pass their check, or an argument or its file cannot be used. Exit code 2.
    #[snafu(display("{text}"))]
    InvalidInput {
        /// The mistake, and what would be allowed.
        text: String,
    },
    /// Another edit came first. Exit code 3.
    #[snafu(display("{text}"))]
    Conflict {
        /// The changes since the edit's base.
        text: String,
    },
    /// It is not known whether the edit took effect. Exit code 4.
    #[snafu(display(
        "the platform did not answer: the edit may be in force; see `settings history`"
    ))]
    Unknown,
}

impl Failure {
    /// Returns the exit code of the program.
    pub const fn code(&self) -> u8 {
        match self {
            Self::Unreachable { .. } | Self::NoAnswer { .. } | Self::NotFound { .. } => 1,
            Self::File { .. } | Self::InvalidInput { .. } => 2,
            Self::Conflict { .. } => 3,
            Self::Unknown => 4,
        }
    }
}

impl From<&Failure> for ExitCode {
    fn from(failure: &Failure) -> Self {
        Self::from(failure.code())
    }
}
