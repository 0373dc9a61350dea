//! Beats of daemons in fleets of several sizes.

use thistlesill_core::Millis;
use thistlesill_policy::edge::beats::{BeatGaps, BeatSchedule, DueBeat};

fn ms(ms: u64) -> Millis {
    Millis::new(ms)
}

/// The moments at which each kind is told in some seconds.
fn told(gaps: &BeatGaps, kind: DueBeat, seconds: u64) -> Vec<Millis> {
    let mut schedule = BeatSchedule::new(ms(0));
    let mut told = Vec::new();
    let mut now = ms(0);
    while now < ms(seconds * 1_000) {
        match schedule.next(gaps, true, now) {
            DueBeat::Wait(until) => {
                assert!(until > now, "{until} is not after {now}");
                now = until;
            }
            due if due == kind => told.push(now),
            _ => {}
        }
    }
    told
}

fn longest(told: &[Millis]) -> Millis {
    let gaps = told.windows(2).map(|pair| pair[1] - pair[0]);
    gaps.max().unwrap_or(Millis::ZERO)
}

/// With beats looked at once in the gap to the own data centre, 3.2 s where that has 200
/// daemons, a planner was silent for longer than the 1.2 s after which it counts as lost, and
/// what callers ask for came when it was hardly believed any more.
#[test]
fn a_planner_of_a_large_data_centre_is_heard_as_often_as_that_of_a_small_one() {
    for daemons in [3_u64, 200, 400] {
        let gaps = BeatGaps {
            near: ms(150.max(16 * daemons)),
            all: ms(400),
            planner: ms(3_300),
            asked: ms(1_000),
        };
        assert_eq!(longest(&told(&gaps, DueBeat::All, 30)), ms(400));
        let asked = told(&gaps, DueBeat::Asked, 30);
        assert!(asked.len() >= 29, "{} accounts", asked.len());
    }
}

#[test]
fn each_kind_keeps_its_own_gap() {
    let gaps = BeatGaps {
        near: ms(3_200),
        all: ms(33_000),
        planner: ms(3_300),
        asked: ms(1_000),
    };
    assert_eq!(told(&gaps, DueBeat::All, 100).len(), 4);
    assert!((27..=31).contains(&told(&gaps, DueBeat::Near, 100).len()));
    assert!((26..=30).contains(&told(&gaps, DueBeat::Planner, 100).len()));
}

#[test]
fn all_are_told_as_soon_as_the_list_of_them_is_there() {
    let gaps = BeatGaps {
        near: ms(300),
        all: ms(900),
        planner: ms(300),
        asked: ms(1_000),
    };
    let mut schedule = BeatSchedule::new(ms(0));
    assert_eq!(schedule.next(&gaps, false, ms(0)), DueBeat::Wait(ms(300)));
    assert_eq!(schedule.next(&gaps, true, ms(10)), DueBeat::All);
    assert_eq!(schedule.next(&gaps, true, ms(10)), DueBeat::Wait(ms(310)));
}
