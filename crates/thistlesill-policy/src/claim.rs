//! Claims on idempotency keys, for requests that may run at most once.
//!
//! A claim is a row that is inserted on condition that it is absent, before the first byte goes to
//! a target. Claims that wait while a transaction is in flight share the next one, so the number of
//! transactions is bounded by their round-trip time and not by the number of requests.

mod settle;

use std::collections::{BTreeMap, HashMap, VecDeque};

use thistlesill_core::chart::Chart;
use thistlesill_core::row::{ClaimRow, Outcome, claim_key};
use thistlesill_core::table::{RowKey, Rows, Txn, TxnReply, TxnResult};
use thistlesill_core::{CustomerId, Millis, NodeId, RequestId};

use crate::charts::{ClaimEvent, ClaimState};

/// The maximum number of claims in one transaction.
pub const MAX_BATCH: usize = 64;
/// The maximum number of claim transactions in flight.
const MAX_CLAIM_FLIGHTS: usize = 2;
/// How long a claim may stay undecided before it is given up.
const CLAIM_TIMEOUT: Millis = Millis::new(2_000);
/// The minimum interval between two reads of the rows that decide [`ClaimState::Unsure`] claims.
const READ_BACK_INTERVAL: Millis = Millis::new(100);
/// The maximum number of follow-up operations that wait for the store; further ones are dropped.
const MAX_FOLLOW_UPS: usize = 4_096;

/// A request and the idempotency key that it claims.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimParams {
    /// The request.
    pub request: RequestId,
    /// The request's customer; the same key of two customers makes two independent claims.
    pub customer: CustomerId,
    /// The idempotency key.
    pub key: String,
    /// The SHA-256 of the request body.
    pub body: String,
}

/// The result of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The request owns the key and may be sent, once.
    Granted,
    /// Another request holds the key and has no outcome yet.
    Held,
    /// Another request with a different body holds the key.
    Reused,
    /// An earlier request with the same body ended with this outcome.
    Recorded(Outcome),
    /// The store is unreachable, so the request must not be sent.
    Down,
}

/// What the caller has to do next for the claims.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStep {
    /// Send a transaction and pass its result to [`Claims::apply_result`].
    Send {
        /// Identifies the transaction.
        flight: u64,
        /// The transaction to send.
        txn: Txn,
    },
    /// Read rows and pass them to [`Claims::apply_rows`].
    Read {
        /// Identifies the read.
        flight: u64,
        /// The exact keys of the rows to read.
        keys: Vec<RowKey>,
    },
    /// A claim has been decided.
    Decide {
        /// The request whose claim was decided.
        request: RequestId,
        /// The result of its claim.
        verdict: Verdict,
    },
}

#[derive(Debug, Clone)]
struct Entry {
    params: ClaimParams,
    row_key: RowKey,
    state: ClaimState,
    since: Millis,
    version: u64,
}

/// An operation on the store that remains after a request has been answered.
#[derive(Debug, Clone)]
enum FollowUp {
    /// Write an outcome into the claim row.
    Record { entry: Entry, outcome: Outcome },
    /// Remove the row of a request that was granted its key and did not run.
    Remove { entry: Entry },
    /// Look for the row of a claim that was given up while the result of its write was unknown.
    Lookup { entry: Entry, attempts: u32 },
}

#[derive(Debug, Clone)]
enum Flight {
    Claims(Vec<RequestId>),
    ReadBack(Vec<RequestId>),
    FollowUp(Box<FollowUp>),
}

/// The claims of one router.
#[derive(Debug, Clone)]
pub struct Claims {
    chart: Chart<ClaimState, ClaimEvent>,
    me: NodeId,
    entries: BTreeMap<RequestId, Entry>,
    keys: HashMap<RowKey, RequestId>,
    flights: HashMap<u64, Flight>,
    next_flight: u64,
    last_read: Option<Millis>,
    follow_ups: VecDeque<FollowUp>,
    last_follow_up: Option<Millis>,
    transactions: u64,
    granted: u64,
}

