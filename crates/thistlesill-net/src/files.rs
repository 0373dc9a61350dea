//! The settings and secret files that a daemon is started with.

use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};
use thistlesill_core::config::{DaemonConfig, Role, check};
use thistlesill_core::jsonc::{self, JsoncError};
use thistlesill_core::seal::SharedKey;

/// The smallest length of a secret.
const MIN_SECRET_BYTES: usize = 16;

/// The reason why a file could not be used.
#[derive(Debug, Snafu)]
pub enum FileError {
    /// The file could not be read.
    #[snafu(display("{}: {source}", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The file does not parse.
    #[snafu(display("{}:{source}", path.display()))]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The cause, with its line and column.
        source: JsoncError,
    },
    /// A value in the file is not allowed.
    #[snafu(display("{}: {text}", path.display()))]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The mistake, and what would be allowed.
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

/// Reads a daemon's settings and checks them for its role.
///
/// # Errors
///
/// A [`FileError`] if the file cannot be read, does not parse or fails the check.
pub fn read_config(path: &Path, role: Role) -> Result<DaemonConfig, FileError> {
    let config: DaemonConfig = read_jsonc(path)?;
    match check(&config, role) {
        Ok(()) => Ok(config),
        Err(text) => Err(FileError::Invalid {
            path: path.to_owned(),
            text,
        }),
    }
}

/// Reads a daemon's shared key and operators' token from the files that its settings name.
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

/// Reads a secret from a file, without the white space around the secret.
///
/// # Errors
///
/// A [`FileError`] if it is missing or shorter than 16 bytes.
pub fn read_secret(path: &Path) -> Result<String, FileError> {
    let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
    let secret = text.trim();
    if secret.len() < MIN_SECRET_BYTES {
        let text = format!("a secret must have at least {MIN_SECRET_BYTES} bytes");
        return Err(FileError::Invalid {
            path: path.to_owned(),
            text,
        });
    }
    Ok(secret.to_owned())
}
