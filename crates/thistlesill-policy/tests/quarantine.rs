//! Tests that requests which crash the targets that run them are withheld, and that all others are
//! not.

use quickcheck::quickcheck;
use thistlesill_core::edge::TargetId;
use thistlesill_core::{Fingerprint, Millis, Verdict};
use thistlesill_policy::quarantine::{Quarantine, QuarantineStatus};

const START: Millis = Millis::new(1_000_000);

fn print(number: u32) -> Fingerprint {
    Fingerprint::of(&[&number.to_le_bytes()])
}

fn target(number: u32) -> TargetId {
    TargetId::from(format!("t{number}"))
}

fn after(ms: u64) -> Millis {
    START + Millis::new(ms)
}

/// The state after targets were lost under a request, a tenth of a second apart.
fn lost(
    print: Fingerprint,
    targets: std::ops::Range<u32>,
) -> (Quarantine<TargetId>, Option<Verdict>) {
    let mut known = Quarantine::default();
    let mut verdict = None;
    for number in targets {
        verdict = known.note_lost(print, &target(number), after(100 * u64::from(number)));
    }
    (known, verdict)
}

#[test]
fn the_third_target_that_is_lost_under_a_request_withholds_it() {
    let (known, verdict) = lost(print(1), 0..2);
    assert_eq!(verdict, None);
    assert_eq!(known.status(print(1), after(300)), QuarantineStatus::Free);
    let (known, verdict) = lost(print(1), 0..3);
    assert!(verdict.is_some_and(|v| v.level == 1));
    assert!(matches!(
        known.status(print(1), after(300)),
        QuarantineStatus::Withheld(_)
    ));
    assert_eq!(known.status(print(2), after(300)), QuarantineStatus::Free);
}

#[test]
fn one_life_of_a_target_counts_once_however_many_requests_it_took_along() {
    let mut known = Quarantine::default();
    for _ in 0..5 {
        assert_eq!(known.note_lost(print(1), &target(7), START), None);
    }
    assert_eq!(known.status(print(1), START), QuarantineStatus::Free);
}

#[test]
fn what_ran_beside_it_and_ends_well_elsewhere_is_free_again() {
    let (fatal, mut known) = (print(0), Quarantine::default());
    // Twenty others at the first target, three of which meet the fatal one again at the second.
    for other in 0..=20 {
        known.note_lost(print(other), &target(0), START);
    }
    for other in 0..=3 {
        known.note_lost(print(other), &target(1), after(300));
    }
    for other in 1..=20 {
        assert!(known.note_success(print(other), after(900)).is_some());
    }
    assert!(known.note_lost(fatal, &target(2), after(1_000)).is_some());
    for other in 1..=20 {
        // A later loss for another reason starts from zero.
        assert_eq!(
            known.note_lost(print(other), &target(9), after(2_000)),
            None
        );
        assert_eq!(
            known.status(print(other), after(2_000)),
            QuarantineStatus::Free
        );
    }
}

#[test]
fn it_is_tried_once_after_a_while_and_much_later_the_next_time() {
    let (mut known, _) = lost(print(1), 0..3);
    let (mut sent, mut now) = (3, after(300));
    let hour = now + Millis::new(3_600_000);
    while now < hour {
        now = now + Millis::new(100);
        match known.status(print(1), now) {
            QuarantineStatus::Free => panic!("it is free although it crashed {sent} targets"),
            QuarantineStatus::Trial => {
                sent += 1;
                assert!(known.begin_trial(print(1), now).is_some());
                assert!(matches!(
                    known.status(print(1), now),
                    QuarantineStatus::Tried(_)
                ));
                let verdict = known.note_lost(print(1), &target(sent), now);
                assert!(verdict.is_some(), "the trial crashed a target");
            }
            QuarantineStatus::Withheld(_) | QuarantineStatus::Tried(_) => {}
        }
    }
    assert_eq!(
        sent,
        3 + 3,
        "a second, two minutes, and twenty minutes later"
    );
}

