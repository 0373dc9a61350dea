//! A daemon's links to the targets of a service.

use quickcheck::quickcheck;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use thistlesill_core::edge::{Target, TargetId};
use thistlesill_core::{HallId, Millis};
use thistlesill_policy::edge::reach::{FailedTarget, FailureKind, LinkState, Reach, ReachChange};

use crate::book::target;

const START: Millis = Millis::new(1_000_000);

fn id(number: u8) -> TargetId {
    TargetId::from(format!("i-{number}").as_str())
}

fn at(ms: u64) -> Millis {
    START + Millis::new(ms)
}

/// Records the failure of a target in the data centre `hall` of a service with `targets` targets
/// that may be asked in the data centres `halls`.
fn fail_in(
    reach: &mut Reach,
    number: u8,
    hall: &str,
    ms: u64,
    targets: usize,
    halls: &[&str],
) -> ReachChange {
    let failed = FailedTarget {
        id: &id(number),
        hall: &HallId::from(hall),
        begun: at(ms),
        kind: FailureKind::Unreached,
    };
    let halls: Vec<HallId> = halls.iter().map(|hall| HallId::from(*hall)).collect();
    reach.note_failure(failed, at(ms), targets, &halls)
}

/// Records the failure of a target among 40 of one data centre that began and ended at one moment.
fn fail(reach: &mut Reach, number: u8, ms: u64) -> ReachChange {
    fail_in(reach, number, "h", ms, 40, &["h"])
}

/// Six targets in each of these data centres.
fn targets_in(halls: &[&str]) -> Vec<Target> {
    let numbered = |(number, hall): (u8, &&str)| Target {
        hall: HallId::from(*hall),
        ..target(id(number))
    };
    let each = halls.iter().flat_map(|hall| std::iter::repeat_n(hall, 6));
    (0..).zip(each).map(numbered).collect()
}

fn answer(reach: &mut Reach, number: u8, ms: u64) -> ReachChange {
    reach.note_answer(&id(number), at(ms), at(ms), 40)
}

#[test]
fn links_are_lost_once_several_targets_fail_and_none_answers() {
    let mut reach = Reach::default();
    assert_eq!(fail(&mut reach, 1, 0), ReachChange::Doubtful);
    assert_eq!(fail(&mut reach, 1, 1), ReachChange::Doubtful);
    assert_eq!(fail(&mut reach, 2, 2), ReachChange::Doubtful);
    assert_eq!(fail(&mut reach, 3, 3), ReachChange::Lost);
    assert!(reach.is_lost());
    assert_eq!(fail(&mut reach, 4, 4), ReachChange::Unchanged);
}

#[test]
fn a_domain_that_is_lost_is_no_loss_of_links_while_another_target_answers() {
    let mut reach = Reach::default();
    for number in 0..8 {
        fail(&mut reach, number, 10 * u64::from(number));
        answer(&mut reach, 20, 10 * u64::from(number) + 5);
    }
    assert!(!reach.is_lost());
}

#[test]
fn an_answer_on_an_older_connection_refutes_no_failure() {
    let mut reach = Reach::default();
    fail(&mut reach, 1, 100);
    fail(&mut reach, 2, 101);
    reach.note_answer(&id(3), at(99), at(102), 40);
    // The target that answered must fail, too.
    assert_eq!(fail(&mut reach, 4, 103), ReachChange::Undecided);
    assert_eq!(fail(&mut reach, 3, 103), ReachChange::Lost);
    // Nor does it show that lost links work again.
    reach.note_answer(&id(5), at(98), at(104), 40);
    reach.note_answer(&id(6), at(98), at(104), 40);
    assert!(reach.is_lost());
}

#[test]
fn links_are_restored_once_two_targets_answer_in_a_row() {
    let mut reach = Reach::default();
    for number in 0..3 {
        fail(&mut reach, number, 0);
    }
    assert_eq!(answer(&mut reach, 1, 300), ReachChange::Unchanged);
    assert_eq!(answer(&mut reach, 1, 310), ReachChange::Unchanged);
    fail(&mut reach, 2, 320);
    assert_eq!(answer(&mut reach, 3, 600), ReachChange::Unchanged);
    let restored = ReachChange::Restored(Millis::new(610));
    assert_eq!(answer(&mut reach, 4, 610), restored);
    assert!(!reach.is_lost());
}

