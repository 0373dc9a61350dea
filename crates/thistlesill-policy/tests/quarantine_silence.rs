//! Tests what follows for requests that ended while their targets were silent.

use thistlesill_core::{Fingerprint, Millis};
use thistlesill_policy::quarantine::{
    AnswerPhase, Fate, Finding, Quarantine, QuarantineStatus, RequestKeys, Unanswered,
    UnansweredRequest,
};

const START: Millis = Millis::new(1_000_000);

fn at(ms: u64) -> Millis {
    START + Millis::new(ms)
}

fn print(text: &str) -> Fingerprint {
    Fingerprint::of(&[text.as_bytes()])
}

/// Builds a request that was sent at `sent`, and ended half a second later without an answer.
fn silent(whole: &str, parts: &[&str], sent: u64) -> UnansweredRequest {
    UnansweredRequest {
        id: whole.to_owned(),
        keys: RequestKeys {
            whole: print(whole),
            parts: parts.iter().map(|part| print(part)).collect(),
        },
        tried: Vec::new(),
        phase: AnswerPhase::Waiting(at(sent)),
        seen: at(sent),
        ended: at(sent + 500),
        answered: None,
    }
}

/// Returns the losses among the findings.
fn lost(findings: &[Finding<u32>]) -> Vec<(u32, UnansweredRequest)> {
    let losses = findings.iter().filter_map(|finding| match finding {
        Finding::Lost(target, request) => Some((*target, request.clone())),
        _ => None,
    });
    losses.collect()
}

#[test]
fn silence_alone_is_no_loss() {
    let mut kept = Unanswered::default();
    kept.keep(1, silent("same", &[], 0));
    // The target last sent something before the request ended.
    let findings = kept.review(|_| Fate::Listed(at(400)), at(3_000));
    assert!(findings.is_empty());
    // It shows life, and goes on.
    let findings = kept.review(|_| Fate::Listed(at(3_050)), at(3_100));
    assert!(findings.is_empty());
    let findings = kept.review(|_| Fate::Listed(at(3_550)), at(3_600));
    assert!(
        matches!(findings[..], [Finding::Dropped(_)]),
        "{findings:?}"
    );
    assert!(kept.is_empty());
}

/// Guards against sound requests that are never cleared, as their target stood still just after its answer.
#[test]
fn a_target_that_answered_and_goes_on_later_is_in_doubt() {
    let answered = |whole| UnansweredRequest {
        answered: Some(at(480)),
        ..silent(whole, &[], 0)
    };
    let mut kept = Unanswered::default();
    kept.keep(1, answered("goes on"));
    kept.keep(2, answered("ends"));
    let later = |target: &u32| match target {
        1 => Fate::Listed(at(1_000)),
        _ => Fate::Listed(at(500)),
    };
    let findings = kept.review(later, at(1_010));
    let [Finding::Dropped(request)] = &findings[..] else {
        panic!("{findings:?}");
    };
    assert_eq!(request.id, "goes on");
    let losses = lost(&kept.review(|_| Fate::Ended, at(1_500)));
    assert_eq!(losses.len(), 1);
}

/// Guards against a request that is read by a target that stood still, crashes it, and is cleared by the
/// target's first sign of life.
#[test]
fn a_target_that_wakes_and_crashes_is_not_lost() {
    let mut kept = Unanswered::default();
    kept.keep(1, silent("same", &[], 0));
    assert!(
        kept.review(|_| Fate::Listed(at(1_250)), at(1_300))
            .is_empty()
    );
    assert!(
        kept.review(|_| Fate::Listed(at(1_250)), at(2_500))
            .is_empty()
    );
    let losses = lost(&kept.review(|_| Fate::Ended, at(2_800)));
    assert_eq!(losses.len(), 1);
    // It cannot have crashed the target before that.
    assert_eq!(losses[0].1.phase, AnswerPhase::Waiting(at(1_250)));
    // One of which nothing more is known goes on, if it has not ended for long.
    let mut kept = Unanswered::default();
    kept.keep(2, silent("other", &[], 5_000));
    assert!(
        kept.review(|_| Fate::Listed(at(6_000)), at(6_100))
            .is_empty()
    );
    let findings = kept.review(|_| Fate::Listed(at(6_000)), at(11_000));
    assert!(
        matches!(findings[..], [Finding::Dropped(_)]),
        "{findings:?}"
    );
}

#[test]
fn a_target_that_left_as_planned_is_not_lost() {
    let mut kept = Unanswered::default();
    kept.keep(1, silent("same", &[], 0));
    let findings = kept.review(|_| Fate::Left, at(3_000));
    assert!(lost(&findings).is_empty());
    assert!(kept.is_empty());
}

