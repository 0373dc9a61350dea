//! Tests that each late or refused request gets the cause that the daemons' log lines show.

use thistlesill_cli::losses::{Cause, read};

/// Returns the cause of the only loss in `lines`, if there is one.
fn cause(lines: &str) -> Option<Cause> {
    let losses = read(lines.lines());
    assert_eq!(losses.unread, 0, "{lines}");
    let route = losses.routes.get("r")?;
    assert!(route.losses.values().sum::<u64>() <= 1);
    route.losses.keys().next().copied()
}

/// Returns the last line of a request, with the fields in `rest`.
fn end(rest: &str) -> String {
    format!("t=100.250 ev=request id=a1 route=r {rest}")
}

#[test]
fn answers_in_time_and_what_nobody_allows_are_no_losses() {
    assert_eq!(cause(&end("outcome=answered status=200 took_ms=9")), None);
    assert_eq!(cause(&end("outcome=unauthorized status=401")), None);
}

#[test]
fn refusals_tell_whether_the_request_waited() {
    let refused = |ms: u64| cause(&end(&format!("outcome=overloaded status=503 took_ms={ms}")));
    assert_eq!(refused(3), Some(Cause::Overloaded));
    assert_eq!(refused(1_039), Some(Cause::WaitedRefused));
    assert_eq!(
        cause(&end("outcome=no_group status=503")),
        Some(Cause::NoGroup)
    );
    assert_eq!(
        cause(&end("outcome=not_ready status=503")),
        Some(Cause::NotReady)
    );
    assert_eq!(
        cause(&end("outcome=target_refused status=503")),
        Some(Cause::TargetShed)
    );
    assert_eq!(
        cause(&end("outcome=withheld status=503 print=0a1b")),
        Some(Cause::Withheld)
    );
}

/// Guards against refusals of ranked callers that are all counted as one cause.
#[test]
fn refusals_of_ranked_callers_are_counted_by_their_ground() {
    let refused = |ground: &str| {
        let fields = "outcome=overloaded status=503 took_ms=60 urgency=1.0 decision=refused";
        cause(&end(&format!("{fields} ground={ground} back_ms=410")))
    };
    assert_eq!(refused("less_urgent"), Some(Cause::LessUrgent));
    assert_eq!(refused("over_share"), Some(Cause::OverShare));
    assert_eq!(refused("no_room"), Some(Cause::NoRoom));
    assert_eq!(refused("early"), Some(Cause::EarlyRetry));
    // A daemon of a later version may name another ground.
    assert_eq!(refused("another"), Some(Cause::WaitedRefused));
    let late = |decision: &str| {
        let fields = "outcome=answered late=first sent_unread=0";
        cause(&end(&format!("{fields} decision={decision}")))
    };
    assert_eq!(late("late"), Some(Cause::AdmittedLate));
    assert_eq!(late("in_time"), Some(Cause::BusyTarget));
}

#[test]
fn a_late_first_event_is_explained_by_what_came_before() {
    let late = "outcome=answered status=200 late=first first_ms=700";
    let after = |why: &str| {
        let failed = format!("t=100.1 ev=attempt_failed id=a1 target=i-1 why=\"{why}\" next=again");
        cause(&format!("{failed}\n{}", end(late)))
    };
    assert_eq!(after("no answer begins"), Some(Cause::SilentTarget));
    assert_eq!(after("connection lost = gone"), Some(Cause::TargetFailed));
    let sent = |fields: &str| cause(&end(&format!("{late} {fields}")));
    assert_eq!(sent("sent_ms=300 sent_unread=0"), Some(Cause::Waited));
    assert_eq!(
        sent("sent_ms=1 sent_unread=9000"),
        Some(Cause::UnreadPrompts)
    );
    assert_eq!(sent("sent_ms=1 sent_unread=0"), Some(Cause::BusyTarget));
}

#[test]
fn a_late_pause_is_the_targets_the_prompts_or_the_callers() {
    let late = |fields: &str| cause(&end(&format!("outcome=answered late=pause {fields}")));
    let waited = "pause_ms=350 pause_waited_ms=340";
    assert_eq!(
        late(&format!("{waited} resumes=1")),
        Some(Cause::TargetLost)
    );
    assert_eq!(
        late(&format!("{waited} pause_unread=800")),
        Some(Cause::UnreadPrompts)
    );
    assert_eq!(late(waited), Some(Cause::BusyTarget));
    assert_eq!(
        late("pause_ms=350 pause_waited_ms=20"),
        Some(Cause::SlowCaller)
    );
}

#[test]
fn lines_may_come_in_any_order_with_words_before_them() {
    let resumed = "  12.5 edge-1 t=100.1 ev=stream_resumed id=a1 from=i-1 to=i-2";
    let end = end("outcome=answered late=pause pause_ms=350 pause_waited_ms=340");
    assert_eq!(cause(&format!("{end}\n{resumed}")), Some(Cause::TargetLost));
}

#[test]
fn losses_are_counted_by_route_and_second_and_strange_lines_are_told() {
    let lines = "t=100.9 ev=request id=a route=r outcome=no_group\n\
                 t=101.0 ev=request id=b route=r outcome=no_group\n\
                 t=101.2 ev=request id=c route=s outcome=answered\n\
                 not a line\n\n";
    let losses = read(lines.lines());
    assert_eq!(losses.routes["r"].losses[&Cause::NoGroup], 2);
    assert_eq!(losses.routes["s"].answered, 1);
    assert_eq!(
        losses.seconds.keys().copied().collect::<Vec<_>>(),
        [100, 101]
    );
    assert_eq!(losses.unread, 1);
    let table = losses.to_string();
    assert!(
        table.contains("r: 0 answered, 2 late or not served"),
        "{table}"
    );
    assert!(table.contains("1 lines are no daemon's"), "{table}");
}
