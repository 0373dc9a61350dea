//! Tests that a refusal is explained by the lines of its caller's attempts.

use thistlesill_cli::refusal::{Explanation, explain};

const FIRST: &str = "t=300.000 ev=request id=b-1 outcome=overloaded status=503 route=chat \
    urgency=1.0 decision=refused ground=no_room begin_ms=2000 aim_ms=250 caller=00ab daemon=edge-1 \
    hall=north back_ms=300 booked=true took_ms=0";
const EARLY: &str = "t=300.100 ev=request id=b-7 outcome=overloaded status=503 route=chat \
    urgency=1.0 decision=refused ground=early begin_ms=2000 aim_ms=250 return=early caller=00ab \
    daemon=edge-2 hall=south back_ms=200 booked=true took_ms=0";
const KEPT: &str = "t=300.700 ev=request id=b-9 outcome=answered status=200 route=chat urgency=1.0 \
    decision=late begin_ms=200 aim_ms=250 return=kept caller=00ab daemon=edge-3 hall=south \
    late=first took_ms=400";
/// The line of a daemon that passed `b-1` on to the one that refused it.
const PASSED: &str = "t=300.050 ev=request id=b-1 outcome=answered status=503 route=chat \
    peer=edge-1 took_ms=60";

fn explained(id: &str, lines: &[&str]) -> Explanation {
    explain(id, lines.iter().copied()).expect("the id is known")
}

fn ids(explanation: &Explanation) -> Vec<&str> {
    let attempts = explanation.attempts.iter();
    attempts.map(|attempt| attempt.id.as_str()).collect()
}

#[track_caller]
fn assert_explained(explanation: &Explanation, expected: &str) {
    let text = explanation.to_string();
    assert!(text.contains(expected), "{text}");
}