impl Claims {
    /// Creates a router's state without claims; `me` is the router's name.
    pub fn new(chart: Chart<ClaimState, ClaimEvent>, me: NodeId) -> Self {
        Self {
            chart,
            me,
            entries: BTreeMap::new(),
            keys: HashMap::new(),
            flights: HashMap::new(),
            next_flight: 0,
            last_read: None,
            follow_ups: VecDeque::new(),
            last_follow_up: None,
            transactions: 0,
            granted: 0,
        }
    }

    /// Returns the numbers of claims granted and of transactions sent so far.
    pub const fn counts(&self) -> (u64, u64) {
        (self.granted, self.transactions)
    }

    /// Returns whether no follow-up is waiting and no transaction or read is in flight.
    pub fn is_idle(&self) -> bool {
        self.follow_ups.is_empty() && self.flights.is_empty()
    }

    /// Begins a claim.
    ///
    /// Two requests with the same key at one router never share a transaction: the second request
    /// is decided here, from the first one's claim.
    pub fn begin(&mut self, params: ClaimParams, now: Millis) -> Vec<ClaimStep> {
        let row_key: RowKey = claim_key(&params.customer, &params.key).into();
        if let Some(holder) = self.keys.get(&row_key).and_then(|r| self.entries.get(r)) {
            let verdict = if holder.params.body == params.body {
                Verdict::Held
            } else {
                Verdict::Reused
            };
            return vec![decide(params.request, verdict)];
        }
        self.keys.insert(row_key.clone(), params.request);
        let entry = Entry {
            row_key,
            state: self.chart.start(),
            since: now,
            version: 0,
            params,
        };
        self.entries.insert(entry.params.request, entry);
        self.flush()
    }

    /// Advances to `now`: gives up claims that took too long and starts the operations that are
    /// due.
    pub fn tick(&mut self, now: Millis) -> Vec<ClaimStep> {
        let mut steps = self.give_up_expired(now);
        steps.extend(self.flush());
        steps.extend(self.read_back(now));
        steps.extend(self.start_follow_up(now));
        steps
    }

    /// Applies the result of the transaction that `flight` identifies.
    pub fn apply_result(&mut self, flight: u64, result: &TxnResult) -> Vec<ClaimStep> {
        let steps = match self.flights.remove(&flight) {
            Some(Flight::Claims(requests)) => self.claims_done(&requests, result),
            Some(Flight::FollowUp(follow_up)) => {
                self.write_done(*follow_up, result);
                Vec::new()
            }
            Some(Flight::ReadBack(_)) | None => Vec::new(),
        };
        [steps, self.flush()].concat()
    }

    /// Applies the rows that were read for `flight`; `rows` is `None` if the read failed.
    pub fn apply_rows(&mut self, flight: u64, rows: Option<&Rows>) -> Vec<ClaimStep> {
        let steps = match (self.flights.remove(&flight), rows) {
            (Some(Flight::ReadBack(requests)), Some(rows)) => {
                self.resolve_read_back(&requests, rows)
            }
            (Some(Flight::FollowUp(follow_up)), rows) => {
                self.lookup_done(*follow_up, rows);
                Vec::new()
            }
            _ => Vec::new(),
        };
        [steps, self.flush()].concat()
    }

    /// Records the outcome of a granted request.
    pub fn finish(&mut self, request: RequestId, outcome: Outcome) {
        if let Some(entry) = self.remove_entry(request) {
            self.push_follow_up(FollowUp::Record { entry, outcome });
        }
    }

    /// Releases the key of a granted request that provably did not run.
    pub fn release(&mut self, request: RequestId) {
        if let Some(entry) = self.remove_entry(request) {
            self.push_follow_up(FollowUp::Remove { entry });
        }
    }

    /// Ends a granted claim and leaves its row as it is: the request may have run, and its key must
    /// never be granted again.
    pub fn abandon(&mut self, request: RequestId) {
        self.remove_entry(request);
    }

    /// Gives up a claim that is not decided yet because its caller disconnected.
    pub fn withdraw(&mut self, request: RequestId) {
        let Some(entry) = self.remove_entry(request) else {
            return;
        };
        self.give_up_entry(entry);
    }

    fn remove_entry(&mut self, request: RequestId) -> Option<Entry> {
        let entry = self.entries.remove(&request)?;
        self.keys.remove(&entry.row_key);
        Some(entry)
    }

