//! Tests of targets that are listed, leave, disappear, or only expire with the store.

use std::net::{Ipv4Addr, SocketAddr};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use thistlesill_core::edge::{
    Catalog, GroupRef, Incarnation, Limits, MemberState, Membership, Service, Target, TargetId,
};
use thistlesill_core::{HallId, Millis};
use thistlesill_fakes::engines::engine;
use thistlesill_policy::edge::book::{Listing, RELIST_GRACE, TargetRegistry};

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
        warmup: Millis::ZERO,
        domain: None,
        staged: Vec::new(),
        member: None,
    }
}

/// The entry of a target as the store lists it.
pub(crate) fn listed(id: impl Into<TargetId>) -> Listing {
    Listing::Listed(Box::new(target(id)))
}

fn count(book: &TargetRegistry) -> usize {
    book.serving(&"s".into(), None).len()
}

fn book() -> TargetRegistry {
    let mut book = TargetRegistry::default();
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
    assert!(!book.expire(None, back + RELIST_GRACE - Millis::new(1)));
    assert!(book.expire(None, back + RELIST_GRACE));
    assert_eq!(
        count(&book),
        1,
        "a target that is not listed again is removed"
    );
    assert!(book.is_current(&"a".into()));
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
    assert!(book.is_current(&"c".into()) && !book.is_current(&"a".into()));
}

const HALLS: [&str; 2] = ["h", "other"];

/// A catalog with a plain service and one that runs models.
fn catalog(version: u64) -> Catalog {
    let limits = Limits {
        head_bytes: 0,
        body_bytes: 0,
        idle: Millis::ZERO,
    };
    let mut catalog = Catalog::new(version, limits);
    for (name, engine) in [("s", None), ("pool", Some(engine()))] {
        catalog.add_service(Service {
            health: "/health".into(),
            name: name.into(),
            connections: 10,
            warmup: None,
            engine,
        });
    }
    catalog
}

/// A random target: in a group or not, its leader or not, leaving or not, in either data centre.
fn random_target(rng: &mut SmallRng) -> Target {
    let id = format!("i-{}", rng.random_range(0..12));
    let incarnation = Incarnation::new(rng.random_range(0..2));
    let states = [MemberState::Open, MemberState::Ready, MemberState::Broken];
    let member = rng.random_bool(0.8).then(|| Membership {
        of: GroupRef {
            group: "g".into(),
            epoch: 1,
        },
        rank: rng.random_range(0..2),
        state: states[rng.random_range(0..3)],
        model: Some(["large", "small"][rng.random_range(0..2)].into()),
    });
    Target {
        id: TargetId::new(id.into(), incarnation),
        service: ["s", "pool"][rng.random_range(0..2)].into(),
        hall: HALLS[rng.random_range(0..2)].into(),
        leaving: rng.random_bool(0.2),
        member,
        ..target("")
    }
}

#[test]
fn targets_that_change_one_by_one_serve_as_those_that_are_read_at_once() {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut book = TargetRegistry::default();
    book.store_answered(NOW);
    let later = NOW + RELIST_GRACE;
    for round in 0..4_000 {
        let catalog = catalog(round / 500);
        let change = match rng.random_range(0..6) {
            0 => Listing::Gone(format!("i-{}", rng.random_range(0..12)).into()),
            1 => Listing::Unusable(format!("i-{}", rng.random_range(0..12)).into()),
            _ => Listing::Listed(Box::new(random_target(&mut rng))),
        };
        book.apply(vec![change], Some(&catalog), later);
        let evacuated = HALLS.iter().filter(|_| round % 40 >= 30);
        let evacuated = evacuated.take(1).map(|hall| HallId::from(*hall)).collect();
        if round % 10 == 0 {
            book.evacuate(&evacuated, Some(&catalog));
        }
        let mut rebuilt = book.clone();
        rebuilt.index(Some(&catalog));
        for service in ["s", "pool"] {
            for model in [None, Some("large".into()), Some("small".into())] {
                let service = service.into();
                let updated = book.serving(&service, model.as_ref());
                assert_eq!(updated, rebuilt.serving(&service, model.as_ref()));
            }
        }
    }
}

#[test]
fn targets_of_an_evacuated_data_centre_get_nothing_until_it_is_taken_back() {
    let mut book = book();
    let elsewhere = Target {
        hall: "other".into(),
        ..target("c")
    };
    book.apply(vec![Listing::Listed(Box::new(elsewhere))], None, NOW);
    book.evacuate(&["h".into()].into(), None);
    assert_eq!(count(&book), 1);
    // A target that appears there meanwhile, and one whose entry changes.
    book.apply(vec![listed("d"), listed("a")], None, NOW);
    assert_eq!(count(&book), 1);
    book.evacuate(&[].into(), None);
    assert_eq!(count(&book), 4);
}

/// A target said that it leaves, and its entry lapsed with the store and came back unchanged.
#[test]
fn an_entry_does_not_bring_back_a_target_that_announced_that_it_leaves() {
    let mut book = book();
    let id = TargetId::from("a");
    assert!(book.announce_leaving(&id, NOW));
    assert!(!book.announce_leaving(&id, NOW), "it is known");
    assert!(book.is_leaving(&id) && !book.is_leaving(&"b".into()));
    assert_eq!(count(&book), 1);
    let mut later = NOW;
    for listing in [listed("a"), Listing::Gone("a".into()), listed("a")] {
        later = later + Millis::new(60_000);
        book.apply(vec![listing], None, later);
        book.expire(None, later);
        assert_eq!(count(&book), 1);
    }
    let unchanged = vec![listed("a"), listed("b")];
    assert!(
        book.difference(unchanged).is_empty(),
        "the entries are unchanged"
    );
    let next = TargetId::new("a".into(), Incarnation::new(2));
    book.apply(vec![listed(next)], None, later);
    assert_eq!(count(&book), 2, "another life is used");
}

#[test]
fn an_announcement_keeps_no_entry_that_has_lapsed() {
    let mut book = book();
    book.store_failed();
    book.store_answered(NOW);
    book.apply(vec![Listing::Gone("a".into())], None, NOW);
    book.announce_leaving(&"a".into(), NOW);
    assert!(book.expire(None, NOW + RELIST_GRACE));
    assert_eq!(book.count(), 1);
}
