//! Tests of a daemon's list of evacuated data centres.

use thistlesill_core::HallId;
use thistlesill_core::edge::Evacuations;
use thistlesill_policy::edge::evacuation::{EvacuationChange, EvacuationTable, HallEntry};

fn list(version: u64, halls: &[&str]) -> Evacuations {
    Evacuations {
        version,
        halls: halls.iter().map(|hall| HallId::from(*hall)).collect(),
    }
}

fn listed(hall: &str, evacuated: bool) -> HallEntry {
    HallEntry {
        hall: hall.into(),
        evacuated,
    }
}

#[test]
fn a_list_of_an_older_version_changes_nothing() {
    let mut table = EvacuationTable::default();
    assert_eq!(
        table.replace(list(7, &["a"])),
        vec![EvacuationChange::Begun("a".into())]
    );
    assert!(table.replace(list(6, &[])).is_empty());
    assert_eq!(table.known(), &list(7, &["a"]));
    assert_eq!(
        table.replace(list(8, &["b"])),
        vec![
            EvacuationChange::Begun("b".into()),
            EvacuationChange::Ended("a".into())
        ]
    );
}

#[test]
fn changes_that_a_peer_told_before_the_store_did_are_not_undone() {
    let mut table = EvacuationTable::default();
    table.replace(list(3, &["a"]));
    // A peer sends a later version while this daemon's query is pending at the store.
    table.replace(list(9, &[]));
    assert!(table.apply(&[listed("a", true)], 5).is_empty());
    assert_eq!(table.known(), &list(9, &[]));
}

#[test]
fn of_changes_that_come_together_the_last_one_holds() {
    let mut table = EvacuationTable::default();
    let changes = [listed("a", true), listed("a", false), listed("b", true)];
    assert_eq!(
        table.apply(&changes, 4),
        vec![EvacuationChange::Begun("b".into())]
    );
    assert_eq!(EvacuationTable::snapshot(&changes[2..], 4), list(4, &["b"]));
}
