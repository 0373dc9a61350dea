//! Servers of a plain service, which follow the pages: an entry in the store, the id of the attempt
//! and the seal in each answer, 421 for another server's requests.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{self, Request, Response};
use crate::json::quote;
use crate::record::Record;
use crate::store::Store;

/// Interval at which servers write their entries.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A request that a server has run.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
}

/// The runs of all servers.
#[derive(Clone, Default)]
pub struct Runs {
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Runs {
    /// Returns the runs of a request.
    pub fn of(&self, id: &str) -> Vec<Run> {
        let runs = self.runs.lock().expect("the lock is sound");
        runs.iter().filter(|run| run.id == id).cloned().collect()
    }
}

/// The properties of a server.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    /// How long the work on a request takes.
    pub work: Duration,
    /// Size of an answer's body.
    pub answer_bytes: usize,
}

impl Server {
    /// Starts the server, and its heartbeat in the store.
    pub fn start(self, store: &Store, runs: &Runs, record: &Record) -> io::Result<()> {
        let (server, runs, record) = (self.clone(), runs.clone(), record.clone());
        http::serve(self.address, move |request| {
            Some(server.answer(&request, &runs, &record))
        })?;
        let (server, store) = (self.clone(), store.clone());
        store.put("servers", &self.id, &self.entry(0));
        thread::spawn(move || {
            for seq in 1.. {
                thread::sleep(HEARTBEAT);
                store.put("servers", &server.id, &server.entry(seq));
            }
        });
        Ok(())
    }

    fn entry(&self, seq: u64) -> String {
        let (service, zone) = (quote(&self.service), quote(&self.zone));
        let address = quote(&self.address.to_string());
        format!(
            "{{\"service\":{service},\"address\":{address},\"zone\":{zone},\"version\":\"1\",\
             \"slots\":6,\"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":{seq}}}"
        )
    }

    fn answer(&self, request: &Request, runs: &Runs, record: &Record) -> Response {
        let expected = request.header("thistlesill-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return Response::new(421, "").with("Thistlesill-Not-Executed", "1");
        }
        if request.path() == "/health" {
            return Response::new(200, "").with("Thistlesill-Instance-Id", &self.id);
        }
        let Some(id) = request.header("thistlesill-attempt-id") else {
            return Response::new(400, "").with("Thistlesill-Not-Executed", "1");
        };
        let run = Run { id: id.to_owned() };
        let (method, target) = (&request.method, &request.target);
        let tenant = request.header("thistlesill-tenant").unwrap_or("none");
        let size = request.body.len();
        record.line(format!(
            "run       {id} at server {}: {method} {target}, {size} bytes, tenant {tenant}",
            self.id
        ));
        runs.runs.lock().expect("the lock is sound").push(run);
        thread::sleep(self.work);
        let body: Vec<u8> = (0..self.answer_bytes)
            .map(|n| b'a' + (n % 23) as u8)
            .collect();
        Response::new(200, body)
            .with("Thistlesill-Attempt-Id", id)
            .with("Thistlesill-Response-Seal", &format!("{}.{id}", self.id))
    }
}
