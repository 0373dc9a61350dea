//! The best packing of a number of instances into shapes.

use thistlesill_core::settings::Shape;

/// Returns the sizes of the groups that use as many of `count` instances as possible.
///
/// Of several such packings the one with the fewest groups is returned, which prefers larger
/// shapes.
///
/// # Examples
///
/// ```
/// use thistlesill_core::settings::Shape;
/// use thistlesill_policy::placement::pack;
///
/// let shape = |instances| Shape { generation: "a".into(), instances };
/// assert_eq!(pack(7, &[shape(4), shape(3)]), vec![4, 3]);
/// assert_eq!(pack(6, &[shape(4), shape(3)]), vec![3, 3]);
/// ```
pub fn pack(count: u32, shapes: &[Shape]) -> Vec<u32> {
    let sizes = sizes(shapes);
    let best = best_steps(count, &sizes);
    let mut left = (0..=count)
        .rev()
        .find(|n| best[*n as usize].is_some())
        .unwrap_or(0);
    let mut packing = Vec::new();
    while let Some(Some(step)) = best.get(left as usize).filter(|_| left > 0) {
        packing.push(step.size);
        left -= step.size;
    }
    packing.sort_unstable_by(|a, b| b.cmp(a));
    packing
}

/// Returns how many of `count` instances the best packing uses.
pub fn best_use(count: u32, shapes: &[Shape]) -> u32 {
    pack(count, shapes).iter().sum()
}

#[derive(Debug, Clone, Copy)]
struct Step {
    groups: u32,
    size: u32,
}

/// Returns, for each number of instances up to `count`, the last group of the packing that fills it
/// exactly with the fewest groups.
fn best_steps(count: u32, sizes: &[u32]) -> Vec<Option<Step>> {
    let mut best: Vec<Option<Step>> = vec![None; count as usize + 1];
    best[0] = Some(Step { groups: 0, size: 0 });
    for n in 1..=count {
        for size in sizes.iter().copied().filter(|s| *s <= n) {
            let Some(rest) = best[(n - size) as usize] else {
                continue;
            };
            let groups = rest.groups + 1;
            if best[n as usize].is_none_or(|b| groups < b.groups) {
                best[n as usize] = Some(Step { groups, size });
            }
        }
    }
    best
}

fn sizes(shapes: &[Shape]) -> Vec<u32> {
    let mut sizes: Vec<u32> = shapes.iter().map(|s| s.instances).collect();
    sizes.retain(|s| *s > 0);
    sizes.sort_unstable_by(|a, b| b.cmp(a));
    sizes.dedup();
    sizes
}
