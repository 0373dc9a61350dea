//! `thistlesill settings`.

use std::path::Path;

use rand::RngExt;
use serde_json::json;
use snafu::ResultExt;
use thistlesill_core::settings::{Branch, Context, TreeDiff, TreeFile, parse_file};
use thistlesill_core::{CustomerId, DomainId, Generation, HallId, RegionId, RequestId};

use super::to_json;
use crate::client::Client;
use crate::edit::{self, Current, EditRequest, Outcome};
use crate::failure::{Failure, UnreachableSnafu};
use crate::flags::{Check, Diff, Get, History, Put};
use crate::report::TextTable;

/// The default number of edits that `history` lists.
const DEFAULT_HISTORY: usize = 20;

pub(super) fn check(args: &Check, json: bool) -> Result<String, Failure> {
    let file = read(&args.file)?;
    let branches = file.branches.len();
    Ok(if json {
        to_json(&json!({"sound": true, "branches": branches}))
    } else {
        format!("{}: fine, {branches} branches\n", args.file.display())
    })
}

pub(super) async fn put(client: &Client, args: &Put, json: bool) -> Result<String, Failure> {
    let file = read(&args.file)?;
    let current = current(client).await?;
    let Some(base) = file.revision.or((current.head_version == 0).then_some(0)) else {
        return Err(Failure::InvalidInput {
            text: format!(
                "{}: `revision` is missing; it names the revision that the file was made from: \
                 start from the output of `settings get`",
                args.file.display()
            ),
        });
    };
    let request = EditRequest {
        base,
        branches: file.branches,
        edit: RequestId::new(rand::rng().random()),
        editor: args.editor.clone().unwrap_or_else(user),
        note: args.note.clone().unwrap_or_default(),
        rebase: args.rebase,
    };
    let outcome = edit::put(&client.platform, &request).await;
    let outcome = outcome.context(UnreachableSnafu { what: "platform" })?;
    report(outcome, base, json)
}

fn report(outcome: Outcome, base: u64, json: bool) -> Result<String, Failure> {
    match outcome {
        Outcome::Accepted { revision, changes } => Ok(if json {
            to_json(&json!({"revision": revision, "changes": changes.changes}))
        } else {
            format!("revision {revision} accepted\n{}", describe(&changes))
        }),
        Outcome::Unchanged { revision } => Ok(if json {
            to_json(&json!({"revision": revision, "changes": {}}))
        } else {
            format!("nothing to change; revision {revision} is in force\n")
        }),
        Outcome::Conflict {
            revision,
            theirs,
            both,
        } => Err(Failure::Conflict {
            text: conflict(base, revision, &theirs, &both),
        }),
        Outcome::Invalid { errors } => Err(Failure::InvalidInput {
            text: errors.join("\n"),
        }),
        Outcome::Unknown => Err(Failure::Unknown),
    }
}

fn conflict(base: u64, revision: u64, theirs: &TreeDiff, both: &[String]) -> String {
    let advice = if both.is_empty() {
        "no branch was changed by both: `--rebase` carries your changes over".to_owned()
    } else {
        format!("changed by both: {}", both.join(", "))
    };
    format!(
        "conflict: the file was made from revision {base}, {revision} is in force\n\
         changed since:\n{}{advice}",
        describe(theirs)
    )
}

pub(super) async fn get(client: &Client, args: Get, json: bool) -> Result<String, Failure> {
    let current = current(client).await?;
    if !args.resolved {
        let file = TreeFile {
            revision: Some(current.tree.revision()),
            branches: current.tree.branches().clone(),
        };
        return Ok(to_json(&file));
    }
    let context = Context {
        region: args.region.map(RegionId::from),
        hall: args.hall.map(HallId::from),
        domain: args.domain.map(DomainId::from),
        generation: args.generation.map(Generation::from),
        customer: args.customer.map(CustomerId::from),
    };
    let resolved = current.tree.explain(&context);
    if json {
        return Ok(to_json(&resolved));
    }
    let values = serde_json::to_value(&resolved.values).unwrap_or_default();
    let mut table = TextTable::new(&["value", "is", "set by"]);
    for origin in &resolved.origins {
        let value = values.get(&origin.name).map(ToString::to_string);
        table = table.row(vec![
            origin.name.clone(),
            value.unwrap_or_default(),
            origin.path.clone(),
        ]);
    }
    Ok(table.to_string())
}