#[test]
fn what_was_answered_elsewhere_meanwhile_is_not_lost_with_the_target() {
    let mut kept = Unanswered::default();
    kept.keep(1, silent("same", &["first"], 0));
    kept.keep(1, silent("other", &["first", "second"], 0));
    kept.note_sound([print("same"), print("second")], at(900));
    let losses = lost(&kept.review(|_| Fate::Ended, at(4_500)));
    assert_eq!(losses.len(), 1, "{losses:?}");
    assert_eq!(losses[0].1.keys.parts, [print("first")]);
    // An answer that began before the request was sent proves nothing of it.
    kept.keep(2, silent("same", &[], 5_000));
    kept.note_sound([print("same")], at(4_900));
    assert_eq!(lost(&kept.review(|_| Fate::Ended, at(9_500))).len(), 1);
}

#[test]
fn a_request_is_forgotten_if_nothing_becomes_known_of_its_target() {
    let mut kept = Unanswered::default();
    kept.keep(1, silent("same", &[], 0));
    assert!(kept.review(|_| Fate::Listed(at(0)), at(20_000)).is_empty());
    let findings = kept.review(|_| Fate::Listed(at(0)), at(20_500));
    assert!(
        matches!(findings[..], [Finding::Dropped(_)]),
        "{findings:?}"
    );
}

#[test]
fn the_requests_that_are_kept_are_bounded() {
    let mut kept = Unanswered::default();
    let dropped = (0..3_000).filter_map(|n| kept.keep(n, silent(&n.to_string(), &[], 0)));
    assert_eq!(dropped.count(), 3_000 - 1_024);
    assert_eq!(lost(&kept.review(|_| Fate::Ended, at(4_000))).len(), 1_024);
}

#[test]
fn a_target_that_is_listed_again_has_not_ended() {
    let (mut kept, mut known) = (Unanswered::default(), Quarantine::default());
    for target in 0..2 {
        kept.keep(target, silent("same", &[], u64::from(target) * 1_000));
    }
    for (target, request) in lost(&kept.review(|_| Fate::Ended, at(4_000))) {
        known.note_silent_loss(&request, &target, at(4_000));
    }
    assert_eq!(known.lost_targets(print("same")), 2);
    let findings = kept.review(|_| Fate::Listed(at(0)), at(6_000));
    assert_eq!(findings.len(), 2, "{findings:?}");
    let is_returned = |finding: &Finding<u32>| matches!(finding, Finding::Returned(..));
    assert!(findings.iter().all(is_returned), "{findings:?}");
}

#[test]
fn three_targets_that_ended_in_silence_withhold_a_request() {
    let mut known = Quarantine::default();
    for target in 0..3_u32 {
        let sent = u64::from(target) * 5_000;
        let request = silent("same", &[], sent);
        let effect = known.note_silent_loss(&request, &target, at(sent + 4_500));
        assert_eq!(effect.verdicts.len(), usize::from(target == 2));
    }
}

/// Targets that went at the same time went for the same reason, however late that becomes known.
#[test]
fn an_outage_in_silence_counts_once_against_a_part() {
    let mut known = Quarantine::default();
    for target in 0..6_u32 {
        let request = silent(&target.to_string(), &["first"], u64::from(target) * 80);
        let effect = known.note_silent_loss(&request, &target, at(4_500));
        assert!(effect.verdicts.is_empty(), "{target}: {effect:?}");
    }
    assert_eq!(known.lost_targets(print("first")), 1);
    // One after the other, each sent after the one before had gone, though all is known together.
    let mut verdicts = 0;
    for target in 10..13_u32 {
        let request = silent(&target.to_string(), &["deadly"], u64::from(target) * 600);
        let effect = known.note_silent_loss(&request, &target, at(12_000));
        verdicts += effect.verdicts.len();
    }
    assert_eq!(verdicts, 1);
}

/// Guards against trials that end undecided with their deadline, again and again.
#[test]
fn a_trial_whose_target_fell_silent_ends_without_an_outcome() {
    let mut known = Quarantine::default();
    let keys = silent("same", &[], 0).keys;
    for target in 0..3 {
        known.note_lost(keys.whole, &target, at(0));
    }
    let (tried, _) = known.begin_request_trial(&keys, at(2_000));
    let trial = UnansweredRequest {
        tried,
        ..silent("same", &[], 2_000)
    };
    // Until it is known what became of its target, no other copy is sent.
    let status = known.request_status(&keys, &[], at(6_000));
    assert!(matches!(status, QuarantineStatus::Tried(_)), "{status:?}");
    let effect = known.note_silent_loss(&trial, &9, at(6_500));
    assert_eq!(effect.verdicts.len(), 1);
    assert_eq!(effect.verdicts[0].level, 2);
    let status = known.request_status(&keys, &[], at(60_000));
    assert!(
        matches!(status, QuarantineStatus::Withheld(_)),
        "{status:?}"
    );
}
