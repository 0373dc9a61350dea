//! Which weights the spare targets hold ready.
//!
//! A spare that has a model's weights on its host joins a group within a
//! second or two; one that has not needs a load from afar, ten times as long.

use std::collections::{BTreeMap, BTreeSet};

use thistlesill_core::edge::{ModelPlan, Order, Target};
use thistlesill_core::{DomainId, InstanceId, Millis, Model};

use super::demand::shortage;
use super::loads::most_calm;
use super::survey::Survey;
use super::{FleetAction, FleetPlanner, FleetView, SETTLE};

/// How much more another model must need a spare than the one whose weights
/// it holds before it loads the other's: a load takes a while, and the model
/// whose spare it was is without one at once.
const RESTAGE: f64 = 1.9;
/// What a model without groups in a domain counts there, in parts of a group.
const ABSENT: f64 = 0.1;
/// The largest shortage that counts, so that one model does not take all.
const MOST_SHORT: f64 = 3.0;

type Slot<'a> = (Option<&'a DomainId>, &'a Model);

/// What the domains' groups may need and what their spares hold.
struct Holdings<'a> {
    /// Members of groups, by domain and model.
    exposed: BTreeMap<Slot<'a>, usize>,
    /// Spares that hold a model's weights.
    ready: BTreeMap<Slot<'a>, usize>,
    /// How short each model is of groups.
    short: BTreeMap<&'a Model, f64>,
}

impl<'a> Holdings<'a> {
    fn ready(&self, slot: &Slot<'a>) -> usize {
        self.ready.get(slot).copied().unwrap_or(0)
    }

    /// How much a domain's groups of a model would lose for want of a spare.
    fn need(&self, domain: Option<&'a DomainId>, plan: &'a ModelPlan) -> f64 {
        let exposed = self.exposed.get(&(domain, &plan.model)).copied();
        let members = exposed.unwrap_or(0) as f64 + ABSENT * f64::from(plan.size);
        members * self.short.get(&plan.model).copied().unwrap_or(1.0)
    }

    /// What one more spare is worth. A second loss in the same domain, before
    /// there is another spare, is much less likely than the first.
    fn gain(&self, domain: Option<&'a DomainId>, plan: &'a ModelPlan) -> f64 {
        let ready = self.ready(&(domain, &plan.model)) as f64 + 1.0;
        self.need(domain, plan) / ready.powi(2)
    }

    /// What the last spare that there is is worth.
    fn worth(&self, domain: Option<&'a DomainId>, plan: &'a ModelPlan) -> f64 {
        let ready = self.ready(&(domain, &plan.model)).max(1) as f64;
        self.need(domain, plan) / ready.powi(2)
    }
}

impl FleetPlanner {
    /// Has spare targets hold ready the weights that their domain's groups
    /// may need.
    pub(super) fn stage(
        &mut self,
        view: &FleetView<'_>,
        survey: &Survey<'_>,
        free: &BTreeSet<InstanceId>,
        now: Millis,
        actions: &mut Vec<FleetAction>,
    ) {
        let settled = now - self.grown >= SETTLE;
        let late = settled && !self.held_back && self.loading(view) < most_calm(view.engine);
        if view.calm && !late {
            return;
        }
        let mut running = self.loading(view) + self.staging.len();
        let mut spares: Vec<&Target> = free.iter().filter_map(|id| view.targets.get(id)).collect();
        spares.sort_by(|a, b| a.id.cmp(&b.id));
        let mut holdings = self.holdings(view, survey, &spares);
        for target in spares {
            let Some(plan) = self.choose(view, &holdings, target) else {
                continue;
            };
            if !view.calm && !self.may_stage(view, running, now) {
                return;
            }
            running += 1;
            let domain = target.domain.as_ref();
            if let Some(held) = self.held(view, target) {
                let left = holdings.ready(&(domain, &held.model)).saturating_sub(1);
                holdings.ready.insert((domain, &held.model), left);
            }
            *holdings.ready.entry((domain, &plan.model)).or_default() += 1;
            self.loads.note(1, now);
            self.staging
                .insert(target.id.clone(), (plan.model.clone(), now));
            let (id, address) = (target.id.clone(), target.address);
            let order = Order::Stage(plan.model.clone());
            self.give(
                id,
                address,
                order,
                "a spare holds the weights ready",
                now,
                actions,
            );
        }
    }

    /// Whether one more spare may load weights while requests run. Groups
    /// that are formed need the weights sooner, so some room is left to them.
    fn may_stage(&mut self, view: &FleetView<'_>, running: usize, now: Millis) -> bool {
        let most = (view.engine.loads_once / 2).max(1);
        running < most && self.loads.allows(1, view.engine.loads_rate, now)
    }

    fn holdings<'a>(
        &self,
        view: &FleetView<'a>,
        survey: &Survey<'a>,
        spares: &[&'a Target],
    ) -> Holdings<'a> {
        let mut exposed: BTreeMap<Slot<'a>, usize> = BTreeMap::new();
        for (group, standing) in &survey.groups {
            let planned = self.planned.get(group).map(|p| &p.model);
            let planned = planned.and_then(|model| view.engine.plan(model));
            let plan = planned.or_else(|| standing.plan(view));
            let (Some(plan), true) = (plan, standing.is_alive() && !self.void.contains(group))
            else {
                continue;
            };
            for target in &standing.members {
                let slot = (target.domain.as_ref(), &plan.model);
                *exposed.entry(slot).or_default() += 1;
            }
        }
        let mut ready: BTreeMap<Slot<'a>, usize> = BTreeMap::new();
        for target in spares {
            if let Some(plan) = self.held(view, target) {
                let slot = (target.domain.as_ref(), &plan.model);
                *ready.entry(slot).or_default() += 1;
            }
        }
        let counts = self.count_groups(view, survey);
        let short = view.engine.models.iter().map(|plan| {
            let groups = counts.get(&plan.model).copied().unwrap_or(0);
            let short = shortage(view.engine, &plan.model, groups, self.most);
            (&plan.model, short.min(MOST_SHORT))
        });
        Holdings {
            exposed,
            ready,
            short: short.collect(),
        }
    }

    /// The model that a spare should load, if any.
    fn choose<'a>(
        &self,
        view: &FleetView<'a>,
        holdings: &Holdings<'a>,
        target: &'a Target,
    ) -> Option<&'a ModelPlan> {
        let domain = target.domain.as_ref();
        let gain = |plan: &&'a ModelPlan| holdings.gain(domain, plan);
        let plans = view.engine.models.iter();
        let best = plans.max_by(|a, b| gain(a).total_cmp(&gain(b)))?;
        let Some(held) = self.held(view, target) else {
            return Some(best);
        };
        let idle = !view.calm && !self.staging.contains_key(&target.id);
        let better = gain(&best) > RESTAGE * holdings.worth(domain, held);
        (idle && better && best.model != held.model).then_some(best)
    }

    /// The model that a spare holds or is about to hold on its host.
    fn held<'a>(&self, view: &FleetView<'a>, target: &Target) -> Option<&'a ModelPlan> {
        let staging = self.staging.get(&target.id).map(|(model, _)| model);
        let model = staging.or_else(|| target.staged.last())?;
        view.engine.plan(model)
    }
}
