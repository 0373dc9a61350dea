//! Tests that a part of a prompt that crashes targets is withheld, and that what sound requests
//! share is not.

#[path = "quarantine_parts/unclear.rs"]
mod unclear;

use thistlesill_core::edge::TargetId;
use thistlesill_core::{Fingerprint, Millis};
use thistlesill_policy::quarantine::{
    AnswerPhase, AnswerProgress, LossCause, Quarantine, QuarantineStatus, RequestKeys,
};

const START: Millis = Millis::new(1_000_000);
/// Time from the start of an answer to the crash.
const CRASH_DELAY: Millis = Millis::new(60);

type Known = Quarantine<TargetId>;

fn at(ms: u64) -> Millis {
    START + Millis::new(ms)
}

fn print(name: &str) -> Fingerprint {
    Fingerprint::of(&[name.as_bytes()])
}

fn target(number: u32) -> TargetId {
    TargetId::from(format!("t{number}"))
}

/// A request of its own with these parts.
fn request(name: &str, parts: &[&str]) -> RequestKeys {
    RequestKeys {
        whole: print(&format!("request {name}")),
        parts: parts.iter().map(|part| print(part)).collect(),
    }
}

/// Crashes a target under a request at a time.
fn crash(known: &mut Known, keys: &RequestKeys, number: u32, now: Millis) {
    let phase = AnswerPhase::Starting(now - CRASH_DELAY);
    known.note_request_lost(keys, &[], &target(number), phase, now);
}

/// Requests with the parts `first` and `deadly` crash three targets, one after the other.
fn three_crashed() -> Known {
    let mut known = Known::default();
    for number in 0..3 {
        let keys = request(&number.to_string(), &["first", "deadly"]);
        crash(&mut known, &keys, number, at(100 * u64::from(number)));
    }
    known
}

fn is_withheld(known: &Known, keys: &RequestKeys, now: Millis) -> bool {
    let status = known.request_status(keys, &[], now);
    matches!(
        status,
        QuarantineStatus::Withheld(_) | QuarantineStatus::Tried(_)
    )
}

#[test]
fn requests_that_are_never_alike_crash_target_after_target_under_one_part() {
    let known = three_crashed();
    assert!(is_withheld(&known, &request("new", &["deadly"]), at(300)));
    let other = request("other", &["sound"]);
    assert_eq!(
        known.request_status(&other, &[], at(300)),
        QuarantineStatus::Free
    );
}

#[test]
fn a_shared_part_is_withheld_although_sound_answers_with_it_go_on() {
    let mut known = Known::default();
    for number in 0..20_u32 {
        let now = at(400 * u64::from(number));
        let keys = request(&number.to_string(), &["first", "deadly"]);
        crash(&mut known, &keys, number, now);
        let sound = request(&format!("sound {number}"), &["first", "other"]);
        known.note_request_progress(&sound, now + Millis::new(20), now + Millis::new(350));
        assert_eq!(
            known.request_status(&sound, &[], now),
            QuarantineStatus::Free
        );
    }
    let fatal = request("x", &["deadly"]);
    assert_eq!(
        known.request_status(&fatal, &[], at(8_000)),
        QuarantineStatus::Trial
    );
}

/// Targets crash faster than an answer takes to be past its start.
#[test]
fn an_answer_that_goes_on_clears_nothing_while_further_targets_crash() {
    let mut known = Known::default();
    for number in 0..2 {
        let keys = request(&number.to_string(), &["first", "deadly"]);
        crash(&mut known, &keys, number, at(100 * u64::from(number)));
    }
    let sound = request("sound", &["first", "other"]);
    known.note_request_progress(&sound, at(50), at(400));
    let keys = request("third", &["first", "deadly"]);
    crash(&mut known, &keys, 2, at(450));
    let next = request("next", &["first"]);
    let status = known.request_status(&next, &[], at(500));
    assert_eq!(status, QuarantineStatus::Free);
    assert!(is_withheld(&known, &request("x", &["deadly"]), at(500)));
}

#[test]
fn a_trial_is_sent_while_another_part_of_its_request_is_on_trial_elsewhere() {
    let mut known = three_crashed();
    let sound = request("s", &["first"]);
    let (own, _) = known.begin_request_trial(&sound, at(1_300));
    let status = known.request_status(&sound, &own, at(1_310));
    assert_eq!(status, QuarantineStatus::Free);
    known.begin_request_trial(&request("f", &["deadly"]), at(1_320));
    let both = request("both", &["first", "deadly"]);
    let status = known.request_status(&both, &own, at(1_330));
    assert!(matches!(status, QuarantineStatus::Tried(_)), "{status:?}");
}

