//! Sources of the initial state of a daemon.
//!
//! Load pattern: all daemons of a fleet start at the same time, as after a power failure. Each of
//! them needs the catalog and the list of all targets. If each daemon reads them from the store,
//! the list alone exceeds the bandwidth of the store's connection: reads run into their timeouts
//! and start over. The daemons of each data centre therefore form a tree by their rank in the
//! store's list: the first ones read the store, and each of the others asks its parent, which sends
//! its state as soon as it is available. Each daemon computes the tree by itself. If the parent is
//! down, the next ancestor is asked, and finally the store.

/// Daemons of each data centre that read the store when they start: one of them may be down.
const READERS: usize = 2;
/// Daemons that ask the same parent: the list of 3,000 targets takes 0.15 s on a connection of
/// 20 Mbit/s, so that each level of the tree takes at most half a second, and four levels hold
/// 340 daemons of a data centre.
const FAN_OUT: usize = 4;

/// Where a daemon gets its initial state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// The store.
    Store,
    /// The first of the daemons with these ranks that answers; otherwise the store.
    Peers(Vec<usize>),
}

/// Returns the source of the initial state for the daemon of a rank. Ranks count the daemons of a
/// data centre in the order of their names, from zero.
#[must_use]
pub fn source(rank: usize) -> Source {
    if rank < READERS {
        return Source::Store;
    }
    let mut sources = Vec::new();
    let mut ancestor = rank;
    while ancestor >= READERS {
        ancestor = (ancestor - READERS) / FAN_OUT;
        sources.push(ancestor);
    }
    // The other roots of the tree have the same state.
    sources.extend((0..READERS).filter(|root| *root != ancestor));
    Source::Peers(sources)
}