#[test]
fn the_links_to_a_service_of_one_target_are_lost_and_restored_with_it() {
    let mut reach = Reach::default();
    let lost = fail_in(&mut reach, 1, "h", 0, 1, &["h"]);
    assert_eq!(lost, ReachChange::Lost);
    let restored = reach.note_answer(&id(1), at(50), at(50), 1);
    assert_eq!(restored, ReachChange::Restored(Millis::new(50)));
}

/// Data centre `a` is evacuated and `b` is unreachable for two seconds. All requests are tried in `b`,
/// and the targets of `c` are up.
#[test]
fn a_dark_data_centre_beside_an_evacuated_one_is_no_loss_of_links() {
    let mut reach = Reach::default();
    for number in 0..57 {
        let ms = 35 * u64::from(number);
        let change = fail_in(&mut reach, number, "b", ms, 171, &["b", "c"]);
        assert_ne!(change, ReachChange::Lost, "failure {number}");
        if change == ReachChange::Undecided {
            answer(&mut reach, 100 + number, ms + 20);
        }
    }
    assert!(!reach.is_lost());
}

/// Requests are tried only in the data centre of the daemon, which is why only the checks can show
/// that the links to the other ones are lost, too.
#[test]
fn one_round_of_checks_shows_a_loss_of_all_links_that_requests_met_in_one_data_centre() {
    let halls = ["a", "b", "c", "d", "e"];
    let targets = targets_in(&halls);
    let rng = &mut SmallRng::seed_from_u64(7);
    for _ in 0..50 {
        let mut reach = Reach::default();
        fail_in(&mut reach, 0, "a", 0, 30, &halls);
        fail_in(&mut reach, 1, "a", 1, 30, &halls);
        let change = fail_in(&mut reach, 2, "a", 2, 30, &halls);
        assert_eq!(change, ReachChange::Undecided);
        let checks = reach.draw_checks(&targets, rng);
        let last = checks.into_iter().map(|target| {
            let failed = FailedTarget {
                id: &target.id,
                hall: &target.hall,
                begun: at(3),
                kind: FailureKind::Unreached,
            };
            reach.note_failure(failed, at(203), 30, targets.iter().map(|t| &t.hall))
        });
        assert_eq!(last.last(), Some(ReachChange::Lost));
    }
}

#[test]
fn checks_ask_three_targets_that_have_not_failed_if_there_are_any() {
    let targets = targets_in(&["h"]);
    let rng = &mut SmallRng::seed_from_u64(7);
    for _ in 0..50 {
        let mut reach = Reach::default();
        for number in 0..4 {
            fail_in(&mut reach, number, "h", 0, 6, &["h"]);
        }
        let drawn = reach.draw_checks(&targets, rng);
        let others = drawn.iter().filter(|t| t.id == id(4) || t.id == id(5));
        assert_eq!((drawn.len(), others.count()), (3, 2));
    }
}

#[test]
fn links_are_lost_without_checks_where_targets_fail_in_all_data_centres_or_none_may_be_asked() {
    let mut reach = Reach::default();
    fail_in(&mut reach, 1, "a", 0, 40, &["a", "b"]);
    fail_in(&mut reach, 2, "b", 1, 40, &["a", "b"]);
    let change = fail_in(&mut reach, 3, "a", 2, 40, &["a", "b"]);
    assert_eq!(change, ReachChange::Lost);
    let mut reach = Reach::default();
    let changes = (0..3).map(|number| fail_in(&mut reach, number, "a", 0, 40, &[]));
    assert_eq!(changes.last(), Some(ReachChange::Lost));
}

/// Answers on connections that were opened before a failure do not refute it, also in another data
/// centre.
#[test]
fn a_late_answer_of_another_data_centre_does_not_hide_a_loss() {
    let mut reach = Reach::default();
    for number in 0..3 {
        fail_in(&mut reach, number, "b", 100, 40, &["b", "c"]);
    }
    reach.note_answer(&id(20), at(99), at(110), 40);
    let change = fail_in(&mut reach, 21, "c", 120, 40, &["b", "c"]);
    assert_eq!(change, ReachChange::Undecided);
    let change = fail_in(&mut reach, 20, "c", 121, 40, &["b", "c"]);
    assert_eq!(change, ReachChange::Lost);
}

#[test]
fn the_silence_of_a_target_says_nothing_until_another_one_answers() {
    let mut reach = Reach::default();
    assert!(!reach.has_answered_since(START));
    answer(&mut reach, 1, 10);
    reach.note_answer(&id(2), at(5), at(20), 40);
    assert!(reach.has_answered_since(at(10)));
    assert!(!reach.has_answered_since(at(11)));
}