/// Guards against a trial that is taken for undecided, and repeated every second, since a sound
/// request with one of its parts was noted as lost with the same target first.
#[test]
fn the_crash_of_a_trial_condemns_its_part_whichever_loss_is_noted_first() {
    for is_sound_first in [false, true] {
        let mut known = three_crashed();
        let sound = request("sound", &["first", "other"]);
        known.note_request_progress(&sound, at(300), at(700));
        let fatal = request("fatal", &["first", "deadly"]);
        let status = known.request_status(&fatal, &[], at(1_300));
        assert_eq!(status, QuarantineStatus::Trial);
        let (own, _) = known.begin_request_trial(&fatal, at(1_300));
        let beside = request("beside", &["first", "other"]);
        if is_sound_first {
            crash(&mut known, &beside, 3, at(1_380));
        }
        let phase = AnswerPhase::Starting(at(1_320));
        known.note_request_lost(&fatal, &own, &target(3), phase, at(1_381));
        if !is_sound_first {
            crash(&mut known, &beside, 3, at(1_382));
        }
        let status = known.request_status(&request("next", &["deadly"]), &[], at(11_000));
        let is_condemned = matches!(status, QuarantineStatus::Withheld(_));
        assert!(is_condemned, "sound first: {is_sound_first}, {status:?}");
        let status = known.request_status(&sound, &[], at(1_400));
        assert_eq!(status, QuarantineStatus::Free);
    }
}

#[test]
fn an_outage_of_many_targets_at_once_withholds_what_their_requests_share() {
    let mut known = Known::default();
    for number in 0..20 {
        let keys = request(&number.to_string(), &["first"]);
        crash(&mut known, &keys, number, at(u64::from(number)));
    }
    let keys = request("new", &["first"]);
    assert_eq!(
        known.request_status(&keys, &[], at(100)),
        QuarantineStatus::Free
    );
}

/// Many requests with the part were starting at once when the first target crashed.
#[test]
fn a_part_that_crashes_many_targets_at_once_is_never_withheld() {
    let mut known = Known::default();
    for number in 0..12 {
        let keys = request(&number.to_string(), &["deadly"]);
        crash(&mut known, &keys, number, at(u64::from(number)));
    }
    for number in 12..14 {
        let keys = request(&number.to_string(), &["deadly"]);
        crash(&mut known, &keys, number, at(200 * u64::from(number)));
    }
    let next = request("next", &["deadly"]);
    assert!(is_withheld(&known, &next, at(2_700)));
}

/// The sound part was suspected once more than the fatal one, by a request that was only beside it.
#[test]
fn a_sound_part_is_condemned_by_a_trial_with_a_fatal_one_that_is_not_withheld_yet() {
    let mut known = Known::default();
    for number in 0..2 {
        let keys = request(&number.to_string(), &["first", "deadly"]);
        crash(&mut known, &keys, number, at(100 * u64::from(number)));
    }
    let beside = request("beside", &["first", "other"]);
    crash(&mut known, &beside, 2, at(200));
    let fatal = request("f", &["first", "deadly"]);
    assert!(is_withheld(&known, &fatal, at(1_300)));
    let now = at(4_000);
    assert_eq!(
        known.request_status(&fatal, &[], now),
        QuarantineStatus::Trial
    );
    let (tried, _) = known.begin_request_trial(&fatal, now);
    let phase = AnswerPhase::Starting(at(4_100));
    known.note_request_lost(&fatal, &tried, &target(9), phase, at(4_160));
    let sound = request("s", &["first", "another"]);
    assert_eq!(
        known.request_status(&sound, &[], at(5_200)),
        QuarantineStatus::Trial
    );
    assert!(is_withheld(&known, &fatal, at(100_000)));
}

