//! HTTP interface of a target: reports and orders, completions, streams and plain calls.

use std::sync::Arc;
use std::time::{Duration, Instant};

use salvo::http::StatusCode;
use salvo::prelude::{Depot, FlowCtrl, Request, Response, Router, handler};
use salvo::sse;
use salvo::writing::Json;
use thistlesill_core::report::{Duty, Load, Membership, Order, OrderReply, Report, Task};
use thistlesill_core::{GroupId, RequestId};
use thistlesill_net::engine::{
    EPOCH_HEADER, GROUP_HEADER, OFFSET_HEADER, PRIORITY_HEADER, PROOF_HEADER, RAN_HEADER,
    REQUEST_HEADER,
};

use super::stream::{self, StreamLog};
use super::{Engine, Power};
use crate::words::CompletionRequest;

/// Prefixes that the prefix cache holds.
const MAX_CACHED_PREFIXES: usize = 32;
/// Leading bytes of a prompt that identify its prefix.
const PREFIX_BYTES: usize = 64;
/// Interval between two checks of whether a queued request may begin.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Bounds the requests that wait in an engine.
const MAX_WAITING: usize = 256;
/// Bounds the body of a plain call.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Returns the routes of a target.
pub(super) fn router(engine: &Arc<Engine>) -> Router {
    let on = |route: Route| RouteHandler {
        engine: engine.clone(),
        route,
    };
    Router::new()
        .push(Router::with_path("control/report").get(on(Route::Report)))
        .push(Router::with_path("control/order").post(on(Route::Order)))
        .push(Router::with_path("v1/chat/completions").post(on(Route::Complete)))
        .push(Router::with_path("v1/completions").post(on(Route::Complete)))
        .push(Router::with_path("v1/streams/{request}/resume").post(on(Route::Resume)))
        .push(Router::with_path("v1/streams/{request}/cancel").post(on(Route::Cancel)))
        .push(Router::with_path("{**rest}").goal(on(Route::Plain)))
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Route {
    Report,
    Order,
    Complete,
    Resume,
    Cancel,
    Plain,
}

#[derive(Debug, Clone)]
struct RouteHandler {
    engine: Arc<Engine>,
    route: Route,
}

#[handler]
impl RouteHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        if !self.engine.wait_until_running().await {
            // A killed process answers nothing; the connection breaks.
            std::future::pending::<()>().await;
        }
        match self.route {
            Route::Report => res.render(Json(self.engine.report())),
            Route::Order => order(&self.engine, req, res).await,
            Route::Complete => complete(&self.engine, req, res).await,
            Route::Resume => resume(&self.engine, req, res),
            Route::Cancel => cancel(&self.engine, req),
            Route::Plain => plain(&self.engine, req, res).await,
        }
    }
}

impl Engine {
    fn report(&self) -> Report {
        let mut state = self.state();
        let lag = Duration::from_millis(self.options.lag_ms);
        let pressure = state.delayed_pressure(lag, Instant::now());
        Report {
            cache: state.cache.events(),
            ..state.target.report(pressure)
        }
    }

    /// Waits until the weight store begins the load, then for the time that the load takes.
    async fn load_weights(&self) {
        self.weights.wait_for_slot().await;
        tokio::time::sleep(Duration::from_millis(self.options.load_ms)).await;
    }

    /// Returns the time per token: longer with more requests and by the target's slowdown.
    pub(super) fn token_time(&self) -> Duration {
        let state = self.state();
        let batch_percent = 100 + 10 * u64::from(state.running.saturating_sub(1));
        let ms = self.options.token_ms * batch_percent * u64::from(state.slowdown) / 100;
        Duration::from_millis(ms.max(1))
    }

    /// Returns how long a stream without readers is kept for a resumption.
    pub(super) const fn keep_timeout(&self) -> Duration {
        Duration::from_millis(self.options.keep_ms)
    }
}

async fn order(engine: &Arc<Engine>, req: &mut Request, res: &mut Response) {
    let proof = header(req, PROOF_HEADER).unwrap_or_default();
    let Ok(body) = req.payload().await else {
        res.status_code(StatusCode::BAD_REQUEST);
        return;
    };
    let authentic = !engine.options.checks_orders || hex::encode(engine.key.tag(body)) == proof;
    let parsed = serde_json::from_slice::<Order>(body);
    let (true, Ok(order)) = (authentic, parsed) else {
        engine.counts().refused_orders += 1;
        res.status_code(StatusCode::FORBIDDEN);
        return;
    };
    let reply = engine.state().target.apply_order(&order);
    if reply == OrderReply::Stale {
        engine.counts().refused_orders += 1;
    }
    match (reply, order.task) {
        (OrderReply::Taken, Task::Join(membership)) => {
            tokio::spawn(join(engine.clone(), membership));
        }
        (OrderReply::Taken, Task::Warm { load }) => {
            tokio::spawn(warm(engine.clone(), load));
        }
        _ => {}
    }
    res.render(Json(reply));
}

async fn join(engine: Arc<Engine>, membership: Membership) {
    if !engine.state().target.is_warm(&membership) {
        engine.load_weights().await;
    }
    if engine.wait_until_running().await {
        engine.state().target.finish_loading(&membership);
    }
}

async fn warm(engine: Arc<Engine>, load: Load) {
    engine.load_weights().await;
    if engine.wait_until_running().await {
        engine.state().target.set_warm(load);
    }
}

