//! Checks of single targets.

use thistlesill_core::Millis;
use thistlesill_core::edge::TargetId;
use thistlesill_policy::edge::life::{CheckOutcome, CheckState, Checks, checks_since};

const NOW: Millis = Millis::new(10_000);

fn after(ms: u64) -> Millis {
    NOW + Millis::new(ms)
}

/// A target that answered and then fell silent was taken for one that goes on.
#[test]
fn a_check_says_nothing_of_the_time_after_it() {
    let (mut checks, id) = (Checks::default(), TargetId::from("a"));
    checks.begin(&id, NOW);
    assert_eq!(checks.state(&id, NOW), CheckState::Pending);
    checks.end(&id, NOW, CheckOutcome::Answers);
    assert_eq!(
        checks.state(&id, NOW),
        CheckState::Ended(CheckOutcome::Answers)
    );
    assert_eq!(checks.state(&id, after(1)), CheckState::Missing);
}

/// The end of an earlier check was taken for that of the one under way.
#[test]
fn an_earlier_check_does_not_end_a_later_one() {
    let (mut checks, id) = (Checks::default(), TargetId::from("a"));
    checks.begin(&id, NOW);
    checks.begin(&id, after(100));
    checks.end(&id, NOW, CheckOutcome::Silent);
    assert_eq!(checks.state(&id, NOW), CheckState::Pending);
}

/// A target that goes on was avoided for its silence before that.
#[test]
fn a_failed_check_speaks_against_a_target_until_it_sends_something() {
    let (mut checks, id) = (Checks::default(), TargetId::from("a"));
    checks.begin(&id, NOW);
    checks.end(&id, NOW, CheckOutcome::Silent);
    assert!(checks.speak_against(&id, Millis::ZERO, after(200)));
    assert!(!checks.speak_against(&id, after(100), after(200)));
    assert!(!checks.speak_against(&id, Millis::ZERO, after(2_000)));
}

/// A target that had read a request and then stood still kept it.
#[test]
fn an_answered_check_counts_after_a_later_one_failed() {
    let (mut checks, id) = (Checks::default(), TargetId::from("a"));
    checks.begin(&id, NOW);
    checks.end(&id, NOW, CheckOutcome::Answers);
    checks.begin(&id, after(400));
    checks.end(&id, after(400), CheckOutcome::Silent);
    assert!(checks.has_answered_since(&id, NOW));
    assert!(!checks.has_answered_since(&id, after(1)));
}

/// One check that failed for want of processor time held a request for as long as targets stand
/// still, although its target had read it.
#[test]
fn a_failed_check_holds_a_request_for_a_short_time() {
    assert_eq!(checks_since(NOW, after(200)), NOW);
    assert_eq!(checks_since(NOW, after(700)), after(400));
}
