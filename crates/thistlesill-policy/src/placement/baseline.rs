//! Simple placements as baselines for [`place`](fn@super::place).

use super::{NewGroup, Placement, Pool, pack};

/// Forms groups first fit: takes the first shape that fits the free instances, keeps no spares,
/// ignores which instances are warm and never breaks up a group.
pub fn first_fit(pools: &[Pool]) -> Placement {
    let mut placement = Placement::default();
    for pool in pools {
        let mut free: Vec<_> = pool.free.iter().collect();
        free.sort();
        let mut rest = free.as_slice();
        while let Some(shape) = pool
            .want
            .shapes
            .iter()
            .find(|s| s.instances as usize <= rest.len())
        {
            let (members, left) = rest.split_at(shape.instances as usize);
            rest = left;
            placement.form.push(NewGroup {
                pool: pool.key.clone(),
                members: members.iter().map(|f| f.instance.clone()).collect(),
                load: pool.want.load.clone(),
                cold: members.iter().filter(|f| !f.warm).count() as u32,
            });
        }
    }
    placement
}

/// Rebuilds from scratch: whenever the best packing of all usable instances differs from the
/// existing groups, breaks up every group that is not part of it.
pub fn rebuild(pools: &[Pool]) -> Placement {
    let mut placement = first_fit(&[]);
    for pool in pools {
        let used: u32 = pool.groups.iter().map(|g| g.size).sum();
        let total = used + pool.free.len() as u32 + pool.ending;
        let mut needed = pack(total, &pool.want.shapes);
        let mut keep = Vec::new();
        for group in &pool.groups {
            if let Some(at) = needed.iter().position(|size| *size == group.size) {
                needed.swap_remove(at);
                keep.push(&group.group);
            }
        }
        let broken = pool.groups.iter().filter(|g| !keep.contains(&&g.group));
        placement.drain.extend(broken.map(|g| g.group.clone()));
        let mut free = pool.free.iter();
        for size in needed {
            let members: Vec<_> = free.by_ref().take(size as usize).collect();
            if members.len() < size as usize {
                break;
            }
            placement.form.push(NewGroup {
                pool: pool.key.clone(),
                members: members.iter().map(|f| f.instance.clone()).collect(),
                load: pool.want.load.clone(),
                cold: members.iter().filter(|f| !f.warm).count() as u32,
            });
        }
    }
    placement
}
