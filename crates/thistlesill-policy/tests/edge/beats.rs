//! Tests of the heartbeat schedule in fleets of several sizes.

use thistlesill_core::Millis;
use thistlesill_policy::edge::beats::{DueHeartbeat, HeartbeatIntervals, HeartbeatSchedule};

fn ms(ms: u64) -> Millis {
    Millis::new(ms)
}

/// The times at which messages of one kind are sent during some seconds.
fn sent(intervals: &HeartbeatIntervals, kind: DueHeartbeat, seconds: u64) -> Vec<Millis> {
    let mut schedule = HeartbeatSchedule::new(ms(0));
    let mut sent = Vec::new();
    let mut now = ms(0);
    while now < ms(seconds * 1_000) {
        match schedule.next(intervals, true, now) {
            DueHeartbeat::Wait(until) => {
                assert!(until > now, "{until} is not after {now}");
                now = until;
            }
            due if due == kind => sent.push(now),
            _ => {}
        }
    }
    sent
}

fn longest(sent: &[Millis]) -> Millis {
    let intervals = sent.windows(2).map(|pair| pair[1] - pair[0]);
    intervals.max().unwrap_or(Millis::ZERO)
}

/// When all intervals were checked only as often as heartbeats to the own data centre are due,
/// 3.2 s where that has 200 daemons, a planner was silent for longer than the 1.2 s after which it
/// counts as lost, and reports of the demand arrived when the previous ones had almost expired.
#[test]
fn a_planner_of_a_large_data_centre_is_heard_as_often_as_that_of_a_small_one() {
    for daemons in [3_u64, 200, 400] {
        let intervals = HeartbeatIntervals {
            near: ms(150.max(16 * daemons)),
            all: ms(400),
            planner: ms(3_300),
            demand: ms(1_000),
        };
        assert_eq!(longest(&sent(&intervals, DueHeartbeat::All, 30)), ms(400));
        let demand = sent(&intervals, DueHeartbeat::Demand, 30);
        assert!(demand.len() >= 29, "{} reports", demand.len());
    }
}

#[test]
fn each_kind_keeps_its_own_gap() {
    let intervals = HeartbeatIntervals {
        near: ms(3_200),
        all: ms(33_000),
        planner: ms(3_300),
        demand: ms(1_000),
    };
    assert_eq!(sent(&intervals, DueHeartbeat::All, 100).len(), 4);
    assert!((27..=31).contains(&sent(&intervals, DueHeartbeat::Near, 100).len()));
    assert!((26..=30).contains(&sent(&intervals, DueHeartbeat::Planner, 100).len()));
}

#[test]
fn all_are_told_as_soon_as_the_list_of_them_is_there() {
    let intervals = HeartbeatIntervals {
        near: ms(300),
        all: ms(900),
        planner: ms(300),
        demand: ms(1_000),
    };
    let mut schedule = HeartbeatSchedule::new(ms(0));
    assert_eq!(
        schedule.next(&intervals, false, ms(0)),
        DueHeartbeat::Wait(ms(300))
    );
    assert_eq!(schedule.next(&intervals, true, ms(10)), DueHeartbeat::All);
    assert_eq!(
        schedule.next(&intervals, true, ms(10)),
        DueHeartbeat::Wait(ms(310))
    );
}
