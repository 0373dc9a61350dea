//! Rendezvous hashing: who watches which target and who places which requests,
//! agreed without messages.

use crate::NodeId;
use rapidhash::v3::{RapidSecrets, rapidhash_v3_seeded};

/// Fixed, since all processes must compute the same ranks.
const SEED: u64 = 0x7468_6973_746c_6501;

/// The rank of a node for a key; the highest ranks win.
fn rank(node: &NodeId, key: &str) -> u64 {
    let secrets = RapidSecrets::seed(SEED);
    let mut text = String::with_capacity(node.as_str().len() + key.len() + 1);
    text.push_str(node.as_str());
    text.push('\0');
    text.push_str(key);
    rapidhash_v3_seeded(text.as_bytes(), &secrets)
}

/// The highest ranked of `nodes` for `key`.
pub fn first<'a>(nodes: impl Iterator<Item = &'a NodeId>, key: &str) -> Option<&'a NodeId> {
    nodes.max_by_key(|node| (rank(node, key), *node))
}

/// Whether `node` is among the `count` highest ranked of `nodes` for `key`.
pub fn is_among(node: &NodeId, nodes: &[NodeId], key: &str, count: usize) -> bool {
    let own = rank(node, key);
    let higher = nodes
        .iter()
        .filter(|n| *n != node)
        .filter(|n| (rank(n, key), *n) > (own, node));
    higher.take(count).count() < count
}
