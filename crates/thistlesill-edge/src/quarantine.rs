//! Requests that end the targets which run them: what this daemon sees of them, what it
//! tells, and what lasts in the store.
//!
//! Losses, good ends and verdicts go to all daemons in datagrams. Beats carry a digest of
//! the verdicts, so that a daemon that missed some asks for them; what is withheld is also
//! a row in the store, for the day on which all daemons are lost at once.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thistlesill_core::edge::{Target, TargetId};
use thistlesill_core::table::{Row, Txn};
use thistlesill_core::{Fingerprint, Millis, NodeId, Verdict};
use thistlesill_net::clock::Clock;
use thistlesill_policy::quarantine::{Quarantine, QuarantineStatus};
use tokio::sync::Notify;

use crate::job::Job;
use crate::peers::packet::Packet;
use crate::peers::{Reach, link};
use crate::start::{self, Start};
use crate::state::Edge;

/// How long news are gathered for one datagram: all requests of a target are lost within
/// some milliseconds.
const GATHER: Duration = Duration::from_millis(10);
/// News in one datagram; 60 bytes each.
const MAX_TOLD: usize = 100;
/// Verdicts that one daemon hands another at once; 30 bytes each.
const MAX_HANDED: usize = 200;
/// Between two questions for verdicts.
const ASK_GAP: Millis = Millis::new(500);
/// Verdicts that wait to be written; the oldest are dropped, and the daemons know them.
const MAX_UNWRITTEN: usize = 256;
/// Time for a call of the store.
const LIMIT: Duration = Duration::from_millis(1_000);
/// After a call that failed.
const PAUSE: Duration = Duration::from_millis(800);
/// How long after the end of its time the row of a request is kept, in milliseconds.
const ROW_KEPT: u64 = 600_000;
/// The table of what is withheld.
const TABLE: &str = "withheld/";

/// What this daemon knows of requests that end targets, and has not told yet.
#[derive(Debug, Default)]
pub(crate) struct Cases {
    known: RefCell<Quarantine<TargetId>>,
    untold: RefCell<Untold>,
    unwritten: RefCell<Vec<Verdict>>,
    /// Woken when there is something to tell.
    news: Notify,
    /// Woken when there is something to write.
    decided: Notify,
    /// When verdicts were last asked for.
    asked: Cell<Millis>,
}

#[derive(Debug, Default)]
struct Untold {
    lost: Vec<(Fingerprint, TargetId)>,
    verdicts: Vec<Verdict>,
}

/// A row of the store about a request that is withheld.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct WithheldRow {
    print: Fingerprint,
    round: u32,
    level: u32,
    /// Unix milliseconds of the end of its time.
    until: u64,
}

impl Cases {
    /// What two daemons share that know the same verdicts.
    pub(crate) fn digest(&self) -> u64 {
        self.known.borrow().digest()
    }

    /// Forgets what is out of time.
    pub(crate) fn retain(&self, now: Millis) {
        self.known.borrow_mut().retain(now);
        metrics::gauge!("thistlesill_edge_withheld").set(self.known.borrow().withheld(now) as f64);
    }

    fn tell_verdict(&self, verdict: Verdict) {
        self.untold.borrow_mut().verdicts.push(verdict);
        self.news.notify_one();
    }

    /// Has a verdict written that must outlast all daemons.
    fn keep(&self, verdict: Verdict) {
        let mut unwritten = self.unwritten.borrow_mut();
        if unwritten.len() >= MAX_UNWRITTEN {
            unwritten.remove(0);
        }
        unwritten.push(verdict);
        self.decided.notify_one();
    }
}

