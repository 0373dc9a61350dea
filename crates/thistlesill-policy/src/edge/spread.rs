//! How a change of a target reaches all daemons.
//!
//! Load pattern: at the start of a fleet thousands of targets change within seconds, and each
//! daemon has to hear of all of them. Whoever reads the store tells a few daemons of each data
//! centre, and each of those tells the others there: in parts, whose first member passes it on.
//! Each daemon so gets a change once for each of the few, whatever the size of the fleet, and
//! next to nothing crosses between data centres.

use thistlesill_core::{HallId, NodeId, rendezvous};

/// Daemons up to which the reader of the targets tells all of them itself; with more it tells
/// some of each data centre.
const TOLD_DIRECTLY: usize = 24;
/// Daemons of each data centre that pass changes on: one of them may be down.
pub const RELAYS: usize = 2;
/// Daemons that one passes changes on to at once: seven kilobytes to each take 22 ms on
/// a connection of 20 Mbit/s.
const FAN_OUT: usize = 8;

/// Whether changes go through daemons of each data centre in a fleet of so many daemons.
#[must_use]
pub const fn has_relays(daemons: usize) -> bool {
    daemons > TOLD_DIRECTLY
}

/// Daemons up to which each asks the reader of the store for its proof, 2.5 times a second; in
/// a larger fleet the first daemons of each data centre do, and the others ask those.
const ASK_DIRECTLY: usize = 256;
/// First daemons of a data centre whom the others ask.
const DELEGATES: usize = 2;

/// Whether a daemon of a fleet of so many asks a first daemon of its data centre.
#[must_use]
pub const fn asks_delegate(daemons: usize) -> bool {
    daemons > ASK_DIRECTLY
}

/// Those of some daemons whose machines' connections bear at least half of what the best one
/// bears, in Mbit a second.
///
/// Who passes changes on to 200 others at once sends 400 kB; on a line of 20 Mbit/s a part of
/// that is lost, and daemons knew a fifth of the targets that changed 5 s before.
#[must_use]
pub fn well_connected<'a>(daemons: &[(&'a NodeId, u32)]) -> Vec<&'a NodeId> {
    let best = daemons.iter().map(|(_, link)| *link).max().unwrap_or(0);
    let found = daemons.iter().filter(|(_, link)| *link >= best / 2);
    found.map(|(name, _)| *name).collect()
}

/// The daemon that `me` asks among those of its data centre, itself among them, with what
/// their connections bear; `None` if it is one of those that are asked. Each of them is asked
/// by a part of the others.
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

/// Whether a daemon is of the data centre `own`, as far as is known. It may not have been
/// heard for a while: in a large fleet the first beat from afar takes half a minute.
#[must_use]
pub fn is_near(hall: &HallId, own: &HallId) -> bool {
    hall == own || hall.as_str().is_empty()
}

/// The parts in which a relay passes changes on: the daemon that is told, and those that it
/// tells.
pub fn parts(near: &[NodeId]) -> impl Iterator<Item = (&NodeId, &[NodeId])> {
    near.chunks(FAN_OUT).filter_map(<[NodeId]>::split_first)
}
