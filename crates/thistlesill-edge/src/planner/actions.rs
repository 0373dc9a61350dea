//! Executes the planner's actions: orders and probes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use thistlesill_core::edge::{Order, OrderReply, TargetId};
use thistlesill_core::{Millis, ServiceName};
use thistlesill_net::lane::within;
use thistlesill_platform::engine;
use thistlesill_policy::edge::fleet::{FleetAction, FleetPlanner, ProbeOutcome};
use thistlesill_policy::edge::reach::FailureKind;

use super::Planner;
use crate::reach;

/// Time limit of an order; engines answer within some milliseconds.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// Time limit of a probe; a healthy engine answers within some milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(130);
/// Ratio of a target's step time to the usual one from which on the target is replaced in its
/// group, since a group is as slow as its slowest member. The replacement takes the group out of
/// service for about two seconds.
const SLOW_PACE_RATIO: f64 = 2.5;

impl Planner {
    /// Executes an action of a fleet planner in a task of its own.
    pub(super) fn execute(self: &Rc<Self>, service: &ServiceName, action: FleetAction) {
        let (planner, service) = (self.clone(), service.clone());
        tokio::task::spawn_local(async move {
            match action {
                FleetAction::SendOrder {
                    target,
                    address,
                    order,
                    reason,
                } => {
                    if planner.lease.borrow().term(planner.edge.now()).is_none() {
                        return;
                    }
                    let begun = planner.edge.now();
                    let reply =
                        engine::send_order(&target, address, &order, within(ORDER_TIMEOUT)).await;
                    let reply = planner.confirm_reply(&service, &target, reply, begun).await;
                    planner.log_order(&target, &order, &format!("{reply:?}"), reason);
                    planner.with_fleet(&service, |fleet, now| {
                        fleet.record_reply(&target, &order, reply, now);
                    });
                }
                FleetAction::Probe { target, address } => {
                    planner.probe(&service, &target, address).await;
                }
            }
            planner.edge.fleet_changed.notify_one();
        });
    }

    /// Probes a target, unless it requested a backoff from this daemon.
    async fn probe(&self, service: &ServiceName, target: &TargetId, address: SocketAddr) {
        let lines = &self.edge.lines;
        if self.edge.backoffs.is_active(target, self.edge.now()) {
            let line = lines.line("probe_skipped").with("target", target);
            line.with("why", "it requested a backoff").write();
            return;
        }
        let begun = self.edge.now();
        let report = engine::fetch_report(target, address, within(PROBE_TIMEOUT)).await;
        let is_confirmed = match &report {
            Ok(_) => {
                self.note_answer(target, begun);
                true
            }
            Err(error) => {
                let kind = reach::failure_kind(error);
                !reach::is_own_delay(&self.edge, kind, begun)
                    && self.confirm_failure(service, target, begun, kind).await
            }
        };
        let line = lines.line("probe").with("target", target);
        match &report {
            Ok(report) => line
                .with("alive", true)
                .with("running", report.running)
                .with("pace", report.pace)
                .with("orders_taken", report.orders_taken),
            Err(error) => line
                .with("alive", false)
                .with("confirmed", is_confirmed)
                .with("why", error),
        }
        .write();
        if !is_confirmed {
            return;
        }
        let outcome = report
            .as_ref()
            .map_or(ProbeOutcome::Unresponsive, |report| {
                let (incarnation, pace) = (report.incarnation, report.pace);
                ProbeOutcome::from_report(target, incarnation, pace, SLOW_PACE_RATIO)
            });
        self.with_fleet(service, |fleet, now| {
            fleet.record_probe(target, outcome, now);
            if let Ok(report) = &report
                && outcome != ProbeOutcome::Restarted
            {
                fleet.record_orders_taken(target, report.orders_taken, now);
            }
        });
    }

    /// Returns what an order's reply says of its target. That nothing listens there is only known
    /// if another target has answered since.
    async fn confirm_reply(
        &self,
        service: &ServiceName,
        target: &TargetId,
        reply: OrderReply,
        begun: Millis,
    ) -> OrderReply {
        match reply {
            OrderReply::Refused => {
                let kind = FailureKind::Unreached;
                if self.confirm_failure(service, target, begun, kind).await {
                    reply
                } else {
                    OrderReply::Unknown
                }
            }
            // An engine may leave an order unanswered although it is reached.
            OrderReply::Unknown => reply,
            _ => {
                self.note_answer(target, begun);
                reply
            }
        }
    }

    /// Records that a target answered on a connection that was opened at `begun`.
    fn note_answer(&self, target: &TargetId, begun: Millis) {
        let target = self.edge.registry.borrow().target(target).cloned();
        if let Some(target) = target {
            reach::note_answer(&self.edge, &target, begun);
        }
    }

    /// Returns whether the failure of an exchange that began at `begun` says something of its
    /// target: another target has answered since. Otherwise records it as a failure of the links.
    async fn confirm_failure(
        &self,
        service: &ServiceName,
        target: &TargetId,
        begun: Millis,
        kind: FailureKind,
    ) -> bool {
        if reach::is_confirmed(&self.edge, service, begun).await {
            return true;
        }
        let target = self.edge.registry.borrow().target(target).cloned();
        if let Some(target) = target {
            reach::note_failure(&self.edge, &target, begun, kind);
        }
        false
    }

    fn with_fleet(&self, service: &ServiceName, step: impl FnOnce(&mut FleetPlanner, Millis)) {
        if let Some(fleet) = self.fleets.borrow_mut().get_mut(service) {
            step(fleet, self.edge.now());
        }
    }

    fn log_order(&self, target: &TargetId, order: &Order, reply: &str, reason: &str) {
        metrics::counter!("thistlesill_edge_orders_total", "order" => order.name()).increment(1);
        let line = self.edge.lines.line("order");
        let line = line
            .with("order", order.name())
            .with("target", target)
            .with("reply", reply)
            .with("why", reason);
        match order {
            Order::Join {
                to,
                model,
                members,
                orders_taken,
            } => line
                .with("orders_taken", orders_taken)
                .with("group", &to.group)
                .with("epoch", to.epoch)
                .with("model", model)
                .with("members", members.len()),
            Order::Open(group) | Order::Cut(group) | Order::Close(group) | Order::Leave(group) => {
                line.with("group", &group.group).with("epoch", group.epoch)
            }
            Order::Stage(model) => line.with("model", model),
        }
        .write();
    }
}
