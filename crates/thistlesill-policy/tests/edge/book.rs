//! Targets that are listed, leaving, gone, or only lapsed with the store.

use std::net::{Ipv4Addr, SocketAddr};

use thistlesill_core::Millis;
use thistlesill_core::edge::{Target, TargetId};
use thistlesill_policy::edge::book::{Listing, RELIST, TargetBook};

const NOW: Millis = Millis::new(1_000_000);

/// A target of a plain service.
pub(crate) fn target(id: impl Into<TargetId>) -> Target {
    Target {
        id: id.into(),
        service: "s".into(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 80)),
        hall: "h".into(),
        slots: 6,
        leaving: false,
        domain: None,
        staged: Vec::new(),
        member: None,
    }
}
        warmup: Millis::ZERO,

/// Its entry as the store lists it.
pub(crate) fn listed(id: impl Into<TargetId>) -> Listing {
    Listing::Listed(Box::new(target(id)))
}

fn count(book: &TargetBook) -> usize {
    book.serving(&"s".into(), None).len()
}

fn book() -> TargetBook {
    let mut book = TargetBook::default();
    book.store_answered(NOW);
    book.apply(vec![listed("a"), listed("b")], None, NOW);
    book
}

#[test]
fn a_target_that_leaves_or_is_gone_gets_nothing_more() {
    let mut book = book();
    let later = NOW + Millis::new(60_000);
    let leaving = Target {
        leaving: true,
        ..target("a")
    };
    book.apply(vec![Listing::Listed(Box::new(leaving))], None, later);
    assert_eq!(count(&book), 1);
    book.apply(vec![Listing::Gone("b".into())], None, later);
    assert_eq!(count(&book), 0);
}

#[test]
fn entries_that_vanish_as_the_store_returns_have_time_to_come_back() {
    let mut book = book();
    book.store_failed();
    let back = NOW + Millis::new(9_000);
    book.store_answered(back);
    book.apply(
        vec![Listing::Gone("a".into()), Listing::Gone("b".into())],
        None,
        back,
    );
    assert_eq!(count(&book), 2);
    book.apply(vec![listed("a")], None, back + Millis::new(900));
    assert!(!book.expire(None, back + RELIST - Millis::new(1)));
    assert!(book.expire(None, back + RELIST));
    assert_eq!(count(&book), 1, "what did not come back is gone");
    assert!(book.knows(&"a".into()));
}

#[test]
fn nothing_lapses_for_good_while_the_store_is_away() {
    let mut book = book();
    book.store_failed();
    book.apply(
        vec![Listing::Gone("a".into())],
        None,
        NOW + Millis::new(100),
    );
    assert!(!book.expire(None, NOW + Millis::new(60_000)));
    assert_eq!(count(&book), 2);
}

#[test]
fn a_whole_read_drops_what_it_lacks() {
    let mut book = book();
    book.replace(vec![listed("c")], None, NOW + Millis::new(60_000));
    assert!(book.knows(&"c".into()) && !book.knows(&"a".into()));
}
