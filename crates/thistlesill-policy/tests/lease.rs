//! Tests of the lease on a hall, and of plan writes by a planner that has lost the lease.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use thistlesill_core::Millis;
use thistlesill_core::message::{Heartbeat, ObservedState, Sighting};
use thistlesill_core::row::{LeaseRow, TermRow, lease_key, term_key};
use thistlesill_core::settings::{Branch, Shape, Tree};
use thistlesill_core::table::{Read, RowKey, Rows, Txn, TxnReply, TxnResult};
use thistlesill_fakes::Table;
use thistlesill_policy::charts::Charts;
use thistlesill_policy::lease::{Lease, LeaseChange, LeasePeriods, LeaseStep};
use thistlesill_policy::plan::{HallPlanner, PlanAction, PlanEvent, PlanOptions, Strategy};
use thistlesill_policy::presence::View;

const PERIODS: LeasePeriods = LeasePeriods {
    renew: Millis::new(2_000),
    length: Millis::new(8_000),
    margin: Millis::new(1_500),
    grace: Millis::ZERO,
};
const START: Millis = Millis::new(1_000_000);

fn charts() -> Charts {
    Charts::load().expect("sound charts")
}

fn lease(name: &str) -> Lease {
    Lease::new(charts().lease, name.into(), "h".into(), PERIODS)
}

fn read(table: &mut Table) -> Rows {
    let prefixes: Vec<RowKey> = vec!["halls/h/".into()];
    table.read(&Read { prefixes })
}

/// Ticks a lease and carries out its steps until there are none left; returns the changes.
fn run_lease(lease: &mut Lease, table: &mut Table, now: Millis) -> Vec<LeaseChange> {
    let mut lease_changes = Vec::new();
    loop {
        let (step, change) = lease.tick(now);
        lease_changes.push(change);
        match step {
            LeaseStep::Wait => break,
            LeaseStep::Read => lease_changes.push(lease.apply_rows(Some(&read(table)), now)),
            LeaseStep::Send(txn) => {
                let result = TxnResult::Replied(table.txn(&txn));
                lease_changes.push(lease.apply_result(&result, now));
            }
        }
    }
    lease_changes.retain(|change| *change != LeaseChange::None);
    lease_changes
}

fn at(ms: u64) -> Millis {
    START + Millis::new(ms)
}

#[test]
fn first_asker_gains_it() {
    let mut table = Table::default();
    let (mut a, mut b) = (lease("a"), lease("b"));
    assert_eq!(
        run_lease(&mut a, &mut table, START),
        vec![LeaseChange::Gained { term: 1 }]
    );
    assert!(run_lease(&mut b, &mut table, START).is_empty());
    assert_eq!(a.term(START), Some(1));
    assert_eq!(b.term(START), None);
}

#[test]
fn term_ends_by_the_holders_own_clock_without_a_tick() {
    let mut table = Table::default();
    let mut a = lease("a");
    run_lease(&mut a, &mut table, START);
    assert_eq!(a.term(at(6_499)), Some(1));
    // The planner was paused and has not ticked since the lease ran out.
    assert_eq!(a.term(at(6_500)), None);
}

#[test]
fn takeover_only_after_the_whole_length() {
    let mut table = Table::default();
    let (mut a, mut b) = (lease("a"), lease("b"));
    run_lease(&mut a, &mut table, START);
    run_lease(&mut b, &mut table, START);
    assert!(run_lease(&mut b, &mut table, at(7_900)).is_empty());
    let gained = run_lease(&mut b, &mut table, at(8_100));
    assert_eq!(gained, vec![LeaseChange::Gained { term: 2 }]);
    let ended = run_lease(&mut a, &mut table, at(8_200));
    assert_eq!(ended, vec![LeaseChange::Ended { term: 1 }]);
}

/// Returns a lease that `a` holds and has not renewed, and that `b` tried to take over without
/// getting an answer.
fn asked_in_an_outage() -> (Table, Lease, Lease) {
    let mut table = Table::default();
    let (mut a, mut b) = (lease("a"), lease("b"));
    run_lease(&mut a, &mut table, START);
    run_lease(&mut b, &mut table, START);
    let (step, _) = b.tick(at(8_100));
    assert!(matches!(step, LeaseStep::Send(_)), "{step:?}");
    b.apply_result(&TxnResult::Unknown, at(8_600));
    (table, a, b)
}

/// The store is unreachable for longer than the lease lasts. A planner whose takeover got no answer
/// forgot since when the row was unchanged and waited for the whole length again, so that no group
/// was repaired for 2.6 s after the store's return.
#[test]
fn a_lease_that_ran_out_while_the_store_was_away_is_taken_at_its_return() {
    let (mut table, a, mut b) = asked_in_an_outage();
    let (step, _) = b.tick(at(8_700));
    assert!(matches!(step, LeaseStep::Read), "{step:?}");
    b.apply_rows(None, at(9_200));
    let gained = run_lease(&mut b, &mut table, at(11_300));
    assert_eq!(gained, vec![LeaseChange::Gained { term: 2 }]);
    assert_eq!(a.term(at(11_300)), None);
}

