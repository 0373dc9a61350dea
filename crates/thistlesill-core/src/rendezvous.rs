//! Rendezvous hashing, which assigns targets to watchers and requests to placing daemons without
//! any messages between them.

use crate::NodeId;
use rapidhash::v3::{RapidSecrets, rapidhash_v3_seeded};

/// Fixed seed, since all processes must compute the same ranks.
const SEED: u64 = 0x7468_6973_746c_6501;

/// Returns the rank of a node for a key; the nodes with the highest ranks are chosen.
fn rank(name: &str, key: &str) -> u64 {
    let secrets = RapidSecrets::seed(SEED);
    let mut input = String::with_capacity(name.len() + key.len() + 1);
    input.push_str(name);
    input.push('\0');
    input.push_str(key);
    rapidhash_v3_seeded(input.as_bytes(), &secrets)
}

/// Returns the node with the highest rank for `key`.
pub fn first<'a>(nodes: impl Iterator<Item = &'a NodeId>, key: &str) -> Option<&'a NodeId> {
    first_item(nodes, NodeId::as_str, key)
}

/// Returns the item of which the name has the highest rank for `key`.
pub fn first_item<'a, T>(
    items: impl Iterator<Item = &'a T>,
    name: impl Fn(&T) -> &str,
    key: &str,
) -> Option<&'a T> {
    items.max_by(|a, b| {
        let (a, b) = (name(a), name(b));
        (rank(a, key), a).cmp(&(rank(b, key), b))
    })
}

/// Returns whether `node` is among the `count` nodes with the highest ranks for `key`.
///
/// `nodes` may contain `node` itself or not.
pub fn is_among(node: &NodeId, nodes: &[NodeId], key: &str, count: usize) -> bool {
    let own_rank = rank(node.as_str(), key);
    let higher = nodes
        .iter()
        .filter(|n| *n != node)
        .filter(|n| (rank(n.as_str(), key), *n) > (own_rank, node));
    higher.take(count).count() < count
}
