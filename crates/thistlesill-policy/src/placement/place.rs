//! The default placement.

use super::{FreeInstance, NewGroup, Placement, Pool, best_use, pack};
use thistlesill_core::Millis;

/// How long a gain in used instances is expected to last, in seconds: the time between failures
/// within a pool.
const GAIN_HORIZON_SECONDS: f64 = 3_600.0;
/// How long an instance of a broken-up group does not serve, in seconds: the drain and a load of
/// weights.
const MOVE_COST_SECONDS: f64 = 90.0;
/// How long a pool must be unchanged before it is repacked. Members that were lost for a moment
/// come back within this time.
const MIN_STABLE_TIME: Millis = Millis::new(30_000);

/// Decides which groups each pool forms and drains.
///
/// The downtime weight decides this in two ways. A pool that weighs downtime keeps its spares free
/// and seldom breaks up a serving group. A pool that weighs stranded accelerators uses all
/// instances and repacks when the gain outweighs the cost of the move.
pub fn place(pools: &[Pool], now: Millis) -> Placement {
    let mut placement = Placement::default();
    for pool in pools {
        placement.form.extend(fill(pool));
        if placement.form.iter().all(|f| f.pool != pool.key) {
            placement.drain.extend(repack(pool, now));
        }
    }
    // A group with few cold members is ready soonest, and a larger group serves more: the groups
    // with the most instances per weight load go first.
    placement.form.sort_by(|a, b| {
        let gain = |f: &NewGroup| f.members.len() as f64 / f64::from(f.cold + 1);
        gain(b).total_cmp(&gain(a))
    });
    placement
}

/// Returns the groups to form from free instances.
fn fill(pool: &Pool) -> Vec<NewGroup> {
    let free = pool.free.len() as u32;
    let keep = spares_kept(pool, free);
    let mut warm_first: Vec<&FreeInstance> = pool.free.iter().collect();
    warm_first.sort_by_key(|f| (!f.warm, f.instance.clone()));
    let mut rest = warm_first.into_iter();
    let mut forming = Vec::new();
    for size in pack(free - keep, &pool.want.shapes) {
        let members: Vec<&FreeInstance> = rest.by_ref().take(size as usize).collect();
        let cold = members.iter().filter(|f| !f.warm).count();
        forming.push(NewGroup {
            pool: pool.key.clone(),
            members: members.iter().map(|f| f.instance.clone()).collect(),
            load: pool.want.load.clone(),
            cold: cold as u32,
        });
    }
    forming
}

/// Returns how many free instances to keep as spares.
///
/// Spares are kept where downtime weighs more, and only as long as the instances that they strand
/// do not outweigh them. Each missing instance uses up a spare, since replacing it is what the
/// spare was kept for.
fn spares_kept(pool: &Pool, free: u32) -> u32 {
    let weight = pool.want.downtime_weight;
    let spares = pool.want.spares.saturating_sub(pool.missing).min(free);
    if weight < 0.5 || spares == 0 {
        return 0;
    }
    let used = best_use(free, &pool.want.shapes);
    if free - used >= spares {
        return 0;
    }
    let used_beside = best_use(free - spares, &pool.want.shapes);
    if used_beside == 0 && pool.groups.is_empty() {
        return 0;
    }
    let stranded = f64::from(used - used_beside);
    let affordable = (1.0 - weight) * stranded <= weight * f64::from(spares);
    if affordable { spares } else { 0 }
}

/// Returns the serving groups to drain for a packing that uses more instances.
fn repack(pool: &Pool, now: Millis) -> Vec<thistlesill_core::GroupId> {
    let stable = pool.ending == 0 && now - pool.steady >= MIN_STABLE_TIME;
    let settled = pool.groups.iter().all(|g| g.settled);
    if !stable || !settled || pool.free.is_empty() {
        return Vec::new();
    }
    let used: u32 = pool.groups.iter().map(|g| g.size).sum();
    let total = used + pool.free.len() as u32;
    let best = pack(total, &pool.want.shapes);
    let gained = best.iter().sum::<u32>().saturating_sub(used);
    if gained == 0 {
        return Vec::new();
    }
    let mut needed = best;
    let mut broken = Vec::new();
    let mut moved = 0;
    for group in &pool.groups {
        if let Some(at) = needed.iter().position(|size| *size == group.size) {
            needed.swap_remove(at);
        } else {
            moved += group.size;
            broken.push(group.group.clone());
        }
    }
    let weight = pool.want.downtime_weight;
    let gain = (1.0 - weight) * f64::from(gained) * GAIN_HORIZON_SECONDS;
    let cost = weight * f64::from(moved) * MOVE_COST_SECONDS;
    let wanted = if weight >= 0.5 { pool.want.spares } else { 0 };
    let spares = wanted.saturating_sub(pool.missing);
    let left_over = total - used - gained;
    if gain > cost && left_over >= spares {
        broken
    } else {
        Vec::new()
    }
}
