//! Losses before the head of an answer, after which the target may live.

use thistlesill_core::edge::TargetId;
use thistlesill_core::{Fingerprint, Millis};
use thistlesill_policy::quarantine::{
    AnswerPhase, CheckAnswer, LossCause, LossCheck, QuarantineStatus, RequestKeys,
};

use super::{Known, at, is_withheld, print, request, target, three_crashed};

/// Loses a target with a request that waited for `waited` ms.
fn lose_waiting(known: &mut Known, keys: &RequestKeys, number: u32, waited: u64, ms: u64) {
    let phase = AnswerPhase::Waiting(at(ms - waited));
    known.note_request_lost(keys, &[], &target(number), phase, at(ms));
}

/// Loses targets, `interval` ms apart, each with another request that has the parts and waited for
/// `waited` ms.
fn lose_in_turn(known: &mut Known, targets: u32, parts: &[&str], waited: u64, interval: u64) {
    for number in 0..targets {
        let ms = 1_000 + interval * u64::from(number);
        let keys = request(&number.to_string(), parts);
        lose_waiting(known, &keys, number, waited, ms);
    }
}

/// Asks the targets that were lost under a part, of which each gives the same answer.
fn ask(known: &mut Known, part: &str, answer: &CheckAnswer<TargetId>, ms: u64) {
    ask_under(known, print(part), answer, ms);
}

/// Asks the targets that were lost under a key.
fn ask_under(known: &mut Known, key: Fingerprint, answer: &CheckAnswer<TargetId>, ms: u64) {
    let losses = known.losses_to_check(key, at(ms));
    let check = |(lost, _): (TargetId, Millis)| LossCheck {
        lost,
        begun: at(ms),
        answer: answer.clone(),
    };
    let checks: Vec<LossCheck<TargetId>> = losses.into_iter().map(check).collect();
    known.apply_checks(key, &checks, at(ms));
}

/// Each target crashes before its daemon gets the head of the answer.
#[test]
fn a_part_that_crashes_targets_before_the_head_is_never_suspected() {
    let mut known = Known::default();
    for number in 0..3 {
        let keys = request(&number.to_string(), &["first", "deadly"]);
        lose_waiting(
            &mut known,
            &keys,
            number,
            50,
            1_000 + 400 * u64::from(number),
        );
        let sound = request(&format!("sound {number}"), &["first", "other"]);
        let began = at(1_020 + 400 * u64::from(number));
        known.note_request_progress(&sound, began, began + Millis::new(310));
    }
    for part in ["first", "deadly"] {
        ask(&mut known, part, &CheckAnswer::Nothing, 1_900);
    }
    assert!(is_withheld(&known, &request("x", &["deadly"]), at(1_900)));
    let sound = request("sound", &["first", "other"]);
    let status = known.request_status(&sound, &[], at(1_900));
    assert_eq!(status, QuarantineStatus::Free);
}

/// Answers are lost before their heads, and the targets go on.
#[test]
fn a_part_is_withheld_because_live_targets_lose_answers() {
    for answer in [CheckAnswer::Unnamed, CheckAnswer::Named(target(2))] {
        let mut known = Known::default();
        lose_in_turn(&mut known, 3, &["first"], 20, 50);
        let next = request("next", &["first"]);
        let status = known.request_status(&next, &[], at(1_150));
        assert_eq!(status, QuarantineStatus::Free);
        ask(&mut known, "first", &answer, 1_210);
        let status = known.request_status(&next, &[], at(1_220));
        assert_eq!(status, QuarantineStatus::Free);
    }
}

/// The ports of the lost targets refuse connections, so there is nothing to wait for.
#[test]
fn a_part_crashes_further_targets_until_gone_ones_were_asked() {
    let mut known = Known::default();
    let next = request("next", &["deadly"]);
    for number in 0..3 {
        let ms = 1_000 + 20 * u64::from(number);
        let keys = request(&number.to_string(), &["deadly"]);
        lose_waiting(&mut known, &keys, number, 5, ms);
        assert!(!is_withheld(&known, &next, at(ms)));
        known.note_crash(&target(number), at(ms + 10));
    }
    assert!(is_withheld(&known, &next, at(1_050)));
}

/// Each loss arrives twice, at first while it is unclear whether the target has crashed.
#[test]
fn a_part_crashes_further_targets_as_the_daemon_of_the_last_loss_knows_too_few() {
    let mut known = Known::default();
    let next = request("next", &["deadly"]);
    for number in 0..3 {
        let ms = 1_000 + 20 * u64::from(number);
        for (cause, ms) in [(LossCause::Unclear, ms), (LossCause::Crash, ms + 10)] {
            known.note_part_lost(print("deadly"), &target(number), at(ms - 5), cause, at(ms));
        }
        assert_eq!(is_withheld(&known, &next, at(ms + 10)), number == 2);
    }
}

