//! A daemon's links to the targets of a service.

use quickcheck::quickcheck;
use thistlesill_core::Millis;
use thistlesill_core::edge::TargetId;
use thistlesill_policy::edge::reach::{Reach, ReachChange};

const START: Millis = Millis::new(1_000_000);

fn id(number: u8) -> TargetId {
    TargetId::from(format!("i-{number}").as_str())
}

fn at(ms: u64) -> Millis {
    START + Millis::new(ms)
}

/// Records the failure of a target among 40 that began and ended at one moment.
fn fail(reach: &mut Reach, number: u8, ms: u64) -> ReachChange {
    reach.note_failure(&id(number), at(ms), at(ms), 40)
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
    assert_eq!(fail(&mut reach, 4, 103), ReachChange::Lost);
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
    let lost = reach.note_failure(&id(1), START, START, 1);
    assert_eq!(lost, ReachChange::Lost);
    let restored = reach.note_answer(&id(1), at(50), at(50), 1);
    assert_eq!(restored, ReachChange::Restored(Millis::new(50)));
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
