//! Tests of the operators' client: help, errors, settings and views of the fleet.

use thistlesill_standins::harness::{Deployment, binary};

use crate::support::{serving, small_fleet};

fn run(arguments: &[&str]) -> (i32, String) {
    let output = std::process::Command::new(binary("thistlesill"))
        .args(arguments)
        .output()
        .expect("the client starts");
    let text = String::from_utf8_lossy(&output.stdout).into_owned()
        + &String::from_utf8_lossy(&output.stderr);
    (output.status.code().unwrap_or(-1), text)
}

#[test]
fn help_and_wrong_words() {
    let (code, text) = run(&["--help"]);
    assert_eq!(code, 0);
    assert!(
        text.contains("settings") && text.contains("Examples"),
        "{text}"
    );
    let (code, text) = run(&["setings", "get"]);
    assert_eq!(code, 2);
    assert!(text.contains("did you mean `settings`?"), "{text}");
    let (code, text) = run(&["timeline", "--requst", "x"]);
    assert_eq!(code, 2);
    assert!(text.contains("did you mean `--request`?"), "{text}");
    let (code, text) = run(&["status", "--fleet", "/nowhere.jsonc"]);
    assert_eq!(code, 2, "{text}");
    assert!(text.contains("/nowhere.jsonc"), "{text}");
}

#[test]
fn check_names_file_line_and_column() {
    let dir = std::env::temp_dir().join(format!("thistlesill-check-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let file = dir.join("bad.jsonc");
    std::fs::write(
        &file,
        "{\n  \"branches\": {\n    \"/\": {\"modle\": \"m\"}\n  }\n}\n",
    )
    .expect("a file");
    let (code, text) = run(&["settings", "check", &file.display().to_string()]);
    assert_eq!(code, 2);
    assert!(text.contains("bad.jsonc:3:"), "{text}");
    assert!(text.contains("did you mean `model`?"), "{text}");
    std::fs::remove_dir_all(&dir).expect("removed");
}

#[test]
fn daemons_check_their_settings_before_a_port_is_opened() {
    let deployment = Deployment::prepare(small_fleet());
    let config = deployment.dir.join("h-r0.jsonc");
    let check = |program: &str, contents: &str| {
        std::fs::write(&config, contents).expect("a file");
        let output = std::process::Command::new(binary(program))
            .arg(&config)
            .arg("--check")
            .output()
            .expect("the daemon starts");
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        (output.status.code(), stderr)
    };
    let good = std::fs::read_to_string(&config).expect("a file");
    assert_eq!(check("thistlesill-router", &good).0, Some(0));
    let (code, stderr) = check(
        "thistlesill-router",
        &good.replace("\"callers\"", "\"caller\""),
    );
    assert_eq!(code, Some(2));
    assert!(stderr.contains("did you mean `callers`?"), "{stderr}");
    let (code, stderr) = check(
        "thistlesill-router",
        &good.replace("\"lease_ms\": 2500", "\"lease_ms\": 25"),
    );
    assert_eq!(code, Some(2));
    assert!(stderr.contains("three times"), "{stderr}");
}

#[tokio::test]
async fn racing_operators_get_one_winner() {
    let deployment = serving().await;
    let (code, base) = deployment.cli(&["settings", "get"]);
    assert_eq!(code, 0);
    let write = |name: &str, text: String| {
        let path = deployment.dir.join(name);
        std::fs::write(&path, text).expect("a file");
        path.display().to_string()
    };
    let first = write(
        "first.jsonc",
        base.replace("\"slots\": 16", "\"slots\": 10"),
    );
    let second = write(
        "second.jsonc",
        base.replace("\"/nashua\": {", "\"/nashua\": {\"share\": 3,"),
    );
    let third = write(
        "third.jsonc",
        base.replace("\"slots\": 16", "\"slots\": 11"),
    );
    let (code, text) = deployment.cli(&["settings", "put", &first, "--note", "fewer"]);
    assert_eq!(code, 0, "{text}");
    let (code, text) = deployment.cli(&["settings", "put", &second]);
    assert_eq!(code, 3, "{text}");
    assert!(text.contains("--rebase"), "{text}");
    let (code, text) = deployment.cli(&["settings", "put", &second, "--rebase"]);
    assert_eq!(code, 0, "{text}");
    let (code, text) = deployment.cli(&["settings", "put", &third, "--rebase"]);
    assert_eq!(code, 3, "both edits changed the root branch: {text}");
    let (_, resolved) = deployment.cli(&["settings", "get", "--resolved", "--customer", "nashua"]);
    assert!(
        resolved
            .lines()
            .any(|l| l.starts_with("slots") && l.contains("10")),
        "{resolved}"
    );
    assert!(
        resolved
            .lines()
            .any(|l| l.starts_with("share") && l.contains("/nashua")),
        "{resolved}"
    );
    let (_, history) = deployment.cli(&["settings", "history"]);
    assert!(history.contains("fewer"), "{history}");
    let (_, json) = deployment.cli(&["--json", "settings", "history"]);
    let list: serde_json::Value = serde_json::from_str(&json).expect("JSON");
    assert_eq!(list.as_array().map(Vec::len), Some(3));
}

#[tokio::test]
async fn views_of_the_fleet() {
    let deployment = serving().await;
    let caller = deployment.caller(0, "lowell");
    let answer = caller
        .chat(
            thistlesill_standins::harness::AnswerMode::Complete,
            "m",
            "x",
            3,
        )
        .await
        .expect("an answer");
    for arguments in [
        vec!["groups"],
        vec!["instances"],
        vec!["status"],
        vec!["timeline"],
        vec!["explain", "request", &answer.request],
        vec!["timeline", "--request", &answer.request],
    ] {
        let (code, text) = deployment.cli(&arguments);
        assert_eq!(code, 0, "{arguments:?}: {text}");
        let json_arguments: Vec<&str> = ["--json"].into_iter().chain(arguments.clone()).collect();
        let (code, text) = deployment.cli(&json_arguments);
        assert_eq!(code, 0, "{arguments:?}");
        let first = text.lines().next().unwrap_or_default();
        assert!(first.starts_with(['{', '[']), "{arguments:?}: {text}");
    }
    let (code, text) = deployment.cli(&["explain", "group", "h-1.9"]);
    assert_eq!(code, 1);
    assert!(text.contains("did you mean `h-1."), "{text}");
    let (code, _) = deployment.cli(&["explain", "request", &"0".repeat(32)]);
    assert_eq!(code, 1);
}
