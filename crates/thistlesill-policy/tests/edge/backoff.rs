//! Backoffs that targets request from this daemon.

use quickcheck::quickcheck;
use thistlesill_core::Millis;
use thistlesill_core::edge::TargetId;
use thistlesill_policy::edge::backoff::BackoffTable;

const START: Millis = Millis::new(1_000_000);

fn id() -> TargetId {
    TargetId::from("i-1")
}

#[test]
fn a_backoff_ends_after_the_requested_time() {
    let mut table = BackoffTable::default();
    assert_eq!(table.remaining(&id(), START), Millis::ZERO);
    table.request(&id(), Millis::new(3_000), START);
    let late = START + Millis::new(2_999);
    assert_eq!(table.remaining(&id(), late), Millis::new(1));
    assert_eq!(
        table.remaining(&id(), START + Millis::new(3_000)),
        Millis::ZERO
    );
    table.remove_ended(late);
    assert_eq!(table.remaining(&id(), late), Millis::new(1));
    table.remove_ended(START + Millis::new(3_000));
    assert_eq!(table.remaining(&id(), START), Millis::ZERO);
}

#[test]
fn one_answer_excludes_a_target_for_minutes_at_most() {
    let mut table = BackoffTable::default();
    let remaining = table.request(&id(), Millis::new(u64::MAX), START);
    assert_eq!(remaining, Millis::new(300_000));
}

quickcheck! {
    /// Each answer binds, in whatever order they arrive.
    fn no_answer_shortens_a_backoff(requests: Vec<(u16, u16)>) -> bool {
        let mut table = BackoffTable::default();
        let mut now = START;
        let mut end = START;
        requests.into_iter().all(|(after, time)| {
            now = now + Millis::new(u64::from(after));
            let time = Millis::new(u64::from(time));
            end = end.max(now + time);
            table.request(&id(), time, now) == end - now
        })
    }
}
