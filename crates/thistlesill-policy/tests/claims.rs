//! Claims: shared transactions, and never two grants of one key.

use std::collections::{BTreeMap, BTreeSet};

use thistlesill_core::table::{Read, RowKey, Txn, TxnReply, TxnResult};
use thistlesill_core::{Millis, RequestId};
use thistlesill_fakes::Table;
use thistlesill_fakes::seeded;
use thistlesill_policy::charts::Charts;
use thistlesill_policy::claim::{ClaimAsk, ClaimBook, ClaimStep, Verdict};

fn book(name: &str) -> ClaimBook {
    let charts = Charts::load().expect("sound charts");
    ClaimBook::new(charts.claim, name.into())
}

fn ask(number: u128, key: &str) -> ClaimAsk {
    ClaimAsk {
        request: RequestId::new(number),
        customer: "c".into(),
        key: key.to_owned(),
        body: "body".to_owned(),
    }
}

#[test]
fn claims_that_wait_share_the_next_transaction() {
    let mut table = Table::default();
    let mut book = book("r0");
    let mut flights: Vec<(u64, Txn)> = Vec::new();
    let mut collect = |steps: Vec<ClaimStep>| {
        for step in steps {
            if let ClaimStep::Send { flight, txn } = step {
                flights.push((flight, txn));
            }
        }
    };
    for n in 0..130 {
        collect(book.ask(ask(n, &format!("k{n}")), Millis::new(1)));
    }
    // Two are on their way with one claim each; the rest waits.
    assert_eq!(flights.len(), 2);
    let mut rounds = 0;
    while let Some((flight, txn)) = flights.pop() {
        rounds += 1;
        let reply = table.txn(&txn);
        for step in book.done(flight, &TxnResult::Replied(reply)) {
            if let ClaimStep::Send { flight, txn } = step {
                flights.push((flight, txn));
            }
        }
    }
    assert_eq!(book.counts(), (130, rounds));
    assert_eq!(rounds, 4, "128 claims in two transactions of 64");
}

#[test]
fn conflict_in_a_batch_spares_the_others() {
    let mut table = Table::default();
    table.txn(&Txn::new().put("claims/c/taken", &"x"));
    let mut book = book("r0");
    // Fill the flights, so that the next claims share one transaction.
    let mut steps = book.ask(ask(1, "a"), Millis::new(1));
    steps.extend(book.ask(ask(2, "b"), Millis::new(1)));
    steps.extend(book.ask(ask(3, "taken"), Millis::new(1)));
    steps.extend(book.ask(ask(4, "d"), Millis::new(1)));
    let mut verdicts = BTreeMap::new();
    let mut now = Millis::new(1);
    for _ in 0..40 {
        let mut next = Vec::new();
        for step in steps {
            match step {
                ClaimStep::Send { flight, txn } => {
                    let reply = table.txn(&txn);
                    next.extend(book.done(flight, &TxnResult::Replied(reply)));
                }
                ClaimStep::Read { flight, keys } => {
                    let rows = table.read(&Read { prefixes: keys });
                    next.extend(book.rows(flight, Some(&rows)));
                }
                ClaimStep::Decide { request, verdict } => {
                    verdicts.insert(request, verdict);
                }
            }
        }
        now = now + Millis::new(50);
        next.extend(book.tick(now));
        steps = next;
    }
    let of = |n: u128| verdicts.get(&RequestId::new(n));
    assert_eq!(of(1), Some(&Verdict::Granted));
    assert_eq!(of(4), Some(&Verdict::Granted));
    assert_eq!(of(3), Some(&Verdict::Held));
}

#[test]
fn same_key_never_waits_twice_for_one_transaction() {
    let mut table = Table::default();
    let mut book = book("r0");
    let now = Millis::new(1);
    let mut steps = book.ask(ask(1, "a"), now);
    steps.extend(book.ask(ask(2, "b"), now));
    // Both flights are taken: these two would share the next transaction.
    steps.extend(book.ask(ask(3, "same"), now));
    steps.extend(book.ask(ask(4, "same"), now));
    let mut granted = Vec::new();
    while !steps.is_empty() {
        let mut next = Vec::new();
        for step in steps {
            match step {
                ClaimStep::Send { flight, txn } => {
                    let reply = table.txn(&txn);
                    next.extend(book.done(flight, &TxnResult::Replied(reply)));
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

/// What happens to the next message of a router to the table.
#[derive(Debug, Clone, Copy)]
enum Luck {
    Fine,
    Lost,
    AnswerLost,
    Late,
}

impl Luck {
    const fn of(byte: u8) -> Self {
        match byte % 5 {
            0 => Self::Lost,
            1 => Self::AnswerLost,
            2 => Self::Late,
            _ => Self::Fine,
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
    fn carry(
        &mut self,
        book: &mut ClaimBook,
        steps: Vec<ClaimStep>,
        luck: &mut impl Iterator<Item = u8>,
    ) -> Vec<ClaimStep> {
        let mut next = Vec::new();
        for step in steps {
            let fortune = Luck::of(luck.next().unwrap_or(4));
            match step {
                ClaimStep::Send { flight, txn } => {
                    let result = self.txn(txn, fortune);
                    next.extend(book.done(flight, &result));
                }
                ClaimStep::Read { flight, keys } => {
                    let rows = matches!(fortune, Luck::Fine)
                        .then(|| self.table.read(&Read { prefixes: keys }));
                    next.extend(book.rows(flight, rows.as_ref()));
                }
                ClaimStep::Decide { request, verdict } => self.decided(request, &verdict),
            }
        }
        next
    }

    fn txn(&mut self, txn: Txn, fortune: Luck) -> TxnResult {
        match fortune {
            Luck::Fine => TxnResult::Replied(self.table.txn(&txn)),
            Luck::Lost => TxnResult::Unknown,
            Luck::AnswerLost => {
                self.table.txn(&txn);
                TxnResult::Unknown
            }
            Luck::Late => {
                self.late.push(txn);
                TxnResult::Unknown
            }
        }
    }

    fn decided(&mut self, request: RequestId, verdict: &Verdict) {
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
    fn one_key_is_granted_once(luck: Vec<u8>, asks: Vec<bool>) -> bool {
        let mut books = [book("r0"), book("r1")];
        let mut session = Session {
            table: Table::default(),
            late: Vec::new(),
            granted: BTreeSet::new(),
            down: BTreeSet::new(),
        };
        let mut luck = luck.into_iter();
        let mut steps = [Vec::new(), Vec::new()];
        let mut asks = asks.into_iter();
        for round in 0..120_u64 {
            let now = Millis::new(1 + round * 60);
            if let Some(second) = asks.next() {
                let which = usize::from(second);
                let asked = books[which].ask(ask(u128::from(round), "k"), now);
                steps[which].extend(asked);
            }
            for which in 0..2 {
                steps[which].extend(books[which].tick(now));
                let todo = std::mem::take(&mut steps[which]);
                steps[which] = session.carry(&mut books[which], todo, &mut luck);
            }
            // A transaction that was late takes effect, or not, now.
            if round % 3 == 0 && let Some(txn) = session.late.pop() {
                let reply = session.table.txn(&txn);
                assert!(matches!(reply, TxnReply::Committed { .. } | TxnReply::Refused { .. }));
            }
        }
        let both = session.granted.iter().any(|(_, r)| session.down.contains(r));
        session.granted.len() <= 1 && !both
    }
}
