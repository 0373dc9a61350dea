//! Selection of the weights that idle targets stage on their hosts.
//!
//! A target with a model's weights on its host joins a group within a second or two. One without
//! them must load them from the weight store, which takes ten times as long. So while requests run,
//! groups are formed of targets that hold the weights, and the others load first. The weight store
//! serves a few loads at full rate, and more at once would only make each take longer, so the load
//! with the largest gain starts first.

use std::collections::{BTreeMap, BTreeSet};

use thistlesill_core::edge::{ModelPlan, Order, Target, TargetId};
use thistlesill_core::{DomainId, Millis, Model};

use super::demand::{Precedence, is_rationed, precedence, shortage};
use super::forming::SHORTAGE_THRESHOLD;
use super::loads::max_initial_loads;
use super::survey::Survey;
use super::{DOMAIN_SETTLE_TIME, FleetAction, FleetPlanner, FleetView};

/// Factor by which another model must need a target more than the model whose weights the target
/// holds before it loads the other's weights. A load takes a while, and the model that loses the
/// spare lacks it at once.
const RESTAGE_FACTOR: f64 = 1.9;
/// Weight of a model without groups in a domain, as a ratio of a group.
const ABSENT_GROUP_WEIGHT: f64 = 0.1;
/// Largest shortage that counts, so that one model does not take all spares.
const MAX_SHORTAGE: f64 = 3.0;
/// How much more a group that could serve now counts than a group that would have a spare if it
/// lost a member.
const COMPLETION_WEIGHT: f64 = 4.0;

type DomainModelKey<'a> = (Option<&'a DomainId>, &'a Model);

/// The groups' members and the weights on idle targets, by domain.
struct Holdings<'a> {
    /// Members of groups, by domain and model.
    member_counts: BTreeMap<DomainModelKey<'a>, usize>,
    /// Idle targets that hold a model's weights, or soon will.
    ready: BTreeMap<DomainModelKey<'a>, usize>,
    /// Idle targets, by domain.
    idle: BTreeMap<Option<&'a DomainId>, usize>,
    /// How short each model is of groups.
    short: BTreeMap<&'a Model, f64>,
    /// The order in which models that lack groups get them; empty unless targets are rationed.
    precedence: BTreeMap<&'a Model, Precedence>,
}

impl<'a> Holdings<'a> {
    fn ready(&self, slot: &DomainModelKey<'a>) -> usize {
        self.ready.get(slot).copied().unwrap_or(0)
    }

    fn short(&self, plan: &ModelPlan) -> f64 {
        self.short.get(&plan.model).copied().unwrap_or(1.0)
    }

    /// Returns how much a domain's groups of a model would lose if there were no spare.
    fn need(&self, domain: Option<&'a DomainId>, plan: &'a ModelPlan) -> f64 {
        let members = self.member_counts.get(&(domain, &plan.model)).copied();
        let members = members.unwrap_or(0) as f64 + ABSENT_GROUP_WEIGHT * f64::from(plan.size);
        members * self.short(plan)
    }

    /// Returns the value of the last of `ready` spares of a model. A second loss in the same
    /// domain, before there is another spare, is much less likely than the first.
    fn value(&self, domain: Option<&'a DomainId>, plan: &'a ModelPlan, ready: usize) -> f64 {
        self.need(domain, plan) / (ready.max(1) as f64).powi(2)
    }

    /// Returns the value of one more spare of a model.
    fn gain(&self, domain: Option<&'a DomainId>, plan: &'a ModelPlan) -> f64 {
        self.value(domain, plan, self.ready(&(domain, &plan.model)) + 1)
    }

    /// Returns the value of one more idle target with a model's weights where the idle targets
    /// suffice for a group that is needed.
    fn completion_value(&self, domain: Option<&'a DomainId>, plan: &'a ModelPlan) -> f64 {
        let (size, ready) = (plan.size as usize, self.ready(&(domain, &plan.model)));
        let idle = self.idle.get(&domain).copied().unwrap_or(0);
        if self.short(plan) < SHORTAGE_THRESHOLD || idle < size || ready >= size {
            return 0.0;
        }
        let missing = (size - ready) as f64;
        COMPLETION_WEIGHT * f64::from(plan.size) * self.short(plan) / missing
    }

    /// Returns whether idle targets give up a model's weights for a group that `plan` lacks. While
    /// targets are rationed, a group that could serve counts more than spares for groups of a model
    /// that lacks none, or that comes after it.
    fn yields(&self, held: &ModelPlan, plan: &ModelPlan) -> bool {
        let (Some(own), Some(other)) = (
            self.precedence.get(&plan.model),
            self.precedence.get(&held.model),
        ) else {
            return false;
        };
        self.short(held) < SHORTAGE_THRESHOLD || own < other
    }

    fn add(&mut self, domain: Option<&'a DomainId>, plan: &'a ModelPlan) {
        *self.ready.entry((domain, &plan.model)).or_default() += 1;
    }

