//! How the fleet stands, for the on-call engineer.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

use thistlesill_core::edge::{MemberState, ModelPlan, Target};
use thistlesill_core::{DomainId, Model};

use super::demand::fair_groups;
use super::{FleetPlanner, FleetView};

/// The groups of one model.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelCensus {
    /// The model.
    pub model: Model,
    /// Groups that take requests.
    pub open: usize,
    /// Groups that the model should have.
    pub desired: f64,
    /// The work that it is asked for; 1 keeps one group fully busy.
    pub demand: f64,
}

/// The targets of one fabric domain.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DomainCensus {
    /// Targets that are listed and do not leave.
    pub listed: usize,
    /// Those in no group that takes requests.
    pub idle: usize,
    /// Idle ones that take over weights, or whose group ends what it has.
    pub transitioning: usize,
    /// Idle ones by the weights on their hosts.
    pub staged: BTreeMap<Option<Model>, usize>,
}

/// How a service's fleet stands.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Census {
    /// By model.
    pub models: Vec<ModelCensus>,
    /// By fabric domain.
    pub domains: BTreeMap<Option<DomainId>, DomainCensus>,
}

impl Census {
    /// Targets in no group that takes requests.
    pub fn idle(&self) -> usize {
        self.domains.values().map(|d| d.idle).sum()
    }

    /// Groups that are missing, over all models.
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
    /// How the fleet stands now.
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
            desired: fair_groups(view, plan, self.usable),
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
        let moving = matches!(state, Some(MemberState::Joining | MemberState::Closing));
        domain.transitioning += usize::from(moving);
        let model = target.staged.last().cloned();
        *domain.staged.entry(model).or_default() += 1;
    }
    domains
}
