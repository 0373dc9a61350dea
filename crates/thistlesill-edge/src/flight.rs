//! Counts the requests in progress at each target, for this daemon and the owners.

use std::rc::Rc;

use thistlesill_core::edge::{Target, TargetId};
use thistlesill_policy::edge::owner::Scope;

use crate::peers::place;
use crate::state::Edge;

/// Counts a request as in progress at a target, until this value is dropped.
pub(crate) struct InFlight {
    edge: Rc<Edge>,
    target: TargetId,
    scope: Scope,
    unread: u32,
}

impl InFlight {
    /// Counts a request with a prompt of that many tokens. `predicted` is the expected time of its
    /// first event in milliseconds, if that is to be compared with the observed one.
    pub(crate) fn new(
        edge: &Rc<Edge>,
        target: &Target,
        prompt: u32,
        predicted: Option<f64>,
    ) -> Self {
        let now = edge.now();
        let mut loads = edge.loads.borrow_mut();
        loads.begin(target, prompt, predicted, now);
        drop(loads);
        let scope = Scope::of(target);
        place::send_counts(edge, &scope);
        Self {
            edge: edge.clone(),
            target: target.id.clone(),
            scope,
            unread: prompt,
        }
    }

    /// Records that the target has finished the prefill.
    pub(crate) fn end_prefill(&mut self) {
        let unread = std::mem::take(&mut self.unread);
        if unread > 0 {
            let now = self.edge.now();
            let mut loads = self.edge.loads.borrow_mut();
            loads.end_prefill(&self.target, unread, now);
            drop(loads);
            place::send_counts(&self.edge, &self.scope);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let edge = &self.edge;
        {
            let mut loads = edge.loads.borrow_mut();
            loads.cancel_prefill(&self.target, std::mem::take(&mut self.unread), edge.now());
            loads.end(&self.target);
        }
        place::send_counts(edge, &self.scope);
    }
}
