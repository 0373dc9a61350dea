//! The client of a fleet's platform and daemons.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use hyper::Request;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use thistlesill_core::NodeId;
use thistlesill_core::config::Role;
use thistlesill_net::files::{read_jsonc, read_secret};
use thistlesill_net::http::{HttpClient, HttpError, build_request, decode};
use thistlesill_net::platform::Platform;

use crate::failure::{Failure, FileSnafu, UnreachableSnafu};

const DAEMON_TIMEOUT: Duration = Duration::from_secs(5);

/// The content of the file with the fleet's addresses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetAddresses {
    /// The address of the platform's services.
    pub platform: SocketAddr,
    /// The file with the operators' token.
    pub token_file: PathBuf,
    /// The fleet's daemons.
    pub daemons: Vec<DaemonAddress>,
}

/// The address of a daemon's interface for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonAddress {
    /// The daemon's name.
    pub name: NodeId,
    /// The daemon's role.
    pub role: Role,
    /// The address of the operators' interface.
    pub admin: SocketAddr,
}

/// The answer of one daemon, or the error of the call.
#[derive(Debug)]
pub struct Answer<T> {
    /// The daemon's name.
    pub name: NodeId,
    /// The decoded answer.
    pub result: Result<T, HttpError>,
}

/// A client of one fleet.
#[derive(Debug, Clone)]
pub struct Client {
    addresses: FleetAddresses,
    token: String,
    http: HttpClient,
    /// The client of the platform's services.
    pub platform: Platform,
}

impl Client {
    /// Reads the fleet's addresses from a file, and the operators' token from the file that it
    /// names.
    ///
    /// # Errors
    ///
    /// [`Failure::File`] if one of the files cannot be used.
    pub fn open(path: &Path) -> Result<Self, Failure> {
        let addresses: FleetAddresses = read_jsonc(path).context(FileSnafu)?;
        let token = read_secret(&addresses.token_file).context(FileSnafu)?;
        Ok(Self {
            platform: Platform::new(addresses.platform),
            http: HttpClient::pooled(),
            addresses,
            token,
        })
    }

    /// Returns the daemons of a role, or all.
    pub fn daemons(&self, role: Option<Role>) -> Vec<DaemonAddress> {
        let all = self.addresses.daemons.iter();
        all.filter(|d| role.is_none_or(|r| d.role == r))
            .cloned()
            .collect()
    }

    /// Requests a path of a daemon and decodes the JSON answer.
    ///
    /// # Errors
    ///
    /// Any [`HttpError`].
    pub async fn get<T: DeserializeOwned>(
        &self,
        daemon: &DaemonAddress,
        path: &str,
    ) -> Result<T, HttpError> {
        let head = Request::get(format!("http://{}{path}", daemon.admin));
        let head = head.header("authorization", format!("Bearer {}", self.token));
        let request = build_request(head, hyper::body::Bytes::new())?;
        decode(&self.http.call(request, DAEMON_TIMEOUT).await?)
    }

    /// Requests a path of all daemons of a role, or of all, one after the other.
    pub async fn get_all<T: DeserializeOwned>(
        &self,
        role: Option<Role>,
        path: &str,
    ) -> Vec<Answer<T>> {
        let mut answers = Vec::new();
        for daemon in self.daemons(role) {
            let result = self.get(&daemon, path).await;
            answers.push(Answer {
                name: daemon.name,
                result,
            });
        }
        answers
    }

    /// Asks a daemon to exit when its requests have ended.
    ///
    /// # Errors
    ///
    /// [`Failure::NotFound`] for an unknown name, [`Failure::Unreachable`] if the call fails.
    pub async fn drain(&self, name: &str) -> Result<(), Failure> {
        let daemons = self.daemons(None);
        let Some(daemon) = daemons.iter().find(|d| d.name.as_str() == name) else {
            let names = daemons.iter().map(|d| d.name.as_str());
            return Err(not_found("daemon", name, names));
        };
        let head = Request::post(format!("http://{}/admin/drain", daemon.admin))
            .header("authorization", format!("Bearer {}", self.token));
        let what = || format!("daemon {name}");
        let request = build_request(head, hyper::body::Bytes::new())
            .with_context(|_| UnreachableSnafu { what: what() })?;
        let answer = self.http.call(request, DAEMON_TIMEOUT).await;
        answer.with_context(|_| UnreachableSnafu { what: what() })?;
        Ok(())
    }
}

/// Returns the failure for an unknown name, with the most similar known name as a hint.
pub fn not_found<'a>(what: &str, name: &str, known: impl IntoIterator<Item = &'a str>) -> Failure {
    let nearest = thistlesill_core::suggest::nearest(name, known);
    let hint = nearest.map_or(String::new(), |n| format!("; did you mean `{n}`?"));
    Failure::NotFound {
        text: format!("no {what} `{name}`{hint}"),
    }
}
