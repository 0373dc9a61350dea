//! Claims: how a request that may run once only gets hold of its key.
//!
//! A claim is a row inserted on condition of absence, before the first byte
//! goes to a target. Claims that wait while a transaction is under way share
//! the next one, so the number of transactions is bounded by their round
//! trips and not by the number of requests.

mod settle;

use std::collections::{BTreeMap, HashMap, VecDeque};

use thistlesill_core::chart::Chart;
use thistlesill_core::row::{ClaimRow, Outcome, claim_key};
use thistlesill_core::table::{RowKey, Rows, Txn, TxnReply, TxnResult};
use thistlesill_core::{CustomerId, Millis, NodeId, RequestId};

use crate::charts::{ClaimEvent, ClaimState};

/// Claims in one transaction at most.
pub const MAX_BATCH: usize = 64;
/// Transactions under way at a time, at most.
const MAX_FLIGHTS: usize = 2;
/// How long a claim may take before it is given up.
const CLAIM_LIMIT: Millis = Millis::new(2_000);
/// Between two reads of rows that are in doubt.
const READ_GAP: Millis = Millis::new(100);
/// Outcomes and removals that wait for the store, at most.
const MAX_SETTLING: usize = 4_096;

/// What a request wants to claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimAsk {
    /// The request.
    pub request: RequestId,
    /// Its customer; keys of different customers never meet.
    pub customer: CustomerId,
    /// The idempotency key.
    pub key: String,
    /// SHA-256 of the body.
    pub body: String,
}

/// How a claim ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The key is ours: the request may be sent, once.
    Granted,
    /// Another request holds the key and has no outcome yet.
    Held,
    /// Another request with another body holds the key.
    Reused,
    /// An earlier request with the same body ended with this outcome.
    Recorded(Outcome),
    /// The store is out of reach: the request must not be sent.
    Down,
}

/// What to do for the claims now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStep {
    /// Send a transaction and report its result under this number.
    Send {
        /// Names the transaction.
        flight: u64,
        /// The transaction.
        txn: Txn,
    },
    /// Read rows and report them under this number.
    Read {
        /// Names the read.
        flight: u64,
        /// Exact keys.
        keys: Vec<RowKey>,
    },
    /// A claim ended.
    Decide {
        /// The request.
        request: RequestId,
        /// How.
        verdict: Verdict,
    },
}

#[derive(Debug, Clone)]
struct Entry {
    ask: ClaimAsk,
    row_key: RowKey,
    state: ClaimState,
    since: Millis,
    version: u64,
}

/// What is still to be written or looked for after a request has its answer.
#[derive(Debug, Clone)]
enum Settling {
    /// Record an outcome.
    Record { entry: Entry, outcome: Outcome },
    /// Remove the row of a request that was claimed and did not run.
    Remove { entry: Entry },
    /// Look for the row of a claim that was given up in doubt.
    Look { entry: Entry, looks: u32 },
}

#[derive(Debug, Clone)]
enum Flight {
    Claims(Vec<RequestId>),
    Doubts(Vec<RequestId>),
    Settle(Box<Settling>),
}

/// The claims of one router.
#[derive(Debug, Clone)]
pub struct ClaimBook {
    chart: Chart<ClaimState, ClaimEvent>,
    me: NodeId,
    entries: BTreeMap<RequestId, Entry>,
    keys: HashMap<RowKey, RequestId>,
    flights: HashMap<u64, Flight>,
    next_flight: u64,
    last_read: Option<Millis>,
    settling: VecDeque<Settling>,
    settled: Option<Millis>,
    transactions: u64,
    claims: u64,
}

impl ClaimBook {
    /// A book without claims.
    pub fn new(chart: Chart<ClaimState, ClaimEvent>, me: NodeId) -> Self {
        Self {
            chart,
            me,
            entries: BTreeMap::new(),
            keys: HashMap::new(),
            flights: HashMap::new(),
            next_flight: 0,
            last_read: None,
            settling: VecDeque::new(),
            settled: None,
            transactions: 0,
            claims: 0,
        }
    }

    /// Claims granted and transactions sent so far.
    pub const fn counts(&self) -> (u64, u64) {
        (self.claims, self.transactions)
    }

    /// Whether outcomes or removals still wait for the store.
    pub fn is_settled(&self) -> bool {
        self.settling.is_empty() && self.flights.is_empty()
    }