#[test]
fn a_trial_that_ends_well_clears_it_everywhere() {
    let (mut here, verdict) = lost(print(1), 0..3);
    let mut there = Quarantine::default();
    assert!(there.receive(verdict.expect("it is withheld"), after(300)));
    let later = after(2_000);
    let trial = here.begin_trial(print(1), later).expect("it may be tried");
    assert!(there.receive(trial, later));
    assert!(matches!(
        there.status(print(1), later),
        QuarantineStatus::Tried(_)
    ));
    let good = here
        .note_success(print(1), later)
        .expect("a verdict is returned");
    assert!(there.receive(good, later));
    for known in [&here, &there] {
        assert_eq!(known.status(print(1), later), QuarantineStatus::Free);
    }
    // A daemon that was disconnected and broadcasts the old verdict changes nothing.
    assert!(!there.receive(verdict.expect("it was withheld"), later));
    assert_eq!(here.digest(), there.digest());
}

/// Where a model has only one group, all requests for it meet the fatal request each time.
#[test]
fn trials_follow_each_other_and_the_one_that_ends_a_target_clears_the_others() {
    let mut known = Quarantine::default();
    let mut now = START;
    for number in 0..3 {
        for request in 0..13 {
            known.note_lost(print(request), &target(number), now);
        }
        now = now + Millis::new(400);
    }
    assert_eq!(known.withheld(now), 13);
    now = now + Millis::new(1_000);
    for innocent in 1..4 {
        assert_eq!(known.status(print(innocent), now), QuarantineStatus::Trial);
        known.begin_trial(print(innocent), now);
        for waiting in (0..13).filter(|w| *w != innocent && !(1..innocent).contains(w)) {
            assert!(matches!(
                known.status(print(waiting), now),
                QuarantineStatus::Withheld(_)
            ));
        }
        now = now + Millis::new(500);
        assert!(known.note_success(print(innocent), now).is_some());
    }
    known.begin_trial(print(0), now);
    now = now + Millis::new(300);
    assert!(known.note_lost(print(0), &target(3), now).is_some());
    assert!(matches!(
        known.status(print(0), now + Millis::new(100_000)),
        QuarantineStatus::Withheld(_)
    ));
    for innocent in 1..13 {
        assert_eq!(known.status(print(innocent), now), QuarantineStatus::Free);
    }
}

#[test]
fn a_trial_whose_caller_left_is_soon_followed_by_another() {
    let (mut known, _) = lost(print(1), 0..3);
    known.begin_trial(print(1), after(2_000));
    assert!(known.end_trial(print(1), after(2_100)).is_some());
    assert_eq!(known.end_trial(print(1), after(2_100)), None);
    assert_eq!(
        known.status(print(1), after(4_000)),
        QuarantineStatus::Trial
    );
}

/// All targets were full, so that the request of the trial was refused.
#[test]
fn a_trial_that_no_target_got_withholds_the_request_as_long_as_one_that_was_sent() {
    let (mut known, _) = lost(print(1), 0..3);
    known.begin_trial(print(1), after(1_300));
    known.cancel_trial(print(1), after(1_305));
    let status = known.status(print(1), after(1_310));
    assert!(
        matches!(status, QuarantineStatus::Withheld(_)),
        "{status:?}"
    );
    assert_eq!(
        known.status(print(1), after(1_405)),
        QuarantineStatus::Trial
    );
}

#[test]
fn a_trial_without_an_outcome_is_followed_by_another() {
    let (mut known, _) = lost(print(1), 0..3);
    known.begin_trial(print(1), after(2_000));
    assert_eq!(
        known.status(print(1), after(60_000)),
        QuarantineStatus::Trial
    );
}

#[test]
fn losses_of_what_was_on_its_way_withhold_it_no_longer() {
    let (mut known, verdict) = lost(print(1), 0..3);
    for number in 3..9 {
        assert_eq!(known.note_lost(print(1), &target(number), after(400)), None);
    }
    assert_eq!(known.verdicts(after(200)), Vec::from_iter(verdict));
}

#[test]
fn losses_are_forgotten_in_time() {
    let (mut known, _) = lost(print(1), 0..2);
    known.retain(after(400_000));
    assert!(known.is_empty());
}

