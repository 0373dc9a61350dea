//! Tests of where daemons get their initial state when all of them start at the same time.

use std::collections::HashMap;

use thistlesill_policy::edge::start::{Source, source};

/// Number of daemons in the largest data centre of today's largest fleet.
const DAEMONS: usize = 100;
/// Time to send the list of 3,000 targets on the connection of a small machine, in milliseconds.
const SEND_MS: usize = 150;

fn ancestors(rank: usize) -> Option<Vec<usize>> {
    match source(rank) {
        Source::Store => None,
        Source::Peers(ranks) => Some(ranks),
    }
}

#[test]
fn two_daemons_of_a_data_centre_read_the_store() {
    let readers = (0..DAEMONS).filter(|rank| ancestors(*rank).is_none());
    assert_eq!(readers.collect::<Vec<_>>(), [0, 1]);
}

#[test]
fn each_asks_only_daemons_above_it_and_all_roots_at_last() {
    for rank in 2..DAEMONS {
        let ancestors = ancestors(rank).expect("it asks peers");
        assert!(ancestors.iter().all(|r| *r < rank), "{rank}: {ancestors:?}");
        assert!(
            ancestors.contains(&0) && ancestors.contains(&1),
            "{rank}: {ancestors:?}"
        );
        let mut once = ancestors.clone();
        once.sort_unstable();
        once.dedup();
        assert_eq!(once.len(), ancestors.len(), "{rank}: {ancestors:?}");
    }
}

/// Each daemon sends the list to its children one after the other, at the bandwidth of its
/// connection.
#[test]
fn the_last_of_a_large_data_centre_knows_all_within_two_seconds() {
    let mut known = vec![0; DAEMONS];
    let mut served: HashMap<usize, usize> = HashMap::new();
    for rank in 0..DAEMONS {
        let Some(ancestors) = ancestors(rank) else {
            continue;
        };
        let before = served.entry(ancestors[0]).or_default();
        *before += 1;
        known[rank] = known[ancestors[0]] + *before * SEND_MS;
    }
    let most = served.values().max().copied().unwrap_or_default();
    assert!(most <= 4, "one sends the list {most} times");
    let last = known.iter().max().copied().unwrap_or_default();
    assert!(last <= 2_000, "{last} ms");
}
