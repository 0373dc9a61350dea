//! The pools of a hall, derived from the view, the plan and the settings.

use std::collections::BTreeMap;

use thistlesill_core::message::{ObservedState, Sighting};
use thistlesill_core::report::Load;
use thistlesill_core::settings::{Context, Tree, Values};
use thistlesill_core::{GroupId, HallId, InstanceId, Millis, RegionId};

use crate::placement::{ExistingGroup, FreeInstance, Pool, PoolKey, Want};

/// The downtime weight if the settings have none: the root must set it, but settings of an older
/// release may lack it.
const DEFAULT_DOWNTIME_WEIGHT: f64 = 0.5;

/// Returns what the settings ask of a pool.
pub(super) fn want(tree: &Tree, region: &RegionId, hall: &HallId, key: &PoolKey) -> Want {
    let context = Context {
        region: Some(region.clone()),
        hall: Some(hall.clone()),
        domain: Some(key.domain.clone()),
        generation: Some(key.generation.clone()),
        customer: None,
    };
    let values = tree.resolve(&context);
    let shapes = values.shapes.clone().unwrap_or_default();
    Want {
        load: load(tree, &context, &values),
        shapes: shapes
            .into_iter()
            .filter(|s| s.generation == key.generation)
            .collect(),
        downtime_weight: values.downtime_weight.unwrap_or(DEFAULT_DOWNTIME_WEIGHT),
        spares: values.spares.unwrap_or(0),
    }
}

fn load(tree: &Tree, context: &Context, values: &Values) -> Load {
    let model = values.model.clone().unwrap_or_default();
    Load {
        adapters: tree.adapters(context, &model),
        version: values.version.clone().unwrap_or_default(),
        model,
    }
}

/// Returns the pool that an instance belongs to, or `None` if it runs a plain service.
pub(super) fn pool_of(sighting: &Sighting) -> Option<PoolKey> {
    let plain = matches!(sighting.state, ObservedState::Service(_));
    (!plain).then(|| PoolKey {
        domain: sighting.domain.clone(),
        generation: sighting.generation.clone(),
    })
}

/// Records since when each pool has had the same contents.
#[derive(Debug, Clone, Default)]
pub(super) struct PoolStability {
    contents: BTreeMap<PoolKey, PoolContents>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct PoolContents {
    free: Vec<InstanceId>,
    groups: Vec<GroupId>,
    since: Millis,
}

impl PoolStability {
    /// Returns since when a pool has had these free instances and groups.
    pub(super) fn update(
        &mut self,
        key: &PoolKey,
        free: &[FreeInstance],
        groups: &[ExistingGroup],
        now: Millis,
    ) -> Millis {
        let free: Vec<InstanceId> = free.iter().map(|f| f.instance.clone()).collect();
        let groups: Vec<GroupId> = groups.iter().map(|g| g.group.clone()).collect();
        if let Some(known) = self.contents.get(key)
            && known.free == free
            && known.groups == groups
        {
            return known.since;
        }
        let known = PoolContents {
            free,
            groups,
            since: now,
        };
        self.contents.insert(key.clone(), known);
        now
    }
}

/// Describes why a pool's free instances form no group.
pub(super) fn describe_free(pool: &Pool) -> String {
    let free = pool.free.len() as u32;
    let smallest = pool.want.shapes.iter().map(|s| s.instances).min();
    match smallest {
        None => "no shape in the settings fits this generation".to_owned(),
        Some(smallest) if free < smallest => {
            format!("{free} free, the smallest shape takes {smallest}")
        }
        Some(_) if pool.ending > 0 => {
            format!("waits for {} instances to come free", pool.ending)
        }
        Some(_) => format!("{free} free, kept as spares or about to be used"),
    }
}
