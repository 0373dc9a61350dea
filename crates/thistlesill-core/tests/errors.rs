//! The table from error kind to answer, and the documentation page that contains it.

use std::collections::BTreeSet;

use thistlesill_core::ErrorKind;
use thistlesill_core::error::{ErrorBody, Ran, Retry};

/// Returns the table as `docs/ERRORS.md` must contain it.
fn table() -> String {
    let mut out = String::from(
        "| kind | status | did it run | come back | sentence |\n| --- | --- | --- | --- | --- |\n",
    );
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        let ran = match answer.ran {
            Ran::No => "no",
            Ran::Unknown => "unknown",
            Ran::Yes => "yes",
        };
        let retry = match answer.retry {
            Retry::Never => "never".to_owned(),
            Retry::After(ms) => format!("after {ms}"),
        };
        let name = kind.name();
        let (status, text) = (answer.status, answer.text);
        out.push_str(&format!(
            "| `{name}` | {status} | {ran} | {retry} | {text} |\n"
        ));
    }
    out
}

#[test]
fn page_holds_the_table() {
    let path = format!("{}/../../docs/ERRORS.md", env!("CARGO_MANIFEST_DIR"));
    let page = std::fs::read_to_string(&path).expect("the page");
    if std::env::var_os("THISTLESILL_BLESS").is_some() && !page.contains(&table()) {
        let head = page.split("| kind |").next().unwrap_or_default().to_owned();
        std::fs::write(&path, head + &table()).expect("the page");
    }
    let page = std::fs::read_to_string(&path).expect("the page");
    assert!(
        page.contains(&table()),
        "docs/ERRORS.md differs from the code"
    );
}

#[test]
fn names_differ_and_match_the_encoding() {
    let names: BTreeSet<&str> = ErrorKind::ALL.iter().map(|k| k.name()).collect();
    assert_eq!(names.len(), ErrorKind::ALL.len());
    for kind in ErrorKind::ALL {
        let text = serde_json::to_string(kind).expect("kinds encode");
        assert_eq!(text, format!("\"{}\"", kind.name()));
    }
}

#[test]
fn come_back_only_where_it_helps() {
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        let transient = matches!(answer.status, 408 | 429 | 503 | 504);
        if answer.retry != Retry::Never {
            assert!(transient || answer.status == 409, "{kind}");
        }
    }
}

#[test]
fn better_estimate_replaces_the_table() {
    let body = ErrorBody::new(ErrorKind::Overloaded, Some(250.into()));
    assert_eq!(body.error.retry_after_ms, Some(250));
    let never = ErrorBody::new(ErrorKind::BadRequest, Some(250.into()));
    assert_eq!(never.error.retry_after_ms, None);
}
