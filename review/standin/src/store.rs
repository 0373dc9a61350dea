//! The platform's store: rows in tables, transactions under conditions, and a feed of changes.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Request, Response};
use crate::json::{Json, quote};

#[derive(Clone)]
struct Row {
    /// The value in base64; `None` if the row was removed.
    value: Option<String>,
    version: u64,
}

type RowKey = (String, String, String);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<RowKey, Row>,
    version: u64,
}

/// The store; clones share its rows.
#[derive(Clone)]
pub struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
    started: Instant,
}

/// One daemon's way to the store, which a partition may cut.
#[derive(Clone, Default)]
pub struct Way {
    cut: Arc<AtomicBool>,
}

impl Way {
    /// Cuts the way: from now on nothing that is sent on it is answered.
    pub fn cut(&self) {
        self.cut.store(true, Ordering::SeqCst);
    }

    fn is_cut(&self) -> bool {
        self.cut.load(Ordering::SeqCst)
    }
}

impl Store {
    pub fn new() -> Self {
        Self {
            rows: Arc::default(),
            started: Instant::now(),
        }
    }

    /// Serves the store at an address; returns the way through that address.
    pub fn serve(&self, address: SocketAddr) -> io::Result<Way> {
        let way = Way::default();
        let (store, gate) = (self.clone(), way.clone());
        http::serve(address, move |request| {
            let answer = (!gate.is_cut()).then(|| store.answer(&request))?;
            // An answer that is due during a cut is lost.
            (!gate.is_cut()).then_some(answer)
        })?;
        Ok(way)
    }

    /// Writes a row as the operator or a server does; the return is the acknowledgement.
    pub fn put(&self, table: &str, key: &str, value: &str) -> u64 {
        let (lock, changed) = &*self.rows;
        let mut rows = lock.lock().expect("the lock is sound");
        rows.version += 1;
        let version = rows.version;
        let row_key = (table.to_owned(), String::new(), key.to_owned());
        let value = Some(base64(value.as_bytes()));
        rows.rows.insert(row_key, Row { value, version });
        changed.notify_all();
        version
    }

    fn answer(&self, request: &Request) -> Response {
        match (request.method.as_str(), request.path()) {
            ("POST", "/api/rows-tx") => self.transact(&request.body),
            ("GET", "/api/rows-get") => self.read(request),
            ("GET", "/api/rows-feed") => self.feed(request),
            _ => Response::new(404, ""),
        }
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    fn transact(&self, body: &[u8]) -> Response {
        let Some(call) = Json::parse(body) else {
            return Response::new(400, "");
        };
        let key = |row: &Json| (row.text("table"), row.text("part"), row.text("key"));
        let (lock, changed) = &*self.rows;
        let mut rows = lock.lock().expect("the lock is sound");
        let all = ["expectedRevision", "put", "remove"];
        let named = all.iter().flat_map(|list| call.list(list));
        if named.clone().any(|row| row.text("table") == "servers") {
            return Response::new(403, "");
        }
        let version_of = |row: &Json| {
            let known = rows.rows.get(&key(row)).filter(|r| r.value.is_some());
            known.map_or(0, |r| r.version)
        };
        let guards = call.list("expectedRevision");
        if guards
            .iter()
            .any(|g| g.number("ver") != Some(version_of(g)))
        {
            let now = guards.iter().filter_map(|g| {
                let row_key = key(g);
                let row = rows.rows.get(&row_key)?;
                Some(encode(&row_key, row))
            });
            let list: Vec<String> = now.collect();
            return self.rows_answer(412, &list, rows.version, None);
        }
        rows.version += 1;
        let version = rows.version;
        for row in call.list("put") {
            let value = Some(row.text("value"));
            rows.rows.insert(key(row), Row { value, version });
        }
        for row in call.list("remove") {
            let value = None;
            rows.rows.insert(key(row), Row { value, version });
        }
        changed.notify_all();
        json(
            200,
            format!("{{\"ver\":{version},\"now_ms\":{}}}", self.now_ms()),
        )
    }

    fn read(&self, request: &Request) -> Response {
        let (table, part) = (request.parameter("table"), request.parameter("part"));
        let from = request.parameter("from");
        let limit = request.parameter("limit").parse().unwrap_or(500).min(500);
        let rows = self.rows.0.lock().expect("the lock is sound");
        let found = rows.rows.iter().filter(|((t, p, k), row)| {
            *t == table && *p == part && *k >= from && row.value.is_some()
        });
        let mut list: Vec<String> = found.map(|(key, row)| encode(key, row)).collect();
        let more = list.len() > limit;
        list.truncate(limit);
        self.rows_answer(200, &list, rows.version, Some(more))
    }

    fn feed(&self, request: &Request) -> Response {
        let table = request.parameter("table");
        let since: u64 = request.parameter("sinceRev").parse().unwrap_or(0);
        let wait: u64 = request.parameter("waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let (lock, changed) = &*self.rows;
        let mut rows = lock.lock().expect("the lock is sound");
        loop {
            let found = rows.rows.iter();
            let found = found.filter(|((t, _, _), row)| *t == table && row.version > since);
            let mut list: Vec<(&RowKey, &Row)> = found.collect();
            list.sort_by_key(|(_, row)| row.version);
            let left = until.saturating_duration_since(Instant::now());
            if !list.is_empty() || left.is_zero() {
                let list: Vec<String> = list.iter().map(|(key, row)| encode(key, row)).collect();
                return self.rows_answer(200, &list, rows.version, None);
            }
            rows = changed
                .wait_timeout(rows, left)
                .expect("the lock is sound")
                .0;
        }
    }

    fn rows_answer(&self, status: u16, list: &[String], ver: u64, more: Option<bool>) -> Response {
        let more = more.map_or_else(String::new, |more| format!("\"more\":{more},"));
        let (list, now) = (list.join(","), self.now_ms());
        json(
            status,
            format!("{{\"rows\":[{list}],{more}\"ver\":{ver},\"now_ms\":{now}}}"),
        )
    }
}

fn json(status: u16, text: String) -> Response {
    Response::new(status, text).with("Content-Type", "application/json")
}

fn encode((table, part, key): &RowKey, row: &Row) -> String {
    let value = match &row.value {
        Some(value) => format!("\"value\":{}", quote(value)),
        None => "\"gone\":true".to_owned(),
    };
    let (table, part, key) = (quote(table), quote(part), quote(key));
    let version = row.version;
    format!("{{\"table\":{table},\"part\":{part},\"key\":{key},{value},\"ver\":{version}}}")
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for three in bytes.chunks(3) {
        let padded = [
            three[0],
            *three.get(1).unwrap_or(&0),
            *three.get(2).unwrap_or(&0),
        ];
        let bits = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for place in 0..4 {
            let index = (bits >> (18 - 6 * place)) & 63;
            let sign = char::from(SIGNS[index as usize]);
            out.push(if place <= three.len() { sign } else { '=' });
        }
    }
    out
}