/// Some target was lost under the sound part, which is no verdict.
#[test]
fn a_sound_part_is_withheld_while_a_request_with_it_is_on_trial_for_another_one() {
    let mut known = three_crashed();
    let sound = request("s", &["first"]);
    known.note_request_progress(&sound, at(250), at(600));
    crash(&mut known, &request("beside", &["first"]), 5, at(700));
    let fatal = request("f", &["first", "deadly"]);
    let now = at(4_000);
    assert_eq!(
        known.request_status(&fatal, &[], now),
        QuarantineStatus::Trial
    );
    let (tried, _) = known.begin_request_trial(&fatal, now);
    assert_eq!(tried, [print("deadly")]);
    assert_eq!(
        known.request_status(&sound, &[], at(4_010)),
        QuarantineStatus::Free
    );
    let phase = AnswerPhase::Starting(at(4_100));
    known.note_request_lost(&fatal, &tried, &target(9), phase, at(4_160));
    assert_eq!(
        known.request_status(&sound, &[], at(4_200)),
        QuarantineStatus::Free
    );
    assert!(is_withheld(&known, &fatal, at(100_000)));
}

/// The answer of the trial went on, and its stream was then resumed at a target that was lost.
#[test]
fn a_trial_that_ended_well_still_condemns_its_parts() {
    let mut known = three_crashed();
    let both = request("b", &["first", "deadly"]);
    let (tried, _) = known.begin_request_trial(&both, at(4_000));
    known.note_request_progress(&both, at(4_100), at(4_400));
    let phase = AnswerPhase::Starting(at(5_000));
    let effect = known.note_request_lost(&both, &tried, &target(9), phase, at(5_060));
    assert_eq!(effect.verdicts, []);
    assert_eq!(
        known.request_status(&both, &[], at(5_100)),
        QuarantineStatus::Free
    );
}

/// A peer condemned the other part while the trial ran.
#[test]
fn the_crash_of_a_trial_shortens_the_verdict_of_a_peer() {
    let mut known = three_crashed();
    let both = request("b", &["first", "deadly"]);
    let (tried, _) = known.begin_request_trial(&both, at(4_000));
    let mut verdict = known
        .verdicts(at(4_010))
        .into_iter()
        .find(|v| v.print == print("deadly"))
        .expect("it is on trial");
    verdict.round += 1;
    verdict.level = 2;
    verdict.left = Millis::new(120_000);
    verdict.trial = false;
    assert!(known.receive(verdict, at(4_010)));
    let phase = AnswerPhase::Starting(at(4_100));
    known.note_request_lost(&both, &tried, &target(9), phase, at(4_160));
    let alone = request("x", &["deadly"]);
    assert!(is_withheld(&known, &alone, at(100_000)));
}

/// The peer received the loss of the request before the verdict on the combination.
#[test]
fn a_peer_condemns_a_request_that_was_tried_in_combination() {
    let mut known = three_crashed();
    let both = request("b", &["first", "deadly"]);
    for number in 3..6 {
        known.note_lost(both.whole, &target(number), at(400));
    }
    let (tried, trial) = known.begin_request_trial(&both, at(4_000));
    assert_eq!(tried.len(), 3);
    let mut peer = known.clone();
    for verdict in trial {
        peer.receive(verdict, at(4_001));
    }
    let phase = AnswerPhase::Starting(at(4_100));
    let effect = known.note_request_lost(&both, &tried, &target(9), phase, at(4_160));
    peer.note_lost(both.whole, &target(9), at(4_161));
    for verdict in effect.verdicts {
        peer.receive(verdict, at(4_162));
    }
    assert_eq!(peer.digest(), known.digest());
    let status = peer.status(both.whole, at(5_200));
    assert_eq!(status, QuarantineStatus::Trial);
}

#[test]
fn parts_of_requests_that_were_written_for_long_are_blamed() {
    let mut known = Known::default();
    for number in 0..5 {
        let keys = request(&number.to_string(), &["first"]);
        let now = at(500 * u64::from(number));
        let phase = AnswerPhase::Writing(START);
        let effect = known.note_request_lost(&keys, &[], &target(number), phase, now);
        assert!(effect.suspected.is_empty());
    }
    let keys = request("new", &["first"]);
    assert_eq!(
        known.request_status(&keys, &[], at(3_000)),
        QuarantineStatus::Free
    );
}

