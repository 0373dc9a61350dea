//! The weight store: it serves a bounded number of loads per second.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// A store from which engines load weights.
#[derive(Debug, Clone)]
pub struct WeightStore {
    gap: Duration,
    next: Arc<Mutex<Instant>>,
}

impl WeightStore {
    /// A store that begins at most `per_second` loads a second.
    pub fn new(per_second: u32) -> Self {
        Self {
            gap: Duration::from_secs(1) / per_second.max(1),
            next: Arc::new(Mutex::new(Instant::now())),
        }
    }

    /// Waits for a turn.
    pub async fn turn(&self) {
        let at = {
            let mut next = self.next.lock().unwrap_or_else(PoisonError::into_inner);
            let at = (*next).max(Instant::now());
            *next = at + self.gap;
            at
        };
        tokio::time::sleep_until(at.into()).await;
    }
}
