//! The files that a daemon is started with.

use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};
use thistlesill_core::config::{DaemonConfig, Role, check};
use thistlesill_core::jsonc::{self, JsoncError};
use thistlesill_core::seal::SharedKey;

/// The least bytes of a shared key.
const MIN_KEY: usize = 16;

/// Why a file could not be used.
#[derive(Debug, Snafu)]
pub enum FileError {
    /// It could not be read.
    #[snafu(display("{}: {source}", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// It is malformed.
    #[snafu(display("{}:{source}", path.display()))]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The cause, with its place.
        source: JsoncError,
    },
    /// A value in it does not fit.
    #[snafu(display("{}: {text}", path.display()))]
    Unfit {
        /// The file.
        path: PathBuf,
        /// What is wrong and what would be right.
        text: String,
    },
}

/// The secrets of a daemon.
#[derive(Debug, Clone)]
pub struct Secrets {
    /// The key that the fleet's daemons share.
    pub key: SharedKey,
    /// SHA-256 of the operators' token, in hexadecimal.
    pub token_sha256: String,
}

/// Reads JSON with comments from a file.
///
/// # Errors
///
/// A [`FileError`] that names file, line and column.
pub fn read_jsonc<T: DeserializeOwned>(path: &Path) -> Result<T, FileError> {
    let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
    jsonc::from_str(&text).context(MalformedSnafu { path })
}

/// Reads and checks a daemon's settings.
///
/// # Errors
///
/// A [`FileError`].
pub fn read_config(path: &Path, role: Role) -> Result<DaemonConfig, FileError> {
    let config: DaemonConfig = read_jsonc(path)?;
    match check(&config, role) {
        Ok(()) => Ok(config),
        Err(text) => Err(FileError::Unfit {
            path: path.to_owned(),
            text,
        }),
    }
}

/// Reads the files with a daemon's secrets.
///
/// # Errors
///
/// A [`FileError`] if one is missing or too short.
pub fn read_secrets(config: &DaemonConfig) -> Result<Secrets, FileError> {
    let key = read_secret(&config.key_file)?;
    let token = read_secret(&config.token_file)?;
    Ok(Secrets {
        key: SharedKey::new(key.as_bytes()),
        token_sha256: thistlesill_core::seal::sha256_hex(token.as_bytes()),
    })
}

/// Reads a secret's file without the white space around it.
///
/// # Errors
///
/// A [`FileError`] if it is missing or shorter than 16 bytes.
pub fn read_secret(path: &Path) -> Result<String, FileError> {
    let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
    let secret = text.trim();
    if secret.len() < MIN_KEY {
        let text = format!("a secret has at least {MIN_KEY} bytes");
        return Err(FileError::Unfit {
            path: path.to_owned(),
            text,
        });
    }
    Ok(secret.to_owned())
}