    fn remove(&mut self, domain: Option<&'a DomainId>, plan: &'a ModelPlan) {
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
    /// Orders idle targets to load the weights that the groups of their domain need, or may need.
    pub(super) fn stage_weights(
        &mut self,
        view: &FleetView<'_>,
        survey: &Survey<'_>,
        free: &BTreeSet<TargetId>,
        now: Millis,
        actions: &mut Vec<FleetAction>,
    ) {
        let is_settled = now - self.last_appeared >= DOMAIN_SETTLE_TIME;
        let may_stage = is_settled
            && !self.formation_deferred
            && self.count_loading(view) < max_initial_loads(view.engine);
        if view.before_traffic && !may_stage {
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
                holdings.remove(domain, held);
            }
            holdings.add(domain, plan);
            self.load_rate.record_starts(1, now);
            let reason = "an idle target stages the weights";
            self.order_load(target, plan, reason, now, actions);
        }
    }

    /// Orders a target to load a model's weights to its host.
    pub(super) fn order_load(
        &mut self,
        target: &Target,
        plan: &ModelPlan,
        reason: &'static str,
        now: Millis,
        actions: &mut Vec<FleetAction>,
    ) {
        let model = plan.model.clone();
        self.staging.insert(target.id.clone(), (model.clone(), now));
        let (id, address) = (target.id.clone(), target.address);
        self.send_order(id, address, Order::Stage(model), reason, now, actions);
    }

    /// Returns whether one more target may load weights while requests run.
    pub(super) fn may_load(&mut self, view: &FleetView<'_>, now: Millis) -> bool {
        let max_loads = view.engine.concurrent_loads.max(1);
        self.staging.len() < max_loads && self.load_rate.allows(1, view.engine.loads_rate, now)
    }

    fn holdings<'a>(
        &self,
        view: &FleetView<'a>,
        survey: &Survey<'a>,
        idle: &[&'a Target],
    ) -> Holdings<'a> {
        let counts = self.count_groups(view, survey);
        let groups = |plan: &ModelPlan| counts.get(&plan.model).copied().unwrap_or(0);
        let targets = self.target_counts;
        let plans = view.engine.models.iter();
        let short = plans.clone().map(|plan| {
            let short = shortage(view, plan, groups(plan), targets);
            (&plan.model, short.min(MAX_SHORTAGE))
        });
        let rationed = plans.filter(|_| is_rationed(view, targets));
        let precedence =
            rationed.map(|plan| (&plan.model, precedence(view, plan, groups(plan), targets)));
        let mut holdings = Holdings {
            member_counts: self.count_members(view, survey),
            ready: BTreeMap::new(),
            idle: BTreeMap::new(),
            short: short.collect(),
            precedence: precedence.collect(),
        };
        for target in idle {
            let domain = target.domain.as_ref();
            *holdings.idle.entry(domain).or_default() += 1;
            for plan in &view.engine.models {
                if self.holds(target, plan) {
                    holdings.add(domain, plan);
                }
            }
        }
        holdings
    }

    /// Counts the members of groups that serve or will serve, by domain and model.
    fn count_members<'a>(
        &self,
        view: &FleetView<'a>,
        survey: &Survey<'a>,
    ) -> BTreeMap<DomainModelKey<'a>, usize> {
        let mut members: BTreeMap<DomainModelKey<'a>, usize> = BTreeMap::new();
        for (group, observed) in &survey.groups {
            let planned = self.planned.get(group).map(|p| &p.model);
            let planned = planned.and_then(|model| view.engine.plan(model));
            let plan = planned.or_else(|| observed.plan(view));
            let idle = self.ended_groups.contains(group) || self.standby.contains(group);
            let (Some(plan), true) = (plan, observed.can_serve() && !idle) else {
                continue;
            };
            for target in &observed.members {
                let slot = (target.domain.as_ref(), &plan.model);
                *members.entry(slot).or_default() += 1;
            }
        }
        members
    }

    /// Returns the load with the largest gain, if there is one.
    fn best_load<'a>(
        &self,
        view: &FleetView<'a>,
        holdings: &Holdings<'a>,
        idle: &[&'a Target],
    ) -> Option<Load<'a>> {
        let available = idle.iter().filter(|t| !self.staging.contains_key(&t.id));
        let loads = available.flat_map(|target| {
            let plans = view.engine.models.iter();
            plans.filter_map(|plan| self.evaluate(view, holdings, target, plan))
        });
        loads.max_by(|a, b| {
            let gain = a.gain.total_cmp(&b.gain);
            gain.then(b.target.id.cmp(&a.target.id))
        })
    }

    /// Returns the load of a model's weights by a target with its gain, if the load helps.
    fn evaluate<'a>(
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
            let gain = spare.max(holdings.completion_value(domain, plan));
            return Some(Load { target, plan, gain });
        }
        let completion = holdings.completion_value(domain, plan);
        if completion > spare
            && self
                .evicted(view, target)
                .all(|held| holdings.yields(held, plan))
        {
            return Some(Load {
                target,
                plan,
                gain: completion,
            });
        }
        let lost = held.map(|p| holdings.value(domain, p, holdings.ready(&(domain, &p.model))));
        let lost = lost.fold(0.0, f64::max);
        let better = !view.before_traffic && spare > RESTAGE_FACTOR * lost;
        better.then_some(Load {
            target,
            plan,
            gain: spare,
        })
    }

    /// Returns whether an idle target holds a model's weights or soon will.
    fn holds(&self, target: &Target, plan: &ModelPlan) -> bool {
        match self.staging.get(&target.id) {
            Some((model, _)) => *model == plan.model || self.is_loaded(target, plan),
            None => self.is_warm(target, plan),
        }
    }

    /// Returns the models whose weights a target loses if it loads others to its host.
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