/// Same outage, but the holder renewed the lease just before it: the length counts from there.
#[test]
fn a_lease_that_was_renewed_meanwhile_is_not_taken() {
    let (mut table, mut a, mut b) = asked_in_an_outage();
    run_lease(&mut a, &mut table, at(2_000));
    assert!(run_lease(&mut b, &mut table, at(11_300)).is_empty());
    assert!(run_lease(&mut b, &mut table, at(19_200)).is_empty());
    let gained = vec![LeaseChange::Gained { term: 2 }];
    assert_eq!(run_lease(&mut b, &mut table, at(19_400)), gained);
}

#[test]
fn a_lease_that_cannot_be_read_runs_out_like_any_other() {
    let mut table = Table::default();
    let (mut a, mut b) = (lease("a"), lease("b"));
    run_lease(&mut a, &mut table, START);
    // Another writer overwrites the row, and `b` waits for the lease to run out.
    let garbage = Txn::new().put("halls/h/lease", &"nothing");
    table.txn(&garbage);
    assert!(run_lease(&mut b, &mut table, at(2_000)).is_empty());
    assert!(run_lease(&mut b, &mut table, at(9_900)).is_empty());
    let gained = LeaseChange::Gained { term: 2 };
    assert_eq!(run_lease(&mut b, &mut table, at(10_000)), vec![gained]);
    assert_eq!(a.term(at(10_000)), None);
}

#[test]
fn a_holder_whose_lease_was_overwritten_writes_it_again() {
    let mut table = Table::default();
    let mut a = lease("a");
    run_lease(&mut a, &mut table, START);
    table.txn(&Txn::new().put("halls/h/lease", &"nothing"));
    assert!(run_lease(&mut a, &mut table, at(2_000)).is_empty());
    assert_eq!(a.term(at(8_000)), Some(1), "it was renewed at 2 s");
    assert_eq!(a.holder().map(ToString::to_string), Some("a".to_owned()));
}

#[test]
fn renewal_keeps_others_out() {
    let mut table = Table::default();
    let (mut a, mut b) = (lease("a"), lease("b"));
    run_lease(&mut a, &mut table, START);
    for second in 1..60 {
        let now = at(second * 1_000);
        assert!(run_lease(&mut a, &mut table, now).is_empty());
        assert!(
            run_lease(&mut b, &mut table, now).is_empty(),
            "second {second}"
        );
    }
}

#[test]
fn lost_answer_of_a_renewal_extends_nothing_unless_it_took_effect() {
    let mut table = Table::default();
    let mut a = lease("a");
    run_lease(&mut a, &mut table, START);
    let (step, _) = a.tick(at(2_000));
    assert!(matches!(step, LeaseStep::Send(_)), "{step:?}");
    // The renewal does not reach the table, and its result is unknown.
    a.apply_result(&TxnResult::Unknown, at(3_500));
    a.apply_rows(Some(&read(&mut table)), at(3_600));
    assert_eq!(a.term(at(6_499)), Some(1));
    assert_eq!(a.term(at(6_600)), None, "only the first write counts");
}

#[test]
fn renewal_that_took_no_effect_is_sent_again_at_once() {
    let mut table = Table::default();
    let mut a = lease("a");
    run_lease(&mut a, &mut table, START);
    let (step, _) = a.tick(at(2_000));
    assert!(matches!(step, LeaseStep::Send(_)), "{step:?}");
    // The renewal does not reach the table, and its result is unknown.
    a.apply_result(&TxnResult::Unknown, at(3_500));
    let (step, _) = a.tick(at(3_500));
    assert_eq!(step, LeaseStep::Read);
    a.apply_rows(Some(&read(&mut table)), at(3_600));
    // Over half of the lease's length has passed, so the renewal must not wait another interval.
    let (step, _) = a.tick(at(3_600));
    assert!(matches!(step, LeaseStep::Send(_)), "{step:?}");
}

#[test]
fn late_renewal_is_not_taken_for_a_newer_one() {
    let mut table = Table::default();
    let mut a = lease("a");
    run_lease(&mut a, &mut table, START);
    let (LeaseStep::Send(late), _) = a.tick(at(2_000)) else {
        panic!("a renewal");
    };
    a.apply_result(&TxnResult::Unknown, at(3_500));
    a.apply_rows(Some(&read(&mut table)), at(3_600));
    let (LeaseStep::Send(_), _) = a.tick(at(4_100)) else {
        panic!("a second renewal");
    };
    // The first renewal takes effect now; the second one is lost.
    table.txn(&late);
    a.apply_result(&TxnResult::Unknown, at(5_600));
    a.apply_rows(Some(&read(&mut table)), at(5_700));
    assert_eq!(
        a.term(at(6_600)),
        None,
        "the renewal that took effect was sent at 2 s, not at 4 s"
    );
}

#[test]
fn release_lets_others_in_at_once() {
    let mut table = Table::default();
    let (mut a, mut b) = (lease("a"), lease("b"));
    run_lease(&mut a, &mut table, START);
    let txn = a.release(at(100)).expect("a release");
    table.txn(&txn);
    assert_eq!(a.term(at(100)), None);
    assert_eq!(
        run_lease(&mut b, &mut table, at(200)),
        vec![LeaseChange::Gained { term: 2 }]
    );
}