/// A sound answer has cleared the part when its lost target turns out to have crashed.
#[test]
fn a_loss_that_is_cleared_is_evidence_once_its_target_has_crashed() {
    let mut known = Known::default();
    let keys = request("lost", &["first"]);
    lose_waiting(&mut known, &keys, 0, 5, 1_000);
    let sound = request("sound", &["first"]);
    known.note_request_progress(&sound, at(1_001), at(1_005));
    let (confirmed, _) = known.note_crash(&target(0), at(1_011));
    assert_eq!(confirmed, []);
    assert_eq!(known.lost_targets(print("first")), 0);
}

#[test]
fn a_trial_whose_answer_a_live_target_lost_condemns_its_part() {
    let mut known = three_crashed();
    let sound = request("sound", &["first"]);
    let (own, _) = known.begin_request_trial(&sound, at(1_300));
    let phase = AnswerPhase::Waiting(at(1_310));
    known.note_request_lost(&sound, &own, &target(9), phase, at(1_340));
    assert!(is_withheld(&known, &sound, at(1_400)));
    ask(&mut known, "first", &CheckAnswer::Unnamed, 1_450);
    assert!(is_withheld(&known, &sound, at(1_500)));
    let status = known.request_status(&sound, &[], at(2_450));
    assert_eq!(status, QuarantineStatus::Trial);
}

/// The daemon of the trial has the verdict from a peer, and knows of no loss itself.
#[test]
fn a_trial_whose_answer_a_live_target_lost_clears_a_part_that_a_peer_withheld() {
    let mut known = Known::default();
    for verdict in three_crashed().verdicts(at(300)) {
        known.receive(verdict, at(300));
    }
    let fatal = request("fatal", &["deadly"]);
    let (own, _) = known.begin_request_trial(&fatal, at(1_300));
    let phase = AnswerPhase::Waiting(at(1_310));
    known.note_request_lost(&fatal, &own, &target(9), phase, at(1_340));
    ask(&mut known, "deadly", &CheckAnswer::Unnamed, 1_450);
    assert!(is_withheld(&known, &fatal, at(1_500)));
    let status = known.request_status(&fatal, &[], at(2_450));
    assert_eq!(status, QuarantineStatus::Trial);
}

/// A request with two suspects is tried, and a live target loses its answer before the head.
#[test]
fn a_combination_whose_answer_a_live_target_lost_is_condemned() {
    let mut known = three_crashed();
    let both = request("both", &["first", "deadly"]);
    let (own, _) = known.begin_request_trial(&both, at(4_000));
    assert_eq!(own.len(), 2);
    let phase = AnswerPhase::Waiting(at(4_010));
    let effect = known.note_request_lost(&both, &own, &target(9), phase, at(4_040));
    assert!(is_withheld(&known, &both, at(7_500)));
    for verdict in effect.verdicts {
        ask_under(&mut known, verdict.print, &CheckAnswer::Unnamed, 4_150);
    }
    let status = known.request_status(&both, &[], at(8_500));
    assert_eq!(status, QuarantineStatus::Trial);
}

/// The request as a whole is on trial, since it was lost with three targets.
#[test]
fn a_request_whose_answer_a_live_target_lost_at_its_trial_is_condemned() {
    let mut known = Known::default();
    let whole = request("whole", &[]);
    for number in 0..3 {
        known.note_lost(whole.whole, &target(number), at(100 * u64::from(number)));
    }
    let (own, _) = known.begin_request_trial(&whole, at(1_300));
    let phase = AnswerPhase::Waiting(at(1_310));
    known.note_request_lost(&whole, &own, &target(9), phase, at(1_340));
    assert!(is_withheld(&known, &whole, at(1_400)));
    ask_under(&mut known, whole.whole, &CheckAnswer::Unnamed, 1_450);
    let status = known.request_status(&whole, &[], at(2_450));
    assert_eq!(status, QuarantineStatus::Trial);
}

/// Requests wait at all targets that one outage takes.
#[test]
fn an_outage_of_many_targets_at_once_withholds_what_waits_there() {
    let mut known = Known::default();
    lose_in_turn(&mut known, 20, &["first"], 50, 1);
    ask(&mut known, "first", &CheckAnswer::Nothing, 1_130);
    let next = request("next", &["first"]);
    let status = known.request_status(&next, &[], at(1_150));
    assert_eq!(status, QuarantineStatus::Free);
}

/// Targets that stood still crash under the requests that they got meanwhile, and the part that all
/// requests share is withheld for it.
#[test]
fn a_part_crashes_further_targets_after_the_one_withheld_for_its_crashes_is_cleared() {
    let mut known = Known::default();
    lose_in_turn(&mut known, 3, &["first", "deadly"], 900, 1);
    for number in 0..3 {
        known.note_crash(&target(number), at(1_011));
    }
    for number in 1..3 {
        let keys = request(&format!("sound {number}"), &["first", "other"]);
        let ms = 1_010 + 20 * u64::from(number);
        let phase = AnswerPhase::Starting(at(ms - 5));
        known.note_request_lost(&keys, &[], &target(number), phase, at(ms));
    }
    let fatal = request("fatal", &["deadly"]);
    let sound = request("sound", &["first", "other"]);
    assert!(is_withheld(&known, &sound, at(1_100)));
    assert!(!is_withheld(&known, &fatal, at(1_100)));
    known.note_request_progress(&sound, at(1_020), at(1_330));
    assert!(is_withheld(&known, &fatal, at(1_330)));
    let status = known.request_status(&sound, &[], at(1_330));
    assert_eq!(status, QuarantineStatus::Free);
}

