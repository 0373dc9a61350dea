//! The lease of the hall, and the quiet period after it was gained.

use std::sync::Arc;

use thistlesill_core::Millis;
use thistlesill_core::row::{lease_key, term_key};
use thistlesill_core::settings::{Context, Tree};
use thistlesill_core::timeline::TimelineEvent;

use super::{DEFAULT_ORDER_DELAY, Flight, HallPlanner};
use crate::lease::{LeaseChange, LeaseStep};
use crate::plan::PlanAction;

impl HallPlanner {
    pub(super) fn tick_lease(&mut self, tree: Option<&Arc<Tree>>, now: Millis) {
        let (step, change) = self.lease.tick(now);
        self.apply_lease_change(change, now);
        match step {
            LeaseStep::Wait => {}
            LeaseStep::Read => {
                let hall = &self.options.hall;
                let prefixes = vec![lease_key(hall).into(), term_key(hall).into()];
                let flight = self.start_flight(Flight::LeaseRead);
                self.out.push(PlanAction::Read { flight, prefixes });
            }
            LeaseStep::Send(txn) => {
                let flight = self.start_flight(Flight::LeaseTxn);
                self.out.push(PlanAction::SendTxn { flight, txn });
            }
        }
        self.update_quiet_period(tree, now);
    }

    pub(super) fn apply_lease_change(&mut self, change: LeaseChange, now: Millis) {
        match change {
            LeaseChange::None => {}
            LeaseChange::Gained { term } => {
                self.clear_plan();
                self.gained_at = now;
                self.quiet_until = now + self.options.lease.length + DEFAULT_ORDER_DELAY;
                self.note(TimelineEvent::LeaseGained {
                    hall: self.options.hall.clone(),
                    term,
                });
            }
            LeaseChange::Ended { term } => self.end_term(term),
        }
    }

    /// Ends or adjusts the quiet period according to the settings.
    ///
    /// Targets that check fences need no quiet period; the settings say which do. The first holder
    /// of a lease needs none either, because nobody sent orders before.
    pub(super) fn update_quiet_period(&mut self, tree: Option<&Arc<Tree>>, now: Millis) {
        if self.quiet_until <= now {
            return;
        }
        let first = self.lease.term(now) == Some(1);
        let Some(tree) = tree else { return };
        let context = Context::default()
            .with_region(self.options.region.clone())
            .with_hall(self.options.hall.clone());
        let values = tree.resolve(&context);
        if first || values.checks_orders == Some(true) {
            self.quiet_until = now;
        } else if let Some(delay) = values.order_delay_ms {
            self.quiet_until = self.gained_at + self.options.lease.length + Millis::new(delay);
        }
    }

    pub(super) fn end_term(&mut self, term: u64) {
        self.clear_plan();
        self.note(TimelineEvent::LeaseEnded {
            hall: self.options.hall.clone(),
            term,
        });
    }

    pub(super) fn clear_plan(&mut self) {
        self.plan_loaded = false;
        self.groups.clear();
        self.held.clear();
        self.orders.clear();
        self.pools.clear();
        self.epoch_counter = 0;
        self.flights
            .retain(|_, f| matches!(f, Flight::LeaseRead | Flight::LeaseTxn));
    }
}
