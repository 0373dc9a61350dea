//! Weight store that begins a bounded number of loads per second.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// A store from which engines load weights; clones share the bound.
#[derive(Debug, Clone)]
pub struct WeightStore {
    interval: Duration,
    next_start: Arc<Mutex<Instant>>,
}

impl WeightStore {
    /// Creates a store that begins at most `per_second` loads per second; 0 counts as 1.
    pub fn new(per_second: u32) -> Self {
        Self {
            interval: Duration::from_secs(1) / per_second.max(1),
            next_start: Arc::new(Mutex::new(Instant::now())),
        }
    }

    /// Waits until the next load may begin.
    pub async fn wait_for_slot(&self) {
        let at = {
            let mut next = self
                .next_start
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            let at = (*next).max(Instant::now());
            *next = at + self.interval;
            at
        };
        tokio::time::sleep_until(at.into()).await;
    }
}