fn sighting(n: u32) -> Sighting {
    Sighting {
        instance: format!("i{n}").into(),
        hall: "h".into(),
        domain: "d".into(),
        generation: "a".into(),
        accelerators: 8,
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        incarnation: 1,
        leaving: false,
        state: ObservedState::Idle,
    }
}

/// Returns a view whose sightings are fresh at `now`.
fn view(now: Millis) -> View {
    let beat = Heartbeat {
        seq: 1,
        run: 1,
        oldest: Millis::ZERO,
        changes: 4,
        changed: (0..4).map(sighting).collect(),
        gauges: Vec::new(),
    };
    let mut view = View::new();
    view.apply_heartbeat(&"w".into(), &beat, 0, now);
    view
}

fn tree() -> Arc<Tree> {
    let root = Branch {
        model: Some("m".into()),
        version: Some("1".into()),
        shapes: Some(vec![Shape {
            generation: "a".into(),
            instances: 4,
        }]),
        downtime_weight: Some(0.5),
        checks_orders: Some(true),
        ..Branch::default()
    };
    Arc::new(Tree::new(1, [("/".to_owned(), root)].into()))
}

fn planner(name: &str) -> HallPlanner {
    let options = PlanOptions {
        name: name.into(),
        region: "r".into(),
        hall: "h".into(),
        lease: PERIODS,
        strategy: Strategy::default(),
    };
    HallPlanner::new(options, &charts())
}

/// Runs a planner for some seconds and returns its plan writes, which are not sent.
fn run(planner: &mut HallPlanner, table: &mut Table, from: u64, seconds: u64) -> Vec<Txn> {
    let mut plan_writes = Vec::new();
    for step in 0..seconds * 10 {
        let now = at(from + step * 100);
        let mut actions = planner.tick(&view(now), Millis::new(4_000), Some(&tree()), now);
        while !actions.is_empty() {
            let mut next = Vec::new();
            for action in actions {
                match action {
                    PlanAction::SendTxn { txn, .. } if writes_plan(&txn) => plan_writes.push(txn),
                    PlanAction::SendTxn { flight, txn } => {
                        let result = TxnResult::Replied(table.txn(&txn));
                        next.extend(planner.step(PlanEvent::TxnDone { flight, result }, now));
                    }
                    PlanAction::Read { flight, prefixes } => {
                        let rows = Some(table.read(&Read { prefixes }));
                        next.extend(planner.step(PlanEvent::RowsRead { flight, rows }, now));
                    }
                    PlanAction::SendOrder { .. } | PlanAction::Note(_) => {}
                }
            }
            actions = next;
        }
    }
    plan_writes
}

fn writes_plan(txn: &Txn) -> bool {
    let keys = txn.guards.iter().map(|g| g.key().to_string());
    keys.into_iter().any(|k| k.contains("/plan/"))
}

#[test]
fn late_plan_write_of_a_former_holder_is_refused() {
    let mut table = Table::default();
    let (mut a, mut b) = (planner("a"), planner("b"));
    let late = run(&mut a, &mut table, 0, 5);
    assert_eq!(late.len(), 1, "one plan write, still in flight");
    // The next holder has gained the lease and has not written a plan yet.
    run(&mut b, &mut table, 0, 1);
    run(&mut b, &mut table, 14_000, 1);
    assert_eq!(b.term(at(15_000)), Some(2));
    let reply = table.txn(&late[0]);
    assert!(matches!(reply, TxnReply::Refused { .. }), "{reply:?}");
}

/// Guards against a row of another writer whose term or renewal counter no later one exceeds: no planner
/// took the lease, or all had the same term.
#[test]
fn a_lease_row_with_the_largest_numbers_is_never_taken() {
    for number in [u64::MAX, 1 << 63, (1 << 39) + 1, 1 << 39, (1 << 39) - 1] {
        let mut table = Table::default();
        let (mut a, mut b) = (lease("a"), lease("b"));
        run_lease(&mut a, &mut table, START);
        let row = LeaseRow {
            holder: "odd".into(),
            term: number,
            beat: number,
            free: false,
        };
        let hall = "h".into();
        table.txn(
            &Txn::new()
                .put(lease_key(&hall), &row)
                .put(term_key(&hall), &TermRow { term: number }),
        );
        let mut terms = Vec::new();
        // Each holder is gone by the time at which the other one asks again.
        for round in 1..6 {
            for (wait, planner) in [&mut a, &mut b].into_iter().enumerate() {
                let begun = START + Millis::new(round * 200_000 + wait as u64 * 100_000);
                for second in 0..30 {
                    let now = begun + Millis::new(second * 1_000);
                    run_lease(planner, &mut table, now);
                    terms.extend(planner.term(now));
                }
            }
        }
        terms.dedup();
        assert!(terms.len() >= 8, "{number}: {terms:?}");
        assert!(terms.iter().all(|term| *term <= 1 << 39), "{terms:?}");
    }
}
