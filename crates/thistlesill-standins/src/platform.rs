//! Stand-in of the platform: table service, object store and list of instances, with routes for
//! tests to inject faults and read counts.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use salvo::http::StatusCode;
use salvo::prelude::{Depot, FlowCtrl, Request, Response, Router, handler};
use salvo::writing::Json;
use serde::{Deserialize, Serialize};
use thistlesill_core::report::ListedInstance;
use thistlesill_core::table::{Read, Txn};
use thistlesill_fakes::Table;

use crate::engine::{Counts, lock};
use crate::faults::{Fault, TableMode};
use crate::fleet::Fleet;

/// Bounds the body of a request.
const MAX_BODY_BYTES: usize = 64 << 20;

/// State of the platform's services.
#[derive(Debug, Default)]
pub struct PlatformState {
    /// Rows of the table service.
    pub table: Mutex<Table>,
    /// Behaviour of the table service, set by [`Fault::Table`].
    pub mode: Mutex<TableMode>,
    /// List of instances as daemons read it; may be frozen by a fault.
    pub listed: Mutex<Vec<ListedInstance>>,
    objects: Mutex<HashMap<String, Vec<u8>>>,
}

/// What the platform and its targets did.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Transactions that the table has processed.
    pub transactions: u64,
    /// Reads that the table has answered.
    pub reads: u64,
    /// What the targets did.
    pub targets: Counts,
}

/// Returns the platform's routes.
pub fn router(fleet: &Arc<Fleet>) -> Router {
    let on = |route: Route| PlatformHandler {
        fleet: fleet.clone(),
        route,
    };
    Router::new()
        .push(Router::with_path("table/txn").post(on(Route::Txn)))
        .push(Router::with_path("table/read").post(on(Route::Read)))
        .push(Router::with_path("instances").get(on(Route::List)))
        .push(Router::with_path("objects/{key}").put(on(Route::PutObject)))
        .push(Router::with_path("objects/{key}").get(on(Route::GetObject)))
        .push(Router::with_path("fault").post(on(Route::Fault)))
        .push(Router::with_path("counts").get(on(Route::Counts)))
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Route {
    Txn,
    Read,
    List,
    PutObject,
    GetObject,
    Fault,
    Counts,
}

#[derive(Debug, Clone)]
struct PlatformHandler {
    fleet: Arc<Fleet>,
    route: Route,
}

#[handler]
impl PlatformHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let state = &self.fleet.platform;
        match self.route {
            Route::Txn => self.txn(req, res).await,
            Route::Read => self.read(req, res).await,
            Route::List => res.render(Json(lock(&state.listed).clone())),
            Route::PutObject => put_object(state, req, res).await,
            Route::GetObject => get_object(state, req, res),
            Route::Fault => self.fault(req, res).await,
            Route::Counts => res.render(Json(self.counts())),
        }
    }
}

impl PlatformHandler {
    async fn txn(&self, req: &mut Request, res: &mut Response) {
        let Some(txn) = parse_body::<Txn>(req, res).await else {
            return;
        };
        let mode = self.apply_mode(res).await;
        if mode == TableMode::Down {
            return;
        }
        let reply = lock(&self.fleet.platform.table).txn(&txn);
        if mode == TableMode::LoseAnswers {
            res.status_code(StatusCode::GATEWAY_TIMEOUT);
        } else {
            res.render(Json(reply));
        }
    }

    async fn read(&self, req: &mut Request, res: &mut Response) {
        let Some(read) = parse_body::<Read>(req, res).await else {
            return;
        };
        if self.apply_mode(res).await == TableMode::Down {
            return;
        }
        let rows = lock(&self.fleet.platform.table).read(&read);
        res.render(Json(rows));
    }

    /// Delays or refuses the answer as the table's mode says, and returns the mode.
    async fn apply_mode(&self, res: &mut Response) -> TableMode {
        let mode = *lock(&self.fleet.platform.mode);
        match mode {
            TableMode::Slow { ms } => tokio::time::sleep(Duration::from_millis(ms)).await,
            TableMode::Down => {
                res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            }
            TableMode::Up | TableMode::LoseAnswers => {}
        }
        mode
    }

    async fn fault(&self, req: &mut Request, res: &mut Response) {
        if let Some(fault) = parse_body::<Fault>(req, res).await {
            self.fleet.apply(&fault);
            res.render(Json("done"));
        }
    }

    fn counts(&self) -> PlatformCounts {
        let (transactions, reads) = lock(&self.fleet.platform.table).counts();
        PlatformCounts {
            transactions,
            reads,
            targets: lock(&self.fleet.context.counts).clone(),
        }
    }
}

/// Parses a request's body of JSON; sets status 400 if the JSON is malformed.
async fn parse_body<T: for<'de> Deserialize<'de>>(
    req: &mut Request,
    res: &mut Response,
) -> Option<T> {
    let bytes = req.payload_with_max_size(MAX_BODY_BYTES).await.ok()?;
    if let Ok(value) = serde_json::from_slice(bytes) {
        Some(value)
    } else {
        res.status_code(StatusCode::BAD_REQUEST);
        None
    }
}

async fn put_object(state: &PlatformState, req: &mut Request, res: &mut Response) {
    let key = req.param::<String>("key").unwrap_or_default();
    match req.payload_with_max_size(MAX_BODY_BYTES).await {
        Ok(bytes) => {
            lock(&state.objects).insert(key, bytes.to_vec());
        }
        Err(_) => {
            res.status_code(StatusCode::BAD_REQUEST);
        }
    }
}

fn get_object(state: &PlatformState, req: &Request, res: &mut Response) {
    let key = req.param::<String>("key").unwrap_or_default();
    match lock(&state.objects).get(&key) {
        Some(bytes) => drop(res.write_body(bytes.clone())),
        None => {
            res.status_code(StatusCode::NOT_FOUND);
        }
    }
}
