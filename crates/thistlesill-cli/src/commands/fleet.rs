//! `thistlesill groups`, `instances`, `status`, `drain` and `explain group`.

use std::collections::BTreeMap;

use serde_json::json;
use thistlesill_core::config::Role;
use thistlesill_policy::plan::{GroupInfo, HallInfo};
use thistlesill_policy::planner::{InstanceInfo, PlannerStatus};
use thistlesill_policy::router::Status;
use thistlesill_policy::serving::{IncompleteReason, ServerList};

use super::to_json;
use crate::client::{Answer, Client, not_found};
use crate::failure::Failure;
use crate::report::TextTable;

/// Returns the plan of each hall, from the planner that holds the hall's lease if one answers.
async fn plans(client: &Client) -> Result<Vec<HallInfo>, Failure> {
    let answers: Vec<Answer<Vec<HallInfo>>> =
        client.get_all(Some(Role::Planner), "/admin/groups").await;
    let mut found: BTreeMap<String, HallInfo> = BTreeMap::new();
    let mut answered = false;
    for answer in answers {
        let Ok(halls) = answer.result else { continue };
        answered = true;
        for hall in halls {
            let known = found.get(hall.hall.as_str());
            if known.is_none_or(|k| !k.holding) {
                found.insert(hall.hall.to_string(), hall);
            }
        }
    }
    if answered {
        Ok(found.into_values().collect())
    } else {
        Err(Failure::NoAnswer {
            what: "planner".to_owned(),
        })
    }
}

async fn server_lists(client: &Client) -> Vec<Answer<ServerList>> {
    client.get_all(Some(Role::Router), "/admin/groups").await
}

/// Returns the number of routers that see a group as complete, and of those that answered.
fn count_complete(server_lists: &[Answer<ServerList>], group: &GroupInfo) -> (usize, usize) {
    let answered = server_lists.iter().filter_map(|a| a.result.as_ref().ok());
    let complete = answered.clone().filter(|r| {
        let mut servers = r.servers.iter();
        servers.any(|s| s.key.group == group.group && s.key.epoch == group.epoch)
    });
    (complete.count(), answered.count())
}

pub(super) async fn groups(client: &Client, json: bool) -> Result<String, Failure> {
    let plans = plans(client).await?;
    let server_lists = server_lists(client).await;
    if json {
        return Ok(to_json(&plans));
    }
    let mut table = TextTable::new(&[
        "group", "domain", "state", "size", "model", "version", "adapters", "whole at",
    ]);
    for group in plans.iter().flat_map(|p| &p.groups) {
        let (complete, answered) = count_complete(&server_lists, group);
        table = table.row(vec![
            group.group.to_string(),
            group.domain.to_string(),
            format!("{:?}", group.state).to_lowercase(),
            group.members.len().to_string(),
            group.load.model.to_string(),
            group.load.version.to_string(),
            group.load.adapters.len().to_string(),
            format!("{complete} of {answered} routers"),
        ]);
    }
    let mut out = table.to_string();
    for plan in plans.iter().filter(|p| !p.holding) {
        out.push_str(&format!("{}: no planner holds the lease\n", plan.hall));
    }
    for pool in plans.iter().flat_map(|p| &p.pools) {
        out.push_str(&format!("free in {}: {}\n", pool.domain, pool.why));
    }
    Ok(out)
}

pub(super) async fn instances(client: &Client, json: bool) -> Result<String, Failure> {
    let answers: Vec<Answer<Vec<InstanceInfo>>> = client
        .get_all(Some(Role::Planner), "/admin/instances")
        .await;
    let Some(list) = answers.into_iter().find_map(|a| a.result.ok()) else {
        return Err(Failure::NoAnswer {
            what: "planner".to_owned(),
        });
    };
    if json {
        return Ok(to_json(&list));
    }
    let mut table = TextTable::new(&[
        "instance",
        "hall",
        "domain",
        "generation",
        "state",
        "group",
        "leaving",
        "fresh",
    ]);
    for info in &list {
        let seen = &info.seen;
        let member = seen.state.membership();
        let state = format!("{:?}", seen.state);
        let state = state.split(['(', ' ']).next().unwrap_or_default();
        table = table.row(vec![
            seen.instance.to_string(),
            seen.hall.to_string(),
            seen.domain.to_string(),
            seen.generation.to_string(),
            state.to_lowercase(),
            member.map_or_else(|| "-".to_owned(), |m| m.group.to_string()),
            if seen.leaving { "yes" } else { "no" }.to_owned(),
            if info.fresh { "yes" } else { "no" }.to_owned(),
        ]);
    }
    Ok(table.to_string())
}

