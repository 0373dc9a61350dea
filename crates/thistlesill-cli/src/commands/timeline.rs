//! `thistlesill timeline` and `explain request`.

use thistlesill_core::timeline::{Record, TimelineEvent};
use thistlesill_core::{GroupId, InstanceId, RequestId};

use super::to_json;
use crate::client::{Answer, Client};
use crate::explain::line;
use crate::failure::Failure;
use crate::flags::Timeline;
use crate::picture;

/// Events shown if not told.
const LAST: usize = 200;

/// The events of all daemons that answer, in one order.
async fn merged(client: &Client) -> Result<Vec<Record>, Failure> {
    let answers: Vec<Answer<Vec<Record>>> = client.get_all(None, "/admin/timeline").await;
    let mut records = Vec::new();
    let mut heard = false;
    for answer in answers {
        if let Ok(list) = answer.result {
            heard = true;
            records.extend(list);
        }
    }
    if !heard {
        return Err(Failure::Nobody {
            what: "daemon".to_owned(),
        });
    }
    records.sort_by(|a, b| (a.stamp, &a.node).cmp(&(b.stamp, &b.node)));
    Ok(records)
}

fn parse(id: &str) -> Result<RequestId, Failure> {
    id.parse().map_err(|_| Failure::Wrong {
        text: format!("`{id}` is no request id: 32 hexadecimal digits"),
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
    let skip = records.len().saturating_sub(args.last.unwrap_or(LAST));
    let records = &records[skip..];
    if let Some(path) = &args.svg {
        std::fs::write(path, picture::svg(records)).map_err(|e| Failure::Wrong {
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

/// The events of a request, and how the groups it went to came about.
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
    let zero = records.first().map_or(0, |r| r.stamp.wall);
    records.iter().map(|r| line(r, zero) + "\n").collect()
}

pub(super) async fn explain(client: &Client, id: &str, json: bool) -> Result<String, Failure> {
    let request = parse(id)?;
    let mut records = merged(client).await?;
    records.retain(|r| r.what.request() == Some(request));
    if records.is_empty() {
        return Err(Failure::NotFound {
            text: format!("no daemon remembers request {id}"),
        });
    }
    if json {
        return Ok(to_json(&records));
    }
    Ok(format!("{}{}\n", text(&records), verdict(&records)))
}

/// How a request ended, in words.
fn verdict(records: &[Record]) -> String {
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
