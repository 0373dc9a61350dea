//! Tests of claims: waiting claims share transactions, and one key is never granted twice.

use std::collections::{BTreeMap, BTreeSet};

use thistlesill_core::table::{Read, RowKey, Txn, TxnReply, TxnResult};
use thistlesill_core::{Millis, RequestId};
use thistlesill_fakes::Table;
use thistlesill_fakes::seeded;
use thistlesill_policy::charts::Charts;
use thistlesill_policy::claim::{ClaimParams, ClaimStep, Claims, Verdict};

fn claims(name: &str) -> Claims {
    let charts = Charts::load().expect("sound charts");
    Claims::new(charts.claim, name.into())
}

fn ask(number: u128, key: &str) -> ClaimParams {
    ClaimParams {
        request: RequestId::new(number),
        customer: "c".into(),
        key: key.to_owned(),
        body: "body".to_owned(),
    }
}

#[test]
fn claims_that_wait_share_the_next_transaction() {
    let mut table = Table::default();
    let mut claims = claims("r0");
    let mut flights: Vec<(u64, Txn)> = Vec::new();
    let mut collect = |steps: Vec<ClaimStep>| {
        for step in steps {
            if let ClaimStep::Send { flight, txn } = step {
                flights.push((flight, txn));
            }
        }
    };
    for n in 0..130 {
        collect(claims.begin(ask(n, &format!("k{n}")), Millis::new(1)));
    }
    // Two transactions with one claim each are in flight; the other claims wait.
    assert_eq!(flights.len(), 2);
    let mut rounds = 0;
    while let Some((flight, txn)) = flights.pop() {
        rounds += 1;
        let reply = table.txn(&txn);
        for step in claims.apply_result(flight, &TxnResult::Replied(reply)) {
            if let ClaimStep::Send { flight, txn } = step {
                flights.push((flight, txn));
            }
        }
    }
    assert_eq!(claims.counts(), (130, rounds));
    assert_eq!(rounds, 4, "128 claims in two transactions of 64");
}

#[test]
fn conflict_in_a_batch_spares_the_others() {
    let mut table = Table::default();
    table.txn(&Txn::new().put("claims/c/taken", &"x"));
    let mut claims = claims("r0");
    // Two transactions in flight make the next claims share one.
    let mut steps = claims.begin(ask(1, "a"), Millis::new(1));
    steps.extend(claims.begin(ask(2, "b"), Millis::new(1)));
    steps.extend(claims.begin(ask(3, "taken"), Millis::new(1)));
    steps.extend(claims.begin(ask(4, "d"), Millis::new(1)));
    let mut verdicts = BTreeMap::new();
    let mut now = Millis::new(1);
    for _ in 0..40 {
        let mut next = Vec::new();
        for step in steps {
            match step {
                ClaimStep::Send { flight, txn } => {
                    let reply = table.txn(&txn);
                    next.extend(claims.apply_result(flight, &TxnResult::Replied(reply)));
                }
                ClaimStep::Read { flight, keys } => {
                    let rows = table.read(&Read { prefixes: keys });
                    next.extend(claims.apply_rows(flight, Some(&rows)));
                }
                ClaimStep::Decide { request, verdict } => {
                    verdicts.insert(request, verdict);
                }
            }
        }
        now = now + Millis::new(50);
        next.extend(claims.tick(now));
        steps = next;
    }
    let verdict_of = |n: u128| verdicts.get(&RequestId::new(n));
    assert_eq!(verdict_of(1), Some(&Verdict::Granted));
    assert_eq!(verdict_of(4), Some(&Verdict::Granted));
    assert_eq!(verdict_of(3), Some(&Verdict::Held));
}

#[test]
fn same_key_never_waits_twice_for_one_transaction() {
    let mut table = Table::default();
    let mut claims = claims("r0");
    let now = Millis::new(1);
    let mut steps = claims.begin(ask(1, "a"), now);
    steps.extend(claims.begin(ask(2, "b"), now));
    // Two transactions are in flight, so the next two claims would share one.
    steps.extend(claims.begin(ask(3, "same"), now));
    steps.extend(claims.begin(ask(4, "same"), now));
    let mut granted = Vec::new();
    while !steps.is_empty() {
        let mut next = Vec::new();
        for step in steps {
            match step {
                ClaimStep::Send { flight, txn } => {
                    let reply = table.txn(&txn);
                    next.extend(claims.apply_result(flight, &TxnResult::Replied(reply)));
                }
                ClaimStep::Decide {
                    request,
                    verdict: Verdict::Granted,
                } => granted.push(request),
                ClaimStep::Decide { .. } | ClaimStep::Read { .. } => {}
            }
        }
        steps = next;
    }
    assert_eq!(granted, [1, 2, 3].map(RequestId::new).to_vec());
}

