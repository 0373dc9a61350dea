//! The settings tree: inheritance, validation and the positions of errors.

use std::collections::BTreeMap;

use thistlesill_core::settings::{Branch, Context, Cover, Tree, check, parse_file};
use thistlesill_fakes::seeded;

const VALID: &str = r#"{
  // The whole fleet.
  "branches": {
    "/": {
      "model": "m", "version": "1",
      "shapes": [{"generation": "a", "instances": 4}],
      "downtime_weight": 0.5, "presence_ms": 4000, "drain_ms": 1000,
      "slots": 8, "deadline_ms": 1000, "attempts": 3, "retry_percent": 20,
    },
    "/concord": {"covers": {"hall": "concord"}, "slots": 4},
    "/concord/old": {"covers": {"generation": "old"}, "slots": 2},
    "/lowell": {"covers": {"customer": "lowell"}, "adapter": "x"},
  },
}"#;

fn errors(text: &str) -> Vec<String> {
    let errors = parse_file("t.jsonc", text).expect_err("an invalid file");
    errors.iter().map(ToString::to_string).collect()
}

fn tree() -> Tree {
    Tree::new(
        1,
        parse_file("t.jsonc", VALID).expect("a valid file").branches,
    )
}

#[test]
fn later_covers_win() {
    let in_hall = Context::default().with_hall("concord".into());
    let old_generation = Context {
        generation: Some("old".into()),
        ..in_hall.clone()
    };
    assert_eq!(tree().resolve(&Context::default()).slots, Some(8));
    assert_eq!(tree().resolve(&in_hall).slots, Some(4));
    assert_eq!(tree().resolve(&old_generation).slots, Some(2));
    let other_hall = Context {
        hall: Some("keene".into()),
        ..old_generation
    };
    assert_eq!(tree().resolve(&other_hall).slots, Some(8));
}

#[test]
fn origins_name_the_branch() {
    let in_hall = Context::default()
        .with_hall("concord".into())
        .with_customer("lowell".into());
    let resolved = tree().explain(&in_hall);
    let origin = |name: &str| {
        let found = resolved.origins.iter().find(|o| o.name == name);
        found.map(|o| o.path.clone())
    };
    assert_eq!(origin("slots").as_deref(), Some("/concord"));
    assert_eq!(origin("adapter").as_deref(), Some("/lowell"));
    assert_eq!(origin("model").as_deref(), Some("/"));
}

#[test]
fn unknown_value_is_refused_with_the_nearest() {
    let text = VALID.replace("\"adapter\"", "\"adpater\"");
    let found = errors(&text);
    assert_eq!(found.len(), 1);
    assert!(found[0].starts_with("t.jsonc:12:"), "{found:?}");
    assert!(found[0].contains("did you mean `adapter`?"), "{found:?}");
}

#[test]
fn syntax_error_has_its_place() {
    let found = errors("{\n  \"branches\": {\n    \"/\": {,}\n}}");
    assert!(found[0].starts_with("t.jsonc:3:"), "{found:?}");
}

#[test]
fn wrong_type_has_its_place() {
    let found = errors(&VALID.replace("\"slots\": 4", "\"slots\": \"four\""));
    assert!(found[0].starts_with("t.jsonc:10:"), "{found:?}");
}

#[test]
fn missing_parent_names_the_nearest() {
    let found = errors(&VALID.replace("\"/concord/old\"", "\"/concrod/old\""));
    assert!(found[0].contains("did you mean `/concord`?"), "{found:?}");
    assert!(found[0].starts_with("t.jsonc:11:"), "{found:?}");
}

#[test]
fn faults_are_found_all_at_once() {
    let text = VALID
        .replace("0.5", "1.5")
        .replace("\"slots\": 2", "\"slots\": 0");
    assert_eq!(errors(&text).len(), 2);
}

#[test]
fn token_itself_is_refused() {
    let found = errors(&VALID.replace("\"adapter\": \"x\"", "\"token_sha256\": \"secret\""));
    assert!(found[0].contains("never the token"), "{found:?}");
}

#[test]
fn siblings_must_differ() {
    let mut branches = parse_file("t", VALID).expect("a valid file").branches;
    branches.insert("/other".to_owned(), branches["/concord"].clone());
    assert_eq!(check(&branches).len(), 1);
}

#[test]
fn diff_and_apply_agree() {
    let old = tree();
    let mut branches = old.branches().clone();
    branches.remove("/concord/old");
    branches.insert("/new".to_owned(), Branch::default());
    let diff = old.diff(&branches);
    assert_eq!(diff.changes.len(), 2);
    assert_eq!(old.apply(2, &diff).branches(), &branches);
}

#[test]
fn deployed_trees_are_sound() {
    for fleet in ["association", "cascade"] {
        let path = format!(
            "{}/../../deploy/{fleet}/settings.jsonc",
            env!("CARGO_MANIFEST_DIR")
        );
        let text = std::fs::read_to_string(&path).expect("a deployed tree");
        let file = parse_file(&path, &text).expect("a valid tree");
        let tree = Tree::new(1, file.branches);
        assert_eq!(tree.customers().len(), 10, "{fleet}");
    }
}

seeded! {
    fn any_text_is_refused(text: String) -> bool {
        parse_file("t", &text).is_err()
    }

    fn damaged_text_is_refused_or_still_sound(at: usize, byte: u8) -> bool {
        let mut bytes = VALID.as_bytes().to_vec();
        let at = at % bytes.len();
        bytes[at] = byte;
        let text = String::from_utf8_lossy(&bytes);
        match parse_file("t", &text) {
            Ok(file) => check(&file.branches).is_empty(),
            Err(errors) => !errors.is_empty(),
        }
    }

    fn deeper_branch_wins(root: u32, hall: Option<u32>, customer: Option<u32>) -> bool {
        let branch = |covers, slots| Branch { covers, slots, ..Branch::default() };
        let tree = Tree::new(1, BTreeMap::from([
            ("/".to_owned(), branch(None, Some(root))),
            ("/h".to_owned(), branch(Some(Cover::Hall("h".into())), hall)),
            ("/c".to_owned(), branch(Some(Cover::Customer("c".into())), customer)),
        ]));
        let context = Context::customer("c".into()).with_hall("h".into());
        tree.resolve(&context).slots == customer.or(hall).or(Some(root))
    }
}
