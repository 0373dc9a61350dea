//! Whom a daemon that starts asks for what it must know.
//!
//! Load pattern: all daemons of a fleet start at the same moment, as after a loss of
//! power. Each of them needs the catalog and the list of all targets. Read by each from
//! the store, the list alone takes more than the store's line: reads run into their
//! time-outs and are begun anew. So the daemons of each data centre form a tree by their
//! rank in the store's list: the first ones read the store, and each of the others asks
//! the one above it, which hands on what it has as soon as it has it. The tree is
//! computed by each daemon alone. Who is above may be down: then the next one above is
//! asked, and at last the store.

/// Daemons of each data centre that read the store when they start: one of them may be
/// down.
const READERS: usize = 2;
/// Daemons that ask the same one: the list of 3,000 targets takes 0.15 s on a line of
/// 20 Mbit/s, so that each level of the tree takes half a second at most, and four levels
/// hold 340 daemons of a data centre.
const FAN_OUT: usize = 4;

/// Where a daemon of a rank gets what it must know from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// From the store.
    Store,
    /// From the first of these ranks that answers; else from the store.
    Peers(Vec<usize>),
}

/// Decides where the daemon of a rank gets what it must know from; ranks count the
/// daemons of its data centre in the order of their names, from zero.
#[must_use]
pub fn source(rank: usize) -> Source {
    if rank < READERS {
        return Source::Store;
    }
    let mut above = Vec::new();
    let mut next = rank;
    while next >= READERS {
        next = (next - READERS) / FAN_OUT;
        above.push(next);
    }
    // The tree's other roots know as much.
    above.extend((0..READERS).filter(|root| *root != next));
    Source::Peers(above)
}