#[test]
fn a_good_end_of_one_that_was_never_withheld_clears_it_at_peers_and_is_not_kept() {
    let (mut here, _) = lost(print(1), 0..2);
    let (mut there, _) = lost(print(1), 0..2);
    let good = here
        .note_success(print(1), after(500))
        .expect("a verdict is returned");
    assert!(there.receive(good, after(500)));
    assert!(here.is_empty() && there.is_empty());
}

#[test]
fn memory_is_bounded_and_what_is_withheld_is_kept_longest() {
    let (mut known, _) = lost(print(0), 0..3);
    for number in 1..20_000 {
        known.note_lost(print(number), &target(number), after(1_000));
    }
    assert!(matches!(
        known.status(print(0), after(1_000)),
        QuarantineStatus::Withheld(_)
    ));
    let mut many = Quarantine::default();
    for number in 0..20_000 {
        for lost in 0..3 {
            many.note_lost(print(number), &target(lost), after(1_000));
        }
    }
    assert!(many.verdicts(after(1_000)).len() <= 4_096);
}

quickcheck! {
    /// Whatever daemons decide and in whichever order they receive the verdicts, they reach the
    /// same state.
    fn daemons_that_hear_each_other_come_to_agree(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut daemons = vec![Quarantine::default(); 3];
        let mut now = START;
        for (daemon, request, event) in steps {
            now = now + Millis::new(700);
            let print = print(u32::from(request % 3));
            let known = &mut daemons[usize::from(daemon % 3)];
            let is_trial = known.status(print, now) == QuarantineStatus::Trial;
            let _ = match event % 8 {
                0 => known.note_success(print, now),
                1 if is_trial => known.begin_trial(print, now),
                _ => known.note_lost(print, &target(u32::from(event)), now),
            };
        }
        for _ in 0..3 {
            for from in 0..3 {
                let broadcast = daemons[from].verdicts(now);
                for to in &mut daemons {
                    for verdict in &broadcast {
                        to.receive(*verdict, now);
                    }
                }
            }
        }
        daemons.iter().all(|d| d.digest() == daemons[0].digest())
    }
}

/// The state of two daemons after three targets were lost under each of some requests.
fn two_that_saw_both_lost(
    requests: &[Fingerprint],
) -> (Quarantine<TargetId>, Quarantine<TargetId>) {
    let mut known = Quarantine::default();
    for number in 0..3 {
        for request in requests {
            known.note_lost(*request, &target(number), after(100 * u64::from(number)));
        }
    }
    (known.clone(), known)
}

/// Two daemons each began the trial of a different request at the same time, before either had
/// received the other's verdict. One of the two requests crashed its target with both on it, and
/// the other one was withheld for two minutes as if it had:
///
/// ```text
/// edge-0 ev=withheld_tried id=beside-2-16 print=2c65…    (at 5.20 s)
/// edge-1 ev=withheld_tried id=fatal-15 print=78a6…       (at 5.20 s)
/// edge-1 ev=request_withheld print=78a6… from=fatal-15 round=3 level=2 for_ms=120000
/// edge-0 ev=request_withheld print=2c65… from=beside-2-16 round=3 level=2 for_ms=120000
/// ```
#[test]
fn two_trials_at_once_do_not_condemn_what_ran_beside_a_fatal_request() {
    let (fatal, beside) = (print(0), print(1));
    let (mut a, mut b) = two_that_saw_both_lost(&[fatal, beside]);
    let tried = after(1_300);
    assert_eq!(a.status(beside, tried), QuarantineStatus::Trial);
    assert_eq!(b.status(fatal, tried), QuarantineStatus::Trial);
    let by_a = a.begin_trial(beside, tried).expect("it is withheld");
    let by_b = b.begin_trial(fatal, tried).expect("it is withheld");
    // Each daemon receives the other's trial some milliseconds later.
    a.receive(by_b, after(1_303));
    b.receive(by_a, after(1_303));
    let ended = after(1_320);
    let by_a = a.note_lost(beside, &target(9), ended);
    let by_b = b.note_lost(fatal, &target(9), ended);
    if let Some(verdict) = by_b {
        a.receive(verdict, after(1_323));
    }
    if let Some(verdict) = by_a {
        b.receive(verdict, after(1_323));
    }
    // A fatal request is withheld for two minutes; this one may be tried again soon.
    let left = match a.status(beside, after(1_330)) {
        QuarantineStatus::Withheld(left) | QuarantineStatus::Tried(left) => left,
        QuarantineStatus::Free | QuarantineStatus::Trial => Millis::ZERO,
    };
    assert!(left <= Millis::new(15_000), "withheld for {left}");
}