/// Only a part that was withheld leaves crashes without a cause, and only targets that have crashed.
#[test]
fn what_a_sound_answer_does_not_share_is_withheld_after_an_outage() {
    for (is_withheld_first, have_crashed) in [(false, true), (true, false)] {
        let mut known = Known::default();
        for number in 0..4 {
            let keys = request(&number.to_string(), &["rare"]);
            lose_waiting(&mut known, &keys, number, 900, 1_000 + u64::from(number));
            if have_crashed {
                known.note_crash(&target(number), at(1_011));
            }
            let keys = request(&format!("sound {number}"), &["first"]);
            let waited = if is_withheld_first { 5 } else { 900 };
            let ms = 1_010 + 20 * u64::from(number);
            let phase = AnswerPhase::Starting(at(ms - waited));
            known.note_request_lost(&keys, &[], &target(number), phase, at(ms));
        }
        let sound = request("sound", &["first"]);
        assert_eq!(is_withheld(&known, &sound, at(1_100)), is_withheld_first);
        known.note_request_progress(&sound, at(1_020), at(1_330));
        let status = known.request_status(&request("rare", &["rare"]), &[], at(1_330));
        assert_eq!(status, QuarantineStatus::Free);
    }
}

/// The answer began after the first loss and before the third one.
#[test]
fn a_first_verdict_outlasts_a_sound_answer_that_began_before_it() {
    let mut known = Known::default();
    lose_in_turn(&mut known, 3, &["first", "deadly"], 50, 100);
    for part in ["first", "deadly"] {
        ask(&mut known, part, &CheckAnswer::Nothing, 1_310);
    }
    let sound = request("sound", &["first", "other"]);
    assert!(is_withheld(&known, &sound, at(1_310)));
    known.note_request_progress(&sound, at(990), at(1_315));
    assert!(is_withheld(&known, &sound, at(1_320)));
    known.note_request_progress(&sound, at(1_050), at(1_355));
    let status = known.request_status(&sound, &[], at(1_360));
    assert_eq!(status, QuarantineStatus::Free);
    assert!(is_withheld(&known, &request("x", &["deadly"]), at(1_360)));
}

/// One request at the target was sent before the last loss, another one after it.
#[test]
fn the_first_of_two_losses_with_one_target_decides_whether_it_counts() {
    for is_early_first in [false, true] {
        let mut known = Known::default();
        for number in 0..3 {
            let ms = 1_000 + 500 * u64::from(number);
            let mut waited = [600, 50];
            if !is_early_first {
                waited.reverse();
            }
            for (copy, waited) in waited.into_iter().enumerate() {
                let keys = request(&format!("{number} {copy}"), &["deadly"]);
                lose_waiting(&mut known, &keys, number, waited, ms);
            }
        }
        ask(&mut known, "deadly", &CheckAnswer::Nothing, 2_150);
        let next = request("next", &["deadly"]);
        assert!(is_withheld(&known, &next, at(2_150)), "{is_early_first}");
    }
}

/// The request that waited at the target was sent before the last loss, the one that was answered after it.
#[test]
fn a_loss_with_an_answer_does_not_count_after_an_unclear_one() {
    let mut known = Known::default();
    for number in 0..3 {
        let ms = 1_000 + 500 * u64::from(number);
        let keys = request(&format!("{number} waits"), &["deadly"]);
        lose_waiting(&mut known, &keys, number, 600, ms);
        let keys = request(&format!("{number} starts"), &["deadly"]);
        let phase = AnswerPhase::Starting(at(ms - 50));
        known.note_request_lost(&keys, &[], &target(number), phase, at(ms + 1));
    }
    let next = request("next", &["deadly"]);
    assert!(is_withheld(&known, &next, at(2_010)));
}

#[test]
fn a_trial_that_crashes_its_target_before_the_head_has_no_outcome() {
    let mut known = three_crashed();
    let sound = request("sound", &["first", "other"]);
    known.note_request_progress(&sound, at(300), at(700));
    let fatal = request("fatal", &["first", "deadly"]);
    let (own, _) = known.begin_request_trial(&fatal, at(1_300));
    let phase = AnswerPhase::Waiting(at(1_310));
    let effect = known.note_request_lost(&fatal, &own, &target(9), phase, at(1_340));
    assert_eq!(effect.verdicts.len(), 1);
    assert!(is_withheld(&known, &request("x", &["deadly"]), at(100_000)));
    let status = known.request_status(&sound, &[], at(1_400));
    assert_eq!(status, QuarantineStatus::Free);
}
