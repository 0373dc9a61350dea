//! Tests of rendezvous hashing.

use thistlesill_core::rendezvous::first_item;

/// Guards against callers that are sent to another data centre's owner when they return, where their
/// booking is not known, because some target has come or gone meanwhile.
#[test]
fn a_key_keeps_its_item_while_others_come_and_go() {
    let all: Vec<String> = (0..20).map(|i| format!("i-{i}")).collect();
    let first = |items: &[String], key: &str| {
        let found = first_item(items.iter(), String::as_str, key);
        found.expect("there are items").clone()
    };
    let mut chosen = std::collections::BTreeSet::new();
    for key in 0..200 {
        let key = key.to_string();
        let item = first(&all, &key);
        let kept: Vec<String> = all.iter().rev().filter(|i| **i != "i-7").cloned().collect();
        if item != "i-7" {
            assert_eq!(first(&kept, &key), item);
        }
        chosen.insert(item);
    }
    assert_eq!(chosen.len(), 20, "every item has its part of the keys");
}
