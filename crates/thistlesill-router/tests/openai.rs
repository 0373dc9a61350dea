//! Parsing of callers' completion requests, valid and invalid.

use bytes::Bytes;
use thistlesill_core::RequestId;
use thistlesill_fakes::seeded;
use thistlesill_router::openai::{Dialect, parse};

const CHAT: &str =
    r#"{"model": "m", "messages": [{"role": "user", "content": "hello"}], "stream": true}"#;

fn owned(bytes: &[u8]) -> Bytes {
    Bytes::copy_from_slice(bytes)
}

fn refusal(body: &str) -> String {
    parse(Dialect::Chat, owned(body.as_bytes()))
        .expect_err("an invalid body")
        .to_string()
}

#[test]
fn fields_are_passed_on() {
    let body = CHAT.replace("\"stream\"", "\"temperature\": 0.5, \"stream\"");
    let completion = parse(Dialect::Chat, owned(body.as_bytes())).expect("a valid body");
    assert!(completion.streamed);
    let text = String::from_utf8(completion.engine_body()).expect("text");
    assert!(text.contains("\"temperature\":0.5"), "{text}");
}

#[test]
fn continued_body_holds_what_was_said() {
    let completion = parse(Dialect::Chat, owned(CHAT.as_bytes())).expect("a valid body");
    let text = String::from_utf8(completion.continued_body("so far")).expect("text");
    assert!(
        text.contains(r#"{"content":"so far","role":"assistant"}"#),
        "{text}"
    );
}

#[test]
fn a_field_that_is_replaced_is_there_once() {
    let body = r#"{"stream": false, "model": "m", "prompt": "p", "continue_from": "x", "n": [1, {"stream": 2}]}"#;
    let completion = parse(Dialect::Text, owned(body.as_bytes())).expect("a valid body");
    let text = String::from_utf8(completion.continued_body("so \"far\"")).expect("text");
    let value: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    let wanted = serde_json::json!({
        "stream": true, "model": "m", "prompt": "p", "continue_from": "so \"far\"", "n": [1, {"stream": 2}],
    });
    assert_eq!(value, wanted);
    assert_eq!(text.matches("continue_from").count(), 1);
}

#[test]
fn escaped_names_and_texts_are_read() {
    let body = r#"{"mod\u0065l": "\u006d", "messages": [{"role": "user", "content": [1]}, {"role": "user", "content": "a\nb"}]}"#;
    let completion = parse(Dialect::Chat, owned(body.as_bytes())).expect("a valid body");
    assert_eq!(completion.model.to_string(), "m");
    let plain = r#"{"model": "m", "messages": [{"role": "user", "content": "a\nb"}]}"#;
    let same = parse(Dialect::Chat, owned(plain.as_bytes())).expect("a valid body");
    assert_eq!(completion.prefix, same.prefix);
}

#[test]
fn text_of_a_recorded_answer() {
    for dialect in [Dialect::Chat, Dialect::Text] {
        let body = r#"{"model": "m", "prompt": "p", "messages": [{"role": "user"}]}"#;
        let completion = parse(dialect, owned(body.as_bytes())).expect("a valid body");
        let answer = completion.complete_answer(RequestId::new(1), "said", 1, "stop");
        assert_eq!(completion.answer_text(&answer).as_deref(), Some("said"));
    }
}

#[test]
fn refusals_say_what_is_wrong() {
    assert!(refusal("nonsense").contains("not a JSON object"));
    assert!(refusal("[]").contains("not a JSON object"));
    assert!(refusal("{}").contains("`model`"));
    assert!(refusal(r#"{"model": "m"}"#).contains("`messages`"));
    assert!(refusal(r#"{"model": "m", "messages": []}"#).contains("empty"));
    assert!(refusal(r#"{"model": "m", "messages": [{}]}"#).contains("`role`"));
    assert!(refusal(&CHAT.replace("true", "\"yes\"")).contains("`stream`"));
    assert!(refusal(&CHAT.replace("\"user\"", "1")).contains("`role`"));
    assert!(refusal(&CHAT.replace("{\"model\"", "{\"stream\": true, \"model\"")).contains("twice"));
    let nested = format!("{}{}", "[".repeat(200), "]".repeat(200));
    assert!(refusal(&CHAT.replace("true", &nested)).contains("deep"));
    assert!(refusal(&format!("{CHAT} {{}}")).contains("not a JSON object"));
}

seeded! {
    fn any_bytes_are_read_or_refused(bytes: Vec<u8>) -> bool {
        parse(Dialect::Chat, owned(&bytes)).is_err() && parse(Dialect::Text, owned(&bytes)).is_err()
    }

    fn damaged_bodies_are_refused_or_passed_on_as_json(at: usize, byte: u8) -> bool {
        let mut bytes = CHAT.as_bytes().to_vec();
        let at = at % bytes.len();
        bytes[at] = byte;
        let read = parse(Dialect::Chat, owned(&bytes));
        read.is_err_and(|e| !e.text.is_empty())
            || parse(Dialect::Chat, owned(&bytes)).is_ok_and(|c| parse(Dialect::Chat, c.engine_body().into()).is_ok())
    }
}
