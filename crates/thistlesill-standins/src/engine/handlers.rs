//! The HTTP interface of a target.

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
use crate::words::Body;

/// Prefixes that fit into the cache.
const MAX_PREFIXES: usize = 32;
/// Bytes of the prompt that count as its prefix.
const PREFIX_BYTES: usize = 64;
/// Between two looks at the queue.
const QUEUE_LOOK: Duration = Duration::from_millis(2);
/// Requests that wait in an engine at most.
const MAX_WAITING: usize = 256;
/// Bytes of a plain call's body at most.
const MAX_BODY: usize = 64 << 20;

/// The routes of a target.
pub(super) fn router(engine: &Arc<Engine>) -> Router {
    let on = |call: Call| Target {
        engine: engine.clone(),
        call,
    };
    Router::new()
        .push(Router::with_path("control/report").get(on(Call::Report)))
        .push(Router::with_path("control/order").post(on(Call::Order)))
        .push(Router::with_path("v1/chat/completions").post(on(Call::Complete)))
        .push(Router::with_path("v1/completions").post(on(Call::Complete)))
        .push(Router::with_path("v1/streams/{request}/resume").post(on(Call::Resume)))
        .push(Router::with_path("v1/streams/{request}/cancel").post(on(Call::Cancel)))
        .push(Router::with_path("{**rest}").goal(on(Call::Plain)))
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Call {
    Report,
    Order,
    Complete,
    Resume,
    Cancel,
    Plain,
}

#[derive(Debug, Clone)]
struct Target {
    engine: Arc<Engine>,
    call: Call,
}

#[handler]
impl Target {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        if !self.engine.powered().await {
            // A dead process answers nothing: the connection breaks.
            std::future::pending::<()>().await;
        }
        match self.call {
            Call::Report => res.render(Json(self.engine.report())),
            Call::Order => order(&self.engine, req, res).await,
            Call::Complete => complete(&self.engine, req, res).await,
            Call::Resume => resume(&self.engine, req, res),
            Call::Cancel => cancel(&self.engine, req),
            Call::Plain => plain(&self.engine, req, res).await,
        }
    }
}

impl Engine {
    fn report(&self) -> Report {
        let mut state = self.state();
        let lag = Duration::from_millis(self.options.lag_ms);
        let pressure = state.lagged(lag, Instant::now());
        Report {
            cache: state.cache.events(),
            ..state.target.report(pressure)
        }
    }

    /// Waits for the weight store and for the load.
    async fn load_weights(&self) {
        self.weights.turn().await;
        tokio::time::sleep(Duration::from_millis(self.options.load_ms)).await;
    }

    /// Time per token: slower with more requests and slow members.
    pub(super) fn token_time(&self) -> Duration {
        let state = self.state();
        let batch = 100 + 10 * u64::from(state.running.saturating_sub(1));
        let ms = self.options.token_ms * batch * u64::from(state.slowness) / 100;
        Duration::from_millis(ms.max(1))
    }

    pub(super) const fn keep_time(&self) -> Duration {
        Duration::from_millis(self.options.keep_ms)
    }
}

