//! The operators' HTTP interface of a daemon: liveness, readiness, metrics, status and event
//! timeline.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use salvo::conn::tcp::TcpAcceptor;
use salvo::fuse::FuseConfig;
use salvo::http::StatusCode;
use salvo::prelude::{Depot, FlowCtrl, Request, Response, Router, Server, handler};
use salvo::writing::{Json, Text};
use serde::Serialize;
use thistlesill_core::ErrorKind;
use thistlesill_core::config::Limits;
use thistlesill_core::error::ErrorBody;
use thistlesill_core::seal::sha256_hex;
use tokio::sync::{mpsc, oneshot};

use crate::journal::Journal;
use crate::listen::listen_bounded;

/// The smallest HTTP/1 read buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// An operator's request to the daemon's event loop.
#[derive(Debug)]
pub struct AdminRequest {
    /// The requested operation.
    pub command: AdminCommand,
    /// Receives the answer.
    pub reply: oneshot::Sender<AdminReply>,
}

/// An operation that an operator can request from a daemon's event loop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdminCommand {
    /// Reports whether the daemon is ready for callers.
    Ready,
    /// Reports the daemon's counters and state.
    Status,
    /// Lists the groups that the daemon knows.
    Groups,
    /// Lists the instances that the daemon knows.
    Instances,
    /// Stops accepting requests, and exits when all have ended.
    Drain,
}

/// The event loop's answer to an [`AdminRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdminReply {
    /// The daemon is ready, or has accepted the command.
    Yes,
    /// The daemon is not ready, or does not support the command.
    No,
    /// The requested data.
    Value(serde_json::Value),
}

impl AdminReply {
    /// Converts a value to JSON; returns [`AdminReply::No`] if that fails.
    pub fn value<T: Serialize>(value: &T) -> Self {
        serde_json::to_value(value).map_or(Self::No, Self::Value)
    }
}

/// The shared state of the operators' routes.
#[derive(Debug, Clone)]
pub struct Admin {
    /// Sends requests to the event loop.
    pub requests: mpsc::Sender<AdminRequest>,
    /// SHA-256 of the operators' token, in hexadecimal.
    pub token_sha256: String,
    /// The timeline that `/admin/timeline` returns.
    pub journal: Journal,
    /// Renders the metrics that `/metrics` returns.
    pub metrics: PrometheusHandle,
}

/// Installs this process's Prometheus recorder, and returns the handle that renders its metrics.
///
/// # Panics
///
/// If called twice in a process.
pub fn install_metrics() -> PrometheusHandle {
    let builder = PrometheusBuilder::new();
    builder.install_recorder().expect("called once per process")
}

/// Installs the logger, with the level that `RUST_LOG` sets, or else `info`.
pub fn install_logger() {
    let env = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(env)
        .format_timestamp_millis()
        .init();
}

impl Admin {
    /// Returns the operators' routes; all but `/livez`, `/readyz` and `/metrics` require the
    /// operators' bearer token.
    pub fn router(self) -> Router {
        let shared = Arc::new(self);
        let get = |path: &str, route: Route| {
            Router::with_path(path).get(AdminHandler {
                admin: shared.clone(),
                route,
            })
        };
        Router::new()
            .push(get("livez", Route::Live))
            .push(get("readyz", Route::Command(AdminCommand::Ready)))
            .push(get("metrics", Route::Metrics))
            .push(get("admin/status", Route::Command(AdminCommand::Status)))
            .push(get("admin/groups", Route::Command(AdminCommand::Groups)))
            .push(get(
                "admin/instances",
                Route::Command(AdminCommand::Instances),
            ))
            .push(get("admin/timeline", Route::Timeline))
            .push(Router::with_path("admin/drain").post(AdminHandler {
                admin: shared.clone(),
                route: Route::Command(AdminCommand::Drain),
            }))
    }

    fn is_authorized(&self, req: &Request) -> bool {
        let token = bearer(req).unwrap_or_default();
        sha256_hex(token.as_bytes()) == self.token_sha256
    }

    async fn execute(&self, command: AdminCommand) -> Option<AdminReply> {
        let (reply, answer) = oneshot::channel();
        self.requests
            .send(AdminRequest { command, reply })
            .await
            .ok()?;
        answer.await.ok()
    }
}

/// Returns the bearer token of a request, or `None` if the request has none.
pub fn bearer(req: &Request) -> Option<String> {
    let value = req.headers().get("authorization")?.to_str().ok()?;
    value.strip_prefix("Bearer ").map(|t| t.trim().to_owned())
}

/// Writes an error as the response, with its delay as `retry-after` in whole seconds.
pub fn write_error(res: &mut Response, body: &ErrorBody) {
    let kind = body.error.code;
    let status = StatusCode::from_u16(kind.answer().status);
    res.status_code(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    if let Some(ms) = body.error.retry_after_ms {
        let seconds = ms.div_ceil(1_000).to_string();
        drop(res.add_header("retry-after", seconds, true));
    }
    res.render(Json(body));
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Route {
    Live,
    Metrics,
    Timeline,
    Command(AdminCommand),
}

#[derive(Debug, Clone)]
struct AdminHandler {
    admin: Arc<Admin>,
    route: Route,
}

#[handler]
impl AdminHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let is_public = matches!(
            self.route,
            Route::Live | Route::Metrics | Route::Command(AdminCommand::Ready)
        );
        if !is_public && !self.admin.is_authorized(req) {
            write_error(res, &ErrorBody::new(ErrorKind::Unauthorized, None));
            return;
        }
        match &self.route {
            Route::Live => res.render(Text::Plain("live\n")),
            Route::Metrics => res.render(Text::Plain(self.admin.metrics.render())),
            Route::Timeline => res.render(Json(self.admin.journal.records())),
            Route::Command(command) => match self.admin.execute(command.clone()).await {
                Some(AdminReply::Yes) => res.render(Text::Plain("yes\n")),
                Some(AdminReply::Value(value)) => res.render(Json(value)),
                Some(AdminReply::No) | None => {
                    write_error(res, &ErrorBody::new(ErrorKind::NotReady, None));
                }
            },
        }
    }
}

/// Serves routes at an address until the process ends.
///
/// # Panics
///
/// If the address cannot be bound: a daemon cannot work without its port.
pub async fn serve(address: SocketAddr, router: Router) {
    server(address, &Limits::default()).serve(router).await;
}

/// Creates a server at an address, with limits on connections, header size, and the time to
/// receive a header section or a body.
///
/// # Panics
///
/// If the address cannot be bound.
pub fn server(address: SocketAddr, limits: &Limits) -> Server<TcpAcceptor> {
    let acceptor = listen_bounded(address).and_then(TcpAcceptor::try_from);
    let acceptor = acceptor.unwrap_or_else(|e| panic!("{address}: {e}"));
    let fuse = FuseConfig::default()
        .with_http1_header_timeout(Duration::from_millis(limits.head_ms))
        .with_request_body_timeout(Duration::from_millis(limits.body_ms));
    let mut server = Server::new(acceptor)
        .fuse_config(fuse)
        .max_connections(limits.connections);
    server
        .http1_mut()
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES));
    server
}
