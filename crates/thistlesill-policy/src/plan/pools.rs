//! The pools of a hall, from the view, the plan and the settings.

use std::collections::BTreeMap;

use thistlesill_core::message::{ObservedState, Sighting};
use thistlesill_core::report::Load;
use thistlesill_core::settings::{Context, Tree, Values};
use thistlesill_core::{GroupId, HallId, InstanceId, Millis, RegionId};

use crate::placement::{Existing, Free, Pool, PoolKey, Want};

/// Values that the root must set, but a tree of an older release may lack.
const DOWNTIME_WEIGHT: f64 = 0.5;

/// What the settings want of a pool.
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
        downtime_weight: values.downtime_weight.unwrap_or(DOWNTIME_WEIGHT),
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

/// The pool that an instance belongs to; `None` for a plain service.
pub(super) fn pool_of(sighting: &Sighting) -> Option<PoolKey> {
    let plain = matches!(sighting.state, ObservedState::Service(_));
    (!plain).then(|| PoolKey {
        domain: sighting.domain.clone(),
        generation: sighting.generation.clone(),
    })
}

/// Remembers since when each pool has been as it is.
#[derive(Debug, Clone, Default)]
pub(super) struct Steadiness {
    seen: BTreeMap<PoolKey, Shot>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Shot {
    free: Vec<InstanceId>,
    groups: Vec<GroupId>,
    since: Millis,
}

impl Steadiness {
    /// Since when a pool's free instances and groups have been these.
    pub(super) fn note(
        &mut self,
        key: &PoolKey,
        free: &[Free],
        groups: &[Existing],
        now: Millis,
    ) -> Millis {
        let free: Vec<InstanceId> = free.iter().map(|f| f.instance.clone()).collect();
        let groups: Vec<GroupId> = groups.iter().map(|g| g.group.clone()).collect();
        if let Some(shot) = self.seen.get(key)
            && shot.free == free
            && shot.groups == groups
        {
            return shot.since;
        }
        let shot = Shot {
            free,
            groups,
            since: now,
        };
        self.seen.insert(key.clone(), shot);
        now
    }
}

/// Why a pool's free instances form no group, in words.
pub(super) fn why_free(pool: &Pool) -> String {
    let free = pool.free.len() as u32;
    let least = pool.want.shapes.iter().map(|s| s.instances).min();
    match least {
        None => "no shape in the settings fits this generation".to_owned(),
        Some(least) if free < least => {
            format!("{free} free, the smallest shape takes {least}")
        }
        Some(_) if pool.ending > 0 => {
            format!("waits for {} instances that come free", pool.ending)
        }
        Some(_) => format!("{free} free, kept as spares or about to be used"),
    }
}
