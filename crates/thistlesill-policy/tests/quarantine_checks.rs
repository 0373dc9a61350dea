//! Tests that losses of targets that did not crash are refuted by the targets' own reports.

use quickcheck::quickcheck;
use thistlesill_core::edge::{Incarnation, TargetId};
use thistlesill_core::{Fingerprint, Millis};
use thistlesill_policy::quarantine::{
    AnswerPhase, CheckAnswer, LossCheck, Quarantine, QuarantineStatus, Refutation, RequestKeys,
};

type Known = Quarantine<TargetId>;

fn at(ms: u64) -> Millis {
    Millis::new(1_000_000 + ms)
}

fn print(name: &str) -> Fingerprint {
    Fingerprint::of(&[name.as_bytes()])
}

/// A target in its first or a later incarnation.
fn target(number: u32, incarnation: u64) -> TargetId {
    TargetId::new(
        format!("t{number}").as_str().into(),
        Incarnation::new(incarnation),
    )
}

/// The answer of a target to a check that began at `ms`.
fn answer(number: u32, ms: u64) -> LossCheck<TargetId> {
    LossCheck {
        lost: target(number, 1),
        begun: at(ms),
        answer: CheckAnswer::Named(target(number, 1)),
    }
}

/// A check that began at `ms` and got no answer.
fn silence(number: u32, ms: u64) -> LossCheck<TargetId> {
    LossCheck {
        answer: CheckAnswer::Nothing,
        ..answer(number, ms)
    }
}

/// Loses targets under `request`, a tenth of a second apart, the last one at 200 ms.
fn three_lost() -> Known {
    let mut known = Known::default();
    for number in 0..3 {
        let now = at(100 * u64::from(number));
        known.note_lost(print("request"), &target(number, 1), now);
    }
    known
}

fn is_withheld(known: &Known, ms: u64) -> bool {
    let status = known.status(print("request"), at(ms));
    matches!(status, QuarantineStatus::Withheld(_))
}

#[test]
fn a_sound_request_that_met_three_resets_stays_withheld_after_the_engines_have_answered() {
    let mut known = three_lost();
    let due = known.losses_to_check(print("request"), at(200));
    let due: Vec<u64> = due
        .iter()
        .map(|(_, since)| (*since - at(0)).get())
        .collect();
    assert_eq!(due, [100, 200, 300]);
    let checks = [answer(0, 300), answer(1, 300), answer(2, 300)];
    let refuted = known.refute(print("request"), &checks, at(310));
    let refuted = refuted.expect("all three answered");
    assert!(refuted.withdrawn.is_some_and(|v| v.level == 0));
    let status = known.status(print("request"), at(310));
    assert_eq!(status, QuarantineStatus::Free);
    // The losses are gone, so that two more do not withhold it again.
    for number in 3..5 {
        let verdict = known.note_lost(print("request"), &target(number, 1), at(400));
        assert_eq!(verdict, None);
    }
}

#[test]
fn a_part_that_met_three_resets_stays_withheld_after_the_engines_have_answered() {
    let mut known = Known::default();
    for number in 0..3 {
        let keys = RequestKeys {
            whole: print(&format!("whole {number}")),
            parts: vec![print("part")],
        };
        let now = at(100 * u64::from(number));
        let phase = AnswerPhase::Starting(now - Millis::new(50));
        known.note_request_lost(&keys, &[], &target(number, 1), phase, now);
    }
    let part = print("part");
    assert!(matches!(
        known.status(part, at(200)),
        QuarantineStatus::Withheld(_)
    ));
    assert!(known.refute(part, &[answer(1, 300)], at(310)).is_some());
    assert_eq!(known.status(part, at(310)), QuarantineStatus::Free);
}

/// One of three losses was a reset. The request is free after the check, and must not have to crash
/// three more targets.
#[test]
fn a_withdrawn_verdict_forgets_the_crashes_that_were_not_refuted() {
    let mut known = three_lost();
    let mut peer = known.clone();
    let checks = [silence(0, 300), answer(1, 300), silence(2, 300)];
    let refuted = known.refute(print("request"), &checks, at(500));
    peer.receive_refutation(&refuted.expect("one answered"), at(501));
    for known in [&mut known, &mut peer] {
        let status = known.status(print("request"), at(510));
        assert_eq!(status, QuarantineStatus::Free);
        let verdict = known.note_lost(print("request"), &target(7, 1), at(600));
        assert!(verdict.is_some_and(|v| v.level == 1));
    }
}

