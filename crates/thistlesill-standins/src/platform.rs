//! The platform: table service, object store, list of instances, and the
//! tests' levers.

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

/// Bytes of a request's body at most.
const MAX_BODY: usize = 64 << 20;

/// The platform's state.
#[derive(Debug, Default)]
pub struct PlatformState {
    /// The table.
    pub table: Mutex<Table>,
    /// How the table behaves.
    pub mode: Mutex<TableMode>,
    /// The list as it is read.
    pub listed: Mutex<Vec<ListedInstance>>,
    objects: Mutex<HashMap<String, Vec<u8>>>,
}

/// What happened at the platform and its targets.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Transactions.
    pub transactions: u64,
    /// Reads.
    pub reads: u64,
    /// What happened at the targets.
    pub targets: Counts,
}

/// The platform's routes.
pub fn router(fleet: &Arc<Fleet>) -> Router {
    let on = |call: Call| PlatformHandler {
        fleet: fleet.clone(),
        call,
    };
    Router::new()
        .push(Router::with_path("table/txn").post(on(Call::Txn)))
        .push(Router::with_path("table/read").post(on(Call::Read)))
        .push(Router::with_path("instances").get(on(Call::List)))
        .push(Router::with_path("objects/{key}").put(on(Call::PutObject)))
        .push(Router::with_path("objects/{key}").get(on(Call::GetObject)))
        .push(Router::with_path("fault").post(on(Call::Fault)))
        .push(Router::with_path("counts").get(on(Call::Counts)))
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Call {
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
    call: Call,
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
        match self.call {
            Call::Txn => self.txn(req, res).await,
            Call::Read => self.read(req, res).await,
            Call::List => res.render(Json(lock(&state.listed).clone())),
            Call::PutObject => put_object(state, req, res).await,
            Call::GetObject => get_object(state, req, res),
            Call::Fault => self.fault(req, res).await,
            Call::Counts => res.render(Json(self.counts())),
        }
    }
}

impl PlatformHandler {
    async fn txn(&self, req: &mut Request, res: &mut Response) {
        let Some(txn) = body::<Txn>(req, res).await else {
            return;
        };
        let mode = self.behave(res).await;
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
        let Some(read) = body::<Read>(req, res).await else {
            return;
        };
        if self.behave(res).await == TableMode::Down {
            return;
        }
        let rows = lock(&self.fleet.platform.table).read(&read);
        res.render(Json(rows));
    }

    /// Waits or fails as the table is told to.
    async fn behave(&self, res: &mut Response) -> TableMode {
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
        if let Some(fault) = body::<Fault>(req, res).await {
            self.fleet.apply(&fault);
            res.render(Json("done"));
        }
    }

    fn counts(&self) -> PlatformCounts {
        let (transactions, reads) = lock(&self.fleet.platform.table).counts();
        PlatformCounts {
            transactions,
            reads,
            targets: lock(&self.fleet.common.counts).clone(),
        }
    }
}

async fn body<T: for<'de> Deserialize<'de>>(req: &mut Request, res: &mut Response) -> Option<T> {
    let bytes = req.payload_with_max_size(MAX_BODY).await.ok()?;
    if let Ok(value) = serde_json::from_slice(bytes) {
        Some(value)
    } else {
        res.status_code(StatusCode::BAD_REQUEST);
        None
    }
}

async fn put_object(state: &PlatformState, req: &mut Request, res: &mut Response) {
    let key = req.param::<String>("key").unwrap_or_default();
    match req.payload_with_max_size(MAX_BODY).await {
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