    fn push_follow_up(&mut self, follow_up: FollowUp) {
        if self.follow_ups.len() < MAX_FOLLOW_UPS {
            self.follow_ups.push_back(follow_up);
        }
    }

    fn apply(&mut self, request: RequestId, event: ClaimEvent) -> Option<ClaimState> {
        let entry = self.entries.get_mut(&request)?;
        let next = self.chart.step(entry.state, event).ok()?;
        entry.state = next;
        Some(next)
    }

    fn start_flight(&mut self, flight: Flight) -> u64 {
        self.next_flight += 1;
        self.flights.insert(self.next_flight, flight);
        self.next_flight
    }

    fn claim_flights(&self) -> usize {
        let list = self.flights.values();
        list.filter(|f| matches!(f, Flight::Claims(_))).count()
    }

    /// Sends the waiting claims, as many as fit into one transaction.
    fn flush(&mut self) -> Vec<ClaimStep> {
        if self.claim_flights() >= MAX_CLAIM_FLIGHTS {
            return Vec::new();
        }
        let waiting = self.entries.values();
        let batch: Vec<RequestId> = waiting
            .filter(|e| e.state == ClaimState::Waiting)
            .map(|e| e.params.request)
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
        let flight = self.start_flight(Flight::Claims(batch));
        vec![ClaimStep::Send { flight, txn }]
    }

    fn row(&self, entry: &Entry, outcome: Option<Outcome>) -> ClaimRow {
        ClaimRow {
            request: entry.params.request,
            router: self.me.clone(),
            body: entry.params.body.clone(),
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

    /// Handles a refused transaction, which wrote nothing: the rows that failed their guards must
    /// be read, and all other claims go into the next transaction.
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
        self.granted += 1;
        self.entries.get_mut(&request)?.version = version;
        Some(decide(request, Verdict::Granted))
    }

    fn read_back(&mut self, now: Millis) -> Vec<ClaimStep> {
        let recent = self.last_read.is_some_and(|t| now - t < READ_BACK_INTERVAL);
        let reading = self
            .flights
            .values()
            .any(|f| matches!(f, Flight::ReadBack(_)));
        if recent || reading {
            return Vec::new();
        }
        let unsure = self.entries.values();
        let pending: Vec<&Entry> = unsure
            .filter(|e| e.state == ClaimState::Unsure)
            .take(MAX_BATCH)
            .collect();
        if pending.is_empty() {
            return Vec::new();
        }
        let keys = pending.iter().map(|e| e.row_key.clone()).collect();
        let requests = pending.iter().map(|e| e.params.request).collect();
        self.last_read = Some(now);
        let flight = self.start_flight(Flight::ReadBack(requests));
        vec![ClaimStep::Read { flight, keys }]
    }

    fn resolve_read_back(&mut self, requests: &[RequestId], rows: &Rows) -> Vec<ClaimStep> {
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
                (Some(_), claim) => steps.extend(self.reject_taken(*request, claim)),
            }
        }
        steps
    }

    fn reject_taken(&mut self, request: RequestId, claim: Option<ClaimRow>) -> Option<ClaimStep> {
        self.apply(request, ClaimEvent::Other)?;
        let entry = self.remove_entry(request)?;
        let verdict = match claim {
            Some(c) if c.body != entry.params.body => Verdict::Reused,
            Some(ClaimRow {
                outcome: Some(outcome),
                ..
            }) => Verdict::Recorded(outcome),
            _ => Verdict::Held,
        };
        Some(decide(request, verdict))
    }

    fn give_up_expired(&mut self, now: Millis) -> Vec<ClaimStep> {
        let open = |e: &Entry| {
            matches!(
                e.state,
                ClaimState::Waiting | ClaimState::Writing | ClaimState::Unsure
            )
        };
        let entries = self.entries.values();
        let expired: Vec<RequestId> = entries
            .filter(|e| open(e) && now - e.since >= CLAIM_TIMEOUT)
            .map(|e| e.params.request)
            .collect();
        let mut steps = Vec::new();
        for request in expired {
            if let Some(entry) = self.remove_entry(request) {
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