pub(super) async fn status(client: &Client, json: bool) -> Result<String, Failure> {
    let routers: Vec<Answer<Status>> = client.get_all(Some(Role::Router), "/admin/status").await;
    let planners: Vec<Answer<PlannerStatus>> =
        client.get_all(Some(Role::Planner), "/admin/status").await;
    if json {
        let router = |a: &Answer<Status>| json!({"name": a.name, "status": a.result.as_ref().ok()});
        let planner =
            |a: &Answer<PlannerStatus>| json!({"name": a.name, "status": a.result.as_ref().ok()});
        return Ok(to_json(&json!({
            "routers": routers.iter().map(router).collect::<Vec<_>>(),
            "planners": planners.iter().map(planner).collect::<Vec<_>>(),
        })));
    }
    let mut router_table = TextTable::new(&[
        "router",
        "settings",
        "under way",
        "groups",
        "retries",
        "ready",
    ]);
    for answer in &routers {
        let cells = match &answer.result {
            Ok(s) => vec![
                answer.name.to_string(),
                s.revision.to_string(),
                s.under_way.to_string(),
                format!("{} whole, {} not", s.servers, s.incomplete),
                format!("{} of {}", s.retries, s.firsts),
                if s.ready { "yes" } else { "no" }.to_owned(),
            ],
            Err(error) => vec![answer.name.to_string(), error.to_string()],
        };
        router_table = router_table.row(cells);
    }
    let mut planner_table = TextTable::new(&["planner", "settings", "watches", "holds"]);
    for answer in &planners {
        let cells = match &answer.result {
            Ok(s) => vec![
                answer.name.to_string(),
                s.revision.to_string(),
                format!("{} of {}", s.watched, s.listed),
                s.holds
                    .iter()
                    .map(thistlesill_core::HallId::as_str)
                    .collect::<Vec<_>>()
                    .join(" "),
            ],
            Err(error) => vec![answer.name.to_string(), error.to_string()],
        };
        planner_table = planner_table.row(cells);
    }
    Ok(format!("{router_table}\n{planner_table}"))
}

pub(super) async fn drain(client: &Client, name: &str, json: bool) -> Result<String, Failure> {
    client.drain(name).await?;
    Ok(if json {
        to_json(&json!({"draining": name}))
    } else {
        format!("{name} takes no new requests soon and exits when all have ended\n")
    })
}

pub(super) async fn explain(client: &Client, name: &str, json: bool) -> Result<String, Failure> {
    let plans = plans(client).await?;
    let server_lists = server_lists(client).await;
    let all: Vec<&GroupInfo> = plans.iter().flat_map(|p| &p.groups).collect();
    let Some(group) = all.iter().find(|g| g.group.as_str() == name) else {
        return Err(not_found(
            "group",
            name,
            all.iter().map(|g| g.group.as_str()),
        ));
    };
    if json {
        return Ok(to_json(group));
    }
    let (complete, answered) = count_complete(&server_lists, group);
    let mut out = format!(
        "{name}: epoch {}, {} instances of {}, {}\n  runs {} {} with {} adapters\n  whole at {complete} of {answered} routers\n",
        group.epoch,
        group.members.len(),
        group.domain,
        format!("{:?}", group.state).to_lowercase(),
        group.load.model,
        group.load.version,
        group.load.adapters.len(),
    );
    if let Some(why) = group.why {
        out.push_str(&format!("  is to end: {why:?}\n"));
    }
    for wait in &group.waits {
        out.push_str(&format!("  {wait}\n"));
    }
    for answer in &server_lists {
        let Ok(list) = &answer.result else { continue };
        let incomplete = list
            .incomplete
            .iter()
            .filter(|i| i.key.group == group.group);
        for reason in incomplete.flat_map(|i| &i.lacks) {
            out.push_str(&format!("  {}: {}\n", answer.name, reason_text(reason)));
        }
    }
    Ok(out)
}

fn reason_text(reason: &IncompleteReason) -> String {
    match reason {
        IncompleteReason::Unreported { rank } => format!("no member reports rank {rank}"),
        IncompleteReason::Loading { instance } => format!("{instance} loads weights"),
        IncompleteReason::Draining { instance } => format!("{instance} takes nothing new"),
        IncompleteReason::Stale { instance } => format!("the report of {instance} is too old"),
        IncompleteReason::Leaving { instance } => format!("{instance} is leaving"),
        IncompleteReason::Doubled { rank } => format!("two instances report rank {rank}"),
    }
}
