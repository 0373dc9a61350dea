//! Holding the lease of the hall.

use std::sync::Arc;

use thistlesill_core::Millis;
use thistlesill_core::row::{lease_key, term_key};
use thistlesill_core::settings::{Context, Tree};
use thistlesill_core::timeline::TimelineEvent;

use super::{Flight, HallPlanner, ORDER_DELAY};
use crate::lease::{LeaseNews, LeaseStep};
use crate::plan::PlanAction;

impl HallPlanner {
    pub(super) fn tick_lease(&mut self, tree: Option<&Arc<Tree>>, now: Millis) {
        let (step, news) = self.lease.tick(now);
        self.news(news, now);
        match step {
            LeaseStep::Wait => {}
            LeaseStep::Read => {
                let hall = &self.options.hall;
                let prefixes = vec![lease_key(hall).into(), term_key(hall).into()];
                let flight = self.flight(Flight::LeaseRead);
                self.out.push(PlanAction::Read { flight, prefixes });
            }
            LeaseStep::Send(txn) => {
                let flight = self.flight(Flight::LeaseTxn);
                self.out.push(PlanAction::SendTxn { flight, txn });
            }
        }
        self.orders_quiet(tree, now);
    }

    pub(super) fn news(&mut self, news: LeaseNews, now: Millis) {
        match news {
            LeaseNews::None => {}
            LeaseNews::Gained { term } => {
                self.forget();
                self.gained = now;
                self.quiet = now + self.options.lease.length + ORDER_DELAY;
                self.note(TimelineEvent::LeaseGained {
                    hall: self.options.hall.clone(),
                    term,
                });
            }
            LeaseNews::Ended { term } => self.ended_term(term),
        }
    }

    /// Targets that check fences need no quiet time; the settings say which
    /// do. A first holder has nobody before it.
    pub(super) fn orders_quiet(&mut self, tree: Option<&Arc<Tree>>, now: Millis) {
        if self.quiet <= now {
            return;
        }
        let first = self.lease.term(now) == Some(1);
        let Some(tree) = tree else { return };
        let context = Context::default()
            .with_region(self.options.region.clone())
            .with_hall(self.options.hall.clone());
        let values = tree.resolve(&context);
        if first || values.checks_orders == Some(true) {
            self.quiet = now;
        } else if let Some(delay) = values.order_delay_ms {
            self.quiet = self.gained + self.options.lease.length + Millis::new(delay);
        }
    }

    pub(super) fn ended_term(&mut self, term: u64) {
        self.forget();
        self.note(TimelineEvent::LeaseEnded {
            hall: self.options.hall.clone(),
            term,
        });
    }

    pub(super) fn forget(&mut self) {
        self.loaded = false;
        self.groups.clear();
        self.held.clear();
        self.orders.clear();
        self.pools.clear();
        self.counter = 0;
        self.flights
            .retain(|_, f| matches!(f, Flight::LeaseRead | Flight::LeaseTxn));
    }
}