/// Messages that one daemon broadcasts about its trial, in this order.
struct Broadcast {
    trial: Verdict,
    lost: Fingerprint,
    verdict: Option<Verdict>,
}

impl Broadcast {
    /// Delivers the messages with these numbers to another daemon.
    fn deliver(&self, to: &mut Quarantine<TargetId>, part: std::ops::Range<usize>, now: Millis) {
        for message in part {
            match message {
                0 => drop(to.receive(self.trial, now)),
                1 => drop(to.note_lost(self.lost, &target(9), now)),
                _ => drop(self.verdict.map(|v| to.receive(v, now))),
            }
        }
    }
}

/// The same, whichever of the other daemon's messages arrive before a daemon sees its own trial
/// crash the target: the fatal request is withheld for long after a trial of its own, and the other
/// one is served.
#[test]
fn two_trials_at_once_are_told_apart_by_further_ones_however_late_daemons_hear_of_them() {
    for early in 0..=3 {
        let (fatal, beside) = (print(0), print(1));
        let (mut a, mut b) = two_that_saw_both_lost(&[fatal, beside]);
        let mut now = after(1_300);
        let trial = a.begin_trial(beside, now).expect("it is withheld");
        let mut by_a = Broadcast {
            trial,
            lost: beside,
            verdict: None,
        };
        let trial = b.begin_trial(fatal, now).expect("it is withheld");
        let mut by_b = Broadcast {
            trial,
            lost: fatal,
            verdict: None,
        };
        now = after(1_320);
        by_a.verdict = a.note_lost(beside, &target(9), now);
        by_a.deliver(&mut b, 0..early, now);
        by_b.verdict = b.note_lost(fatal, &target(9), now);
        by_a.deliver(&mut b, early..3, now);
        by_b.deliver(&mut a, 0..3, now);
        // Daemons whose digests differ request each other's verdicts.
        for _ in 0..2 {
            for verdict in a.verdicts(now) {
                b.receive(verdict, now);
            }
            for verdict in b.verdicts(now) {
                a.receive(verdict, now);
            }
        }
        assert_eq!(a.digest(), b.digest(), "{early} messages came early");
        let end = now + Millis::new(20_000);
        while now < end {
            now = now + Millis::new(100);
            for request in [fatal, beside] {
                if a.status(request, now) == QuarantineStatus::Trial {
                    a.begin_trial(request, now);
                    if request == fatal {
                        a.note_lost(request, &target(10), now);
                    } else {
                        a.note_success(request, now);
                    }
                }
            }
        }
        assert_eq!(a.status(beside, now), QuarantineStatus::Free, "{early}");
        let QuarantineStatus::Withheld(left) = a.status(fatal, now) else {
            panic!("the fatal request is free after {early} messages came early");
        };
        assert!(left > Millis::new(90_000), "withheld for {left}");
    }
}

/// A loss from before the verdict that a daemon noticed after a second, once it had been suspended,
/// counted as a trial that failed: a sound request was withheld for two minutes.
#[test]
fn a_loss_that_is_noticed_late_is_no_trial() {
    let (mut known, verdict) = lost(print(1), 0..3);
    assert!(verdict.is_some_and(|v| v.level == 1));
    let late = after(1_500);
    assert_eq!(known.status(print(1), late), QuarantineStatus::Trial);
    assert_eq!(known.note_lost(print(1), &target(3), late), None);
    assert_eq!(known.status(print(1), late), QuarantineStatus::Trial);
}