/// For how long a request is withheld, if it is. One that may be tried is tried by this
/// call, and withheld by all other daemons until that has an outcome.
pub(crate) fn withheld(job: &Job) -> Option<Millis> {
    let edge = &job.edge;
    if edge.cases.known.borrow().is_empty() {
        return None;
    }
    let (print, now) = (job.print(), edge.now());
    let standing = edge.cases.known.borrow().status(print, now);
    match standing {
        QuarantineStatus::Free => None,
        QuarantineStatus::Tried(_) if job.trial.get() => None,
        QuarantineStatus::Tried(left) | QuarantineStatus::Withheld(left) => Some(left),
        QuarantineStatus::Trial => {
            job.trial.set(true);
            let verdict = edge.cases.known.borrow_mut().begin_trial(print, now);
            let line = edge.lines.line("withheld_tried").with("id", &job.head.id);
            line.with("print", print).write();
            if let Some(verdict) = verdict {
                // At once: another daemon may be about to try it, too.
                link::broadcast(edge, &Packet::Verdicts(vec![verdict]), Reach::All);
            }
            None
        }
    }
}

/// Notes that a request that may have been on trial is over.
pub(crate) fn end_trial(job: &Job) {
    if !job.trial.get() {
        return;
    }
    let edge = &job.edge;
    let verdict = {
        let mut known = edge.cases.known.borrow_mut();
        known.end_trial(job.print(), edge.now())
    };
    if let Some(verdict) = verdict {
        edge.cases.tell_verdict(verdict);
    }
}

/// Notes that the connection to a target ended while a request was there.
pub(crate) fn note_lost(job: &Job, target: &Target, why: &str) {
    let (edge, print) = (&job.edge, job.print());
    let beside = edge.loads.borrow().work(&target.id, edge.now()).requests;
    edge.lines
        .line("lost_with_target")
        .with("id", &job.head.id)
        .with("target", &target.id)
        .with("why", why)
        .with("print", print)
        .with("requests", beside)
        .write();
    edge.suspect(&target.id, why);
    let verdict = {
        let mut known = edge.cases.known.borrow_mut();
        known.note_lost(print, &target.id, edge.now())
    };
    let loss = (print, target.id.clone());
    edge.cases.untold.borrow_mut().lost.push(loss);
    edge.cases.news.notify_one();
    if let Some(verdict) = verdict {
        note_verdict(edge, &verdict, &job.head.id);
        edge.cases.tell_verdict(verdict);
        edge.cases.keep(verdict);
    }
}

/// Notes that a request ran to a good end.
pub(crate) fn note_good(job: &Job) {
    let edge = &job.edge;
    if edge.cases.known.borrow().is_empty() {
        return;
    }
    let verdict = {
        let mut known = edge.cases.known.borrow_mut();
        known.note_success(job.print(), edge.now())
    };
    let Some(verdict) = verdict else {
        return;
    };
    edge.cases.tell_verdict(verdict);
    if verdict.round > 0 {
        note_verdict(edge, &verdict, &job.head.id);
        edge.cases.keep(verdict);
    }
}

fn note_verdict(edge: &Edge, verdict: &Verdict, from: &str) {
    let event = if verdict.level > 0 {
        "request_withheld"
    } else {
        "request_cleared"
    };
    let line = edge.lines.line(event).with("print", verdict.print);
    line.with("from", from)
        .with("round", verdict.round)
        .with("level", verdict.level)
        .with("for_ms", verdict.left.get())
        .write();
}

/// Tells the other daemons what is new, for ever.
pub(crate) async fn run(edge: Rc<Edge>) {
    loop {
        edge.cases.news.notified().await;
        tokio::time::sleep(GATHER).await;
        let untold = std::mem::take(&mut *edge.cases.untold.borrow_mut());
        for part in untold.lost.chunks(MAX_TOLD) {
            link::broadcast(&edge, &Packet::Lost(part.to_vec()), Reach::All);
        }
        for part in untold.verdicts.chunks(MAX_TOLD) {
            link::broadcast(&edge, &Packet::Verdicts(part.to_vec()), Reach::All);
        }
    }
}

/// Takes in under which requests a peer lost targets. Whoever saw the last of them tells
/// the verdict.
pub(crate) fn hear_lost(edge: &Edge, lost: &[(Fingerprint, TargetId)]) {
    let now = edge.now();
    let mut known = edge.cases.known.borrow_mut();
    for (print, target) in lost {
        if let Some(verdict) = known.note_lost(*print, target, now) {
            note_verdict(edge, &verdict, "losses of peers");
        }
    }
}

