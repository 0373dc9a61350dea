//! Distribution of target changes to all daemons.
//!
//! Load pattern: at the start of a fleet thousands of targets change within seconds, and each
//! daemon must receive all of these changes. A daemon that reads the store sends them to a few
//! relays in each data centre. Each relay sends them to the other daemons there, in parts: the
//! first member of a part forwards the changes to the rest of it. Each daemon thus receives a
//! change once per relay, whatever the size of the fleet, and very little traffic crosses between
//! data centres.

use thistlesill_core::{HallId, NodeId, rendezvous};

/// Maximum number of daemons to which the reader of the targets sends changes itself; in a larger
/// fleet it sends them to the relays of each data centre.
const MAX_DIRECT_SENDS: usize = 24;
/// Number of daemons per data centre that relay changes: one of them may be down.
pub const RELAYS: usize = 2;
/// Number of daemons to which a daemon forwards changes at once: seven kilobytes to each take 22 ms
/// on a connection of 20 Mbit/s.
const FAN_OUT: usize = 8;

/// Returns whether changes go through relays in a fleet of this many daemons.
#[must_use]
pub const fn uses_relays(daemons: usize) -> bool {
    daemons > MAX_DIRECT_SENDS
}

/// Maximum number of daemons of which each asks the reader of the store for its proof of freshness,
/// 2.5 times per second; in a larger fleet only the delegates of each data centre do, and the other
/// daemons ask the delegates.
const MAX_DIRECT_QUERIES: usize = 256;
/// Number of delegates in each data centre.
const DELEGATES: usize = 2;

/// Returns whether the daemons of a fleet of this size ask a delegate of their data centre.
#[must_use]
pub const fn asks_delegate(daemons: usize) -> bool {
    daemons > MAX_DIRECT_QUERIES
}

/// Returns the daemons whose connections have at least half the bandwidth of the best one;
/// bandwidths are in Mbit/s.
///
/// A daemon that forwards changes to 200 others at once sends 400 kB. On a connection of 20 Mbit/s
/// a part of that is lost, and daemons knew only a fifth of the targets that had changed 5 s
/// before.
#[must_use]
pub fn well_connected<'a>(daemons: &[(&'a NodeId, u32)]) -> Vec<&'a NodeId> {
    let best = daemons.iter().map(|(_, link)| *link).max().unwrap_or(0);
    let found = daemons.iter().filter(|(_, link)| *link >= best / 2);
    found.map(|(name, _)| *name).collect()
}

/// Returns the delegate that `me` asks; `None` if `me` is a delegate itself. `near` holds the
/// daemons of the data centre, `me` included, with their bandwidths in Mbit/s. The other daemons
/// are distributed over the delegates.
#[must_use]
pub fn delegate<'a>(me: &NodeId, near: &[(&'a NodeId, u32)]) -> Option<&'a NodeId> {
    let mut names = well_connected(near);
    names.sort_unstable();
    names.truncate(DELEGATES);
    if names.contains(&me) {
        return None;
    }
    rendezvous::first(names.into_iter(), me.as_str())
}

/// Returns whether a daemon belongs to the data centre `own`, as far as is known. The data centre
/// of a daemon may be unknown (empty) for a while: in a large fleet the first heartbeat from
/// another data centre takes half a minute.
#[must_use]
pub fn is_near(hall: &HallId, own: &HallId) -> bool {
    hall == own || hall.as_str().is_empty()
}

/// Splits the daemons of a data centre into parts; each has the daemon that receives the changes
/// and those that it forwards them to.
pub fn parts(near: &[NodeId]) -> impl Iterator<Item = (&NodeId, &[NodeId])> {
    near.chunks(FAN_OUT).filter_map(<[NodeId]>::split_first)
}