    /// Begins a claim.
    ///
    /// Two requests with one key at the same router never share a
    /// transaction: the second one is decided here.
    pub fn ask(&mut self, ask: ClaimAsk, now: Millis) -> Vec<ClaimStep> {
        let row_key: RowKey = claim_key(&ask.customer, &ask.key).into();
        if let Some(holder) = self.keys.get(&row_key).and_then(|r| self.entries.get(r)) {
            let verdict = if holder.ask.body == ask.body {
                Verdict::Held
            } else {
                Verdict::Reused
            };
            return vec![decide(ask.request, verdict)];
        }
        self.keys.insert(row_key.clone(), ask.request);
        let entry = Entry {
            row_key,
            state: self.chart.start(),
            since: now,
            version: 0,
            ask,
        };
        self.entries.insert(entry.ask.request, entry);
        self.flush()
    }

    /// Looks at the time.
    pub fn tick(&mut self, now: Millis) -> Vec<ClaimStep> {
        let mut steps = self.give_up_late(now);
        steps.extend(self.flush());
        steps.extend(self.read_doubts(now));
        steps.extend(self.settle(now));
        steps
    }

    /// Takes in what became of a transaction.
    pub fn done(&mut self, flight: u64, result: &TxnResult) -> Vec<ClaimStep> {
        let steps = match self.flights.remove(&flight) {
            Some(Flight::Claims(requests)) => self.claims_done(&requests, result),
            Some(Flight::Settle(settling)) => {
                self.settle_done(*settling, result);
                Vec::new()
            }
            Some(Flight::Doubts(_)) | None => Vec::new(),
        };
        [steps, self.flush()].concat()
    }

    /// Takes in rows that were read; `None` if the read failed.
    pub fn rows(&mut self, flight: u64, rows: Option<&Rows>) -> Vec<ClaimStep> {
        let steps = match (self.flights.remove(&flight), rows) {
            (Some(Flight::Doubts(requests)), Some(rows)) => self.resolve_doubts(&requests, rows),
            (Some(Flight::Settle(settling)), rows) => {
                self.look_done(*settling, rows);
                Vec::new()
            }
            _ => Vec::new(),
        };
        [steps, self.flush()].concat()
    }

    /// Records how a granted request ended.
    pub fn finish(&mut self, request: RequestId, outcome: Outcome) {
        if let Some(entry) = self.take(request) {
            self.push_settling(Settling::Record { entry, outcome });
        }
    }

    /// Gives the key of a granted request back: it provably did not run.
    pub fn release(&mut self, request: RequestId) {
        if let Some(entry) = self.take(request) {
            self.push_settling(Settling::Remove { entry });
        }
    }

    /// Leaves the row as it is: the request may have run, and its key must
    /// never be granted again.
    pub fn abandon(&mut self, request: RequestId) {
        self.take(request);
    }

    /// Gives up a claim that is not decided yet: its caller went away.
    pub fn withdraw(&mut self, request: RequestId) {
        let Some(entry) = self.take(request) else {
            return;
        };
        self.give_up_entry(entry);
    }

    fn take(&mut self, request: RequestId) -> Option<Entry> {
        let entry = self.entries.remove(&request)?;
        self.keys.remove(&entry.row_key);
        Some(entry)
    }

    fn push_settling(&mut self, settling: Settling) {
        if self.settling.len() < MAX_SETTLING {
            self.settling.push_back(settling);
        }
    }

    fn apply(&mut self, request: RequestId, event: ClaimEvent) -> Option<ClaimState> {
        let entry = self.entries.get_mut(&request)?;
        let next = self.chart.step(entry.state, event).ok()?;
        entry.state = next;
        Some(next)
    }

    fn flight(&mut self, flight: Flight) -> u64 {
        self.next_flight += 1;
        self.flights.insert(self.next_flight, flight);
        self.next_flight
    }

    fn claim_flights(&self) -> usize {
        let list = self.flights.values();
        list.filter(|f| matches!(f, Flight::Claims(_))).count()
    }

    /// Sends waiting claims, as many as fit into one transaction.
    fn flush(&mut self) -> Vec<ClaimStep> {
        if self.claim_flights() >= MAX_FLIGHTS {
            return Vec::new();
        }
        let waiting = self.entries.values();
        let batch: Vec<RequestId> = waiting
            .filter(|e| e.state == ClaimState::Waiting)
            .map(|e| e.ask.request)
            .take(MAX_BATCH)
            .collect();
        if batch.is_empty() {
            return Vec::new();
        }
        let mut txn = Txn::new();
        for request in &batch {
            self.apply(*request, ClaimEvent::Write);
            let Some(entry) = self.entries.get(request) else {
                continue;
            };
            let row = self.row(entry, None);
            txn = txn
                .absent(entry.row_key.clone())
                .put(entry.row_key.clone(), &row);
        }
        self.transactions += 1;
        let flight = self.flight(Flight::Claims(batch));
        vec![ClaimStep::Send { flight, txn }]
    }