#[test]
fn exchanges_that_break_off_raise_doubts_until_a_target_answers() {
    let mut reach = Reach::default();
    assert_eq!(reach.note_doubt(at(10)), ReachChange::Doubtful);
    assert_eq!(reach.note_doubt(at(11)), ReachChange::Doubtful);
    assert_eq!(reach.doubted_since(), Some(at(11)));
    answer(&mut reach, 1, 11);
    assert_eq!(reach.doubted_since(), None);
    // An exchange that began before the answer raises none.
    assert_eq!(reach.note_doubt(at(9)), ReachChange::Unchanged);
    for ms in 12..40 {
        reach.note_doubt(at(ms));
    }
    assert!(!reach.is_lost());
}

#[test]
fn failures_that_lie_far_apart_are_no_loss_of_links() {
    let mut reach = Reach::default();
    for number in 0..10 {
        fail(&mut reach, number, u64::from(number) * 2_100);
    }
    assert!(!reach.is_lost());
}

quickcheck! {
    /// While one target in two answers, links are never lost for long: the next two answers of
    /// different targets without a failure between them restore them.
    fn two_answers_restore_links(failures: Vec<u8>) -> bool {
        let mut reach = Reach::default();
        for (ms, number) in (0_u64..).zip(&failures) {
            fail(&mut reach, *number, ms);
        }
        let end = failures.len() as u64;
        answer(&mut reach, 254, end);
        answer(&mut reach, 255, end + 1);
        !reach.is_lost()
    }
}

/// Fails three targets of 40, all in the way that `kind` says but the last, which fails as `last`.
fn lose(kind: FailureKind, last: FailureKind) -> Reach {
    let mut reach = Reach::default();
    let kinds = [kind, kind, last];
    for (number, kind) in (0..).zip(kinds) {
        let failed = FailedTarget {
            id: &id(number),
            hall: &HallId::from("h"),
            begun: at(0),
            kind,
        };
        reach.note_failure(failed, at(200), 40, &[HallId::from("h")]);
    }
    reach
}

#[test]
fn targets_that_accept_connections_and_do_not_answer_are_silent_for_a_while() {
    let reach = lose(FailureKind::Silent, FailureKind::Silent);
    assert!(reach.is_lost());
    assert_eq!(reach.state(at(200)), LinkState::Silent);
    assert_eq!(reach.state(at(1_699)), LinkState::Silent);
    assert_eq!(reach.state(at(1_700)), LinkState::Down);
}

/// Half of the targets stood still, and the checks met only these.
#[test]
fn links_are_not_lost_while_targets_make_progress() {
    let fail_all = |reach: &mut Reach, kind, ms| {
        for number in 0..5 {
            let failed = FailedTarget {
                id: &id(number),
                hall: &HallId::from("h"),
                begun: at(ms),
                kind,
            };
            reach.note_failure(failed, at(ms), 40, [&HallId::from("h")]);
        }
    };
    let mut reach = Reach::default();
    reach.note_progress(at(100));
    fail_all(&mut reach, FailureKind::Silent, 200);
    assert!(!reach.is_lost());
    // Established connections may live on while new ones are refused.
    let mut cut = reach.clone();
    fail_all(&mut cut, FailureKind::Unreached, 210);
    assert!(cut.is_lost());
    fail_all(&mut reach, FailureKind::Silent, 300);
    assert!(reach.is_lost());
}

#[test]
fn links_are_down_if_most_targets_accept_no_connection() {
    for last in [FailureKind::Silent, FailureKind::Unreached] {
        let reach = lose(FailureKind::Unreached, last);
        assert_eq!(reach.state(at(200)), LinkState::Down);
    }
    assert_eq!(Reach::default().state(at(200)), LinkState::Up);
}

/// A target crashed under a request, and the others stand still.
#[test]
fn links_are_down_because_one_of_the_targets_that_stand_still_has_crashed() {
    let reach = lose(FailureKind::Silent, FailureKind::Unreached);
    assert_eq!(reach.state(at(200)), LinkState::Silent);
    assert_eq!(reach.state(at(1_699)), LinkState::Silent);
    assert_eq!(reach.state(at(1_700)), LinkState::Down);
}

/// The first target goes on after a standstill, and one that crashed meanwhile accepts no connection.
#[test]
fn links_are_down_after_the_first_answer() {
    let mut reach = lose(FailureKind::Silent, FailureKind::Unreached);
    answer(&mut reach, 20, 900);
    assert!(reach.is_lost());
    assert_eq!(reach.state(at(901)), LinkState::Silent);
    let crashed = FailedTarget {
        id: &id(1),
        hall: &HallId::from("h"),
        begun: at(899),
        kind: FailureKind::Unreached,
    };
    reach.note_failure(crashed, at(902), 40, [&HallId::from("h")]);
    assert_eq!(reach.state(at(903)), LinkState::Silent);
}

