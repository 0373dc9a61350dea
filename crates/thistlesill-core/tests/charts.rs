//! Parsing of state charts, and the rejection of invalid ones.

use thistlesill_core::chart::{Chart, ChartError};
use thistlesill_core::symbols;

symbols! {
    /// The states of a door.
    Door {
        /// The door is open.
        Open = "open",
        /// The door is shut.
        Shut = "shut",
    }
}

symbols! {
    /// The events of a door.
    Push {
        /// Someone pushes the door.
        Push = "push",
        /// Someone pulls the door.
        Pull = "pull",
    }
}

const VALID: &str = r#"{"start": "shut", "states": {
    "open": {"push": "shut", "pull": "refuse"},
    "shut": {"push": "refuse", "pull": "open"}, // comment
}}"#;

fn parse(text: &str) -> Result<Chart<Door, Push>, ChartError> {
    Chart::parse("door", text)
}

#[test]
fn steps_follow_the_file() {
    let chart = parse(VALID).expect("a valid chart");
    assert_eq!(chart.start(), Door::Shut);
    assert_eq!(chart.step(Door::Shut, Push::Pull), Ok(Door::Open));
    let refused = chart.step(Door::Shut, Push::Push).expect_err("refused");
    assert_eq!(refused.to_string(), "event push refused in state shut");
}

#[test]
fn unknown_name() {
    let error = parse(&VALID.replace("\"push\": \"shut\"", "\"push\": \"shot\""));
    let expected = ChartError::Unknown {
        chart: "door",
        word: "shot".to_owned(),
    };
    assert_eq!(error.expect_err("refused"), expected);
}

#[test]
fn missing_pair() {
    let error = parse(&VALID.replace(", \"pull\": \"refuse\"", ""));
    let expected = ChartError::Missing {
        chart: "door",
        state: "open",
        event: "pull",
    };
    assert_eq!(error.expect_err("refused"), expected);
}

#[test]
fn unreachable_state() {
    let error = parse(&VALID.replace("\"pull\": \"open\"", "\"pull\": \"stay\""));
    let expected = ChartError::Unreachable {
        chart: "door",
        state: "open",
    };
    assert_eq!(error.expect_err("refused"), expected);
}

#[test]
fn syntax() {
    let error = parse("{\"start\": ").expect_err("refused");
    assert!(matches!(error, ChartError::Syntax { .. }));
}