/// The fate of a router's next message to the table.
#[derive(Debug, Clone, Copy)]
enum Delivery {
    Delivered,
    Lost,
    AnswerLost,
    Late,
}

impl Delivery {
    const fn from_byte(byte: u8) -> Self {
        match byte % 5 {
            0 => Self::Lost,
            1 => Self::AnswerLost,
            2 => Self::Late,
            _ => Self::Delivered,
        }
    }
}

struct Session {
    table: Table,
    late: Vec<Txn>,
    granted: BTreeSet<(RowKey, RequestId)>,
    down: BTreeSet<RequestId>,
}

impl Session {
    fn deliver(
        &mut self,
        claims: &mut Claims,
        steps: Vec<ClaimStep>,
        deliveries: &mut impl Iterator<Item = u8>,
    ) -> Vec<ClaimStep> {
        let mut next = Vec::new();
        for step in steps {
            let delivery = Delivery::from_byte(deliveries.next().unwrap_or(4));
            match step {
                ClaimStep::Send { flight, txn } => {
                    let result = self.txn(txn, delivery);
                    next.extend(claims.apply_result(flight, &result));
                }
                ClaimStep::Read { flight, keys } => {
                    let rows = matches!(delivery, Delivery::Delivered)
                        .then(|| self.table.read(&Read { prefixes: keys }));
                    next.extend(claims.apply_rows(flight, rows.as_ref()));
                }
                ClaimStep::Decide { request, verdict } => self.record(request, &verdict),
            }
        }
        next
    }

    fn txn(&mut self, txn: Txn, delivery: Delivery) -> TxnResult {
        match delivery {
            Delivery::Delivered => TxnResult::Replied(self.table.txn(&txn)),
            Delivery::Lost => TxnResult::Unknown,
            Delivery::AnswerLost => {
                self.table.txn(&txn);
                TxnResult::Unknown
            }
            Delivery::Late => {
                self.late.push(txn);
                TxnResult::Unknown
            }
        }
    }

    fn record(&mut self, request: RequestId, verdict: &Verdict) {
        match verdict {
            Verdict::Granted => {
                self.granted.insert(("claims/c/k".into(), request));
            }
            Verdict::Down => {
                self.down.insert(request);
            }
            _ => {}
        }
    }
}

seeded! {
    fn one_key_is_granted_once(deliveries: Vec<u8>, asks: Vec<bool>) -> bool {
        let mut routers = [claims("r0"), claims("r1")];
        let mut session = Session {
            table: Table::default(),
            late: Vec::new(),
            granted: BTreeSet::new(),
            down: BTreeSet::new(),
        };
        let mut deliveries = deliveries.into_iter();
        let mut steps = [Vec::new(), Vec::new()];
        let mut asks = asks.into_iter();
        for round in 0..120_u64 {
            let now = Millis::new(1 + round * 60);
            if let Some(second) = asks.next() {
                let router = usize::from(second);
                let asked = routers[router].begin(ask(u128::from(round), "k"), now);
                steps[router].extend(asked);
            }
            for router in 0..2 {
                steps[router].extend(routers[router].tick(now));
                let todo = std::mem::take(&mut steps[router]);
                steps[router] = session.deliver(&mut routers[router], todo, &mut deliveries);
            }
            // A delayed transaction reaches the table now and may take effect.
            if round % 3 == 0 && let Some(txn) = session.late.pop() {
                let reply = session.table.txn(&txn);
                assert!(matches!(reply, TxnReply::Committed { .. } | TxnReply::Refused { .. }));
            }
        }
        let granted_and_down = session.granted.iter().any(|(_, r)| session.down.contains(r));
        session.granted.len() <= 1 && !granted_and_down
    }
}