#[test]
fn a_target_is_silent_alone_only_since_the_others_go_on() {
    let mut reach = Reach::default();
    assert_eq!(reach.silent_since(at(0)), at(0));
    for ms in (0..1_000).step_by(100) {
        reach.note_progress(at(ms));
    }
    // The others have gone on all the time.
    assert_eq!(reach.silent_since(at(500)), at(500));
    assert!(reach.is_progressing(at(1_049)));
    assert!(!reach.is_progressing(at(1_050)));
    // All stood still from 900 ms on.
    reach.note_progress(at(2_000));
    assert_eq!(reach.silent_since(at(900)), at(2_000));
}

#[test]
fn a_target_is_silent_alone_only_since_links_are_restored() {
    let mut reach = lose(FailureKind::Silent, FailureKind::Silent);
    answer(&mut reach, 4, 700);
    assert_eq!(
        answer(&mut reach, 5, 700),
        ReachChange::Restored(Millis::new(500))
    );
    assert_eq!(reach.silent_since(at(0)), at(700));
}

/// Sixteen targets that ended have left their entries beside two that serve on kept connections.
#[test]
fn links_are_not_lost_while_targets_that_were_active_last_answer() {
    let mut reach = Reach::default();
    let targets = targets_in(&["h", "h", "h"]);
    let rng = &mut SmallRng::seed_from_u64(7);
    for ms in 0..200 {
        reach.note_active(&id(0));
        reach.note_active(&id(1));
        let dead = 2 + (ms % 16) as u8;
        if fail(&mut reach, dead, 10 * ms) == ReachChange::Undecided {
            let checks = reach.draw_checks(&targets, rng);
            let asked = |number| checks.iter().any(|target| target.id == id(number));
            assert!(asked(0) && asked(1), "the two are asked");
            answer(&mut reach, 0, 10 * ms + 1);
        }
        assert!(!reach.is_lost(), "after {ms} failures");
    }
}

/// Most of the targets that were active last ended as well; one of them is up.
#[test]
fn links_are_lost_only_once_all_targets_that_were_active_last_have_failed() {
    let mut reach = Reach::default();
    for number in 0..8 {
        reach.note_active(&id(number));
    }
    for number in (1..8).chain(20..30) {
        assert_ne!(fail(&mut reach, number, 0), ReachChange::Lost);
    }
    assert_eq!(fail(&mut reach, 0, 1), ReachChange::Lost);
}

#[test]
fn targets_that_were_active_long_ago_or_cannot_be_asked_do_not_hide_a_loss() {
    let mut reach = Reach::default();
    for number in 0..10 {
        reach.note_active(&id(number));
    }
    // Only the last eight count, and one of them has left.
    reach.retain_recent(|known| *known != id(9));
    for number in 2..8 {
        fail(&mut reach, number, 0);
    }
    assert_eq!(fail(&mut reach, 8, 0), ReachChange::Lost);
}

/// Checks that began together end in any order.
#[test]
fn a_dead_target_that_is_checked_beside_two_that_answer_does_not_keep_links_lost() {
    let mut reach = Reach::default();
    for number in 0..3 {
        fail(&mut reach, number, 0);
    }
    answer(&mut reach, 10, 250);
    fail(&mut reach, 3, 250);
    let restored = ReachChange::Restored(Millis::new(250));
    assert_eq!(answer(&mut reach, 11, 250), restored);
}

/// The targets that were active last stood still longer than the others. Only they were asked, and links
/// that worked stayed lost.
#[test]
fn checks_of_lost_links_ask_others_than_those_that_were_active_last() {
    let mut reach = Reach::default();
    for number in 0..8 {
        reach.note_active(&id(number));
    }
    for number in 0..8 {
        fail(&mut reach, number, 0);
    }
    assert!(reach.is_lost());
    let targets = targets_in(&["h", "h", "h"]);
    let rng = &mut SmallRng::seed_from_u64(7);
    let drawn = reach.draw_checks(&targets, rng);
    let is_recent = |target: &&&Target| (0..8).any(|number| target.id == id(number));
    assert_eq!(drawn.iter().filter(is_recent).count(), 8);
    assert_eq!(drawn.len(), 8 + 3);
}
