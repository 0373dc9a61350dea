//! Reaching the platform and the daemons.

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

/// Time for a call of a daemon.
const LIMIT: Duration = Duration::from_secs(5);

/// The file with the fleet's addresses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetAddresses {
    /// The platform's service.
    pub platform: SocketAddr,
    /// File with the operators' token.
    pub token_file: PathBuf,
    /// The daemons.
    pub daemons: Vec<DaemonAddress>,
}

/// Where a daemon answers operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonAddress {
    /// Its name.
    pub name: NodeId,
    /// What it does.
    pub role: Role,
    /// The address.
    pub admin: SocketAddr,
}

/// A daemon's answer, or why there is none.
#[derive(Debug)]
pub struct Answer<T> {
    /// The daemon.
    pub name: NodeId,
    /// Its answer.
    pub result: Result<T, HttpError>,
}

/// A client of one fleet.
#[derive(Debug, Clone)]
pub struct Client {
    addresses: FleetAddresses,
    token: String,
    http: HttpClient,
    /// The platform's service.
    pub platform: Platform,
}

impl Client {
    /// Reads the fleet's addresses and the token.
    ///
    /// # Errors
    ///
    /// [`Failure::File`].
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

    /// The daemons of a role, or all.
    pub fn daemons(&self, role: Option<Role>) -> Vec<DaemonAddress> {
        let all = self.addresses.daemons.iter();
        all.filter(|d| role.is_none_or(|r| d.role == r))
            .cloned()
            .collect()
    }

    /// Asks a daemon.
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
        decode(&self.http.call(request, LIMIT).await?)
    }

    /// Asks all daemons of a role.
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

    /// Tells a daemon to stop without cutting off a request.
    ///
    /// # Errors
    ///
    /// [`Failure::NotFound`] for an unknown name, [`Failure::Unreachable`].
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
        let answer = self.http.call(request, LIMIT).await;
        answer.with_context(|_| UnreachableSnafu { what: what() })?;
        Ok(())
    }
}

/// The failure for a name that is not known, with the nearest that is.
pub fn not_found<'a>(what: &str, name: &str, known: impl IntoIterator<Item = &'a str>) -> Failure {
    let near = thistlesill_core::suggest::nearest(name, known);
    let hint = near.map_or(String::new(), |n| format!("; did you mean `{n}`?"));
    Failure::NotFound {
        text: format!("no {what} `{name}`{hint}"),
    }
}
