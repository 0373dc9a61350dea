//! Who asks whom when all daemons start at the same moment.

use std::collections::HashMap;

use thistlesill_policy::edge::start::{Source, source};

/// Daemons of the largest data centre of today's largest fleet.
const DAEMONS: usize = 100;
/// The list of 3,000 targets, in milliseconds on the line of a small machine.
const HAND_OUT: usize = 150;

fn above(rank: usize) -> Option<Vec<usize>> {
    match source(rank) {
        Source::Store => None,
        Source::Peers(ranks) => Some(ranks),
    }
}

#[test]
fn two_daemons_of_a_data_centre_read_the_store() {
    let readers = (0..DAEMONS).filter(|rank| above(*rank).is_none());
    assert_eq!(readers.collect::<Vec<_>>(), [0, 1]);
}

#[test]
fn each_asks_only_daemons_above_it_and_all_roots_at_last() {
    for rank in 2..DAEMONS {
        let above = above(rank).expect("it asks peers");
        assert!(above.iter().all(|r| *r < rank), "{rank}: {above:?}");
        assert!(
            above.contains(&0) && above.contains(&1),
            "{rank}: {above:?}"
        );
        let mut once = above.clone();
        once.sort_unstable();
        once.dedup();
        assert_eq!(once.len(), above.len(), "{rank}: {above:?}");
    }
}

/// Each daemon hands out to those below it one after the other, as its line bears.
#[test]
fn the_last_of_a_large_data_centre_knows_all_within_two_seconds() {
    let mut known = vec![0; DAEMONS];
    let mut served: HashMap<usize, usize> = HashMap::new();
    for rank in 0..DAEMONS {
        let Some(above) = above(rank) else {
            continue;
        };
        let before = served.entry(above[0]).or_default();
        *before += 1;
        known[rank] = known[above[0]] + *before * HAND_OUT;
    }
    let most = served.values().max().copied().unwrap_or_default();
    assert!(most <= 4, "one hands out {most} times");
    let last = known.iter().max().copied().unwrap_or_default();
    assert!(last <= 2_000, "{last} ms");
}
