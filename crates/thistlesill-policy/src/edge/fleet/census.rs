//! A summary of a fleet's groups and idle targets, for the on-call engineer.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

use thistlesill_core::edge::{MemberState, ModelPlan, Target};
use thistlesill_core::{DomainId, Model};

use super::demand::desired_groups;
use super::{FleetPlanner, FleetView};

/// Summary of the groups of one model.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelCensus {
    /// The model that the groups run.
    pub model: Model,
    /// Groups that take requests.
    pub open: usize,
    /// Groups that the model should have, with fractions.
    pub desired: f64,
    /// Demand for the model, in groups: 1 keeps one group fully busy.
    pub demand: f64,
}

/// Summary of the targets of one fabric domain.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DomainCensus {
    /// Listed targets that are not shutting down.
    pub listed: usize,
    /// Listed targets that are in no group that takes requests.
    pub idle: usize,
    /// Idle targets that are loading weights, or whose group finishes its running requests.
    pub transitioning: usize,
    /// Idle targets, by the model whose weights were last staged on their host.
    pub staged: BTreeMap<Option<Model>, usize>,
}

/// Summary of a service's fleet.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Census {
    /// Groups by model.
    pub models: Vec<ModelCensus>,
    /// Targets by fabric domain; `None` holds the targets without one.
    pub domains: BTreeMap<Option<DomainId>, DomainCensus>,
}

impl Census {
    /// Returns the number of targets in no group that takes requests.
    pub fn idle(&self) -> usize {
        self.domains.values().map(|d| d.idle).sum()
    }

    /// Returns the number of groups that are missing, summed over all models.
    pub fn missing(&self) -> f64 {
        let missing = |m: &ModelCensus| (m.desired.floor() - m.open as f64).max(0.0);
        self.models.iter().map(missing).sum()
    }
}

impl Display for ModelCensus {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self {
            model,
            open,
            desired,
            demand,
        } = self;
        write!(f, "{model}:{open}/{desired:.1}@{demand:.1}")
    }
}

impl Display for DomainCensus {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}-{}(", self.idle, self.listed, self.transitioning)?;
        for (i, (model, count)) in self.staged.iter().enumerate() {
            let comma = if i > 0 { "," } else { "" };
            let model = model.as_ref().map_or("none", Model::as_str);
            write!(f, "{comma}{model}:{count}")?;
        }
        f.write_str(")")
    }
}

impl FleetPlanner {
    /// Returns a summary of the fleet's present state.
    pub fn census(&self, view: &FleetView<'_>) -> Census {
        let models = view.engine.models.iter();
        Census {
            models: models.map(|plan| self.count_open(view, plan)).collect(),
            domains: count_domains(view),
        }
    }

    fn count_open(&self, view: &FleetView<'_>, plan: &ModelPlan) -> ModelCensus {
        let leads = |t: &&Target| t.is_open_leader() && t.model() == Some(&plan.model);
        ModelCensus {
            model: plan.model.clone(),
            open: view.targets.values().filter(leads).count(),
            desired: desired_groups(view, plan, self.target_counts),
            demand: view.demand.get(&plan.model).copied().unwrap_or(0.0),
        }
    }
}

fn count_domains(view: &FleetView<'_>) -> BTreeMap<Option<DomainId>, DomainCensus> {
    let open: Vec<_> = view
        .targets
        .values()
        .filter(|t| t.is_open_leader())
        .collect();
    let serving = |target: &Target| {
        let group = target.member.as_ref().map(|m| &m.of);
        group.is_some()
            && open
                .iter()
                .any(|t| t.member.as_ref().map(|m| &m.of) == group)
    };
    let mut domains: BTreeMap<Option<DomainId>, DomainCensus> = BTreeMap::new();
    for target in view.targets.values().filter(|t| !t.leaving) {
        let domain = domains.entry(target.domain.clone()).or_default();
        domain.listed += 1;
        if serving(target) {
            continue;
        }
        domain.idle += 1;
        let state = target.member.as_ref().map(|m| m.state);
        let transitioning = matches!(state, Some(MemberState::Joining | MemberState::Closing));
        domain.transitioning += usize::from(transitioning);
        let model = target.staged.last().cloned();
        *domain.staged.entry(model).or_default() += 1;
    }
    domains
}
