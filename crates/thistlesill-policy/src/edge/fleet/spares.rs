//! Which weights the idle targets hold ready.
//!
//! A target that has a model's weights on its host joins a group within a
//! second or two; one that has not needs a load from afar, ten times as long.
//! So while requests run, groups are formed of targets that hold the weights,
//! and the others load first. The weight store serves a few loads at full
//! rate; more at once would only make each last longer, so the load that helps
//! most is begun first.

use std::collections::{BTreeMap, BTreeSet};

use thistlesill_core::edge::{ModelPlan, Order, Target, TargetId};
use thistlesill_core::{DomainId, Millis, Model};

use super::demand::shortage;
use super::forming::BELOW_FAIR;
use super::loads::most_calm;
use super::survey::Survey;
use super::{DOMAIN_SETTLE_TIME, FleetAction, FleetPlanner, FleetView};

/// How much more another model must need a target than the one whose weights
/// it holds before it loads the other's: a load takes a while, and the model
/// whose spare it was is without one at once.
const RESTAGE: f64 = 1.9;
/// What a model without groups in a domain counts there, in parts of a group.
const ABSENT: f64 = 0.1;
/// The largest shortage that counts, so that one model does not take all.
const MOST_SHORT: f64 = 3.0;
/// How much more a group counts that could serve now than one that would have
/// a spare if it lost a member.
const COMPLETES: f64 = 4.0;

type Slot<'a> = (Option<&'a DomainId>, &'a Model);

/// What the domains' groups may need and what their idle targets hold.
struct Holdings<'a> {
    /// Members of groups, by domain and model.
    exposed: BTreeMap<Slot<'a>, usize>,
    /// Idle targets that hold a model's weights, or soon will.
    ready: BTreeMap<Slot<'a>, usize>,
    /// Idle targets, by domain.
    idle: BTreeMap<Option<&'a DomainId>, usize>,
    /// How short each model is of groups.
    short: BTreeMap<&'a Model, f64>,
}

impl<'a> Holdings<'a> {
    fn ready(&self, slot: &Slot<'a>) -> usize {
        self.ready.get(slot).copied().unwrap_or(0)
    }

    fn short(&self, plan: &ModelPlan) -> f64 {
        self.short.get(&plan.model).copied().unwrap_or(1.0)
    }

    /// How much a domain's groups of a model would lose for want of a spare.
    fn need(&self, domain: Option<&'a DomainId>, plan: &'a ModelPlan) -> f64 {
        let exposed = self.exposed.get(&(domain, &plan.model)).copied();
        let members = exposed.unwrap_or(0) as f64 + ABSENT * f64::from(plan.size);
        members * self.short(plan)
    }

    /// What the last of `ready` spares of a model is worth. A second loss in
    /// the same domain, before there is another spare, is much less likely
    /// than the first.
    fn worth(&self, domain: Option<&'a DomainId>, plan: &'a ModelPlan, ready: usize) -> f64 {
        self.need(domain, plan) / (ready.max(1) as f64).powi(2)
    }

    /// What one more spare of a model is worth.
    fn gain(&self, domain: Option<&'a DomainId>, plan: &'a ModelPlan) -> f64 {
        self.worth(domain, plan, self.ready(&(domain, &plan.model)) + 1)
    }

    /// What it is worth that one more idle target holds a model's weights,
    /// where the idle targets suffice for a group that is wanted.
    fn completion(&self, domain: Option<&'a DomainId>, plan: &'a ModelPlan) -> f64 {
        let (size, ready) = (plan.size as usize, self.ready(&(domain, &plan.model)));
        let idle = self.idle.get(&domain).copied().unwrap_or(0);
        if self.short(plan) < BELOW_FAIR || idle < size || ready >= size {
            return 0.0;
        }
        let missing = (size - ready) as f64;
        COMPLETES * f64::from(plan.size) * self.short(plan) / missing
    }

    fn note(&mut self, domain: Option<&'a DomainId>, plan: &'a ModelPlan) {
        *self.ready.entry((domain, &plan.model)).or_default() += 1;
    }

    fn forget(&mut self, domain: Option<&'a DomainId>, plan: &'a ModelPlan) {
        let ready = self.ready.entry((domain, &plan.model)).or_default();
        *ready = ready.saturating_sub(1);
    }
}

/// A load that an idle target could begin.
struct Load<'a> {
    target: &'a Target,
    plan: &'a ModelPlan,
    gain: f64,
}

impl FleetPlanner {
    /// Has idle targets load the weights that their domain's groups need, or
    /// may need.
    pub(super) fn stage(
        &mut self,
        view: &FleetView<'_>,
        survey: &Survey<'_>,
        free: &BTreeSet<TargetId>,
        now: Millis,
        actions: &mut Vec<FleetAction>,
    ) {
        let settled = now - self.grown >= DOMAIN_SETTLE_TIME;
        let late = settled && !self.held_back && self.loading(view) < most_calm(view.engine);
        if view.before_traffic && !late {
            return;
        }
        let idle: Vec<&Target> = free.iter().filter_map(|id| view.targets.get(id)).collect();
        let mut holdings = self.holdings(view, survey, &idle);
        while view.before_traffic || self.may_load(view, now) {
            let Some(load) = self.best_load(view, &holdings, &idle) else {
                if view.before_traffic {
                    self.stage_members(view, survey, now, actions);
                }
                return;
            };
            let (target, plan) = (load.target, load.plan);
            let domain = target.domain.as_ref();
            for held in self.evicted(view, target) {
                holdings.forget(domain, held);
            }
            holdings.note(domain, plan);
            self.loads.note(1, now);
            let why = "an idle target holds the weights ready";
            self.give_load(target, plan, why, now, actions);
        }
    }

