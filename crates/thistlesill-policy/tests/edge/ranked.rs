//! Tests of the target and the priority of requests that were admitted by their rank.

use thistlesill_core::Millis;
use thistlesill_policy::edge::ranked::{engine_priority, is_early_enough};
use thistlesill_policy::edge::shortage::{AdmissionDecision, LATE_PRIORITY, Prospect, Urgency};

const AIM: Millis = Millis::new(250);

fn prospect(begin: f64, has_room: bool) -> Prospect {
    Prospect {
        begin,
        idle: 0.0,
        slots: 34,
        requests: 30,
        has_room,
        open_groups: 5,
    }
}

/// Guards against a usual choice that sends a request to another target than the only one that
/// begins it in time.
#[test]
fn a_request_goes_where_it_is_late_although_a_target_begins_it_in_time() {
    let (roomy, short) = (prospect(20.0, true), prospect(200.0, false));
    assert!(is_early_enough(240.0, &roomy, AIM));
    assert!(is_early_enough(260.0, &roomy, AIM), "as for other services");
    assert!(is_early_enough(220.0, &short, AIM));
    assert!(!is_early_enough(230.0, &short, AIM));
    assert!(!is_early_enough(255.0, &prospect(240.0, false), AIM));
}

/// Guards against late requests that delay those that can be in time, by having the priority of
/// their kind.
#[test]
fn a_late_request_overtakes_others_at_its_target() {
    let urgency = |customer, route| Urgency { customer, route };
    assert_eq!(
        engine_priority(urgency(0, 0), AdmissionDecision::Late),
        LATE_PRIORITY
    );
    assert_eq!(engine_priority(urgency(1, 2), AdmissionDecision::InTime), 5);
    assert!(urgency(9, 9).engine_priority() < LATE_PRIORITY);
}