pub(super) async fn diff(client: &Client, args: &Diff, json: bool) -> Result<String, Failure> {
    let file = read(&args.file)?;
    let current = current(client).await?;
    let diff = current.tree.diff(&file.branches);
    Ok(if json {
        to_json(&diff)
    } else if diff.changes.is_empty() {
        format!("no change to revision {}\n", current.tree.revision())
    } else {
        describe_against(&diff, &current)
    })
}

pub(super) async fn history(
    client: &Client,
    args: &History,
    json: bool,
) -> Result<String, Failure> {
    let current = current(client).await?;
    let newest = current.edits.iter().rev();
    let list: Vec<_> = newest.take(args.last.unwrap_or(DEFAULT_HISTORY)).collect();
    if json {
        return Ok(to_json(&list));
    }
    let mut table = TextTable::new(&["revision", "editor", "branches", "note"]);
    for edit in list {
        let paths: Vec<&str> = edit.changes.keys().map(String::as_str).collect();
        table = table.row(vec![
            edit.revision.to_string(),
            edit.editor.clone(),
            shorten(&paths),
            edit.note.clone(),
        ]);
    }
    Ok(table.to_string())
}

fn shorten(paths: &[&str]) -> String {
    match paths {
        [a, b, c, rest @ ..] if !rest.is_empty() => format!("{a} {b} {c} and {} more", rest.len()),
        few => few.join(" "),
    }
}

async fn current(client: &Client) -> Result<Current, Failure> {
    let read = edit::read(&client.platform).await;
    read.context(UnreachableSnafu { what: "platform" })
}

fn read(path: &Path) -> Result<TreeFile, Failure> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| Failure::InvalidInput {
        text: format!("{name}: {e}"),
    })?;
    parse_file(&name, &text).map_err(|errors| Failure::InvalidInput {
        text: errors
            .iter()
            .map(ToString::to_string)
            .collect::<Vec<_>>()
            .join("\n"),
    })
}

fn user() -> String {
    std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned())
}

fn describe(diff: &TreeDiff) -> String {
    let line = |(path, change): (&String, &Option<Branch>)| match change {
        Some(_) => format!("  ~ {path}\n"),
        None => format!("  - {path}\n"),
    };
    diff.changes.iter().map(line).collect()
}

/// Describes the changes of each branch, value by value.
fn describe_against(diff: &TreeDiff, current: &Current) -> String {
    let mut out = String::new();
    for (path, change) in &diff.changes {
        let old = current.tree.branches().get(path);
        match (old, change) {
            (Some(_), None) => out.push_str(&format!("- {path}\n")),
            (None, _) => out.push_str(&format!("+ {path}\n")),
            (Some(_), Some(_)) => out.push_str(&format!("~ {path}\n")),
        }
        let (was, is) = (as_value(old), as_value(change.as_ref()));
        let mut names: Vec<&String> = was.keys().chain(is.keys()).collect();
        names.sort();
        names.dedup();
        for name in names.into_iter().filter(|n| was.get(*n) != is.get(*n)) {
            let show = |v: Option<&serde_json::Value>| {
                v.map_or_else(|| "inherited".to_owned(), ToString::to_string)
            };
            out.push_str(&format!(
                "    {name}: {} -> {}\n",
                show(was.get(name)),
                show(is.get(name))
            ));
        }
    }
    out
}

fn as_value(branch: Option<&Branch>) -> serde_json::Map<String, serde_json::Value> {
    let value = branch.and_then(|b| serde_json::to_value(b).ok());
    match value {
        Some(serde_json::Value::Object(map)) => map,
        _ => serde_json::Map::new(),
    }
}