    /// Has a target load a model's weights to its host.
    pub(super) fn give_load(
        &mut self,
        target: &Target,
        plan: &ModelPlan,
        why: &'static str,
        now: Millis,
        actions: &mut Vec<FleetAction>,
    ) {
        let model = plan.model.clone();
        self.staging.insert(target.id.clone(), (model.clone(), now));
        let (id, address) = (target.id.clone(), target.address);
        self.give(id, address, Order::Stage(model), why, now, actions);
    }

    /// Whether one more target may load weights while requests run.
    pub(super) fn may_load(&mut self, view: &FleetView<'_>, now: Millis) -> bool {
        let most = view.engine.concurrent_loads.max(1);
        self.staging.len() < most && self.loads.allows(1, view.engine.loads_rate, now)
    }

    fn holdings<'a>(
        &self,
        view: &FleetView<'a>,
        survey: &Survey<'a>,
        idle: &[&'a Target],
    ) -> Holdings<'a> {
        let counts = self.count_groups(view, survey);
        let short = view.engine.models.iter().map(|plan| {
            let groups = counts.get(&plan.model).copied().unwrap_or(0);
            let short = shortage(view, plan, groups, self.usable);
            (&plan.model, short.min(MOST_SHORT))
        });
        let mut holdings = Holdings {
            exposed: self.exposed(view, survey),
            ready: BTreeMap::new(),
            idle: BTreeMap::new(),
            short: short.collect(),
        };
        for target in idle {
            let domain = target.domain.as_ref();
            *holdings.idle.entry(domain).or_default() += 1;
            for plan in &view.engine.models {
                if self.holds(target, plan) {
                    holdings.note(domain, plan);
                }
            }
        }
        holdings
    }

    /// Members of groups that serve or will serve, by domain and model.
    fn exposed<'a>(&self, view: &FleetView<'a>, survey: &Survey<'a>) -> BTreeMap<Slot<'a>, usize> {
        let mut exposed: BTreeMap<Slot<'a>, usize> = BTreeMap::new();
        for (group, standing) in &survey.groups {
            let planned = self.planned.get(group).map(|p| &p.model);
            let planned = planned.and_then(|model| view.engine.plan(model));
            let plan = planned.or_else(|| standing.plan(view));
            let idle = self.void.contains(group) || self.standby.contains(group);
            let (Some(plan), true) = (plan, standing.is_alive() && !idle) else {
                continue;
            };
            for target in &standing.members {
                let slot = (target.domain.as_ref(), &plan.model);
                *exposed.entry(slot).or_default() += 1;
            }
        }
        exposed
    }

    /// The load that helps most, if any helps.
    fn best_load<'a>(
        &self,
        view: &FleetView<'a>,
        holdings: &Holdings<'a>,
        idle: &[&'a Target],
    ) -> Option<Load<'a>> {
        let able = idle.iter().filter(|t| !self.staging.contains_key(&t.id));
        let loads = able.flat_map(|target| {
            let plans = view.engine.models.iter();
            plans.filter_map(|plan| self.weigh(view, holdings, target, plan))
        });
        loads.max_by(|a, b| {
            let gain = a.gain.total_cmp(&b.gain);
            gain.then(b.target.id.cmp(&a.target.id))
        })
    }

    /// What it would help if a target loaded a model's weights.
    fn weigh<'a>(
        &self,
        view: &FleetView<'a>,
        holdings: &Holdings<'a>,
        target: &'a Target,
        plan: &'a ModelPlan,
    ) -> Option<Load<'a>> {
        if self.is_warm(target, plan) {
            return None;
        }
        let domain = target.domain.as_ref();
        let mut held = self.evicted(view, target).peekable();
        let spare = holdings.gain(domain, plan);
        if held.peek().is_none() {
            let gain = spare.max(holdings.completion(domain, plan));
            return Some(Load { target, plan, gain });
        }
        let lost = held.map(|p| holdings.worth(domain, p, holdings.ready(&(domain, &p.model))));
        let lost = lost.fold(0.0, f64::max);
        let better = !view.before_traffic && spare > RESTAGE * lost;
        better.then_some(Load {
            target,
            plan,
            gain: spare,
        })
    }

    /// Whether an idle target holds a model's weights or soon will.
    fn holds(&self, target: &Target, plan: &ModelPlan) -> bool {
        match self.staging.get(&target.id) {
            Some((model, _)) => *model == plan.model || self.is_loaded(target, plan),
            None => self.is_warm(target, plan),
        }
    }

    /// The models whose weights a target loses if it loads others to its host.
    fn evicted<'a>(
        &self,
        view: &FleetView<'a>,
        target: &'a Target,
    ) -> impl Iterator<Item = &'a ModelPlan> {
        let staged = move |plan: &&ModelPlan| target.staged.contains(&plan.model);
        let plans = view.engine.models.iter().filter(staged);
        plans.filter(|plan| !self.is_loaded(target, plan))
    }
}
