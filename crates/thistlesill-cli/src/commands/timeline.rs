//! `thistlesill timeline` and `explain request`.

use thistlesill_core::timeline::{Record, TimelineEvent};
use thistlesill_core::{GroupId, InstanceId, RequestId};

use super::to_json;
use crate::client::{Answer, Client};
use crate::explain::line;
use crate::failure::Failure;
use crate::flags::Timeline;
use crate::picture;

/// The default number of events that are shown.
const DEFAULT_EVENTS: usize = 200;

/// Returns the events of all daemons that answer, ordered by timestamp.
async fn merged(client: &Client) -> Result<Vec<Record>, Failure> {
    let answers: Vec<Answer<Vec<Record>>> = client.get_all(None, "/admin/timeline").await;
    let mut records = Vec::new();
    let mut answered = false;
    for answer in answers {
        if let Ok(list) = answer.result {
            answered = true;
            records.extend(list);
        }
    }
    if !answered {
        return Err(Failure::NoAnswer {
            what: "daemon".to_owned(),
        });
    }
    records.sort_by(|a, b| (a.stamp, &a.node).cmp(&(b.stamp, &b.node)));
    Ok(records)
}

fn parse(id: &str) -> Result<RequestId, Failure> {
    id.parse().map_err(|_| Failure::InvalidInput {
        text: format!("`{id}` is not a request id, which has 32 hexadecimal digits"),
    })
}

pub(super) async fn show(client: &Client, args: Timeline, json: bool) -> Result<String, Failure> {
    let mut records = merged(client).await?;
    if let Some(id) = &args.request {
        records = around_request(records, parse(id)?);
    }
    if let Some(name) = &args.group {
        records.retain(|r| r.what.group().is_some_and(|g| g.as_str() == name));
    }
    let skip = records
        .len()
        .saturating_sub(args.last.unwrap_or(DEFAULT_EVENTS));
    let records = &records[skip..];
    if let Some(path) = &args.svg {
        std::fs::write(path, picture::svg(records)).map_err(|e| Failure::InvalidInput {
            text: format!("{}: {e}", path.display()),
        })?;
        return Ok(format!(
            "{} events drawn in {}\n",
            records.len(),
            path.display()
        ));
    }
    if json {
        let lines = records.iter().filter_map(|r| serde_json::to_string(r).ok());
        return Ok(lines.map(|l| l + "\n").collect());
    }
    Ok(text(records))
}

/// Returns the events of a request, of the groups that the request was sent to, and the orders to
/// the members of these groups.
fn around_request(records: Vec<Record>, request: RequestId) -> Vec<Record> {
    let own = |r: &&Record| r.what.request() == Some(request);
    let groups: Vec<GroupId> = records
        .iter()
        .filter(own)
        .filter_map(|r| r.what.group().cloned())
        .collect();
    let members: Vec<InstanceId> = records
        .iter()
        .filter_map(|r| match &r.what {
            TimelineEvent::GroupPlanned { group, members, .. } if groups.contains(group) => {
                Some(members.clone())
            }
            _ => None,
        })
        .flatten()
        .collect();
    let related = |r: &Record| match &r.what {
        TimelineEvent::Ordered { instance, .. } => members.contains(instance),
        other if other.request().is_some() => other.request() == Some(request),
        other => other.group().is_some_and(|g| groups.contains(g)),
    };
    records.into_iter().filter(related).collect()
}

fn text(records: &[Record]) -> String {
    let start = records.first().map_or(0, |r| r.stamp.wall);
    records.iter().map(|r| line(r, start) + "\n").collect()
}

pub(super) async fn explain(client: &Client, id: &str, json: bool) -> Result<String, Failure> {
    let request = parse(id)?;
    let mut records = merged(client).await?;
    records.retain(|r| r.what.request() == Some(request));
    if records.is_empty() {
        return Err(Failure::NotFound {
            text: format!("no daemon has events of request {id}"),
        });
    }
    if json {
        return Ok(to_json(&records));
    }
    Ok(format!("{}{}\n", text(&records), summary(&records)))
}

/// Returns how often a request was sent and how it ended, as a sentence.
fn summary(records: &[Record]) -> String {
    let sends = records
        .iter()
        .filter(|r| matches!(r.what, TimelineEvent::Sent { .. }))
        .count();
    let end = records.iter().rev().find_map(|r| match &r.what {
        TimelineEvent::Completed { .. } => Some("it was answered whole".to_owned()),
        TimelineEvent::Failed { kind, .. } => {
            let answer = kind.answer();
            Some(format!("{} (ran: {:?})", answer.text, answer.ran).to_lowercase())
        }
        TimelineEvent::CallerGone { .. } => Some("its caller went away".to_owned()),
        _ => None,
    });
    let end = end.unwrap_or_else(|| "it has no final answer yet".to_owned());
    format!("sent {sends} times; {end}")
}