#[test]
fn a_fatal_request_runs_while_its_targets_are_checked_or_after_that() {
    let mut known = three_lost();
    for ms in 200..500 {
        assert!(is_withheld(&known, ms), "after {ms} ms");
    }
    let checks = [silence(0, 300), silence(1, 300), silence(2, 300)];
    let refuted = known.refute(print("request"), &checks, at(500));
    assert_eq!(refuted, None);
    assert!(is_withheld(&known, 500));
    let again = known.losses_to_check(print("request"), at(500));
    assert_eq!(again, [], "each target is asked once");
}

#[test]
fn a_target_that_started_again_under_its_id_refutes_its_crash() {
    let mut known = three_lost();
    let checks = (0..3).map(|number| LossCheck {
        answer: CheckAnswer::Named(target(number, 2)),
        ..answer(number, 300)
    });
    let checks: Vec<_> = checks.collect();
    assert_eq!(known.refute(print("request"), &checks, at(310)), None);
    assert!(is_withheld(&known, 310));
}

/// An engine may still answer while it crashes.
#[test]
fn a_check_that_began_too_early_refutes_a_crash() {
    let mut known = three_lost();
    let early = [answer(0, 99), answer(1, 199), answer(2, 299)];
    assert_eq!(known.refute(print("request"), &early, at(310)), None);
    let due = known.losses_to_check(print("request"), at(310));
    assert_eq!(due.len(), 3, "they are asked again");
    // The target was lost once more after the check began.
    known.note_lost(print("request"), &target(1, 1), at(320));
    let checks = [answer(1, 300)];
    assert_eq!(known.refute(print("request"), &checks, at(330)), None);
    assert!(is_withheld(&known, 330));
}

/// The losses of a trial are better evidence than reports of the targets lost before.
#[test]
fn checks_end_a_trial_or_a_verdict_that_followed_one() {
    let mut known = three_lost();
    let begun = known.begin_trial(print("request"), at(1_300));
    assert!(begun.is_some());
    let refuted = known.refute(print("request"), &[answer(0, 1_300)], at(1_310));
    assert!(refuted.is_some_and(|refuted| refuted.withdrawn.is_none()));
    known.note_lost(print("request"), &target(9, 1), at(1_320));
    assert_eq!(
        known.losses_to_check(print("request"), at(1_330)),
        Vec::new()
    );
    let refuted = known.refute(print("request"), &[answer(9, 1_500)], at(1_510));
    assert!(refuted.is_some_and(|refuted| refuted.withdrawn.is_none()));
    assert!(is_withheld(&known, 60_000));
}

/// More targets are lost before the verdict is known everywhere.
#[test]
fn losses_that_follow_the_verdict_are_never_checked() {
    let mut known = three_lost();
    known.note_lost(print("request"), &target(3, 1), at(250));
    let checks = [answer(0, 300), silence(1, 300), silence(2, 300)];
    let refuted = known.refute(print("request"), &checks, at(310));
    assert!(refuted.is_some_and(|refuted| refuted.withdrawn.is_none()));
    assert!(is_withheld(&known, 310));
    let due = known.losses_to_check(print("request"), at(310));
    assert_eq!(due, [(target(3, 1), at(350))]);
    let refuted = known.refute(print("request"), &[answer(3, 350)], at(360));
    assert!(refuted.is_some_and(|refuted| refuted.withdrawn.is_some()));
}

/// What a daemon may receive about the request, in any order and more than once.
fn deliver(known: &mut Known, message: u8, refuted: &[Refutation<TargetId>], ms: u64) {
    match message % 3 {
        0 => known.receive_refutation(&refuted[0], at(ms)),
        1 => known.receive_refutation(&refuted[1], at(ms)),
        _ => known.receive(three_lost().verdicts(at(200))[0], at(ms)),
    };
}

quickcheck! {
    /// Two daemons made the verdict and checked different targets. Whatever arrives of that at a
    /// third one, and however often, all agree once they have compared their verdicts.
    fn refutations_that_arrive_late_or_twice_split_the_daemons(messages: Vec<u8>) -> bool {
        let (mut a, mut b) = (three_lost(), three_lost());
        let by_a = a.refute(print("request"), &[answer(0, 300)], at(310));
        let by_b = b.refute(print("request"), &[answer(1, 300)], at(311));
        let refuted = [by_a.expect("it answered"), by_b.expect("it answered")];
        a.receive_refutation(&refuted[1], at(312));
        b.receive_refutation(&refuted[0], at(312));
        let mut third = three_lost();
        for message in messages {
            deliver(&mut third, message, &refuted, 320);
        }
        for verdict in a.verdicts(at(400)) {
            third.receive(verdict, at(400));
        }
        let free = |known: &Known| known.status(print("request"), at(401)) == QuarantineStatus::Free;
        let agree = [&b, &third].iter().all(|known| known.digest() == a.digest());
        agree && free(&a) && free(&b) && free(&third)
    }
}
