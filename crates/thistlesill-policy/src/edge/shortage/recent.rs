//! Counts of events in the last two seconds.

use thistlesill_core::Millis;

/// Number of bins of a count.
const BINS: u64 = 8;
/// Length of a bin in milliseconds.
const BIN_MS: u64 = 250;
/// Time that a count covers: long enough for some requests of a kind that sends two per second, and
/// short enough that a burst of some seconds is still going on when the count shows it.
pub(super) const WINDOW: Millis = Millis::new(BINS * BIN_MS);

/// Number of events in the last two seconds.
///
/// It covers the current bin and the seven before it, so 1.75 to 2 s.
#[derive(Debug, Clone, Default)]
pub(super) struct Recent {
    bins: [u16; BINS as usize],
    /// Number of the newest bin.
    newest: u64,
}

impl Recent {
    /// Counts one event.
    pub(super) fn add(&mut self, now: Millis) {
        let bin = now.get() / BIN_MS;
        let passed = bin.saturating_sub(self.newest).min(BINS);
        for number in 0..passed {
            self.bins[((bin - number) % BINS) as usize] = 0;
        }
        self.newest = self.newest.max(bin);
        let count = &mut self.bins[(self.newest % BINS) as usize];
        *count = count.saturating_add(1);
    }

    /// Returns the number of events.
    pub(super) fn count(&self, now: Millis) -> u32 {
        let passed = (now.get() / BIN_MS).saturating_sub(self.newest).min(BINS);
        let ended = (1..=passed).map(|n| self.bins[((self.newest + n) % BINS) as usize]);
        let all: u32 = self.bins.iter().copied().map(u32::from).sum();
        all - ended.map(u32::from).sum::<u32>()
    }

    /// Returns the number of events per second.
    pub(super) fn rate(&self, now: Millis) -> f64 {
        let covered = (BINS - 1) * BIN_MS + now.get() % BIN_MS + 1;
        f64::from(self.count(now)) * 1_000.0 / covered as f64
    }
}
