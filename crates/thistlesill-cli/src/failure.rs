//! How a command fails, and with which exit code.

use std::process::ExitCode;

use snafu::Snafu;
use thistlesill_net::files::FileError;
use thistlesill_net::http::HttpError;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Failure {
    /// Something could not be reached or answered with an error. Exit code 1.
    #[snafu(display("{what}: {source}"))]
    Unreachable {
        /// What.
        what: String,
        /// The cause.
        source: HttpError,
    },
    /// No daemon answered. Exit code 1.
    #[snafu(display("no {what} answered"))]
    Nobody {
        /// Which daemons.
        what: String,
    },
    /// Nothing of that name is known. Exit code 1.
    #[snafu(display("{text}"))]
    NotFound {
        /// What, and what is near it.
        text: String,
    },
    /// A file could not be used. Exit code 2.
    #[snafu(display("{source}"))]
    File {
        /// The cause.
        source: FileError,
    },
    /// Settings do not pass their check, or words are wrong. Exit code 2.
    #[snafu(display("{text}"))]
    Wrong {
        /// What, and what would be right.
        text: String,
    },
    /// Another edit came first. Exit code 3.
    #[snafu(display("{text}"))]
    Conflict {
        /// What changed since.
        text: String,
    },
    /// It is not known whether the edit took effect. Exit code 4.
    #[snafu(display(
        "the platform did not answer: the edit may be in force; see `settings history`"
    ))]
    Unknown,
}

impl Failure {
    /// The exit code.
    pub const fn code(&self) -> u8 {
        match self {
            Self::Unreachable { .. } | Self::Nobody { .. } | Self::NotFound { .. } => 1,
            Self::File { .. } | Self::Wrong { .. } => 2,
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
