//! Reports of refused callers to the other owners of the same service and model.
//!
//! A caller's retry mostly reaches another daemon, often in another data centre, whose owner would
//! take it for a new caller.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use thistlesill_core::edge::Catalog;
use thistlesill_core::{Model, NodeId, ServiceName};
use thistlesill_policy::edge::owner::Scope;
use thistlesill_policy::edge::returns::CallerReport;

use super::link;
use super::packet::{Packet, RefusedCallers};
use crate::state::Edge;

/// Time for which reports are collected. The shortest retry time is 300 ms, so that a report
/// arrives before its caller.
const BATCH_TIME: Duration = Duration::from_millis(50);
/// Callers in one datagram, which may have 8 KB: a report takes 26 bytes if its times are below
/// 4 hours, and 36 bytes if they are below centuries.
const MAX_CALLERS: usize = 200;

/// Sends reports of refused callers, without end.
pub(crate) async fn run(edge: Rc<Edge>) {
    loop {
        edge.ranking.reports_added().await;
        tokio::time::sleep(BATCH_TIME).await;
        send_reports(&edge);
    }
}

fn send_reports(edge: &Edge) {
    let mut batches: HashMap<(ServiceName, Option<Model>), Vec<CallerReport>> = HashMap::new();
    for (scope, report) in edge.ranking.take_reports(edge.now()) {
        let batch = batches.entry((scope.service, scope.model)).or_default();
        batch.push(report);
    }
    for ((service, model), callers) in batches {
        let owners = other_owners(edge, &service, model.as_ref());
        for part in callers.chunks(MAX_CALLERS) {
            let packet = Packet::RefusedCallers(RefusedCallers {
                service: service.clone(),
                model: model.clone(),
                callers: part.to_vec(),
            });
            link::send_to_each(edge, &owners, &packet);
        }
    }
}

/// Returns the owner in each data centre, of the daemons other than this one. If this daemon is the
/// owner in its data centre, that is the daemon that becomes the owner when this one fails.
fn other_owners(edge: &Edge, service: &ServiceName, model: Option<&Model>) -> Vec<NodeId> {
    let (peers, own, now) = (edge.peers.borrow(), &edge.settings().hall, edge.now());
    let owner = |hall| {
        let scope = Scope {
            hall,
            service: service.clone(),
            model: model.cloned(),
        };
        scope.owner(peers.owners(&scope.hall, own, now)).cloned()
    };
    peers.halls().into_iter().filter_map(owner).collect()
}

/// Returns whether a service runs a model; `None` stands for requests without one.
fn serves(catalog: &Catalog, service: &ServiceName, model: Option<&Model>) -> bool {
    let engine = catalog.service(service).and_then(|s| s.engine.as_ref());
    let models = engine.map_or(&[][..], |e| &e.models[..]);
    model.is_none_or(|model| models.iter().any(|m| m.model == *model))
}

/// Records the reports of another daemon.
pub(crate) fn receive(edge: &Edge, reports: RefusedCallers) {
    let catalog = edge.catalog();
    let is_known = catalog.is_some_and(|c| {
        c.ranks_callers(&reports.service) && serves(&c, &reports.service, reports.model.as_ref())
    });
    if !is_known {
        return;
    }
    let scope = Scope {
        hall: edge.settings().hall.clone(),
        service: reports.service,
        model: reports.model,
    };
    edge.ranking.learn(&scope, reports.callers, edge.now());
}
