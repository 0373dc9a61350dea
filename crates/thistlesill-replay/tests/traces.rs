//! Replays the recorded traces and compares their measures with golden files.
//! `THISTLESILL_BLESS=1` rewrites the files.

use std::path::{Path, PathBuf};

use thistlesill_replay::measure::Measures;
use thistlesill_replay::player::{Decisions, play};
use thistlesill_replay::trace::load;

fn replay(name: &str) -> Measures {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR"));
    let trace = dir.join("traces").join(format!("{name}.jsonc"));
    let loaded = load(&trace, &dir.join("../../deploy")).expect("a valid trace");
    play(&loaded, Decisions::default())
}

fn compare(name: &str) -> Measures {
    let measures = replay(name);
    let path: PathBuf = [
        env!("CARGO_MANIFEST_DIR"),
        "tests/golden",
        &format!("{name}.json"),
    ]
    .iter()
    .collect();
    let actual = serde_json::to_string_pretty(&measures).expect("measures are valid JSON") + "\n";
    if std::env::var_os("THISTLESILL_BLESS").is_some() {
        std::fs::write(&path, &actual).expect("a golden file");
    }
    let expected = std::fs::read_to_string(&path).unwrap_or_default();
    assert_eq!(
        actual, expected,
        "{name}: the measures differ from the golden file"
    );
    measures
}

#[test]
fn association_bad_day() {
    let measures = compare("association-bad-day");
    assert!(measures.requests.lost <= 3, "{measures:?}");
    assert!(measures.late_percent < 0.5, "{measures:?}");
}

#[test]
fn cascade_bad_day() {
    let measures = compare("cascade-bad-day");
    assert!(measures.requests.lost <= 3, "{measures:?}");
    assert!(measures.late_percent < 0.5, "{measures:?}");
}

#[test]
fn association_evening() {
    let measures = compare("association-evening");
    assert!(measures.fairness.worst > 75.0, "{measures:?}");
}

#[test]
fn cascade_dawn() {
    let measures = compare("cascade-dawn");
    assert!(measures.fairness.worst > 45.0, "{measures:?}");
}