#[test]
fn a_sound_part_stays_withheld_that_was_suspected_together_with_a_fatal_one() {
    let mut known = three_crashed();
    let (sound, fatal) = (request("s", &["first"]), request("f", &["first", "deadly"]));
    assert!(is_withheld(&known, &sound, at(300)));
    // A request with a single suspect is tried before one with several.
    let now = at(1_300);
    assert!(is_withheld(&known, &fatal, now));
    assert_eq!(
        known.request_status(&sound, &[], now),
        QuarantineStatus::Trial
    );
    let (tried, _) = known.begin_request_trial(&sound, now);
    assert_eq!(tried, [print("first")]);
    assert!(is_withheld(&known, &request("s2", &["first"]), at(1_400)));
    known.note_request_progress(&sound, at(1_500), at(1_800));
    let next = request("s3", &["first"]);
    assert_eq!(
        known.request_status(&next, &[], at(1_800)),
        QuarantineStatus::Free
    );
    // Now the other one is the only suspect, and its trial shows that it is to blame.
    let now = at(1_900);
    assert_eq!(
        known.request_status(&fatal, &[], now),
        QuarantineStatus::Trial
    );
    let (tried, _) = known.begin_request_trial(&fatal, now);
    let phase = AnswerPhase::Starting(at(2_000));
    known.note_request_lost(&fatal, &tried, &target(9), phase, at(2_060));
    assert!(is_withheld(&known, &request("x", &["deadly"]), at(100_000)));
    assert_eq!(
        known.request_status(&next, &[], at(2_100)),
        QuarantineStatus::Free
    );
}

#[test]
fn a_sound_part_is_condemned_by_the_trial_of_a_combination() {
    let mut known = three_crashed();
    let fatal = request("f", &["first", "deadly"]);
    let now = at(4_000);
    assert_eq!(
        known.request_status(&fatal, &[], now),
        QuarantineStatus::Trial
    );
    let (tried, _) = known.begin_request_trial(&fatal, now);
    assert_eq!(tried.len(), 2);
    let phase = AnswerPhase::Starting(at(4_100));
    known.note_request_lost(&fatal, &tried, &target(9), phase, at(4_160));
    let again = request("again", &["first", "deadly"]);
    assert!(is_withheld(&known, &again, at(100_000)));
    let sound = request("s", &["first"]);
    assert_eq!(
        known.request_status(&sound, &[], at(5_200)),
        QuarantineStatus::Trial
    );
}

#[test]
fn the_trial_of_a_part_is_decided_by_requests_that_were_on_their_way() {
    let mut known = three_crashed();
    let sound = request("s", &["first"]);
    known.begin_request_trial(&sound, at(1_300));
    let earlier = request("earlier", &["first"]);
    crash(&mut known, &earlier, 7, at(1_400));
    known.note_part_lost(
        print("first"),
        &target(8),
        at(1_350),
        LossCause::Crash,
        at(1_420),
    );
    known.note_request_progress(&earlier, at(1_200), at(1_500));
    assert_eq!(
        known.request_status(&request("s2", &["first"]), &[], at(1_500)),
        QuarantineStatus::Tried(Millis::new(300))
    );
    known.note_request_progress(&sound, at(1_500), at(1_800));
    assert_eq!(
        known.request_status(&sound, &[], at(1_800)),
        QuarantineStatus::Free
    );
}

#[test]
fn two_daemons_that_tell_each_other_know_a_part_after_different_losses() {
    let (mut a, mut b) = (Known::default(), Known::default());
    let mut verdicts = Vec::new();
    for number in 0..3 {
        let now = at(100 * u64::from(number));
        let (here, there) = if number % 2 == 0 {
            (&mut a, &mut b)
        } else {
            (&mut b, &mut a)
        };
        let keys = request(&number.to_string(), &["deadly"]);
        let phase = AnswerPhase::Starting(now - CRASH_DELAY);
        let effect = here.note_request_lost(&keys, &[], &target(number), phase, now);
        for part in &effect.suspected {
            there.note_part_lost(
                *part,
                &target(number),
                now - CRASH_DELAY,
                LossCause::Crash,
                now,
            );
        }
        verdicts.extend(effect.verdicts);
    }
    assert_eq!(verdicts.len(), 1);
    for known in [&a, &b] {
        assert!(is_withheld(known, &request("new", &["deadly"]), at(300)));
    }
    assert_eq!(a.digest(), b.digest());
}

#[test]
fn an_answer_is_taken_as_written_because_this_daemon_was_suspended() {
    let mut progress = AnswerProgress::new(START);
    assert!(!progress.note_event(at(5_000)));
    assert!(!progress.note_event(at(5_001)));
    assert_eq!(progress.phase(), AnswerPhase::Starting(START));
    let mut progress = AnswerProgress::new(START);
    let past: Vec<bool> = (1..=12).map(|n| progress.note_event(at(30 * n))).collect();
    assert_eq!(past.iter().filter(|p| **p).count(), 1);
    assert_eq!(progress.phase(), AnswerPhase::Writing(START));
}