/// Takes in verdicts of a peer.
pub(crate) fn hear_verdicts(edge: &Edge, verdicts: &[Verdict]) {
    let now = edge.now();
    let mut known = edge.cases.known.borrow_mut();
    for verdict in verdicts {
        if known.receive(*verdict, now) && verdict.round > 0 {
            note_verdict(edge, verdict, "a peer");
        }
    }
}

/// Takes in the digest of a peer's verdicts, and asks for them if this daemon's differ.
pub(crate) fn hear_digest(edge: &Edge, peer: &NodeId, digest: u64) {
    if digest == 0 || digest == edge.cases.digest() {
        return;
    }
    let now = edge.now();
    if now - edge.cases.asked.get() < ASK_GAP {
        return;
    }
    edge.cases.asked.set(now);
    let me = edge.settings().name.clone();
    link::send_to(edge, peer, &Packet::VerdictsRequest(me));
}

/// Tells a peer what is withheld, and what was cleared a short time ago.
pub(crate) fn answer(edge: &Edge, peer: &NodeId) {
    let mut all = edge.cases.known.borrow().verdicts(edge.now());
    all.truncate(MAX_HANDED);
    link::send_to(edge, peer, &Packet::Verdicts(all));
}

/// Reads what was withheld when all daemons were lost, if this daemon reads the store for
/// others that start; then writes what is decided, for ever.
pub(crate) async fn keep(edge: Rc<Edge>) {
    start::await_turn(&edge).await;
    if edge.start.get() == Start::ReadsStore && !edge.settings().first_start {
        read_rows(&edge).await;
    }
    loop {
        edge.cases.decided.notified().await;
        loop {
            let next = edge.cases.unwritten.borrow().first().copied();
            let Some(verdict) = next else { break };
            if write_row(&edge, &verdict).await {
                let mut unwritten = edge.cases.unwritten.borrow_mut();
                unwritten.retain(|v| *v != verdict);
            } else {
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

async fn read_rows(edge: &Edge) {
    let rows = loop {
        match edge.store.read_own(TABLE, LIMIT).await {
            Ok(rows) => break rows.rows,
            Err(error) => log::debug!("quarantine: not read: {error}"),
        }
        tokio::time::sleep(PAUSE).await;
    };
    for row in rows {
        take_row(edge, &row).await;
    }
}

async fn take_row(edge: &Edge, row: &Row) {
    let wall = Clock::wall();
    match serde_json::from_str::<WithheldRow>(&row.value) {
        Ok(kept) if wall < kept.until + ROW_KEPT => {
            let verdict = Verdict {
                print: kept.print,
                round: kept.round,
                level: kept.level,
                left: Millis::new(kept.until.saturating_sub(wall)),
                trial: false,
            };
            if edge.cases.known.borrow_mut().receive(verdict, edge.now()) {
                note_verdict(edge, &verdict, "the store");
            }
        }
        Ok(_) => remove_row(edge, &row.key).await,
        Err(why) => {
            let line = edge.lines.line("withheld_refused").with("key", &row.key);
            line.with("why", why).write();
            remove_row(edge, &row.key).await;
        }
    }
}

/// Removes a row that tells nothing any more; one that stays is removed at a later start.
async fn remove_row(edge: &Edge, key: &str) {
    let txn = Txn::new().delete(key.to_owned());
    edge.write(&txn, LIMIT, "quarantine: a row not removed")
        .await;
}

/// Writes a verdict; returns whether it is in the store. It is the same whenever it is
/// repeated, so one whose outcome is unknown is simply written again.
async fn write_row(edge: &Edge, verdict: &Verdict) -> bool {
    let key = format!("{TABLE}{}", verdict.print);
    let txn = if verdict.level == 0 {
        Txn::new().delete(key)
    } else {
        let row = WithheldRow {
            print: verdict.print,
            round: verdict.round,
            level: verdict.level,
            until: Clock::wall() + verdict.left.get(),
        };
        Txn::new().put(key, &row)
    };
    edge.write(&txn, LIMIT, "quarantine: not written").await
}
