//! Tests of where daemons get their initial state when all of them start at the same time.

use std::collections::HashMap;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use thistlesill_core::Millis;
use thistlesill_policy::edge::start::{Source, retry_after, source};

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

/// Returns the retry times of 1,000 callers that a daemon refuses `elapsed` ms after its start.
fn retry_times(rank: Option<usize>, elapsed: u64) -> Vec<u64> {
    let rng = &mut SmallRng::seed_from_u64(3);
    let mut times: Vec<u64> = (0..1_000)
        .map(|_| retry_after(rank, Millis::new(elapsed), rng).get())
        .collect();
    times.sort_unstable();
    times
}

/// After a loss of power, each daemon refuses hundreds of callers within a tenth of a second.
#[test]
fn callers_that_a_starting_daemon_refused_come_back_all_at_once() {
    for rank in [None, Some(0), Some(50)] {
        let times = retry_times(rank, 100);
        assert!(times[999] - times[0] <= 1_000, "{rank:?}");
        let most = times.windows(200).map(|few| few[199] - few[0]).min();
        assert!(most >= Some(100), "200 of 1,000 within {most:?} ms");
    }
}

/// The state arrives at the reader after 1 s, and one level lower after another half.
#[test]
fn callers_come_back_before_the_daemon_can_have_its_state() {
    for (rank, usual) in [(0, 1_000), (1, 1_000), (2, 1_500), (9, 1_500), (10, 2_000)] {
        for elapsed in [0, 90, 400] {
            let earliest = retry_times(Some(rank), elapsed)[0];
            assert!(elapsed + earliest >= usual, "{rank}: {earliest} ms");
            assert!(elapsed + earliest <= usual + 100, "{rank}: {earliest} ms");
        }
    }
}

#[test]
fn callers_of_a_start_that_is_late_come_back_every_few_milliseconds_or_never() {
    assert!(retry_times(Some(0), 999)[0] >= 300);
    assert!(retry_times(Some(0), 4_000)[0] >= 2_000);
    assert!(retry_times(Some(0), 600_000)[999] <= 6_000);
}
