//! Tests of the log of changes that readers of the store keep for their followers.

use thistlesill_core::Millis;
use thistlesill_policy::edge::book::Listing;
use thistlesill_policy::edge::feed::{Batch, Change, Feed};

use crate::book::target;

fn gone(version: u64) -> Change {
    Change {
        version,
        entry: Listing::Gone(format!("t-{version}").into()),
    }
}

fn listed(number: u64) -> Listing {
    Listing::Listed(Box::new(target(format!("t-{number}"))))
}

#[test]
fn an_empty_store_that_was_read_is_known() {
    let mut feed = Feed::default();
    assert!(!feed.is_known());
    feed.restart(0);
    assert!(feed.is_known());
    feed.extend(&[gone(3)], 3);
    assert_eq!(feed.after(0), Some(vec![gone(3)]));
}

#[test]
fn changes_are_told_from_any_version_that_is_kept() {
    let mut feed = Feed::default();
    feed.restart(10);
    feed.extend(&[gone(11), gone(12)], 12);
    assert_eq!(feed.after(9), None);
    assert_eq!(feed.after(11), Some(vec![gone(12)]));
    assert_eq!(feed.after(12), Some(Vec::new()));
}

#[test]
fn old_changes_are_dropped_and_no_longer_told() {
    let mut feed = Feed::default();
    feed.restart(0);
    for version in 1..=5_000 {
        feed.extend(&[gone(version)], version);
    }
    assert_eq!(feed.version(), 5_000);
    assert_eq!(feed.after(1), None);
    let kept = feed.after(feed.floor()).map_or(0, |changes| changes.len());
    assert!(kept > 100, "{kept}");
}

/// While groups are first formed, thousands of targets change several times within seconds.
#[test]
fn of_each_target_the_newest_change_is_kept_however_many_there_are() {
    let mut feed = Feed::default();
    feed.restart(0);
    for version in 1..=40_000 {
        let change = Change {
            version,
            entry: listed(version % 4_000),
        };
        feed.extend(&[change], version);
    }
    let missed = feed.after(0).expect("all are kept");
    assert_eq!(missed.len(), 4_000);
    assert!(missed.iter().all(|c| c.version > 36_000));
    assert_eq!(feed.after(39_990).map(|c| c.len()), Some(10));
    assert_eq!(feed.newest(), 40_000);
    // A removal is kept as the newest change as well.
    feed.extend(&[gone(40_001)], 40_001);
    assert_eq!(feed.after(40_000), Some(vec![gone(40_001)]));
}

#[test]
fn what_a_peer_told_is_not_undone_by_an_older_answer() {
    let mut feed = Feed::default();
    feed.restart(10);
    feed.extend(&[gone(12)], 12);
    assert_eq!(feed.unknown(vec![gone(11), gone(12), gone(13)]), [gone(13)]);
    assert!(feed.is_ahead_of(11));
    assert!(!feed.is_ahead_of(12));
}

#[test]
fn who_knows_the_newest_change_lacks_none() {
    let mut feed = Feed::default();
    feed.restart(10);
    assert_eq!(feed.newest(), 10);
    feed.extend(&[gone(12)], 12);
    // Changes of other tables raise the store's version, too.
    feed.extend(&[], 20);
    assert_eq!(feed.newest(), 12);
    assert_eq!(feed.version(), 20);
}

fn batch(before: u64, after: u64) -> Batch {
    Batch {
        before,
        after,
        changes: (before + 1..=after).map(gone).collect(),
        store_uptime: None,
    }
}

/// Batches are forwarded from daemon to daemon, and a later one may overtake an earlier one; if
/// they were dropped, each would have to be requested again.
#[test]
fn a_batch_that_overtakes_waits_for_those_before_it() {
    let mut feed = Feed::default();
    feed.restart(10);
    assert_eq!(feed.accept(batch(12, 14)), None);
    assert_eq!(feed.accept(batch(14, 15)), None);
    assert_eq!(feed.accept(batch(14, 15)), None, "each arrives twice");
    assert_eq!(feed.newest_held(), Some(15));
    assert_eq!(feed.next_held(), None);
    assert_eq!(feed.accept(batch(10, 12)), Some(batch(10, 12)));
    feed.extend(&batch(10, 12).changes, 12);
    assert_eq!(feed.next_held(), Some(batch(12, 14)));
    feed.extend(&batch(12, 14).changes, 14);
    assert_eq!(feed.next_held(), Some(batch(14, 15)));
    feed.extend(&batch(14, 15).changes, 15);
    assert_eq!((feed.next_held(), feed.newest_held()), (None, None));
    assert_eq!(feed.accept(batch(12, 14)), None, "it is known");
}

#[test]
fn batches_that_wait_are_bounded() {
    let mut feed = Feed::default();
    feed.restart(0);
    for version in 10..1_000 {
        assert_eq!(feed.accept(batch(version, version + 1)), None);
    }
    feed.restart(9);
    let mut applied = 0;
    feed.extend(&[gone(10)], 10);
    while let Some(next) = feed.next_held() {
        feed.extend(&next.changes, next.after);
        applied += 1;
    }
    assert!((1..100).contains(&applied), "{applied}");
}

fn ms(ms: u64) -> Millis {
    Millis::new(ms)
}

/// Before the first requests, targets change five times in the time that a change takes to arrive.
#[test]
fn who_is_always_a_little_behind_knows_how_old_its_knowledge_is() {
    let mut feed = Feed::default();
    feed.restart(0);
    let mut age = 0;
    for now in 1..200 {
        // The reader is five changes ahead of those that have arrived here.
        let proved = feed.claim(now + 5, ms(now));
        assert_eq!(proved, None);
        feed.extend(&[gone(now)], now);
        let reached = feed.resolve_claims();
        age = reached.map_or(age + 1, |at| now - at.get());
        assert!(age <= 5 || now < 10, "{age} at {now}");
    }
    assert_eq!(feed.claim(199, ms(500)), Some(ms(500)));
}

#[test]
fn a_claim_whose_changes_are_missing_proves_nothing() {
    let mut feed = Feed::default();
    assert_eq!(feed.claim(0, ms(10)), None, "nothing is known yet");
    feed.restart(10);
    for version in 11..40 {
        assert_eq!(feed.claim(version, ms(version)), None);
    }
    assert_eq!(feed.resolve_claims(), None);
    feed.extend(&[gone(25)], 25);
    assert_eq!(feed.resolve_claims(), Some(ms(25)));
    assert_eq!(feed.resolve_claims(), None, "each claim is resolved once");
}
