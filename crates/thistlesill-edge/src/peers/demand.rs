//! As planner: the demand that the daemons report.

use thistlesill_core::{Millis, Model, ServiceName};
use thistlesill_policy::edge::fleet::Demand;
use thistlesill_policy::edge::shortage::Urgency;

use super::Peers;
use super::packet::{DemandReport, UrgentDemand};

/// Shortest time between two demand reports of a daemon: groups follow the demand within seconds.
const MIN_DEMAND_INTERVAL: Millis = Millis::new(1_000);
/// Tenths of a millisecond between two demand reports, for each daemon. The planner then receives
/// 660 reports a second.
const DEMAND_INTERVAL_TENTHS_MS: u64 = 15;

impl Peers {
    /// Returns the time between two demand reports of a daemon.
    pub(crate) fn demand_interval(&self) -> Millis {
        MIN_DEMAND_INTERVAL.max(Millis::new(
            DEMAND_INTERVAL_TENTHS_MS * self.daemon_count() as u64 / 10,
        ))
    }

    /// Returns how long a demand report stays valid: two reports in a row may be lost.
    fn demand_timeout(&self) -> Millis {
        Millis::new(self.demand_interval().get() * 7 / 2)
    }

    /// Records a peer's demand report.
    pub(crate) fn record_demand_report(&mut self, report: DemandReport, now: Millis) {
        self.demand_reports
            .insert(report.from.clone(), (now, report));
        let timeout = self.demand_timeout();
        self.demand_reports.retain(|_, (at, _)| now - *at < timeout);
    }

    /// Returns the demand for one service that peers reported.
    pub(crate) fn demand(&self, service: &ServiceName, now: Millis) -> Demand {
        let timeout = self.demand_timeout();
        let fresh = self
            .demand_reports
            .values()
            .filter(|(at, _)| now - *at < timeout);
        let all = fresh.flat_map(|(_, report)| &report.work);
        let mut demand = Demand::new();
        for (_, model, work) in all.filter(|(name, _, _)| name == service) {
            *demand.entry(Model::clone(model)).or_default() += f64::from(*work);
        }
        demand
    }

    /// Records the urgency of a peer's demand.
    pub(crate) fn record_urgent_demand(&mut self, report: UrgentDemand, now: Millis) {
        self.urgent_demand
            .insert(report.from.clone(), (now, report));
        let timeout = self.demand_timeout();
        self.urgent_demand.retain(|_, (at, _)| now - *at < timeout);
    }

    /// Returns the urgency of the demand for one service that peers reported, by model, with the
    /// work that each of them reported.
    pub(crate) fn urgent_demand(
        &self,
        service: &ServiceName,
        now: Millis,
    ) -> Vec<(Model, Urgency, f64)> {
        let timeout = self.demand_timeout();
        let fresh = self.urgent_demand.iter();
        let fresh = fresh.filter(|(_, (at, _))| now - *at < timeout);
        let reported = fresh.flat_map(|(from, (_, report))| {
            let models = report.work.iter().filter(|(name, ..)| name == service);
            models.filter_map(move |(_, model, customer, route)| {
                let (_, demand) = self.demand_reports.get(from)?;
                let mut work = demand.work.iter();
                let (_, _, work) = work.find(|(s, m, _)| s == service && m == model)?;
                let urgency = Urgency {
                    customer: *customer,
                    route: *route,
                };
                Some((model.clone(), urgency, f64::from(*work)))
            })
        });
        reported.collect()
    }
}