/// Guards against an explanation that leaves out a part of the reason or of the outcome.
#[test]
fn a_refusal_is_explained_with_all_attempts_of_its_caller() {
    let text = explained("b-7", &[KEPT, "no line", EARLY, "ev=request", FIRST]).to_string();
    let expected = "\
Request b-7 was refused: its caller came back before its booked time.
Its route is chat, with priority 0; its customer has priority 1 (lower is more urgent, the customer's counts first).
Its target would begin it after 2000 ms; the objective is 250 ms after the first attempt.
Its caller was asked to retry after 200 ms, which was booked.
Known attempts of its caller:
  +0 ms  b-1 at edge-1 in north: refused (no_room), asked to retry after 300 ms, which was booked
  +100 ms  b-7 at edge-2 in south: refused (early), asked to retry after 200 ms, which was booked
  +300 ms  b-9 at edge-3 in south: answered, with a late first event
";
    assert_eq!(text, expected);
}

/// Guards against an error for a request that was served, and one for an unknown id that is missing.
#[test]
fn a_request_that_was_served_is_explained_and_an_unknown_one_is_not() {
    let served = "t=300.7 ev=request id=s outcome=answered route=chat took_ms=9";
    let with_millis = served.replace("300.7 ", "300.700 ");
    let explanation = explained("s", &[&with_millis]);
    assert!(!explanation.refused);
    let text = explanation.to_string();
    assert!(
        text.starts_with("Request s was not refused: answered in time."),
        "{text}"
    );
    assert!(explain("b-2", [FIRST, EARLY].into_iter()).is_none());
}

/// Guards against attempts that are taken for those of one caller because all lack the field, because
/// another caller was served before, or because an identical request comes minutes later.
#[test]
fn attempts_of_other_callers_are_left_out() {
    let unranked = |id: &str| format!("t=300.000 ev=request id={id} outcome=no_group took_ms=0");
    let lines = [unranked("x"), unranked("y")];
    assert_eq!(ids(&explained("x", &[&lines[0], &lines[1]])), ["x"]);
    let again = FIRST.replace("t=300", "t=301").replace("b-1", "c-1");
    let later = FIRST.replace("t=300", "t=400").replace("b-1", "d-1");
    let lines = [FIRST, KEPT, &again, &later];
    assert_eq!(ids(&explained("b-1", &lines)), ["b-1", "b-9"]);
    assert_eq!(ids(&explained("c-1", &lines)), ["c-1"]);
}

/// Guards against a request that a peer refused and another one served being explained as refused.
#[test]
fn a_request_that_was_passed_on_is_explained_by_the_daemon_that_its_caller_asked() {
    let passed = "t=300.050 ev=request id=b-1 outcome=answered peer=edge-2 route=chat took_ms=50";
    assert!(!explained("b-1", &[passed, FIRST]).refused);
}

/// Guards against one request being shown as several attempts, as if its caller had retried: both
/// daemons of a request that was passed on log its refusal, and a file may be given twice.
#[test]
fn lines_with_the_same_id_are_one_attempt() {
    let asked = FIRST.replace(
        "decision=refused ground=no_room begin_ms=2000",
        "peer=edge-2",
    );
    let asked = asked
        .replace("t=300.000", "t=300.030")
        .replace("took_ms=0", "took_ms=30");
    let peer = FIRST.replace("t=300.000", "t=300.020");
    let peer = peer.replace("edge-1 hall=north", "edge-2 hall=south");
    let lines = [&asked, &peer, EARLY, KEPT, &asked, &peer, EARLY, KEPT];
    for lines in [lines.to_vec(), lines.into_iter().rev().collect()] {
        let explanation = explained("b-1", &lines);
        assert_eq!(ids(&explanation), ["b-1", "b-7", "b-9"]);
        assert_eq!(explanation.request.ground.as_deref(), Some("no_room"));
        let text = explanation.to_string();
        let expected =
            "  +0 ms  b-1 at edge-2 in south, passed on by edge-1: refused (no_room), asked";
        assert!(text.contains(expected), "{text}");
        assert_eq!(ids(&explained("b-9", &lines)), ["b-1", "b-7", "b-9"]);
    }
    // Both decisions are known, so the later one counts.
    let later = EARLY.replace("id=b-7", "id=b-1 peer=edge-1");
    let explanation = explained("b-1", &[&later, FIRST, KEPT]);
    assert_eq!(ids(&explanation), ["b-1", "b-9"]);
    assert_eq!(explanation.request.ground.as_deref(), Some("early"));
    let expected = "b-1 at edge-2 in south, passed on to edge-1: refused (early)";
    assert_explained(&explanation, expected);
}

/// Guards against a refusal by a peer being explained as an answer: the daemon that passed the request
/// on logs `answered` with the status of the peer's answer, without its own name.
#[test]
fn a_refusal_by_a_peer_is_explained_by_the_line_of_the_peer() {
    let explanation = explained("b-1", &[FIRST, PASSED]);
    assert!(explanation.refused);
    let expected = "b-1 at edge-1 in north, passed on by another daemon: refused (no_room)";
    assert_explained(&explanation, expected);
    let text = explained("b-1", &[PASSED]).to_string();
    let expected = "Whether request b-1 was refused is not known: answered with status 503 by a peer, \
        whose line is missing.";
    assert!(text.starts_with(expected), "{text}");
}

/// Guards against lost attempts of a caller whose request was passed on and served, since only the
/// peer's line has `caller`; the times are those at the daemon that the caller asked.
#[test]
fn a_request_that_a_peer_served_keeps_the_other_attempts_of_its_caller() {
    let asked = "t=300.700 ev=request id=b-9 outcome=answered status=200 peer=edge-3 late=first \
        took_ms=600";
    let explanation = explained("b-9", &[FIRST, KEPT, asked]);
    assert_eq!(ids(&explanation), ["b-1", "b-9"]);
    let text = explanation.to_string();
    let expected = "+100 ms  b-9 at edge-3 in south, passed on by another daemon: answered, with a";
    assert!(text.contains(expected), "{text}");
}

/// Guards against a killed daemon's missing lines that look like a first attempt.
#[test]
fn missing_lines_are_told() {
    let explanation = explained("b-1", &[FIRST, EARLY, KEPT]);
    assert_eq!(ids(&explanation), ["b-1", "b-7", "b-9"]);
    let missing = "lines are missing";
    assert!(!explanation.to_string().contains(missing));
    assert!(
        explained("b-7", &[EARLY, KEPT])
            .to_string()
            .contains(missing)
    );
    assert!(explained("b-9", &[KEPT]).to_string().contains(missing));
}

/// Guards against a retry that is called in time because its own line is not late: the objective
/// counts from the first attempt. Seen in the log of a process test.
#[test]
fn a_retry_is_late_by_the_time_since_the_first_attempt() {
    let kept = KEPT.replace("late=first", "first_ms=20");
    let text = explained("b-1", &[FIRST, &kept]).to_string();
    assert!(
        text.ends_with("answered, late from the first attempt on\n"),
        "{text}"
    );
    let soon = kept.replace("t=300.700", "t=300.620");
    let text = explained("b-1", &[FIRST, &soon]).to_string();
    assert!(text.ends_with("answered in time\n"), "{text}");
}

/// Guards against refusals that the ground does not explain, also of later versions.
#[test]
fn refusals_without_a_known_ground_name_what_the_line_tells() {
    let reason = |fields: &str| {
        let line = format!("t=1.000 ev=request id=a route=r took_ms=0 {fields}");
        let text = explained("a", &[&line]).to_string();
        text.lines().next().map(ToOwned::to_owned)
    };
    let found = reason("outcome=overloaded why=\"the targets' limits are used up\"");
    assert_eq!(
        found.as_deref(),
        Some("Request a was refused: the targets' limits are used up.")
    );
    let found = reason("outcome=overloaded ground=another");
    assert_eq!(
        found.as_deref(),
        Some("Request a was refused: ground another.")
    );
    let line = "t=1.000 ev=request id=a outcome=overloaded took_ms=0";
    let expected = "Its caller was given no specific retry time.";
    assert_explained(&explained("a", &[line]), expected);
}

/// Guards against lines without `caller` being left out for attempts other than the one asked for:
/// each id of a caller has to give the same attempts.
#[test]
fn other_attempts_are_joined_with_lines_that_lack_the_caller() {
    let lines = [PASSED, FIRST, EARLY];
    let explanation = explained("b-7", &lines);
    assert!(explanation.attempts[0].passed_on);
    assert_eq!(explanation.attempts, explained("b-1", &lines).attempts);
}
