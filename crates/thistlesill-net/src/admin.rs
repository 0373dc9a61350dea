//! What every daemon serves to operators: liveness, readiness, metrics, its
//! status and its time line.

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
use tokio::net::TcpSocket;
use tokio::sync::{mpsc, oneshot};

use crate::journal::Journal;

/// The least buffer for a header section that the library takes.
const MIN_HEAD: usize = 8 << 10;

/// A question of an operator to the daemon's loop, answered as JSON.
#[derive(Debug)]
pub struct AdminRequest {
    /// What is asked.
    pub command: AdminCommand,
    /// Where the answer goes.
    pub reply: oneshot::Sender<AdminReply>,
}

/// What an operator can ask a daemon's loop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdminCommand {
    /// Whether it is ready for callers.
    Ready,
    /// Its figures.
    Status,
    /// The groups as it sees them.
    Groups,
    /// The instances as it sees them.
    Instances,
    /// To stop taking requests and exit when all have ended.
    Drain,
}

/// The loop's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdminReply {
    /// Yes or done.
    Yes,
    /// No.
    No,
    /// A JSON value.
    Value(serde_json::Value),
}

impl AdminReply {
    /// An answer from a value.
    pub fn value<T: Serialize>(value: &T) -> Self {
        serde_json::to_value(value).map_or(Self::No, Self::Value)
    }
}

/// What the operators' routes need.
#[derive(Debug, Clone)]
pub struct Admin {
    /// Takes questions to the loop.
    pub questions: mpsc::Sender<AdminRequest>,
    /// SHA-256 of the operators' token.
    pub token_sha256: String,
    /// The time line.
    pub journal: Journal,
    /// The metrics.
    pub metrics: PrometheusHandle,
}

/// Installs the recorder of metrics for this process.
///
/// # Panics
///
/// If called twice in a process.
pub fn install_metrics() -> PrometheusHandle {
    let builder = PrometheusBuilder::new();
    builder.install_recorder().expect("called once per process")
}

/// Installs the logger: `RUST_LOG` sets the level, `info` if absent.
pub fn install_logger() {
    let env = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(env)
        .format_timestamp_millis()
        .init();
}

impl Admin {
    /// The operators' routes.
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
            .push(get("readyz", Route::Ask(AdminCommand::Ready)))
            .push(get("metrics", Route::Metrics))
            .push(get("admin/status", Route::Ask(AdminCommand::Status)))
            .push(get("admin/groups", Route::Ask(AdminCommand::Groups)))
            .push(get("admin/instances", Route::Ask(AdminCommand::Instances)))
            .push(get("admin/timeline", Route::Timeline))
            .push(Router::with_path("admin/drain").post(AdminHandler {
                admin: shared.clone(),
                route: Route::Ask(AdminCommand::Drain),
            }))
    }

    fn permits(&self, req: &Request) -> bool {
        let token = bearer(req).unwrap_or_default();
        sha256_hex(token.as_bytes()) == self.token_sha256
    }

    async fn ask(&self, ask: AdminCommand) -> Option<AdminReply> {
        let (reply, answer) = oneshot::channel();
        self.questions
            .send(AdminRequest {
                command: ask,
                reply,
            })
            .await
            .ok()?;
        answer.await.ok()
    }
}

/// The bearer token of a request.
pub fn bearer(req: &Request) -> Option<String> {
    let value = req.headers().get("authorization")?.to_str().ok()?;
    value.strip_prefix("Bearer ").map(|t| t.trim().to_owned())
}

/// Writes an error's answer.
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
    Ask(AdminCommand),
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
        let open = matches!(
            self.route,
            Route::Live | Route::Metrics | Route::Ask(AdminCommand::Ready)
        );
        if !open && !self.admin.permits(req) {
            write_error(res, &ErrorBody::new(ErrorKind::Unauthorized, None));
            return;
        }
        match &self.route {
            Route::Live => res.render(Text::Plain("live\n")),
            Route::Metrics => res.render(Text::Plain(self.admin.metrics.render())),
            Route::Timeline => res.render(Json(self.admin.journal.records())),
            Route::Ask(ask) => match self.admin.ask(ask.clone()).await {
                Some(AdminReply::Yes) => res.render(Text::Plain("yes\n")),
                Some(AdminReply::Value(value)) => res.render(Json(value)),
                Some(AdminReply::No) | None => {
                    write_error(res, &ErrorBody::new(ErrorKind::NotReady, None));
                }
            },
        }
    }
}

/// Serves routes at an address, for ever.
///
/// # Panics
///
/// If the address cannot be bound: a daemon without its port is of no use.
pub async fn serve(address: SocketAddr, router: Router) {
    server(address, &Limits::default()).serve(router).await;
}

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Listens without delay for small packets: accepted connections take that
/// over, and the last event of a stream must not wait for an acknowledgement.
fn listen(address: SocketAddr) -> std::io::Result<TcpAcceptor> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    TcpAcceptor::try_from(socket.listen(BACKLOG)?)
}

/// A server at an address, with limits on what comes in.
///
/// # Panics
///
/// If the address cannot be bound.
pub fn server(address: SocketAddr, limits: &Limits) -> Server<TcpAcceptor> {
    let acceptor = listen(address).unwrap_or_else(|e| panic!("{address}: {e}"));
    let fuse = FuseConfig::default()
        .with_http1_header_timeout(Duration::from_millis(limits.head_ms))
        .with_request_body_timeout(Duration::from_millis(limits.body_ms));
    let mut server = Server::new(acceptor)
        .fuse_config(fuse)
        .max_connections(limits.connections);
    server
        .http1_mut()
        .max_buf_size(limits.head_bytes.max(MIN_HEAD));
    server
}
