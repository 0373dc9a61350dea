//! Rendezvous hashing, which assigns targets to watchers and requests to placing daemons without
//! any messages between them.

use crate::NodeId;
use rapidhash::v3::{RapidSecrets, rapidhash_v3_seeded};

/// Fixed seed, since all processes must compute the same ranks.
const SEED: u64 = 0x7468_6973_746c_6501;

/// Returns the rank of a node for a key; the nodes with the highest ranks are chosen.
fn rank(node: &NodeId, key: &str) -> u64 {
    let secrets = RapidSecrets::seed(SEED);
    let mut input = String::with_capacity(node.as_str().len() + key.len() + 1);
    input.push_str(node.as_str());
    input.push('\0');
    input.push_str(key);
    rapidhash_v3_seeded(input.as_bytes(), &secrets)
}

/// Returns the node with the highest rank for `key`.
pub fn first<'a>(nodes: impl Iterator<Item = &'a NodeId>, key: &str) -> Option<&'a NodeId> {
    nodes.max_by_key(|node| (rank(node, key), *node))
}

/// Returns whether `node` is among the `count` nodes with the highest ranks for `key`.
///
/// `nodes` may contain `node` itself or not.
pub fn is_among(node: &NodeId, nodes: &[NodeId], key: &str, count: usize) -> bool {
    let own_rank = rank(node, key);
    let higher = nodes
        .iter()
        .filter(|n| *n != node)
        .filter(|n| (rank(n, key), *n) > (own_rank, node));
    higher.take(count).count() < count
}
