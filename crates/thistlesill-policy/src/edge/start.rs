//! Sources of the initial state of a daemon.
//!
//! Load pattern: all daemons of a fleet start at the same time, as after a power failure. Each of
//! them needs the catalog and the list of all targets. If each daemon reads them from the store,
//! the list alone exceeds the bandwidth of the store's connection: reads run into their timeouts
//! and start over. The daemons of each data centre therefore form a tree by their rank in the
//! store's list: the first ones read the store, and each of the others asks its parent, which sends
//! its state as soon as it is available. Each daemon computes the tree by itself. If the parent is
//! down, the next ancestor is asked, and finally the store.
//!
//! Callers that reach a daemon before it has its state are refused with the time that the start is
//! expected to take. All callers of a fleet that starts at once are refused within some tenths of a
//! second, so their retries are spread out by a random part.

use rand::RngExt;
use thistlesill_core::Millis;

/// Daemons of each data centre that read the store when they start: one of them may be down.
const READERS: usize = 2;
/// Daemons that ask the same parent: the list of 3,000 targets takes 0.15 s on a connection of
/// 20 Mbit/s, so that each level of the tree takes at most half a second, and four levels hold
/// 340 daemons of a data centre.
const FAN_OUT: usize = 4;

/// Time to read a list of 3,000 targets from the store on a small machine.
const READ_TIME: Millis = Millis::new(1_000);
/// Time of each level of the tree; see [`FAN_OUT`].
const LEVEL_TIME: Millis = Millis::new(500);
/// Shortest time after which a caller may retry: earlier, little has changed.
const MIN_RETRY_AFTER: Millis = Millis::new(300);
/// Longest expected time of a start that is late. The store may answer again at any moment, and
/// callers wait for 6 to 8 s in all.
const MAX_LATE_START: Millis = Millis::new(5_000);
/// Longest random part of the time after which a caller may retry.
const MAX_JITTER: Millis = Millis::new(1_000);

/// Where a daemon gets its initial state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// The store.
    Store,
    /// The first of the daemons with these ranks that answers; otherwise the store.
    Peers(Vec<usize>),
}

/// Returns the time after which a caller may retry that reaches a daemon `elapsed` after its start,
/// before it has its initial state.
///
/// `rank` is `None` while the daemon does not know it. A start that takes longer than expected waits
/// for a store or peer that is slow or down, and is expected to take half as long again as it has
/// taken.
#[must_use]
pub fn retry_after(rank: Option<usize>, elapsed: Millis, rng: &mut impl rand::Rng) -> Millis {
    let levels = rank.map_or(0, depth) as u64;
    let usual = READ_TIME.get() + levels * LEVEL_TIME.get();
    let left = match usual.checked_sub(elapsed.get()) {
        Some(left) if left > 0 => left,
        _ => (elapsed.get() / 2).min(MAX_LATE_START.get()),
    };
    let jitter = rng.random_range(0..=MAX_JITTER.get());
    Millis::new(left.max(MIN_RETRY_AFTER.get()) + jitter)
}

/// Returns the number of daemons that the initial state passes through on its way from the store to
/// the daemon of a rank.
const fn depth(rank: usize) -> usize {
    let (mut ancestor, mut levels) = (rank, 0);
    while ancestor >= READERS {
        ancestor = parent(ancestor);
        levels += 1;
    }
    levels
}

/// Returns the rank of the daemon that a daemon which does not read the store asks first.
const fn parent(rank: usize) -> usize {
    (rank - READERS) / FAN_OUT
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
        ancestor = parent(ancestor);
        sources.push(ancestor);
    }
    // The other roots of the tree have the same state.
    sources.extend((0..READERS).filter(|root| *root != ancestor));
    Source::Peers(sources)
}