async fn complete(engine: &Arc<Engine>, req: &mut Request, res: &mut Response) {
    let Some((request, member)) = admit(engine, req) else {
        refuse_not_run(res);
        return;
    };
    let offset = numeric_header(req, OFFSET_HEADER).unwrap_or(0) as u32;
    let priority = numeric_header(req, PRIORITY_HEADER).unwrap_or(8) as u8;
    let bytes = req.payload().await.cloned().unwrap_or_default();
    let Ok(body) = serde_json::from_slice::<CompletionRequest>(&bytes) else {
        res.status_code(StatusCode::UNPROCESSABLE_ENTITY);
        return;
    };
    let Some(ticket) = enqueue(engine, priority) else {
        refuse_not_run(res);
        return;
    };
    wait_for_turn(engine, ticket).await;
    let prompt = body.prompt_text();
    let prefix = prefix_of(&prompt);
    let log = StreamLog::new(request, &member, prompt, offset, body.answer_tokens());
    let log = Arc::new(log);
    let hit = begin_run(engine, ticket, &log, prefix);
    let divisor = if hit { 2 } else { 1 };
    let slowdown = u64::from(engine.state().slowdown);
    let prefill = Duration::from_millis(engine.options.prefill_ms * slowdown / divisor);
    tokio::spawn(stream::generate(
        engine.clone(),
        log.clone(),
        member,
        prefill,
    ));
    sse::stream(res, stream::read(engine.clone(), log, offset));
}

/// Returns the request's id and the engine's membership if the engine leads the group and epoch
/// that the request names and is ready.
fn admit(engine: &Engine, req: &Request) -> Option<(RequestId, Membership)> {
    let request = header(req, REQUEST_HEADER)?.parse().ok()?;
    let group = GroupId::from(header(req, GROUP_HEADER)?);
    let epoch = numeric_header(req, EPOCH_HEADER)?;
    let Duty::Ready(member) = engine.duty() else {
        return None;
    };
    (member.rank == 0 && member.group == group && member.epoch == epoch)
        .then_some((request, member))
}

/// Adds a request to the engine's queue and returns its ticket, or `None` if the queue is full.
fn enqueue(engine: &Engine, priority: u8) -> Option<(u8, u64)> {
    let mut state = engine.state();
    if state.waiting.len() >= MAX_WAITING {
        return None;
    }
    state.last_ticket += 1;
    let ticket = (priority, state.last_ticket);
    state.waiting.push(ticket);
    state.accepted += 1;
    if let Some(since) = state.leaving_since {
        let elapsed_ms = since.elapsed().as_millis() as u64;
        drop(state);
        engine.counts().after_leaving.push(elapsed_ms);
    }
    Some(ticket)
}

async fn wait_for_turn(engine: &Engine, ticket: (u8, u64)) {
    while !engine.state().can_begin(ticket, engine.options.slots) {
        if *engine.power.borrow() == Power::Off {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(QUEUE_POLL_INTERVAL).await;
    }
}

/// Begins a run and returns whether its prefix was cached.
fn begin_run(engine: &Engine, ticket: (u8, u64), log: &Arc<StreamLog>, prefix: u64) -> bool {
    *engine
        .counts()
        .runs
        .entry(log.request.to_string())
        .or_default() += 1;
    let mut state = engine.state();
    state.waiting.retain(|t| *t != ticket);
    state.running += 1;
    state.streams.insert(log.request, log.clone());
    state.cache.touch(prefix, MAX_CACHED_PREFIXES)
}

/// Returns the hash of a prompt's beginning, as the routers compute it.
pub(super) fn prefix_of(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    rapidhash::v3::rapidhash_v3(&bytes[..bytes.len().min(PREFIX_BYTES)])
}

fn resume(engine: &Arc<Engine>, req: &Request, res: &mut Response) {
    let offset = numeric_header(req, OFFSET_HEADER).unwrap_or(0) as u32;
    let epoch = numeric_header(req, EPOCH_HEADER);
    let Some(log) = stream_of(engine, req).filter(|l| Some(l.epoch) == epoch) else {
        res.status_code(StatusCode::GONE);
        return;
    };
    sse::stream(res, stream::read(engine.clone(), log, offset));
}

fn cancel(engine: &Engine, req: &Request) {
    if let Some(log) = stream_of(engine, req) {
        log.abort();
    }
}

fn stream_of(engine: &Engine, req: &Request) -> Option<Arc<StreamLog>> {
    let request: RequestId = req.param::<String>("request")?.parse().ok()?;
    engine.state().streams.get(&request).cloned()
}

/// Answers a plain call by echoing its path and body, and counts the run.
async fn plain(engine: &Engine, req: &mut Request, res: &mut Response) {
    if engine.service.is_none() {
        res.status_code(StatusCode::NOT_FOUND);
        return;
    }
    let key = header(req, "idempotency-key").unwrap_or_default();
    let request = header(req, REQUEST_HEADER).unwrap_or_default();
    let run_id = if key.is_empty() { request } else { key };
    *engine.counts().runs.entry(run_id).or_default() += 1;
    let path = req.uri().path().to_owned();
    let Ok(body) = req.payload_with_max_size(MAX_BODY_BYTES).await.cloned() else {
        res.status_code(StatusCode::PAYLOAD_TOO_LARGE);
        return;
    };
    let hold_ms = req.query::<u64>("hold_ms").unwrap_or(5);
    tokio::time::sleep(Duration::from_millis(hold_ms)).await;
    res.render(Json(serde_json::json!({
        "service": engine.service,
        "path": path,
        "said": String::from_utf8_lossy(&body),
    })));
}

/// Refuses a request and tells the router that the request did not run.
fn refuse_not_run(res: &mut Response) {
    res.status_code(StatusCode::SERVICE_UNAVAILABLE);
    drop(res.add_header(RAN_HEADER, "no", true));
}

fn header(req: &Request, name: &str) -> Option<String> {
    let value = req.headers().get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

fn numeric_header(req: &Request, name: &str) -> Option<u64> {
    header(req, name)?.parse().ok()
}
