//! Requests to other daemons by datagram, for whose replies a caller's request waits.

use std::collections::HashMap;
use std::time::Duration;

use tokio::sync::oneshot;

/// How long a reply is awaited. It takes 0.5 ms; a daemon that shares an eighth of a core may be
/// some milliseconds behind, and a longer wait would cost the request a good part of its latency
/// objective.
const REPLY_TIMEOUT: Duration = Duration::from_millis(15);

/// Requests of one kind that have not been answered.
#[derive(Debug)]
pub(crate) struct PendingReplies<T> {
    last_id: u64,
    waiting: HashMap<u64, oneshot::Sender<T>>,
}

impl<T> Default for PendingReplies<T> {
    fn default() -> Self {
        Self {
            last_id: 0,
            waiting: HashMap::new(),
        }
    }
}

impl<T> PendingReplies<T> {
    /// Registers a request. Returns the number that is repeated in its reply, and the receiver of
    /// that reply.
    pub(crate) fn begin(&mut self) -> (u64, oneshot::Receiver<T>) {
        let (sender, receiver) = oneshot::channel();
        self.last_id += 1;
        self.waiting.insert(self.last_id, sender);
        (self.last_id, receiver)
    }

    /// Hands a reply to the task that waits for it; a late reply is dropped.
    pub(crate) fn resolve(&mut self, id: u64, reply: T) {
        if let Some(sender) = self.waiting.remove(&id) {
            drop(sender.send(reply));
        }
    }

    /// Removes requests whose replies no task waits for any more: their time is up, or the callers'
    /// requests have ended.
    pub(crate) fn remove_closed(&mut self) {
        self.waiting.retain(|_, sender| !sender.is_closed());
    }
}

/// Waits for a reply; returns `None` if it does not come in time.
pub(crate) async fn in_time<T>(reply: oneshot::Receiver<T>) -> Option<T> {
    tokio::time::timeout(REPLY_TIMEOUT, reply).await.ok()?.ok()
}