async fn order(engine: &Arc<Engine>, req: &mut Request, res: &mut Response) {
    let proof = header(req, PROOF_HEADER).unwrap_or_default();
    let Ok(body) = req.payload().await else {
        res.status_code(StatusCode::BAD_REQUEST);
        return;
    };
    let proved = !engine.options.checks_orders || hex::encode(engine.key.tag(body)) == proof;
    let parsed = serde_json::from_slice::<Order>(body);
    let (true, Ok(order)) = (proved, parsed) else {
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
    if engine.powered().await {
        engine.state().target.finish_loading(&membership);
    }
}

async fn warm(engine: Arc<Engine>, load: Load) {
    engine.load_weights().await;
    if engine.powered().await {
        engine.state().target.set_warm(load);
    }
}

async fn complete(engine: &Arc<Engine>, req: &mut Request, res: &mut Response) {
    let Some((request, member)) = admitted(engine, req) else {
        not_run(res);
        return;
    };
    let offset = number(req, OFFSET_HEADER).unwrap_or(0) as u32;
    let priority = number(req, PRIORITY_HEADER).unwrap_or(8) as u8;
    let bytes = req.payload().await.cloned().unwrap_or_default();
    let Ok(body) = serde_json::from_slice::<Body>(&bytes) else {
        res.status_code(StatusCode::UNPROCESSABLE_ENTITY);
        return;
    };
    let Some(turn) = enter(engine, priority) else {
        not_run(res);
        return;
    };
    wait_for_turn(engine, turn).await;
    let prompt = body.prompt_text();
    let prefix = prefix_of(&prompt);
    let log = StreamLog::new(request, &member, prompt, offset, body.tokens());
    let log = Arc::new(log);
    let hit = begin(engine, turn, &log, prefix);
    let part = if hit { 2 } else { 1 };
    let slowness = u64::from(engine.state().slowness);
    let prefill = Duration::from_millis(engine.options.prefill_ms * slowness / part);
    tokio::spawn(stream::make(engine.clone(), log.clone(), member, prefill));
    sse::stream(res, stream::read(engine.clone(), log, offset));
}

/// The request and group, if the engine serves that group now.
fn admitted(engine: &Engine, req: &Request) -> Option<(RequestId, Membership)> {
    let request = header(req, REQUEST_HEADER)?.parse().ok()?;
    let group = GroupId::from(header(req, GROUP_HEADER)?);
    let epoch = number(req, EPOCH_HEADER)?;
    let Duty::Ready(member) = engine.duty() else {
        return None;
    };
    (member.rank == 0 && member.group == group && member.epoch == epoch)
        .then_some((request, member))
}

/// Joins the engine's queue, if there is room.
fn enter(engine: &Engine, priority: u8) -> Option<(u8, u64)> {
    let mut state = engine.state();
    if state.waiting.len() >= MAX_WAITING {
        return None;
    }
    state.turns += 1;
    let turn = (priority, state.turns);
    state.waiting.push(turn);
    state.accepted += 1;
    if let Some(told) = state.told_leaving {
        let since = told.elapsed().as_millis() as u64;
        drop(state);
        engine.counts().after_leaving.push(since);
    }
    Some(turn)
}

async fn wait_for_turn(engine: &Engine, turn: (u8, u64)) {
    while !engine.state().may_begin(turn, engine.options.slots) {
        if *engine.power.borrow() == Power::Off {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(QUEUE_LOOK).await;
    }
}

/// Begins a run; returns whether the prefix was cached.
fn begin(engine: &Engine, turn: (u8, u64), log: &Arc<StreamLog>, prefix: u64) -> bool {
    *engine
        .counts()
        .runs
        .entry(log.request.to_string())
        .or_default() += 1;
    let mut state = engine.state();
    state.waiting.retain(|t| *t != turn);
    state.running += 1;
    state.streams.insert(log.request, log.clone());
    state.cache.touch(prefix, MAX_PREFIXES)
}

/// The hash of a prompt's beginning, as routers compute it.
pub(super) fn prefix_of(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    rapidhash::v3::rapidhash_v3(&bytes[..bytes.len().min(PREFIX_BYTES)])
}

fn resume(engine: &Arc<Engine>, req: &Request, res: &mut Response) {
    let offset = number(req, OFFSET_HEADER).unwrap_or(0) as u32;
    let epoch = number(req, EPOCH_HEADER);
    let Some(log) = stream_of(engine, req).filter(|l| Some(l.epoch) == epoch) else {
        res.status_code(StatusCode::GONE);
        return;
    };
    sse::stream(res, stream::read(engine.clone(), log, offset));
}

fn cancel(engine: &Engine, req: &Request) {
    if let Some(log) = stream_of(engine, req) {
        log.cut();
    }
}

fn stream_of(engine: &Engine, req: &Request) -> Option<Arc<StreamLog>> {
    let request: RequestId = req.param::<String>("request")?.parse().ok()?;
    engine.state().streams.get(&request).cloned()
}

/// A plain service: says what was asked, once per call.
async fn plain(engine: &Engine, req: &mut Request, res: &mut Response) {
    if engine.service.is_none() {
        res.status_code(StatusCode::NOT_FOUND);
        return;
    }
    let key = header(req, "idempotency-key").unwrap_or_default();
    let request = header(req, REQUEST_HEADER).unwrap_or_default();
    let name = if key.is_empty() { request } else { key };
    *engine.counts().runs.entry(name).or_default() += 1;
    let path = req.uri().path().to_owned();
    let Ok(body) = req.payload_with_max_size(MAX_BODY).await.cloned() else {
        res.status_code(StatusCode::PAYLOAD_TOO_LARGE);
        return;
    };
    let hold = req.query::<u64>("hold_ms").unwrap_or(5);
    tokio::time::sleep(Duration::from_millis(hold)).await;
    res.render(Json(serde_json::json!({
        "service": engine.service,
        "path": path,
        "said": String::from_utf8_lossy(&body),
    })));
}

fn not_run(res: &mut Response) {
    res.status_code(StatusCode::SERVICE_UNAVAILABLE);
    drop(res.add_header(RAN_HEADER, "no", true));
}

fn header(req: &Request, name: &str) -> Option<String> {
    let value = req.headers().get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

fn number(req: &Request, name: &str) -> Option<u64> {
    header(req, name)?.parse().ok()
}
