//! Validation of a whole settings tree, required before the tree is accepted.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::tree::parent;
use super::{Branch, Cover, ROOT, Values};
use crate::suggest::nearest;

/// Largest number of branches in a tree.
const MAX_BRANCHES: usize = 100_000;
/// Largest number of members of a group.
const MAX_MEMBERS: u32 = 256;
/// Length of a SHA-256 in hexadecimal.
const SHA256_CHARS: usize = 64;
/// Values that the root branch must set, since every group or request needs them.
const ROOT_VALUES: &[&str] = &[
    "model",
    "version",
    "shapes",
    "downtime_weight",
    "presence_ms",
    "drain_ms",
    "slots",
    "deadline_ms",
    "attempts",
    "retry_percent",
];

/// A violation of the rules for settings trees.
#[derive(Debug, Clone, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[snafu(display("branch `{path}`: {text}"))]
pub struct Fault {
    /// Path of the branch.
    pub path: String,
    /// Name of the wrong value, if the fault is in a single one.
    pub field: Option<String>,
    /// What is wrong, and what is required instead.
    pub text: String,
}

impl Fault {
    fn new(path: &str, field: Option<&str>, text: String) -> Self {
        Self {
            path: path.to_owned(),
            field: field.map(str::to_owned),
            text,
        }
    }
}

/// Returns all faults of a tree; the tree may be accepted if there are none.
pub fn check(branches: &BTreeMap<String, Branch>) -> Vec<Fault> {
    let mut faults = Vec::new();
    check_root(branches, &mut faults);
    if branches.len() > MAX_BRANCHES {
        let text = format!("{} branches; the limit is {MAX_BRANCHES}", branches.len());
        faults.push(Fault::new(ROOT, None, text));
    }
    for (path, branch) in branches {
        check_path(branches, path, &mut faults);
        check_values(path, branch, &mut faults);
    }
    check_siblings(branches, &mut faults);
    check_tokens(branches, &mut faults);
    faults
}

fn check_root(branches: &BTreeMap<String, Branch>, faults: &mut Vec<Fault>) {
    let Some(root) = branches.get(ROOT) else {
        let text = "the root branch `/` is missing".to_owned();
        faults.push(Fault::new(ROOT, None, text));
        return;
    };
    if root.covers.is_some() {
        let text = "the root covers the whole fleet; remove `covers`".to_owned();
        faults.push(Fault::new(ROOT, Some("covers"), text));
    }
    let set = root.values().set_names();
    for name in ROOT_VALUES.iter().filter(|n| !set.contains(n)) {
        let text = format!("the root must set `{name}`");
        faults.push(Fault::new(ROOT, None, text));
    }
}

fn check_path(branches: &BTreeMap<String, Branch>, path: &str, faults: &mut Vec<Fault>) {
    let well_formed =
        path == ROOT || (path.starts_with('/') && path[1..].split('/').all(valid_part));
    if !well_formed {
        let text = "a path is `/` or parts of letters, digits, `-`, `_` and `.`, each after a `/`";
        faults.push(Fault::new(path, None, text.to_owned()));
        return;
    }
    let Some(up) = parent(path) else { return };
    if !branches.contains_key(up) {
        let hint = nearest(up, branches.keys().map(String::as_str))
            .map_or(String::new(), |p| format!("; did you mean `{p}`?"));
        let text = format!("its parent `{up}` does not exist{hint}");
        faults.push(Fault::new(path, None, text));
    }
}

fn valid_part(part: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !part.is_empty() && part.chars().all(is_allowed)
}

fn check_values(path: &str, branch: &Branch, faults: &mut Vec<Fault>) {
    let values = branch.values();
    let mut fault = |field: &str, text: &str| {
        faults.push(Fault::new(path, Some(field), text.to_owned()));
    };
    if values
        .downtime_weight
        .is_some_and(|w| !(0.0..=1.0).contains(&w))
    {
        fault("downtime_weight", "`downtime_weight` must be from 0 to 1");
    }
    if values
        .shapes
        .as_ref()
        .is_some_and(|s| s.iter().any(|s| !(1..=MAX_MEMBERS).contains(&s.instances)))
    {
        fault("shapes", "`instances` of a shape must be from 1 to 256");
    }
    if values.token_sha256.as_ref().is_some_and(|t| !is_sha256(t)) {
        fault(
            "token_sha256",
            "`token_sha256` must be 64 hexadecimal digits: the SHA-256 of the token, never the token",
        );
    }
    if values.token_sha256.is_some() && !matches!(branch.covers, Some(Cover::Customer(_))) {
        fault(
            "token_sha256",
            "only a branch that covers a customer has a token",
        );
    }
    for (name, zero) in zero_values(&values) {
        if zero {
            fault(name, &format!("`{name}` must be above 0"));
        }
    }
    if values.retry_percent.is_some_and(|p| p > 100) {
        fault("retry_percent", "`retry_percent` must be from 0 to 100");
    }
}

fn zero_values(values: &Values) -> [(&'static str, bool); 7] {
    [
        ("presence_ms", values.presence_ms == Some(0)),
        ("slots", values.slots == Some(0)),
        ("loads", values.loads == Some(0)),
        ("deadline_ms", values.deadline_ms == Some(0)),
        ("first_token_ms", values.first_token_ms == Some(0)),
        ("attempts", values.attempts == Some(0)),
        ("share", values.share == Some(0)),
    ]
}

fn is_sha256(text: &str) -> bool {
    text.len() == SHA256_CHARS && text.chars().all(|c| c.is_ascii_hexdigit())
}

fn check_siblings(branches: &BTreeMap<String, Branch>, faults: &mut Vec<Fault>) {
    let mut seen: HashMap<(&str, &Cover), &str> = HashMap::new();
    for (path, branch) in branches {
        let (Some(up), Some(cover)) = (parent(path), &branch.covers) else {
            continue;
        };
        if let Some(other) = seen.insert((up, cover), path) {
            let text = format!("covers the same as its sibling `{other}`; merge the two");
            faults.push(Fault::new(path, Some("covers"), text));
        }
    }
}

fn check_tokens(branches: &BTreeMap<String, Branch>, faults: &mut Vec<Fault>) {
    let mut owner: HashMap<&str, &Cover> = HashMap::new();
    for (path, branch) in branches {
        let (Some(token), Some(cover)) = (&branch.token_sha256, &branch.covers) else {
            continue;
        };
        let other = owner.insert(token, cover);
        if other.is_some_and(|o| o != cover) {
            let text = "another customer has the same token".to_owned();
            faults.push(Fault::new(path, Some("token_sha256"), text));
        }
    }
}