    fn row(&self, entry: &Entry, outcome: Option<Outcome>) -> ClaimRow {
        ClaimRow {
            request: entry.ask.request,
            router: self.me.clone(),
            body: entry.ask.body.clone(),
            outcome,
        }
    }

    fn claims_done(&mut self, requests: &[RequestId], result: &TxnResult) -> Vec<ClaimStep> {
        let mut steps = Vec::new();
        for request in requests {
            match result {
                TxnResult::Replied(TxnReply::Committed { version }) => {
                    steps.extend(self.grant(*request, *version, ClaimEvent::Committed));
                }
                TxnResult::Replied(TxnReply::Refused { failed }) => self.refused(*request, failed),
                TxnResult::Unknown => {
                    self.apply(*request, ClaimEvent::Lost);
                }
            }
        }
        self.last_read = None;
        steps
    }

    /// After a refusal nothing was written: only the rows that failed are in
    /// doubt, the others go into the next transaction.
    fn refused(&mut self, request: RequestId, failed: &[RowKey]) {
        let Some(entry) = self.entries.get(&request) else {
            return;
        };
        let conflict = failed.contains(&entry.row_key);
        self.apply(request, ClaimEvent::Conflict);
        if !conflict {
            self.apply(request, ClaimEvent::None);
        }
    }

    fn grant(&mut self, request: RequestId, version: u64, event: ClaimEvent) -> Option<ClaimStep> {
        let state = self.apply(request, event)?;
        if state != ClaimState::Granted {
            return None;
        }
        self.claims += 1;
        self.entries.get_mut(&request)?.version = version;
        Some(decide(request, Verdict::Granted))
    }

    fn read_doubts(&mut self, now: Millis) -> Vec<ClaimStep> {
        let recent = self.last_read.is_some_and(|t| now - t < READ_GAP);
        let reading = self
            .flights
            .values()
            .any(|f| matches!(f, Flight::Doubts(_)));
        if recent || reading {
            return Vec::new();
        }
        let unsure = self.entries.values();
        let doubts: Vec<&Entry> = unsure
            .filter(|e| e.state == ClaimState::Unsure)
            .take(MAX_BATCH)
            .collect();
        if doubts.is_empty() {
            return Vec::new();
        }
        let keys = doubts.iter().map(|e| e.row_key.clone()).collect();
        let requests = doubts.iter().map(|e| e.ask.request).collect();
        self.last_read = Some(now);
        let flight = self.flight(Flight::Doubts(requests));
        vec![ClaimStep::Read { flight, keys }]
    }

    fn resolve_doubts(&mut self, requests: &[RequestId], rows: &Rows) -> Vec<ClaimStep> {
        let mut steps = Vec::new();
        for request in requests {
            let Some(entry) = self.entries.get(request) else {
                continue;
            };
            let found = rows.find(&entry.row_key);
            let decoded = found.and_then(|r| r.decode::<ClaimRow>().ok());
            match (found, decoded) {
                (Some(row), Some(claim)) if claim.request == *request => {
                    steps.extend(self.grant(*request, row.version, ClaimEvent::Mine));
                }
                (None, _) => {
                    self.apply(*request, ClaimEvent::None);
                }
                (Some(_), claim) => steps.extend(self.taken(*request, claim)),
            }
        }
        steps
    }

    fn taken(&mut self, request: RequestId, claim: Option<ClaimRow>) -> Option<ClaimStep> {
        self.apply(request, ClaimEvent::Other)?;
        let entry = self.take(request)?;
        let verdict = match claim {
            Some(c) if c.body != entry.ask.body => Verdict::Reused,
            Some(ClaimRow {
                outcome: Some(outcome),
                ..
            }) => Verdict::Recorded(outcome),
            _ => Verdict::Held,
        };
        Some(decide(request, verdict))
    }

    fn give_up_late(&mut self, now: Millis) -> Vec<ClaimStep> {
        let open = |e: &Entry| {
            matches!(
                e.state,
                ClaimState::Waiting | ClaimState::Writing | ClaimState::Unsure
            )
        };
        let entries = self.entries.values();
        let late: Vec<RequestId> = entries
            .filter(|e| open(e) && now - e.since >= CLAIM_LIMIT)
            .map(|e| e.ask.request)
            .collect();
        let mut steps = Vec::new();
        for request in late {
            if let Some(entry) = self.take(request) {
                self.give_up_entry(entry);
                steps.push(decide(request, Verdict::Down));
            }
        }
        steps
    }
}

const fn decide(request: RequestId, verdict: Verdict) -> ClaimStep {
    ClaimStep::Decide { request, verdict }
}
